package member_test

import (
	"bytes"
	"context"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/standin/member"
)

// wireClient is a client that receives raw protocol messages.
type wireClient struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
}

func dialWire(m *member.Member) *wireClient {
	conn, err := net.Dial("tcp", m.Addr())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetDeadline(time.Now().Add(maxWait))).To(Succeed())
	w := &wireClient{conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
	w.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "app", "database": "d", "options": `-c mulberry.token=a\ b`},
	})
	Expect(w.frontend.Flush()).To(Succeed())
	return w
}

// receiveResponses receives messages up to the n-th ReadyForQuery and returns one word
// per message, most of them the message's type byte with its main content.
func (w *wireClient) receiveResponses(n int) string {
	GinkgoHelper()
	var words []string
	for n > 0 {
		msg, err := w.frontend.Receive()
		Expect(err).NotTo(HaveOccurred(), "after %v", words)
		switch msg := msg.(type) {
		case *pgproto3.ReadyForQuery:
			words = append(words, "Z"+string(msg.TxStatus))
			n--
		case *pgproto3.CommandComplete:
			words = append(words, "C:"+string(msg.CommandTag))
		case *pgproto3.ErrorResponse:
			words = append(words, "E:"+msg.Code)
		case *pgproto3.ParameterStatus:
			words = append(words, "S:"+msg.Name)
		case *pgproto3.DataRow:
			words = append(words, "D:"+string(bytes.Join(msg.Values, []byte(","))))
		case *pgproto3.RowDescription:
			words = append(words, "T")
		case *pgproto3.ParseComplete:
			words = append(words, "1")
		case *pgproto3.BindComplete:
			words = append(words, "2")
		case *pgproto3.NoData:
			words = append(words, "n")
		case *pgproto3.ParameterDescription:
			words = append(words, "t")
		case *pgproto3.PortalSuspended:
			words = append(words, "s")
		case *pgproto3.EmptyQueryResponse:
			words = append(words, "I")
		}
	}
	return strings.Join(words, " ")
}

func (w *wireClient) query(sql string) string {
	GinkgoHelper()
	w.frontend.Send(&pgproto3.Query{String: sql})
	Expect(w.frontend.Flush()).To(Succeed())
	return w.receiveResponses(1)
}

func (w *wireClient) send(messages ...pgproto3.FrontendMessage) {
	GinkgoHelper()
	for _, msg := range messages {
		w.frontend.Send(msg)
	}
	Expect(w.frontend.Flush()).To(Succeed())
}

var _ = Describe("wire protocol", func() {
	var m *member.Member
	var w *wireClient

	BeforeEach(func() {
		m = startPrimary(member.Options{RecordTraffic: true})
		w = dialWire(m)
		Expect(w.receiveResponses(1)).To(ContainSubstring("S:" + group.ParamIncarnation))
		Expect(w.query("CREATE TABLE t (n INTEGER PRIMARY KEY, s TEXT)")).
			To(Equal("S:mulberry.position C:CREATE TABLE ZI"))
	})

	// Guards against a position report after CommandComplete: a relay must hold back the
	// CommandComplete until it knows that the position is confirmed.
	It("reports the position before the CommandComplete of a simple query", func() {
		Expect(w.query("INSERT INTO t VALUES (1, 'a;b')")).To(Equal("S:mulberry.position C:INSERT 0 1 ZI"))
		Expect(w.query("BEGIN; UPDATE t SET s = 'c'")).To(Equal("C:BEGIN C:UPDATE 1 ZT"))
		Expect(w.query("COMMIT")).To(Equal("S:mulberry.position C:COMMIT ZI"))
		Expect(w.query("SELECT n, s FROM t -- ;")).To(Equal("T D:1,c C:SELECT 1 ZI"))
		Expect(w.query("DELETE FROM t WHERE n = 5")).To(Equal("C:DELETE 0 ZI"))
		Expect(w.query(" ; ")).To(Equal("I ZI"))
	})

	// Guards against a multi-statement query whose first statements stay in effect when
	// a later one fails.
	It("runs the statements of a simple query in one transaction", func() {
		Expect(w.query("INSERT INTO t VALUES (1, 'a'); INSERT INTO t VALUES (1, 'b'); SELECT 1")).
			To(Equal("C:INSERT 0 1 E:23505 ZI"))
		Expect(w.query("INSERT INTO t VALUES (1, 'a'); INSERT INTO t VALUES (2, 'b')")).
			To(Equal("C:INSERT 0 1 S:mulberry.position C:INSERT 0 1 ZI"))
	})

	// Guards against the execution of statements in a failed transaction.
	It("ignores commands after an error until the block ends", func() {
		Expect(w.query("BEGIN")).To(Equal("C:BEGIN ZT"))
		Expect(w.query("INSERT INTO t VALUES (1, 'a')")).To(Equal("C:INSERT 0 1 ZT"))
		Expect(w.query("SELECT nonsense FROM t")).To(Equal("E:42703 ZE"))
		Expect(w.query("SELECT 1")).To(Equal("E:25P02 ZE"))
		Expect(w.query("COMMIT")).To(Equal("C:ROLLBACK ZI"))
		Expect(w.query("SELECT count(*) FROM t")).To(Equal("T D:0 C:SELECT 1 ZI"))
	})

	It("returns to a savepoint after an error and replicates the result", func() {
		Expect(w.query("BEGIN; INSERT INTO t VALUES (1, 'a'); SAVEPOINT p; INSERT INTO t VALUES (2, 'b')")).
			To(Equal("C:BEGIN C:INSERT 0 1 C:SAVEPOINT C:INSERT 0 1 ZT"))
		Expect(w.query("INSERT INTO t VALUES (1, 'x')")).To(Equal("E:23505 ZE"))
		Expect(w.query("ROLLBACK TO SAVEPOINT p")).To(Equal("C:ROLLBACK ZT"))
		Expect(w.query("COMMIT")).To(Equal("S:mulberry.position C:COMMIT ZI"))
		replica, err := member.Start(member.Options{Group: "g", Name: "b"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(replica.Close)
		member.Connect([]*member.Member{m, replica})
		expectApplied(replica, group.Position{Index: m.Status().Received})
		Expect(count(connect(replica), "t")).To(Equal(1))
	})

	It("rejects writes in read-only transactions", func() {
		Expect(w.query("START TRANSACTION READ ONLY")).To(Equal("C:START TRANSACTION ZT"))
		Expect(w.query("INSERT INTO t VALUES (1, 'a')")).To(Equal("E:25006 ZE"))
		Expect(w.query("ROLLBACK")).To(Equal("C:ROLLBACK ZI"))
		Expect(w.query("SET default_transaction_read_only = on")).
			To(Equal("S:default_transaction_read_only C:SET ZI"))
		Expect(w.query("INSERT INTO t VALUES (1, 'a')")).To(Equal("E:25006 ZI"))
		Expect(w.query("DISCARD ALL")).To(Equal("S:default_transaction_read_only C:DISCARD ALL ZI"))
		Expect(w.query("SHOW mulberry.token")).To(Equal("T D:a b C:SHOW ZI"))
	})

	// Guards against responses in the wrong order in a pipeline, and against a position
	// report after ReadyForQuery.
	It("responds to a pipeline in order and skips to Sync after an error", func() {
		w.send(
			&pgproto3.Parse{Name: "ins", Query: "INSERT INTO t VALUES ($1, $2)", ParameterOIDs: []uint32{23}},
			&pgproto3.Describe{ObjectType: 'S', Name: "ins"},
			&pgproto3.Bind{PreparedStatement: "ins", Parameters: [][]byte{[]byte("1"), []byte("a")}},
			&pgproto3.Execute{},
			&pgproto3.Bind{PreparedStatement: "ins", Parameters: [][]byte{[]byte("2"), nil}},
			&pgproto3.Execute{},
			&pgproto3.Sync{},
			&pgproto3.Bind{PreparedStatement: "ins", Parameters: [][]byte{[]byte("3"), nil}},
			&pgproto3.Execute{},
			&pgproto3.Bind{PreparedStatement: "none"},
			&pgproto3.Execute{},
			&pgproto3.Sync{},
			&pgproto3.Parse{Query: "SELECT n FROM t ORDER BY n"},
			&pgproto3.Bind{},
			&pgproto3.Describe{ObjectType: 'P'},
			&pgproto3.Execute{MaxRows: 1},
			&pgproto3.Execute{},
			&pgproto3.Sync{},
		)
		Expect(w.receiveResponses(3)).To(Equal("1 t n 2 C:INSERT 0 1 2 C:INSERT 0 1 S:mulberry.position ZI " +
			"2 C:INSERT 0 1 E:26000 ZI 1 2 T D:1 s D:2 C:SELECT 1 ZI"))
	})

	// Guards against an implicit commit that succeeds although the primary was fenced
	// after the statements of the pipeline had run.
	It("fails the implicit commit at Sync on a fenced primary", func() {
		w.send(&pgproto3.Parse{Query: "INSERT INTO t VALUES (1, 'a')"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{})
		for range 3 {
			_, err := w.frontend.Receive()
			Expect(err).NotTo(HaveOccurred())
		}
		mustCall(connectControl(m), group.FenceSQL(2, "x"))
		w.send(&pgproto3.Sync{})
		Expect(w.receiveResponses(1)).To(Equal("E:25006 ZI"))
		Expect(w.query("SELECT count(*) FROM t")).To(Equal("T D:0 C:SELECT 1 ZI"))
	})

	// Guards against a cancel request that has no effect, that cancels the statement of
	// another session, or that waits for the statement to end.
	It("cancels the running statement only", func() {
		w.send(&pgproto3.Query{String: "SELECT sleep_ms(60000)"})
		time.Sleep(100 * time.Millisecond)
		other := connect(m)
		Expect(other.PgConn().CancelRequest(testContext())).To(Succeed())
		Expect(m.ReceivedBytes()[0]).NotTo(BeEmpty())
		conn := connect(m)
		result := make(chan error, 1)
		go func() { _, err := conn.Exec(context.Background(), "SELECT sleep_ms(60000)"); result <- err }()
		time.Sleep(100 * time.Millisecond)
		Expect(conn.PgConn().CancelRequest(testContext())).To(Succeed())
		var err error
		Eventually(result).WithTimeout(maxWait).Should(Receive(&err))
		Expect(sqlState(err)).To(Equal("57014"))
		Expect(w.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		_, err = w.frontend.Receive()
		Expect(err).To(HaveOccurred(), "the statement of another session was cancelled")
	})

	It("copies in and out in text format", func() {
		c := connect(m)
		ctx := testContext()
		tag, err := c.PgConn().CopyFrom(ctx, strings.NewReader("1\ta\\tb\n2\t\\N\n"), "COPY t (n, s) FROM STDIN")
		Expect(err).NotTo(HaveOccurred())
		Expect(tag.String()).To(Equal("COPY 2"))
		var out bytes.Buffer
		_, err = c.PgConn().CopyTo(ctx, &out, "COPY t TO STDOUT")
		Expect(err).NotTo(HaveOccurred())
		Expect(out.String()).To(Equal("1\ta\\tb\n2\t\\N\n"))
		_, err = c.PgConn().CopyFrom(ctx, strings.NewReader("1\n"), "COPY t FROM STDIN")
		Expect(sqlState(err)).To(Equal("22P04"))
		Expect(c.PgConn().TxStatus()).To(Equal(byte('I')))
	})

	// Guards against values that a driver cannot decode, in text and in binary format.
	It("exchanges typed parameters and results with a driver", func() {
		c := connect(m)
		exec(c, "CREATE TABLE v (i BIGINT, f DOUBLE, b BOOLEAN, y BYTEA, s VARCHAR(9))")
		exec(c, "INSERT INTO v VALUES ($1, $2, TRUE, $3, $4)", 42, 1.5, []byte("raw"), "text")
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeSimpleProtocol} {
			var i int64
			var f float64
			var b bool
			var y []byte
			var s string
			Expect(c.QueryRow(testContext(), "SELECT * FROM v WHERE i = $1", mode, 42).Scan(&i, &f, &b, &y, &s)).To(Succeed())
			Expect([]any{i, f, b, s}).To(Equal([]any{int64(42), 1.5, true, "text"}))
		}
		var n int64
		Expect(c.QueryRow(testContext(), "WITH RECURSIVE g(x) AS (VALUES (1) UNION ALL SELECT x+1 FROM g WHERE x < $1) "+
			"SELECT sum(x) FROM g", 10).Scan(&n)).To(Succeed())
		Expect(n).To(BeEquivalentTo(55))
	})

	// Guards against a deadlock of the write lock and the statement slots: a transaction
	// holds the lock between its statements, while the writers that wait for the lock
	// occupy all slots.
	It("lets a transaction continue while others wait for the write lock", func() {
		primary := startPrimary(member.Options{Slots: 1})
		first := connect(primary)
		exec(first, "CREATE TABLE t (n INTEGER)")
		exec(first, "BEGIN")
		exec(first, "INSERT INTO t VALUES (1)")
		done := make(chan error, 3)
		for range 3 {
			c := connect(primary)
			go func() { _, err := c.Exec(testContext(), "INSERT INTO t VALUES (2)"); done <- err }()
		}
		time.Sleep(50 * time.Millisecond)
		Expect(count(first, "t")).To(Equal(1))
		exec(first, "COMMIT")
		for range 3 {
			Eventually(done).WithTimeout(maxWait).Should(Receive(BeNil()))
		}
	})
})

var _ = Describe("injected faults", func() {
	// Guards against a dropped response whose commit did not take effect.
	It("drops the response after the commit took effect", func() {
		m := startPrimary(member.Options{})
		c, reader := connect(m), connect(m)
		exec(c, "CREATE TABLE t (n INTEGER)")
		m.DropResponses(1)
		_, err := c.Exec(testContext(), "INSERT INTO t VALUES (1)")
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(BeAssignableToTypeOf(&pgconn.PgError{}))
		Expect(count(reader, "t")).To(Equal(1))
		exec(reader, "INSERT INTO t VALUES (2)")
	})

	It("holds back responses while paused", func() {
		m := startPrimary(member.Options{})
		c := connectControl(m)
		m.PauseResponses()
		result := make(chan error, 1)
		go func() { _, err := call(c, group.StatusSQL()); result <- err }()
		Consistently(result).WithTimeout(200 * time.Millisecond).ShouldNot(Receive())
		m.ResumeResponses()
		Eventually(result).WithTimeout(maxWait).Should(Receive(BeNil()))
	})

	// Guards against a delay that is missing in one direction or that reorders data.
	It("delays each direction of a connection", func() {
		m := startPrimary(member.Options{NetworkDelay: 30 * time.Millisecond})
		c := connectControl(m)
		start := time.Now()
		mustCall(c, group.StatusSQL())
		Expect(time.Since(start)).To(BeNumerically(">=", 60*time.Millisecond))
	})

	// Guards against a recording that lacks what clients sent.
	It("records what clients send", func() {
		m := startPrimary(member.Options{RecordTraffic: true})
		exec(connect(m), "SELECT 'marker'")
		Expect(bytes.Join(m.ReceivedBytes(), nil)).To(ContainSubstring("marker"))
		Expect(m.StartupParameters()[0]).To(HaveKeyWithValue("user", "app"))
	})
})
