package limits

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

// LimitChanges is the difference between two sets of limits.
type LimitChanges struct {
	// Set holds the limits that are new or whose rate or burst has changed.
	Set []bundle.Limit
	// Removed holds the names of limits that no longer exist.
	Removed []string
}

// DiffLimits compares the current limits, by name, with those of a new bundle. The
// caller creates an empty bucket for a new limit and sends SetLimit for a changed
// one.
func DiffLimits(current map[string]bundle.Limit, next []bundle.Limit) LimitChanges {
	var c LimitChanges
	kept := make(map[string]bool, len(next))
	for _, l := range next {
		kept[l.Name] = true
		if old, ok := current[l.Name]; !ok || old != l {
			c.Set = append(c.Set, l)
		}
	}
	for name := range current {
		if !kept[name] {
			c.Removed = append(c.Removed, name)
		}
	}
	return c
}

// Limit returns the current limit.
func (b *Bucket) Limit() bundle.Limit { return b.limit }

// BucketState is the state of a bucket for metrics.
type BucketState struct {
	// Rate is in requests/s, Burst and Tokens in requests, loans included.
	Rate, Burst, Tokens float64
	// Demand is the estimated rate of arrivals in requests/s.
	Demand float64
	// Waiting is the number of waiting requests; Borrowed and Lent are numbers of
	// loans.
	Waiting, Borrowed, Lent int
}

// State returns the state of the bucket at the given time.
func (b *Bucket) State(now time.Time) BucketState {
	b.advance(now)
	return BucketState{
		Rate: b.rate, Burst: b.burst, Tokens: b.tokens, Demand: b.demand.rate,
		Waiting: b.waiting.len(), Borrowed: len(b.borrowedLoans), Lent: len(b.lentLoans),
	}
}
