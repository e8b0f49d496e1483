package quota_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
