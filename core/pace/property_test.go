package pace_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberrysill/mulberrysill/core/pace"
)

var outcomes = []pace.Outcome{pace.Served, pace.Served, pace.Served, pace.Served, pace.Rejected, pace.Failed, pace.Lost, pace.Canceled}

// limiterModel drives a limiter with random calls.
type limiterModel struct {
	l       *pace.Limiter
	now     time.Time
	running []pace.Statement
}

func drawDuration(t *rapid.T, most time.Duration, name string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
}

func (m *limiterModel) step(t *rapid.T) {
	m.now = m.now.Add(drawDuration(t, 40*time.Millisecond, "elapsed"))
	switch rapid.IntRange(0, 15).Draw(t, "call") {
	case 0:
		m.l.Restarted(m.now)
	case 1:
		m.l.Promoted(m.now)
	case 2:
		m.l.SetCapacity(rapid.IntRange(0, 8).Draw(t, "slots"), rapid.IntRange(0, 12).Draw(t, "instances"))
	case 3:
		m.l.SetReference(drawDuration(t, time.Second, "reference"))
	case 4:
		m.l.ObserveRoundTrip(m.now, drawDuration(t, time.Second, "round trip"))
	case 5:
		// A statement of an open transaction is sent whatever the limit is.
		m.running = append(m.running, m.l.Start(m.now))
	case 6, 7, 8, 9:
		if m.l.MayStart(m.now) {
			m.running = append(m.running, m.l.Start(m.now))
		}
	default:
		if len(m.running) > 0 {
			i := rapid.IntRange(0, len(m.running)-1).Draw(t, "statement")
			m.l.Finish(m.now, m.running[i], rapid.SampledFrom(outcomes).Draw(t, "outcome"))
			m.running = append(m.running[:i], m.running[i+1:]...)
		}
	}
}

func (m *limiterModel) check(t *rapid.T) {
	l := m.l
	if l.Limit() < 1 || l.Limit() > l.UpperBound() {
		t.Fatalf("the limit is %d of 1 to %d", l.Limit(), l.UpperBound())
	}
	if l.InProgress() != len(m.running) {
		t.Fatalf("%d statements are in progress, %d are counted", len(m.running), l.InProgress())
	}
	if l.InProgress() >= l.Limit() && l.MayStart(m.now) {
		t.Fatalf("%d statements may exceed the limit %d", l.InProgress(), l.Limit())
	}
	const maxPause = 80 * time.Millisecond
	paused := m.now.Before(l.RetryAt())
	if l.InProgress() == 0 && !paused && !l.MayStart(m.now) {
		t.Fatal("the member is idle while there is demand")
	}
	if l.RetryAt().Sub(m.now) > maxPause || (paused && l.Limit() > 1) {
		t.Fatalf("a pause of %v at limit %d", l.RetryAt().Sub(m.now), l.Limit())
	}
	if service := l.ServiceTime(); service.Mean < 0 || (service.Known && service.Mean == 0) {
		t.Fatalf("the service time is %v", service.Mean)
	}
	if rate, known := l.CompletionRate(); known && !(rate > 0 && rate < 1e9) {
		t.Fatalf("the completion rate is %v", rate)
	}
}

// Guards against a limit outside of its bounds, a wrong count of statements after any
// order of events, and an instance that stops sending for longer than a pause.
var _ = Describe("A limiter under any events", func() {
	It("keeps its bounds, counts exactly and never stops", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			m := &limiterModel{now: origin}
			m.l = pace.NewLimiter(rapid.IntRange(0, 8).Draw(t, "slots"), rapid.IntRange(0, 12).Draw(t, "instances"))
			for range rapid.IntRange(1, 300).Draw(t, "calls") {
				m.step(t)
				m.check(t)
			}
		})
	})
	It("never counts fewer than zero statements", func() {
		l := pace.NewLimiter(memberSlots, servingCount)
		s := l.Start(origin)
		l.Finish(origin, s, pace.Served)
		l.Finish(origin, s, pace.Served)
		Expect(l.InProgress()).To(BeZero())
	})
	It("has at most 3 statements per slot in progress from all instances, rounded up", func() {
		for slots, instances := range map[int]int{4: 1, 8: 2, 12: 5, 1: 7} {
			l := pace.NewLimiter(slots, instances)
			Expect(l.UpperBound()).To(Equal((3*slots + instances - 1) / instances))
		}
	})
})
