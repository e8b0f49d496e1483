package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/usage"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

const (
	// usageSendInterval is the interval at which changed counts are sent to the gatherers.
	usageSendInterval = time.Second
	// usageCloseDelay is the delay after the end of a window after which its last counts are
	// sent: most statements that were in progress at the end have been answered by then. If
	// some have not, they are sent again every usageCloseInterval until all have been.
	usageCloseDelay    = 300 * time.Millisecond
	usageCloseInterval = 250 * time.Millisecond
	// usageTickInterval is the interval between checks for due messages.
	usageTickInterval = 50 * time.Millisecond
)

// usageDestination is a gatherer to which this instance sends its counts.
type usageDestination struct {
	// version and through are what the gatherer has acknowledged, and started is the start
	// time of its process, 0 before the first response.
	version   uint64
	through   usage.Window
	started   int64
	roundTrip time.Duration
	sentAt    time.Duration
	sending   bool
}

// usageSender sends this instance's counts to the gatherers of its zone.
type usageSender struct {
	gw *Gateway

	mu           sync.Mutex
	destinations map[string]*usageDestination // guarded by mu
	// droppedLogged is the number of dropped requests at the last log line. Only run uses it.
	droppedLogged uint64
}

func newUsageSender(g *Gateway) *usageSender {
	return &usageSender{gw: g, destinations: map[string]*usageDestination{}}
}

// run sends counts until ctx is done.
func (u *usageSender) run(ctx context.Context) {
	ticker := time.NewTicker(usageTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			u.sendDue(ctx)
		}
	}
}

// sendDue sends to each gatherer to which a message is due.
func (u *usageSender) sendDue(ctx context.Context) {
	counter := u.gw.usageCounter
	u.logDropped()
	now := counter.now()
	ended := usage.WindowAt(now.True, counter.window) - 1
	sinceEnd := now.True - ended.End(counter.window)
	gatherers := u.gw.peers.liveInstances().gatherers(u.gw.cfg.Zone)
	u.mu.Lock()
	maps.DeleteFunc(u.destinations, func(id string, _ *usageDestination) bool { return !slices.Contains(gatherers, id) })
	var due []string
	for _, id := range gatherers {
		d := u.destinations[id]
		if d == nil {
			d = &usageDestination{}
			u.destinations[id] = d
		}
		since := now.Boot - d.sentAt
		closes := d.through < ended && sinceEnd >= usageCloseDelay && since >= usageCloseInterval
		if !d.sending && (since >= usageSendInterval || closes) {
			due = append(due, id)
			d.sending, d.sentAt = true, now.Boot
		}
	}
	u.mu.Unlock()
	for _, id := range due {
		go u.send(ctx, id)
	}
}

// logDropped logs that counts were dropped before their window was too old to be reported.
// Older ones are dropped at each new window.
func (u *usageSender) logDropped() {
	early, total := u.gw.usageCounter.dropped()
	if early > u.droppedLogged {
		u.droppedLogged = early
		u.gw.log.WithFields(logrus.Fields{"event": "usage-dropped", "requests": early, "total": total}).Error("usage counts dropped before they were too old to be reported")
	}
}

// send sends the changed counts to a gatherer, if there are any or a window has ended.
func (u *usageSender) send(ctx context.Context, id string) {
	u.mu.Lock()
	d := u.destinations[id]
	if d == nil {
		u.mu.Unlock()
		return
	}
	known := *d
	u.mu.Unlock()
	known.sending = false
	defer func() {
		u.mu.Lock()
		known.sentAt = d.sentAt
		*d = known
		u.mu.Unlock()
	}()
	counts, version, through := u.gw.usageCounter.since(known.version)
	if len(counts) == 0 && through <= known.through && known.started != 0 {
		return
	}
	if id == u.gw.cfg.ID {
		u.gw.usageGatherer.merge(u.gw.usageSource(), counts, through)
		known.started = u.gw.started
		known.acknowledge(counts, version, through)
		return
	}
	client := u.gw.peers.clientOf(id)
	if client == nil {
		return // the peer is gone; the next check chooses another gatherer
	}
	request := &pb.RecordUsageRequest{
		Source: u.gw.cfg.ID, Started: u.gw.started, Through: int64(through),
		ClockUs: u.gw.usageCounter.rawMicros(), RoundTripUs: known.roundTrip.Microseconds(),
		ReceiverStarted: known.started,
	}
	for window, c := range counts {
		request.Windows = append(request.Windows, &pb.UsageWindow{Window: int64(window), Counts: encodeUsageCounts(c)})
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	asked := bootTime()
	answer, err := client.RecordUsage(ctx, request)
	known.roundTrip = bootTime() - asked
	if err != nil {
		known.roundTrip = 0
		u.gw.log.WithFields(logrus.Fields{"event": "usage-counts", "gatherer": id}).WithError(err).Debug("cannot send counts; they will be sent again")
		return
	}
	u.gw.usageCounter.observeClock(id, time.Duration(answer.ClockUs-request.ClockUs)*time.Microsecond, known.roundTrip)
	if known.started != 0 && answer.Started != known.started {
		// The gatherer has restarted and lost what it had acknowledged.
		known.version, known.through, known.started = 0, 0, answer.Started
		return
	}
	known.started = answer.Started
	known.acknowledge(counts, version, through)
}

// acknowledge records what the gatherer has.
func (d *usageDestination) acknowledge(counts map[usage.Window]usage.Counts, version uint64, through usage.Window) {
	if len(counts) > 0 {
		// The version of an answer without changes also covers what is counted later.
		d.version = version
	}
	d.through = max(d.through, through)
}

// flush sends the last counts, when this instance runs no statements any more. It returns
// after usageFlushTimeout at the latest.
func (u *usageSender) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), usageFlushTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, id := range u.gw.peers.liveInstances().gatherers(u.gw.cfg.Zone) {
		u.mu.Lock()
		if u.destinations[id] == nil {
			u.destinations[id] = &usageDestination{}
		}
		u.mu.Unlock()
		calls.Add(1)
		go func() {
			defer calls.Done()
			u.send(ctx, id)
		}()
	}
	calls.Wait()
}

// usageFlushTimeout bounds the wait for the gatherers at the end of the process. It is part
// of the margin that draining leaves before the end of the grace period.
const usageFlushTimeout = 250 * time.Millisecond

// since returns the counts that have changed since the version, the version to name in the
// next call, and the last window of which all has been counted.
func (c *usageCounter) since(version uint64) (map[usage.Window]usage.Counts, uint64, usage.Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, current := c.counter.Since(version)
	return counts, current, c.completeThrough()
}

// usageSource identifies this process as a source of counts.
func (g *Gateway) usageSource() usage.Source {
	return usage.Source{Instance: g.cfg.ID, Started: g.started}
}

// clientOf returns the client of a peer, or nil if it is not known.
func (ps *peers) clientOf(id string) pb.Gate {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if p := ps.byID[id]; p != nil {
		return p.client
	}
	return nil
}
