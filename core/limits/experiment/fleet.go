package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/core/limits"
)

// Fleet is a simulated set of instances that share limits, with a network and a store.
type Fleet struct {
	Sim    *Sim
	Store  *Store
	Limits []bundle.Limit
	// Witnesses is the number of witnesses per lease; with 0, leases are renewed in
	// the store only.
	Witnesses int
	// Loans enables loans between instances.
	Loans bool
	// Standalone disables leases, heartbeats and the store.
	Standalone bool
	// SchemeSetsUnits is true if the scheme, not the lease, sets the units of the
	// buckets.
	SchemeSetsUnits bool
	// PlatformListsLive makes the platform's instance list available to the leases;
	// it holds the live instances. Otherwise the list is unknown.
	PlatformListsLive bool
	// MessageLossProbability is the probability that a message is lost, and
	// MessageDelayProbability the one that it takes up to MaxMessageDelay.
	MessageLossProbability, MessageDelayProbability float64
	MaxMessageDelay                                 time.Duration
	// MaxDrift is the largest fraction by which an instance's clock runs fast or
	// slow.
	MaxDrift float64
	// Messages counts the messages sent between instances.
	Messages int
	// IsPartitioned reports whether messages between two instances are dropped.
	IsPartitioned func(from, to string) bool
	// OnAdmit is called at each admission.
	OnAdmit func(n *Node, limit string)

	// ids lists all instances in order of their first start.
	ids []string
	// nodes holds the newest process of each instance.
	nodes map[string]*Node
	// processes holds every process that was ever started.
	processes []*Node
	// retiredKeys holds the keys of the lease rows that another process removed.
	retiredKeys map[string]bool
	epochs      uint64
}

// NewFleet returns a fleet without instances.
func NewFleet(sim *Sim, limits []bundle.Limit) *Fleet {
	f := &Fleet{
		Sim: sim, Store: NewStore(sim), Limits: limits, Witnesses: lease.MaxWitnesses, Loans: true,
		IsPartitioned: func(string, string) bool { return false }, OnAdmit: func(*Node, string) {},
		nodes: map[string]*Node{}, retiredKeys: map[string]bool{},
	}
	f.Store.OnRemove = f.onRowRemoved
	return f
}

// Add starts an instance, or a new process of an existing one.
func (f *Fleet) Add(id string) *Node {
	n := &Node{
		fleet: f, ID: id, buckets: map[string]*limits.Bucket{}, heartbeats: map[string]lastHeartbeat{}, promiseRequestedAt: map[string]time.Time{},
		waitingRequests: map[requestKey]func(bool){}, settleScheduled: map[string]bool{},
		clockDrift: f.MaxDrift * (2*f.Sim.Rand.Float64() - 1),
	}
	if !slices.Contains(f.ids, id) {
		f.ids = append(f.ids, id)
	}
	f.nodes[id] = n
	f.processes = append(f.processes, n)
	n.start()
	return n
}

// AddMany starts instances i1 to iN.
func (f *Fleet) AddMany(count int) {
	for i := 1; i <= count; i++ {
		f.Add(fmt.Sprintf("i%d", i))
	}
}

// Node returns the newest process of the instance.
func (f *Fleet) Node(id string) *Node { return f.nodes[id] }

// IDs returns all instances, dead ones included, in order of their first start.
func (f *Fleet) IDs() []string { return f.ids }

// Kill ends the process immediately.
func (n *Node) Kill() { n.dead = true }

// Dead reports whether the process has ended.
func (n *Node) Dead() bool { return n.dead }

// Leave starts a graceful shutdown.
func (n *Node) Leave() { n.run(func() { n.stepLease(lease.Leave{}) }) }

// Pause stops the process until Resume.
func (n *Node) Pause() { n.paused = true }

// Resume continues a paused process. It first calls interrupted, which stands for the
// code that was running at the pause, and then handles the messages that arrived in
// the meantime.
func (n *Node) Resume(interrupted func()) {
	if n.dead || !n.paused {
		return
	}
	n.paused = false
	interrupted()
	messages := n.deferred
	n.deferred = nil
	for _, f := range messages {
		n.run(f)
	}
}

// Status returns the lease of the instance.
func (n *Node) Status() lease.Status { return n.lease.Status() }

// UnitsInUse returns the units that the instance may use at this moment.
func (n *Node) UnitsInUse() uint32 {
	if n.dead || !n.lease.Valid(n.now()) {
		return 0
	}
	return n.lease.Status().Units
}

// alive returns the instances whose newest process runs.
func (f *Fleet) alive() []string {
	ids := []string{}
	for _, id := range f.ids {
		if !f.nodes[id].dead {
			ids = append(ids, id)
		}
	}
	return ids
}

// nextEpoch returns a unique epoch for a new process.
func (f *Fleet) nextEpoch() lease.Epoch {
	f.epochs++
	return lease.NewEpoch(simulationStart.Add(time.Duration(f.epochs) * time.Millisecond))
}

// send delivers a message to the newest process of the instance.
func (f *Fleet) send(from *Node, to string, deliver func(*Node)) {
	f.Messages++
	if target := f.nodes[to]; target != nil {
		f.deliver(from, target, func() { deliver(target) })
	}
}

// reply delivers a response to the process that sent the request.
func (f *Fleet) reply(from, to *Node, deliver func()) {
	f.Messages++
	f.deliver(from, to, deliver)
}

// deliver drops, delays or delivers one message.
func (f *Fleet) deliver(from, to *Node, deliver func()) {
	if f.IsPartitioned(from.ID, to.ID) || f.Sim.WithProbability(f.MessageLossProbability) {
		return
	}
	delay := f.Sim.Between(500*time.Microsecond, 1500*time.Microsecond)
	if f.Sim.WithProbability(f.MessageDelayProbability) {
		delay = f.Sim.Between(delay, f.MaxMessageDelay)
	}
	f.Sim.After(delay, func() { to.run(deliver) })
}

// onRowRemoved records the retirement of an epoch: the removal of its row by a
// process other than its holder.
func (f *Fleet) onRowRemoved(caller, key string) {
	if epochStartOf(caller) != epochStartOf(key) {
		f.retiredKeys[key] = true
	}
}

// epochStartOf returns the start time in the epoch at the end of a row's key, which
// identifies the process.
func epochStartOf(key string) uint64 {
	e, _ := strconv.ParseUint(key[strings.LastIndexByte(key, '/')+1:], 10, 64)
	return lease.Epoch(e).Start()
}

// IsRetired reports whether the current epoch of the process has been retired.
func (n *Node) IsRetired() bool {
	return n.fleet.retiredKeys[lease.HolderKey(n.ID, n.lease.Status().Epoch)]
}

// UnitsInUse returns the units in use by all processes, paused ones included.
func (f *Fleet) UnitsInUse() (total uint64) {
	for _, n := range f.processes {
		total += uint64(n.UnitsInUse())
	}
	return total
}

// Retirements returns the number of retired epochs.
func (f *Fleet) Retirements() int { return len(f.retiredKeys) }

func (f *Fleet) onAdmitted(n *Node, limit string) { f.OnAdmit(n, limit) }
