package usage

import "time"

// Counter counts the requests of the clients of one process. Counts are cumulative and
// never decrease.
type Counter struct {
	length  time.Duration
	version uint64
	windows map[Window]*countedWindow
	dropped uint64
	// droppedEarly is the part of dropped whose windows were still to be reported.
	droppedEarly uint64
}

type countedWindow struct {
	// version is that of the window's last change.
	version uint64
	entries map[string]countedEntry
}

type countedEntry struct{ n, version uint64 }

// NewCounter returns a counter for windows of the given length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, version: 1, windows: map[Window]*countedWindow{}}
}

// Add counts n requests of the workspace that began to run at a time since 1970. If the
// counter holds too many windows, it drops the one that has not changed for longest: the
// oldest, or one that was counted while the clock was wrong.
func (c *Counter) Add(workspace string, at time.Duration, n uint64) {
	if n == 0 {
		return
	}
	window := WindowAt(at, c.length)
	w := c.windows[window]
	if w == nil {
		if len(c.windows) >= heldWindows {
			c.dropStalest(window)
		}
		w = &countedWindow{entries: map[string]countedEntry{}}
		c.windows[window] = w
	}
	w.version = c.version
	w.entries[workspace] = countedEntry{w.entries[workspace].n + n, c.version}
}

// dropStalest drops the window that has not changed for longest, in favour of another.
func (c *Counter) dropStalest(added Window) {
	var stalest Window
	var found *countedWindow
	for window, w := range c.windows {
		if found == nil || w.version < found.version || w.version == found.version && window < stalest {
			stalest, found = window, w
		}
	}
	for _, e := range found.entries {
		c.dropped += e.n
		if stalest >= added-RetainedWindows {
			c.droppedEarly += e.n
		}
	}
	delete(c.windows, stalest)
}

// Since returns the cumulative counts that have changed since an earlier call returned the
// version, and the version to name in the next call once the receiver has acknowledged
// them. Version 0 returns all counts.
func (c *Counter) Since(version uint64) (map[Window]Counts, uint64) {
	changed := map[Window]Counts{}
	for window, w := range c.windows {
		if w.version <= version {
			continue
		}
		counts := Counts{}
		for workspace, e := range w.entries {
			if e.version > version {
				counts[workspace] = e.n
			}
		}
		changed[window] = counts
	}
	// Later changes get a higher version than the one returned.
	c.version++
	return changed, c.version - 1
}

// Dropped returns the number of requests in windows that are no longer held. Most of them
// were reported long ago.
func (c *Counter) Dropped() uint64 { return c.dropped }

// DroppedEarly returns the number of requests in windows that were dropped although they were
// not too old to be reported: they or others were counted while the clock was wrong.
func (c *Counter) DroppedEarly() uint64 { return c.droppedEarly }
