package integration_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/standin/stack"
)

// sessionEnd is what a client observed of a shutdown.
type sessionEnd struct {
	step      string // the request that failed
	err       error
	committed []int
}

// transact runs transactions of four requests until a request fails.
func transact(ctx context.Context, conn *pgconn.PgConn, first int) sessionEnd {
	var end sessionEnd
	for id := first; ; id++ {
		for _, step := range []string{"BEGIN", fmt.Sprintf("INSERT INTO sale VALUES (%d)", id), "SELECT sleep_ms(20)", "COMMIT"} {
			if _, err := exec(ctx, conn, step); err != nil {
				end.step, end.err = step, err
				return end
			}
		}
		end.committed = append(end.committed, id)
	}
}

var _ = Describe("a graceful shutdown", func() {
	// Guards against an instance that exits while requests are running, or that
	// rejects a request with an error that leaves its outcome unclear.
	It("interrupts no request and exits with 0 (P13, P10)", func(ctx SpecContext) {
		const clients = 6
		s := startStack(ctx, stack.Options{Instances: 3})
		leaving := s.Instances[2]
		observer := connect(ctx, s.URL(s.Instances[0], "utileria", "g1"))
		mustExec(ctx, observer, "CREATE TABLE sale (id int)")

		idle := connect(ctx, s.URL(leaving, "utileria", "g1"))
		mustExec(ctx, idle, "SELECT 1")
		slow := connect(ctx, s.URL(leaving, "utileria", "g1-ro"))
		ends := make([]sessionEnd, clients)
		var done sync.WaitGroup
		for i := range ends {
			conn := connect(ctx, s.URL(leaving, "utileria", "g1"))
			done.Go(func() { ends[i] = transact(ctx, conn, (i+1)*1_000_000) })
		}
		var slowErr error
		slowStarted := time.Now()
		done.Go(func() { _, slowErr = exec(ctx, slow, "SELECT sleep_ms(2000)") })
		time.Sleep(500 * time.Millisecond)
		Expect(leaving.Terminate()).To(Succeed())

		idleErr := awaitSessionError(ctx, idle, time.Now().Add(5*time.Second))
		Expect(sqlState(idleErr)).To(Equal("57P01"), "%v", idleErr)
		Expect(outcome(idleErr)).To(Equal("not run"))
		done.Wait()
		Expect(slowErr).NotTo(HaveOccurred())
		Expect(time.Since(slowStarted)).To(BeNumerically(">=", 2*time.Second))
		Eventually(leaving.Done()).WithTimeout(30 * time.Second).Should(BeClosed())
		Expect(leaving.ExitCode()).To(Equal(0))

		total := 0
		for _, end := range ends {
			Expect(end.step).To(Equal("BEGIN"), "a transaction was interrupted: %v", end.err)
			Expect(outcome(end.err)).To(Equal("not run"), "%v", end.err)
			Expect(sqlState(end.err)).To(Equal("57P01"), "%v", end.err)
			Expect(end.committed).NotTo(BeEmpty())
			total += len(end.committed)
		}
		Expect(mustExec(ctx, observer, "SELECT count(*), count(DISTINCT id) FROM sale")).
			To(Equal([][]string{{fmt.Sprint(total), fmt.Sprint(total)}}))
	}, SpecTimeout(time.Minute))
})
