// Package metrics keeps counters and histograms with tally and serves them in
// the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally hands its values to the reporter.
const reportInterval = time.Second

// latencyBuckets resolve a proxied statement (from 50 µs) up to the time for
// which a write may be held during a failover (8 s).
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(50*time.Microsecond, 2, 18)

// Metrics is the set of metrics of one instance. All methods may be called by
// any goroutine.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	requests sync.Map // requestKey to *requestMetrics
}

type requestKey struct{ workspace, class, verdict string }

type requestMetrics struct {
	count   tally.Counter
	latency tally.Histogram
}

// New returns the metrics of an instance.
func New(instance, zone string) *Metrics {
	// A registry of its own lets several instances run in one process, as
	// tests do; the default registry is shared by the whole process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "mulberrysill", Separator: prometheus.DefaultSeparator, CachedReporter: reporter,
		Tags:            map[string]string{"instance": instance, "zone": zone},
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, reporter: reporter}
}

// Handler serves the metrics to a Prometheus scraper.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports the last values and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// Scope returns the root scope, for metrics of other packages.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Observe counts one request of the workspace and class (read or write) with
// its duration and verdict.
func (m *Metrics) Observe(workspace, class string, d time.Duration, verdict string) {
	key := requestKey{workspace, class, verdict}
	r, ok := m.requests.Load(key)
	if !ok {
		tagged := m.scope.Tagged(map[string]string{"workspace": workspace, "class": class, "verdict": verdict})
		r, _ = m.requests.LoadOrStore(key, &requestMetrics{
			count:   tagged.Counter("requests"),
			latency: tagged.Histogram("request_seconds", latencyBuckets),
		})
	}
	rm := r.(*requestMetrics)
	rm.count.Inc(1)
	rm.latency.RecordDuration(d)
}
