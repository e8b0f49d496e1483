package limits

import (
	"math"
	"time"
)

// loanKey names a loan. The epoch keeps a restarted borrower's loans apart from
// those of its predecessor.
type loanKey struct {
	from  string
	epoch uint64
	id    uint64
}

// lent is what this instance does without until the end of a loan.
type lent struct {
	key         loanKey
	rate, burst float64
	until       time.Time
}

// keepFactor is the rate that a lender keeps relative to its demand. It is below
// aimFactor, because at a demand close to the limit every reserve is a shortage
// elsewhere.
const keepFactor = 1.05

// keepTime is the time for which a lender keeps tokens for its own demand.
const keepTime = 100 * time.Millisecond

// lend lowers this instance's part and then grants it. The loan ends no later
// than this instance's lease. Without an answer the part is lost until then.
func (b *Bucket) lend(now time.Time, e BorrowAsked) Grant {
	refusal := Grant{To: e.From, Limit: b.limit.Name, LoanID: e.LoanID}
	b.demand.update(now)
	key := loanKey{e.From, e.FromEpoch, e.LoanID}
	old := b.takeBack(key, e)
	if e.Rate <= 0 && e.Tokens <= 0 {
		// The borrower gave the loan back.
		return refusal
	}
	length := min(MaxLoan, e.Deadline.Sub(now))
	if e.Rate <= 0 {
		length = min(length, tokenLoan)
	}
	g := b.spare(now, e, old, length)
	if length < minLoan || (g.Rate <= 0 && g.Burst <= 0 && g.Tokens <= 0) {
		return refusal
	}
	g.To, g.Limit, g.LoanID, g.Length = refusal.To, refusal.Limit, refusal.LoanID, length
	b.lower(key, old, g, now.Add(length))
	return g
}

// takeBack finds the loan that is to be renewed and returns to use what the
// borrower no longer asks for: it has stopped using that part.
func (b *Bucket) takeBack(key loanKey, e BorrowAsked) int {
	old := b.findLent(key)
	if old < 0 {
		return old
	}
	l := &b.lent[old]
	l.rate, l.burst = min(l.rate, max(0, e.Rate)), min(l.burst, max(0, e.Burst))
	if l.rate <= 0 && l.burst <= 0 {
		b.lent = append(b.lent[:old], b.lent[old+1:]...)
		old = -1
	}
	b.recompute()
	return old
}

func (b *Bucket) findLent(key loanKey) int {
	for i := range b.lent {
		if b.lent[i].key == key {
			return i
		}
	}
	return -1
}

// spare returns what this instance can do without for the length. A renewal is
// granted at most the amounts of the running loan.
func (b *Bucket) spare(now time.Time, e BorrowAsked, old int, length time.Duration) Grant {
	rate, burst := b.ownPart()
	maxRate, maxBurst := e.Rate, e.Burst
	if old >= 0 {
		rate, burst = rate+b.lent[old].rate, burst+b.lent[old].burst
		maxRate, maxBurst = min(maxRate, b.lent[old].rate), min(maxBurst, b.lent[old].burst)
	}
	if e.Rate <= 0 {
		burst += b.borrowedBeyond(now.Add(length))
	}
	keep := b.keep(now, e, rate, burst)
	if e.Rate <= 0 {
		// Neither tokens without capacity nor capacity without tokens are of use to
		// the borrower, which has room for the difference of the two.
		room := e.Tokens - e.Burst
		tokens := wholeRequests(e.Tokens, min(b.tokens-keep.tokens, burst-keep.burst+room))
		if tokens <= 0 {
			return Grant{}
		}
		return Grant{Tokens: tokens, Burst: max(0, tokens-room)}
	}
	return Grant{
		Rate:   max(0, min(maxRate, rate-keep.rate)),
		Burst:  max(0, min(maxBurst, burst-keep.burst)),
		Tokens: max(0, min(e.Tokens, b.tokens-keep.tokens)),
	}
}

// borrowedBeyond returns the capacity that this instance borrows until after the
// time, and may therefore lend on until then.
func (b *Bucket) borrowedBeyond(end time.Time) (burst float64) {
	for i := range b.borrowed {
		if !b.borrowed[i].until.Before(end) {
			burst += b.borrowed[i].burst
		}
	}
	return burst
}

// wholeRequests returns how many tokens to grant to a borrower that collects
// them for waiting requests: the wanted number, less a whole one for each
// request that must wait on. A fraction would be lost at the end of the loan.
func wholeRequests(wanted, spare float64) float64 {
	if spare >= wanted {
		return max(0, wanted)
	}
	return max(0, wanted-math.Ceil(wanted-spare-(1-wholeToken)))
}

// keep returns what this instance needs itself: nothing of a limit that the
// borrower gathers, everything while requests wait, and otherwise its demand.
func (b *Bucket) keep(now time.Time, e BorrowAsked, rate, burst float64) need {
	waiting := float64(b.waiting.len())
	all := need{rate, burst, waiting}
	switch {
	case b.isGathered() && e.Rate > 0 && b.isHome(now) && !b.precedes(e.From):
		return need{rate, burst, b.tokens}
	case b.isGathered() && e.Rate > 0:
		return need{}
	case b.isGathered():
		b.gatherUntil = now.Add(gatherFor)
		return need{rate, 0, waiting}
	case waiting > 0 || rate <= 0:
		return all
	}
	wanted := b.demand.rate * keepFactor
	return need{
		rate: wanted, burst: max(0, burst) * min(1, wanted/rate),
		tokens: wanted * keepTime.Seconds(),
	}
}

// lower takes the granted part out of use. A renewal for less leaves the
// difference out of use until the end of the running loan.
func (b *Bucket) lower(key loanKey, old int, g Grant, until time.Time) {
	if old >= 0 {
		l := &b.lent[old]
		rest := lent{rate: l.rate - g.Rate, burst: l.burst - g.Burst, until: l.until}
		l.rate, l.burst = g.Rate, g.Burst
		if until.After(l.until) {
			l.until = until
		}
		if rest.rate > 0 || rest.burst > 0 {
			b.lent = append(b.lent, rest)
		}
	} else if g.Rate > 0 || g.Burst > 0 {
		b.lent = append(b.lent, lent{key: key, rate: g.Rate, burst: g.Burst, until: until})
	}
	b.tokens = max(0, b.tokens-g.Tokens)
	b.recompute()
}
