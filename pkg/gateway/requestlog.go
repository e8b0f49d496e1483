package gateway

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/quota"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	"github.com/mulberrysill/mulberrysill/pkg/metrics"
)

const (
	// requestLogBuffer is the number of records that can wait for the writer.
	// Further records are counted and dropped, so that a slow log consumer
	// does not delay requests.
	requestLogBuffer = 512
	// successesPerSecond and failuresPerSecond limit the logged lines of each
	// kind.
	successesPerSecond = 5
	failuresPerSecond  = 100
	// slowRequest is the duration from which a successful statement is logged
	// under the limit for failures.
	slowRequest = 400 * time.Millisecond
)

// requestRecord is the log record of one statement.
type requestRecord struct {
	id, database, route, workspace, kind string
	member                               string
	// relay is the instance that ran the statement, or from which it was
	// relayed.
	relay    string
	attempts int
	floor    group.Position
	started  time.Time
	took     time.Duration
	// connWait is the time spent waiting for connections.
	connWait time.Duration
	// version is the configuration's version, and leaseAge the age of its last
	// confirmation.
	version  uint64
	leaseAge time.Duration
	err      *verdict.Error
	// limit is the state of the workspace's limit that refused the statement.
	limit *quota.State
	// undelivered is why the answer could not be written to the client, in a second record
	// of the statement.
	undelivered error
}

// noteConfiguration records the configuration under which the statement was
// decided.
func (r *requestRecord) noteConfiguration(g *Gateway) {
	if c := g.currentConfig.Load(); c != nil {
		r.version = c.catalog.Version()
		r.leaseAge, _ = g.configLeaseAge()
	}
}

// noteAttempt records the member to which the statement is sent.
func (r *requestRecord) noteAttempt(c *pooledConn) {
	r.member = c.memberID
	r.attempts++
}

// requestLog logs failed and slow statements and a sample of the others,
// within limits per second. It is safe for concurrent use.
type requestLog struct {
	log     *logrus.Entry
	stats   *metrics.Metrics
	records chan requestRecord
	dropped atomic.Uint64
	done    chan struct{}
}

func newRequestLog(log *logrus.Entry, stats *metrics.Metrics) *requestLog {
	l := &requestLog{log: log, stats: stats, records: make(chan requestRecord, requestLogBuffer), done: make(chan struct{})}
	go l.run()
	return l
}

func (l *requestLog) close() {
	close(l.done)
}

// record queues a record without blocking.
func (l *requestLog) record(r requestRecord) {
	select {
	case l.records <- r:
	default:
		l.dropped.Add(1)
	}
}

// run writes queued records until the log is closed.
func (l *requestLog) run() {
	var windowStart time.Time
	successes, failures := 0, 0
	for {
		select {
		case <-l.done:
			return
		case r := <-l.records:
			if r.undelivered == nil {
				l.observeMetrics(&r)
			} else {
				l.countUndelivered()
			}
			if now := time.Now(); now.Sub(windowStart) >= time.Second {
				if dropped := l.dropped.Swap(0); dropped > 0 {
					l.log.WithFields(logrus.Fields{"event": "lines-left-out", "count": dropped}).Info("request log lines dropped")
				}
				windowStart, successes, failures = now, 0, 0
			}
			count, limit := &successes, successesPerSecond
			if r.err != nil || r.undelivered != nil || r.took >= slowRequest {
				count, limit = &failures, failuresPerSecond
			}
			if *count++; *count > limit {
				l.dropped.Add(1)
				continue
			}
			l.writeLine(&r)
		}
	}
}

func (l *requestLog) observeMetrics(r *requestRecord) {
	if l.stats == nil {
		return
	}
	outcome := "ok"
	if r.err != nil {
		outcome = string(r.err.Code)
	}
	l.stats.Observe(r.workspace, r.route, r.took, outcome)
}

// countUndelivered counts an answer that could not be written to its client.
func (l *requestLog) countUndelivered() {
	if l.stats != nil {
		l.stats.Scope().Counter("undelivered_answers").Inc(1)
	}
}

// countStoppedPrimary counts a primary that was stopped before its successor was promoted.
func (l *requestLog) countStoppedPrimary() {
	if l.stats != nil {
		l.stats.Scope().Counter("stopped_primaries").Inc(1)
	}
}

// countLapsedCommitLease counts a commit lease that has lapsed.
func (l *requestLog) countLapsedCommitLease() {
	if l.stats != nil {
		l.stats.Scope().Counter("lapsed_commit_leases").Inc(1)
	}
}

// countUnusableGroup counts a group that was found to have no usable member.
func (l *requestLog) countUnusableGroup() {
	if l.stats != nil {
		l.stats.Scope().Counter("unusable_groups").Inc(1)
	}
}

// roundHundredths rounds to two decimals.
func roundHundredths(x float64) float64 { return math.Round(100*x) / 100 }

func (l *requestLog) writeLine(r *requestRecord) {
	fields := logrus.Fields{
		"event": "statement", "id": r.id, "database": r.database, "route": r.route, "workspace": r.workspace,
		"kind": r.kind, "member": r.member, "attempts": r.attempts, "ms": float64(r.took.Microseconds()) / 1000,
	}
	if r.connWait > 0 {
		fields["waitedMs"] = float64(r.connWait.Microseconds()) / 1000
	}
	if r.version > 0 {
		fields["version"], fields["leaseAgeMs"] = r.version, r.leaseAge.Milliseconds()
	}
	if r.relay != "" {
		fields["relay"] = r.relay
	}
	if !r.floor.IsZero() {
		fields["floor"] = r.floor.String()
	}
	if r.undelivered != nil {
		fields["event"], fields["cause"] = "undelivered", r.undelivered.Error()
		l.log.WithFields(fields).Info("the answer could not be written to the client")
		return
	}
	if r.err == nil {
		l.log.WithFields(fields).Info("answered")
		return
	}
	fields["code"], fields["verdict"], fields["reason"] = string(r.err.Code), r.err.Verdict.String(), r.err.Message
	if cause := r.err.Unwrap(); cause != nil {
		fields["cause"] = cause.Error()
	}
	if r.limit != nil {
		fields["limitLevel"], fields["limitCredit"] = roundHundredths(r.limit.Level), roundHundredths(r.limit.Credit)
		fields["limitShare"], fields["instances"], fields["knownInstances"], fields["detached"] = roundHundredths(r.limit.Share), r.limit.Live, r.limit.Known, r.limit.Detached
	}
	if r.err.RetryAfter > 0 {
		fields["retryAfterMs"] = r.err.RetryAfter.Milliseconds()
	}
	l.log.WithFields(fields).Warn("refused")
}

// countRefusedInput counts a large statement that was refused for lack of memory.
func (l *requestLog) countRefusedInput() {
	if l.stats != nil {
		l.stats.Scope().Counter("refused_large_statements").Inc(1)
	}
}
