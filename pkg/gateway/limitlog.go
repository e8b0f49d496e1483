package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/quota"
)

const (
	// limitLogInterval is the interval between two lines on the same workspace's limit.
	limitLogInterval = time.Second
	// maxLimitLines bounds the lines of one interval.
	maxLimitLines = 20
)

// limitUse is the use of a workspace's limit since the last log line, and the state that the
// next operations are decided with.
type limitUse struct {
	workspace         string
	admitted, refused uint64
	// charged is the number of operations of other instances that were charged.
	charged float64
	state   quota.State
}

// activeNearLimit returns the use of the limits that are close to being reached and that
// this instance has admitted or refused operations of since the last call, the most used
// ones first, and the version of the configuration that holds the limits.
func (l *limits) activeNearLimit() (uses []limitUse, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for name, limiter := range l.limiters {
		state, last := limiter.State(now), l.logged[name]
		l.logged[name] = state
		use := limitUse{name, state.Admitted - last.Admitted, state.Refused - last.Refused, state.Charged - last.Charged, state}
		if use.refused > 0 || (use.admitted > 0 && state.IsNearLimit()) {
			uses = append(uses, use)
		}
	}
	slices.SortFunc(uses, func(a, b limitUse) int { return cmp.Compare(b.admitted+b.refused, a.admitted+a.refused) })
	return uses, l.version
}

// logLimits writes one line for each workspace that is close to its limit and active on this
// instance. Without them the logs show why operations were refused, but not who admitted
// the others when a workspace gets more than its limit.
func (g *Gateway) logLimits() {
	uses, version := g.limits.activeNearLimit()
	for i := range uses[:min(len(uses), maxLimitLines)] {
		u := &uses[i]
		g.log.WithFields(logrus.Fields{
			"event": "limit", "workspace": u.workspace, "version": version, "rate": u.state.Limit.Rate, "burst": roundHundredths(u.state.Limit.Burst),
			"admitted": u.admitted, "refused": u.refused, "byOthers": roundHundredths(u.charged), "reportAgeMs": u.state.ChargedAge.Milliseconds(),
			"demand": roundHundredths(u.state.Demand), "limitLevel": roundHundredths(u.state.Level), "limitCredit": roundHundredths(u.state.Credit),
			"limitShare": roundHundredths(u.state.Share), "instances": u.state.Live,
			"knownInstances": u.state.Known, "detached": u.state.Detached,
		}).Info("workspace is close to its limit")
	}
	if left := len(uses) - maxLimitLines; left > 0 {
		g.log.WithFields(logrus.Fields{"event": "lines-left-out", "count": left}).Info("limit log lines dropped")
	}
}
