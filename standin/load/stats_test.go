package load

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

func at(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }

var _ = Describe("arithmetic of the measures", func() {
	// Gaps at the edges of the window must count.
	DescribeTable("longestGap", func(want int, times ...int) {
		var list []time.Time
		for _, ms := range times {
			list = append(list, at(ms))
		}
		Expect(longestGap(list, at(0), at(1000))).To(Equal(time.Duration(want) * time.Millisecond))
	},
		Entry("without events is the whole window", 1000),
		Entry("between events", 500, 200, 700, 900),
		Entry("out of order", 500, 900, 200, 700),
		Entry("from the start of the window", 600, 600, 900),
		Entry("up to the end of the window", 700, 100, 300),
		Entry("ignores events outside", 900, -5, 100, 1001),
	)

	// With few samples, interpolation or a rank rounded down would hide the worst ones.
	DescribeTable("percentile", func(q float64, want int) {
		values := []time.Duration{4, 1, 3, 2}
		Expect(percentile(values, q)).To(Equal(time.Duration(want)))
	},
		Entry("least", 0.0, 1), Entry("median", 0.5, 2), Entry("above the median", 0.51, 3),
		Entry("p99 of few is the worst", 0.99, 4), Entry("worst", 1.0, 4),
	)

	It("gives 0 as the percentile of nothing", func() {
		Expect(percentile(nil, 0.5)).To(BeZero())
	})

	// Truncation towards zero would count events before the start in the first window.
	It("counts events per window", func() {
		times := []time.Time{at(-1), at(0), at(49), at(50), at(149), at(150)}
		Expect(countPerWindow(times, at(0), 50*time.Millisecond, 3)).To(Equal([]int{2, 1, 1}))
	})

	// A burst above the limit must be found even if the whole run is below the limit.
	It("finds the worst window of a ceiling", func() {
		var list []requestInterval
		for i := range 12 {
			list = append(list, requestInterval{at(500 + i), at(500 + i)})
		}
		list = append(list, requestInterval{at(0), at(1)}, requestInterval{at(5000), at(5001)})
		Expect(maxExcess(list, 100, 10)).To(BeNumerically("~", 12-10-1.1, 1e-6))
	})

	// A request that crosses the edge of a window may have been admitted outside it.
	It("counts only requests inside of the window", func() {
		list := []requestInterval{{at(0), at(1000)}, {at(999), at(1001)}}
		Expect(maxExcess(list, 1, 1)).To(BeNumerically("<=", 0))
	})
})
