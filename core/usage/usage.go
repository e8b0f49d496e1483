// Package usage counts the requests of each workspace in fixed windows of time, gathers
// the counts of all instances, and decides when the report of a window is written to the
// store ("fixed") and sent to the platform. docs/design/usage.md describes the whole.
//
// Two reports with different counts must never be sent for one window. What the store
// holds for a window is its report, no matter who wrote it.
//
// The package has no I/O, no clock and no goroutines. Its types are not safe for
// concurrent use.
package usage

import (
	"cmp"
	"maps"
	"math"
	"time"
)

// RetainedWindows is the number of past windows for which counts and reports are kept. A
// report that is older is given up.
const RetainedWindows = 24

// heldWindows is the number of windows that a counter holds: the retained ones, the
// current one, and one more for corrections of the clock.
const heldWindows = RetainedWindows + 2

// Window is the number of a window: window k begins k window lengths after 1970-01-01 in
// true time.
type Window int64

// NoWindow is before all windows.
const NoWindow = Window(math.MinInt64)

// WindowAt returns the window that contains a time, given as the time since 1970.
func WindowAt(at, length time.Duration) Window {
	w := Window(at / length)
	if at%length < 0 {
		w--
	}
	return w
}

// End returns the end of the window as a time since 1970.
func (w Window) End(length time.Duration) time.Duration { return time.Duration(w+1) * length }

// Time is one moment on two clocks of an instance.
type Time struct {
	// Boot is a reading of the boot clock. Intervals are measured on it.
	Boot time.Duration
	// True is the corrected time since 1970. A correction may move it back.
	True time.Duration
}

// Counts holds a number of requests for each workspace.
type Counts map[string]uint64

// Total returns the number of requests of all workspaces.
func (c Counts) Total() uint64 {
	var total uint64
	for _, n := range c {
		total += n
	}
	return total
}

// add adds the counts of other.
func (c Counts) add(other Counts) {
	for workspace, n := range other {
		c[workspace] += n
	}
}

// Source is one process that counts.
type Source struct {
	Instance string
	// Started is the start time of the process in Unix milliseconds. Successive processes
	// of an instance each count from 0.
	Started int64
}

// Compare orders sources by instance and start time.
func (s Source) Compare(other Source) int {
	return cmp.Or(cmp.Compare(s.Instance, other.Instance), cmp.Compare(s.Started, other.Started))
}

// Report is what is reported for a window.
type Report struct {
	Window Window
	// Counts has no entries of 0.
	Counts Counts
}

// Equal reports whether both reports say the same.
func (r Report) Equal(other Report) bool {
	return r.Window == other.Window && maps.Equal(r.Counts, other.Counts)
}
