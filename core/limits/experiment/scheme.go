package experiment

import (
	"hash/fnv"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/core/limits"
)

// Scheme divides the limits among the instances.
type Scheme interface {
	Name() string
	// Request asks for one token on an instance; answer is called once.
	Request(id string, l bundle.Limit, answer func(admitted bool))
	// Kill ends an instance.
	Kill(id string)
	// Fleet gives access to the store, the message count and the admissions.
	Fleet() *Fleet
}

// Schemes are the ways to divide a limit that the experiment compares.
var Schemes = []func(sim *Sim, limits []bundle.Limit, count int) Scheme{
	newFixed, newOwner, newStoreShares, newLeased,
}

// leased is the design of section 6.
type leased struct{ fleet *Fleet }

func newLeased(sim *Sim, l []bundle.Limit, count int) Scheme {
	f := NewFleet(sim, l)
	f.AddMany(count)
	return &leased{f}
}

func (s *leased) Name() string  { return "leases, witnesses and loans" }
func (s *leased) Fleet() *Fleet { return s.fleet }
func (s *leased) Kill(id string) {
	s.fleet.Node(id).Kill()
}
func (s *leased) Request(id string, l bundle.Limit, answer func(bool)) {
	s.fleet.Node(id).Request(l, answer)
}

// fixed gives each instance the same part for ever.
type fixed struct{ leased }

func newFixed(sim *Sim, l []bundle.Limit, count int) Scheme {
	f := NewFleet(sim, l)
	f.Detached, f.Loans = true, false
	f.AddMany(count)
	for _, n := range f.nodes {
		n.setUnits(uint32(lease.TotalUnits / count))
	}
	return &fixed{leased{f}}
}

func (s *fixed) Name() string { return "fixed shares" }

// owner has one instance decide for each limit; the others ask it per request.
type owner struct {
	leased
	owners map[string]string
}

// ownerPeriod is how often instances read the store for the owner of a limit.
const ownerPeriod = 500 * time.Millisecond

func newOwner(sim *Sim, l []bundle.Limit, count int) Scheme {
	f := NewFleet(sim, l)
	f.Loans, f.OwnUnits = false, true
	f.AddMany(count)
	s := &owner{leased{f}, map[string]string{}}
	sim.Every(0, ownerPeriod, func() bool { s.assign(); return true })
	return s
}

func (s *owner) Name() string { return "one owner per workspace" }

// assign makes the row with the highest weight the owner. A successor takes over
// once its predecessor's row is removed, and starts with an empty bucket.
func (s *owner) assign() {
	if s.fleet.Store.Down {
		return
	}
	ids := map[string]bool{}
	for _, r := range s.fleet.Store.snapshot(lease.KeyPrefix + "holder/") {
		if rec, err := lease.DecodeRecord(r.Value); err == nil {
			ids[rec.ID] = true
		}
	}
	for _, l := range s.fleet.Limits {
		old := s.owners[l.Name]
		if ids[old] {
			continue
		}
		best, weight := "", uint64(0)
		for id := range ids {
			if w := hash(l.Name, id); best == "" || w > weight {
				best, weight = id, w
			}
		}
		if best == "" {
			continue
		}
		s.owners[l.Name] = best
		n := s.fleet.Node(best)
		n.buckets[l.Name].Step(n.now(), limits.SetUnits{Units: lease.TotalUnits})
	}
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

func (s *owner) Request(id string, l bundle.Limit, answer func(bool)) {
	from, to := s.fleet.Node(id), s.owners[l.Name]
	switch {
	case from.Dead() || to == "":
		answer(false)
		return
	case to == id:
		from.Request(l, answer)
		return
	}
	open := true
	once := func(ok bool) {
		if open {
			open = false
			answer(ok)
		}
	}
	s.fleet.send(from, to, func(n *Node) {
		n.Request(l, func(ok bool) { s.fleet.reply(n, from, func() { once(ok) }) })
	})
	s.fleet.Sim.After(limits.MaxWait+rpcTimeout, func() { once(false) })
}
