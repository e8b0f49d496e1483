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

// This file simulates a database group and its serving instances in virtual
// time. Each instance runs a real Machine; network, members and writes are
// simulated.

const ms = time.Millisecond

var epoch = time.Unix(1_000_000, 0)

type entry struct {
	term uint64
	id   int
}

// simMember is a group member that follows the contract in docs/design.md,
// section 3.
type simMember struct {
	name             string
	log              []entry
	promisedTerm     uint64
	promisedOwner    string
	currentTerm      uint64
	isPrimary        bool
	primaryContactAt time.Time
	down, paused     bool
}

func (m *simMember) status(now time.Time) group.Status {
	s := group.Status{Member: m.name, Role: group.Replica, PromisedTerm: m.promisedTerm, PromisedOwner: m.promisedOwner,
		CurrentTerm: m.currentTerm, Received: uint64(len(m.log)), Applied: uint64(len(m.log))}
	if n := len(m.log); n > 0 {
		s.LogTerm, s.AppliedTerm = m.log[n-1].term, m.log[n-1].term
	}
	i, found := slices.BinarySearchFunc(m.log, m.currentTerm, func(e entry, term uint64) int { return int(e.term) - int(term) })
	if found {
		s.TermStart = uint64(i + 1)
		if i > 0 {
			s.PreviousTerm = m.log[i-1].term
		}
	}
	if m.isPrimary {
		s.Role = group.Primary
	} else {
		s.PrimaryContact = now.Sub(m.primaryContactAt)
	}
	return s
}

func (m *simMember) fence(term uint64, owner string) bool {
	if term < m.promisedTerm || (term == m.promisedTerm && owner != m.promisedOwner) {
		return false
	}
	m.promisedTerm, m.promisedOwner = term, owner
	return true
}

// accept replicates the primary's log to the member, at most batch entries beyond
// their common prefix.
func (m *simMember) accept(p *simMember, now time.Time, batch int) {
	if p.currentTerm < m.promisedTerm {
		return
	}
	if p.currentTerm > m.promisedTerm {
		m.promisedTerm, m.promisedOwner = p.currentTerm, p.promisedOwner
	}
	// Logs that have the same entry at an index are identical up to it.
	common := min(len(m.log), len(p.log))
	for common > 0 && m.log[common-1] != p.log[common-1] {
		common--
	}
	end := min(len(p.log), common+batch)
	m.log = append(m.log[:common], p.log[common:end]...)
	m.currentTerm, m.isPrimary, m.primaryContactAt = p.currentTerm, false, now
}

type timer struct {
	at  time.Time
	seq int
	run func()
}
type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timerQueue) Pop() any     { o := *q; t := o[len(o)-1]; *q = o[:len(o)-1]; return t }

// promotion records a successful mulberry_promote call and the member's log at
// that time, as a set of write IDs.
type promotion struct {
	term   uint64
	member string
	at     time.Time
	log    map[int]bool
}

type ackedWrite struct {
	term uint64
	id   int
}

type simInstance struct {
	name          string
	epoch         int
	machine       *failover.Machine
	view          failover.SetView
	crashed       bool
	deferred      []func() // deliveries queued until the end of a pause
	paused        bool
	runningWrites int
}

type sim struct {
	now              time.Time
	timerSeq         int
	timers           timerQueue
	rng              *rand.Rand
	memberNames      []string
	members          map[string]*simMember
	outOfService     map[string]bool // members that are out of service
	instances        []*simInstance
	cutLinks         map[string]bool // "a|b": no message passes between a and b
	lossRate         float64         // fraction of member responses and peer messages lost
	replicationBatch int

	promotions    []promotion
	ackedWrites   []ackedWrite
	ackingPrimary map[uint64]string
	violations    []string
	nextID        int
	// maxAckGap is the longest time between two acknowledgements.
	lastAck   time.Time
	maxAckGap time.Duration
	// interceptAction, if set, is called with each action before it is executed
	// and may prevent its execution.
	interceptAction func(in *simInstance, a failover.Action) (stopped bool)
}

func newSim(seed uint64, instances int) *sim {
	s := &sim{now: epoch, rng: rand.New(rand.NewPCG(seed, 7)), members: map[string]*simMember{},
		outOfService: map[string]bool{}, cutLinks: map[string]bool{}, ackingPrimary: map[uint64]string{}, replicationBatch: 50}
	for _, name := range []string{"m1", "m2", "m3"} {
		s.memberNames = append(s.memberNames, name)
		s.members[name] = &simMember{name: name, promisedTerm: 1, currentTerm: 1, log: []entry{{term: 1}}, primaryContactAt: s.now}
	}
	s.members["m1"].isPrimary = true
	for i := range instances {
		s.instances = append(s.instances, &simInstance{name: fmt.Sprintf("i%d", i+1)})
		s.start(s.instances[i])
	}
	s.every(5*ms, s.replicate)
	return s
}

func (s *sim) after(d time.Duration, f func()) {
	s.timerSeq++
	heap.Push(&s.timers, timer{s.now.Add(d), s.timerSeq, f})
}

func (s *sim) every(d time.Duration, f func()) {
	var g func()
	g = func() { f(); s.after(d, g) }
	s.after(d, g)
}

func (s *sim) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.timers) > 0 && !s.timers[0].at.After(end) {
		t := heap.Pop(&s.timers).(timer)
		s.now = t.at
		t.run()
	}
	s.now = end
}

func (s *sim) connected(a, b string) bool { return !s.cutLinks[a+"|"+b] && !s.cutLinks[b+"|"+a] }

// replicate sends the log of each unfenced primary to the members that it can reach.
func (s *sim) replicate() {
	for _, primaryName := range s.memberNames {
		p := s.members[primaryName]
		if !p.isPrimary || p.promisedTerm != p.currentTerm || p.down || p.paused {
			continue
		}
		for _, name := range s.memberNames {
			if m := s.members[name]; name != primaryName && !m.down && !m.paused && s.connected(primaryName, name) {
				m.accept(p, s.now, s.replicationBatch)
			}
		}
	}
}

// start starts a new process of the instance with a new owner identity.
func (s *sim) start(in *simInstance) {
	in.epoch++
	in.crashed, in.view, in.runningWrites = false, failover.SetView{Hold: true}, 0
	in.machine = failover.New(failover.Config{Instance: in.name, Owner: fmt.Sprintf("%s/%d", in.name, in.epoch),
		Rand: rand.New(rand.NewPCG(s.rng.Uint64(), 1))})
	s.step(in, s.placement())
	processEpoch := in.epoch
	loop := func(d time.Duration, f func()) {
		var g func()
		g = func() {
			if in.epoch == processEpoch && !in.crashed {
				s.runOnInstance(in, f)
				s.after(d, g)
			}
		}
		s.after(time.Duration(s.rng.IntN(int(d/ms)))*ms, g)
	}
	loop(10*ms, func() { s.step(in, failover.Tick{}) })
	loop(100*ms, func() {
		for _, name := range s.memberNames {
			s.probe(in, name)
		}
	})
	loop(500*ms, func() { s.exchangeViews(in) })
	loop(20*ms, func() { s.startWrite(in) })
}

func (s *sim) placement() failover.Placement {
	p := failover.Placement{}
	for _, name := range s.memberNames {
		p.Members = append(p.Members, failover.MemberPlacement{Name: name, InService: !s.outOfService[name]})
	}
	for _, in := range s.instances {
		p.Serving = append(p.Serving, in.name)
	}
	return p
}

// runOnInstance runs f now, or at the end of the pause if the instance is paused.
func (s *sim) runOnInstance(in *simInstance, f func()) {
	switch {
	case in.crashed:
	case in.paused:
		if len(in.deferred) < 100 {
			in.deferred = append(in.deferred, f)
		}
	default:
		f()
	}
}

// resume ends an instance's pause and delivers the queued events immediately. The
// queue is bounded, so a placement event may have been dropped; the placement is
// delivered again because bundles, unlike messages, are never lost.
func (s *sim) resume(in *simInstance) {
	in.paused = false
	waiting := in.deferred
	in.deferred = nil
	for _, f := range waiting {
		s.runOnInstance(in, f)
	}
	s.runOnInstance(in, func() { s.step(in, s.placement()) })
}

// setOutOfService changes a member's placement on every instance.
func (s *sim) setOutOfService(member string, out bool) {
	s.outOfService[member] = out
	for _, in := range s.instances {
		s.runOnInstance(in, func() { s.step(in, s.placement()) })
	}
}

// call sends a request from an instance to a member. done receives nil if the
// request or its response was lost.
func (s *sim) call(in *simInstance, member string, do func(*simMember) any, done func(any)) {
	processEpoch, answered := in.epoch, false
	finish := func(v any) {
		s.runOnInstance(in, func() {
			if !answered && in.epoch == processEpoch {
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
		if m.paused { // a paused member handles the request after it resumes
			s.after(20*ms, arrive)
			return
		}
		v := do(m)
		if s.rng.Float64() < s.lossRate {
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

func (s *sim) latency() time.Duration { return time.Duration(1+s.rng.IntN(3)) * ms }

func (s *sim) probe(in *simInstance, member string) {
	asked := s.now
	s.call(in, member, func(m *simMember) any { return m.status(s.now) }, func(v any) {
		if v == nil {
			s.step(in, failover.ProbeFailed{Member: member})
			return
		}
		s.step(in, failover.StatusReceived{Status: v.(group.Status), RequestedAt: asked})
	})
}

func (s *sim) exchangeViews(in *simInstance) {
	for _, peer := range s.instances {
		if peer == in {
			continue
		}
		s.sendToPeer(in, peer, func() {
			v := peerViewOf(peer, s.now)
			s.sendToPeer(peer, in, func() { s.step(in, v) })
		})
		v := peerViewOf(in, s.now)
		s.sendToPeer(in, peer, func() { s.step(peer, v) })
	}
}

func peerViewOf(in *simInstance, now time.Time) failover.PeerView {
	age, ok := in.machine.PrimarySeenAge(now)
	if !ok {
		return failover.PeerView{Instance: in.name}
	}
	return failover.PeerView{Instance: in.name, Primary: in.view.Primary, Term: in.view.Term, PrimarySeenAge: age}
}

func (s *sim) sendToPeer(from, to *simInstance, f func()) {
	s.after(s.latency(), func() {
		if s.connected(from.name, to.name) && s.rng.Float64() >= s.lossRate {
			s.runOnInstance(to, f)
		}
	})
}

func (s *sim) step(in *simInstance, ev failover.Event) {
	for _, a := range in.machine.Step(s.now, ev) {
		s.execute(in, a)
	}
}

func (s *sim) execute(in *simInstance, action failover.Action) {
	owner := fmt.Sprintf("%s/%d", in.name, in.epoch)
	if s.interceptAction != nil && s.interceptAction(in, action) {
		return
	}
	switch a := action.(type) {
	case failover.Fence:
		s.call(in, a.Member, func(m *simMember) any {
			ok := m.fence(a.Term, owner)
			return failover.FenceResult{Member: a.Member, Term: a.Term, Granted: ok, Status: m.status(s.now), PromisedTerm: m.promisedTerm}
		}, func(v any) {
			r, ok := v.(failover.FenceResult)
			if !ok {
				r = failover.FenceResult{Member: a.Member, Term: a.Term}
			}
			s.step(in, r)
		})
	case failover.Promote:
		s.call(in, a.Member, func(m *simMember) any {
			ok := s.promote(m, a.Term, owner)
			return failover.PromoteResult{Member: a.Member, Term: a.Term, Promoted: ok, Status: m.status(s.now)}
		}, func(v any) {
			r, ok := v.(failover.PromoteResult)
			if !ok {
				r = failover.PromoteResult{Member: a.Member, Term: a.Term}
			}
			s.step(in, r)
		})
	case failover.HoldWrites:
		for _, peer := range s.instances {
			s.sendToPeer(in, peer, func() {
				if peer != in {
					s.step(peer, failover.HoldRequested{Term: a.Term, Lease: a.Lease, Release: !a.On})
				}
				r := failover.HoldResult{Instance: peer.name, Held: a.On, Running: uint64(peer.runningWrites)}
				s.sendToPeer(peer, in, func() { s.step(in, r) })
			})
		}
	case failover.AnnouncePrimary:
		for _, peer := range s.instances {
			if peer != in {
				s.sendToPeer(in, peer, func() {
					s.step(peer, failover.PeerView{Instance: in.name, Primary: a.Primary, Term: a.Term})
				})
			}
		}
	case failover.RequestPeerViews:
		s.exchangeViews(in)
	case failover.Probe:
		s.probe(in, a.Member)
	case failover.AwaitPosition:
		s.probe(in, a.Member)
	case failover.SetView:
		in.view = a
	}
}

func (s *sim) promote(m *simMember, term uint64, owner string) bool {
	if m.promisedTerm != term || m.promisedOwner != owner {
		return false
	}
	if m.isPrimary && m.currentTerm == term {
		return true
	}
	p := promotion{term: term, member: m.name, at: s.now, log: map[int]bool{}}
	for _, e := range m.log {
		p.log[e.id] = true
	}
	for _, q := range s.promotions {
		if q.term == term {
			s.violations = append(s.violations, fmt.Sprintf("%s and %s are both primary of term %d", q.member, m.name, term))
		}
	}
	s.promotions = append(s.promotions, p)
	m.currentTerm, m.isPrimary = term, true
	m.log = append(m.log, entry{term: term})
	return true
}

// startWrite sends one write through the instance and waits for its confirmation.
func (s *sim) startWrite(in *simInstance) {
	v := in.view
	if v.Hold || v.Primary == "" || in.runningWrites >= 20 {
		return
	}
	s.nextID++
	id := s.nextID
	in.runningWrites++
	processEpoch := in.epoch
	done := func() {
		if in.epoch == processEpoch {
			in.runningWrites--
		}
	}
	s.call(in, v.Primary, func(m *simMember) any {
		if !m.isPrimary || m.promisedTerm != m.currentTerm {
			return group.Position{}
		}
		m.log = append(m.log, entry{m.currentTerm, id})
		return group.Position{Term: m.currentTerm, Index: uint64(len(m.log))}
	}, func(r any) {
		p, ok := r.(group.Position)
		if !ok || p.IsZero() {
			done()
			return
		}
		s.pollConfirmations(in, v.Primary, id, p, s.now.Add(time.Second), done)
	})
}

// pollConfirmations polls the members until a majority confirms the position or
// the time end has passed.
func (s *sim) pollConfirmations(in *simInstance, primary string, id int, p group.Position, end time.Time, done func()) {
	confirming, answers := 0, 0
	for _, name := range s.memberNames {
		s.call(in, name, func(m *simMember) any { return m.status(s.now) }, func(v any) {
			answers++
			if st, ok := v.(group.Status); ok && st.Confirms(p) {
				confirming++
				if confirming == group.Majority(len(s.memberNames)) {
					s.acknowledge(primary, ackedWrite{p.Term, id})
					done()
				}
			}
			if answers == len(s.memberNames) && confirming < group.Majority(len(s.memberNames)) {
				if s.now.After(end) {
					done()
					return
				}
				s.after(5*ms, func() { s.runOnInstance(in, func() { s.pollConfirmations(in, primary, id, p, end, done) }) })
			}
		})
	}
}

func (s *sim) acknowledge(primary string, a ackedWrite) {
	if by, ok := s.ackingPrimary[a.term]; ok && by != primary {
		s.violations = append(s.violations, fmt.Sprintf("%s and %s both confirmed in term %d", by, primary, a.term))
	}
	s.ackingPrimary[a.term] = primary
	s.ackedWrites = append(s.ackedWrites, a)
	s.maxAckGap = max(s.maxAckGap, s.now.Sub(s.lastAck))
	s.lastAck = s.now
}

// safetyViolation describes the first violation of a safety property, or returns "".
func (s *sim) safetyViolation() string {
	for _, p := range s.promotions {
		for _, a := range s.ackedWrites {
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

// primaryEstablished reports whether all live instances allow writes and agree on
// a primary that a majority of members follows.
func (s *sim) primaryEstablished() bool {
	var view *failover.SetView
	for _, in := range s.instances {
		switch {
		case in.crashed:
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
		if p != nil && p.isPrimary && m.currentTerm == p.currentTerm && m.promisedTerm == p.currentTerm {
			followers++
		}
	}
	return followers >= group.Majority(len(s.members))
}

// memberNotFollowing returns a member that does not follow the current primary's
// term or would reject its entries, or "".
func (s *sim) memberNotFollowing() string {
	for _, name := range s.memberNames {
		if m := s.members[name]; m.currentTerm != s.instances[0].view.Term || m.promisedTerm != m.currentTerm {
			return name
		}
	}
	return ""
}
