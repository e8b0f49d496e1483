package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A limit of which an instance's share is only a few requests is gathered: one
// instance, its home, borrows the shares of all others while there is demand,
// and the others borrow single tokens from it. Divided among the instances, the
// tokens would be fractions that no instance can use.

const (
	// gatherBelow is the share, in requests of burst and of MaxWait at the rate,
	// below which random arrivals alone exceed it often.
	gatherBelow = 10
	// gatherBurst is the share of the burst below which a limit is gathered at
	// any rate: two whole tokens.
	gatherBurst = 2
	// gatherFor is the time without demand after which the home stops.
	gatherFor = 2 * time.Second
	// unreachableFor is the time for which a home that did not answer is left out.
	unreachableFor = time.Second
	// emptyBackoff is the time after which a home without tokens is asked again.
	emptyBackoff = 40 * time.Millisecond
)

// setPeers derives who is home from the peers, when these have changed.
func (b *Bucket) setPeers(self string, peers []string) {
	if b.self == self && slices.Equal(b.peers, peers) {
		return
	}
	b.self, b.peers = self, slices.Clone(peers)
	b.homes = append(slices.Clone(peers), self)
	slices.SortFunc(b.homes, func(x, y string) int {
		return cmp.Or(cmp.Compare(b.weight(y), b.weight(x)), cmp.Compare(x, y))
	})
	for peer := range b.refusals {
		if !slices.Contains(peers, peer) {
			delete(b.refusals, peer)
		}
	}
}

// weight is the rendezvous weight of an instance for the limit.
func (b *Bucket) weight(id string) uint64 {
	return xxhash.Sum64String(b.limit.Name + "\x00" + id)
}

// isGathered reports whether the limit is too small to be divided.
func (b *Bucket) isGathered() bool {
	n := float64(len(b.peers) + 1)
	return len(b.peers) > 0 &&
		(b.limit.Burst/n < gatherBurst || (b.limit.Burst+b.limit.Rate*MaxWait.Seconds())/n < gatherBelow)
}

// isHome reports whether this instance gathers the limit at present: it is the
// home and has demand, or a fellow instance has just asked it for tokens.
func (b *Bucket) isHome(now time.Time) bool {
	return b.isGathered() && now.Before(b.gatherUntil)
}

// noteDemand keeps the home gathering while it has demand of its own.
func (b *Bucket) noteDemand(now time.Time) {
	if !now.Before(b.gatherUntil) {
		b.gatherUntil = time.Time{}
	}
	if b.isGathered() && !b.demand.isIdle() && b.home(now) == b.self {
		b.gatherUntil = now.Add(gatherFor)
	}
}

// home returns the first instance in order that is not known to be unreachable.
func (b *Bucket) home(now time.Time) string {
	for _, id := range b.homes {
		if r := b.refusals[id]; !r.failed || !now.Before(r.until) {
			return id
		}
	}
	return b.self
}

// precedes reports whether the instance comes before this one in the order.
func (b *Bucket) precedes(id string) bool {
	i, j := slices.Index(b.homes, id), slices.Index(b.homes, b.self)
	return i >= 0 && i < j
}

// missingAtHome is the part of the limit that others still hold.
func (b *Bucket) missingAtHome() need {
	rate, burst := b.rate, b.burst
	for i := range b.lent {
		rate += b.lent[i].rate
		burst += b.lent[i].burst
	}
	n := need{rate: b.limit.Rate - rate, burst: b.limit.Burst - burst}
	n.tokens = b.burst + max(0, n.burst) - b.tokens
	if n.burst <= negligibleTokens && n.rate <= b.limit.Rate*negligibleRate {
		n.tokens = 0
	}
	return n
}

// askHome asks the home for the tokens that requests wait for, with the capacity
// to hold them.
func (b *Bucket) askHome(now time.Time) []Action {
	n := need{tokens: float64(b.waiting.len()) - b.tokens}
	home := b.home(now)
	if b.waiting.len() == 0 || n.tokens <= 0 || home == b.self ||
		b.isAsked(home) || now.Before(b.refusals[home].until) {
		return nil
	}
	n.tokens = min(n.tokens, b.limit.Burst)
	n.burst = max(0, min(b.tokens+n.tokens, b.limit.Burst)-b.burst)
	b.nextLoan++
	return []Action{b.ask(now, home, b.nextLoan, n, n)}
}
