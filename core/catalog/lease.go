package catalog

import "time"

// Lease bounds how long an instance may use its configuration without a
// confirmation that it is still current. It grants no exclusive right. Times are
// readings of a clock that continues while the machine is suspended
// (CLOCK_BOOTTIME), so that the lease has expired after a suspension for longer
// than MaxAge. A Lease is not safe for concurrent use.
type Lease struct {
	// MaxAge is how long a confirmation remains valid.
	MaxAge time.Duration
	// confirmedAt is the latest sentAt of a Confirm call; valid if isSet.
	confirmedAt time.Duration
	isSet       bool
}

// Confirm records that the store had no configuration newer than the one in use,
// according to the response to a request that was sent at sentAt or later.
func (l *Lease) Confirm(sentAt time.Duration) {
	if !l.isSet || sentAt > l.confirmedAt {
		l.confirmedAt, l.isSet = sentAt, true
	}
}

// Age returns the time since the latest request that confirmed the configuration
// was sent, or a little more. The second result is false if there was no
// confirmation.
func (l *Lease) Age(now time.Duration) (time.Duration, bool) { return now - l.confirmedAt, l.isSet }

// Valid reports whether the configuration may be used at time now.
func (l *Lease) Valid(now time.Duration) bool {
	age, isConfirmed := l.Age(now)
	return isConfirmed && age < l.MaxAge
}
