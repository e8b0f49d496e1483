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

// callMembers sends a status call, or the statement returned by choose, to all
// members and returns the statuses of those that responded.
func (c *primaryChange) callMembers(ctx context.Context, choose func(Member) (statement.Statement, bool)) map[string]statement.MemberStatus {
	members, _, _, _ := c.pool.snapshot()
	var mu sync.Mutex
	out := map[string]statement.MemberStatus{}
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
			out[m.ID] = status
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

// resumeReplicas lets the paused replicas receive commits again. A replica that refuses is
// asked again until ctx ends; one that does not answer is left to the next holder of the
// promotion lease.
func (c *primaryChange) resumeReplicas(ctx context.Context) {
	refusing := c.pausedReplicas
	c.pausedReplicas = nil
	for {
		refusing = slices.DeleteFunc(refusing, func(m Member) bool {
			_, err := c.pool.controlCall(ctx, m, statement.Statement{Kind: statement.Resume})
			if err != nil {
				c.log().WithField("member", m.ID).WithError(err).Warn("cannot resume replica")
			}
			return !isMemberError(err)
		})
		if len(refusing) == 0 || ctx.Err() != nil {
			return
		}
		sleep(ctx, resumeRetryInterval)
	}
}
