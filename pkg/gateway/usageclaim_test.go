package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/revision"
	"github.com/mulberrysill/mulberrysill/core/usage"
)

// listUsagePeers adds peers that are listed but were never heard from.
func listUsagePeers(g *Gateway, ids ...string) {
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	for _, id := range ids {
		g.peers.upsert(Instance{ID: id, PeerAddress: "127.0.0.1:1", Started: 1})
	}
}

// A clock that has not been compared must not date the era: one that is behind made the
// holder accept rows of the former era, which a late transaction may have written.
func TestUsageEraIsNotDatedByAnUncomparedClock(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	gw := newUsageSource(t, 0)
	gw.usageCounter.clock = usage.NewClock(time.Duration(time.Now().UnixNano())-time.Minute, bootTime())
	listUsagePeers(gw, "x", "y")
	gw.observeEra(1)
	h := newUsageHolder(gw)
	h.observeLease(context.Background())
	for _, id := range []string{"x", "y"} {
		gw.usageCounter.observeClock(id, time.Minute, 0)
	}
	h.observeLease(context.Background())
	window := usage.WindowAt(h.now().True, testUsageWindow) - 5
	h.ledger.TookOver(h.now(), []usage.FixedReport{{Report: usage.Report{Window: window, Counts: usage.Counts{"coop": 3}}, Rows: 1}}, nil)
	g.Expect(h.ledger.Next(h.now()).Kind).NotTo(Equal(usage.Send))
}

// An instance that hears nobody must not take over on its uncompared clock: the others are
// cut off from it, not gone.
func TestUsageClockOfAnIsolatedInstanceIsNotCompared(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	gw := newUsageSource(t, 0)
	g.Expect(gw.clockIsCompared()).To(BeTrue(), "there are no others")
	listUsagePeers(gw, "x", "y", "z")
	gw.peers.mu.Lock()
	for _, p := range gw.peers.byID {
		p.addedAt = time.Now().Add(-2 * peerAliveTimeout)
	}
	gw.peers.byID["z"].leaving = true
	gw.peers.mu.Unlock()
	g.Expect(gw.clockIsCompared()).To(BeFalse())
	gw.usageCounter.observeClock("x", 0, 0)
	g.Expect(gw.clockIsCompared()).To(BeFalse())
	gw.usageCounter.observeClock("y", 0, 0)
	g.Expect(gw.clockIsCompared()).To(BeTrue())
}

// A promotion of the same process may have renewed the claim before a report was refused.
// Claiming once more would give later promotions a lower token than reports.
func TestUsageHolderDoesNotClaimOverItsOwnRenewal(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	a, _ := startUsageHolder(t, p, "a", 7)
	p.setHooks(nil, nil, func(_ string, call int) error {
		if call > 1 {
			return nil
		}
		duty, _ := p.ReadDuty(context.Background())
		if _, err := p.ClaimDuty(context.Background(), duty, "a", a.started); err != nil {
			return err
		}
		return ErrFenced
	})
	p.claim(a)
	g.Eventually(func() int { return len(p.callsOf("a")) }, testTimeout, testPoll).Should(BeNumerically(">=", 2))
	calls := p.callsOf("a")
	g.Expect(calls[1].duty.Token).To(Equal(calls[0].duty.Token+1), "the renewed claim")
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(p.claims).To(Equal(2), "the claim of the test and the renewal")
}

// A report whose action was decided before a renewal must not be sent with the former token
// once a promotion may have used the new one.
func TestUsageReportIsNotSentWithAFormerTokenOfItsProcess(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	gw := newUsageSource(t, 0)
	gw.cfg.Store, gw.cfg.UsageStore, gw.cfg.UsageReporter = p, p, p
	p.claim(gw)
	former, _, _ := gw.peers.dutyHolder()
	p.claim(gw)
	h := newUsageHolder(gw)
	h.send(context.Background(), usage.Action{Kind: usage.Send}, former, former, bootTime())
	g.Expect(p.callsOf("")).To(BeEmpty())
	renewed, _, _ := gw.peers.dutyHolder()
	h.send(context.Background(), usage.Action{Kind: usage.Send}, renewed, renewed, bootTime())
	g.Expect(p.callsOf("")).To(HaveLen(1))
}

// A ledger that does not know of a new era must not act under a claim of that era: rows of
// the former era would count as accepted in the new one.
func TestUsageLedgerOfAFormerEraDoesNotAct(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	gw := newUsageSource(t, 0)
	gw.cfg.Store, gw.cfg.UsageStore, gw.cfg.UsageReporter = p, p, p
	p.duty = Duty{Token: revision.New(2, 1), ClaimedIn: 2}
	gw.observeEra(2)
	ageEra(gw, minDutyTenure)
	p.claim(gw)
	g.Expect(gw.controller.mayAct()).To(BeTrue())
	h := newUsageHolder(gw)
	h.holding, h.knownEra = true, 1
	h.ledger.EraChanged(1, 0)
	window := usage.WindowAt(h.now().True, testUsageWindow) - 2
	h.ledger.TookOver(h.now(), []usage.FixedReport{{Report: usage.Report{Window: window, Counts: usage.Counts{"coop": 3}}, Era: 1, Rows: 1}}, nil)
	h.act(context.Background())
	g.Expect(h.ledger.Next(h.now()).Kind).To(Equal(usage.Send), "the ledger still waits to send")
}

// A holder that is cut off from others must not fix its own counts as those of all before
// the last time at which it asks.
func TestUsageHolderWaitsForSilentInstances(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	a, _ := startUsageHolder(t, p, "a", 7)
	listUsagePeers(a, "x")
	a.peers.mu.Lock()
	a.peers.byID["x"].addedAt = time.Now().Add(-2 * peerAliveTimeout)
	a.peers.mu.Unlock()
	a.usageCounter.observeClock("x", 0, 0)
	p.claim(a)
	g.Eventually(func() int { return len(p.callsOf("a")) }, testTimeout, testPoll).Should(BeNumerically(">=", 2))
	for _, c := range p.callsOf("a") {
		sinceEnd := time.Duration(c.at.UnixNano()) - c.report.Window.End(testUsageWindow)
		g.Expect(sinceEnd).To(BeNumerically(">", 2700*time.Millisecond), "the last time is 3.5 s after the end, less the interval of 0.7 s")
	}
}

// Rows that cannot be decoded must not keep a holder from reporting later windows, also if
// there are no others.
func TestUsageHolderTakesOverBesidesUndecodableRows(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	a, _ := startUsageHolder(t, p, "a", 7)
	window := usage.WindowAt(a.usageCounter.now().True, testUsageWindow)
	_, p.broken = usage.ParseRows([]usage.Row{{Key: usage.RowKey(window, 0), Value: []byte("{")}})
	p.claim(a)
	g.Eventually(func() int { return len(p.callsOf("a")) }, testTimeout, testPoll).Should(BeNumerically(">=", 1))
	g.Expect(p.callsOf("a")[0].report.Window).To(Equal(window + 1))
}
