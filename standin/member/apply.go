package member

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// applyBatch bounds the entries that one SQLite transaction applies.
const applyBatch = 64

// acquireWriteLock waits for the right to write.
func (m *Member) acquireWriteLock(ctx context.Context) error {
	select {
	case m.writeLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Member) releaseWriteLock() { <-m.writeLock }

// applyLoop applies received entries on a replica, each when it has reached the
// age of the lag.
func (m *Member) applyLoop() {
	for m.ctx.Err() == nil {
		upTo, ok := m.awaitDue()
		if !ok {
			return
		}
		if err := m.applyDue(upTo); err != nil && m.ctx.Err() == nil {
			m.logger.WithError(err).Error("cannot apply entries")
			m.sleep(applyRetry)
		}
	}
}

// applyRetry is the pause after a failed attempt to apply.
const applyRetry = 100 * time.Millisecond

func (m *Member) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-m.ctx.Done():
	}
}

// awaitDue waits until an entry is due and returns the last due one.
func (m *Member) awaitDue() (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for {
		due, wait := m.due()
		if due > m.applied {
			return due, true
		}
		ctx, cancel := context.WithTimeout(m.ctx, wait)
		_ = m.awaitChange(ctx)
		cancel()
		if m.ctx.Err() != nil {
			return 0, false
		}
	}
}

// idleWait is the longest sleep of the applier without a due entry.
const idleWait = time.Second

// due returns the last entry to apply now, at most a batch ahead, and the time
// until the next one is due.
func (m *Member) due() (uint64, time.Duration) {
	last := m.applied
	if m.state.Role == group.Primary || m.rebuilding {
		return last, idleWait
	}
	limit := min(m.log.length(), m.applied+applyBatch)
	for last < limit {
		e := m.log.at(last + 1)
		age := time.Since(e.received)
		if m.urgent == 0 && age < m.lag {
			return last, m.lag - age
		}
		last++
	}
	return last, idleWait
}

// applyDue applies entries under the write lock. A rebuild may have started
// since the caller looked, and it does the work itself.
func (m *Member) applyDue(upTo uint64) error {
	if err := m.acquireWriteLock(m.ctx); err != nil {
		return err
	}
	defer m.releaseWriteLock()
	m.mu.Lock()
	skip := m.rebuilding
	upTo = min(upTo, m.log.length())
	m.mu.Unlock()
	if skip {
		return nil
	}
	return m.applyUpTo(m.ctx, upTo)
}

// applyUpTo applies entries up to the index. The caller holds the write lock,
// but not mu; nothing truncates the log below upTo meanwhile, because truncation
// takes the write lock too.
func (m *Member) applyUpTo(ctx context.Context, upTo uint64) error {
	for {
		m.mu.Lock()
		first, last := m.applied+1, min(m.applied+applyBatch, upTo)
		var batch []entry
		if first <= last {
			batch = m.log.entries[first-1 : last]
		}
		m.mu.Unlock()
		if len(batch) == 0 {
			return nil
		}
		if err := m.applyEntries(ctx, batch, last); err != nil {
			return err
		}
		m.mu.Lock()
		m.applied = last
		m.changed()
		m.mu.Unlock()
	}
}

// applyEntries runs the entries in one SQLite transaction that stores the index
// of the last.
func (m *Member) applyEntries(ctx context.Context, batch []entry, last uint64) (err error) {
	db := m.anchor
	if err := db.exec(ctx, "BEGIN IMMEDIATE"); err != nil {
		return errors.Wrap(err, "begin")
	}
	defer func() {
		if err != nil {
			_ = db.exec(context.Background(), "ROLLBACK")
		}
	}()
	for i, e := range batch {
		statements, err := decodeStatements(e.payload)
		if err != nil {
			return err
		}
		for _, st := range statements {
			if err := db.exec(ctx, st.sql, st.args...); err != nil {
				return errors.Wrapf(err, "apply entry %d", last-uint64(len(batch)-1-i))
			}
		}
	}
	if err := db.setAppliedIndex(ctx, last); err != nil {
		return errors.Wrap(err, "store applied index")
	}
	return errors.Wrap(db.exec(ctx, "COMMIT"), "commit")
}

// commitEntry commits the SQLite transaction of db and logs its statements. The
// caller holds the write lock. SQLite commits first: a crash in between leaves a
// database ahead of the log, which the next start detects, whereas a log ahead
// of a failed commit could already have been pushed.
func (m *Member) commitEntry(db *database, statements []loggedStatement) (group.Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leads() {
		return group.Position{}, m.notPrimary()
	}
	index := m.log.length() + 1
	if err := db.setAppliedIndex(context.Background(), index); err != nil {
		return group.Position{}, err
	}
	if err := db.exec(context.Background(), "COMMIT"); err != nil {
		return group.Position{}, err
	}
	e := entry{term: m.state.CurrentTerm, payload: encodeStatements(statements), received: time.Now()}
	if err := m.log.append(e); err != nil {
		m.logger.WithError(err).Error("log is not writable, stopping")
		go m.Close()
		return group.Position{}, err
	}
	m.applied = index
	m.changed()
	return group.Position{Term: e.term, Index: index}, nil
}

// notPrimary is the error of a write that this member may not commit.
func (m *Member) notPrimary() *pgError {
	if m.state.Role != group.Primary {
		return newError(codeReadOnlyTransaction, "cannot write on a replica")
	}
	return newError(codeReadOnlyTransaction, "cannot write: term %d is fenced by term %d",
		m.state.CurrentTerm, m.state.PromisedTerm)
}

// discardAfter drops the entries after index. If some of them were visible, it
// closes all ordinary connections, changes the incarnation and rebuilds the
// database from the rest of the log.
func (m *Member) discardAfter(index uint64) error {
	m.mu.Lock()
	rebuild := m.applied > index
	m.rebuilding = m.rebuilding || rebuild
	m.mu.Unlock()
	if !rebuild {
		return m.truncateLog(index)
	}
	defer func() {
		m.mu.Lock()
		m.rebuilding = false
		m.changed()
		m.mu.Unlock()
	}()
	m.closeClients()
	if err := m.acquireWriteLock(m.ctx); err != nil {
		return err
	}
	defer m.releaseWriteLock()
	if err := m.startRebuild(index); err != nil {
		return err
	}
	return m.applyUpTo(m.ctx, index)
}

// truncateLog drops unapplied entries.
func (m *Member) truncateLog(index uint64) error {
	if err := m.acquireWriteLock(m.ctx); err != nil {
		return err
	}
	defer m.releaseWriteLock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.applied > index {
		return errors.New("entries were applied while they were being discarded")
	}
	defer m.changed()
	return m.log.truncate(index)
}

// startRebuild begins a new incarnation with an empty database.
func (m *Member) startRebuild(index uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state
	s.Incarnation = nextIncarnation(s.Incarnation)
	if err := m.store(s); err != nil {
		return err
	}
	if err := m.newGeneration(); err != nil {
		return err
	}
	m.logger.WithField("position", index).Info("discarding later entries, rebuilding the database")
	defer m.changed()
	return m.log.truncate(index)
}

// closeClients breaks all ordinary connections and waits until they are closed.
func (m *Member) closeClients() {
	m.mu.Lock()
	var closing []*session
	for _, s := range m.sessions {
		if !s.control {
			s.terminate()
			closing = append(closing, s)
		}
	}
	m.mu.Unlock()
	for _, s := range closing {
		<-s.done
	}
}
