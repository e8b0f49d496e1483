package lease

import "time"

// writeKind says what a write changes in the instance's row.
type writeKind int

const (
	createRow writeKind = iota
	renewRow
	changeWitnesses
	changeEpoch
	claimUnits
	releaseUnits
	removeRow
)

// ownWrite is a write of the instance's row, with all its attempts. Until it is
// resolved, the lease assumes the less favourable outcome. All attempts expect the
// same version of the row, so at most one of them is committed. The write is
// resolved once an attempt is known to be committed, or once a read returns the
// row with another version.
type ownWrite struct {
	kind            writeKind
	next            Record
	nextKey         string
	expectedVersion uint64
	// poolDelta is the change of the pool's units; negative for a claim.
	poolDelta int64
	// op is the attempt in flight; 0 if none.
	op                      uint64
	firstSentAt, lastSentAt time.Time
	// failedAt is when the last attempt ended with a conflict or an unknown outcome.
	failedAt time.Time
	// answerLost says that the outcome of some attempt is unknown.
	answerLost bool
	// noEffectSeen says that a read sent after failedAt showed no effect.
	noEffectSeen bool
}

// writeOwnRow retries the pending write once a read has shown that it had no
// effect. Without a pending write it starts the most urgent one.
func (l *Lease) writeOwnRow(now time.Time) []Action {
	if p := l.pending; p != nil {
		if p.op != 0 || !p.noEffectSeen || l.departed {
			return nil
		}
		return l.retryOwnWrite(now)
	}
	p := l.chooseOwnWrite(now)
	if p == nil {
		return nil
	}
	p.firstSentAt = now
	l.pending = p
	return l.sendOwnWrite(now)
}

// chooseOwnWrite returns the most urgent write of the instance's row, or nil.
func (l *Lease) chooseOwnWrite(now time.Time) *ownWrite {
	switch {
	case l.departed:
		return nil
	case l.own == nil && l.leaving:
		l.departed = true
		return nil
	case !l.rowsCurrent:
		// After a conflict, a write without a new read would conflict again.
		return nil
	case l.own == nil:
		return l.joinWrite()
	}
	next := l.own.Record
	next.Renewals++
	p := &ownWrite{kind: renewRow, next: next, nextKey: l.own.key, expectedVersion: l.own.version}
	witnesses := l.nextWitnesses(l.own.Witnesses)
	due := l.deadline().Sub(now) < StoreRenewMargin
	loansEnded := !l.releasingSince.IsZero() && now.Sub(l.releasingSince) >= LoanDrainTime
	free := l.pool.Units
	switch share := l.evenShare(); {
	case l.leaving && (loansEnded || l.own.Units == 0):
		p.kind, p.poolDelta = removeRow, int64(l.own.Units)
	case !l.leaving && loansEnded:
		p.kind, p.poolDelta = releaseUnits, int64(l.own.Units-l.unitsInUse)
		p.next.Units = l.unitsInUse
	case l.isEpochRefused(now):
		p.kind = changeEpoch
		p.next.Epoch = l.newEpoch()
		p.next.Witnesses = witnesses
		p.nextKey = HolderKey(l.cfg.ID, p.next.Epoch)
	case (l.storeOK || due) && l.shouldChangeWitnesses(witnesses):
		p.kind, p.next.Witnesses = changeWitnesses, witnesses
	case due:
	case l.leaving || !l.releasingSince.IsZero() || !l.storeOK:
		return nil
	case l.own.Units < share && free > 0:
		claim := min(free, share-l.own.Units)
		p.kind, p.poolDelta = claimUnits, -int64(claim)
		p.next.Units += claim
	default:
		return nil
	}
	return p
}

// joinWrite returns the write that creates the instance's row, with as many free
// units as its even share allows, possibly none.
func (l *Lease) joinWrite() *ownWrite {
	units := min(l.pool.Units, l.evenShare())
	rec := Record{
		ID: l.cfg.ID, Zone: l.cfg.Zone, Epoch: l.epoch, Units: units, Witnesses: l.nextWitnesses(nil),
	}
	return &ownWrite{kind: createRow, next: rec, nextKey: HolderKey(l.cfg.ID, l.epoch), poolDelta: -int64(units)}
}

// retryOwnWrite sends the pending write again. A claim is retried as a plain
// renewal, because the pool may have changed; if the claim is committed late, the
// row's version shows it. Creating a row is never retried under the same key,
// because a late commit could bring back a row that was already reclaimed.
func (l *Lease) retryOwnWrite(now time.Time) []Action {
	p := l.pending
	switch p.kind {
	case createRow:
		l.pending = nil
		l.epoch = l.newEpoch()
		return l.writeOwnRow(now)
	case claimUnits:
		p.kind, p.poolDelta = renewRow, 0
		p.next.Units = l.own.Units
	}
	return l.sendOwnWrite(now)
}

func (l *Lease) sendOwnWrite(now time.Time) []Action {
	p := l.pending
	p.op, p.lastSentAt, p.noEffectSeen = l.newOp(), now, false
	var writes []Write
	switch p.kind {
	case createRow:
		writes = append(writes, Write{Key: p.nextKey, Value: p.next.Encode()})
	case changeEpoch:
		writes = append(writes,
			Write{Key: l.own.key, Expected: p.expectedVersion, Remove: true},
			Write{Key: p.nextKey, Value: p.next.Encode()})
	case removeRow:
		writes = append(writes, Write{Key: l.own.key, Expected: p.expectedVersion, Remove: true})
	default:
		writes = append(writes, Write{Key: p.nextKey, Value: p.next.Encode(), Expected: p.expectedVersion})
	}
	if p.poolDelta != 0 {
		writes = append(writes, l.poolWrite(p.poolDelta))
	}
	return []Action{Transact{Op: p.op, Writes: writes}}
}

func (l *Lease) poolWrite(delta int64) Write {
	next := Pool{Units: uint32(int64(l.pool.Units) + delta)}
	return Write{Key: PoolKey, Value: next.Encode(), Expected: l.pool.version}
}

// onTransactDone resolves the pending write or the removal that was committed.
func (l *Lease) onTransactDone(now time.Time, e TransactDone) []Action {
	l.storeOK = true
	var out []Action
	for _, r := range e.Rows {
		if r.Key == PoolKey {
			out = append(out, l.updatePool(r)...)
		}
	}
	if e.Op == l.removal.op {
		l.finishRemoval()
		return out
	}
	p := l.pending
	if p == nil || p.op != e.Op {
		return out
	}
	if p.kind == removeRow {
		l.own, l.pending, l.departed = nil, nil, true
		return out
	}
	for _, r := range e.Rows {
		if r.Key == p.nextKey {
			row := ownRow{Record: p.next, key: p.nextKey, version: r.Version}
			return append(out, l.applyOwnRow(now, row, p.lastSentAt)...)
		}
	}
	// The result lacks the row's version, so the outcome must be read back.
	l.onAttemptFailed(now, e.Op, true)
	return out
}

// onAttemptFailed handles a conflict or, if answerLost, an unknown outcome. A
// conflict ends the write unless the outcome of an earlier attempt is unknown;
// then it stays pending until a read resolves it.
func (l *Lease) onAttemptFailed(now time.Time, op uint64, answerLost bool) {
	l.needReadBack = true
	if op == l.removal.op {
		l.removal, l.rowsCurrent = removal{}, false
		return
	}
	p := l.pending
	if p == nil || p.op != op {
		return
	}
	p.op, p.failedAt = 0, now
	p.answerLost = p.answerLost || answerLost
	if !p.answerLost {
		l.pending = nil
		l.rowsCurrent = false
	}
}

// resolveFromRead resolves the pending write from a read. readOwn is the
// instance's row, or nil if the read did not return it.
func (l *Lease) resolveFromRead(now time.Time, readOwn *ownRow) []Action {
	p := l.pending
	switch {
	case p == nil && l.own == nil:
		return nil
	case p != nil && readOwn != nil && (l.own == nil || readOwn.key != l.own.key || readOwn.version > p.expectedVersion):
		return l.applyOwnRow(now, *readOwn, p.firstSentAt)
	case p != nil && readOwn == nil && !l.readSentAt.After(l.ownConfirmedAt()):
		return nil
	case p != nil && readOwn == nil && p.kind == removeRow:
		l.own, l.pending, l.departed = nil, nil, true
		return nil
	case readOwn == nil && l.own != nil && l.readSentAt.After(l.own.confirmedAt):
		return l.rejoin()
	case p != nil && p.op == 0 && l.readSentAt.After(p.failedAt):
		p.noEffectSeen = true
	}
	return nil
}

// ownConfirmedAt returns when the instance's row was last confirmed, or the zero
// time.
func (l *Lease) ownConfirmedAt() time.Time {
	if l.own == nil {
		return time.Time{}
	}
	return l.own.confirmedAt
}
