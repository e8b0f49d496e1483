package backend_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	"github.com/mulberrysill/mulberrysill/pkg/backend"
	"github.com/mulberrysill/mulberrysill/standin/member"
)

// countTransactionConns returns the number of connections for transactions that the
// member has accepted.
func countTransactionConns(m *member.Member) (n int) {
	for _, s := range m.StartupParameters() {
		if s[group.ParamControl] == "" {
			n++
		}
	}
	return n
}

// acquireAsync calls Acquire in the background.
func (tg *testGroup) acquireAsync(ctx context.Context, r backend.Request) (<-chan *backend.Conn, <-chan error) {
	conns, errs := make(chan *backend.Conn, 1), make(chan error, 1)
	go func() {
		c, err := tg.Acquire(ctx, r)
		if err != nil {
			errs <- err
		} else {
			conns <- c
		}
	}()
	return conns, errs
}

func shortAcquireTimeout(c *backend.Config) { c.AcquireTimeout = 300 * time.Millisecond }

func limitToOneConn(tg *testGroup) {
	tg.changeView(func(v *backend.View) { v.Budget = map[string]int{"m1": 1, "m2": 1, "m3": 1} })
}

var _ = Describe("writes while no primary accepts them", func() {
	hold := func(v *backend.View) { v.HoldWrites = true }
	noPrimary := func(v *backend.View) { v.Primary = "" }
	outOfService := func(v *backend.View) { v.InService["m1"] = false }
	restore := func(v *backend.View) { v.HoldWrites, v.Primary, v.InService["m1"] = false, "m1", true }

	DescribeTable("wait until a primary accepts them, while reads are served",
		func(f func(*backend.View)) {
			tg := newTestGroup(noConnectCost, nil)
			Expect(tg.Confirm(timeoutContext(time.Second), tg.execWrite("CREATE TABLE stock (n INTEGER)"))).To(Succeed())
			tg.changeView(f)
			conns, errs := tg.acquireAsync(context.Background(), writeRequest("loja"))
			Consistently(conns, "100ms").ShouldNot(Receive())
			c := tg.acquire(readRequest("loja", group.Position{Term: 1, Index: 1}))
			if !tg.view.InService["m1"] {
				Expect(c.Member()).NotTo(Equal("m1"))
			}
			c.Release(true)
			tg.changeView(restore)
			Eventually(conns).Should(Receive(&c))
			Expect(errs).To(BeEmpty())
			c.Release(true)
		},
		Entry("held for a switchover, which would abort them", hold),
		Entry("without a primary, where clients would see errors", noPrimary),
		Entry("primary out of service, whose backend server must get no new requests", outOfService),
	)
	It("are refused as not run after the timeout, so that they do not hang", func() {
		tg := newTestGroup(noConnectCost, shortAcquireTimeout)
		tg.changeView(noPrimary)
		_, err := tg.Acquire(context.Background(), writeRequest("loja"))
		Expect(err).To(haveVerdict(verdict.NotRun, verdict.NoPrimary))
	})
	It("are refused at once above the limit, which bounds the memory", func() {
		tg := newTestGroup(noConnectCost, func(c *backend.Config) { c.HeldRequestLimit = 2 })
		tg.changeView(noPrimary)
		for range 2 {
			_, errs := tg.acquireAsync(timeoutContext(time.Minute), writeRequest("loja"))
			Consistently(errs, "50ms").ShouldNot(Receive())
		}
		_, err := tg.Acquire(timeoutContext(time.Second), writeRequest("loja"))
		Expect(err).To(haveVerdict(verdict.NotRun, verdict.NoPrimary))
	})
})

// BenchmarkAcquire measures taking and releasing an idle connection.
func BenchmarkAcquire(b *testing.B) {
	RegisterTestingT(b)
	members, err := member.StartGroup("m", 1, member.Options{Group: "orders"})
	Expect(err).NotTo(HaveOccurred())
	defer member.CloseAll(members)
	g, err := backend.NewGroup(backend.Config{
		Group: "orders", Members: []backend.Member{{Name: "m1", Address: members[0].Addr()}},
	})
	Expect(err).NotTo(HaveOccurred())
	g.Start()
	defer g.Close()
	in, budget := map[string]bool{"m1": true}, map[string]int{"m1": 3}
	g.SetView(backend.View{Primary: "m1", Term: 1, TermStart: 1, InService: in, Budget: budget})
	for b.Loop() {
		c, err := g.Acquire(context.Background(), writeRequest("loja"))
		if err != nil {
			b.Fatal(err)
		}
		c.Release(true)
	}
}

var _ = Describe("the pool", func() {
	It("never has more open connections than the budget, including those opened in advance", func() {
		tg := newTestGroup(member.Options{MaxConnections: 3, ConnectCost: -1}, nil)
		tg.execWrite("CREATE TABLE stock (n INTEGER)")
		var all sync.WaitGroup
		for range 50 {
			all.Go(func() {
				defer GinkgoRecover()
				c := tg.acquire(writeRequest("loja"))
				query(c, "SELECT 1")
				c.Release(true)
			})
		}
		all.Wait()
		// The pool opens connections in advance, in the background.
		Eventually(func() int { return countTransactionConns(tg.members[1]) }).Should(Equal(3))
		Eventually(func() int { return countTransactionConns(tg.members[0]) }).Should(Equal(3))
		Consistently(func() int { return countTransactionConns(tg.members[0]) }, "300ms").Should(Equal(3))
		tg.changeView(func(v *backend.View) { v.Budget["m1"] = 1 })
		first := tg.acquire(writeRequest("loja"))
		conns, errs := tg.acquireAsync(timeoutContext(100*time.Millisecond), writeRequest("loja"))
		Eventually(errs).Should(Receive(haveVerdict(verdict.NotRun, verdict.Cancelled)))
		Expect(conns).To(BeEmpty())
		first.Release(true)
		reads, writes := tg.RunningTransactions()
		Expect([]int{reads, writes}).To(Equal([]int{0, 0}))
	})
	It("replaces a connection that was released as not reusable, so that no session inherits its state", func() {
		tg := newTestGroup(noConnectCost, nil)
		limitToOneConn(tg)
		c := tg.acquire(writeRequest("loja"))
		_, pid, _ := c.CancelKey()
		c.SessionState()["s1"] = struct{}{}
		c.Release(false)
		c.Release(true)
		c = tg.acquire(writeRequest("loja"))
		_, next, _ := c.CancelKey()
		Expect(next).NotTo(Equal(pid))
		Expect(c.SessionState()).To(BeEmpty())
		Expect(c.LastWorkspace()).To(BeEmpty())
		c.Release(true)
		c = tg.acquire(writeRequest("outra"))
		Expect(c.LastWorkspace()).To(Equal("loja"))
		c.Release(true)
	})
	It("sends no requests to a member that is out of service, and moves waiting requests to others", func() {
		tg := newTestGroup(noConnectCost, nil)
		limitToOneConn(tg)
		p := tg.execWrite("CREATE TABLE stock (n INTEGER)")
		tg.awaitReplication(p)
		tg.changeView(func(v *backend.View) { v.InService["m3"] = false })
		held := tg.acquire(readRequest("loja", p))
		Expect(held.Member()).To(Equal("m2"))
		conns, _ := tg.acquireAsync(context.Background(), readRequest("loja", p))
		Consistently(conns, "50ms").ShouldNot(Receive())
		tg.changeView(func(v *backend.View) { v.InService["m2"], v.InService["m3"] = false, true })
		var c *backend.Conn
		Eventually(conns).Should(Receive(&c))
		Expect(c.Member()).To(Equal("m3"))
		c.Release(true)
		_, _, err := query(held, "SELECT 1")
		Expect(err).NotTo(HaveOccurred(), "a running transaction must not be interrupted")
		held.Release(true)
	})
	It("serves a read that waits for a busy replica on another one that becomes free", func() {
		tg := newTestGroup(noConnectCost, nil)
		limitToOneConn(tg)
		p := tg.execWrite("CREATE TABLE stock (n INTEGER)")
		tg.awaitReplication(p)
		first, second := tg.acquire(readRequest("loja", p)), tg.acquire(readRequest("loja", p))
		Expect([]string{first.Member(), second.Member()}).To(ConsistOf("m2", "m3"))
		var waiting [2]<-chan *backend.Conn
		for i := range waiting {
			waiting[i], _ = tg.acquireAsync(context.Background(), readRequest("loja", p))
		}
		Consistently(waiting[0], "50ms").ShouldNot(Receive())
		for range waiting {
			first.Release(true)
			select {
			case first = <-waiting[0]:
			case first = <-waiting[1]:
			case <-time.After(time.Second):
				Fail("the free replica must serve a waiting read")
			}
		}
		first.Release(true)
		second.Release(true)
	})
	It("serves requests for a second database while the first is always busy", func() {
		tg := newTestGroup(noConnectCost, nil)
		limitToOneConn(tg)
		done := make(chan struct{})
		defer close(done)
		for range 3 {
			go func() {
				defer GinkgoRecover()
				for {
					select {
					case <-done:
						return
					default:
					}
					if c, err := tg.Acquire(context.Background(), writeRequest("loja")); err == nil {
						query(c, "SELECT 1")
						c.Release(true)
					}
				}
			}()
		}
		for range 5 {
			r := writeRequest("outra")
			r.Database = "rentals"
			tg.acquire(r).Release(true)
		}
	})
	It("divides a contended member evenly, so that no workspace starves the others", func() {
		tg := newTestGroup(noConnectCost, nil)
		limitToOneConn(tg)
		var mu sync.Mutex
		served := map[string]int{}
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		var all sync.WaitGroup
		startClients := func(workspace string, clients int) {
			for range clients {
				all.Go(func() {
					for {
						c, err := tg.Acquire(ctx, writeRequest(workspace))
						if err != nil {
							return
						}
						time.Sleep(2 * time.Millisecond)
						c.Release(true)
						mu.Lock()
						served[workspace]++
						mu.Unlock()
					}
				})
			}
		}
		startClients("small", 2)
		startClients("large", 50)
		all.Wait()
		share := float64(served["small"]) / float64(served["small"]+served["large"])
		Expect(share).To(BeNumerically(">", 0.42), "%v", served)
	})
	It("refuses requests above the queue limit with 53300", func() {
		tg := newTestGroup(noConnectCost, func(c *backend.Config) { c.QueueLimit = 2 })
		limitToOneConn(tg)
		c := tg.acquire(writeRequest("loja"))
		defer c.Release(true)
		var refusals [3]<-chan error
		for i := range refusals {
			_, refusals[i] = tg.acquireAsync(timeoutContext(time.Minute), writeRequest("loja"))
		}
		Eventually(func() error {
			for _, errs := range refusals {
				select {
				case err := <-errs:
					return err
				default:
				}
			}
			return nil
		}).Should(haveVerdict(verdict.NotRun, verdict.QueueFull))
	})
	It("detects idle connections that the member has closed", func() {
		tg := newTestGroup(noConnectCost, nil)
		limitToOneConn(tg)
		c := tg.acquire(writeRequest("loja"))
		_, _, err := query(c, "CREATE TABLE stock (n INTEGER)")
		Expect(err).NotTo(HaveOccurred())
		c.Release(true)
		// Closing the write side makes the member close the connection.
		type closer interface{ CloseWrite() error }
		Expect(c.NetConn().(closer).CloseWrite()).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		c = tg.acquire(writeRequest("loja"))
		_, _, err = query(c, "SELECT 1")
		c.Release(true)
		Expect(err).NotTo(HaveOccurred())
	})
	It("refuses waiting requests when the group is closed", func() {
		tg := newTestGroup(noConnectCost, nil)
		limitToOneConn(tg)
		c := tg.acquire(writeRequest("loja"))
		_, errs := tg.acquireAsync(context.Background(), writeRequest("loja"))
		Consistently(errs, "50ms").ShouldNot(Receive())
		tg.Close()
		Eventually(errs).Should(Receive(haveVerdict(verdict.NotRun, verdict.ShuttingDown)))
		c.Release(true)
	})
})
