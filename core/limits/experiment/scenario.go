package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

const (
	// instanceCount is the number of instances, as in the present fleets.
	instanceCount = 7
	// warmUp is the time for instances to join and buckets to fill before demand
	// begins.
	warmUp = 30 * time.Second
	// killAt and outageAt are the times of the faults after the warm-up.
	killAt, outageAt = 20 * time.Second, 10 * time.Second
	outageLength     = 5 * time.Minute
	// offeredLoad is the demand as a fraction of each workspace's rate. The headroom
	// is small enough for the loss of one of seven instances to have an effect.
	offeredLoad = 0.8
)

// Workspaces are the limits of the experiment: a few large ones, as in the present
// fleets, and one whose share per instance is below one request.
var Workspaces = []bundle.Limit{
	{Name: "large-1", Rate: 300, Burst: 150}, {Name: "large-2", Rate: 200, Burst: 100},
	{Name: "mid-1", Rate: 50, Burst: 50}, {Name: "mid-2", Rate: 50, Burst: 25},
	{Name: "small-1", Rate: 20, Burst: 20}, {Name: "small-2", Rate: 20, Burst: 10},
	{Name: "small-3", Rate: 10, Burst: 10}, {Name: "tiny", Rate: 4, Burst: 5},
}

// Scenario is a workload for the fleet with an optional fault.
type Scenario struct {
	Name   string
	Length time.Duration
	// Target returns the instance that gets the next request of the workspace.
	Target func(sim *Sim, workspace int, elapsed time.Duration) int
	// RateFactor returns the factor for the offered rate of a workspace; nil means 1.
	RateFactor func(workspace int) float64
	// Fault is called when the demand starts and schedules the faults; nil for none.
	// The scenario runs once for each of Variants variants, and the results are
	// added up.
	Fault    func(sim *Sim, s Scheme, variant int)
	Variants int
}

// targetFixed sends all requests of a workspace to the same instance.
func targetFixed(_ *Sim, workspace int, _ time.Duration) int { return workspace % instanceCount }

// targetRandom sends each request to a random instance.
func targetRandom(sim *Sim, _ int, _ time.Duration) int { return sim.Rand.IntN(instanceCount) }

// targetMoving sends the requests of a workspace to another instance every 5 s.
func targetMoving(_ *Sim, workspace int, elapsed time.Duration) int {
	return (workspace + int(elapsed/(5*time.Second))) % instanceCount
}

// Scenarios lists the workloads and faults under which the schemes are compared.
var Scenarios = []Scenario{
	{Name: "even demand, no fault", Length: time.Minute, Target: targetRandom},
	{Name: "demand on one instance", Length: time.Minute, Target: targetFixed},
	{Name: "demand moves every 5 s", Length: time.Minute, Target: targetMoving},
	{Name: "large-1 at 5 times its rate", Length: time.Minute, Target: targetRandom, RateFactor: func(w int) float64 {
		if w == 0 {
			return 5 / offeredLoad
		}
		return 1
	}},
	{Name: "one instance killed (each in turn)", Length: time.Minute, Target: targetRandom, Variants: instanceCount, Fault: func(sim *Sim, s Scheme, variant int) {
		sim.After(killAt, func() { s.Kill(fmt.Sprintf("i%d", variant+1)) })
	}},
	{Name: "store out, and one instance killed", Length: time.Minute, Target: targetRandom, Variants: instanceCount, Fault: func(sim *Sim, s Scheme, variant int) {
		sim.After(outageAt, func() { s.Fleet().Store.IsDown = true })
		sim.After(killAt, func() { s.Kill(fmt.Sprintf("i%d", variant+1)) })
	}},
	{Name: "store out for 5 min, demand moves", Length: outageLength + 40*time.Second, Target: targetMoving, Fault: func(sim *Sim, s Scheme, _ int) {
		sim.After(outageAt, func() { s.Fleet().Store.IsDown = true })
		sim.After(outageAt+outageLength, func() { s.Fleet().Store.IsDown = false })
	}},
}

// Result is the result of one scheme in one scenario.
type Result struct {
	Scenario, Scheme string
	// Offered and Admitted count requests; Ideal counts those that a single bucket
	// for the whole fleet would admit without a wait.
	Offered, Admitted, Ideal int
	// WithinRate counts the requests of workspaces within their rate that the ideal
	// bucket admits, and WronglyRefused those of them that were refused.
	WithinRate, WronglyRefused int
	// OverloadAdmitted and OverloadIdeal count the admissions of the workspace that
	// exceeds its rate, by the scheme and by the ideal bucket.
	OverloadAdmitted, OverloadIdeal int
	// Violations counts admissions above burst + rate * t.
	Violations int
	// Messages, Writes and Reads are per second of the scenario.
	Messages, Writes, Reads float64
}

// idealBucket is a single token bucket for the whole fleet, the reference for the
// schemes.
type idealBucket struct {
	tokens float64
	at     time.Time
}

func (b *idealBucket) take(now time.Time, l bundle.Limit) bool {
	if b.at.IsZero() {
		b.tokens = l.Burst
	} else {
		b.tokens = min(l.Burst, b.tokens+l.Rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Run simulates one scheme in one scenario. The arrivals depend only on the seed and
// the scenario, so that every scheme sees the same demand.
func Run(seed uint64, scenario Scenario, newScheme func(*Sim, []bundle.Limit, int) Scheme) Result {
	count := max(1, scenario.Variants)
	var sum Result
	for v := range count {
		sum.add(runVariant(seed+uint64(v)*1000, scenario, newScheme, v), 1/float64(count))
	}
	return sum
}

// add adds the counts of another variant and averages the rates.
func (r *Result) add(o Result, weight float64) {
	r.Scenario, r.Scheme = o.Scenario, o.Scheme
	r.Offered += o.Offered
	r.Admitted += o.Admitted
	r.Ideal += o.Ideal
	r.WithinRate += o.WithinRate
	r.WronglyRefused += o.WronglyRefused
	r.OverloadAdmitted += o.OverloadAdmitted
	r.OverloadIdeal += o.OverloadIdeal
	r.Violations += o.Violations
	r.Messages += o.Messages * weight
	r.Writes += o.Writes * weight
	r.Reads += o.Reads * weight
}

func runVariant(seed uint64, scenario Scenario, newScheme func(*Sim, []bundle.Limit, int) Scheme, variant int) Result {
	sim, demand := NewSim(seed), NewSim(seed+1)
	s := newScheme(sim, Workspaces, instanceCount)
	f := s.Fleet()
	r := Result{Scenario: scenario.Name, Scheme: s.Name()}
	checkers := map[string]*LimitChecker{}
	for _, l := range Workspaces {
		checkers[l.Name] = NewLimitChecker(l)
	}
	f.OnAdmit = func(_ *Node, limit string) { checkers[limit].RecordAdmission(sim.Now()) }
	sim.RunUntil(warmUp)
	messages, writes, reads := f.Messages, f.Store.Writes, f.Store.Reads
	if scenario.Fault != nil {
		scenario.Fault(sim, s, variant)
	}
	for w := range Workspaces {
		offer(sim, demand, s, scenario, w, &r)
	}
	sim.RunUntil(warmUp + scenario.Length + time.Second)
	for _, c := range checkers {
		r.Violations += c.Violations
	}
	r.Messages = float64(f.Messages-messages) / scenario.Length.Seconds()
	r.Writes = float64(f.Store.Writes-writes) / scenario.Length.Seconds()
	r.Reads = float64(f.Store.Reads-reads) / scenario.Length.Seconds()
	return r
}

// offer schedules the requests of one workspace with exponentially distributed gaps.
// Clients of a dead instance use the next live one.
func offer(sim, demand *Sim, s Scheme, scenario Scenario, w int, r *Result) {
	l, factor, ideal := Workspaces[w], 1.0, &idealBucket{}
	if scenario.RateFactor != nil {
		factor = scenario.RateFactor(w)
	}
	for at := time.Duration(0); ; {
		at += time.Duration(-math.Log(1-demand.Rand.Float64()) / (l.Rate * offeredLoad * factor) * float64(time.Second))
		if at >= scenario.Length {
			return
		}
		target := scenario.Target(demand, w, at)
		sim.After(at, func() {
			for s.Fleet().Node(fmt.Sprintf("i%d", target+1)).Dead() {
				target = (target + 1) % instanceCount
			}
			idealAdmits, overloaded := ideal.take(sim.Now(), l), factor != 1
			r.countOffered(idealAdmits, overloaded)
			s.Request(fmt.Sprintf("i%d", target+1), l, func(ok bool) { r.countResult(idealAdmits, overloaded, ok) })
		})
	}
}

// countOffered counts a request; idealAdmits is the decision of the ideal bucket.
func (r *Result) countOffered(idealAdmits, overloaded bool) {
	r.Offered++
	switch {
	case idealAdmits && overloaded:
		r.Ideal++
		r.OverloadIdeal++
	case idealAdmits:
		r.Ideal++
		r.WithinRate++
	}
}

// countResult counts the scheme's decision on a request.
func (r *Result) countResult(idealAdmits, overloaded, ok bool) {
	switch {
	case ok && overloaded:
		r.Admitted++
		r.OverloadAdmitted++
	case ok:
		r.Admitted++
	case idealAdmits && !overloaded:
		r.WronglyRefused++
	}
}
