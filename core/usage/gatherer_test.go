package usage_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/usage"
)

func source(instance string) usage.Source { return usage.Source{Instance: instance, Started: 1} }

func inFirst(counts usage.Counts) map[usage.Window]usage.Counts {
	return map[usage.Window]usage.Counts{first: counts}
}

var _ = Describe("the gatherer", func() {
	It("is not changed by repeated, late and reordered messages", func() {
		g := usage.NewGatherer()
		g.Merge(source("i"), inFirst(usage.Counts{"a": 5, "b": 1}), first, 0)
		g.Merge(source("i"), inFirst(usage.Counts{"a": 5, "b": 1}), first, 0)
		g.Merge(source("i"), inFirst(usage.Counts{"a": 3}), first-1, 0)
		Expect(g.Sum(first)).To(Equal(usage.Sum{
			Counts:  usage.Counts{"a": 5, "b": 1},
			Sources: []usage.SourceCount{{Source: source("i"), Requests: 6, Complete: true}},
		}))
	})
	It("adds up the processes of an instance, each of which counts from 0", func() {
		g := usage.NewGatherer()
		g.Merge(usage.Source{Instance: "i", Started: 1}, inFirst(usage.Counts{"a": 5}), first, 0)
		g.Merge(usage.Source{Instance: "i", Started: 2}, inFirst(usage.Counts{"a": 3}), first, 0)
		Expect(g.Sum(first).Counts).To(Equal(usage.Counts{"a": 8}))
	})
	It("tells idle sources, which are complete, from those whose last counts are missing", func() {
		g := usage.NewGatherer()
		g.Merge(source("idle"), nil, first, 0)
		g.Merge(source("late"), inFirst(usage.Counts{"a": 2}), first-1, 0)
		g.Merge(source("restored"), inFirst(usage.Counts{"a": 2}), usage.NoWindow, 0)
		g.Merge(source("silent"), nil, first-1, 0)
		Expect(g.Sum(first).Sources).To(Equal([]usage.SourceCount{
			{Source: source("idle"), Complete: true}, {Source: source("late"), Requests: 2}, {Source: source("restored"), Requests: 2},
		}))
	})
	It("keeps the counts of a source that is gone for Retention, and no longer", func() {
		g := usage.NewGatherer()
		g.Merge(source("gone"), inFirst(usage.Counts{"a": 2}), first, 0)
		g.Merge(source("other"), nil, first+24, usage.Retention)
		Expect(g.Sum(first).Counts).To(Equal(usage.Counts{"a": 2}))
		g.Merge(source("other"), nil, first+26, usage.Retention+time.Second)
		Expect(g.Sum(first).Counts).To(BeEmpty())
		Expect(g.Sum(first).Sources).To(HaveLen(1))
	})
	It("holds a bounded number of windows of a source", func() {
		g := usage.NewGatherer()
		for i := range 1000 {
			w := first + usage.Window(i)
			g.Merge(source("fast"), map[usage.Window]usage.Counts{w: {"a": 1}}, w, time.Duration(i))
		}
		held := 0
		for i := range 1000 {
			held += len(g.Sum(first + usage.Window(i)).Counts)
		}
		Expect(held).To(Equal(usage.RetainedWindows + 2))
		Expect(g.Sum(first + 999).Counts).NotTo(BeEmpty())
	})
})

// sumOf returns a gatherer's response with n complete sources, the named ones first, each of
// which has counted the given number of requests.
func sumOf(zone string, n int, requests uint64) usage.Sum {
	s := usage.Sum{Counts: usage.Counts{}}
	for i := range n {
		s.Sources = append(s.Sources, usage.SourceCount{Source: source(fmt.Sprint(zone, i)), Requests: requests, Complete: true})
		s.Counts["a"] += requests
	}
	return s
}

func liveSources(zone string, n int) []usage.Source {
	var live []usage.Source
	for i := range n {
		live = append(live, source(fmt.Sprint(zone, i)))
	}
	return live
}

var _ = Describe("the total of a window", func() {
	DescribeTable("takes one response of each zone and adds up the zones",
		func(want uint64, missing int, sums map[string][]usage.Sum) {
			g := usage.Combine(sums, append(liveSources("x", 3), liveSources("y", 2)...), nil)
			Expect(g.Counts.Total()).To(Equal(want))
			Expect(g.Missing).To(Equal(missing))
		},
		Entry("never the sum of two gatherers, which have the same counts", uint64(50), 0,
			map[string][]usage.Sum{"x": {sumOf("x", 3, 10), sumOf("x", 3, 10)}, "y": {sumOf("y", 2, 10), sumOf("y", 2, 10)}}),
		Entry("the response that covers more sources, even with a lower sum", uint64(32), 0,
			map[string][]usage.Sum{"x": {sumOf("x", 2, 100), sumOf("x", 3, 4)}, "y": {sumOf("y", 2, 10)}}),
		Entry("on a tie the larger sum", uint64(35), 0,
			map[string][]usage.Sum{"x": {sumOf("x", 3, 4), sumOf("x", 3, 5)}, "y": {sumOf("y", 2, 10)}}),
		Entry("nothing of a zone whose gatherers do not respond", uint64(30), 2,
			map[string][]usage.Sum{"x": {sumOf("x", 3, 10)}, "y": nil}),
	)
	It("says how much comes from sources that are gone", func() {
		g := usage.Combine(map[string][]usage.Sum{"x": {sumOf("x", 4, 10)}}, liveSources("x", 3), nil)
		Expect(g).To(Equal(usage.Gathered{Counts: usage.Counts{"a": 40}, Covered: 4, Gone: 1, GoneRequests: 10}))
	})
	It("does not count a live source as covered whose last counts are missing", func() {
		s := sumOf("x", 3, 10)
		s.Sources[1].Complete = false
		g := usage.Combine(map[string][]usage.Sum{"x": {s}}, liveSources("x", 3), nil)
		Expect(g).To(Equal(usage.Gathered{Counts: usage.Counts{"a": 30}, Covered: 2, Missing: 1}))
	})
	// Guards against a holder that is cut off and takes its own counts for those of all.
	It("counts silent sources as missing unless they are covered", func() {
		g := usage.Combine(map[string][]usage.Sum{"x": {sumOf("x", 3, 10)}}, liveSources("x", 2), append(liveSources("x", 3)[2:], liveSources("y", 2)...))
		Expect(g).To(Equal(usage.Gathered{Counts: usage.Counts{"a": 30}, Covered: 3, Missing: 2, Silent: 2}))
	})
})
