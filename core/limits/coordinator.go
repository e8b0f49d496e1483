package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A limit so low that each instance's share of it would be only a few requests is
// centralized: while there is demand, one instance, the coordinator, borrows the
// shares of all other instances. The others then borrow from the coordinator the
// tokens for the requests that wait with them. If such a limit were divided, its
// tokens would be spread over the instances in fractions that admit no request.

const (
	// minDividedRequests is the minimum of (burst + rate * MaxWait) / instances for a
	// limit to be divided. Below it, the limit is centralized, since the random
	// variation of arrivals would often exceed an instance's share.
	minDividedRequests = 10
	// minDividedBurst is the minimum burst per instance, in tokens, for a limit to be
	// divided. Below it, the limit is centralized whatever its rate.
	minDividedBurst = 2
	// coordinatorIdleTimeout is the time without demand after which the
	// coordinator returns what it has borrowed.
	coordinatorIdleTimeout = 2 * time.Second
	// unreachableBackoff is the time for which a peer that did not respond is
	// neither sent loan requests nor considered as coordinator.
	unreachableBackoff = time.Second
	// coordinatorBackoff is the delay before the next request to a coordinator that
	// had no tokens.
	coordinatorBackoff = 40 * time.Millisecond
)

// setPeers sets the peers and derives coordinatorOrder from them by rendezvous
// hashing: the order in which instances are preferred as the coordinator.
func (b *Bucket) setPeers(self string, peers []string) {
	if b.selfID == self && slices.Equal(b.peers, peers) {
		return
	}
	b.selfID, b.peers = self, slices.Clone(peers)
	b.coordinatorOrder = append(slices.Clone(peers), self)
	slices.SortFunc(b.coordinatorOrder, func(x, y string) int {
		return cmp.Or(cmp.Compare(b.score(y), b.score(x)), cmp.Compare(x, y))
	})
	for peer := range b.peerBackoffs {
		if !slices.Contains(peers, peer) {
			delete(b.peerBackoffs, peer)
		}
	}
}

// score returns the instance's rendezvous hashing score for this limit.
func (b *Bucket) score(id string) uint64 {
	return xxhash.Sum64String(b.limit.Name + "\x00" + id)
}

// isCentralized reports whether the limit is too small to be divided among the
// instances.
func (b *Bucket) isCentralized() bool {
	instances := float64(len(b.peers) + 1)
	return len(b.peers) > 0 &&
		(b.limit.Burst/instances < minDividedBurst || (b.limit.Burst+b.limit.Rate*MaxWait.Seconds())/instances < minDividedRequests)
}

// isCoordinating reports whether this instance coordinates the limit at present. It
// does so until coordinatorIdleTimeout after it last was the coordinator with demand
// of its own, or last had coordinateUntil extended by a loan request of a peer.
func (b *Bucket) isCoordinating(now time.Time) bool {
	return b.isCentralized() && now.Before(b.coordinateUntil)
}

// updateCoordination clears coordinateUntil if that time has passed, since IsIdle tests
// it for zero. It then extends coordinateUntil if this instance is the coordinator and
// has demand of its own.
func (b *Bucket) updateCoordination(now time.Time) {
	if !now.Before(b.coordinateUntil) {
		b.coordinateUntil = time.Time{}
	}
	if b.isCentralized() && !b.demand.isIdle() && b.coordinator(now) == b.selfID {
		b.coordinateUntil = now.Add(coordinatorIdleTimeout)
	}
}

// coordinator returns the first instance of coordinatorOrder that is not in the backoff
// of an unreachable peer, or this instance if there is none.
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

// coordinatorShortfall returns the part of the limit that the coordinator has yet to
// borrow from its peers. What it has lent to them counts as borrowed already. The
// tokens of the result fill the bucket up to the burst that it will have; they are
// not worth a request if the missing rate and burst are negligible.
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

// requestFromCoordinator returns the action, if any, that asks the coordinator for a
// loan: the tokens that the waiting requests lack, and the burst that the bucket needs
// to hold them.
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
	// The coordinator is expected to lend the whole amount.
	return []Action{b.requestLoan(now, lender, b.lastLoanID, need, need)}
}
