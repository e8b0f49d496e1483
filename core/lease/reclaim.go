package lease

import (
	"slices"
	"time"
)

// reclaim is the state of reclaiming one row whose holder is not live: its epoch
// is retired and its units return to the pool.
type reclaim struct {
	version uint64
	// startedAt is when the holder was first found not to be live. Retirement is
	// requested only after a later read still shows the row, because a grant ends
	// the holder's epoch.
	startedAt time.Time
	// requestedAt is when the witnesses were last asked for retirement.
	requestedAt time.Time
	// promiseEnds holds, for each witness that granted retirement, the time at
	// which its last promise to the epoch has ended.
	promiseEnds map[string]time.Time
}

// removal is the transaction in flight that removes a reclaimed row.
type removal struct {
	op  uint64
	key string
}

// updateReclaims starts a reclaim for each row without a live holder, and
// restarts it when the row has changed.
func (l *Lease) updateReclaims(now time.Time) {
	for key := range l.reclaims {
		if r, ok := l.rows[key]; !ok || l.isLive(r.Record) {
			delete(l.reclaims, key)
		}
	}
	for key, r := range l.rows {
		rc := l.reclaims[key]
		if !l.isLive(r.Record) && (rc == nil || rc.version != r.version) {
			l.reclaims[key] = &reclaim{version: r.version, startedAt: now, promiseEnds: map[string]time.Time{}}
		}
	}
}

// isLive reports whether the row's holder is alive with the same epoch.
func (l *Lease) isLive(r Record) bool {
	p, ok := l.livePeers[r.ID]
	return ok && p.Epoch == r.Epoch
}

// advanceReclaims advances each reclaim by one step. First the row must have been
// unchanged for TTL plus drift, then a majority of the row's witnesses must have
// granted retirement and their promises must have ended, then the row is removed
// by compare-and-set.
func (l *Lease) advanceReclaims(now time.Time) []Action {
	if l.own == nil || l.leaving {
		return nil
	}
	var out []Action
	for _, key := range l.reclaimKeys() {
		rc, row := l.reclaims[key], l.rows[key]
		switch {
		case l.isLive(row.Record):
			delete(l.reclaims, key)
		case !row.lastReadAt.After(rc.startedAt) || now.Sub(row.unchangedSince) < plusDrift(TTL) || now.Sub(rc.startedAt) < l.reclaimDelay():
		case !l.isRetired(now, rc, row.Record):
			out = append(out, l.requestRetirement(now, rc, row.Record)...)
		case l.removal.op == 0 && l.rowsCurrent:
			out = append(out, l.reclaimRow(key, row))
		}
	}
	return out
}

func (l *Lease) reclaimKeys() []string {
	if len(l.reclaims) == 0 {
		return nil
	}
	keys := make([]string, 0, len(l.reclaims))
	for key := range l.reclaims {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// reclaimDelay returns the delay before this instance acts on a reclaim. It grows
// with the instance's rank, so that normally only the first one acts.
func (l *Lease) reclaimDelay() time.Duration {
	ids := l.participants()
	rank, _ := slices.BinarySearch(ids, l.cfg.ID)
	return time.Duration(rank) * reclaimStagger
}

// isRetired reports whether a majority of the row's witnesses granted retirement
// and their promises have ended. A row without witnesses can be renewed only in
// the store, so it needs no grants once it has been unchanged for long enough.
func (l *Lease) isRetired(now time.Time, rc *reclaim, r Record) bool {
	released := 0
	for _, w := range r.Witnesses {
		end, granted := rc.promiseEnds[w.ID]
		if (granted && !now.Before(end)) || l.isAbsent(now, r.ID, w.ID) {
			released++
		}
	}
	return len(r.Witnesses) == 0 || released >= quorum(len(r.Witnesses))
}

// requestRetirement requests retirement from the row's witnesses that have not
// granted it yet. If this instance is one of them, it answers itself.
func (l *Lease) requestRetirement(now time.Time, rc *reclaim, r Record) []Action {
	if !rc.requestedAt.IsZero() && now.Sub(rc.requestedAt) < RenewInterval {
		return nil
	}
	rc.requestedAt = now
	var out []Action
	for _, w := range r.Witnesses {
		_, granted := rc.promiseEnds[w.ID]
		switch {
		case granted:
		case w.ID != l.cfg.ID:
			out = append(out, SendRetireRequest{To: w.ID, ID: r.ID, Epoch: r.Epoch})
		case w.Start <= l.epoch.Start():
			if ok, remaining := l.witness.retire(now, r.ID, r.Epoch); ok {
				rc.promiseEnds[w.ID] = now.Add(remaining)
			}
		}
	}
	return out
}

// onRetireResponse records a grant by the witness process that the row names, or
// by a later process of the same instance, which grants only after its
// quarantine.
func (l *Lease) onRetireResponse(now time.Time, e RetireResponse) {
	key := HolderKey(e.ID, e.Epoch)
	rc := l.reclaims[key]
	if rc == nil || !e.Granted {
		return
	}
	for _, w := range l.rows[key].Witnesses {
		if w.ID == e.From && w.Start <= e.FromEpoch.Start() {
			rc.promiseEnds[w.ID] = now.Add(plusDrift(e.Remaining))
		}
	}
}

// reclaimRow removes the row and returns its units to the pool.
func (l *Lease) reclaimRow(key string, row foreignRow) Action {
	l.removal = removal{op: l.newOp(), key: key}
	writes := []Write{{Key: key, Expected: row.version, Remove: true}}
	if row.Units > 0 {
		writes = append(writes, l.poolWrite(int64(row.Units)))
	}
	return Transact{Op: l.removal.op, Writes: writes}
}

func (l *Lease) finishRemoval() {
	delete(l.rows, l.removal.key)
	delete(l.reclaims, l.removal.key)
	l.removal = removal{}
}

// updateAbsences records since when each holder and witness of a row without a
// live holder has been missing from the platform's instance list.
func (l *Lease) updateAbsences(now time.Time) {
	if l.fleet.Listed == nil {
		clear(l.absentSince)
		return
	}
	absent := map[string]bool{}
	markAbsent := func(id string) {
		if _, isLive := l.livePeers[id]; isLive || id == l.cfg.ID || slices.Contains(l.fleet.Listed, id) {
			return
		}
		absent[id] = true
		if l.absentSince[id].IsZero() {
			l.absentSince[id] = now
		}
	}
	for _, r := range l.rows {
		if l.isLive(r.Record) {
			continue
		}
		markAbsent(r.ID)
		for _, w := range r.Witnesses {
			markAbsent(w.ID)
		}
	}
	for id := range l.absentSince {
		if !absent[id] {
			delete(l.absentSince, id)
		}
	}
}

// isAbsent reports whether both the holder and the witness have been missing from
// the platform's instance list for so long that they will not return. Without
// this rule, after a replacement of the whole fleet no witness could grant
// retirement and the units of the old rows would never be reclaimed.
func (l *Lease) isAbsent(now time.Time, holder, witness string) bool {
	h, w := l.absentSince[holder], l.absentSince[witness]
	return !h.IsZero() && !w.IsZero() && now.Sub(h) >= AbsenceTimeout && now.Sub(w) >= AbsenceTimeout
}
