package gateway_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newDividedDeployment starts instances, of which the first one holds the promotion lease and the
// last one stops if stopsLast is set. None of them, nor one that starts later, answers its peers.
func newDividedDeployment(instances int, stopsLast bool) *deployment {
	d := newDeployment(instances, 10000)
	Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
	d.isRunning, d.startsSilent = true, true
	if last := d.instances[instances-1]; stopsLast {
		last.stop()
		Eventually(last.ended, eventualTimeout).Should(Receive())
	}
	for _, i := range d.instances {
		i.answersPeers.Store(false)
	}
	return d
}

// unite lets all instances answer their peers again.
func unite(d *deployment) {
	for _, i := range d.instances {
		i.answersPeers.Store(true)
	}
}

var _ = Describe("an instance that the holder of the promotion lease does not reach", func() {
	start := func(d *deployment, id string) *instance {
		i := d.start(id)
		Eventually(func() string { return i.queryOnce("orders", "k1", "READ x") }, eventualTimeout, pollInterval).Should(HavePrefix("ROW"))
		return i
	}

	// Guards against commits that a process passes on which the holder does not know of, and
	// therefore neither fences nor misses: only a replica that is not listed yet has them.
	DescribeTable("loses no commit if its process has started behind the cut and the primary leaves",
		func(instances int, stopsLast bool, id string) {
			d := newDividedDeployment(instances, stopsLast)
			former := d.group.Primary()
			started := start(d, id)
			w := startWritersOn([]*instance{started})
			d.promotions.DelayNextOrder(promotionDelay, func() {
				stopReplicas(d)
				join(d)
			})
			d.store.PutMember(former, "draining")
			Eventually(func() string { return d.group.Primary().ID }, eventualTimeout, pollInterval).ShouldNot(Equal(former.ID))
			Consistently(func() int { return w.lost(d) }, quietPeriod, pollInterval).Should(BeZero(), lostMessage)
			unite(d)
			d.store.PutMember(former, "ready")
			w.expectRecovery(d)
		},
		Entry("after a planned stop", 2, true, "entry2"),
		Entry("as one that has been added", 1, false, "entry2"),
	)

	// Guards against an instance that serves no commits as long as it is cut off.
	It("passes on the commits that the listed replicas have", func() {
		d := newDividedDeployment(2, true)
		started := start(d, "entry2")
		Eventually(func() string { return started.queryOnce("orders", "k1", "WRITE a b") }, eventualTimeout, pollInterval).Should(HavePrefix("DONE"))
		Expect(started.queryOnce("orders", "k1", "WRITE a c")).To(HavePrefix("DONE"))
		Expect(strings.Join(started.session("orders", "k1").query("WRITE a d"), " ")).To(HavePrefix("DONE"))
	})

	// Guards against commits that it passes on between the order and its effect, since the primary
	// is back that nobody reached when it was ordered.
	It("loses no commit if a primary comes back that is being replaced because nobody reaches it", func() {
		d := newDividedDeployment(2, false)
		former, other := d.group.Primary(), d.instances[1]
		w := startWriters(d)
		Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", 20))
		d.promotions.DelayNextOrder(promotionDelay, func() {
			stopReplicas(d)
			join(d)
			other.members.restore(former.ID)
		})
		for _, i := range d.instances {
			i.members.cutOff(former.ID)
		}
		Eventually(func() string { return d.group.Primary().ID }, eventualTimeout, pollInterval).ShouldNot(Equal(former.ID))
		Consistently(func() int { return w.lost(d) }, quietPeriod, pollInterval).Should(BeZero(), lostMessage)
		unite(d)
		d.instances[0].members.restore(former.ID)
		w.expectRecovery(d)
	})
})
