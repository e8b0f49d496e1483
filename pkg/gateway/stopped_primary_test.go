package gateway_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

const (
	// lateOrder is how late an order without an answer is carried out. A commit fence that is
	// not renewed lapses before.
	lateOrder = 10 * time.Second
	// lateStart is the time after which an instance has started, and a fence is renewed.
	lateStart = 3 * time.Second
)

// loseOrder begins to replace the primary and waits for an order that gets no answer.
func loseOrder(d *deployment, reason replacement) {
	d.promotions.LoseOrders(true)
	reason.begin(d)
	Eventually(d.promotions.LostOrders, eventualTimeout, pollInterval).ShouldNot(BeEmpty())
}

// carryOut carries out the lost orders.
func carryOut(d *deployment) {
	d.promotions.CarryOut(func(standin.LostOrder) bool { return true })
	d.promotions.LoseOrders(false)
	Expect(d.group.Promotions()).NotTo(BeEmpty(), "an order is carried out")
}

var _ = Describe("a change of primary whose instances cannot all be fenced", func() {
	// Guards against a commit fence that lapses at an instance which no longer answers, while the
	// order is on its way and the holder of the promotion lease cannot ask the successor.
	DescribeTable("keeps the commits of an instance that stops answering its peers after the order",
		func(reason replacement) {
			d := newDutyDeployment()
			w := startWriters(d)
			Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", 20))
			loseOrder(d, reason)
			d.instances[1].answersPeers.Store(false)
			stopReplicas(d)
			join(d)
			for _, m := range d.group.Members()[1:3] {
				d.instances[0].members.cutOff(m.ID)
			}
			time.Sleep(lateOrder)
			carryOut(d)
			Expect(w.lost(d)).To(BeZero(), lostMessage)
			w.expectAcknowledgedKept(d)
		},
		Entry("as a part of the instances cannot reach the primary", partlyUnreachable),
		Entry("as the primary is leaving", leaving),
	)

	// Guards against commits that pass through an instance which has started, and so has no
	// commit fence, while the order is on its way.
	DescribeTable("keeps the commits of an instance that starts after the order",
		func(reason replacement) {
			d := newDutyDeployment()
			w := startWriters(d) // an unreachable primary is noticed by statements
			loseOrder(d, reason)
			stopReplicas(d)
			join(d)
			d.isRunning = true
			started := d.start("entry9")
			var acknowledged []standin.Commit
			for deadline, n := time.Now().Add(lateStart), 0; time.Now().Before(deadline); n++ {
				c := standin.Commit{Item: fmt.Sprintf("late%d", n), Data: "x"}
				if strings.HasPrefix(started.queryOnce("orders", "k1", "WRITE "+c.Item+" "+c.Data), "DONE") {
					acknowledged = append(acknowledged, c)
				}
				time.Sleep(pollInterval)
			}
			carryOut(d)
			lost := lostCommits(d, acknowledged)
			Expect(lost).To(BeZero(), "%d of %d: %s", lost, len(acknowledged), lostMessage)
			Expect(w.lost(d)).To(BeZero(), lostMessage)
			w.expectAcknowledgedKept(d)
		},
		Entry("as a part of the instances cannot reach the primary", partlyUnreachable),
		Entry("as the primary is leaving", leaving),
	)

	// Guards against a group that is left without a primary, because the instance that has
	// stopped it ends before the promotion has been answered.
	It("ends though the holder of the promotion lease stops after it has stopped the primary", func() {
		d := newDutyDeployment()
		w := startWriters(d)
		Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", 20))
		loseOrder(d, leavingAndInstanceSilent)
		d.instances[1].answersPeers.Store(true)
		d.instances[0].stop()
		d.promotions.LoseOrders(false)
		before := w.count()
		Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", before+20))
		w.expectAcknowledgedKept(d)
	})
})
