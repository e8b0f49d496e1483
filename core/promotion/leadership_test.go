package promotion_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/promotion"
)

var _ = DescribeTable("The leadership of a primary", func(term uint64, want promotion.Leadership, others ...promotion.Witness) {
	Expect(promotion.CheckLeadership(others, term)).To(Equal(want))
},
	Entry("is confirmed without other members", uint64(0), promotion.Confirmed),
	Entry("is confirmed if all others follow", uint64(0), promotion.Confirmed, follows, follows),
	Entry("is open if another member leads in an unknown term", uint64(0), promotion.Unconfirmed, follows, promotion.Witness{Leads: true}),
	Entry("is lost if another member leads in a newer term", uint64(3), promotion.Superseded, follows, leads(4)),
	Entry("is confirmed if another member leads in an older term", uint64(3), promotion.Confirmed, follows, leads(2)),
	Entry("is open if another member leads in the same term", uint64(3), promotion.Unconfirmed, follows, leads(3)),
	Entry("is open if a former primary answers and the other member does not", uint64(3), promotion.Unconfirmed, silent, leads(2)),
	Entry("is open if a member is silent", uint64(0), promotion.Unconfirmed, follows, silent),
	Entry("is open without the primary's term", uint64(0), promotion.Unconfirmed, status(3, false), silent),
	Entry("is confirmed by a replica that receives", uint64(3), promotion.Confirmed, status(3, false), silent),
	Entry("is open if the only replica that answers is paused", uint64(3), promotion.Unconfirmed, status(3, true), silent),
	Entry("is lost if a replica knows a newer term", uint64(3), promotion.Superseded, status(4, false), silent),
	Entry("is open if the replica is not listed", uint64(3), promotion.Unconfirmed, unlisted(3), silent),
	Entry("is open if a member answers only the status call", uint64(3), promotion.Unconfirmed, promotion.Witness{HasStatus: true, Term: 3}, silent),
	Entry("is open if all are silent", uint64(3), promotion.Unconfirmed, silent, silent),
)

var (
	follows = promotion.Witness{Follows: true}
	silent  = promotion.Witness{}
)

func status(term uint64, paused bool) promotion.Witness {
	return promotion.Witness{Follows: true, HasStatus: true, Term: term, Paused: paused}
}

func leads(term uint64) promotion.Witness {
	return promotion.Witness{Leads: true, HasStatus: true, Term: term}
}

func unlisted(term uint64) promotion.Witness {
	w := status(term, false)
	w.Unlisted = true
	return w
}
