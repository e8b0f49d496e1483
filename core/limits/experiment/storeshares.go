package experiment

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/core/limits"
)

// storeShares keeps a row per limit with each instance's units, which follow
// the demand. The lease of an instance is renewed in the store only.
type storeShares struct {
	leased
	held map[string]map[string]uint32
	busy map[string]map[string]bool
}

const (
	sharePrefix = "share/"
	// sharePeriod is how often an instance compares its shares with its demand.
	sharePeriod = 500 * time.Millisecond
	// shareAim and shareFloor size the share: headroom over the demand, and the
	// units that an instance keeps of a limit without demand.
	shareAim   = 1.3
	shareFloor = lease.TotalUnits / 100
)

func newStoreShares(sim *Sim, l []bundle.Limit, count int) Scheme {
	f := NewFleet(sim, l)
	f.Loans, f.OwnUnits, f.Witnesses = false, true, 0
	f.AddMany(count)
	s := &storeShares{leased{f}, map[string]map[string]uint32{}, map[string]map[string]bool{}}
	for _, id := range f.order {
		s.held[id], s.busy[id] = map[string]uint32{}, map[string]bool{}
		sim.Every(sim.Between(0, sharePeriod), sharePeriod, func() bool {
			s.tick(f.Node(id))
			return !f.Node(id).Dead()
		})
	}
	return s
}

func (s *storeShares) Name() string { return "leased shares in the store" }

func (s *storeShares) tick(n *Node) {
	if n.Dead() || !n.lease.Valid(n.now()) {
		return
	}
	wanted := map[string]uint32{}
	for _, l := range s.fleet.Limits {
		b := n.buckets[l.Name]
		b.Step(n.now(), limits.Tick{Deadline: n.now()})
		part := min(1, b.State(n.now()).Demand*shareAim/l.Rate)
		wanted[l.Name] = max(shareFloor, uint32(part*lease.TotalUnits))
	}
	s.fleet.Store.List("", func(rows []lease.Row) {
		n.run(func() { s.adjust(n, rows, wanted) })
	}, func() {})
}

// adjust moves the own part of each row towards what is wanted, in one write per
// limit. A lower part is in force before it is written.
func (s *storeShares) adjust(n *Node, rows []lease.Row, wanted map[string]uint32) {
	live, shares := map[string]bool{}, map[string]lease.Row{}
	for _, r := range rows {
		if name, ok := strings.CutPrefix(r.Key, sharePrefix); ok {
			shares[name] = r
		} else if rec, err := lease.DecodeRecord(r.Value); err == nil {
			live[rec.ID] = true
		}
	}
	for _, l := range s.fleet.Limits {
		s.adjustOne(n, l, shares[l.Name], live, wanted[l.Name])
	}
}

func (s *storeShares) adjustOne(n *Node, l bundle.Limit, row lease.Row, live map[string]bool, want uint32) {
	parts := map[string]uint32{}
	if len(row.Value) > 0 {
		_ = json.Unmarshal(row.Value, &parts)
	}
	used := uint32(0)
	for id, u := range parts {
		if !live[id] {
			delete(parts, id)
			continue
		}
		used += u
	}
	mine := parts[n.ID]
	next := min(want, mine+lease.TotalUnits-used)
	unchanged := next == mine || (next > mine && next-mine < shareFloor) || (next < mine && mine-next < mine/5)
	if s.busy[n.ID][l.Name] || unchanged {
		return
	}
	s.busy[n.ID][l.Name] = true
	if next < mine {
		s.use(n, l, next)
	}
	parts[n.ID] = next
	value, _ := json.Marshal(parts)
	write := lease.Write{Key: sharePrefix + l.Name, Value: value, Expected: row.Version}
	s.fleet.Store.Transact(n.process, []lease.Write{write}, func(_ []lease.Row, ok bool) {
		s.busy[n.ID][l.Name] = false
		if ok && !n.Dead() {
			s.use(n, l, next)
		}
	}, func() { s.busy[n.ID][l.Name] = false })
}

func (s *storeShares) use(n *Node, l bundle.Limit, units uint32) {
	s.held[n.ID][l.Name] = units
	n.buckets[l.Name].Step(n.now(), limits.SetUnits{Units: units})
}
