package revision

import (
	"math"
	"time"
)

// SettleTime is the time after a restoration in which the operators and the members of
// the groups write again what the store has lost. Until it has passed, what the store
// lacks may have been acknowledged.
const SettleTime = 2500 * time.Millisecond

// Eras tracks the newest known era of a store and since when it has been known. Times are
// readings of one clock. The zero value is the first era. Eras is not safe for concurrent
// use.
type Eras struct {
	era   uint64
	since time.Duration
}

// Observe records that the store was in the era at time now. It reports whether the era is
// newer than all that were known.
func (e *Eras) Observe(era uint64, now time.Duration) bool {
	if era <= e.era {
		return false
	}
	e.era, e.since = era, now
	return true
}

// KnownElsewhere records that another process has known the era since the given time.
func (e *Eras) KnownElsewhere(era uint64, since time.Duration) {
	if era == e.era && era > 0 {
		e.since = min(e.since, since)
	}
}

// KnownFor returns the newest era and for how long it has been known. The first era has
// always been known.
func (e *Eras) KnownFor(now time.Duration) (era uint64, age time.Duration) {
	if e.era == 0 {
		return 0, math.MaxInt64
	}
	return e.era, now - e.since
}

// SettledAt returns the time from which on what the store lacks was never acknowledged, or
// has been taken back by its writer. The first era has always been settled.
func (e *Eras) SettledAt() time.Duration {
	if e.era == 0 {
		return math.MinInt64
	}
	return e.since + SettleTime
}
