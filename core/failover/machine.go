package failover

import (
	"slices"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// memberState is what this instance knows about one member.
type memberState struct {
	placement MemberPlacement
	// status is the response to the request sent last, at requestedAt.
	status      group.Status
	requestedAt time.Time
	// lastContact is the time of the last response within the probe timeout.
	// callFailed reports whether a probe or fence call has failed since.
	lastContact time.Time
	callFailed  bool
	// promisedTerm is the highest term that the member is known to have promised.
	promisedTerm uint64
}

// primaryState describes the primary with the highest term seen.
type primaryState struct {
	member       string
	term         uint64
	termStart    uint64
	previousTerm uint64
	adoptedAt    time.Time
	// lastContact is the time of its last response within the probe timeout as
	// primary of the term.
	lastContact time.Time
}

// peerState is the latest view received from a peer.
type peerState struct {
	primary       string
	term          uint64
	primarySeenAt time.Time
	receivedAt    time.Time
}

// Machine is the failover state machine of one group on one instance. It is not
// safe for concurrent use.
type Machine struct {
	cfg         Config
	memberNames []string
	members     map[string]*memberState
	peers       map[string]peerState
	serving     []string
	rank        int

	primary primaryState
	// highestTerm is the highest term seen or used. Each new attempt uses
	// highestTerm+1, so this process never requests the same term twice.
	highestTerm uint64

	lastStepAt   time.Time
	runningSince time.Time
	peersAskedAt time.Time

	// condition is the last assessed condition of the group. conditionSince is
	// its start, or the start of the whole period in which writes are blocked.
	condition      condition
	conditionSince time.Time
	// noAttemptBefore delays the next attempt, for back-off or to let another
	// instance's attempt finish.
	noAttemptBefore time.Time
	// rankJitter is redrawn whenever conditionSince is reset.
	rankJitter time.Duration

	attempt attempt

	peerHoldUntil time.Time
	peerHoldTerm  uint64

	view        SetView
	viewEmitted bool
	actions     []Action
}

// New returns a Machine that has no members until the first Placement event.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:     cfg.withDefaults(),
		members: map[string]*memberState{},
		peers:   map[string]peerState{},
		rank:    -1,
	}
}

// Step processes an event that occurred at time now and returns the actions to
// execute. now must not decrease between calls.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = nil
	m.detectPause(now)
	switch e := ev.(type) {
	case StatusReceived:
		m.recordStatus(now, e.Status, e.RequestedAt)
	case ProbeFailed:
		m.recordProbeFailure(now, e.Member)
	case PeerView:
		m.recordPeerView(now, e)
	case Placement:
		m.applyPlacement(e)
	case FenceResult:
		m.handleFenceResult(now, e)
	case PromoteResult:
		m.handlePromoteResult(now, e)
	case HoldResult:
		m.handleHoldResult(e)
	case HoldRequested:
		m.applyHoldRequest(now, e)
	case Tick:
	}
	m.advance(now)
	m.updateView(now)
	return m.actions
}

// TickInterval returns the maximum time until the next Tick.
func (m *Machine) TickInterval() time.Duration {
	if m.attempt.phase != idle || m.condition != healthy {
		return busyTickInterval
	}
	return steadyTickInterval
}

// PrimarySeenAge returns the time since the primary last responded, for inclusion
// in views sent to peers. ok is false if no primary has been seen.
func (m *Machine) PrimarySeenAge(now time.Time) (age time.Duration, ok bool) {
	if m.primary.member == "" || m.primary.lastContact.IsZero() {
		return 0, false
	}
	return now.Sub(m.primary.lastContact), true
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// detectPause restarts the measurement of missing responses after a pause of
// this process.
func (m *Machine) detectPause(now time.Time) {
	if m.lastStepAt.IsZero() || now.Sub(m.lastStepAt) > pauseThreshold {
		m.runningSince = now
	}
	m.lastStepAt = now
}

func (m *Machine) applyPlacement(p Placement) {
	m.memberNames = m.memberNames[:0]
	members := map[string]*memberState{}
	for _, pl := range p.Members {
		st := m.members[pl.Name]
		if st == nil {
			st = &memberState{}
		}
		st.placement = pl
		members[pl.Name] = st
		m.memberNames = append(m.memberNames, pl.Name)
	}
	slices.Sort(m.memberNames)
	m.members = members
	if members[m.primary.member] == nil {
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

// recordStatus processes a member's status. Promises and terms only increase, so
// even a late response updates them; all other fields are taken only from the
// response to the latest request.
func (m *Machine) recordStatus(now time.Time, s group.Status, requestedAt time.Time) {
	st := m.members[s.Member]
	if st == nil {
		return
	}
	m.recordPromise(now, st, s.PromisedTerm, s.PromisedOwner)
	timely := now.Sub(requestedAt) <= m.cfg.ProbeTimeout
	if timely {
		st.lastContact, st.callFailed = now, false
	}
	if !requestedAt.Before(st.requestedAt) {
		st.status, st.requestedAt = s, requestedAt
	}
	if s.Role == group.Primary && s.CurrentTerm == s.PromisedTerm {
		m.recordPrimary(now, s, timely)
	}
}

// recordPromise records a member's promise. A new promise to another owner means
// that another instance has started a promotion, which is given time to finish.
func (m *Machine) recordPromise(now time.Time, st *memberState, term uint64, owner string) {
	st.promisedTerm = max(st.promisedTerm, term)
	if term > m.highestTerm {
		m.highestTerm = term
		if owner != m.cfg.Owner && term > m.primary.term {
			m.delayAttemptUntil(now.Add(competingAttemptDelay + m.rankDelay()))
		}
	}
}

func (m *Machine) recordPrimary(now time.Time, s group.Status, timely bool) {
	p := &m.primary
	switch {
	case s.CurrentTerm < p.term:
		return
	case s.CurrentTerm == p.term && s.Member != p.member && p.member != "":
		// The member contract rules out a second primary in the same term.
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
		p.lastContact = now
	}
	m.endOvertakenAttempt(now)
}

func (m *Machine) recordProbeFailure(now time.Time, member string) {
	if st := m.members[member]; st != nil {
		st.callFailed = true
	}
	if member == m.primary.member {
		m.askPeers(now)
	}
}

func (m *Machine) recordPeerView(now time.Time, v PeerView) {
	if v.Instance == m.cfg.Instance || !slices.Contains(m.serving, v.Instance) {
		return
	}
	m.peers[v.Instance] = peerState{
		primary: v.Primary, term: v.Term, primarySeenAt: now.Add(-v.PrimarySeenAge), receivedAt: now,
	}
	if v.Term > m.primary.term && m.members[v.Primary] != nil {
		// The new primary is adopted only from its own status, which also
		// contains the start of the term.
		m.emit(Probe{Member: v.Primary})
	}
}

func (m *Machine) applyHoldRequest(now time.Time, h HoldRequested) {
	if h.Release {
		m.peerHoldUntil = time.Time{}
		return
	}
	m.peerHoldTerm = h.Term
	m.peerHoldUntil = now.Add(min(h.Lease, m.cfg.HoldLease))
}

// askPeers requests the peers' views, at most once per askPeersInterval.
func (m *Machine) askPeers(now time.Time) {
	if len(m.serving) > 1 && now.Sub(m.peersAskedAt) >= askPeersInterval {
		m.peersAskedAt = now
		m.emit(RequestPeerViews{})
	}
}

func (m *Machine) delayAttemptUntil(t time.Time) {
	if t.After(m.noAttemptBefore) {
		m.noAttemptBefore = t
	}
}

func (m *Machine) rankDelay() time.Duration {
	return time.Duration(max(m.rank, 0)) * m.cfg.RankDelay
}

func (m *Machine) backoff() time.Duration {
	return backoffMin + time.Duration(m.cfg.Rand.Int64N(int64(backoffMax-backoffMin)))
}

// updateView emits the view if it has changed.
func (m *Machine) updateView(now time.Time) {
	v := SetView{
		Primary: m.primary.member, Term: m.primary.term,
		TermStart: m.primary.termStart, PreviousTerm: m.primary.previousTerm,
		Hold: m.mustHoldWrites(now),
	}
	if m.viewEmitted && v == m.view {
		return
	}
	m.view, m.viewEmitted = v, true
	m.emit(v)
}

// mustHoldWrites reports whether new write transactions must wait.
func (m *Machine) mustHoldWrites(now time.Time) bool {
	if m.attempt.phase != idle || m.condition.blocksWrites() {
		return true
	}
	return now.Before(m.peerHoldUntil) && m.primary.term <= m.peerHoldTerm
}
