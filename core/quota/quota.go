// Package quota enforces a workspace's rate and burst over all instances, which
// exchange only periodic reports. Every instance estimates the level of one common
// token bucket. While the level is high, an instance may spend its share of the
// level; when it is low, only its share of the refill. An instance's share is its
// share of the total demand. An instance that does not know what most others admit is
// detached: it leaves them their part of the limit.
//
// The package has no I/O and no clock. A Limiter is not safe for concurrent use.
package quota

import (
	"time"
)

const (
	// reserveFraction is the fraction of the burst below which instances spend only
	// their share of the refill. The reserve covers what other instances admit
	// between two reports.
	reserveFraction = 0.35
	// nearLimitFraction is the fraction of the burst below which reports should be
	// more frequent.
	nearLimitFraction = 0.6
	// nearLimitDemand is the fraction of the rate from which the demand is close to it.
	nearLimitDemand = 0.9
	// demandTimeConstant is the time constant of the demand estimate. It spans
	// several reports, so that one burst of arrivals does not shift the shares.
	demandTimeConstant = time.Second
	// peerTimeout is the time after which the demand of an instance that sends no
	// reports is ignored. Its clients have moved to other instances by then.
	peerTimeout = 3 * time.Second
	// reportPeriod is the time within which all instances learn of an admission: an
	// interval between reports and the way through the collectors.
	reportPeriod = time.Second
	// maxReportAge is the age up to which reports tell well enough what others admit. It
	// spans an interval between reports and an exchange that gets no answer.
	maxReportAge = 1500 * time.Millisecond
	// totalsInterval is the minimum time between two removals of expired reports from the
	// totals.
	totalsInterval = 100 * time.Millisecond
	// initialReportWindow is the time after the start of a limiter within which it
	// charges the first report of a peer: at the first start of a fleet, all
	// instances begin to count at about the same time.
	initialReportWindow = 2 * time.Second
	// idleDemandFraction is the fraction of the rate, divided by the number of
	// instances, that is added to the demand of each instance, so that an idle one
	// does not refuse its first requests.
	idleDemandFraction = 0.1
	// minPeriodAllowance is the number of operations that an instance may admit at
	// least per accounting period while the bucket is at or above nearLimitFraction
	// and the demand of all instances fits. With many instances, the share of one
	// with little demand is below one operation; with much demand everywhere, one
	// operation each would exceed the limit many times.
	minPeriodAllowance = 1
	// maxDebtSeconds bounds the debt of the bucket, and so the excess admissions
	// that instances have to compensate, to one burst and this many seconds of the
	// rate. It is the window over which the platform checks limits.
	maxDebtSeconds = 5
	// minCreditCap is the smallest cap of the credit, in operations. It lets an
	// instance with a small share accumulate credit for a whole operation.
	// minDetachedCreditCap is the same while the instance is detached: the credits of all
	// instances are then all that can exceed the limit when the demand jumps.
	minCreditCap, minDetachedCreditCap = 1.5, 1
	// minAssumedShare is the smallest own share from which the unreported
	// admissions of the other instances are extrapolated.
	minAssumedShare = 0.05
	// minRetryAfter and maxRetryAfter bound the retry hint of a refusal.
	minRetryAfter, maxRetryAfter = 50 * time.Millisecond, 5 * time.Second
)

// Report is an instance's report to the others about one workspace.
type Report struct {
	// Admitted counts all operations admitted since the process started.
	Admitted uint64
	// Demand is in operations per second and includes refused ones.
	Demand float64
	// Instances is the number of instances that the report covers; 0 means 1.
	Instances int
	// Aggregate is set if a collector reports for the instances of its section together;
	// a report that covers several instances always is an aggregate.
	Aggregate bool
	// Section is the part of the fleet that an aggregate covers, and empty if it covers
	// all instances but the receiver. For other reports it is the part that the instance
	// belongs to.
	Section string
}

func (r *Report) isAggregate() bool { return r.Aggregate || r.Instances > 1 }

// peer is another instance that sends reports, for itself or as a collector.
type peer struct {
	// admitted is the count of the last report.
	admitted uint64
	// overflowAtReport is the limiter's overflow at the peer's last report.
	overflowAtReport float64
	// admittedSinceFirst counts the operations that the peer has admitted since its
	// first report, as far as its own reports are charged.
	admittedSinceFirst uint64
	instances          int
	demand             float64
	lastReportAt       time.Time
	// accountedAt is when the last report arrived up to which the peer's admissions are
	// known: the first one, or one that was compared with an earlier one.
	accountedAt time.Time
	// isAggregate is set if the last report was an aggregate, and section is its section.
	isAggregate bool
	section     string
	// counted is set while the peer is part of the limiter's totals.
	counted bool
}

// totals sums up the peers with recent reports, so that a decision does not depend on
// the number of instances.
type totals struct {
	demand    float64
	instances int
	// sectionDemand and sectionInstances are the part of the peers that report for
	// themselves.
	sectionDemand    float64
	sectionInstances int
	// expireAt is the earliest time at which a peer's report may cease to be recent.
	expireAt time.Time
}

// Limiter is one instance's view of one workspace's limit.
type Limiter struct {
	limit Limit
	// level is the estimated number of tokens in the common bucket.
	level float64
	// overflow counts the tokens of refill that were lost because the bucket was
	// full. What a peer admitted while its reports were missing is charged to that
	// refill first.
	overflow float64
	// credit is the unused part of the instance's share of the refill.
	credit float64
	// periodLevel is the level at the start of the accounting period, and
	// periodAdmitted the number of operations that this instance has admitted in it.
	periodLevel, periodAdmitted float64
	// halfUsed is true once half of the period's allowance is used.
	halfUsed bool
	// grant is the number of operations that Grant has left to this instance.
	grant uint64
	// startedAt is when this limiter began to count. startedWithTokens is true if its
	// bucket was not empty then, as at the first start of a fleet.
	startedAt         time.Time
	startedWithTokens bool
	refilledAt        time.Time
	demand            float64
	arrivals          float64
	demandUpdatedAt   time.Time
	admitted          uint64
	// refused counts the refused operations, and charged those that were taken from the
	// bucket because other instances had reported them, the last time at chargedAt.
	refused   uint64
	charged   float64
	chargedAt time.Time
	peers     map[string]*peer
	totals    totals
	// admittedByPeers is the sum of admittedSinceFirst over all peers, former ones
	// included, and admittedInSection the part of those that report for themselves.
	admittedByPeers, admittedInSection uint64
	// collectors holds the last collector that reported for each section; it is empty in
	// a small fleet, where each instance reports only for itself.
	collectors map[string]string
	// wholeReportAt and sectionReportAt are the times of the last aggregate of all other
	// instances, and of the last report that covers less.
	wholeReportAt, sectionReportAt time.Time
	// live is the number of live instances, this one included, and known the number with
	// those that have been silent for too short a time to be given up. Instances without a
	// recent report are assumed to have the same demand as this one.
	live, known int
	coverage    coverage
	// detached is true while the admissions of most instances are unknown.
	detached bool
	silence  silence
}

// New returns a limiter whose bucket starts at the given level, as a fraction of the
// burst: 0 after a restart while other instances run, 1 at the first start of the
// fleet.
func New(limit Limit, level float64, now time.Time) *Limiter {
	return &Limiter{
		limit: limit, level: limit.Burst * level, periodLevel: limit.Burst * level,
		startedAt: now, startedWithTokens: level > 0, refilledAt: now, demandUpdatedAt: now, peers: map[string]*peer{}, collectors: map[string]string{}, live: 1, known: 1, silence: silence{accountedAt: now},
	}
}

// SetLimit changes rate and burst.
func (l *Limiter) SetLimit(limit Limit, now time.Time) {
	if limit == l.limit {
		return
	}
	l.advance(now)
	l.limit = limit
	l.level = min(l.level, limit.Burst)
	l.periodLevel, l.periodAdmitted = l.level, 0
}

// SetInstances sets the number of live instances, this one included, and the number of all
// that may still admit operations: those that are silent, too, unless they have left or have
// been given up.
func (l *Limiter) SetInstances(live, known int) {
	l.live, l.known = max(live, 1), max(known, live, 1)
}

// Admit admits or refuses one operation. With a refusal, retryAfter is the time
// after which the instance's share of the refill admits one. A limit of 0 admits
// everything.
func (l *Limiter) Admit(now time.Time) (ok bool, retryAfter time.Duration) {
	l.arrivals++
	if l.limit.Rate <= 0 && l.limit.Burst <= 0 {
		l.admitted++
		return true, 0
	}
	l.advance(now)
	share := l.share(now)
	switch {
	case !l.detached && l.mayUseLevel(share, now):
	case l.credit >= 1 && (l.detached || l.level >= 1):
		// While detached, the level is unknown, and the debt known before is in the credit.
		l.credit--
	case l.grant > 0 && l.level >= 1:
		l.grant--
	default:
		l.refused++
		return false, l.retryAfter(share)
	}
	l.periodAdmitted++
	l.level--
	l.admitted++
	return true, 0
}

// mayUseLevel reports whether the instance's allowance of the level above the reserve covers
// one more operation.
func (l *Limiter) mayUseLevel(share float64, now time.Time) bool {
	allowance := (l.periodLevel - reserveFraction*l.limit.Burst) * max(share, 0.5/float64(l.live))
	if l.periodLevel >= nearLimitFraction*l.limit.Burst && l.fits(share, now) {
		allowance = max(allowance, minPeriodAllowance)
	}
	l.halfUsed = l.periodAdmitted+1 > allowance/2
	return l.level-1 >= reserveFraction*l.limit.Burst && l.periodAdmitted+1 <= allowance
}

// Grant adds tokens to the bucket after a restart, and lets this instance admit its part of
// them, a number of operations, although the bucket is below the reserve. Until the
// instances know of each other's demand, no share of the refill is better than any other.
func (l *Limiter) Grant(operations uint64, tokens float64) {
	l.grant = operations
	l.level = min(l.level+tokens, max(l.level, reserveFraction*l.limit.Burst))
}

// fits reports whether the tokens above the reserve cover what all instances are asked
// for until their next reports, given this instance's share of that.
func (l *Limiter) fits(share float64, now time.Time) bool {
	if share <= 0 {
		return false
	}
	own := l.updateDemand(now) + idleDemandFraction*l.limit.Rate/float64(l.live)
	return own/share*reportPeriod.Seconds() <= l.periodLevel-reserveFraction*l.limit.Burst+l.limit.Rate*reportPeriod.Seconds()
}

// Refund returns the token of an operation that was admitted but not sent to any
// server.
func (l *Limiter) Refund() {
	if l.periodAdmitted >= 1 {
		l.periodAdmitted--
		l.level = min(l.level+1, l.limit.Burst)
		if l.detached {
			l.credit++
		}
	}
}

// Observe processes a report of another instance. An Admitted count below the last
// one comes from a restarted process and becomes the new baseline.
func (l *Limiter) Observe(from string, r Report, now time.Time) {
	l.advance(now)
	p := l.peers[from]
	switch {
	case p == nil:
		p = &peer{}
		l.peers[from] = p
		if l.collectors[r.Section] == "" || !r.isAggregate() {
			p.accountedAt = now
		}
		// It is unknown how much of the first count predates this limiter.
		if age := now.Sub(l.startedAt); l.startedWithTokens && age <= initialReportWindow {
			l.charge(min(float64(r.Admitted), r.Demand*age.Seconds()))
		}
	case l.reportedByCollector(from, p, r, now):
	case r.Admitted <= p.admitted:
		p.accountedAt = now
	default:
		p.admittedSinceFirst += r.Admitted - p.admitted
		l.admittedByPeers += r.Admitted - p.admitted
		operations := float64(r.Admitted - p.admitted)
		if !r.isAggregate() {
			l.admittedInSection += r.Admitted - p.admitted
		}
		operations -= l.coverByWithheld(operations)
		if now.Sub(p.lastReportAt) > peerTimeout {
			operations = l.lateCharge(p, operations, now)
		}
		l.charge(operations)
		l.charged, l.chargedAt, p.accountedAt = l.charged+operations, now, now
	}
	if p.accountedAt.Equal(now) {
		l.noteAccounted(now)
	}
	if r.isAggregate() {
		l.collectors[r.Section] = from
	}
	if r.isAggregate() && r.Section == "" {
		l.wholeReportAt = now
	} else {
		l.sectionReportAt = now
	}
	l.uncount(p)
	p.overflowAtReport = l.overflow
	p.admitted, p.demand, p.lastReportAt, p.instances = r.Admitted, r.Demand, now, max(r.Instances, 1)
	p.isAggregate, p.section = r.isAggregate(), r.Section
	l.count(p)
}

// count adds a peer to the totals.
func (l *Limiter) count(p *peer) {
	p.counted = true
	l.totals.add(p, 1)
	if expiry := p.lastReportAt.Add(peerTimeout); l.totals.expireAt.IsZero() || expiry.Before(l.totals.expireAt) {
		l.totals.expireAt = expiry
	}
}

// uncount removes a peer from the totals. It leaves expireAt as a lower bound.
func (l *Limiter) uncount(p *peer) {
	if p.counted {
		p.counted = false
		l.totals.add(p, -1)
	}
}

func (t *totals) add(p *peer, sign int) {
	t.demand += float64(sign) * p.demand
	t.instances += sign * p.instances
	if !p.isAggregate {
		t.sectionDemand += float64(sign) * p.demand
		t.sectionInstances += sign * p.instances
	}
}

// refreshTotals removes the peers without a recent report from the totals.
func (l *Limiter) refreshTotals(now time.Time) {
	if l.totals.expireAt.IsZero() || !now.After(l.totals.expireAt) {
		return
	}
	l.totals = totals{}
	for _, p := range l.peers {
		p.counted = false
		if now.Sub(p.lastReportAt) <= peerTimeout {
			l.count(p)
		}
	}
	if next := now.Add(totalsInterval); l.totals.expireAt.Before(next) {
		l.totals.expireAt = next
	}
}

// reportedByCollector reports whether the increase of the peer's count is already
// part of a collector's reports. This is so if the peer has just become the
// collector of its section, if another collector reports for the peer now or did so
// while the peer's own reports were missing, or if this instance has got reports of
// the other kind, on all instances or on sections, since the peer's last one.
func (l *Limiter) reportedByCollector(from string, p *peer, r Report, now time.Time) bool {
	if r.isAggregate() {
		other := l.wholeReportAt
		if r.Section == "" {
			other = l.sectionReportAt
		}
		return !p.isAggregate || p.section != r.Section || l.collectors[r.Section] != from || other.After(p.lastReportAt)
	}
	if l.reportedIn("", p, now) {
		return true
	}
	return r.Section != "" && l.reportedIn(r.Section, p, now)
}

// reportedIn reports whether the collector of the section reports for the peer.
func (l *Limiter) reportedIn(section string, p *peer, now time.Time) bool {
	collector := l.collectors[section]
	if collector == "" {
		return false
	}
	c := l.peers[collector]
	return now.Sub(p.lastReportAt) > peerTimeout ||
		(c != nil && c.isAggregate && c.section == section && now.Sub(c.lastReportAt) <= peerTimeout)
}

// lateCharge returns how many of the operations to charge that a peer admitted while its
// reports were missing: those in excess of the refill that was lost in the meantime. If the
// reports were missing for longer than the window over which the platform checks limits, it
// returns at most as many as leave a debt of one burst: refusing requests now would not make
// up for the older ones.
func (l *Limiter) lateCharge(p *peer, operations float64, now time.Time) float64 {
	covered := min(operations, max(l.overflow-p.overflowAtReport, 0))
	l.overflow -= covered
	if now.Sub(p.lastReportAt) <= maxDebtSeconds*time.Second {
		return operations - covered
	}
	return min(operations-covered, max(l.level+l.limit.Burst, 0))
}

// charge takes the operations that other instances have admitted from the bucket.
func (l *Limiter) charge(operations float64) {
	l.level = max(l.level-operations, -l.maxDebt())
}

func (l *Limiter) maxDebt() float64 { return maxDebtSeconds*l.limit.Rate + l.limit.Burst }

// StartPeriod begins a new accounting period, in which the instance may spend its share of
// the present level. The caller calls it with each round of reports.
func (l *Limiter) StartPeriod(now time.Time) {
	l.advance(now)
	// The others are assumed to have admitted, since their last reports, as much as
	// this instance in proportion to their shares.
	unreported := l.periodAdmitted * (1/max(l.share(now), minAssumedShare) - 1)
	l.periodLevel, l.periodAdmitted, l.halfUsed = l.level-unreported, 0, false
	for name, p := range l.peers {
		if now.Sub(p.lastReportAt) > 4*peerTimeout {
			l.uncount(p)
			delete(l.peers, name)
		}
	}
}

// Report returns this instance's report to the others.
func (l *Limiter) Report(now time.Time) Report {
	return Report{Admitted: l.admitted, Demand: l.updateDemand(now)}
}

// ReportExcluding aggregates the reports of all instances except the named one, this
// instance's own report included.
func (l *Limiter) ReportExcluding(name string, now time.Time) Report {
	l.refreshTotals(now)
	r := l.Report(now)
	r.Admitted += l.admittedByPeers
	r.Demand += l.totals.demand
	r.Instances = 1 + l.totals.instances
	if p := l.peers[name]; p != nil {
		r.Admitted -= p.admittedSinceFirst
		if p.counted {
			r.Demand = max(r.Demand-p.demand, 0)
			r.Instances -= p.instances
		}
	}
	return r
}

// ReportSection aggregates this instance's report and those of the instances that report
// for themselves, which are the other instances of the collector's section.
func (l *Limiter) ReportSection(now time.Time) Report {
	l.refreshTotals(now)
	r := l.Report(now)
	r.Admitted += l.admittedInSection
	r.Demand += max(l.totals.sectionDemand, 0)
	r.Instances, r.Aggregate = 1+l.totals.sectionInstances, true
	return r
}

// NeedsFrequentReports reports whether reports should be more frequent because the
// bucket or the instance's allowance is low. Below the reserve this does not help, as
// each instance then spends only its share of the refill whatever the others do. The
// exception are fleets so large that the credits alone can exceed the reserve.
func (l *Limiter) NeedsFrequentReports() bool {
	if l.periodAdmitted >= 1 && minCreditCap*float64(l.live) > reserveFraction*l.limit.Burst {
		// The credits of all instances together may exceed the reserve.
		return true
	}
	return l.level > reserveFraction*l.limit.Burst && (l.halfUsed || l.level < nearLimitFraction*l.limit.Burst)
}

// Level returns the estimated tokens in the common bucket.
func (l *Limiter) Level(now time.Time) float64 {
	l.advance(now)
	return l.level
}

// advance refills the bucket and the instance's credit up to now.
func (l *Limiter) advance(now time.Time) {
	dt := now.Sub(l.refilledAt).Seconds()
	if dt <= 0 {
		return
	}
	l.refilledAt = now
	l.updateDetached(now)
	share, refill := l.share(now), dt*l.limit.Rate
	creditCap := max(minCreditCap, share*reserveFraction*l.limit.Burst)
	credited := refill * share
	if l.detached {
		l.silence.withheld += refill - credited
		refill = credited
		creditCap = max(minDetachedCreditCap, share*l.limit.Burst)
	}
	filled := l.level + refill
	l.level = min(filled, l.limit.Burst)
	l.overflow += filled - l.level
	l.credit = min(l.credit+credited, creditCap)
}

// updateDemand updates the moving average of this instance's demand, in operations
// per second, and returns it.
func (l *Limiter) updateDemand(now time.Time) float64 {
	dt := now.Sub(l.demandUpdatedAt)
	if dt < demandTimeConstant/10 {
		return l.demand
	}
	weight := min(1, dt.Seconds()/demandTimeConstant.Seconds())
	l.demand += weight * (l.arrivals/dt.Seconds() - l.demand)
	l.arrivals, l.demandUpdatedAt = 0, now
	return l.demand
}

// share returns this instance's share of the refill, from 0 to 1.
func (l *Limiter) share(now time.Time) float64 {
	if l.detached {
		return l.detachedShare(now)
	}
	return l.shareOfLive(now)
}

// shareOfLive returns this instance's share of the demand at the live instances.
func (l *Limiter) shareOfLive(now time.Time) float64 {
	idleDemand := idleDemandFraction * l.limit.Rate / float64(l.live)
	own := l.updateDemand(now) + idleDemand
	l.refreshTotals(now)
	total := own + max(l.totals.demand, 0) + idleDemand*float64(l.totals.instances)
	reporting := 1 + l.totals.instances
	if reporting < l.live {
		total += float64(l.live-reporting) * own
	}
	if total <= 0 {
		return 1 / float64(l.live)
	}
	return own / total
}

// retryAfter returns the time after which the share of the refill yields the credit
// for one operation.
func (l *Limiter) retryAfter(share float64) time.Duration {
	if l.limit.Rate <= 0 || share <= 0 {
		return maxRetryAfter
	}
	wait := (1 - min(l.credit, 1)) / (l.limit.Rate * share)
	return min(max(time.Duration(wait*float64(time.Second)), minRetryAfter), maxRetryAfter)
}
