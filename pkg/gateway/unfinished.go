package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/revision"
	"github.com/mulberrysill/mulberrysill/core/statement"
)

// unfinishedRetryInterval is the delay between two attempts to finish a change of primary
// that this instance or a former holder of the promotion lease has left behind, and
// uncheckedRetryInterval that between two looks at a silent replica
// and between two attempts to resume replicas.
const unfinishedRetryInterval, uncheckedRetryInterval = time.Second, 5 * time.Second

// voidInterval is the time between two groups in which a new holder voids the orders of former
// ones. The platform accepts a limited number of orders per second.
const voidInterval = 100 * time.Millisecond

// promotionEffectTimeout is how long a promotion takes at most from the platform's acceptance
// of the order until the member leads.
const promotionEffectTimeout = time.Second

// maxRefusals is how often the platform may refuse a fencing token before a newer one is
// needed. A refusal may also mean that the member is not running.
const maxRefusals = 3

// groupOrders is what an instance knows of the promotions that have been ordered in a group.
// The platform may carry out an order without an answer seconds later and after newer ones.
type groupOrders struct {
	// pending is set while a promotion may be carried out whose outcome is not known. The
	// replicas that were paused for it must then stay paused. member is the one to be
	// promoted, or "" if it is not known.
	pending bool
	member  string
	// unchecked is set while a former holder of the promotion lease may have left a replica
	// paused that has not answered yet.
	unchecked bool
	// unvoided is set while an order of a former holder of the promotion lease may be carried
	// out although no replica is paused for it.
	unvoided bool
	// unanswered holds the orders of this instance without an answer.
	unanswered unansweredOrders
	// fence is the commit fence of the former primary.
	fence orderedFence
	// refusedToken is the last fencing token that the platform has refused, and refusals is how
	// often it has.
	refusedToken revision.Revision
	refusals     int
	// unresumed are replicas that are left paused because they did not answer or refused, or
	// this instance could not confirm that it holds the promotion lease.
	unresumed []Member
	// resumeTerm is the term of a promotion that replicas must know before they are resumed.
	// Another one would confirm that the former primary leads.
	resumeTerm uint64
}

// dueAfter returns how long after the last attempt the next one to finish a change is due, or
// false if there is nothing to finish.
func (o *groupOrders) dueAfter() (time.Duration, bool) {
	if o.pending || o.onlyVoids() {
		return unfinishedRetryInterval, true
	}
	return uncheckedRetryInterval, o.unchecked || len(o.unresumed) > 0
}

// onlyVoids reports whether all that is left to do is to void orders.
func (o *groupOrders) onlyVoids() bool {
	return (o.unvoided || o.unanswered.newest() > 0) && !o.pending && !o.unchecked && len(o.unresumed) == 0
}

// isUnfinishedDue reports whether an attempt to finish a former change of the group is due.
// Orders of former holders are voided in one group after another.
func (c *controller) isUnfinishedDue(g *groupState, now time.Time) bool {
	if gain, _ := c.gw.peers.gainedDuty(); g.checkedGain != gain {
		return true
	}
	after, due := g.orders.dueAfter()
	if !due || g.changeRunning || now.Sub(g.unfinishedAt) <= after {
		return false
	}
	if g.orders.onlyVoids() {
		if now.Sub(c.voidedAt) < voidInterval {
			return false
		}
		c.voidedAt = now
	}
	return true
}

// promote orders a promotion. Once it has been answered, the platform refuses all orders with
// older tokens. It still carries out one with the same token.
func (c *primaryChange) promote(ctx context.Context, duty Duty, member string) error {
	c.orders.pending, c.orders.member = true, member
	c.controller.gw.peers.noteOrderToken(duty.Token)
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := c.controller.gw.cfg.Promoter.Promote(ctx, duty, c.pool.name, member)
	switch {
	case err == nil:
		c.orders.unanswered.void(duty.Token)
		c.orders.unvoided = false
	case errors.Is(err, ErrFenced):
		c.orders.noteRefusal(duty.Token)
	case !errors.Is(err, ErrNotAccepted):
		c.orders.unanswered.add(member, duty.Token)
	}
	return err
}

func (o *groupOrders) noteRefusal(token revision.Revision) {
	if token != o.refusedToken {
		o.refusedToken, o.refusals = token, 0
	}
	o.refusals++
}

// isRefused reports whether the platform has refused the token so often that a newer one is
// needed.
func (o *groupOrders) isRefused(token revision.Revision) bool {
	return o.refusals >= maxRefusals && token <= o.refusedToken
}

// tokenFor returns a claim under which the member's promotion may be ordered, or false if there
// is none. Its token is newer than those of orders without an answer for other members, which
// the platform refuses once it has accepted this one. Where it can be, it is newer than that of
// an order for the same member, too: an answer to a repetition under the same token would leave
// that order in force. The older of two claims is preferred, so that a newer one is at hand for
// the repetition even if the store is down.
func (c *primaryChange) tokenFor(member string) (Duty, bool) {
	claims := c.controller.gw.peers.ownClaims()
	for _, duty := range claims {
		if duty.Token > c.orders.unanswered.newest() && !c.orders.isRefused(duty.Token) {
			return duty, true
		}
	}
	for _, duty := range slices.Backward(claims) {
		if duty.Token > c.orders.unanswered.newestFor(except(member)) && !c.orders.isRefused(duty.Token) {
			return duty, true
		}
	}
	return Duty{}, false
}

// awaitTokenFor waits for a claim that tokenFor returns. It returns false if another instance
// holds the promotion lease, if a refused claim cannot be renewed, or if ctx ends.
func (c *primaryChange) awaitTokenFor(ctx context.Context, member string) (Duty, bool) {
	for ctx.Err() == nil {
		newest, ok := c.controller.awaitDuty(ctx)
		if !ok {
			return Duty{}, false
		}
		if duty, ok := c.tokenFor(member); ok {
			return duty, true
		}
		if tenure, _ := c.controller.gw.peers.dutyTenure(); c.orders.isRefused(newest.Token) && tenure > maxConfirmedDutyAge {
			return Duty{}, false
		}
		sleep(ctx, promoteRetryInterval) // awaitDuty renews the claim soon
	}
	return Duty{}, false
}

// finishOrdered finishes a change that may have been ordered without an outcome, and reports
// whether the group has a new primary. The member that was to be promoted is preferred to the
// present primary: orders for both could be carried out one after the other, and the last one
// may lack commits acknowledged in between.
func (c *primaryChange) finishOrdered(ctx context.Context) bool {
	if c.orders.onlyVoids() && c.reason == promotion.Unfinished {
		c.voidOpenOrders(ctx)
		return false
	}
	if !c.orders.pending && !c.orders.unchecked {
		return false
	}
	c.renewFence(ctx)
	members, primary, _, _ := c.pool.snapshot()
	statuses := c.callMembers(ctx, func(m Member) (statement.Statement, bool) {
		return statement.Statement{Kind: statement.Status}, m.ID != c.primary || c.asksPrimary()
	})
	var unpaused []Member
	paused, silent := 0, 0
	for i := range members {
		m := members[i].Member
		switch s, answered := statuses[m.ID]; {
		case m.ID == primary && m.ID != c.orders.member:
		case !answered:
			silent++
		case s.PausedTerm > 0 && s.Role == group.Replica:
			paused++
			c.pausedReplicas = append(c.pausedReplicas, m)
		case c.orders.member == "" || c.orders.member == m.ID:
			unpaused = append(unpaused, m)
		}
	}
	if c.orders.member == "" && paused == 0 {
		c.orders.pending, c.orders.unchecked = false, silent > 0
		return false
	}
	c.orders.pending, c.orders.unchecked = true, false
	if len(unpaused) == 1 {
		successor := unpaused[0]
		c.orders.member = successor.ID
		switch {
		case statuses[successor.ID].Role != group.Primary:
		case successor.ID == primary:
			c.orders.pending, c.orders.resumeTerm = !c.voidOtherOrders(ctx, successor.ID), statuses[successor.ID].Term
			return true
		default:
			done, _ := c.awaitPrimary(ctx, successor)
			return done
		}
		if _, ok := c.controller.awaitDuty(ctx); ok && c.stillConfirmed(ctx, successor) {
			done, err := c.orderPromotion(ctx, successor)
			if err != nil {
				c.log().WithField("successor", successor.ID).WithError(err).Warn("promotion not carried out")
			}
			return done
		}
	}
	if s, answered := statuses[primary]; answered && s.Role == group.Primary {
		c.keepPrimary(ctx, primary)
	}
	return false
}

// voidOpenOrders makes the platform refuse the orders of former holders, and those of this
// instance without an answer, by ordering the present primary, unless another member may lead
// or a replica is paused. It follows the first look after a claim by unfinishedRetryInterval,
// which keeps the orders of two holders apart.
func (c *primaryChange) voidOpenOrders(ctx context.Context) {
	members, primary, _, _ := c.pool.snapshot()
	// An order under the token of one without an answer voids nothing. While the store is down,
	// such an order waits for the next claim.
	if duty, ok := c.tokenFor(primary); primary == "" || !ok || duty.Token <= c.orders.unanswered.newest() {
		return
	}
	duty, ok := c.awaitTokenFor(ctx, primary)
	if !ok {
		return
	}
	statuses := c.callMembers(ctx, nil)
	for i := range members {
		s, answered := statuses[members[i].ID]
		if !answered || s.PausedTerm > 0 || (s.Role == group.Primary) != (members[i].ID == primary) {
			c.orders.unchecked = true
			return
		}
	}
	if err := c.promote(ctx, duty, primary); err != nil {
		c.log().WithError(err).Info("cannot void the orders of former holders")
	}
	c.orders.pending, c.orders.member = false, ""
}

// voidOtherOrders makes the platform refuse orders without an answer for other members than
// the leader, which would otherwise lose the lead once they are carried out. It reports whether
// there are none any more.
func (c *primaryChange) voidOtherOrders(ctx context.Context, leader string) bool {
	if c.orders.unanswered.newestFor(except(leader)) == 0 {
		return true
	}
	duty, ok := c.awaitTokenFor(ctx, leader)
	if !ok {
		return false
	}
	if err := c.promote(ctx, duty, leader); err != nil {
		c.log().WithFields(logrus.Fields{"leader": leader, "unanswered": c.orders.unanswered}).WithError(err).Warn("cannot void the order of another member")
		return false
	}
	return true
}

// stillLeads reports whether the primary leads and the member that was to be promoted does
// not. A member that is listed and silent may lead.
func (c *primaryChange) stillLeads(ctx context.Context, primary string) bool {
	ordered := c.orders.member
	statuses := c.callMembers(ctx, func(m Member) (statement.Statement, bool) {
		return statement.Statement{Kind: statement.Status}, m.ID == primary || m.ID == ordered
	})
	if s, answered := statuses[primary]; !answered || s.Role != group.Primary {
		return false
	}
	if s, answered := statuses[ordered]; answered || ordered == "" {
		return ordered == primary || s.Role != group.Primary
	}
	members, _, _, _ := c.pool.snapshot()
	return !slices.ContainsFunc(members, func(m poolMember) bool { return m.ID == ordered && m.unlistedSince.IsZero() })
}

// keepPrimary makes the platform refuse older orders by promoting the present primary, which
// changes nothing. The order may be carried out until then, so that it looks again just before.
// One that was accepted before may take effect after that, and needs the replicas paused.
func (c *primaryChange) keepPrimary(ctx context.Context, primary string) {
	duty, ok := c.awaitTokenFor(ctx, primary)
	if !ok || !c.stillLeads(ctx, primary) {
		return
	}
	ordered := c.orders.member
	err := c.promote(ctx, duty, primary)
	c.orders.member = ordered
	if err != nil {
		c.log().WithError(err).Warn("cannot raise the fencing token; replicas stay paused")
		return
	}
	sleep(ctx, promotionEffectTimeout)
	if !c.stillLeads(ctx, primary) {
		c.log().Warn("the primary may have lost the lead to an order accepted before; replicas stay paused")
		return
	}
	c.orders.pending, c.orders.member = false, primary
	c.endFence(true)
}
