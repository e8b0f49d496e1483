package member_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/standin/member"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

// maxWait is the maximum wait for an expected state.
const maxWait = 5 * time.Second

// startPrimary starts a primary that has no peers.
func startPrimary(opts member.Options) *member.Member {
	opts.Group, opts.Name, opts.Role = "g", "a", group.Primary
	opts.ConnectCost = -1
	m, err := member.Start(opts)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(m.Close)
	return m
}

// startGroupOfThree starts a group of a primary and two replicas.
func startGroupOfThree(opts member.Options) []*member.Member {
	opts.Group = "g"
	opts.ConnectCost = -1
	members, err := member.StartGroup("m", 3, opts)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { member.CloseAll(members) })
	return members
}

func testContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 4*maxWait)
	DeferCleanup(cancel)
	return ctx
}

// connect opens a client connection.
func connect(m *member.Member) *pgx.Conn {
	conn, err := pgx.Connect(testContext(), "postgres://app@"+m.Addr()+"/inventario?sslmode=disable")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// connectControl opens a control connection.
func connectControl(m *member.Member) *pgconn.PgConn {
	config, err := pgconn.ParseConfig("postgres://app@" + m.Addr() + "/inventario?sslmode=disable")
	Expect(err).NotTo(HaveOccurred())
	config.RuntimeParams[group.ParamControl] = "on"
	conn, err := pgconn.ConnectConfig(testContext(), config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// call executes a control call and returns its status row.
func call(conn *pgconn.PgConn, sql string) (group.Status, error) {
	result := conn.ExecParams(testContext(), sql, nil, nil, nil, nil).Read()
	if result.Err != nil {
		return group.Status{}, result.Err
	}
	return group.ParseStatus(result.Rows[0])
}

func mustCall(conn *pgconn.PgConn, sql string) group.Status {
	GinkgoHelper()
	s, err := call(conn, sql)
	Expect(err).NotTo(HaveOccurred())
	return s
}

func exec(conn *pgx.Conn, sql string, args ...any) pgconn.CommandTag {
	GinkgoHelper()
	tag, err := conn.Exec(testContext(), sql, args...)
	Expect(err).NotTo(HaveOccurred())
	return tag
}

func count(conn *pgx.Conn, table string) int {
	GinkgoHelper()
	var n int
	Expect(conn.QueryRow(testContext(), "SELECT count(*) FROM "+table).Scan(&n)).To(Succeed())
	return n
}

// sqlState returns the SQLSTATE of an error, which must be a server error.
func sqlState(err error) string {
	var pg *pgconn.PgError
	Expect(err).To(HaveOccurred())
	Expect(err).To(BeAssignableToTypeOf(pg), "%v", err)
	return err.(*pgconn.PgError).Code
}

// position returns the log position that the server last reported on the connection.
func position(conn *pgx.Conn) group.Position {
	GinkgoHelper()
	p, err := group.ParsePosition(conn.PgConn().ParameterStatus(group.ParamPosition))
	Expect(err).NotTo(HaveOccurred())
	return p
}

// expectApplied waits until the member has applied the log up to the position.
func expectApplied(m *member.Member, p group.Position) {
	GinkgoHelper()
	Eventually(func() uint64 { return m.Status().Applied }).WithTimeout(maxWait).Should(BeNumerically(">=", p.Index))
}
