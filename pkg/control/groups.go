package control

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/failover"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/pkg/backend"
	pb "github.com/mulberrysill/mulberrysill/rpc/peer"
)

// memberCallTimeout bounds one control call to a member: a fence, a promotion or
// a probe.
const memberCallTimeout = 300 * time.Millisecond

// peerCallTimeout bounds one call to a peer during a change of primary: to hold
// writes or to announce the new primary. It is short, because writes wait while
// the calls run.
const peerCallTimeout = 200 * time.Millisecond

// leavingPrimaryTimeout is the longest time for which a primary that a bundle takes
// out of service still receives requests, until the planned switchover replaces it.
// Instances activate a bundle up to a second apart; without this time, writes on
// the first instance would wait for the last one. It counts towards the few
// seconds of requirements P8 and P12.
const leavingPrimaryTimeout = 2 * time.Second

// groupSet holds the database groups of the active bundle. The control goroutine
// owns it; traffic goroutines read byName.
type groupSet struct {
	plane  *Plane
	byName atomic.Pointer[map[string]*groupState]
	units  uint32
}

// groupState is the control state of one database group on this instance.
type groupState struct {
	plane *Plane
	name  string
	spec  bundle.Group
	// databases are the databases of the routes to the group.
	databases []string
	backend   *backend.Group
	machine   *failover.Machine
	view      failover.SetView
	nextTick  time.Time
	// inService holds the members that may receive new requests, a leaving
	// primary included.
	inService map[string]bool
	// leavingDeadline is the time until which a primary that the bundle took out
	// of service still receives requests; zero if the primary is not leaving.
	leavingDeadline time.Time
}

// all returns the groups by name.
func (s *groupSet) all() map[string]*groupState {
	if m := s.byName.Load(); m != nil {
		return *m
	}
	return nil
}

// apply opens, updates and closes groups to match a new bundle.
func (s *groupSet) apply(ctx context.Context, now time.Time, b *bundle.Compiled) {
	next := map[string]*groupState{}
	for _, spec := range b.Spec.Groups {
		existing := s.all()[spec.Name]
		databases := databasesOf(b, spec.Name)
		if existing == nil || !existing.sameConnections(spec, databases) {
			created, err := s.open(b, spec, databases)
			if err != nil {
				s.plane.cfg.Log.WithError(err).WithField("group", spec.Name).Error("group not opened")
				continue
			}
			existing = created
		}
		existing.spec = spec
		next[spec.Name] = existing
	}
	old := s.all()
	s.byName.Store(&next)
	for name, g := range old {
		if next[name] != g {
			// Sessions that hold a connection can still finish their transactions.
			go g.backend.Close()
		}
	}
	for _, g := range next {
		g.updateLeavingDeadline(now, b)
		g.updatePlacement(ctx, now)
		g.updateBackendView()
	}
}

func (s *groupSet) open(b *bundle.Compiled, spec bundle.Group, databases []string) (*groupState, error) {
	p := s.plane
	g := &groupState{plane: p, name: spec.Name, spec: spec, databases: databases}
	cfg := backend.Config{
		Group: spec.Name, Zone: p.cfg.Self.Zone, User: p.cfg.BackendUser, Password: p.cfg.BackendPassword, Databases: databases,
		Events: g, Log: p.cfg.Log,
	}
	for _, m := range spec.Members {
		cfg.Members = append(cfg.Members, backend.Member{Name: m.Name, Address: m.Address, Zone: b.MemberZone(m)})
	}
	var err error
	if g.backend, err = backend.NewGroup(cfg); err != nil {
		return nil, err
	}
	g.machine = failover.New(failover.Config{
		Instance: p.cfg.Self.ID, Owner: g.owner(),
		Rand: rand.New(rand.NewPCG(p.cfg.Seed, xxhash.Sum64String(spec.Name))),
	})
	g.backend.Start()
	return g, nil
}

// owner returns the identity to which members promise a term. It is unique to this
// process, see failover.Config.
func (g *groupState) owner() string {
	return g.plane.cfg.Self.ID + "/" + strconv.FormatUint(g.plane.cfg.Self.Epoch, 10)
}

// databasesOf returns the sorted databases of the routes to the group.
func databasesOf(b *bundle.Compiled, name string) []string {
	var list []string
	for _, r := range b.Spec.Routes {
		if r.Group == name && !slices.Contains(list, r.Database) {
			list = append(list, r.Database)
		}
	}
	slices.Sort(list)
	return list
}

// sameConnections reports whether the group can keep its connections with the new
// members and databases.
func (g *groupState) sameConnections(spec bundle.Group, databases []string) bool {
	return slices.Equal(databases, g.databases) && slices.EqualFunc(g.spec.Members, spec.Members,
		func(a, b bundle.Member) bool {
			return a.Name == b.Name && a.Address == b.Address && a.Server == b.Server
		})
}

func (s *groupSet) close() {
	for _, g := range s.all() {
		g.backend.Close()
	}
}

// setUnits recomputes the connection budgets after a change of the units of the lease.
func (s *groupSet) setUnits(units uint32) {
	s.units = units
	for _, g := range s.all() {
		g.updateBackendView()
	}
}

// tick passes a tick to the failover machines that are due for one.
func (s *groupSet) tick(ctx context.Context, now time.Time) {
	for _, g := range s.all() {
		if now.Before(g.nextTick) {
			continue
		}
		g.nextTick = now.Add(g.machine.TickInterval())
		if !g.leavingDeadline.IsZero() && !now.Before(g.leavingDeadline) {
			g.leavingDeadline = time.Time{}
			g.updateBackendView()
		}
		g.updatePlacement(ctx, now)
		g.step(ctx, now, failover.Tick{})
	}
}

// updateLeavingDeadline sets the deadline if the new bundle takes the primary out
// of service, and clears it if the primary is back in service.
func (g *groupState) updateLeavingDeadline(now time.Time, b *bundle.Compiled) {
	for _, m := range g.spec.Members {
		switch {
		case m.Name != g.view.Primary:
		case b.MemberInService(m):
			g.leavingDeadline = time.Time{}
		case g.inService[m.Name] && g.leavingDeadline.IsZero():
			g.leavingDeadline = now.Add(leavingPrimaryTimeout)
		}
	}
}

// updatePlacement passes to the failover machine which members are in service and
// which instances serve the group.
func (g *groupState) updatePlacement(ctx context.Context, now time.Time) {
	b := g.plane.rollout.core.Active()
	placement := failover.Placement{Serving: g.plane.rankInstances(now, g.name)}
	for _, m := range g.spec.Members {
		placement.Members = append(placement.Members, failover.MemberPlacement{
			Name: m.Name, InService: b.MemberInService(m),
		})
	}
	g.step(ctx, now, placement)
}

// rankInstances returns the live instances that are not leaving, this one included,
// ranked for the key by rendezvous hashing: highest hash first. All instances with
// the same view of the fleet compute the same order. It decides who starts a
// promotion first and which peers are preferred as witnesses.
func (p *Plane) rankInstances(now time.Time, key string) []string {
	ids := p.livePeers(now)
	if !p.draining.Load() {
		ids = append(ids, p.cfg.Self.ID)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(key+"/"+b), xxhash.Sum64String(key+"/"+a))
	})
	return ids
}

// livePeers returns the sorted identities of the peers that are alive and not
// leaving.
func (p *Plane) livePeers(now time.Time) []string {
	var ids []string
	for id, v := range p.instances {
		if v.alive(now) && !v.leaving {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// witnesses returns the peers that this instance prefers as witnesses of its
// lease, at most lease.MaxWitnesses.
func (s *groupSet) witnesses(now time.Time) []lease.Witness {
	var list []lease.Witness
	for _, id := range s.plane.rankInstances(now, "witness/"+s.plane.cfg.Self.ID) {
		if id == s.plane.cfg.Self.ID || len(list) == lease.MaxWitnesses {
			continue
		}
		epoch := lease.Epoch(s.plane.instances[id].Epoch)
		list = append(list, lease.Witness{ID: id, Start: epoch.Start()})
	}
	return list
}

// OnStatus implements backend.Events. It is called by the probe goroutines.
func (g *groupState) OnStatus(_, _ string, s group.Status, requestedAt, _ time.Time) {
	g.plane.postUntilStopped(func(now time.Time) {
		g.step(g.plane.ctx, now, failover.StatusReceived{Status: s, RequestedAt: requestedAt})
	})
}

// OnProbeFailure implements backend.Events. It is called by the probe goroutines.
func (g *groupState) OnProbeFailure(_, member string, _ error, _, _ time.Time) {
	g.plane.postUntilStopped(func(now time.Time) {
		g.step(g.plane.ctx, now, failover.ProbeFailed{Member: member})
	})
}

// step passes one event to the failover machine and executes the actions that it
// returns.
func (g *groupState) step(ctx context.Context, now time.Time, ev failover.Event) {
	for _, a := range g.machine.Step(now, ev) {
		switch a := a.(type) {
		case failover.SetView:
			g.logPrimaryChange(a)
			if a.Primary != g.view.Primary {
				g.leavingDeadline = time.Time{}
			}
			g.view = a
			g.updateBackendView()
		case failover.Fence:
			go g.fence(ctx, a)
		case failover.Promote:
			go g.promote(ctx, a)
		case failover.Probe:
			go g.probe(ctx, a.Member)
		case failover.AwaitPosition:
			go g.awaitPosition(ctx, a)
		case failover.RequestPeerViews:
			g.requestPeerViews(ctx, now)
		case failover.HoldWrites:
			g.holdWrites(ctx, now, a)
		case failover.AnnouncePrimary:
			g.announcePrimary(ctx, now, a)
		}
	}
}

func (g *groupState) logPrimaryChange(v failover.SetView) {
	if v.Term != g.view.Term || v.Primary != g.view.Primary {
		g.plane.cfg.Log.WithField("group", g.name).WithField("primary", v.Primary).
			WithField("term", v.Term).Info("primary changed")
	}
}

// updateBackendView passes the group's view and this instance's connection budgets
// to the backend package, which routes requests by them.
func (g *groupState) updateBackendView() {
	b := g.plane.rollout.core.Active()
	if b == nil {
		return
	}
	v := backend.View{
		Primary: g.view.Primary, Term: g.view.Term, TermStart: g.view.TermStart, PreviousTerm: g.view.PreviousTerm,
		HoldWrites: g.view.Hold, InService: map[string]bool{}, Budget: map[string]int{},
	}
	units := g.plane.leases.unitsByInstance()
	for _, m := range g.spec.Members {
		leaving := m.Name == g.view.Primary && !g.leavingDeadline.IsZero()
		v.InService[m.Name] = b.MemberInService(m) || leaving
		v.Budget[m.Name] = admission.SplitConnections(m.Connections, units, lease.TotalUnits)[g.plane.cfg.Self.ID]
	}
	g.inService = v.InService
	g.backend.SetView(v)
}

func (g *groupState) fence(ctx context.Context, a failover.Fence) {
	callCtx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	status, err := g.backend.Fence(callCtx, a.Member, a.Term, g.owner())
	result := failover.FenceResult{Member: a.Member, Term: a.Term, Granted: err == nil, Status: status}
	var refused *backend.FenceRefusedError
	if errors.As(err, &refused) {
		result.PromisedTerm = refused.PromisedTerm
	}
	g.plane.post(ctx, func(now time.Time) { g.step(ctx, now, result) })
}

func (g *groupState) promote(ctx context.Context, a failover.Promote) {
	callCtx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	status, err := g.backend.Promote(callCtx, a.Member, a.Term, g.owner())
	result := failover.PromoteResult{Member: a.Member, Term: a.Term, Promoted: err == nil, Status: status}
	g.plane.post(ctx, func(now time.Time) { g.step(ctx, now, result) })
}

func (g *groupState) probe(ctx context.Context, member string) {
	callCtx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	requestedAt := time.Now()
	status, err := g.backend.Status(callCtx, member)
	g.postStatus(ctx, member, status, requestedAt, err)
}

func (g *groupState) awaitPosition(ctx context.Context, a failover.AwaitPosition) {
	callCtx, cancel := context.WithTimeout(ctx, a.Timeout+memberCallTimeout)
	defer cancel()
	status, err := g.backend.AwaitPosition(callCtx, a.Member, a.Position, a.Timeout)
	// The call waits at the member, and its status is that of the end of the wait.
	// A probe may have been sent and answered meanwhile, so the status is dated by
	// its arrival instead of by the time of the request.
	g.postStatus(ctx, a.Member, status, time.Now(), err)
}

// postStatus posts the result of a status call to the failover machine.
func (g *groupState) postStatus(ctx context.Context, member string, s group.Status, requestedAt time.Time, err error) {
	g.plane.post(ctx, func(now time.Time) {
		if err != nil {
			g.step(ctx, now, failover.ProbeFailed{Member: member})
			return
		}
		g.step(ctx, now, failover.StatusReceived{Status: s, RequestedAt: requestedAt})
	})
}

// requestPeerViews sends heartbeats without waiting for the next period. The
// responses carry the peers' views of the group.
func (g *groupState) requestPeerViews(ctx context.Context, now time.Time) {
	p := g.plane
	state := p.state(now)
	for _, id := range p.livePeers(now) {
		if v := p.instances[id]; v.PeerAddress != "" && !v.extraHeartbeatInFlight {
			v.extraHeartbeatInFlight = true
			go func() {
				p.exchangeHeartbeat(ctx, id, v.PeerAddress, &pb.HeartbeatRequest{State: state}, now)
				p.post(ctx, func(time.Time) { v.extraHeartbeatInFlight = false })
			}()
		}
	}
}

// holdWrites asks all serving instances, including this one, to hold new write
// transactions or to release them.
func (g *groupState) holdWrites(ctx context.Context, now time.Time, a failover.HoldWrites) {
	p := g.plane
	request := &pb.HoldWritesRequest{
		Sender: p.sender(), Group: g.name, Term: a.Term, HoldMs: uint64(a.Lease.Milliseconds()), Release: !a.On,
	}
	for _, id := range p.rankInstances(now, g.name) {
		if id == p.cfg.Self.ID {
			// The machine has already set the hold in this instance's own view. The
			// result is posted, because step is not reentrant.
			go p.post(ctx, func(now time.Time) {
				_, writes := g.backend.RunningTransactions()
				g.step(ctx, now, failover.HoldResult{Instance: id, Held: true, Running: uint64(writes)})
			})
			continue
		}
		client := p.cfg.Peers.Get(p.instances[id].PeerAddress)
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			response, err := client.HoldWrites(callCtx, request)
			result := failover.HoldResult{Instance: id, Held: err == nil, Running: response.GetRunning()}
			p.post(ctx, func(now time.Time) { g.step(ctx, now, result) })
		}()
	}
}

// HoldWrites implements the peer service. It holds or releases new write
// transactions and returns the number of those that are still running.
func (p *Plane) HoldWrites(ctx context.Context, r *pb.HoldWritesRequest) (*pb.HoldWritesResponse, error) {
	response := &pb.HoldWritesResponse{}
	err := p.runAndWait(ctx, func(now time.Time) {
		g := p.groups.all()[r.Group]
		if g == nil {
			return
		}
		g.step(p.ctx, now, failover.HoldRequested{
			Term: r.Term, Lease: time.Duration(r.HoldMs) * time.Millisecond, Release: r.Release,
		})
		_, writes := g.backend.RunningTransactions()
		response.Running = uint64(writes)
	})
	return response, err
}

// announcePrimary notifies all live peers of a completed promotion.
func (g *groupState) announcePrimary(ctx context.Context, now time.Time, a failover.AnnouncePrimary) {
	p := g.plane
	view := &pb.GroupView{
		Group: g.name, Primary: a.Primary, Term: a.Term, TermStart: a.TermStart, From: p.cfg.Self.ID,
	}
	for _, id := range p.livePeers(now) {
		client := p.cfg.Peers.Get(p.instances[id].PeerAddress)
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			if _, err := client.PrimaryChanged(callCtx, view); err != nil {
				p.cfg.Log.WithError(err).WithField("group", g.name).Debug("cannot announce the new primary to a peer")
			}
		}()
	}
}

// handlePrimaryChanged processes a peer's announcement of a new primary.
func (s *groupSet) handlePrimaryChanged(ctx context.Context, now time.Time, v *pb.GroupView) {
	if g := s.all()[v.Group]; g != nil {
		g.step(ctx, now, peerView(v.From, v))
	}
}

// handlePeerViews processes the views of the groups in a peer's heartbeat.
func (s *groupSet) handlePeerViews(ctx context.Context, now time.Time, id string, views []*pb.GroupView) {
	for _, v := range views {
		if g := s.all()[v.Group]; g != nil {
			g.step(ctx, now, peerView(id, v))
		}
	}
}

// peerView converts a peer's view of a group into an event for the failover machine.
func peerView(id string, v *pb.GroupView) failover.PeerView {
	return failover.PeerView{
		Instance: id, Primary: v.Primary, Term: v.Term, PrimarySeenAge: time.Duration(v.SeenAgeMs) * time.Millisecond,
	}
}

// localViews returns this instance's view of each group, for its peers.
func (s *groupSet) localViews(now time.Time) []*pb.GroupView {
	var list []*pb.GroupView
	for name, g := range s.all() {
		age, seen := g.machine.PrimarySeenAge(now)
		v := &pb.GroupView{Group: name, Term: g.view.Term, TermStart: g.view.TermStart}
		if seen {
			v.Primary, v.SeenAgeMs = g.view.Primary, uint64(age.Milliseconds())
		}
		list = append(list, v)
	}
	return list
}

// serviceReports returns the service that each workspace has attained in each
// group on this instance.
func (s *groupSet) serviceReports() []*pb.ServiceReport {
	var list []*pb.ServiceReport
	for name, g := range s.all() {
		for workspace, d := range g.backend.AttainedService() {
			list = append(list, &pb.ServiceReport{Group: name, Workspace: workspace, ServiceUs: uint64(d.Microseconds())})
		}
	}
	return list
}

// recordRemoteService passes a peer's reports of attained service to the groups.
func (s *groupSet) recordRemoteService(sender *pb.Sender, reports []*pb.ServiceReport) {
	byGroup := map[string]map[string]time.Duration{}
	for _, r := range reports {
		if byGroup[r.Group] == nil {
			byGroup[r.Group] = map[string]time.Duration{}
		}
		byGroup[r.Group][r.Workspace] = time.Duration(r.ServiceUs) * time.Microsecond
	}
	key := sender.Id + "/" + strconv.FormatUint(sender.Epoch, 10)
	for name, attained := range byGroup {
		if g := s.all()[name]; g != nil {
			g.backend.RecordRemoteService(key, attained)
		}
	}
}
