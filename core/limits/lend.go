package limits

import (
	"math"
	"time"
)

// loanKey identifies a loan. The epoch distinguishes the loans of a restarted
// borrower from those of its previous process.
type loanKey struct {
	borrower string
	epoch    uint64
	id       uint64
}

// lentLoan is a loan to a peer: this instance goes without the amounts until the
// loan expires.
type lentLoan struct {
	key         loanKey
	rate, burst float64
	expiresAt   time.Time
}

// lenderHeadroomFactor is the rate that a lender keeps, relative to its demand. It
// is below borrowHeadroomFactor because headroom on one instance means a shortage
// on another when the total demand is close to the limit.
const lenderHeadroomFactor = 1.05

// lenderTokenWindow is the time whose demand a lender keeps tokens for.
const lenderTokenWindow = 100 * time.Millisecond

// lend handles a request for a loan. It deducts the amounts before it grants them,
// and the loan ends no later than this instance's lease. If the response gets lost,
// neither side has the amounts until the loan expires.
func (b *Bucket) lend(now time.Time, e LoanRequested) GrantLoan {
	refusal := GrantLoan{To: e.From, Limit: b.limit.Name, LoanID: e.LoanID}
	b.demand.update(now)
	key := loanKey{e.From, e.FromEpoch, e.LoanID}
	index := b.releaseUnrequested(key, e)
	if e.Rate <= 0 && e.Tokens <= 0 {
		// The borrower has returned the loan.
		return refusal
	}
	duration := min(MaxLoanDuration, e.Deadline.Sub(now))
	if e.Rate <= 0 {
		duration = min(duration, tokenLoanDuration)
	}
	grant := b.lendable(now, e, index, duration)
	if duration < minLoanDuration || (grant.Rate <= 0 && grant.Burst <= 0 && grant.Tokens <= 0) {
		return refusal
	}
	grant.To, grant.Limit, grant.LoanID, grant.Duration = refusal.To, refusal.Limit, refusal.LoanID, duration
	b.deductLoan(key, index, grant, now.Add(duration))
	return grant
}

// releaseUnrequested takes back the part of an existing loan that the borrower no
// longer requests; the borrower has already stopped using that part. It returns the
// index of the loan that remains, or -1.
func (b *Bucket) releaseUnrequested(key loanKey, e LoanRequested) int {
	index := b.findLent(key)
	if index < 0 {
		return index
	}
	l := &b.lentLoans[index]
	l.rate, l.burst = min(l.rate, max(0, e.Rate)), min(l.burst, max(0, e.Burst))
	if l.rate <= 0 && l.burst <= 0 {
		b.lentLoans = append(b.lentLoans[:index], b.lentLoans[index+1:]...)
		index = -1
	}
	b.recompute()
	return index
}

func (b *Bucket) findLent(key loanKey) int {
	for i := range b.lentLoans {
		if b.lentLoans[i].key == key {
			return i
		}
	}
	return -1
}

// lendable returns the amounts that this instance can lend for the duration. index
// is the loan to renew, or -1; a renewal grants at most the amounts of that loan.
func (b *Bucket) lendable(now time.Time, e LoanRequested, index int, duration time.Duration) GrantLoan {
	rate, burst := b.unlentShare()
	maxRate, maxBurst := e.Rate, e.Burst
	if index >= 0 {
		rate, burst = rate+b.lentLoans[index].rate, burst+b.lentLoans[index].burst
		maxRate, maxBurst = min(maxRate, b.lentLoans[index].rate), min(maxBurst, b.lentLoans[index].burst)
	}
	if e.Rate <= 0 {
		burst += b.burstBorrowedPast(now.Add(duration))
	}
	ownNeed := b.retained(now, e, rate, burst)
	if e.Rate <= 0 {
		// The borrower can use neither tokens without capacity nor capacity without
		// tokens. It has free capacity for the difference between the two.
		freeCapacity := e.Tokens - e.Burst
		tokens := tokensForWholeRequests(e.Tokens, min(b.tokens-ownNeed.tokens, burst-ownNeed.burst+freeCapacity))
		if tokens <= 0 {
			return GrantLoan{}
		}
		return GrantLoan{Tokens: tokens, Burst: max(0, tokens-freeCapacity)}
	}
	return GrantLoan{
		Rate:   max(0, min(maxRate, rate-ownNeed.rate)),
		Burst:  max(0, min(maxBurst, burst-ownNeed.burst)),
		Tokens: max(0, min(e.Tokens, b.tokens-ownNeed.tokens)),
	}
}

// burstBorrowedPast returns the capacity that this instance borrows at least until
// the given time and may therefore lend on until then.
func (b *Bucket) burstBorrowedPast(until time.Time) (burst float64) {
	for i := range b.borrowedLoans {
		if !b.borrowedLoans[i].expiresAt.Before(until) {
			burst += b.borrowedLoans[i].burst
		}
	}
	return burst
}

// tokensForWholeRequests returns how many tokens to grant to a borrower that wants
// them for its waiting requests: the wanted number minus one for each request that
// has to wait longer. A fraction of a token would be lost at the end of the loan.
func tokensForWholeRequests(wanted, spare float64) float64 {
	if spare >= wanted {
		return max(0, wanted)
	}
	return max(0, wanted-math.Ceil(wanted-spare-(1-wholeToken)))
}

// retained returns the amounts that this instance keeps for itself. It lends a
// centralized limit whole to the coordinator, unless it coordinates the limit itself
// and comes first in the order; as the coordinator it lends all tokens but those for
// its own waiting requests. Of other limits it keeps everything while requests wait,
// and otherwise what its demand needs. A request without rate makes this instance
// the coordinator.
func (b *Bucket) retained(now time.Time, e LoanRequested, rate, burst float64) amounts {
	waiting := float64(b.waiting.len())
	all := amounts{rate, burst, waiting}
	switch {
	case b.isCentralized() && e.Rate > 0 && b.isCoordinating(now) && !b.precedesSelf(e.From):
		return amounts{rate, burst, b.tokens}
	case b.isCentralized() && e.Rate > 0:
		return amounts{}
	case b.isCentralized():
		b.coordinateUntil = now.Add(coordinatorIdleTimeout)
		return amounts{rate, 0, waiting}
	case waiting > 0 || rate <= 0:
		return all
	}
	wanted := b.demand.rate * lenderHeadroomFactor
	return amounts{
		rate: wanted, burst: max(0, burst) * min(1, wanted/rate),
		tokens: wanted * lenderTokenWindow.Seconds(),
	}
}

// deductLoan deducts the granted amounts until the loan expires. After a renewal for
// less, the difference stays deducted until the end of the original loan.
func (b *Bucket) deductLoan(key loanKey, index int, grant GrantLoan, end time.Time) {
	if index >= 0 {
		l := &b.lentLoans[index]
		rest := lentLoan{rate: l.rate - grant.Rate, burst: l.burst - grant.Burst, expiresAt: l.expiresAt}
		l.rate, l.burst = grant.Rate, grant.Burst
		if end.After(l.expiresAt) {
			l.expiresAt = end
		}
		if rest.rate > 0 || rest.burst > 0 {
			b.lentLoans = append(b.lentLoans, rest)
		}
	} else if grant.Rate > 0 || grant.Burst > 0 {
		b.lentLoans = append(b.lentLoans, lentLoan{key: key, rate: grant.Rate, burst: grant.Burst, expiresAt: end})
	}
	b.tokens = max(0, b.tokens-grant.Tokens)
	b.recompute()
}
