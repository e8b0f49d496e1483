package failover

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// phase is the step that an attempt to change the primary has reached.
type phase uint8

const (
	idle phase = iota
	// draining: planned only; writes are held and running ones finish.
	draining
	// catchingUp: planned only; the target receives the primary's last entry.
	catchingUp
	// fencing: members are asked to promise the attempt's term.
	fencing
	// promoting: the chosen member is asked to lead the term.
	promoting
)

// attempt is this instance's own attempt to change the primary.
type attempt struct {
	phase    phase
	deadline time.Time

	// term, fenced and refused belong to fencing, chosen to promoting.
	term       uint64
	fencedAt   time.Time
	majorityAt time.Time
	fenced     map[string]group.Status
	refused    map[string]bool
	chosen     string
	// isolated is the primary that was cut off from its group, if that is why
	// the attempt began. It is the most advanced member by entries that nobody
	// else has, so it would be chosen again and again.
	isolated string

	// The rest belongs to planned switchovers.
	planned   bool
	target    string
	baseTerm  uint64
	heldBy    map[string]HoldResult
	heldAt    time.Time
	polledAt  time.Time
	drainedAt time.Time
	awaiting  group.Position
}

// advance does what the present time and state call for.
func (m *Machine) advance(now time.Time) {
	if len(m.members) == 0 {
		return
	}
	m.updateCase(now)
	switch m.attempt.phase {
	case idle:
		m.consider(now)
	case draining, catchingUp:
		m.advancePlanned(now)
	case fencing:
		m.advanceFencing(now)
	case promoting:
		m.advancePromoting(now)
	}
}

// updateCase records the present situation. Changes among urgent situations
// keep their start, because writes have been waiting since then.
func (m *Machine) updateCase(now time.Time) {
	s := m.assess(now)
	if m.primary.member == "" || now.Sub(m.primary.contact) > askPeersAfter {
		m.askPeers(now)
	}
	if s == m.caseSeen && !m.caseSince.IsZero() {
		return
	}
	if !(s.urgent() && m.caseSeen.urgent()) || m.caseSince.IsZero() {
		m.caseSince = now
		m.rankJitter = time.Duration(m.cfg.Rand.Int64N(int64(jitter)))
	}
	m.caseSeen = s
}

// consider starts an attempt if the situation calls for one by this instance.
func (m *Machine) consider(now time.Time) {
	if m.rank < 0 || now.Before(m.notBefore) || !m.reachesMajority(now) {
		return
	}
	waited := now.Sub(m.caseSince) - m.rankJitter
	switch m.caseSeen {
	case healthy:
	case noPrimary:
		// A new instance first gives every member and peer time to answer.
		if waited >= m.cfg.SuspectAfter+m.rankDelay() && !m.isAlone(now) {
			m.startFencing(now)
		}
	case primaryFenced, primarySilent:
		if waited >= m.rankDelay() && !m.isAlone(now) {
			m.startFencing(now)
		}
	case primaryIsolated:
		// That this instance or others reach the primary does not help writes.
		if waited >= m.rankDelay() {
			m.attempt.isolated = m.primary.member
			m.startFencing(now)
		}
	case memberStranded, primaryMisplaced:
		m.considerPlanned(now)
	}
}

// startFencing asks all members to promise a term that this process has never used.
func (m *Machine) startFencing(now time.Time) {
	a := &m.attempt
	m.highest++
	a.phase, a.term = fencing, m.highest
	a.fencedAt, a.majorityAt = now, time.Time{}
	a.deadline = now.Add(m.cfg.CallTimeout)
	a.fenced, a.refused = map[string]group.Status{}, map[string]bool{}
	for _, name := range m.order {
		m.emit(Fence{Member: name, Term: a.term})
	}
}

func (m *Machine) fenceResult(now time.Time, r FenceResult) {
	st := m.members[r.Member]
	if st == nil {
		return
	}
	a := &m.attempt
	current := a.phase == fencing && r.Term == a.term
	switch {
	case r.Granted:
		if current && r.Status.PromisedTerm == a.term && r.Status.PromisedOwner == m.cfg.Owner {
			a.fenced[r.Member] = r.Status
		}
		if current || (a.phase == promoting && r.Term == a.term) {
			m.observe(now, r.Status, a.fencedAt)
		} else {
			m.notePromise(now, st, r.Status.PromisedTerm, r.Status.PromisedOwner)
		}
	case r.PromisedTerm >= r.Term:
		if current {
			a.refused[r.Member] = true
		}
		m.notePromise(now, st, r.PromisedTerm, "")
	case current:
		// The answer was lost: the member may have promised, so it can neither
		// be counted nor be excluded.
		st.failed = true
	}
}

func (m *Machine) advanceFencing(now time.Time) {
	a := &m.attempt
	n := len(m.members)
	switch {
	case m.primary.term >= a.term || m.highest > a.term:
		// Another instance works on a later term; fencing on would undo its work.
		m.abandon(now)
	case len(a.refused) > n-group.Majority(n):
		m.abandon(now)
	case len(a.fenced) >= group.Majority(n):
		if a.majorityAt.IsZero() {
			a.majorityAt = now
		}
		if m.allAnswered(now) || m.preferred() != "" || now.Sub(a.majorityAt) >= fenceGrace {
			m.startPromoting(now)
		}
	case !now.Before(a.deadline):
		m.abandon(now)
	}
}

// allAnswered reports whether no reachable member's answer is missing.
func (m *Machine) allAnswered(now time.Time) bool {
	for name, st := range m.members {
		_, ok := m.attempt.fenced[name]
		if !ok && !m.attempt.refused[name] && m.reachable(now, st) {
			return false
		}
	}
	return true
}

func (m *Machine) startPromoting(now time.Time) {
	a := &m.attempt
	a.phase, a.chosen = promoting, m.choose()
	a.deadline = now.Add(m.cfg.CallTimeout)
	m.emit(Promote{Member: a.chosen, Term: a.term})
}

// choose returns the fenced member to promote. The most advanced one holds
// every acknowledged entry, because the fenced majority meets the majority that
// confirmed it. Ties go to members in service, then to the lowest name.
func (m *Machine) choose() string {
	if name := m.preferred(); name != "" {
		return name
	}
	return m.mostAdvanced("")
}

// preferred returns a member that is to be promoted although another fenced one
// may be more advanced, or "". It is the most advanced of some fenced majority,
// so it holds every acknowledged entry all the same.
func (m *Machine) preferred() string {
	a := &m.attempt
	switch {
	case a.planned && m.isSafe(a.target):
		return a.target
	case a.isolated != "":
		if best := m.mostAdvanced(a.isolated); m.isSafe(best) {
			return best
		}
	}
	return ""
}

// mostAdvanced returns the most advanced fenced member other than the excluded one.
func (m *Machine) mostAdvanced(except string) string {
	best := ""
	for _, name := range m.order {
		s, ok := m.attempt.fenced[name]
		if !ok || name == except {
			continue
		}
		if best == "" || m.isBetter(name, s, best, m.attempt.fenced[best]) {
			best = name
		}
	}
	return best
}

// isBetter compares by (log term, received), then by placement.
func (m *Machine) isBetter(name string, s group.Status, than string, t group.Status) bool {
	if c := s.ReceivedPosition().Compare(t.ReceivedPosition()); c != 0 {
		return c > 0
	}
	return m.members[name].place.InService && !m.members[than].place.InService
}

// isSafe reports whether the member is the most advanced of some fenced majority.
func (m *Machine) isSafe(name string) bool {
	candidate, ok := m.attempt.fenced[name]
	if !ok {
		return false
	}
	behind := 0
	for _, s := range m.attempt.fenced {
		if s.ReceivedPosition().Compare(candidate.ReceivedPosition()) <= 0 {
			behind++
		}
	}
	return behind >= group.Majority(len(m.members))
}

func (m *Machine) promoteResult(now time.Time, r PromoteResult) {
	if r.Done {
		m.observe(now, r.Status, now)
		return
	}
	if m.attempt.phase == promoting && r.Term == m.attempt.term {
		// Refused or lost; the member's status tells which.
		m.emit(Probe{Member: r.Member})
	}
}

func (m *Machine) advancePromoting(now time.Time) {
	a := &m.attempt
	switch st := m.members[a.chosen]; {
	case st == nil, st.promised > a.term, m.primary.term > a.term:
		m.abandon(now)
	case !now.Before(a.deadline):
		m.abandon(now)
	}
}

// primaryObserved ends attempts that the primary's term has reached or overtaken.
func (m *Machine) primaryObserved(now time.Time) {
	a := &m.attempt
	switch a.phase {
	case idle:
		return
	case draining, catchingUp:
		if m.primary.term > a.baseTerm {
			m.cancelPlanned(now)
		}
	case fencing, promoting:
		if m.primary.term >= a.term {
			m.attempt = attempt{}
		}
	}
}

// abandon gives the attempt up; the next one uses another term.
func (m *Machine) abandon(now time.Time) {
	planned, base := m.attempt.planned, m.attempt.baseTerm
	m.attempt = attempt{}
	if planned {
		m.emit(HoldWrites{On: false, Term: base})
	}
	m.delayUntil(now.Add(m.backoff()))
}
