package failover

import (
	"time"
)

// lagPatience is the time for which a planned switchover waits for a replica
// that lags by more than maxPlannedLag before it holds writes all the same.
const lagPatience = 2 * time.Second

// considerPlanned starts a planned switchover when it is this instance's turn.
func (m *Machine) considerPlanned(now time.Time) {
	due := m.caseSince.Add(time.Duration(m.rank) * plannedRankDelay)
	target := m.switchoverTarget(now)
	if m.caseSeen == memberStranded {
		due = due.Add(m.cfg.RepairDelay)
		if target == "" || m.members[m.primary.member].place.InService {
			target = m.primary.member
		}
	}
	switch {
	case now.Before(due), target == "", now.Before(m.peerHoldUntil):
		return
	case m.lag(target) > maxPlannedLag && now.Sub(due) < lagPatience:
		return
	}
	m.startPlanned(now, target)
}

// switchoverTarget returns the most advanced reachable member in service that
// follows the primary's term, other than the primary; empty if there is none.
func (m *Machine) switchoverTarget(now time.Time) string {
	best := ""
	for _, name := range m.order {
		st := m.members[name]
		switch {
		case name == m.primary.member, !st.place.InService, !m.reachable(now, st):
			continue
		case st.status.CurrentTerm != m.primary.term, st.promised != m.primary.term:
			continue
		}
		if best == "" || m.isBetter(name, st.status, best, m.members[best].status) {
			best = name
		}
	}
	return best
}

// lag returns the number of entries by which the member's latest row is behind
// the primary's.
func (m *Machine) lag(name string) uint64 {
	p, r := m.members[m.primary.member].status.Received, m.members[name].status.Received
	if r >= p {
		return 0
	}
	return p - r
}

func (m *Machine) startPlanned(now time.Time, target string) {
	m.attempt = attempt{
		phase: draining, planned: true, target: target, baseTerm: m.primary.term,
		deadline: now.Add(m.cfg.DrainBound), heldBy: map[string]HoldResult{},
	}
	m.askHold(now)
}

func (m *Machine) askHold(now time.Time) {
	m.attempt.heldAt = now
	m.emit(HoldWrites{On: true, Term: m.attempt.baseTerm, Lease: m.cfg.HoldLease})
}

func (m *Machine) holdResult(r HoldResult) {
	if m.attempt.phase == draining {
		m.attempt.heldBy[r.Instance] = r
	}
}

// advancePlanned moves a planned switchover on until it fences.
func (m *Machine) advancePlanned(now time.Time) {
	a := &m.attempt
	if m.caseSeen.urgent() || m.members[a.target] == nil {
		// The primary failed meanwhile; an unplanned change takes over.
		m.cancelPlanned(now)
		return
	}
	if now.Sub(a.heldAt) >= holdRenewal {
		m.askHold(now)
	}
	if a.phase == draining {
		m.advanceDraining(now)
	}
	if a.phase == catchingUp {
		m.advanceCatchUp(now)
	}
}

// advanceDraining waits until no instance that holds writes still runs one. An
// instance that refuses, or that has not been heard of lately, is not waited
// for: the fence stops its writes.
func (m *Machine) advanceDraining(now time.Time) {
	a := &m.attempt
	pending, running := false, false
	for _, name := range m.serving {
		r, answered := a.heldBy[name]
		pending = pending || (!answered && m.isHeard(now, name))
		running = running || (r.Held && r.Running > 0)
	}
	switch {
	case (pending || running) && now.Before(a.deadline):
		if running && now.Sub(a.heldAt) >= pollInterval {
			m.askHold(now)
		}
	default:
		a.phase, a.drainedAt = catchingUp, now
		a.deadline = now.Add(catchUpBound)
		a.polledAt = now
		m.emit(Probe{Member: m.primary.member})
	}
}

// isHeard reports whether the instance is this one or was heard of lately.
func (m *Machine) isHeard(now time.Time, instance string) bool {
	p, ok := m.peers[instance]
	return instance == m.cfg.Instance || (ok && now.Sub(p.heardAt) <= peerRecent)
}

// advanceCatchUp learns the primary's last position and waits for the target
// to receive it.
func (m *Machine) advanceCatchUp(now time.Time) {
	a := &m.attempt
	p, t := m.members[m.primary.member], m.members[a.target]
	switch {
	case a.target == m.primary.member:
		m.startFencing(now)
	case a.awaiting.IsZero() && !p.askedAt.Before(a.drainedAt):
		a.awaiting = p.status.ReceivedPosition()
		if t.status.ReceivedPosition().Compare(a.awaiting) >= 0 {
			m.startFencing(now)
			return
		}
		m.emit(AwaitPosition{Member: a.target, Position: a.awaiting, Timeout: a.deadline.Sub(now)})
	case !a.awaiting.IsZero() && t.status.ReceivedPosition().Compare(a.awaiting) >= 0:
		m.startFencing(now)
	case !now.Before(a.deadline):
		m.cancelPlanned(now)
	case now.Sub(a.polledAt) >= pollInterval:
		a.polledAt = now
		if a.awaiting.IsZero() {
			m.emit(Probe{Member: m.primary.member})
		} else {
			m.emit(Probe{Member: a.target})
		}
	}
}

// cancelPlanned releases held writes before anything was fenced.
func (m *Machine) cancelPlanned(now time.Time) {
	base := m.attempt.baseTerm
	m.attempt = attempt{}
	m.emit(HoldWrites{On: false, Term: base})
	if !m.caseSeen.urgent() {
		m.delayUntil(now.Add(plannedRetry))
	}
}
