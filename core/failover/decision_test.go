package failover_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/failover"
	"github.com/mulberrysill/mulberrysill/core/group"
)

// rig drives one machine by hand. Members in answers reply to a probe every
// 100 ms with the row that the test set.
type rig struct {
	m       *failover.Machine
	now     time.Time
	rows    map[string]*group.Status
	silent  map[string]bool
	peers   func(r *rig)
	diedAt  time.Time // the primary's death, if it died
	view    failover.SetView
	actions []failover.Action
}

// newRig returns a machine with the rank among three instances, and a group
// whose primary is m1 in term 1.
func newRig(rank int) *rig {
	serving := []string{"i1", "i2", "i3"}
	r := &rig{now: epoch, rows: map[string]*group.Status{}, silent: map[string]bool{}}
	r.m = failover.New(failover.Config{Instance: serving[rank], Owner: "self", Rand: rand.New(rand.NewPCG(3, 3))})
	for _, name := range []string{"m1", "m2", "m3"} {
		r.rows[name] = &group.Status{Member: name, Role: group.Replica, PromisedTerm: 1, CurrentTerm: 1,
			LogTerm: 1, Received: 10, Applied: 10, TermStart: 1, PrimaryContact: 5 * ms}
	}
	r.rows["m1"].Role, r.rows["m1"].PrimaryContact = group.Primary, 0
	r.peers = peersAgree
	r.place(serving)
	r.run(time.Second)
	return r
}

func (r *rig) place(serving []string, out ...string) {
	p := failover.Placement{Serving: serving}
	for _, name := range []string{"m1", "m2", "m3"} {
		in := true
		for _, o := range out {
			in = in && o != name
		}
		p.Members = append(p.Members, failover.MemberPlacement{Name: name, InService: in})
	}
	r.step(p)
}

func (r *rig) step(ev failover.Event) {
	for _, a := range r.m.Step(r.now, ev) {
		if v, ok := a.(failover.SetView); ok {
			r.view = v
		}
		r.actions = append(r.actions, a)
	}
}

// kill stops the primary m1 for instances and replicas alike.
func (r *rig) kill() {
	r.silent["m1"], r.diedAt = true, r.now
}

// run passes time in ticks of 10 ms, with probes every 100 ms.
func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(10 * ms)
		if r.now.Sub(epoch)%(100*ms) == 0 {
			r.probeAll()
		}
		r.step(failover.Tick{})
	}
}

func (r *rig) probeAll() {
	for _, name := range []string{"m1", "m2", "m3"} {
		if !r.diedAt.IsZero() {
			r.rows[name].PrimaryContact = r.now.Sub(r.diedAt)
		}
		if !r.silent[name] {
			r.step(failover.StatusReceived{Status: *r.rows[name], AskedAt: r.now})
		}
	}
	if r.peers != nil {
		r.peers(r)
	}
}

// peersAgree makes the other instances report what this one sees.
func peersAgree(r *rig) {
	v := failover.PeerView{Instance: "i2", Primary: "m1", Term: 1, SeenAge: 10 * ms}
	if !r.diedAt.IsZero() {
		v.SeenAge = r.now.Sub(r.diedAt)
	}
	r.step(v)
}

// peerSees makes the other instances report the member as seen just now.
func peerSees(member string, term uint64) func(*rig) {
	return func(r *rig) {
		for _, name := range []string{"i1", "i2", "i3"} {
			r.step(failover.PeerView{Instance: name, Primary: member, Term: term, SeenAge: 10 * ms})
		}
	}
}

// fenced returns the terms of all Fence actions so far.
func (r *rig) fenced() []uint64 {
	var terms []uint64
	for _, a := range r.actions {
		if f, ok := a.(failover.Fence); ok {
			terms = append(terms, f.Term)
		}
	}
	return terms
}

func (r *rig) promoted() []failover.Promote { return only[failover.Promote](r.actions) }

func only[T failover.Action](actions []failover.Action) []T {
	var list []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			list = append(list, t)
		}
	}
	return list
}

// grant answers the fence of the term for the member.
func (r *rig) grant(member string, term uint64) {
	s := r.rows[member]
	s.PromisedTerm, s.PromisedOwner = term, "self"
	r.step(failover.FenceResult{Member: member, Term: term, Granted: true, Status: *s})
}

// log sets the last entry of a member's log.
func (r *rig) log(member string, term, received uint64) {
	r.rows[member].LogTerm, r.rows[member].Received = term, received
}

var _ = Describe("detection", func() {
	It("leaves a healthy group alone", func() { // guards against promotions without cause
		r := newRig(0)
		r.run(5 * time.Second)
		Expect(r.fenced()).To(BeEmpty())
		Expect(r.view).To(Equal(failover.SetView{Primary: "m1", Term: 1, TermStart: 1}))
	})

	It("holds writes after 400 ms of silence and fences all members", func() { // guards against slow or missing detection
		r := newRig(0)
		r.kill()
		r.run(380 * ms)
		Expect(r.view.Hold).To(BeFalse())
		r.run(70 * ms)
		Expect(r.view.Hold).To(BeTrue())
		Expect(r.fenced()).To(Equal([]uint64{2, 2, 2}))
	})

	It("delays the promotion by 150 ms per rank", func() { // guards against competing promoters
		r := newRig(2)
		r.kill()
		r.run(690 * ms)
		Expect(r.fenced()).To(BeEmpty())
		r.run(60 * ms)
		Expect(r.fenced()).NotTo(BeEmpty())
	})

	It("never promotes on an instance that does not serve the group", func() { // guards against promoters outside the serving set
		r := newRig(0)
		r.place([]string{"i2", "i3"})
		r.kill()
		r.run(5 * time.Second)
		Expect(r.fenced()).To(BeEmpty())
	})

	It("promotes when a majority has lost contact although everyone reaches the primary", func() { // guards against a primary cut off from its group
		r := newRig(0)
		r.peers = peerSees("m1", 1)
		r.rows["m2"].PrimaryContact, r.rows["m3"].PrimaryContact = 600*ms, 600*ms
		r.run(150 * ms)
		Expect(r.view.Hold).To(BeTrue())
		Expect(r.fenced()).NotTo(BeEmpty())
	})

	It("keeps the primary when one replica has lost contact", func() { // guards against failover for a lost replica
		r := newRig(0)
		r.rows["m3"].PrimaryContact = time.Minute
		r.run(3 * time.Second)
		Expect(r.fenced()).To(BeEmpty())
		Expect(r.view.Hold).To(BeFalse())
	})

	It("holds writes but does not promote when only this instance cannot see the primary", func() { // guards against one bad link interrupting everyone
		r := newRig(0)
		r.peers = peerSees("m1", 1)
		r.silent["m1"] = true
		r.run(3 * time.Second)
		Expect(r.view.Hold).To(BeTrue())
		Expect(r.fenced()).To(BeEmpty())
		r.peers, r.diedAt = peersAgree, r.now // now everyone loses it
		r.run(time.Second)
		Expect(r.fenced()).NotTo(BeEmpty())
	})

	It("does not promote when cut off from peers and primary while replicas hear it", func() { // guards against the same with no peer to ask
		r := newRig(0)
		r.peers = nil
		r.silent["m1"] = true
		r.run(3 * time.Second)
		Expect(r.view.Hold).To(BeTrue())
		Expect(r.fenced()).To(BeEmpty())
		r.place([]string{"i1"}) // no other instance is left that could see it
		r.run(100 * ms)
		Expect(r.fenced()).NotTo(BeEmpty())
	})

	It("does not promote without a reachable majority", func() { // guards against fencing that cannot succeed
		r := newRig(0)
		r.kill()
		r.silent["m2"] = true
		r.run(3 * time.Second)
		Expect(r.fenced()).To(BeEmpty())
		Expect(r.view.Hold).To(BeTrue())
	})

	It("does not blame the primary for its own pause", func() { // guards against promotions by an instance that wakes up
		r := newRig(0)
		r.now = r.now.Add(5 * time.Second)
		r.step(failover.Tick{})
		Expect(r.view.Hold).To(BeFalse())
		r.run(time.Second)
		Expect(r.fenced()).To(BeEmpty())
	})

	It("does not count answers that were asked for long ago", func() { // guards against trust in answers read after a pause
		r := newRig(0)
		asked := r.now
		r.silent["m1"] = true
		for range 100 {
			r.run(10 * ms)
			r.step(failover.StatusReceived{Status: *r.rows["m1"], AskedAt: asked})
		}
		Expect(r.view.Hold).To(BeTrue())
	})
})
