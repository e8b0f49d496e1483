package quota

import "time"

// An instance is detached while it does not know what most of the others admit: it hears few
// of them, or their reports cannot be compared with earlier ones because collectors change.
// It cannot tell whether the silent instances have stopped or admit operations out of its
// sight. So it leaves them their part of the limit: it spends nothing of the common level,
// and of the refill only the part that all instances could spend at the same time without
// exceeding the limit together. The rest of the refill is withheld and covers what late
// reports tell of.

// coverage is the part of the fleet whose admissions are known up to maxReportAge before at.
type coverage struct {
	at        time.Time
	instances int
	demand    float64
}

// minDetachableFleet is the smallest number of known instances of which one can be detached.
// One of two cannot tell a stopped peer from a silent one, and most often it has stopped.
const minDetachableFleet = 3

// silence records the last time in which nothing was learned of the admissions of others.
type silence struct {
	// accountedAt is when a report last told what others had admitted; overflowAt and
	// admittedAt are the limiter's overflow and count of own admissions at that time, and
	// shareAt was this instance's share.
	accountedAt time.Time
	overflowAt  float64
	admittedAt  uint64
	shareAt     float64
	// withheld is the refill that was left to the others. Until lateUntil, it covers what
	// reports tell of, also those of collectors that are heard in time again.
	withheld  float64
	lateUntil time.Time
}

// noteAccounted records that a report has told what others admitted.
func (l *Limiter) noteAccounted(now time.Time) {
	s := &l.silence
	s.accountedAt, s.overflowAt, s.admittedAt = now, l.overflow, l.admitted
	if !l.detached {
		s.shareAt = l.shareOfLive(now)
	}
}

// updateDetached begins or ends detached operation.
func (l *Limiter) updateDetached(now time.Time) {
	if l.known < minDetachableFleet {
		l.detached = false
		l.noteAccounted(now)
		return
	}
	l.updateCoverage(now)
	was := l.detached
	// At its start a limiter knows as much as it does after a report: that nothing has been
	// admitted yet, or that its bucket is empty.
	isStarting := now.Sub(l.startedAt) <= peerTimeout
	l.detached = !isStarting && (l.isIsolated() || (1+l.coverage.instances)*2 <= l.known)
	if l.detached {
		l.silence.lateUntil = now.Add(maxReportAge)
	}
	if l.detached && !was {
		// Refill that a full bucket lost covers what the others admitted before this instance
		// was detached. What is left of a former silence must not add up.
		l.silence.withheld = min(l.overflow-l.silence.overflowAt, l.likelyAdmitted(now))
		// All credits together are worth what the bucket may hold, or owe its debt.
		l.credit = min(l.credit, l.detachedShare(now)*l.levelAfterSilence(now))
	}
}

// levelAfterSilence estimates the level from what the others are likely to have admitted
// since the last report. If this instance admitted more than the known demand lets expect,
// the demand has probably grown at the others, too.
func (l *Limiter) levelAfterSilence(now time.Time) float64 {
	byOwn := float64(l.admitted-l.silence.admittedAt) * (1/max(l.silence.shareAt, minAssumedShare) - 1)
	estimate := l.level + l.overflow - l.silence.overflowAt - max(l.likelyAdmitted(now), byOwn)
	return max(min(l.level, estimate), -l.maxDebt())
}

// likelyAdmitted returns what the others are likely to have admitted since the last report,
// by their known demand.
func (l *Limiter) likelyAdmitted(now time.Time) float64 {
	return max(l.totals.demand, 0) * now.Sub(l.silence.accountedAt).Seconds()
}

// coverByWithheld returns how many of the reported operations the withheld refill covers.
func (l *Limiter) coverByWithheld(operations float64) float64 {
	if !l.refilledAt.Before(l.silence.lateUntil) {
		l.silence.withheld = 0
	}
	covered := min(operations, l.silence.withheld)
	l.silence.withheld -= covered
	return covered
}

// isIsolated reports whether fewer than half of the known instances are live.
func (l *Limiter) isIsolated() bool { return l.live*2 <= l.known }

// updateCoverage sums up the peers whose reports are recent enough.
func (l *Limiter) updateCoverage(now time.Time) {
	if now.Sub(l.coverage.at) < totalsInterval {
		return
	}
	l.coverage = coverage{at: now}
	for _, p := range l.peers {
		if now.Sub(p.accountedAt) <= maxReportAge {
			l.coverage.instances += p.instances
			l.coverage.demand += p.demand
		}
	}
}

// detachedShare returns this instance's share of the refill while it is detached. While most
// instances live, statements still reach the instances that they reached before, and the
// last known share holds. Once the instance is isolated, clients and relayed statements have
// gone elsewhere: the instances that know of each other divide their part of the limit, which
// is proportional to their number, by demand.
func (l *Limiter) detachedShare(now time.Time) float64 {
	if !l.isIsolated() && l.silence.shareAt > 0 {
		return l.silence.shareAt
	}
	covered := min(1+l.coverage.instances, l.known)
	part := float64(covered) / float64(l.known)
	idleDemand := idleDemandFraction * l.limit.Rate / float64(l.known)
	own := l.updateDemand(now) + idleDemand
	total := own + max(l.coverage.demand, 0) + idleDemand*float64(covered-1)
	if total <= 0 {
		return 1 / float64(l.known)
	}
	return part * own / total
}
