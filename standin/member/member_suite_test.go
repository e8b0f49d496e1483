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

const patience = 5 * time.Second

// startOne starts a lone primary.
func startOne(opts member.Options) *member.Member {
	opts.Group, opts.Name, opts.Role = "g", "a", group.Primary
	opts.ConnectCost = -1
	m, err := member.Start(opts)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(m.Close)
	return m
}

// startThree starts a group of three.
func startThree(opts member.Options) []*member.Member {
	opts.Group = "g"
	opts.ConnectCost = -1
	list, err := member.StartGroup("m", 3, opts)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { member.CloseAll(list) })
	return list
}

func testContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 4*patience)
	DeferCleanup(cancel)
	return ctx
}

func connect(m *member.Member) *pgx.Conn {
	conn, err := pgx.Connect(testContext(), "postgres://app@"+m.Addr()+"/inventario?sslmode=disable")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// control opens a control connection.
func control(m *member.Member) *pgconn.PgConn {
	config, err := pgconn.ParseConfig("postgres://app@" + m.Addr() + "/inventario?sslmode=disable")
	Expect(err).NotTo(HaveOccurred())
	config.RuntimeParams[group.ParamControl] = "on"
	conn, err := pgconn.ConnectConfig(testContext(), config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// call makes a control call and returns its status row.
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

// code returns the SQLSTATE of an error.
func code(err error) string {
	var pg *pgconn.PgError
	Expect(err).To(HaveOccurred())
	Expect(err).To(BeAssignableToTypeOf(pg), "%v", err)
	return err.(*pgconn.PgError).Code
}

func position(conn *pgx.Conn) group.Position {
	GinkgoHelper()
	p, err := group.ParsePosition(conn.PgConn().ParameterStatus(group.ParamPosition))
	Expect(err).NotTo(HaveOccurred())
	return p
}

func caughtUp(m *member.Member, p group.Position) {
	GinkgoHelper()
	Eventually(func() uint64 { return m.Status().Applied }).WithTimeout(patience).Should(BeNumerically(">=", p.Index))
}
