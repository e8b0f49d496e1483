package integration_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/standin/stack"
)

// checkoutAttempt is one attempt to insert a row with a unique ID.
type checkoutAttempt struct {
	id      int
	verdict string // "acknowledged", "not run" or "may have run"
}

// writer inserts rows one after the other through one instance and reconnects when
// its connection ends. It attempts each row only once.
type writer struct {
	url   string
	first int
	log   []checkoutAttempt
}

func (w *writer) run(ctx context.Context) {
	var conn *pgconn.PgConn
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil || conn.IsClosed() {
			dialCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
			c, err := pgconn.Connect(dialCtx, w.url)
			cancel()
			if err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			conn = c
		}
		id := w.first + n
		_, err := exec(context.WithoutCancel(ctx), conn, fmt.Sprintf("INSERT INTO checkout VALUES (%d)", id))
		w.log = append(w.log, checkoutAttempt{id, outcome(err)})
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

// outcome reads the verdict from an error, as a client does.
func outcome(err error) string {
	switch {
	case err == nil:
		return "acknowledged"
	case strings.Contains(err.Error(), "(not run)"):
		return "not run"
	default:
		return "may have run"
	}
}

// runWriters writes through every instance while act runs, and returns all attempts.
func runWriters(ctx context.Context, s *stack.Stack, workspace, route string, act func()) []checkoutAttempt {
	GinkgoHelper()
	writeCtx, stop := context.WithCancel(ctx)
	var done sync.WaitGroup
	var writers []*writer
	for i, e := range s.Instances {
		for j := range 2 {
			w := &writer{url: s.URL(e, workspace, route), first: (2*i + j + 1) * 1_000_000}
			writers = append(writers, w)
			done.Go(func() { w.run(writeCtx) })
		}
	}
	act()
	stop()
	done.Wait()
	var all []checkoutAttempt
	for _, w := range writers {
		all = append(all, w.log...)
	}
	return all
}

// checkWrites compares the verdicts that clients received with the rows of the
// primary: every acknowledged row exists once, and no row that was "not run" exists.
func checkWrites(ctx context.Context, s *stack.Stack, workspace, route string, attempts []checkoutAttempt) {
	GinkgoHelper()
	conn := connect(ctx, s.URL(s.Instances[len(s.Instances)-1], workspace, route))
	var rows [][]string
	Eventually(func() (err error) {
		rows, err = exec(ctx, conn, "SELECT id, count(*) FROM checkout GROUP BY id")
		return err
	}).WithTimeout(15 * time.Second).Should(Succeed())
	count := map[int]string{}
	for _, r := range rows {
		id, err := strconv.Atoi(r[0])
		Expect(err).NotTo(HaveOccurred())
		count[id] = r[1]
	}
	tally := map[string]int{}
	for _, a := range attempts {
		tally[a.verdict]++
		switch a.verdict {
		case "acknowledged":
			Expect(count[a.id]).To(Equal("1"), "acknowledged row %d", a.id)
		case "not run":
			Expect(count).NotTo(HaveKey(a.id), "row %d was reported as not run", a.id)
		default:
			Expect(count[a.id]).To(BeElementOf("", "1"), "row %d may have run", a.id)
		}
	}
	GinkgoWriter.Printf("attempts: %v\n", tally)
	Expect(tally["acknowledged"]).To(BeNumerically(">", 0))
}

// primaryOf returns the name of the group's primary as an instance knows it.
func primaryOf(ctx context.Context, s *stack.Stack, e *stack.Instance, group string) string {
	status, err := s.Status(ctx, e)
	if err != nil {
		return ""
	}
	for _, g := range status.Groups {
		if g.Group == group {
			return g.Primary
		}
	}
	return ""
}

// awaitWrites waits until a write through the instance is acknowledged.
func awaitWrites(ctx context.Context, s *stack.Stack, e *stack.Instance, id int) {
	GinkgoHelper()
	Eventually(func() error {
		conn, err := pgconn.Connect(ctx, s.URL(e, "utileria", "g1"))
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close(ctx) }()
		_, err = exec(ctx, conn, fmt.Sprintf("INSERT INTO probe VALUES (%d)", id))
		return err
	}).WithTimeout(10 * time.Second).WithPolling(20 * time.Millisecond).Should(Succeed())
}

var _ = Describe("failover", func() {
	var s *stack.Stack

	BeforeEach(func(ctx SpecContext) {
		s = startStack(ctx, stack.Options{Instances: 3, ApplyLag: 50 * time.Millisecond})
		conn := connect(ctx, s.URL(s.Instances[0], "utileria", "g1"))
		mustExec(ctx, conn, "CREATE TABLE checkout (id int primary key)")
		mustExec(ctx, conn, "CREATE TABLE probe (id int)")
	})

	// changePrimary injects a fault and waits until every instance knows another
	// member as primary and executes writes.
	changePrimary := func(ctx context.Context, fault func()) {
		GinkgoHelper()
		time.Sleep(300 * time.Millisecond)
		fault()
		for i, e := range s.Instances {
			Eventually(func() string { return primaryOf(ctx, s, e, "g1") }).WithTimeout(10 * time.Second).
				ShouldNot(BeElementOf("", "g1-0"))
			awaitWrites(ctx, s, e, i)
		}
	}

	It("keeps acknowledged writes when the primary is killed (P2, P10, P11)", func(ctx SpecContext) {
		attempts := runWriters(ctx, s, "utileria", "g1", func() {
			changePrimary(ctx, func() { s.Members["g1-0"].Kill() })
		})
		checkWrites(ctx, s, "utileria", "g1", attempts)
	}, SpecTimeout(2*time.Minute))

	It("never acknowledges through a paused primary that is resumed after its replacement (P2)", func(ctx SpecContext) {
		attempts := runWriters(ctx, s, "utileria", "g1", func() {
			changePrimary(ctx, func() { Expect(s.Members["g1-0"].Pause()).To(Succeed()) })
			Expect(s.Members["g1-0"].Resume()).To(Succeed())
			time.Sleep(500 * time.Millisecond)
		})
		checkWrites(ctx, s, "utileria", "g1", attempts)
	}, SpecTimeout(2*time.Minute))

	It("replaces a primary that is cut off from its group although instances can reach it (P2)", func(ctx SpecContext) {
		attempts := runWriters(ctx, s, "utileria", "g1", func() {
			changePrimary(ctx, func() {
				for _, m := range s.Members {
					for name, link := range m.ReplicationLinks {
						if m.Name == "g1-0" || name == "g1-0" {
							Expect(link.Freeze()).To(Succeed())
						}
					}
				}
			})
			for _, m := range s.Members {
				for _, link := range m.ReplicationLinks {
					link.Restore()
				}
			}
			time.Sleep(500 * time.Millisecond)
		})
		checkWrites(ctx, s, "utileria", "g1", attempts)
	}, SpecTimeout(2*time.Minute))

	It("replaces a primary that instances cannot reach (P2)", func(ctx SpecContext) {
		attempts := runWriters(ctx, s, "utileria", "g1", func() {
			changePrimary(ctx, func() { Expect(s.Members["g1-0"].ClientLink.Freeze()).To(Succeed()) })
			s.Members["g1-0"].ClientLink.Restore()
			time.Sleep(500 * time.Millisecond)
		})
		checkWrites(ctx, s, "utileria", "g1", attempts)
	}, SpecTimeout(2*time.Minute))
})
