package consistency_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
)

// replica returns a replica that follows the term and has applied the position.
func replica(current, appliedTerm, applied uint64) group.Status {
	return group.Status{Role: group.Replica, CurrentTerm: current, AppliedTerm: appliedTerm, Applied: applied}
}

var _ = Describe("the eligibility rule", func() {
	term := consistency.Term{Primary: "a", Number: 5, Confirmed: true}
	DescribeTable("a replica serves a floor",
		func(s group.Status, floor group.Position, want bool) {
			Expect(consistency.ReplicaServes(s, term, floor)).To(Equal(want))
		},
		Entry("at the floor", replica(5, 5, 30), group.Position{Term: 5, Index: 30}, true),
		Entry("not below it: a stale read", replica(5, 5, 29), group.Position{Term: 5, Index: 30}, false),
		Entry("not with a longer log of an older term: indexes of terms compared bare",
			replica(5, 4, 40), group.Position{Term: 5, Index: 30}, false),
		Entry("not while it follows an older term", replica(4, 4, 40), group.Position{Term: 4, Index: 10}, false),
		Entry("not for a floor of a later term: the instance's view is old",
			replica(5, 5, 40), group.Position{Term: 6, Index: 10}, false),
		Entry("of an older term once it shows the current one: else never served",
			replica(5, 5, 20), group.Position{Term: 4, Index: 99}, true),
		Entry("not with a divergent log: a replica that follows the term and has not discarded its own entries",
			replica(5, 4, 40), group.Position{Term: 3, Index: 10}, false),
		Entry("that is zero", replica(5, 5, 1), group.Position{}, true),
	)
	It("does not serve floors of older terms in an unconfirmed term, which a later term may skip", func() {
		unconfirmed := consistency.Term{Primary: "a", Number: 5}
		floor := group.Position{Term: 4, Index: 10}
		Expect(consistency.ReplicaServes(replica(5, 5, 20), unconfirmed, floor)).To(BeFalse())
		Expect(consistency.PrimaryServes(unconfirmed, floor)).To(BeFalse())
		Expect(consistency.PrimaryServes(unconfirmed, group.Position{Term: 5, Index: 20})).To(BeTrue())
	})
})

var _ = Describe("the choice of a member", func() {
	type m = consistency.Member
	floor := group.Position{Term: 5, Index: 30}
	fresh, stale := replica(5, 5, 30), replica(5, 5, 10)
	primary := m{Name: "a", Zone: "z1", InService: true, Known: true}
	near := m{Name: "b", Zone: "z1", InService: true, Known: true, Status: fresh, Load: 2}
	far := m{Name: "c", Zone: "z2", InService: true, Known: true, Status: fresh}
	with := func(x m, change func(*m)) m { change(&x); return x }
	lagging := func(x *m) { x.Status = stale }
	out := func(x *m) { x.InService = false }
	overloaded := func(x *m) { x.Saturated, x.Overloaded = true, true }
	read := consistency.Read{Floor: floor, Zone: "z1", MayWait: true}
	late := read
	late.MayWait = false
	aged := read
	aged.Aged, aged.AgeKnown, aged.AgeFloor = true, true, group.Position{Term: 5, Index: 31}
	unproved := late
	unproved.Aged = true
	use := func(name string) consistency.Decision {
		return consistency.Decision{Action: consistency.UseReplica, Member: name}
	}
	usePrimary := consistency.Decision{Action: consistency.UsePrimary, Member: "a"}

	DescribeTable("goes to",
		func(primaryName string, r consistency.Read, want consistency.Decision, members ...m) {
			term := consistency.Term{Primary: primaryName, Number: 5, Confirmed: true}
			Expect(consistency.Choose(term, members, r)).To(Equal(want))
		},
		Entry("the own zone: needless latency", "a", read, use("b"), primary, near, far),
		Entry("another zone when the own is saturated: queueing beside a free member", "a", read, use("c"),
			primary, with(near, func(x *m) { x.Saturated = true }), far),
		Entry("the least loaded of a zone", "a", read, use("c"),
			primary, near, with(far, func(x *m) { x.Zone = "z1" })),
		Entry("a farther replica when the near one lags: a stale read", "a", read, use("c"), primary, with(near, lagging), far),
		Entry("no replica out of service", "a", read, use("c"), primary, with(near, out), far),
		Entry("a replica with room, not the primary: reads that slow writes down", "a", read, use("c"),
			primary, with(near, overloaded), with(far, func(x *m) { x.Saturated = true })),
		Entry("the primary when all replicas are overloaded: reads that time out beside a free member", "a", read, usePrimary,
			primary, with(near, overloaded), with(far, overloaded)),
		Entry("an overloaded replica when the primary is saturated as well: reads that displace writes", "a", read, use("b"),
			with(primary, func(x *m) { x.Saturated = true }), with(near, overloaded)),
		Entry("nobody yet while all replicas lag", "a", read, consistency.Decision{Action: consistency.AwaitReplica},
			primary, with(near, lagging)),
		Entry("the primary once the wait is over", "a", late, usePrimary, primary, with(near, lagging)),
		Entry("the primary at once when there is no replica to wait for", "a", read, usePrimary, primary, with(near, out)),
		Entry("no primary out of service", "a", late, consistency.Decision{Action: consistency.AwaitPrimary},
			with(primary, out), with(near, lagging)),
		Entry("a replica while there is no primary", "", read, use("b"), with(primary, lagging), near),
		Entry("no replica beyond the stated age, although it meets the floor", "a", aged,
			consistency.Decision{Action: consistency.AwaitReplica}, primary, near),
		Entry("nobody when the age cannot be proved: the primary may have been replaced", "a", unproved,
			consistency.Decision{Action: consistency.AwaitPrimary}, primary, near),
	)
})

var _ = Describe("the age of data", func() {
	at := func(ms int) time.Time { return time.Unix(100, int64(ms)*1e6) }
	status := func(member string, term, received uint64) group.Status {
		s := group.Status{Member: member, Role: group.Replica, PromisedTerm: term, CurrentTerm: term, LogTerm: term, Received: received}
		if member == "a" {
			s.Role = group.Primary
		}
		return s
	}
	It("is not proved by a primary that a majority has left: data of any age", func() {
		l := consistency.NewAgeLog(3)
		l.Observe(status("b", 1, 5), at(0))
		l.Observe(status("a", 1, 5), at(10))
		_, ok := l.FloorSince(at(0))
		Expect(ok).To(BeTrue())
		_, ok = l.FloorSince(at(5))
		Expect(ok).To(BeFalse())
		fenced := status("b", 1, 5)
		fenced.PromisedTerm = 2
		l.Observe(fenced, at(20))
		_, ok = l.FloorSince(at(0))
		Expect(ok).To(BeFalse())
	})
	It("needs the oldest position within it: a replica passed over although it is fresh enough", func() {
		l := consistency.NewAgeLog(3)
		for i := range 600 {
			l.Observe(status("a", 1, uint64(i)), at(i))
			l.Observe(status("b", 1, 0), at(i))
		}
		floor, ok := l.FloorSince(at(590))
		Expect(ok).To(BeTrue())
		Expect(floor).To(Equal(group.Position{Term: 1, Index: 590}))
	})
})
