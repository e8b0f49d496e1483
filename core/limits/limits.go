// Package limits keeps each workspace within its rate and burst over all
// instances together (docs/design.md, section 6). A Bucket is this instance's
// part of one limit: a token bucket with the instance's share of rate and burst,
// enlarged by loans from fellow instances and reduced by loans to them.
//
// The package has no I/O, clock or goroutines, and a Bucket is not safe for
// concurrent use. The intended wrapper guards each bucket by its own mutex:
//
//	d := b.Take(now, status.Deadline)            // traffic goroutine
//	switch d.Outcome {
//	case limits.Admitted: run the request
//	case limits.Refused:  refuse "not run", with d.RetryAfter as the hint
//	case limits.Waiting:  wait for the result of d.Ticket from Settle
//	}
//	for _, r := range b.Settle(now, status.Deadline) { pass r to r.Ticket }
//	for _, a := range b.Step(now, ev) { send a }  // control goroutine
//
// Settle is called at NextSettle, and after Step. Step takes a Tick at least
// every TickEvery while the bucket is not Idle, and at once when a request
// starts to wait. Every bucket takes SetPeers and SetUnits after it is created
// and at each change. status is lease.Status, of which
// the newest snapshot is read after the mutex is taken.
//
// The ceiling holds because the sum of the tokens over all instances never
// exceeds the burst and grows by at most the rate: each gain of rate, capacity
// or tokens on one instance comes after an equal loss on another, and ends
// before the other takes it back. Tokens above a shrinking capacity are lost.
package limits

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/lease"
)

const (
	// MaxWait is the longest time that a request waits for a token. It covers the
	// end of a loan to an instance that died, so that requests within the rate
	// wait for it and are not refused; 250 ms refused 1.4% after a kill.
	MaxWait = 500 * time.Millisecond
	// MaxLoan is the longest time of a loan, on the lender's clock. What a dead
	// instance had borrowed is lost for so long.
	MaxLoan = 500 * time.Millisecond
	// TickEvery is the longest time between two Tick events of an active bucket.
	TickEvery = 20 * time.Millisecond
	// MaxWaiting bounds the requests that wait in one bucket.
	MaxWaiting = 4096

	// wholeToken is what a request costs. The tolerance absorbs the rounding of
	// sums of fractional tokens; it is below 1 request in 10^9.
	wholeToken = 1 - 1e-9
	// tokenLoan is the length of a loan without rate, whose tokens are taken as
	// soon as they arrive. Until it ends the lender lacks their capacity.
	tokenLoan = 60 * time.Millisecond
	// minLoan is the shortest loan worth a message.
	minLoan = 50 * time.Millisecond
	// minHint and maxHint bound the wait hint of a refusal.
	minHint, maxHint = 50 * time.Millisecond, 10 * time.Second
)

// shorten is the borrower's side of the drift bound: 10% less than the length.
func shorten(d time.Duration) time.Duration { return d - d/10 }

// Outcome says what became of a request.
type Outcome uint8

// The outcomes of a request. Waiting is later followed by one of the others.
const (
	Admitted Outcome = iota
	Waiting
	Refused
)

// Decision answers Take.
type Decision struct {
	Outcome Outcome
	// Ticket identifies a waiting request.
	Ticket uint64
	// RetryAfter is the wait hint of a refusal.
	RetryAfter time.Duration
}

// Result ends the wait of a request.
type Result struct {
	Ticket     uint64
	Admitted   bool
	RetryAfter time.Duration
}

// share returns the part of a whole that the units stand for.
func share(whole float64, units uint32) float64 {
	return whole * float64(units) / lease.TotalUnits
}
