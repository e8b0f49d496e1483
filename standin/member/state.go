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

// state is what the member stores durably besides the log.
type state struct {
	PromisedTerm  uint64
	PromisedOwner string
	Role          group.Role
	// CurrentTerm is the term that the member leads or follows; CurrentOwner is
	// the instance that promoted its primary.
	CurrentTerm  uint64
	CurrentOwner string
	TermStart    uint64
	PreviousTerm uint64
	Incarnation  uint64
	// Generation numbers the database files; a rebuild starts a new one.
	Generation uint64
}

// InitialOwner is the owner of the term in which a group is created.
const InitialOwner = "initial"

func (m *Member) statePath() string { return filepath.Join(m.opts.Directory, "state.json") }

// store writes the state durably. It must succeed before the state is acted on.
func (m *Member) store(s state) error {
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

// loadState reads the stored state, or creates the state of a new member. A
// start always begins a new incarnation.
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
	if err := m.store(s); err != nil {
		return err
	}
	if s.Role == group.Primary && m.log.length() < s.TermStart {
		return m.appendTermStart()
	}
	return nil
}

// nextIncarnation returns a value above the previous one. It contains the time,
// so a member that lost its directory does not repeat an earlier value.
func nextIncarnation(previous uint64) uint64 {
	return max(previous+1, uint64(time.Now().UnixMilli()))
}

// appendTermStart appends the entry that begins the current term.
func (m *Member) appendTermStart() error {
	e := entry{term: m.state.CurrentTerm, payload: encodeStatements(nil), received: time.Now()}
	return m.log.append(e)
}

func (m *Member) databasePath() string {
	return filepath.Join(m.opts.Directory, "db-"+strconv.FormatUint(m.state.Generation, 10)+".sqlite")
}

// openApplied opens the database and brings it up to the log if the member is
// primary. A database ahead of the log holds a transaction that was never
// logged, so it is rebuilt.
func (m *Member) openApplied() error {
	var err error
	if err = m.openAnchor(); err != nil {
		return err
	}
	if m.applied, err = m.anchor.appliedIndex(); err != nil {
		return err
	}
	if m.applied > m.log.length() {
		if err := m.newGeneration(); err != nil {
			return err
		}
	}
	if m.state.Role != group.Primary {
		return nil
	}
	return m.applyUpTo(context.Background(), m.log.length())
}

// newGeneration replaces the database by an empty one.
func (m *Member) newGeneration() error {
	m.anchor.close()
	removeDatabase(m.databasePath())
	s := m.state
	s.Generation++
	if err := m.store(s); err != nil {
		return err
	}
	removeDatabase(m.databasePath())
	m.applied = 0
	return m.openAnchor()
}

func (m *Member) openAnchor() error {
	db, err := openDatabase(m.databasePath())
	if err != nil {
		return err
	}
	db.replaying = true
	m.anchor = db
	return nil
}
