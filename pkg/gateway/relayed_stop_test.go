package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

var _ = Describe("a planned stop of an instance that relays statements", func() {
	// Guards against answers of peers that never reach the client, because the instance to
	// which it is connected ends first.
	DescribeTable("answers every statement before the instance ends",
		func(stopped ...int) {
			// Each instance may open few connections to a member, fewer than there are workspaces.
			const workspaces = 24
			d := newDeployment(3, 10000, func(d *deployment) { d.config.MaxConnections = 12 })
			for n := range workspaces {
				d.config.Workspaces = append(d.config.Workspaces, standin.Workspace{
					Name: fmt.Sprintf("w%d", n), Keys: []string{fmt.Sprintf("key%d", n)}, Rate: 10000, Burst: 10000,
				})
			}
			d.config.Version = 2
			d.store.PutConfig(d.config)
			for _, i := range d.instances {
				Eventually(func() string { return i.queryOnce("workshop", "key11", "READ a") }, eventualTimeout, pollInterval).Should(HavePrefix("ROW"))
			}
			d.group.StatementTime = 50 * time.Millisecond
			entry := d.instances[0]
			var clients []*client
			for n := range workspaces {
				clients = append(clients, entry.session("workshop", fmt.Sprintf("key%d", n)))
			}
			relayedBefore := d.relayedStatements.Load()
			var inProgress, answered, cut atomic.Int64
			var running sync.WaitGroup
			for n, c := range clients {
				running.Go(func() {
					defer GinkgoRecover()
					if n%2 == 1 {
						// The others hold transactions open as the instances are told to stop.
						time.Sleep(1600*time.Millisecond + time.Duration(n)*20*time.Millisecond)
					}
					for text := "BEGIN READ"; text != "end"; time.Sleep(10 * time.Millisecond) {
						inProgress.Add(1)
						answer := c.query(text)
						inProgress.Add(-1)
						switch {
						case answer[len(answer)-1] == "closed":
							cut.Add(1)
							return
						case text == "ROLLBACK":
							return
						case strings.HasPrefix(answer[0], "ERR"):
							text = "ROLLBACK"
						default:
							answered.Add(1)
							text = "READ x"
						}
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			for _, n := range stopped {
				d.instances[n].stop()
			}
			Eventually(entry.ended, eventualTimeout).Should(Receive())
			Expect(inProgress.Load()).To(BeZero(), "statements in progress as the instance ended")
			running.Wait()
			Expect(cut.Load()).To(BeZero(), "statements whose connection ended without an answer")
			Expect(answered.Load()).To(BeNumerically(">", workspaces))
			Expect(d.relayedStatements.Load()).To(BeNumerically(">", relayedBefore), "no statement was relayed")
		},
		Entry("the client's instance alone", 0),
		Entry("together with the instances that run the statements", 0, 1, 2),
	)
})
