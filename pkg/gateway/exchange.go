package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"github.com/mulberrysill/mulberrysill/core/quota"
	"github.com/mulberrysill/mulberrysill/core/revision"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// minSectionInterval is the minimum interval between two exchanges of a collector with
// that of another zone, since traffic between zones is charged for.
const minSectionInterval = 400 * time.Millisecond

// run exchanges states with peers until ctx is done.
func (ps *peers) run(ctx context.Context) {
	ticker := time.NewTicker(peerTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		ps.exchangeDue(ctx)
		if now := time.Now(); now.Sub(ps.limitsLogged) >= limitLogInterval {
			ps.limitsLogged = now
			ps.gw.logLimits()
		}
	}
}

// exchangeDue sends this instance's state to the peers that are due. Normally
// only one of two instances initiates an exchange, and the response carries the
// other's state.
func (ps *peers) exchangeDue(ctx context.Context) {
	now := time.Now()
	near := ps.gw.limits.nearLimit()
	ps.startLimitPeriods(now, near)
	age, known := ps.gw.configLeaseAge()
	askAll := !known || needsConfirmation(age)
	if known && askAll && ps.gw.eras.settled() && now.Sub(ps.lastInterrupt) >= time.Second {
		ps.lastInterrupt = now
		interruptPoll(ps.gw.interruptOperatorsPoll)
	}
	needsSample := false
	ps.gw.forEachPool(func(p *pool) { needsSample = needsSample || p.needsSample() })
	interval, wholeInterval := exchangeInterval, ps.wholeExchangeInterval()
	if needsSample || len(near) > 0 || wholeInterval < exchangeInterval || !ps.initialSync.isComplete() {
		interval = urgentExchangeInterval
	}
	collector, isCollector := ps.collector()
	if collector != ps.lastCollector {
		ps.lastCollector = collector
		ps.gw.log.WithFields(logrus.Fields{"event": "collector", "collector": collector, "live": len(ps.liveInstances().instances)}).Info("collector changed")
	}
	var others []string
	if isCollector {
		others = ps.otherCollectors()
	}
	var confirmers []string
	if collector != "" && askAll {
		confirmers = ps.healthyInstances().choose("vouch/"+ps.gw.cfg.ID, largeFleetConfirmers)
	}
	var dueNear, dueAll, dueConfirm, dueSection []*peer
	ps.mu.Lock()
	for id, p := range ps.byID {
		if now.Sub(p.lastHeard) > peerForgetTimeout && now.Sub(p.addedAt) > peerForgetTimeout {
			delete(ps.byID, id)
			ps.fleet.outdated = true
			if collector == "" || isCollector {
				go ps.removeEntry(ctx, id)
			}
			continue
		}
		confirms := slices.Contains(confirmers, id)
		initiates := askAll || needsSample || ps.gw.cfg.ID < id || now.Sub(p.lastHeard) > exchangeInterval+urgentExchangeInterval
		collects := slices.Contains(others, id)
		peerInterval := interval
		if collector != "" {
			initiates = confirms || collects || (!isCollector && id == collector)
			if collects {
				peerInterval = max(interval, minSectionInterval)
			}
		}
		if !initiates || p.exchanging || now.Sub(p.lastAsked) < peerInterval {
			continue
		}
		p.exchanging, p.lastAsked = true, now
		switch {
		case collects:
			dueSection = append(dueSection, p)
		case confirms && id != collector:
			dueConfirm = append(dueConfirm, p)
		case now.Sub(p.lastAskedAll) < wholeInterval:
			dueNear = append(dueNear, p)
		default:
			p.lastAskedAll = now
			dueAll = append(dueAll, p)
		}
	}
	ps.mu.Unlock()
	ps.exchangeAll(ctx, dueAll, nil)
	ps.exchangeAll(ctx, dueNear, near)
	// No usage reports: the collector's response already includes those of these
	// peers.
	ps.exchangeAll(ctx, dueConfirm, workspaceSet{})
	ps.exchangeSections(ctx, dueSection, now)
	if collector != "" && now.Sub(ps.preferredAskedAt) >= exchangeInterval {
		ps.preferredAskedAt = now
		if p := ps.preferredCollector(collector); p != nil {
			ps.exchangeAll(ctx, []*peer{p}, workspaceSet{})
		}
	}
}

// wholeExchangeInterval is the interval between exchanges that cover all workspaces. An
// instance that has just restarted needs to know the demand of the others soon: until then it
// assumes that all instances have the same, and refuses operations within the limits. In a
// fleet that is served by group nothing is different after a restart.
func (ps *peers) wholeExchangeInterval() time.Duration {
	if ps.gw.cfg.ServingScope == placement.ServingByMember && !ps.gw.cfg.FirstStart && bootTime()-ps.startedAt < restartExchangePeriod {
		return urgentExchangeInterval
	}
	return exchangeInterval
}

// exchangeSections asks the collectors of other zones for their sections.
func (ps *peers) exchangeSections(ctx context.Context, due []*peer, now time.Time) {
	if len(due) == 0 {
		return
	}
	state := ps.localState(workspaceSet{})
	state.SectionOnly = true
	for _, p := range due {
		request := proto.Clone(state).(*pb.State)
		ps.mu.Lock()
		request.Partial = now.Sub(p.lastAskedAll) < exchangeInterval
		if !request.Partial {
			p.lastAskedAll = now
		}
		ps.mu.Unlock()
		go ps.exchange(ctx, p, request)
	}
}

// startLimitPeriods starts a new accounting period if one is due, either for
// all workspaces or for those near their limits, which are reported more
// often.
func (ps *peers) startLimitPeriods(now time.Time, near workspaceSet) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	switch {
	case now.Sub(ps.periodStarted) >= ps.wholeExchangeInterval():
		ps.periodStarted, ps.nearPeriodStarted = now, now
		ps.gw.limits.startPeriod(nil)
	case len(near) > 0 && now.Sub(ps.nearPeriodStarted) >= urgentExchangeInterval:
		ps.nearPeriodStarted = now
		ps.gw.limits.startPeriod(near)
	}
}

func (ps *peers) exchangeAll(ctx context.Context, due []*peer, workspaces workspaceSet) {
	if len(due) == 0 {
		return
	}
	state := ps.localState(workspaces)
	for _, p := range due {
		go ps.exchange(ctx, p, state)
	}
}

// exchange sends the state to one peer and applies its response.
func (ps *peers) exchange(ctx context.Context, p *peer, state *pb.State) {
	state = proto.Clone(state).(*pb.State)
	ps.mu.Lock()
	state.AliveDigest = p.reportedAliveDigest
	ps.mu.Unlock()
	asked, hasPools := bootTime(), ps.gw.hasPools()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := p.client.Sync(ctx, state)
	ps.mu.Lock()
	p.exchanging = false
	ps.mu.Unlock()
	if err != nil {
		if collector, self := ps.collector(); collector == p.ID || (self && slices.Contains(ps.otherCollectors(), p.ID)) {
			ps.markSuspect(p) // the next collector takes over
		}
		return // a silent peer ages out; see dutyHolder and liveInstances
	}
	ps.observeState(answer)
	ps.adoptRelayedLease(answer, asked)
	if hasPools {
		ps.initialSync.complete()
	}
	ps.recordPeerSamples(answer.Primaries, asked)
	ps.adoptConfirmation(p, answer, asked)
	ps.noteCollectorAnswer(p, answer)
}

// adoptConfirmation adopts the peer's confirmation that its configuration is
// current. While the store does not respond, or may have lost the newest
// configuration, it also fetches a newer one from the peer. asked is when the
// exchange was sent.
func (ps *peers) adoptConfirmation(p *peer, answer *pb.State, asked time.Duration) {
	age, known := ps.gw.configLeaseAge()
	current := ps.gw.currentConfig.Load()
	if answer.AgeMs < 0 {
		return
	}
	settled := ps.gw.eras.settled()
	if current == nil || current.IsBefore(answer.ConfigVersion, revision.Revision(answer.Revision)) || (!known && !settled) {
		collector, _ := ps.collector()
		if known && settled && !needsConfirmation(age) && collector != p.ID {
			return // the store sends this configuration here at the same time
		}
		asked = bootTime()
		fetched := ps.fetchConfiguration(p)
		if fetched == nil {
			return
		}
		answer = &pb.State{Revision: fetched.Revision, ConfigVersion: fetched.ConfigVersion, AgeMs: fetched.AgeMs}
		current = ps.gw.currentConfig.Load()
	}
	if current != nil && current.isConfirmedBy(answer) {
		confirmedAt := asked - time.Duration(answer.AgeMs)*time.Millisecond
		ps.gw.confirmConfig(confirmedAt)
		if ps.gw.eras.settledAt(confirmedAt) {
			ps.gw.releaseHeldZones()
		}
	}
}

// isConfirmedBy reports whether a peer's confirmation covers this configuration. Peers
// whose builds do not know of eras report no version.
func (c *configuration) isConfirmedBy(state *pb.State) bool {
	if state.ConfigVersion == 0 {
		return c.Revision == revision.Revision(state.Revision)
	}
	return c.Version() == state.ConfigVersion
}

// fetchedEntries is the encoding of a configuration between instances.
type fetchedEntries struct {
	Spec *catalog.Spec
	// ZonesOut includes HeldZones, for builds that do not know the latter.
	ZonesOut  []string
	HeldZones []string `json:",omitempty"`
}

func (e fetchedEntries) decode(at revision.Revision) catalog.Entries {
	out := catalog.Entries{Spec: e.Spec, ZonesOut: map[string]bool{}, HeldZones: map[string]bool{}, Revision: at}
	for _, z := range e.ZonesOut {
		out.ZonesOut[z] = true
	}
	for _, z := range e.HeldZones {
		delete(out.ZonesOut, z)
		out.HeldZones[z] = true
	}
	return out
}

// localState returns the state of this instance, with its usage of the given
// workspaces.
func (ps *peers) localState(workspaces workspaceSet) *pb.State {
	g := ps.gw
	live := len(ps.liveInstances().instances)
	ps.mu.Lock()
	known := 1
	for _, p := range ps.byID {
		if !p.leaving {
			known++
		}
	}
	duty := ps.duty
	left := ps.hasLeft
	ps.mu.Unlock()
	s := &pb.State{
		Id: g.cfg.ID, Zone: g.cfg.Zone, Address: g.cfg.PeerAddress, Started: g.started, Leaving: left,
		DutyHolder: duty.Holder, DutyStarted: duty.Started, DutyToken: uint64(duty.Token), AgeMs: -1, Capacity: g.cfg.Capacity,
		FencesAgeMs: ps.relayedFencesAge(),
	}
	if c := g.currentConfig.Load(); c != nil {
		s.Revision, s.ConfigVersion = uint64(c.Revision), c.Version()
		if age, known := g.configLeaseAge(); known {
			s.AgeMs = age.Milliseconds() + 1
		}
	}
	era, eraAge := g.eras.knownFor()
	s.StoreEra, s.StoreEraAgeMs = era, eraAge.Milliseconds()
	g.limits.setInstances(live, known)
	if ps.listedAt.Load() > 0 {
		g.limits.divideGrants()
	}
	s.Usages, s.Partial = usages(g.limits.report(workspaces)), workspaces != nil
	g.forEachPool(func(p *pool) {
		if primary := p.primaryState(); primary != nil {
			s.Primaries = append(s.Primaries, primary)
		}
	})
	s.Fences = ps.standingFences()
	return s
}

func usages(reports map[string]quota.Report) []*pb.Usage {
	out := make([]*pb.Usage, 0, len(reports))
	for name, r := range reports {
		out = append(out, &pb.Usage{Workspace: name, Admitted: r.Admitted, Demand: r.Demand})
	}
	return out
}

// observeState applies the state of a peer.
func (ps *peers) observeState(s *pb.State) {
	if s.Id == "" || s.Id == ps.gw.cfg.ID {
		return
	}
	instances := ps.observeAlive(s)
	if s.StoreEra > revision.MaxEra {
		ps.gw.log.WithFields(logrus.Fields{"event": "peer-era", "peer": s.Id, "era": s.StoreEra}).Warn("a peer reports an impossible era; ignored")
	} else {
		ps.gw.observePeerEra(s.StoreEra, time.Duration(s.StoreEraAgeMs)*time.Millisecond)
	}
	token := revision.Revision(s.DutyToken)
	ps.updateDuty(Duty{Holder: s.DutyHolder, Started: s.DutyStarted, Token: token, ClaimedIn: token.Era()})
	if !s.SectionOnly {
		ps.observeUsages(s, instances)
	}
	for _, primary := range s.Primaries {
		ps.recordPrimary(primary)
	}
	ps.adoptFences(s.Fences)
}

// observeUsages applies the usages in the state of a peer. If it is a collector,
// instances is the number of instances that it reported as alive.
func (ps *peers) observeUsages(s *pb.State, instances int) {
	// A collector's usages cover all others, or its section: those that it reported as
	// alive, which do not include itself, and itself.
	cover := quota.Report{Instances: max(instances, 1), Aggregate: instances > 0}
	switch {
	case s.Section != "":
		cover = quota.Report{Instances: instances + 1, Aggregate: true, Section: s.Section}
	case !cover.Aggregate:
		cover.Section = s.Zone
	}
	reports := make(map[string]quota.Report, len(s.Usages))
	for _, u := range s.Usages {
		r := cover
		r.Admitted, r.Demand = u.Admitted, u.Demand
		reports[u.Workspace] = r
	}
	ps.gw.limits.observe(s.Id+"/"+strconv.FormatInt(s.Started, 10), reports, cover, s.Partial)
}

// observeAlive records that the peer and the instances it reports as alive are
// alive, and returns the number of the latter.
func (ps *peers) observeAlive(s *pb.State) int {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.upsert(Instance{ID: s.Id, Zone: s.Zone, PeerAddress: s.Address, Started: s.Started, Capacity: s.Capacity})
	if p.Started == s.Started {
		now := time.Now()
		ps.fleet.outdated = ps.fleet.outdated || p.leaving != s.Leaving || now.Sub(p.lastHeard) >= peerAliveTimeout
		p.lastHeard, p.leaving, p.stopped = now, s.Leaving, p.stopped || s.Stopped
		p.aliveAt = bootTime()
	}
	switch {
	case len(s.Alive) > 0:
		p.reportedAlive, p.reportedAliveDigest = s.Alive, s.AliveDigest
	case s.AliveDigest != p.reportedAliveDigest || s.AliveDigest == 0:
		return 0
	}
	now := time.Now()
	for _, m := range p.reportedAlive {
		if m.Id == ps.gw.cfg.ID {
			continue
		}
		other := ps.upsert(Instance{ID: m.Id, Zone: m.Zone, PeerAddress: m.Address, Started: m.Started, Capacity: m.Capacity})
		if other.Started == m.Started {
			ps.fleet.outdated = ps.fleet.outdated || other.leaving || now.Sub(other.lastHeard) >= peerAliveTimeout
			other.lastHeard, other.aliveAt, other.leaving = now, bootTime(), false
		}
	}
	return len(p.reportedAlive)
}

// recordPeerSamples records the positions that primaries proved to a peer,
// from its response to an exchange sent at asked. This lets an instance that
// cannot reach a primary, or is not connected to it yet, serve
// bounded-staleness reads.
func (ps *peers) recordPeerSamples(primaries []*pb.Primary, asked time.Duration) {
	for _, primary := range primaries {
		p := ps.gw.pool(primary.Group)
		if p == nil || primary.SampleAgeMs < 0 {
			continue
		}
		p.mu.Lock()
		p.positionSamples.Observe(asked-time.Duration(primary.SampleAgeMs)*time.Millisecond,
			group.Position{Term: primary.SampleTerm, Index: primary.SampleIndex})
		p.mu.Unlock()
	}
}

// primaryState returns what the pool knows about the primary, or nil.
func (p *pool) primaryState() *pb.Primary {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.primary == "" {
		return nil
	}
	out := &pb.Primary{
		Group: p.name, Member: p.primary, Term: p.term, SampleAgeMs: -1,
		AcknowledgedTerm: p.acknowledged.Term, AcknowledgedIndex: p.acknowledged.Index,
		PromotedTerm: p.promotedAt.Term, PromotedIndex: p.promotedAt.Index,
	}
	if askedAt, position, ok := p.positionSamples.Newest(); ok {
		out.SampleTerm, out.SampleIndex = position.Term, position.Index
		out.SampleAgeMs = (bootTime() - askedAt).Milliseconds() + 1
	}
	return out
}

func (ps *peers) recordPrimary(primary *pb.Primary) {
	if p := ps.gw.pool(primary.Group); p != nil {
		p.recordCommit(group.Position{Term: primary.AcknowledgedTerm, Index: primary.AcknowledgedIndex})
		p.mu.Lock()
		p.setPrimary(primary.Member, primary.Term)
		if promoted := (group.Position{Term: primary.PromotedTerm, Index: primary.PromotedIndex}); p.primary == primary.Member && p.term == primary.Term && promoted.Compare(p.promotedAt) > 0 {
			p.promotedAt = promoted
		}
		p.mu.Unlock()
	}
}
