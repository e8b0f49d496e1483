package gateway

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/quota"
)

// workspaceSet is a set of workspaces; nil means all.
type workspaceSet map[string]bool

func (s workspaceSet) includes(workspace string) bool { return s == nil || s[workspace] }

// limits holds one limiter per workspace. It is safe for concurrent use.
type limits struct {
	mu        sync.Mutex
	limiters  map[string]*quota.Limiter // guarded by mu
	tolerance quota.Tolerance
	// initialLevel is the initial fill of new limiters, as a fraction of the
	// burst.
	initialLevel float64
	// restartsWithTokens lets new limiters start with the part of the tolerance that is left
	// for it, instead of initialLevel.
	restartsWithTokens bool
	// grants holds the tokens of limiters that have yet to be divided between the instances,
	// whose number is not known at the start.
	grants map[string]float64
	// instances is the number of live instances, and knownInstances that number with the
	// silent ones that have not left.
	instances, knownInstances int
	// version is the version of the configuration that holds the limits, and logged holds
	// each workspace's state at the last call of activeNearLimit.
	version uint64
	logged  map[string]quota.State
}

func newLimits(firstStart bool, tolerance quota.Tolerance) *limits {
	l := &limits{limiters: map[string]*quota.Limiter{}, grants: map[string]float64{}, logged: map[string]quota.State{}, tolerance: tolerance}
	if firstStart {
		l.initialLevel = 1
	}
	return l
}

// configure applies the workspaces of a version of the configuration.
func (l *limits) configure(workspaces []catalog.Workspace, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = version
	now := time.Now()
	names := make(map[string]bool, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		names[w.Name] = true
		stated := quota.Limit{Rate: w.Rate, Burst: w.Burst}
		limit := l.tolerance.Widen(stated)
		if limiter := l.limiters[w.Name]; limiter != nil {
			limiter.SetLimit(limit, now)
		} else {
			if l.restartsWithTokens && l.initialLevel == 0 {
				l.grants[w.Name] = l.tolerance.RestartLevel(stated) * limit.Burst
			}
			limiter = quota.New(limit, l.initialLevel, now)
			limiter.SetInstances(l.instances, l.knownInstances)
			l.limiters[w.Name] = limiter
		}
	}
	for name := range l.limiters {
		if !names[name] {
			delete(l.grants, name)
			delete(l.logged, name)
			delete(l.limiters, name)
		}
	}
}

// admit charges one operation to the workspace. If it refuses, it returns the
// time after which to retry and the state that caused the refusal.
func (l *limits) admit(workspace string) (bool, time.Duration, *quota.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.limiters[workspace]
	if limiter == nil {
		return true, 0, nil // clients without a key on an open route have no limit
	}
	now := time.Now()
	ok, retryAfter := limiter.Admit(now)
	if ok {
		return true, 0, nil
	}
	state := limiter.State(now)
	return false, retryAfter, &state
}

// refund returns the charge of an admitted operation that was not sent to any
// member.
func (l *limits) refund(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limiter := l.limiters[workspace]; limiter != nil {
		limiter.Refund()
	}
}

// setInstances sets the number of live instances, and that of all that may admit operations:
// the silent ones, too, unless they have left.
func (l *limits) setInstances(live, known int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances, l.knownInstances = live, known
	for _, limiter := range l.limiters {
		limiter.SetInstances(live, known)
	}
}

// divideGrants gives this instance its part of the tokens with which buckets start after a
// restart. The caller calls it once the instances have been listed. A part below one
// operation is one with that probability.
func (l *limits) divideGrants() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.instances <= 1 {
		return
	}
	for name, tokens := range l.grants {
		part, fraction := math.Modf(tokens / float64(l.instances))
		if rand.Float64() < fraction {
			part++
		}
		if limiter := l.limiters[name]; limiter != nil {
			limiter.Grant(uint64(part), tokens)
		}
	}
	clear(l.grants)
}

// report returns this instance's usage reports for the given workspaces that
// it has served.
func (l *limits) report(workspaces workspaceSet) map[string]quota.Report {
	return l.collect(workspaces, (*quota.Limiter).Report)
}

// reportOthers returns the combined reports of all instances except the named
// one.
func (l *limits) reportOthers(name string, workspaces workspaceSet) map[string]quota.Report {
	return l.collect(workspaces, func(limiter *quota.Limiter, now time.Time) quota.Report { return limiter.ReportExcluding(name, now) })
}

func (l *limits) collect(workspaces workspaceSet, report func(*quota.Limiter, time.Time) quota.Report) map[string]quota.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	reports := map[string]quota.Report{}
	for name, limiter := range l.limiters {
		if !workspaces.includes(name) {
			continue
		}
		if r := report(limiter, now); r.Admitted > 0 || r.Demand >= minReportedDemand {
			reports[name] = r
		}
	}
	return reports
}

// startPeriod starts a new accounting period for the given workspaces.
func (l *limits) startPeriod(workspaces workspaceSet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for name, limiter := range l.limiters {
		if workspaces.includes(name) {
			limiter.StartPeriod(now)
		}
	}
}

// minReportedDemand is the demand, in operations per second, below which a
// workspace with no admitted operations is omitted from reports.
const minReportedDemand = 0.01

// nearLimit returns the workspaces that are close to their limits.
func (l *limits) nearLimit() workspaceSet {
	l.mu.Lock()
	defer l.mu.Unlock()
	workspaces := workspaceSet{}
	for name, limiter := range l.limiters {
		if limiter.NeedsFrequentReports() {
			workspaces[name] = true
		}
	}
	return workspaces
}

// reportSection returns the combined reports of this instance and of those that report
// to it for themselves.
func (l *limits) reportSection(workspaces workspaceSet) map[string]quota.Report {
	return l.collect(workspaces, (*quota.Limiter).ReportSection)
}

// observe applies the reports of another process, which may report for several
// instances. If the reports are complete, a workspace without a report has no
// demand there; empty is then its report.
func (l *limits) observe(from string, reports map[string]quota.Report, empty quota.Report, partial bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for name, limiter := range l.limiters {
		r, reported := reports[name]
		switch {
		case reported:
			limiter.Observe(from, r, now)
		case !partial:
			limiter.Observe(from, empty, now)
		}
	}
}
