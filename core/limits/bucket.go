package limits

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

// Bucket is a token bucket that holds this instance's part of one limit.
type Bucket struct {
	limit bundle.Limit
	// units is the instance's share of the limit, out of lease.TotalUnits.
	units uint32

	// rate and burst are the effective values until nextExpiry: the own share
	// minus the lent amounts plus the borrowed amounts.
	rate, burst float64
	tokens      float64
	refilledAt  time.Time
	// nextExpiry is when the first of the loans expires; zero without loans.
	nextExpiry time.Time

	borrowedLoans   []borrowedLoan
	lentLoans       []lentLoan
	pendingRequests []loanRequest
	peerBackoffs    map[string]peerBackoff
	lastLoanID      uint64
	nextPeerIndex   int

	selfID string
	peers  []string
	// coordinatorOrder lists all instances, this one included; the first reachable
	// one coordinates a centralized limit.
	coordinatorOrder []string
	// coordinateUntil is when this instance stops coordinating the limit; zero if
	// it does not coordinate.
	coordinateUntil time.Time

	demand  demandEstimator
	waiting queue
}

// NewBucket returns an empty bucket: the previous holder of the units may have
// spent their tokens.
func NewBucket(limit bundle.Limit, units uint32, now time.Time) *Bucket {
	b := &Bucket{limit: limit, units: units, refilledAt: now, demand: demandEstimator{updatedAt: now}, peerBackoffs: map[string]peerBackoff{}}
	b.recompute()
	return b
}

// Name returns the name of the limit.
func (b *Bucket) Name() string { return b.limit.Name }

// Take requests one token. deadline is the end of the instance's lease; no
// request is admitted from then on.
func (b *Bucket) Take(now, deadline time.Time) Decision {
	b.demand.arrivals++
	b.advance(now)
	switch {
	case b.waiting.len() == 0 && b.admit(now, deadline):
		return Decision{Outcome: Admitted}
	case b.waiting.len() >= b.maxQueueLength():
		return Decision{Outcome: Refused, RetryAfter: b.retryAfter()}
	default:
		return Decision{Outcome: Waiting, Ticket: b.waiting.push(now.Add(MaxWait))}
	}
}

// Settle admits the waiting requests for which there are tokens and refuses those
// that have waited for MaxWait, in order of arrival.
func (b *Bucket) Settle(now, deadline time.Time) []Result {
	if b.waiting.len() == 0 {
		return nil
	}
	b.advance(now)
	var results []Result
	for b.waiting.len() > 0 {
		request := b.waiting.first()
		switch {
		case !now.Before(request.deadline):
			results = append(results, Result{Ticket: request.ticket, RetryAfter: b.retryAfter()})
		case b.admit(now, deadline):
			results = append(results, Result{Ticket: request.ticket, Admitted: true})
		default:
			return results
		}
		b.waiting.pop()
	}
	return results
}

// CancelWait removes a waiting request, for example because its client has
// disconnected.
func (b *Bucket) CancelWait(ticket uint64) { b.waiting.remove(ticket) }

// NextSettle returns the time at which Settle can next admit or refuse a waiting
// request, unless a loan arrives earlier. It returns false if none waits.
func (b *Bucket) NextSettle(now time.Time) (time.Time, bool) {
	if b.waiting.len() == 0 {
		return time.Time{}, false
	}
	next := b.waiting.first().deadline
	if b.burst >= wholeToken && b.rate > 0 {
		tokenAt := now.Add(cappedSeconds(max(0, 1-b.tokens) / b.rate))
		if tokenAt.Before(next) {
			next = tokenAt
		}
	}
	return next, true
}

// IsIdle reports whether the bucket needs no Tick: it has no demand, no loans, no
// pending loan requests and no waiting requests, and coordinates nothing.
func (b *Bucket) IsIdle() bool {
	return b.waiting.len() == 0 && b.demand.isIdle() && b.coordinateUntil.IsZero() && len(b.borrowedLoans) == 0 && len(b.lentLoans) == 0 && len(b.pendingRequests) == 0
}

// admit takes one token if the lease is valid and the bucket holds one.
func (b *Bucket) admit(now, deadline time.Time) bool {
	if !now.Before(deadline) || b.tokens < wholeToken {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// maxQueueLength returns the number of requests that the whole limit, over all
// instances, could admit within MaxWait.
func (b *Bucket) maxQueueLength() int {
	return int(min(MaxQueueLength, 1+b.limit.Burst+b.limit.Rate*MaxWait.Seconds()))
}

// retryAfter returns the time until a new request gets a token at the present rate.
func (b *Bucket) retryAfter() time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	missing := float64(b.waiting.len()) + 1 - b.tokens
	return min(max(cappedSeconds(missing/b.rate), minRetryAfter), maxRetryAfter)
}

// advance refills the bucket up to now and drops each loan at the time at which it
// expired.
func (b *Bucket) advance(now time.Time) {
	for !b.nextExpiry.IsZero() && !now.Before(b.nextExpiry) {
		b.refill(b.nextExpiry)
		b.dropExpiredLoans(b.nextExpiry)
		b.recompute()
	}
	b.refill(now)
}

// refill adds the tokens since the last refill. It ignores earlier times: callers
// may read the clock before they lock the bucket's mutex.
func (b *Bucket) refill(to time.Time) {
	if !to.After(b.refilledAt) {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*to.Sub(b.refilledAt).Seconds())
	b.refilledAt = to
}

// recompute updates rate, burst and nextExpiry after a change of the share or of
// the loans, and drops the tokens above the new burst.
func (b *Bucket) recompute() {
	b.rate, b.burst = b.unlentShare()
	b.nextExpiry = time.Time{}
	for i := range b.borrowedLoans {
		b.rate += b.borrowedLoans[i].rate
		b.burst += b.borrowedLoans[i].burst
		b.includeExpiry(b.borrowedLoans[i].expiresAt)
	}
	for i := range b.lentLoans {
		b.includeExpiry(b.lentLoans[i].expiresAt)
	}
	b.rate, b.burst = max(0, b.rate), max(0, b.burst)
	b.tokens = min(b.tokens, b.burst)
}

func (b *Bucket) includeExpiry(end time.Time) {
	if b.nextExpiry.IsZero() || end.Before(b.nextExpiry) {
		b.nextExpiry = end
	}
}

// unlentShare returns the instance's share of rate and burst minus what it lends.
// The result is negative while a loan of units that have since been given up still
// runs (such a loan is not renewed), and while borrowed amounts are lent on.
func (b *Bucket) unlentShare() (rate, burst float64) {
	rate, burst = shareOf(b.limit.Rate, b.units), shareOf(b.limit.Burst, b.units)
	for i := range b.lentLoans {
		rate -= b.lentLoans[i].rate
		burst -= b.lentLoans[i].burst
	}
	return rate, burst
}

// cappedSeconds converts seconds to a duration of at most maxRetryAfter.
func cappedSeconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
