package load

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/mulberrysill/mulberrysill/standin/stack"
)

const (
	// requestTimeout exceeds the 8 s for which the proxy holds a request, so that
	// clients receive the proxy's own error.
	requestTimeout = 10 * time.Second
	dialTimeout    = 2 * time.Second
	pollInterval   = 20 * time.Millisecond
)

// Outcomes of a request as seen by the client. The latter two are verdicts that the
// proxy appends to error messages.
const (
	served     = "served"
	notRun     = "not run"
	mayHaveRun = "may have run"
)

// codeRateLimitExceeded is the SQLSTATE of a request refused by its workspace's
// rate limit.
const codeRateLimitExceeded = "53400"

// sample is the record of one request.
type sample struct {
	// due is the time at which the load generator scheduled the request, start the
	// time at which a client began to send it, end the time of its response.
	due, start, end time.Time
	instance        int
	workspace       string
	outcome, code   string
	// message is the error text; empty if the request was served.
	message string
}

// client is one client connection. It connects to the next instance if its instance
// doesn't accept connections, as behind a load balancer. Not safe for concurrent use.
type client struct {
	stack            *stack.Stack
	workspace, route string
	instance         int
	// sticky prevents the move to another instance.
	sticky bool
	conn   *pgconn.PgConn
}

// connect opens a connection unless one is open.
func (c *client) connect(ctx context.Context) error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := pgconn.Connect(dialCtx, c.stack.URL(c.stack.Instances[c.instance], c.workspace, c.route))
	if err != nil {
		if !c.sticky {
			c.instance = (c.instance + 1) % len(c.stack.Instances)
		}
		return err
	}
	c.conn = conn
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close(context.Background())
	}
}

// query runs SQL and returns the first value of the last result that has rows. The
// end of ctx doesn't cancel it; only requestTimeout does.
func (c *client) query(ctx context.Context, sql string) (string, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	value := ""
	for _, r := range results {
		if len(r.Rows) > 0 {
			value = string(r.Rows[0][0])
		}
	}
	return value, err
}

// request runs one request and returns its record. If the connection fails, the
// outcome is notRun.
func (c *client) request(ctx context.Context, due time.Time, sql string) sample {
	s := sample{due: due, start: time.Now(), workspace: c.workspace}
	err := c.connect(ctx)
	if err == nil {
		s.instance = c.instance
		_, err = c.query(ctx, sql)
		s.outcome = outcomeOf(err)
	} else {
		s.instance, s.outcome = c.instance, notRun
	}
	s.end = time.Now()
	if err != nil {
		s.message = err.Error()
		var pg *pgconn.PgError
		if errors.As(err, &pg) {
			s.code = pg.Code
		}
	}
	return s
}

// outcomeOf derives the outcome from the verdict in the error text. Errors without
// a verdict, such as a broken connection, count as mayHaveRun.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return served
	case strings.Contains(err.Error(), "("+notRun+")"):
		return notRun
	default:
		return mayHaveRun
	}
}

// sampleLog collects samples; safe for concurrent use.
type sampleLog struct {
	mu      sync.Mutex
	samples []sample
}

func (l *sampleLog) add(s sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}

// all returns the samples added so far.
func (l *sampleLog) all() []sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.samples[:len(l.samples):len(l.samples)]
}

// sleep waits until d has passed or ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// poll waits until the condition holds and fails after the timeout. The description
// of the condition is part of the error.
func poll(ctx context.Context, timeout time.Duration, description string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(deadline) {
			return errors.Newf("timed out after %s waiting for: %s", timeout, description)
		}
		sleep(ctx, pollInterval)
	}
	return nil
}
