package limits

import (
	"math"
	"time"
)

// borrowedLoan is a loan from a peer.
type borrowedLoan struct {
	lender      string
	id          uint64
	rate, burst float64
	expiresAt   time.Time
	// renewalRequested is set once a renewal has been requested. It stays set after
	// a refusal, so that the renewal is not requested again.
	renewalRequested bool
}

// loanRequest is a request for a loan without a response yet, with the amounts that
// it is expected to bring. A response without a matching request is dropped, so that
// a duplicate counts only once.
type loanRequest struct {
	lender      string
	loanID      uint64
	rate, burst float64
	tokens      float64
	sentAt      time.Time
}

// peerBackoff is the time until which no loan is requested from a peer.
type peerBackoff struct {
	until time.Time
	delay time.Duration
	// unreachable is true if the peer did not respond, and false if it had nothing
	// to lend.
	unreachable bool
}

const (
	// renewalMargin is the time before the end of a loan at which it is renewed.
	renewalMargin = 200 * time.Millisecond
	// loanRequestTimeout is the time after which a request without a response has
	// failed.
	loanRequestTimeout = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff from a peer that had
	// nothing to lend.
	minBackoff, maxBackoff = 60 * time.Millisecond, 480 * time.Millisecond
	// borrowLookahead is how far ahead a bucket plans: it requests a loan when a
	// demand above its rate would use up its tokens within this time.
	borrowLookahead = 200 * time.Millisecond
)

// tick returns, renews and requests loans according to the demand.
func (b *Bucket) tick(now time.Time, e Tick) []Action {
	b.demand.update(now)
	b.dropTimedOutRequests(now)
	b.updateCoordination(now)
	if !now.Before(e.Deadline) {
		return nil
	}
	out := append(b.returnSurplusLoans(now), b.renewLoans(now)...)
	switch {
	case !b.isCentralized():
		return append(out, b.requestFromPeers(now, b.shortfall())...)
	case b.isCoordinating(now):
		return append(out, b.requestFromPeers(now, b.coordinatorShortfall())...)
	default:
		return append(out, b.requestFromCoordinator(now)...)
	}
}

// amounts are amounts of rate in requests/s and of burst and tokens in requests.
type amounts struct{ rate, burst, tokens float64 }

const (
	// borrowHeadroomFactor is the rate that a borrower aims for, relative to its
	// demand.
	borrowHeadroomFactor = 1.1
	// loanRateStep is the fraction of a limit's rate to whose multiples a borrower
	// rounds up, so that a rising demand does not cause many small loans.
	loanRateStep = 0.125
	// negligibleRateFraction is the fraction of a limit's rate that is not worth a
	// message.
	negligibleRateFraction = 0.02
	// negligibleTokens is the number of tokens that is not worth a message while no
	// request waits.
	negligibleTokens = 0.05
)

// shortfall returns what the bucket lacks to meet its demand. Requests that already
// wait need tokens; a demand above the bucket's rate needs rate before the tokens
// run out.
func (b *Bucket) shortfall() amounts {
	waiting := float64(b.waiting.len())
	desired := b.desiredRate()
	need := amounts{tokens: waiting - b.tokens}
	if b.demand.rate > b.rate {
		upcoming := waiting + (b.demand.rate-b.rate)*borrowLookahead.Seconds()
		if b.tokens < max(upcoming, wholeToken) {
			need.rate = desired - b.rate
			need.tokens = upcoming - b.tokens
		}
	}
	if need.tokens > 0 || need.rate > 0 {
		capacity := max(1, b.tokens+need.tokens, b.limit.Burst*desired/b.limit.Rate)
		need.burst = min(capacity, b.limit.Burst) - b.burst
		need.tokens = min(need.tokens, b.burst+max(0, need.burst)-b.tokens)
	}
	return need
}

// isNegligible reports whether the amounts are not worth a message. For a
// centralized limit only the rate decides: a request without rate would make the
// lender the coordinator.
func (b *Bucket) isNegligible(need amounts) bool {
	if b.isCentralized() {
		return need.rate <= b.limit.Rate*negligibleRateFraction
	}
	threshold := negligibleTokens
	if b.waiting.len() > 0 {
		threshold = 1 - wholeToken
	}
	return need.rate <= b.limit.Rate*negligibleRateFraction && need.burst <= threshold && need.tokens <= threshold
}

// requestFromPeers requests the amounts from as many peers as are expected to cover
// them, if each can lend an even share of the limit. What they do not lend is
// requested from other peers at a later tick.
func (b *Bucket) requestFromPeers(now time.Time, need amounts) []Action {
	peers := b.peers
	for i := range b.pendingRequests {
		need.rate -= b.pendingRequests[i].rate
		need.burst -= b.pendingRequests[i].burst
		need.tokens -= b.pendingRequests[i].tokens
	}
	evenShare := 1 / float64(len(peers)+1)
	var out []Action
	for range peers {
		if b.isNegligible(need) {
			break
		}
		peer := peers[b.nextPeerIndex%len(peers)]
		b.nextPeerIndex++
		if b.hasRequestTo(peer) || now.Before(b.peerBackoffs[peer].until) {
			continue
		}
		b.lastLoanID++
		wanted := amounts{max(0, need.rate), max(0, need.burst), max(0, need.tokens)}
		out = append(out, b.requestLoan(now, peer, b.lastLoanID, wanted, amounts{
			rate:   min(wanted.rate, b.limit.Rate*evenShare),
			burst:  min(wanted.burst, b.limit.Burst*evenShare),
			tokens: min(wanted.tokens, b.limit.Burst*evenShare),
		}))
		last := &b.pendingRequests[len(b.pendingRequests)-1]
		need = amounts{need.rate - last.rate, need.burst - last.burst, need.tokens - last.tokens}
	}
	return out
}

// requestLoan returns a request for a loan and records the amounts that it is
// expected to bring.
func (b *Bucket) requestLoan(now time.Time, to string, id uint64, wanted, expected amounts) Action {
	b.pendingRequests = append(b.pendingRequests, loanRequest{
		lender: to, loanID: id, rate: expected.rate, burst: expected.burst, tokens: expected.tokens, sentAt: now,
	})
	return RequestLoan{
		To: to, Limit: b.limit.Name, LoanID: id,
		Rate: wanted.rate, Burst: wanted.burst, Tokens: wanted.tokens,
	}
}

func (b *Bucket) hasRequestTo(peer string) bool {
	for i := range b.pendingRequests {
		if b.pendingRequests[i].lender == peer {
			return true
		}
	}
	return false
}

// desiredRate returns the rate that this instance aims for.
func (b *Bucket) desiredRate() float64 {
	step := b.limit.Rate * loanRateStep
	return min(math.Ceil(b.demand.rate*borrowHeadroomFactor/step)*step, b.limit.Rate)
}

// maxUsefulRate returns the rate up to which loans are kept: the whole rate of a
// limit that this instance coordinates, nothing of a centralized limit that it does
// not coordinate, and otherwise the desired rate.
func (b *Bucket) maxUsefulRate(now time.Time) float64 {
	switch {
	case !b.isCentralized():
		return b.desiredRate()
	case b.isCoordinating(now):
		return b.limit.Rate
	default:
		return 0
	}
}

// returnSurplusLoans returns loans that the demand no longer needs before they
// expire. The borrower stops using a loan before it tells the lender, and never
// reuses the ID of a loan.
func (b *Bucket) returnSurplusLoans(now time.Time) []Action {
	surplus := b.rate - b.maxUsefulRate(now) - b.limit.Rate*loanRateStep
	var out []Action
	for i := 0; i < len(b.borrowedLoans); {
		l := b.borrowedLoans[i]
		if l.rate <= 0 || l.rate > surplus || b.hasRequestForLoan(l.id) {
			i++
			continue
		}
		surplus -= l.rate
		b.borrowedLoans = append(b.borrowedLoans[:i], b.borrowedLoans[i+1:]...)
		out = append(out, RequestLoan{To: l.lender, Limit: b.limit.Name, LoanID: l.id})
	}
	if len(out) > 0 {
		b.recompute()
	}
	return out
}

func (b *Bucket) hasRequestForLoan(id uint64) bool {
	for i := range b.pendingRequests {
		if b.pendingRequests[i].loanID == id {
			return true
		}
	}
	return false
}

// renewLoans requests the renewal of the loans that expire soon and are still
// needed. The borrower stops using the part that it no longer needs before it sends
// the request.
func (b *Bucket) renewLoans(now time.Time) []Action {
	var out []Action
	rate, target := b.rate, b.maxUsefulRate(now)
	for i := range b.borrowedLoans {
		l := &b.borrowedLoans[i]
		if l.renewalRequested || l.expiresAt.Sub(now) > renewalMargin || l.rate <= 0 {
			continue
		}
		rate -= l.rate
		fraction := min(1, (target-rate)/l.rate)
		if fraction <= 0 {
			continue
		}
		l.renewalRequested = true
		l.rate, l.burst = l.rate*fraction, l.burst*fraction
		rate += l.rate
		out = append(out, b.requestLoan(now, l.lender, l.id, amounts{rate: l.rate, burst: l.burst}, amounts{}))
	}
	b.recompute()
	return out
}

func (b *Bucket) dropTimedOutRequests(now time.Time) {
	kept := b.pendingRequests[:0]
	for _, request := range b.pendingRequests {
		if now.Sub(request.sentAt) < loanRequestTimeout {
			kept = append(kept, request)
			continue
		}
		b.markUnreachable(now, request.lender)
	}
	b.pendingRequests = kept
}

func (b *Bucket) removeRequest(from string, id uint64) (loanRequest, bool) {
	for i, request := range b.pendingRequests {
		if request.lender == from && request.loanID == id {
			b.pendingRequests = append(b.pendingRequests[:i], b.pendingRequests[i+1:]...)
			return request, true
		}
	}
	return loanRequest{}, false
}

// onLoanResponse adds the granted loan to the bucket. The loan expires on this
// instance's clock, counted from before the request was sent and shortened by the
// margin for clock drift.
func (b *Bucket) onLoanResponse(now time.Time, e LoanResponse) {
	request, ok := b.removeRequest(e.From, e.LoanID)
	if !ok {
		return
	}
	until := request.sentAt.Add(subtractDriftMargin(min(e.Duration, MaxLoanDuration)))
	if e.Duration <= 0 || !now.Before(until) {
		b.backOff(now, e.From)
		return
	}
	delete(b.peerBackoffs, e.From)
	loan := borrowedLoan{lender: e.From, id: e.LoanID, rate: max(0, e.Rate), burst: max(0, e.Burst), expiresAt: until}
	if index := b.findBorrowed(e.From, e.LoanID); index >= 0 {
		b.borrowedLoans[index] = loan
	} else if loan.rate > 0 || loan.burst > 0 {
		b.borrowedLoans = append(b.borrowedLoans, loan)
	}
	b.recompute()
	b.tokens = min(b.burst, b.tokens+max(0, e.Tokens))
}

func (b *Bucket) onLoanRequestFailed(now time.Time, e LoanRequestFailed) {
	if _, ok := b.removeRequest(e.From, e.LoanID); ok {
		b.markUnreachable(now, e.From)
	}
}

// markUnreachable starts the backoff from a peer that did not respond.
func (b *Bucket) markUnreachable(now time.Time, peer string) {
	b.peerBackoffs[peer] = peerBackoff{until: now.Add(unreachableBackoff), unreachable: true}
}

// backOff starts the backoff from a peer that had nothing to lend.
func (b *Bucket) backOff(now time.Time, peer string) {
	if b.isCentralized() && !b.isCoordinating(now) {
		b.peerBackoffs[peer] = peerBackoff{until: now.Add(coordinatorBackoff)}
		return
	}
	next := min(max(minBackoff, 2*b.peerBackoffs[peer].delay), maxBackoff)
	b.peerBackoffs[peer] = peerBackoff{until: now.Add(next), delay: next}
}

func (b *Bucket) findBorrowed(from string, id uint64) int {
	for i := range b.borrowedLoans {
		if b.borrowedLoans[i].lender == from && b.borrowedLoans[i].id == id {
			return i
		}
	}
	return -1
}

// dropExpiredLoans removes the borrowed and lent loans that have expired.
func (b *Bucket) dropExpiredLoans(now time.Time) {
	borrowed := b.borrowedLoans[:0]
	for _, l := range b.borrowedLoans {
		if now.Before(l.expiresAt) {
			borrowed = append(borrowed, l)
		}
	}
	b.borrowedLoans = borrowed
	lent := b.lentLoans[:0]
	for _, l := range b.lentLoans {
		if now.Before(l.expiresAt) {
			lent = append(lent, l)
		}
	}
	b.lentLoans = lent
}
