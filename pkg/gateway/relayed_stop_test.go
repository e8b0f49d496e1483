package gateway_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a planned stop of an instance that relays statements", func() {
	// Guards against answers of peers that never reach the client, because the instance to
	// which it is connected ends first.
	DescribeTable("answers every statement before the instance ends",
		func(stopped ...int) {
			// Each instance may open few connections to a member, fewer than there are workspaces.
			const workspaces = 24
			d := newCrowdedDeployment(workspaces, func(d *deployment) { d.config.MaxConnections = 12 })
			d.group.StatementTime = 50 * time.Millisecond
			entry := d.instances[0]
			relayedBefore := d.relayedStatements.Load()
			load := transactionLoad{refusal: "ERR"} // also BUSY, since the queues are long
			for n := range workspaces {
				delay := time.Duration(0)
				if n%2 == 1 {
					// The others hold transactions open as the instances are told to stop.
					delay = 1600*time.Millisecond + time.Duration(n)*20*time.Millisecond
				}
				load.start(entry.session("workshop", fmt.Sprintf("key%d", n)), delay, 10*time.Millisecond)
			}
			time.Sleep(300 * time.Millisecond)
			for _, n := range stopped {
				d.instances[n].stop()
			}
			load.expectAnswers(entry, workspaces)
			Expect(d.relayedStatements.Load()).To(BeNumerically(">", relayedBefore), "no statement was relayed")
		},
		Entry("the client's instance alone", 0),
		Entry("together with the instances that run the statements", 0, 1, 2),
	)
})
