package promotion_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
)

func positionAt(index uint64) group.Position { return group.Position{Term: 3, Index: index} }

func answered(id string, index uint64) promotion.Member {
	return promotion.Member{ID: id, Answered: true, Received: positionAt(index)}
}

func unanswered(id string, missing time.Duration) promotion.Member {
	return promotion.Member{ID: id, UnlistedFor: missing}
}

func modified(m promotion.Member, change func(*promotion.Member)) promotion.Member {
	change(&m)
	return m
}

var _ = Describe("Choose", func() {
	leaving := func(m *promotion.Member) { m.Leaving = true }
	zoneOut := func(m *promotion.Member) { m.OutOfService = true }
	DescribeTable("among the replicas of primary p",
		func(acknowledged group.Position, want string, members ...promotion.Member) {
			id, ok := promotion.Choose(append(members, unanswered("p", 0)), "p", acknowledged)
			Expect(ok).To(Equal(want != ""))
			Expect(id).To(Equal(want))
		},
		Entry("chooses the replica with the highest position, because either may have acknowledged a commit", positionAt(10), "b", answered("a", 12), answered("b", 14)),
		Entry("chooses none while a listed replica has not responded, because it may have the only copy of a commit",
			positionAt(10), "", answered("a", 12), unanswered("b", 0)),
		Entry("chooses none while a replica without a response has been unlisted only briefly, because its entry may reappear",
			positionAt(10), "", answered("a", 12), unanswered("b", time.Second)),
		Entry("ignores a replica that has been unlisted long enough to be considered lost", positionAt(10), "a", answered("a", 12), unanswered("b", promotion.UnlistedTimeout)),
		Entry("chooses no replica that lacks an acknowledged commit", positionAt(13), "", answered("a", 12), unanswered("b", promotion.UnlistedTimeout)),
		Entry("prefers a replica that is not leaving, at equal positions", positionAt(10), "b", modified(answered("a", 14), leaving), answered("b", 14)),
		Entry("prefers a replica in a zone in service, at equal positions", positionAt(10), "b", modified(answered("a", 14), zoneOut), answered("b", 14)),
		Entry("chooses a leaving replica that alone has every commit", positionAt(10), "a", modified(answered("a", 15), leaving), answered("b", 14)),
	)
})

var _ = Describe("planned change", func() {
	primary := promotion.Member{ID: "p"}
	DescribeTable("is due",
		func(want promotion.Reason, members ...promotion.Member) {
			Expect(promotion.PlannedReason(members, "p")).To(Equal(want))
		},
		Entry("for a leaving primary", promotion.Leaving, modified(primary, func(m *promotion.Member) { m.Leaving = true }), promotion.Member{ID: "a"}),
		Entry("for a primary in a zone that is out of service", promotion.ZoneOut, modified(primary, func(m *promotion.Member) { m.OutOfService = true }), promotion.Member{ID: "a"}),
		Entry("not while no other member can take over", promotion.None,
			modified(primary, func(m *promotion.Member) { m.Leaving = true }), promotion.Member{ID: "a", Leaving: true}, unanswered("b", time.Second)),
		Entry("not for a primary in service", promotion.None, primary, promotion.Member{ID: "a"}),
	)
})

var _ = DescribeTable("unreachable primary",
	func(v promotion.Votes, want bool) { Expect(v.IsUnreachable()).To(Equal(want)) },
	Entry("is replaced when no instance reaches it", promotion.Votes{Unreachable: 7}, true),
	Entry("is replaced when a third of the instances cannot reach it", promotion.Votes{Reachable: 4, Unreachable: 2}, true),
	Entry("is kept when only one instance cannot reach it, because its clients can use the other instances", promotion.Votes{Reachable: 6, Unreachable: 1}, false),
	Entry("is kept when all instances reach it", promotion.Votes{Reachable: 7}, false),
)

// Runs a model of a group with one primary and two replicas through random
// sequences of the events that the platform allows. No acknowledged commit may be
// missing from the log of a member that Choose returns after the others have been
// paused.
var _ = Describe("promotion rule", func() {
	It("loses no acknowledged commit in any order of events", func() {
		for seed := range uint64(20000) {
			m := newModel(seed)
			m.run()
			Expect(m.violations).To(BeEmpty(), "seed %d", seed)
		}
	})
	It("loses commits in the model if replicas that do not respond are ignored", func() {
		lost := 0
		for seed := range uint64(20000) {
			m := newModel(seed)
			m.ignoreSilentReplicas = true
			m.run()
			lost += len(m.violations)
		}
		Expect(lost).NotTo(BeZero())
	})
	It("loses commits in the model if the other replicas are not paused", func() {
		lost := 0
		for seed := range uint64(20000) {
			m := newModel(seed)
			m.skipPausing = true
			m.run()
			lost += len(m.violations)
		}
		Expect(lost).NotTo(BeZero())
	})
})
