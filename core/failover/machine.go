package failover

import (
	"slices"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// memberState is what is known of one member.
type memberState struct {
	place MemberPlacement
	// status is the answer to the latest question; askedAt is its time.
	status  group.Status
	askedAt time.Time
	// contact is the time of the last timely answer. failed says that a probe
	// has failed since.
	contact time.Time
	failed  bool
	// promised is the highest term that the member is known to have promised.
	promised uint64
}

// primaryState is the primary of the highest term seen.
type primaryState struct {
	member       string
	term         uint64
	termStart    uint64
	previousTerm uint64
	adoptedAt    time.Time
	// contact is the time of its last timely answer as primary of the term.
	contact time.Time
}

// peerState is the latest view of a peer.
type peerState struct {
	primary string
	term    uint64
	seenAt  time.Time
	heardAt time.Time
}

// Machine is the failover state of one group on one instance. It is not safe
// for use by several goroutines.
type Machine struct {
	cfg     Config
	order   []string
	members map[string]*memberState
	peers   map[string]peerState
	serving []string
	rank    int

	primary primaryState
	// highest is the highest term seen or used; a new attempt uses highest+1,
	// so this process never asks for one term twice.
	highest uint64

	lastStep   time.Time
	awakeSince time.Time
	askedPeers time.Time

	// caseSeen is the case that assess found last, since the time caseSince.
	caseSeen  situation
	caseSince time.Time
	// notBefore delays the next attempt: back-off, or another's attempt.
	notBefore time.Time
	// rankJitter is drawn once per case.
	rankJitter time.Duration

	attempt attempt

	peerHoldUntil time.Time
	peerHoldTerm  uint64

	view    SetView
	viewSet bool
	actions []Action
}

// New returns a Machine that knows no members yet.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:     cfg.withDefaults(),
		members: map[string]*memberState{},
		peers:   map[string]peerState{},
		rank:    -1,
	}
}

// Step takes an event at the time now and returns the actions to execute.
// Times must not go back from one step to the next.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = nil
	m.notePause(now)
	switch e := ev.(type) {
	case StatusReceived:
		m.observe(now, e.Status, e.AskedAt)
	case ProbeFailed:
		m.probeFailed(now, e.Member)
	case PeerView:
		m.peerView(now, e)
	case Placement:
		m.place(e)
	case FenceResult:
		m.fenceResult(now, e)
	case PromoteResult:
		m.promoteResult(now, e)
	case HoldResult:
		m.holdResult(e)
	case HoldRequested:
		m.holdRequested(now, e)
	case Tick:
	}
	m.advance(now)
	m.updateView(now)
	return m.actions
}

// TickInterval returns the time within which the next Tick is due.
func (m *Machine) TickInterval() time.Duration {
	if m.attempt.phase != idle || m.caseSeen != healthy {
		return busyTick
	}
	return steadyTick
}

// PrimarySeenAge returns the time since the primary last answered, for the
// views that are sent to peers; ok is false if no primary was ever seen.
func (m *Machine) PrimarySeenAge(now time.Time) (age time.Duration, ok bool) {
	if m.primary.member == "" || m.primary.contact.IsZero() {
		return 0, false
	}
	return now.Sub(m.primary.contact), true
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// notePause restarts silence measurements after a pause of this process.
func (m *Machine) notePause(now time.Time) {
	if m.lastStep.IsZero() || now.Sub(m.lastStep) > pauseGap {
		m.awakeSince = now
	}
	m.lastStep = now
}

func (m *Machine) place(p Placement) {
	m.order = m.order[:0]
	keep := map[string]*memberState{}
	for _, pl := range p.Members {
		st := m.members[pl.Name]
		if st == nil {
			st = &memberState{}
		}
		st.place = pl
		keep[pl.Name] = st
		m.order = append(m.order, pl.Name)
	}
	slices.Sort(m.order)
	m.members = keep
	if keep[m.primary.member] == nil {
		m.primary.member = ""
	}
	m.serving = slices.Clone(p.Serving)
	m.rank = slices.Index(p.Serving, m.cfg.Instance)
	for name := range m.peers {
		if !slices.Contains(m.serving, name) {
			delete(m.peers, name)
		}
	}
}

// observe takes in a status row. Promises and terms only grow, so that an old
// row may still teach them; everything else is taken from the latest row only.
func (m *Machine) observe(now time.Time, s group.Status, askedAt time.Time) {
	st := m.members[s.Member]
	if st == nil {
		return
	}
	m.notePromise(now, st, s.PromisedTerm, s.PromisedOwner)
	timely := now.Sub(askedAt) <= m.cfg.ProbeTimeout
	if timely {
		st.contact, st.failed = now, false
	}
	if !askedAt.Before(st.askedAt) {
		st.status, st.askedAt = s, askedAt
	}
	if s.Role == group.Primary && s.CurrentTerm == s.PromisedTerm {
		m.observePrimary(now, s, timely)
	}
}

// notePromise records a promise. A new promise to another instance means that
// it has begun a promotion, which gets some time to finish.
func (m *Machine) notePromise(now time.Time, st *memberState, term uint64, owner string) {
	st.promised = max(st.promised, term)
	if term > m.highest {
		m.highest = term
		if owner != m.cfg.Owner && term > m.primary.term {
			m.delayUntil(now.Add(otherGrace + m.rankDelay()))
		}
	}
}

func (m *Machine) observePrimary(now time.Time, s group.Status, timely bool) {
	p := &m.primary
	switch {
	case s.CurrentTerm < p.term:
		return
	case s.CurrentTerm == p.term && s.Member != p.member && p.member != "":
		// The contract excludes a second primary in one term.
		return
	case s.CurrentTerm > p.term || p.member == "":
		*p = primaryState{
			member: s.Member, term: s.CurrentTerm, termStart: s.TermStart,
			previousTerm: s.PreviousTerm, adoptedAt: now,
		}
		if s.PromisedOwner == m.cfg.Owner {
			m.emit(AnnouncePrimary{
				Primary: s.Member, Term: s.CurrentTerm, TermStart: s.TermStart, PreviousTerm: s.PreviousTerm,
			})
		}
	}
	if timely {
		p.contact = now
	}
	m.primaryObserved(now)
}

func (m *Machine) probeFailed(now time.Time, member string) {
	if st := m.members[member]; st != nil {
		st.failed = true
	}
	if member == m.primary.member {
		m.askPeers(now)
	}
}

func (m *Machine) peerView(now time.Time, v PeerView) {
	if v.Instance == m.cfg.Instance || !slices.Contains(m.serving, v.Instance) {
		return
	}
	m.peers[v.Instance] = peerState{
		primary: v.Primary, term: v.Term, seenAt: now.Add(-v.SeenAge), heardAt: now,
	}
	if v.Term > m.primary.term && m.members[v.Primary] != nil {
		// The view is adopted from the member's own answer, which also carries
		// the start of the term.
		m.emit(Probe{Member: v.Primary})
	}
}

func (m *Machine) holdRequested(now time.Time, h HoldRequested) {
	if h.Release {
		m.peerHoldUntil = time.Time{}
		return
	}
	m.peerHoldTerm = h.Term
	m.peerHoldUntil = now.Add(min(h.Lease, m.cfg.HoldLease))
}

// askPeers asks peers for their views, at a bounded rate.
func (m *Machine) askPeers(now time.Time) {
	if len(m.serving) > 1 && now.Sub(m.askedPeers) >= askPeersInterval {
		m.askedPeers = now
		m.emit(AskPeers{})
	}
}

func (m *Machine) delayUntil(t time.Time) {
	if t.After(m.notBefore) {
		m.notBefore = t
	}
}

func (m *Machine) rankDelay() time.Duration {
	return time.Duration(max(m.rank, 0)) * m.cfg.RankDelay
}

func (m *Machine) backoff() time.Duration {
	return backoffMin + time.Duration(m.cfg.Rand.Int64N(int64(backoffMax-backoffMin)))
}

// updateView emits the view when it has changed.
func (m *Machine) updateView(now time.Time) {
	v := SetView{
		Primary: m.primary.member, Term: m.primary.term,
		TermStart: m.primary.termStart, PreviousTerm: m.primary.previousTerm,
		Hold: m.holds(now),
	}
	if m.viewSet && v == m.view {
		return
	}
	m.view, m.viewSet = v, true
	m.emit(v)
}

// holds reports whether new write transactions must wait.
func (m *Machine) holds(now time.Time) bool {
	if m.attempt.phase != idle || m.caseSeen.urgent() {
		return true
	}
	return now.Before(m.peerHoldUntil) && m.primary.term <= m.peerHoldTerm
}
