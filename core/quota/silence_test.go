package quota_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/quota"
)

// ownerRates divides the total rate as in a large fleet: 20 instances own most of the
// workspace's statements, and the rest is even.
func ownerRates(n int, total float64) []float64 {
	const owners, ownedShare = 20, 0.77
	out := evenRates(n, total*(1-ownedShare))
	for i := range owners {
		out[(i*37+11)%n] += total * ownedShare / owners
	}
	return out
}

// When no exchange between instances got an answer for 5 s and the demand grew, each
// instance took the bucket for full, and later itself for half of the fleet.
func TestLimitHoldsWhileNoInstanceHearsAnother(t *testing.T) {
	limit := quota.Limit{Rate: 284, Burst: 284}
	for _, n := range []int{7, 68, 295} {
		for seed := range uint64(3) {
			f := newExchangingFleet(seed, sectionsOf(n), n, limit)
			f.run(5*time.Second, evenRates(n, 0))
			f.run(2*time.Second, ownerRates(n, 310))
			f.isSilent = true // statements are no longer relayed to their owners either
			for _, demand := range []float64{360, 420, 480, 480, 480} {
				f.run(time.Second, evenRates(n, demand))
			}
			f.isSilent = false
			f.run(6*time.Second, ownerRates(n, 480))
			NewWithT(t).Expect(f.admitted).NotTo(BeEmpty())
			NewWithT(t).Expect(mostInWindow(f.admitted)).To(BeNumerically("<=", maxToleratedInWindow(limit)), "%d instances, seed %d", n, seed)
		}
	}
}

// Each change of a section's collector makes its first report the new baseline. When the
// collectors changed again and again, little was charged, and the bucket stayed full.
func TestLimitHoldsWhileCollectorsAlternate(t *testing.T) {
	limit := quota.Limit{Rate: 284, Burst: 284}
	for _, turn := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
		for seed := range uint64(3) {
			const n = 295
			f := newExchangingFleet(seed, 6, n, limit)
			f.run(5*time.Second, evenRates(n, 0))
			f.run(2*time.Second, ownerRates(n, 310))
			f.turnEvery = turn
			f.run(6*time.Second, ownerRates(n, 3*limit.Rate))
			NewWithT(t).Expect(mostInWindow(f.admitted)).To(BeNumerically("<=", maxToleratedInWindow(limit)), "turns of %v, seed %d", turn, seed)
		}
	}
}

// What other instances had admitted during a silence of 5 s became a debt that refused
// half of the operations of a workspace within its limit for the next 8 s.
func TestDemandWithinTheLimitIsServedAfterSilence(t *testing.T) {
	const seeds = 8
	limit := quota.Limit{Rate: 284, Burst: 284}
	demand := 0.6 * limit.Rate
	for _, n := range []int{7, 68, 295} {
		var before, during, after float64
		for seed := range uint64(seeds) {
			f := newExchangingFleet(seed, sectionsOf(n), n, limit)
			refusedIn5s := func() float64 {
				f.refused = 0
				f.run(5*time.Second, evenRates(n, demand))
				return float64(f.refused) / (5 * demand) / seeds
			}
			f.run(5*time.Second, evenRates(n, 0))
			refusedIn5s()
			before += refusedIn5s()
			f.isSilent = true
			during += refusedIn5s()
			f.isSilent = false
			f.run(3*time.Second, evenRates(n, demand))
			after += refusedIn5s()
		}
		t.Logf("%d instances: refused %.3f before, %.3f during, %.3f after the silence", n, before, during, after)
		NewWithT(t).Expect(after).To(BeNumerically("<=", before+0.01), "%d instances", n)
	}
}

// sectionsOf returns the number of sections of a fleet: in a small one, each instance
// exchanges reports with all others.
func sectionsOf(n int) int {
	if n <= 16 {
		return n
	}
	return 6
}

// Reports that come once a second were taken for late ones, and the refill that a full bucket
// had lost for a minute covered whatever they told of.
func TestQuietTimeCoversNoLaterAdmissions(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	l := quota.New(quota.Limit{Rate: 100, Burst: 100}, 1, now)
	l.SetInstances(20, 20)
	for range 60 {
		now = now.Add(1100 * time.Millisecond)
		l.Observe("c", quota.Report{Admitted: 5, Demand: 1, Instances: 19}, now)
	}
	now = now.Add(1100 * time.Millisecond)
	l.Observe("c", quota.Report{Admitted: 5 + 90, Demand: 80, Instances: 19}, now)
	g.Expect(l.Level(now)).To(BeNumerically("~", 10, 0.1))
}

// When a fleet grew to three instances, all that the first one had ever admitted was taken
// for admitted in one silence, and its credit became a debt of hours.
func TestGrowingFleetOwesNothingForTheTimeBefore(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	l := quota.New(quota.Limit{Rate: 100, Burst: 100}, 1, now)
	admit := func(d time.Duration, interval time.Duration) (refused int) {
		for end := now.Add(d); now.Before(end); now = now.Add(interval) {
			if ok, _ := l.Admit(now); !ok {
				refused++
			}
		}
		return refused
	}
	g.Expect(admit(10*time.Minute, 20*time.Millisecond)).To(BeZero())
	l.SetInstances(3, 3)
	g.Expect(admit(5*time.Second, 50*time.Millisecond)).To(BeNumerically("<=", 5), "of 100 at a fifth of the rate")
}

// Until the first reports of a sudden demand have passed two collectors, each instance takes
// the others for idle. Several times the rate, from nothing, exceed the limit within a second.
func TestLimitHoldsWhenDemandStartsFarAboveIt(t *testing.T) {
	limit := quota.Limit{Rate: 284, Burst: 284}
	for _, times := range []float64{3, 5} {
		for _, n := range []int{7, 68, 295} {
			f := newExchangingFleet(0, sectionsOf(n), n, limit)
			f.run(5*time.Second, evenRates(n, 0))
			f.run(8*time.Second, ownerRates(n, times*limit.Rate))
			NewWithT(t).Expect(mostInWindow(f.admitted)).To(BeNumerically("<=", maxToleratedInWindow(limit)), "%d instances, %v times the rate", n, times)
		}
	}
}
