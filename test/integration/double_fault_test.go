package integration_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/standin/platform"
	"github.com/mulberrysill/mulberrysill/standin/stack"
)

// primaryChangeTimeout is the time within which a primary change must be complete.
const primaryChangeTimeout = 10 * time.Second

var _ = Describe("two simultaneous faults", func() {
	var s *stack.Stack

	BeforeEach(func(ctx SpecContext) {
		s = startStack(ctx, stack.Options{Instances: 3, ApplyLag: 50 * time.Millisecond})
		conn := connect(ctx, s.URL(s.Instances[0], "utileria", "g1"))
		mustExec(ctx, conn, "CREATE TABLE checkout (id int primary key)")
		mustExec(ctx, conn, "CREATE TABLE probe (id int)")
	})

	// Guards against a primary change that depends on the store.
	for _, outage := range []platform.Outage{platform.HangOutage, platform.ErrorOutage} {
		It("replaces a killed primary while the store responds with: "+string(outage)+" (P2, P10, P11)", func(ctx SpecContext) {
			attempts := runWriters(ctx, s, "utileria", "g1", func() {
				s.Platform.SetOutage(outage)
				// Longer than the 4 s for which an instance trusts data read from the
				// store.
				time.Sleep(5 * time.Second)
				s.Members["g1-0"].Kill()
				deadline := time.Now().Add(primaryChangeTimeout)
				for i, e := range s.Instances {
					awaitWrites(ctx, s, e, i)
				}
				Expect(time.Now()).To(BeTemporally("<", deadline))
			})
			s.Platform.SetOutage(platform.NoOutage)
			checkWrites(ctx, s, "utileria", "g1", attempts)
		}, SpecTimeout(time.Minute))
	}

	// Guards against a primary change that needs every instance, and against a
	// resumed instance that acknowledges writes through the former primary.
	for paused := range 3 {
		It(fmt.Sprintf("replaces a killed primary while instance %d is paused (P2, P10, P11)", paused), func(ctx SpecContext) {
			attempts := runWriters(ctx, s, "utileria", "g1", func() {
				time.Sleep(300 * time.Millisecond)
				Expect(s.Instances[paused].Pause()).To(Succeed())
				s.Members["g1-0"].Kill()
				deadline := time.Now().Add(primaryChangeTimeout)
				for i, e := range s.Instances {
					if i != paused {
						awaitWrites(ctx, s, e, i)
					}
				}
				Expect(time.Now()).To(BeTemporally("<", deadline))
				Expect(s.Instances[paused].Resume()).To(Succeed())
				awaitWrites(ctx, s, s.Instances[paused], paused)
			})
			checkWrites(ctx, s, "utileria", "g1", attempts)
		}, SpecTimeout(time.Minute))
	}
})
