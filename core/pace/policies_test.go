package pace_test

import (
	"math"
	"time"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/pace"
)

// The policies with which the limiter is compared (docs/design/pace.md). They are
// minimal and have no recovery of their own.

const fixedShare = 3 * memberSlots / servingCount

func newAdaptive(int) controller { return adaptive{pace.NewLimiter(memberSlots, servingCount)} }

// policy holds the accounting that the compared policies share.
type policy struct {
	max         float64
	inProgress  int
	restartedAt time.Time
}

func (p *policy) limit() int                { return max(int(p.max), 1) }
func (p *policy) mayStart(_ time.Time) bool { return p.inProgress < p.limit() }
func (p *policy) retryAt() time.Time        { return time.Time{} }
func (p *policy) recovered(now time.Time)   { p.restartedAt = now }
func (p *policy) start(time.Time) pace.Statement {
	p.inProgress++
	return pace.Statement{}
}
func (p *policy) finish(_ time.Time, _ pace.Statement, _ pace.Outcome) { p.inProgress-- }

func newFixed(int) controller     { return &policy{max: fixedShare} }
func newUnlimited(int) controller { return &policy{max: math.MaxInt32} }

// timeRamp raises the limit by time alone after a recovery.
type timeRamp struct{ policy }

func newTimeRamp(int) controller { return &timeRamp{policy{max: fixedShare, restartedAt: origin}} }

func (t *timeRamp) mayStart(now time.Time) bool {
	limit, _ := admission.RampUpLimit(fixedShare, t.restartedAt, now)
	t.max = float64(limit)
	return t.policy.mayStart(now)
}

// additive raises the limit by one per round and halves it after a rejection.
type additive struct{ policy }

func newAdditive(int) controller { return &additive{policy{max: 1}} }

func (a *additive) recovered(time.Time) { a.max = 1 }

func (a *additive) finish(now time.Time, s pace.Statement, o pace.Outcome) {
	a.policy.finish(now, s, o)
	switch o {
	case pace.Served:
		a.max = min(a.max+1/a.max, fixedShare)
	case pace.Rejected:
		a.max = max(a.max/2, 1)
	}
}

// gradient multiplies the limit by the ratio of a long and a short average of the
// answer times, plus the square root of the limit.
type gradient struct {
	policy
	queue       []time.Time
	short, long float64
}

func newGradient(int) controller { return &gradient{policy: policy{max: 1}} }

func (g *gradient) recovered(time.Time) { g.max = 1 }

func (g *gradient) start(now time.Time) pace.Statement {
	g.queue = append(g.queue, now)
	return g.policy.start(now)
}

// finish takes the answers to be in order, which holds for the averages.
func (g *gradient) finish(now time.Time, s pace.Statement, o pace.Outcome) {
	g.policy.finish(now, s, o)
	took := now.Sub(g.queue[0]).Seconds()
	g.queue = g.queue[1:]
	if o != pace.Served {
		return
	}
	if g.short == 0 {
		g.short, g.long = took, took
	}
	g.short += 0.1 * (took - g.short)
	g.long += 0.002 * (took - g.long)
	ratio := min(max(g.long/g.short, 0.5), 1)
	g.max += 0.2 * (g.max*ratio + math.Sqrt(g.max) - g.max)
	g.max = min(max(g.max, 1), fixedShare)
}
