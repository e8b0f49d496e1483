// Package integration tests the requirements of docs/design.md with real processes
// and injected faults. Specs name their requirements in parentheses, such as (P2).
package integration_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/standin/stack"
)

func TestIntegration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "integration")
}

// startTimeout limits the start of a deployment. It only ends a test that hangs.
const startTimeout = 60 * time.Second

var binaries string

var _ = SynchronizedBeforeSuite(func(ctx SpecContext) []byte {
	directory := GinkgoT().TempDir()
	Expect(stack.Build(ctx, directory)).To(Succeed())
	return []byte(directory)
}, func(directory []byte) {
	binaries = string(directory)
})

// startStack starts a deployment that runs until the end of the spec.
func startStack(ctx context.Context, opts stack.Options) *stack.Stack {
	GinkgoHelper()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	opts.Binaries, opts.Directory = binaries, GinkgoT().TempDir()
	if opts.Log == nil {
		opts.Log = GinkgoWriter
	}
	s, err := stack.Start(startCtx, opts)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	Expect(s.AwaitLeases(startCtx)).To(Succeed())
	return s
}

// connect opens a connection that is closed at the end of the spec.
func connect(ctx context.Context, url string) *pgconn.PgConn {
	GinkgoHelper()
	conn, err := pgconn.Connect(ctx, url)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func(ctx SpecContext) { _ = conn.Close(ctx) })
	return conn
}

// exec runs SQL with the simple query protocol, in which each call is one message,
// and returns the rows of the last result that has any.
func exec(ctx context.Context, conn *pgconn.PgConn, sql string) ([][]string, error) {
	results, err := conn.Exec(ctx, sql).ReadAll()
	var rows [][]string
	for _, r := range results {
		if len(r.FieldDescriptions) == 0 {
			continue
		}
		rows = rows[:0]
		for _, values := range r.Rows {
			row := make([]string, len(values))
			for i, v := range values {
				row[i] = string(v)
			}
			rows = append(rows, row)
		}
	}
	return rows, err
}

func mustExec(ctx context.Context, conn *pgconn.PgConn, sql string) [][]string {
	GinkgoHelper()
	rows, err := exec(ctx, conn, sql)
	Expect(err).NotTo(HaveOccurred())
	return rows
}
