package integration_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/standin/stack"
)

// removalTimeout is the "few seconds" within which a member out of service must no
// longer receive statements (P8, P12).
const removalTimeout = 3 * time.Second

// clientResults counts the requests and errors of background clients.
type clientResults struct {
	mu             sync.Mutex
	reads, writes  int
	readErrors     []error
	writeErrors    []error
	connectFailure []error
}

// readersPerInstance exceeds the slots of one member, so that reads need both replicas.
const readersPerInstance = 8

// runClients runs readers and a writer on each instance until the returned function
// is called.
func runClients(ctx context.Context, s *stack.Stack, entries ...*stack.Instance) func() *clientResults {
	runCtx, cancel := context.WithCancel(ctx)
	result := &clientResults{}
	var done sync.WaitGroup
	run := func(e *stack.Instance, route, sql string, count *int, failed *[]error) {
		done.Go(func() {
			var conn *pgconn.PgConn
			for runCtx.Err() == nil {
				var err error
				if conn == nil || conn.IsClosed() {
					if conn, err = pgconn.Connect(ctx, s.URL(e, "utileria", route)); err != nil {
						result.mu.Lock()
						result.connectFailure = append(result.connectFailure, err)
						result.mu.Unlock()
						time.Sleep(20 * time.Millisecond)
						continue
					}
				}
				_, err = exec(ctx, conn, sql)
				result.mu.Lock()
				*count++
				if err != nil {
					*failed = append(*failed, err)
				}
				result.mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
			if conn != nil {
				_ = conn.Close(ctx)
			}
		})
	}
	for _, e := range entries {
		for range readersPerInstance {
			run(e, "g1-ro", "SELECT sleep_ms(5)", &result.reads, &result.readErrors)
		}
		run(e, "g1", "INSERT INTO visit VALUES (1)", &result.writes, &result.writeErrors)
	}
	return func() *clientResults {
		cancel()
		done.Wait()
		return result
	}
}

var _ = Describe("taking members out of service", Ordered, func() {
	var s *stack.Stack
	// The members are in the first three zones. The clients use the instance in
	// the fourth zone, which stays in service.
	var outside *stack.Instance

	BeforeAll(func(ctx SpecContext) {
		s = startStack(ctx, stack.Options{Instances: 4})
		outside = s.Instances[3]
		conn := connect(ctx, s.URL(outside, "utileria", "g1"))
		mustExec(ctx, conn, "CREATE TABLE probe (id int)")
		mustExec(ctx, conn, "CREATE TABLE visit (id int)")
	})

	publish := func(ctx context.Context, change func(*bundle.Spec)) time.Time {
		GinkgoHelper()
		_, err := s.Publish(ctx, change)
		Expect(err).NotTo(HaveOccurred())
		return time.Now()
	}
	setZone := func(name string, inService bool) func(*bundle.Spec) {
		return func(spec *bundle.Spec) {
			i := slices.IndexFunc(spec.Zones, func(z bundle.Zone) bool { return z.Name == name })
			spec.Zones[i].InService = inService
		}
	}
	setServer := func(name string, inService bool) func(*bundle.Spec) {
		return func(spec *bundle.Spec) {
			i := slices.IndexFunc(spec.BackendServers, func(b bundle.BackendServer) bool { return b.Name == name })
			spec.BackendServers[i].InService = inService
		}
	}
	statements := func(ctx context.Context, member string) int {
		GinkgoHelper()
		n, err := s.Members[member].Statements(ctx)
		Expect(err).NotTo(HaveOccurred())
		return n
	}
	awaitWork := func(ctx context.Context, member string) {
		GinkgoHelper()
		before := statements(ctx, member)
		Eventually(func() int { return statements(ctx, member) }).WithTimeout(15*time.Second).
			Should(BeNumerically(">", before), "work for %s", member)
	}

	// outAndBack takes a member out of service and back while clients run.
	outAndBack := func(ctx context.Context, member string, out, back func(*bundle.Spec)) {
		GinkgoHelper()
		stop := runClients(ctx, s, outside)
		awaitWork(ctx, member)
		published := publish(ctx, out)
		time.Sleep(time.Until(published.Add(removalTimeout)))
		before := statements(ctx, member)
		time.Sleep(time.Second)
		Expect(statements(ctx, member)).To(Equal(before), "statements executed by %s while it is out of service", member)
		publish(ctx, back)
		awaitWork(ctx, member)
		result := stop()
		Expect(result.connectFailure).To(BeEmpty())
		Expect(result.writeErrors).To(BeEmpty())
		Expect(result.readErrors).To(BeEmpty())
		Expect(result.reads).To(BeNumerically(">", 0))
		Expect(result.writes).To(BeNumerically(">", 0))
	}

	for _, c := range []struct {
		name, label, member string
		out, back           func(*bundle.Spec)
	}{
		{"an availability zone with a replica", "P8", "g1-1", setZone("heredia", false), setZone("heredia", true)},
		{"a backend server with a replica", "P12", "g1-2", setServer("db-cartago", false), setServer("db-cartago", true)},
		{"the backend server of the primary", "P12", "", nil, nil},
		{"the availability zone of the primary", "P8", "", nil, nil},
	} {
		// Guards against members that receive statements while out of service, or
		// none after they are back, and against a switchover that rejects writes.
		It(fmt.Sprintf("stops sending work to %s and continues to serve (%s)", c.name, c.label), func(ctx SpecContext) {
			if c.member == "" {
				var server string
				Eventually(func() string { c.member = primaryOf(ctx, s, outside, "g1"); return c.member }).ShouldNot(BeEmpty())
				m := s.Members[c.member]
				if server = m.Server; c.label == "P12" {
					c.out, c.back = setServer(server, false), setServer(server, true)
				} else {
					c.out, c.back = setZone(m.Zone, false), setZone(m.Zone, true)
				}
			}
			outAndBack(ctx, c.member, c.out, c.back)
		}, SpecTimeout(time.Minute))
	}
})
