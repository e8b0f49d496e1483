package member

import (
	"context"
	"database/sql/driver"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// openKind is the kind of the SQLite transaction that a session has open.
type openKind int

const (
	openNone openKind = iota
	openRead
	openWrite
)

// transaction is the state of a session's transaction. A read-write transaction
// reads outside any SQLite transaction until its first write, so each of its
// statements sees what was committed before it (PostgreSQL's READ COMMITTED).
// Its first write takes the member's write lock.
type transaction struct {
	// explicit is true in a transaction block, failed after an error in it.
	explicit, failed bool
	readOnly         bool
	// strict is true if the isolation level is above READ COMMITTED.
	strict bool
	open   openKind
	// seen is the change state after the last statement; changed is true once
	// a statement changed something.
	seen    changeState
	changed bool
	logged  []loggedStatement
}

// status is the transaction status of ReadyForQuery.
func (t *transaction) status() byte {
	switch {
	case !t.explicit:
		return 'I'
	case t.failed:
		return 'E'
	}
	return 'T'
}

// prepareTransaction opens the SQLite transaction that the statement needs.
func (s *session) prepareTransaction(ctx context.Context, st statement) error {
	wantsWrite := !st.isRead()
	if wantsWrite && !s.tx.explicit && s.settings.isOn("default_transaction_read_only") {
		return newError(codeReadOnlyTransaction, "cannot execute %s in a read-only transaction", st.verb)
	}
	if st.isSavepoint() || (!wantsWrite && s.tx.explicit && s.tx.strict) {
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
	return m.leads()
}

// beginRead opens a snapshot that lasts for the rest of the transaction.
func (s *session) beginRead(ctx context.Context) error {
	if s.tx.open != openNone {
		return nil
	}
	if err := s.db.exec(ctx, "BEGIN"); err != nil {
		return err
	}
	s.tx.open = openRead
	return nil
}

// beginWrite takes the write lock and opens a write transaction.
func (s *session) beginWrite(ctx context.Context) error {
	if s.tx.open == openWrite {
		return nil
	}
	if err := s.m.claimWriter(ctx, s); err != nil {
		return err
	}
	if s.tx.open == openRead {
		_ = s.db.exec(context.Background(), "ROLLBACK")
		s.tx.open = openNone
	}
	err := s.db.exec(ctx, "BEGIN IMMEDIATE")
	if err == nil {
		s.tx.open = openWrite
		s.tx.seen, err = s.db.changeState()
	}
	if err != nil && s.tx.open == openNone {
		s.m.releaseWriter()
	}
	return err
}

// claimWriter waits for the write lock while the member accepts writes.
func (m *Member) claimWriter(ctx context.Context, s *session) error {
	for {
		m.mu.Lock()
		if !m.leads() {
			err := m.notPrimary()
			m.mu.Unlock()
			return err
		}
		note := m.note
		m.mu.Unlock()
		select {
		case m.writeLock <- struct{}{}:
			return m.admitWriter(s)
		case <-note:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// admitWriter names the session as writer, so that a new primary can end it.
func (m *Member) admitWriter(s *session) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leads() {
		m.releaseWriteLock()
		return m.notPrimary()
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

// noteChanges records the statement if it changed data or schema, and returns
// the number of rows that it changed.
func (s *session) noteChanges(st statement, args []driver.Value) (int64, error) {
	if s.tx.open != openWrite {
		return 0, nil
	}
	state, err := s.db.changeState()
	if err != nil {
		return 0, err
	}
	changed := state.total != s.tx.seen.total || state.schema != s.tx.seen.schema
	var rows int64
	if state.total != s.tx.seen.total {
		rows = state.last
	}
	s.tx.seen = state
	if changed || st.isSavepoint() {
		s.tx.changed = s.tx.changed || changed
		s.tx.logged = append(s.tx.logged, loggedStatement{sql: st.sql, args: args})
	}
	return rows, nil
}

// commit ends the transaction. The position is zero if nothing changed.
func (s *session) commit() (group.Position, error) {
	var position group.Position
	var err error
	switch {
	case s.tx.open == openWrite && s.tx.changed:
		position, err = s.m.commitEntry(s.db, s.tx.logged)
	case s.tx.open != openNone:
		err = s.db.exec(context.Background(), "COMMIT")
	}
	if err != nil {
		s.rollback()
		return group.Position{}, err
	}
	s.closeTransaction(true)
	return position, nil
}

// rollback ends the transaction without effect.
func (s *session) rollback() {
	if s.tx.open != openNone {
		// SQLite may have rolled back by itself, for example after an interrupt.
		_ = s.db.exec(context.Background(), "ROLLBACK")
	}
	s.closeTransaction(false)
}

func (s *session) closeTransaction(committed bool) {
	if s.tx.open == openWrite {
		s.m.releaseWriter()
	}
	s.tx = transaction{}
	before := s.settings.current
	s.settings.endTransaction(committed)
	s.reportSettings(before)
	clear(s.portals)
}

// abandonTransaction rolls back when the connection is gone.
func (s *session) abandonTransaction() {
	if s.tx.open != openNone {
		_ = s.db.exec(context.Background(), "ROLLBACK")
	}
	if s.tx.open == openWrite {
		s.m.releaseWriter()
	}
	s.tx = transaction{}
}

// begin opens a transaction block with the modes that the statement names.
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
		s.tx.strict = true
	}
}

// endBlock runs COMMIT or ROLLBACK and returns the command tag.
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
