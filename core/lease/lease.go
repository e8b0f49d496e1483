// Package lease decides who may use which part of every limit of a cell. It
// holds the instance's own lease, acts as a witness for fellow instances, and
// retires the leases of dead ones (docs/design.md, section 6).
//
// The package has no I/O, clock or goroutines. One goroutine owns a Lease and
// drives it:
//
//	l := lease.New(lease.Config{ID: id, Zone: zone, Epoch: lease.NewEpoch(start)}, start)
//	for each event, and at least every TickEvery:
//	    for _, a := range l.Step(now, ev) { execute a, in order }
//	    publish l.Status() to the traffic goroutines
//
// Actions are executed in order: SetUnits lowers the instance's limits before
// the store learns of it. Every Transact and ReadRows is answered by exactly
// one event with the same Op, also after a timeout. PromiseAsked and
// RetireAsked yield their reply among the returned actions. A traffic goroutine
// checks Status.Valid at the point at which it takes a token.
//
// Two rules carry the safety of the lease. A lease counts as renewed only by a
// majority of the witnesses named in its own store row, or by a write of that
// row; a row is removed only with grants from a majority of the same witnesses
// and a compare-and-set on the same version. And units are in use only if the
// row in the store holds at least as many.
package lease

import (
	"slices"
	"time"
)

// TotalUnits is the number of units of a cell, the pool of free units included.
const TotalUnits = 65536

const (
	// Length is the length of a promise and of a renewal in the store (L).
	Length = 3 * time.Second
	// MaxWitnesses bounds the witnesses of one lease.
	MaxWitnesses = 5
	// TickEvery is the longest time between two Tick events in normal operation.
	TickEvery = 100 * time.Millisecond
	// RenewEvery is the time between two requests for promises.
	RenewEvery = 500 * time.Millisecond
	// StoreRenewBefore is the time left at which the holder renews in the store.
	// Two requests for promises have failed by then.
	StoreRenewBefore = 1700 * time.Millisecond
	// LoanTail is the time after which loans of units that the holder gives up
	// have ended. It is well above the longest loan (500 ms) and the drift bound.
	LoanTail = 1150 * time.Millisecond
	// AbsentAfter is the time for which the platform's list must lack a holder
	// and its witness before the witness counts as gone for good.
	AbsentAfter = 60 * time.Second

	// readBackAfter bounds the rate of reads after conflicts and lost answers.
	readBackAfter = 100 * time.Millisecond
	// readUrgent is the period of reads while joining, releasing or retiring.
	readUrgent = 500 * time.Millisecond
	// readShort is the period of reads while the own units are below the even
	// part, so that units that others release are claimed soon.
	readShort = time.Second
	// readRelaxed is the period of reads in steady state.
	readRelaxed = 5 * time.Second
	// reclaimStagger separates the reclaimers of adjacent ranks.
	reclaimStagger = time.Second
	// refusedAfter is the time without a promise from an answering witness after
	// which the witness is taken to have granted retirement.
	refusedAfter = 2 * Length
)

// shorten is the holder's side of the drift bound: 10% less than the length.
func shorten(d time.Duration) time.Duration { return d - d/10 }

// lengthen is the other side of the drift bound: 10% more than the length.
func lengthen(d time.Duration) time.Duration { return d + d/10 }

// Config identifies the instance.
type Config struct {
	ID   string
	Zone string
	// Epoch is the first epoch of this process, from NewEpoch.
	Epoch Epoch
}

// Status is an immutable view of the own lease for traffic goroutines.
type Status struct {
	Epoch Epoch
	// Units may be used until Deadline, on the clock of the Step calls.
	Units    uint32
	Deadline time.Time
	Leaving  bool
	// Joined reports whether the instance has a row in the store.
	Joined bool
}

// Valid reports whether the lease may be relied on at the time.
func (s Status) Valid(now time.Time) bool { return now.Before(s.Deadline) }

// Lease is the state of one instance. It is not safe for concurrent use.
type Lease struct {
	cfg   Config
	epoch Epoch
	// highest is the highest epoch that any write named, whether or not it is
	// known to have taken effect. New epochs lie above it.
	highest Epoch
	witness *witness
	fleet   Fleet
	live    map[string]Peer

	// own is the last known state of the own row; nil if there is none.
	own *ownRow
	// usable is the number of units in use. It never exceeds the own row's.
	usable uint32
	// pending is the write of the own row whose outcome is not known yet.
	pending *ownWrite
	leaving bool
	left    bool
	// givenUp is when usable was lowered below the own row's units; zero if not.
	givenUp time.Time

	// promisedUntil is the end of each witness's promise to the current epoch.
	promisedUntil map[Witness]time.Time
	refusedSince  map[Witness]time.Time
	storeUntil    time.Time
	askedAt       time.Time

	pool     poolRow
	rows     map[string]foreignRow
	haveRows bool
	needRead bool
	readOp   uint64
	// readAt is when the last read was sent.
	readAt time.Time
	// readFailures counts the reads that failed in a row.
	readFailures int
	// storeOK says that the last answer of the store was not a failure.
	storeOK bool
	nextOp  uint64

	cases       map[string]*reclaim
	removal     removal
	absentSince map[string]time.Time
}

// New returns the state of an instance that started at now and has no lease yet.
func New(cfg Config, now time.Time) *Lease {
	return &Lease{
		cfg: cfg, epoch: cfg.Epoch, highest: cfg.Epoch, witness: newWitness(now), live: map[string]Peer{},
		promisedUntil: map[Witness]time.Time{}, refusedSince: map[Witness]time.Time{},
		rows: map[string]foreignRow{}, cases: map[string]*reclaim{}, absentSince: map[string]time.Time{},
		pool: poolRow{Pool: Pool{Units: TotalUnits}},
	}
}

// Status returns the current view of the own lease.
func (l *Lease) Status() Status {
	return Status{
		Epoch: l.epoch, Units: l.usable, Deadline: l.deadline(), Leaving: l.leaving,
		Joined: l.own != nil,
	}
}

// Valid reports whether the own lease may be relied on at the time.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.deadline()) }

// Left reports whether a clean departure is complete: the own row is removed
// and its units are in the pool.
func (l *Lease) Left() bool { return l.left }

// Step takes one event and returns the actions that follow, in order.
func (l *Lease) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch e := ev.(type) {
	case Tick:
		l.witness.prune(now)
	case Fleet:
		l.setFleet(now, e)
	case Promised:
		l.onPromised(now, e)
	case PromiseAsked:
		return []Action{PromiseReply{To: e.From, Epoch: e.Epoch, Length: l.witness.promise(now, e.From, e.Epoch)}}
	case RetireAsked:
		granted, left := l.witness.retire(now, e.ID, e.Epoch)
		return []Action{RetireReply{To: e.From, ID: e.ID, Epoch: e.Epoch, Granted: granted, Remaining: left}}
	case RetireAnswer:
		l.onRetireAnswer(now, e)
	case Rows:
		out = l.onRows(now, e)
	case ReadFailed:
		l.onReadFailed(e)
	case TransactDone:
		out = l.onDone(now, e)
	case TransactConflict:
		l.conclude(now, e.Op, false)
		l.storeOK = true
	case TransactUnknown:
		l.conclude(now, e.Op, true)
		l.storeOK = false
	case Leave:
		l.leaving = true
	}
	return append(out, l.drive(now)...)
}

// drive emits what is due, the lowering of the own limits first.
func (l *Lease) drive(now time.Time) []Action {
	out := l.lower(now)
	out = append(out, l.askPromises(now)...)
	out = append(out, l.writeOwn(now)...)
	out = append(out, l.reclaimDue(now)...)
	return append(out, l.readDue(now)...)
}

func (l *Lease) setFleet(now time.Time, f Fleet) {
	l.fleet = f
	clear(l.live)
	for _, p := range f.Live {
		if p.ID != l.cfg.ID {
			l.live[p.ID] = p
		}
	}
	l.trackAbsent(now)
	l.trackCases(now)
}

// newEpoch returns an epoch that no write has named before.
func (l *Lease) newEpoch() Epoch {
	l.highest = l.highest.Next()
	return l.highest
}

func (l *Lease) op() uint64 {
	l.nextOp++
	return l.nextOp
}

func (l *Lease) readDue(now time.Time) []Action {
	if l.readOp != 0 || l.left {
		return nil
	}
	if !l.readAt.IsZero() && now.Sub(l.readAt) < l.readEvery() {
		return nil
	}
	l.readOp, l.readAt, l.needRead = l.op(), now, false
	return []Action{ReadRows{Op: l.readOp, Prefix: KeyPrefix}}
}

func (l *Lease) readEvery() time.Duration {
	switch {
	case l.readFailures > 0:
		return min(readUrgent<<min(l.readFailures-1, 8), readRelaxed)
	case l.needRead:
		return readBackAfter
	case l.own == nil || len(l.cases) > 0 || !l.givenUp.IsZero():
		return readUrgent
	case !l.leaving && l.own.Units+l.own.Units/releaseSlack < l.evenPart():
		return readShort
	default:
		return readRelaxed
	}
}

func (l *Lease) onReadFailed(e ReadFailed) {
	if e.Op == l.readOp {
		l.readOp, l.needRead, l.storeOK = 0, true, false
		l.readFailures++
	}
}

// onRows takes the result of a read. A row is taken only if its version is not
// below the known one, because a read may overtake the answer of a write.
func (l *Lease) onRows(now time.Time, e Rows) []Action {
	if e.Op != l.readOp {
		return nil
	}
	l.readOp, l.readFailures, l.haveRows, l.storeOK = 0, 0, true, true
	seen := map[string]foreignRow{}
	var mine *ownRow
	var out []Action
	for _, r := range e.Rows {
		switch {
		case r.Key == PoolKey:
			out = append(out, l.takePool(r)...)
		case l.isMine(r.Key):
			rec, err := DecodeRecord(r.Value)
			if err != nil {
				return append(out, Report{Err: err})
			}
			mine = &ownRow{Record: rec, key: r.Key, version: r.Version}
		default:
			rec, err := DecodeRecord(r.Value)
			if err != nil {
				out = append(out, Report{Err: err})
				continue
			}
			row := foreignRow{Record: rec, version: r.Version, since: now, read: l.readAt}
			if old, ok := l.rows[r.Key]; ok && old.version == r.Version {
				row.since = old.since
			}
			seen[r.Key] = row
		}
	}
	l.rows = seen
	l.trackAbsent(now)
	l.trackCases(now)
	return append(out, l.reconcile(now, mine)...)
}

func (l *Lease) takePool(r Row) []Action {
	if r.Version < l.pool.version {
		return nil
	}
	p, err := DecodePool(r.Value)
	if err != nil {
		return []Action{Report{Err: err}}
	}
	l.pool = poolRow{Pool: p, version: r.Version}
	return nil
}

// isMine reports whether the key is the own row's, now or after a pending
// change of epoch.
func (l *Lease) isMine(key string) bool {
	return key == HolderKey(l.cfg.ID, l.epoch) || (l.pending != nil && key == l.pending.nextKey)
}

// members returns the identities that share the units evenly, in order: live
// holders, live fellow instances about to join, and this instance.
func (l *Lease) members() []string {
	var ids []string
	for id, p := range l.live {
		if !p.Leaving {
			ids = append(ids, id)
		}
	}
	if !l.leaving {
		ids = append(ids, l.cfg.ID)
	}
	slices.Sort(ids)
	return ids
}

// evenPart returns this instance's part of all units.
func (l *Lease) evenPart() uint32 {
	ids := l.members()
	rank, found := slices.BinarySearch(ids, l.cfg.ID)
	if !found {
		return 0
	}
	part := uint32(TotalUnits / len(ids))
	if rank < TotalUnits%len(ids) {
		part++
	}
	return part
}
