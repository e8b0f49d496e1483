package usage

import "cmp"

// Gathered is what the holder knows of a window.
type Gathered struct {
	Counts Counts
	// Covered is the number of sources that have sent their counts after the end of the
	// window. Gone is the number of sources with counts that no longer live, and
	// GoneRequests the number of requests that they counted. Missing is the number of live
	// sources that are not covered, and Silent how many of them are not heard of.
	Covered, Gone, Missing, Silent int
	GoneRequests                   uint64
}

// Combine adds up the sums of a window over the availability zones. sums holds, for each
// zone, the responses of its gatherers; a gatherer that did not respond has none. Of each
// zone only the better response counts, since both gatherers of a zone have received the
// same counts. live lists the sources of all zones that are heard of, and silent those that
// are not, but may live: the holder may be cut off from them.
func Combine(sums map[string][]Sum, live, silent []Source) Gathered {
	total := Gathered{Counts: Counts{}}
	missing := make(map[Source]bool, len(live)+len(silent))
	isSilent := make(map[Source]bool, len(silent))
	for _, s := range live {
		missing[s] = true
	}
	for _, s := range silent {
		missing[s], isSilent[s] = true, true
	}
	for _, responses := range sums {
		if len(responses) == 0 {
			continue
		}
		best := responses[0]
		for _, s := range responses[1:] {
			if s.compare(best) > 0 {
				best = s
			}
		}
		total.Counts.add(best.Counts)
		for _, s := range best.Sources {
			if s.Complete {
				total.Covered++
			}
			_, present := missing[s.Source]
			switch {
			case !present && s.Requests > 0:
				total.Gone++
				total.GoneRequests += s.Requests
			case present && s.Complete:
				missing[s.Source] = false
			}
		}
	}
	for s, m := range missing {
		if m {
			total.Missing++
		}
		if m && isSilent[s] {
			total.Silent++
		}
	}
	return total
}

// compare orders responses of one zone by the number of sources, then by the sum. A source
// whose last second of counts is missing lowers the sum.
func (s Sum) compare(other Sum) int {
	return cmp.Or(cmp.Compare(len(s.Sources), len(other.Sources)), cmp.Compare(s.Counts.Total(), other.Counts.Total()))
}

// compare orders what was known of a window at different times: by the number of covered
// sources, then by the sum.
func (g Gathered) compare(other Gathered) int {
	return cmp.Or(cmp.Compare(g.Covered, other.Covered), cmp.Compare(g.Counts.Total(), other.Counts.Total()))
}
