package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/usage"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// startUsageSources starts instances of one zone that know each other and send each other
// counts. The wall clock of the nth one is off by offsets[n]. restart replaces what answers at
// an instance's address by another process of it.
func startUsageSources(t *testing.T, offsets ...time.Duration) (all []*Gateway, restart func(n int) *Gateway) {
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	handlers := make([]atomic.Pointer[Gateway], len(offsets))
	var entries []Change[Instance]
	for n, offset := range offsets {
		g := newUsageSource(t, n)
		id := g.cfg.ID
		g.usageCounter.clock = usage.NewClock(time.Duration(time.Now().UnixNano())+offset, bootTime())
		handlers[n].Store(g)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handlers[n].Load().peers.handler().ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		all = append(all, g)
		entries = append(entries, Change[Instance]{Key: id, Value: Instance{ID: id, Zone: "z", PeerAddress: strings.TrimPrefix(server.URL, "http://"), Started: g.started}})
	}
	for _, g := range all {
		running.Add(1)
		go func() {
			defer running.Done()
			g.usageSender.run(ctx)
		}()
	}
	running.Add(1)
	go func() { // keeps the instances alive in each other's view
		defer running.Done()
		for ctx.Err() == nil {
			for _, g := range all {
				g.peers.applyListing(entries)
				g.peers.mu.Lock()
				for _, p := range g.peers.byID {
					p.lastHeard = time.Now()
				}
				g.peers.mu.Unlock()
			}
			sleep(ctx, 100*time.Millisecond)
		}
	}()
	t.Cleanup(func() { stop(); running.Wait() })
	return all, func(n int) *Gateway {
		g := newUsageSource(t, n)
		g.started = all[n].started + 1
		handlers[n].Store(g)
		return g
	}
}

// newUsageSource returns the nth instance, which is named by the nth letter.
func newUsageSource(t *testing.T, n int) *Gateway {
	log := logrus.New()
	log.SetOutput(testWriter{t})
	return New(Config{
		ID: string(rune('a' + n)), Zone: "z", FirstStart: true, Log: logrus.NewEntry(log),
		UsageReports: UsageReports{Window: testUsageWindow, Lateness: 5 * time.Second, Tolerance: 0.05},
	})
}

// An instance that starts while its wall clock is wrong must not count into other windows
// than the others, and must not move their clocks.
func TestUsageClockOfAnInstanceIsOutvoted(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	all, _ := startUsageSources(t, 0, 0, 7*time.Second, 0, 0)
	offset := func(n int) time.Duration {
		return all[n].usageCounter.now().True - time.Duration(time.Now().UnixNano())
	}
	g.Expect(offset(2)).To(BeNumerically("~", 7*time.Second, 50*time.Millisecond))
	g.Eventually(func() time.Duration { return offset(2) }, testTimeout, testPoll).Should(BeNumerically("~", 0, 50*time.Millisecond))
	for n := range all {
		g.Expect(offset(n)).To(BeNumerically("~", 0, 50*time.Millisecond))
	}
}

// A gatherer that restarts has lost what it acknowledged. The sources must send it again,
// and a window must count as complete at both gatherers.
func TestUsageCountsAreSentAgainToARestartedGatherer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	all, restart := startUsageSources(t, 0, 0, 0)
	var gatherers []string
	g.Eventually(func() []string { gatherers = all[0].peers.liveInstances().gatherers("z"); return gatherers }, testTimeout, testPoll).Should(HaveLen(gatherersPerZone))
	gatherer, source := all[gatherers[0][0]-'a'], all[gatherers[1][0]-'a']
	attempt := source.usageCounter.begin()
	window := attempt.window
	source.usageCounter.end(attempt, "coop", attempt.sentAt, 5)
	known := func() usage.SourceCount {
		for _, s := range gatherer.usageGatherer.sum(window).Sources {
			if s.Source == source.usageSource() {
				return s
			}
		}
		return usage.SourceCount{}
	}
	complete := usage.SourceCount{Source: source.usageSource(), Requests: 5, Complete: true}
	g.Eventually(known, testTimeout, testPoll).Should(Equal(complete))
	gatherer = restart(int(gatherers[0][0] - 'a'))
	g.Expect(known()).To(Equal(usage.SourceCount{}))
	partial := false
	g.Eventually(func() usage.SourceCount {
		s := known()
		partial = partial || s.Complete && s != complete
		return s
	}, testTimeout, testPoll).Should(Equal(complete))
	g.Expect(partial).To(BeFalse(), "a sum without what the former process had counts as complete")
}

// A window is not complete while an attempt that was sent in it has not been answered: its
// count would be missing in a report.
func TestUsageWindowWaitsForItsLastAttempt(t *testing.T) {
	g := NewWithT(t)
	c := newUsageCounter(testUsageWindow)
	through := func() usage.Window { _, _, w := c.since(0); return w }
	attempt := c.begin()
	g.Eventually(func() usage.Window { return usage.WindowAt(c.now().True, testUsageWindow) }, 2*testUsageWindow, testPoll).Should(Equal(attempt.window + 1))
	g.Expect(through()).To(Equal(attempt.window - 1))
	c.end(attempt, "coop", attempt.sentAt, 1)
	g.Expect(through()).To(Equal(attempt.window))
}

// A restarted gatherer that receives only what has changed must not call the sums complete.
func TestUsageCountsForAFormerProcessAreNotComplete(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	gw := newUsageSource(t, 0)
	record := func(receiver int64) []usage.SourceCount {
		_, err := gw.peers.RecordUsage(context.Background(), &pb.RecordUsageRequest{
			Source: "b", Started: 1, Through: 7, ReceiverStarted: receiver,
			Windows: []*pb.UsageWindow{{Window: 7, Counts: []*pb.UsageCount{{Workspace: "coop", Count: 5}}}},
		})
		g.Expect(err).NotTo(HaveOccurred())
		return gw.usageGatherer.sum(7).Sources
	}
	source := usage.SourceCount{Source: usage.Source{Instance: "b", Started: 1}, Requests: 5}
	g.Expect(record(gw.started - 1)).To(ConsistOf(source))
	source.Complete = true
	g.Expect(record(gw.started)).To(ConsistOf(source))
}
