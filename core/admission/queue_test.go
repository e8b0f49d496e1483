package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberrysill/mulberrysill/core/admission"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

func matchAny(admission.Item) bool { return true }

// queue is a queue whose requests all cost requestCost. It counts the requests
// served by workspace.
type queue struct {
	*admission.Queue
	id     uint64
	served map[string]int
}

const requestCost = 10 * time.Millisecond

func newQueue(limit int) *queue {
	return &queue{Queue: admission.NewQueue(limit), served: map[string]int{}}
}

func (q *queue) add(workspace string, n int, weight uint32) {
	for range n {
		q.id++
		q.Push(admission.Item{ID: q.id, Workspace: workspace, Weight: weight})
	}
}

func (q *queue) serve(n int) {
	for range n {
		it, charged, ok := q.Next(matchAny)
		if !ok {
			return
		}
		q.served[it.Workspace]++
		q.Done(it.Workspace, charged, requestCost)
	}
}

var _ = Describe("the fair queue", func() {
	It("divides service evenly, whatever the numbers of requests: a flood that starves other workspaces", func() {
		q := newQueue(0)
		q.add("large", 500, 1)
		q.add("small", 100, 1)
		q.serve(100)
		Expect(q.served["small"]).To(BeNumerically("~", 50, 1))
	})
	It("divides service in proportion to the weights", func() {
		q := newQueue(0)
		q.add("a", 300, 3)
		q.add("b", 300, 1)
		q.serve(200)
		Expect(q.served["a"]).To(BeNumerically("~", 150, 2))
	})
	It("divides connection time, not requests: slow statements of one workspace that take most of a member", func() {
		q := newQueue(0)
		q.add("slow", 400, 1)
		q.add("fast", 400, 1)
		spent := map[string]time.Duration{}
		for range 300 {
			it, charged, _ := q.Next(matchAny)
			c := time.Millisecond
			if it.Workspace == "slow" {
				c = 9 * time.Millisecond
			}
			spent[it.Workspace] += c
			q.Done(it.Workspace, charged, c)
		}
		Expect(spent["slow"].Seconds()).To(BeNumerically("~", spent["fast"].Seconds(), 0.03))
	})
	It("gives no credit for idle time: a returning workspace that starves the others", func() {
		q := newQueue(0)
		q.add("idle", 1, 1)
		q.add("busy", 900, 1)
		q.serve(300)
		q.add("idle", 90, 1)
		q.served = map[string]int{}
		q.serve(40)
		Expect(q.served["busy"]).To(BeNumerically(">=", 19))
	})
	It("counts the service that other instances report, also with lost and repeated reports", func() {
		q := newQueue(0)
		q.add("elsewhere", 400, 1)
		q.add("here", 400, 1)
		q.RecordRemoteService("i2/1", map[string]time.Duration{"elsewhere": time.Hour})
		q.serve(20)
		Expect(q.served["here"]).To(BeNumerically("~", 10, 1), "the first report only sets the baseline")
		q.RecordRemoteService("i2/1", map[string]time.Duration{"elsewhere": time.Hour + 300*time.Millisecond})
		q.RecordRemoteService("i2/1", map[string]time.Duration{"elsewhere": time.Hour + 300*time.Millisecond})
		q.serve(30)
		Expect(q.served["here"]).To(BeNumerically("~", 40, 1))
		q.serve(20)
		Expect(q.served["here"]).To(BeNumerically("~", 50, 1))
	})
	It("bounds how long earlier service counts: a workspace that is starved after it was the only one", func() {
		q := newQueue(0)
		q.add("other", 900, 1)
		q.RecordRemoteService("i2/1", nil)
		q.add("alone", 400, 1)
		q.RecordRemoteService("i2/1", map[string]time.Duration{"alone": time.Hour})
		q.serve(300)
		Expect(q.served["alone"]).To(BeNumerically(">", 40))
	})
	It("refuses the newest item of the workspace with the most when full: a flood that fills the queue", func() {
		q := newQueue(10)
		q.add("large", 10, 1)
		refused, full := q.Push(admission.Item{ID: 99, Workspace: "small"})
		Expect(full).To(BeTrue())
		Expect(refused.ID).To(BeEquivalentTo(10))
		Expect(q.Len()).To(Equal(10))
		refused, _ = q.Push(admission.Item{ID: 100, Workspace: "large"})
		Expect(refused.ID).To(BeEquivalentTo(100))
	})
	It("expires items at their deadline: a request that waits forever", func() {
		q := newQueue(0)
		at := time.Unix(100, 0)
		q.Push(admission.Item{ID: 1, Workspace: "a", Deadline: at})
		q.Push(admission.Item{ID: 2, Workspace: "a", Deadline: at.Add(time.Second)})
		Expect(q.Expire(at)).To(ConsistOf(HaveField("ID", BeEquivalentTo(1))))
		Expect(q.Len()).To(Equal(1))
		Expect(q.Remove("a", 2)).To(BeTrue())
		Expect(q.Remove("a", 2)).To(BeFalse())
	})
	It("neither loses nor repeats an item, and divides service evenly among backlogged workspaces", func() {
		rapid.Check(GinkgoT(), checkQueue)
	})
})

// checkQueue makes random calls. While all workspaces are backlogged, the service
// that any two of them have received may differ by at most 2.5 request costs,
// because no workspace is charged more than one request in advance.
func checkQueue(t *rapid.T) {
	q := admission.NewQueue(50)
	var id uint64
	waiting := map[uint64]string{}
	count := func(workspace string) (n int) {
		for _, w := range waiting {
			if w == workspace {
				n++
			}
		}
		return n
	}
	attained := map[string]float64{}
	workspaces := []string{"a", "b", "c"}
	t.Repeat(map[string]func(*rapid.T){
		"push": func(t *rapid.T) {
			id++
			w := rapid.SampledFrom(workspaces).Draw(t, "workspace")
			waiting[id] = w
			if refused, full := q.Push(admission.Item{ID: id, Workspace: w}); full {
				delete(waiting, refused.ID)
			}
		},
		"next": func(t *rapid.T) {
			it, charged, ok := q.Next(matchAny)
			if ok != (len(waiting) > 0) || (ok && waiting[it.ID] != it.Workspace) {
				t.Fatalf("dispatched %+v, %v of %v", it, ok, waiting)
			}
			if ok {
				delete(waiting, it.ID)
				q.Done(it.Workspace, charged, requestCost)
				attained[it.Workspace] += requestCost.Seconds()
			}
		},
		"remove": func(t *rapid.T) {
			n := rapid.Uint64Range(0, id).Draw(t, "id")
			if w, ok := waiting[n]; ok != q.Remove(w, n) {
				t.Fatalf("wrong result of the removal of item %d", n)
			}
			delete(waiting, n)
		},
		"": func(t *rapid.T) {
			if q.Len() != len(waiting) || q.Len() > 50 {
				t.Fatalf("%d items, want %d", q.Len(), len(waiting))
			}
			for _, w := range workspaces {
				if count(w) == 0 {
					clear(attained)
					return
				}
			}
			for _, w := range workspaces {
				if d := attained[w] - attained[workspaces[0]]; d > 2.5*requestCost.Seconds() || -d > 2.5*requestCost.Seconds() {
					t.Fatalf("backlogged workspaces attained %v", attained)
				}
			}
		},
	})
}

var _ = Describe("the connection budget", func() {
	DescribeTable("is divided in whole connections",
		func(connections int, units, want map[string]int) {
			u := map[string]uint32{}
			for name, n := range units {
				u[name] = uint32(n)
			}
			Expect(admission.SplitConnections(connections, u, 65536)).To(Equal(want))
		},
		Entry("by largest remainder", 20, map[string]int{"a": 21846, "b": 21845, "c": 21845}, map[string]int{"a": 7, "b": 7, "c": 6}),
		Entry("leaving the connections for units that no instance holds unused", 20, map[string]int{"a": 32768}, map[string]int{"a": 10}),
		Entry("with one for an instance without units, from the unused connections", 20,
			map[string]int{"a": 32768, "b": 0}, map[string]int{"a": 10, "b": 1}),
		Entry("with one for each instance, from the one with the most", 3,
			map[string]int{"a": 65536, "b": 0, "c": 0}, map[string]int{"a": 1, "b": 1, "c": 1}),
		Entry("without a minimum when there are too few", 1, map[string]int{"a": 65536, "b": 0}, map[string]int{"a": 1, "b": 0}),
	)
	It("never exceeds the member's connections, and gives each instance one if there are enough", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			units := map[string]uint32{}
			var sum uint32
			for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"}[:rapid.IntRange(1, 7).Draw(t, "n")] {
				units[name] = rapid.Uint32Range(0, 65536-sum).Draw(t, "units")
				sum += units[name]
			}
			connections := rapid.IntRange(0, 40).Draw(t, "connections")
			total, least := 0, connections
			for _, n := range admission.SplitConnections(connections, units, 65536) {
				total += n
				least = min(least, n)
			}
			if total > connections || (sum == 65536 && total != connections) || (connections >= len(units) && least < 1 && connections > 0) {
				t.Fatalf("split of %d between %v: sum %d, least %d", connections, units, total, least)
			}
		})
	})
	It("is released in steps for a member that was out of service", func() {
		since := time.Unix(100, 0)
		var limits []int
		for ms := 0; ms <= 2000; ms += 500 {
			limit, _ := admission.RampUpLimit(8, since, since.Add(time.Duration(ms)*time.Millisecond))
			limits = append(limits, limit)
		}
		Expect(limits).To(Equal([]int{2, 4, 6, 8, 8}))
		limit, done := admission.RampUpLimit(8, time.Time{}, since)
		Expect(limit).To(Equal(8))
		Expect(done).To(BeTrue())
		small, _ := admission.RampUpLimit(1, since, since)
		Expect(small).To(Equal(1), "a member with a small budget must get some load")
	})
	It("bounds the connections opened in any window by the burst and the rate: a connection storm", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := admission.NewOpenLimiter(10, 3)
			now := time.Unix(100, 0)
			var opened []time.Time
			for _, step := range rapid.SliceOfN(rapid.IntRange(0, 400), 1, 60).Draw(t, "steps ms") {
				now = now.Add(time.Duration(step) * time.Millisecond)
				wait, ok := r.Take(now)
				if ok {
					opened = append(opened, now)
				} else if _, ok := r.Take(now.Add(wait)); !ok {
					t.Fatal("refused after the returned wait")
				} else {
					opened, now = append(opened, now.Add(wait)), now.Add(wait)
				}
			}
			for i := range opened {
				for j := i; j < len(opened); j++ {
					if window := opened[j].Sub(opened[i]).Seconds(); float64(j-i+1) > 3+10*window+1e-6 {
						t.Fatalf("%d connections opened in %.3f s", j-i+1, window)
					}
				}
			}
		})
	})
})
