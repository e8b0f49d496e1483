package lease

import (
	"slices"
	"time"
)

// ownRow is the instance's row as last confirmed by the store.
type ownRow struct {
	Record
	key     string
	version uint64
	// confirmedAt is when the store last confirmed this version of the row.
	confirmedAt time.Time
}

// deadline returns the end of the instance's lease on the local clock. While a
// change of witnesses is unresolved, a reclaimer may use either set, so a renewal
// needs a majority of both.
func (l *Lease) deadline() time.Time {
	if l.own == nil {
		return time.Time{}
	}
	d := l.majorityPromisedUntil(l.own.Witnesses)
	if p := l.pending; p != nil && p.kind == changeWitnesses {
		if other := l.majorityPromisedUntil(p.next.Witnesses); other.Before(d) {
			d = other
		}
	}
	if l.storeRenewedUntil.After(d) {
		d = l.storeRenewedUntil
	}
	return d
}

// majorityPromisedUntil returns the time until which a majority of the set has
// promised, or the zero time.
func (l *Lease) majorityPromisedUntil(set []Witness) time.Time {
	if len(set) == 0 {
		return time.Time{}
	}
	ends := make([]time.Time, 0, MaxWitnesses)
	for _, w := range set {
		ends = append(ends, l.promisedUntil[w])
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[quorum(len(set))-1]
}

func quorum(n int) int { return n/2 + 1 }

// requestPromises requests a promise from every witness in the instance's row and
// in its pending write. While the row is being replaced or removed, the lease is
// not renewed.
func (l *Lease) requestPromises(now time.Time) []Action {
	if l.own == nil || (!l.promisesRequestedAt.IsZero() && now.Sub(l.promisesRequestedAt) < RenewInterval) {
		return nil
	}
	targets := slices.Clone(l.own.Witnesses)
	if p := l.pending; p != nil {
		if p.kind == changeEpoch || p.kind == removeRow {
			return nil
		}
		for _, w := range p.next.Witnesses {
			if !slices.Contains(targets, w) {
				targets = append(targets, w)
			}
		}
	}
	l.promisesRequestedAt = now
	var out []Action
	for _, w := range targets {
		out = append(out, SendPromiseRequest{To: w.ID, Epoch: l.epoch, SentAt: now})
	}
	return out
}

// onPromiseResponse records a promise or a refusal. A promise is counted from the
// time at which its request was sent, and shortened by the bound on clock drift.
func (l *Lease) onPromiseResponse(now time.Time, e PromiseResponse) {
	w := Witness{ID: e.From, Start: e.FromEpoch.Start()}
	switch {
	case e.Epoch != l.epoch || l.own == nil:
		return
	case l.pending != nil && (l.pending.kind == changeEpoch || l.pending.kind == removeRow):
		return
	case e.Length <= 0:
		if l.refusedSince[w].IsZero() {
			l.refusedSince[w] = now
		}
		return
	}
	delete(l.refusedSince, w)
	until := e.SentAt.Add(minusDrift(min(e.Length, TTL)))
	if until.After(l.promisedUntil[w]) {
		l.promisedUntil[w] = until
	}
}

// isEpochRefused reports whether so many witnesses refuse promises that no
// majority can renew the epoch. This happens after a retirement that was started
// but not finished.
func (l *Lease) isEpochRefused(now time.Time) bool {
	refusing := 0
	for _, w := range l.own.Witnesses {
		if since := l.refusedSince[w]; !since.IsZero() && now.Sub(since) >= refusalTimeout {
			refusing++
		}
	}
	return refusing > 0 && len(l.own.Witnesses)-refusing < quorum(len(l.own.Witnesses))
}

// nextWitnesses returns the witnesses that the instance's row should name: the
// current ones that are still running, then preferred ones up to MaxWitnesses.
func (l *Lease) nextWitnesses(current []Witness) []Witness {
	var next []Witness
	for _, w := range current {
		if p, ok := l.livePeers[w.ID]; ok && !p.Leaving && p.Epoch.Start() == w.Start {
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

// shouldChangeWitnesses reports whether the row names a witness that is gone, or
// more witnesses can be added.
func (l *Lease) shouldChangeWitnesses(next []Witness) bool {
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

// reduceUnits takes units out of use before they are released in the store: all
// units when the instance leaves, and those above the even share when others have
// joined. Units that are out of use but not yet released come back into use if
// the store fails.
func (l *Lease) reduceUnits(now time.Time) []Action {
	if l.own == nil {
		return nil
	}
	share := l.evenShare()
	switch {
	case l.leaving && l.unitsInUse > 0:
		return l.startRelease(now, 0)
	case l.leaving || (l.pending != nil && l.pending.poolDelta != 0):
		return nil
	case !l.releasingSince.IsZero() && !l.storeOK:
		l.releasingSince = time.Time{}
		return l.setUnitsInUse(l.own.Units)
	case l.pending != nil:
		return nil
	case l.releasingSince.IsZero() && l.storeOK && l.unitsInUse > share+share/releaseSlackDivisor:
		return l.startRelease(now, share)
	}
	return nil
}

// releaseSlackDivisor sets the tolerated deviation from the even share, 1/64 of
// it. Releasing or claiming less is not worth a write.
const releaseSlackDivisor = 64

func (l *Lease) startRelease(now time.Time, units uint32) []Action {
	l.releasingSince = now
	return l.setUnitsInUse(units)
}

func (l *Lease) setUnitsInUse(units uint32) []Action {
	if units == l.unitsInUse {
		return nil
	}
	l.unitsInUse = units
	return []Action{SetUnits{Units: units}}
}

// applyOwnRow applies a confirmed state of the instance's row and resolves the
// pending write. The write that produced the state was sent at earliestSent or
// later; its renewal counts from then.
func (l *Lease) applyOwnRow(now time.Time, row ownRow, earliestSent time.Time) []Action {
	row.confirmedAt = now
	if row.Epoch != l.epoch || l.own == nil {
		l.resetRenewals(row.Epoch)
	}
	l.own = &row
	l.pending = nil
	l.dropFormerWitnesses()
	if until := earliestSent.Add(minusDrift(TTL)); until.After(l.storeRenewedUntil) {
		l.storeRenewedUntil = until
	}
	switch {
	case l.leaving && l.unitsInUse == 0 && l.releasingSince.IsZero():
		l.releasingSince = now
		return nil
	case !l.releasingSince.IsZero() && l.unitsInUse < row.Units:
		// The release has not been written yet.
		return nil
	}
	l.releasingSince = time.Time{}
	if l.leaving {
		return nil
	}
	return l.setUnitsInUse(row.Units)
}

// resetRenewals switches to the epoch and discards the renewals of the old one.
func (l *Lease) resetRenewals(e Epoch) {
	l.epoch, l.storeRenewedUntil = e, time.Time{}
	clear(l.promisedUntil)
	clear(l.refusedSince)
}

func (l *Lease) dropFormerWitnesses() {
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

// rejoin handles the retirement of the instance's epoch: the instance joins again
// with a new epoch. Setting the units to 0 first empties its token buckets.
func (l *Lease) rejoin() []Action {
	l.own, l.pending, l.releasingSince = nil, nil, time.Time{}
	l.resetRenewals(l.newEpoch())
	l.rowsCurrent, l.needReadBack = false, true
	return l.setUnitsInUse(0)
}
