package gateway_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

// Guards against statements that run for a workspace which no longer holds the client's key.
var _ = Describe("an open transaction whose key moves to another workspace", func() {
	DescribeTable("is rolled back, and the client is told",
		func(entry int, begin, first string, options ...func(*deployment)) {
			d := newDeployment(3, 1000, options...)
			i := d.instances[entry]
			relayed := d.relayedStatements.Load()
			s := i.session("orders", "k1")
			s.query(begin)
			Expect(s.query(first)[0]).To(Or(HavePrefix("DONE g1-0"), HavePrefix("ROW")))
			relayed = d.relayedStatements.Load() - relayed

			moveKey(d)
			var answer []string
			Eventually(func() string {
				answer = s.query("READ a")
				return answer[0]
			}, eventualTimeout, pollInterval).ShouldNot(HavePrefix("ROW"))
			Expect(answer).To(HaveLen(2))
			Expect(answer[0]).To(HavePrefix("ERR ABORTED"))
			Expect(answer[1]).To(Equal("READY E -"))
			commit := s.query("COMMIT")
			Expect(commit[0]).To(HavePrefix("ERR ABORTED"))
			Expect(commit[1]).To(Equal("READY I -"))
			Expect(d.group.HasCommit(standin.Commit{Item: "a", Data: "one"})).To(BeFalse())

			Eventually(func() string { return s.query("READ a")[0] }, eventualTimeout, pollInterval).Should(HavePrefix("ROW"))
			AddReportEntry("relayed statements", relayed)
		},
		Entry("after a write, entry 1", 0, "BEGIN", "WRITE a one"),
		Entry("after a read, entry 1", 0, "BEGIN READ", "READ a"),
		Entry("after a write, entry 1, served by member", 0, "BEGIN", "WRITE a one", servedByMember),
		Entry("after a write, entry 2, served by member", 1, "BEGIN", "WRITE a one", servedByMember),
		Entry("after a write, entry 3, served by member", 2, "BEGIN", "WRITE a one", servedByMember),
		Entry("after a read, entry 1, served by member", 0, "BEGIN READ", "READ a", servedByMember),
		Entry("after a read, entry 2, served by member", 1, "BEGIN READ", "READ a", servedByMember),
	)
	It("is rolled back at its commit", func() {
		d := newDeployment(1, 1000)
		i := d.instances[0]
		s := i.session("orders", "k1")
		s.query("BEGIN")
		Expect(s.query("WRITE a one")[0]).To(HavePrefix("DONE"))
		moveKey(d)
		n := 0
		Eventually(func() string {
			n++
			fresh := fmt.Sprintf("READ fresh%d", n)
			i.queryOnce("orders", "k1", fresh)
			return ranFor(d, fresh)
		}, eventualTimeout, pollInterval).Should(Equal("welder"))
		commit := s.query("COMMIT")
		Expect(commit[0]).To(HavePrefix("ERR ABORTED"))
		Expect(commit[1]).To(Equal("READY I -"))
		Expect(d.group.HasCommit(standin.Commit{Item: "a", Data: "one"})).To(BeFalse())
	})
})

// moveKey moves the key k1 from the workspace coop to welder.
func moveKey(d *deployment) {
	d.config.Version++
	d.config.Workspaces[0].Keys, d.config.Workspaces[1].Keys = []string{"k2"}, []string{"k3", "k1"}
	d.store.PutConfig(d.config)
}

// ranFor returns the workspace for which the statement with the text has run.
func ranFor(d *deployment, text string) string {
	for _, e := range d.group.ExecutedStatements() {
		if strings.HasSuffix(e.Text, text) {
			return e.Workspace
		}
	}
	return ""
}
