package failover_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrysill/mulberrysill/core/failover"
	"github.com/mulberrysill/mulberrysill/core/group"
)

// The simulation runs machines against a modelled group in virtual time.

const ms = time.Millisecond

var epoch = time.Unix(1_000_000, 0)

type entry struct {
	term uint64
	id   int
}

// modelMember implements the contract of section 3 of the design.
type modelMember struct {
	name          string
	log           []entry
	promised      uint64
	owner         string
	current       uint64
	primary       bool
	heard         time.Time
	down, stopped bool
}

func (m *modelMember) status(now time.Time) group.Status {
	s := group.Status{Member: m.name, Role: group.Replica, PromisedTerm: m.promised, PromisedOwner: m.owner,
		CurrentTerm: m.current, Received: uint64(len(m.log)), Applied: uint64(len(m.log))}
	if n := len(m.log); n > 0 {
		s.LogTerm, s.AppliedTerm = m.log[n-1].term, m.log[n-1].term
	}
	i, found := slices.BinarySearchFunc(m.log, m.current, func(e entry, term uint64) int { return int(e.term) - int(term) })
	if found {
		s.TermStart = uint64(i + 1)
		if i > 0 {
			s.PreviousTerm = m.log[i-1].term
		}
	}
	if m.primary {
		s.Role = group.Primary
	} else {
		s.PrimaryContact = now.Sub(m.heard)
	}
	return s
}

func (m *modelMember) fence(term uint64, owner string) bool {
	if term < m.promised || (term == m.promised && owner != m.owner) {
		return false
	}
	m.promised, m.owner = term, owner
	return true
}

// accept takes the log of a primary, at most batch entries beyond its own.
func (m *modelMember) accept(p *modelMember, now time.Time, batch int) {
	if p.current < m.promised {
		return
	}
	if p.current > m.promised {
		m.promised, m.owner = p.current, p.owner
	}
	// Logs that agree on an entry agree on everything before it.
	common := min(len(m.log), len(p.log))
	for common > 0 && m.log[common-1] != p.log[common-1] {
		common--
	}
	end := min(len(p.log), common+batch)
	m.log = append(m.log[:common], p.log[common:end]...)
	m.current, m.primary, m.heard = p.current, false, now
}

type timer struct {
	at  time.Time
	seq int
	run func()
}
type queue []timer

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *queue) Pop() any     { o := *q; t := o[len(o)-1]; *q = o[:len(o)-1]; return t }

// promotion is a successful mulberry_promote with the log at that time.
type promotion struct {
	term   uint64
	member string
	at     time.Time
	log    map[int]bool
}

type acked struct {
	term uint64
	id   int
}

type instance struct {
	name    string
	epoch   int
	machine *failover.Machine
	view    failover.SetView
	dead    bool
	paused  []func() // deliveries that wait for the end of a pause
	stopped bool
	running int
}

type sim struct {
	now     time.Time
	seq     int
	q       queue
	rnd     *rand.Rand
	order   []string
	members map[string]*modelMember
	outOf   map[string]bool // members that are out of service
	insts   []*instance
	cut     map[string]bool // "a|b": nothing passes between a and b
	loss    float64         // share of answers lost
	batch   int

	promotions []promotion
	acked      []acked
	ackedBy    map[uint64]string
	violations []string
	nextID     int
	// maxGap is the longest time between two acknowledgements.
	lastAck time.Time
	maxGap  time.Duration
	// trap, if set, sees each action first and may stop its execution.
	trap func(in *instance, a failover.Action) (stopped bool)
}

func newSim(seed uint64, instances int) *sim {
	s := &sim{now: epoch, rnd: rand.New(rand.NewPCG(seed, 7)), members: map[string]*modelMember{},
		outOf: map[string]bool{}, cut: map[string]bool{}, ackedBy: map[uint64]string{}, batch: 50}
	for _, name := range []string{"m1", "m2", "m3"} {
		s.order = append(s.order, name)
		s.members[name] = &modelMember{name: name, promised: 1, current: 1, log: []entry{{term: 1}}, heard: s.now}
	}
	s.members["m1"].primary = true
	for i := range instances {
		s.insts = append(s.insts, &instance{name: fmt.Sprintf("i%d", i+1)})
		s.start(s.insts[i])
	}
	s.every(5*ms, s.replicate)
	return s
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.q, timer{s.now.Add(d), s.seq, f})
}

func (s *sim) every(d time.Duration, f func()) {
	var g func()
	g = func() { f(); s.after(d, g) }
	s.after(d, g)
}

func (s *sim) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.q) > 0 && !s.q[0].at.After(end) {
		t := heap.Pop(&s.q).(timer)
		s.now = t.at
		t.run()
	}
	s.now = end
}

func (s *sim) connected(a, b string) bool { return !s.cut[a+"|"+b] && !s.cut[b+"|"+a] }

// replicate lets each primary push its log to the members that it reaches.
func (s *sim) replicate() {
	for _, pn := range s.order {
		p := s.members[pn]
		if !p.primary || p.promised != p.current || p.down || p.stopped {
			continue
		}
		for _, name := range s.order {
			if m := s.members[name]; name != pn && !m.down && !m.stopped && s.connected(pn, name) {
				m.accept(p, s.now, s.batch)
			}
		}
	}
}

// start begins a new process of the instance, with a new owner identity.
func (s *sim) start(in *instance) {
	in.epoch++
	in.dead, in.view, in.running = false, failover.SetView{Hold: true}, 0
	in.machine = failover.New(failover.Config{Instance: in.name, Owner: fmt.Sprintf("%s/%d", in.name, in.epoch),
		Rand: rand.New(rand.NewPCG(s.rnd.Uint64(), 1))})
	s.step(in, s.placement())
	gen := in.epoch
	loop := func(d time.Duration, f func()) {
		var g func()
		g = func() {
			if in.epoch == gen && !in.dead {
				s.local(in, f)
				s.after(d, g)
			}
		}
		s.after(time.Duration(s.rnd.IntN(int(d/ms)))*ms, g)
	}
	loop(10*ms, func() { s.step(in, failover.Tick{}) })
	loop(100*ms, func() {
		for _, name := range s.order {
			s.probe(in, name)
		}
	})
	loop(500*ms, func() { s.exchangeViews(in) })
	loop(20*ms, func() { s.write(in) })
}

func (s *sim) placement() failover.Placement {
	p := failover.Placement{}
	for _, name := range s.order {
		p.Members = append(p.Members, failover.MemberPlacement{Name: name, InService: !s.outOf[name]})
	}
	for _, in := range s.insts {
		p.Serving = append(p.Serving, in.name)
	}
	return p
}

// local runs f now, or at the end of the instance's pause.
func (s *sim) local(in *instance, f func()) {
	switch {
	case in.dead:
	case in.stopped:
		if len(in.paused) < 100 {
			in.paused = append(in.paused, f)
		}
	default:
		f()
	}
}

// wake ends an instance's pause; what has waited is delivered at once. The
// queue of a paused instance is bounded, so the placement is delivered anew: a
// bundle is not lost, unlike messages.
func (s *sim) wake(in *instance) {
	in.stopped = false
	waiting := in.paused
	in.paused = nil
	for _, f := range waiting {
		s.local(in, f)
	}
	s.local(in, func() { s.step(in, s.placement()) })
}

// setOutOfService changes a member's placement on every instance.
func (s *sim) setOutOfService(member string, out bool) {
	s.outOf[member] = out
	for _, in := range s.insts {
		s.local(in, func() { s.step(in, s.placement()) })
	}
}

// call sends a request from an instance to a member. done gets nil if the
// request or its answer was lost.
func (s *sim) call(in *instance, member string, do func(*modelMember) any, done func(any)) {
	gen, answered := in.epoch, false
	finish := func(v any) {
		s.local(in, func() {
			if !answered && in.epoch == gen {
				answered = true
				done(v)
			}
		})
	}
	s.after(300*ms, func() { finish(nil) })
	var arrive func()
	arrive = func() {
		m := s.members[member]
		if m.down || !s.connected(in.name, member) {
			return
		}
		if m.stopped { // a paused member serves the request when it wakes up
			s.after(20*ms, arrive)
			return
		}
		v := do(m)
		if s.rnd.Float64() < s.loss {
			return
		}
		s.after(s.latency(), func() {
			if s.connected(in.name, member) {
				finish(v)
			}
		})
	}
	s.after(s.latency(), arrive)
}

func (s *sim) latency() time.Duration { return time.Duration(1+s.rnd.IntN(3)) * ms }

func (s *sim) probe(in *instance, member string) {
	asked := s.now
	s.call(in, member, func(m *modelMember) any { return m.status(s.now) }, func(v any) {
		if v == nil {
			s.step(in, failover.ProbeFailed{Member: member})
			return
		}
		s.step(in, failover.StatusReceived{Status: v.(group.Status), AskedAt: asked})
	})
}

func (s *sim) exchangeViews(in *instance) {
	for _, peer := range s.insts {
		if peer == in {
			continue
		}
		s.toPeer(in, peer, func() {
			v := peerViewOf(peer, s.now)
			s.toPeer(peer, in, func() { s.step(in, v) })
		})
		v := peerViewOf(in, s.now)
		s.toPeer(in, peer, func() { s.step(peer, v) })
	}
}

func peerViewOf(in *instance, now time.Time) failover.PeerView {
	age, ok := in.machine.PrimarySeenAge(now)
	if !ok {
		return failover.PeerView{Instance: in.name}
	}
	return failover.PeerView{Instance: in.name, Primary: in.view.Primary, Term: in.view.Term, SeenAge: age}
}

func (s *sim) toPeer(from, to *instance, f func()) {
	s.after(s.latency(), func() {
		if s.connected(from.name, to.name) && s.rnd.Float64() >= s.loss {
			s.local(to, f)
		}
	})
}

func (s *sim) step(in *instance, ev failover.Event) {
	for _, a := range in.machine.Step(s.now, ev) {
		s.execute(in, a)
	}
}

func (s *sim) execute(in *instance, action failover.Action) {
	owner := fmt.Sprintf("%s/%d", in.name, in.epoch)
	if s.trap != nil && s.trap(in, action) {
		return
	}
	switch a := action.(type) {
	case failover.Fence:
		s.call(in, a.Member, func(m *modelMember) any {
			ok := m.fence(a.Term, owner)
			return failover.FenceResult{Member: a.Member, Term: a.Term, Granted: ok, Status: m.status(s.now), PromisedTerm: m.promised}
		}, func(v any) {
			r, ok := v.(failover.FenceResult)
			if !ok {
				r = failover.FenceResult{Member: a.Member, Term: a.Term}
			}
			s.step(in, r)
		})
	case failover.Promote:
		s.call(in, a.Member, func(m *modelMember) any {
			ok := s.promote(m, a.Term, owner)
			return failover.PromoteResult{Member: a.Member, Term: a.Term, Done: ok, Status: m.status(s.now)}
		}, func(v any) {
			r, ok := v.(failover.PromoteResult)
			if !ok {
				r = failover.PromoteResult{Member: a.Member, Term: a.Term}
			}
			s.step(in, r)
		})
	case failover.HoldWrites:
		for _, peer := range s.insts {
			s.toPeer(in, peer, func() {
				if peer != in {
					s.step(peer, failover.HoldRequested{Term: a.Term, Lease: a.Lease, Release: !a.On})
				}
				r := failover.HoldResult{Instance: peer.name, Held: a.On, Running: uint64(peer.running)}
				s.toPeer(peer, in, func() { s.step(in, r) })
			})
		}
	case failover.AnnouncePrimary:
		for _, peer := range s.insts {
			if peer != in {
				s.toPeer(in, peer, func() {
					s.step(peer, failover.PeerView{Instance: in.name, Primary: a.Primary, Term: a.Term})
				})
			}
		}
	case failover.AskPeers:
		s.exchangeViews(in)
	case failover.Probe:
		s.probe(in, a.Member)
	case failover.AwaitPosition:
		s.probe(in, a.Member)
	case failover.SetView:
		in.view = a
	}
}

func (s *sim) promote(m *modelMember, term uint64, owner string) bool {
	if m.promised != term || m.owner != owner {
		return false
	}
	if m.primary && m.current == term {
		return true
	}
	p := promotion{term: term, member: m.name, at: s.now, log: map[int]bool{}}
	for _, e := range m.log {
		p.log[e.id] = true
	}
	for _, q := range s.promotions {
		if q.term == term {
			s.violations = append(s.violations, fmt.Sprintf("%s and %s both lead term %d", q.member, m.name, term))
		}
	}
	s.promotions = append(s.promotions, p)
	m.current, m.primary = term, true
	m.log = append(m.log, entry{term: term})
	return true
}

// write sends one write through the instance and waits for its confirmation.
func (s *sim) write(in *instance) {
	v := in.view
	if v.Hold || v.Primary == "" || in.running >= 20 {
		return
	}
	s.nextID++
	id := s.nextID
	in.running++
	gen := in.epoch
	done := func() {
		if in.epoch == gen {
			in.running--
		}
	}
	s.call(in, v.Primary, func(m *modelMember) any {
		if !m.primary || m.promised != m.current {
			return group.Position{}
		}
		m.log = append(m.log, entry{m.current, id})
		return group.Position{Term: m.current, Index: uint64(len(m.log))}
	}, func(r any) {
		p, ok := r.(group.Position)
		if !ok || p.IsZero() {
			done()
			return
		}
		s.confirm(in, v.Primary, id, p, s.now.Add(time.Second), done)
	})
}

// confirm asks the members until a majority has the position in its own term.
func (s *sim) confirm(in *instance, primary string, id int, p group.Position, end time.Time, done func()) {
	confirming, answers := 0, 0
	for _, name := range s.order {
		s.call(in, name, func(m *modelMember) any { return m.status(s.now) }, func(v any) {
			answers++
			if st, ok := v.(group.Status); ok && st.Confirms(p) {
				confirming++
				if confirming == group.Majority(len(s.order)) {
					s.acknowledge(primary, acked{p.Term, id})
					done()
				}
			}
			if answers == len(s.order) && confirming < group.Majority(len(s.order)) {
				if s.now.After(end) {
					done()
					return
				}
				s.after(5*ms, func() { s.local(in, func() { s.confirm(in, primary, id, p, end, done) }) })
			}
		})
	}
}

func (s *sim) acknowledge(primary string, a acked) {
	if by, ok := s.ackedBy[a.term]; ok && by != primary {
		s.violations = append(s.violations, fmt.Sprintf("%s and %s both confirmed in term %d", by, primary, a.term))
	}
	s.ackedBy[a.term] = primary
	s.acked = append(s.acked, a)
	s.maxGap = max(s.maxGap, s.now.Sub(s.lastAck))
	s.lastAck = s.now
}

// check returns the first broken safety property, or "".
func (s *sim) check() string {
	for _, p := range s.promotions {
		for _, a := range s.acked {
			if a.term < p.term && !p.log[a.id] {
				return fmt.Sprintf("write %d, confirmed in term %d, is missing on %s, primary of term %d", a.id, a.term, p.member, p.term)
			}
		}
	}
	if len(s.violations) > 0 {
		return s.violations[0]
	}
	return ""
}

// inPlace reports whether every live instance serves writes on a primary that a
// majority of members follows.
func (s *sim) inPlace() bool {
	var view *failover.SetView
	for _, in := range s.insts {
		switch {
		case in.dead:
		case in.view.Hold, view != nil && in.view != *view:
			return false
		default:
			view = &in.view
		}
	}
	if view == nil {
		return false
	}
	p, followers := s.members[view.Primary], 0
	for _, m := range s.members {
		if p != nil && p.primary && m.current == p.current && m.promised == p.current {
			followers++
		}
	}
	return followers >= group.Majority(len(s.members))
}

// stranded returns a member that rejects the entries of the present primary, or "".
func (s *sim) stranded() string {
	for _, name := range s.order {
		if m := s.members[name]; m.current != s.insts[0].view.Term || m.promised != m.current {
			return name
		}
	}
	return ""
}
