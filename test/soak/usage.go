package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrysill/mulberrysill/core/placement"
)

const (
	// usageWindow is the window of the usage reports. It is shorter than the platform's, so
	// that a run has more windows; the 24 windows that are kept exceed the length of a run.
	usageWindow = 2 * time.Second
	// usageTolerance is the platform's tolerance for counts. usageSlack is the number of
	// statements that may begin to run in another window than the one in which they were
	// sent.
	usageTolerance, usageSlack = 0.05, 4
	// calmTime is the time without faults at the end of a run, so that some windows can be
	// checked strictly.
	calmTime = 5 * usageWindow
	// usageTimeout is the time within which the last windows must have been reported.
	usageTimeout = 12 * time.Second
	// disruptionMargin is the time around a window in which faults may change its counts:
	// counts are sent until 3.5 s after its end, and statements time out after 3 s.
	disruptionMargin = 4 * time.Second
)

// usageDuty says whether the platform expects usage reports in a run, and whether it checks
// fencing tokens of them.
type usageDuty struct{ expected, fencing bool }

// drawUsageDuty draws the duty from a generator of its own, so that the seeds draw the
// faults as they did before there were usage reports.
func drawUsageDuty(seed uint64) usageDuty {
	rng := rand.New(rand.NewPCG(seed, seed+2))
	return usageDuty{expected: rng.IntN(2) == 0, fencing: rng.IntN(2) == 0}
}

// drawServingScope draws the scope of the serving sets from a generator of its own, for the
// same reason.
func drawServingScope(seed uint64) placement.ServingScope {
	rng := rand.New(rand.NewPCG(seed, seed+3))
	return []placement.ServingScope{placement.ServingByGroup, placement.ServingByMember}[rng.IntN(2)]
}

// disruption is the time of a fault that may change what instances or members know.
type disruption struct{ from, until time.Time }

// recordDisruption records a fault that has ended, if it matters for the usage reports.
func (r *run) recordDisruption(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch f.Kind {
	case StoreRestored:
		r.restorations = append(r.restorations, time.Now())
	case InstanceReloaded, StoreLinkFrozen, StoreDown, StoreCompacted, StoreResponsesDropped, MalformedRows, KeyRevoked:
	default:
		r.disruptions = append(r.disruptions, disruption{r.started.Add(f.From), time.Now()})
	}
}

// isDisrupted reports whether a fault may have changed the counts of the window.
func (r *run) isDisrupted(window uint64) bool {
	begin := time.Unix(0, int64(window)*int64(usageWindow))
	return begin.Before(r.started.Add(disruptionMargin)) || slices.ContainsFunc(r.disruptions, func(d disruption) bool {
		return d.from.Before(begin.Add(usageWindow+disruptionMargin)) && begin.Add(-disruptionMargin).Before(d.until)
	})
}

// mayBeMissing reports whether the window may have been given up, because the store was
// restored after it ended or shortly before.
func (r *run) mayBeMissing(window uint64) bool {
	end := time.Unix(0, int64(window+1)*int64(usageWindow))
	return slices.ContainsFunc(r.restorations, func(at time.Time) bool { return end.Before(at.Add(disruptionMargin)) })
}

// checkUsage checks the usage reports that the platform has received against what the
// members ran. A deployment without the duty must send none.
func (r *run) checkUsage(duty usageDuty) {
	service := &r.cluster.promotions.Usage
	if !duty.expected {
		if n := len(service.Calls()); n > 0 || len(r.cluster.store.Keys("mulberrysill-usage")) > 0 {
			r.reportViolation("%d usage reports without the duty", n)
		}
		return
	}
	ran := map[uint64]map[string]uint64{}
	last := uint64(0)
	for _, e := range r.cluster.group.ExecutedStatements() {
		if !e.BeginsRequest {
			continue
		}
		window := uint64(e.BeganAt.UnixNano()) / uint64(usageWindow)
		last = max(last, window)
		if ran[window] == nil {
			ran[window] = map[string]uint64{}
		}
		ran[window][e.Workspace]++
	}
	for deadline := time.Now().Add(usageTimeout); service.Accepted()[last] == nil && time.Now().Before(deadline); {
		time.Sleep(thinkTime)
	}
	for _, window := range service.Contradictions() {
		r.reportViolation("usage window %d was reported with two contents", window)
	}
	for _, c := range service.LowerTokens() {
		if !r.wasPaused(c.Holder, c.At.Add(-time.Second)) {
			r.reportViolation("%s sent usage window %d with a lower token than another holder before", c.Holder, c.Window)
		}
	}
	accepted, checked := service.Accepted(), 0
	for window, counts := range ran {
		reported := accepted[window]
		if r.isDisrupted(window) || (reported == nil && r.mayBeMissing(window)) {
			continue
		}
		checked++
		for workspace, n := range counts {
			if got := reported[workspace]; absDifference(got, n) > usageTolerance*float64(n)+usageSlack {
				r.reportViolation("usage window %d: %d requests of %s were reported, members ran %d", window, got, workspace, n)
			}
		}
	}
	r.result.Timeline = append(r.result.Timeline, fmt.Sprintf("usage reports: %d windows reported, %d compared with what members ran", len(accepted), checked))
	if checked == 0 {
		r.reportViolation("no usage window could be checked")
	}
}

func absDifference(a, b uint64) float64 {
	if a > b {
		return float64(a - b)
	}
	return float64(b - a)
}
