// Package control implements the control plane of an instance: the active
// bundle, the peers and their liveness, the lease on a share of all limits, and
// the failover state of each database group.
//
// A single goroutine, Plane.Run, owns this state. It passes events to the state
// machines of the core packages and executes the actions that they return.
// Goroutines that serve traffic are called traffic goroutines here. They read
// immutable snapshots, and rate limits under a mutex per limit, so that they
// never wait for the control goroutine.
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
	// tickInterval is the period of the control loop. Members are probed every
	// 100 ms, so a fifth of that adds little to the duration of a failover.
	tickInterval = 20 * time.Millisecond
	// heartbeatInterval is the period of heartbeats to each peer.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat call. It is shorter than
	// heartbeatInterval, so that a paused peer does not delay the next heartbeat.
	heartbeatTimeout = 400 * time.Millisecond
	// eventQueueSize is the capacity of the event channel of the control loop.
	eventQueueSize = 1024
)

// Config holds the identity, dependencies and callbacks of a Plane.
type Config struct {
	Self  platform.Instance
	Store platform.Store
	Peers *peer.Clients
	// TrustedKeys holds the public keys that may sign bundles, by key ID.
	TrustedKeys map[string]ed25519.PublicKey
	Log         *logrus.Entry
	// BackendUser and BackendPassword are the credentials with which the instance
	// logs in to database members. The password is empty if they require none.
	BackendUser, BackendPassword string
	// Seed seeds the random back-off of failover attempts.
	Seed uint64
	// OnBundle is called by the control goroutine after a bundle has been
	// activated. It must not block.
	OnBundle func(*bundle.Compiled)
	// CancelLocal passes a cancel request from a peer to the local sessions and
	// reports whether it matches the cancel key of one of them.
	CancelLocal func(pid uint32, secret []byte) bool
	// CountClients returns the number of connected clients.
	CountClients func() int
}

// Plane is the control plane of one instance. Its exported methods are safe for
// concurrent use, except that Run must be called once.
type Plane struct {
	cfg       Config
	events    chan func(now time.Time)
	startedAt time.Time
	// ctx is cancelled when Run returns.
	ctx  context.Context
	stop context.CancelFunc

	// The fields below are accessed by the control goroutine only.
	rollout          rolloutState
	instances        map[string]*instanceView
	leases           *leaseState
	nextHeartbeat    time.Time
	nextListRead     time.Time
	listReadInFlight bool

	// The fields below are also read by traffic goroutines.
	snapshot atomic.Pointer[snapshot]
	groups   groupSet
	limits   limitSet
	draining atomic.Bool
}

// snapshot is the immutable state that traffic goroutines read.
type snapshot struct {
	bundle *bundle.Compiled
	// currentUntil is the time until which the instance may accept client keys
	// without a further contact with the store or with a majority of its peers.
	currentUntil time.Time
}

// New returns a control plane that does nothing until Run is called.
func New(cfg Config) *Plane {
	p := &Plane{
		cfg: cfg, events: make(chan func(time.Time), eventQueueSize), startedAt: time.Now(),
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

// Run executes the control loop until the context is cancelled.
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

// post queues a function for the control goroutine. It blocks while the queue is
// full, and drops the function if the context is cancelled first.
func (p *Plane) post(ctx context.Context, apply func(now time.Time)) {
	select {
	case p.events <- apply:
	case <-ctx.Done():
	}
}

// postUntilStopped is like post, but drops the function only if Run has returned.
func (p *Plane) postUntilStopped(apply func(now time.Time)) { p.post(p.ctx, apply) }

// runAndWait runs a function on the control goroutine and waits until it has
// returned. It fails if the context is cancelled first; the function may then
// still run.
func (p *Plane) runAndWait(ctx context.Context, apply func(now time.Time)) error {
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

// publish replaces the snapshot for traffic goroutines if it has changed.
func (p *Plane) publish() {
	next := snapshot{bundle: p.rollout.core.Active(), currentUntil: p.rollout.core.CurrentUntil()}
	if *p.snapshot.Load() != next {
		p.snapshot.Store(&next)
	}
}

// Bundle returns the active bundle, or nil if there is none yet.
func (p *Plane) Bundle() *bundle.Compiled { return p.snapshot.Load().bundle }

// CheckServing returns nil if the instance may start a request now. It must be called
// at the start of every request: after a pause of the process, requests are then
// refused until the instance has been in contact with the store or with a majority
// of its peers again.
func (p *Plane) CheckServing() error {
	s := p.snapshot.Load()
	switch {
	case s.bundle == nil:
		return verdict.New(verdict.NotRun, verdict.NoPrimary, "the instance has no configuration yet")
	case time.Now().After(s.currentUntil):
		return verdict.New(verdict.NotRun, verdict.NoPrimary,
			"the instance has been cut off from the store and from its peers for %s", bundle.ContactTTL)
	case p.draining.Load():
		// This case comes last: sessions let open transactions continue after a
		// shutdown refusal, but not after one of the others.
		return verdict.New(verdict.NotRun, verdict.ShuttingDown, "the instance is shutting down")
	}
	return nil
}

// SetDraining makes the instance refuse new requests and announce in its
// heartbeats that it is leaving.
func (p *Plane) SetDraining() { p.draining.Store(true) }

// storeInterval returns the period of this instance's reads of the bundle head
// and of the instance list.
func (p *Plane) storeInterval() time.Duration { return bundle.HeadReadInterval(len(p.instances) + 1) }
