package pace_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberrysill/mulberrysill/core/pace"
)

// maxInSpan returns the largest number of the times within a span of one second,
// including both ends.
func maxInSpan(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func tolerated(rate float64) int { return int(math.Floor(1.5*rate + 5)) }

const coldFor = time.Minute

func newCold(rate float64, rank, instances int) *pace.ColdStart {
	c := pace.NewColdStart(rate)
	c.SetCold(origin, coldFor)
	c.SetShare(rank, instances, origin)
	return c
}

// takeAll takes as many requests as c allows in a part of the time.
func takeAll(c *pace.ColdStart, from, until time.Time) (times []time.Time) {
	for now := from; now.Before(until); {
		wait, ok := c.Take(now)
		if ok {
			times = append(times, now)
		}
		now = now.Add(wait)
	}
	return times
}

var _ = Describe("The requests to a cold member", func() {
	rates := []float64{0.2, 0.5, 1, 2, 3.3, 5, 7, 10, 20, 50, 100, 333}
	counts := []int{1, 2, 3, 4, 5, 6, 8, 10, 12, 40, 90}
	It("add up to the rate and stay within the tolerance in any second", func() {
		for _, rate := range rates {
			for _, n := range counts {
				var all []time.Time
				for rank := range n {
					all = append(all, takeAll(newCold(rate, rank, n), origin, origin.Add(31*time.Second))...)
				}
				name := fmt.Sprintf("rate %v, %d instances", rate, n)
				Expect(maxInSpan(all)).To(BeNumerically("<=", tolerated(rate)), name)
				// The first request of each instance comes after one second, and those
				// after it at the exact rate.
				if n > 1 {
					Expect(len(all)).To(BeNumerically("~", 30*rate, float64(n)+0.5), name)
				} else {
					Expect(len(all)).To(BeNumerically(">=", int(30*min(rate, 0.75*rate+0.5))), name)
				}
			}
		}
	})
	It("stay within the tolerance while one instance more sends than the others know of", func() {
		for _, rate := range rates {
			for _, n := range counts {
				var all []time.Time
				for i := range n + 1 {
					// Two instances take themselves for the first one.
					all = append(all, takeAll(newCold(rate, max(i-1, 0), n), origin, origin.Add(10*time.Second))...)
				}
				Expect(maxInSpan(all)).To(BeNumerically("<=", tolerated(rate)), fmt.Sprintf("rate %v, %d instances", rate, n))
			}
		}
	})
	It("stay within the tolerance while the set of instances changes", func() {
		rapid.Check(GinkgoTB(), checkChangingInstances)
	})
	It("are limited only while the member says that it is cold", func() {
		c := pace.NewColdStart(1)
		_, ok := c.Take(origin)
		Expect(ok).To(BeTrue(), "not cold")
		c.SetCold(origin, 3*time.Second)
		wait, ok := c.Take(origin)
		Expect([]any{wait, ok}).To(Equal([]any{3 * time.Second, false}), "no share yet")
		c.SetShare(0, 2, origin)
		_, ok = c.Take(origin.Add(time.Second))
		Expect(ok).To(BeTrue(), "the first request")
		wait, ok = c.Take(origin.Add(time.Second))
		Expect([]any{wait, ok}).To(Equal([]any{2 * time.Second, false}), "the next request")
		Expect(c.IsCold(origin.Add(3 * time.Second))).To(BeFalse())
		_, ok = c.Take(origin.Add(3 * time.Second))
		Expect(ok).To(BeTrue(), "warm")
	})
	It("are not limited without a rate", func() {
		c := newCold(0, 0, 3)
		for range 100 {
			_, ok := c.Take(origin)
			Expect(ok).To(BeTrue())
		}
	})
})

// coldInstance is an instance that knows the set of instances as it was a while ago.
type coldInstance struct {
	cold  *pace.ColdStart
	id    int
	known []int
}

func (i *coldInstance) learn(ids []int, now time.Time) {
	i.known = slices.Clone(ids)
	i.cold.SetShare(slices.Index(ids, i.id), len(ids), now)
}

// checkChangingInstances lets instances join and leave one at a time. Each learns of a
// change after a delay of its own, before the next change.
func checkChangingInstances(t *rapid.T) {
	rate := rapid.SampledFrom([]float64{0.5, 1, 2, 5, 7, 10, 20, 50}).Draw(t, "rate")
	now := origin
	var ids []int
	var instances []*coldInstance
	add := func(id int) {
		if slices.Contains(ids, id) {
			return
		}
		c := pace.NewColdStart(rate)
		c.SetCold(origin, time.Hour)
		instances = append(instances, &coldInstance{cold: c, id: id})
		ids = append(ids, id)
		slices.Sort(ids)
	}
	for range rapid.IntRange(1, 9).Draw(t, "instances") {
		add(1000 * rapid.IntRange(0, 1000).Draw(t, "id"))
	}
	for _, i := range instances {
		i.learn(ids, now)
	}
	var all []time.Time
	// elapse lets each instance send until it learns of the change, and from then on.
	elapse := func(d time.Duration) {
		end := now.Add(d)
		for _, i := range instances {
			learnsAt := now.Add(time.Duration(rapid.Int64Range(0, int64(d)).Draw(t, "delay")))
			all = append(all, takeAll(i.cold, now, learnsAt)...)
			i.learn(ids, learnsAt)
			all = append(all, takeAll(i.cold, learnsAt, end)...)
		}
		instances = slices.DeleteFunc(instances, func(i *coldInstance) bool { return !slices.Contains(ids, i.id) })
		now = end
	}
	for step := range rapid.IntRange(1, 8).Draw(t, "changes") {
		if len(ids) > 1 && rapid.Bool().Draw(t, "leaves") {
			i := rapid.IntRange(0, len(ids)-1).Draw(t, "which")
			ids = slices.Delete(ids, i, i+1)
		} else {
			// An id that was used before is not used again.
			add(1000*rapid.IntRange(0, 1000).Draw(t, "id") + step + 1)
		}
		elapse(time.Duration(rapid.Int64Range(int64(50*time.Millisecond), int64(3*time.Second)).Draw(t, "until the next change")))
	}
	if got := maxInSpan(all); got > tolerated(rate) {
		t.Fatalf("%d requests in one second, %d are tolerated", got, tolerated(rate))
	}
}
