package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"github.com/mulberrysill/mulberrysill/core/quota"
	"github.com/mulberrysill/mulberrysill/core/shutdown"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	"github.com/mulberrysill/mulberrysill/pkg/metrics"
)

// Config holds a gateway's settings and dependencies.
type Config struct {
	// ID is the instance's ID, and Zone its availability zone.
	ID, Zone string
	// Capacity is the processor share of the instance's machine; 0 if unknown.
	Capacity float64
	// PeerAddress is where other instances reach this one.
	PeerAddress string
	// RevocationBound is the time within which a revoked key must stop
	// working.
	RevocationBound time.Duration
	// MemoryLimit is the number of bytes that the process should use at most; 0 means no limit.
	MemoryLimit int64
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// ServingScope says for what serving sets of instances are chosen.
	ServingScope placement.ServingScope
	// LimitTolerance is what the platform tolerates beyond the workspaces' limits.
	LimitTolerance quota.Tolerance
	// UsageReports says what the platform requires of usage reports.
	UsageReports UsageReports
	// FirstStart indicates the first start of the whole system; limits then
	// start with a full burst.
	FirstStart bool

	ClientListener    Listener
	PeerListener      net.Listener
	ReadinessListener net.Listener
	MetricsListener   net.Listener
	Dialer            Dialer
	Store             Store
	Promoter          Promoter
	// UsageStore and UsageReporter are used only if UsageReports requires reports.
	UsageStore    UsageStore
	UsageReporter UsageReporter
	Log           *logrus.Entry
	Metrics       *metrics.Metrics
}

// UsageReports says what the platform requires of usage reports: one for each Window, at
// most Lateness after its end, with counts that deviate from the true ones by at most the
// fraction Tolerance. If Window is 0, no requests are counted and no reports are sent.
type UsageReports struct {
	Window, Lateness time.Duration
	Tolerance        float64
}

func (u UsageReports) enabled() bool { return u.Window > 0 }

// String describes the requirements for the log.
func (u UsageReports) String() string {
	return fmt.Sprintf("window %s, lateness %s, tolerance %g", u.Window, u.Lateness, u.Tolerance)
}

// startFields returns the fields of the log line at the start.
func (g *Gateway) startFields() logrus.Fields {
	fields := logrus.Fields{"event": "start", "started": g.started}
	if g.cfg.ServingScope != placement.ServingByGroup {
		fields["servingScope"] = g.cfg.ServingScope.String()
	}
	if g.cfg.UsageReports.enabled() {
		fields["usageReports"] = g.cfg.UsageReports.String()
	}
	return fields
}

// configLeaseMargin is subtracted from the revocation bound to allow for the
// time between the last authorization and sending the statement to the member.
const configLeaseMargin = 250 * time.Millisecond

// Gateway is one instance.
type Gateway struct {
	cfg             Config
	started         int64
	log             *logrus.Entry
	requests        *requestLog
	limits          *limits
	peers           *peers
	controller      *controller
	relayedSessions relayedSessions
	// statementMemory, transactionMemory and relayedMemory bound the memory of large statements
	// outside transactions, of open transactions, and from other instances. They are nil if
	// there is no limit.
	statementMemory, transactionMemory, relayedMemory *inputMemory
	// These are nil if the platform expects no usage reports.
	usageCounter  *usageCounter
	usageGatherer *usageGatherer
	usageSender   *usageSender

	eras storeEras

	// currentConfig is the newest configuration.
	currentConfig atomic.Pointer[configuration]
	// memberList is the list of members as last applied.
	memberList    atomic.Pointer[memberList]
	configLeaseMu sync.Mutex
	configLease   catalog.Lease // guarded by configLeaseMu

	poolsMu sync.RWMutex
	pools   map[string]*pool // guarded by poolsMu

	sessionsMu sync.Mutex
	sessions   map[*session]sessionProgress // guarded by sessionsMu
	draining   atomic.Bool
	// stopping is the schedule of the stop; nil until one is requested.
	stopping atomic.Pointer[shutdown.Schedule]
	// statementCtx ends when the instance no longer waits for members and peers, which
	// abandonStatements makes it do.
	statementCtx      context.Context
	abandonStatements context.CancelFunc
	// peerServer serves the other instances.
	peerServer *http.Server
	running    sync.WaitGroup
	// A value sent to these channels interrupts the long poll for the
	// operators' entries or the members, or the wait before the instances are
	// listed again.
	interruptOperatorsPoll, interruptMembersPoll, relistInstances chan struct{}
	// storeAnsweredAt is when the last call was sent that the store answered, on the clock
	// of bootTime; 0 for never.
	storeAnsweredAt atomic.Int64
	// relistMembers makes the watcher of the members list them again.
	relistMembers atomic.Bool
	// refusedStarts numbers the refused session starts.
	refusedStarts atomic.Uint64
}

// refusedStartID returns the ID of a refused session start.
func (g *Gateway) refusedStartID() string {
	return g.cfg.ID + "-start-" + strconv.FormatUint(g.refusedStarts.Add(1), 10)
}

// configuration holds the operators' entries in use, with the compiled catalog.
type configuration struct {
	catalog.Entries
	catalog *catalog.Catalog
	encoded encodedOnce
	// poolsUpdated is closed once the groups of this configuration have pools.
	poolsUpdated chan struct{}
}

// New returns a gateway that does not serve yet.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg: cfg, started: time.Now().UnixMilli(), log: cfg.Log,
		pools: map[string]*pool{}, sessions: map[*session]sessionProgress{},
		interruptOperatorsPoll: make(chan struct{}, 1), interruptMembersPoll: make(chan struct{}, 1), relistInstances: make(chan struct{}, 1),
	}
	g.statementCtx, g.abandonStatements = context.WithCancel(context.Background())
	g.configLease.MaxAge = cfg.RevocationBound - configLeaseMargin
	g.relayedSessions.sessions = map[string]*relayedSession{}
	g.requests = newRequestLog(cfg.Log, cfg.Metrics)
	g.limits = newLimits(cfg.FirstStart, cfg.LimitTolerance)
	g.limits.restartsWithTokens = cfg.ServingScope == placement.ServingByMember
	if cfg.UsageReports.enabled() {
		g.usageCounter, g.usageGatherer, g.usageSender = newUsageCounter(cfg.UsageReports.Window), newUsageGatherer(), newUsageSender(g)
	}
	g.statementMemory = newInputMemory(cfg.MemoryLimit, statementShare)
	g.transactionMemory = newInputMemory(cfg.MemoryLimit, transactionShare)
	g.relayedMemory = newInputMemory(cfg.MemoryLimit, relayedShare)
	g.peers = newPeers(g)
	g.peerServer = &http.Server{Handler: g.limitRelayedInput(g.peers.handler()), ReadHeaderTimeout: headerTimeout}
	g.controller = newController(g)
	return g
}

// Run serves until ctx is done and then drains. Draining takes at most the
// grace period.
func (g *Gateway) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	defer g.abandonStatements()
	failed := make(chan error, 4)
	g.serveHTTP(failed)
	g.spawn(func() { g.controller.run(workCtx) })
	g.spawn(func() { g.watchOperators(workCtx) })
	g.spawn(func() { g.watchMembers(workCtx) })
	g.spawn(func() { g.watchInstances(workCtx) })
	g.spawn(func() { g.peers.run(workCtx) })
	if g.usageSender != nil {
		g.spawn(func() { g.usageSender.run(workCtx) })
		g.spawn(func() { newUsageHolder(g).run(workCtx) })
	}
	go func() {
		g.awaitInitialSync(workCtx)
		g.acceptClients(workCtx, failed)
	}()
	g.log.WithFields(g.startFields()).Info("instance started")
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		g.drain(workCtx)
	}
	stop()
	g.requests.close()
	g.log.WithField("event", "stop").Info("instance stopped")
	return err
}

func (g *Gateway) spawn(f func()) {
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		f()
	}()
}

func (g *Gateway) acceptClients(ctx context.Context, failed chan<- error) {
	for {
		c, err := g.cfg.ClientListener.AcceptClient()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if e := net.Error(nil); errors.As(err, &e) && e.Timeout() {
				continue
			}
			g.log.WithError(err).Error("cannot accept clients")
			time.Sleep(acceptRetryDelay)
			if ctx.Err() != nil {
				failed <- err
				return
			}
			continue
		}
		s := &session{gw: g, client: c}
		go s.run(g.statementCtx)
	}
}

// acceptRetryDelay follows a failed accept, for example for lack of file
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// authorize returns the client's route and workspace in the newest
// configuration. It refuses clients with a key while the configuration may be
// older than the revocation bound allows.
func (g *Gateway) authorize(s Startup) (*catalog.Route, *catalog.Workspace, error) {
	c := g.currentConfig.Load()
	if _, confirmed := g.configLeaseAge(); c == nil || !confirmed {
		// A restored store may show an instance that starts an older configuration.
		return nil, nil, notRun(verdict.NoPrimary, "no configuration yet").WithRetryAfter(refusalRetryAfter)
	}
	route, workspace, err := c.catalog.Authorize(s.Database, s.Key)
	if err != nil {
		return nil, nil, err
	}
	if !route.Open && !g.configLeaseValid() {
		return nil, nil, notRun(verdict.NoPrimary, "the store has not confirmed the keys in time").WithRetryAfter(refusalRetryAfter)
	}
	return route, workspace, nil
}

// authorizeFor authorizes the client again for a statement that is about to run in the
// workspace. It refuses the client if its key has moved to another workspace since.
func (g *Gateway) authorizeFor(s Startup, workspace string) error {
	_, current, err := g.authorize(s)
	if err != nil {
		return err
	}
	if current.Name != workspace {
		return notRun(verdict.TransactionAborted, "the key has moved to another workspace")
	}
	return nil
}

func (g *Gateway) configLeaseValid() bool {
	now := bootTime()
	g.configLeaseMu.Lock()
	defer g.configLeaseMu.Unlock()
	return g.configLease.Valid(now)
}

// configLeaseAge returns the age of the last confirmation; false before the
// first.
func (g *Gateway) configLeaseAge() (time.Duration, bool) {
	now := bootTime()
	g.configLeaseMu.Lock()
	defer g.configLeaseMu.Unlock()
	return g.configLease.Age(now)
}

// confirmConfig records that the configuration was current at the time asked.
func (g *Gateway) confirmConfig(asked time.Duration) {
	g.configLeaseMu.Lock()
	defer g.configLeaseMu.Unlock()
	g.configLease.Confirm(asked)
}

// pool returns the pool of a group, or nil if the group has no members.
func (g *Gateway) pool(name string) *pool {
	g.poolsMu.RLock()
	defer g.poolsMu.RUnlock()
	return g.pools[name]
}

// maxPoolWait bounds the wait for the pool of a group that a configuration has just added.
const maxPoolWait = 200 * time.Millisecond

// awaitPool returns the pool of a group, or nil if the group has no members. The pool of a
// new group is made just after its configuration has come into force.
func (g *Gateway) awaitPool(name string) *pool {
	c := g.currentConfig.Load()
	if p := g.pool(name); p != nil || c == nil {
		return p
	}
	timer := time.NewTimer(maxPoolWait)
	defer timer.Stop()
	select {
	case <-c.poolsUpdated:
	case <-timer.C:
	}
	return g.pool(name)
}

// hasPools reports whether the groups of the configuration have pools.
func (g *Gateway) hasPools() bool {
	c := g.currentConfig.Load()
	if c == nil {
		return false
	}
	select {
	case <-c.poolsUpdated:
		g.poolsMu.RLock()
		defer g.poolsMu.RUnlock()
		return len(g.pools) > 0
	default:
		return false
	}
}

// routeOf returns the route of a database and the pool of its group; both are nil if there
// is none.
func (g *Gateway) routeOf(database string) (*catalog.Route, *pool) {
	c := g.currentConfig.Load()
	if c == nil {
		return nil, nil
	}
	route := c.catalog.Route(database)
	if route == nil {
		return nil, nil
	}
	return route, g.pool(route.Group)
}

// forEachPool calls f for every pool, without holding the lock.
func (g *Gateway) forEachPool(f func(*pool)) {
	g.poolsMu.RLock()
	list := make([]*pool, 0, len(g.pools))
	for _, p := range g.pools {
		list = append(list, p)
	}
	g.poolsMu.RUnlock()
	for _, p := range list {
		f(p)
	}
}

func (g *Gateway) idleTransactionDeadline(now time.Time) time.Time {
	if c := g.currentConfig.Load(); c != nil && c.catalog.IdleInTransaction() > 0 {
		return now.Add(c.catalog.IdleInTransaction())
	}
	return time.Time{}
}
