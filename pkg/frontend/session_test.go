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
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/verdict"
)

var _ = Describe("session state under pooling", func() {
	// Guards against statements that are missing on a session's next connection, and
	// against names that collide between sessions.
	It("prepares statements on each connection that lacks them", func() {
		st := startStack(nil)
		a, b := st.connect("loja", "orders"), st.connect("loja", "orders")
		prepare := func(c *pgx.Conn, sql string) {
			_, err := c.Prepare(testContext(), "q", sql)
			Expect(err).NotTo(HaveOccurred())
		}
		prepare(a, "SELECT 1 + CAST($1 AS INTEGER)")
		prepare(b, "SELECT 2 + CAST($1 AS INTEGER)")
		Expect(queryInt(a, "q", 10)).To(Equal(11))
		Expect(queryInt(b, "q", 10)).To(Equal(12))
		// While session a holds the pooled connection, session b gets a new one.
		st.exec(a, "BEGIN")
		Expect(queryInt(a, "q", 20)).To(Equal(21))
		Expect(queryInt(b, "q", 20)).To(Equal(22))
		st.exec(a, "COMMIT")
		Expect(queryInt(a, "q", 30)).To(Equal(31))
		c := st.connect("loja", "orders")
		prepare(c, "SELECT 1 + CAST($1 AS INTEGER)")
		Expect(queryInt(c, "q", 1)).To(Equal(2))
		Expect(c.Deallocate(testContext(), "q")).To(Succeed())
		Expect(queryInt(a, "q", 1)).To(Equal(2))
		st.exec(a, "DEALLOCATE q")
		_, err := a.PgConn().ExecPrepared(testContext(), "q", [][]byte{[]byte("1")}, nil, nil).Close()
		Expect(pgError(err).Code).To(Equal("26000"))
		_, err = a.PgConn().Prepare(testContext(), "broken", "SELECT nothing FROM t", nil)
		Expect(err).To(HaveOccurred())
		prepare(a, "SELECT 5")
		Expect(queryInt(a, "q")).To(Equal(5))
	})

	It("keeps the unnamed statement between requests", func() {
		st := startStack(nil)
		conn, other := st.connect("loja", "orders"), st.connect("loja", "orders")
		_, err := conn.PgConn().Prepare(testContext(), "", "SELECT 7", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(queryInt(other, "SELECT 1 + CAST($1 AS INTEGER)", 1)).To(Equal(2))
		r := conn.PgConn().ExecPrepared(testContext(), "", nil, nil, nil).Read()
		Expect(r.Err).NotTo(HaveOccurred())
		Expect(string(r.Rows[0][0])).To(Equal("7"))
	})

	It("bounds statements per session", func() {
		st := startStack(nil)
		conn := st.connect("loja", "orders").PgConn()
		for i := range maxStatements {
			_, err := conn.Prepare(testContext(), fmt.Sprint("s", i), "SELECT 1", nil)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := conn.Prepare(testContext(), "more", "SELECT 1", nil)
		Expect(pgError(err).Code).To(Equal("0A000"))
		_, err = conn.Exec(testContext(), "SELECT 1").ReadAll()
		Expect(err).NotTo(HaveOccurred())
	})

	It("bounds statements per server connection", func() {
		st := startStack(nil)
		for range 2 {
			conn := st.connect("loja", "orders")
			for i := range maxConnStatements * 3 / 5 {
				name := fmt.Sprint("s", i)
				_, err := conn.Prepare(testContext(), name, fmt.Sprintf("SELECT 0 * %d + %d", i, conn.PgConn().PID()))
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(queryInt(conn, "s0")).To(BeEquivalentTo(conn.PgConn().PID()))
		}
		for _, c := range st.group.idle[st.group.addresses[0]] {
			Expect(len(c.prepared)).To(BeNumerically("<=", maxConnStatements))
		}
	})

	// Guards against settings that leak from one session to another.
	It("replays settings and resets connections", func() {
		st := startStack(nil)
		show := func(c *pgx.Conn, name string) string {
			GinkgoHelper()
			var v string
			Expect(c.QueryRow(testContext(), "SHOW "+name, pgx.QueryExecModeSimpleProtocol).Scan(&v)).To(Succeed())
			return v
		}
		a, err := st.tryConnect(st.url("loja", "orders", "&application_name=caixa&timezone=America/Sao_Paulo"))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.PgConn().ParameterStatus("application_name")).To(Equal("caixa"))
		b := st.connect("loja", "orders")
		other := st.connect("oficina", "orders")
		st.exec(a, "SET statement_timeout = '9s'")
		Expect(show(b, "statement_timeout")).To(Equal("0"))
		Expect(show(other, "application_name")).To(Equal(""))
		Expect(show(a, "statement_timeout")).To(Equal("9s"))
		Expect(show(a, "application_name")).To(Equal("caixa"))
		Expect(show(a, "TimeZone")).To(Equal("America/Sao_Paulo"))
		st.exec(a, "BEGIN")
		st.exec(a, "SET LOCAL statement_timeout = '1s'")
		st.exec(a, "COMMIT")
		Expect(show(b, "statement_timeout")).To(Equal("0"))
		Expect(show(a, "statement_timeout")).To(Equal("9s"))
		st.exec(a, "RESET statement_timeout")
		Expect(show(a, "statement_timeout")).To(Equal("0"))
		st.exec(a, "SET search_path = other")
		st.exec(a, "DISCARD ALL")
		Expect(show(a, "search_path")).To(Equal("public"))
		Expect(show(a, "application_name")).To(Equal("caixa"))
		for i := range maxSettings + 1 {
			_, err = b.Exec(testContext(), fmt.Sprintf("SET custom.s%d = 1", i))
		}
		Expect(pgError(err).Code).To(Equal("0A000"))
	})

	It("answers the proxy's settings in both protocols and inside a transaction", func() {
		st := startStack(nil)
		conn := st.connect("loja", "orders")
		st.exec(conn, "SET mulberry.request_id = 'pedido-1'")
		st.exec(conn, "BEGIN")
		_, err := conn.PgConn().ExecParams(testContext(), "SET mulberry.request_id TO 'pedido-2'", nil, nil, nil, nil).Close()
		Expect(err).NotTo(HaveOccurred())
		var id string
		Expect(conn.QueryRow(testContext(), "SHOW mulberry.request_id", pgx.QueryExecModeDescribeExec).Scan(&id)).To(Succeed())
		Expect(id).To(Equal("pedido-2"))
		st.exec(conn, "INSERT INTO t (id) VALUES (1)")
		st.exec(conn, "COMMIT")
		st.policy.refusal.Store(verdict.New(verdict.NotRun, verdict.RateLimitExceeded, "over the rate"))
		_, err = conn.Exec(testContext(), "SELECT 1")
		Expect(pgError(err).Detail).To(Equal("verdict: not run; request: pedido-2"))
		_, err = conn.Exec(testContext(), "SET mulberry.request_id = ''")
		Expect(pgError(err).Code).To(Equal("22023"))
	})

	// Guards against a cancel request that cancels another session's request or a
	// later one.
	It("cancels the running request and no other", func() {
		st := startStack(nil)
		conn := st.connect("loja", "orders")
		st.exec(conn, "SELECT 1")
		_, before := st.group.counts()
		Expect(conn.PgConn().CancelRequest(testContext())).To(Succeed())
		st.exec(conn, "SELECT 1")
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(testContext(), "SELECT sleep_ms(5000)")
			done <- err
		}()
		Eventually(st.server.runningRequests).Should(Equal(1))
		wrong := &pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: []byte("0000")}
		Expect(st.server.Cancel(wrong.ProcessID, wrong.SecretKey)).To(BeFalse())
		Consistently(done).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		Expect(st.server.Cancel(conn.PgConn().PID(), conn.PgConn().SecretKey())).To(BeTrue())
		var err error
		Eventually(done).Should(Receive(&err))
		Expect(pgError(err).Code).To(Equal("57014"))
		st.awaitRelease()
		_, after := st.group.counts()
		Expect(after).To(Equal(before + 1))
		st.exec(conn, "SELECT 1")
	})

	It("cancels a request that waits for a connection", func() {
		st := startStack(nil)
		conn := st.connect("loja", "orders")
		blocked := &blockingGroup{testGroup: st.group, waiting: make(chan struct{}, 1)}
		st.policy.group = blocked
		st.policy.apply(nil)
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(testContext(), "INSERT INTO t (id) VALUES (1)")
			done <- err
		}()
		Eventually(blocked.waiting).Should(Receive())
		Expect(st.server.Cancel(conn.PgConn().PID(), conn.PgConn().SecretKey())).To(BeTrue())
		var err error
		Eventually(done).Should(Receive(&err))
		Expect(pgError(err).Message).To(HaveSuffix("(not run)"))
		Expect(pgError(err).Code).To(Equal("57014"))
	})

	// Guards against a write that runs after its client timed out and repeated it.
	It("does not run a request whose client disconnected while it waited", func() {
		st := startStack(nil)
		conn := st.connect("loja", "orders")
		slow := &slowGroup{testGroup: st.group, waiting: make(chan struct{}), release: make(chan struct{})}
		st.policy.group = slow
		st.policy.apply(nil)
		_, err := conn.PgConn().Conn().Write(encode(GinkgoT(), &pgproto3.Query{String: "INSERT INTO t (id) VALUES (1)"}))
		Expect(err).NotTo(HaveOccurred())
		Eventually(slow.waiting).Should(BeClosed())
		Expect(conn.PgConn().Conn().Close()).To(Succeed())
		time.Sleep(2 * clientCheckAfter)
		close(slow.release)
		Eventually(st.server.SessionCount).WithTimeout(5 * time.Second).Should(Equal(1))
		st.policy.group = st.group
		st.policy.apply(nil)
		Expect(queryInt(st.connect("loja", "orders"), "SELECT count(*) FROM t")).To(BeZero())
	})

	// Guards against answers that are sent to the wrong client when many sessions
	// share few connections.
	It("isolates sessions of several workspaces", func() {
		st := startStack(nil)
		var all sync.WaitGroup
		failures := make(chan error, 16)
		for i := range 12 {
			conn := st.connect([]string{"loja", "oficina"}[i%2], "orders")
			all.Go(func() {
				for n := range 60 {
					want := fmt.Sprintf("%d/%d", i, n)
					var got string
					err := pgx.BeginFunc(context.Background(), conn, func(tx pgx.Tx) error {
						return tx.QueryRow(context.Background(), "SELECT CAST($1 AS TEXT)", want).Scan(&got)
					})
					if err == nil && got != want {
						err = errors.New(got + " instead of " + want)
					}
					if err != nil {
						failures <- err
						return
					}
				}
			})
		}
		all.Wait()
		close(failures)
		for err := range failures {
			Expect(err).NotTo(HaveOccurred())
		}
		st.awaitRelease()
	})

	It("runs pipelines with several Syncs and errors", func() {
		st := startStack(nil)
		pc := st.connect("loja", "orders").PgConn()
		p := pc.StartPipeline(testContext())
		p.SendQueryParams("INSERT INTO t (id) VALUES (1)", nil, nil, nil, nil)
		Expect(p.Sync()).To(Succeed())
		p.SendQueryParams("SELECT nothing FROM t", nil, nil, nil, nil)
		p.SendQueryParams("INSERT INTO t (id) VALUES (2)", nil, nil, nil, nil)
		Expect(p.Sync()).To(Succeed())
		p.SendQueryParams("SELECT count(*) FROM t", nil, nil, nil, nil)
		Expect(p.Sync()).To(Succeed())
		var results []string
		for range 6 {
			r, err := p.GetResults()
			switch r := r.(type) {
			case *pgconn.ResultReader:
				read := r.Read()
				for _, row := range read.Rows {
					results = append(results, string(row[0]))
				}
				results = append(results, read.CommandTag.String())
			case *pgconn.PipelineSync:
				results = append(results, "sync")
			default:
				results = append(results, pgError(err).Code)
			}
		}
		Expect(p.Close()).To(Succeed())
		Expect(strings.Join(results, ",")).To(MatchRegexp("^INSERT 0 1,sync,42...,sync,1,SELECT 1,sync$"))
		st.awaitRelease()
	})
})

// slowGroup acquires a connection only after release is closed.
type slowGroup struct {
	*testGroup
	waiting, release chan struct{}
}

func (g *slowGroup) Acquire(ctx context.Context, r Request) (Conn, error) {
	close(g.waiting)
	<-g.release
	return g.testGroup.Acquire(ctx, r)
}

// blockingGroup never acquires a connection.
type blockingGroup struct {
	*testGroup
	waiting chan struct{}
}

func (g *blockingGroup) Acquire(ctx context.Context, _ Request) (Conn, error) {
	g.waiting <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}
