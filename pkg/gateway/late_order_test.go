package gateway_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

var _ = Describe("an order without an answer", func() {
	// Guards against an order that is carried out after a later member has been promoted under
	// the same fencing token: the commits that this one has acknowledged would be lost.
	It("takes the lead from no later primary once its repetition was answered while the store is down", func() {
		d := newDutyDeployment()
		Eventually(d.store.PromotionLeaseClaims, eventualTimeout, pollInterval).Should(BeNumerically(">", 1), "no spare claim")
		first := d.group.Primary()
		w := startWriters(d)
		Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", 20))
		d.promotions.LoseOrders(true)
		d.store.PutMember(first, "draining")
		Eventually(d.promotions.LostOrders, eventualTimeout, pollInterval).ShouldNot(BeEmpty())
		d.store.SetDown(true)
		d.promotions.LoseOrders(false)
		Eventually(func() string { return d.group.Primary().ID }, eventualTimeout, pollInterval).ShouldNot(Equal(first.ID))

		second := d.group.Primary()
		before := w.count()
		Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", before+20))
		for _, m := range d.group.Members() {
			m.SetReplicationStopped(m != second)
		}
		Eventually(func() string { return d.group.Primary().ID }, eventualTimeout, pollInterval).ShouldNot(Equal(second.ID), "not replaced while the store is down")
		for _, m := range d.group.Members() {
			m.SetReplicationStopped(m == second)
		}
		d.store.SetDown(false) // keys are not confirmed in a longer outage
		before = w.count()
		Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", before+20))
		d.promotions.CarryOut(func(standin.LostOrder) bool { return true })
		Consistently(func() int { return w.lost(d) }, quietPeriod, pollInterval).Should(BeZero(), lostMessage)
		w.expectRecovery(d)
	})
})
