package gateway_test

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/pkg/gateway"
	"github.com/mulberrysill/mulberrysill/platform/standin"
)

// holdTime is how long a holdingClient goes on to write an answer after the listener was
// closed, which is at the end of the drain.
const holdTime = 100 * time.Millisecond

// holdingListener accepts clients that read their answers slowly while holds is set.
type holdingListener struct {
	gateway.Listener
	holds     atomic.Bool
	holding   atomic.Int64
	closeOnce sync.Once
	closed    chan struct{}
}

// hold waits until the answer may be written.
func (l *holdingListener) hold() {
	if l.holds.Load() {
		l.holding.Add(1)
		<-l.closed
		time.Sleep(holdTime)
	}
}

func (l *holdingListener) AcceptClient() (gateway.Client, error) {
	c, err := l.Listener.AcceptClient()
	return holdingClient{c, l}, err
}

func (l *holdingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type holdingClient struct {
	gateway.Client
	listener *holdingListener
}

func (c holdingClient) Answer(r statement.Reply, state statement.State) error {
	c.listener.hold()
	return c.Client.Answer(r, state)
}

func (c holdingClient) Ready(state statement.State) error {
	c.listener.hold()
	return c.Client.Ready(state)
}

// transactionLoad is clients that read in transactions until their instance ends them.
type transactionLoad struct {
	inProgress, answered, cut atomic.Int64
	running                   sync.WaitGroup
	// refusal is the beginning of the error that ends a transaction.
	refusal string
}

// start begins the client's transaction after the delay.
func (l *transactionLoad) start(c *client, delay, pause time.Duration) {
	l.running.Go(func() {
		defer GinkgoRecover()
		time.Sleep(delay)
		for text := "BEGIN READ"; ; time.Sleep(pause) {
			l.inProgress.Add(1)
			answer := c.query(text)
			l.inProgress.Add(-1)
			switch {
			case answer[len(answer)-1] == "closed":
				l.cut.Add(1)
				return
			case text == "ROLLBACK":
				return
			case strings.HasPrefix(answer[0], "ERR"):
				Expect(answer[0]).To(HavePrefix(l.refusal))
				text = "ROLLBACK"
			default:
				l.answered.Add(1)
				text = "READ x"
			}
		}
	})
}

// expectAnswers waits for the end of the instance and expects that all statements had whole
// answers by then, more than atLeast of them rows.
func (l *transactionLoad) expectAnswers(i *instance, atLeast int) {
	Eventually(i.ended, eventualTimeout).Should(Receive())
	Expect(l.inProgress.Load()).To(BeZero(), "statements in progress as the instance ended")
	l.running.Wait()
	Expect(l.cut.Load()).To(BeZero(), "statements whose connection ended without an answer")
	Expect(l.answered.Load()).To(BeNumerically(">", atLeast))
}

var _ = Describe("a planned stop", func() {
	// Guards against statements that are sent to a member shortly before the process ends and
	// get no answer.
	It("answers every statement before the instance ends, also of transactions begun while it stops", func() {
		const sessions = 4
		d := newDeployment(1, 10000)
		d.group.StatementTime = 150 * time.Millisecond
		load := transactionLoad{refusal: "ERR ABORTED"}
		for n := range sessions {
			load.start(d.instances[0].session("stock", "k1"), 1500*time.Millisecond+time.Duration(n)*30*time.Millisecond, 20*time.Millisecond)
		}
		d.instances[0].stop()
		load.expectAnswers(d.instances[0], sessions)
	})
	// Guards against statements that began before the stop and wait for a member for longer
	// than the grace period: their clients lost the connection without an answer.
	DescribeTable("answers statements that wait for silent members",
		func(text string, options ...func(*deployment)) {
			d := newDeployment(2, 10000, append(options, func(d *deployment) { d.config.StatementTimeout = 20 * time.Second })...)
			for _, i := range d.instances {
				Expect(i.queryOnce("orders", "k1", "WRITE x 1")).To(HavePrefix("DONE"))
			}
			var clients []*client
			for _, i := range d.instances {
				clients = append(clients, i.session("orders", "k1"), i.session("orders", "k1"))
			}
			for _, c := range clients[1:] {
				Expect(c.query("BEGIN")[0]).To(HavePrefix("DONE"))
				Expect(c.query("READ x")[0]).To(HavePrefix("ROW"))
			}
			for _, m := range d.group.Members() {
				m.SetUnresponsive(true)
			}
			answers := make(chan string, len(clients))
			for _, c := range clients {
				go func() {
					defer GinkgoRecover()
					answers <- c.query(text)[0]
				}()
			}
			time.Sleep(100 * time.Millisecond)
			for _, i := range d.instances {
				i.stop()
			}
			for range clients {
				var got string
				Eventually(answers, eventualTimeout).Should(Receive(&got))
				Expect(got).To(HavePrefix("ERR"))
			}
		},
		Entry("for writes, served by group", "WRITE x 2"),
		Entry("for reads, served by group", "READ x"),
		Entry("for writes, served by member", "WRITE x 2", servedByMember),
		Entry("for reads, served by member", "READ x", servedByMember),
	)
	// Guards against statements at members that the platform no longer lists, or that have been
	// replaced: the stop did not end their wait.
	It("answers statements that wait for replaced members", func() {
		d := newDeployment(1, 10000, func(d *deployment) { d.config.StatementTimeout = 20 * time.Second })
		i := d.instances[0]
		Expect(i.queryOnce("orders", "k1", "WRITE x 1")).To(HavePrefix("DONE"))
		c := i.session("orders", "k1")
		Expect(c.query("BEGIN")[0]).To(HavePrefix("DONE"))
		Expect(c.query("READ x")[0]).To(HavePrefix("ROW"))
		for _, m := range d.group.Members() {
			m.SetUnresponsive(true)
		}
		answer := make(chan []string, 1)
		go func() {
			defer GinkgoRecover()
			answer <- c.query("WRITE x 2")
		}()
		time.Sleep(200 * time.Millisecond)
		for _, m := range d.group.Members() {
			entry := m.Entry("ready")
			entry["born"] = 2
			d.store.Put("servers", m.ID, entry)
		}
		time.Sleep(700 * time.Millisecond)
		i.stop()
		Eventually(i.ended, eventualTimeout).Should(Receive())
		Eventually(answer, eventualTimeout).Should(Receive(Equal([]string{"ERR ABORTED no answer from member g1-0; the transaction is rolled back", "READY E -"})))
	})
	// Guards against answers of which a part is written when the process ends.
	It("waits for answers that are being written as long as the grace period allows", func() {
		listener := &holdingListener{closed: make(chan struct{})}
		d := newDeployment(1, 10000, func(d *deployment) {
			d.wrapClients = func(l gateway.Listener) gateway.Listener { listener.Listener = l; return listener }
		})
		entry := d.instances[0]
		c := entry.session("orders", "k1")
		Expect(c.query("BEGIN")[0]).To(HavePrefix("DONE"))
		listener.holds.Store(true)
		entry.stop()
		answer := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			answer <- c.query("READ x")[0]
		}()
		Eventually(listener.closed, eventualTimeout).Should(BeClosed())
		Consistently(entry.ended, 3*holdTime/4, holdTime/20).ShouldNot(Receive(), "the instance ended while it wrote an answer")
		Eventually(answer, eventualTimeout).Should(Receive(HavePrefix("ROW")))
		Eventually(entry.ended, eventualTimeout).Should(Receive())
	})
	// Guards against sessions that have been accepted, and that the stop does not wait for
	// since they have sent no statement yet.
	It("waits for sessions that start", func() {
		listener := &holdingListener{closed: make(chan struct{})}
		d := newDeployment(1, 10000, func(d *deployment) {
			d.wrapClients = func(l gateway.Listener) gateway.Listener { listener.Listener = l; return listener }
		})
		entry := d.instances[0]
		listener.holds.Store(true)
		answer := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, got := entry.dial("orders", "k1")
			answer <- got
		}()
		Eventually(listener.holding.Load, eventualTimeout).Should(BeNumerically("==", 1))
		entry.stop()
		Eventually(listener.closed, eventualTimeout).Should(BeClosed())
		Consistently(entry.ended, 3*holdTime/4, holdTime/20).ShouldNot(Receive(), "the instance ended while a session started")
		Eventually(answer, eventualTimeout).Should(Receive(HavePrefix("READY")))
		Eventually(entry.ended, eventualTimeout).Should(Receive())
	})
	// Guards against accepting work that would be cut off.
	It("refuses sessions and transactions once idle sessions are closed", func() {
		d := newDeployment(2, 10000, func(d *deployment) { d.gracePeriod = 9 * time.Second })
		c := d.instances[0].session("orders", "k1")
		Expect(c.query("BEGIN READ")[0]).To(HavePrefix("DONE"))
		d.instances[0].stop()
		for stopped := time.Now(); time.Since(stopped) < 2500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
			// Keeps the transaction from being idle too long.
			Expect(c.query("READ x")[0]).To(HavePrefix("ROW"))
		}
		_, answer := d.instances[0].dial("orders", "k1")
		Expect(answer).To(HavePrefix("ERR BUSY"))
		Expect(c.query("READ x")[0]).To(HavePrefix("ROW"), "an open transaction goes on for half of the grace period")
		Expect(c.query("COMMIT")[0]).To(HavePrefix("DONE"))
		Expect(c.line()).To(HavePrefix("ERR BUSY"))
		Expect(c.line()).To(Equal("closed"))
		Eventually(d.instances[0].ended, eventualTimeout).Should(Receive())
	})
	// Guards against clients that do not learn whether a statement has run that was on its way
	// as their session was closed.
	It("says that nothing was run when it closes a session", func() {
		d := newDeployment(1, 10000)
		idle, inTransaction := d.instances[0].session("orders", "k1"), d.instances[0].session("orders", "k1")
		d.instances[0].stop()
		time.Sleep(1500 * time.Millisecond)
		Expect(inTransaction.query("BEGIN")[0]).To(HavePrefix("DONE"))
		Expect(idle.line()).To(HavePrefix("ERR BUSY"))
		Expect(idle.line()).To(Equal("closed"))
		Expect(inTransaction.line()).To(HavePrefix("ERR ABORTED"))
		Expect(inTransaction.line()).To(Equal("closed"))
	})
	// Guards against an incomplete answer to a statement that crosses the error which ends its
	// session.
	It("completes the answers of statements that cross the end of a session", func() {
		d := newDeployment(1, 10000)
		idle, reading, committing := d.instances[0].session("orders", "k1"), d.instances[0].session("orders", "k1"), d.instances[0].session("orders", "k1")
		d.instances[0].stop()
		time.Sleep(1500 * time.Millisecond)
		for _, c := range []*client{reading, committing} {
			Expect(c.query("BEGIN")[0]).To(HavePrefix("DONE"))
		}
		Expect(idle.line()).To(HavePrefix("ERR BUSY"))
		Expect(idle.query("WRITE x 1")).To(Equal([]string{"READY I -"}))
		Expect(idle.line()).To(Equal("closed"))
		Expect(reading.line()).To(HavePrefix("ERR ABORTED"))
		Expect(reading.query("READ x")).To(Equal([]string{"READY E -"}))
		Expect(committing.line()).To(HavePrefix("ERR ABORTED"))
		Expect(committing.query("COMMIT")).To(Equal([]string{"READY I -"}))
		Expect(d.group.HasCommit(standin.Commit{Item: "x", Data: "1"})).To(BeFalse())
		Eventually(d.instances[0].ended, eventualTimeout).Should(Receive())
	})
})
