package failover_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/failover"
	"github.com/mulberrysill/mulberrysill/core/group"
)

// lead makes the member's row that of the primary of the term.
func (r *rig) lead(member string, term uint64, owner string) group.Status {
	s := r.rows[member]
	s.Role, s.PromisedTerm, s.PromisedOwner, s.CurrentTerm, s.PrimaryContact = group.Primary, term, owner, term, 0
	s.PreviousTerm = s.LogTerm
	s.LogTerm, s.Received, s.TermStart = term, s.Received+1, s.Received+1
	r.diedAt = time.Time{}
	for name, o := range r.rows {
		if name != member && !r.silent[name] {
			o.Role, o.PromisedTerm, o.CurrentTerm, o.LogTerm, o.Received, o.PrimaryContact = group.Replica, term, term, term, s.Received, 5*ms
		}
	}
	return *s
}

// electing returns a rig that has just fenced with term 2 after m1's death.
func electing(out ...string) *rig {
	r := newRig(0)
	r.place([]string{"i1", "i2", "i3"}, out...)
	r.kill()
	r.run(450 * ms)
	Expect(r.fenced()).To(Equal([]uint64{2, 2, 2}))
	r.actions = nil
	return r
}

var _ = Describe("promotion", func() {
	It("waits for a fenced majority", func() { // guards against promotion on a minority
		r := electing()
		r.grant("m2", 2)
		r.run(200 * ms)
		Expect(r.promoted()).To(BeEmpty())
	})

	DescribeTable("chooses among the fenced members", // guards against the loss of confirmed writes
		func(term2, received2, term3, received3 uint64, out []string, want string) {
			r := electing(out...)
			r.log("m2", term2, received2)
			r.log("m3", term3, received3)
			r.grant("m2", 2)
			r.grant("m3", 2)
			Expect(r.promoted()).To(Equal([]failover.Promote{{Member: want, Term: 2}}))
		},
		Entry("longest log in one term", uint64(1), uint64(10), uint64(1), uint64(11), nil, "m3"),
		Entry("higher log term before a longer log", uint64(1), uint64(10), uint64(0), uint64(40), nil, "m2"),
		Entry("lowest name on a tie", uint64(1), uint64(10), uint64(1), uint64(10), nil, "m2"),
		Entry("in service on a tie", uint64(1), uint64(10), uint64(1), uint64(10), []string{"m2"}, "m3"),
		Entry("most advanced although out of service", uint64(1), uint64(11), uint64(1), uint64(10), []string{"m2"}, "m2"),
	)

	It("announces the new primary and releases writes", func() { // guards against writes held after the promotion
		r := electing()
		r.grant("m2", 2)
		r.grant("m3", 2)
		r.step(failover.PromoteResult{Member: "m2", Term: 2, Done: true, Status: r.lead("m2", 2, "self")})
		Expect(only[failover.AnnouncePrimary](r.actions)).To(Equal([]failover.AnnouncePrimary{
			{Primary: "m2", Term: 2, TermStart: 11, PreviousTerm: 1}}))
		Expect(r.view).To(Equal(failover.SetView{Primary: "m2", Term: 2, TermStart: 11, PreviousTerm: 1}))
	})

	It("learns from a probe that a promotion succeeded whose answer was lost", func() { // guards against a needless second promotion
		r := electing()
		r.grant("m2", 2)
		r.grant("m3", 2)
		r.step(failover.PromoteResult{Member: "m2", Term: 2})
		r.lead("m2", 2, "self")
		r.run(time.Second)
		Expect(r.promoted()).To(HaveLen(1))
		Expect(r.view.Hold).To(BeFalse())
	})

	It("tries again with a term that it has never used", func() { // guards against two members promoted in one term
		r := electing()
		r.grant("m2", 2)
		r.grant("m3", 2)
		r.run(time.Second)
		Expect(r.fenced()).NotTo(BeEmpty())
		Expect(r.fenced()[0]).To(BeEquivalentTo(3))
		Expect(r.promoted()).To(HaveLen(1))
	})

	It("yields to a higher promise and gives its owner time", func() { // guards against promoters that undo each other's work
		r := electing()
		r.grant("m2", 2)
		r.step(failover.FenceResult{Member: "m3", Term: 2, PromisedTerm: 5})
		r.run(250 * ms)
		Expect(r.fenced()).To(BeEmpty())
		r.run(300 * ms)
		Expect(r.fenced()).To(ContainElement(BeEquivalentTo(6)))
	})

	It("finishes another's half-done promotion", func() { // guards against a fenced group whose promoter died
		r := newRig(1)
		for _, name := range []string{"m1", "m3"} {
			r.rows[name].PromisedTerm, r.rows[name].PromisedOwner = 4, "dead"
		}
		r.run(350 * ms)
		Expect(r.view.Hold).To(BeTrue())
		Expect(r.fenced()).To(BeEmpty(), "the other promoter gets time to finish")
		r.run(350 * ms)
		Expect(r.fenced()).To(Equal([]uint64{5, 5, 5}))
	})

	It("adopts another's primary from its own answer", func() { // guards against views without the start of the term
		r := electing()
		r.step(failover.PeerView{Instance: "i2", Primary: "m3", Term: 7, SeenAge: ms})
		Expect(r.view.Term).To(BeEquivalentTo(1))
		Expect(only[failover.Probe](r.actions)).To(ContainElement(failover.Probe{Member: "m3"}))
		r.lead("m3", 7, "other")
		r.run(100 * ms)
		Expect(r.view).To(Equal(failover.SetView{Primary: "m3", Term: 7, TermStart: 11, PreviousTerm: 1}))
		Expect(only[failover.AnnouncePrimary](r.actions)).To(BeEmpty())
	})

	It("does not go back to an old primary that wakes up", func() { // guards against writes sent to a replaced primary
		r := electing()
		old := *r.rows["m1"]
		r.lead("m2", 2, "other")
		r.run(100 * ms)
		r.step(failover.StatusReceived{Status: old, AskedAt: r.now})
		Expect(r.view.Primary).To(Equal("m2"))
	})

	It("elects a first primary in a group without one, not before every member had time to answer", func() { // guards against a new group that never starts, and against haste at the start of an instance
		r := newRig(0)
		r.rows["m1"].Role, r.rows["m2"].PromisedTerm, r.peers = group.Replica, 3, nil
		r.m = failover.New(failover.Config{Instance: "i1", Owner: "self"})
		r.place([]string{"i1", "i2", "i3"})
		r.run(350 * ms)
		Expect(r.view).To(Equal(failover.SetView{Hold: true}))
		Expect(r.fenced()).To(BeEmpty())
		r.run(150 * ms)
		Expect(r.fenced()).To(Equal([]uint64{4, 4, 4}))
	})
})

// switching returns a rig in which m1 has been taken out of service.
func switching(rank int) *rig {
	r := newRig(rank)
	r.actions = nil
	r.place([]string{"i1", "i2", "i3"}, "m1")
	r.run(20 * ms)
	return r
}

func (r *rig) drained() {
	for _, name := range []string{"i1", "i2", "i3"} {
		r.step(failover.HoldResult{Instance: name, Held: true})
	}
}

var _ = Describe("planned switchover", func() {
	It("holds, drains, catches up, fences and promotes without waiting for a tick", func() { // guards against a long planned gap
		r := switching(0)
		Expect(only[failover.HoldWrites](r.actions)).To(HaveLen(1))
		Expect(r.view.Hold).To(BeTrue())
		r.rows["m1"].Received, r.rows["m3"].Received = 12, 11
		r.step(failover.HoldResult{Instance: "i1", Held: true})
		r.step(failover.HoldResult{Instance: "i2", Held: true, Running: 2})
		r.step(failover.HoldResult{Instance: "i3"}) // unreachable, not waited for
		Expect(only[failover.Probe](r.actions)).To(BeEmpty(), "a write still runs")
		r.step(failover.HoldResult{Instance: "i2", Held: true})
		Expect(only[failover.Probe](r.actions)).To(Equal([]failover.Probe{{Member: "m1"}}))
		r.step(failover.StatusReceived{Status: *r.rows["m1"], AskedAt: r.now})
		Expect(only[failover.AwaitPosition](r.actions)).To(ConsistOf(
			HaveField("Position", group.Position{Term: 1, Index: 12})))
		Expect(r.fenced()).To(BeEmpty())
		target := only[failover.AwaitPosition](r.actions)[0].Member
		r.rows[target].Received = 12
		r.step(failover.StatusReceived{Status: *r.rows[target], AskedAt: r.now})
		Expect(r.fenced()).To(Equal([]uint64{2, 2, 2}))
		r.grant("m1", 2)
		Expect(r.promoted()).To(BeEmpty())
		r.grant(target, 2)
		Expect(r.promoted()).To(Equal([]failover.Promote{{Member: target, Term: 2}}))
	})

	It("prefers the target to an old primary with unacknowledged entries", func() { // guards against a switchover that changes nothing
		r := switching(0)
		r.drained()
		r.step(failover.StatusReceived{Status: *r.rows["m1"], AskedAt: r.now})
		Expect(r.fenced()).NotTo(BeEmpty())
		r.rows["m1"].Received = 11 // a write that slipped through an instance that did not hold
		r.grant("m1", 2)
		r.grant("m2", 2)
		Expect(r.promoted()).To(BeEmpty())
		r.grant("m3", 2)
		Expect(r.promoted()).To(Equal([]failover.Promote{{Member: "m2", Term: 2}}))
	})

	It("gives up and releases writes when the target does not catch up", func() { // guards against writes held behind a stuck replica
		r := switching(0)
		r.rows["m1"].Received = 500
		r.drained()
		r.run(1100 * ms)
		Expect(only[failover.HoldWrites](r.actions)).To(ContainElement(failover.HoldWrites{On: false, Term: 1}))
		Expect(r.fenced()).To(BeEmpty())
		Expect(r.view.Hold).To(BeFalse())
	})

	It("leaves the first attempt to the first rank", func() { // guards against competing switchovers
		r := switching(1)
		r.run(2 * time.Second)
		Expect(r.actions).NotTo(ContainElement(BeAssignableToTypeOf(failover.HoldWrites{})))
		r.run(1500 * ms)
		Expect(r.actions).To(ContainElement(BeAssignableToTypeOf(failover.HoldWrites{})))
	})

	It("stays when no other member in service follows the primary", func() { // guards against held writes without a target
		r := newRig(0)
		r.place([]string{"i1", "i2", "i3"}, "m1", "m2", "m3")
		r.run(2 * time.Second)
		Expect(r.view.Hold).To(BeFalse())
	})

	It("brings back a member stranded by an unfinished promotion", func() { // guards against a replica that rejects entries for good
		r := newRig(0)
		r.actions = nil
		r.rows["m3"].PromisedTerm, r.rows["m3"].PromisedOwner = 9, "dead"
		r.run(900 * ms)
		Expect(r.view.Hold).To(BeFalse())
		r.run(300 * ms)
		r.drained()
		r.run(100 * ms)
		Expect(r.fenced()).To(Equal([]uint64{10, 10, 10}))
		r.grant("m2", 10)
		r.grant("m1", 10)
		Expect(r.promoted()).To(Equal([]failover.Promote{{Member: "m1", Term: 10}}))
	})

	It("holds writes for another instance no longer than the lease", func() { // guards against writes held for a dead promoter
		r := newRig(1)
		r.step(failover.HoldRequested{Term: 1, Lease: time.Hour})
		Expect(r.view.Hold).To(BeTrue())
		r.run(failover.DefaultHoldLease - 20*ms)
		Expect(r.view.Hold).To(BeTrue())
		r.run(50 * ms)
		Expect(r.view.Hold).To(BeFalse())
	})

	It("ends the hold for another instance when its primary is in place", func() { // guards against a planned gap of a whole lease
		r := newRig(1)
		r.step(failover.HoldRequested{Term: 1, Lease: time.Hour})
		r.step(failover.StatusReceived{Status: r.lead("m2", 2, "other"), AskedAt: r.now})
		Expect(r.view).To(Equal(failover.SetView{Primary: "m2", Term: 2, TermStart: 11, PreviousTerm: 1}))
	})
})
