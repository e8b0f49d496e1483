// Package limits enforces the rate and burst of each workspace over all
// instances together (docs/design.md, section 6). A Bucket holds one instance's
// part of one limit: a token bucket with the instance's share of the rate and
// burst, increased by loans from its peers and reduced by loans to them.
//
// The package has no I/O, clock or goroutines, and a Bucket is not safe for
// concurrent use. The caller guards each bucket with its own mutex:
//
//	d := b.Take(now, status.Deadline)            // goroutine of a request
//	switch d.Outcome {
//	case limits.Admitted: run the request
//	case limits.Refused:  refuse "not run", with d.RetryAfter as the hint
//	case limits.Waiting:  wait for the result of d.Ticket from Settle
//	}
//	for _, r := range b.Settle(now, status.Deadline) { pass r to r.Ticket }
//	for _, a := range b.Step(now, ev) { send a }  // control goroutine
//
// The caller calls Settle at the time that NextSettle returns and after each
// Step. It sends a Tick at least every TickInterval while IsIdle returns false, and
// immediately when a request starts to wait. Every bucket needs SetPeers and
// SetUnits after its creation and at each change. status is lease.Status; the
// caller reads the newest one after it has locked the mutex.
//
// Admissions stay within the rate and burst because the sum of the tokens over
// all instances never exceeds the burst and grows at most at the rate. An
// instance gains rate, capacity or tokens only after another one has given up as
// much, and loses them again before the other takes them back. When the capacity
// of a bucket shrinks, the tokens above it are dropped.
package limits

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/lease"
)

const (
	// MaxWait is the longest time that a request waits for a token. It is as long
	// as the longest loan, so that requests within the rate can wait until a loan
	// to a crashed instance ends. With 250 ms, 1.4% of them were refused after an
	// instance was killed.
	MaxWait = 500 * time.Millisecond
	// MaxLoanDuration is the longest duration of a loan, on the lender's clock.
	// What a crashed instance had borrowed is unavailable for that long.
	MaxLoanDuration = 500 * time.Millisecond
	// TickInterval is the longest interval between two Tick events of an active bucket.
	TickInterval = 20 * time.Millisecond
	// MaxQueueLength is the maximum number of requests that wait in one bucket.
	MaxQueueLength = 4096

	// wholeToken is the number of tokens at which a request is admitted. It is
	// below 1 to tolerate rounding errors in sums of fractional tokens; this admits
	// less than 1 extra request in 10^9.
	wholeToken = 1 - 1e-9
	// tokenLoanDuration is the duration of a loan of tokens without rate. It is
	// short because the borrower spends the tokens on arrival, while the lender
	// lacks their capacity until the loan ends.
	tokenLoanDuration = 60 * time.Millisecond
	// minLoanDuration is the duration below which no loan is granted: such a loan
	// would not be worth its messages.
	minLoanDuration = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the RetryAfter hint of a refusal.
	minRetryAfter, maxRetryAfter = 50 * time.Millisecond, 10 * time.Second
)

// subtractDriftMargin shortens a loan by 10% for the borrower. Clocks drift less
// than that, so the borrower stops using the loan before the lender takes it back.
func subtractDriftMargin(d time.Duration) time.Duration { return d - d/10 }

// Outcome is the outcome of a call of Take.
type Outcome uint8

// The outcomes of a request. A Waiting request is later admitted or refused by
// Settle.
const (
	Admitted Outcome = iota
	Waiting
	Refused
)

// Decision is the result of Take.
type Decision struct {
	Outcome Outcome
	// Ticket identifies a waiting request.
	Ticket uint64
	// RetryAfter tells a refused client how long to wait before it retries.
	RetryAfter time.Duration
}

// Result is the final outcome of a request that had to wait.
type Result struct {
	Ticket     uint64
	Admitted   bool
	RetryAfter time.Duration
}

// shareOf returns the part of the whole that the given units of
// lease.TotalUnits stand for.
func shareOf(total float64, units uint32) float64 {
	return total * float64(units) / lease.TotalUnits
}
