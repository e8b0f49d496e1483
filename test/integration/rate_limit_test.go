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

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/standin/stack"
)

// attempt is one request as observed by its client.
type attempt struct {
	id             int
	sent, received time.Time
	err            error
}

// sendInserts sends one insert after the other, without a pause after an error, and
// switches to the next instance when it cannot connect.
func sendInserts(ctx context.Context, s *stack.Stack, workspace string, entry, first int) []attempt {
	var list []attempt
	var conn *pgconn.PgConn
	defer func() {
		if conn != nil {
			_ = conn.Close(context.Background())
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil || conn.IsClosed() {
			dialCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
			c, err := pgconn.Connect(dialCtx, s.URL(s.Instances[entry%len(s.Instances)], workspace, "g1"))
			cancel()
			if err != nil {
				entry++
				time.Sleep(20 * time.Millisecond)
				continue
			}
			conn = c
		}
		a := attempt{id: first + n, sent: time.Now()}
		_, a.err = exec(context.WithoutCancel(ctx), conn, fmt.Sprintf("INSERT INTO ticket VALUES (%d)", a.id))
		a.received = time.Now()
		list = append(list, a)
	}
	return list
}

// checkCeiling checks the limit burst + rate * t over all windows. A stored row
// proves that its request was admitted between the client's send and receive times,
// so all requests that were both sent and answered within a window were admitted in
// it. Every window can be narrowed to start at the send time of one request and end
// at the receive time of another without losing a request, so only those windows
// are counted. Requests across the edge of a window are not counted in it: the count
// is at most the number admitted, and an excess is a violation.
func checkCeiling(admitted []attempt, rate, burst float64) {
	GinkgoHelper()
	slices.SortFunc(admitted, func(a, b attempt) int { return a.received.Compare(b.received) })
	for _, first := range admitted {
		count := 0
		for _, last := range admitted {
			if last.sent.Before(first.sent) {
				continue
			}
			count++
			window := last.received.Sub(first.sent)
			if limit := burst + rate*window.Seconds(); float64(count) > limit {
				Fail(fmt.Sprintf("%d requests admitted in %s, at most %.1f are allowed", count, window, limit))
			}
		}
	}
}

var _ = Describe("the ceiling of a workspace", func() {
	// Guards against a share of the limit that is used twice: by a resumed
	// instance and by those that took its share over, or by a lender and a
	// borrower.
	It("holds while one instance is killed and another paused and resumed (P7)", func(ctx SpecContext) {
		const (
			rate, burst        = 100, 50
			entries, perEntry  = 4, 24
			pause              = 5 * time.Second
			pauseAfter, settle = time.Second, 3 * time.Second
		)
		s := startStack(ctx, stack.Options{Instances: entries, Workspaces: []bundle.Workspace{
			{Name: "utileria", Rate: rate, Burst: burst}, {Name: "taller", Rate: 5000, Burst: 1000},
		}})
		observer := connect(ctx, s.URL(s.Instances[0], "taller", "g1"))
		mustExec(ctx, observer, "CREATE TABLE ticket (id int)")

		driveCtx, stop := context.WithCancel(ctx)
		defer stop()
		var done sync.WaitGroup
		lists := make([][]attempt, entries*perEntry)
		for i := range lists {
			done.Go(func() { lists[i] = sendInserts(driveCtx, s, "utileria", i, (i+1)*1_000_000) })
		}
		time.Sleep(pauseAfter)
		s.Instances[1].Kill()
		Expect(s.Instances[2].Pause()).To(Succeed())
		time.Sleep(pause)
		Expect(s.Instances[2].Resume()).To(Succeed())
		time.Sleep(settle)
		stop()
		done.Wait()

		present := map[int]bool{}
		for _, row := range mustExec(ctx, observer, "SELECT id FROM ticket") {
			id, err := strconv.Atoi(row[0])
			Expect(err).NotTo(HaveOccurred())
			Expect(present[id]).To(BeFalse(), "row %d is stored twice", id)
			present[id] = true
		}
		var admitted []attempt
		overRate := 0
		for _, a := range slices.Concat(lists...) {
			if present[a.id] {
				admitted = append(admitted, a)
			} else {
				Expect(outcome(a.err)).NotTo(Equal("acknowledged"), "row %d", a.id)
			}
			if sqlState(a.err) == "53400" {
				overRate++
			}
		}
		GinkgoWriter.Printf("admitted %d, rejected over rate %d\n", len(admitted), overRate)
		Expect(admitted).To(HaveLen(len(present)))
		Expect(overRate).To(BeNumerically(">", 0), "the demand must exceed the rate")
		checkCeiling(admitted, rate, burst)
	}, SpecTimeout(2*time.Minute))
})
