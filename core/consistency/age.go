package consistency

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// maxStatusSamples bounds the primary positions that are kept. At one status
// probe per 100 ms they cover 25 s. For a longer age FloorSince returns the
// oldest position kept, which is stricter than required.
const maxStatusSamples = 256

// StalenessTracker finds the floor that bounds the staleness of a read, from the statuses
// of a group's members. The age of a status is measured from the time at which
// it was requested, on the instance's monotonic clock. It is not safe for
// concurrent use.
type StalenessTracker struct {
	members          int
	primaryPositions []statusSample
	followedTerms    map[string]statusSample
}

// statusSample is either the last position in a primary's log, or, with only the
// term set, the term that a member follows.
type statusSample struct {
	askedAt  time.Time
	position group.Position
}

// NewStalenessTracker returns an empty log for a group with the given number of members.
func NewStalenessTracker(members int) *StalenessTracker {
	return &StalenessTracker{members: members, followedTerms: map[string]statusSample{}}
}

// Observe records a status that was requested at askedAt. A member whose promised
// term differs from the term that it follows counts as a follower of neither.
func (l *StalenessTracker) Observe(s group.Status, askedAt time.Time) {
	if s.PromisedTerm != s.CurrentTerm {
		delete(l.followedTerms, s.Member)
		return
	}
	if f, ok := l.followedTerms[s.Member]; ok && f.askedAt.After(askedAt) {
		return
	}
	l.followedTerms[s.Member] = statusSample{askedAt, group.Position{Term: s.CurrentTerm}}
	if s.Role != group.Primary {
		return
	}
	if n := len(l.primaryPositions); n > 0 && l.primaryPositions[n-1].position.Compare(s.ReceivedPosition()) > 0 {
		return
	}
	if len(l.primaryPositions) == maxStatusSamples {
		l.primaryPositions = append(l.primaryPositions[:0], l.primaryPositions[1:]...)
	}
	l.primaryPositions = append(l.primaryPositions, statusSample{askedAt, s.ReceivedPosition()})
}

// FloorSince returns a floor that includes every write acknowledged before since,
// or false if no such floor can be proved. The proof needs a position of a
// primary and statuses of a majority of members that follow the primary's term,
// all requested at or after since. To acknowledge a write before since, a later
// term would have needed at least one of these members.
func (l *StalenessTracker) FloorSince(since time.Time) (group.Position, bool) {
	for _, s := range l.primaryPositions {
		if s.askedAt.Before(since) {
			continue
		}
		if l.countFollowers(s.position.Term, since) >= group.Majority(l.members) {
			return s.position, true
		}
	}
	return group.Position{}, false
}

func (l *StalenessTracker) countFollowers(term uint64, since time.Time) int {
	n := 0
	for _, f := range l.followedTerms {
		if f.position.Term == term && !f.askedAt.Before(since) {
			n++
		}
	}
	return n
}
