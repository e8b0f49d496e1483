package failover

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// phase is the current phase of an attempt to change the primary.
type phase uint8

const (
	idle phase = iota
	// draining: new writes are held while running ones finish. Planned
	// switchovers only.
	draining
	// catchingUp: the target is receiving the primary's last log entry. Planned
	// switchovers only.
	catchingUp
	// fencing: members are asked to promise the attempt's term.
	fencing
	// promoting: the candidate is asked to become primary of the term.
	promoting
)

// attempt is this instance's own attempt to change the primary.
type attempt struct {
	phase    phase
	deadline time.Time

	// term is used for fencing and promoting. The fields up to refused belong to
	// fencing, and candidate to promoting.
	term         uint64
	fenceSentAt  time.Time
	majorityAt   time.Time
	fencedStatus map[string]group.Status
	refused      map[string]bool
	candidate    string
	// isolatedPrimary is the primary that lost contact with its group, if that
	// caused the attempt. It is the most advanced member because of entries that
	// no other member has, and without this exclusion it would be promoted again
	// and again.
	isolatedPrimary string

	// The remaining fields are used only by planned switchovers.
	planned         bool
	target          string
	replacedTerm    uint64
	holdResults     map[string]HoldResult
	holdRequestedAt time.Time
	polledAt        time.Time
	drainedAt       time.Time
	awaitedPosition group.Position
}

// advance performs the transitions that are due at time now.
func (m *Machine) advance(now time.Time) {
	if len(m.members) == 0 {
		return
	}
	m.updateCondition(now)
	switch m.attempt.phase {
	case idle:
		m.startAttemptIfDue(now)
	case draining, catchingUp:
		m.advancePlanned(now)
	case fencing:
		m.advanceFencing(now)
	case promoting:
		m.advancePromoting(now)
	}
}

// updateCondition updates the group's condition. conditionSince is kept across
// changes between conditions that block writes, because writes have been blocked
// since then.
func (m *Machine) updateCondition(now time.Time) {
	current := m.assessCondition(now)
	if m.primary.member == "" || now.Sub(m.primary.lastContact) > askPeersAfterSilence {
		m.askPeers(now)
	}
	if current == m.condition && !m.conditionSince.IsZero() {
		return
	}
	if !(current.blocksWrites() && m.condition.blocksWrites()) || m.conditionSince.IsZero() {
		m.conditionSince = now
		m.rankJitter = time.Duration(m.cfg.Rand.Int64N(int64(maxRankJitter)))
	}
	m.condition = current
}

// startAttemptIfDue starts an attempt if the condition requires one and this
// instance's turn has come.
func (m *Machine) startAttemptIfDue(now time.Time) {
	if m.rank < 0 || now.Before(m.noAttemptBefore) || !m.majorityIsReachable(now) {
		return
	}
	waited := now.Sub(m.conditionSince) - m.rankJitter
	switch m.condition {
	case healthy:
	case noPrimary:
		// After startup, first give all members and peers time to respond.
		if waited >= m.cfg.SuspectAfter+m.rankDelay() && !m.othersSeePrimary(now) {
			m.startFencing(now)
		}
	case primaryFenced, primaryUnreachable:
		if waited >= m.rankDelay() && !m.othersSeePrimary(now) {
			m.startFencing(now)
		}
	case primaryIsolated:
		// Instances that still reach the primary do not prevent the promotion,
		// because an isolated primary cannot commit writes.
		if waited >= m.rankDelay() {
			m.attempt.isolatedPrimary = m.primary.member
			m.startFencing(now)
		}
	case memberFencedAhead, primaryOutOfService:
		m.startPlannedIfDue(now)
	}
}

// startFencing asks all members to promise a term that this process has not
// used before.
func (m *Machine) startFencing(now time.Time) {
	a := &m.attempt
	m.highestTerm++
	a.phase, a.term = fencing, m.highestTerm
	a.fenceSentAt, a.majorityAt = now, time.Time{}
	a.deadline = now.Add(m.cfg.CallTimeout)
	a.fencedStatus, a.refused = map[string]group.Status{}, map[string]bool{}
	for _, name := range m.memberNames {
		m.emit(Fence{Member: name, Term: a.term})
	}
}

func (m *Machine) handleFenceResult(now time.Time, r FenceResult) {
	st := m.members[r.Member]
	if st == nil {
		return
	}
	a := &m.attempt
	current := a.phase == fencing && r.Term == a.term
	switch {
	case r.Granted:
		if current && r.Status.PromisedTerm == a.term && r.Status.PromisedOwner == m.cfg.Owner {
			a.fencedStatus[r.Member] = r.Status
		}
		if current || (a.phase == promoting && r.Term == a.term) {
			m.recordStatus(now, r.Status, a.fenceSentAt)
		} else {
			m.recordPromise(now, st, r.Status.PromisedTerm, r.Status.PromisedOwner)
		}
	case r.PromisedTerm >= r.Term:
		if current {
			a.refused[r.Member] = true
		}
		m.recordPromise(now, st, r.PromisedTerm, "")
	case current:
		// No response arrived. The member may have promised the term, so it
		// counts neither as fenced nor as having refused.
		st.callFailed = true
	}
}

func (m *Machine) advanceFencing(now time.Time) {
	a := &m.attempt
	n := len(m.members)
	switch {
	case m.primary.term >= a.term || m.highestTerm > a.term:
		// Another instance is using a higher term; continuing to fence would
		// disrupt its attempt.
		m.abandonAttempt(now)
	case len(a.refused) > n-group.Majority(n):
		m.abandonAttempt(now)
	case len(a.fencedStatus) >= group.Majority(n):
		if a.majorityAt.IsZero() {
			a.majorityAt = now
		}
		if m.allReachableAnswered(now) || m.preferredCandidate() != "" || now.Sub(a.majorityAt) >= lateFenceWait {
			m.startPromoting(now)
		}
	case !now.Before(a.deadline):
		m.abandonAttempt(now)
	}
}

// allReachableAnswered reports whether every reachable member has responded to
// the fence call.
func (m *Machine) allReachableAnswered(now time.Time) bool {
	for name, st := range m.members {
		_, ok := m.attempt.fencedStatus[name]
		if !ok && !m.attempt.refused[name] && m.isReachable(now, st) {
			return false
		}
	}
	return true
}

func (m *Machine) startPromoting(now time.Time) {
	a := &m.attempt
	a.phase, a.candidate = promoting, m.chooseCandidate()
	a.deadline = now.Add(m.cfg.CallTimeout)
	m.emit(Promote{Member: a.candidate, Term: a.term})
}

// chooseCandidate returns the fenced member to promote. The most advanced one has
// every acknowledged entry, because the fenced majority intersects every majority
// that confirmed an entry. Ties go to members in service, then to the lowest name.
func (m *Machine) chooseCandidate() string {
	if name := m.preferredCandidate(); name != "" {
		return name
	}
	return m.mostAdvanced("")
}

// preferredCandidate returns a member to promote even though another fenced member
// may be more advanced, or "". It is the most advanced member of some fenced
// majority, so it too has every acknowledged entry.
func (m *Machine) preferredCandidate() string {
	a := &m.attempt
	switch {
	case a.planned && m.holdsAcknowledgedEntries(a.target):
		return a.target
	case a.isolatedPrimary != "":
		if best := m.mostAdvanced(a.isolatedPrimary); m.holdsAcknowledgedEntries(best) {
			return best
		}
	}
	return ""
}

// mostAdvanced returns the most advanced fenced member other than except.
func (m *Machine) mostAdvanced(except string) string {
	best := ""
	for _, name := range m.memberNames {
		s, ok := m.attempt.fencedStatus[name]
		if !ok || name == except {
			continue
		}
		if best == "" || m.isBetterCandidate(name, s, best, m.attempt.fencedStatus[best]) {
			best = name
		}
	}
	return best
}

// isBetterCandidate reports whether the first member is the better candidate,
// by log term and index of the last received entry, then by being in service.
func (m *Machine) isBetterCandidate(name string, s group.Status, than string, t group.Status) bool {
	if c := s.ReceivedPosition().Compare(t.ReceivedPosition()); c != 0 {
		return c > 0
	}
	return m.members[name].placement.InService && !m.members[than].placement.InService
}

// holdsAcknowledgedEntries reports whether the member is the most advanced of some
// fenced majority and therefore has every acknowledged entry.
func (m *Machine) holdsAcknowledgedEntries(name string) bool {
	candidate, ok := m.attempt.fencedStatus[name]
	if !ok {
		return false
	}
	behind := 0
	for _, s := range m.attempt.fencedStatus {
		if s.ReceivedPosition().Compare(candidate.ReceivedPosition()) <= 0 {
			behind++
		}
	}
	return behind >= group.Majority(len(m.members))
}

func (m *Machine) handlePromoteResult(now time.Time, r PromoteResult) {
	if r.Promoted {
		m.recordStatus(now, r.Status, now)
		return
	}
	if m.attempt.phase == promoting && r.Term == m.attempt.term {
		// The call was refused or its response was lost; the member's status
		// shows whether it was promoted.
		m.emit(Probe{Member: r.Member})
	}
}

func (m *Machine) advancePromoting(now time.Time) {
	a := &m.attempt
	switch st := m.members[a.candidate]; {
	case st == nil, st.promisedTerm > a.term, m.primary.term > a.term:
		m.abandonAttempt(now)
	case !now.Before(a.deadline):
		m.abandonAttempt(now)
	}
}

// endOvertakenAttempt ends the current attempt if the primary's term shows that
// it has succeeded or that another promotion has overtaken it.
func (m *Machine) endOvertakenAttempt(now time.Time) {
	a := &m.attempt
	switch a.phase {
	case idle:
		return
	case draining, catchingUp:
		if m.primary.term > a.replacedTerm {
			m.cancelPlanned(now)
		}
	case fencing, promoting:
		if m.primary.term >= a.term {
			m.attempt = attempt{}
		}
	}
}

// abandonAttempt ends the attempt and backs off; the next attempt uses a new term.
func (m *Machine) abandonAttempt(now time.Time) {
	planned, replacedTerm := m.attempt.planned, m.attempt.replacedTerm
	m.attempt = attempt{}
	if planned {
		m.emit(HoldWrites{On: false, Term: replacedTerm})
	}
	m.delayAttemptUntil(now.Add(m.backoff()))
}
