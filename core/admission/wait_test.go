package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/admission"
)

var _ = Describe("the service ahead of a new item", func() {
	const ms = time.Millisecond
	// q serves one request of each workspace and priority, so that all cost requestCost.
	var q *priorityQueue
	BeforeEach(func() {
		q = newPriorityQueue(0, admission.PrioritySettings{})
		for p := range 3 {
			for _, w := range []string{"large", "small"} {
				q.add(w, p, 1)
				q.serve(1)
			}
		}
	})
	ahead := func(workspace string, priority int) time.Duration {
		return q.ServiceAhead(admission.Item{Workspace: workspace, Priority: priority}, matchAny)
	}
	It("is none for an empty queue", func() {
		Expect(ahead("small", 0)).To(BeZero())
	})
	It("covers more urgent priorities and the own one, not less urgent ones without credit", func() {
		q.add("large", 0, 2)
		q.add("large", 1, 3)
		q.add("large", 2, 5)
		Expect(ahead("large", 0)).To(Equal(20 * ms))
		Expect(ahead("large", 1)).To(Equal(50 * ms))
		Expect(ahead("large", 2)).To(Equal(100 * ms))
	})
	It("follows the fair order: a small workspace that is refused because of a large one's backlog", func() {
		q.add("large", 1, 50)
		Expect(ahead("small", 1)).To(BeNumerically("<=", 10*ms))
		Expect(ahead("large", 1)).To(Equal(500 * ms))
	})
	It("includes the minimum shares of less urgent priorities", func() {
		q.add("large", 0, 100)
		q.add("large", 1, 100)
		q.add("large", 2, 100)
		// 2 shares of 5% of 1,000 ms and of their own.
		Expect(ahead("large", 0)).To(BeNumerically("~", 1105*ms, 10*ms))
	})
	It("is bounded by the minimum share of the own priority", func() {
		q.add("large", 0, 800)
		Expect(ahead("small", 2)).To(BeNumerically("<=", 200*ms), "one request of 10 ms at 5 percent")
	})
	It("considers only matching items", func() {
		q.add("large", 0, 10)
		Expect(q.ServiceAhead(admission.Item{Workspace: "large"}, func(it admission.Item) bool { return it.ID%2 == 0 })).
			To(Equal(50 * ms))
	})
	It("equals the order in which items are served afterwards", func() {
		q.add("large", 1, 20)
		q.add("small", 1, 5)
		q.add("large", 0, 5)
		expected := ahead("small", 1)
		q.add("small", 1, 1)
		id, served := q.id, time.Duration(0)
		for it, _ := q.serveOne(); it.ID != id; it, _ = q.serveOne() {
			served += requestCost
		}
		Expect(expected).To(BeNumerically("~", served, requestCost))
	})
})

var _ = Describe("the expected wait", func() {
	const ms = time.Millisecond
	DescribeTable("for a load",
		func(l admission.Load, want time.Duration) {
			Expect(admission.ExpectedWait(l)).To(BeNumerically("~", want, time.Microsecond))
		},
		Entry("none with a free slot", admission.Load{InProgress: 3, Remaining: 30 * ms, Limit: 4}, 0*ms),
		Entry("the time to open a connection", admission.Load{InProgress: 3, Limit: 4, OpenTime: 12 * ms}, 12*ms),
		Entry("until the first of the statements in progress ends", admission.Load{InProgress: 4, Remaining: 40 * ms, Limit: 4}, 2500*time.Microsecond),
		Entry("the work ahead at the limit", admission.Load{Ahead: 80 * ms, InProgress: 4, Limit: 4}, 20*ms),
		Entry("the work ahead at the learned rate", admission.Load{Ahead: 80 * ms, InProgress: 4, Limit: 4, Rate: 2}, 40*ms),
		Entry("several ends after the limit was lowered", admission.Load{InProgress: 4, Remaining: 40 * ms, Limit: 2}, 15*ms),
		Entry("without a limit, as with one", admission.Load{Ahead: 10 * ms}, 10*ms),
		Entry("the rate that later requests leave", admission.Load{Ahead: 80 * ms, InProgress: 4, Limit: 4, Overtaking: 3, OpenTime: 5 * ms}, 85*ms),
		Entry("at least a twentieth of the rate", admission.Load{Ahead: 80 * ms, InProgress: 4, Limit: 4, Overtaking: 9}, 400*ms),
	)
	It("refuses what cannot start in time, and nothing that a free slot could serve", func() {
		busy := admission.Load{Ahead: 400 * ms, InProgress: 4, Limit: 4}
		Expect(admission.ShouldRefuse(busy, 100*ms)).To(BeFalse())
		Expect(admission.ShouldRefuse(busy, 99*ms)).To(BeTrue())
		Expect(admission.ShouldRefuse(admission.Load{InProgress: 3, Limit: 4, OpenTime: 12 * ms}, 10*ms)).To(BeFalse())
	})
	It("learns how much later arrivals add, and forgets it: requests that are admitted and then miss their objective", func() {
		q := admission.NewPriorityQueue(0, admission.PrioritySettings{})
		it := admission.Item{Workspace: "a", Priority: 2}
		load := admission.Load{Ahead: 400 * ms, InProgress: 4, Limit: 4}
		Expect(q.Overtaking(it)).To(BeZero())
		for range 100 {
			q.RecordWait(it, load, 200*ms)
		}
		Expect(q.Overtaking(it)).To(BeNumerically("~", 2, 0.1), "half of the service")
		Expect(q.Overtaking(admission.Item{Workspace: "b", Priority: 2})).To(BeZero())
		for range 100 {
			q.RecordWait(it, admission.Load{Limit: 4}, 0)
		}
		Expect(q.Overtaking(it)).To(BeNumerically("<", 0.5))
	})
})
