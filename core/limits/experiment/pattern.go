package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

const (
	// instances is the size of the fleet, as at the present users.
	instances = 7
	// warmUp lets the fleet join and the buckets fill before demand begins.
	warmUp = 30 * time.Second
	// killAt and outageAt are times after the warm-up.
	killAt, outageAt = 20 * time.Second, 10 * time.Second
	outage           = 5 * time.Minute
	// load is the offered part of each workspace's rate. It leaves less headroom
	// than the share of one instance of seven, so a killed one is felt.
	load = 0.8
)

// Workspaces are the limits of the experiment: a few large ones, as at the
// present users, and one whose share on an instance is below one request.
var Workspaces = []bundle.Limit{
	{Name: "large-1", Rate: 300, Burst: 150}, {Name: "large-2", Rate: 200, Burst: 100},
	{Name: "mid-1", Rate: 50, Burst: 50}, {Name: "mid-2", Rate: 50, Burst: 25},
	{Name: "small-1", Rate: 20, Burst: 20}, {Name: "small-2", Rate: 20, Burst: 10},
	{Name: "small-3", Rate: 10, Burst: 10}, {Name: "tiny", Rate: 4, Burst: 5},
}

// Pattern is a demand on the fleet, and a fault.
type Pattern struct {
	Name   string
	Length time.Duration
	// On returns the instance that gets the next request of the workspace.
	On func(sim *Sim, workspace int, elapsed time.Duration) int
	// Factor multiplies the offered rate of a workspace; nil means 1.
	Factor func(workspace int) float64
	// Fault is run at the start of the demand; nil for none. Variants is the
	// number of runs with another variant each, of which the result is the sum.
	Fault    func(sim *Sim, s Scheme, variant int)
	Variants int
}

func onOne(_ *Sim, workspace int, _ time.Duration) int { return workspace % instances }

func onAny(sim *Sim, _ int, _ time.Duration) int { return sim.Rand.IntN(instances) }

func onMoving(_ *Sim, workspace int, elapsed time.Duration) int {
	return (workspace + int(elapsed/(5*time.Second))) % instances
}

// Patterns are the demands of the experiment.
var Patterns = []Pattern{
	{Name: "even demand, no fault", Length: time.Minute, On: onAny},
	{Name: "demand on one instance", Length: time.Minute, On: onOne},
	{Name: "demand moves every 5 s", Length: time.Minute, On: onMoving},
	{Name: "large-1 at 5 times its rate", Length: time.Minute, On: onAny, Factor: func(w int) float64 {
		if w == 0 {
			return 5 / load
		}
		return 1
	}},
	{Name: "one instance killed (each in turn)", Length: time.Minute, On: onAny, Variants: instances, Fault: func(sim *Sim, s Scheme, variant int) {
		sim.After(killAt, func() { s.Kill(fmt.Sprintf("i%d", variant+1)) })
	}},
	{Name: "store out, and one instance killed", Length: time.Minute, On: onAny, Variants: instances, Fault: func(sim *Sim, s Scheme, variant int) {
		sim.After(outageAt, func() { s.Fleet().Store.Down = true })
		sim.After(killAt, func() { s.Kill(fmt.Sprintf("i%d", variant+1)) })
	}},
	{Name: "store out for 5 min, demand moves", Length: outage + 40*time.Second, On: onMoving, Fault: func(sim *Sim, s Scheme, _ int) {
		sim.After(outageAt, func() { s.Fleet().Store.Down = true })
		sim.After(outageAt+outage, func() { s.Fleet().Store.Down = false })
	}},
}

// Result is one cell of the comparison.
type Result struct {
	Pattern, Scheme string
	// Offered and Admitted count requests; Ideal those that one bucket for the
	// whole fleet admits at once.
	Offered, Admitted, Ideal int
	// Within counts the requests of workspaces that stay within their rate and
	// that the ideal bucket admits, Wrongful those of them that were refused.
	Within, Wrongful int
	// Hot and HotIdeal are the admissions of the workspace above its rate.
	Hot, HotIdeal int
	// Violations counts admissions above burst + rate * t.
	Violations int
	// Messages, Writes and Reads are per second of the demand.
	Messages, Writes, Reads float64
}

// ideal is one token bucket for the whole fleet.
type ideal struct {
	tokens float64
	at     time.Time
}

func (b *ideal) take(now time.Time, l bundle.Limit) bool {
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

// Run simulates one scheme under one pattern. The arrivals depend on the seed
// and the pattern only, so that every scheme sees the same demand.
func Run(seed uint64, p Pattern, make func(*Sim, []bundle.Limit, int) Scheme) Result {
	count := max(1, p.Variants)
	var sum Result
	for v := range count {
		sum.add(runVariant(seed+uint64(v)*1000, p, make, v), 1/float64(count))
	}
	return sum
}

// add sums the counts and averages the rates.
func (r *Result) add(o Result, weight float64) {
	r.Pattern, r.Scheme = o.Pattern, o.Scheme
	r.Offered += o.Offered
	r.Admitted += o.Admitted
	r.Ideal += o.Ideal
	r.Within += o.Within
	r.Wrongful += o.Wrongful
	r.Hot += o.Hot
	r.HotIdeal += o.HotIdeal
	r.Violations += o.Violations
	r.Messages += o.Messages * weight
	r.Writes += o.Writes * weight
	r.Reads += o.Reads * weight
}

func runVariant(seed uint64, p Pattern, make func(*Sim, []bundle.Limit, int) Scheme, variant int) Result {
	sim, demand := NewSim(seed), NewSim(seed+1)
	s := make(sim, Workspaces, instances)
	f := s.Fleet()
	r := Result{Pattern: p.Name, Scheme: s.Name()}
	ceilings := map[string]*Ceiling{}
	for _, l := range Workspaces {
		ceilings[l.Name] = NewCeiling(l)
	}
	f.OnAdmit = func(_ *Node, limit string) { ceilings[limit].Admit(sim.Now()) }
	sim.RunUntil(warmUp)
	messages, writes, reads := f.Messages, f.Store.Writes, f.Store.Reads
	if p.Fault != nil {
		p.Fault(sim, s, variant)
	}
	for w := range Workspaces {
		offer(sim, demand, s, p, w, &r)
	}
	sim.RunUntil(warmUp + p.Length + time.Second)
	for _, c := range ceilings {
		r.Violations += c.Violations
	}
	r.Messages = float64(f.Messages-messages) / p.Length.Seconds()
	r.Writes = float64(f.Store.Writes-writes) / p.Length.Seconds()
	r.Reads = float64(f.Store.Reads-reads) / p.Length.Seconds()
	return r
}

// offer sends requests of one workspace with exponentially distributed gaps. A
// client of a dead instance turns to the next one.
func offer(sim, demand *Sim, s Scheme, p Pattern, w int, r *Result) {
	l, factor, best := Workspaces[w], 1.0, &ideal{}
	if p.Factor != nil {
		factor = p.Factor(w)
	}
	for at := time.Duration(0); ; {
		at += time.Duration(-math.Log(1-demand.Rand.Float64()) / (l.Rate * load * factor) * float64(time.Second))
		if at >= p.Length {
			return
		}
		target := p.On(demand, w, at)
		sim.After(at, func() {
			for s.Fleet().Node(fmt.Sprintf("i%d", target+1)).Dead() {
				target = (target + 1) % instances
			}
			within, hot := best.take(sim.Now(), l), factor != 1
			r.count(within, hot)
			s.Request(fmt.Sprintf("i%d", target+1), l, func(ok bool) { r.answer(within, hot, ok) })
		})
	}
}

func (r *Result) count(within, hot bool) {
	r.Offered++
	switch {
	case within && hot:
		r.Ideal++
		r.HotIdeal++
	case within:
		r.Ideal++
		r.Within++
	}
}

func (r *Result) answer(within, hot, ok bool) {
	switch {
	case ok && hot:
		r.Admitted++
		r.Hot++
	case ok:
		r.Admitted++
	case within && !hot:
		r.Wrongful++
	}
}
