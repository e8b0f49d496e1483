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

// borrowTimeout bounds one request for a loan. It is well below the time that a
// request waits for a token, so that another peer can still be asked.
const borrowTimeout = 100 * time.Millisecond

// limitSet holds the buckets of all limits. Traffic goroutines take tokens under
// the bucket's own mutex; the control goroutine drives loans.
type limitSet struct {
	plane   *Plane
	buckets atomic.Pointer[map[string]*bucket]
	lease   atomic.Pointer[lease.Status]

	// The fields below are owned by the control goroutine.
	units uint32
	peers []string
	next  time.Time
}

// bucket guards one limits.Bucket.
type bucket struct {
	mu      sync.Mutex
	core    *limits.Bucket                // guarded by mu
	waiting map[uint64]chan limits.Result // guarded by mu
	// woken says that the control goroutine has been asked for a tick.
	woken atomic.Bool
}

func (s *limitSet) init(p *Plane) {
	s.plane = p
	s.buckets.Store(&map[string]*bucket{})
	s.lease.Store(&lease.Status{})
}

// apply adds, changes and removes buckets as a new bundle says.
func (s *limitSet) apply(b *bundle.Compiled, now time.Time) {
	old := *s.buckets.Load()
	next := map[string]*bucket{}
	for _, l := range b.Limits() {
		if have := old[l.Name]; have != nil {
			have.step(limits.SetLimit{Limit: l}, s.deadline)
			next[l.Name] = have
			continue
		}
		created := &bucket{core: limits.NewBucket(l, s.units, now), waiting: map[uint64]chan limits.Result{}}
		created.step(s.setPeers(), s.deadline)
		next[l.Name] = created
	}
	s.buckets.Store(&next)
}

func (s *limitSet) setUnits(units uint32, now time.Time) {
	s.units = units
	for _, b := range *s.buckets.Load() {
		b.step(limits.SetUnits{Units: units}, s.deadline)
	}
}

func (s *limitSet) setLease(status lease.Status) { s.lease.Store(&status) }

func (s *limitSet) deadline() time.Time { return s.lease.Load().Deadline }

func (s *limitSet) setPeers() limits.SetPeers {
	return limits.SetPeers{Self: s.plane.cfg.Self.ID, Peers: s.peers}
}

// tick lets the buckets renew loans and ask for new ones.
func (s *limitSet) tick(ctx context.Context, now time.Time) {
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(limits.TickInterval)
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
		b.step(s.setPeers(), s.deadline)
	}
}

func (s *limitSet) tickBucket(ctx context.Context, now time.Time, b *bucket) {
	for _, a := range b.step(limits.Tick{Deadline: s.deadline()}, s.deadline) {
		if borrow, ok := a.(limits.RequestLoan); ok {
			s.borrow(ctx, b, borrow)
		}
	}
}

// wake asks the control goroutine for a tick of the bucket, because a request
// has begun to wait for a token that a peer may lend.
func (s *limitSet) wake(b *bucket) {
	if b.woken.Swap(true) {
		return
	}
	s.plane.offer(func(now time.Time) {
		b.woken.Store(false)
		s.tickBucket(s.plane.ctx, now, b)
	})
}

// borrow asks a peer for a loan. The loan's length counts from before the
// request was sent, so that it ends here before the lender takes it back.
func (s *limitSet) borrow(ctx context.Context, b *bucket, a limits.RequestLoan) {
	v := s.plane.instances[a.To]
	failed := limits.LoanRequestFailed{From: a.To, LoanID: a.LoanID}
	if v == nil || v.PeerAddress == "" {
		b.step(failed, s.deadline)
		return
	}
	client := s.plane.cfg.Peers.Get(v.PeerAddress)
	request := &pb.BorrowRequest{
		Sender: s.plane.sender(), Limit: a.Limit, Rate: a.Rate, Burst: a.Burst, Tokens: a.Tokens, LoanId: a.LoanID,
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, borrowTimeout)
		defer cancel()
		answer, err := client.Borrow(callCtx, request)
		if err != nil {
			b.step(failed, s.deadline)
			return
		}
		b.step(limits.LoanResponse{
			From: a.To, LoanID: a.LoanID, Rate: answer.Rate, Burst: answer.Burst, Tokens: answer.Tokens,
			Duration: time.Duration(answer.LengthMs) * time.Millisecond,
		}, s.deadline)
	}()
}

// lend answers a peer's request for a loan.
func (s *limitSet) lend(r *pb.BorrowRequest) *pb.BorrowResponse {
	answer := &pb.BorrowResponse{}
	b := (*s.buckets.Load())[r.Limit]
	if b == nil || r.Sender == nil {
		return answer
	}
	event := limits.LoanRequested{
		From: r.Sender.Id, FromEpoch: r.Sender.Epoch, LoanID: r.LoanId,
		Rate: r.Rate, Burst: r.Burst, Tokens: r.Tokens, Deadline: s.deadline(),
	}
	for _, a := range b.step(event, s.deadline) {
		if grant, ok := a.(limits.GrantLoan); ok {
			answer.Rate, answer.Burst, answer.Tokens = grant.Rate, grant.Burst, grant.Tokens
			answer.LengthMs = uint64(grant.Duration.Milliseconds())
		}
	}
	return answer
}

func (b *bucket) isIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.IsIdle()
}

// step feeds one event and ends the waits that it settles.
func (b *bucket) step(ev limits.Event, deadline func() time.Time) []limits.Action {
	b.mu.Lock()
	defer b.mu.Unlock()
	actions := b.core.Step(time.Now(), ev)
	b.settle(deadline)
	return actions
}

// settle ends waits. The caller holds b.mu. The lease and then the clock are read
// here, so that a process that was paused on the way admits nothing by a lease
// that has ended meanwhile.
func (b *bucket) settle(deadline func() time.Time) {
	until := deadline()
	for _, r := range b.core.Settle(time.Now(), until) {
		if ch := b.waiting[r.Ticket]; ch != nil {
			ch <- r
			delete(b.waiting, r.Ticket)
		}
	}
}

// Admit takes one token of the limit. It waits at most limits.MaxWait and fails
// with a *verdict.Error.
func (p *Plane) Admit(ctx context.Context, limit string) error {
	b := (*p.limits.buckets.Load())[limit]
	if b == nil {
		return verdict.New(verdict.NotRun, verdict.InvalidAuthorization, "the workspace of limit %q no longer exists", limit)
	}
	b.mu.Lock()
	// The lease and then the clock are read under the mutex, so that a process
	// that was paused before it got here does not use a lease that has ended.
	until := p.limits.deadline()
	decision := b.core.Take(time.Now(), until)
	if decision.Outcome == limits.Admitted {
		b.mu.Unlock()
		return nil
	}
	if decision.Outcome == limits.Refused {
		b.mu.Unlock()
		return overRate(limit, decision.RetryAfter)
	}
	ch := make(chan limits.Result, 1)
	b.waiting[decision.Ticket] = ch
	b.mu.Unlock()
	p.limits.wake(b)
	return p.await(ctx, b, limit, decision.Ticket, ch)
}

// await waits for the result of a ticket. It settles the bucket itself when a
// token falls due, so that a wait does not depend on the control goroutine.
func (p *Plane) await(ctx context.Context, b *bucket, limit string, ticket uint64, ch chan limits.Result) error {
	for {
		b.mu.Lock()
		b.settle(p.limits.deadline)
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
			return overRate(limit, r.RetryAfter)
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

func overRate(limit string, after time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.RateLimitExceeded, "%q is over its rate", limit).WithRetryAfter(after)
}

// Borrow implements the peer service.
func (p *Plane) Borrow(_ context.Context, r *pb.BorrowRequest) (*pb.BorrowResponse, error) {
	return p.limits.lend(r), nil
}
