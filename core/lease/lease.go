// Package lease divides every limit of the fleet among its instances: each
// instance holds a lease on a number of units, its share of every limit. The
// package maintains the instance's own lease, acts as a witness for the leases of
// peers, and reclaims the units of dead instances (docs/design.md, section 6).
//
// The package is a deterministic state machine without I/O, clock or goroutines.
// One goroutine owns a Lease and drives it:
//
//	l := lease.New(lease.Config{ID: id, Zone: zone, Epoch: lease.NewEpoch(start)}, start)
//	for each event, and for a Tick at least every 100 ms:
//	    for _, a := range l.Step(now, ev) { execute a, in order }
//	    publish l.Status() to the goroutines that serve requests
//
// Actions must be executed in order, because SetUnits must lower the instance's
// limits before a write releases the units in the store. Every Transact and
// ReadRows must be answered by exactly one event with the same Op, also after a
// timeout. For a request from a peer, Step returns only the response. A goroutine
// that serves requests checks Status.Valid whenever it takes a token.
//
// Two rules make the lease safe. First, a lease is renewed only by a majority of
// the witnesses named in its store row or by a write of that row, and the row is
// removed only with grants from a majority of the same witnesses and a
// compare-and-set on the same version. Second, units are in use only if the row
// in the store holds at least as many.
package lease

import (
	"slices"
	"time"
)

// TotalUnits is the number of units of the fleet, including the pool of free units.
const TotalUnits = 65536

const (
	// TTL is the validity of a promise and of a renewal in the store.
	TTL = 3 * time.Second
	// MaxWitnesses is the maximum number of witnesses of one lease.
	MaxWitnesses = 5
	// TickInterval is the maximum interval between Tick events in normal operation.
	TickInterval = 100 * time.Millisecond
	// RenewInterval is the interval between promise requests.
	RenewInterval = 500 * time.Millisecond
	// StoreRenewMargin is the remaining validity below which the holder renews in
	// the store. Two promise requests have failed by then.
	StoreRenewMargin = 1700 * time.Millisecond
	// LoanDrainTime is the time between taking units out of use and releasing them
	// in the store. All loans against the units have ended by then: it is well
	// above the longest loan (500 ms) plus clock drift.
	LoanDrainTime = 1150 * time.Millisecond
	// AbsenceTimeout is the time for which a holder and its witness must be missing
	// from the platform's instance list before the witness counts as having granted
	// retirement.
	AbsenceTimeout = 60 * time.Second

	// readBackInterval limits the rate of reads after conflicts and unknown outcomes.
	readBackInterval = 100 * time.Millisecond
	// urgentReadInterval is the read interval while joining, releasing units or
	// reclaiming rows. It is also the first delay after a failed read.
	urgentReadInterval = 500 * time.Millisecond
	// belowShareReadInterval is the read interval while the instance holds less than
	// its even share, so that it soon claims units that other instances release.
	belowShareReadInterval = time.Second
	// steadyReadInterval is the read interval in steady state.
	steadyReadInterval = 5 * time.Second
	// reclaimStagger is the additional reclaim delay per rank of an instance.
	reclaimStagger = time.Second
	// refusalTimeout is the time for which a witness must refuse promises before it
	// is assumed to have granted the retirement of the epoch.
	refusalTimeout = 2 * TTL
)

// minusDrift shortens a duration by the bound on clock drift, 10%. The holder
// measures the validity of its lease with it.
func minusDrift(d time.Duration) time.Duration { return d - d/10 }

// plusDrift extends a duration by the bound on clock drift, 10%. Witnesses and
// reclaimers wait that long for a lease to end.
func plusDrift(d time.Duration) time.Duration { return d + d/10 }

// Config identifies the instance.
type Config struct {
	ID   string
	Zone string
	// Epoch is the first epoch of this process, from NewEpoch.
	Epoch Epoch
}

// Status is an immutable view of the instance's lease for the goroutines that
// serve requests.
type Status struct {
	Epoch Epoch
	// Units may be used until Deadline, a time on the clock of the Step calls.
	Units    uint32
	Deadline time.Time
	Leaving  bool
	// Joined says whether the instance has a row in the store.
	Joined bool
}

// Valid reports whether the units may be used at now.
func (s Status) Valid(now time.Time) bool { return now.Before(s.Deadline) }

// Lease is the lease state of one instance. It is not safe for concurrent use.
type Lease struct {
	cfg   Config
	epoch Epoch
	// highestEpoch is the highest epoch named by any write, whether or not the write
	// is known to be committed. New epochs are above it.
	highestEpoch Epoch
	witness      *witness
	fleet        FleetView
	livePeers    map[string]Peer

	// own is the instance's row as last confirmed; nil if there is none.
	own *ownRow
	// unitsInUse never exceeds the units of the instance's row in the store.
	unitsInUse uint32
	// pending is the write of the instance's row that is not resolved yet.
	pending *ownWrite
	leaving bool
	// departed says that a graceful departure is complete.
	departed bool
	// releasingSince is when unitsInUse was lowered below the row's units; zero if
	// no release is under way.
	releasingSince time.Time

	// promisedUntil is the end of each witness's promise to the current epoch.
	promisedUntil map[Witness]time.Time
	// refusedSince is when each witness began to refuse promises.
	refusedSince map[Witness]time.Time
	// storeRenewedUntil is the end of the last renewal by a write of the row.
	storeRenewedUntil   time.Time
	promisesRequestedAt time.Time

	pool poolRow
	// rows are the rows of all other epochs, by key.
	rows map[string]foreignRow
	// rowsCurrent is false before the first read, after a conflict and after the
	// loss of the row. The next write then waits for a read.
	rowsCurrent bool
	// needReadBack requests a read soon, to learn the outcome of a write.
	needReadBack bool
	// readOp is the read in flight; 0 if none.
	readOp uint64
	// readSentAt is when the last read was sent.
	readSentAt time.Time
	// readFailures is the number of consecutive failed reads.
	readFailures int
	// storeOK is false after a failed read or a write with an unknown outcome.
	storeOK bool
	lastOp  uint64

	// reclaims are the reclaims in progress, by the key of the row.
	reclaims map[string]*reclaim
	removal  removal
	// absentSince is when an ID was first missing from the platform's list.
	absentSince map[string]time.Time
}

// New returns the state of an instance that started at now and has no lease yet.
// The pool counts as full until its row has been read.
func New(cfg Config, now time.Time) *Lease {
	return &Lease{
		cfg: cfg, epoch: cfg.Epoch, highestEpoch: cfg.Epoch, witness: newWitness(now), livePeers: map[string]Peer{},
		promisedUntil: map[Witness]time.Time{}, refusedSince: map[Witness]time.Time{},
		rows: map[string]foreignRow{}, reclaims: map[string]*reclaim{}, absentSince: map[string]time.Time{},
		pool: poolRow{Pool: Pool{Units: TotalUnits}},
	}
}

// Status returns the current view of the instance's lease.
func (l *Lease) Status() Status {
	return Status{
		Epoch: l.epoch, Units: l.unitsInUse, Deadline: l.deadline(), Leaving: l.leaving,
		Joined: l.own != nil,
	}
}

// Valid reports whether the instance may use its units at now.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.deadline()) }

// Departed reports whether a graceful departure is complete: the instance's row is
// removed and its units are back in the pool.
func (l *Lease) Departed() bool { return l.departed }

// Step processes one event and returns the resulting actions, in order.
func (l *Lease) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch e := ev.(type) {
	case Tick:
		l.witness.pruneExpired(now)
	case FleetView:
		l.setFleet(now, e)
	case PromiseResponse:
		l.onPromiseResponse(now, e)
	case PromiseRequest:
		return []Action{SendPromiseResponse{To: e.From, Epoch: e.Epoch, Length: l.witness.promise(now, e.From, e.Epoch)}}
	case RetireRequest:
		granted, remaining := l.witness.retire(now, e.ID, e.Epoch)
		return []Action{SendRetireResponse{To: e.From, ID: e.ID, Epoch: e.Epoch, Granted: granted, Remaining: remaining}}
	case RetireResponse:
		l.onRetireResponse(now, e)
	case Rows:
		out = l.onRows(now, e)
	case ReadFailed:
		l.onReadFailed(e)
	case TransactDone:
		out = l.onTransactDone(now, e)
	case TransactConflict:
		l.onAttemptFailed(now, e.Op, false)
		l.storeOK = true
	case TransactUnknown:
		l.onAttemptFailed(now, e.Op, true)
		l.storeOK = false
	case Leave:
		l.leaving = true
	}
	return append(out, l.dueActions(now)...)
}

// dueActions returns the actions that are due. A reduction of the units in use
// precedes the write that releases them.
func (l *Lease) dueActions(now time.Time) []Action {
	out := l.reduceUnits(now)
	out = append(out, l.requestPromises(now)...)
	out = append(out, l.writeOwnRow(now)...)
	out = append(out, l.advanceReclaims(now)...)
	return append(out, l.readDue(now)...)
}

func (l *Lease) setFleet(now time.Time, f FleetView) {
	l.fleet = f
	clear(l.livePeers)
	for _, p := range f.Live {
		if p.ID != l.cfg.ID {
			l.livePeers[p.ID] = p
		}
	}
	l.updateAbsences(now)
	l.updateReclaims(now)
}

// newEpoch returns an epoch that no write has named yet.
func (l *Lease) newEpoch() Epoch {
	l.highestEpoch = l.highestEpoch.Next()
	return l.highestEpoch
}

func (l *Lease) newOp() uint64 {
	l.lastOp++
	return l.lastOp
}

// readDue starts a read of the lease rows if one is due and none is in flight.
func (l *Lease) readDue(now time.Time) []Action {
	if l.readOp != 0 || l.departed {
		return nil
	}
	if !l.readSentAt.IsZero() && now.Sub(l.readSentAt) < l.readInterval() {
		return nil
	}
	l.readOp, l.readSentAt, l.needReadBack = l.newOp(), now, false
	return []Action{ReadRows{Op: l.readOp, Prefix: KeyPrefix}}
}

func (l *Lease) readInterval() time.Duration {
	switch {
	case l.readFailures > 0:
		return min(urgentReadInterval<<min(l.readFailures-1, 8), steadyReadInterval)
	case l.needReadBack:
		return readBackInterval
	case l.own == nil || len(l.reclaims) > 0 || !l.releasingSince.IsZero():
		return urgentReadInterval
	case !l.leaving && l.own.Units+l.own.Units/releaseSlackDivisor < l.evenShare():
		return belowShareReadInterval
	default:
		return steadyReadInterval
	}
}

func (l *Lease) onReadFailed(e ReadFailed) {
	if e.Op == l.readOp {
		l.readOp, l.needReadBack, l.storeOK = 0, true, false
		l.readFailures++
	}
}

// onRows processes the result of a read. The read may have been executed before a
// write whose result is already known, so older versions of the pool's row and of
// the instance's row are ignored.
func (l *Lease) onRows(now time.Time, e Rows) []Action {
	if e.Op != l.readOp {
		return nil
	}
	l.readOp, l.readFailures, l.rowsCurrent, l.storeOK = 0, 0, true, true
	rows := map[string]foreignRow{}
	var readOwn *ownRow
	var out []Action
	for _, r := range e.Rows {
		switch {
		case r.Key == PoolKey:
			out = append(out, l.updatePool(r)...)
		case l.isOwnKey(r.Key):
			rec, err := DecodeRecord(r.Value)
			if err != nil {
				return append(out, ReportError{Err: err})
			}
			readOwn = &ownRow{Record: rec, key: r.Key, version: r.Version}
		default:
			rec, err := DecodeRecord(r.Value)
			if err != nil {
				out = append(out, ReportError{Err: err})
				continue
			}
			row := foreignRow{Record: rec, version: r.Version, unchangedSince: now, lastReadAt: l.readSentAt}
			if old, ok := l.rows[r.Key]; ok && old.version == r.Version {
				row.unchangedSince = old.unchangedSince
			}
			rows[r.Key] = row
		}
	}
	l.rows = rows
	l.updateAbsences(now)
	l.updateReclaims(now)
	return append(out, l.resolveFromRead(now, readOwn)...)
}

// updatePool stores the state of the pool unless a newer one is known.
func (l *Lease) updatePool(r Row) []Action {
	if r.Version < l.pool.version {
		return nil
	}
	p, err := DecodePool(r.Value)
	if err != nil {
		return []Action{ReportError{Err: err}}
	}
	l.pool = poolRow{Pool: p, version: r.Version}
	return nil
}

// isOwnKey reports whether the key is that of the instance's row, now or after
// the pending write.
func (l *Lease) isOwnKey(key string) bool {
	return key == HolderKey(l.cfg.ID, l.epoch) || (l.pending != nil && key == l.pending.nextKey)
}

// participants returns the sorted IDs of the instances that share the units
// evenly: live peers, whether or not they have joined yet, and this instance.
// Instances that are leaving are excluded.
func (l *Lease) participants() []string {
	var ids []string
	for id, p := range l.livePeers {
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

// evenShare returns the number of units that this instance should hold. The
// lowest-ranked participants get one unit more if the division has a remainder.
func (l *Lease) evenShare() uint32 {
	ids := l.participants()
	rank, found := slices.BinarySearch(ids, l.cfg.ID)
	if !found {
		return 0
	}
	share := uint32(TotalUnits / len(ids))
	if rank < TotalUnits%len(ids) {
		share++
	}
	return share
}
