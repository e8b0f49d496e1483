package gateway

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/revision"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

const (
	// commitFenceDuration is how long a commit fence stands without a renewal. It covers
	// becomePrimaryTimeout and the time in which another instance takes over from a holder of
	// the promotion lease that ends, and bounds how long commits wait if none does.
	commitFenceDuration = 6 * time.Second
	// commitFenceRenewal is the age from which on a fence is renewed while its order has no
	// outcome.
	commitFenceRenewal = commitFenceDuration / 3
	// commitFenceTimeout bounds the calls that set a commit fence at all instances.
	commitFenceTimeout = peerTimeout
	// successorPollInterval is the delay between two questions to the successor for its log
	// while commits wait for it.
	successorPollInterval = 20 * time.Millisecond
)

// orderedFence is the commit fence that the holder of the promotion lease has set for a
// change; the zero value if there is none.
type orderedFence struct {
	stands             bool
	primary, successor string
	setAt              time.Time
	// since is when the fence was first set at this instance, on the clock of bootTime. Commit
	// leases that are renewed later bring the fence with them.
	since time.Duration
	// instances is how many instances have confirmed the fence, and confirmed holds the peers
	// among them, and those that have ended.
	instances int
	confirmed map[string]bool
}

// FenceCommits sets or ends a commit fence at this instance.
func (ps *peers) FenceCommits(_ context.Context, r *pb.FenceCommitsRequest) (*pb.FenceCommitsResponse, error) {
	p, err := ps.poolForHolder(r.Group, r.DutyToken)
	if err != nil {
		return nil, err
	}
	order := promotion.FenceOrder{Token: r.DutyToken, Call: r.Call}
	if r.End {
		p.endCommitFence(order)
		return &pb.FenceCommitsResponse{}, nil
	}
	if r.Member == "" || r.DurationMs <= 0 {
		return nil, twirp.InvalidArgumentError("member", "a fence needs a member and a duration")
	}
	milliseconds := min(r.DurationMs, commitFenceDuration.Milliseconds())
	acknowledged, ok := p.fenceCommits(r.Member, r.Successor, order, time.Duration(milliseconds)*time.Millisecond)
	if !ok {
		return nil, twirp.NewError(twirp.FailedPrecondition, "a later call has set or ended the fence")
	}
	return &pb.FenceCommitsResponse{AcknowledgedTerm: acknowledged.Term, AcknowledgedIndex: acknowledged.Index}, nil
}

// poolForHolder returns the pool of a group for a call of the holder of the promotion lease. It
// refuses calls of a former holder.
func (ps *peers) poolForHolder(group string, dutyToken uint64) (*pool, error) {
	p := ps.gw.pool(group)
	if p == nil {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition, "group %s is not known yet", group)
	}
	if duty, _, _ := ps.dutyHolder(); revision.Revision(dutyToken) < duty.Token {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition, "instance %s holds the promotion duty", duty.Holder)
	}
	return p, nil
}

// fenceCommits keeps back acknowledgements of the member for the duration. It returns the
// highest position that the instance knows to be acknowledged, or false if a later call has set
// or ended the fence.
func (p *pool) fenceCommits(member, successor string, order promotion.FenceOrder, duration time.Duration) (group.Position, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	isNew := !p.fence.Covers(member, now) || p.fence.Successor() != successor
	if !p.fence.Set(member, successor, order, now.Add(duration)) {
		return group.Position{}, false
	}
	p.successorLog, p.heldSince = group.Position{}, time.Time{}
	if isNew {
		p.notifyMembersChanged() // queued writes choose again
	}
	time.AfterFunc(duration, p.noteFenceExpiry)
	return p.acknowledged, true
}

// standingFence returns the fence of the pool for peers that have just started, or nil.
func (p *pool) standingFence() *pb.FenceCommitsRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !p.fence.Stands(now) {
		return nil
	}
	order := p.fence.Order()
	return &pb.FenceCommitsRequest{
		Group: p.name, Member: p.fence.Member(), Successor: p.fence.Successor(),
		DurationMs: p.fence.Remaining(now).Milliseconds(), DutyToken: order.Token, Call: order.Call,
	}
}

// adoptFences sets the fences that stand at a peer and that this instance does not know, except
// those of former holders of the promotion lease.
func (ps *peers) adoptFences(fences []*pb.FenceCommitsRequest) {
	duty, _, _ := ps.dutyHolder()
	ps.adoptFencesSince(fences, duty.Token)
}

// adoptFencesSince adopts the fences that were set under a fencing token or a newer one.
func (ps *peers) adoptFencesSince(fences []*pb.FenceCommitsRequest, oldest revision.Revision) {
	for _, f := range fences {
		p := ps.gw.pool(f.Group)
		order := promotion.FenceOrder{Token: f.DutyToken, Call: f.Call}
		if p == nil || f.Member == "" || f.DurationMs <= 0 || revision.Revision(f.DutyToken) < oldest {
			continue
		}
		p.mu.Lock()
		isNew := p.fence.Order().Precedes(order)
		p.mu.Unlock()
		if isNew {
			p.fenceCommits(f.Member, f.Successor, order, min(time.Duration(f.DurationMs)*time.Millisecond, commitFenceDuration))
		}
	}
}

func (p *pool) endCommitFence(order promotion.FenceOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fence.End(order) {
		p.notifyMembersChanged()
		p.dispatch()
	}
}

// noteFenceExpiry wakes the requests that wait for the end of a fence that has expired.
func (p *pool) noteFenceExpiry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.fence.Stands(time.Now()) {
		p.notifyMembersChanged()
		p.dispatch()
	}
}

// awaitsPrimary reports whether a primary that takes commits is expected soon. The caller
// holds p.mu.
func (p *pool) awaitsPrimary(now time.Time) bool {
	return p.primaryChanging || p.fence.Stands(now)
}

// takesCommits reports whether commits may be sent to the member: it is not fenced, or its
// successor can be asked which commits it has received, and receives some. Without a commit
// lease the replicas must receive some. The caller holds p.mu.
func (p *pool) takesCommits(member string, now time.Time) bool {
	if !p.fence.Covers(member, now) {
		return !p.isProofStalled(now)
	}
	successor := p.members[p.fence.Successor()]
	receives := p.heldSince.IsZero() || now.Sub(p.heldSince) < commitStallTimeout
	return successor != nil && !successor.down && receives
}

// mayCommitAt is takesCommits for callers that do not hold p.mu.
func (p *pool) mayCommitAt(member string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takesCommits(member, time.Now())
}

// awaitCommitsAt waits until commits may be sent to the member. It returns false if they may
// not by the deadline, or if another member leads the group.
func (p *pool) awaitCommitsAt(ctx context.Context, member string, deadline time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	waited := false
	for now := time.Now(); !p.takesCommits(member, now); now = time.Now() {
		if !p.waitForFence(ctx, now, deadline) {
			return false
		}
		waited = true
	}
	return !waited || p.primary == member
}

// waitForFence waits for a change of the fence, or of what is known of the successor. It
// returns false once the wait is over. The caller holds p.mu.
func (p *pool) waitForFence(ctx context.Context, now, deadline time.Time) bool {
	if p.interrupted || ctx.Err() != nil || !now.Before(deadline) {
		return false
	}
	changed := p.fenceChanged
	wait := deadline.Sub(now)
	if p.fence.Stands(now) {
		wait = min(wait, p.fence.Remaining(now)+time.Millisecond)
	}
	p.mu.Unlock()
	defer p.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// notifyFenceChanged wakes the commits whose answers are held back. The caller holds p.mu.
func (p *pool) notifyFenceChanged() {
	close(p.fenceChanged)
	p.fenceChanged = make(chan struct{})
}

// settleCommit records a commit that was sent to the member at a time and that it acknowledged,
// and returns an error if a promotion may have discarded it. While the member is fenced, it
// waits until the successor has the commit, or for the outcome of the promotion; without a
// commit lease, until listed replicas have it.
func (p *pool) settleCommit(ctx context.Context, member string, at group.Position, sent, deadline time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for now := time.Now(); p.isHeldBack(member, at, now); now = time.Now() {
		if !p.waitForFence(ctx, now, deadline) {
			return unknownCommitError(member)
		}
	}
	isReplaced := p.primary != member || (at.Term < p.term && !at.IsZero())
	if (isReplaced && !promotion.SurvivesPromotion(at, p.promotedAt, p.term)) || p.fence.ExpiredAfter(member, sent, time.Now()) {
		return unknownCommitError(member)
	}
	p.noteCommit(at)
	return nil
}

// isHeldBack reports whether the answer to a commit is held back, and lets the members be asked
// for their logs then. The caller holds p.mu.
func (p *pool) isHeldBack(member string, at group.Position, now time.Time) bool {
	if !p.fence.Covers(member, now) {
		return p.lacksProof(member, at, now)
	}
	if !at.IsZero() && at.Compare(p.successorLog) <= 0 {
		return false
	}
	if p.heldSince.IsZero() {
		p.heldSince = now
	}
	p.pollSuccessor()
	return true
}

// pollSuccessor asks the successor for its log in the background, unless that is in progress.
// The caller holds p.mu.
func (p *pool) pollSuccessor() {
	successor := p.members[p.fence.Successor()]
	if successor == nil || p.pollingSuccessor {
		return
	}
	p.pollingSuccessor = true
	id := p.fence.Successor()
	go func() {
		status, err := p.askStatus(successor, time.Now().Add(leadershipTimeout))
		p.mu.Lock()
		// A successor that leads already counts positions of its own term.
		isCurrent := p.members[id] == successor && p.fence.Successor() == id
		if err == nil && status.Role == group.Replica && isCurrent && status.Received.Compare(p.successorLog) > 0 {
			p.successorLog, p.heldSince = status.Received, time.Time{}
			p.notifyFenceChanged()
		}
		p.mu.Unlock()
		time.Sleep(successorPollInterval)
		p.mu.Lock()
		p.pollingSuccessor = false
		p.notifyFenceChanged() // commits that still wait ask again
		p.mu.Unlock()
	}()
}

func unknownCommitError(member string) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "member %s was replaced as it acknowledged the commit", member)
}

// fenceCalls numbers the calls that set and end fences. It begins with the time, so that the
// calls of a process follow those of the one before.
var fenceCalls atomic.Uint64

func init() { fenceCalls.Store(uint64(time.Now().UnixNano())) }

// fenceCommits sets a commit fence at all instances and notes the positions that they know to
// be acknowledged. If it returns true, each instance that may have acknowledged a commit of
// the primary has answered, and acknowledges no later one that the successor lacks. Without a
// successor they acknowledge none. Nothing can be fenced if the primary is not known.
func (c *primaryChange) fenceCommits(ctx context.Context, successor string) bool {
	if c.primary == "" {
		return false
	}
	former := c.orders.fence
	c.orders.fence = orderedFence{stands: true, primary: c.primary, successor: successor, setAt: time.Now()}
	if former.stands && former.primary == c.primary && former.successor == successor && time.Since(former.setAt) < commitFenceDuration {
		c.orders.fence.since = former.since
	}
	positions, allAnswered := c.callFence(ctx, &pb.FenceCommitsRequest{Successor: successor, DurationMs: commitFenceDuration.Milliseconds()})
	for _, at := range positions {
		c.noteAcknowledged(at)
	}
	c.orders.fence.instances = len(positions)
	return allAnswered && c.controller.gw.peers.unreported(time.Now()) == ""
}

// renewFence sets the fence again while a promotion may be carried out, before it lapses. If it
// lapses at an instance that does not answer, that one must get no commits acknowledged.
func (c *primaryChange) renewFence(ctx context.Context) {
	if f := c.orders.fence; c.orders.pending && f.stands && time.Since(f.setAt) > commitFenceRenewal {
		if !c.fenceCommits(ctx, f.successor) {
			c.stopPrimary(ctx, nil)
		}
	}
}

// endFence lets the instances send commits to the primary again. If force is set, it also ends
// the fences of former holders of the promotion lease.
func (c *primaryChange) endFence(force bool) {
	if !c.orders.fence.stands && !force {
		return
	}
	c.orders.fence = orderedFence{}
	c.callFence(context.Background(), &pb.FenceCommitsRequest{End: true})
}

// callFence makes a call to set or end a fence of the primary at all instances. It returns the
// positions that they know to be acknowledged, and whether all of them have answered.
func (c *primaryChange) callFence(ctx context.Context, request *pb.FenceCommitsRequest) ([]group.Position, bool) {
	ctx, cancel := context.WithTimeout(ctx, commitFenceTimeout)
	defer cancel()
	peers := c.controller.gw.peers
	duty, _, _ := peers.dutyHolder()
	request.Group, request.Member, request.DutyToken, request.Call = c.pool.name, c.primary, uint64(duty.Token), fenceCalls.Add(1)
	order := promotion.FenceOrder{Token: request.DutyToken, Call: request.Call}
	var positions []group.Position
	ownAnswered := true
	if request.End {
		c.pool.endCommitFence(order)
	} else {
		var own group.Position
		own, ownAnswered = c.pool.fenceCommits(c.primary, request.Successor, order, commitFenceDuration)
		positions = append(positions, own)
		if c.orders.fence.since == 0 {
			c.orders.fence.since = bootTime()
		}
	}
	answers, failed := callReporters(ctx, c, func(ctx context.Context, client pb.Gate) (group.Position, error) {
		r, err := client.FenceCommits(ctx, request)
		if err != nil {
			return group.Position{}, err
		}
		return group.Position{Term: r.AcknowledgedTerm, Index: r.AcknowledgedIndex}, nil
	})
	confirmed := make(map[string]bool, len(answers))
	for id, at := range answers {
		positions, confirmed[id] = append(positions, at), true
	}
	for id, err := range failed {
		// The address belongs to a machine that runs, and no process listens there.
		if errors.Is(err, syscall.ECONNREFUSED) {
			confirmed[id] = true
		}
	}
	c.orders.fence.confirmed = confirmed
	return positions, len(failed) == 0 && ownAnswered
}
