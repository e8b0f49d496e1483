package failover_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/failover"
	"github.com/mulberrysill/mulberrysill/core/group"
)

// makePrimary sets the statuses that follow the member's promotion in the term: the
// member is primary, and every other member that is not silent follows it, with its
// last contact with the primary 5 ms ago. It returns the new primary's status.
func (h *harness) makePrimary(member string, term uint64, owner string) group.Status {
	s := h.statuses[member]
	s.Role, s.PromisedTerm, s.PromisedOwner, s.CurrentTerm, s.PrimaryContact = group.Primary, term, owner, term, 0
	s.PreviousTerm = s.LogTerm
	s.LogTerm, s.Received, s.TermStart = term, s.Received+1, s.Received+1
	h.primaryDiedAt = time.Time{}
	for name, o := range h.statuses {
		if name != member && !h.silent[name] {
			o.Role, o.PromisedTerm, o.CurrentTerm, o.LogTerm, o.Received, o.PrimaryContact = group.Replica, term, term, term, s.Received, 5*ms
		}
	}
	return *s
}

// newFencingHarness returns a harness for the instance of rank 0, whose state machine
// has just started fencing with term 2 after m1 failed. Fencing asks every member
// to promise the term, which is a vote for the term and its owner. Once a majority
// has promised it, the former primary can no longer commit.
func newFencingHarness(outOfService ...string) *harness {
	h := newHarness(0)
	h.place([]string{"i1", "i2", "i3"}, outOfService...)
	h.killPrimary()
	h.run(450 * ms)
	Expect(h.fencedTerms()).To(Equal([]uint64{2, 2, 2})) // one request per member, the failed one included
	h.actions = nil
	return h
}

var _ = Describe("promotion", func() {
	// Guards against promotion by a minority.
	It("waits for a fenced majority", func() {
		h := newFencingHarness()
		h.grantFence("m2", 2)
		h.run(200 * ms)
		Expect(h.promotions()).To(BeEmpty())
	})

	// The most advanced log is the one whose last entry has the highest term, then
	// the highest index.
	// Guards against the loss of acknowledged entries.
	DescribeTable("chooses the candidate among the fenced members",
		func(term2, received2, term3, received3 uint64, outOfService []string, want string) {
			h := newFencingHarness(outOfService...)
			h.setLastEntry("m2", term2, received2)
			h.setLastEntry("m3", term3, received3)
			h.grantFence("m2", 2)
			h.grantFence("m3", 2)
			Expect(h.promotions()).To(Equal([]failover.Promote{{Member: want, Term: 2}}))
		},
		Entry("higher index in the same term", uint64(1), uint64(10), uint64(1), uint64(11), nil, "m3"),
		Entry("higher term wins over a higher index", uint64(1), uint64(10), uint64(0), uint64(40), nil, "m2"),
		Entry("prefers the lowest name on a tie", uint64(1), uint64(10), uint64(1), uint64(10), nil, "m2"),
		Entry("prefers a member in service on a tie", uint64(1), uint64(10), uint64(1), uint64(10), []string{"m2"}, "m3"),
		Entry("prefers the most advanced log although the member is out of service", uint64(1), uint64(11), uint64(1), uint64(10), []string{"m2"}, "m2"),
	)

	// Writes are held while SetView.Hold is set: new write transactions wait. They
	// are released, which means that they proceed, once Hold is cleared.
	// Guards against writes that stay held after the promotion.
	It("announces the new primary and releases writes", func() {
		h := newFencingHarness()
		h.grantFence("m2", 2)
		h.grantFence("m3", 2)
		h.step(failover.PromoteResult{Member: "m2", Term: 2, Promoted: true, Status: h.makePrimary("m2", 2, "self")})
		Expect(actionsOf[failover.AnnouncePrimary](h.actions)).To(Equal([]failover.AnnouncePrimary{
			{Primary: "m2", Term: 2, TermStart: 11, PreviousTerm: 1}}))
		Expect(h.view).To(Equal(failover.SetView{Primary: "m2", Term: 2, TermStart: 11, PreviousTerm: 1}))
	})

	// Guards against an unnecessary second promotion.
	It("detects by a probe that a promotion succeeded although its response was lost", func() {
		h := newFencingHarness()
		h.grantFence("m2", 2)
		h.grantFence("m3", 2)
		h.step(failover.PromoteResult{Member: "m2", Term: 2}) // no response arrived
		h.makePrimary("m2", 2, "self")
		h.run(time.Second)
		Expect(h.promotions()).To(HaveLen(1))
		Expect(h.view.Hold).To(BeFalse())
	})

	// Guards against two members promoted in one term.
	It("retries with a new term when no response to the promotion arrives", func() {
		h := newFencingHarness()
		h.grantFence("m2", 2)
		h.grantFence("m3", 2)
		h.run(time.Second)
		Expect(h.fencedTerms()).NotTo(BeEmpty())
		Expect(h.fencedTerms()[0]).To(BeEquivalentTo(3))
		Expect(h.promotions()).To(HaveLen(1))
	})

	// Guards against promoters that keep preempting each other.
	It("backs off when a member has promised a higher term, so that the owner of that term can promote", func() {
		h := newFencingHarness()
		h.grantFence("m2", 2)
		h.step(failover.FenceResult{Member: "m3", Term: 2, PromisedTerm: 5})
		h.run(250 * ms)
		Expect(h.fencedTerms()).To(BeEmpty())
		h.run(300 * ms)
		Expect(h.fencedTerms()).To(ContainElement(BeEquivalentTo(6)))
	})

	// Guards against a group that stays fenced after its promoter crashed.
	It("supersedes another instance's unfinished promotion", func() {
		h := newHarness(1)
		for _, name := range []string{"m1", "m3"} {
			h.statuses[name].PromisedTerm, h.statuses[name].PromisedOwner = 4, "crashed"
		}
		h.run(350 * ms)
		Expect(h.view.Hold).To(BeTrue())
		Expect(h.fencedTerms()).To(BeEmpty(), "the other promoter must get time to finish")
		h.run(350 * ms)
		Expect(h.fencedTerms()).To(Equal([]uint64{5, 5, 5}))
	})

	// Guards against views without the start of the term.
	It("adopts a primary promoted by another instance only from the status of that primary", func() {
		h := newFencingHarness()
		h.step(failover.PeerView{Instance: "i2", Primary: "m3", Term: 7, PrimarySeenAge: ms})
		Expect(h.view.Term).To(BeEquivalentTo(1))
		Expect(actionsOf[failover.Probe](h.actions)).To(ContainElement(failover.Probe{Member: "m3"}))
		h.makePrimary("m3", 7, "other")
		h.run(100 * ms)
		Expect(h.view).To(Equal(failover.SetView{Primary: "m3", Term: 7, TermStart: 11, PreviousTerm: 1}))
		Expect(actionsOf[failover.AnnouncePrimary](h.actions)).To(BeEmpty())
	})

	// Guards against writes sent to a former primary.
	It("ignores a former primary that responds again", func() {
		h := newFencingHarness()
		old := *h.statuses["m1"]
		h.makePrimary("m2", 2, "other")
		h.run(100 * ms)
		h.step(failover.StatusReceived{Status: old, RequestedAt: h.now})
		Expect(h.view.Primary).To(Equal("m2"))
	})

	// Guards against a new group that never gets a primary, and against an instance that
	// fences right after its own start, before it can have seen the primary.
	It("starts fencing in a group without a primary, after all members had time to respond", func() {
		h := newHarness(0)
		h.statuses["m1"].Role, h.statuses["m2"].PromisedTerm, h.peers = group.Replica, 3, nil
		h.machine = failover.New(failover.Config{Instance: "i1", Owner: "self"})
		h.place([]string{"i1", "i2", "i3"})
		h.run(350 * ms)
		Expect(h.view).To(Equal(failover.SetView{Hold: true}))
		Expect(h.fencedTerms()).To(BeEmpty())
		h.run(150 * ms)
		Expect(h.fencedTerms()).To(Equal([]uint64{4, 4, 4})) // above term 3, which m2 has promised
	})
})

// newSwitchoverHarness returns a harness for the instance of the given rank, in
// which the primary m1 has been taken out of service.
func newSwitchoverHarness(rank int) *harness {
	h := newHarness(rank)
	h.actions = nil
	h.place([]string{"i1", "i2", "i3"}, "m1")
	h.run(20 * ms)
	return h
}

// reportDrained reports that every instance holds new write transactions and that
// none is running any more.
func (h *harness) reportDrained() {
	for _, name := range []string{"i1", "i2", "i3"} {
		h.step(failover.HoldResult{Instance: name, Held: true})
	}
}

var _ = Describe("planned switchover", func() {
	// Guards against a long write interruption.
	It("holds writes, waits for running writes and for the target to catch up, then fences and promotes, all without a tick", func() {
		h := newSwitchoverHarness(0)
		Expect(actionsOf[failover.HoldWrites](h.actions)).To(HaveLen(1))
		Expect(h.view.Hold).To(BeTrue())
		h.statuses["m1"].Received, h.statuses["m3"].Received = 12, 11
		h.step(failover.HoldResult{Instance: "i1", Held: true})
		h.step(failover.HoldResult{Instance: "i2", Held: true, Running: 2})
		h.step(failover.HoldResult{Instance: "i3"}) // unreachable, not waited for
		Expect(actionsOf[failover.Probe](h.actions)).To(BeEmpty(), "a write is still running")
		h.step(failover.HoldResult{Instance: "i2", Held: true})
		Expect(actionsOf[failover.Probe](h.actions)).To(Equal([]failover.Probe{{Member: "m1"}}))
		h.step(failover.StatusReceived{Status: *h.statuses["m1"], RequestedAt: h.now})
		Expect(actionsOf[failover.AwaitPosition](h.actions)).To(ConsistOf(
			HaveField("Position", group.Position{Term: 1, Index: 12})))
		Expect(h.fencedTerms()).To(BeEmpty())
		target := actionsOf[failover.AwaitPosition](h.actions)[0].Member
		h.statuses[target].Received = 12
		h.step(failover.StatusReceived{Status: *h.statuses[target], RequestedAt: h.now})
		Expect(h.fencedTerms()).To(Equal([]uint64{2, 2, 2}))
		h.grantFence("m1", 2)
		Expect(h.promotions()).To(BeEmpty())
		h.grantFence(target, 2)
		Expect(h.promotions()).To(Equal([]failover.Promote{{Member: target, Term: 2}}))
	})

	// Guards against a switchover that promotes the former primary again.
	It("prefers the target of the switchover to a former primary with unacknowledged entries", func() {
		h := newSwitchoverHarness(0)
		h.reportDrained()
		h.step(failover.StatusReceived{Status: *h.statuses["m1"], RequestedAt: h.now})
		Expect(h.fencedTerms()).NotTo(BeEmpty())
		h.statuses["m1"].Received = 11 // a write sent by an instance that did not hold writes
		h.grantFence("m1", 2)
		h.grantFence("m2", 2)
		Expect(h.promotions()).To(BeEmpty())
		h.grantFence("m3", 2)
		Expect(h.promotions()).To(Equal([]failover.Promote{{Member: "m2", Term: 2}}))
	})

	// Guards against writes blocked by a stuck replica.
	It("cancels and releases writes when the target does not catch up", func() {
		h := newSwitchoverHarness(0)
		h.statuses["m1"].Received = 500
		h.reportDrained()
		h.run(1100 * ms)
		Expect(actionsOf[failover.HoldWrites](h.actions)).To(ContainElement(failover.HoldWrites{On: false, Term: 1}))
		Expect(h.fencedTerms()).To(BeEmpty())
		Expect(h.view.Hold).To(BeFalse())
	})

	// Guards against competing switchovers.
	It("lets the instance of rank 0 try first", func() {
		h := newSwitchoverHarness(1)
		h.run(2 * time.Second)
		Expect(h.actions).NotTo(ContainElement(BeAssignableToTypeOf(failover.HoldWrites{})))
		h.run(1500 * ms)
		Expect(h.actions).To(ContainElement(BeAssignableToTypeOf(failover.HoldWrites{})))
	})

	// Guards against writes held although no member can become primary.
	It("does not start when no other member in service follows the primary", func() {
		h := newHarness(0)
		h.place([]string{"i1", "i2", "i3"}, "m1", "m2", "m3")
		h.run(2 * time.Second)
		Expect(h.view.Hold).To(BeFalse())
	})

	// Guards against a replica that rejects log entries permanently.
	It("promotes the primary again in a higher term, so that a member fenced by an unfinished promotion accepts entries again", func() {
		h := newHarness(0)
		h.actions = nil
		h.statuses["m3"].PromisedTerm, h.statuses["m3"].PromisedOwner = 9, "crashed"
		h.run(900 * ms)
		Expect(h.view.Hold).To(BeFalse())
		h.run(300 * ms)
		h.reportDrained()
		h.run(100 * ms)
		Expect(h.fencedTerms()).To(Equal([]uint64{10, 10, 10}))
		h.grantFence("m2", 10)
		h.grantFence("m1", 10)
		Expect(h.promotions()).To(Equal([]failover.Promote{{Member: "m1", Term: 10}}))
	})

	// Guards against writes held for a crashed promoter.
	It("holds writes at the request of another instance for DefaultHoldLease at most, even if the request asks for longer", func() {
		h := newHarness(1)
		h.step(failover.HoldRequested{Term: 1, Lease: time.Hour})
		Expect(h.view.Hold).To(BeTrue())
		h.run(failover.DefaultHoldLease - 20*ms)
		Expect(h.view.Hold).To(BeTrue())
		h.run(50 * ms)
		Expect(h.view.Hold).To(BeFalse())
	})

	// Guards against a write interruption that lasts as long as the hold could.
	It("ends a hold requested by another instance when the new primary is known", func() {
		h := newHarness(1)
		h.step(failover.HoldRequested{Term: 1, Lease: time.Hour})
		h.step(failover.StatusReceived{Status: h.makePrimary("m2", 2, "other"), RequestedAt: h.now})
		Expect(h.view).To(Equal(failover.SetView{Primary: "m2", Term: 2, TermStart: 11, PreviousTerm: 1}))
	})
})
