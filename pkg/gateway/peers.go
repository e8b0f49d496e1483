package gateway

import (
	"cmp"
	"context"
	"hash/maphash"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/membership"
	"github.com/mulberrysill/mulberrysill/core/revision"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

const (
	// exchangeInterval is the interval between exchanges with a peer, and
	// urgentExchangeInterval while a workspace is near its limit or reads need
	// a recent position of a primary.
	exchangeInterval       = time.Second
	urgentExchangeInterval = 200 * time.Millisecond
	// restartExchangePeriod is how long an instance exchanges states at the urgent interval
	// after a restart.
	restartExchangePeriod = 2 * time.Second
	// peerTimeout bounds a call to a peer.
	peerTimeout = 400 * time.Millisecond
	// peerAliveTimeout is the time since the last message after which a peer
	// no longer counts as alive. Two exchanges may be lost.
	peerAliveTimeout = 2500 * time.Millisecond
	// peerForgetTimeout is the time after which a silent peer's entry is
	// removed.
	peerForgetTimeout = 30 * time.Second
	// maxConfirmationAge is the age of the last confirmation at which an
	// instance interrupts its long poll and asks all of its peers as well. In
	// normal operation the age stays below two waits of operatorsPollWait; the
	// rest of the revocation bound leaves time for a few responses.
	maxConfirmationAge = 2*operatorsPollWait + 250*time.Millisecond
	// maxFullMeshInstances is the number of instances up to which every pair
	// exchanges states. In a larger fleet the instances of an availability zone
	// exchange states with a collector in it, and the collectors with each other.
	maxFullMeshInstances = 16
	// largeFleetConfirmers is the number of other instances that an instance
	// of a large fleet asks if neither the store nor the collector
	// confirms the configuration.
	largeFleetConfirmers = 3
	// silentZoneInterval is how long a collector asks the same instance of a zone of which
	// it hears none.
	silentZoneInterval = time.Second
	// maxClockDifference is how far another instance's time of day may be ahead.
	maxClockDifference = 24 * time.Hour
	// peerTickInterval is the interval between checks for due exchanges.
	peerTickInterval = 100 * time.Millisecond
)

// peer is another instance.
type peer struct {
	Instance
	client    pb.Gate
	lastHeard time.Time
	addedAt   time.Time
	// lastAsked is when the last exchange was sent, and lastAskedAll the last
	// one that covered all workspaces.
	lastAsked, lastAskedAll time.Time
	exchanging              bool
	leaving                 bool
	// stopped is set once the peer has reported that it runs no more statements.
	stopped bool
	// reportedAlive holds the live instances that the peer last reported as
	// a collector, and reportedAliveDigest the peer's digest of them.
	reportedAlive       []*pb.Member
	reportedAliveDigest uint64
	// suspectUntil is the time until which nothing is relayed to the peer.
	suspectUntil time.Time
	// ping is the question whether the peer responds that is in progress, or nil.
	ping *pendingPing
	// aliveAt is when the peer was last heard or reported alive, and echoed the newest time at
	// which this instance composed a message that the peer has received; the times are on the
	// clock of bootTime, and 0 for never. sentMs is the newest such time on the peer's clock.
	aliveAt, echoed time.Duration
	sentMs          int64
	// respondedAt is when the peer last responded to a call, on the clock of bootTime.
	respondedAt atomic.Int64
}

// peers tracks the other instances and exchanges states with them.
type peers struct {
	gw         *Gateway
	httpClient *http.Client
	kick       chan struct{}

	mu   sync.Mutex
	byID map[string]*peer // guarded by mu
	// periodStarted is when the last accounting period for all limits started,
	// and nearPeriodStarted for the workspaces near their limits; both are
	// guarded by mu.
	periodStarted, nearPeriodStarted time.Time
	// lastInterrupt is when the operators' poll was last interrupted, and
	// lastCollector the collector of this instance's zone at the last check. limitsLogged is
	// when the use of limits was last logged. Only run uses them.
	lastInterrupt, limitsLogged time.Time
	lastCollector               string
	// preferredAskedAt is when the last instance that ranks before the collector was
	// asked, and preferredTurn counts them. Only run uses them.
	preferredAskedAt time.Time
	preferredTurn    int
	// collectorAnsweredAt is when the collector of this zone last answered, on the clock
	// of bootTime; 0 for never.
	collectorAnsweredAt atomic.Int64
	// listedAt is when the first listing of the instances ended, on the clock of bootTime;
	// 0 before. startedAt is when this process started, on the same clock.
	listedAt    atomic.Int64
	startedAt   time.Duration
	initialSync initialSync
	// fetchingConfig is set while a configuration is fetched from a peer.
	fetchingConfig atomic.Bool
	// digestSeed makes the digests of different processes differ.
	digestSeed maphash.Seed
	fleet      fleetViews // guarded by mu
	duty       Duty       // guarded by mu; the newest known holder
	// olderClaim is the claim of this process that its newest one has renewed, if its token may
	// still be used, and orderToken the newest fencing token that this process has sent with an
	// order; both are guarded by mu.
	olderClaim Duty
	orderToken revision.Revision
	// dutyKnownSince is when that holder became known; guarded by mu.
	dutyKnownSince time.Time
	// dutyGains is how often the promotion lease has come to this process, and hasFormerHolder
	// is set if it had a holder before; both are guarded by mu.
	dutyGains       int64
	hasFormerHolder bool
	// gainedAt is when the promotion lease last came to this process, on the clock of bootTime;
	// guarded by mu.
	gainedAt    time.Duration
	commitLease commitLease
	hasLeft     bool // guarded by mu
	// lostReportAt is when a process that ended without a last report was last heard, and
	// lostReportOf its instance; both are guarded by mu.
	lostReportAt time.Time
	lostReportOf string
}

func newPeers(g *Gateway) *peers {
	return &peers{
		gw: g, startedAt: bootTime(), byID: map[string]*peer{}, kick: make(chan struct{}, 1), initialSync: initialSync{done: make(chan struct{})}, digestSeed: maphash.MakeSeed(),
		httpClient: &http.Client{Transport: &http.Transport{
			DialContext:     (&net.Dialer{Timeout: peerTimeout}).DialContext,
			IdleConnTimeout: 30 * time.Second,
		}},
	}
}

func (ps *peers) handler() http.Handler { return pb.NewGateServer(ps) }

// noteListing records that the instances have been listed, or that this has failed.
func (ps *peers) noteListing() {
	ps.listedAt.CompareAndSwap(0, int64(bootTime()))
	ps.mu.Lock()
	isAlone := len(ps.byID) == 0
	ps.mu.Unlock()
	if isAlone {
		ps.initialSync.complete()
	}
}

// applyListing adds the instances listed by the store.
func (ps *peers) applyListing(entries []Change[Instance]) {
	logUnreadable(ps.gw.log, entries)
	latestStart := time.Now().Add(maxClockDifference).UnixMilli()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, c := range entries {
		if c.Err != nil || c.Value.ID != c.Key || c.Key == ps.gw.cfg.ID {
			continue
		}
		if c.Value.Started > latestStart {
			// The states of a live instance would be taken for those of a former process.
			ps.gw.log.WithFields(logrus.Fields{"event": "entry-unreadable", "key": c.Key, "started": c.Value.Started}).Warn("entry of an instance that starts in the future ignored")
			continue
		}
		if p := ps.byID[c.Key]; p != nil && p.Started > c.Value.Started && time.Since(p.lastHeard) < peerAliveTimeout {
			continue // the entry of a former process, from a copy of the store
		}
		ps.upsert(c.Value)
	}
}

// unlisted returns the live instances of this instance's zone that are missing in a listing.
func (ps *peers) unlisted(listing []Change[Instance]) []Instance {
	listed := make(map[string]bool, len(listing))
	for i := range listing {
		listed[listing[i].Key] = true
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := time.Now()
	var out []Instance
	for id, p := range ps.byID {
		if !listed[id] && p.Zone == ps.gw.cfg.Zone && !p.leaving && now.Sub(p.lastHeard) < peerAliveTimeout {
			out = append(out, p.Instance)
		}
	}
	return out
}

// upsert adds or updates a peer. The caller holds ps.mu.
func (ps *peers) upsert(i Instance) *peer {
	p := ps.byID[i.ID]
	if p == nil || p.PeerAddress != i.PeerAddress || p.Started < i.Started {
		if p != nil {
			ps.noteReplaced(p)
		}
		p = &peer{Instance: i, addedAt: time.Now(), client: pb.NewGateProtobufClient("http://"+i.PeerAddress, ps.httpClient)}
		ps.byID[i.ID] = p
		ps.fleet.outdated = true
	}
	if i.Capacity > 0 && p.Capacity != i.Capacity {
		p.Capacity, ps.fleet.outdated = i.Capacity, true
	}
	return p
}

func (p *peer) alive(now time.Time) bool {
	return !p.leaving && (now.Sub(p.lastHeard) < peerAliveTimeout || now.Sub(p.addedAt) < peerAliveTimeout)
}

// selectInstances returns the accepted peers, and this instance unless it is
// leaving, sorted by ID. The caller holds ps.mu.
func (ps *peers) selectInstances(accept func(*peer, time.Time) bool) []membership.Instance {
	now := time.Now()
	var out []membership.Instance
	if !ps.hasLeft {
		out = append(out, membership.Instance{ID: ps.gw.cfg.ID, Zone: ps.gw.cfg.Zone, Weight: ps.gw.cfg.Capacity})
	}
	for id, p := range ps.byID {
		if accept(p, now) {
			out = append(out, membership.Instance{ID: id, Zone: p.Zone, Weight: p.Capacity})
		}
	}
	slices.SortFunc(out, func(a, b membership.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// clients returns the clients of the live peers, by ID.
func (ps *peers) clients() map[string]pb.Gate { return ps.selectClients((*peer).alive) }

// selectClients returns the clients of the accepted peers, by ID.
func (ps *peers) selectClients(accept func(*peer, time.Time) bool) map[string]pb.Gate {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := time.Now()
	out := map[string]pb.Gate{}
	for id, p := range ps.byID {
		if accept(p, now) {
			out[id] = p.client
		}
	}
	return out
}

// dutyHolder returns the newest known holder of the promotion lease, whether it
// is this process, and whether it is alive.
func (ps *peers) dutyHolder() (duty Duty, self, alive bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	duty = ps.duty
	if duty.Holder == ps.gw.cfg.ID {
		self = duty.Started == ps.gw.started
		return duty, self, self
	}
	p := ps.byID[duty.Holder]
	return duty, false, p != nil && p.alive(time.Now()) && p.Started <= duty.Started
}

// updateDuty records a valid claim of the promotion lease if its token is newer.
func (ps *peers) updateDuty(d Duty) {
	if d.Holder == "" || d.IsVoid() {
		return
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if d.Token <= ps.duty.Token {
		return
	}
	// Between claims of two eras another instance may have held the lease.
	isRenewal := ps.isOwnDuty(ps.duty) && ps.duty.Token.Era() == d.Token.Era()
	if ps.isOwnDuty(d) && !isRenewal {
		ps.dutyGains++
		ps.gainedAt = bootTime()
		ps.hasFormerHolder = ps.duty.Holder != ""
	}
	ps.olderClaim = Duty{}
	if ps.isOwnDuty(d) && isRenewal {
		ps.olderClaim = ps.duty
	}
	ps.duty, ps.dutyKnownSince = d, time.Now()
}

// ownClaims returns the claims of the promotion lease under which this process may order, oldest
// first. Tokens never decrease from one order to the next.
func (ps *peers) ownClaims() []Duty {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var out []Duty
	for _, d := range []Duty{ps.olderClaim, ps.duty} {
		if ps.isOwnDuty(d) && d.Token >= ps.orderToken {
			out = append(out, d)
		}
	}
	return out
}

// noteOrderToken records that an order is sent under a token.
func (ps *peers) noteOrderToken(token revision.Revision) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.orderToken = max(ps.orderToken, token)
}

// lacksSpareClaim reports whether this process holds the promotion lease and has no claim that
// it could repeat an order without an answer under.
func (ps *peers) lacksSpareClaim() bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.isOwnDuty(ps.duty) && !ps.duty.IsVoid() && ps.olderClaim.Token < max(ps.orderToken, 1)
}

// isOwnDuty reports whether this process made the claim.
func (ps *peers) isOwnDuty(d Duty) bool {
	return d.Holder == ps.gw.cfg.ID && d.Started == ps.gw.started
}

// gainedDuty returns how often the promotion lease has come to this process, whether the store
// has answered the claim or not, and whether it had a holder before.
func (ps *peers) gainedDuty() (gains int64, hasFormerHolder bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.dutyGains, ps.hasFormerHolder
}

// dutyTenure returns how long the current claim has been known; false if the
// promotion lease was never claimed.
func (ps *peers) dutyTenure() (time.Duration, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return time.Since(ps.dutyKnownSince), ps.duty.Token > 0
}

// holderAnswers reports whether the process that holds the promotion lease
// responds to a direct call, and applies its response.
func (ps *peers) holderAnswers(ctx context.Context, d Duty) bool {
	ps.mu.Lock()
	p := ps.byID[d.Holder]
	ps.mu.Unlock()
	if p == nil || p.Started > d.Started {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	state, err := p.client.Sync(ctx, ps.localState(workspaceSet{}))
	if err != nil || state.Started != d.Started || state.Leaving {
		return false // an unreachable holder is an expected result
	}
	ps.observeState(state)
	return true
}

// askAll exchanges states with all peers, except in a large fleet.
func (ps *peers) askAll(ctx context.Context) {
	if collector, _ := ps.collector(); collector != "" {
		return
	}
	ps.mu.Lock()
	due := slices.Collect(maps.Values(ps.byID))
	ps.mu.Unlock()
	ps.exchangeAll(ctx, due, workspaceSet{})
}

// heardFromAll reports whether all known peers have sent their states within the time. In
// a large fleet the collectors pass on who lives, but not the states.
func (ps *peers) heardFromAll(within time.Duration) bool {
	if collector, _ := ps.collector(); collector != "" {
		return false
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.byID {
		if !p.leaving && time.Since(p.lastHeard) >= within {
			return false
		}
	}
	return true
}

// collectorView returns the instances among which collectors are chosen, or nil in a
// small fleet. Instances that consider the same peers healthy choose the same collectors.
func (ps *peers) collectorView() *fleetView {
	healthy := ps.healthyInstances()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	known := len(ps.byID) + 1
	if known <= maxFullMeshInstances {
		return nil
	}
	if len(healthy.instances) < known/2 {
		// Right after the start nobody has been heard from yet: use the listed
		// instances.
		return newFleetView(ps.selectInstances(func(p *peer, now time.Time) bool { return !now.Before(p.suspectUntil) }))
	}
	return healthy
}

// collector returns the ID of the collector of this instance's zone, or "" in a small
// fleet, and whether it is this instance. If it does not respond, another instance of the
// zone takes its place.
func (ps *peers) collector() (id string, self bool) {
	view := ps.collectorView()
	if view == nil {
		return "", false
	}
	id = view.zoneCollector(ps.gw.cfg.Zone)
	return id, id == ps.gw.cfg.ID
}

// preferredCollector returns, in turn, one of the instances that rank before the collector
// of this zone among all that are known, or nil if there is none. They are not heard of:
// they have stopped, or are in touch with other instances of the zone only. Only run
// calls it.
func (ps *peers) preferredCollector(collector string) *peer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	known := newFleetView(ps.selectInstances(func(p *peer, _ time.Time) bool { return p.Zone == ps.gw.cfg.Zone && !p.leaving }))
	ranking := known.collectorRanking(ps.gw.cfg.Zone)
	before := slices.Index(ranking, collector)
	if before <= 0 {
		return nil
	}
	ps.preferredTurn++
	return ps.byID[ranking[ps.preferredTurn%before]]
}

// otherCollectors returns the collectors of the other zones. Of a zone of which no instance
// is heard, as after a network partition, it returns one of those that are known, in turn:
// nobody else would ask them.
func (ps *peers) otherCollectors() []string {
	view := ps.collectorView()
	if view == nil {
		return nil
	}
	ps.mu.Lock()
	known := newFleetView(ps.selectInstances(func(p *peer, _ time.Time) bool { return !p.leaving }))
	ps.mu.Unlock()
	var out []string
	for _, zone := range known.zones() {
		if zone == ps.gw.cfg.Zone {
			continue
		}
		collector := view.zoneCollector(zone)
		if collector == "" {
			ranking := known.collectorRanking(zone)
			turn := int(bootTime()/silentZoneInterval) % len(ranking)
			collector = ranking[turn]
		}
		out = append(out, collector)
	}
	return out
}

// storeReaders reports whether only a few instances poll the store frequently,
// as in a large fleet, and whether this instance is one that does.
func (ps *peers) storeReaders() (few, self bool) {
	collector, isCollector := ps.collector()
	return collector != "", collector == "" || isCollector
}

// readsStore reports whether this instance polls the store frequently.
func (ps *peers) readsStore() bool {
	_, self := ps.storeReaders()
	return self
}

func (ps *peers) removeEntry(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if err := ps.gw.cfg.Store.RemoveInstance(ctx, id); err != nil {
		ps.gw.log.WithFields(logrus.Fields{"event": "forget", "peer": id}).WithError(err).Warn("cannot remove the entry of a silent instance")
	}
}

// announceLeave tells the peers that this instance is leaving and removes its
// entry.
func (ps *peers) announceLeave(ctx context.Context) {
	ps.mu.Lock()
	ps.hasLeft, ps.fleet.outdated = true, true
	ps.mu.Unlock()
	ps.sendToPeers(ctx, ps.leaveStates())
	go func() {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		if err := ps.gw.cfg.Store.RemoveInstance(ctx, ps.gw.cfg.ID); err != nil {
			ps.gw.log.WithField("event", "leave").WithError(err).Warn("cannot remove own entry")
		}
	}()
}

// leaveStates returns a function that returns the state to send to a peer as this instance
// leaves. In a large fleet only the collector gets the usages: it reports them to the others,
// which would take a direct report for newer than the collector's next one and ignore that.
func (ps *peers) leaveStates() func(peer string) *pb.State {
	collector, _ := ps.collector()
	whole, withoutUsages := ps.localState(nil), ps.localState(workspaceSet{})
	return func(peer string) *pb.State {
		if collector == "" || peer == collector {
			return whole
		}
		return withoutUsages
	}
}

// sendToPeers sends a state to each live peer in the background. The returned group ends
// when all calls have ended.
func (ps *peers) sendToPeers(ctx context.Context, state func(peer string) *pb.State) *sync.WaitGroup {
	calls := new(sync.WaitGroup)
	for id, c := range ps.clients() {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			if _, err := c.Sync(ctx, state(id)); err != nil {
				ps.gw.log.WithField("event", "leave").WithError(err).Info("cannot inform peer of the departure")
			}
		})
	}
	return calls
}
