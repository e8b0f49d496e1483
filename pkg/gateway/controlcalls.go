package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/statement"
)

// resumeRetryInterval is the delay before a replica that refused to be resumed is asked
// again.
const resumeRetryInterval = 200 * time.Millisecond

// memberAnswer is the status that a process of a member has returned.
type memberAnswer struct {
	statement.MemberStatus
	from Member
}

// callMembers sends a status call, or the statement returned by choose, to all
// members and returns the statuses of those that responded.
func (c *primaryChange) callMembers(ctx context.Context, choose func(Member) (statement.Statement, bool)) map[string]memberAnswer {
	members, _, _, _ := c.pool.snapshot()
	var mu sync.Mutex
	out := map[string]memberAnswer{}
	var calls sync.WaitGroup
	for i := range members {
		m := members[i].Member
		st, ok := statement.Statement{Kind: statement.Status}, true
		if choose != nil {
			st, ok = choose(m)
		}
		if !ok {
			continue
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			status, err := c.callMember(ctx, m, st)
			if err != nil {
				c.logFailedCall(m, st, err)
				return
			}
			mu.Lock()
			out[m.ID] = memberAnswer{status, m}
			mu.Unlock()
		}()
	}
	calls.Wait()
	return out
}

// logFailedCall logs a control call that returned no status. A member that refuses the call
// is alive, unlike one that may be silent.
func (c *primaryChange) logFailedCall(m Member, st statement.Statement, err error) {
	entry := c.log().WithFields(logrus.Fields{"member": m.ID, "call": st.Kind.String()}).WithError(err)
	if refused := new(statement.Error); errors.As(err, &refused) {
		entry.WithField("code", refused.Code.String()).Info("member refuses the call")
		return
	}
	entry.Info("member does not answer")
}

// callMember sends a status call or a pause to a member. A pause that was refused counts
// only if the member's status shows one of the same or a later term, as after a call whose
// response was lost. Most refusals mean that the member goes on receiving.
func (c *primaryChange) callMember(ctx context.Context, m Member, st statement.Statement) (statement.MemberStatus, error) {
	status, err := c.pool.controlCall(ctx, m, st)
	if st.Kind != statement.Pause {
		return status, err
	}
	var refusal error
	if isMemberError(err) {
		refusal = err
		if status, err = c.pool.controlCall(ctx, m, statement.Statement{Kind: statement.Status}); err != nil {
			return status, errors.CombineErrors(refusal, err)
		}
	}
	if err == nil && (status.Role != group.Replica || status.PausedTerm < st.Term) {
		const format = "member is not paused in term %d: %s with a pause in term %d"
		if refusal != nil {
			return status, errors.Wrapf(refusal, format, st.Term, status.Role, status.PausedTerm)
		}
		return status, errors.Newf(format, st.Term, status.Role, status.PausedTerm)
	}
	return status, err
}

// errOlderTerm means that a replica does not know yet which member leads.
var errOlderTerm = errors.New("the replica does not know of the promotion")

// resumeReplicas lets the paused replicas receive commits again. A replica that refuses is
// asked again until ctx ends. Later attempts follow for those that do not answer or still
// refuse. RESUME has no term, and a newer holder may need the replicas paused: they
// are left to it, or stay paused while the lease cannot be confirmed.
func (c *primaryChange) resumeReplicas(ctx context.Context) {
	paused := c.takePausedReplicas()
	var later []Member
	for len(paused) > 0 {
		var refusing []Member
		for i, m := range paused {
			if !c.controller.confirmsDuty(ctx) {
				c.leavePaused(slices.Concat(later, refusing, paused[i:]))
				return
			}
			err := c.resume(ctx, m)
			switch {
			case err == nil:
				continue
			case isMemberError(err):
				refusing = append(refusing, m)
			default:
				later = append(later, m)
			}
			c.log().WithField("member", m.ID).WithError(err).Info("cannot resume replica yet")
		}
		if paused = refusing; len(paused) == 0 || ctx.Err() != nil {
			break
		}
		sleep(ctx, resumeRetryInterval)
	}
	if c.orders.unresumed = append(later, paused...); len(c.orders.unresumed) == 0 {
		c.orders.resumeTerm = 0
	}
}

// resume lets a replica receive commits again. After a promotion, which ends the pauses of the
// replicas that learn of it, it asks for the replica's term first.
func (c *primaryChange) resume(ctx context.Context, m Member) error {
	if c.orders.resumeTerm > 0 {
		status, err := c.pool.controlCall(ctx, m, statement.Statement{Kind: statement.Status})
		switch {
		case err != nil:
			return err
		case status.Term < c.orders.resumeTerm:
			return errOlderTerm
		case status.PausedTerm == 0:
			return nil
		}
	}
	_, err := c.pool.controlCall(ctx, m, statement.Statement{Kind: statement.Resume})
	return err
}

// leavePaused leaves the replicas to the newer holder of the promotion lease, or to a later
// attempt of this instance.
func (c *primaryChange) leavePaused(replicas []Member) {
	duty, self, _ := c.controller.gw.peers.dutyHolder()
	log := c.log().WithFields(logrus.Fields{"replicas": len(replicas), "holder": duty.Holder})
	if !self {
		log.Info("replicas are left to the newer holder of the promotion duty")
		return
	}
	c.orders.unresumed = replicas
	log.Warn("replicas stay paused: the promotion duty is not confirmed")
}

// takePausedReplicas returns the replicas that this change has paused, and those that earlier
// ones have left paused and the group still has.
func (c *primaryChange) takePausedReplicas() (out []Member) {
	members, _, _, _ := c.pool.snapshot()
	isKnown := func(m Member) bool {
		return slices.ContainsFunc(members, func(other poolMember) bool { return other.ID == m.ID })
	}
	for _, m := range slices.Concat(c.pausedReplicas, slices.DeleteFunc(c.orders.unresumed, func(m Member) bool { return !isKnown(m) })) {
		if !slices.ContainsFunc(out, func(other Member) bool { return other.ID == m.ID }) {
			out = append(out, m)
		}
	}
	c.orders.unresumed, c.pausedReplicas = nil, nil
	return out
}
