package member

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// maxApplyBatchEntries is the maximum number of entries that one SQLite transaction
// applies.
const maxApplyBatchEntries = 64

// acquireWriteLock waits for the write lock until the context ends.
func (m *Member) acquireWriteLock(ctx context.Context) error {
	select {
	case m.writeLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Member) releaseWriteLock() { <-m.writeLock }

// applyLoop applies received entries while the member is a replica, each after the
// configured lag.
func (m *Member) applyLoop() {
	for m.ctx.Err() == nil {
		upTo, ok := m.awaitDueEntry()
		if !ok {
			return
		}
		if err := m.applyDue(upTo); err != nil && m.ctx.Err() == nil {
			m.logger.WithError(err).Error("cannot apply log entries")
			m.sleep(applyRetryDelay)
		}
	}
}

// applyRetryDelay is the delay after a failed attempt to apply entries.
const applyRetryDelay = 100 * time.Millisecond

func (m *Member) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-m.ctx.Done():
	}
}

// awaitDueEntry waits until an entry is due and returns the index of the last due
// entry. It returns false when the member closes.
func (m *Member) awaitDueEntry() (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for {
		due, wait := m.nextDueEntry()
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

// maxIdleWait is the longest time that the applier waits before it checks again for
// due entries.
const maxIdleWait = time.Second

// nextDueEntry returns the index of the last entry to apply now, at most one batch
// after the applied one, and the time until the next entry is due. The caller holds
// mu.
func (m *Member) nextDueEntry() (uint64, time.Duration) {
	last := m.applied
	if m.state.Role == group.Primary || m.rebuilding {
		return last, maxIdleWait
	}
	limit := min(m.log.length(), m.applied+maxApplyBatchEntries)
	for last < limit {
		e := m.log.at(last + 1)
		age := time.Since(e.received)
		if m.waitingPromotions == 0 && age < m.lag {
			return last, m.lag - age
		}
		last++
	}
	return last, maxIdleWait
}

// applyDue applies entries up to the index under the write lock. It does nothing if
// a rebuild has started in the meantime, as the rebuild applies the entries itself.
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

// applyUpTo applies entries up to the index. The caller holds the write lock but
// not mu. The log is not truncated below upTo meanwhile, because truncation takes
// the write lock too.
func (m *Member) applyUpTo(ctx context.Context, upTo uint64) error {
	for {
		m.mu.Lock()
		first, last := m.applied+1, min(m.applied+maxApplyBatchEntries, upTo)
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
		m.notifyStateChange()
		m.mu.Unlock()
	}
}

// applyEntries applies the entries in one SQLite transaction, which also stores
// last, the index of the last entry.
func (m *Member) applyEntries(ctx context.Context, batch []entry, last uint64) (err error) {
	db := m.applierDB
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

// commitEntry commits the open SQLite transaction of db and appends its statements
// to the log. The caller holds the write lock. The SQLite commit comes first: a
// crash in between leaves the database ahead of the log, which the next start
// detects and repairs, whereas an entry whose SQLite commit failed afterwards could
// already have been replicated.
func (m *Member) commitEntry(db *database, statements []loggedStatement) (group.Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.acceptsWritesLocked() {
		return group.Position{}, m.notPrimaryError()
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
		m.logger.WithError(err).Error("cannot append to the log; closing the member")
		go m.Close()
		return group.Position{}, err
	}
	m.applied = index
	m.notifyStateChange()
	return group.Position{Term: e.term, Index: index}, nil
}

// notPrimaryError returns the error for a write that this member must not commit. The
// caller holds mu.
func (m *Member) notPrimaryError() *pgError {
	if m.state.Role != group.Primary {
		return newError(codeReadOnlyTransaction, "cannot write on a replica")
	}
	return newError(codeReadOnlyTransaction, "cannot write: term %d is fenced by term %d",
		m.state.CurrentTerm, m.state.PromisedTerm)
}

// discardAfter removes the log entries after index. If some of them were applied
// and thus visible to clients, it closes all client connections, starts a new
// incarnation and rebuilds the database from the remaining log.
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
		m.notifyStateChange()
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

// truncateLog removes the entries after index, none of which may be applied.
func (m *Member) truncateLog(index uint64) error {
	if err := m.acquireWriteLock(m.ctx); err != nil {
		return err
	}
	defer m.releaseWriteLock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.applied > index {
		return errors.New("log entries were applied while they were being discarded")
	}
	defer m.notifyStateChange()
	return m.log.truncate(index)
}

// startRebuild starts a new incarnation with an empty database and truncates the
// log after index. The caller holds the write lock.
func (m *Member) startRebuild(index uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state
	s.Incarnation = nextIncarnation(s.Incarnation)
	if err := m.storeState(s); err != nil {
		return err
	}
	if err := m.resetDatabase(); err != nil {
		return err
	}
	m.logger.WithField("position", index).Info("discarding the log entries after the position and rebuilding the database")
	defer m.notifyStateChange()
	return m.log.truncate(index)
}

// closeClients closes all connections except control connections and waits until
// their sessions have ended.
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
