package consistency

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

const (
	// maxPositionSamples is the maximum number of samples that are kept.
	maxPositionSamples = 256
	// minSampleInterval is the minimum time between a sample and the next but one.
	// Denser samples would shorten the time that the kept samples cover.
	minSampleInterval = 20 * time.Millisecond
)

// PrimaryPositionLog keeps recent log positions of the primary, with the times at which
// they were requested. From them it finds the floor of a read with bounded staleness:
// the log position that a member's visible state must have reached.
//
// It is for groups whose members replicate among themselves. There, a member whose
// response to a statement confirms that it is the primary has every commit that was
// acknowledged before the statement was sent.
//
// Times are readings of a clock with an arbitrary origin that also advances while the
// machine is suspended, such as CLOCK_BOOTTIME. With another clock, an instance could
// mistake positions from before a suspension for recent ones. A PrimaryPositionLog is
// not safe for concurrent use.
type PrimaryPositionLog struct{ samples []positionSample }

type positionSample struct {
	// sentAt is when the statement was sent whose response had the position.
	sentAt   time.Duration
	position group.Position
}

// Observe records the position of a member that was confirmed as the primary by its
// response to a statement sent at sentAt. It ignores a sample whose time or position
// is before that of the last sample. A sample less than minSampleInterval after the
// last but one replaces the last. A sample that would exceed maxPositionSamples first
// causes the oldest quarter to be dropped.
func (l *PrimaryPositionLog) Observe(sentAt time.Duration, p group.Position) {
	if n := len(l.samples); n > 0 {
		last := &l.samples[n-1]
		if sentAt < last.sentAt || p.Compare(last.position) < 0 {
			return
		}
		if n > 1 && sentAt-l.samples[n-2].sentAt < minSampleInterval {
			*last = positionSample{sentAt, p}
			return
		}
	}
	if len(l.samples) == maxPositionSamples {
		l.samples = append(l.samples[:0], l.samples[maxPositionSamples/4:]...)
	}
	l.samples = append(l.samples, positionSample{sentAt, p})
}

// FloorSince returns a floor that includes every commit acknowledged before the time t:
// the position of the earliest sample requested at or after t. It returns false if no
// sample is that recent.
func (l *PrimaryPositionLog) FloorSince(t time.Duration) (group.Position, bool) {
	for _, s := range l.samples {
		if s.sentAt >= t {
			return s.position, true
		}
	}
	return group.Position{}, false
}

// Newest returns the position of the latest sample and the time at which it was
// requested, or false if there is no sample.
func (l *PrimaryPositionLog) Newest() (sentAt time.Duration, p group.Position, ok bool) {
	if len(l.samples) == 0 {
		return 0, group.Position{}, false
	}
	last := l.samples[len(l.samples)-1]
	return last.sentAt, last.position, true
}
