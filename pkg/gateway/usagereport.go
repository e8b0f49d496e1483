package gateway

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/revision"
	"github.com/mulberrysill/mulberrysill/core/usage"
)

const (
	// usageCheckInterval is the interval at which the holder looks for due actions and for
	// changes of the lease and the era. Answers to its calls are handled at once.
	usageCheckInterval = 100 * time.Millisecond
	// usageCheckAge is the time for which a check of the lease counts: a report is sent only
	// if the transaction or the reading that confirmed the lease was asked less than this
	// before.
	usageCheckAge = 200 * time.Millisecond
	// usageTakeoverDelay is how long a claim must have been held before the new holder sends
	// reports. A former holder that confirmed its lease just before the claim may send for
	// usageCheckAge, and its call takes a while to arrive. Promotions do not wait; see
	// docs/PROMISES.md.
	usageTakeoverDelay = time.Second
	// usageCallTimeout bounds one call to the platform. A call without an answer is repeated.
	usageCallTimeout = time.Second
	// usageEventBuffer exceeds the number of calls that can be in progress, so that no call
	// waits to deliver its answer.
	usageEventBuffer = 16
)

// usageHolder fixes and sends the usage reports while this instance holds the promotion
// lease. All fields belong to the goroutine of run.
type usageHolder struct {
	gw     *Gateway
	ledger *usage.Ledger
	events chan func(now usage.Time)
	// holding is set while the ledger may act, and takingOver while the fixed reports are
	// being listed. tenure numbers the tenures, so that a listing for a former one is
	// ignored.
	holding, takingOver bool
	tenure              uint64
	// heldSince is when this process was first seen as the holder, on the clock of bootTime;
	// 0 if it is not.
	heldSince time.Duration
	listedAt  time.Duration
	// obstacle is the reason for which the last listing was ignored, so that it is logged once.
	obstacle  string
	knownEra  uint64
	datedEra  uint64        // the last era of which the ledger has been told since when it is known
	checkedAt time.Duration // when the last confirmation of the lease was asked
	checked   Duty          // the lease that was confirmed
	// refused is the token that the platform has refused, until the lease was read; 0 if none.
	refused    revision.Revision
	gathered   map[usage.Window]usage.Gathered
	lateLogged usage.Window
	// oldest is the oldest window that has not been accepted, and oldestSince since when it
	// has been, on the clock of bootTime.
	oldest      usage.Window
	oldestSince time.Duration
	stats       usageStats
}

func newUsageHolder(g *Gateway) *usageHolder {
	return &usageHolder{
		gw: g, ledger: usage.NewLedger(g.cfg.UsageReports.Window, g.cfg.UsageReports.Lateness),
		events: make(chan func(usage.Time), usageEventBuffer), gathered: map[usage.Window]usage.Gathered{},
		lateLogged: usage.NoWindow, stats: newUsageStats(g.cfg.Metrics),
	}
}

// run acts until ctx is done.
func (h *usageHolder) run(ctx context.Context) {
	ticker := time.NewTicker(usageCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-h.events:
			// The ledger must know of a new era before it takes an answer.
			h.observeLease(ctx)
			event(h.now())
		case <-ticker.C:
		}
		h.observeLease(ctx)
		h.act(ctx)
		h.observeProgress()
	}
}

func (h *usageHolder) now() usage.Time { return h.gw.usageCounter.now() }

// post delivers the answer to a call, unless the instance is stopping.
func (h *usageHolder) post(ctx context.Context, event func(now usage.Time)) {
	select {
	case h.events <- event:
	case <-ctx.Done():
	}
}

// observeLease passes changes of the lease and of the store's era to the ledger.
func (h *usageHolder) observeLease(ctx context.Context) {
	now := h.now()
	if era, age := h.gw.eras.knownFor(); era > 0 {
		if era != h.knownEra {
			h.holding, h.knownEra = false, era
			h.tenure++
		}
		// The ledger keeps the earliest time that it is told, so that a wrong clock must not
		// date the era. Until then all windows count as ended before it.
		since := time.Duration(math.MaxInt64)
		if h.gw.clockIsCompared() {
			since, h.datedEra = now.True-age, era
		}
		h.ledger.EraChanged(era, since)
	}
	duty, _, _ := h.gw.peers.dutyHolder()
	if !h.gw.controller.mayAct() || duty.Token.Era() != h.knownEra {
		if h.heldSince != 0 {
			h.ledger.LeaseLost()
			h.tenure++
		}
		h.holding, h.heldSince = false, 0
		return
	}
	if h.heldSince == 0 {
		h.heldSince = now.Boot
	}
	if !h.holding && !h.takingOver && now.Boot-h.heldSince >= usageTakeoverDelay && now.Boot-h.listedAt >= claimRetryInterval {
		h.takingOver, h.listedAt = true, now.Boot
		go h.takeOver(ctx, h.tenure)
	}
}

// takeOver lists the fixed reports for a new holder.
func (h *usageHolder) takeOver(ctx context.Context, tenure uint64) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var fixed []usage.FixedReport
	err := h.compareClocks(callCtx)
	if err == nil {
		fixed, err = h.gw.cfg.UsageStore.FixedUsage(callCtx)
	}
	undecodable := new(usage.UndecodableError)
	if errors.As(err, &undecodable) {
		// No report of these windows can be fixed, because their rows are in the way.
		h.gw.log.WithField("event", "usage-rows").WithError(err).Error("some fixed usage reports cannot be read")
		err = nil
	}
	duty, asked := Duty{}, bootTime()
	if err == nil {
		duty, err = h.gw.controller.readDuty(callCtx)
	}
	if err != nil {
		h.gw.log.WithField("event", "usage-rows").WithError(err).Info("cannot list the fixed usage reports; retrying")
	}
	h.post(ctx, func(now usage.Time) {
		h.takingOver = false
		if err != nil {
			return
		}
		if reason := h.takeoverObstacle(tenure, duty); reason != "" {
			if reason != h.obstacle {
				h.gw.log.WithFields(logrus.Fields{"event": "usage-holder", "reason": reason, "token": duty.Token, "holder": duty.Holder}).Info("this instance does not take over the usage reports")
			}
			h.obstacle = reason
			return
		}
		h.obstacle = ""
		h.holding, h.checked, h.checkedAt = true, duty, asked
		h.ledger.TookOver(now, fixed, undecodable.Windows)
		h.gw.log.WithFields(logrus.Fields{"event": "usage-holder", "token": duty.Token, "fixed": len(fixed)}).Info("this instance sends the usage reports")
	})
}

// takeoverObstacle returns why a listing does not make this process the holder, or "".
func (h *usageHolder) takeoverObstacle(tenure uint64, duty Duty) string {
	switch {
	case !h.isHolder(duty):
		return "other-holder"
	case duty.Token.Era() != h.knownEra:
		return "other-era"
	case tenure != h.tenure:
		return "lease-changed"
	case h.datedEra != h.knownEra:
		return "clock-not-compared"
	}
	return ""
}

// errClockNotCompared means that the clock was not compared with enough other instances.
var errClockNotCompared = errors.New("the clock was not compared with enough instances")

// compareClocks makes sure that this instance's clock was compared with minComparedClocks
// others, or with all if there are fewer. The rule for restorations compares the end of a
// window with the time at which the era became known; see docs/design/usage.md.
func (h *usageHolder) compareClocks(ctx context.Context) error {
	if h.gw.clockIsCompared() {
		return nil
	}
	h.gw.peers.collectUsage(ctx, usage.WindowAt(h.now().True, h.gw.cfg.UsageReports.Window)-1)
	if h.gw.clockIsCompared() {
		return nil
	}
	return errClockNotCompared
}

// clockIsCompared reports whether this instance's clock is corrected by those of enough
// others at this moment. Offsets expire, so that a comparison does not hold for ever. Others
// that are not heard of count until they are forgotten: this instance may be cut off.
func (g *Gateway) clockIsCompared() bool {
	live, silent := g.peers.usageSources()
	return g.usageCounter.comparedClocks() >= min(minComparedClocks, len(live)+len(silent)-1)
}

// minComparedClocks is the number of other instances whose clocks outvote that of this one.
const minComparedClocks = 2

// isHolder reports whether the lease is a valid claim of this process.
func (h *usageHolder) isHolder(d Duty) bool {
	return d.Holder == h.gw.cfg.ID && d.Started == h.gw.started && !d.IsVoid()
}

// isCurrentClaim reports whether the claim is the newest one that this process knows and its
// own.
func (ps *peers) isCurrentClaim(d Duty) bool {
	current, self, _ := ps.dutyHolder()
	return self && current.Token == d.Token
}

// act starts the due actions.
func (h *usageHolder) act(ctx context.Context) {
	if !h.holding {
		return
	}
	duty, self, _ := h.gw.peers.dutyHolder()
	if !self || duty.Token.Era() != h.knownEra || !h.gw.controller.mayAct() {
		return // the lease or the era has changed since observeLease, which will find out
	}
	for {
		now := h.now()
		switch a := h.ledger.Next(now); a.Kind {
		case usage.Wait:
			return
		case usage.Gather:
			go h.gather(ctx, a)
		case usage.Fix:
			if a.Gathered.Counts != nil {
				h.gathered[a.Window] = a.Gathered
			}
			go h.fix(ctx, a, duty)
		case usage.Send:
			go h.send(ctx, a, duty, h.checked, h.checkedAt)
		case usage.GiveUp:
			h.logGivenUp(a)
		case usage.ReadLease:
			go h.readLease(ctx, a, h.refused)
		}
	}
}

// gather asks the gatherers of all zones for the sums of a window.
func (h *usageHolder) gather(ctx context.Context, a usage.Action) {
	sums := h.gw.peers.collectUsage(ctx, a.Window)
	live, silent := h.gw.peers.usageSources()
	gathered := usage.Combine(sums, live, silent)
	h.post(ctx, func(now usage.Time) { h.ledger.Gathered(a.ID, now, gathered) })
}

// fix writes the report of a window to the store.
func (h *usageHolder) fix(ctx context.Context, a usage.Action, duty Duty) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := bootTime()
	fixed, err := h.gw.cfg.UsageStore.FixUsage(callCtx, duty, a.Report, a.AcceptedBefore, a.Drop)
	conflict := errors.Is(err, ErrConflict)
	if conflict {
		if _, readErr := h.gw.controller.readDuty(callCtx); readErr != nil {
			h.gw.log.WithField("event", "usage-lease").WithError(readErr).Info("cannot read the promotion lease; retrying")
		}
	}
	h.post(ctx, func(now usage.Time) {
		switch {
		case conflict:
			h.logOutcome("usage-refused", a, logrus.Fields{"by": "store"}).WithError(err).Info("the promotion lease has changed; report not fixed")
			h.stats.count("conflict")
			h.ledger.FixRefused(a.ID)
		case err != nil:
			h.logOutcome("usage-refused", a, logrus.Fields{"by": "store"}).WithError(err).Info("report not fixed; retrying")
			h.stats.count("fix-failed")
			h.ledger.FixFailed(a.ID, now)
		default:
			h.checked, h.checkedAt = duty, asked
			h.ledger.Fixed(a.ID, now, fixed)
			h.logFixed(a, fixed, now)
		}
	})
}

// errLeaseNotConfirmed means that the lease could not be confirmed shortly before a report
// was to be sent.
var errLeaseNotConfirmed = errors.New("the promotion lease was not confirmed")

// send sends a report if the lease has just been confirmed; otherwise it reads the lease
// first.
func (h *usageHolder) send(ctx context.Context, a usage.Action, duty, checked Duty, checkedAt time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	err, asked := error(nil), false
	if checked.Token != duty.Token || bootTime()-checkedAt >= usageCheckAge {
		checkedAt = bootTime()
		checked, err = h.gw.controller.readDuty(callCtx)
	}
	switch {
	case err != nil:
	case !h.isHolder(checked) || checked.Token != duty.Token || !h.gw.peers.isCurrentClaim(duty) || bootTime()-checkedAt >= usageCheckAge:
		err = errLeaseNotConfirmed
	default:
		sendCtx, cancel := context.WithTimeout(ctx, usageCallTimeout)
		defer cancel()
		asked = true
		err = h.gw.cfg.UsageReporter.ReportUsage(sendCtx, duty, a.Report)
	}
	h.post(ctx, func(now usage.Time) {
		refused := new(UsageRefusedError)
		switch {
		case err == nil:
			h.logSent(a, now)
			h.ledger.Sent(a.ID)
		case errors.Is(err, ErrFenced):
			h.logOutcome("usage-refused", a, logrus.Fields{"by": "platform", "token": duty.Token}).WithError(err).Warn("report refused; reading the promotion lease")
			h.stats.count("fenced")
			h.refused = duty.Token
			h.ledger.Fenced(a.ID)
		default:
			errors.As(err, &refused)
			by := "platform"
			if !asked {
				by = "store"
			}
			h.logOutcome("usage-refused", a, logrus.Fields{"by": by, "retryAfterMs": refused.RetryAfter.Milliseconds()}).WithError(err).Info("report not accepted; retrying")
			h.stats.count("not-accepted")
			h.ledger.SendFailed(a.ID, now, refused.RetryAfter)
		}
	})
}

// readLease reads the promotion lease after a rejected token. It claims the lease again only
// if that still has the token that the platform has refused. If a promotion of this process
// has renewed the claim meanwhile, the renewed one is used.
func (h *usageHolder) readLease(ctx context.Context, a usage.Action, refused revision.Revision) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	duty, err := h.gw.controller.readDuty(callCtx)
	kept := err == nil && h.isHolder(duty)
	if kept && duty.Token == refused {
		var claimed Duty
		if claimed, err = h.gw.cfg.Store.ClaimDuty(callCtx, duty, h.gw.cfg.ID, h.gw.started); err == nil {
			h.gw.peers.updateDuty(claimed)
		}
	}
	if err != nil {
		h.gw.log.WithField("event", "usage-lease").WithError(err).Info("cannot confirm the promotion lease; retrying")
	}
	h.post(ctx, func(now usage.Time) {
		switch {
		case err != nil:
			h.ledger.LeaseReadFailed(a.ID, now)
		case kept:
			h.refused = 0
			h.ledger.LeaseKept(a.ID)
		default:
			h.refused, h.holding = 0, false
			h.ledger.LeaseLost()
		}
	})
}
