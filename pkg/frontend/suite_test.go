package frontend

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/xdg-go/scram"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	"github.com/mulberrysill/mulberrysill/standin/member"
)

func TestFrontend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "frontend")
}

const password = "correct-horse"

// testKey returns a key with the verifier of the password.
func testKey(id string) bundle.Key {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		panic(err)
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef" + id, Iters: 4096})
	if err != nil {
		panic(err)
	}
	encode := base64.StdEncoding.EncodeToString
	return bundle.Key{ID: id, Salt: encode([]byte(c.Salt)), Iterations: c.Iters, StoredKey: encode(c.StoredKey), ServerKey: encode(c.ServerKey)}
}

func testSpec() bundle.Spec {
	return bundle.Spec{
		Version: 1,
		Workspaces: []bundle.Workspace{
			{Name: "loja", Rate: 1000, Burst: 1000, Keys: []bundle.Key{testKey("k1"), testKey("k2")}},
			{Name: "oficina", Rate: 1000, Burst: 1000, Keys: []bundle.Key{testKey("k1")}},
		},
		Routes: []bundle.Route{
			{Name: "orders", Group: "g", Database: "orders", Access: bundle.ReadWrite, Workspaces: []string{"loja", "oficina"}},
			{Name: "reports", Group: "g", Database: "orders", Access: bundle.ReadOnly, Workspaces: []string{"loja"}},
			{Name: "catalog", Group: "g", Database: "orders", Access: bundle.ReadWrite, Open: true, Rate: 100, Burst: 100},
		},
		Zones:          []bundle.Zone{{Name: "a", InService: true}},
		BackendServers: []bundle.BackendServer{{Name: "s", Zone: "a", InService: true}},
		Groups:         []bundle.Group{{Name: "g", Members: []bundle.Member{{Name: "m1", Server: "s", Address: "127.0.0.1:1", Connections: 20, Slots: 3}}}},
	}
}

// testPolicy admits all requests unless refusal is set.
type testPolicy struct {
	bundle   atomic.Pointer[bundle.Compiled]
	group    Group
	refusal  atomic.Pointer[verdict.Error]
	admitted atomic.Int64
}

func (p *testPolicy) Bundle() *bundle.Compiled { return p.bundle.Load() }
func (p *testPolicy) CheckServing() error      { return nil }
func (p *testPolicy) Admit(context.Context, string) error {
	if e := p.refusal.Load(); e != nil {
		return e
	}
	p.admitted.Add(1)
	return nil
}
func (p *testPolicy) Group(string) (Group, bool) { return p.group, p.group != nil }

func (p *testPolicy) apply(change func(*bundle.Spec)) {
	GinkgoHelper()
	spec := testSpec()
	if change != nil {
		change(&spec)
	}
	b, err := bundle.Compile(spec, "digest")
	Expect(err).NotTo(HaveOccurred())
	p.bundle.Store(b)
}

// testConn is a pooled connection of testGroup.
type testConn struct {
	g                        *testGroup
	conn                     net.Conn
	fe                       *pgproto3.Frontend
	member                   string
	address                  string
	lastWorkspace, workspace string
	prepared                 map[string]struct{}
	pid                      uint32
	secret                   []byte
	params                   map[string]string
}

func (c *testConn) Frontend() *pgproto3.Frontend        { return c.fe }
func (c *testConn) NetConn() net.Conn                   { return c.conn }
func (c *testConn) Member() string                      { return c.member }
func (c *testConn) LastWorkspace() string               { return c.lastWorkspace }
func (c *testConn) SessionState() map[string]struct{}   { return c.prepared }
func (c *testConn) CancelKey() (string, uint32, []byte) { return c.address, c.pid, c.secret }
func (c *testConn) Parameters() map[string]string       { return c.params }
func (c *testConn) Release(reusable bool) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	c.g.attached--
	c.lastWorkspace = c.workspace
	if !reusable {
		c.g.closed++
		c.conn.Close()
		return
	}
	c.g.idle[c.address] = append(c.g.idle[c.address], c)
}

// testGroup is a connection pool for members. Reads use the last member, and writes
// the first one.
type testGroup struct {
	addresses []string
	confirm   func(context.Context, group.Position) error
	floor     func() group.Position

	mu       sync.Mutex
	idle     map[string][]*testConn
	attached int
	closed   int
	requests []Request
	failing  error
	// closedConns is the number of connections that Acquire still has to close
	// before it returns them.
	closedConns int
}

func (g *testGroup) Acquire(_ context.Context, r Request) (Conn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests = append(g.requests, r)
	if g.failing != nil {
		return nil, g.failing
	}
	address := g.addresses[0]
	if r.Read {
		address = g.addresses[len(g.addresses)-1]
	}
	var c *testConn
	if n := len(g.idle[address]); n > 0 {
		c = g.idle[address][n-1]
		g.idle[address] = g.idle[address][:n-1]
	} else {
		var err error
		if c, err = g.dial(address, r.Database); err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.NoPrimary, "dial").WithCause(err)
		}
	}
	c.workspace = r.Workspace
	g.attached++
	if g.closedConns > 0 {
		g.closedConns--
		c.conn.Close()
	}
	return c, nil
}

func (g *testGroup) dial(address, database string) (*testConn, error) {
	config, err := pgconn.ParseConfig(fmt.Sprintf("postgres://proxy@%s/%s?sslmode=disable", address, database))
	if err != nil {
		return nil, err
	}
	pc, err := pgconn.ConnectConfig(context.Background(), config)
	if err != nil {
		return nil, err
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, err
	}
	return &testConn{g: g, conn: h.Conn, fe: pgproto3.NewFrontend(h.Conn, h.Conn), address: address, member: address,
		prepared: map[string]struct{}{}, pid: h.PID, secret: h.SecretKey, params: h.ParameterStatuses}, nil
}

func (g *testGroup) Confirm(ctx context.Context, p group.Position) error {
	if g.confirm != nil {
		return g.confirm(ctx, p)
	}
	return nil
}

func (g *testGroup) SampleFloor(context.Context) (group.Position, error) {
	if g.floor != nil {
		return g.floor(), nil
	}
	return group.Position{Term: 1, Index: 1}, nil
}

func (g *testGroup) counts() (attached, closed int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attached, g.closed
}

func (g *testGroup) lastRequest() Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.requests[len(g.requests)-1]
}

// testTokens forms tokens by concatenation, without a signature.
type testTokens struct{}

func (testTokens) Sign(g, w string, p group.Position) string { return g + "/" + w + "/" + p.String() }
func (testTokens) Verify(token, g, w string) (group.Position, error) {
	rest, ok := strings.CutPrefix(token, g+"/"+w+"/")
	if !ok {
		return group.Position{}, fmt.Errorf("forged")
	}
	return group.ParsePosition(rest)
}

// stack is a frontend with a group of members behind it.
type stack struct {
	members []*member.Member
	group   *testGroup
	policy  *testPolicy
	server  *Server
	address string
}

func startMembers(count int) []*member.Member {
	GinkgoHelper()
	members, err := member.StartGroup("m", count, member.Options{Group: "g", ConnectCost: -1, RecordTraffic: true})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { member.CloseAll(members) })
	return members
}

func startStack(change func(*Config)) *stack {
	GinkgoHelper()
	members := startMembers(1)
	st := startFrontend([]string{members[0].Addr()}, change)
	st.members = members
	st.exec(st.connect("loja", "orders"), "CREATE TABLE t (id INTEGER PRIMARY KEY, v TEXT)")
	return st
}

func startFrontend(addresses []string, change func(*Config)) *stack {
	GinkgoHelper()
	st := &stack{group: &testGroup{addresses: addresses, idle: map[string][]*testConn{}}}
	st.policy = &testPolicy{group: st.group}
	st.policy.apply(nil)
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	config := Config{Instance: "i1", Zone: "a", Policy: st.policy, Tokens: testTokens{}, Log: silent, MockSecret: []byte("mock")}
	if change != nil {
		change(&config)
	}
	server, err := New(config)
	Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	st.server, st.address = server, listener.Addr().String()
	go server.Serve(listener)
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = server.Drain(ctx)
	})
	return st
}

func testContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	DeferCleanup(cancel)
	return ctx
}

func (st *stack) url(user, database, extra string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable%s", user, password, st.address, database, extra)
}

func (st *stack) tryConnect(url string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(url)
	Expect(err).NotTo(HaveOccurred())
	conn, err := pgx.ConnectConfig(testContext(), config)
	if err == nil {
		DeferCleanup(func() { _ = conn.Close(context.Background()) })
	}
	return conn, err
}

func (st *stack) connect(user, database string) *pgx.Conn {
	GinkgoHelper()
	conn, err := st.tryConnect(st.url(user, database, ""))
	Expect(err).NotTo(HaveOccurred())
	return conn
}

func (st *stack) exec(conn *pgx.Conn, sql string, args ...any) {
	GinkgoHelper()
	_, err := conn.Exec(testContext(), sql, args...)
	Expect(err).NotTo(HaveOccurred())
}

// awaitRelease waits until no server connection is attached.
func (st *stack) awaitRelease() {
	GinkgoHelper()
	Eventually(func() int { n, _ := st.group.counts(); return n }).WithTimeout(5 * time.Second).Should(BeZero())
}

// pgError returns the server's error in err.
func pgError(err error) *pgconn.PgError {
	GinkgoHelper()
	var e *pgconn.PgError
	Expect(err).To(HaveOccurred())
	Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
	return e
}

func queryInt(conn *pgx.Conn, sql string, args ...any) int {
	GinkgoHelper()
	var n int
	Expect(conn.QueryRow(testContext(), sql, args...).Scan(&n)).To(Succeed())
	return n
}
