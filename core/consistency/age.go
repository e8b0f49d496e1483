package consistency

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// agedSamples is the number of positions of the primary that an AgeLog keeps.
// At one probe in 100 ms it covers 25 s; a longer age is judged by the oldest
// position that is kept, which is stricter than required.
const agedSamples = 256

// AgeLog relates the age of data to positions. Age is measured from the moment
// at which a status was asked for, on the instance's monotonic clock. Its owner
// serializes the calls.
type AgeLog struct {
	members int
	samples []sample
	follows map[string]sample
}

// sample is a position of a primary, or the term that a member follows.
type sample struct {
	askedAt  time.Time
	position group.Position
}

// NewAgeLog returns an empty log of a group with the number of members.
func NewAgeLog(members int) *AgeLog {
	return &AgeLog{members: members, follows: map[string]sample{}}
}

// Observe records a status that was asked for at askedAt. A member that has
// promised a term above the one that it follows counts towards no term.
func (l *AgeLog) Observe(s group.Status, askedAt time.Time) {
	if s.PromisedTerm != s.CurrentTerm {
		delete(l.follows, s.Member)
		return
	}
	if f, ok := l.follows[s.Member]; ok && f.askedAt.After(askedAt) {
		return
	}
	l.follows[s.Member] = sample{askedAt, group.Position{Term: s.CurrentTerm}}
	if s.Role != group.Primary {
		return
	}
	if n := len(l.samples); n > 0 && l.samples[n-1].position.Compare(s.ReceivedPosition()) > 0 {
		return
	}
	if len(l.samples) == agedSamples {
		l.samples = append(l.samples[:0], l.samples[1:]...)
	}
	l.samples = append(l.samples, sample{askedAt, s.ReceivedPosition()})
}

// FloorSince returns a floor that covers every write that was acknowledged
// before since, and false if that cannot be proved. The proof needs a position
// of a primary that was asked for at or after since, and a majority of members
// that followed the primary's term at or after since: a write of a later term
// that was acknowledged before since would have needed one of them.
func (l *AgeLog) FloorSince(since time.Time) (group.Position, bool) {
	for _, s := range l.samples {
		if s.askedAt.Before(since) {
			continue
		}
		if l.following(s.position.Term, since) >= group.Majority(l.members) {
			return s.position, true
		}
	}
	return group.Position{}, false
}

func (l *AgeLog) following(term uint64, since time.Time) int {
	n := 0
	for _, f := range l.follows {
		if f.position.Term == term && !f.askedAt.Before(since) {
			n++
		}
	}
	return n
}
