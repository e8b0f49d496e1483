// Package promotion decides when the primary of a database group must be replaced
// and which member to promote. It serves groups whose members replicate among
// themselves and whose promotions are carried out by the platform. It does no I/O
// and reads no clock.
//
// A commit is acknowledged once one replica has received it. Therefore, while all
// other replicas are paused, the one that still receives has every commit
// acknowledged during the pause, and the replica with the highest position has
// every commit acknowledged before it.
package promotion

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// Member is the known state of one member of the group.
type Member struct {
	ID   string
	Zone string
	Role group.Role
	// Leaving reports whether the member is about to shut down.
	Leaving bool
	// OutOfService reports whether operators have taken the member's availability
	// zone out of service.
	OutOfService bool
	// UnlistedFor is how long the member has been absent from the platform's list of
	// members; 0 while it is listed.
	UnlistedFor time.Duration
	// Answered reports whether the member responded to the last status or pause
	// call. Received is the position that it reported.
	Answered bool
	Received group.Position
	// Paused reports whether the member receives no commits until it is resumed.
	Paused bool
}

// UnlistedTimeout is how long a member must be absent from the platform's list before
// the member and its log are considered lost. It exceeds the two seconds or so
// within which entries that expired during a store outage reappear once the store
// is available again.
const UnlistedTimeout = 2500 * time.Millisecond

// Reason is the reason for replacing a primary.
type Reason uint8

const (
	// None means that the primary is not replaced.
	None Reason = iota
	// Leaving means that the primary has announced its shutdown.
	Leaving
	// ZoneOut means that operators have taken the primary's availability zone out
	// of service.
	ZoneOut
	// Unreachable means that too many instances cannot reach the primary.
	Unreachable
	// CutOff means that the primary's commits reach no replica.
	CutOff
	// NoPrimary means that the group has no primary.
	NoPrimary
)

var reasonNames = [...]string{"none", "leaving", "zone-out", "unreachable", "cut-off", "no-primary"}

// String returns the name of the reason in log lines.
func (r Reason) String() string { return reasonNames[r] }

// IsPlanned reports whether the change is planned, that is, the primary still works.
func (r Reason) IsPlanned() bool { return r == Leaving || r == ZoneOut }

// PlannedReason returns the reason for replacing a primary that still works, or None. A
// planned change requires another member that can take over.
func PlannedReason(members []Member, primary string) Reason {
	successor := false
	var p *Member
	for i := range members {
		m := &members[i]
		if m.ID == primary {
			p = m
		} else if m.canBecomePrimary() && !m.OutOfService {
			successor = true
		}
	}
	switch {
	case p == nil || !successor:
		return None
	case p.Leaving:
		return Leaving
	case p.OutOfService:
		return ZoneOut
	default:
		return None
	}
}

func (m *Member) canBecomePrimary() bool { return !m.Leaving && m.UnlistedFor == 0 }

// Votes counts the instances that can and cannot reach the primary.
type Votes struct{ Reachable, Unreachable int }

// minUnreachableFraction is the fraction of voting instances that must be unable
// to reach the primary. Below it, it is better for their clients to use the other
// instances than to change the primary, which interrupts all writes.
const minUnreachableFraction = 0.3

// IsUnreachable reports whether enough instances cannot reach the primary for it
// to be replaced.
func (v Votes) IsUnreachable() bool {
	return v.Unreachable > 0 && float64(v.Unreachable) >= minUnreachableFraction*float64(v.Unreachable+v.Reachable)
}

// Choose returns the ID of the member to promote. The members have been paused or,
// in a planned change, asked for their status. acknowledged is the highest position
// that any instance has seen acknowledged. Choose returns false if no member
// provably has every acknowledged commit, for example because a replica that may
// have acknowledged one has not responded.
func Choose(members []Member, primary string, acknowledged group.Position) (string, bool) {
	needed := acknowledged
	var candidates []*Member
	for i := range members {
		m := &members[i]
		if m.ID == primary {
			continue
		}
		if !m.Answered {
			if m.UnlistedFor < UnlistedTimeout {
				return "", false
			}
			continue
		}
		if m.Received.Compare(needed) > 0 {
			needed = m.Received
		}
		candidates = append(candidates, m)
	}
	slices.SortStableFunc(candidates, func(a, b *Member) int {
		return cmp.Or(b.preference()-a.preference(), b.Received.Compare(a.Received), cmp.Compare(a.ID, b.ID))
	})
	for _, m := range candidates {
		if m.Received.Compare(needed) >= 0 {
			return m.ID, true
		}
	}
	return "", false
}

func (m *Member) preference() int {
	switch {
	case m.UnlistedFor > 0:
		return 0
	case m.Leaving:
		return 1
	case m.OutOfService:
		return 2
	default:
		return 3
	}
}
