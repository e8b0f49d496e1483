package usage

import (
	"slices"
	"time"
)

const (
	// MaxWindowLength is the largest length of a window. It is the one that the platform uses.
	MaxWindowLength = 5 * time.Second
	// Retention is how long a gatherer keeps counts that no longer change. It covers the
	// retained windows of the largest length, and two more.
	Retention = heldWindows * MaxWindowLength
)

// Gatherer holds the counts of the sources of an availability zone. Counts are cumulative
// for each source, window and workspace and are merged by maximum, so that repeated, late
// and reordered messages are harmless. The counts of a source that is gone stay until
// Retention has passed. All times are readings of the boot clock.
type Gatherer struct {
	sources map[Source]*gatheredSource
	expired time.Duration
}

type gatheredSource struct {
	windows map[Window]*gatheredWindow
	// through is the last window up to which the source has sent its counts.
	through Window
	lastAt  time.Duration
}

type gatheredWindow struct {
	counts    Counts
	changedAt time.Duration
}

// SourceCount is a source's part of a sum.
type SourceCount struct {
	Source
	// Requests is the number of requests that the source counted in the window.
	Requests uint64
	// Complete is set if the source has sent its counts after the end of the window.
	Complete bool
}

// Sum is a gatherer's response for a window: the sums of its sources' counts and the
// sources, sorted, whose counts or whose message after the end of the window it has.
type Sum struct {
	Counts  Counts
	Sources []SourceCount
}

// NewGatherer returns a gatherer without counts.
func NewGatherer() *Gatherer { return &Gatherer{sources: map[Source]*gatheredSource{}} }

// Merge merges cumulative counts of a source. through is the last window that had ended on
// the source's clock when it composed the message. The message and those that this process
// has received before must hold what the source had counted up to then; otherwise, for
// example if an earlier process of this instance acknowledged the rest, through must be
// NoWindow. A source sends a message after the end of each window, without counts if it has
// counted nothing, so that an idle source can be told from one whose counts are missing.
func (g *Gatherer) Merge(source Source, counts map[Window]Counts, through Window, boot time.Duration) {
	g.expire(boot)
	s := g.sources[source]
	if s == nil {
		s = &gatheredSource{windows: map[Window]*gatheredWindow{}, through: NoWindow}
		g.sources[source] = s
	}
	s.lastAt = boot
	s.through = max(s.through, through)
	for window, workspaces := range counts {
		w := s.windows[window]
		if w == nil {
			w = &gatheredWindow{counts: Counts{}, changedAt: boot}
			s.windows[window] = w
		}
		for workspace, n := range workspaces {
			if n > w.counts[workspace] {
				w.counts[workspace] = n
				w.changedAt = boot
			}
		}
	}
	for len(s.windows) > heldWindows {
		s.dropStalest()
	}
}

// dropStalest drops the window that has not changed for longest, so that windows counted
// while the source's clock was wrong do not displace others.
func (s *gatheredSource) dropStalest() {
	var stalest Window
	var found *gatheredWindow
	for window, w := range s.windows {
		if found == nil || w.changedAt < found.changedAt || w.changedAt == found.changedAt && window < stalest {
			stalest, found = window, w
		}
	}
	delete(s.windows, stalest)
}

// expire drops what has not changed for Retention. It runs at most once a second, since it
// visits all windows.
func (g *Gatherer) expire(boot time.Duration) {
	if boot-g.expired < time.Second {
		return
	}
	g.expired = boot
	for source, s := range g.sources {
		for window, w := range s.windows {
			if boot-w.changedAt > Retention {
				delete(s.windows, window)
			}
		}
		if len(s.windows) == 0 && boot-s.lastAt > Retention {
			delete(g.sources, source)
		}
	}
}

// Sum returns the sums of a window.
func (g *Gatherer) Sum(window Window) Sum {
	sum := Sum{Counts: Counts{}}
	for source, s := range g.sources {
		complete := s.through >= window
		w := s.windows[window]
		if w == nil {
			if complete {
				sum.Sources = append(sum.Sources, SourceCount{Source: source, Complete: true})
			}
			continue
		}
		sum.Counts.add(w.counts)
		sum.Sources = append(sum.Sources, SourceCount{source, w.counts.Total(), complete})
	}
	slices.SortFunc(sum.Sources, func(a, b SourceCount) int { return a.Source.Compare(b.Source) })
	return sum
}
