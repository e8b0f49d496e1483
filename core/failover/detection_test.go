package failover_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/failover"
	"github.com/mulberrysill/mulberrysill/core/group"
)

// harness drives one machine manually. Every 100 ms the members, except silent
// ones, respond to a probe with the status set by the test.
type harness struct {
	machine       *failover.Machine
	now           time.Time
	statuses      map[string]*group.Status
	silent        map[string]bool
	peers         func(h *harness)
	primaryDiedAt time.Time // when the primary failed; zero if it has not
	view          failover.SetView
	actions       []failover.Action
}

// newHarness returns a harness for an instance of the given rank among three, and
// a group whose primary is m1 in term 1.
func newHarness(rank int) *harness {
	serving := []string{"i1", "i2", "i3"}
	h := &harness{now: epoch, statuses: map[string]*group.Status{}, silent: map[string]bool{}}
	h.machine = failover.New(failover.Config{Instance: serving[rank], Owner: "self", Rand: rand.New(rand.NewPCG(3, 3))})
	for _, name := range []string{"m1", "m2", "m3"} {
		h.statuses[name] = &group.Status{Member: name, Role: group.Replica, PromisedTerm: 1, CurrentTerm: 1,
			LogTerm: 1, Received: 10, Applied: 10, TermStart: 1, PrimaryContact: 5 * ms}
	}
	h.statuses["m1"].Role, h.statuses["m1"].PrimaryContact = group.Primary, 0
	h.peers = peersAgree
	h.place(serving)
	h.run(time.Second)
	return h
}

func (h *harness) place(serving []string, out ...string) {
	p := failover.Placement{Serving: serving}
	for _, name := range []string{"m1", "m2", "m3"} {
		in := true
		for _, o := range out {
			in = in && o != name
		}
		p.Members = append(p.Members, failover.MemberPlacement{Name: name, InService: in})
	}
	h.step(p)
}

func (h *harness) step(ev failover.Event) {
	for _, a := range h.machine.Step(h.now, ev) {
		if v, ok := a.(failover.SetView); ok {
			h.view = v
		}
		h.actions = append(h.actions, a)
	}
}

// killPrimary makes the primary m1 unreachable for instances and replicas.
func (h *harness) killPrimary() {
	h.silent["m1"], h.primaryDiedAt = true, h.now
}

// run advances time in ticks of 10 ms, with probes every 100 ms.
func (h *harness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(10 * ms)
		if h.now.Sub(epoch)%(100*ms) == 0 {
			h.probeAll()
		}
		h.step(failover.Tick{})
	}
}

func (h *harness) probeAll() {
	for _, name := range []string{"m1", "m2", "m3"} {
		if !h.primaryDiedAt.IsZero() {
			h.statuses[name].PrimaryContact = h.now.Sub(h.primaryDiedAt)
		}
		if !h.silent[name] {
			h.step(failover.StatusReceived{Status: *h.statuses[name], RequestedAt: h.now})
		}
	}
	if h.peers != nil {
		h.peers(h)
	}
}

// peersAgree makes another instance report the same view as this one.
func peersAgree(h *harness) {
	v := failover.PeerView{Instance: "i2", Primary: "m1", Term: 1, PrimarySeenAge: 10 * ms}
	if !h.primaryDiedAt.IsZero() {
		v.PrimarySeenAge = h.now.Sub(h.primaryDiedAt)
	}
	h.step(v)
}

// peersSeePrimary makes the other instances report that they have just seen the
// member as primary of the term.
func peersSeePrimary(member string, term uint64) func(*harness) {
	return func(h *harness) {
		for _, name := range []string{"i1", "i2", "i3"} {
			h.step(failover.PeerView{Instance: name, Primary: member, Term: term, PrimarySeenAge: 10 * ms})
		}
	}
}

// fencedTerms returns the terms of all Fence actions so far.
func (h *harness) fencedTerms() []uint64 {
	var terms []uint64
	for _, a := range h.actions {
		if f, ok := a.(failover.Fence); ok {
			terms = append(terms, f.Term)
		}
	}
	return terms
}

func (h *harness) promotions() []failover.Promote { return actionsOf[failover.Promote](h.actions) }

func actionsOf[T failover.Action](actions []failover.Action) []T {
	var list []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			list = append(list, t)
		}
	}
	return list
}

// grantFence delivers the member's promise of the term.
func (h *harness) grantFence(member string, term uint64) {
	s := h.statuses[member]
	s.PromisedTerm, s.PromisedOwner = term, "self"
	h.step(failover.FenceResult{Member: member, Term: term, Granted: true, Status: *s})
}

// setLastEntry sets the term and index of the last entry in a member's log.
func (h *harness) setLastEntry(member string, term, received uint64) {
	h.statuses[member].LogTerm, h.statuses[member].Received = term, received
}

var _ = Describe("detection", func() {
	// Guards against promotions without cause.
	It("does nothing while the group is healthy", func() {
		h := newHarness(0)
		h.run(5 * time.Second)
		Expect(h.fencedTerms()).To(BeEmpty())
		Expect(h.view).To(Equal(failover.SetView{Primary: "m1", Term: 1, TermStart: 1}))
	})

	// Guards against slow or missing detection.
	It("holds writes and fences all members after 400 ms without a response", func() {
		h := newHarness(0)
		h.killPrimary()
		h.run(380 * ms)
		Expect(h.view.Hold).To(BeFalse())
		h.run(70 * ms)
		Expect(h.view.Hold).To(BeTrue())
		Expect(h.fencedTerms()).To(Equal([]uint64{2, 2, 2}))
	})

	// Guards against instances that compete to promote.
	It("delays the promotion by 150 ms per rank", func() {
		h := newHarness(2)
		h.killPrimary()
		h.run(690 * ms)
		Expect(h.fencedTerms()).To(BeEmpty())
		h.run(60 * ms)
		Expect(h.fencedTerms()).NotTo(BeEmpty())
	})

	// Guards against promotions by instances outside the serving set.
	It("never promotes on an instance that does not serve the group", func() {
		h := newHarness(0)
		h.place([]string{"i2", "i3"})
		h.killPrimary()
		h.run(5 * time.Second)
		Expect(h.fencedTerms()).To(BeEmpty())
	})

	// Guards against a primary disconnected from its group.
	It("promotes when a majority has lost contact although all instances reach the primary", func() {
		h := newHarness(0)
		h.peers = peersSeePrimary("m1", 1)
		h.statuses["m2"].PrimaryContact, h.statuses["m3"].PrimaryContact = 600*ms, 600*ms
		h.run(150 * ms)
		Expect(h.view.Hold).To(BeTrue())
		Expect(h.fencedTerms()).NotTo(BeEmpty())
	})

	// Guards against failover because of one disconnected replica.
	It("keeps the primary when one replica has lost contact", func() {
		h := newHarness(0)
		h.statuses["m3"].PrimaryContact = time.Minute
		h.run(3 * time.Second)
		Expect(h.fencedTerms()).To(BeEmpty())
		Expect(h.view.Hold).To(BeFalse())
	})

	// Guards against one bad link interrupting writes on all instances.
	It("holds writes but does not promote when only this instance cannot reach the primary", func() {
		h := newHarness(0)
		h.peers = peersSeePrimary("m1", 1)
		h.silent["m1"] = true
		h.run(3 * time.Second)
		Expect(h.view.Hold).To(BeTrue())
		Expect(h.fencedTerms()).To(BeEmpty())
		h.peers, h.primaryDiedAt = peersAgree, h.now // now no instance reaches the primary
		h.run(time.Second)
		Expect(h.fencedTerms()).NotTo(BeEmpty())
	})

	// Guards against one isolated instance interrupting writes on all others.
	It("does not promote when disconnected from peers and primary while replicas still reach it", func() {
		h := newHarness(0)
		h.peers = nil
		h.silent["m1"] = true
		h.run(3 * time.Second)
		Expect(h.view.Hold).To(BeTrue())
		Expect(h.fencedTerms()).To(BeEmpty())
		h.place([]string{"i1"}) // no other instance is left that could reach the primary
		h.run(100 * ms)
		Expect(h.fencedTerms()).NotTo(BeEmpty())
	})

	// Guards against fencing that cannot succeed.
	It("does not promote without a reachable majority", func() {
		h := newHarness(0)
		h.killPrimary()
		h.silent["m2"] = true
		h.run(3 * time.Second)
		Expect(h.fencedTerms()).To(BeEmpty())
		Expect(h.view.Hold).To(BeTrue())
	})

	// Guards against promotions by an instance that resumes after a pause.
	It("does not count its own pause as silence of the primary", func() {
		h := newHarness(0)
		h.now = h.now.Add(5 * time.Second)
		h.step(failover.Tick{})
		Expect(h.view.Hold).To(BeFalse())
		h.run(time.Second)
		Expect(h.fencedTerms()).To(BeEmpty())
	})

	// Guards against trust in stale responses read after a pause.
	It("does not count late responses as contact", func() {
		h := newHarness(0)
		asked := h.now
		h.silent["m1"] = true
		for range 100 {
			h.run(10 * ms)
			h.step(failover.StatusReceived{Status: *h.statuses["m1"], RequestedAt: asked})
		}
		Expect(h.view.Hold).To(BeTrue())
	})
})
