package admission_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberrysill/mulberrysill/core/admission"
)

// Guards against a workspace with many large statements that keeps the memory from others.
func TestByteBudgetIsFairBetweenWorkspaces(t *testing.T) {
	g := NewWithT(t)
	b := admission.NewByteBudget(4)
	var busy []*admission.ByteRequest
	for range 10 {
		busy = append(busy, b.Request("busy", 1))
	}
	other := b.Request("other", 1)
	g.Expect(other.Granted()).To(BeFalse())
	g.Expect(b.Release(busy[0])).To(ConsistOf(other))
	g.Expect(b.Release(other)).To(ConsistOf(busy[4]), "the workspace that has waited longest")
	g.Expect(b.Release(busy[9])).To(BeEmpty(), "a request that gives up while it waits")
	g.Expect(b.Release(busy[1])).To(ConsistOf(busy[5]))
}

// Guards against a large request that waits forever because smaller ones pass it, and against
// one that is larger than the whole budget.
func TestByteBudgetGrantsLargeRequests(t *testing.T) {
	g := NewWithT(t)
	b := admission.NewByteBudget(4)
	first := b.Request("a", 3)
	large := b.Request("b", 10)
	small := b.Request("c", 1)
	g.Expect(small.Granted()).To(BeFalse())
	g.Expect(b.Release(first)).To(ConsistOf(large))
	g.Expect(b.Release(large)).To(ConsistOf(small))
}

// In any order of requests and releases, no more than the budget is in use unless one request
// alone exceeds it, and nothing waits while nothing is in use.
func TestByteBudgetHoldsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		b := admission.NewByteBudget(limit)
		sizes := map[*admission.ByteRequest]int{}
		var open []*admission.ByteRequest
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(sizes) == 0 || rapid.Bool().Draw(t, "request") {
				size := rapid.IntRange(1, 25).Draw(t, "size")
				r := b.Request(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"), size)
				open, sizes[r] = append(open, r), size
			} else {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "release")
				r := open[i]
				open = slices.Delete(open, i, i+1)
				delete(sizes, r)
				for _, granted := range b.Release(r) {
					if !granted.Granted() || sizes[granted] == 0 {
						t.Fatal("an ended request was granted")
					}
				}
			}
			used, running := 0, 0
			for r, size := range sizes {
				if r.Granted() {
					used += size
					running++
				}
			}
			if used > limit && running > 1 {
				t.Fatalf("%d bytes in use of %d", used, limit)
			}
			if running == 0 && len(sizes) > 0 {
				t.Fatalf("%d requests wait and none runs", len(sizes))
			}
		}
	})
}
