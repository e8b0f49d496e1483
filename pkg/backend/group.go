package backend

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// Group manages the connections of one instance to one database group. It is safe
// for concurrent use, except that Start and Close must each be called once.
type Group struct {
	cfg       Config
	members   map[string]*member // not changed after NewGroup
	confirmer *confirmer
	sampler   positionSampler

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// mu guards the fields below, and the fields of member that are marked so.
	mu      sync.Mutex
	view    View
	viewSet bool
	// lastConfirmingTerm is the latest term for which the confirmation of its first
	// entry has been started.
	lastConfirmingTerm uint64
	stalenessTracker   *consistency.StalenessTracker
	queue              *admission.Queue
	waiters            map[uint64]*waiter
	lastWaiterID       uint64
	heldRequests       int
	runningReads       int
	runningWrites      int
	isClosed           bool
	// viewChanged and statusChanged are closed and replaced on each change.
	viewChanged, statusChanged chan struct{}
}

// NewGroup returns a group that has no connections and an empty view. It fails if the
// configuration has no members or contains one twice.
func NewGroup(cfg Config) (*Group, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	g := &Group{
		cfg:              cfg.withDefaults(),
		members:          map[string]*member{},
		confirmer:        newConfirmer(cfg.Members),
		stalenessTracker: consistency.NewStalenessTracker(len(cfg.Members)),
		queue:            admission.NewQueue(cfg.QueueLimit),
		waiters:          map[uint64]*waiter{},
		viewChanged:      make(chan struct{}),
		statusChanged:    make(chan struct{}),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	for _, m := range cfg.Members {
		g.members[m.Name] = newMember(&g.cfg, m)
	}
	return g, nil
}

// Start starts the probes of the members. Connections for transactions are opened
// once a View sets budgets for them.
func (g *Group) Start() {
	for _, m := range g.members {
		g.goroutines.Add(2)
		go g.probeLoop(m)
		go g.waitForCommits(m)
	}
	g.goroutines.Add(1)
	go g.maintainPools()
}

// Close refuses all waiting requests, closes idle connections and waits for the
// goroutines of the group. Connections that sessions hold are closed on release.
func (g *Group) Close() {
	g.cancel()
	g.mu.Lock()
	g.isClosed = true
	for id := range g.waiters {
		g.endWait(id, grant{err: g.closedError()})
	}
	for _, m := range g.members {
		g.closeIdle(m, func(*pooledConn) bool { return true })
	}
	g.mu.Unlock()
	g.goroutines.Wait()
	for _, m := range g.members {
		m.controls.close()
	}
}

// RunningTransactions returns the number of transactions that hold a connection, by
// the Read field of their requests.
func (g *Group) RunningTransactions() (reads, writes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runningReads, g.runningWrites
}

// MemberStats is a snapshot of the pool of one member.
type MemberStats struct {
	// Open counts idle connections and those held by transactions, Attached only the
	// latter. Opening counts the connections that are being opened.
	Open, Opening, Attached int
	// Waiting counts the requests that wait for a connection to the member.
	Waiting int
	// Limit is the number of connections that may currently be open.
	Limit int
	// Status is the last status of the member and StatusReceivedAt the time at which
	// it arrived; both are zero before the first status.
	Status           group.Status
	StatusReceivedAt time.Time
}

// Stats returns snapshots of the pools by member, and the number of held requests.
func (g *Group) Stats() (members map[string]MemberStats, held int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	members = map[string]MemberStats{}
	for name, m := range g.members {
		members[name] = MemberStats{
			Open: m.open, Opening: m.opening, Attached: len(m.attached), Waiting: m.waiting, Limit: m.limit(time.Now()),
			Status: m.status, StatusReceivedAt: m.statusReceivedAt,
		}
	}
	return members, g.heldRequests
}

// AttainedService returns the service that each workspace has attained on this
// instance since Start: the total time for which it held connections.
func (g *Group) AttainedService() map[string]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.AttainedService()
}

// RecordRemoteService records the service that workspaces have attained on another
// instance, in the form of AttainedService. The instance name must include the epoch,
// because a restarted instance counts from 0.
func (g *Group) RecordRemoteService(instance string, attained map[string]time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.RecordRemoteService(instance, attained)
}

// ForgetInstance drops the last report of an instance that has left.
func (g *Group) ForgetInstance(instance string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.ForgetInstance(instance)
}

// observe records a status that was requested at requestedAt.
func (g *Group) observe(m *member, s group.Status, requestedAt time.Time) {
	confirmsTerm := g.confirmer.observe(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	if confirmsTerm {
		g.broadcast(&g.viewChanged)
	}
	g.stalenessTracker.Observe(s, requestedAt)
	if requestedAt.Before(m.statusValidFrom) || (requestedAt.Before(m.statusRequestedAt) && !isAdvance(m.status, s)) {
		return
	}
	if requestedAt.After(m.statusRequestedAt) {
		m.statusRequestedAt = requestedAt
	}
	m.statusKnown, m.status, m.statusReceivedAt = true, s, time.Now()
	g.closeIdle(m, func(p *pooledConn) bool {
		return p.incarnation != s.Incarnation && !p.openedAt.After(requestedAt)
	})
	g.broadcast(&g.statusChanged)
}

// isAdvance reports whether s shows a later visible state of the same incarnation and
// term than old. The response to a mulberry_wait call can be newer than the response
// to a status call that was sent after it.
func isAdvance(old, s group.Status) bool {
	return s.Incarnation == old.Incarnation && s.CurrentTerm == old.CurrentTerm &&
		s.AppliedPosition().Compare(old.AppliedPosition()) > 0
}

func (g *Group) closedError() error {
	return verdict.New(verdict.NotRun, verdict.ShuttingDown, "the instance is shutting down")
}

func cancelledError(ctx context.Context) error {
	return verdict.New(verdict.NotRun, verdict.Cancelled, "the request ended before it was sent to a member").
		WithCause(context.Cause(ctx))
}

func (g *Group) memberLog(m *member) logrus.FieldLogger {
	log := g.cfg.Log
	if log == nil {
		log = discardLog
	}
	return log.WithFields(logrus.Fields{"group": g.cfg.Group, "member": m.Name})
}

// discardLog is the logger of a group that has none configured.
var discardLog = func() logrus.FieldLogger {
	l := logrus.New()
	l.SetLevel(logrus.PanicLevel)
	return l
}()
