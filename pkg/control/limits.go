package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/core/limits"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	pb "github.com/mulberrysill/mulberrysill/rpc/peer"
)

// loanRequestTimeout bounds one loan request to a peer. It is well below the time
// for which a request waits for a token, so that another peer can still be asked.
const loanRequestTimeout = 100 * time.Millisecond

// limitSet holds the token buckets of all rate limits. Traffic goroutines take
// tokens under the mutex of the bucket; the control goroutine requests and renews
// loans from peers.
type limitSet struct {
	plane   *Plane
	buckets atomic.Pointer[map[string]*bucket]
	lease   atomic.Pointer[lease.Status]

	// The fields below are accessed by the control goroutine only.
	units    uint32
	peers    []string
	nextTick time.Time
}

// bucket makes a limits.Bucket safe for concurrent use.
type bucket struct {
	mu      sync.Mutex
	core    *limits.Bucket                // guarded by mu
	waiting map[uint64]chan limits.Result // by ticket; guarded by mu
	// tickRequested is set while a request for a tick by the control goroutine is
	// pending.
	tickRequested atomic.Bool
}

func (s *limitSet) init(p *Plane) {
	s.plane = p
	s.buckets.Store(&map[string]*bucket{})
	s.lease.Store(&lease.Status{})
}

// apply adds, changes and removes buckets to match a new bundle.
func (s *limitSet) apply(b *bundle.Compiled, now time.Time) {
	old := *s.buckets.Load()
	next := map[string]*bucket{}
	for _, l := range b.Limits() {
		if existing := old[l.Name]; existing != nil {
			existing.step(limits.SetLimit{Limit: l}, s.leaseDeadline)
			next[l.Name] = existing
			continue
		}
		created := &bucket{core: limits.NewBucket(l, s.units, now), waiting: map[uint64]chan limits.Result{}}
		created.step(s.peersEvent(), s.leaseDeadline)
		next[l.Name] = created
	}
	s.buckets.Store(&next)
}

func (s *limitSet) setUnits(units uint32, now time.Time) {
	s.units = units
	for _, b := range *s.buckets.Load() {
		b.step(limits.SetUnits{Units: units}, s.leaseDeadline)
	}
}

func (s *limitSet) setLease(status lease.Status) { s.lease.Store(&status) }

func (s *limitSet) leaseDeadline() time.Time { return s.lease.Load().Deadline }

func (s *limitSet) peersEvent() limits.SetPeers {
	return limits.SetPeers{Self: s.plane.cfg.Self.ID, Peers: s.peers}
}

// tick makes the buckets that are not idle renew loans and request new ones.
func (s *limitSet) tick(ctx context.Context, now time.Time) {
	if now.Before(s.nextTick) {
		return
	}
	s.nextTick = now.Add(limits.TickInterval)
	s.updatePeers(now)
	for _, b := range *s.buckets.Load() {
		if !b.isIdle() {
			s.tickBucket(ctx, now, b)
		}
	}
}

func (s *limitSet) updatePeers(now time.Time) {
	peers := s.plane.livePeers(now)
	if slices.Equal(peers, s.peers) {
		return
	}
	s.peers = peers
	for _, b := range *s.buckets.Load() {
		b.step(s.peersEvent(), s.leaseDeadline)
	}
}

func (s *limitSet) tickBucket(ctx context.Context, now time.Time, b *bucket) {
	for _, a := range b.step(limits.Tick{Deadline: s.leaseDeadline()}, s.leaseDeadline) {
		if borrow, ok := a.(limits.RequestLoan); ok {
			s.requestLoan(ctx, b, borrow)
		}
	}
}

// requestTick makes the control goroutine tick the bucket at once. It is called
// when a request starts to wait for a token, which a peer may be able to lend.
func (s *limitSet) requestTick(b *bucket) {
	if b.tickRequested.Swap(true) {
		return
	}
	s.plane.postUntilStopped(func(now time.Time) {
		b.tickRequested.Store(false)
		s.tickBucket(s.plane.ctx, now, b)
	})
}

// requestLoan asks a peer for a loan. The bucket counts the length of the loan
// from before the request was sent, so that the loan ends here before the lender
// takes it back.
func (s *limitSet) requestLoan(ctx context.Context, b *bucket, a limits.RequestLoan) {
	v := s.plane.instances[a.To]
	failed := limits.LoanRequestFailed{From: a.To, LoanID: a.LoanID}
	if v == nil || v.PeerAddress == "" {
		b.step(failed, s.leaseDeadline)
		return
	}
	client := s.plane.cfg.Peers.Get(v.PeerAddress)
	request := &pb.BorrowRequest{
		Sender: s.plane.sender(), Limit: a.Limit, Rate: a.Rate, Burst: a.Burst, Tokens: a.Tokens, LoanId: a.LoanID,
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, loanRequestTimeout)
		defer cancel()
		response, err := client.Borrow(callCtx, request)
		if err != nil {
			b.step(failed, s.leaseDeadline)
			return
		}
		b.step(limits.LoanResponse{
			From: a.To, LoanID: a.LoanID, Rate: response.Rate, Burst: response.Burst, Tokens: response.Tokens,
			Duration: time.Duration(response.LengthMs) * time.Millisecond,
		}, s.leaseDeadline)
	}()
}

// handleLoanRequest returns the loan that is granted to a peer; an empty response
// grants nothing.
func (s *limitSet) handleLoanRequest(r *pb.BorrowRequest) *pb.BorrowResponse {
	response := &pb.BorrowResponse{}
	b := (*s.buckets.Load())[r.Limit]
	if b == nil || r.Sender == nil {
		return response
	}
	event := limits.LoanRequested{
		From: r.Sender.Id, FromEpoch: r.Sender.Epoch, LoanID: r.LoanId,
		Rate: r.Rate, Burst: r.Burst, Tokens: r.Tokens, Deadline: s.leaseDeadline(),
	}
	for _, a := range b.step(event, s.leaseDeadline) {
		if grant, ok := a.(limits.GrantLoan); ok {
			response.Rate, response.Burst, response.Tokens = grant.Rate, grant.Burst, grant.Tokens
			response.LengthMs = uint64(grant.Duration.Milliseconds())
		}
	}
	return response
}

func (b *bucket) isIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.IsIdle()
}

// step passes one event to the bucket and ends the waits that it decides.
func (b *bucket) step(ev limits.Event, deadline func() time.Time) []limits.Action {
	b.mu.Lock()
	defer b.mu.Unlock()
	actions := b.core.Step(time.Now(), ev)
	b.settle(deadline)
	return actions
}

// settle passes results to the requests whose wait is over. The caller holds b.mu.
// The lease deadline is read here, and the clock after it, so that nothing is
// admitted under a lease that expired during a pause of the process.
func (b *bucket) settle(deadline func() time.Time) {
	until := deadline()
	for _, r := range b.core.Settle(time.Now(), until) {
		if ch := b.waiting[r.Ticket]; ch != nil {
			ch <- r
			delete(b.waiting, r.Ticket)
		}
	}
}

// Admit takes one token of the limit. It waits at most limits.MaxWait for one. Its
// errors are *verdict.Error.
func (p *Plane) Admit(ctx context.Context, limit string) error {
	b := (*p.limits.buckets.Load())[limit]
	if b == nil {
		return verdict.New(verdict.NotRun, verdict.InvalidAuthorization, "the workspace of limit %q no longer exists", limit)
	}
	b.mu.Lock()
	// The lease deadline is read under the mutex, and the clock after it, so that
	// a lease that expired during a pause of the process is not used.
	until := p.limits.leaseDeadline()
	decision := b.core.Take(time.Now(), until)
	if decision.Outcome == limits.Admitted {
		b.mu.Unlock()
		return nil
	}
	if decision.Outcome == limits.Refused {
		b.mu.Unlock()
		return rateLimitExceeded(limit, decision.RetryAfter)
	}
	ch := make(chan limits.Result, 1)
	b.waiting[decision.Ticket] = ch
	b.mu.Unlock()
	p.limits.requestTick(b)
	return p.awaitToken(ctx, b, limit, decision.Ticket, ch)
}

// awaitToken waits for the result of a ticket. It settles the bucket itself when
// the next token is due, so that the wait does not depend on the control goroutine.
func (p *Plane) awaitToken(ctx context.Context, b *bucket, limit string, ticket uint64, ch chan limits.Result) error {
	for {
		b.mu.Lock()
		b.settle(p.limits.leaseDeadline)
		next, waiting := b.core.NextSettle(time.Now())
		b.mu.Unlock()
		var wake <-chan time.Time
		if waiting {
			wake = time.After(max(time.Until(next), time.Millisecond))
		}
		select {
		case r := <-ch:
			if r.Admitted {
				return nil
			}
			return rateLimitExceeded(limit, r.RetryAfter)
		case <-ctx.Done():
			b.mu.Lock()
			b.core.CancelWait(ticket)
			delete(b.waiting, ticket)
			b.mu.Unlock()
			return verdict.New(verdict.NotRun, verdict.Cancelled, "the request ended while it waited for its rate")
		case <-wake:
		}
	}
}

func rateLimitExceeded(limit string, after time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.RateLimitExceeded, "%q is over its rate", limit).WithRetryAfter(after)
}

// Borrow implements the peer service. It answers a peer's request for a loan.
func (p *Plane) Borrow(_ context.Context, r *pb.BorrowRequest) (*pb.BorrowResponse, error) {
	return p.limits.handleLoanRequest(r), nil
}
