package consistency_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
)

// replica returns the status of a replica that follows the term current and whose
// last applied entry is at the given term and index.
func replica(current, appliedTerm, applied uint64) group.Status {
	return group.Status{Role: group.Replica, CurrentTerm: current, AppliedTerm: appliedTerm, Applied: applied}
}

var _ = Describe("the rule for serving a floor", func() {
	term := consistency.Term{Primary: "a", Number: 5, Confirmed: true}
	DescribeTable("a replica serves a floor",
		func(s group.Status, floor group.Position, want bool) {
			Expect(consistency.ReplicaServes(s, term, floor)).To(Equal(want))
		},
		Entry("at the floor", replica(5, 5, 30), group.Position{Term: 5, Index: 30}, true),
		Entry("not when it has applied less: a stale read", replica(5, 5, 29), group.Position{Term: 5, Index: 30}, false),
		Entry("not with a longer log of an older term: indexes compared across terms",
			replica(5, 4, 40), group.Position{Term: 5, Index: 30}, false),
		Entry("not while it follows an older term", replica(4, 4, 40), group.Position{Term: 4, Index: 10}, false),
		Entry("not when the floor is of a later term: the instance's view is outdated",
			replica(5, 5, 40), group.Position{Term: 6, Index: 10}, false),
		Entry("of an older term once it has applied an entry of the current one: a floor that no member ever serves",
			replica(5, 5, 20), group.Position{Term: 4, Index: 99}, true),
		Entry("not with a divergent log: a replica that follows the term but has not discarded conflicting entries",
			replica(5, 4, 40), group.Position{Term: 3, Index: 10}, false),
		Entry("that is zero", replica(5, 5, 1), group.Position{}, true),
	)
	It("does not serve floors of older terms in an unconfirmed term, which the log of a later term may lack", func() {
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
	primary := m{Name: "a", Zone: "z1", InService: true, StatusKnown: true}
	near := m{Name: "b", Zone: "z1", InService: true, StatusKnown: true, Status: fresh, Load: 2}
	far := m{Name: "c", Zone: "z2", InService: true, StatusKnown: true, Status: fresh}
	with := func(x m, change func(*m)) m { change(&x); return x }
	lagging := func(x *m) { x.Status = stale }
	out := func(x *m) { x.InService = false }
	overloaded := func(x *m) { x.Saturated, x.Overloaded = true, true }
	read := consistency.Read{Floor: floor, Zone: "z1", MayWait: true}
	late := read
	late.MayWait = false
	aged := read
	aged.BoundsStaleness, aged.StalenessFloorKnown, aged.StalenessFloor = true, true, group.Position{Term: 5, Index: 31}
	unproved := late
	unproved.BoundsStaleness = true
	use := func(name string) consistency.Decision {
		return consistency.Decision{Action: consistency.UseReplica, Member: name}
	}
	usePrimary := consistency.Decision{Action: consistency.UsePrimary, Member: "a"}

	DescribeTable("goes to",
		func(primaryName string, r consistency.Read, want consistency.Decision, members ...m) {
			term := consistency.Term{Primary: primaryName, Number: 5, Confirmed: true}
			Expect(consistency.Choose(term, members, r)).To(Equal(want))
		},
		Entry("a replica in the same zone: needless latency", "a", read, use("b"), primary, near, far),
		Entry("another zone when the replica in the same zone is saturated: waiting while another member is free", "a", read, use("c"),
			primary, with(near, func(x *m) { x.Saturated = true }), far),
		Entry("the least loaded of a zone", "a", read, use("c"),
			primary, near, with(far, func(x *m) { x.Zone = "z1" })),
		Entry("a replica in another zone when the one in the same zone lags: a stale read", "a", read, use("c"), primary, with(near, lagging), far),
		Entry("no replica that is out of service", "a", read, use("c"), primary, with(near, out), far),
		Entry("a replica that is not overloaded rather than the primary: reads that slow down writes", "a", read, use("c"),
			primary, with(near, overloaded), with(far, func(x *m) { x.Saturated = true })),
		Entry("the primary when all replicas are overloaded: reads that time out while a member is free", "a", read, usePrimary,
			primary, with(near, overloaded), with(far, overloaded)),
		Entry("an overloaded replica when the primary is saturated as well: reads that displace writes", "a", read, use("b"),
			with(primary, func(x *m) { x.Saturated = true }), with(near, overloaded)),
		Entry("no member yet while all replicas lag", "a", read, consistency.Decision{Action: consistency.AwaitReplica},
			primary, with(near, lagging)),
		Entry("the primary once the wait is over", "a", late, usePrimary, primary, with(near, lagging)),
		Entry("the primary at once when there is no replica to wait for", "a", read, usePrimary, primary, with(near, out)),
		Entry("no primary that is out of service", "a", late, consistency.Decision{Action: consistency.AwaitPrimary},
			with(primary, out), with(near, lagging)),
		Entry("a replica while there is no primary", "", read, use("b"), with(primary, lagging), near),
		Entry("no replica that exceeds the staleness bound, although it meets the floor", "a", aged,
			consistency.Decision{Action: consistency.AwaitReplica}, primary, near),
		Entry("no member when the staleness cannot be bounded: the primary may have been replaced", "a", unproved,
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
	It("is not bounded by a primary that a majority no longer follows: data of any age", func() {
		l := consistency.NewStalenessTracker(3)
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
	It("is bounded by the oldest position that is recent enough: a replica rejected although it is fresh enough", func() {
		l := consistency.NewStalenessTracker(3)
		for i := range 600 {
			l.Observe(status("a", 1, uint64(i)), at(i))
			l.Observe(status("b", 1, 0), at(i))
		}
		floor, ok := l.FloorSince(at(590))
		Expect(ok).To(BeTrue())
		Expect(floor).To(Equal(group.Position{Term: 1, Index: 590}))
	})
})
