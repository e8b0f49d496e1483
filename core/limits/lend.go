package limits

import "time"

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
	length := min(MaxLoan, e.Deadline.Sub(now))
	if e.Rate <= 0 {
		length = min(length, tokenLoan)
	}
	if length < minLoan {
		return refusal
	}
	b.demand.update(now)
	key := loanKey{e.From, e.FromEpoch, e.LoanID}
	old := b.findLent(key)
	grant := b.spare(e, old)
	grant.To, grant.Limit, grant.LoanID = refusal.To, refusal.Limit, refusal.LoanID
	if grant.Rate <= 0 && grant.Burst <= 0 && grant.Tokens <= 0 {
		return refusal
	}
	b.lower(now, key, old, grant, now.Add(length))
	grant.Length = length
	return grant
}

func (b *Bucket) findLent(key loanKey) int {
	for i := range b.lent {
		if b.lent[i].key == key {
			return i
		}
	}
	return -1
}

// spare returns what this instance can do without. A renewal is granted at most
// the amounts of the running loan.
func (b *Bucket) spare(e BorrowAsked, old int) Grant {
	ownRate, ownBurst := b.ownPart()
	maxRate, maxBurst := e.Rate, e.Burst
	if old >= 0 {
		ownRate += b.lent[old].rate
		ownBurst += b.lent[old].burst
		maxRate, maxBurst = min(maxRate, b.lent[old].rate), min(maxBurst, b.lent[old].burst)
	}
	if b.yields(e) {
		return Grant{
			Rate: max(0, min(maxRate, ownRate)), Burst: max(0, min(maxBurst, ownBurst)),
			Tokens: min(e.Tokens, b.tokens),
		}
	}
	keepRate := max(0, b.demand.rate*keepFactor-b.borrowedPart())
	keepBurst := 0.0
	if ownRate > 0 {
		keepBurst = ownBurst * min(1, keepRate/ownRate)
	}
	if b.waiting.len() > 0 {
		keepRate, keepBurst = max(keepRate, ownRate), ownBurst
	}
	keepTokens := float64(b.waiting.len()) + keepRate*keepTime.Seconds()
	g := Grant{
		Rate:  max(0, min(maxRate, ownRate-keepRate)),
		Burst: max(0, min(maxBurst, ownBurst-keepBurst)),
	}
	g.Tokens = max(0, min(e.Tokens, b.tokens-keepTokens))
	return g
}

// yields reports whether a lender that cannot collect a whole token itself gives
// way. Of two instances that wait for the same fractions, the one with the
// higher identity does, so that one of them gets a token.
func (b *Bucket) yields(e BorrowAsked) bool {
	if b.burst >= wholeToken {
		return false
	}
	return b.waiting.len() == 0 || e.From < e.To
}

// lower takes the granted part out of use. A renewal for less leaves the
// difference out of use until the end of the running loan.
func (b *Bucket) lower(now time.Time, key loanKey, old int, g Grant, until time.Time) {
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
