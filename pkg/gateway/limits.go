package gateway

import (
	"sync"
	"time"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/quota"
)

// scope is a set of workspaces; nil stands for all.
type scope map[string]bool

func (s scope) includes(workspace string) bool { return s == nil || s[workspace] }

// limits keeps a limiter per workspace. Any goroutine may use it.
type limits struct {
	mu       sync.Mutex
	limiters map[string]*quota.Limiter // guarded by mu
	// level is the part of the burst with which new limiters begin.
	level float64
	// instances is the number of live instances.
	instances int
}

func newLimits(firstStart bool) *limits {
	l := &limits{limiters: map[string]*quota.Limiter{}}
	if firstStart {
		l.level = 1
	}
	return l
}

// configure takes up the workspaces of a configuration.
func (l *limits) configure(workspaces []catalog.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	names := make(map[string]bool, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		names[w.Name] = true
		limit := quota.Limit{Rate: w.Rate, Burst: w.Burst}
		if limiter := l.limiters[w.Name]; limiter != nil {
			limiter.SetLimit(limit, now)
		} else {
			limiter = quota.New(limit, l.level, now)
			limiter.SetInstances(l.instances, false)
			l.limiters[w.Name] = limiter
		}
	}
	for name := range l.limiters {
		if !names[name] {
			delete(l.limiters, name)
		}
	}
}

// admit charges one operation to the workspace. With a refusal come the time to
// return and what decided it.
func (l *limits) admit(workspace string) (bool, time.Duration, *quota.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.limiters[workspace]
	if limiter == nil {
		return true, 0, nil // clients without a key on an open route
	}
	now := time.Now()
	ok, retryAfter := limiter.Admit(now)
	if ok {
		return true, 0, nil
	}
	state := limiter.State(now)
	return false, retryAfter, &state
}

// refund gives back an operation that was admitted and not sent to any member.
func (l *limits) refund(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limiter := l.limiters[workspace]; limiter != nil {
		limiter.Refund()
	}
}

// setInstances sets the number of live instances and whether this one is cut off
// from most of them.
func (l *limits) setInstances(instances int, isolated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = instances
	for _, limiter := range l.limiters {
		limiter.SetInstances(instances, isolated)
	}
}

// report returns this instance's reports on those of the workspaces that it has served.
func (l *limits) report(of scope) map[string]quota.Report {
	return l.collect(of, (*quota.Limiter).Report)
}

// others returns what all instances but the named one have reported.
func (l *limits) others(name string, of scope) map[string]quota.Report {
	return l.collect(of, func(limiter *quota.Limiter, now time.Time) quota.Report { return limiter.ReportExcluding(name, now) })
}

func (l *limits) collect(of scope, report func(*quota.Limiter, time.Time) quota.Report) map[string]quota.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	reports := map[string]quota.Report{}
	for name, limiter := range l.limiters {
		if !of.includes(name) {
			continue
		}
		if r := report(limiter, now); r.Admitted > 0 || r.Demand >= minReportedDemand {
			reports[name] = r
		}
	}
	return reports
}

// sync begins a new accounting period of the workspaces' limiters.
func (l *limits) sync(of scope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for name, limiter := range l.limiters {
		if of.includes(name) {
			limiter.StartPeriod(now)
		}
	}
}

// minReportedDemand is the demand in operations per second below which a
// workspace that was never served is left out of the reports.
const minReportedDemand = 0.01

// pressed returns the workspaces that come near their limits.
func (l *limits) pressed() scope {
	l.mu.Lock()
	defer l.mu.Unlock()
	near := scope{}
	for name, limiter := range l.limiters {
		if limiter.NeedsFrequentReports() {
			near[name] = true
		}
	}
	return near
}

// observe takes the reports of another process, which speaks for a number of
// instances. Unless they are partial, a workspace without a report has no demand there.
func (l *limits) observe(from string, reports map[string]quota.Report, instances int, partial bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for name, limiter := range l.limiters {
		r, reported := reports[name]
		if !reported && partial {
			continue
		}
		r.Instances = instances
		limiter.Observe(from, r, now)
	}
}
