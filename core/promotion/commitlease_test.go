package promotion_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
)

var _ = Describe("A commit lease", func() {
	It("lapses a while after the newest fences that the instance knows, and not before", func() {
		var lease promotion.CommitLease
		Expect(lease.Holds(0, promotion.CommitLeaseDuration)).To(BeFalse(), "never renewed")
		lease.Renew(10 * time.Second)
		lease.Renew(9 * time.Second) // a message that was overtaken
		Expect(lease.Holds(10*time.Second+promotion.CommitLeaseDuration-1, promotion.CommitLeaseDuration)).To(BeTrue())
		Expect(lease.Holds(10*time.Second+promotion.CommitLeaseDuration, promotion.CommitLeaseDuration)).To(BeFalse())
	})
})

// Guards against passing on commits that only replicas have which a promoter may not know, or
// which have lost them in a newer term.
var _ = DescribeTable("The proven log", func(want uint64, members ...promotion.Member) {
	expected := group.Position{}
	if want > 0 {
		expected = positionAt(want)
	}
	Expect(promotion.ProvenLog(members, "p")).To(Equal(expected))
},
	Entry("is empty without replicas", uint64(0), follower("p", 9)),
	Entry("ends with the longest log of a settled replica", uint64(7), follower("a", 7), follower("b", 5)),
	Entry("does not depend on silent replicas if one is settled", uint64(7), follower("a", 7), unanswered("b", 0)),
	Entry("ends where all replicas that have just joined have it", uint64(5), joiner("a", 7), joiner("b", 5)),
	Entry("is empty if one that has just joined is silent", uint64(0), joiner("a", 7), unanswered("b", 0)),
	Entry("counts no replica that is not listed", uint64(5), modified(follower("a", 7), func(m *promotion.Member) { m.UnlistedFor = 1 }), joiner("b", 5)),
	Entry("counts no member that leads", uint64(0), modified(follower("a", 7), func(m *promotion.Member) { m.Role = group.Primary })),
	Entry("counts no log of a former term", uint64(0), modified(follower("a", 7), func(m *promotion.Member) { m.Term = 4 })),
)

func follower(id string, index uint64) promotion.Member {
	return modified(answered(id, index), func(m *promotion.Member) { m.Role, m.Term = group.Replica, positionAt(0).Term })
}

func joiner(id string, index uint64) promotion.Member {
	return modified(follower(id, index), func(m *promotion.Member) { m.MemberFor = promotion.SettledAfter - 1 })
}
