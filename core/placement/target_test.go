package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/placement"
)

var _ = Describe("the member for a statement, chosen where the client is connected", func() {
	near := placement.Target{ID: "near", SameZone: true, Rank: 0.9}
	far := placement.Target{ID: "far", Rank: 0.1}
	other := placement.Target{ID: "other", Rank: 0.8}
	primary := placement.Target{ID: "primary", IsPrimary: true}
	with := func(t placement.Target, change func(*placement.Target)) placement.Target {
		change(&t)
		return t
	}
	waits := func(d time.Duration) func(*placement.Target) {
		return func(t *placement.Target) { t.ExpectedWait = d }
	}
	backsOff := func(t *placement.Target) { t.BackingOff = true }

	DescribeTable("is the one with the lowest cost",
		func(want string, targets ...placement.Target) {
			Expect(targets[placement.ChooseTarget(targets)].ID).To(Equal(want))
		},
		Entry("in the own zone: a statement crosses zones only if it must", "near", primary, far, near),
		Entry("in another zone if the wait here is longer than the way there", "far", with(near, waits(30*time.Millisecond)), far, primary),
		Entry("in the own zone if the wait here is shorter than the way there", "near", with(near, waits(5*time.Millisecond)), far),
		Entry("not one that failed statements a moment ago", "far", with(near, backsOff), far),
		Entry("not a remote primary while a replica is free: it runs all writes", "other", primary, other),
		Entry("the primary in the own zone", "primary", with(primary, func(t *placement.Target) { t.SameZone = true }), far),
		Entry("by rank among equals, which spreads the workspaces", "far", other, far),
		Entry("the only one, also while it backs off", "near", with(near, backsOff)),
	)
	It("is none if there is no target", func() {
		Expect(placement.ChooseTarget(nil)).To(Equal(-1))
	})
})

var _ = Describe("the serving scope", func() {
	It("has names that are parsed back, and refuses others", func() {
		for _, s := range []placement.ServingScope{placement.ServingByGroup, placement.ServingByMember} {
			Expect(placement.ParseServingScope(s.String())).To(Equal(s))
		}
		_, err := placement.ParseServingScope("fleet")
		Expect(err).To(MatchError(ContainSubstring("fleet")))
	})
})
