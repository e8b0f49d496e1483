package gateway_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

// A primary that cannot reach its successor goes on to begin transactions and to answer
// reads. Instances that took an accepted transaction for a proof of its leadership read
// old data there while the successor acknowledged commits.
var _ = Describe("a primary that has been replaced and goes on", func() {
	var (
		d *deployment
		s *client
	)
	BeforeEach(func() {
		d = newDeployment(1, 10000)
		s = d.instances[0].session("orders", "k1")
		Expect(s.query("WRITE a old")[0]).To(HavePrefix("DONE"))
		d.group.FormerPrimariesContinue = true
	})
	// readsNew expects that no read that begins now returns the old data, and that reads
	// return the new data in the end.
	readsNew := func(read func() string) {
		Eventually(func() string {
			value := read()
			Expect(value).NotTo(Equal("ROW old"))
			return value
		}, eventualTimeout, pollInterval).Should(Equal("ROW new"))
	}
	It("serves no strict read", func() {
		Expect(d.group.Promote("g1-1")).To(BeTrue())
		d.group.Write(standin.Commit{Item: "a", Data: "new"})
		readsNew(func() string { return s.query("READ a")[0] })
	})
	It("serves no strict read while another member does not answer", func() {
		d.group.Members()[2].SetUnresponsive(true)
		Expect(d.group.Promote("g1-1")).To(BeTrue())
		d.group.Write(standin.Commit{Item: "a", Data: "new"})
		readsNew(func() string { return s.query("READ a")[0] })
	})
	It("serves no strict read while its successor does not answer", func() {
		d.group.Members()[1].SetUnresponsive(true)
		Expect(d.group.Promote("g1-1")).To(BeTrue())
		d.group.Write(standin.Commit{Item: "a", Data: "new"})
		for range 10 {
			Expect(s.query("READ a")[0]).NotTo(Equal("ROW old"))
		}
		d.group.Members()[1].SetUnresponsive(false)
		readsNew(func() string { return s.query("READ a")[0] })
	})
	It("serves no strict read in a transaction", func() {
		Expect(d.group.Promote("g1-1")).To(BeTrue())
		d.group.Write(standin.Commit{Item: "a", Data: "new"})
		readsNew(func() string {
			s.query("BEGIN")
			value := s.query("READ a")[0]
			s.query("ROLLBACK")
			return value
		})
	})
	It("gives no floor to reads with bounded staleness", func() {
		Expect(d.group.Promote("g1-1")).To(BeTrue())
		d.group.Write(standin.Commit{Item: "a", Data: "new"})
		stale := time.Now().Add(1500 * time.Millisecond)
		bounded := d.instances[0].session("stock", "k1")
		Eventually(func() string {
			sent := time.Now()
			value := bounded.query("READ a")[0]
			if sent.After(stale) {
				Expect(value).NotTo(Equal("ROW old"))
			}
			return value
		}, eventualTimeout, pollInterval).Should(Equal("ROW new"))
	})
})

var _ = Describe("a primary that leads", func() {
	// The connection was returned to the pool with the settings of the session whose
	// read was refused, and without a record of them.
	It("keeps no settings of a session whose read was refused for want of a confirmation", func() {
		d := newDeployment(1, 10000)
		d.group.Members()[1].SetUnresponsive(true)
		d.group.Members()[2].SetUnresponsive(true)
		s, other := d.instances[0].session("orders", "k1"), d.instances[0].session("orders", "k1")
		Expect(s.query("SET zone south")[0]).To(HavePrefix("DONE"))
		Eventually(func() string { return s.query("READ a")[0] }, eventualTimeout, pollInterval).Should(ContainSubstring("may have been promoted"))
		d.group.Members()[1].SetUnresponsive(false)
		d.group.Members()[2].SetUnresponsive(false)
		Eventually(func() string { return other.query("READ own")[0] }, eventualTimeout, pollInterval).Should(HavePrefix("ROW"))
		for _, e := range d.group.ExecutedStatements() {
			if e.Text == "READ own" {
				Expect(e.Settings).To(BeEmpty())
			}
		}
	})
	It("serves strict reads while one of the other members does not answer", func() {
		d := newDeployment(1, 10000)
		d.group.Members()[2].SetUnresponsive(true)
		s := d.instances[0].session("orders", "k1")
		answered := 0
		for range 20 {
			if strings.HasPrefix(s.query("READ a")[0], "ROW") {
				answered++
			}
		}
		Expect(answered).To(Equal(20))
	})
})
