package gateway

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/mulberrysill/mulberrysill/core/usage"
	"github.com/mulberrysill/mulberrysill/pkg/metrics"
)

// usageStats are the metrics of the usage reports. They are kept by the instance that sends
// the reports.
type usageStats struct {
	scope tally.Scope
}

func newUsageStats(m *metrics.Metrics) usageStats {
	if m == nil {
		return usageStats{tally.NoopScope}
	}
	return usageStats{m.Scope()}
}

// count counts an outcome of a report.
func (s usageStats) count(outcome string) {
	s.scope.Tagged(map[string]string{"outcome": outcome}).Counter("usage_reports").Inc(1)
}

// logOutcome returns a log entry with what is known of the action's window.
func (h *usageHolder) logOutcome(event string, a usage.Action, fields logrus.Fields) *logrus.Entry {
	g, built := h.gathered[a.Window]
	out := logrus.Fields{"event": event, "window": a.Window, "requests": a.Report.Counts.Total()}
	if built {
		out["covered"], out["gone"], out["goneRequests"], out["missing"] = g.Covered, g.Gone, g.GoneRequests, g.Missing
	}
	for name, value := range fields {
		out[name] = value
	}
	return h.gw.log.WithFields(out)
}

// logFixed logs the report that the store holds for a window.
func (h *usageHolder) logFixed(a usage.Action, fixed usage.FixedReport, now usage.Time) {
	own := fixed.Report.Equal(a.Report)
	a.Report = fixed.Report
	outcome := "fixed"
	if !own {
		outcome = "fixed-by-other"
	}
	h.stats.count(outcome)
	if total := a.Report.Counts.Total(); own && a.Gathered.Counts != nil && total > 0 {
		h.stats.scope.Gauge("usage_gone_share").Update(float64(a.Gathered.GoneRequests) / float64(total))
	}
	h.logOutcome("usage-fixed", a, logrus.Fields{
		"counts": fixed.Counts, "era": fixed.Era, "own": own, "dropped": len(a.Drop), "afterEndMs": h.sinceEnd(a.Window, now).Milliseconds(),
	}).Info("usage report fixed")
}

func (h *usageHolder) logSent(a usage.Action, now usage.Time) {
	h.stats.count("accepted")
	h.logOutcome("usage-sent", a, logrus.Fields{"counts": a.Report.Counts, "afterEndMs": h.sinceEnd(a.Window, now).Milliseconds()}).Info("usage report accepted")
}

func (h *usageHolder) logGivenUp(a usage.Action) {
	if a.Gathered.Counts != nil {
		h.gathered[a.Window] = a.Gathered
	}
	entry := h.logOutcome("usage-given-up", a, logrus.Fields{"last": a.Last, "reason": a.Reason.String()})
	if a.Reason == usage.NothingKnown {
		entry.Info("no requests are known; nothing is reported")
		h.stats.count("nothing-known")
		return
	}
	entry.Error("no usage report is sent")
	h.stats.count("given-up")
}

// sinceEnd returns the time since the end of the window.
func (h *usageHolder) sinceEnd(w usage.Window, now usage.Time) time.Duration {
	return now.True - w.End(h.gw.cfg.UsageReports.Window)
}

// usageLateDelay is how long a late window must have been the oldest before it is logged. A
// new holder passes quickly over old windows of which nothing is known.
const usageLateDelay = time.Second

// observeProgress updates the age of the oldest window that has not been accepted, and logs
// a window once when it becomes late.
func (h *usageHolder) observeProgress() {
	now := h.now()
	oldest, ok := h.ledger.Oldest()
	age := time.Duration(0)
	if ok {
		age = h.sinceEnd(oldest, now)
	}
	h.stats.scope.Gauge("usage_oldest_age_seconds").Update(age.Seconds())
	if !ok || oldest != h.oldest {
		h.oldest, h.oldestSince = oldest, now.Boot
	}
	if ok && age > h.gw.cfg.UsageReports.Lateness && oldest > h.lateLogged && now.Boot-h.oldestSince >= usageLateDelay {
		h.lateLogged = oldest
		h.logOutcome("usage-late", usage.Action{Window: oldest}, logrus.Fields{"afterEndMs": age.Milliseconds()}).Warn("usage report is late")
	}
	for w := range h.gathered {
		if h.sinceEnd(w, now) > usage.Retention {
			delete(h.gathered, w)
		}
	}
}
