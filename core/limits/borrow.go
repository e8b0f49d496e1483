package limits

import (
	"math"
	"time"
)

// borrowed is a loan to this instance.
type borrowed struct {
	from        string
	id          uint64
	rate, burst float64
	until       time.Time
	// renewing says that a renewal was asked for, or refused.
	renewing bool
}

// ask is a request without an answer yet. An answer that finds no ask is
// dropped, so no answer counts twice.
type ask struct {
	to          string
	id          uint64
	rate, burst float64
	tokens      float64
	sent        time.Time
}

// refusal makes the borrower leave out a peer that had nothing to lend.
type refusal struct {
	until time.Time
	wait  time.Duration
	// failed says that the peer did not answer at all.
	failed bool
}

const (
	// renewBefore is the time left at which a loan is renewed.
	renewBefore = 200 * time.Millisecond
	// askTimeout is the time after which an answer is given up.
	askTimeout = 300 * time.Millisecond
	// firstBackoff and maxBackoff bound the time for which a peer that had
	// nothing to lend is left out.
	firstBackoff, maxBackoff = 60 * time.Millisecond, 480 * time.Millisecond
	// borrowAhead is the time over which a demand above the share may consume
	// the tokens in the bucket before a loan is asked for.
	borrowAhead = 200 * time.Millisecond
)

// tick renews loans and asks for new ones as the demand requires.
func (b *Bucket) tick(now time.Time, e Tick) []Action {
	b.demand.update(now)
	b.dropAsks(now)
	b.noteDemand(now)
	if !now.Before(e.Deadline) {
		return nil
	}
	out := append(b.giveBack(now), b.renew(now)...)
	switch {
	case !b.isGathered():
		return append(out, b.borrow(now, b.missing())...)
	case b.isHome(now):
		return append(out, b.borrow(now, b.missingAtHome())...)
	default:
		return append(out, b.askHome(now)...)
	}
}

// need is the part of rate, burst and tokens that the demand lacks.
type need struct{ rate, burst, tokens float64 }

const (
	// aimFactor is the rate that a borrower aims for relative to its demand.
	aimFactor = 1.1
	// loanStep is the part of a limit's rate to whose multiples a borrower rounds
	// up, so that a rising demand does not lead to many small loans.
	loanStep = 0.125
	// negligibleRate is the part of a limit's rate that is not worth a message.
	negligibleRate = 0.02
	// negligibleTokens is the number of tokens that is not worth a message while
	// no request waits for it.
	negligibleTokens = 0.05
)

// missing compares the demand with the part in force. A burst above the share
// shows as waiting requests and is met with tokens; a rate above the share is
// met with rate before the tokens run out.
func (b *Bucket) missing() need {
	waiting := float64(b.waiting.len())
	want := b.wanted()
	n := need{tokens: waiting - b.tokens}
	if b.demand.rate > b.rate {
		ahead := waiting + (b.demand.rate-b.rate)*borrowAhead.Seconds()
		if b.tokens < max(ahead, wholeToken) {
			n.rate = want - b.rate
			n.tokens = ahead - b.tokens
		}
	}
	if n.tokens > 0 || n.rate > 0 {
		capacity := max(1, b.tokens+n.tokens, b.limit.Burst*want/b.limit.Rate)
		n.burst = min(capacity, b.limit.Burst) - b.burst
		n.tokens = min(n.tokens, b.burst+max(0, n.burst)-b.tokens)
	}
	return n
}

// isNegligible reports whether the need is not worth a message. A home asks for
// rate in any case: a request without rate would make the lender a home.
func (b *Bucket) isNegligible(n need) bool {
	if b.isGathered() {
		return n.rate <= b.limit.Rate*negligibleRate
	}
	least := negligibleTokens
	if b.waiting.len() > 0 {
		least = 1 - wholeToken
	}
	return n.rate <= b.limit.Rate*negligibleRate && n.burst <= least && n.tokens <= least
}

// borrow asks as many peers as an even distribution of the limit suggests. What
// they do not lend is asked of others at the next tick.
func (b *Bucket) borrow(now time.Time, n need) []Action {
	peers := b.peers
	for i := range b.asks {
		n.rate -= b.asks[i].rate
		n.burst -= b.asks[i].burst
		n.tokens -= b.asks[i].tokens
	}
	even := 1 / float64(len(peers)+1)
	var out []Action
	for range peers {
		if b.isNegligible(n) {
			break
		}
		peer := peers[b.nextPeer%len(peers)]
		b.nextPeer++
		if b.isAsked(peer) || now.Before(b.refusals[peer].until) {
			continue
		}
		b.nextLoan++
		wanted := need{max(0, n.rate), max(0, n.burst), max(0, n.tokens)}
		out = append(out, b.ask(now, peer, b.nextLoan, wanted, need{
			rate:   min(wanted.rate, b.limit.Rate*even),
			burst:  min(wanted.burst, b.limit.Burst*even),
			tokens: min(wanted.tokens, b.limit.Burst*even),
		}))
		last := &b.asks[len(b.asks)-1]
		n = need{n.rate - last.rate, n.burst - last.burst, n.tokens - last.tokens}
	}
	return out
}

// ask sends a request and notes what it is expected to bring.
func (b *Bucket) ask(now time.Time, to string, id uint64, wanted, expected need) Action {
	b.asks = append(b.asks, ask{
		to: to, id: id, rate: expected.rate, burst: expected.burst, tokens: expected.tokens, sent: now,
	})
	return Borrow{
		To: to, Limit: b.limit.Name, LoanID: id,
		Rate: wanted.rate, Burst: wanted.burst, Tokens: wanted.tokens,
	}
}

func (b *Bucket) isAsked(peer string) bool {
	for i := range b.asks {
		if b.asks[i].to == peer {
			return true
		}
	}
	return false
}

// wanted is the rate that this instance aims for.
func (b *Bucket) wanted() float64 {
	step := b.limit.Rate * loanStep
	return min(math.Ceil(b.demand.rate*aimFactor/step)*step, b.limit.Rate)
}

// target is the rate up to which loans are kept: all of a limit that this
// instance gathers, none of one that another gathers, and else what is wanted.
func (b *Bucket) target(now time.Time) float64 {
	switch {
	case !b.isGathered():
		return b.wanted()
	case b.isHome(now):
		return b.limit.Rate
	default:
		return 0
	}
}

// giveBack ends loans that the demand no longer needs before their time. The
// borrower stops using a loan before the lender learns of it, and never uses
// the identity of a loan again.
func (b *Bucket) giveBack(now time.Time) []Action {
	surplus := b.rate - b.target(now) - b.limit.Rate*loanStep
	var out []Action
	for i := 0; i < len(b.borrowed); {
		l := b.borrowed[i]
		if l.rate <= 0 || l.rate > surplus || b.isAskedFor(l.id) {
			i++
			continue
		}
		surplus -= l.rate
		b.borrowed = append(b.borrowed[:i], b.borrowed[i+1:]...)
		out = append(out, Borrow{To: l.from, Limit: b.limit.Name, LoanID: l.id})
	}
	if len(out) > 0 {
		b.recompute()
	}
	return out
}

func (b *Bucket) isAskedFor(id uint64) bool {
	for i := range b.asks {
		if b.asks[i].id == id {
			return true
		}
	}
	return false
}

// renew asks for the renewal of the loans that end soon and are still needed.
// What the borrower no longer needs it stops using before it asks.
func (b *Bucket) renew(now time.Time) []Action {
	var out []Action
	rate, target := b.rate, b.target(now)
	for i := range b.borrowed {
		l := &b.borrowed[i]
		if l.renewing || l.until.Sub(now) > renewBefore || l.rate <= 0 {
			continue
		}
		rate -= l.rate
		part := min(1, (target-rate)/l.rate)
		if part <= 0 {
			continue
		}
		l.renewing = true
		l.rate, l.burst = l.rate*part, l.burst*part
		rate += l.rate
		out = append(out, b.ask(now, l.from, l.id, need{rate: l.rate, burst: l.burst}, need{}))
	}
	b.recompute()
	return out
}

func (b *Bucket) dropAsks(now time.Time) {
	kept := b.asks[:0]
	for _, a := range b.asks {
		if now.Sub(a.sent) < askTimeout {
			kept = append(kept, a)
			continue
		}
		b.leaveOut(now, a.to)
	}
	b.asks = kept
}

func (b *Bucket) takeAsk(from string, id uint64) (ask, bool) {
	for i, a := range b.asks {
		if a.to == from && a.id == id {
			b.asks = append(b.asks[:i], b.asks[i+1:]...)
			return a, true
		}
	}
	return ask{}, false
}

// onAnswer takes a loan into use. It ends on the own clock, counted from before
// the request was sent and shortened by the drift bound.
func (b *Bucket) onAnswer(now time.Time, e LoanAnswer) {
	a, ok := b.takeAsk(e.From, e.LoanID)
	if !ok {
		return
	}
	until := a.sent.Add(shorten(min(e.Length, MaxLoan)))
	if e.Length <= 0 || !now.Before(until) {
		b.backOff(now, e.From)
		return
	}
	delete(b.refusals, e.From)
	loan := borrowed{from: e.From, id: e.LoanID, rate: max(0, e.Rate), burst: max(0, e.Burst), until: until}
	if old := b.findBorrowed(e.From, e.LoanID); old >= 0 {
		b.borrowed[old] = loan
	} else if loan.rate > 0 || loan.burst > 0 {
		b.borrowed = append(b.borrowed, loan)
	}
	b.recompute()
	b.tokens = min(b.burst, b.tokens+max(0, e.Tokens))
}

func (b *Bucket) onFailed(now time.Time, e LoanFailed) {
	if _, ok := b.takeAsk(e.From, e.LoanID); ok {
		b.leaveOut(now, e.From)
	}
}

// leaveOut handles a peer that did not answer.
func (b *Bucket) leaveOut(now time.Time, peer string) {
	b.refusals[peer] = refusal{until: now.Add(unreachableFor), failed: true}
}

// backOff handles a peer that had nothing to lend.
func (b *Bucket) backOff(now time.Time, peer string) {
	if b.isGathered() && !b.isHome(now) {
		b.refusals[peer] = refusal{until: now.Add(emptyBackoff)}
		return
	}
	wait := min(max(firstBackoff, 2*b.refusals[peer].wait), maxBackoff)
	b.refusals[peer] = refusal{until: now.Add(wait), wait: wait}
}

func (b *Bucket) findBorrowed(from string, id uint64) int {
	for i := range b.borrowed {
		if b.borrowed[i].from == from && b.borrowed[i].id == id {
			return i
		}
	}
	return -1
}

// dropEnded removes the loans that have ended.
func (b *Bucket) dropEnded(now time.Time) {
	in := b.borrowed[:0]
	for _, l := range b.borrowed {
		if now.Before(l.until) {
			in = append(in, l)
		}
	}
	b.borrowed = in
	out := b.lent[:0]
	for _, l := range b.lent {
		if now.Before(l.until) {
			out = append(out, l)
		}
	}
	b.lent = out
}
