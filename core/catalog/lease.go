package catalog

import "time"

// Lease tracks how long an instance may use the newest configuration that it has
// seen. Times are readings of a clock that continues while the machine is
// suspended, so that the lease of a resumed process has expired. It is not safe
// for concurrent use.
type Lease struct {
	// MaxAge is the validity of a confirmation.
	MaxAge time.Duration
	// confirmedAt is when the last confirmed request was sent; valid if isSet.
	confirmedAt time.Duration
	isSet       bool
}

// Confirm records that the store had no newer configuration, according to a
// request that was sent at sentAt.
func (l *Lease) Confirm(sentAt time.Duration) {
	if !l.isSet || sentAt > l.confirmedAt {
		l.confirmedAt, l.isSet = sentAt, true
	}
}

// Age returns the time since the last confirmation. It reports false if there has
// been none.
func (l *Lease) Age(now time.Duration) (time.Duration, bool) { return now - l.confirmedAt, l.isSet }

// Valid reports whether the configuration may be used at now.
func (l *Lease) Valid(now time.Duration) bool {
	age, isConfirmed := l.Age(now)
	return isConfirmed && age < l.MaxAge
}
