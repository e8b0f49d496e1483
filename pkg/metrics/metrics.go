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

// reportInterval is the interval at which tally passes its values to the reporter.
const reportInterval = time.Second

// latencyBuckets range from the duration of a proxied statement (50 µs) to the time for
// which a write may be held during a failover (8 s).
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(50*time.Microsecond, 2, 18)

// Metrics is the set of metrics of one instance. It is safe for concurrent use.
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
	// A separate registry allows several instances in one process, which tests use.
	// The default registry is shared by the whole process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "mulberrysill", Separator: prometheus.DefaultSeparator, CachedReporter: reporter,
		Tags:            map[string]string{"instance": instance, "zone": zone},
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, reporter: reporter}
}

// Handler returns the handler that serves the metrics to Prometheus.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports the last values and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// Scope returns the root scope, for metrics of other packages.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Observe records one request with its duration and labels. The class is read or
// write.
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
