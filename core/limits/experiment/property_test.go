package experiment

import (
	"fmt"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/lease"
	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"
)

// The properties of section 6 under faults that a seed and a schedule decide.
// Each guards against one loss of the ceiling: more admitted than burst +
// rate * t, more than 65,536 units in use, units lost from or added to the
// store, and an admission by an epoch that was retired.
var _ = Describe("A fleet under faults", func() {
	It("keeps the ceiling, the units and the fences", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) { newTrial(t).run() })
	})
})

// trialLength is long enough for several retirements and rejoins.
const trialLength = 40 * time.Second

type trial struct {
	t       *rapid.T
	sim     *Sim
	fleet   *Fleet
	ceiling map[string]*Ceiling
	// writes is the number of writes up to the last look at the store.
	writes int
}

func newTrial(t *rapid.T) *trial {
	sim := NewSim(rapid.Uint64().Draw(t, "seed"))
	limits := []bundle.Limit{
		{Name: "large", Rate: 100, Burst: 60},
		{Name: "small", Rate: 1, Burst: 1},
		{Name: "moving", Rate: 40, Burst: 200},
	}
	tr := &trial{t: t, sim: sim, fleet: NewFleet(sim, limits), ceiling: map[string]*Ceiling{}}
	f := tr.fleet
	f.MaxDrift = rapid.SampledFrom([]float64{0, 0.04}).Draw(t, "drift")
	f.LoseMessage = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "lost messages")
	f.DelayMessage = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "delayed messages")
	f.DelayBy = 8 * time.Second
	f.Store.LoseAnswer = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lost answers")
	f.Store.Late = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late transactions")
	f.ListAbsent = rapid.Bool().Draw(t, "platform list")
	for _, l := range limits {
		l.Rate *= 1 + f.MaxDrift
		tr.ceiling[l.Name] = NewCeiling(l)
	}
	f.OnAdmit = tr.admitted
	return tr
}

func (tr *trial) admitted(n *Node, limit string) {
	c := tr.ceiling[limit]
	c.Admit(tr.sim.Now())
	if c.Violations > 0 {
		tr.t.Fatalf("%v: %s admits %q above the ceiling: %.6f", tr.sim.Elapsed(), n.ID, limit, c.Worst)
	}
	if n.IsRetired() {
		tr.t.Fatalf("%v: %s admits with retired epoch %d", tr.sim.Elapsed(), n.ID, n.Status().Epoch)
	}
}

func (tr *trial) check() {
	if used := tr.fleet.UnitsInUse(); used > lease.TotalUnits {
		tr.t.Fatalf("%v: %d units in use", tr.sim.Elapsed(), used)
	}
	if tr.fleet.Store.Writes == tr.writes {
		return
	}
	tr.writes = tr.fleet.Store.Writes
	if kept := tr.fleet.Store.Units(); kept != lease.TotalUnits {
		tr.t.Fatalf("%v: the store holds %d units", tr.sim.Elapsed(), kept)
	}
}

func (tr *trial) run() {
	count := rapid.IntRange(2, 7).Draw(tr.t, "instances")
	for i := 1; i <= count; i++ {
		id := fmt.Sprintf("i%d", i)
		tr.sim.After(tr.sim.Between(0, 3*time.Second), func() { tr.fleet.Add(id); tr.demand(id) })
	}
	faults := rapid.IntRange(0, 8).Draw(tr.t, "faults")
	for i := range faults {
		tr.fault(fmt.Sprintf("fault %d ", i), count)
	}
	tr.sim.Every(0, 5*time.Millisecond, func() bool { tr.check(); return true })
	tr.sim.RunUntil(trialLength)
}

// demand offers each limit more than its rate, now and then in bursts.
func (tr *trial) demand(id string) {
	for _, l := range tr.fleet.Limits {
		period := time.Duration(float64(time.Second) / (l.Rate + 1))
		tr.sim.Every(0, period, func() bool {
			burst := 1
			if tr.sim.Chance(0.02) {
				burst = 1 + int(l.Burst)
			}
			if n := tr.fleet.Node(id); !n.paused && (l.Name != "moving" || tr.hasMovingDemand(id)) {
				for range burst {
					n.Request(l, func(bool) {})
				}
			}
			return true
		})
	}
}

// hasMovingDemand puts the demand on another instance every 2 s.
func (tr *trial) hasMovingDemand(id string) bool {
	ids := tr.fleet.IDs()
	return ids[int(tr.sim.Elapsed()/(2*time.Second))%len(ids)] == id
}

// fault draws one fault and the time at which it begins and ends.
func (tr *trial) fault(name string, count int) {
	kind := rapid.SampledFrom([]string{"kill", "restart", "zombie", "pause", "leave", "store", "cut"}).Draw(tr.t, name+"kind")
	id := fmt.Sprintf("i%d", rapid.IntRange(1, count).Draw(tr.t, name+"instance"))
	at := time.Duration(rapid.IntRange(3, 25).Draw(tr.t, name+"at s")) * time.Second
	length := time.Duration(rapid.IntRange(100, 12_000).Draw(tr.t, name+"length ms")) * time.Millisecond
	end := func(f func()) { tr.sim.After(length, f) }
	tr.sim.After(at, func() {
		n := tr.fleet.Node(id)
		switch kind {
		case "kill":
			n.Kill()
		case "restart":
			n.Kill()
			end(func() { tr.fleet.Add(id) })
		case "zombie":
			n.Pause()
			end(func() { tr.fleet.Add(id); tr.wake(n) })
		case "pause":
			n.Pause()
			end(func() { tr.wake(n) })
		case "leave":
			n.Leave()
		case "store":
			tr.fleet.Store.Down = true
			end(func() { tr.fleet.Store.Down = false })
		case "cut":
			tr.fleet.Cut = func(from, to string) bool { return from == id || to == id }
			end(func() { tr.fleet.Cut = func(string, string) bool { return false } })
		}
	})
}

// wake resumes an instance, which acts at once on what it believed before.
func (tr *trial) wake(n *Node) {
	n.Resume(func() {
		for _, l := range tr.fleet.Limits {
			for range int(l.Burst) {
				n.Request(l, func(bool) {})
			}
			n.settleNow(l)
		}
	})
}
