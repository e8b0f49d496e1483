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

// Group is the connection of one instance to one database group. Any goroutine
// may call its methods; Start and Close are called once.
type Group struct {
	cfg       Config
	members   map[string]*member // not changed after NewGroup
	confirmer *confirmer
	sampler   sampler

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	// mu guards the fields below and those of the members that say so.
	mu      sync.Mutex
	view    View
	viewSet bool
	// confirmingTerm is the last term whose first entry was asked to be confirmed.
	confirmingTerm uint64
	ages           *consistency.StalenessTracker
	queue          *admission.Queue
	waiters        map[uint64]*waiter
	lastID         uint64
	held           int
	reads          int
	writes         int
	isClosed       bool
	// viewChanged and statusChanged are closed and replaced at each change.
	viewChanged, statusChanged chan struct{}
}

// NewGroup returns a group that has no connections and an empty view. It fails
// if the configuration names no members or a member twice.
func NewGroup(cfg Config) (*Group, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	g := &Group{
		cfg:           cfg.withDefaults(),
		members:       map[string]*member{},
		confirmer:     newConfirmer(cfg.Members),
		ages:          consistency.NewStalenessTracker(len(cfg.Members)),
		queue:         admission.NewQueue(cfg.QueueLimit),
		waiters:       map[uint64]*waiter{},
		viewChanged:   make(chan struct{}),
		statusChanged: make(chan struct{}),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	for _, m := range cfg.Members {
		g.members[m.Name] = newMember(&g.cfg, m)
	}
	return g, nil
}

// Start begins to probe the members. Connections for transactions are opened
// once a View gives them a budget.
func (g *Group) Start() {
	for _, m := range g.members {
		g.running.Add(2)
		go g.probe(m)
		go g.awaitCommits(m)
	}
	g.running.Add(1)
	go g.upkeep()
}

// Close refuses whatever waits, closes idle connections and waits for the
// group's goroutines. Connections that sessions hold close when released.
func (g *Group) Close() {
	g.cancel()
	g.mu.Lock()
	g.isClosed = true
	for id := range g.waiters {
		g.finish(id, grant{err: g.closedError()})
	}
	for _, m := range g.members {
		g.closeIdle(m, func(*pooled) bool { return true })
	}
	g.mu.Unlock()
	g.running.Wait()
	for _, m := range g.members {
		m.controls.close()
	}
}

// Running returns the number of transactions that hold a connection now, by the
// Read field of their requests.
func (g *Group) Running() (reads, writes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reads, g.writes
}

// MemberStats is a snapshot of the pool of one member.
type MemberStats struct {
	// Open counts idle and attached connections; Opening those being opened.
	Open, Opening, Attached int
	// Waiting counts the requests that wait for a connection to the member.
	Waiting int
	// Limit is the number of connections that may be open now.
	Limit int
	// Status is the member's last status and AnsweredAt the time of its arrival;
	// both are zero before the first one.
	Status     group.Status
	AnsweredAt time.Time
}

// Stats returns a snapshot of the pools by member, and the number of requests
// that wait for a member to be chosen.
func (g *Group) Stats() (members map[string]MemberStats, held int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	members = map[string]MemberStats{}
	for name, m := range g.members {
		members[name] = MemberStats{
			Open: m.open, Opening: m.opening, Attached: len(m.attached), Waiting: m.waiting, Limit: m.limit(time.Now()),
			Status: m.status, AnsweredAt: m.answeredAt,
		}
	}
	return members, g.held
}

// Attained returns the service that each workspace has attained on this instance
// since Start, as the time for which it held connections.
func (g *Group) Attained() map[string]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.AttainedService()
}

// ReportAttained adds the attained service that another instance reports, in the
// form of Attained. The instance name includes the epoch, so that a restarted
// instance counts from its own zero.
func (g *Group) ReportAttained(instance string, attained map[string]time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.RecordRemoteService(instance, attained)
}

// ForgetInstance drops what was kept about the reports of an instance that has left.
func (g *Group) ForgetInstance(instance string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.ForgetInstance(instance)
}

// observe records a status that was asked for at askedAt.
func (g *Group) observe(m *member, s group.Status, askedAt time.Time) {
	confirmsTerm := g.confirmer.observe(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	if confirmsTerm {
		g.broadcast(&g.viewChanged)
	}
	g.ages.Observe(s, askedAt)
	if askedAt.Before(m.validFrom) || (askedAt.Before(m.askedAt) && !isAdvance(m.status, s)) {
		return
	}
	if askedAt.After(m.askedAt) {
		m.askedAt = askedAt
	}
	m.known, m.status, m.answeredAt = true, s, time.Now()
	g.closeIdle(m, func(p *pooled) bool {
		return p.incarnation != s.Incarnation && !p.openedAt.After(askedAt)
	})
	g.broadcast(&g.statusChanged)
}

// isAdvance reports whether s shows more of the same visible state than old. The
// answer to a wait may be newer than that to a later question.
func isAdvance(old, s group.Status) bool {
	return s.Incarnation == old.Incarnation && s.CurrentTerm == old.CurrentTerm &&
		s.AppliedPosition().Compare(old.AppliedPosition()) > 0
}

func (g *Group) closedError() error {
	return verdict.New(verdict.NotRun, verdict.ShuttingDown, "the instance is shutting down")
}

func cancelled(ctx context.Context) error {
	return verdict.New(verdict.NotRun, verdict.Cancelled, "the request ended before it was sent to a member").
		WithCause(context.Cause(ctx))
}

func (g *Group) log(m *member) logrus.FieldLogger {
	log := g.cfg.Log
	if log == nil {
		log = discard
	}
	return log.WithFields(logrus.Fields{"group": g.cfg.Group, "member": m.Name})
}

// discard is the logger of a group without one.
var discard = func() logrus.FieldLogger {
	l := logrus.New()
	l.SetLevel(logrus.PanicLevel)
	return l
}()
