package integration_test

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/standin/stack"
)

var _ = Describe("lost responses", Ordered, func() {
	var s *stack.Stack

	BeforeAll(func(ctx SpecContext) {
		s = startStack(ctx, stack.Options{Instances: 2})
		conn := connect(ctx, s.URL(s.Instances[0], "utileria", "g1"))
		// Without a primary key, a write that runs twice leaves two rows.
		mustExec(ctx, conn, "CREATE TABLE payment (id int)")
	})

	rowCount := func(ctx context.Context, where string) string {
		GinkgoHelper()
		conn := connect(ctx, s.URL(s.Instances[0], "utileria", "g1"))
		return mustExec(ctx, conn, "SELECT count(*) FROM payment WHERE "+where)[0][0]
	}

	forms := []struct {
		name string
		run  func(ctx context.Context, conn *pgconn.PgConn, id int) error
	}{
		{"an implicit transaction", func(ctx context.Context, conn *pgconn.PgConn, id int) error {
			_, err := exec(ctx, conn, fmt.Sprintf("INSERT INTO payment VALUES (%d)", id))
			return err
		}},
		{"an explicit transaction", func(ctx context.Context, conn *pgconn.PgConn, id int) error {
			mustExec(ctx, conn, "BEGIN")
			mustExec(ctx, conn, fmt.Sprintf("INSERT INTO payment VALUES (%d)", id))
			_, err := exec(ctx, conn, "COMMIT")
			return err
		}},
		{"the extended protocol", func(ctx context.Context, conn *pgconn.PgConn, id int) error {
			return conn.ExecParams(ctx, "INSERT INTO payment VALUES ($1)", [][]byte{fmt.Append(nil, id)}, nil, nil, nil).Read().Err
		}},
	}
	for i, form := range forms {
		// Guards against a retry of a commit whose response was lost, and against
		// reporting it as "not run" although it took effect.
		It("reports the correct verdict for a commit whose response is lost in "+form.name+" (P10, P11)", func(ctx SpecContext) {
			conn := connect(ctx, s.URL(s.Instances[0], "utileria", "g1"))
			Expect(s.Members["g1-0"].Control(ctx, "lose?count=1")).To(Succeed())
			err := form.run(ctx, conn, i)
			Expect(outcome(err)).To(BeElementOf("acknowledged", "may have run"))
			if err != nil {
				Expect(err.Error()).To(ContainSubstring("may have run"))
			}
			Expect(rowCount(ctx, fmt.Sprintf("id = %d", i))).To(Equal("1"), "the commit whose response was lost took effect exactly once")
		}, SpecTimeout(time.Minute))
	}

	// Guards against transactions that outlive their instance: a lock that is
	// never released, or a partial checkout.
	It("leaves nothing of a transaction whose instance is killed (P11)", func(ctx SpecContext) {
		conn := connect(ctx, s.URL(s.Instances[1], "utileria", "g1"))
		mustExec(ctx, conn, "BEGIN")
		mustExec(ctx, conn, "INSERT INTO payment VALUES (100)")
		mustExec(ctx, conn, "INSERT INTO payment VALUES (101)")
		s.Instances[1].Kill()
		_, err := exec(ctx, conn, "COMMIT")
		Expect(err).To(HaveOccurred())
		// Succeeds only if the member has released the write lock of the open
		// transaction.
		other := connect(ctx, s.URL(s.Instances[0], "utileria", "g1"))
		mustExec(ctx, other, "INSERT INTO payment VALUES (102)")
		Expect(rowCount(ctx, "id IN (100, 101)")).To(Equal("0"))
		Expect(rowCount(ctx, "id = 102")).To(Equal("1"))
	}, SpecTimeout(time.Minute))
})
