package experiment

import (
	"fmt"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/lease"
	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"
)

// Checks the safety properties of docs/design.md, section 6, under random faults: no
// more admissions than burst + rate * t, at most 65,536 units in use, no units lost
// from or added to the store, and no admission under a retired epoch.
var _ = Describe("A fleet under faults", func() {
	It("stays within the limits, conserves the units and fences retired epochs", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) { newFleetTrial(t).run() })
	})
})

// trialDuration is long enough for several retirements and rejoins.
const trialDuration = 40 * time.Second

// fleetTrial is one run of a fleet with random faults.
type fleetTrial struct {
	t        *rapid.T
	sim      *Sim
	fleet    *Fleet
	checkers map[string]*LimitChecker
	// checkedWrites is the store's write count at the last check of its units.
	checkedWrites int
}

func newFleetTrial(t *rapid.T) *fleetTrial {
	sim := NewSim(rapid.Uint64().Draw(t, "seed"))
	limits := []bundle.Limit{
		{Name: "large", Rate: 100, Burst: 60},
		{Name: "small", Rate: 1, Burst: 1},
		{Name: "moving", Rate: 40, Burst: 200},
	}
	tr := &fleetTrial{t: t, sim: sim, fleet: NewFleet(sim, limits), checkers: map[string]*LimitChecker{}}
	f := tr.fleet
	f.MaxDrift = rapid.SampledFrom([]float64{0, 0.04}).Draw(t, "drift")
	f.MessageLossProbability = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "lost messages")
	f.MessageDelayProbability = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "delayed messages")
	f.MaxMessageDelay = 8 * time.Second
	f.Store.LostResponseProbability = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lost responses")
	f.Store.LateApplyProbability = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late transactions")
	f.PlatformListsLive = rapid.Bool().Draw(t, "platform list")
	for _, l := range limits {
		l.Rate *= 1 + f.MaxDrift
		tr.checkers[l.Name] = NewLimitChecker(l)
	}
	f.OnAdmit = tr.checkAdmission
	return tr
}

func (tr *fleetTrial) checkAdmission(n *Node, limit string) {
	checker := tr.checkers[limit]
	checker.RecordAdmission(tr.sim.Now())
	if checker.Violations > 0 {
		tr.t.Fatalf("%v: %s admits a request of %q above its limit: level %.6f", tr.sim.Elapsed(), n.ID, limit, checker.MaxLevel)
	}
	if n.IsRetired() {
		tr.t.Fatalf("%v: %s admits a request under the retired epoch %d", tr.sim.Elapsed(), n.ID, n.Status().Epoch)
	}
}

// checkUnits checks the units in use and, after each write, those in the store.
func (tr *fleetTrial) checkUnits() {
	if used := tr.fleet.UnitsInUse(); used > lease.TotalUnits {
		tr.t.Fatalf("%v: %d units in use", tr.sim.Elapsed(), used)
	}
	if tr.fleet.Store.Writes == tr.checkedWrites {
		return
	}
	tr.checkedWrites = tr.fleet.Store.Writes
	if kept := tr.fleet.Store.Units(); kept != lease.TotalUnits {
		tr.t.Fatalf("%v: the store holds %d units", tr.sim.Elapsed(), kept)
	}
}

func (tr *fleetTrial) run() {
	count := rapid.IntRange(2, 7).Draw(tr.t, "instances")
	for i := 1; i <= count; i++ {
		id := fmt.Sprintf("i%d", i)
		tr.sim.After(tr.sim.Between(0, 3*time.Second), func() { tr.fleet.Add(id); tr.offerRequests(id) })
	}
	faults := rapid.IntRange(0, 8).Draw(tr.t, "faults")
	for i := range faults {
		tr.scheduleFault(fmt.Sprintf("fault %d ", i), count)
	}
	tr.sim.Every(0, 5*time.Millisecond, func() bool { tr.checkUnits(); return true })
	tr.sim.RunUntil(trialDuration)
}

// offerRequests sends requests above the rate of each limit, occasionally in bursts.
func (tr *fleetTrial) offerRequests(id string) {
	for _, l := range tr.fleet.Limits {
		period := time.Duration(float64(time.Second) / (l.Rate + 1))
		tr.sim.Every(0, period, func() bool {
			burst := 1
			if tr.sim.WithProbability(0.02) {
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

// hasMovingDemand reports whether the demand, which moves to another instance every
// 2 s, is on this one.
func (tr *fleetTrial) hasMovingDemand(id string) bool {
	ids := tr.fleet.IDs()
	return ids[int(tr.sim.Elapsed()/(2*time.Second))%len(ids)] == id
}

// scheduleFault draws one fault and the times at which it begins and ends. A "zombie"
// is a paused process that resumes after a new process of its instance has started.
func (tr *fleetTrial) scheduleFault(name string, count int) {
	kind := rapid.SampledFrom([]string{"kill", "restart", "zombie", "pause", "leave", "store", "partition"}).Draw(tr.t, name+"kind")
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
			end(func() { tr.fleet.Add(id); tr.resumeWithRequests(n) })
		case "pause":
			n.Pause()
			end(func() { tr.resumeWithRequests(n) })
		case "leave":
			n.Leave()
		case "store":
			tr.fleet.Store.IsDown = true
			end(func() { tr.fleet.Store.IsDown = false })
		case "partition":
			tr.fleet.IsPartitioned = func(from, to string) bool { return from == id || to == id }
			end(func() { tr.fleet.IsPartitioned = func(string, string) bool { return false } })
		}
	})
}

// resumeWithRequests resumes a process, which serves requests with its old state
// before it handles any new event.
func (tr *fleetTrial) resumeWithRequests(n *Node) {
	n.Resume(func() {
		for _, l := range tr.fleet.Limits {
			for range int(l.Burst) {
				n.Request(l, func(bool) {})
			}
			n.settleNow(l)
		}
	})
}
