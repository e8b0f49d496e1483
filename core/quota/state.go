package quota

import "time"

// State holds the values that decide whether an operation is admitted, for logs.
type State struct {
	// Level is the estimated number of tokens in the common bucket, and Credit the
	// number of operations that this instance may admit below the reserve.
	Level, Credit float64
	// Share is this instance's share of the refill, from 0 to 1.
	Share float64
	// Live and Known are the numbers of instances that the share is computed from; Detached
	// is set if the admissions of most of them are unknown.
	Live, Known int
	Detached    bool
	// Demand is the estimated demand at all instances, in operations per second.
	Demand float64
	Limit  Limit
	// Admitted and Refused count the operations of this instance since the limiter was
	// created, and Charged those of other instances that it has learned of and charged.
	Admitted, Refused uint64
	Charged           float64
	// ChargedAge is the time since the last report that was charged, or since the limiter
	// was created.
	ChargedAge time.Duration
}

// IsNearLimit reports whether the bucket or the demand is close to the limit.
func (s State) IsNearLimit() bool {
	return s.Level < nearLimitFraction*s.Limit.Burst || s.Demand >= nearLimitDemand*s.Limit.Rate
}

// State returns the present state.
func (l *Limiter) State(now time.Time) State {
	l.advance(now)
	share, chargedAt := l.share(now), l.chargedAt
	if chargedAt.IsZero() {
		chargedAt = l.startedAt
	}
	s := State{
		Level: l.level, Credit: l.credit, Share: share, Live: l.live, Known: l.known, Detached: l.detached, Limit: l.limit,
		Admitted: l.admitted, Refused: l.refused, Charged: l.charged, ChargedAge: now.Sub(chargedAt),
	}
	if share > 0 {
		s.Demand = l.demand / share
	}
	return s
}
