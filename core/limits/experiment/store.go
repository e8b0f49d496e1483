package experiment

import (
	"slices"
	"strings"
	"time"

	"github.com/mulberrysill/mulberrysill/core/lease"
)

// Store is a simulated table store with versioned rows.
type Store struct {
	sim  *Sim
	rows map[string]lease.Row
	// IsDown makes every call fail.
	IsDown bool
	// LostResponseProbability is the probability that a call takes effect but its
	// response is lost; LateApplyProbability the one that a transaction takes effect
	// only after its caller has timed out.
	LostResponseProbability, LateApplyProbability float64
	// Reads and Writes count the calls that reached the store.
	Reads, Writes int
	// OnRemove is called for each removed row with the identity of the caller.
	OnRemove func(caller, key string)
}

// storeTimeout is the time after which a call fails without a response.
const storeTimeout = 2 * time.Second

// NewStore returns an empty store.
func NewStore(sim *Sim) *Store {
	return &Store{sim: sim, rows: map[string]lease.Row{}, OnRemove: func(string, string) {}}
}

func (s *Store) delay() time.Duration { return s.sim.Between(time.Millisecond, 8*time.Millisecond) }

// Transact applies the writes atomically if all expected versions match. It calls done
// with the written rows and whether the versions matched, or lost if there is no
// response.
func (s *Store) Transact(caller string, writes []lease.Write, done func(rows []lease.Row, ok bool), lost func()) {
	if s.sim.WithProbability(s.LateApplyProbability) {
		s.sim.After(storeTimeout+s.sim.Between(0, 6*time.Second), func() { s.apply(caller, writes) })
		s.sim.After(storeTimeout, lost)
		return
	}
	s.sim.After(s.delay(), func() {
		if s.IsDown {
			s.sim.After(storeTimeout, lost)
			return
		}
		rows, ok := s.apply(caller, writes)
		if s.sim.WithProbability(s.LostResponseProbability) {
			s.sim.After(storeTimeout, lost)
			return
		}
		s.sim.After(s.delay(), func() { done(rows, ok) })
	})
}

func (s *Store) apply(caller string, writes []lease.Write) ([]lease.Row, bool) {
	s.Writes++
	for _, w := range writes {
		if s.rows[w.Key].Version != w.Expected {
			return nil, false
		}
	}
	var out []lease.Row
	for _, w := range writes {
		if w.Remove {
			delete(s.rows, w.Key)
			s.OnRemove(caller, w.Key)
			continue
		}
		row := lease.Row{Key: w.Key, Value: w.Value, Version: w.Expected + 1}
		s.rows[w.Key] = row
		out = append(out, row)
	}
	return out, true
}

// List reads the rows with the prefix and calls done with them, or lost if there is no
// response.
func (s *Store) List(prefix string, done func([]lease.Row), lost func()) {
	s.sim.After(s.delay(), func() {
		if s.IsDown || s.sim.WithProbability(s.LostResponseProbability) {
			s.sim.After(storeTimeout, lost)
			return
		}
		s.Reads++
		rows := s.snapshot(prefix)
		s.sim.After(s.delay(), func() { done(rows) })
	})
}

// snapshot returns the rows with the prefix in order of their keys.
func (s *Store) snapshot(prefix string) []lease.Row {
	var rows []lease.Row
	for key, r := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b lease.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// Units returns the total number of units in all rows, the pool of free units included.
func (s *Store) Units() (total uint64) {
	pool := uint64(lease.TotalUnits)
	for key, r := range s.rows {
		if key == lease.PoolKey {
			p, _ := lease.DecodePool(r.Value)
			pool = uint64(p.Units)
			continue
		}
		if rec, err := lease.DecodeRecord(r.Value); err == nil {
			total += uint64(rec.Units)
		}
	}
	return total + pool
}
