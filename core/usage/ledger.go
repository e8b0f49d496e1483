package usage

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// gatherDelay is the time after the end of a window at which its counts are gathered.
	// Sources send them just after the end.
	gatherDelay = time.Second
	// gatherRetryInterval is the interval at which the holder asks again while live
	// instances are missing, and gatherTimeout the time after the end of the window until
	// which it does.
	gatherRetryInterval = 700 * time.Millisecond
	gatherTimeout       = 3500 * time.Millisecond
	// minEmptyGathers is the number of times that the holder asks for a window of which
	// nothing is known while instances that are heard of are missing. A single failure of
	// the network must not lose a window that is already late. Instances that are not heard
	// of are asked for once: a new holder may have RetainedWindows empty windows to pass.
	minEmptyGathers = 4
	// resendWindows is the number of past windows whose fixed reports a new holder sends
	// again. It sends older ones if the store does not say that they were accepted.
	resendWindows = 6
	// sendInterval is the minimum time between two calls of the platform. It leaves nine
	// tenths of the platform's rate of 50 duty calls per second to other calls.
	sendInterval = 200 * time.Millisecond
	// sendRetryDelay is the time after which a call that was not accepted is repeated if
	// the platform names no time.
	sendRetryDelay = time.Second
	// fixRetryDelay is the time after which a failed transaction is repeated, and
	// leaseRetryDelay the minimum time between two readings of the lease.
	fixRetryDelay   = 500 * time.Millisecond
	leaseRetryDelay = time.Second
)

// Ledger is the state machine of the holder of the promotion lease. The caller passes
// events to it, and calls Next after each event and at the time that Wait names until Next
// returns Wait. A process uses one Ledger for all its tenures: it must not forget which
// reports it knows to be fixed.
//
// All calls must be made under the newest claim of the lease that the process has, and
// answers of the store from another era than that of the claim count as failed.
type Ledger struct {
	length, lateness time.Duration

	holding bool
	// leaseInDoubt is set after a rejected token until the lease was read.
	leaseInDoubt bool
	// era is the newest known era of the store, and eraSince the true time since which it
	// has been known to any process.
	era      uint64
	eraSince time.Duration

	// known holds the reports known to be fixed.
	known map[Window]*knownReport
	// givenUp holds the windows for which nothing will be sent.
	givenUp map[Window]bool
	// undecodable holds the windows that are to be given up because their rows cannot be
	// decoded. No report of them can be fixed.
	undecodable []Window
	// rows is the number of rows in the store for each window.
	rows map[Window]int
	// floor is the lowest window that is built. Rows of lower ones may have been deleted.
	floor Window
	// current is the window of the last event or call of Next, and next the lowest one that
	// may need work.
	current, next Window

	building building
	lastID   uint64
	// gather, fix, send and lease are the calls in progress.
	gather, fix, send, lease call
	// dropping holds the windows whose rows the transaction in progress deletes.
	dropping []Window
	// fixAt, sendAt and leaseAt are the earliest times, on the boot clock, of the next calls.
	fixAt, sendAt, leaseAt time.Duration
}

type knownReport struct {
	report Report
	// written is set if the store is known to hold the report in the present era.
	written bool
	// accepted is set if the platform has accepted the report, or has had the time to.
	accepted bool
	// contradicted is set if the restored store holds another report.
	contradicted bool
}

// building is the window that is being gathered and fixed.
type building struct {
	window Window
	active bool
	// asked is the number of answers, and askAt the true time of the next question.
	asked int
	askAt time.Duration
	best  Gathered
	ready bool
}

// call is a call in progress; none if id is 0.
type call struct {
	id     uint64
	window Window
}

// NewLedger returns the ledger of a process for windows of the given length. lateness is
// the time after the end of a window at which its report is late.
func NewLedger(length, lateness time.Duration) *Ledger {
	return &Ledger{
		length: length, lateness: lateness, eraSince: math.MinInt64, floor: NoWindow,
		known: map[Window]*knownReport{}, givenUp: map[Window]bool{}, rows: map[Window]int{},
	}
}

// Next returns the next action.
func (l *Ledger) Next(now Time) Action {
	if !l.holding {
		return Action{Kind: Wait, At: math.MaxInt64}
	}
	if l.leaseInDoubt {
		if l.lease.id != 0 {
			return Action{Kind: Wait, At: math.MaxInt64}
		}
		if now.Boot < l.leaseAt {
			return Action{Kind: Wait, At: l.leaseAt}
		}
		l.leaseAt = now.Boot + leaseRetryDelay
		return l.start(&l.lease, Action{Kind: ReadLease})
	}
	if a, ok := l.advance(now); ok {
		return a
	}
	a, sendAt := l.nextSend(now)
	if a.Kind != Wait {
		return a
	}
	a, buildAt := l.nextBuild(now)
	if a.Kind != Wait {
		return a
	}
	return Action{Kind: Wait, At: min(sendAt, buildAt)}
}

// start records a call in progress.
func (l *Ledger) start(c *call, a Action) Action {
	l.lastID++
	a.ID = l.lastID
	*c = call{a.ID, a.Window}
	return a
}

// finish ends the call with the given id and returns its window. It returns false if the
// call is not in progress.
func (c *call) finish(id uint64) (Window, bool) {
	if c.id == 0 || c.id != id {
		return 0, false
	}
	w := c.window
	*c = call{}
	return w, true
}

// oldest returns the oldest window that is not given up for its age.
func (l *Ledger) oldest() Window { return l.current - RetainedWindows }

// advance moves on to the current window. It returns an action to give up windows that have
// become too old.
func (l *Ledger) advance(now Time) (Action, bool) {
	w := WindowAt(now.True, l.length)
	if w < l.current {
		// The clock was corrected. Windows that have not ended yet were not given up for good.
		maps.DeleteFunc(l.givenUp, func(given Window, _ bool) bool { return given >= w })
		l.next = min(l.next, max(w-RetainedWindows, l.floor))
	}
	l.current = w
	maps.DeleteFunc(l.givenUp, func(given Window, _ bool) bool { return given < l.oldest() && given < l.next })
	for len(l.undecodable) > 0 {
		given := l.undecodable[0]
		l.undecodable = l.undecodable[1:]
		if l.known[given] != nil || given >= l.oldest() && !l.givenUp[given] {
			l.giveUp(given)
			return Action{Kind: GiveUp, Window: given, Last: given, Reason: Undecodable}, true
		}
	}
	for l.next < l.oldest() {
		if l.isDone(l.next) {
			l.next++
			continue
		}
		a := Action{Kind: GiveUp, Window: l.next, Reason: TooOld}
		for l.next < l.oldest() && !l.isDone(l.next) {
			l.giveUp(l.next)
			l.next++
		}
		a.Last = l.next - 1
		return a, true
	}
	for _, known := range slices.Sorted(maps.Keys(l.known)) {
		k := l.known[known]
		switch {
		case k.contradicted:
			l.giveUp(known)
			return Action{Kind: GiveUp, Window: known, Last: known, Reason: Contradiction}, true
		case known < l.oldest() && k.accepted:
			delete(l.known, known)
		case known < l.oldest():
			delete(l.known, known)
			return Action{Kind: GiveUp, Window: known, Last: known, Reason: TooOld}, true
		}
	}
	return Action{}, false
}

// isDone reports whether the window needs neither gathering nor fixing.
func (l *Ledger) isDone(w Window) bool {
	if l.givenUp[w] || w < l.floor {
		return true
	}
	k := l.known[w]
	return k != nil && (k.written || k.accepted && w < l.current-resendWindows)
}

// giveUp gives up a window.
func (l *Ledger) giveUp(w Window) {
	l.givenUp[w] = true
	delete(l.known, w)
	if l.building.window == w {
		l.building = building{}
	}
}

// nextSend returns the next call of the platform, or Wait and the time of it.
func (l *Ledger) nextSend(now Time) (Action, time.Duration) {
	if l.send.id != 0 {
		return Action{}, math.MaxInt64
	}
	for _, w := range slices.Sorted(maps.Keys(l.known)) {
		k := l.known[w]
		if !k.written || k.accepted {
			continue
		}
		if now.Boot < l.sendAt {
			return Action{}, l.sendAt
		}
		l.sendAt = now.Boot + sendInterval
		return l.start(&l.send, Action{Kind: Send, Window: w, Report: k.report}), 0
	}
	return Action{}, math.MaxInt64
}

// nextBuild returns the next step towards a fixed report, or Wait and the time of it.
func (l *Ledger) nextBuild(now Time) (Action, time.Duration) {
	if l.gather.id != 0 || l.fix.id != 0 {
		return Action{}, math.MaxInt64
	}
	l.next = max(l.next, l.floor)
	for l.next < l.current && l.isDone(l.next) {
		l.next++
	}
	w := l.next
	if k := l.known[w]; k != nil && !l.isDone(w) {
		return l.fixReport(now, k.report, Gathered{})
	}
	if l.era > 0 && w < l.current && w.End(l.length) <= l.eraSince {
		l.giveUp(w)
		return Action{Kind: GiveUp, Window: w, Last: w, Reason: FormerEra}, 0
	}
	if !l.building.active || l.building.window != w {
		l.building = building{window: w, active: true, askAt: w.End(l.length) + gatherDelay}
	}
	b := &l.building
	if b.ready {
		return l.fixReport(now, Report{w, b.best.Counts}, b.best)
	}
	isAskedEnough := b.best.Missing == b.best.Silent || b.asked >= minEmptyGathers
	if b.asked > 0 && b.best.Counts.Total() == 0 && (b.best.Missing == 0 || isAskedEnough && now.True >= w.End(l.length)+l.lateness) {
		g := b.best
		l.giveUp(w)
		return Action{Kind: GiveUp, Window: w, Last: w, Reason: NothingKnown, Gathered: g}, 0
	}
	if now.True < b.askAt {
		return Action{}, now.Boot + b.askAt - now.True
	}
	return l.start(&l.gather, Action{Kind: Gather, Window: w}), 0
}

// fixReport returns the transaction that fixes a report.
func (l *Ledger) fixReport(now Time, r Report, g Gathered) (Action, time.Duration) {
	if now.Boot < l.fixAt {
		return Action{}, l.fixAt
	}
	acceptedBefore := l.firstUnaccepted()
	if _, err := r.EncodeRows(l.era, acceptedBefore); err != nil {
		l.giveUp(r.Window)
		return Action{Kind: GiveUp, Window: r.Window, Last: r.Window, Reason: TooLarge, Gathered: g}, 0
	}
	a := Action{Kind: Fix, Window: r.Window, Report: r, AcceptedBefore: acceptedBefore, Gathered: g}
	l.dropping = l.droppable(r.Window)
	for _, old := range l.dropping {
		a.Drop = append(a.Drop, FixedReport{Report: Report{Window: old}, Rows: l.rows[old]}.RowKeys()...)
	}
	return l.start(&l.fix, a), 0
}

// droppable returns the windows whose rows are deleted when the report of a window is
// written: those more than RetainedWindows before it, unless they are among the newest of
// the table. The latter keeps a holder whose clock is ahead from deleting reports that
// another holder would build again.
func (l *Ledger) droppable(w Window) []Window {
	var drop []Window
	dropRows := 0
	windows := slices.Sorted(maps.Keys(l.rows))
	for i, old := range windows {
		dropRows += l.rows[old]
		if old >= w-RetainedWindows || len(windows)-i <= RetainedWindows || dropRows > MaxDroppedRows {
			break
		}
		drop = append(drop, old)
	}
	return drop
}

// Oldest returns the oldest ended window for which a report may still be sent and has not
// been accepted.
func (l *Ledger) Oldest() (Window, bool) {
	if !l.holding {
		return 0, false
	}
	w := l.firstUnaccepted()
	return w, w < l.current
}

// firstUnaccepted returns the oldest window for which a report may still be sent and has not
// been accepted.
func (l *Ledger) firstUnaccepted() Window {
	w := l.next
	for known, k := range l.known {
		if !k.accepted {
			w = min(w, known)
		}
	}
	return w
}
