package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberrysill/mulberrysill/core/quota"
)

// A workspace within its rate must not be refused because its limit is divided among
// many instances of which only a few have demand.
func TestDemandOnFewOfManyInstances(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(68, quota.Limit{Rate: 25, Burst: 25})
	rates := make([]float64, 68)
	rates[3], rates[40] = 12, 4
	f.run(3*time.Second, rates)
	f.refused = 0
	f.run(20*time.Second, rates)
	g.Expect(f.refused).To(BeZero())
}

// The first requests of a workspace must not be refused by instances whose share of
// the full bucket is below one operation.
func TestFirstOperationsOnFewOfManyInstances(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(68, quota.Limit{Rate: 25, Burst: 25})
	rates := make([]float64, 68)
	f.run(2*time.Second, rates)
	rates[3], rates[40] = 12, 4
	f.run(3*time.Second, rates)
	g.Expect(f.refused).To(BeZero())
}

// The platform counts admissions over all instances within a window. What many
// overloaded instances admit in excess between two reports must therefore be
// compensated within that window.
func TestOverloadOnManyInstancesStaysWithinLimit(t *testing.T) {
	for _, limit := range []quota.Limit{{Rate: 25, Burst: 25}, {Rate: 200, Burst: 200}} {
		for _, total := range []float64{300, 2000} {
			g := NewWithT(t)
			f := newFleet(68, limit)
			f.run(10*time.Second, evenRates(68, total))
			f.run(4*time.Second, evenRates(68, limit.Rate/4))
			f.run(10*time.Second, evenRates(68, total))
			g.Expect(f.maxAdmittedInWindow()).To(BeNumerically("<=", maxToleratedInWindow(limit)), "rate %v, demand %v", limit.Rate, total)
		}
	}
}

// An instance that gets the others' reports through a collector must not charge
// operations again when another collector takes over or the first one returns. With
// 80 instances, a network partition made them refuse a third of the load of
// workspaces within their rates for 6 s.
func TestCollectorChangeChargesNothingTwice(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	l := quota.New(quota.Limit{Rate: 100, Burst: 100}, 1, start)
	report := func(from string, admitted uint64, at time.Duration) {
		l.Observe(from, quota.Report{Admitted: admitted, Demand: 50, Instances: 67}, start.Add(at))
	}
	report("a", 100, 10*time.Second)
	report("a", 150, 11*time.Second)
	level := l.Level(start.Add(12 * time.Second))
	report("b", 5000, 12*time.Second)
	g.Expect(l.Level(start.Add(12 * time.Second))).To(Equal(level))
	report("a", 900, 20*time.Second)
	g.Expect(l.Level(start.Add(20 * time.Second))).To(BeNumerically(">=", level))
	report("a", 930, 20*time.Second)
	g.Expect(l.Level(start.Add(20*time.Second))).To(BeNumerically("~", 70, 1), "only the new operations are charged")

	// An instance that takes this one for the collector reports to it directly, while
	// a collector already reports for it.
	l.Observe("d", quota.Report{Admitted: 10}, start.Add(20*time.Second))
	before := l.Level(start.Add(21 * time.Second))
	l.Observe("d", quota.Report{Admitted: 60}, start.Add(21*time.Second))
	g.Expect(l.Level(start.Add(21 * time.Second))).To(Equal(before))

	// This instance has become the collector and gets the report of an instance that
	// the previous collector reported for.
	l.Observe("c", quota.Report{Admitted: 10}, start.Add(22*time.Second))
	before = l.Level(start.Add(30 * time.Second))
	l.Observe("c", quota.Report{Admitted: 400}, start.Add(30*time.Second))
	g.Expect(l.Level(start.Add(30 * time.Second))).To(Equal(before))
	l.Observe("c", quota.Report{Admitted: 450}, start.Add(30*time.Second))
	g.Expect(l.Level(start.Add(30*time.Second))).To(Equal(before-50), "the current collector charges each further report")
}

// After a network partition ends, one report covers everything that an instance has
// admitted meanwhile. Charged against a bucket that had been full all the time, it
// became a debt of 5 s of the rate, and workspaces within their rates were refused.
func TestLateReportIsCoveredByLostRefill(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	l := quota.New(quota.Limit{Rate: 100, Burst: 100}, 1, start)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, name := range []string{"a", "b"} {
		l.Observe(name, quota.Report{Admitted: 10, Demand: 30}, at(1))
	}
	l.Observe("a", quota.Report{Admitted: 10 + 300, Demand: 30}, at(11))
	g.Expect(l.Level(at(11))).To(BeNumerically("~", 100, 1))
	l.Observe("b", quota.Report{Admitted: 10 + 800, Demand: 80}, at(11))
	g.Expect(l.Level(at(11))).To(BeNumerically("~", -20, 1), "the refill of 10 s and the remaining 80 tokens do not cover 1,100 operations")
}

// sectioned is a fleet in sections. Each instance exchanges reports with the collector of
// its section, and the collectors with each other.
type sectioned struct {
	now      time.Time
	sections [][]*sectionMember
	// collector is the index of each section's collector.
	collector []int
	admitted  int
}

type sectionMember struct {
	*quota.Limiter
	name, section string
}

func newSectioned(sections, members int, limit quota.Limit) *sectioned {
	f := &sectioned{now: time.Unix(0, 0), collector: make([]int, sections)}
	for s := range sections {
		var list []*sectionMember
		for m := range members {
			l := quota.New(limit, 1, f.now)
			l.SetInstances(sections*members, sections*members)
			list = append(list, &sectionMember{l, fmt.Sprintf("i%d-%d", s, m), fmt.Sprint(s)})
		}
		f.sections = append(f.sections, list)
	}
	return f
}

func (f *sectioned) round() {
	f.now = f.now.Add(time.Second)
	for s, list := range f.sections {
		c := list[f.collector[s]]
		for _, m := range list {
			if m != c {
				r := m.Report(f.now)
				r.Section = m.section
				c.Observe(m.name, r, f.now)
				whole := c.ReportExcluding(m.name, f.now)
				whole.Aggregate = true
				m.Observe(c.name, whole, f.now)
			}
		}
		for other, otherList := range f.sections {
			if other != s {
				o := otherList[f.collector[other]]
				r := o.ReportSection(f.now)
				r.Section = o.section
				c.Observe(o.name, r, f.now)
			}
		}
	}
	for _, list := range f.sections {
		for _, m := range list {
			m.StartPeriod(f.now)
		}
	}
}

func (f *sectioned) admit(t *rapid.T) {
	list := f.sections[rapid.IntRange(0, len(f.sections)-1).Draw(t, "section")]
	m := list[rapid.IntRange(0, len(list)-1).Draw(t, "member")]
	if ok, _ := m.Admit(f.now); ok {
		f.admitted++
	}
}

// Every operation is charged once at every instance, whichever way its report takes.
func TestSectionsChargeEachOperationOnce(t *testing.T) {
	const burst = 1e6
	rapid.Check(t, func(t *rapid.T) {
		f := newSectioned(rapid.IntRange(1, 4).Draw(t, "sections"), rapid.IntRange(1, 4).Draw(t, "members"), quota.Limit{Rate: 1e-6, Burst: burst})
		for range 4 {
			f.round()
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "step") == 0 {
				f.round()
			} else {
				f.admit(t)
			}
		}
		for range 4 {
			f.round()
		}
		for _, list := range f.sections {
			for _, m := range list {
				NewWithT(t).Expect(burst-m.Level(f.now)).To(BeNumerically("~", f.admitted, 0.01), m.name)
			}
		}
	})
}

// playCollectorChanges draws admissions, rounds and changes of collectors.
func playCollectorChanges(t *rapid.T, burst float64) *sectioned {
	f := newSectioned(rapid.IntRange(2, 4).Draw(t, "sections"), 3, quota.Limit{Rate: 1e-6, Burst: burst})
	for range 4 {
		f.round()
	}
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		switch rapid.IntRange(0, 5).Draw(t, "step") {
		case 0:
			f.round()
		case 1:
			s := rapid.IntRange(0, len(f.sections)-1).Draw(t, "changed")
			f.collector[s] = rapid.IntRange(0, 2).Draw(t, "collector")
		default:
			f.admit(t)
		}
	}
	for range 4 {
		f.round()
	}
	return f
}

// An instance that takes over as its section's collector is a new source for the others.
// What they have been charged for already must not be charged again.
func TestSectionsChargeNothingTwiceWhenACollectorChanges(t *testing.T) {
	const burst = 1e6
	rapid.Check(t, func(t *rapid.T) {
		f := playCollectorChanges(t, burst)
		for _, list := range f.sections {
			for _, m := range list {
				NewWithT(t).Expect(burst-m.Level(f.now)).To(BeNumerically("<=", float64(f.admitted)+0.01), m.name)
			}
		}
	})
}

// Once the collectors stay the same, everything is charged again, and once.
func TestSectionsChargeEachOperationOnceAfterCollectorChanges(t *testing.T) {
	const burst = 1e6
	rapid.Check(t, func(t *rapid.T) {
		f := playCollectorChanges(t, burst)
		levels := map[string]float64{}
		for _, list := range f.sections {
			for _, m := range list {
				levels[m.name] = m.Level(f.now)
			}
		}
		before := f.admitted
		for range 10 {
			f.admit(t)
		}
		for range 4 {
			f.round()
		}
		for _, list := range f.sections {
			for _, m := range list {
				NewWithT(t).Expect(levels[m.name]-m.Level(f.now)).To(BeNumerically("~", f.admitted-before, 0.01), m.name)
			}
		}
	})
}

// An instance that collects for a while and then gets the reports of the former collector
// again was charged everything that the collector had counted in the meantime: the last
// report of that instance had covered only itself.
func TestFormerCollectorChargesNothingTwice(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	l := quota.New(quota.Limit{Rate: 1e-6, Burst: 1000}, 1, start)
	whole := func(admitted uint64, s int) { l.Observe("m0", quota.Report{Admitted: admitted, Instances: 8}, at(s)) }
	whole(10, 5)
	whole(20, 6)
	g.Expect(l.Level(at(6))).To(BeNumerically("~", 990, 0.1))
	// This instance collects: the others of its section report to it.
	l.Observe("m0", quota.Report{Admitted: 3, Section: "z"}, at(7))
	l.Observe("c", quota.Report{Admitted: 500, Instances: 4, Section: "y"}, at(7))
	whole(600, 7)
	g.Expect(l.Level(at(7))).To(BeNumerically("~", 990, 0.1))
	whole(605, 8)
	g.Expect(l.Level(at(8))).To(BeNumerically("~", 985, 0.1))
}

// A decision's cost must not grow with the number of instances: the collector of 300
// spent half of a core on the sums over all of them.
func BenchmarkLargeFleet(b *testing.B) {
	for _, instances := range []int{30, 300, 3000} {
		now := time.Unix(0, 0)
		l := quota.New(quota.Limit{Rate: 1000, Burst: 1000}, 1, now)
		l.SetInstances(instances, instances)
		names := make([]string, instances)
		for i := range names {
			names[i] = fmt.Sprint(i)
			l.Observe(names[i], quota.Report{Admitted: 1, Demand: 1}, now)
		}
		b.Run(fmt.Sprintf("observe-and-report-%d", instances), func(b *testing.B) {
			n := uint64(0)
			for b.Loop() {
				n++
				now = now.Add(time.Millisecond)
				name := names[n%uint64(instances)]
				l.Observe(name, quota.Report{Admitted: n, Demand: 1}, now)
				l.ReportExcluding(name, now)
			}
		})
	}
}

// With few operations per instance, a fleet cannot tell at once what a small workspace has
// used. It must not be refused within its limit, and not exceed what is tolerated.
func TestSmallLimitOnManyInstancesWithTolerance(t *testing.T) {
	g := NewWithT(t)
	limit := quota.Limit{Rate: 8, Burst: 8}
	tolerance := quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	// refused plays 300 s in which 20 of the instances get 6 operations a second together.
	refused := func(instances int, limit quota.Limit) int {
		f := newFleet(instances, limit)
		rates := make([]float64, instances)
		for i := range 20 {
			rates[i*instances/20] += 0.3
		}
		f.run(300*time.Second, rates)
		return f.refused
	}
	exact, before, after := refused(1, limit), refused(100, limit), refused(100, tolerance.Widen(limit))
	g.Expect(2*(after-exact)).To(BeNumerically("<", before-exact), "wrongful refusals: %d without the tolerance, %d with it, beside %d of exact enforcement", before-exact, after-exact, exact)
	t.Logf("wrongful refusals of 1,800 operations: %d without the tolerance, %d with it", before-exact, after-exact)
	f := newFleet(100, tolerance.Widen(limit))
	f.run(30*time.Second, evenRates(100, 100))
	g.Expect(f.maxAdmittedInWindow()).To(BeNumerically("<=", maxToleratedInWindow(limit)))
	large := quota.Limit{Rate: 125, Burst: 125}
	g.Expect(tolerance.Widen(large)).To(Equal(large), "a hot workspace on 62 instances got 870 operations of 845 tolerated in 5 s with a widened limit")
	g.Expect(tolerance.Widen(quota.Limit{})).To(Equal(quota.Limit{}), "no limit stays no limit")
}
