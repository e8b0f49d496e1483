package promotion

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

const (
	// CommitLeaseDuration is how long an instance may pass on acknowledgements after the holder
	// of the promotion lease has told it which commit fences stand. A renewal may be lost, and
	// the holder may know for half a second only that it still is the holder.
	CommitLeaseDuration = 1500 * time.Millisecond
	// RelayedCommitLeaseDuration is the same in a fleet whose instances learn of the fences each
	// second from a collector, which adds the age of what it knows.
	RelayedCommitLeaseDuration = 3 * time.Second
)

// CommitLease is an instance's right to pass on the acknowledgements of primaries. An instance
// that the promoter does not reach cannot be fenced. Once its lease has lapsed, it passes on an
// acknowledgement only if the commit is in ProvenLog; a promoter that cannot fence it waits
// until then. Times are readings of one clock.
//
// The zero value has lapsed.
type CommitLease struct {
	// knownAt is the time up to which the instance knows all fences.
	knownAt time.Duration
	renewed bool
}

// Renew records that the instance knows all fences that were set before a time.
func (l *CommitLease) Renew(knownAt time.Duration) {
	if !l.renewed || knownAt > l.knownAt {
		l.knownAt, l.renewed = knownAt, true
	}
}

// Age returns the time since which fences may have been set that the instance does not know. It
// returns false if the lease has never been renewed.
func (l CommitLease) Age(now time.Duration) (time.Duration, bool) {
	return now - l.knownAt, l.renewed
}

// Holds reports whether the lease is in force, for one of the durations above.
func (l CommitLease) Holds(now, duration time.Duration) bool {
	age, renewed := l.Age(now)
	return renewed && age < duration
}

// ProvenLog returns the end of the log that any successor of the primary has, or the zero
// position if nothing is proven. A promoter that knows a replica asks for its log before it
// orders a promotion, or waits for it, and the successor must have all of it. A settled replica
// is known to every promoter; of the others all listed ones must have the commits. The members
// must have answered after the primary acknowledged the commits.
func ProvenLog(members []Member, primary string) group.Position {
	var settled, common group.Position
	all, first := true, true
	for i := range members {
		m := &members[i]
		if m.ID == primary || m.UnlistedFor > 0 {
			continue
		}
		// A replica in a newer term may have lost entries of the term before.
		if !m.Answered || m.Role != group.Replica || m.Received.Term != m.Term {
			all = false
			continue
		}
		if m.MemberFor >= SettledAfter {
			settled = later(settled, m.Received)
		}
		if first || m.Received.Compare(common) < 0 {
			common, first = m.Received, false
		}
	}
	if !all {
		return settled
	}
	return later(settled, common)
}
