package integration_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/standin/stack"
)

// roamingClient owns one register. It writes the register on one instance, reads it
// on another, and records the reads that violate read-your-writes.
type roamingClient struct {
	stack    *stack.Stack
	register int
	// withToken passes the session token to sessions that were opened before the
	// write. Otherwise each read opens a new session.
	withToken bool

	writers, readers []*pgconn.PgConn
	// allowed holds the values that the next read may return: the last acknowledged
	// one and all later ones that may have run.
	allowed    []int
	reads      int
	violations []string
}

func (r *roamingClient) run(ctx context.Context) {
	r.writers = make([]*pgconn.PgConn, len(r.stack.Instances))
	r.readers = make([]*pgconn.PgConn, len(r.stack.Instances))
	r.allowed = []int{0}
	for n := 1; ctx.Err() == nil; n++ {
		token, wrote := r.write(n)
		if !wrote {
			time.Sleep(10 * time.Millisecond)
		}
		r.read(n+1, token)
	}
	for _, conn := range slices.Concat(r.writers, r.readers) {
		if conn != nil {
			_ = conn.Close(context.Background())
		}
	}
}

// session returns the open session on an instance, or opens one.
func (r *roamingClient) session(ctx context.Context, list []*pgconn.PgConn, n int, route string) (*pgconn.PgConn, error) {
	i := (r.register + n) % len(list)
	if list[i] != nil && !list[i].IsClosed() {
		return list[i], nil
	}
	var err error
	list[i], err = pgconn.Connect(ctx, r.stack.URL(r.stack.Instances[i], "utileria", route))
	return list[i], err
}

// write writes the register once. It returns the session token if the write was
// acknowledged.
func (r *roamingClient) write(n int) (token string, wrote bool) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	conn, err := r.session(ctx, r.writers, n, "g1")
	if err != nil {
		return "", false
	}
	_, err = exec(ctx, conn, fmt.Sprintf("UPDATE register SET v = %d WHERE k = %d", n, r.register))
	switch outcome(err) {
	case "acknowledged":
		r.allowed = []int{n}
		return conn.ParameterStatus("mulberry.token"), true
	case "not run":
	default:
		r.allowed = append(r.allowed, n)
	}
	return "", false
}

// read reads the register once and checks the value. A failed read is no violation.
func (r *roamingClient) read(n int, token string) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	readers := r.readers
	if !r.withToken || token == "" {
		// The session is opened after the last acknowledged write.
		readers = make([]*pgconn.PgConn, len(r.readers))
	}
	conn, err := r.session(ctx, readers, n, "g1-ro")
	if err != nil {
		return
	}
	if !r.withToken || token == "" {
		defer func() { _ = conn.Close(ctx) }()
	} else if _, err := exec(ctx, conn, "SET mulberry.token = '"+token+"'"); err != nil {
		return
	}
	rows, err := exec(ctx, conn, fmt.Sprintf("SELECT v FROM register WHERE k = %d", r.register))
	if err != nil {
		return
	}
	r.reads++
	value := -1
	if len(rows) == 1 {
		value, err = strconv.Atoi(rows[0][0])
	}
	if err != nil || !slices.Contains(r.allowed, value) {
		r.violations = append(r.violations, fmt.Sprintf("register %d: read %v, allowed %v", r.register, rows, r.allowed))
	}
}

var _ = Describe("roaming sessions", func() {
	// Guards against a read on a replica, or on another instance, that misses an
	// acknowledged write of the same client. Each register has one writer, so
	// the values that read-your-writes permits are known for every read.
	for _, withToken := range []bool{true, false} {
		It(fmt.Sprintf("read their own writes on every instance while the primary is killed, token: %v (P1)", withToken), func(ctx SpecContext) {
			const clients = 8
			s := startStack(ctx, stack.Options{Instances: 3, ApplyLag: 100 * time.Millisecond})
			conn := connect(ctx, s.URL(s.Instances[0], "utileria", "g1"))
			mustExec(ctx, conn, "CREATE TABLE register (k int primary key, v int)")
			mustExec(ctx, conn, "CREATE TABLE probe (id int)")
			runCtx, stop := context.WithCancel(ctx)
			defer stop()
			var done sync.WaitGroup
			var all []*roamingClient
			for k := range clients {
				mustExec(ctx, conn, fmt.Sprintf("INSERT INTO register VALUES (%d, 0)", k))
				r := &roamingClient{stack: s, register: k, withToken: withToken}
				all = append(all, r)
				done.Go(func() { r.run(runCtx) })
			}
			time.Sleep(time.Second)
			s.Members["g1-0"].Kill()
			for i, e := range s.Instances {
				awaitWrites(ctx, s, e, i)
			}
			time.Sleep(time.Second)
			stop()
			done.Wait()
			for _, r := range all {
				Expect(r.violations).To(BeEmpty())
				Expect(r.reads).To(BeNumerically(">", 0))
			}
		}, SpecTimeout(2*time.Minute))
	}
})
