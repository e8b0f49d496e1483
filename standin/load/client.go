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
	// requestTimeout bounds one request; it is above the 8 s for which the
	// proxy holds a request.
	requestTimeout = 10 * time.Second
	dialTimeout    = 2 * time.Second
	dialRetry      = 20 * time.Millisecond
)

// Outcomes of a request as a client sees them.
const (
	served     = "served"
	notRun     = "not run"
	mayHaveRun = "may have run"
)

// codeOverRate is the SQLSTATE of a refusal by the workspace's rate.
const codeOverRate = "53400"

// sample is one request.
type sample struct {
	// due is when an open-loop client was to send it; start and end are when it did.
	due, start, end time.Time
	instance        int
	workspace       string
	outcome, code   string
	// message is the error's text; empty if the request was served.
	message string
}

// client is one client connection. It stays on its instance while that accepts
// connections and moves to the next one otherwise, as behind a load balancer.
type client struct {
	stack            *stack.Stack
	workspace, route string
	instance         int
	// sticky keeps the client on its instance.
	sticky bool
	conn   *pgconn.PgConn
}

// connect makes sure that there is a connection.
func (c *client) connect(ctx context.Context) error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := pgconn.Connect(dialCtx, c.stack.URL(c.stack.Entries[c.instance], c.workspace, c.route))
	if err != nil {
		if !c.sticky {
			c.instance = (c.instance + 1) % len(c.stack.Entries)
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

// query runs SQL and returns the first value of the last result that has rows.
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

// request runs one request and describes how it ended. A failure to connect is
// a request that was not run.
func (c *client) request(ctx context.Context, due time.Time, sql string) sample {
	s := sample{due: due, start: time.Now(), workspace: c.workspace}
	err := c.connect(ctx)
	if err == nil {
		s.instance = c.instance
		_, err = c.query(ctx, sql)
		s.outcome = outcome(err)
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

// outcome reads the verdict from an error, as a client does.
func outcome(err error) string {
	switch {
	case err == nil:
		return served
	case strings.Contains(err.Error(), "("+notRun+")"):
		return notRun
	default:
		return mayHaveRun
	}
}

// journal collects samples of many goroutines.
type journal struct {
	mu      sync.Mutex
	samples []sample
}

func (j *journal) add(s sample) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.samples = append(j.samples, s)
}

// all returns the samples so far.
func (j *journal) all() []sample {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.samples[:len(j.samples):len(j.samples)]
}

// sleep waits for d or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// poll waits until the condition holds, at most for the time given.
func poll(ctx context.Context, limit time.Duration, what string, condition func() bool) error {
	deadline := time.Now().Add(limit)
	for !condition() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(deadline) {
			return errors.Newf("not within %s: %s", limit, what)
		}
		sleep(ctx, dialRetry)
	}
	return nil
}
