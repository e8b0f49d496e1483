package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

var _ = Describe("a session", func() {
	It("reads its own writes although replicas are behind", func() {
		d := newDeployment(1, 1000)
		d.group.ApplyDelay = 300 * time.Millisecond
		s := d.instances[0].session("workshop", "k1")
		for n := range 10 {
			Expect(s.query(fmt.Sprintf("WRITE job %d", n))[0]).To(HavePrefix("DONE g1-0"))
			Expect(s.query("READ job")[0]).To(Equal(fmt.Sprintf("ROW %d", n)), "a stale read")
		}
	})
	It("spreads reads of accepted age over replicas", func() {
		d := newDeployment(1, 1000)
		s := d.instances[0].session("stock", "k1")
		for range 40 {
			Expect(s.query("READ wire")[0]).To(HavePrefix("ROW"))
		}
		replicas := 0
		for _, r := range d.group.ExecutedStatements() {
			if r.Member != "g1-0" {
				replicas++
			}
		}
		Expect(replicas).To(BeNumerically(">", 30))
	})
	It("sends few reads to a replica that fails them although its status is good", func() {
		d := newDeployment(1, 10000)
		failing := d.group.Members()[1]
		failing.SetReadsFailing(true)
		s := d.instances[0].session("stock", "k1")
		for range 100 {
			Expect(s.query("READ wire")[0]).To(HavePrefix("ROW"), "a read that fails on one replica is retried on another")
		}
		Expect(failing.FailedReads()).To(BeNumerically("<=", 10), "each failed read costs the client a second attempt")
	})
	It("reads from replicas while the primary takes no further connection, as after a loss of power", func() {
		d := newDeployment(1, 1000)
		d.group.Primary().SetMaxConnections(0)
		late := d.start("entry2")
		Eventually(func() string {
			Expect(d.instances[0].queryOnce("stock", "k1", "READ wire")).To(HavePrefix("ROW"))
			return late.queryOnce("stock", "k1", "READ wire")
		}, eventualTimeout, pollInterval).Should(HavePrefix("ROW"))
	})
	It("keeps connections open between statements, also after the deadline of the last one", func() {
		d := newDeployment(1, 1000)
		s := d.instances[0].session("orders", "k1")
		Expect(s.query("READ a")[0]).To(HavePrefix("ROW"))
		opened := d.group.OpenedConnections()
		time.Sleep(3500 * time.Millisecond) // the statement timeout is 3 s
		Expect(s.query("READ a")[0]).To(HavePrefix("ROW"))
		Expect(d.group.OpenedConnections()-opened).To(BeNumerically("<=", 3), "idle connections were treated as stale")
	})
	It("keeps settings and prepared statements of sessions apart on shared connections", func() {
		d := newDeployment(1, 1000)
		a, b := d.instances[0].session("workshop", "k1"), d.instances[0].session("workshop", "k1")
		Expect(a.query("SET lang pt")[0]).To(Equal("DONE -"))
		Expect(b.query("SET mode dark")[0]).To(Equal("DONE -"))
		Expect(a.query("PREPARE s1 READ q1")[0]).To(Equal("DONE -"))
		Expect(b.query("PREPARE s1 WRITE q2")[0]).To(Equal("DONE -"))
		for range 5 {
			Expect(b.query("EXEC s1 item new")[0]).To(HavePrefix("DONE g1-0"))
			Expect(a.query("EXEC s1 item")[0]).To(Equal("ROW new"))
		}
		for _, r := range d.group.ExecutedStatements() {
			if strings.HasPrefix(r.Text, "EXEC mr") {
				Expect(r.Settings).To(Equal(map[string]string{"lang": "pt"}))
			} else if strings.HasPrefix(r.Text, "EXEC mw") {
				Expect(r.Settings).To(Equal(map[string]string{"mode": "dark"}))
			}
		}
		Expect(a.query("DEALLOC s1")[0]).To(Equal("DONE -"))
		Expect(a.query("EXEC s1 item")[0]).To(HavePrefix("ERR NOSTMT"))
	})
	// Guards against a client that runs the statement of another one because both texts have
	// the same hash. These two have the same length and the same XXH64 hash.
	It("keeps prepared statements apart whose texts have the same 64-bit hash", func() {
		const one = "gws7p6tuvuhtgfs7uzawrcge29lhfu3dio63pmqekg1yw9nj77lmjmce8uc4of6a"
		const other = "9o5wtyrcvuhtgfs7uzawrcge29lhfu3d7pZJuEqpkg1yw9nj77lmjmce8uc4of6a"
		Expect(xxhash.Sum64String(one)).To(Equal(xxhash.Sum64String(other)))
		d := newDeployment(1, 1000)
		a, b := d.instances[0].session("workshop", "k1"), d.instances[0].session("workshop", "k1")
		Expect(a.query("PREPARE s1 READ " + one)[0]).To(Equal("DONE -"))
		Expect(b.query("PREPARE s1 READ " + other)[0]).To(Equal("DONE -"))
		for range 5 {
			Expect(a.query("EXEC s1 a")[0]).To(HavePrefix("ROW"))
			Expect(b.query("EXEC s1 b")[0]).To(HavePrefix("ROW"))
		}
		names := map[string]string{} // by item
		for _, r := range d.group.ExecutedStatements() {
			if f := strings.Fields(r.Text); f[0] == "EXEC" {
				names[f[2]] = f[1]
			}
		}
		Expect(names).To(HaveLen(2))
		Expect(names["a"]).NotTo(Equal(names["b"]))
	})
	It("commits and rolls back transactions, and isolates them from each other", func() {
		d := newDeployment(1, 1000)
		a, b := d.instances[0].session("orders", "k1"), d.instances[0].session("orders", "k1")
		Expect(a.query("BEGIN")).To(Equal([]string{"DONE -", "READY T -"}))
		Expect(a.query("WRITE frame cut")[0]).To(HavePrefix("DONE g1-0"))
		Expect(b.query("READ frame")[0]).To(Equal("ROW none"))
		Expect(a.query("ROLLBACK")).To(Equal([]string{"DONE -", "READY I -"}))
		Expect(a.query("BEGIN")[0]).To(Equal("DONE -"))
		Expect(a.query("WRITE frame welded")[0]).To(HavePrefix("DONE g1-0"))
		Expect(a.query("COMMIT")[0]).To(HavePrefix("DONE g1-0"))
		Expect(b.query("READ frame")[0]).To(Equal("ROW welded"))
	})
	It("accepts only the end of a failed transaction", func() {
		d := newDeployment(1, 1000)
		s := d.instances[0].session("orders", "k1")
		s.query("BEGIN READ")
		Expect(s.query("WRITE a b")).To(ConsistOf(HavePrefix("ERR READONLY"), "READY E -"))
		Expect(s.query("READ a")).To(ConsistOf(HavePrefix("ERR MALFORMED"), "READY E -"))
		Expect(s.query("COMMIT")).To(ConsistOf(HavePrefix("ERR ABORTED"), "READY I -"))
		Expect(s.query("READ a")[0]).To(HavePrefix("ROW"))
	})
	It("releases the connection of an idle transaction and reports the rollback", func() {
		d := newDeployment(1, 1000)
		s := d.instances[0].session("orders", "k1")
		s.query("BEGIN")
		s.query("WRITE a b")
		time.Sleep(1300 * time.Millisecond) // txIdleMs is 1 s
		Expect(s.query("WRITE a c")).To(ConsistOf(HavePrefix("ERR MALFORMED"), "READY E -"))
		Expect(s.query("ROLLBACK")[0]).To(Equal("DONE -"))
		Expect(d.group.HasCommit(standin.Commit{Item: "a", Data: "b"})).To(BeFalse())
	})
	DescribeTable("survives bad input", func(line, answer string) {
		d := newDeployment(1, 1000)
		s := d.instances[0].session("orders", "k1")
		_, err := s.Write([]byte(line + "\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.line()).To(HavePrefix(answer))
		Expect(d.instances[0].queryOnce("orders", "k1", "READ a")).To(HavePrefix("ROW"), "other sessions are unaffected")
	},
		Entry("an unknown statement", "QUERY 1 DROP all", "ERR MALFORMED"),
		Entry("an unknown message", "HELLO", "ERR MALFORMED"),
		Entry("a read of two items", "QUERY 1 READ a b", "ERR MALFORMED"),
		Entry("a member's prefix, which would move the floor", "QUERY 1 AFTER 1.1 READ a", "ERR MALFORMED"),
		Entry("a control statement", "QUERY 1 DEMOTE 9", "ERR MALFORMED"),
		Entry("the proxy's own identity", "QUERY - READ a", "ERR MALFORMED"),
		Entry("a message above the size limit", "QUERY 1 WRITE a "+strings.Repeat("x", 1<<20), "ERR TOOLARGE"),
	)
	It("is refused without a route or with an unknown key", func() {
		d := newDeployment(1, 1000)
		Expect(d.instances[0].queryOnce("nowhere", "k1", "READ a")).To(HavePrefix("ERR NODB"))
		_, refused := d.instances[0].dial("orders", "k9")
		Expect(refused).To(HavePrefix("ERR NOAUTH"))
		Expect(refused).To(ContainSubstring("id entry1-start-"), "the refusal lacks the ID under which it is logged")
	})
})

var _ = Describe("a lost response", func() {
	It("to a single write is in doubt, and the write runs once", func() {
		d := newDeployment(1, 1000)
		d.group.Primary().DropResponses(1)
		Expect(d.instances[0].queryOnce("orders", "k1", "WRITE pay 10")).To(HavePrefix("ERR INDOUBT"))
		writes := 0
		for _, r := range d.group.ExecutedStatements() {
			if r.Text == "WRITE pay 10" {
				writes++
			}
		}
		Expect(writes).To(Equal(1))
	})
	It("to a read causes a retry", func() {
		d := newDeployment(1, 1000)
		d.group.Primary().DropResponses(1)
		Expect(d.instances[0].queryOnce("orders", "k1", "READ pay")).To(Equal("ROW none"))
	})
	It("inside a transaction aborts it, and nothing is committed", func() {
		d := newDeployment(1, 1000)
		s := d.instances[0].session("orders", "k1")
		s.query("BEGIN")
		d.group.Primary().DropResponses(1)
		Expect(s.query("WRITE pay 10")).To(ConsistOf(HavePrefix("ERR ABORTED"), "READY E -"))
		Expect(d.group.HasCommit(standin.Commit{Item: "pay", Data: "10"})).To(BeFalse())
	})
	It("to a commit is in doubt", func() {
		d := newDeployment(1, 1000)
		s := d.instances[0].session("orders", "k1")
		s.query("BEGIN")
		s.query("WRITE pay 10")
		d.group.Primary().DropResponses(1)
		Expect(s.query("COMMIT")).To(ConsistOf(HavePrefix("ERR INDOUBT"), "READY I -"))
	})
})

var _ = Describe("keys", func() {
	It("stop working in open sessions when they are revoked", func() {
		d := newDeployment(2, 1000)
		s := d.instances[1].session("orders", "k2")
		Expect(s.query("READ a")[0]).To(HavePrefix("ROW"))
		d.config.Version, d.config.Workspaces[0].Keys = 2, []string{"k1"}
		d.store.PutConfig(d.config)
		Eventually(func() string { return s.query("READ a")[0] }, eventualTimeout, pollInterval).Should(HavePrefix("ERR NOAUTH"))
		Expect(d.instances[1].queryOnce("orders", "k1", "READ a")).To(HavePrefix("ROW"))
	})
	It("are refused if the store does not confirm them in time, and work again after it recovers", func() {
		d := newDeployment(2, 1000)
		d.store.SetDown(true)
		Eventually(func() string { return d.instances[0].queryOnce("orders", "k1", "READ a") }, eventualTimeout, pollInterval).Should(HavePrefix("ERR BUSY"))
		d.store.SetDown(false)
		Eventually(func() string { return d.instances[0].queryOnce("orders", "k1", "READ a") }, eventualTimeout, pollInterval).Should(HavePrefix("ROW"))
	})
	It("follow a configuration change that the store no longer keeps in its history", func() {
		d := newDeployment(1, 1000)
		d.config.Version, d.config.Workspaces[0].Keys = 2, []string{"k7"}
		d.store.PutConfig(d.config)
		d.store.CompactHistory()
		Eventually(func() string { return d.instances[0].queryOnce("orders", "k7", "READ a") }, eventualTimeout, pollInterval).Should(HavePrefix("ROW"))
	})
	It("never reach a member", func() {
		d := newDeployment(2, 1000)
		d.instances[0].queryOnce("orders", "k1", "READ a")
		for _, r := range d.group.ExecutedStatements() {
			Expect(r.Workspace).To(Equal("coop"))
		}
	})
})

var _ = Describe("malformed entries in the store", func() {
	It("are ignored, and valid entries stay in force", func() {
		d := newDeployment(1, 1000)
		d.store.PutMalformedRows()
		for range 20 {
			Expect(d.instances[0].queryOnce("orders", "k1", "READ a")).To(HavePrefix("ROW"))
		}
	})
})

var _ = Describe("a workspace's limit", func() {
	It("applies to all instances together", func() {
		d := newDeployment(3, 20)
		const workers, length = 4, 5 * time.Second
		var mu sync.Mutex
		served := 0
		var wait sync.WaitGroup
		started := time.Now()
		for _, i := range d.instances {
			for range workers {
				s := i.session("orders", "k1")
				wait.Add(1)
				go func() {
					defer wait.Done()
					defer GinkgoRecover()
					for time.Since(started) < length {
						answer := s.query("READ a")[0]
						if strings.HasPrefix(answer, "ROW") {
							mu.Lock()
							served++
							mu.Unlock()
						} else {
							Expect(answer).To(HavePrefix("ERR BUSY"))
							Expect(answer).To(ContainSubstring("retry after"))
							time.Sleep(5 * time.Millisecond)
						}
					}
				}()
			}
		}
		wait.Wait()
		// The platform tolerates 10% above the limit, and 20 more operations.
		Expect(served).To(BeNumerically("<=", int((20*length.Seconds()+20)*1.1+20)))
		Expect(served).To(BeNumerically(">=", int(20*length.Seconds()*0.7)))
	})
})
