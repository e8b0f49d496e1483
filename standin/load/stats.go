package load

import (
	"math"
	"slices"
	"time"
)

// longestGap returns the longest time without an event in the window, whose ends
// bound the first and the last gap. The times need not be sorted; those outside the
// window are ignored.
func longestGap(times []time.Time, from, to time.Time) time.Duration {
	inside := make([]time.Time, 0, len(times))
	for _, t := range times {
		if !t.Before(from) && !t.After(to) {
			inside = append(inside, t)
		}
	}
	slices.SortFunc(inside, time.Time.Compare)
	var longest time.Duration
	last := from
	for _, t := range append(inside, to) {
		longest = max(longest, t.Sub(last))
		last = t
	}
	return longest
}

// percentile returns the q-quantile, q in [0, 1], by nearest rank: the smallest
// value such that at least the fraction q of the values is not above it. It returns
// 0 if there are no values.
func percentile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(q * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// countPerWindow counts the times in each of a number of consecutive windows of
// equal width, the first of which begins at from. Times outside are ignored.
func countPerWindow(times []time.Time, from time.Time, width time.Duration, windows int) []int {
	counts := make([]int, windows)
	for _, t := range times {
		if i := int(math.Floor(float64(t.Sub(from)) / float64(width))); i >= 0 && i < windows {
			counts[i]++
		}
	}
	return counts
}

// requestInterval is the time from the start of a request to its response.
type requestInterval struct{ start, end time.Time }

// maxExcess returns the maximum, over all time windows, of the number of requests
// that began and ended inside the window minus the limit burst + rate * window. A
// positive result proves a violation of the limit, since each request was admitted
// at some time within its interval.
func maxExcess(requests []requestInterval, rate, burst float64) float64 {
	byEnd := slices.Clone(requests)
	slices.SortFunc(byEnd, func(a, b requestInterval) int { return a.end.Compare(b.end) })
	worst := math.Inf(-1)
	for _, first := range requests {
		n := 0
		for _, r := range byEnd {
			if r.start.Before(first.start) {
				continue
			}
			n++
			worst = max(worst, float64(n)-burst-rate*r.end.Sub(first.start).Seconds())
		}
	}
	return worst
}
