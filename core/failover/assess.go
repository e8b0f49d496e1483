package failover

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// situation names what is wrong with a group, if anything.
type situation uint8

const (
	// healthy: the primary answers, its group hears it, and it may stay.
	healthy situation = iota
	// noPrimary: no member has answered as primary yet.
	noPrimary
	// primaryFenced: too many members have promised a higher term for the
	// primary to confirm a commit; a promotion is under way or was left half done.
	primaryFenced
	// primaryIsolated: a majority of members has lost contact with the primary.
	primaryIsolated
	// primarySilent: the primary has not answered this instance.
	primarySilent
	// memberStranded: a minority has promised a higher term, and rejects the
	// primary's entries until there is a primary of a term that it accepts.
	memberStranded
	// primaryMisplaced: the primary's backend server or availability zone is
	// out of service.
	primaryMisplaced
)

// urgent reports whether writes cannot be served in the situation.
func (s situation) urgent() bool {
	return s == noPrimary || s == primaryFenced || s == primaryIsolated || s == primarySilent
}

// assess names the present situation, the most severe first.
func (m *Machine) assess(now time.Time) situation {
	switch p := m.members[m.primary.member]; {
	case p == nil:
		return noPrimary
	case m.cannotConfirm():
		return primaryFenced
	case m.isIsolated(now):
		return primaryIsolated
	case now.Sub(latest(m.primary.contact, m.awakeSince)) > m.cfg.SuspectAfter:
		return primarySilent
	case m.countPromisedAbove(m.primary.term) > 0:
		return memberStranded
	case !p.place.InService && m.switchoverTarget(now) != "":
		return primaryMisplaced
	default:
		return healthy
	}
}

// cannotConfirm reports whether the primary is fenced itself, or so many
// members are that no majority is left in its term.
func (m *Machine) cannotConfirm() bool {
	if m.members[m.primary.member].promised > m.primary.term {
		return true
	}
	n := len(m.members)
	return n-m.countPromisedAbove(m.primary.term) < group.Majority(n)
}

func (m *Machine) countPromisedAbove(term uint64) int {
	n := 0
	for _, st := range m.members {
		if st.promised > term {
			n++
		}
	}
	return n
}

// isIsolated reports whether a majority of members says, in recent answers,
// that it has lost contact with the primary.
func (m *Machine) isIsolated(now time.Time) bool {
	lost := 0
	for name, st := range m.members {
		if name != m.primary.member && m.reachable(now, st) && m.lostContact(st) {
			lost++
		}
	}
	return lost >= group.Majority(len(m.members))
}

// lostContact reports whether the member's latest row says that it does not
// hear the primary. A member that still follows an older term has not heard
// the primary since its promotion.
func (m *Machine) lostContact(st *memberState) bool {
	if st.status.CurrentTerm < m.primary.term {
		return st.askedAt.Sub(m.primary.adoptedAt) > m.cfg.ContactLost
	}
	return st.status.CurrentTerm == m.primary.term && st.status.PrimaryContact > m.cfg.ContactLost
}

// reachable reports whether the member has answered recently.
func (m *Machine) reachable(now time.Time, st *memberState) bool {
	return !st.failed && !st.contact.IsZero() && now.Sub(st.contact) <= m.cfg.SuspectAfter
}

// reachesMajority reports whether a promotion can succeed.
func (m *Machine) reachesMajority(now time.Time) bool {
	n := 0
	for _, st := range m.members {
		if m.reachable(now, st) {
			n++
		}
	}
	return n > 0 && n >= group.Majority(len(m.members))
}

// isAlone reports whether only this instance fails to see a primary. Such an
// instance must not promote, since it would interrupt everyone's writes.
func (m *Machine) isAlone(now time.Time) bool {
	agreeing := false
	for _, p := range m.peers {
		if m.peerSees(now, p) {
			return true
		}
		agreeing = agreeing || p.heardAt.Sub(m.primary.contact) > agreeAfter
	}
	// Without any peer's opinion the replicas are witnesses: while they hear
	// the primary, the fault lies between it and this instance.
	return !agreeing && len(m.serving) > 1 && m.caseSeen == primarySilent && m.replicasHearPrimary(now)
}

// peerSees reports whether the peer has seen a primary that this instance
// cannot see: one of a later term, or the known one at a clearly later time.
func (m *Machine) peerSees(now time.Time, p peerState) bool {
	if p.primary == "" || now.Sub(p.seenAt) > m.cfg.SuspectAfter {
		return false
	}
	switch {
	case p.term > m.primary.term:
		return true
	case p.term == m.primary.term:
		return m.caseSeen == primarySilent && p.seenAt.Sub(m.primary.contact) > peerMargin
	default:
		return false
	}
}

// replicasHearPrimary reports whether any reachable replica hears the primary.
func (m *Machine) replicasHearPrimary(now time.Time) bool {
	for name, st := range m.members {
		if name != m.primary.member && m.reachable(now, st) &&
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
