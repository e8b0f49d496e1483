package experiment

import (
	"hash/fnv"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/core/limits"
)

// Scheme is a way to divide the limits among the instances.
type Scheme interface {
	Name() string
	// Request requests one token of the limit l on the instance id, and calls respond
	// once with whether the request was admitted.
	Request(id string, l bundle.Limit, respond func(admitted bool))
	// Kill ends the instance's process immediately, without a graceful shutdown.
	Kill(id string)
	// Fleet returns the simulated fleet of the scheme.
	Fleet() *Fleet
}

// Schemes are the constructors of the schemes that the experiment compares.
var Schemes = []func(sim *Sim, limits []bundle.Limit, count int) Scheme{
	newFixedScheme, newOwnerScheme, newStoreShareScheme, newLeaseScheme,
}

// leaseScheme is the design of docs/design.md, section 6. Each instance leases
// units; a unit is 1/lease.TotalUnits of every limit. Witnesses are peers of which a
// majority can renew the lease by promises. With a loan, an instance lends a part of its
// rate, burst and tokens to another one for a short time. The other schemes embed
// leaseScheme only for its methods.
type leaseScheme struct{ fleet *Fleet }

func newLeaseScheme(sim *Sim, l []bundle.Limit, count int) Scheme {
	f := NewFleet(sim, l)
	f.AddMany(count)
	return &leaseScheme{f}
}

func (s *leaseScheme) Name() string  { return "leases, witnesses and loans" }
func (s *leaseScheme) Fleet() *Fleet { return s.fleet }
func (s *leaseScheme) Kill(id string) {
	s.fleet.Node(id).Kill()
}
func (s *leaseScheme) Request(id string, l bundle.Limit, respond func(bool)) {
	s.fleet.Node(id).Request(l, respond)
}

// fixedScheme gives each instance an equal share that never changes.
type fixedScheme struct{ leaseScheme }

func newFixedScheme(sim *Sim, l []bundle.Limit, count int) Scheme {
	f := NewFleet(sim, l)
	f.Standalone, f.Loans = true, false // no leases, heartbeats, store or loans
	f.AddMany(count)
	for _, n := range f.nodes {
		n.setUnits(uint32(lease.TotalUnits / count))
	}
	return &fixedScheme{leaseScheme{f}}
}

func (s *fixedScheme) Name() string { return "fixed shares" }

// ownerScheme lets one instance, the owner, decide on all requests of a limit; the
// others forward each request to it.
type ownerScheme struct {
	leaseScheme
	owners map[string]string
}

// ownerReadInterval is the interval at which the owners are read from the store.
const ownerReadInterval = 500 * time.Millisecond

func newOwnerScheme(sim *Sim, l []bundle.Limit, count int) Scheme {
	f := NewFleet(sim, l)
	f.Loans, f.SchemeSetsUnits = false, true // assignOwners sets the units, not the lease
	f.AddMany(count)
	s := &ownerScheme{leaseScheme{f}, map[string]string{}}
	sim.Every(0, ownerReadInterval, func() bool { s.assignOwners(); return true })
	return s
}

func (s *ownerScheme) Name() string { return "one owner per workspace" }

// assignOwners chooses an owner for each limit that has no owner with a lease row: the
// instance with the highest rendezvous weight among those with a lease row. A successor
// takes over once the lease row of its predecessor has been removed. Its bucket starts
// without tokens, because added units bring none.
func (s *ownerScheme) assignOwners() {
	if s.fleet.Store.IsDown {
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
		owner, weight := "", uint64(0)
		for id := range ids {
			if w := rendezvousWeight(l.Name, id); owner == "" || w > weight {
				owner, weight = id, w
			}
		}
		if owner == "" {
			continue
		}
		s.owners[l.Name] = owner
		n := s.fleet.Node(owner)
		n.buckets[l.Name].Step(n.now(), limits.SetUnits{Units: lease.TotalUnits})
	}
}

// rendezvousWeight hashes its parts: the name of a limit and the ID of an instance.
func rendezvousWeight(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

func (s *ownerScheme) Request(id string, l bundle.Limit, respond func(bool)) {
	from, to := s.fleet.Node(id), s.owners[l.Name]
	switch {
	case from.Dead() || to == "":
		respond(false)
		return
	case to == id:
		from.Request(l, respond)
		return
	}
	pending := true // neither a response nor the timeout has occurred
	once := func(ok bool) {
		if pending {
			pending = false
			respond(ok)
		}
	}
	s.fleet.send(from, to, func(n *Node) {
		n.Request(l, func(ok bool) { s.fleet.reply(n, from, func() { once(ok) }) })
	})
	s.fleet.Sim.After(limits.MaxWait+rpcTimeout, func() { once(false) })
}
