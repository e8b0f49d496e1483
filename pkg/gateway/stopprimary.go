package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/statement"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

const (
	// maxStoppedPeriod is how long the successor of a planned change may lack the end of the
	// log of the stopped primary. After that the primary is promoted again.
	maxStoppedPeriod = time.Second
	// finalLogPatience is how long an unplanned change waits for a successor that has the end
	// of the log of the stopped primary. Within it the list shows the replicas that receive
	// but were not listed yet. The primary may have commits that no replica ever receives.
	finalLogPatience = promotion.UnlistedTimeout
	// stopPrimaryTimeout bounds the call to other instances to stop a primary.
	stopPrimaryTimeout = 2 * peerTimeout
)

// primaryStop is the end of the log of a primary that a change has made a replica.
type primaryStop struct {
	at       time.Time
	finalLog group.Position
}

var (
	// errNotLeading means that a member that was to be stopped already acts as a replica.
	errNotLeading = errors.New("the member does not act as the primary")
	// errNotStopped means that a member goes on as the primary, or has lost its log.
	errNotStopped = errors.New("the member is not stopped")
)

// stopMember makes a member that acts as the primary a replica, and returns its status after
// that. It returns errNotLeading, and the member's status, if the member is a replica already.
func (p *pool) stopMember(ctx context.Context, m Member) (statement.MemberStatus, error) {
	before, err := p.controlCall(ctx, m, statement.Statement{Kind: statement.Status})
	switch {
	case err != nil:
		return before, err
	case before.Role != group.Primary:
		return before, errNotLeading
	}
	after, demoteErr := p.controlCall(ctx, m, statement.Statement{Kind: statement.Demote, Term: before.Term + 1})
	if demoteErr != nil {
		// The call may have been carried out, and a repeated one is refused then.
		if after, err = p.controlCall(ctx, m, statement.Statement{Kind: statement.Status}); err != nil {
			return after, errors.CombineErrors(demoteErr, err)
		}
	}
	if after.Role != group.Replica || after.Received.Compare(before.Received) < 0 {
		return after, errors.CombineErrors(errNotStopped, demoteErr)
	}
	return after, nil
}

// StopPrimary makes a primary that the sender replaces a replica.
func (ps *peers) StopPrimary(ctx context.Context, r *pb.StopPrimaryRequest) (*pb.StopPrimaryResponse, error) {
	p, err := ps.poolForHolder(r.Group, r.DutyToken)
	if err != nil {
		return nil, err
	}
	primary, ok := p.entry(r.Member)
	if !ok {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition, "member %s is not known", r.Member)
	}
	status, err := p.stopMember(ctx, primary)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	ps.gw.log.WithFields(logrus.Fields{"event": "change", "group": p.name, "primary": r.Member, "finalLog": status.Received.String()}).Info("primary stopped for another instance")
	return &pb.StopPrimaryResponse{FinalTerm: status.Received.Term, FinalIndex: status.Received.Index}, nil
}

// stopPrimary makes the primary a replica, so that it acknowledges no more commits, and reports
// whether it is one. That holds for all instances, also for those that cannot be fenced: this
// instance does not reach or know them, they are suspended, or they run an earlier build.
// others are the statuses of the members.
func (c *primaryChange) stopPrimary(ctx context.Context, others map[string]memberAnswer) bool {
	// DEMOTE carries no fencing token.
	if c.primary == "" || !c.controller.confirmsDuty(ctx) {
		return false
	}
	finalLog, err := c.stopDirectly(ctx, others)
	if err != nil && c.reason == promotion.Unreachable && c.votes.Reachable > 0 {
		finalLog, err = c.stopThroughPeers(ctx)
	}
	if err != nil {
		c.log().WithError(err).Warn("cannot stop the primary although an instance is not fenced")
		return false
	}
	if c.stop == nil {
		c.stop = &primaryStop{at: time.Now()}
		c.controller.gw.requests.countStoppedPrimary()
		c.log().WithFields(logrus.Fields{"finalLog": finalLog.String(), "fencedInstances": c.orders.fence.instances}).
			Warn("primary stopped before its successor is promoted: an instance is not fenced")
	}
	if finalLog.Compare(c.stop.finalLog) > 0 { // less if the member has lost its log since
		c.stop.finalLog = finalLog
	}
	return true
}

// stopDirectly stops the primary and returns the end of its log.
func (c *primaryChange) stopDirectly(ctx context.Context, others map[string]memberAnswer) (group.Position, error) {
	if c.reason == promotion.Unreachable && !c.reachesPrimary {
		return group.Position{}, errors.New("this instance does not reach the primary")
	}
	primary, ok := c.pool.entry(c.primary)
	if !ok {
		return group.Position{}, errors.New("the primary has left the pool")
	}
	status, err := c.pool.stopMember(ctx, primary)
	if errors.Is(err, errNotLeading) && (c.stop != nil || c.hasWholeLog(status, others)) {
		err = nil // stopped by this change or an earlier one
	}
	return status.Received, err
}

// hasWholeLog reports whether the log of a former primary that acts as a replica has all
// commits that the other members and the instances know. One that has restarted may lack some.
func (c *primaryChange) hasWholeLog(status statement.MemberStatus, others map[string]memberAnswer) bool {
	for id, other := range others {
		if id != c.primary && (other.Role == group.Primary || other.Received.Compare(status.Received) > 0) {
			return false
		}
	}
	return len(others) > 0 && status.Received.Compare(c.acknowledged) >= 0
}

// stopThroughPeers stops the primary through any instance that reaches it, and returns the end
// of its log.
func (c *primaryChange) stopThroughPeers(ctx context.Context) (group.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, stopPrimaryTimeout)
	defer cancel()
	duty, _, _ := c.controller.gw.peers.dutyHolder()
	request := &pb.StopPrimaryRequest{Group: c.pool.name, Member: c.primary, DutyToken: uint64(duty.Token)}
	type answer struct {
		response *pb.StopPrimaryResponse
		err      error
	}
	clients := c.controller.gw.peers.reporters()
	answers := make(chan answer, len(clients))
	for _, client := range clients {
		go func() {
			r, err := client.StopPrimary(ctx, request)
			answers <- answer{r, err}
		}()
	}
	err := errors.New("no other instance is known")
	for range clients {
		a := <-answers
		if a.err == nil {
			return group.Position{Term: a.response.FinalTerm, Index: a.response.FinalIndex}, nil
		}
		err = a.err
	}
	return group.Position{}, err
}

// addStop adds to what is known of the commits that the primary is stopped. In an unplanned
// change that no longer counts after finalLogPatience.
func (c *primaryChange) addStop(known promotion.Knowledge) promotion.Knowledge {
	if c.stop != nil && (c.reason.IsPlanned() || time.Since(c.stop.at) < finalLogPatience) {
		known.Stopped, known.FinalLog = true, c.stop.finalLog
	}
	return known
}

// isReinstatementDue reports whether the stopped primary of a planned change should lead again,
// because no successor gets the end of its log. It must not while another member may have been
// promoted: that one has the log, and acknowledges commits that the stopped primary lacks.
func (c *primaryChange) isReinstatementDue() bool {
	if c.stop == nil || !c.reason.IsPlanned() || time.Since(c.stop.at) <= maxStoppedPeriod {
		return false
	}
	return !c.orders.mayPromoteOther(c.primary)
}

// mayPromoteOther reports whether a promotion of another member than the given one may be
// carried out, or may have been.
func (o *groupOrders) mayPromoteOther(member string) bool {
	isOther := (o.pending && o.member != member) || o.unanswered.newestFor(except(member)) > 0
	return isOther || o.unchecked || o.unvoided
}

// reinstatePrimary promotes the stopped primary again, and reports whether it leads.
func (c *primaryChange) reinstatePrimary(ctx context.Context) bool {
	members, _, _, _ := c.pool.snapshot()
	primary, ok := c.pool.entry(c.primary)
	if !ok {
		return false
	}
	status, err := c.pool.controlCall(ctx, primary, statement.Statement{Kind: statement.Status})
	if err != nil || status.Received.Compare(c.stop.finalLog) < 0 {
		c.log().WithError(err).WithField("received", status.Received.String()).Warn("the stopped primary does not show its log")
		return false
	}
	c.log().WithField("finalLog", c.stop.finalLog.String()).Warn("promoting the stopped primary again: no successor has its log")
	c.confirmedAt, c.confirmedLog, c.confirmedMembers = time.Now(), c.stop.finalLog, members
	done, err := c.orderPromotion(ctx, primary)
	if err != nil {
		c.log().WithError(err).Warn("the stopped primary was not promoted again")
	}
	return done
}
