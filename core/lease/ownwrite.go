package lease

import "time"

type writeKind int

const (
	createOwn writeKind = iota
	renewOwn
	changeWitnesses
	changeEpoch
	claimUnits
	releaseUnits
	removeOwn
)

// ownWrite is a write of the own row. Until it is resolved the lease assumes
// the less favourable of both outcomes. All attempts expect the same version
// of the own row, so at most one of them takes effect; the write is resolved
// when one is known to have, or when the row is seen with another version.
type ownWrite struct {
	kind     writeKind
	next     Record
	nextKey  string
	expected uint64
	// poolGain is the number of units that the pool gains.
	poolGain int64
	// op is the attempt in flight; 0 if none.
	op                  uint64
	firstSent, lastSent time.Time
	// concluded is when the last attempt ended without effect or answer.
	concluded time.Time
	// uncertain says that the answer of an attempt was lost.
	uncertain bool
	// readBack says that a read sent after concluded showed no effect.
	readBack bool
}

// writeOwn sends the pending write again after a read has shown that it had no
// effect, or starts the most urgent one.
func (l *Lease) writeOwn(now time.Time) []Action {
	if p := l.pending; p != nil {
		if p.op != 0 || !p.readBack || l.left {
			return nil
		}
		return l.retry(now)
	}
	p := l.chooseWrite(now)
	if p == nil {
		return nil
	}
	p.firstSent = now
	l.pending = p
	return l.send(now)
}

func (l *Lease) chooseWrite(now time.Time) *ownWrite {
	switch {
	case l.left:
		return nil
	case l.own == nil && l.leaving:
		l.left = true
		return nil
	case !l.haveRows:
		// After a conflict a read comes first, or the next write fails likewise.
		return nil
	case l.own == nil:
		return l.chooseJoin()
	}
	next := l.own.Record
	next.Renewals++
	p := &ownWrite{kind: renewOwn, next: next, nextKey: l.own.key, expected: l.own.version}
	witnesses := l.nextWitnesses(l.own.Witnesses)
	due := l.deadline().Sub(now) < StoreRenewBefore
	tailPassed := !l.givenUp.IsZero() && now.Sub(l.givenUp) >= LoanTail
	free := l.pool.Units
	switch even := l.evenPart(); {
	case l.leaving && (tailPassed || l.own.Units == 0):
		p.kind, p.poolGain = removeOwn, int64(l.own.Units)
	case !l.leaving && tailPassed:
		p.kind, p.poolGain = releaseUnits, int64(l.own.Units-l.usable)
		p.next.Units = l.usable
	case l.isEpochSpent(now):
		p.kind = changeEpoch
		p.next.Epoch = l.newEpoch()
		p.next.Witnesses = witnesses
		p.nextKey = HolderKey(l.cfg.ID, p.next.Epoch)
	case (l.storeOK || due) && l.needsWitnesses(witnesses):
		p.kind, p.next.Witnesses = changeWitnesses, witnesses
	case due:
	case l.leaving || !l.givenUp.IsZero() || !l.storeOK:
		return nil
	case l.own.Units < even && free > 0:
		claim := min(free, even-l.own.Units)
		p.kind, p.poolGain = claimUnits, -int64(claim)
		p.next.Units += claim
	default:
		return nil
	}
	return p
}

// chooseJoin creates the own row with free units, or with none.
func (l *Lease) chooseJoin() *ownWrite {
	units := min(l.pool.Units, l.evenPart())
	rec := Record{
		ID: l.cfg.ID, Zone: l.cfg.Zone, Epoch: l.epoch, Units: units, Witnesses: l.nextWitnesses(nil),
	}
	return &ownWrite{kind: createOwn, next: rec, nextKey: HolderKey(l.cfg.ID, l.epoch), poolGain: -int64(units)}
}

// retry repeats the pending write. A claim is repeated as a plain renewal,
// because the pool may have changed; a late effect of the claim is found by its
// version. A creation is never repeated under the same key: a row that was
// retired must not come back.
func (l *Lease) retry(now time.Time) []Action {
	p := l.pending
	switch p.kind {
	case createOwn:
		l.pending = nil
		l.epoch = l.newEpoch()
		return l.writeOwn(now)
	case claimUnits:
		p.kind, p.poolGain = renewOwn, 0
		p.next.Units = l.own.Units
	}
	return l.send(now)
}

func (l *Lease) send(now time.Time) []Action {
	p := l.pending
	p.op, p.lastSent, p.readBack = l.op(), now, false
	var writes []Write
	switch p.kind {
	case createOwn:
		writes = append(writes, Write{Key: p.nextKey, Value: p.next.Encode()})
	case changeEpoch:
		writes = append(writes,
			Write{Key: l.own.key, Expected: p.expected, Remove: true},
			Write{Key: p.nextKey, Value: p.next.Encode()})
	case removeOwn:
		writes = append(writes, Write{Key: l.own.key, Expected: p.expected, Remove: true})
	default:
		writes = append(writes, Write{Key: p.nextKey, Value: p.next.Encode(), Expected: p.expected})
	}
	if p.poolGain != 0 {
		writes = append(writes, l.poolWrite(p.poolGain))
	}
	return []Action{Transact{Op: p.op, Writes: writes}}
}

func (l *Lease) poolWrite(gain int64) Write {
	next := Pool{Units: uint32(int64(l.pool.Units) + gain)}
	return Write{Key: PoolKey, Value: next.Encode(), Expected: l.pool.version}
}

// onDone resolves the own write or the removal that took effect.
func (l *Lease) onDone(now time.Time, e TransactDone) []Action {
	l.storeOK = true
	var out []Action
	for _, r := range e.Rows {
		if r.Key == PoolKey {
			out = append(out, l.takePool(r)...)
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
	if p.kind == removeOwn {
		l.own, l.pending, l.left = nil, nil, true
		return out
	}
	for _, r := range e.Rows {
		if r.Key == p.nextKey {
			row := ownRow{Record: p.next, key: p.nextKey, version: r.Version}
			return append(out, l.adopt(now, row, p.lastSent)...)
		}
	}
	// Without the version the effect is found by reading back.
	l.conclude(now, e.Op, true)
	return out
}

// conclude handles a conflict or a lost answer. A conflict of the only attempt
// is final; after a lost answer the write stays pending until read back.
func (l *Lease) conclude(now time.Time, op uint64, uncertain bool) {
	l.needRead = true
	if op == l.removal.op {
		l.removal, l.haveRows = removal{}, false
		return
	}
	p := l.pending
	if p == nil || p.op != op {
		return
	}
	p.op, p.concluded = 0, now
	p.uncertain = p.uncertain || uncertain
	if !p.uncertain {
		l.pending = nil
		l.haveRows = false
	}
}

// reconcile resolves the pending write from a read of the own row.
func (l *Lease) reconcile(now time.Time, mine *ownRow) []Action {
	p := l.pending
	switch {
	case p == nil && l.own == nil:
		return nil
	case p != nil && mine != nil && (l.own == nil || mine.key != l.own.key || mine.version > p.expected):
		return l.adopt(now, *mine, p.firstSent)
	case p != nil && mine == nil && !l.readAt.After(l.confirmedAt()):
		return nil
	case p != nil && mine == nil && p.kind == removeOwn:
		l.own, l.pending, l.left = nil, nil, true
		return nil
	case mine == nil && l.own != nil && l.readAt.After(l.own.confirmed):
		return l.lose()
	case p != nil && p.op == 0 && l.readAt.After(p.concluded):
		p.readBack = true
	}
	return nil
}

func (l *Lease) confirmedAt() time.Time {
	if l.own == nil {
		return time.Time{}
	}
	return l.own.confirmed
}
