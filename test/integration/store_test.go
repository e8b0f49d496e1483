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
	"github.com/mulberrysill/mulberrysill/core/revision"
	adminpb "github.com/mulberrysill/mulberrysill/rpc/admin"
	"github.com/mulberrysill/mulberrysill/standin/platform"
	"github.com/mulberrysill/mulberrysill/standin/stack"
)

// maxFailuresPerMille is the share of requests that may fail during a fault (M3).
const maxFailuresPerMille = 1

var _ = Describe("bundles and the store", Ordered, func() {
	var s *stack.Stack

	BeforeAll(func(ctx SpecContext) {
		s = startStack(ctx, stack.Options{Instances: 3, Workspaces: []bundle.Workspace{
			{Name: "utileria", Rate: 5000, Burst: 1000}, {Name: "taller", Rate: 5000, Burst: 1000},
		}})
		conn := connect(ctx, s.URL(s.Instances[0], "utileria", "g1"))
		mustExec(ctx, conn, "CREATE TABLE visit (id int)")
	})
	AfterEach(func() { s.Platform.SetOutage(platform.NoOutage) })

	// next returns an unsigned successor of the newest bundle with another weight.
	next := func(weight uint32) bundle.Spec {
		spec := s.Spec()
		spec.Parent, spec.Version = spec.Version, spec.Version+1
		spec.Workspaces[0].Weight = weight
		return spec
	}
	request := func(spec bundle.Spec) *adminpb.PublishRequest {
		GinkgoHelper()
		r, err := s.PublishRequest(spec)
		Expect(err).NotTo(HaveOccurred())
		return r
	}
	// publish publishes another bundle and waits until it is active.
	publish := func(ctx context.Context, change func(*bundle.Spec)) {
		GinkgoHelper()
		_, err := s.Publish(ctx, change)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.AwaitActive(ctx, s.Spec().Version)).To(Succeed())
	}

	// Guards against leases, read floors or keys that depend on the store in
	// steady state, and against a publish that hangs or succeeds partially.
	for _, outage := range []platform.Outage{platform.HangOutage, platform.ErrorOutage} {
		It(fmt.Sprintf("serves during a store outage of 20 s that responds with: %s (P14, M3)", outage), func(ctx SpecContext) {
			stop := runClients(ctx, s, s.Instances...)
			s.Platform.SetOutage(outage)
			ends := time.Now().Add(20 * time.Second)
			before := s.Spec().Version
			spec := next(2)
			attempt := request(spec)
			publishCtx, cancel := context.WithDeadline(ctx, ends)
			defer cancel()
			_, err := s.PublishThrough(publishCtx, s.Instances[0], attempt)
			Expect(err).To(MatchError(ContainSubstring("unavailable")))
			time.Sleep(time.Until(ends))
			for _, e := range s.Instances {
				status, err := s.Status(ctx, e)
				Expect(err).NotTo(HaveOccurred())
				Expect(status.BundleVersion).To(Equal(before))
				Expect(status.Current).To(BeTrue(), "%s must consider its bundle current", e.ID)
			}
			result := stop()
			requests := result.reads + result.writes
			failures := slices.Concat(result.connectFailure, result.readErrors, result.writeErrors)
			Expect(1000*len(failures)).To(BeNumerically("<=", maxFailuresPerMille*requests), "%v", failures)

			s.Platform.SetOutage(platform.NoOutage)
			publish(ctx, func(b *bundle.Spec) { b.Workspaces[0].Weight = 3 })
		}, SpecTimeout(time.Minute))
	}

	// Guards against a publish that took effect but is reported as failed or as a
	// conflict with itself.
	It("resolves a lost response to the compare-and-set of a publish (P14)", func(ctx SpecContext) {
		lost := s.Platform.Stats().DroppedResponses
		// All other writers of rows lose their responses meanwhile, too.
		s.Platform.DropResponsesOf("Transact", 1000)
		_, err := s.Publish(ctx, func(b *bundle.Spec) { b.Workspaces[0].Weight = 4 })
		s.Platform.DropResponses(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Platform.Stats().DroppedResponses).To(BeNumerically(">", lost))
		Expect(s.AwaitActive(ctx, s.Spec().Version)).To(Succeed())
	}, SpecTimeout(time.Minute))

	// Guards against an instance that starts with the older bundle of a restored store and
	// accepts a key that the newest bundle revokes.
	It("never serves an older bundle on an instance that starts after the store was restored (P14, P6)", func(ctx SpecContext) {
		older := s.Platform.Copy()
		keys := setKeys(ctx, s, "taller", nil)
		version := s.Spec().Version
		Expect(s.AwaitActive(ctx, version)).To(Succeed())
		newer := s.Platform.Copy()
		restarted := s.Instances[1]
		restarted.Kill()
		s.Platform.Restore(older)
		for _, i := range []int{0, 2} {
			Expect(s.Instances[i].Pause()).To(Succeed())
		}
		Expect(restarted.Start()).To(Succeed())
		// The instance learns of the era after its start, so it is unsettled throughout.
		for ends := time.Now().Add(revision.SettleTime); time.Now().Before(ends); time.Sleep(20 * time.Millisecond) {
			conn, err := pgconn.Connect(ctx, s.URL(restarted, "taller", "g1"))
			if err == nil {
				_ = conn.Close(ctx)
			}
			Expect(err).To(HaveOccurred(), "the key is accepted")
		}
		for _, i := range []int{0, 2} {
			Expect(s.Instances[i].Resume()).To(Succeed())
		}
		Expect(s.AwaitActive(ctx, version)).To(Succeed(), "the others have told the instance")
		s.Platform.Restore(newer) // as if the operators had published the same bundle again
		publish(ctx, func(b *bundle.Spec) { b.Workspaces[1].Keys = keys })
	}, SpecTimeout(time.Minute))

	// Guards against an instance that starts with an older bundle from a peer that
	// was paused during the publish. The newest bundle revokes a key.
	for _, outage := range []platform.Outage{platform.NoOutage, platform.ErrorOutage} {
		It("never serves an older bundle on an instance that is killed and restarted, outage: "+string(outage)+" (P14, P6)", func(ctx SpecContext) {
			restarted, outdated := s.Instances[1], s.Instances[2]
			Expect(outdated.Pause()).To(Succeed())
			keys := setKeys(ctx, s, "taller", nil)
			version := s.Spec().Version
			Eventually(func() (uint64, error) {
				status, err := s.Status(ctx, restarted)
				return status.GetBundleVersion(), err
			}).WithTimeout(revocationBound).Should(Equal(version))
			restarted.Kill()
			// After this wait, the paused instance considers its bundle outdated when
			// it resumes.
			time.Sleep(revocationBound)
			s.Platform.SetOutage(outage)
			Expect(restarted.Start()).To(Succeed())
			Expect(outdated.Resume()).To(Succeed())
			ends := time.Now().Add(3 * time.Second)
			for time.Now().Before(ends) {
				if status, err := s.Status(ctx, restarted); err == nil {
					Expect(status.BundleVersion).To(BeElementOf(uint64(0), version))
				}
				for _, e := range []*stack.Instance{restarted, outdated} {
					conn, err := pgconn.Connect(ctx, s.URL(e, "taller", "g1"))
					if err == nil {
						_, err = exec(ctx, conn, "SELECT 1")
						_ = conn.Close(ctx)
					}
					Expect(err).To(HaveOccurred(), e.ID)
				}
				time.Sleep(20 * time.Millisecond)
			}
			s.Platform.SetOutage(platform.NoOutage)
			Expect(s.AwaitActive(ctx, version)).To(Succeed())
			_, err := pgconn.Connect(ctx, s.URL(restarted, "taller", "g1"))
			Expect(sqlState(err)).To(Equal("28P01"))
			publish(ctx, func(b *bundle.Spec) { b.Workspaces[1].Keys = keys })
		}, SpecTimeout(time.Minute))
	}

	// Guards against two concurrent publishes that both succeed, and against a
	// conflict that does not list what the losing publish would have overwritten.
	It("accepts one of two concurrent publishes and reports the differences to the other (P14)", func(ctx SpecContext) {
		requests := []*adminpb.PublishRequest{request(next(5)), request(next(6))}
		responses := make([]*adminpb.PublishResponse, len(requests))
		errs := make([]error, len(requests))
		var done sync.WaitGroup
		for i, r := range requests {
			done.Go(func() { responses[i], errs[i] = s.PublishThrough(ctx, s.Instances[i], r) })
		}
		done.Wait()
		Expect(errs).To(HaveEach(BeNil()))
		winner, loser := responses[0], responses[1]
		if winner.Conflict {
			winner, loser = loser, winner
		}
		Expect(winner.Conflict).To(BeFalse())
		Expect(loser.Conflict).To(BeTrue())
		Expect(loser.Winner).NotTo(BeEmpty())
		Expect(loser.WinnerVersion).To(Equal(winner.Version))
		Expect(loser.Differences).To(ContainElement(ContainSubstring("weight")))
		Expect(s.AwaitActive(ctx, winner.Version)).To(Succeed())
		for _, e := range s.Instances {
			status, err := s.Status(ctx, e)
			Expect(err).NotTo(HaveOccurred())
			Expect(status.BundleDigest).To(Equal(winner.Digest), e.ID)
		}
	}, SpecTimeout(time.Minute))
})
