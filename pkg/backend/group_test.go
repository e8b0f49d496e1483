package backend_test

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	"github.com/mulberrysill/mulberrysill/pkg/backend"
	"github.com/mulberrysill/mulberrysill/standin/member"
)

var noConnectCost = member.Options{ConnectCost: -1}

var _ = Describe("an address that belongs to a member of another group", func() {
	It("is rejected, so that foreign positions do not confirm commits", func() {
		foreign, err := member.StartGroup("m", 1, member.Options{Group: "billing"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { member.CloseAll(foreign) })
		tg := newTestGroup(noConnectCost, func(cfg *backend.Config) { cfg.Members[0].Address = foreign[0].Addr() })
		_, err = tg.Status(timeoutContext(time.Second), "m1")
		Expect(err).To(MatchError(ContainSubstring(`answered as "m1" of "billing"`)))
	})
})

var _ = Describe("reads and writes", func() {
	It("lets a session read its own writes on a replica, neither stale nor on the primary only", func() {
		tg := newTestGroup(noConnectCost, nil)
		tg.execWrite("CREATE TABLE stock (n INTEGER)")
		for range 20 {
			p := tg.execWrite("INSERT INTO stock VALUES (1)")
			Expect(tg.Confirm(timeoutContext(time.Second), p)).To(Succeed())
			c := tg.acquire(readRequest("loja", p))
			Expect(c.Member()).To(BeElementOf("m2", "m3"))
			_, _, err := query(c, "SELECT 1")
			Expect(err).NotTo(HaveOccurred())
			c.Release(true)
		}
		c := tg.acquire(readRequest("loja", tg.execWrite("INSERT INTO stock VALUES (1)")))
		defer c.Release(true)
		Expect(query(c, "SELECT count(*) FROM stock")).To(Equal("21"))
	})

	It("sends a read to the primary if replicas lag longer than the read wait", func() {
		tg := newTestGroup(member.Options{ConnectCost: -1, ApplyLag: 700 * time.Millisecond}, nil)
		p := tg.execWrite("CREATE TABLE stock (n INTEGER)")
		r := readRequest("loja", p)
		r.ReadWait = 0
		start := time.Now()
		c := tg.acquire(r)
		Expect(time.Since(start)).To(BeNumerically("<", 300*time.Millisecond))
		Expect(c.Member()).To(Equal("m1"))
		c.Release(true)
	})

	It("serves reads with bounded staleness from a lagging replica, but never below the floor", func() {
		tg := newTestGroup(member.Options{ConnectCost: -1, ApplyLag: 300 * time.Millisecond}, nil)
		tg.execWrite("CREATE TABLE stock (n INTEGER)")
		time.Sleep(800 * time.Millisecond)
		staleRead := backend.Request{Workspace: "loja", Database: database, Read: true, MaxAge: 700 * time.Millisecond}
		p := tg.execWrite("INSERT INTO stock VALUES (1)")
		c := tg.acquire(staleRead)
		Expect(c.Member()).To(Equal("m2"))
		c.Release(true)
		staleRead.Floor = p
		c = tg.acquire(staleRead)
		Expect(c.Member()).To(Equal("m1"))
		c.Release(true)
	})

	It("sends no reads to an unresponsive replica, where they would hang", func() {
		tg := newTestGroup(noConnectCost, nil)
		p := tg.execWrite("CREATE TABLE stock (n INTEGER)")
		tg.members[1].PauseResponses()
		defer tg.members[1].ResumeResponses()
		Eventually(func() int { return tg.probes.failures("m2") }).Should(BeNumerically(">", 1))
		for range 5 {
			c := tg.acquire(readRequest("loja", p))
			Expect(c.Member()).To(Equal("m3"))
			c.Release(true)
		}
	})

	It("closes transactions on an unresponsive member, where they would hang", func() {
		tg := newTestGroup(noConnectCost, nil)
		tg.awaitReplication(tg.execWrite("CREATE TABLE stock (n INTEGER)"))
		c := tg.acquire(writeRequest("loja"))
		tg.members[0].PauseResponses()
		defer tg.members[0].ResumeResponses()
		_, _, err := query(c, "INSERT INTO stock VALUES (1)")
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(), "the client's own deadline must not be what ended the wait")
		c.Release(true)
	})

	It("grants no connections of an earlier incarnation, which would read discarded entries", func() {
		tg := newTestGroup(noConnectCost, nil)
		p := tg.execWrite("CREATE TABLE stock (n INTEGER)")
		tg.awaitReplication(p)
		tg.acquire(readRequest("loja", p)).Release(true)
		tg.cutReplication("m1")
		tg.execWrite("INSERT INTO stock VALUES (1)")
		tg.promote("m2", 2, "m2", "m3")
		p = tg.execWrite("INSERT INTO stock VALUES (2), (3)")
		for _, m := range tg.members {
			for _, f := range tg.members {
				m.RestoreReplication(f.Name())
			}
		}
		tg.changeView(func(v *backend.View) { v.InService["m3"] = false })
		var c *backend.Conn
		Eventually(func() string {
			c = tg.acquire(readRequest("loja", p))
			c.Release(c.Member() == "m2")
			return c.Member()
		}).Should(Equal("m1"))
		c = tg.acquire(readRequest("loja", p))
		defer c.Release(true)
		Expect(query(c, "SELECT sum(n) FROM stock")).To(Equal("5"))
	})

	It("logs in to members only with the instance's user, never with a client's credentials", func() {
		tg := newTestGroup(noConnectCost, nil)
		tg.execWrite("CREATE TABLE stock (n INTEGER)")
		for _, s := range tg.members[0].StartupParameters() {
			Expect(s["user"]).To(Equal("mulberrysill"))
		}
		Expect(tg.members[0].StartupParameters()).To(ContainElement(HaveKeyWithValue("database", database)))
	})
})

var _ = Describe("an unconfirmed commit", func() {
	var tg *testGroup
	var lost group.Position
	result := make(chan error, 1)
	BeforeEach(func() {
		tg = newTestGroup(noConnectCost, func(c *backend.Config) { c.ConfirmTimeout = 3 * time.Second })
		p := tg.execWrite("CREATE TABLE stock (n INTEGER)")
		Expect(tg.Confirm(timeoutContext(time.Second), p)).To(Succeed())
		tg.awaitReplication(p)
		tg.cutReplication("m1")
		lost = tg.execWrite("INSERT INTO stock VALUES (1)")
		go func() { result <- tg.Confirm(context.Background(), lost) }()
		Consistently(result, "200ms").ShouldNot(Receive())
	})

	It("is reported as not run if the log of the new term lacks it", func() {
		tg.promote("m2", 2, "m2", "m3")
		Eventually(result).Should(Receive(haveVerdict(verdict.NotRun, verdict.NoPrimary)))
	})
	It("is acknowledged if the log of the new term has it, so that a retry does not repeat it", func() {
		tg.promote("m1", 2, "m1", "m2")
		Consistently(result, "200ms").ShouldNot(Receive())
		tg.members[0].RestoreReplication("m2")
		tg.members[1].RestoreReplication("m1")
		Eventually(result).Should(Receive(BeNil()))
	})
	It("is reported as may have run if no new term is confirmed in time", func() {
		Eventually(result).Should(Receive(haveVerdict(verdict.MayHaveRun, verdict.OutcomeUnknown)))
	})
})

var _ = Describe("a sampled floor", func() {
	It("includes every earlier write, so that a new session sees the writes of others", func() {
		tg := newTestGroup(noConnectCost, nil)
		tg.execWrite("CREATE TABLE stock (n INTEGER)")
		for range 10 {
			p := tg.execWrite("INSERT INTO stock VALUES (1)")
			floor, err := tg.SampleFloor(timeoutContext(time.Second))
			Expect(err).NotTo(HaveOccurred())
			Expect(floor.Compare(p)).To(BeNumerically(">=", 0))
		}
	})
	It("does not come from a primary whose majority has promised a later term, which would be stale", func() {
		tg := newTestGroup(noConnectCost, func(c *backend.Config) { c.AcquireTimeout = 500 * time.Millisecond })
		for _, name := range []string{"m2", "m3"} {
			_, err := tg.Fence(timeoutContext(time.Second), name, 2, "i2")
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := tg.SampleFloor(timeoutContext(time.Second))
		Expect(err).To(haveVerdict(verdict.NotRun, verdict.NoPrimary))
	})
	It("is shared by waiting sessions, instead of one status call per session", func() {
		tg := newTestGroup(member.Options{ConnectCost: -1, NetworkDelay: 20 * time.Millisecond}, nil)
		Eventually(func() error { _, err := tg.SampleFloor(timeoutContext(time.Second)); return err }).Should(Succeed())
		calls := func() (n int) {
			for _, bytes := range tg.members[0].ReceivedBytes() {
				n += len(bytes)
			}
			return n / len(group.StatusSQL())
		}
		before, done := calls(), make(chan error)
		for range 200 {
			go func() { _, err := tg.SampleFloor(context.Background()); done <- err }()
		}
		for range 200 {
			Expect(<-done).To(Succeed())
		}
		Expect(calls() - before).To(BeNumerically("<", 20))
	})
})

var _ = Describe("a refused fence", func() {
	It("reports the promised term, so that the next attempt can use a higher one", func() {
		tg := newTestGroup(noConnectCost, nil)
		_, err := tg.Fence(timeoutContext(time.Second), "m2", 7, "i2")
		Expect(err).NotTo(HaveOccurred())
		_, err = tg.Fence(timeoutContext(time.Second), "m2", 6, "i1")
		var refused *backend.FenceRefusedError
		Expect(err).To(MatchError(ContainSubstring("promised")))
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.PromisedTerm).To(BeEquivalentTo(7))
	})
})

var _ = Describe("a replaced primary", func() {
	start := func() (*testGroup, *backend.Conn, chan error) {
		tg := newTestGroup(noConnectCost, nil)
		tg.awaitReplication(tg.execWrite("CREATE TABLE stock (n INTEGER)"))
		c := tg.acquire(writeRequest("loja"))
		tg.members[0].PauseResponses()
		DeferCleanup(tg.members[0].ResumeResponses)
		result := make(chan error, 1)
		go func() {
			_, _, err := query(c, "INSERT INTO stock VALUES (1)")
			result <- err
		}()
		return tg, c, result
	}

	It("loses its connections if it is unresponsive, so that transactions on a paused primary end", func() {
		tg, c, result := start()
		Consistently(result).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
		tg.promote("m2", 2, "m2", "m3")
		// The statement's own deadline is 5 s.
		Eventually(result).WithTimeout(3 * time.Second).Should(Receive(MatchError(net.ErrClosed)))
		c.Release(false)
		stats, _ := tg.Stats()
		Expect(stats["m1"].Attached).To(BeZero())
	})

	It("keeps its connections while no other member is primary, so that commits are not abandoned early", func() {
		tg, c, result := start()
		Eventually(func() int { return tg.probes.failures("m1") }).Should(BeNumerically(">", 3))
		Expect(result).NotTo(Receive())
		tg.members[0].ResumeResponses()
		Eventually(result).Should(Receive(BeNil()))
		c.Release(true)
	})

	It("keeps its connections while it responds, so that its refusals remain definite outcomes", func() {
		tg := newTestGroup(noConnectCost, nil)
		tg.awaitReplication(tg.execWrite("CREATE TABLE stock (n INTEGER)"))
		c := tg.acquire(writeRequest("loja"))
		tg.promote("m2", 2, "m1", "m2", "m3")
		time.Sleep(time.Second)
		_, _, err := query(c, "INSERT INTO stock VALUES (1)")
		Expect(err).To(MatchError(ContainSubstring("25006")))
		c.Release(false)
	})
})
