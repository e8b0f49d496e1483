package gateway_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/pkg/gateway"
	"github.com/mulberrysill/mulberrysill/platform/standin"
)

// usageWindow is shorter than on the platform, so that specs take less time.
const usageWindow = time.Second

func withUsageReports(d *deployment) {
	d.usage = gateway.UsageReports{Window: usageWindow, Lateness: 5 * time.Second, Tolerance: 0.05}
}

// ranRequests returns the requests that the members began to run, by window and workspace.
func (d *deployment) ranRequests() map[uint64]map[string]uint64 {
	out := map[uint64]map[string]uint64{}
	for _, e := range d.group.ExecutedStatements() {
		if !e.BeginsRequest {
			continue
		}
		window := uint64(e.BeganAt.UnixNano()) / uint64(usageWindow)
		if out[window] == nil {
			out[window] = map[string]uint64{}
		}
		out[window][e.Workspace]++
	}
	return out
}

func total(windows map[uint64]map[string]uint64) map[string]uint64 {
	out := map[string]uint64{}
	for _, counts := range windows {
		for workspace, n := range counts {
			out[workspace] += n
		}
	}
	return out
}

var _ = Describe("Usage reports", func() {
	// Guards against statements that are not counted or counted twice: singles,
	// transactions, and statements that one instance relays to another.
	It("counts each request that members began to run once", func() {
		d := newDeployment(3, 1000, withUsageReports)
		stop := time.Now().Add(3 * time.Second)
		done := make(chan struct{})
		for n, i := range d.instances {
			go func() {
				defer GinkgoRecover()
				defer func() { done <- struct{}{} }()
				a, b := i.session("orders", "k1"), i.session("stock", "k3")
				a.query("PREPARE p READ x")
				for time.Now().Before(stop) {
					a.query(fmt.Sprintf("WRITE x%d y", n))
					a.query("EXEC p x")
					b.query("READ x")
					b.query("BEGIN")
					b.query("READ x")
					b.query("READ x")
					b.query("COMMIT")
					b.query("BEGIN")
					b.query("COMMIT")
					b.query("BEGIN")
					b.query("WRITE z 1")
					b.query("ROLLBACK")
					time.Sleep(10 * time.Millisecond)
				}
			}()
		}
		for range d.instances {
			<-done
		}
		ran := total(d.ranRequests())
		Expect(ran["coop"]).To(BeNumerically(">", 100))
		Eventually(func() map[string]uint64 { return total(d.promotions.Usage.Accepted()) }, eventualTimeout, pollInterval).Should(Equal(ran))
		Expect(d.usageCalls.Load()).To(BeNumerically(">", 0), "the counter works")
		for window, counts := range d.ranRequests() {
			for workspace, n := range counts {
				// A statement may be sent in one window and begin to run in the next.
				Expect(d.promotions.Usage.Accepted()[window][workspace]).To(BeNumerically("~", n, 0.05*float64(n)+3), "window %d, %s", window, workspace)
			}
		}
		Expect(d.promotions.Usage.Contradictions()).To(BeEmpty())
		Expect(d.promotions.Usage.SharedTokens()).To(BeEmpty())
	})

	// Guards against relayed statements that are counted at both instances or at none, also
	// if the response of the instance that ran them says that the member failed them.
	It("counts relayed statements once", func() {
		const workspaces = 12
		d := newDeployment(3, 1000, withUsageReports, func(d *deployment) {
			d.config.MaxConnections = 8
			for n := range workspaces {
				d.config.Workspaces = append(d.config.Workspaces, standin.Workspace{
					Name: fmt.Sprintf("w%d", n), Keys: []string{fmt.Sprintf("key%d", n)}, Rate: 10000, Burst: 10000,
				})
			}
		})
		done := make(chan struct{})
		for _, i := range d.instances {
			go func() {
				defer GinkgoRecover()
				defer func() { done <- struct{}{} }()
				for n := range 10 * workspaces {
					s := i.session("orders", fmt.Sprintf("key%d", n%workspaces))
					s.query("READ x")
					s.query("BEGIN")
					s.query("WRITE x 1")
					s.query("READ x")
					s.query("COMMIT")
					_ = s.Close()
				}
			}()
		}
		for range d.instances {
			<-done
		}
		ran := total(d.ranRequests())
		Eventually(func() map[string]uint64 { return total(d.promotions.Usage.Accepted()) }, eventualTimeout, pollInterval).Should(Equal(ran))
		Expect(d.relayedLines.Load()).To(BeNumerically(">=", 5), "the spec needs relayed statements")
	})

	// Guards against attempts that are lost from the counts because their response was, and
	// against counting what a member has refused.
	It("counts attempts without a response, and none that a member refused", func() {
		d := newDeployment(2, 1000, withUsageReports, func(d *deployment) { d.group.ApplyDelay = 40 * time.Millisecond })
		s, own := d.instances[0].session("orders", "k1"), d.instances[0].session("workshop", "k3")
		for range 20 {
			own.query("WRITE y 1")
			own.query("READ y") // refused by the replicas, which lag
			s.query("WRITE x 1")
			d.group.Primary().DropResponses(1)
			Expect(s.query("WRITE x 2")[0]).To(HavePrefix("ERR INDOUBT"))
		}
		ran := total(d.ranRequests())
		Expect(ran["coop"]).To(BeNumerically(">=", 40))
		Eventually(func() map[string]uint64 { return total(d.promotions.Usage.Accepted()) }, eventualTimeout, pollInterval).Should(Equal(ran))
	})

	// Guards against counts that are lost with an instance that shuts down.
	It("reports the last requests of an instance that shuts down", func() {
		d := newDeployment(3, 1000, withUsageReports)
		Eventually(func() int { return len(d.promotions.Usage.Calls()) }, eventualTimeout, pollInterval).Should(BeNumerically(">", 0))
		leaving := d.instances[2]
		s := leaving.session("orders", "k1")
		leaving.stop()
		for s.query("WRITE x 1")[0] != "closed" {
			time.Sleep(2 * time.Millisecond)
		}
		Eventually(leaving.ended, eventualTimeout).Should(Receive())
		Eventually(func() map[string]uint64 { return total(d.promotions.Usage.Accepted()) }, eventualTimeout, pollInterval).Should(Equal(total(d.ranRequests())))
	})

	// Guards against any trace of the feature on deployments that do not expect reports.
	It("makes no call and writes no row when it is off", func() {
		d := newDeployment(2, 1000)
		for _, i := range d.instances {
			i.queryOnce("orders", "k1", "WRITE x y")
		}
		Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
		time.Sleep(3 * usageWindow)
		Expect(d.promotions.Usage.Calls()).To(BeEmpty())
		Expect(d.store.Keys("mulberrysill-usage")).To(BeEmpty())
		Expect(d.usageCalls.Load()).To(BeZero())
	})
})
