package experiment

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/core/limits"
)

// storeShareScheme keeps a row per limit in the store with the units of each instance,
// which follow the demand. Leases are renewed in the store only.
type storeShareScheme struct {
	leaseScheme
	units        map[string]map[string]uint32
	writePending map[string]map[string]bool
}

const (
	sharePrefix = "share/"
	// shareInterval is the interval at which an instance compares its shares with its
	// demand.
	shareInterval = 500 * time.Millisecond
	// shareHeadroomFactor is the share that an instance aims for, relative to its
	// demand, and minShareUnits the units that it keeps of a limit without demand.
	shareHeadroomFactor = 1.3
	minShareUnits       = lease.TotalUnits / 100
)

func newStoreShareScheme(sim *Sim, l []bundle.Limit, count int) Scheme {
	f := NewFleet(sim, l)
	f.Loans, f.SchemeSetsUnits, f.Witnesses = false, true, 0
	f.AddMany(count)
	s := &storeShareScheme{leaseScheme{f}, map[string]map[string]uint32{}, map[string]map[string]bool{}}
	for _, id := range f.ids {
		s.units[id], s.writePending[id] = map[string]uint32{}, map[string]bool{}
		sim.Every(sim.Between(0, shareInterval), shareInterval, func() bool {
			s.tick(f.Node(id))
			return !f.Node(id).Dead()
		})
	}
	return s
}

func (s *storeShareScheme) Name() string { return "leased shares in the store" }

// tick computes the units that the instance wants of each limit and adjusts the rows.
func (s *storeShareScheme) tick(n *Node) {
	if n.Dead() || !n.lease.Valid(n.now()) {
		return
	}
	wanted := map[string]uint32{}
	for _, l := range s.fleet.Limits {
		b := n.buckets[l.Name]
		b.Step(n.now(), limits.Tick{Deadline: n.now()})
		fraction := min(1, b.State(n.now()).Demand*shareHeadroomFactor/l.Rate)
		wanted[l.Name] = max(minShareUnits, uint32(fraction*lease.TotalUnits))
	}
	s.fleet.Store.List("", func(rows []lease.Row) {
		n.run(func() { s.adjust(n, rows, wanted) })
	}, func() {})
}

// adjust changes the instance's units in each row towards the wanted number, with one
// write per limit. A decrease takes effect before it is written.
func (s *storeShareScheme) adjust(n *Node, rows []lease.Row, wanted map[string]uint32) {
	live, shares := map[string]bool{}, map[string]lease.Row{}
	for _, r := range rows {
		if name, ok := strings.CutPrefix(r.Key, sharePrefix); ok {
			shares[name] = r
		} else if rec, err := lease.DecodeRecord(r.Value); err == nil {
			live[rec.ID] = true
		}
	}
	for _, l := range s.fleet.Limits {
		s.adjustLimit(n, l, shares[l.Name], live, wanted[l.Name])
	}
}

// adjustLimit adjusts the row of one limit. It drops the units of dead instances and
// skips small changes.
func (s *storeShareScheme) adjustLimit(n *Node, l bundle.Limit, row lease.Row, live map[string]bool, wanted uint32) {
	unitsByInstance := map[string]uint32{}
	if len(row.Value) > 0 {
		_ = json.Unmarshal(row.Value, &unitsByInstance)
	}
	used := uint32(0)
	for id, u := range unitsByInstance {
		if !live[id] {
			delete(unitsByInstance, id)
			continue
		}
		used += u
	}
	current := unitsByInstance[n.ID]
	next := min(wanted, current+lease.TotalUnits-used)
	unchanged := next == current || (next > current && next-current < minShareUnits) || (next < current && current-next < current/5)
	if s.writePending[n.ID][l.Name] || unchanged {
		return
	}
	s.writePending[n.ID][l.Name] = true
	if next < current {
		s.setUnits(n, l, next)
	}
	unitsByInstance[n.ID] = next
	value, _ := json.Marshal(unitsByInstance)
	write := lease.Write{Key: sharePrefix + l.Name, Value: value, Expected: row.Version}
	s.fleet.Store.Transact(n.processKey, []lease.Write{write}, func(_ []lease.Row, ok bool) {
		s.writePending[n.ID][l.Name] = false
		if ok && !n.Dead() {
			s.setUnits(n, l, next)
		}
	}, func() { s.writePending[n.ID][l.Name] = false })
}

func (s *storeShareScheme) setUnits(n *Node, l bundle.Limit, units uint32) {
	s.units[n.ID][l.Name] = units
	n.buckets[l.Name].Step(n.now(), limits.SetUnits{Units: units})
}
