package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/pace"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"github.com/mulberrysill/mulberrysill/core/statement"
)

// This file connects the pool with the decisions on load: how many statements a member
// takes now (package pace), and how long a request waits (package admission). Both are used
// if members have serving sets of their own.

// setPace creates or updates the limiter of a member's statements. The caller holds p.mu.
func (p *pool) setPace(m *poolMember) {
	if p.scope != placement.ServingByMember {
		return
	}
	if m.pace == nil {
		m.pace = pace.NewLimiter(max(m.Slots, 1), p.memberSetSize)
		return
	}
	m.pace.SetCapacity(max(m.Slots, 1), p.memberSetSize)
}

// notePace records the end of a statement that began with statementStarted. The caller
// holds p.mu.
func (p *pool) notePace(c *pooledConn, now time.Time, takesSlot bool, refused *statement.Error, err error) {
	m := c.member
	if m.pace == nil {
		return
	}
	if !takesSlot {
		if err == nil && refused == nil {
			m.pace.ObserveRoundTrip(now, now.Sub(c.busySince))
		}
		return
	}
	m.pace.Finish(now, c.paced, paceOutcome(refused, err))
	if until := m.pace.RetryAt(); until.After(now) {
		time.AfterFunc(until.Sub(now), p.dispatchNow)
	}
	if from, to, changed := m.pace.LimitChangedByHalf(); changed {
		state := m.pace.State()
		p.instances.gw.log.WithFields(logrus.Fields{
			"event": "pace", "group": p.name, "member": m.ID, "from": from, "to": to, "phase": state.Phase.String(),
			"serviceMs": state.Service.Mean.Milliseconds(), "roundTripMs": state.RoundTrip.Milliseconds(),
		}).Info("the limit of statements in progress has changed")
	}
}

func paceOutcome(refused *statement.Error, err error) pace.Outcome {
	switch {
	case err != nil:
		return pace.Lost
	case refused == nil:
		return pace.Served
	}
	switch refused.Code {
	case statement.Busy:
		return pace.Rejected
	case statement.Failure:
		return pace.Failed
	case statement.Timeout:
		return pace.Lost
	default:
		return pace.Canceled
	}
}

// queueItem returns the item that represents the request in the queue.
func (req *connRequest) queueItem(id uint64) admission.Item {
	return admission.Item{
		ID: id, Workspace: req.workspace, Deadline: req.deadline,
		Priority: req.priority, Target: req.target, Member: req.member,
	}
}

// memberLoad describes the load of a member for a request. The caller holds p.mu.
func (p *pool) memberLoad(m *poolMember, item admission.Item, now time.Time) admission.Load {
	load := admission.Load{
		Ahead: p.queue.ServiceAhead(item, func(other admission.Item) bool { return other.Member == item.Member }),
		Limit: p.statementLimit(m), InProgress: m.opening + m.busyConns(), Overtaking: p.queue.Overtaking(item),
	}
	for c := range m.running {
		if !c.idleInTransaction && !c.lastUsedAt.IsZero() {
			load.Remaining += admission.RemainingService(c.charged, now.Sub(c.lastUsedAt))
		}
	}
	if m.pace != nil {
		if rate, known := m.pace.CompletionRate(); known {
			// The queue counts the time for which requests hold their connections.
			load.Rate = rate * p.meanHoldTime.Seconds()
		}
	}
	return load
}

// refuse returns the refusal of a request with the load, and the time after which the client
// is to retry. The caller holds p.mu.
func (p *pool) refuse(text string, req *connRequest, load admission.Load, now time.Time) error {
	rate := load.Rate
	if rate <= 0 {
		rate = float64(max(load.Limit, 1))
	}
	service := time.Duration(float64(p.meanHoldTime) / rate)
	after := p.retryTimes.Next(now, req.priority, admission.ExpectedWait(load), service)
	return p.queueFullError(text).WithRetryAfter(after)
}
