package lease

import (
	"slices"
	"time"
)

// reclaim is the retirement of one row whose holder is not live.
type reclaim struct {
	version uint64
	// opened is when the holder was first found not to be live. Grants are asked
	// for only after a later read, because a grant ends the holder's epoch.
	opened time.Time
	asked  time.Time
	// granted holds, for each witness that granted retirement, the time at which
	// its last promise has ended.
	granted map[string]time.Time
}

// removal is the transaction in flight that removes a row.
type removal struct {
	op  uint64
	key string
}

// trackCases starts a case for each row without a live holder, and starts it
// over when the row has changed.
func (l *Lease) trackCases(now time.Time) {
	for key := range l.cases {
		if r, ok := l.rows[key]; !ok || l.isLive(r.Record) {
			delete(l.cases, key)
		}
	}
	for key, r := range l.rows {
		c := l.cases[key]
		if !l.isLive(r.Record) && (c == nil || c.version != r.version) {
			l.cases[key] = &reclaim{version: r.version, opened: now, granted: map[string]time.Time{}}
		}
	}
}

func (l *Lease) isLive(r Record) bool {
	p, ok := l.live[r.ID]
	return ok && p.Epoch == r.Epoch
}

// reclaimDue advances each case through the three conditions of retirement:
// the row unchanged for L plus drift, grants of a majority of the row's
// witnesses and the end of their promises, and removal by compare-and-set.
func (l *Lease) reclaimDue(now time.Time) []Action {
	if l.own == nil || l.leaving {
		return nil
	}
	var out []Action
	for _, key := range l.caseKeys() {
		c, row := l.cases[key], l.rows[key]
		switch {
		case l.isLive(row.Record):
			delete(l.cases, key)
		case !row.read.After(c.opened) || now.Sub(row.since) < lengthen(Length) || now.Sub(c.opened) < l.stagger():
		case !l.isReleased(now, c, row.Record):
			out = append(out, l.askRetire(now, c, row.Record)...)
		case l.removal.op == 0 && l.haveRows:
			out = append(out, l.remove(key, row))
		}
	}
	return out
}

func (l *Lease) caseKeys() []string {
	if len(l.cases) == 0 {
		return nil
	}
	keys := make([]string, 0, len(l.cases))
	for key := range l.cases {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// stagger lets the first live instance in rank act alone, unless it fails to.
func (l *Lease) stagger() time.Duration {
	ids := l.members()
	rank, _ := slices.BinarySearch(ids, l.cfg.ID)
	return time.Duration(rank) * reclaimStagger
}

// isReleased reports whether a majority of the row's witnesses granted
// retirement and their promises have ended. A row without witnesses is renewed
// in the store only, so its first condition suffices.
func (l *Lease) isReleased(now time.Time, c *reclaim, r Record) bool {
	released := 0
	for _, w := range r.Witnesses {
		end, granted := c.granted[w.ID]
		if (granted && !now.Before(end)) || l.isAbsent(now, r.ID, w.ID) {
			released++
		}
	}
	return len(r.Witnesses) == 0 || released >= majority(len(r.Witnesses))
}

func (l *Lease) askRetire(now time.Time, c *reclaim, r Record) []Action {
	if !c.asked.IsZero() && now.Sub(c.asked) < RenewEvery {
		return nil
	}
	c.asked = now
	var out []Action
	for _, w := range r.Witnesses {
		_, granted := c.granted[w.ID]
		switch {
		case granted:
		case w.ID != l.cfg.ID:
			out = append(out, AskRetire{To: w.ID, ID: r.ID, Epoch: r.Epoch})
		case w.Start <= l.epoch.Start():
			if ok, left := l.witness.retire(now, r.ID, r.Epoch); ok {
				c.granted[w.ID] = now.Add(left)
			}
		}
	}
	return out
}

// onRetireAnswer takes a grant of the recorded witness process, or of a later
// process of the same instance, which answers only after its quarantine.
func (l *Lease) onRetireAnswer(now time.Time, e RetireAnswer) {
	key := HolderKey(e.ID, e.Epoch)
	c := l.cases[key]
	if c == nil || !e.Granted {
		return
	}
	for _, w := range l.rows[key].Witnesses {
		if w.ID == e.From && w.Start <= e.FromEpoch.Start() {
			c.granted[w.ID] = now.Add(lengthen(e.Remaining))
		}
	}
}

func (l *Lease) remove(key string, row foreignRow) Action {
	l.removal = removal{op: l.op(), key: key}
	writes := []Write{{Key: key, Expected: row.version, Remove: true}}
	if row.Units > 0 {
		writes = append(writes, l.poolWrite(int64(row.Units)))
	}
	return Transact{Op: l.removal.op, Writes: writes}
}

func (l *Lease) finishRemoval() {
	delete(l.rows, l.removal.key)
	delete(l.cases, l.removal.key)
	l.removal = removal{}
}

// trackAbsent notes since when the platform's list has lacked a holder or a
// witness that some row names.
func (l *Lease) trackAbsent(now time.Time) {
	if l.fleet.Listed == nil {
		clear(l.absentSince)
		return
	}
	absent := map[string]bool{}
	note := func(id string) {
		if _, alive := l.live[id]; alive || id == l.cfg.ID || slices.Contains(l.fleet.Listed, id) {
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
		note(r.ID)
		for _, w := range r.Witnesses {
			note(w.ID)
		}
	}
	for id := range l.absentSince {
		if !absent[id] {
			delete(l.absentSince, id)
		}
	}
}

// isAbsent reports whether the platform's list has lacked both the holder and
// the witness for so long that both are gone for good. Without this rule the
// units of a fleet that was replaced as a whole would stay with its rows.
func (l *Lease) isAbsent(now time.Time, holder, witness string) bool {
	h, w := l.absentSince[holder], l.absentSince[witness]
	return !h.IsZero() && !w.IsZero() && now.Sub(h) >= AbsentAfter && now.Sub(w) >= AbsentAfter
}
