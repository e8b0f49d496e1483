package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/mulberrysill/mulberrysill/core/usage"
)

// logged returns the number of log lines of an event.
func logged(hook *logtest.Hook, event string) int {
	n := 0
	for _, e := range hook.AllEntries() {
		if e.Data["event"] == event {
			n++
		}
	}
	return n
}

// A takeover that is dropped must leave a trace, and only one while the reason is the same.
func TestUsageTakeoverThatIsDroppedIsLoggedOnce(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	gw := newUsageSource(t, 0)
	log, hook := logtest.NewNullLogger()
	gw.log, gw.cfg.Store, gw.cfg.UsageStore, gw.cfg.UsageReporter = logrus.NewEntry(log), p, p, p
	p.duty = Duty{Holder: "b", Started: 1, Token: 1}
	h := newUsageHolder(gw)
	drop := func(tenure uint64) int {
		h.takeOver(context.Background(), tenure)
		(<-h.events)(h.now())
		g.Expect(h.holding).To(BeFalse())
		return logged(hook, "usage-holder")
	}
	g.Expect(drop(0)).To(Equal(1))
	g.Expect(drop(0)).To(Equal(1))
	p.claim(gw)
	g.Expect(drop(1)).To(Equal(2), "another reason")
}

// Counts that are lost while the clock is wrong must leave a trace.
func TestUsageDroppedCountsAreLogged(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	gw := newUsageSource(t, 0)
	log, hook := logtest.NewNullLogger()
	gw.log = logrus.NewEntry(log)
	for window := range 40 {
		gw.usageCounter.counter.Add("coop", time.Duration(window)*testUsageWindow, 1)
		gw.usageCounter.counter.Since(0)
	}
	gw.usageSender.sendDue(context.Background())
	g.Expect(logged(hook, "usage-dropped")).To(BeZero(), "each new window drops one that is too old")
	gw.usageCounter.mu.Lock()
	gw.usageCounter.counter.Add("coop", usage.Window(2).End(testUsageWindow), 1)
	gw.usageCounter.mu.Unlock()
	gw.usageSender.sendDue(context.Background())
	gw.usageSender.sendDue(context.Background())
	g.Expect(logged(hook, "usage-dropped")).To(Equal(1))
}

// Deployments that expect no reports must see no difference, also in the log.
func TestUsageReportsAreInTheStartLineOnlyIfEnabled(t *testing.T) {
	g := NewWithT(t)
	gw := newUsageSource(t, 0)
	g.Expect(gw.startFields()).To(HaveKeyWithValue("usageReports", "window 1s, lateness 5s, tolerance 0.05"))
	gw.cfg.UsageReports = UsageReports{}
	g.Expect(gw.startFields()).NotTo(HaveKey("usageReports"))
}
