package limits

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

// Change is the difference between two lists of limits.
type Change struct {
	// Set holds the limits that are new or have another rate or burst.
	Set []bundle.Limit
	// Removed holds the names of limits that no longer exist.
	Removed []string
}

// Diff compares the limits in force, by name, with those of a new bundle. A new
// limit gets an empty bucket, a changed one a SetLimit event.
func Diff(inForce map[string]bundle.Limit, next []bundle.Limit) Change {
	var c Change
	kept := make(map[string]bool, len(next))
	for _, l := range next {
		kept[l.Name] = true
		if old, ok := inForce[l.Name]; !ok || old != l {
			c.Set = append(c.Set, l)
		}
	}
	for name := range inForce {
		if !kept[name] {
			c.Removed = append(c.Removed, name)
		}
	}
	return c
}

// Limit returns the limit that is in force.
func (b *Bucket) Limit() bundle.Limit { return b.limit }

// Level is the state of a bucket for metrics.
type Level struct {
	// Rate is in requests/s, Burst and Tokens in requests, loans included.
	Rate, Burst, Tokens float64
	// Demand is the estimated rate of arrivals in requests/s.
	Demand float64
	// Waiting counts requests, Borrowed and Lent count loans.
	Waiting, Borrowed, Lent int
}

// Level returns the state at the time.
func (b *Bucket) Level(now time.Time) Level {
	b.advance(now)
	return Level{
		Rate: b.rate, Burst: b.burst, Tokens: b.tokens, Demand: b.demand.rate,
		Waiting: b.waiting.len(), Borrowed: len(b.borrowed), Lent: len(b.lent),
	}
}
