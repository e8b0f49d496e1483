package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

// Guards against an instance that exceeds its memory because many clients write large items.
var _ = Describe("large statements", func() {
	const item = 300_000
	large := strings.Repeat("x", item)
	// The limit leaves memory for one large statement outside transactions.
	start := func(instances int) *deployment {
		return newDeployment(instances, 1000, func(d *deployment) { d.memoryLimit = 14 << 20 })
	}
	// hold lets a client send a part of a large statement, and returns how to send the rest.
	hold := func(c *client) (rest func()) {
		text := "QUERY held1 WRITE held " + large + "\r\n"
		_, err := c.Write([]byte(text[:item/2]))
		Expect(err).NotTo(HaveOccurred())
		return func() {
			_, err := c.Write([]byte(text[item/2:]))
			Expect(err).NotTo(HaveOccurred())
		}
	}
	It("wait for memory and are then refused, while small ones and those of open transactions are served", func() {
		d := start(1)
		holder, other, tx := d.instances[0].session("orders", "k1"), d.instances[0].session("orders", "k3"), d.instances[0].session("orders", "k3")
		tx.query("BEGIN")
		Expect(tx.query("WRITE frame cut")[0]).To(HavePrefix("DONE"))
		rest := hold(holder)
		time.Sleep(100 * time.Millisecond) // until the part has arrived
		Expect(tx.query("WRITE frame " + large)[0]).To(HavePrefix("DONE"))
		Expect(tx.query("COMMIT")[0]).To(HavePrefix("DONE"))
		Expect(other.query("WRITE a small")[0]).To(HavePrefix("DONE"))

		began := time.Now()
		answer := other.query("WRITE a " + large)
		Expect(answer).To(ConsistOf(HavePrefix("ERR BUSY"), "READY I -"))
		Expect(time.Since(began)).To(BeNumerically(">=", time.Second))
		Expect(other.query("READ a")[0]).To(Equal("ROW small"), "the rest of the statement was taken for another one")

		rest()
		Expect(holder.line()).To(HavePrefix("DONE g1-0"))
		Expect(holder.line()).To(HavePrefix("READY I"))
		Expect(other.query("WRITE a " + large)[0]).To(HavePrefix("DONE"))
		Expect(other.query("READ a")[0]).To(Equal("ROW " + large))
	})
	It("are served one after another if there is memory for one", func() {
		d := start(1)
		var wait sync.WaitGroup
		for n := range 8 {
			wait.Go(func() {
				defer GinkgoRecover()
				c := d.instances[0].session("orders", "k1")
				Eventually(func() string { return c.query(fmt.Sprintf("WRITE item%d %s", n, large))[0] }, eventualTimeout).Should(HavePrefix("DONE"))
			})
		}
		wait.Wait()
		for n := range 8 {
			Expect(d.group.HasCommit(standin.Commit{Item: fmt.Sprintf("item%d", n), Data: large})).To(BeTrue())
		}
	})
	It("that do not arrive in time end their session, and their memory is free again", func() {
		d := start(1)
		holder, other := d.instances[0].session("orders", "k1"), d.instances[0].session("orders", "k3")
		hold(holder)
		Eventually(func() string { return other.query("WRITE a " + large)[0] }, 12*time.Second).Should(HavePrefix("DONE"))
		Expect(holder.line()).To(Equal("closed"))
	})
	It("of a client that disconnects leave their memory free", func() {
		d := start(1)
		holder, other := d.instances[0].session("orders", "k1"), d.instances[0].session("orders", "k3")
		hold(holder)
		time.Sleep(100 * time.Millisecond)
		Expect(holder.Close()).To(Succeed())
		Expect(other.query("WRITE a " + large)[0]).To(HavePrefix("DONE"))
	})
})
