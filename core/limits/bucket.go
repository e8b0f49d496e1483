package limits

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

// Bucket is this instance's part of one limit.
type Bucket struct {
	limit bundle.Limit
	units uint32

	// rate and burst are in force until expiry: the own share without what is
	// lent, plus what is borrowed.
	rate, burst float64
	tokens      float64
	at          time.Time
	// expiry is the earliest end of a loan; zero if there is none.
	expiry time.Time

	borrowed []borrowed
	lent     []lent
	asks     []ask
	refusals map[string]refusal
	nextLoan uint64
	nextPeer int

	self  string
	peers []string
	// homes are all instances in the order in which they gather the limit.
	homes       []string
	gatherUntil time.Time

	demand  demand
	waiting queue
}

// NewBucket returns a bucket without tokens: a share that is taken over starts
// empty.
func NewBucket(limit bundle.Limit, units uint32, now time.Time) *Bucket {
	b := &Bucket{limit: limit, units: units, at: now, demand: demand{at: now}, refusals: map[string]refusal{}}
	b.recompute()
	return b
}

// Name returns the name of the limit.
func (b *Bucket) Name() string { return b.limit.Name }

// Take asks for one token. deadline is the end of the instance's lease: from
// then on nothing is admitted.
func (b *Bucket) Take(now, deadline time.Time) Decision {
	b.demand.arrivals++
	b.advance(now)
	switch {
	case b.waiting.len() == 0 && b.admit(now, deadline):
		return Decision{Outcome: Admitted}
	case b.waiting.len() >= b.maxWaiting():
		return Decision{Outcome: Refused, RetryAfter: b.hint()}
	default:
		return Decision{Outcome: Waiting, Ticket: b.waiting.push(now.Add(MaxWait))}
	}
}

// Settle ends the wait of the requests that can be admitted or have waited
// MaxWait, in order of arrival.
func (b *Bucket) Settle(now, deadline time.Time) []Result {
	if b.waiting.len() == 0 {
		return nil
	}
	b.advance(now)
	var out []Result
	for b.waiting.len() > 0 {
		w := b.waiting.first()
		switch {
		case !now.Before(w.until):
			out = append(out, Result{Ticket: w.ticket, RetryAfter: b.hint()})
		case b.admit(now, deadline):
			out = append(out, Result{Ticket: w.ticket, Admitted: true})
		default:
			return out
		}
		b.waiting.pop()
	}
	return out
}

// Forget removes a request that no longer waits, for example because its client
// has gone.
func (b *Bucket) Forget(ticket uint64) { b.waiting.remove(ticket) }

// NextSettle returns when Settle can next end a wait, if no loan arrives
// before; false if nothing waits.
func (b *Bucket) NextSettle(now time.Time) (time.Time, bool) {
	if b.waiting.len() == 0 {
		return time.Time{}, false
	}
	next := b.waiting.first().until
	if b.burst >= wholeToken && b.rate > 0 {
		filled := now.Add(seconds(max(0, 1-b.tokens) / b.rate))
		if filled.Before(next) {
			next = filled
		}
	}
	return next, true
}

// Idle reports whether the bucket needs no Tick: no demand, loan or wait.
func (b *Bucket) Idle() bool {
	return b.waiting.len() == 0 && b.demand.isIdle() && b.gatherUntil.IsZero() && len(b.borrowed) == 0 && len(b.lent) == 0 && len(b.asks) == 0
}

// admit takes one token if the lease is valid and the bucket holds one.
func (b *Bucket) admit(now, deadline time.Time) bool {
	if !now.Before(deadline) || b.tokens < wholeToken {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// maxWaiting is the number of requests that the whole limit could admit within
// MaxWait.
func (b *Bucket) maxWaiting() int {
	return int(min(MaxWaiting, 1+b.limit.Burst+b.limit.Rate*MaxWait.Seconds()))
}

// hint is the time until the share in force yields a token to a new request.
func (b *Bucket) hint() time.Duration {
	if b.rate <= 0 {
		return maxHint
	}
	missing := float64(b.waiting.len()) + 1 - b.tokens
	return min(max(seconds(missing/b.rate), minHint), maxHint)
}

// advance brings the tokens up to now, through each end of a loan on the way.
func (b *Bucket) advance(now time.Time) {
	for !b.expiry.IsZero() && !now.Before(b.expiry) {
		b.accrue(b.expiry)
		b.dropEnded(b.expiry)
		b.recompute()
	}
	b.accrue(now)
}

// accrue ignores a time before the last one: callers read the clock before they
// get the bucket's mutex.
func (b *Bucket) accrue(to time.Time) {
	if !to.After(b.at) {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*to.Sub(b.at).Seconds())
	b.at = to
}

// recompute derives rate, burst and expiry after a change of share or loans.
// Tokens above the new burst are lost.
func (b *Bucket) recompute() {
	b.rate, b.burst = b.ownPart()
	b.expiry = time.Time{}
	for i := range b.borrowed {
		b.rate += b.borrowed[i].rate
		b.burst += b.borrowed[i].burst
		b.expireBy(b.borrowed[i].until)
	}
	for i := range b.lent {
		b.expireBy(b.lent[i].until)
	}
	b.rate, b.burst = max(0, b.rate), max(0, b.burst)
	b.tokens = min(b.tokens, b.burst)
}

func (b *Bucket) expireBy(end time.Time) {
	if b.expiry.IsZero() || end.Before(b.expiry) {
		b.expiry = end
	}
}

// ownPart returns the own share of rate and burst without what is lent. It is
// negative while loans of units that were given up since still run, which are
// not renewed, and while borrowed parts are lent on.
func (b *Bucket) ownPart() (rate, burst float64) {
	rate, burst = share(b.limit.Rate, b.units), share(b.limit.Burst, b.units)
	for i := range b.lent {
		rate -= b.lent[i].rate
		burst -= b.lent[i].burst
	}
	return rate, burst
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxHint.Seconds()) * float64(time.Second))
}
