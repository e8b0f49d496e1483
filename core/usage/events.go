package usage

import (
	"maps"
	"math"
	"slices"
	"time"
)

// TookOver says that the process has claimed the promotion lease, and afterwards listed the
// fixed reports. undecodable holds the number of rows of each window whose report cannot be
// decoded (UndecodableError). It must be called again after LeaseLost and after EraChanged.
func (l *Ledger) TookOver(now Time, fixed []FixedReport, undecodable map[Window]int) {
	l.stop()
	l.holding = true
	l.current = WindowAt(now.True, l.length)
	clear(l.rows)
	for _, k := range l.known {
		k.written = false
	}
	for _, f := range fixed {
		l.rows[f.Window] = f.Rows
	}
	maps.Copy(l.rows, undecodable)
	l.undecodable = slices.Sorted(maps.Keys(undecodable))
	// A row is deleted only if the table has RetainedWindows newer windows, so that lower
	// windows than these may have been reported.
	l.floor = NoWindow
	if windows := slices.Sorted(maps.Keys(l.rows)); len(windows) >= RetainedWindows {
		l.floor = windows[len(windows)-RetainedWindows]
	}
	l.next = max(l.oldest(), l.floor)
	sendFrom := l.sendFrom(fixed)
	for _, f := range fixed {
		if f.Window < l.oldest() || l.givenUp[f.Window] {
			continue
		}
		if k := l.record(f); k != nil {
			k.accepted = k.accepted || f.Window < sendFrom
		}
	}
}

// sendFrom returns the lowest window whose fixed report a new holder sends, unless it knows
// that it was accepted. The newest row names the windows that earlier holders have left
// unsent, but not what was sent after it was written.
func (l *Ledger) sendFrom(fixed []FixedReport) Window {
	from := l.current - resendWindows
	var acceptedBefore Window
	for _, f := range fixed {
		// Windows in the future were written by a holder whose clock was ahead, which may
		// have given up reports as too old.
		if f.Window <= l.current {
			acceptedBefore = max(acceptedBefore, f.AcceptedBefore)
		}
	}
	if acceptedBefore == 0 {
		return from
	}
	return min(from, acceptedBefore)
}

// record records what the store holds for a window and returns the known report, or nil if
// the window is to be given up.
func (l *Ledger) record(f FixedReport) *knownReport {
	k := l.known[f.Window]
	switch {
	case k != nil && k.report.Equal(f.Report):
		k.written = true
	case k != nil:
		k.contradicted = true
		return nil
	case f.Era == l.era || f.Window.End(l.length) > l.eraSince:
		// Nothing was fixed in a former era for a window that ended in this one, so that the
		// row is the only report. Otherwise a row that names a former era may have been
		// written by a late transaction, after another report was sent.
		k = &knownReport{report: f.Report, written: true}
		l.known[f.Window] = k
	}
	return k
}

// EraChanged says that the store was restored (core/revision), and since which true time
// the era has been known to any process. It stops all work until TookOver. It may be called
// again with an earlier time.
func (l *Ledger) EraChanged(era uint64, since time.Duration) {
	switch {
	case era > l.era:
		l.era, l.eraSince = era, since
		l.stop()
	case era == l.era && era > 0:
		l.eraSince = min(l.eraSince, since)
	}
}

// LeaseLost says that the process no longer holds the lease. It stops all work until
// TookOver.
func (l *Ledger) LeaseLost() { l.stop() }

func (l *Ledger) stop() {
	l.holding, l.leaseInDoubt = false, false
	l.building = building{}
	l.gather, l.fix, l.send, l.lease = call{}, call{}, call{}, call{}
	l.fixAt = 0
}

// LeaseKept answers ReadLease: the row names this process, which has claimed the lease
// again if its newest token was refused.
func (l *Ledger) LeaseKept(id uint64) {
	if _, ok := l.lease.finish(id); ok {
		l.leaseInDoubt = false
	}
}

// LeaseReadFailed answers ReadLease if the store did not respond.
func (l *Ledger) LeaseReadFailed(id uint64, now Time) {
	if _, ok := l.lease.finish(id); ok {
		l.leaseAt = now.Boot + leaseRetryDelay
	}
}

// Gathered answers Gather.
func (l *Ledger) Gathered(id uint64, now Time, g Gathered) {
	w, ok := l.gather.finish(id)
	if !ok || !l.building.active || l.building.window != w {
		return
	}
	b := &l.building
	g.Counts = maps.Clone(g.Counts)
	maps.DeleteFunc(g.Counts, func(_ string, n uint64) bool { return n == 0 })
	if b.asked == 0 || g.compare(b.best) >= 0 {
		b.best = g
	}
	b.asked++
	b.askAt = now.True + gatherRetryInterval
	b.ready = b.best.Counts.Total() > 0 && (b.best.Missing == 0 || b.askAt > w.End(l.length)+gatherTimeout)
}

// Fixed answers Fix with what the store holds for the window.
func (l *Ledger) Fixed(id uint64, now Time, f FixedReport) {
	w, ok := l.fix.finish(id)
	if !ok {
		return
	}
	if f.Window != w || f.Era > l.era {
		l.fixAt = now.Boot + fixRetryDelay
		return
	}
	l.rows[w] = f.Rows
	if k := l.record(f); k != nil && f.Era == l.era {
		for _, old := range l.dropping {
			delete(l.rows, old)
		}
	}
	if l.building.window == w {
		l.building = building{}
	}
}

// FixFailed answers Fix if it is not known what the store holds.
func (l *Ledger) FixFailed(id uint64, now Time) {
	if _, ok := l.fix.finish(id); ok {
		l.fixAt = now.Boot + fixRetryDelay
	}
}

// FixRefused answers Fix if the lease has changed.
func (l *Ledger) FixRefused(id uint64) {
	if _, ok := l.fix.finish(id); ok {
		l.doubtLease()
	}
}

// Sent answers Send: the platform has accepted the report.
func (l *Ledger) Sent(id uint64) {
	if w, ok := l.send.finish(id); ok && l.known[w] != nil {
		l.known[w].accepted = true
	}
}

// SendFailed answers Send if the platform did not accept the report, or it is not known
// whether it did. retryAfter is the time that the platform names, 0 if none.
func (l *Ledger) SendFailed(id uint64, now Time, retryAfter time.Duration) {
	if _, ok := l.send.finish(id); !ok {
		return
	}
	if retryAfter <= 0 {
		retryAfter = sendRetryDelay
	}
	l.sendAt = max(l.sendAt, now.Boot+min(retryAfter, math.MaxInt64-now.Boot))
}

// Fenced answers Send if the platform has seen a higher fencing token.
func (l *Ledger) Fenced(id uint64) {
	if _, ok := l.send.finish(id); ok {
		l.doubtLease()
	}
}

// doubtLease stops all work until the lease was read.
func (l *Ledger) doubtLease() {
	l.stop()
	l.holding, l.leaseInDoubt = true, true
}
