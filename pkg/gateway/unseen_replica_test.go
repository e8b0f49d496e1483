package gateway_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

const (
	// promotionDelay is the time between an order and its effect if the order gets an answer.
	promotionDelay = 400 * time.Millisecond
	// quietPeriod is how long no acknowledged commit may be lost before the fault is mended. A
	// change of primary takes less.
	quietPeriod = 5 * time.Second
	// entryDelay is the time in which the instances learn of a member's entry.
	entryDelay = 300 * time.Millisecond

	lostMessage = "acknowledged commits are lost"
)

// replacement is why the primary is replaced while it runs.
type replacement struct {
	begin func(d *deployment)
	// end leaves no reason to replace the former primary.
	end func(d *deployment, former *standin.Member)
}

var (
	partlyUnreachable = replacement{
		func(d *deployment) { d.instances[0].members.cutOff("g1-0") },
		func(d *deployment, former *standin.Member) { d.instances[0].members.restore(former.ID) },
	}
	partlyUnreachableAndInstanceSilent = replacement{
		func(d *deployment) {
			d.instances[1].answersPeers.Store(false)
			partlyUnreachable.begin(d)
		},
		func(d *deployment, former *standin.Member) {
			d.instances[1].answersPeers.Store(true)
			partlyUnreachable.end(d, former)
		},
	}
	leaving = replacement{
		func(d *deployment) { d.store.PutMember(d.group.Primary(), "draining") },
		func(d *deployment, former *standin.Member) { d.store.PutMember(former, "ready") },
	}
	leavingAndInstanceSilent = replacement{
		func(d *deployment) {
			d.instances[1].answersPeers.Store(false)
			leaving.begin(d)
		},
		func(d *deployment, former *standin.Member) {
			d.instances[1].answersPeers.Store(true)
			leaving.end(d, former)
		},
	}
)

// newDutyDeployment starts three instances, of which the first one holds the promotion lease.
func newDutyDeployment() *deployment {
	d := newDeployment(3, 10000)
	Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
	return d
}

// join starts a replica that the platform's list does not show yet.
func join(d *deployment) *standin.Member {
	joined, err := d.group.Join(maxConnections)
	Expect(err).NotTo(HaveOccurred())
	return joined
}

// stopReplicas keeps commits away from all replicas but those that join later.
func stopReplicas(d *deployment) {
	for _, m := range d.group.Members()[1:] {
		m.SetReplicationStopped(true)
	}
}

// lost returns the number of acknowledged commits that the present primary lacks.
func (w *writers) lost(d *deployment) int {
	w.mu.Lock()
	acknowledged := slices.Clone(w.acknowledged)
	w.mu.Unlock()
	return lostCommits(d, acknowledged)
}

func lostCommits(d *deployment, acknowledged []standin.Commit) int {
	kept, lost := d.group.CountCommits(), 0
	for _, c := range acknowledged {
		if kept[c] == 0 {
			lost++
		}
	}
	return lost
}

// heal lets all replicas receive and lists all members.
func heal(d *deployment) {
	for _, m := range d.group.Members() {
		m.SetReplicationStopped(false)
	}
	d.listMembers()
}

// expectRecovery heals the group and expects that commits are
// acknowledged again and that none was lost.
func (w *writers) expectRecovery(d *deployment) {
	heal(d)
	before := w.count()
	Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", before+20))
	w.expectAcknowledgedKept(d)
}

var _ = Describe("a change of primary while the group's replicas change", func() {
	// Guards against commits that are acknowledged between the proof of a promotion and its
	// effect, by a replica that nobody has paused because the list does not show it yet.
	DescribeTable("keeps commits that only a replica that is not listed yet has received",
		func(reason replacement) {
			d := newDutyDeployment()
			former := d.group.Primary()
			w := startWriters(d)
			Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", 20))
			d.promotions.DelayNextOrder(promotionDelay, func() {
				stopReplicas(d)
				join(d)
			})
			reason.begin(d)
			Eventually(func() string { return d.group.Primary().ID }, eventualTimeout, pollInterval).ShouldNot(Equal(former.ID))
			Consistently(func() int { return w.lost(d) }, quietPeriod, pollInterval).Should(BeZero(), lostMessage)
			reason.end(d, former)
			w.expectRecovery(d)
		},
		Entry("as a part of the instances cannot reach the primary", partlyUnreachable),
		Entry("as a part of the instances cannot reach the primary, and another one does not answer its peers", partlyUnreachableAndInstanceSilent),
		Entry("as the primary is leaving", leaving),
		Entry("as the primary is leaving, and another instance does not answer its peers", leavingAndInstanceSilent),
	)

	// Guards against the same loss for as long as an order without an answer may still be
	// carried out.
	DescribeTable("keeps commits that a replica that joins unseen acknowledges while an order is on its way",
		func(reason replacement, late time.Duration) {
			d := newDutyDeployment()
			former := d.group.Primary()
			w := startWriters(d)
			Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", 20))
			d.promotions.LoseOrders(true)
			reason.begin(d)
			Eventually(d.promotions.LostOrders, eventualTimeout, pollInterval).ShouldNot(BeEmpty())
			stopReplicas(d)
			join(d)
			time.Sleep(late)
			d.promotions.CarryOut(func(standin.LostOrder) bool { return true })
			d.promotions.LoseOrders(false)
			Expect(d.group.Primary().ID).NotTo(Equal(former.ID), "the order is carried out")
			Consistently(func() int { return w.lost(d) }, quietPeriod, pollInterval).Should(BeZero(), lostMessage)
			reason.end(d, former)
			w.expectRecovery(d)
		},
		Entry("for two seconds, as a part of the instances cannot reach the primary", partlyUnreachable, 2*time.Second),
		Entry("for two seconds, as the primary is leaving", leaving, 2*time.Second),
		Entry("for ten seconds, as a part of the instances cannot reach the primary", partlyUnreachable, 10*time.Second),
		Entry("for ten seconds, as the primary is leaving", leaving, 10*time.Second),
	)

	// Guards against a commit fence that lapses while the order is still on its way, since the
	// holder of the promotion lease cannot ask the successor any more.
	DescribeTable("keeps such commits if the holder of the promotion lease loses contact with the replicas",
		func(reason replacement) {
			d := newDutyDeployment()
			former := d.group.Primary()
			w := startWriters(d)
			Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", 20))
			d.promotions.LoseOrders(true)
			reason.begin(d)
			Eventually(d.promotions.LostOrders, eventualTimeout, pollInterval).ShouldNot(BeEmpty())
			stopReplicas(d)
			join(d)
			for _, m := range d.group.Members()[1:3] {
				d.instances[0].members.cutOff(m.ID)
			}
			time.Sleep(10 * time.Second)
			d.promotions.CarryOut(func(standin.LostOrder) bool { return true })
			Expect(d.group.Primary().ID).NotTo(Equal(former.ID), "the order is carried out")
			Expect(w.lost(d)).To(BeZero(), lostMessage)
		},
		Entry("as a part of the instances cannot reach the primary", partlyUnreachable),
		Entry("as the primary is leaving", leaving),
	)

	// Guards against counting the replicas that answer now, although one that has acknowledged
	// commits has lost its log. The holder of the promotion lease does not hear of the commits.
	It("waits for a dark primary that has the only copy of commits since a replica restarted without its log", func() {
		d := newDutyDeployment()
		primary, behind, replica := d.group.Primary(), d.group.Members()[1], d.group.Members()[2]
		behind.SetReplicationStopped(true)
		for _, i := range d.instances {
			i.answersPeers.Store(false)
		}
		commits := writeOnNonHolders(d)
		replica.SetReplicationStopped(true)
		replica.Kill()
		Expect(replica.RestartEmpty()).To(Succeed())
		d.store.PutMember(replica, "ready")
		time.Sleep(entryDelay)
		primary.Kill()
		d.store.RemoveMember(primary.ID)
		Consistently(func() int { return lostCommits(d, commits) }, quietPeriod, pollInterval).Should(BeZero(), lostMessage)
		Expect(primary.Restart()).To(Succeed())
		for _, i := range d.instances {
			i.answersPeers.Store(true)
		}
		heal(d)
		Eventually(func() string { return d.instances[1].queryOnce("orders", "k1", "WRITE after x") }, eventualTimeout, pollInterval).Should(HavePrefix("DONE"))
		Expect(lostCommits(d, commits)).To(BeZero(), lostMessage)
	})
})
