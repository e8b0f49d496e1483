package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A limit of which each instance's share would be only a few requests is
// centralized: while there is demand, one instance, the coordinator, borrows the
// shares of all others, and the others borrow single tokens from it. Otherwise the
// tokens would be spread over the instances in fractions that admit no request.

const (
	// minDividedRequests is the number of requests per instance, as burst plus
	// MaxWait at the rate, below which a limit is centralized: random arrivals
	// would often exceed a smaller share.
	minDividedRequests = 10
	// minDividedBurst is the burst in tokens per instance below which a limit is
	// centralized at any rate.
	minDividedBurst = 2
	// coordinatorIdleTimeout is the time without demand after which the
	// coordinator returns what it has borrowed.
	coordinatorIdleTimeout = 2 * time.Second
	// unreachableBackoff is the time for which a peer that did not respond is
	// neither asked for loans nor taken for the coordinator.
	unreachableBackoff = time.Second
	// coordinatorBackoff is the delay before the next request to a coordinator that
	// had no tokens.
	coordinatorBackoff = 40 * time.Millisecond
)

// setPeers sets the peers and derives the order of coordinators from them by
// rendezvous hashing.
func (b *Bucket) setPeers(self string, peers []string) {
	if b.selfID == self && slices.Equal(b.peers, peers) {
		return
	}
	b.selfID, b.peers = self, slices.Clone(peers)
	b.coordinatorOrder = append(slices.Clone(peers), self)
	slices.SortFunc(b.coordinatorOrder, func(x, y string) int {
		return cmp.Or(cmp.Compare(b.weight(y), b.weight(x)), cmp.Compare(x, y))
	})
	for peer := range b.peerBackoffs {
		if !slices.Contains(peers, peer) {
			delete(b.peerBackoffs, peer)
		}
	}
}

// weight returns the instance's rendezvous hashing weight for this limit.
func (b *Bucket) weight(id string) uint64 {
	return xxhash.Sum64String(b.limit.Name + "\x00" + id)
}

// isCentralized reports whether the limit is too small to be divided among the
// instances.
func (b *Bucket) isCentralized() bool {
	instances := float64(len(b.peers) + 1)
	return len(b.peers) > 0 &&
		(b.limit.Burst/instances < minDividedBurst || (b.limit.Burst+b.limit.Rate*MaxWait.Seconds())/instances < minDividedRequests)
}

// isCoordinating reports whether this instance coordinates the limit at present:
// it is the coordinator and has demand, or a peer has recently asked it for tokens.
func (b *Bucket) isCoordinating(now time.Time) bool {
	return b.isCentralized() && now.Before(b.coordinateUntil)
}

// updateCoordination extends coordinateUntil while this instance is the coordinator
// and has demand of its own, and clears it once it has passed.
func (b *Bucket) updateCoordination(now time.Time) {
	if !now.Before(b.coordinateUntil) {
		b.coordinateUntil = time.Time{}
	}
	if b.isCentralized() && !b.demand.isIdle() && b.coordinator(now) == b.selfID {
		b.coordinateUntil = now.Add(coordinatorIdleTimeout)
	}
}

// coordinator returns the first instance of coordinatorOrder that is not known to
// be unreachable.
func (b *Bucket) coordinator(now time.Time) string {
	for _, id := range b.coordinatorOrder {
		if backoff := b.peerBackoffs[id]; !backoff.unreachable || !now.Before(backoff.until) {
			return id
		}
	}
	return b.selfID
}

// precedesSelf reports whether the instance comes before this one in
// coordinatorOrder.
func (b *Bucket) precedesSelf(id string) bool {
	i, j := slices.Index(b.coordinatorOrder, id), slices.Index(b.coordinatorOrder, b.selfID)
	return i >= 0 && i < j
}

// coordinatorShortfall returns the part of the limit that the coordinator has yet
// to borrow from its peers.
func (b *Bucket) coordinatorShortfall() amounts {
	rate, burst := b.rate, b.burst
	for i := range b.lentLoans {
		rate += b.lentLoans[i].rate
		burst += b.lentLoans[i].burst
	}
	need := amounts{rate: b.limit.Rate - rate, burst: b.limit.Burst - burst}
	need.tokens = b.burst + max(0, need.burst) - b.tokens
	if need.burst <= negligibleTokens && need.rate <= b.limit.Rate*negligibleRateFraction {
		need.tokens = 0
	}
	return need
}

// requestFromCoordinator requests the tokens for the waiting requests, and the
// capacity to hold them, from the coordinator.
func (b *Bucket) requestFromCoordinator(now time.Time) []Action {
	need := amounts{tokens: float64(b.waiting.len()) - b.tokens}
	lender := b.coordinator(now)
	if b.waiting.len() == 0 || need.tokens <= 0 || lender == b.selfID ||
		b.hasRequestTo(lender) || now.Before(b.peerBackoffs[lender].until) {
		return nil
	}
	need.tokens = min(need.tokens, b.limit.Burst)
	need.burst = max(0, min(b.tokens+need.tokens, b.limit.Burst)-b.burst)
	b.lastLoanID++
	return []Action{b.requestLoan(now, lender, b.lastLoanID, need, need)}
}
