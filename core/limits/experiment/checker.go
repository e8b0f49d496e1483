package experiment

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

// LimitChecker checks that admissions stay within burst + rate * t in every window of
// length t. Its level is the largest excess over rate * t of all windows that end at
// the last admission; it must not exceed the burst.
type LimitChecker struct {
	limit bundle.Limit
	level float64
	last  time.Time
	// Violations counts the admissions that exceed the limit and Admitted all
	// admissions; MaxLevel is the highest level so far.
	Violations, Admitted int
	MaxLevel             float64
}

// NewLimitChecker returns a checker for the limit.
func NewLimitChecker(limit bundle.Limit) *LimitChecker { return &LimitChecker{limit: limit} }

// tolerance is the number of requests that rounding errors may add to the level.
const tolerance = 1e-5

// RecordAdmission counts one admission at the given time.
func (c *LimitChecker) RecordAdmission(now time.Time) {
	if !c.last.IsZero() {
		c.level = max(0, c.level-c.limit.Rate*now.Sub(c.last).Seconds())
	}
	c.last = now
	c.level++
	c.Admitted++
	c.MaxLevel = max(c.MaxLevel, c.level)
	if c.level > c.limit.Burst+tolerance {
		c.Violations++
	}
}
