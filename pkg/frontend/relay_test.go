package frontend

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

var _ = Describe("relay", func() {
	// Guards against pooling that loses, mixes up or does not complete answers.
	It("relays simple and extended queries and releases after each transaction", func() {
		st := startStack(nil)
		conn := st.connect("loja", "orders")
		st.exec(conn, "INSERT INTO t (id, v) VALUES (1, 'a')")
		st.exec(conn, "INSERT INTO t (id, v) VALUES ($1, $2)", 2, "b")
		Expect(queryInt(conn, "SELECT count(*) FROM t WHERE id > $1", 0)).To(Equal(2))
		st.awaitRelease()
		tx, err := conn.Begin(testContext())
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(testContext(), "INSERT INTO t (id, v) VALUES ($1, $2)", 3, "c")
		Expect(err).NotTo(HaveOccurred())
		Consistently(func() int { n, _ := st.group.counts(); return n }).WithTimeout(50 * time.Millisecond).Should(Equal(1))
		Expect(tx.Rollback(testContext())).To(Succeed())
		st.awaitRelease()
		Expect(queryInt(conn, "SELECT count(*) FROM t")).To(Equal(2))
		_, err = conn.Exec(testContext(), "SELECT nothing FROM t")
		Expect(pgError(err).Severity).To(Equal("ERROR"))
		Expect(queryInt(conn, "SELECT count(*) FROM t")).To(Equal(2))
		st.awaitRelease()
	})

	It("relays batches, COPY in both directions and large rows", func() {
		st := startStack(nil)
		conn := st.connect("loja", "orders")
		batch := &pgx.Batch{}
		for i := range 500 {
			batch.Queue("INSERT INTO t (id, v) VALUES ($1, $2)", i, strings.Repeat("x", i*40))
		}
		Expect(conn.SendBatch(testContext(), batch).Close()).To(Succeed())
		Expect(queryInt(conn, "SELECT sum(length(v)) FROM t")).To(Equal(40 * 499 * 500 / 2))
		rows, err := conn.Query(testContext(), "SELECT v FROM t ORDER BY id")
		Expect(err).NotTo(HaveOccurred())
		texts, err := pgx.CollectRows(rows, pgx.RowTo[string])
		Expect(err).NotTo(HaveOccurred())
		Expect(texts).To(HaveLen(500))
		Expect(texts[499]).To(HaveLen(499 * 40))
		var out strings.Builder
		tag, err := conn.PgConn().CopyTo(testContext(), &out, "COPY t TO STDOUT")
		Expect(err).NotTo(HaveOccurred())
		Expect(tag.RowsAffected()).To(BeEquivalentTo(500))
		st.exec(conn, "DELETE FROM t")
		tag, err = conn.PgConn().CopyFrom(testContext(), strings.NewReader(out.String()), "COPY t FROM STDIN")
		Expect(err).NotTo(HaveOccurred())
		Expect(tag.RowsAffected()).To(BeEquivalentTo(500))
		st.awaitRelease()
	})

	// Guards against acknowledging a commit before a majority of the members has
	// received it.
	DescribeTable("holds the acknowledgement until the commit is confirmed", func(run func(context.Context, *pgx.Conn) error) {
		st := startStack(nil)
		conn := st.connect("loja", "orders")
		release := make(chan struct{})
		st.group.confirm = func(context.Context, group.Position) error { <-release; return nil }
		done := make(chan error, 1)
		go func() { done <- run(testContext(), conn) }()
		Consistently(done).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
		close(release)
		Eventually(done).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
		token := conn.PgConn().ParameterStatus("mulberry.token")
		Expect(token).To(HavePrefix("g/loja/1:"))
		Expect(conn.PgConn().ParameterStatus(group.ParamPosition)).To(BeEmpty())
		st.awaitRelease()
	},
		Entry("simple", func(ctx context.Context, c *pgx.Conn) error {
			_, err := c.Exec(ctx, "INSERT INTO t (id) VALUES (1)")
			return err
		}),
		Entry("extended, where the position follows CommandComplete", func(ctx context.Context, c *pgx.Conn) error {
			_, err := c.Exec(ctx, "INSERT INTO t (id) VALUES ($1)", 1)
			return err
		}),
		Entry("transaction", func(ctx context.Context, c *pgx.Conn) error {
			return pgx.BeginFunc(ctx, c, func(tx pgx.Tx) error {
				_, err := tx.Exec(ctx, "INSERT INTO t (id) VALUES ($1)", 1)
				return err
			})
		}),
	)

	// Guards against an error for a commit that does not state the outcome, and
	// against returning a connection in an unknown state to the pool.
	DescribeTable("reports a commit that is not confirmed", func(v verdict.Verdict, code verdict.Code, survives bool) {
		st := startStack(nil)
		conn := st.connect("loja", "orders")
		_, before := st.group.counts()
		st.group.confirm = func(context.Context, group.Position) error { return verdict.New(v, code, "changed") }
		_, err := conn.Exec(testContext(), "INSERT INTO t (id) VALUES ($1)", 1)
		e := pgError(err)
		Expect(e.Code).To(Equal(string(code)))
		Expect(e.Message).To(ContainSubstring("(" + v.String() + ")"))
		Expect(e.Detail).To(MatchRegexp("^verdict: " + v.String() + "; request: i1-"))
		Eventually(func() int { _, n := st.group.counts(); return n }).Should(Equal(before + 1))
		st.group.confirm = nil
		_, err = conn.Exec(testContext(), "SELECT 1")
		Expect(err == nil).To(Equal(survives))
	},
		Entry("not run", verdict.NotRun, verdict.NoPrimary, true),
		Entry("may have run", verdict.MayHaveRun, verdict.OutcomeUnknown, false),
	)

	// Guards against a verdict that makes clients repeat a write that may have run.
	It("states the outcome when the server connection is lost", func() {
		st := startStack(nil)
		lose := func(sql ...string) error {
			conn := st.connect("loja", "orders")
			for _, q := range sql[:len(sql)-1] {
				st.exec(conn, q)
			}
			done := make(chan error, 1)
			go func() {
				_, err := conn.Exec(testContext(), sql[len(sql)-1])
				done <- err
			}()
			// The statement was sent once its answer is outstanding.
			Eventually(st.server.runningRequests).Should(Equal(1))
			st.group.closeAttached(st.server)
			var err error
			Eventually(done).WithTimeout(5 * time.Second).Should(Receive(&err))
			return err
		}
		// After CREATE TABLE the pooled connection gets DISCARD ALL. This happens
		// here, so that it does not wait for the paused answers.
		st.exec(st.connect("loja", "orders"), "SELECT 1")
		st.members[0].PauseResponses()
		e := pgError(lose("INSERT INTO t (id) VALUES (1)"))
		Expect(e.Code + e.Severity).To(Equal("08007FATAL"))
		Expect(e.Message).To(HaveSuffix("(may have run)"))
		st.members[0].ResumeResponses()

		e = pgError(lose("BEGIN", "SELECT sleep_ms(3000)"))
		Expect(e.Code + e.Severity).To(Equal("08006FATAL"))
		Expect(e.Message).To(Equal("the server connection was lost; the transaction was rolled back (not run)"))

		e = pgError(lose("SET default_transaction_read_only = on", "SELECT sleep_ms(3000)"))
		Expect(e.Code + e.Severity).To(Equal("08006ERROR"))
		Expect(e.Message).To(HaveSuffix("(not run)"))
	})

	It("tries another connection if the first accepts no data", func() {
		st := startStack(nil)
		conn := st.connect("loja", "orders")
		st.group.mu.Lock()
		st.group.closedConns = 1
		st.group.mu.Unlock()
		st.exec(conn, "INSERT INTO t (id) VALUES (1)")
		Expect(queryInt(conn, "SELECT count(*) FROM t")).To(Equal(1))
	})

	// Guards against inferring reads from the SQL text, and against reads that miss
	// the session's own writes.
	It("treats only declared transactions as reads and raises the floor", func() {
		st := startStack(nil)
		conn := st.connect("loja", "orders")
		_, err := conn.Exec(testContext(), "SELECT 1")
		Expect(err).NotTo(HaveOccurred())
		Expect(st.group.lastRequest().Read).To(BeFalse())
		tx, err := conn.BeginTx(testContext(), pgx.TxOptions{AccessMode: pgx.ReadOnly})
		Expect(err).NotTo(HaveOccurred())
		Expect(st.group.lastRequest().Read).To(BeTrue())
		Expect(st.group.lastRequest().Floor).To(Equal(group.Position{Term: 1, Index: 1}))
		Expect(tx.Commit(testContext())).To(Succeed())
		st.exec(conn, "INSERT INTO t (id) VALUES (1)")
		st.exec(conn, "SET default_transaction_read_only = on")
		st.exec(conn, "SET mulberry.max_age = '250ms'")
		Expect(queryInt(conn, "SELECT count(*) FROM t")).To(Equal(1))
		r := st.group.lastRequest()
		Expect(r.Read).To(BeTrue())
		Expect(r.Floor.Index).To(BeNumerically(">", 1))
		Expect(r.MaxAge).To(Equal(250 * time.Millisecond))
		var token string
		Expect(conn.QueryRow(testContext(), "SHOW mulberry.token").Scan(&token)).To(Succeed())
		Expect(token).To(Equal("g/loja/" + r.Floor.String()))

		other, err := st.tryConnect(st.url("loja", "reports", "&options=-c%20mulberry.token%3D"+strings.ReplaceAll(token, "/", "%2F")))
		Expect(err).NotTo(HaveOccurred())
		Expect(queryInt(other, "SELECT count(*) FROM t")).To(Equal(1))
		Expect(st.group.lastRequest().Floor).To(Equal(r.Floor))
		_, err = other.Exec(testContext(), "INSERT INTO t (id) VALUES (2)")
		Expect(pgError(err).Code).To(Equal("25006"))
		for _, sql := range []string{
			"SET default_transaction_read_only = off", "BEGIN READ WRITE", "BEGIN READ WRITE; INSERT INTO t (id) VALUES (2); COMMIT",
			"SET SESSION CHARACTERISTICS AS TRANSACTION READ WRITE", "SELECT set_config('transaction_read_only', 'off', false)",
		} {
			_, err = other.Exec(testContext(), sql)
			Expect(pgError(err).Code).To(Equal("25006"), sql)
		}
		_, err = other.Exec(testContext(), "SET mulberry.token = 'forged'")
		Expect(pgError(err).Code).To(Equal("22023"))
	})

	It("refuses requests over the rate limit with a retry hint", func() {
		metrics := &testMetrics{}
		st := startStack(func(c *Config) { c.Metrics = metrics })
		conn := st.connect("loja", "orders")
		before := st.policy.admitted.Load()
		st.exec(conn, "SELECT 1")
		Expect(st.policy.admitted.Load() - before).To(BeEquivalentTo(1))
		st.policy.refusal.Store(verdict.New(verdict.NotRun, verdict.RateLimitExceeded, "over the rate").WithRetryAfter(120 * time.Millisecond))
		for _, args := range [][]any{nil, {1}} {
			sql := "SELECT 1"
			if args != nil {
				sql = "SELECT $1"
			}
			_, err := conn.Exec(testContext(), sql, args...)
			e := pgError(err)
			Expect(e.Code).To(Equal("53400"))
			Expect(e.Hint).To(Equal("Retry after 120 ms."))
		}
		st.policy.refusal.Store(nil)
		st.exec(conn, "SELECT 1")
		Expect(metrics.counts()).To(And(HaveKeyWithValue("loja write ran", 3), HaveKeyWithValue("loja write not run", 2)))
	})

	// Guards against open transactions of disconnected clients, which hold locks.
	It("rolls back the transaction of a client that disconnects", func() {
		st := startStack(nil)
		conn := st.connect("loja", "orders")
		st.exec(conn, "BEGIN")
		st.exec(conn, "INSERT INTO t (id) VALUES (1)")
		Expect(conn.PgConn().Conn().Close()).To(Succeed())
		st.awaitRelease()
		other := st.connect("loja", "orders")
		st.exec(other, "INSERT INTO t (id) VALUES (1)")
	})
})

// Guards against wrong verdicts: a client repeats a request that was "not run", and
// does not repeat one that was answered.
var _ = It("reports correct verdicts while server connections break and requests are cancelled", func() {
	st := startStack(nil)
	const clients, perClient = 8, 60
	var work, faults sync.WaitGroup
	outcomes := make([]string, clients*perClient)
	stop := make(chan struct{})
	faults.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(3 * time.Millisecond):
			}
			sessions := st.server.sessionSnapshot()
			if len(sessions) == 0 {
				continue
			}
			if s := sessions[n%len(sessions)]; n%3 == 0 {
				s.cancelRequest()
			} else {
				s.mu.Lock()
				if s.attached != nil && s.attached.mayHaveSent {
					s.attached.conn.NetConn().Close()
				}
				s.mu.Unlock()
			}
		}
	})
	for c := range clients {
		work.Go(func() {
			defer GinkgoRecover()
			var conn *pgx.Conn
			for i := range perClient {
				if conn == nil || conn.IsClosed() {
					conn = st.connect("loja", "orders")
				}
				outcomes[c*perClient+i] = insertOnce(conn, c*perClient+i)
			}
		})
	}
	work.Wait()
	close(stop)
	faults.Wait()
	st.awaitRelease()
	rows, err := st.connect("loja", "orders").Query(testContext(), "SELECT id FROM t")
	Expect(err).NotTo(HaveOccurred())
	ids, err := pgx.CollectRows(rows, pgx.RowTo[int])
	Expect(err).NotTo(HaveOccurred())
	counts := map[string]int{}
	for id, outcome := range outcomes {
		counts[outcome]++
		switch outcome {
		case "ran":
			Expect(ids).To(ContainElement(id))
		case "not run":
			Expect(ids).NotTo(ContainElement(id))
		}
	}
	GinkgoWriter.Println(counts)
	Expect(counts["ran"]).To(BeNumerically(">", clients*perClient/4))
	Expect(counts["not run"]).To(BeNumerically(">", 0))
})

// insertOnce inserts a row by a simple query, an extended query or a transaction,
// and returns the outcome that was reported to the client. An error of the server
// itself means that the statement had no effect.
func insertOnce(conn *pgx.Conn, id int) string {
	ctx := testContext()
	var err error
	switch id % 3 {
	case 0:
		_, err = conn.Exec(ctx, fmt.Sprintf("INSERT INTO t (id) VALUES (%d)", id))
	case 1:
		_, err = conn.Exec(ctx, "INSERT INTO t (id) VALUES ($1)", id)
	default:
		err = pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
			_, err := tx.Exec(ctx, "INSERT INTO t (id) VALUES ($1)", id)
			return err
		})
	}
	var e *pgconn.PgError
	switch {
	case err == nil:
		return "ran"
	case errors.As(err, &e) && !strings.Contains(e.Message, "(may have run)"):
		return "not run"
	}
	return "unknown"
}

// testMetrics records observations.
type testMetrics struct {
	mu   sync.Mutex
	seen []string
}

func (m *testMetrics) Observe(workspace, class string, _ time.Duration, v string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen = append(m.seen, workspace+" "+class+" "+v)
}

func (m *testMetrics) counts() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := map[string]int{}
	for _, s := range m.seen {
		n[s]++
	}
	return n
}

// runningRequests returns the number of sessions with an outstanding answer.
func (s *Server) runningRequests() int {
	n := 0
	for _, sess := range s.sessionSnapshot() {
		sess.mu.Lock()
		if sess.attached != nil && sess.attached.mayHaveSent && sess.pending.len() > 0 {
			n++
		}
		sess.mu.Unlock()
	}
	return n
}

// closeAttached closes the server connections that sessions hold.
func (g *testGroup) closeAttached(server *Server) {
	for _, s := range server.sessionSnapshot() {
		if a := s.currentAttachment(); a != nil {
			a.conn.NetConn().Close()
		}
	}
}
