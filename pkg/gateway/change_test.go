package gateway_test

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

// writers commit in a loop on all instances until stopped, and record the
// acknowledged commits.
type writers struct {
	mu           sync.Mutex
	acknowledged []standin.Commit
	stop         chan struct{}
	stopOnce     sync.Once
	wait         sync.WaitGroup
}

func startWriters(d *deployment) *writers { return startWritersOn(d.instances) }

func startWritersOn(instances []*instance) *writers {
	w := &writers{stop: make(chan struct{})}
	// Writers that go on would write to instances of later specs that get the same ports.
	DeferCleanup(w.end)
	for n, i := range instances {
		w.wait.Add(1)
		go func() {
			defer w.wait.Done()
			defer GinkgoRecover()
			for k := 0; ; k++ {
				select {
				case <-w.stop:
					return
				default:
				}
				c := standin.Commit{Item: fmt.Sprintf("w%d-%d", n, k), Data: "x"}
				if strings.HasPrefix(i.queryOnce("orders", "k1", "WRITE "+c.Item+" "+c.Data), "DONE") {
					w.mu.Lock()
					w.acknowledged = append(w.acknowledged, c)
					w.mu.Unlock()
				}
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	return w
}

// end stops the writers and waits for them.
func (w *writers) end() {
	w.stopOnce.Do(func() { close(w.stop) })
	w.wait.Wait()
}

func (w *writers) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acknowledged)
}

// expectAcknowledgedKept checks that the new primary holds every acknowledged commit.
func (w *writers) expectAcknowledgedKept(d *deployment) {
	w.end()
	for _, c := range w.acknowledged {
		Expect(d.group.HasCommit(c)).To(BeTrue(), "the acknowledged commit %s is lost", c.Item)
	}
}

// writeOnNonHolders commits on instances that do not hold the promotion lease, which the
// first instance claims, and returns the commits.
func writeOnNonHolders(d *deployment) (commits []standin.Commit) {
	for n := range 6 {
		c := standin.Commit{Item: fmt.Sprintf("c%d", n), Data: "x"}
		Expect(d.instances[1+n%2].queryOnce("orders", "k1", "WRITE "+c.Item+" "+c.Data)).To(HavePrefix("DONE"))
		commits = append(commits, c)
	}
	return commits
}

var _ = Describe("a change of primary", func() {
	It("follows a primary that dies, keeps every acknowledged commit, and resumes writes", func() {
		d := newDeployment(3, 10000)
		w := startWriters(d)
		Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", 50))
		d.group.Primary().Kill()
		Eventually(func() string { return d.group.Primary().ID }, eventualTimeout, pollInterval).ShouldNot(Equal("g1-0"))
		before := w.count()
		Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", before+50))
		w.expectAcknowledgedKept(d)
	})
	It("promotes the replica that holds every commit when the other received none", func() {
		d := newDeployment(2, 10000)
		d.group.Members()[1].SetReplicationStopped(true)
		w := startWriters(d)
		Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", 30))
		d.group.Primary().Kill()
		Eventually(func() string { return d.group.Primary().ID }, eventualTimeout, pollInterval).Should(Equal("g1-2"))
		w.expectAcknowledgedKept(d)
	})
	It("is planned when the primary starts draining, without a failed write", func() {
		d := newDeployment(2, 10000)
		// The promotion lease is claimed about a second after the start.
		Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
		s := d.instances[0].session("orders", "k1")
		primary := d.group.Primary()
		d.store.PutMember(primary, "draining")
		Eventually(func() string {
			Expect(s.query("WRITE a b")[0]).To(HavePrefix("DONE"))
			return d.group.Primary().ID
		}, eventualTimeout, pollInterval).ShouldNot(Equal(primary.ID))
		Expect(s.query("WRITE a c")[0]).To(HavePrefix("DONE"))
	})
	It("replaces a primary that accepts connections and sends no responses", func() {
		d := newDeployment(3, 10000)
		w := startWriters(d)
		Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", 20))
		d.group.Primary().SetUnresponsive(true)
		d.group.Primary().Kill()
		Eventually(func() string { return d.group.Primary().ID }, eventualTimeout, pollInterval).ShouldNot(Equal("g1-0"))
		w.expectAcknowledgedKept(d)
	})
	It("waits while a listed replica that may hold the only copy does not respond", func() {
		d := newDeployment(1, 10000)
		Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
		d.group.Members()[2].Kill()
		d.group.Primary().Kill()
		Consistently(func() string { return d.group.Primary().ID }, 2*time.Second, pollInterval).Should(Equal("g1-0"))
		d.store.RemoveMember("g1-2")
		d.store.RemoveMember("g1-0")
		Eventually(func() string { return d.group.Primary().ID }, eventualTimeout, pollInterval).Should(Equal("g1-1"))
	})
	// Guards against losing commits that only the primary and a silent replica have: the
	// holder of the promotion lease has run none of them itself.
	It("does not replace a primary that runs by a replica that is behind while the other replica is silent", func() {
		d := newDeployment(3, 10000)
		Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
		behind, silent := d.group.Members()[1], d.group.Members()[2]
		behind.SetReplicationStopped(true)
		commits := writeOnNonHolders(d)
		silent.Kill()
		d.store.RemoveMember(silent.ID)
		s := d.instances[2].session("orders", "k1")
		go func() {
			defer GinkgoRecover()
			s.query("WRITE stalled x") // no replica acknowledges it
		}()
		Consistently(func() string { return d.group.Primary().ID }, 5*time.Second, pollInterval).Should(Equal("g1-0"))
		for _, c := range commits {
			Expect(d.group.HasCommit(c)).To(BeTrue(), "the acknowledged commit %s is lost", c.Item)
		}
		behind.SetReplicationStopped(false)
		Eventually(func() string { return d.instances[1].queryOnce("orders", "k1", "WRITE after x") }, eventualTimeout, pollInterval).Should(HavePrefix("DONE"))
	})
	// Guards against the same loss when the primary dies, and when it was leaving before.
	DescribeTable("waits for a primary that has died while a replica that is behind is the only other member that responds",
		func(leaves bool) {
			d := newDeployment(3, 10000)
			Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
			primary, behind, silent := d.group.Primary(), d.group.Members()[1], d.group.Members()[2]
			behind.SetReplicationStopped(true)
			commits := writeOnNonHolders(d)
			silent.Kill()
			d.store.RemoveMember(silent.ID)
			primary.Kill()
			if leaves {
				d.store.PutMember(primary, "draining")
			} else {
				d.store.RemoveMember(primary.ID)
			}
			Consistently(func() string { return d.group.Primary().ID }, 5*time.Second, pollInterval).Should(Equal("g1-0"))
			Expect(primary.Restart()).To(Succeed())
			behind.SetReplicationStopped(false)
			d.listMembers()
			Eventually(func() string { return d.instances[1].queryOnce("orders", "k1", "WRITE after x") }, eventualTimeout, pollInterval).Should(HavePrefix("DONE"))
			for _, c := range commits {
				Expect(d.group.HasCommit(c)).To(BeTrue(), "the acknowledged commit %s is lost", c.Item)
			}
		},
		Entry("and was not announced to leave", false),
		Entry("and was leaving", true),
	)
	// Guards against taking an instance that does not respond for one that has seen no commit.
	It("waits for an instance that does not say which commits it knows, while a replica is silent", func() {
		d := newDeployment(3, 10000)
		Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
		primary, silent := d.group.Primary(), d.group.Members()[2]
		d.instances[2].answersPeers.Store(false)
		silent.Kill()
		d.store.RemoveMember(silent.ID)
		primary.Kill()
		d.store.RemoveMember(primary.ID)
		Consistently(func() string { return d.group.Primary().ID }, 6*time.Second, pollInterval).Should(Equal("g1-0"))
		d.instances[2].answersPeers.Store(true)
		Eventually(func() string { return d.group.Primary().ID }, eventualTimeout, pollInterval).Should(Equal("g1-1"))
	})
	// Guards against losing commits if neither the primary, nor the replica that has them, nor
	// an instance that has acknowledged them responds.
	It("keeps the commits of instances that do not respond, while the primary and a replica are silent", func() {
		d := newDeployment(3, 10000)
		Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
		primary, behind, silent := d.group.Primary(), d.group.Members()[1], d.group.Members()[2]
		behind.SetReplicationStopped(true)
		commits := writeOnNonHolders(d)
		for _, i := range d.instances[1:] {
			i.answersPeers.Store(false)
		}
		silent.Kill()
		d.store.RemoveMember(silent.ID)
		primary.Kill()
		d.store.RemoveMember(primary.ID)
		Consistently(func() string { return d.group.Primary().ID }, 5*time.Second, pollInterval).Should(Equal(primary.ID))
		for _, c := range commits {
			Expect(d.group.HasCommit(c)).To(BeTrue(), "the acknowledged commit %s is lost", c.Item)
		}
	})
	It("does not wait for members that only another writer's odd entries name", func() {
		d := newDeployment(2, 10000)
		d.store.PutMalformedRows()
		w := startWriters(d)
		Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", 20))
		d.group.Primary().Kill()
		Eventually(func() string { return d.group.Primary().ID }, eventualTimeout, pollInterval).ShouldNot(Equal("g1-0"))
		before := w.count()
		Eventually(w.count, eventualTimeout, pollInterval).Should(BeNumerically(">", before+20))
		w.expectAcknowledgedKept(d)
	})
	It("leaves no replica paused and loses no commit when members leave while replicas receive nothing", func() {
		d := newDeployment(2, 10000)
		Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
		// Each replica misses commits for a while as primaries leave one after
		// another.
		primary := d.group.Primary()
		d.group.Members()[1].SetReplicationStopped(true)
		Expect(d.instances[0].queryOnce("orders", "k1", "WRITE a b")).To(HavePrefix("DONE"))
		d.group.Members()[2].SetReplicationStopped(true)
		d.store.PutMember(d.group.Members()[2], "draining")
		d.store.PutMember(primary, "draining")
		time.Sleep(500 * time.Millisecond)
		d.group.Members()[1].SetReplicationStopped(false)
		d.group.Members()[2].SetReplicationStopped(false)
		d.listMembers()
		Eventually(func() bool {
			return d.group.Members()[1].PausedTerm() == 0 && d.group.Members()[2].PausedTerm() == 0
		}, eventualTimeout, pollInterval).Should(BeTrue())
		Expect(d.group.HasCommit(standin.Commit{Item: "a", Data: "b"})).To(BeTrue())
	})
	// Guards against taking a replica that refuses its pause for one that receives nothing: it
	// would go on acknowledging commits that the successor may lack.
	It("is not ordered while a replica refuses to be paused", func() {
		d := newDeployment(1, 10000)
		Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
		primary, refusing := d.group.Primary(), d.group.Members()[2]
		refusing.RefuseControls(math.MaxInt)
		d.store.PutMember(primary, "draining")
		Consistently(func() string { return d.group.Primary().ID }, 2*time.Second, pollInterval).Should(Equal(primary.ID))
		refusing.RefuseControls(0)
		Eventually(func() string { return d.group.Primary().ID }, eventualTimeout, pollInterval).ShouldNot(Equal(primary.ID))
	})
	// Guards against replicas that are paused again while an order may be carried out: one that
	// is paused after the promotion stays paused.
	It("pauses no replica again once a promotion has been ordered", func() {
		d := newDeployment(1, 10000)
		Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
		primary := d.group.Primary()
		pauses := func() int { return d.group.Members()[1].Pauses() + d.group.Members()[2].Pauses() }
		var atOrder atomic.Int64
		d.promotions.DelayNextOrder(2*time.Second, func() { atOrder.Store(int64(pauses())) })
		d.store.PutMember(primary, "draining")
		Eventually(func() string { return d.group.Primary().ID }, eventualTimeout, pollInterval).ShouldNot(Equal(primary.ID))
		Expect(atOrder.Load()).To(BeNumerically(">", 0))
		Consistently(pauses, time.Second, pollInterval).Should(BeEquivalentTo(atOrder.Load()))
	})
	// Guards against replicas that stay paused because one refusal ends the attempt to resume
	// them.
	It("resumes a replica that refuses at first", func() {
		d := newDeployment(1, 10000)
		Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
		d.group.Members()[2].SetPausedTerm(9)
		d.group.Members()[2].RefuseControls(2)
		d.instances[0].stop()
		Eventually(d.instances[0].ended, eventualTimeout).Should(Receive())
		d.start("entry9")
		Eventually(d.group.Members()[2].PausedTerm, eventualTimeout, pollInterval).Should(BeZero())
	})
	// Guards against a replica that restarts, and thus receives again, while an order without an
	// answer may still be carried out: commits that only this replica acknowledges would be lost.
	It("pauses a replica that restarts while an order has no answer", func() {
		d := newDeployment(1, 10000)
		Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
		d.promotions.LoseOrders(true)
		d.store.PutMember(d.group.Primary(), "draining")
		Eventually(d.promotions.LostOrders, eventualTimeout, pollInterval).ShouldNot(BeEmpty())
		successor, restarted := d.group.Members()[1], d.group.Members()[2]
		Expect(d.promotions.LostOrders()[0].Member).To(Equal(successor.ID))
		restarted.Kill()
		Expect(restarted.Restart()).To(Succeed())
		Eventually(restarted.PausedTerm, 5*time.Second, pollInterval).ShouldNot(BeZero())
		successor.SetReplicationStopped(true)
		answer := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			answer <- d.instances[0].queryOnce("orders", "k1", "WRITE a b")
		}()
		Consistently(answer, time.Second).ShouldNot(Receive(HavePrefix("DONE")), "acknowledged by a replica that is not promoted")
		d.promotions.CarryOut(func(standin.LostOrder) bool { return true })
		Eventually(func() string { return d.group.Primary().ID }, eventualTimeout, pollInterval).Should(Equal(successor.ID))
		Eventually(func() string { return d.instances[0].queryOnce("orders", "k1", "WRITE a c") }, eventualTimeout, pollInterval).Should(HavePrefix("DONE"))
		Expect(restarted.PausedTerm()).To(BeZero())
	})
	// Guards against orders of the former and the new holder for different members: the one that
	// the platform carries out last takes the lead from a member that has acknowledged commits.
	It("completes a change that a former holder has ordered, whatever order the platform carries out last", func() {
		d := newDeployment(2, 10000)
		Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
		primary := d.group.Primary()
		ordersOf := func(holder string) (orders []standin.LostOrder) {
			for _, o := range d.promotions.LostOrders() {
				if o.Holder == holder {
					orders = append(orders, o)
				}
			}
			return orders
		}
		d.promotions.LoseOrders(true)
		d.store.PutMember(primary, "draining")
		Eventually(func() []standin.LostOrder { return ordersOf("entry1") }, eventualTimeout, pollInterval).ShouldNot(BeEmpty())
		successor := ordersOf("entry1")[0].Member
		d.instances[0].stop()
		Eventually(func() []standin.LostOrder { return ordersOf("entry2") }, eventualTimeout, pollInterval).Should(HaveLen(2))
		d.promotions.CarryOut(func(o standin.LostOrder) bool { return o.Holder == "entry1" })
		Expect(d.group.Primary().ID).To(Equal(successor))
		d.listMembers() // members report the change of their roles
		primary.SetReplicationStopped(true)
		acknowledged := standin.Commit{Item: "a", Data: "b"}
		Eventually(func() string {
			return d.instances[1].queryOnce("orders", "k1", "WRITE "+acknowledged.Item+" "+acknowledged.Data)
		}, eventualTimeout, pollInterval).Should(HavePrefix("DONE"))
		d.promotions.CarryOut(func(standin.LostOrder) bool { return true })
		Expect(d.group.HasCommit(acknowledged)).To(BeTrue(), "the acknowledged commit is lost")
	})
	It("resumes a replica that a former holder of the promotion lease left paused", func() {
		d := newDeployment(1, 10000)
		Eventually(d.store.HasPromotionLeaseHolder, eventualTimeout, pollInterval).Should(BeTrue())
		d.group.Members()[2].SetPausedTerm(9)
		d.instances[0].stop()
		Eventually(d.instances[0].ended, eventualTimeout).Should(Receive())
		d.start("entry9")
		Eventually(d.group.Members()[2].PausedTerm, eventualTimeout, pollInterval).Should(BeZero())
	})
})

var _ = Describe("an outage of the store", func() {
	It("leaves members in use whose entries expire and return in one response of the feed", func() {
		d := newDeployment(1, 10000)
		d.store.SetDown(true)
		for _, m := range d.group.Members() {
			d.store.RemoveMember(m.ID)
		}
		d.listMembers()
		d.store.SetDown(false)
		// The members were dropped 3 s after the response.
		Consistently(func() string { return d.instances[0].queryOnce("orders", "k1", "READ x") }, 5*time.Second, 10*pollInterval).Should(HavePrefix("ROW"))
	})
})

var _ = Describe("an instance that shuts down", func() {
	It("closes idle sessions, answers what it has read, and ends within the grace period", func() {
		d := newDeployment(1, 1000)
		idle, busy := d.instances[0].session("orders", "k1"), d.instances[0].session("orders", "k1")
		busy.query("BEGIN")
		Expect(busy.query("WRITE a b")[0]).To(HavePrefix("DONE"))
		d.instances[0].stop()
		Expect(busy.query("COMMIT")[0]).To(HavePrefix("DONE"))
		Expect(idle.line()).To(HavePrefix("ERR BUSY"))
		Expect(idle.line()).To(Equal("closed"))
		Eventually(d.instances[0].ended, eventualTimeout).Should(Receive(BeNil()))
	})
})
