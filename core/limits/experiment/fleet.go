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

// Fleet is a simulated cell of instances with a network and a store.
type Fleet struct {
	Sim    *Sim
	Store  *Store
	Limits []bundle.Limit
	// Witnesses is the number of witnesses per lease; 0 renews in the store only.
	Witnesses int
	// Loans lets instances lend to one another.
	Loans bool
	// Detached leaves out lease, heartbeats and store.
	Detached bool
	// OwnUnits says that the scheme sets the units of the buckets, not the lease.
	OwnUnits bool
	// ListAbsent reports dead instances as absent from the platform's list.
	ListAbsent bool
	// LoseMessage is the probability that a message is lost, and DelayMessage
	// that it takes up to DelayBy.
	LoseMessage, DelayMessage float64
	DelayBy                   time.Duration
	// MaxDrift bounds how much faster or slower an instance's clock runs.
	MaxDrift float64
	// Messages counts the messages sent between instances.
	Messages int
	// Cut reports whether a message between two instances is dropped.
	Cut func(from, to string) bool
	// OnAdmit is called at each admission.
	OnAdmit func(n *Node, limit string)

	order []string
	nodes map[string]*Node
	// processes holds every process that was ever started.
	processes []*Node
	// retired holds the rows that another process removed.
	retired map[string]bool
	epochs  uint64
}

// NewFleet returns a fleet without instances.
func NewFleet(sim *Sim, limits []bundle.Limit) *Fleet {
	f := &Fleet{
		Sim: sim, Store: NewStore(sim), Limits: limits, Witnesses: lease.MaxWitnesses, Loans: true,
		Cut: func(string, string) bool { return false }, OnAdmit: func(*Node, string) {},
		nodes: map[string]*Node{}, retired: map[string]bool{},
	}
	f.Store.OnRemove = f.removed
	return f
}

// Add starts an instance, or a new process of an instance that has died.
func (f *Fleet) Add(id string) *Node {
	n := &Node{
		fleet: f, ID: id, buckets: map[string]*limits.Bucket{}, heard: map[string]heardFrom{}, asked: map[string]time.Time{},
		waiting: map[waitKey]func(bool){}, settle: map[string]bool{},
		drift: f.MaxDrift * (2*f.Sim.Rand.Float64() - 1),
	}
	if !slices.Contains(f.order, id) {
		f.order = append(f.order, id)
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

// IDs returns all instances, dead ones included, in order of their start.
func (f *Fleet) IDs() []string { return f.order }

// Kill ends the process at once.
func (n *Node) Kill() { n.dead = true }

// Dead reports whether the process has ended.
func (n *Node) Dead() bool { return n.dead }

// Leave starts the clean departure.
func (n *Node) Leave() { n.run(func() { n.step(lease.Leave{}) }) }

// Pause stops the process until Resume.
func (n *Node) Pause() { n.paused = true }

// Resume lets the process go on: first it runs wake, which stands for code that
// was stopped in the middle, and only then handles what arrived meanwhile.
func (n *Node) Resume(wake func()) {
	if n.dead || !n.paused {
		return
	}
	n.paused = false
	wake()
	inbox := n.inbox
	n.inbox = nil
	for _, f := range inbox {
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

func (f *Fleet) alive() []string {
	ids := []string{}
	for _, id := range f.order {
		if !f.nodes[id].dead {
			ids = append(ids, id)
		}
	}
	return ids
}

// nextEpoch gives each process an epoch of its own.
func (f *Fleet) nextEpoch() lease.Epoch {
	f.epochs++
	return lease.NewEpoch(epochStart.Add(time.Duration(f.epochs) * time.Millisecond))
}

// send delivers a message to the newest process of the instance.
func (f *Fleet) send(from *Node, to string, deliver func(*Node)) {
	f.Messages++
	if target := f.nodes[to]; target != nil {
		f.deliver(from, target, func() { deliver(target) })
	}
}

// reply delivers a message to the process that asked.
func (f *Fleet) reply(from, to *Node, deliver func()) {
	f.Messages++
	f.deliver(from, to, deliver)
}

func (f *Fleet) deliver(from, to *Node, deliver func()) {
	if f.Cut(from.ID, to.ID) || f.Sim.Chance(f.LoseMessage) {
		return
	}
	delay := f.Sim.Between(500*time.Microsecond, 1500*time.Microsecond)
	if f.Sim.Chance(f.DelayMessage) {
		delay = f.Sim.Between(delay, f.DelayBy)
	}
	f.Sim.After(delay, func() { to.run(deliver) })
}

// removed notes a retirement: a removal by another process than the holder.
func (f *Fleet) removed(caller, key string) {
	if startOf(caller) != startOf(key) {
		f.retired[key] = true
	}
}

func startOf(key string) uint64 {
	e, _ := strconv.ParseUint(key[strings.LastIndexByte(key, '/')+1:], 10, 64)
	return lease.Epoch(e).Start()
}

// IsRetired reports whether the epoch under which the process acts was retired.
func (n *Node) IsRetired() bool {
	return n.fleet.retired[lease.HolderKey(n.ID, n.lease.Status().Epoch)]
}

// UnitsInUse returns the units in use by all processes, paused ones included.
func (f *Fleet) UnitsInUse() (total uint64) {
	for _, n := range f.processes {
		total += uint64(n.UnitsInUse())
	}
	return total
}

// Retirements returns the number of epochs that were retired.
func (f *Fleet) Retirements() int { return len(f.retired) }

func (f *Fleet) admitted(n *Node, limit string) { f.OnAdmit(n, limit) }
