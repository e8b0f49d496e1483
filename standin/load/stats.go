package load

import (
	"math"
	"slices"
	"time"
)

// longestGap returns the longest time without an event between from and to. The
// times need not be in order; those outside of the window are ignored.
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

// percentile returns the smallest value that at least the fraction q of the
// values does not exceed (nearest rank); 0 without values.
func percentile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(q * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// countPerWindow counts the times in consecutive windows of the width, the first
// of which begins at from. Times outside of all windows are ignored.
func countPerWindow(times []time.Time, from time.Time, width time.Duration, windows int) []int {
	counts := make([]int, windows)
	for _, t := range times {
		if i := int(math.Floor(float64(t.Sub(from)) / float64(width))); i >= 0 && i < windows {
			counts[i]++
		}
	}
	return counts
}

// interval is the time from the start of a request to the end of its answer.
type interval struct{ start, end time.Time }

// maxExcess returns the largest number of requests by which the requests that
// began and ended inside any one window exceed burst + rate * window. A positive
// result proves that the ceiling was violated, whenever inside its interval each
// request was admitted.
func maxExcess(requests []interval, rate, burst float64) float64 {
	byEnd := slices.Clone(requests)
	slices.SortFunc(byEnd, func(a, b interval) int { return a.end.Compare(b.end) })
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
