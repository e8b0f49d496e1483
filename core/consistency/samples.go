package consistency

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

const (
	// maxPositionSamples bounds the positions that are kept.
	maxPositionSamples = 256
	// minSampleInterval is the least time between two samples. Denser samples
	// would shorten the time that the log covers.
	minSampleInterval = 20 * time.Millisecond
)

// PrimaryPositionLog finds the floor that bounds the staleness of a read, from the log
// positions of the primary. It is for groups that manage replication themselves,
// where a member that proves to be the primary in answer to a statement has every
// commit that was acknowledged before the statement was sent.
//
// Times are readings of a clock that also advances while the machine is
// suspended. An instance could otherwise take positions from before a suspension
// for recent ones. A PrimaryPositionLog is not safe for concurrent use.
type PrimaryPositionLog struct{ samples []positionSample }

type positionSample struct {
	askedAt  time.Duration
	position group.Position
}

// Observe records the position of a member that proved to be the primary in
// answer to a statement sent at askedAt.
func (l *PrimaryPositionLog) Observe(askedAt time.Duration, p group.Position) {
	if n := len(l.samples); n > 0 {
		last := &l.samples[n-1]
		if askedAt < last.askedAt || p.Compare(last.position) < 0 {
			return
		}
		if n > 1 && askedAt-l.samples[n-2].askedAt < minSampleInterval {
			*last = positionSample{askedAt, p}
			return
		}
	}
	if len(l.samples) == maxPositionSamples {
		l.samples = append(l.samples[:0], l.samples[maxPositionSamples/4:]...)
	}
	l.samples = append(l.samples, positionSample{askedAt, p})
}

// FloorSince returns a floor that includes every commit acknowledged before since:
// the oldest position whose statement was sent at or after since. It returns
// false if no sample is that recent.
func (l *PrimaryPositionLog) FloorSince(since time.Duration) (group.Position, bool) {
	for _, s := range l.samples {
		if s.askedAt >= since {
			return s.position, true
		}
	}
	return group.Position{}, false
}

// Newest returns the latest position and the time at which its statement was sent,
// or false if there is none.
func (l *PrimaryPositionLog) Newest() (askedAt time.Duration, p group.Position, ok bool) {
	if len(l.samples) == 0 {
		return 0, group.Position{}, false
	}
	last := l.samples[len(l.samples)-1]
	return last.askedAt, last.position, true
}
