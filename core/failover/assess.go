package failover

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// condition describes what, if anything, is wrong with a group.
type condition uint8

const (
	// healthy: the primary responds, is connected to its group, and need not
	// be replaced.
	healthy condition = iota
	// noPrimary: no known member has responded as primary.
	noPrimary
	// primaryFenced: the primary, or so many members that it can no longer commit,
	// have promised a higher term. A promotion is in progress or was left
	// unfinished.
	primaryFenced
	// primaryIsolated: a majority of members has lost contact with the primary.
	primaryIsolated
	// primaryUnreachable: the primary does not respond to this instance.
	primaryUnreachable
	// memberFencedAhead: a minority of members has promised a higher term. They
	// reject the primary's log entries until a primary has at least that term.
	memberFencedAhead
	// primaryOutOfService: the primary's backend server or availability zone is
	// out of service.
	primaryOutOfService
)

// blocksWrites reports whether writes cannot be served under the condition.
func (c condition) blocksWrites() bool {
	return c == noPrimary || c == primaryFenced || c == primaryIsolated || c == primaryUnreachable
}

// assessCondition returns the most severe condition that currently applies.
func (m *Machine) assessCondition(now time.Time) condition {
	switch p := m.members[m.primary.member]; {
	case p == nil:
		return noPrimary
	case m.primaryCannotConfirm():
		return primaryFenced
	case m.primaryIsIsolated(now):
		return primaryIsolated
	case now.Sub(latest(m.primary.lastContact, m.runningSince)) > m.cfg.SuspectAfter:
		return primaryUnreachable
	case m.countPromisedAbove(m.primary.term) > 0:
		return memberFencedAhead
	case !p.placement.InService && m.switchoverTarget(now) != "":
		return primaryOutOfService
	default:
		return healthy
	}
}

// primaryCannotConfirm reports whether the primary itself is fenced by a higher
// term, or so many members are that no majority can confirm commits in its term.
func (m *Machine) primaryCannotConfirm() bool {
	if m.members[m.primary.member].promisedTerm > m.primary.term {
		return true
	}
	n := len(m.members)
	return n-m.countPromisedAbove(m.primary.term) < group.Majority(n)
}

func (m *Machine) countPromisedAbove(term uint64) int {
	n := 0
	for _, st := range m.members {
		if st.promisedTerm > term {
			n++
		}
	}
	return n
}

// primaryIsIsolated reports whether a majority of members, all recently
// reachable, report having lost contact with the primary.
func (m *Machine) primaryIsIsolated(now time.Time) bool {
	lost := 0
	for name, st := range m.members {
		if name != m.primary.member && m.isReachable(now, st) && m.lostPrimaryContact(st) {
			lost++
		}
	}
	return lost >= group.Majority(len(m.members))
}

// lostPrimaryContact reports whether, by its latest status, the member has lost
// contact with the primary. A member that still follows an older term has had no
// contact since the primary's promotion.
func (m *Machine) lostPrimaryContact(st *memberState) bool {
	if st.status.CurrentTerm < m.primary.term {
		return st.requestedAt.Sub(m.primary.adoptedAt) > m.cfg.ContactLostAfter
	}
	return st.status.CurrentTerm == m.primary.term && st.status.PrimaryContact > m.cfg.ContactLostAfter
}

// isReachable reports whether the member has responded recently.
func (m *Machine) isReachable(now time.Time, st *memberState) bool {
	return !st.callFailed && !st.lastContact.IsZero() && now.Sub(st.lastContact) <= m.cfg.SuspectAfter
}

// majorityIsReachable reports whether enough members are reachable for a
// promotion to succeed.
func (m *Machine) majorityIsReachable(now time.Time) bool {
	n := 0
	for _, st := range m.members {
		if m.isReachable(now, st) {
			n++
		}
	}
	return n > 0 && n >= group.Majority(len(m.members))
}

// othersSeePrimary reports whether peers, or failing their views replicas, still
// see a primary that this instance cannot reach. In that case this instance must
// not promote, because it would interrupt writes on all instances.
func (m *Machine) othersSeePrimary(now time.Time) bool {
	agreeing := false
	for _, p := range m.peers {
		if m.peerSeesPrimary(now, p) {
			return true
		}
		agreeing = agreeing || p.receivedAt.Sub(m.primary.lastContact) > peerAgreementDelay
	}
	// If no peer has sent a recent enough view, the replicas decide: while they
	// are in contact with the primary, the fault lies between the primary and
	// this instance.
	return !agreeing && len(m.serving) > 1 && m.condition == primaryUnreachable && m.replicaSeesPrimary(now)
}

// peerSeesPrimary reports whether the peer has recently seen a primary that this
// instance cannot reach: either one of a higher term, or the known primary more
// than peerViewMargin after this instance last did.
func (m *Machine) peerSeesPrimary(now time.Time, p peerState) bool {
	if p.primary == "" || now.Sub(p.primarySeenAt) > m.cfg.SuspectAfter {
		return false
	}
	switch {
	case p.term > m.primary.term:
		return true
	case p.term == m.primary.term:
		return m.condition == primaryUnreachable && p.primarySeenAt.Sub(m.primary.lastContact) > peerViewMargin
	default:
		return false
	}
}

// replicaSeesPrimary reports whether any reachable replica is in contact with the
// primary.
func (m *Machine) replicaSeesPrimary(now time.Time) bool {
	for name, st := range m.members {
		if name != m.primary.member && m.isReachable(now, st) &&
			st.status.CurrentTerm == m.primary.term && st.status.PrimaryContact <= m.cfg.SuspectAfter {
			return true
		}
	}
	return false
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
