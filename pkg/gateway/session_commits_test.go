package gateway_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

// Guards against a session that reads a state without its own commit because it has written
// to another group since.
var _ = Describe("a session whose route moves to another group and back", func() {
	It("reads its first write although it has written to the other group", func() {
		d := newDeployment(2, 10000)
		other, err := standin.NewGroup("g2", 3, maxConnections)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(other.Close)
		for _, m := range other.Members() {
			d.store.PutMember(m, "ready")
		}
		moveTo := func(group string) {
			d.config.Version++
			d.config.ReadYourWritesGroup = group
			d.store.PutConfig(d.config)
		}
		s := d.instances[0].session(standin.ReadYourWritesDatabase, "k1")
		d.group.ApplyDelay = 10 * time.Second
		for begun := time.Now(); time.Since(begun) < time.Second; time.Sleep(pollInterval) {
			Expect(s.query("READ x")[0]).To(HavePrefix("ROW")) // makes reads at replicas possible
		}
		Expect(s.query("WRITE a first")[0]).To(HavePrefix("DONE"))
		moveTo("g2")
		Eventually(func() bool {
			Expect(s.query("WRITE b second")[0]).To(HavePrefix("DONE"))
			return other.HasCommit(standin.Commit{Item: "b", Data: "second"})
		}, eventualTimeout, pollInterval).Should(BeTrue())
		Expect(s.query("WRITE a second")[0]).To(HavePrefix("DONE"))
		moveTo("")
		Eventually(func() string {
			row := s.query("READ a")[0]
			Expect(row).NotTo(Equal("ROW none"), "the session's own commit is missing")
			return row
		}, eventualTimeout, pollInterval).Should(Equal("ROW first"))
		for range 50 {
			Expect(s.query("READ a")[0]).To(Equal("ROW first"))
		}
	})
})
