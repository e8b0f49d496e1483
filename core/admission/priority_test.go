package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberrysill/mulberrysill/core/admission"
)

// priorityQueue is a queue with priorities whose requests all cost requestCost. It
// counts the service by priority and workspace.
type priorityQueue struct {
	*admission.Queue
	id          uint64
	byPriority  map[int]int
	byWorkspace map[string]int
}

func newPriorityQueue(limit int, settings admission.PrioritySettings) *priorityQueue {
	return &priorityQueue{
		Queue: admission.NewPriorityQueue(limit, settings), byPriority: map[int]int{}, byWorkspace: map[string]int{},
	}
}

func (q *priorityQueue) add(workspace string, priority, n int) {
	for range n {
		q.id++
		q.Push(admission.Item{ID: q.id, Workspace: workspace, Priority: priority})
	}
}

func (q *priorityQueue) serveOne() (admission.Item, bool) {
	it, charged, ok := q.Next(matchAny)
	if ok {
		q.byPriority[it.Priority]++
		q.byWorkspace[it.Workspace]++
		q.DoneWithPriority(it.Workspace, it.Priority, charged, requestCost)
	}
	return it, ok
}

func (q *priorityQueue) serve(n int) {
	for range n {
		q.serveOne()
	}
}

var noMinShare = admission.PrioritySettings{MinShare: -1}

var _ = Describe("the queue with priorities", func() {
	It("serves the most urgent priority first: urgent requests that wait behind earlier, less urgent ones", func() {
		q := newPriorityQueue(0, noMinShare)
		q.add("a", 2, 10)
		q.add("a", 1, 10)
		q.add("b", 0, 10)
		q.serve(10)
		Expect(q.byPriority).To(Equal(map[int]int{0: 10}))
		q.serve(10)
		Expect(q.byPriority).To(Equal(map[int]int{0: 10, 1: 10}))
	})
	It("gives each waiting priority its minimum share, and not much more: starvation by more urgent work", func() {
		q := newPriorityQueue(5000, admission.PrioritySettings{})
		q.add("large", 0, 3000)
		q.add("small", 1, 500)
		q.add("small", 2, 500)
		q.serve(1000)
		Expect(q.byPriority[1]).To(BeNumerically("~", 50, 2))
		Expect(q.byPriority[2]).To(BeNumerically("~", 50, 2))
	})
	It("measures the minimum share in service, not in requests: slow requests that take more than their share", func() {
		q := admission.NewPriorityQueue(5000, admission.PrioritySettings{})
		for id := range uint64(3000) {
			q.Push(admission.Item{ID: id, Workspace: "a", Priority: int(id % 2)})
		}
		var spent [2]time.Duration
		for range 1000 {
			it, charged, _ := q.Next(matchAny)
			cost := []time.Duration{4 * time.Millisecond, 40 * time.Millisecond}[it.Priority]
			spent[it.Priority] += cost
			q.DoneWithPriority(it.Workspace, it.Priority, charged, cost)
		}
		Expect(spent[1].Seconds() / (spent[0] + spent[1]).Seconds()).To(BeNumerically("~", 0.05, 0.01))
	})
	It("collects no share while a priority does not wait: credit that a burst later uses against urgent work", func() {
		q := newPriorityQueue(5000, admission.PrioritySettings{})
		q.add("a", 2, 1)
		q.serve(1)
		q.add("b", 0, 2000)
		q.serve(1000)
		q.add("a", 2, 100)
		q.byPriority = map[int]int{}
		q.serve(100)
		Expect(q.byPriority[2]).To(BeNumerically("<=", 6))
	})
	It("bounds the credit of a priority that no free member could serve: a burst against urgent work", func() {
		q := newPriorityQueue(5000, admission.PrioritySettings{})
		q.add("a", 2, 500)
		q.add("b", 0, 2000)
		for range 1000 {
			it, charged, _ := q.Next(func(it admission.Item) bool { return it.Priority == 0 })
			q.DoneWithPriority(it.Workspace, 0, charged, requestCost)
		}
		q.serve(100)
		Expect(q.byPriority[2]).To(BeNumerically("<=", 27), "200 ms of credit, 5 percent of the service, and one request in progress")
	})
	It("forgets the credit of a priority that no longer waits: a burst against urgent work long after", func() {
		q := newPriorityQueue(5000, admission.PrioritySettings{})
		q.add("a", 2, 500)
		q.add("b", 0, 2000)
		for range 1000 {
			it, charged, _ := q.Next(func(it admission.Item) bool { return it.Priority == 0 })
			q.DoneWithPriority(it.Workspace, 0, charged, requestCost)
		}
		q.RemoveMatching(func(it admission.Item) bool { return it.Priority == 2 })
		q.add("a", 2, 100)
		q.serve(100)
		Expect(q.byPriority[2]).To(BeNumerically("<=", 6))
	})
	It("is fair between workspaces within a priority, also to one that sends at another priority", func() {
		q := newPriorityQueue(5000, noMinShare)
		q.add("large", 0, 100)
		q.serve(100)
		q.add("large", 1, 500)
		q.add("small", 1, 100)
		q.byWorkspace = map[string]int{}
		q.serve(100)
		Expect(q.byWorkspace["small"]).To(BeNumerically("~", 50, 2))
	})
	It("evicts from the least urgent priority present: urgent requests that are refused while others wait", func() {
		q := newPriorityQueue(10, admission.PrioritySettings{})
		q.add("large", 2, 6) // 1 to 6
		q.add("small", 2, 2) // 7 and 8
		q.add("small", 1, 2) // 9 and 10
		evicted := func(id uint64, workspace string, priority int) uint64 {
			refused, full := q.Push(admission.Item{ID: id, Workspace: workspace, Priority: priority})
			Expect(full).To(BeTrue())
			return refused.ID
		}
		Expect(evicted(11, "large", 0)).To(BeEquivalentTo(6), "the newest of the workspace with the most")
		Expect(evicted(12, "large", 2)).To(BeEquivalentTo(12), "the pushed one")
		Expect(evicted(13, "large", 1)).To(BeEquivalentTo(5))
		for id := range uint64(6) {
			evicted(14+id, "other", 0)
		}
		Expect(q.CountWaiting(func(it admission.Item) bool { return it.Priority == 2 })).To(BeZero())
		Expect(evicted(30, "new", 2)).To(BeEquivalentTo(30))
		Expect(q.Len()).To(Equal(10))
	})
	It("evicts relative to the weight", func() {
		q := newPriorityQueue(6, admission.PrioritySettings{})
		for id := range uint64(4) {
			q.Push(admission.Item{ID: id, Workspace: "heavy", Weight: 4})
		}
		q.add("light", 0, 2)
		refused, _ := q.Push(admission.Item{ID: 9, Workspace: "heavy", Weight: 4})
		Expect(refused.Workspace).To(Equal("light"))
	})
	It("is ignored by a queue without priorities, whose order must not change for its users", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			plain, other := admission.NewQueue(20), admission.NewQueue(20)
			for id := range rapid.Uint64Range(1, 60).Draw(t, "items") {
				it := admission.Item{ID: id, Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")}
				plain.Push(it)
				it.Priority, it.Target = rapid.IntRange(0, 2).Draw(t, "priority"), time.Unix(100, 0)
				other.Advance(time.Unix(99, 0).Add(rapid.SampledFrom([]time.Duration{0, 990 * time.Millisecond}).Draw(t, "now")))
				other.Push(it)
				if rapid.Bool().Draw(t, "serve") {
					a, charged, _ := plain.Next(matchAny)
					b, _, _ := other.Next(matchAny)
					if a.ID != b.ID {
						t.Fatalf("served %d and %d", a.ID, b.ID)
					}
					plain.Done(a.Workspace, charged, requestCost)
					other.DoneWithPriority(b.Workspace, b.Priority, charged, requestCost)
				}
			}
		})
	})
	It("neither loses nor repeats an item, and evicts no item while a less urgent one waits", func() {
		rapid.Check(GinkgoT(), checkPriorityQueue)
	})
})

// checkPriorityQueue makes random calls and compares the queue with a model.
func checkPriorityQueue(t *rapid.T) {
	q := admission.NewPriorityQueue(20, admission.PrioritySettings{})
	var id uint64
	waiting := map[uint64]admission.Item{}
	now := time.Unix(100, 0)
	t.Repeat(map[string]func(*rapid.T){
		"push": func(t *rapid.T) {
			id++
			it := admission.Item{
				ID: id, Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Weight: rapid.Uint32Range(0, 3).Draw(t, "weight"),
				Target:   now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "target ms")) * time.Millisecond),
				Deadline: now.Add(time.Second),
			}
			waiting[id] = it
			refused, full := q.Push(it)
			if !full {
				return
			}
			if waiting[refused.ID] != refused {
				t.Fatalf("evicted %+v of %v", refused, waiting)
			}
			delete(waiting, refused.ID)
			for _, other := range waiting {
				if other.Priority > refused.Priority {
					t.Fatalf("evicted %+v although %+v waits", refused, other)
				}
			}
		},
		"next": func(t *rapid.T) {
			now = now.Add(10 * time.Millisecond)
			for _, it := range q.Expire(now) {
				delete(waiting, it.ID)
			}
			peeked, _ := q.Peek(matchAny)
			it, charged, ok := q.Next(matchAny)
			if ok != (len(waiting) > 0) || it != peeked || (ok && waiting[it.ID] != it) {
				t.Fatalf("dispatched %+v, %v, after %+v, of %v", it, ok, peeked, waiting)
			}
			if ok {
				delete(waiting, it.ID)
				q.DoneWithPriority(it.Workspace, it.Priority, charged, requestCost)
			}
		},
		"remove": func(t *rapid.T) {
			n := rapid.Uint64Range(0, id).Draw(t, "id")
			if it, ok := waiting[n]; ok != q.Remove(it.Workspace, n) {
				t.Fatalf("wrong result of the removal of item %d", n)
			}
			delete(waiting, n)
		},
		"": func(t *rapid.T) {
			if q.Len() != len(waiting) || q.CountWaiting(matchAny) != len(waiting) {
				t.Fatalf("%d items, want %d", q.Len(), len(waiting))
			}
		},
	})
}

var _ = Describe("items that are about to miss their target", func() {
	start := time.Unix(100, 0)
	push := func(q *priorityQueue, workspace string, target time.Duration) {
		q.id++
		q.Push(admission.Item{ID: q.id, Workspace: workspace, Priority: 1, Target: start.Add(target)})
	}
	It("go before items with more time left: objectives that are missed while others wait without need", func() {
		q := newPriorityQueue(0, admission.PrioritySettings{})
		push(q, "a", 500*time.Millisecond)
		push(q, "a", 40*time.Millisecond)
		push(q, "b", 30*time.Millisecond)
		q.Advance(start)
		var order []uint64
		for range 3 {
			it, _ := q.serveOne()
			order = append(order, it.ID)
		}
		Expect(order).To(Equal([]uint64{3, 2, 1}))
	})
	It("keep their place once they cannot meet it: late items that make others late", func() {
		q := newPriorityQueue(0, admission.PrioritySettings{})
		push(q, "a", 500*time.Millisecond)
		push(q, "a", 40*time.Millisecond)
		q.Advance(start.Add(38 * time.Millisecond)) // a request costs 5 ms at first
		it, _ := q.serveOne()
		Expect(it.ID).To(BeEquivalentTo(1))
	})
	It("never go before a more urgent priority", func() {
		q := newPriorityQueue(0, admission.PrioritySettings{})
		push(q, "a", 20*time.Millisecond)
		q.add("b", 0, 1)
		q.Advance(start)
		it, _ := q.serveOne()
		Expect(it.Priority).To(BeZero())
	})
	It("take at most the lead and one request from other workspaces: short objectives that break fairness", func() {
		q := newPriorityQueue(0, admission.PrioritySettings{})
		now := start
		for n := range 400 {
			q.Advance(now)
			if n < 200 {
				q.add("patient", 1, 1)
			}
			for range 2 {
				q.id++
				q.Push(admission.Item{ID: q.id, Workspace: "hasty", Priority: 1, Target: now.Add(30 * time.Millisecond)})
			}
			q.serveOne()
			now = now.Add(requestCost)
			if n < 200 {
				ahead := float64(q.byWorkspace["hasty"]-q.byWorkspace["patient"]) * requestCost.Seconds()
				Expect(ahead).To(BeNumerically("<=", (admission.DefaultTargetLead+2*requestCost).Seconds()+1e-9), fmt.Sprint(n))
			}
		}
		Expect(q.byWorkspace["hasty"]).To(BeNumerically(">", q.byWorkspace["patient"]), "the rule was in use")
	})
})

// BenchmarkPriorityNext measures a dispatch with 500 waiting items of 85 workspaces.
func BenchmarkPriorityNext(b *testing.B) {
	q := newPriorityQueue(0, admission.PrioritySettings{})
	q.Advance(time.Unix(100, 0))
	for n := range 500 {
		q.add(fmt.Sprint(n%85), n%3, 1)
	}
	for b.Loop() {
		it, _ := q.serveOne()
		q.add(it.Workspace, it.Priority, 1)
	}
}
