package failover

import (
	"time"
)

// maxLagWait is how long a planned switchover waits for a replica that lags by
// more than maxPlannedLag before it starts anyway.
const maxLagWait = 2 * time.Second

// startPlannedIfDue starts a planned switchover if this instance's turn has come.
func (m *Machine) startPlannedIfDue(now time.Time) {
	due := m.conditionSince.Add(time.Duration(m.rank) * plannedRankDelay)
	target := m.switchoverTarget(now)
	if m.condition == memberFencedAhead {
		due = due.Add(m.cfg.RepairDelay)
		if target == "" || m.members[m.primary.member].placement.InService {
			target = m.primary.member
		}
	}
	switch {
	case now.Before(due), target == "", now.Before(m.peerHoldUntil):
		return
	case m.lag(target) > maxPlannedLag && now.Sub(due) < maxLagWait:
		return
	}
	m.startPlanned(now, target)
}

// switchoverTarget returns the most advanced member other than the primary that is
// reachable, in service and following the primary's term, or "" if there is none.
func (m *Machine) switchoverTarget(now time.Time) string {
	best := ""
	for _, name := range m.memberNames {
		st := m.members[name]
		switch {
		case name == m.primary.member, !st.placement.InService, !m.isReachable(now, st):
			continue
		case st.status.CurrentTerm != m.primary.term, st.promisedTerm != m.primary.term:
			continue
		}
		if best == "" || m.isBetterCandidate(name, st.status, best, m.members[best].status) {
			best = name
		}
	}
	return best
}

// lag returns how many log entries the member is behind the primary, by the
// latest status of both.
func (m *Machine) lag(name string) uint64 {
	p, r := m.members[m.primary.member].status.Received, m.members[name].status.Received
	if r >= p {
		return 0
	}
	return p - r
}

func (m *Machine) startPlanned(now time.Time, target string) {
	m.attempt = attempt{
		phase: draining, planned: true, target: target, replacedTerm: m.primary.term,
		deadline: now.Add(m.cfg.DrainTimeout), holdResults: map[string]HoldResult{},
	}
	m.requestHold(now)
}

func (m *Machine) requestHold(now time.Time) {
	m.attempt.holdRequestedAt = now
	m.emit(HoldWrites{On: true, Term: m.attempt.replacedTerm, Lease: m.cfg.HoldLease})
}

func (m *Machine) handleHoldResult(r HoldResult) {
	if m.attempt.phase == draining {
		m.attempt.holdResults[r.Instance] = r
	}
}

// advancePlanned advances a planned switchover up to the start of fencing.
func (m *Machine) advancePlanned(now time.Time) {
	a := &m.attempt
	if m.condition.blocksWrites() || m.members[a.target] == nil {
		// The primary failed or the target was removed in the meantime. If the
		// primary failed, an unplanned failover follows.
		m.cancelPlanned(now)
		return
	}
	if now.Sub(a.holdRequestedAt) >= holdRenewalInterval {
		m.requestHold(now)
	}
	if a.phase == draining {
		m.advanceDraining(now)
	}
	if a.phase == catchingUp {
		m.advanceCatchUp(now)
	}
}

// advanceDraining waits until no instance that holds writes still has running
// write transactions. It does not wait for an instance that failed to hold writes
// or that has not been heard from recently; fencing stops that instance's writes.
func (m *Machine) advanceDraining(now time.Time) {
	a := &m.attempt
	pending, running := false, false
	for _, name := range m.serving {
		r, answered := a.holdResults[name]
		pending = pending || (!answered && m.recentlyHeardFrom(now, name))
		running = running || (r.Held && r.Running > 0)
	}
	switch {
	case (pending || running) && now.Before(a.deadline):
		if running && now.Sub(a.holdRequestedAt) >= pollInterval {
			m.requestHold(now)
		}
	default:
		a.phase, a.drainedAt = catchingUp, now
		a.deadline = now.Add(catchUpTimeout)
		a.polledAt = now
		m.emit(Probe{Member: m.primary.member})
	}
}

// recentlyHeardFrom reports whether the instance is this one or sent its view
// within peerViewMaxAge.
func (m *Machine) recentlyHeardFrom(now time.Time, instance string) bool {
	p, ok := m.peers[instance]
	return instance == m.cfg.Instance || (ok && now.Sub(p.receivedAt) <= peerViewMaxAge)
}

// advanceCatchUp reads the primary's last position after the drain and waits for
// the target to receive it.
func (m *Machine) advanceCatchUp(now time.Time) {
	a := &m.attempt
	p, t := m.members[m.primary.member], m.members[a.target]
	switch {
	case a.target == m.primary.member:
		m.startFencing(now)
	case a.awaitedPosition.IsZero() && !p.requestedAt.Before(a.drainedAt):
		a.awaitedPosition = p.status.ReceivedPosition()
		if t.status.ReceivedPosition().Compare(a.awaitedPosition) >= 0 {
			m.startFencing(now)
			return
		}
		m.emit(AwaitPosition{Member: a.target, Position: a.awaitedPosition, Timeout: a.deadline.Sub(now)})
	case !a.awaitedPosition.IsZero() && t.status.ReceivedPosition().Compare(a.awaitedPosition) >= 0:
		m.startFencing(now)
	case !now.Before(a.deadline):
		m.cancelPlanned(now)
	case now.Sub(a.polledAt) >= pollInterval:
		a.polledAt = now
		if a.awaitedPosition.IsZero() {
			m.emit(Probe{Member: m.primary.member})
		} else {
			m.emit(Probe{Member: a.target})
		}
	}
}

// cancelPlanned ends a planned switchover before fencing and releases held writes.
func (m *Machine) cancelPlanned(now time.Time) {
	replacedTerm := m.attempt.replacedTerm
	m.attempt = attempt{}
	m.emit(HoldWrites{On: false, Term: replacedTerm})
	if !m.condition.blocksWrites() {
		m.delayAttemptUntil(now.Add(plannedRetryDelay))
	}
}
