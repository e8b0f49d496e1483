package usage_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrysill/mulberrysill/core/revision"
	"github.com/mulberrysill/mulberrysill/core/usage"
)

// variant is a broken variant of the protocol that the property must reject.
type variant uint8

const (
	correct variant = iota
	// sendFirst sends a report before it is fixed.
	sendFirst
	// buildAgain lets a new holder write its own report of a window that has one.
	buildAgain
)

const (
	worldInstances = 4
	worldZones     = 2
	worldStart     = 1_000_000 * windowLength
	// maxWallError is the largest error of a wall clock, and smallWallError that of the
	// clocks which outvote it.
	maxWallError   = 20 * time.Second
	smallWallError = 200 * time.Millisecond
)

// storeState is what a copy of the store holds.
type storeState struct {
	version uint64
	lease   leaseRow
	rows    map[string][]byte
}

type leaseRow struct {
	holder             usage.Source
	version, claimedIn uint64
}

// world simulates instances, the store and the platform. The store checks only versions, as
// the real one does, so that transactions of a former era may succeed after a restoration.
type world struct {
	t       *rapid.T
	variant variant
	// calm worlds have no deaths, restorations or wrong clocks, and bounded outages.
	calm bool
	// restorable worlds restore the store. A process of such a world claims the lease only
	// once its clock was compared with two others.
	restorable    bool
	requireFence  bool
	now           time.Duration
	store         storeState
	era           uint64
	copies        []storeState
	storeDown     bool
	platformDown  bool
	processes     []*process
	wrongClock    int
	started       int64
	late          []func()
	messages      []message
	counted       map[usage.Window]usage.Counts
	held          map[usage.Window][]usage.Report
	accepted      map[usage.Window]usage.Report
	highestToken  revision.Revision
	violations    []string
	restorations  int
	acceptedCalls int
	// failures counts the calls that have failed in sequence.
	failures int
}

// process is a process of an instance.
type process struct {
	source   usage.Source
	zone     string
	clock    *usage.Clock
	counter  *usage.Counter
	gatherer *usage.Gatherer
	ledger   *usage.Ledger
	// acknowledged is the version acknowledged by each gatherer's process.
	acknowledged map[usage.Source]uint64
	era          uint64
	eraSince     time.Duration
	// token and claimedIn describe the newest claim of the lease; token is 0 without one.
	token     revision.Revision
	claimedIn uint64
	// sentAt is when each gatherer last acknowledged a message.
	sentAt map[usage.Source]time.Duration
}

type message struct {
	from    *process
	to      string
	process usage.Source // the process of the receiver that the sender knows
	counts  map[usage.Window]usage.Counts
	through usage.Window
	version uint64
}

func newWorld(t *rapid.T, v variant, calm bool) *world {
	w := &world{
		t: t, variant: v, calm: calm, now: worldStart, wrongClock: -1,
		store:    storeState{rows: map[string][]byte{}},
		counted:  map[usage.Window]usage.Counts{},
		held:     map[usage.Window][]usage.Report{},
		accepted: map[usage.Window]usage.Report{},
	}
	w.requireFence = w.flip("requireFence")
	w.restorable = !calm && w.flip("restorable")
	for i := range worldInstances {
		w.processes = append(w.processes, w.newProcess(i))
	}
	return w
}

func (w *world) flip(label string) bool { return rapid.Bool().Draw(w.t, label) }

// oneIn returns true once in n draws.
func (w *world) oneIn(n int, label string) bool { return rapid.IntRange(1, n).Draw(w.t, label) == n }

func (w *world) boot() time.Duration { return w.now - worldStart }

// newProcess starts a process of instance i. At most one instance has a wrong clock.
func (w *world) newProcess(i int) *process {
	limit := smallWallError
	if !w.calm && (w.wrongClock == -1 || w.wrongClock == i) && w.oneIn(4, "wrongClock") {
		limit, w.wrongClock = maxWallError, i
	}
	wallError := time.Duration(rapid.Int64Range(-int64(limit), int64(limit)).Draw(w.t, "wallError"))
	w.started++
	return &process{
		source: usage.Source{Instance: fmt.Sprint("i", i), Started: w.started}, zone: fmt.Sprint("z", i%worldZones),
		clock: usage.NewClock(w.now+wallError, w.boot()), counter: usage.NewCounter(windowLength), gatherer: usage.NewGatherer(),
		ledger:       usage.NewLedger(windowLength, lateness),
		acknowledged: map[usage.Source]uint64{}, sentAt: map[usage.Source]time.Duration{},
	}
}

func (w *world) time(p *process) usage.Time { return p.clock.Now(w.boot()) }

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// count lets clients of a process send requests.
func (w *world) count(p *process) {
	at := w.time(p).True
	workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.t, "workspace")
	n := rapid.Uint64Range(1, 100).Draw(w.t, "requests")
	p.counter.Add(workspace, at, n)
	window := usage.WindowAt(at, windowLength)
	if w.counted[window] == nil {
		w.counted[window] = usage.Counts{}
	}
	w.counted[window][workspace] += n
}

// compose returns p's message to the gatherer g.
func (w *world) compose(p, g *process) message {
	known := g.source
	for s := range p.acknowledged {
		if s.Instance == g.source.Instance {
			known = s
		}
	}
	counts, version := p.counter.Since(p.acknowledged[known])
	return message{p, g.source.Instance, known, counts, usage.WindowAt(w.time(p).True, windowLength) - 1, version}
}

// deliver delivers a message to the process that the receiver runs now.
func (w *world) deliver(m message, acknowledged bool) {
	for _, g := range w.processes {
		if g.source.Instance != m.to {
			continue
		}
		through := m.through
		if g.source != m.process {
			through = usage.NoWindow
		}
		g.gatherer.Merge(m.from.source, m.counts, through, w.boot())
		if !acknowledged {
			return
		}
		if g.source == m.process {
			m.from.acknowledged[g.source] = max(m.from.acknowledged[g.source], m.version)
			m.from.sentAt[g.source] = w.now
		} else {
			delete(m.from.acknowledged, m.process)
			m.from.acknowledged[g.source] = max(m.from.acknowledged[g.source], 0)
		}
		return
	}
}

// exchange sends p's counts to the gatherers of its zone. Messages may be lost, late or
// repeated, and acknowledgements lost.
func (w *world) exchange(p *process) {
	for _, g := range w.processes {
		if g.zone != p.zone {
			continue
		}
		m := w.compose(p, g)
		fate := rapid.IntRange(0, 7).Draw(w.t, "message")
		if w.calm && w.now-p.sentAt[g.source] > time.Second {
			fate = 7
		}
		switch fate {
		case 0:
		case 1:
			w.messages = append(w.messages, m)
		case 2:
			w.messages = append(w.messages, m)
			w.deliver(m, true)
		case 3:
			w.deliver(m, false)
		default:
			w.deliver(m, true)
		}
	}
}

// compareClocks compares p's clock with that of another process.
func (w *world) compareClocks(p, peer *process) {
	roundTrip := time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(w.t, "roundTrip"))
	outward := time.Duration(rapid.Int64Range(0, int64(roundTrip)).Draw(w.t, "outward"))
	// The request was sent roundTrip ago.
	answered := w.boot() - roundTrip + outward
	p.clock.Observe(peer.source.Instance, peer.clock.Raw(answered)-p.clock.Raw(w.boot()-roundTrip), roundTrip, w.boot())
	if peer.era > 0 {
		w.learnEra(p, peer.era, peer.eraSince)
	}
}

// learnEra tells p of an era.
func (w *world) learnEra(p *process, era uint64, since time.Duration) {
	if era < p.era || era == 0 {
		return
	}
	if era > p.era {
		p.era, p.eraSince, p.token = era, since, 0
	}
	p.eraSince = min(p.eraSince, since)
	p.ledger.EraChanged(era, since)
}

// seeStore lets p see a response of the store.
func (w *world) seeStore(p *process) {
	if w.era > p.era {
		w.learnEra(p, w.era, w.time(p).True)
	}
}

// claim lets p take the lease over, if it may.
func (w *world) claim(p *process) {
	if w.storeDown || w.restorable && p.clock.Peers(w.boot()) < 2 {
		return
	}
	w.seeStore(p)
	w.store.version++
	w.store.lease = leaseRow{p.source, w.store.version, w.era}
	p.token, p.claimedIn = revision.New(w.era, w.store.version), w.era
	w.takeOver(p)
}

func (w *world) takeOver(p *process) {
	var rows []usage.Row
	if w.variant != buildAgain {
		for key, value := range w.store.rows {
			rows = append(rows, usage.Row{Key: key, Value: value})
		}
	}
	fixed, err := usage.ParseRows(rows)
	if err != nil {
		w.violate("%v", err)
	}
	p.ledger.TookOver(w.time(p), fixed, nil)
}

// reportInStore returns what the store holds for a window.
func (w *world) reportInStore(window usage.Window) (usage.FixedReport, bool) {
	value, ok := w.store.rows[usage.RowKey(window, 0)]
	if !ok {
		return usage.FixedReport{}, false
	}
	fixed, err := usage.ParseRows([]usage.Row{{Key: usage.RowKey(window, 0), Value: value}})
	if err != nil {
		w.violate("%v", err)
		return usage.FixedReport{}, false
	}
	return fixed[0], true
}

// transact carries out the transaction that fixes a report. It reports whether it had an
// effect.
func (w *world) transact(token revision.Revision, claimedIn uint64, a usage.Action) bool {
	_, exists := w.reportInStore(a.Window)
	if exists && w.variant != buildAgain || w.store.lease.version != token.Version() {
		return false
	}
	rows, err := a.Report.EncodeRows(claimedIn, a.AcceptedBefore)
	if err != nil {
		w.violate("%v", err)
		return false
	}
	w.store.version++
	for _, key := range a.Drop {
		delete(w.store.rows, key)
	}
	for _, row := range rows {
		w.store.rows[row.Key] = row.Value
	}
	w.held[a.Window] = append(w.held[a.Window], a.Report)
	return true
}

// drawFate chooses what becomes of a call: from 4 it succeeds. In a calm world
// at most two fail in sequence while the other side is up.
func (w *world) drawFate(call string) int {
	fate := rapid.IntRange(0, 7).Draw(w.t, call)
	if w.calm && w.failures >= 2 {
		fate = 7
	}
	w.failures++
	if fate >= 4 {
		w.failures = 0
	}
	return fate
}

// fix executes a Fix action of p.
func (w *world) fix(p *process, a usage.Action) {
	token, claimedIn := p.token, p.claimedIn
	if w.variant == sendFirst {
		w.platform(token, a.Report)
	}
	fate := w.drawFate("fix")
	if w.storeDown && fate != 1 {
		fate = 0
	}
	switch fate {
	case 0: // not executed
		p.ledger.FixFailed(a.ID, w.time(p))
		return
	case 1: // executed late
		w.late = append(w.late, func() { w.transact(token, claimedIn, a) })
		p.ledger.FixFailed(a.ID, w.time(p))
		return
	case 2: // the response is lost
		w.transact(token, claimedIn, a)
		p.ledger.FixFailed(a.ID, w.time(p))
		return
	}
	w.transact(token, claimedIn, a)
	if w.era > p.era {
		w.seeStore(p)
		p.ledger.FixFailed(a.ID, w.time(p))
		return
	}
	if f, ok := w.reportInStore(a.Window); ok {
		p.ledger.Fixed(a.ID, w.time(p), f)
	} else {
		p.ledger.FixRefused(a.ID)
	}
}

// platform receives a call. It returns false if the token is refused.
func (w *world) platform(token revision.Revision, r usage.Report) bool {
	if token < w.highestToken && w.requireFence {
		return false
	}
	w.highestToken = max(w.highestToken, token)
	w.acceptedCalls++
	if first, ok := w.accepted[r.Window]; ok && !first.Equal(r) {
		w.violate("window %d has two reports: %v and %v", r.Window, first.Counts, r.Counts)
	}
	w.accepted[r.Window] = r
	for workspace, n := range r.Counts {
		if n > w.counted[r.Window][workspace] {
			w.violate("window %d: %d requests of %s are reported and %d were counted", r.Window, n, workspace, w.counted[r.Window][workspace])
		}
	}
	return true
}

// send executes a Send action of p.
func (w *world) send(p *process, a usage.Action) {
	if !slices.ContainsFunc(w.held[a.Window], a.Report.Equal) {
		w.violate("the store never held the report %v of window %d", a.Report.Counts, a.Window)
	}
	token := p.token
	fate := w.drawFate("send")
	if w.platformDown && fate != 1 {
		fate = 0
	}
	switch fate {
	case 0:
		p.ledger.SendFailed(a.ID, w.time(p), 0)
	case 1:
		w.late = append(w.late, func() { w.platform(token, a.Report) })
		p.ledger.SendFailed(a.ID, w.time(p), 0)
	case 2:
		w.platform(token, a.Report)
		p.ledger.SendFailed(a.ID, w.time(p), 0)
	case 3:
		p.ledger.SendFailed(a.ID, w.time(p), 700*time.Millisecond)
	default:
		if w.platform(token, a.Report) {
			p.ledger.Sent(a.ID)
		} else {
			p.ledger.Fenced(a.ID)
		}
	}
}

// readLease executes a ReadLease action of p.
func (w *world) readLease(p *process, a usage.Action) {
	if w.storeDown {
		p.ledger.LeaseReadFailed(a.ID, w.time(p))
		return
	}
	w.seeStore(p)
	lease := w.store.lease
	if p.token == 0 || lease.holder != p.source || lease.claimedIn != w.era || lease.version != p.token.Version() {
		p.token = 0
		p.ledger.LeaseLost()
		return
	}
	w.store.version++
	w.store.lease.version = w.store.version
	p.token = revision.New(w.era, w.store.version)
	p.ledger.LeaseKept(a.ID)
}

// gather executes a Gather action of p. Gatherers may not respond.
func (w *world) gather(p *process, a usage.Action) {
	sums := map[string][]usage.Sum{}
	var live []usage.Source
	for _, g := range w.processes {
		live = append(live, g.source)
		if w.calm || !w.oneIn(5, "gathererSilent") {
			sums[g.zone] = append(sums[g.zone], g.gatherer.Sum(a.Window))
		}
	}
	p.ledger.Gathered(a.ID, w.time(p), usage.Combine(sums, live, nil))
}

// work lets p do what its ledger asks for.
func (w *world) work(p *process) {
	for range 100 {
		a := p.ledger.Next(w.time(p))
		if (p.token == 0) && a.Kind != usage.Wait {
			w.violate("%v without the lease", a.Kind)
			return
		}
		if a.Kind != usage.Wait {
			w.t.Logf("%v %v: %v %v of window %d", w.boot(), p.source, a.Kind, a.Reason, a.Window)
		}
		switch a.Kind {
		case usage.Gather:
			w.gather(p, a)
		case usage.Fix:
			w.fix(p, a)
		case usage.Send:
			w.send(p, a)
		case usage.ReadLease:
			w.readLease(p, a)
		case usage.GiveUp:
		default:
			if a.At <= w.boot() {
				w.violate("wait until %v at %v", a.At, w.boot())
			}
			return
		}
	}
	w.violate("the ledger of %v never waits", p.source)
}
