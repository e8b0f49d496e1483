package member

import (
	"context"
	"database/sql/driver"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// sqliteTransaction is the kind of a session's open SQLite transaction.
type sqliteTransaction int

const (
	noTransaction sqliteTransaction = iota
	readTransaction
	writeTransaction
)

// transaction is the state of a session's transaction. A read-write transaction has
// no SQLite transaction until its first write, so each of its reads sees all commits
// before it, as in PostgreSQL's READ COMMITTED. The first write acquires the member's
// write lock and opens a SQLite transaction. A savepoint, or the first read at a higher
// isolation level, also opens a SQLite transaction.
type transaction struct {
	// explicit is true in a transaction block; failed is true after an error in it.
	explicit, failed bool
	readOnly         bool
	// aboveReadCommitted is true for REPEATABLE READ and SERIALIZABLE.
	aboveReadCommitted bool
	sqlite             sqliteTransaction
	// lastCounters are the change counters after the last statement. changed is true
	// once a statement has changed data or schema.
	lastCounters changeCounters
	changed      bool
	// statements are the statements to log on commit.
	statements []loggedStatement
}

// status returns the transaction status for ReadyForQuery.
func (t *transaction) status() byte {
	switch {
	case !t.explicit:
		return 'I'
	case t.failed:
		return 'E'
	}
	return 'T'
}

// prepareTransaction opens the SQLite transaction that the statement needs, if any.
func (s *session) prepareTransaction(ctx context.Context, st statement) error {
	wantsWrite := !st.isRead()
	if wantsWrite && !s.tx.explicit && s.settings.isOn("default_transaction_read_only") {
		return newError(codeReadOnlyTransaction, "cannot execute %s in a read-only transaction", st.verb)
	}
	if st.isSavepoint() || (!wantsWrite && s.tx.explicit && s.tx.aboveReadCommitted) {
		wantsWrite = !s.tx.readOnly && s.m.acceptsWrites()
		if !wantsWrite {
			return s.beginRead(ctx)
		}
	}
	switch {
	case wantsWrite && s.tx.readOnly:
		return newError(codeReadOnlyTransaction, "cannot execute %s in a read-only transaction", st.verb)
	case wantsWrite:
		return s.beginWrite(ctx)
	case s.tx.readOnly:
		return s.beginRead(ctx)
	}
	return nil
}

func (m *Member) acceptsWrites() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.acceptsWritesLocked()
}

// beginRead opens a SQLite read transaction, which provides a snapshot for the rest of
// the session's transaction.
func (s *session) beginRead(ctx context.Context) error {
	if s.tx.sqlite != noTransaction {
		return nil
	}
	if err := s.db.exec(ctx, "BEGIN"); err != nil {
		return err
	}
	s.tx.sqlite = readTransaction
	return nil
}

// beginWrite acquires the write lock and opens a SQLite write transaction, which
// replaces an open read transaction.
func (s *session) beginWrite(ctx context.Context) error {
	if s.tx.sqlite == writeTransaction {
		return nil
	}
	if err := s.m.acquireWriter(ctx, s); err != nil {
		return err
	}
	if s.tx.sqlite == readTransaction {
		_ = s.db.exec(context.Background(), "ROLLBACK")
		s.tx.sqlite = noTransaction
	}
	err := s.db.exec(ctx, "BEGIN IMMEDIATE")
	if err == nil {
		s.tx.sqlite = writeTransaction
		s.tx.lastCounters, err = s.db.readChangeCounters()
	}
	if err != nil && s.tx.sqlite == noTransaction {
		s.m.releaseWriter()
	}
	return err
}

// acquireWriter waits for the write lock and fails when the member stops accepting
// writes.
func (m *Member) acquireWriter(ctx context.Context, s *session) error {
	for {
		m.mu.Lock()
		if !m.acceptsWritesLocked() {
			err := m.notPrimaryError()
			m.mu.Unlock()
			return err
		}
		stateChanged := m.stateChanged
		m.mu.Unlock()
		select {
		case m.writeLock <- struct{}{}:
			return m.setWriter(s)
		case <-stateChanged:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// setWriter records the session that holds the write lock, so that it can be terminated
// when another member becomes primary. It releases the lock if the member no longer
// accepts writes.
func (m *Member) setWriter(s *session) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.acceptsWritesLocked() {
		m.releaseWriteLock()
		return m.notPrimaryError()
	}
	m.writer = s
	return nil
}

func (m *Member) releaseWriter() {
	m.mu.Lock()
	m.writer = nil
	m.mu.Unlock()
	m.releaseWriteLock()
}

// recordChanges records the statement if it changed data or schema, and returns
// the number of rows that it changed.
func (s *session) recordChanges(st statement, args []driver.Value) (int64, error) {
	if s.tx.sqlite != writeTransaction {
		return 0, nil
	}
	counters, err := s.db.readChangeCounters()
	if err != nil {
		return 0, err
	}
	changed := counters.totalRows != s.tx.lastCounters.totalRows || counters.schemaVersion != s.tx.lastCounters.schemaVersion
	var rows int64
	if counters.totalRows != s.tx.lastCounters.totalRows {
		rows = counters.lastStatementRows
	}
	s.tx.lastCounters = counters
	if changed || st.isSavepoint() {
		s.tx.changed = s.tx.changed || changed
		s.tx.statements = append(s.tx.statements, loggedStatement{sql: st.sql, args: args})
	}
	return rows, nil
}

// commit commits the transaction and returns its log position, which is zero if
// nothing changed. On failure it rolls back.
func (s *session) commit() (group.Position, error) {
	var position group.Position
	var err error
	switch {
	case s.tx.sqlite == writeTransaction && s.tx.changed:
		position, err = s.m.commitEntry(s.db, s.tx.statements)
	case s.tx.sqlite != noTransaction:
		err = s.db.exec(context.Background(), "COMMIT")
	}
	if err != nil {
		s.rollback()
		return group.Position{}, err
	}
	s.closeTransaction(true)
	return position, nil
}

// rollback rolls the transaction back.
func (s *session) rollback() {
	if s.tx.sqlite != noTransaction {
		// The error is ignored, because SQLite may have rolled back already, for example
		// after an interrupt.
		_ = s.db.exec(context.Background(), "ROLLBACK")
	}
	s.closeTransaction(false)
}

func (s *session) closeTransaction(committed bool) {
	if s.tx.sqlite == writeTransaction {
		s.m.releaseWriter()
	}
	s.tx = transaction{}
	before := s.settings.current
	s.settings.endTransaction(committed)
	s.reportSettings(before)
	clear(s.portals)
}

// discardTransaction rolls back when the connection has ended, without a report to the
// client.
func (s *session) discardTransaction() {
	if s.tx.sqlite != noTransaction {
		_ = s.db.exec(context.Background(), "ROLLBACK")
	}
	if s.tx.sqlite == writeTransaction {
		s.m.releaseWriter()
	}
	s.tx = transaction{}
}

// begin starts a transaction block with the transaction modes of the statement.
func (s *session) begin(st statement) {
	if s.tx.explicit {
		s.warn(codeActiveTransaction, "there is already a transaction in progress")
		return
	}
	s.tx.explicit = true
	s.tx.readOnly = s.settings.isOn("default_transaction_read_only")
	s.setModes(st)
}

// setModes applies the transaction modes of BEGIN or SET TRANSACTION.
func (s *session) setModes(st statement) {
	switch {
	case st.hasWords("READ", "ONLY"):
		s.tx.readOnly = true
	case st.hasWords("READ", "WRITE"):
		s.tx.readOnly = false
	}
	if st.hasWords("REPEATABLE", "READ") || st.hasWords("LEVEL", "SERIALIZABLE") {
		s.tx.aboveReadCommitted = true
	}
}

// endBlock runs COMMIT or ROLLBACK and returns the command tag, which is ROLLBACK
// for the COMMIT of a failed transaction.
func (s *session) endBlock(st statement) (string, error) {
	if !s.tx.explicit {
		s.warn(codeNoTransaction, "there is no transaction in progress")
	}
	if st.verb == "ROLLBACK" || st.verb == "ABORT" || s.tx.failed {
		s.rollback()
		return "ROLLBACK", nil
	}
	position, err := s.commit()
	if err != nil {
		return "", err
	}
	return "COMMIT", s.reportPosition(position)
}
