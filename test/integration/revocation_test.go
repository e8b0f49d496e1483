package integration_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/standin/stack"
)

// revocationBound is the limit of P6: the bundle age of 4 s at which an instance
// stops serving, plus 1 s of tolerance.
const revocationBound = 5 * time.Second

func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// setKeys publishes a bundle with these keys for the workspace and returns the
// previous keys.
func setKeys(ctx context.Context, s *stack.Stack, workspace string, keys []bundle.Key) []bundle.Key {
	GinkgoHelper()
	var before []bundle.Key
	_, err := s.Publish(ctx, func(spec *bundle.Spec) {
		i := slices.IndexFunc(spec.Workspaces, func(w bundle.Workspace) bool { return w.Name == workspace })
		before = slices.Clone(spec.Workspaces[i].Keys)
		spec.Workspaces[i].Keys = keys
	})
	Expect(err).NotTo(HaveOccurred())
	return before
}

// awaitSessionError waits for the error that ends a session that sends no requests.
func awaitSessionError(ctx context.Context, conn *pgconn.PgConn, until time.Time) error {
	waitCtx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for {
		if _, err := conn.ReceiveMessage(waitCtx); err != nil {
			return err
		}
	}
}

var _ = Describe("a revoked key", Ordered, func() {
	var s *stack.Stack
	var entry *stack.Instance // the instance whose clients are checked

	BeforeAll(func(ctx SpecContext) {
		s = startStack(ctx, stack.Options{Instances: 3, Workspaces: []bundle.Workspace{
			{Name: "utileria", Rate: 5000, Burst: 1000}, {Name: "taller", Rate: 5000, Burst: 1000},
		}})
		entry = s.Instances[2]
		mustExec(ctx, connect(ctx, s.URL(s.Instances[0], "utileria", "g1")), "CREATE TABLE invoice (id int)")
	})

	// restore publishes the keys again after a revocation.
	restore := func(ctx context.Context, keys []bundle.Key) {
		GinkgoHelper()
		setKeys(ctx, s, "taller", keys)
		Expect(s.AwaitActive(ctx, s.Spec().Version)).To(Succeed())
	}

	rows := func(ctx context.Context) string {
		GinkgoHelper()
		return mustExec(ctx, connect(ctx, s.URL(s.Instances[0], "utileria", "g1")), "SELECT count(*) FROM invoice")[0][0]
	}

	// revoke revokes the key and checks every kind of session on the instance entry.
	// codes are the permitted SQLSTATE codes: for a revoked key and, if the instance
	// is cut off from the store, for an outdated bundle.
	revoke := func(ctx context.Context, codes ...string) []bundle.Key {
		GinkgoHelper()
		url := s.URL(entry, "taller", "g1")
		idle, open, busy := connect(ctx, url), connect(ctx, url), connect(ctx, url)
		mustExec(ctx, open, "BEGIN")
		mustExec(ctx, open, fmt.Sprintf("INSERT INTO invoice VALUES (%d)", time.Now().UnixNano()))
		keys := setKeys(ctx, s, "taller", nil)
		deadline := time.Now().Add(revocationBound)

		By("rejecting requests")
		errs := map[string]error{}
		for time.Now().Before(deadline) {
			if _, err := exec(ctx, busy, "SELECT 1"); err != nil {
				errs["busy session"] = err
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		By("rejecting a new connection")
		for time.Now().Before(deadline) {
			conn, err := pgconn.Connect(ctx, url)
			if err == nil {
				// An instance without a current bundle may accept the connection and
				// reject the request.
				_, err = exec(ctx, conn, "SELECT 1")
				_ = conn.Close(ctx)
			}
			if err != nil {
				errs["new connection"] = err
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		if len(codes) == 1 {
			// The instance has the new bundle, so it also ends sessions that send
			// no requests.
			errs["idle session"] = awaitSessionError(ctx, idle, deadline)
			errs["open transaction"] = awaitSessionError(ctx, open, deadline)
		} else {
			time.Sleep(time.Until(deadline))
			_, errs["idle session"] = exec(ctx, idle, "SELECT 1")
			_, errs["open transaction"] = exec(ctx, open, "COMMIT")
		}
		Expect(errs).To(HaveLen(4))
		for name, err := range errs {
			Expect(err).To(HaveOccurred(), name)
			Expect(outcome(err)).To(Equal("not run"), "%s: %v", name, err)
			if name != "new connection" || sqlState(err) != "28P01" {
				// For new connections, a key that is not in the bundle is reported as
				// a failed authentication (28P01).
				Expect(sqlState(err)).To(BeElementOf(codes), "%s: %v", name, err)
			}
		}
		_, err := pgconn.Connect(ctx, url)
		if err == nil {
			Expect(codes).To(ContainElement("57P03"))
		}
		Expect(rows(ctx)).To(Equal("0"), "the open transaction must be rolled back")
		return keys
	}

	// Guards against sessions that outlive their key.
	It("stops idle, open and busy sessions and new connections (P6)", func(ctx SpecContext) {
		restore(ctx, revoke(ctx, "28000"))
	}, SpecTimeout(time.Minute))

	// Guards against an instance that receives bundles only from the store.
	It("stops them on an instance that cannot reach the store (P6)", func(ctx SpecContext) {
		Expect(entry.PlatformLink.Freeze()).To(Succeed())
		keys := revoke(ctx, "28000", "57P03")
		entry.PlatformLink.Restore()
		restore(ctx, keys)
	}, SpecTimeout(time.Minute))

	// Guards against a resumed instance that serves requests with its outdated
	// bundle. The requests are already in its socket buffers when it resumes.
	It("admits nothing on an instance that was paused and cut off from the store (P6)", func(ctx SpecContext) {
		url := s.URL(entry, "taller", "g1")
		idle, open := connect(ctx, url), connect(ctx, url)
		mustExec(ctx, open, "BEGIN")
		mustExec(ctx, open, "INSERT INTO invoice VALUES (1)")
		Expect(entry.PlatformLink.Freeze()).To(Succeed())
		Expect(entry.Pause()).To(Succeed())
		keys := setKeys(ctx, s, "taller", nil)
		responses := make(chan error, 2)
		go func() {
			_, err := exec(ctx, idle, "INSERT INTO invoice VALUES (2)")
			responses <- err
		}()
		go func() {
			_, err := exec(ctx, open, "COMMIT")
			responses <- err
		}()
		time.Sleep(revocationBound)
		Expect(entry.Resume()).To(Succeed())
		for range cap(responses) {
			var err error
			Eventually(responses).WithTimeout(revocationBound).Should(Receive(&err))
			Expect(outcome(err)).To(Equal("not run"), "%v", err)
		}
		Expect(rows(ctx)).To(Equal("0"))
		entry.PlatformLink.Restore()
		restore(ctx, keys)
	}, SpecTimeout(time.Minute))
})
