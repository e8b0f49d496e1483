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

// memberCallTimeout bounds a fence or a promotion.
const memberCallTimeout = 300 * time.Millisecond

// holdCallTimeout bounds one request to a peer to hold writes. It is short,
// because writes already wait while it runs.
const holdCallTimeout = 200 * time.Millisecond

// leavingPrimaryTime is the longest time for which a primary that the bundle took
// out of service keeps its work while the planned switchover is prepared. Instances
// apply a bundle up to a second apart; without it, writes of the first one would
// wait for the last one. It is part of the few seconds of P8 and P12.
const leavingPrimaryTime = 2 * time.Second

// groupSet holds the database groups of the bundle in force. The control
// goroutine owns it; traffic goroutines read byName.
type groupSet struct {
	plane  *Plane
	byName atomic.Pointer[map[string]*groupState]
	units  uint32
}

// groupState is one database group on this instance.
type groupState struct {
	plane *Plane
	name  string
	spec  bundle.Group
	// databases are those of the routes to the group.
	databases []string
	backend   *backend.Group
	machine   *failover.Machine
	view      failover.SetView
	nextTick  time.Time
	// inService are the members that get new work.
	inService map[string]bool
	// leavesAt is when a primary that the bundle took out of service loses its
	// work at the latest; zero if none is leaving.
	leavesAt time.Time
}

func (s *groupSet) all() map[string]*groupState {
	if m := s.byName.Load(); m != nil {
		return *m
	}
	return nil
}

// apply opens, changes and closes groups as a new bundle says.
func (s *groupSet) apply(ctx context.Context, now time.Time, b *bundle.Compiled) {
	next := map[string]*groupState{}
	for _, spec := range b.Spec.Groups {
		have := s.all()[spec.Name]
		databases := databasesOf(b, spec.Name)
		if have == nil || !have.sameConnections(spec, databases) {
			created, err := s.open(b, spec, databases)
			if err != nil {
				s.plane.cfg.Log.WithError(err).WithField("group", spec.Name).Error("group not opened")
				continue
			}
			have = created
		}
		have.spec = spec
		next[spec.Name] = have
	}
	old := s.all()
	s.byName.Store(&next)
	for name, g := range old {
		if next[name] != g {
			// Sessions that still hold a connection finish on it.
			go g.backend.Close()
		}
	}
	for _, g := range next {
		g.noteLeaving(now, b)
		g.place(ctx, now)
		g.setView()
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

// owner is the identity to which members promise a term: it names this process
// alone.
func (g *groupState) owner() string {
	return g.plane.cfg.Self.ID + "/" + strconv.FormatUint(g.plane.cfg.Self.Epoch, 10)
}

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

// sameConnections reports whether the connections of the group stay valid.
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

func (s *groupSet) setUnits(units uint32) {
	s.units = units
	for _, g := range s.all() {
		g.setView()
	}
}

// tick drives the groups whose machine is due.
func (s *groupSet) tick(ctx context.Context, now time.Time) {
	for _, g := range s.all() {
		if now.Before(g.nextTick) {
			continue
		}
		g.nextTick = now.Add(g.machine.TickInterval())
		if !g.leavesAt.IsZero() && !now.Before(g.leavesAt) {
			g.leavesAt = time.Time{}
			g.setView()
		}
		g.place(ctx, now)
		g.step(ctx, now, failover.Tick{})
	}
}

// noteLeaving starts the time of a primary that the new bundle takes out of service.
func (g *groupState) noteLeaving(now time.Time, b *bundle.Compiled) {
	for _, m := range g.spec.Members {
		switch {
		case m.Name != g.view.Primary:
		case b.MemberInService(m):
			g.leavesAt = time.Time{}
		case g.inService[m.Name] && g.leavesAt.IsZero():
			g.leavesAt = now.Add(leavingPrimaryTime)
		}
	}
}

// place tells the machine where members run and who serves the group.
func (g *groupState) place(ctx context.Context, now time.Time) {
	b := g.plane.rollout.core.Active()
	placement := failover.Placement{Serving: g.plane.ranked(now, g.name)}
	for _, m := range g.spec.Members {
		placement.Members = append(placement.Members, failover.MemberPlacement{
			Name: m.Name, InService: b.MemberInService(m),
		})
	}
	g.step(ctx, now, placement)
}

// ranked returns the live instances that stay, this one included, in the order
// in which they take over duties for the key: highest hash first.
func (p *Plane) ranked(now time.Time, key string) []string {
	ids := p.livePeers(now)
	if !p.draining.Load() {
		ids = append(ids, p.cfg.Self.ID)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(key+"/"+b), xxhash.Sum64String(key+"/"+a))
	})
	return ids
}

// livePeers returns the identities of the peers that live and stay, in order.
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

// witnesses returns the preferred witnesses of this instance's lease.
func (s *groupSet) witnesses(now time.Time) []lease.Witness {
	var list []lease.Witness
	for _, id := range s.plane.ranked(now, "witness/"+s.plane.cfg.Self.ID) {
		if id == s.plane.cfg.Self.ID || len(list) == lease.MaxWitnesses {
			continue
		}
		epoch := lease.Epoch(s.plane.instances[id].Epoch)
		list = append(list, lease.Witness{ID: id, Start: epoch.Start()})
	}
	return list
}

// OnStatus implements backend.Events; it is called by probing goroutines.
func (g *groupState) OnStatus(_, _ string, s group.Status, askedAt, _ time.Time) {
	g.plane.offer(func(now time.Time) {
		g.step(g.plane.ctx, now, failover.StatusReceived{Status: s, RequestedAt: askedAt})
	})
}

// OnProbeFailure implements backend.Events; it is called by probing goroutines.
func (g *groupState) OnProbeFailure(_, member string, _ error, _, _ time.Time) {
	g.plane.offer(func(now time.Time) {
		g.step(g.plane.ctx, now, failover.ProbeFailed{Member: member})
	})
}

// step feeds one event to the machine and carries out its actions.
func (g *groupState) step(ctx context.Context, now time.Time, ev failover.Event) {
	for _, a := range g.machine.Step(now, ev) {
		switch a := a.(type) {
		case failover.SetView:
			g.logView(a)
			if a.Primary != g.view.Primary {
				g.leavesAt = time.Time{}
			}
			g.view = a
			g.setView()
		case failover.Fence:
			go g.fence(ctx, a)
		case failover.Promote:
			go g.promote(ctx, a)
		case failover.Probe:
			go g.probe(ctx, a.Member)
		case failover.AwaitPosition:
			go g.awaitPosition(ctx, a)
		case failover.RequestPeerViews:
			g.askPeers(ctx, now)
		case failover.HoldWrites:
			g.holdWrites(ctx, now, a)
		case failover.AnnouncePrimary:
			g.announce(ctx, now, a)
		}
	}
}

func (g *groupState) logView(v failover.SetView) {
	if v.Term != g.view.Term || v.Primary != g.view.Primary {
		g.plane.cfg.Log.WithField("group", g.name).WithField("primary", v.Primary).
			WithField("term", v.Term).Info("primary changed")
	}
}

// setView passes the present view to the traffic side.
func (g *groupState) setView() {
	b := g.plane.rollout.core.Active()
	if b == nil {
		return
	}
	v := backend.View{
		Primary: g.view.Primary, Term: g.view.Term, TermStart: g.view.TermStart, PreviousTerm: g.view.PreviousTerm,
		Hold: g.view.Hold, InService: map[string]bool{}, Budget: map[string]int{},
	}
	units := g.plane.leases.fleetUnits()
	for _, m := range g.spec.Members {
		leaving := m.Name == g.view.Primary && !g.leavesAt.IsZero()
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
		result.PromisedTerm = refused.Promised
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
	asked := time.Now()
	status, err := g.backend.Status(callCtx, member)
	g.answered(ctx, member, status, asked, err)
}

func (g *groupState) awaitPosition(ctx context.Context, a failover.AwaitPosition) {
	callCtx, cancel := context.WithTimeout(ctx, a.Timeout+memberCallTimeout)
	defer cancel()
	status, err := g.backend.Wait(callCtx, a.Member, a.Position, a.Timeout)
	// The row describes the member when it answered; a probe may have been
	// asked meanwhile, so the answer is dated by its arrival.
	g.answered(ctx, a.Member, status, time.Now(), err)
}

func (g *groupState) answered(ctx context.Context, member string, s group.Status, asked time.Time, err error) {
	g.plane.post(ctx, func(now time.Time) {
		if err != nil {
			g.step(ctx, now, failover.ProbeFailed{Member: member})
			return
		}
		g.step(ctx, now, failover.StatusReceived{Status: s, RequestedAt: asked})
	})
}

// askPeers sends heartbeats at once; the answers carry the peers' views.
func (g *groupState) askPeers(ctx context.Context, now time.Time) {
	p := g.plane
	state := p.state(now)
	for _, id := range p.livePeers(now) {
		if v := p.instances[id]; v.PeerAddress != "" && !v.asking {
			v.asking = true
			go func() {
				p.beat(ctx, id, v.PeerAddress, &pb.HeartbeatRequest{State: state}, now)
				p.post(ctx, func(time.Time) { v.asking = false })
			}()
		}
	}
}

// holdWrites asks every serving instance, this one included, to hold new write
// transactions or to release them.
func (g *groupState) holdWrites(ctx context.Context, now time.Time, a failover.HoldWrites) {
	p := g.plane
	request := &pb.HoldWritesRequest{
		Sender: p.sender(), Group: g.name, Term: a.Term, HoldMs: uint64(a.Lease.Milliseconds()), Release: !a.On,
	}
	for _, id := range p.ranked(now, g.name) {
		if id == p.cfg.Self.ID {
			// The machine already holds this instance's writes; the answer is
			// posted, because a step must not be entered from within a step.
			go p.post(ctx, func(now time.Time) {
				_, writes := g.backend.Running()
				g.step(ctx, now, failover.HoldResult{Instance: id, Held: true, Running: uint64(writes)})
			})
			continue
		}
		client := p.cfg.Peers.Get(p.instances[id].PeerAddress)
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, holdCallTimeout)
			defer cancel()
			answer, err := client.HoldWrites(callCtx, request)
			result := failover.HoldResult{Instance: id, Held: err == nil, Running: answer.GetRunning()}
			p.post(ctx, func(now time.Time) { g.step(ctx, now, result) })
		}()
	}
}

// HoldWrites implements the peer service.
func (p *Plane) HoldWrites(ctx context.Context, r *pb.HoldWritesRequest) (*pb.HoldWritesResponse, error) {
	answer := &pb.HoldWritesResponse{}
	err := p.ask(ctx, func(now time.Time) {
		g := p.groups.all()[r.Group]
		if g == nil {
			return
		}
		g.step(p.ctx, now, failover.HoldRequested{
			Term: r.Term, Lease: time.Duration(r.HoldMs) * time.Millisecond, Release: r.Release,
		})
		_, writes := g.backend.Running()
		answer.Running = uint64(writes)
	})
	return answer, err
}

func (g *groupState) announce(ctx context.Context, now time.Time, a failover.AnnouncePrimary) {
	p := g.plane
	view := &pb.GroupView{
		Group: g.name, Primary: a.Primary, Term: a.Term, TermStart: a.TermStart, From: p.cfg.Self.ID,
	}
	for _, id := range p.livePeers(now) {
		client := p.cfg.Peers.Get(p.instances[id].PeerAddress)
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, holdCallTimeout)
			defer cancel()
			if _, err := client.PrimaryChanged(callCtx, view); err != nil {
				p.cfg.Log.WithError(err).WithField("group", g.name).Debug("peer not told of the new primary")
			}
		}()
	}
}

// primaryChanged takes in a peer's announcement.
func (s *groupSet) primaryChanged(ctx context.Context, now time.Time, v *pb.GroupView) {
	if g := s.all()[v.Group]; g != nil {
		g.step(ctx, now, peerView(v.From, v))
	}
}

// heardFrom takes in the views that a peer's heartbeat carries.
func (s *groupSet) heardFrom(ctx context.Context, now time.Time, id string, views []*pb.GroupView) {
	for _, v := range views {
		if g := s.all()[v.Group]; g != nil {
			g.step(ctx, now, peerView(id, v))
		}
	}
}

func peerView(id string, v *pb.GroupView) failover.PeerView {
	return failover.PeerView{
		Instance: id, Primary: v.Primary, Term: v.Term, PrimarySeenAge: time.Duration(v.SeenAgeMs) * time.Millisecond,
	}
}

// views returns this instance's observation of every group.
func (s *groupSet) views(now time.Time) []*pb.GroupView {
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

// service returns the service that workspaces attained on this instance.
func (s *groupSet) service() []*pb.ServiceReport {
	var list []*pb.ServiceReport
	for name, g := range s.all() {
		for workspace, d := range g.backend.Attained() {
			list = append(list, &pb.ServiceReport{Group: name, Workspace: workspace, ServiceUs: uint64(d.Microseconds())})
		}
	}
	return list
}

// addRemoteService takes in a peer's report of attained service.
func (s *groupSet) addRemoteService(sender *pb.Sender, reports []*pb.ServiceReport) {
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
			g.backend.ReportAttained(key, attained)
		}
	}
}
