package experiment

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

// Ceiling checks that admissions stay within burst + rate * t in every window.
// The level is the largest excess over rate * t of any window that ends now.
type Ceiling struct {
	limit bundle.Limit
	level float64
	last  time.Time
	// Violations counts the admissions above the ceiling, Worst is the largest
	// level seen, Admitted the number of admissions.
	Violations, Admitted int
	Worst                float64
}

// NewCeiling returns a check of the limit.
func NewCeiling(limit bundle.Limit) *Ceiling { return &Ceiling{limit: limit} }

// tolerance absorbs floating-point rounding in requests.
const tolerance = 1e-5

// Admit counts one admission at the time.
func (c *Ceiling) Admit(now time.Time) {
	if !c.last.IsZero() {
		c.level = max(0, c.level-c.limit.Rate*now.Sub(c.last).Seconds())
	}
	c.last = now
	c.level++
	c.Admitted++
	c.Worst = max(c.Worst, c.level)
	if c.level > c.limit.Burst+tolerance {
		c.Violations++
	}
}
