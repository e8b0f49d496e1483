// Package control owns the control state of an entry instance: the bundle in
// force, the view of other instances, the lease with its shares, and the state
// of each database group. One goroutine owns all of it (Plane.Run). It feeds
// events to the core packages and carries out the actions that they return.
// Traffic goroutines read immutable snapshots and never wait for it.
package control

import (
	"context"
	"crypto/ed25519"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	"github.com/mulberrysill/mulberrysill/pkg/peer"
	"github.com/mulberrysill/mulberrysill/pkg/platform"
)

const (
	// tickInterval is the period of the control loop. Failure detection works
	// in steps of 100 ms, so a fifth of that adds little to a failover.
	tickInterval = 20 * time.Millisecond
	// heartbeatInterval is the period of heartbeats to each peer.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat, so that a paused peer does not
	// hold up the sender.
	heartbeatTimeout = 400 * time.Millisecond
	// eventQueue is the number of events that may wait for the control loop.
	eventQueue = 1024
)

// Config is what a Plane needs to run.
type Config struct {
	Self    platform.Instance
	Store   platform.Store
	Peers   *peer.Clients
	Trusted map[string]ed25519.PublicKey
	Log     *logrus.Entry
	// BackendUser and BackendPassword are the credentials towards backend
	// servers; the password is empty if they ask for none.
	BackendUser, BackendPassword string
	// Seed seeds random back-off.
	Seed uint64
	// OnBundle is called by the control goroutine after a bundle came into
	// force. It must not block.
	OnBundle func(*bundle.Compiled)
	// Cancel passes a cancel request from a peer to the local sessions and
	// reports whether one of them has the key.
	Cancel func(pid uint32, secret []byte) bool
	// Clients returns the number of connected clients.
	Clients func() int
}

// Plane is the control plane of one instance. Run owns the state; the methods
// that serve traffic and peers may be called by any goroutine.
type Plane struct {
	cfg    Config
	events chan func(now time.Time)
	start  time.Time
	// ctx ends when Run returns.
	ctx  context.Context
	stop context.CancelFunc

	// The fields below are owned by the goroutine of Run.
	rollout   rolloutState
	instances map[string]*instanceView
	leases    *leaseState
	nextBeat  time.Time
	nextList  time.Time
	listing   bool

	// The fields below are read by traffic goroutines.
	snapshot atomic.Pointer[snapshot]
	groups   groupSet
	limits   limitSet
	draining atomic.Bool
}

// snapshot is the immutable state that traffic goroutines read.
type snapshot struct {
	bundle *bundle.Compiled
	// currentUntil is the end of the time for which the instance may serve
	// keyed routes without a new proof of being current.
	currentUntil time.Time
}

// New returns a control plane; call Run to start it.
func New(cfg Config) *Plane {
	p := &Plane{
		cfg: cfg, events: make(chan func(time.Time), eventQueue), start: time.Now(),
		instances: map[string]*instanceView{},
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.groups.plane = p
	p.rollout.core = bundle.NewRollout(cfg.Self.ID)
	p.leases = newLeaseState(p)
	p.limits.init(p)
	p.snapshot.Store(&snapshot{})
	return p
}

// Run owns the control state until the context ends.
func (p *Plane) Run(ctx context.Context) {
	defer p.stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.groups.close()
			return
		case apply := <-p.events:
			apply(time.Now())
		case <-ticker.C:
			p.tick(ctx, time.Now())
		}
		p.publish()
	}
}

// post hands an event to the control goroutine.
func (p *Plane) post(ctx context.Context, apply func(now time.Time)) {
	select {
	case p.events <- apply:
	case <-ctx.Done():
	}
}

// offer hands an event to the control goroutine unless the instance is stopping.
func (p *Plane) offer(apply func(now time.Time)) { p.post(p.ctx, apply) }

// ask runs a function on the control goroutine and waits for it.
func (p *Plane) ask(ctx context.Context, apply func(now time.Time)) error {
	done := make(chan struct{})
	p.post(ctx, func(now time.Time) {
		apply(now)
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Plane) tick(ctx context.Context, now time.Time) {
	p.readInstanceList(ctx, now)
	p.readHead(ctx, now)
	p.sendHeartbeats(ctx, now)
	p.leases.step(ctx, now, lease.Tick{})
	p.groups.tick(ctx, now)
	p.limits.tick(ctx, now)
}

// publish replaces the snapshot if it changed.
func (p *Plane) publish() {
	next := snapshot{bundle: p.rollout.core.Active(), currentUntil: p.rollout.core.CurrentUntil()}
	if *p.snapshot.Load() != next {
		p.snapshot.Store(&next)
	}
}

// Bundle returns the bundle in force, or nil before the first.
func (p *Plane) Bundle() *bundle.Compiled { return p.snapshot.Load().bundle }

// Serving returns nil if the instance may start a request now. The check is
// made at the start of every request, so that a process that was paused
// refuses work before it has proved to be current again.
func (p *Plane) Serving() error {
	s := p.snapshot.Load()
	switch {
	case s.bundle == nil:
		return verdict.New(verdict.NotRun, verdict.NoPrimary, "the instance has no configuration yet")
	case time.Now().After(s.currentUntil):
		return verdict.New(verdict.NotRun, verdict.NoPrimary,
			"the instance has been cut off from the store and from its peers for %s", bundle.ContactTTL)
	case p.draining.Load():
		// It comes last, because open transactions go on during a shutdown only.
		return verdict.New(verdict.NotRun, verdict.ShuttingDown, "the instance is shutting down")
	}
	return nil
}

// SetDraining makes the instance announce that it leaves and refuse new work.
func (p *Plane) SetDraining() { p.draining.Store(true) }

// storeInterval returns the period of this instance's store reads.
func (p *Plane) storeInterval() time.Duration { return bundle.HeadReadInterval(len(p.instances) + 1) }
