package member

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// state is the member's durable state besides the log. It is stored as JSON under
// its field names.
type state struct {
	// PromisedTerm is the highest term that the member has promised, and
	// PromisedOwner the instance to which it is promised.
	PromisedTerm  uint64
	PromisedOwner string
	Role          group.Role
	// CurrentTerm is the term in which the member is primary or follows one.
	// CurrentOwner is the instance that promoted the term's primary.
	CurrentTerm  uint64
	CurrentOwner string
	// TermStart is the index of the first entry of CurrentTerm; PreviousTerm is the
	// term of the entry before it.
	TermStart    uint64
	PreviousTerm uint64
	// Incarnation increases with every start of the process and every rebuild.
	Incarnation uint64
	// Generation is part of the database file's name; every rebuild increments it.
	Generation uint64
}

// InitialOwner is the owner of a new group's first term.
const InitialOwner = "initial"

func (m *Member) statePath() string { return filepath.Join(m.opts.Directory, "state.json") }

// storeState replaces the stored state and then the state in memory. It must succeed
// before the member acts on the new state.
func (m *Member) storeState(s state) error {
	data, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode state")
	}
	temporary := m.statePath() + ".new"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return errors.Wrap(err, "write state")
	}
	if err := os.Rename(temporary, m.statePath()); err != nil {
		return errors.Wrap(err, "replace state")
	}
	m.state = s
	return nil
}

// loadState reads the stored state, or creates the state of a new member. Every
// start begins a new incarnation.
func (m *Member) loadState() error {
	s := state{Role: group.Replica}
	data, err := os.ReadFile(m.statePath())
	switch {
	case errors.Is(err, os.ErrNotExist):
		if m.opts.Role == group.Primary {
			s = state{
				Role: group.Primary, PromisedTerm: m.opts.Term, PromisedOwner: InitialOwner,
				CurrentTerm: m.opts.Term, CurrentOwner: InitialOwner, TermStart: 1,
			}
		}
	case err != nil:
		return errors.Wrap(err, "read state")
	default:
		if err := json.Unmarshal(data, &s); err != nil {
			return errors.Wrap(err, "decode state")
		}
	}
	s.Incarnation = nextIncarnation(s.Incarnation)
	if err := m.storeState(s); err != nil {
		return err
	}
	if s.Role == group.Primary && m.log.length() < s.TermStart {
		return m.appendTermStart()
	}
	return nil
}

// nextIncarnation returns a value above the previous one. It is at least the
// current time, so that a member that lost its directory does not reuse a value.
func nextIncarnation(previous uint64) uint64 {
	return max(previous+1, uint64(time.Now().UnixMilli()))
}

// appendTermStart appends the entry without statements that marks the start of
// the current term.
func (m *Member) appendTermStart() error {
	e := entry{term: m.state.CurrentTerm, payload: encodeStatements(nil), received: time.Now()}
	return m.log.append(e)
}

func (m *Member) databasePath() string {
	return filepath.Join(m.opts.Directory, "db-"+strconv.FormatUint(m.state.Generation, 10)+".sqlite")
}

// recoverDatabase opens the database and, on a primary, applies the rest of the log.
// A database ahead of the log contains a transaction that was never logged, so it
// is rebuilt from an empty database.
func (m *Member) recoverDatabase() error {
	var err error
	if err = m.openApplierDB(); err != nil {
		return err
	}
	if m.applied, err = m.applierDB.appliedIndex(); err != nil {
		return err
	}
	if m.applied > m.log.length() {
		if err := m.resetDatabase(); err != nil {
			return err
		}
	}
	if m.state.Role != group.Primary {
		return nil
	}
	return m.applyUpTo(context.Background(), m.log.length())
}

// resetDatabase replaces the database with an empty one in a new file.
func (m *Member) resetDatabase() error {
	m.applierDB.close()
	removeDatabase(m.databasePath())
	s := m.state
	s.Generation++
	if err := m.storeState(s); err != nil {
		return err
	}
	removeDatabase(m.databasePath())
	m.applied = 0
	return m.openApplierDB()
}

func (m *Member) openApplierDB() error {
	db, err := openDatabase(m.databasePath())
	if err != nil {
		return err
	}
	db.replaying = true
	m.applierDB = db
	return nil
}
