package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/placement"
)

// member returns a member without load or connections, after change.
func member(id string, change func(*placement.Member)) placement.Member {
	m := placement.Member{ID: id, Zone: "z1", OpenLimit: 4, BusyLimit: 2}
	change(&m)
	return m
}

var _ = Describe("the choice of a connection", func() {
	none := func(*placement.Member) {}
	full := func(m *placement.Member) { m.Open, m.IdleForOthers = 4, 3 }

	DescribeTable("takes",
		func(want placement.Action, id string, members ...placement.Member) {
			c := placement.Choose(members, "z1")
			Expect(c.Action).To(Equal(want))
			if want != placement.Wait {
				Expect(members[c.Member].ID).To(Equal(id))
			}
		},
		Entry("an idle connection of the workspace rather than opening one", placement.UseIdle, "b",
			member("a", none), member("b", func(m *placement.Member) { m.Idle, m.Open, m.Zone = 1, 1, "z2" })),
		Entry("a new connection to the preferred replica: connections of each workspace to every member", placement.Open, "b",
			member("a", none), member("b", func(m *placement.Member) { m.Preferred = true })),
		Entry("a new connection rather than one in place of another workspace's", placement.Open, "b",
			member("a", func(m *placement.Member) { full(m); m.Preferred = true }), member("b", func(m *placement.Member) { m.Preferred = true })),
		Entry("a connection in place of another workspace's when there is no other way", placement.Replace, "a", member("a", full)),
		Entry("nothing while the instance uses all its slots of the member: waiting requests that bypass the fair queue",
			placement.Wait, "", member("a", func(m *placement.Member) { m.Idle, m.Open, m.Busy = 1, 3, 2 })),
		Entry("nothing when transactions hold all connections", placement.Wait, "",
			member("a", func(m *placement.Member) { m.Open = 4 })),
		Entry("the less loaded of two members", placement.UseIdle, "b",
			member("a", func(m *placement.Member) { m.Idle, m.Open, m.Busy = 1, 2, 1 }),
			member("b", func(m *placement.Member) { m.Idle, m.Open = 1, 1 })),
		Entry("a replica rather than the primary, which alone takes writes", placement.UseIdle, "b",
			member("a", func(m *placement.Member) { m.Idle, m.Open, m.IsPrimary = 1, 1, true }),
			member("b", func(m *placement.Member) { m.Idle, m.Open, m.Zone = 1, 1, "z2" })),
		Entry("the primary when the replicas are busier", placement.UseIdle, "a",
			member("a", func(m *placement.Member) { m.Idle, m.Open, m.IsPrimary = 1, 1, true }),
			member("b", func(m *placement.Member) { m.Idle, m.Open, m.Busy, m.BusyLimit = 1, 3, 2, 4 })),
		Entry("a new connection to a replica rather than an idle one to the primary", placement.Open, "b",
			member("a", func(m *placement.Member) { m.Idle, m.Open, m.IsPrimary = 1, 1, true }),
			member("b", func(m *placement.Member) { m.Preferred = true })),
	)
	It("waits without candidates", func() {
		Expect(placement.Choose(nil, "z1").Action).To(Equal(placement.Wait))
	})
})
