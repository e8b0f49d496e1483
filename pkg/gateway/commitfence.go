package gateway

import (
	"context"
	"math/rand/v2"
	"time"

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
	// commitFenceTimeout bounds the calls that set a commit fence at all instances.
	commitFenceTimeout = peerTimeout
	// successorPollInterval is the delay between two questions to the successor for its log
	// while commits wait for it.
	successorPollInterval = 20 * time.Millisecond
)

// orderedFence is the commit fence that the holder of the promotion lease has set for a
// change; the zero value if there is none.
type orderedFence struct {
	id uint64
	// instances is how many instances have confirmed the fence.
	instances int
}

// FenceCommits sets or ends a commit fence at this instance.
func (ps *peers) FenceCommits(_ context.Context, r *pb.FenceCommitsRequest) (*pb.FenceCommitsResponse, error) {
	p := ps.gw.pool(r.Group)
	if p == nil {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition, "group %s is not known yet", r.Group)
	}
	if duty, _, _ := ps.dutyHolder(); revision.Revision(r.DutyToken) < duty.Token {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition, "instance %s holds the promotion duty", duty.Holder)
	}
	milliseconds := min(r.DurationMs, commitFenceDuration.Milliseconds())
	acknowledged := p.fenceCommits(r.Member, r.Successor, r.Fence, time.Duration(milliseconds)*time.Millisecond)
	return &pb.FenceCommitsResponse{AcknowledgedTerm: acknowledged.Term, AcknowledgedIndex: acknowledged.Index}, nil
}

// fenceCommits keeps back acknowledgements of the member for the duration, or ends that if it
// is 0. It returns the highest position that the instance knows to be acknowledged.
func (p *pool) fenceCommits(member, successor string, id uint64, duration time.Duration) group.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if duration <= 0 {
		if p.fence.End(member, id) {
			p.notifyMembersChanged()
			p.dispatch()
		}
		return p.acknowledged
	}
	if !p.fence.Covers(member, now) || p.fence.Successor() != successor {
		p.successorLog = group.Position{}
		defer p.notifyMembersChanged() // queued writes choose again
	}
	p.fence.Set(member, successor, id, now.Add(duration))
	time.AfterFunc(duration, p.noteFenceExpiry)
	return p.acknowledged
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
// successor can be asked which commits it has received. The caller holds p.mu.
func (p *pool) takesCommits(member string, now time.Time) bool {
	if !p.fence.Covers(member, now) {
		return true
	}
	successor := p.members[p.fence.Successor()]
	return successor != nil && !successor.down
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
	p.waitForMembersChange(ctx, min(deadline.Sub(now), p.fence.Remaining(now)+time.Millisecond))
	return true
}

// settleCommit records a commit that the member acknowledged, and returns an error if a
// promotion may have discarded it. While the member is fenced, it waits until the successor
// has the commit, or for the outcome of the promotion.
func (p *pool) settleCommit(ctx context.Context, member string, at group.Position, deadline time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := false
	for now := time.Now(); p.fence.Covers(member, now) && at.Compare(p.successorLog) > 0; now = time.Now() {
		held = true
		p.pollSuccessor()
		if !p.waitForFence(ctx, now, deadline) {
			return unknownCommitError(member)
		}
	}
	replaced := p.primary != member && at.Term < p.term
	if (replaced && !promotion.SurvivesPromotion(at, p.promotedAt)) || (held && p.fence.HasExpired(member, time.Now())) {
		return unknownCommitError(member)
	}
	p.noteCommit(at)
	return nil
}

// pollSuccessor asks the successor for its log in the background, unless that is in progress.
// The caller holds p.mu.
func (p *pool) pollSuccessor() {
	successor := p.members[p.fence.Successor()]
	if successor == nil || p.pollingSuccessor {
		return
	}
	p.pollingSuccessor = true
	go func() {
		status, err := p.askStatus(successor, time.Now().Add(leadershipTimeout))
		p.mu.Lock()
		// A successor that leads already counts positions of its own term.
		if err == nil && status.Role == group.Replica && p.fence.Successor() == successor.ID && status.Received.Compare(p.successorLog) > 0 {
			p.successorLog = status.Received
			p.notifyMembersChanged()
		}
		p.mu.Unlock()
		time.Sleep(successorPollInterval)
		p.mu.Lock()
		p.pollingSuccessor = false
		p.notifyMembersChanged() // commits that still wait ask again
		p.mu.Unlock()
	}()
}

func unknownCommitError(member string) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "member %s was replaced as it acknowledged the commit", member)
}

// fenceCommits sets a commit fence at all instances and notes the positions that they know to
// be acknowledged. If it returns true, each instance that may have acknowledged a commit of
// the primary has answered, and acknowledges no later one that the successor lacks. Without a
// successor they acknowledge none.
func (c *primaryChange) fenceCommits(ctx context.Context, successor string) bool {
	fence := &c.orders.fence
	fence.id = rand.Uint64()
	positions, allAnswered := c.callFence(ctx, successor, fence.id, commitFenceDuration)
	for _, at := range positions {
		c.noteAcknowledged(at)
	}
	fence.instances = len(positions)
	return allAnswered && c.controller.gw.peers.unreported(time.Now()) == ""
}

// endFence lets the instances send commits to the primary again. With any set, it also ends
// the fences of former holders of the promotion lease.
func (c *primaryChange) endFence(any bool) {
	id := c.orders.fence.id
	c.orders.fence = orderedFence{}
	switch {
	case any:
		c.callFence(context.Background(), "", 0, 0)
	case id != 0:
		c.callFence(context.Background(), "", id, 0)
	}
}

// callFence sets a fence at all instances, or ends it if the duration is 0. It returns the
// positions that they know to be acknowledged, and whether all of them have answered.
func (c *primaryChange) callFence(ctx context.Context, successor string, id uint64, duration time.Duration) ([]group.Position, bool) {
	ctx, cancel := context.WithTimeout(ctx, commitFenceTimeout)
	defer cancel()
	duty, _, _ := c.controller.gw.peers.dutyHolder()
	request := &pb.FenceCommitsRequest{
		Group: c.pool.name, Member: c.primary, Fence: id, DurationMs: duration.Milliseconds(), Successor: successor, DutyToken: uint64(duty.Token),
	}
	own := c.pool.fenceCommits(c.primary, successor, id, duration)
	positions, allAnswered := callReporters(ctx, c, func(ctx context.Context, client pb.Gate) (group.Position, error) {
		r, err := client.FenceCommits(ctx, request)
		if err != nil {
			return group.Position{}, err
		}
		return group.Position{Term: r.AcknowledgedTerm, Index: r.AcknowledgedIndex}, nil
	})
	return append(positions, own), allAnswered
}
