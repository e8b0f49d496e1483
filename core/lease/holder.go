package lease

import (
	"slices"
	"time"
)

// ownRow is the own row as last confirmed by the store.
type ownRow struct {
	Record
	key     string
	version uint64
	// confirmed is when the row was last known to exist.
	confirmed time.Time
}

// deadline returns the end of the own lease on the own clock. While a change
// of witnesses is unresolved, the reclaimer may go by either set, so a renewal
// needs a majority of both.
func (l *Lease) deadline() time.Time {
	if l.own == nil {
		return time.Time{}
	}
	d := l.promisedBy(l.own.Witnesses)
	if p := l.pending; p != nil && p.kind == changeWitnesses {
		if other := l.promisedBy(p.next.Witnesses); other.Before(d) {
			d = other
		}
	}
	if l.storeUntil.After(d) {
		d = l.storeUntil
	}
	return d
}

// promisedBy returns the time until which a majority of the set has promised,
// or the zero time.
func (l *Lease) promisedBy(set []Witness) time.Time {
	if len(set) == 0 {
		return time.Time{}
	}
	ends := make([]time.Time, 0, MaxWitnesses)
	for _, w := range set {
		ends = append(ends, l.promisedUntil[w])
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[majority(len(set))-1]
}

func majority(n int) int { return n/2 + 1 }

// askPromises asks every witness of the own row, and of the row about to be
// written. A lease whose row is being replaced or removed is not renewed.
func (l *Lease) askPromises(now time.Time) []Action {
	if l.own == nil || (!l.askedAt.IsZero() && now.Sub(l.askedAt) < RenewEvery) {
		return nil
	}
	asked := slices.Clone(l.own.Witnesses)
	if p := l.pending; p != nil {
		if p.kind == changeEpoch || p.kind == removeOwn {
			return nil
		}
		for _, w := range p.next.Witnesses {
			if !slices.Contains(asked, w) {
				asked = append(asked, w)
			}
		}
	}
	l.askedAt = now
	var out []Action
	for _, w := range asked {
		out = append(out, AskPromise{To: w.ID, Epoch: l.epoch, SentAt: now})
	}
	return out
}

// onPromised counts a promise from before its request was sent, shortened by
// the drift bound.
func (l *Lease) onPromised(now time.Time, e Promised) {
	w := Witness{ID: e.From, Start: e.FromEpoch.Start()}
	switch {
	case e.Epoch != l.epoch || l.own == nil:
		return
	case l.pending != nil && (l.pending.kind == changeEpoch || l.pending.kind == removeOwn):
		return
	case e.Length <= 0:
		if l.refusedSince[w].IsZero() {
			l.refusedSince[w] = now
		}
		return
	}
	delete(l.refusedSince, w)
	until := e.SentAt.Add(shorten(min(e.Length, Length)))
	if until.After(l.promisedUntil[w]) {
		l.promisedUntil[w] = until
	}
}

// isEpochSpent reports whether so many witnesses refuse promises that no
// majority is left for the epoch, as after an unfinished retirement.
func (l *Lease) isEpochSpent(now time.Time) bool {
	refusing := 0
	for _, w := range l.own.Witnesses {
		if since := l.refusedSince[w]; !since.IsZero() && now.Sub(since) >= refusedAfter {
			refusing++
		}
	}
	return refusing > 0 && len(l.own.Witnesses)-refusing < majority(len(l.own.Witnesses))
}

// nextWitnesses returns the witnesses that the own row should name: the current
// ones that still run, filled up from the preferred ones.
func (l *Lease) nextWitnesses(current []Witness) []Witness {
	var next []Witness
	for _, w := range current {
		if p, ok := l.live[w.ID]; ok && !p.Leaving && p.Epoch.Start() == w.Start {
			next = append(next, w)
		}
	}
	for _, w := range l.fleet.Witnesses {
		if len(next) < MaxWitnesses && w.ID != l.cfg.ID && !slices.Contains(next, w) {
			next = append(next, w)
		}
	}
	return next
}

// needsWitnesses reports whether a recorded witness is gone or a place is free.
func (l *Lease) needsWitnesses(next []Witness) bool {
	if len(next) == 0 {
		return false
	}
	for _, w := range l.own.Witnesses {
		if !slices.Contains(next, w) {
			return true
		}
	}
	return len(next) > len(l.own.Witnesses)
}

// lower takes units out of use before the store learns of it: all of them when
// the instance leaves, and those above the even part when others join. Units
// that were lowered but not yet written come back if the store fails.
func (l *Lease) lower(now time.Time) []Action {
	if l.own == nil {
		return nil
	}
	even := l.evenPart()
	switch {
	case l.leaving && l.usable > 0:
		return l.giveUp(now, 0)
	case l.leaving || (l.pending != nil && l.pending.poolGain != 0):
		return nil
	case !l.givenUp.IsZero() && !l.storeOK:
		l.givenUp = time.Time{}
		return l.setUsable(l.own.Units)
	case l.pending != nil:
		return nil
	case l.givenUp.IsZero() && l.storeOK && l.usable > even+even/releaseSlack:
		return l.giveUp(now, even)
	}
	return nil
}

// releaseSlack keeps a holder from releasing less than 1/64 of its even part,
// which is not worth a write.
const releaseSlack = 64

func (l *Lease) giveUp(now time.Time, units uint32) []Action {
	l.givenUp = now
	return l.setUsable(units)
}

func (l *Lease) setUsable(units uint32) []Action {
	if units == l.usable {
		return nil
	}
	l.usable = units
	return []Action{SetUnits{Units: units}}
}

// adopt takes a confirmed state of the own row. base is the time before which
// the write that confirmed it was not sent.
func (l *Lease) adopt(now time.Time, row ownRow, base time.Time) []Action {
	row.confirmed = now
	if row.Epoch != l.epoch || l.own == nil {
		l.resetLease(row.Epoch)
	}
	l.own = &row
	l.pending = nil
	l.dropOldWitnesses()
	if until := base.Add(shorten(Length)); until.After(l.storeUntil) {
		l.storeUntil = until
	}
	switch {
	case l.leaving && l.usable == 0 && l.givenUp.IsZero():
		l.givenUp = now
		return nil
	case !l.givenUp.IsZero() && l.usable < row.Units:
		// The lowered units are still to be written.
		return nil
	}
	l.givenUp = time.Time{}
	if l.leaving {
		return nil
	}
	return l.setUsable(row.Units)
}

func (l *Lease) resetLease(e Epoch) {
	l.epoch, l.storeUntil = e, time.Time{}
	clear(l.promisedUntil)
	clear(l.refusedSince)
}

func (l *Lease) dropOldWitnesses() {
	for w := range l.promisedUntil {
		if !slices.Contains(l.own.Witnesses, w) {
			delete(l.promisedUntil, w)
		}
	}
	for w := range l.refusedSince {
		if !slices.Contains(l.own.Witnesses, w) {
			delete(l.refusedSince, w)
		}
	}
}

// lose handles the retirement of the own epoch: the instance joins again with a
// new one and with empty buckets.
func (l *Lease) lose() []Action {
	l.own, l.pending, l.givenUp = nil, nil, time.Time{}
	l.resetLease(l.newEpoch())
	l.haveRows, l.needRead = false, true
	return l.setUsable(0)
}
