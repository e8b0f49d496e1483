package usage_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/usage"
)

var _ = Describe("the counter", func() {
	at := first.End(windowLength) - time.Second
	It("counts by window and workspace", func() {
		c := usage.NewCounter(windowLength)
		c.Add("a", at, 1)
		c.Add("a", at, 2)
		c.Add("b", at+time.Second, 4)
		c.Add("c", at, 0)
		counts, _ := c.Since(0)
		Expect(counts).To(Equal(map[usage.Window]usage.Counts{first: {"a": 3}, first + 1: {"b": 4}}))
	})
	It("returns only what has changed since the acknowledged version, with cumulative counts", func() {
		c := usage.NewCounter(windowLength)
		c.Add("a", at, 1)
		c.Add("b", at, 1)
		_, version := c.Since(0)
		c.Add("b", at, 5)
		counts, next := c.Since(version)
		Expect(counts).To(Equal(map[usage.Window]usage.Counts{first: {"b": 6}}))
		again, _ := c.Since(version)
		Expect(again).To(Equal(counts), "the acknowledgement was lost")
		counts, _ = c.Since(next)
		Expect(counts).To(BeEmpty())
	})
	It("returns what is counted after a call that returned nothing", func() {
		c := usage.NewCounter(windowLength)
		_, version := c.Since(0)
		c.Add("a", at, 1)
		counts, _ := c.Since(version)
		Expect(counts).To(HaveLen(1))
	})
	It("holds a bounded number of windows and says how many requests it dropped", func() {
		c := usage.NewCounter(windowLength)
		for i := range 100 {
			c.Add("a", at+time.Duration(i)*windowLength, 2)
			c.Since(0)
		}
		counts, _ := c.Since(0)
		Expect(counts).To(HaveLen(usage.RetainedWindows + 2))
		Expect(counts).To(HaveKey(first + 99))
		Expect(counts).To(HaveKey(first + 99 - usage.RetainedWindows))
		Expect(c.Dropped()).To(Equal(uint64(2 * (100 - usage.RetainedWindows - 2))))
		Expect(c.DroppedEarly()).To(BeZero(), "they are too old to be reported")
		c.Add("a", at, 2)
		Expect(c.DroppedEarly()).To(Equal(uint64(2)), "the clock was moved back")
	})
	It("keeps the present windows after its clock was far ahead", func() {
		c := usage.NewCounter(windowLength)
		for i := range 30 {
			c.Add("a", at+time.Hour+time.Duration(i)*windowLength, 1)
			c.Since(0)
		}
		for i := range usage.RetainedWindows {
			c.Add("a", at+time.Duration(i)*windowLength, 1)
			c.Since(0)
		}
		counts, _ := c.Since(0)
		for i := range usage.RetainedWindows {
			Expect(counts).To(HaveKey(first + usage.Window(i)))
		}
	})
	It("numbers windows before 1970 without a gap", func() {
		Expect(usage.WindowAt(0, windowLength)).To(Equal(usage.Window(0)))
		Expect(usage.WindowAt(-1, windowLength)).To(Equal(usage.Window(-1)))
		Expect(usage.WindowAt(-windowLength, windowLength)).To(Equal(usage.Window(-1)))
		Expect(usage.WindowAt(-windowLength-1, windowLength)).To(Equal(usage.Window(-2)))
	})
})

var _ = Describe("the clock", func() {
	const start = 100 * time.Hour
	peers := func(differences ...time.Duration) *usage.Clock {
		c := usage.NewClock(start, time.Hour)
		for i, d := range differences {
			c.Observe(string(rune('a'+i)), d+time.Millisecond, 2*time.Millisecond, time.Hour)
		}
		return c
	}
	DescribeTable("is corrected by the median of the offsets",
		func(want time.Duration, differences ...time.Duration) {
			c := peers(differences...)
			Expect(c.Now(time.Hour + time.Second)).To(Equal(usage.Time{Boot: time.Hour + time.Second, True: start + time.Second + want}))
			Expect(c.Raw(time.Hour+time.Second)).To(Equal(start+time.Second), "only uncorrected times are exchanged")
		},
		Entry("alone: not at all", time.Duration(0)),
		Entry("with one peer: half way, so that both agree", 2*time.Second, 4*time.Second),
		Entry("with a peer whose clock is wrong: outvoted by the own and another one", 10*time.Millisecond, 10*time.Millisecond, time.Hour),
		Entry("with a wrong own clock: outvoted by the peers", -8*time.Second, -8*time.Second, -8*time.Second-5*time.Millisecond, -8*time.Second),
	)
	It("does not use slow responses, whose way may have taken all of the time", func() {
		c := peers()
		c.Observe("a", time.Second, 200*time.Millisecond, time.Hour)
		c.Observe("b", time.Second, -time.Millisecond, time.Hour)
		Expect(c.Now(time.Hour).True).To(Equal(start))
		Expect(c.Peers(time.Hour)).To(BeZero())
	})
	It("forgets peers that are gone", func() {
		c := peers(10*time.Second, 10*time.Second)
		Expect(c.Peers(time.Hour + time.Minute)).To(Equal(2))
		Expect(c.Peers(time.Hour + time.Minute + 1)).To(BeZero())
		Expect(c.Now(time.Hour + time.Minute + 1).True).To(Equal(start + time.Minute + 1))
	})
	It("keeps the newest of a bounded number of offsets", func() {
		c := usage.NewClock(start, 0)
		for i := range 1000 {
			c.Observe(time.Duration(i).String(), time.Second, 0, time.Duration(i))
		}
		Expect(c.Peers(1000)).To(Equal(64))
	})
})
