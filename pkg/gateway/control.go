package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/membership"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/statement"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

const (
	// controlTick is the resolution of the control goroutine.
	controlTick = 100 * time.Millisecond
	// memberForget is the time after which a member that is not listed is dropped.
	memberForget = 10 * time.Second
	// discoverPause separates two searches for the primary of a group.
	discoverPause = 250 * time.Millisecond
	// claimantPause is the same while the group has a primary and another member
	// says that it leads, as a replaced one does that is cut off from the store.
	claimantPause = time.Second
	// leaderlessLimit is how long a group may have no primary before one is chosen;
	// a promotion takes up to about a second.
	leaderlessLimit = 2 * time.Second
	// reportPause separates two reports on the same primary.
	reportPause = 250 * time.Millisecond
	// claimAfter is how long an instance waits before it takes over a duty without
	// a live holder, and claimStep the additional wait for each instance before it.
	claimAfter = 300 * time.Millisecond
	claimStep  = 700 * time.Millisecond
	// claimSettle is how long an instance that was away from the store waits before
	// it takes a duty over: it may have been away from the others as well, and hears
	// from a live holder within one exchange.
	claimSettle = calmInterval + peerTimeout
	// claimPause separates two attempts to take the duty.
	claimPause = 500 * time.Millisecond
	// leaseTime is the platform's bound on holders of a duty that act in turn, and
	// minTenure what a claim or the last renewal of it must have lasted before
	// another instance takes the duty.
	leaseTime = 3 * time.Second
	minTenure = leaseTime + 250*time.Millisecond
)

// control owns the instance's view of the deployment. All its fields belong to
// the goroutine of run, which executes what send passes to it.
type control struct {
	gw    *Gateway
	calls chan func()
	// members is the platform's list.
	members map[string]Member
	// missing holds when the platform ceased to list a member.
	missing map[string]time.Time
	groups  map[string]*groupControl
	// dutyLost is when the duty was first seen without a live holder.
	dutyLost time.Time
	// storeStale is when the store was last known not to answer.
	storeStale time.Time
	claimed    time.Time
	claiming   bool
	startedAt  time.Time
}

// groupControl is the control goroutine's state of one group.
type groupControl struct {
	changing     bool
	discovering  bool
	discoveredAt time.Time
	reportedAt   time.Time
	plannedAt    time.Time
	// leaderlessSince is when the members that answered first said that none of
	// them leads.
	leaderlessSince time.Time
}

func newControl(g *Gateway) *control {
	return &control{
		gw: g, calls: make(chan func(), 256), members: map[string]Member{}, missing: map[string]time.Time{},
		groups: map[string]*groupControl{}, startedAt: time.Now(),
	}
}

// send passes a call to the control goroutine without blocking the caller, which
// may hold the mutex of a pool.
func (c *control) send(call func()) {
	select {
	case c.calls <- call:
	default:
		go func() { c.calls <- call }()
	}
}

func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-c.calls:
			call()
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

func (c *control) group(name string) *groupControl {
	g := c.groups[name]
	if g == nil {
		g = &groupControl{}
		c.groups[name] = g
	}
	return g
}

// applyMembers takes up the platform's list of members, or changes to it.
func (c *control) applyMembers(changes []Change[Member], complete bool) {
	now := time.Now()
	listed := map[string]bool{}
	for _, change := range changes {
		if change.Removed || change.Fault != nil {
			continue
		}
		listed[change.Key] = true
		c.members[change.Key] = change.Value
		delete(c.missing, change.Key)
	}
	miss := func(id string) {
		if _, known := c.members[id]; known && c.missing[id].IsZero() {
			c.missing[id] = now
		}
	}
	for _, change := range changes {
		if change.Removed || change.Fault != nil {
			miss(change.Key)
		}
	}
	if complete {
		for id := range c.members {
			if !listed[id] {
				miss(id)
			}
		}
	}
	c.applyConfiguration()
}

// applyConfiguration brings the pools in line with the list of members, the zones
// in service and the number of instances.
func (c *control) applyConfiguration() {
	current := c.gw.current.Load()
	if current == nil {
		return
	}
	now := time.Now()
	instances := c.gw.peers.live()
	byGroup := map[string][]Member{}
	for id, m := range c.members {
		if !c.missing[id].IsZero() && now.Sub(c.missing[id]) > memberForget {
			delete(c.members, id)
			delete(c.missing, id)
			continue
		}
		byGroup[m.Group] = append(byGroup[m.Group], m)
	}
	for name, members := range byGroup {
		g := current.catalog.Group(name)
		p := c.gw.pool(name)
		if p == nil {
			if g == nil {
				continue
			}
			p = newPool(name, c.gw.cfg.Zone, c.gw.cfg.Dialer, c.onPoolEvent)
			c.gw.poolsMu.Lock()
			c.gw.pools[name] = p
			c.gw.poolsMu.Unlock()
		}
		maxConnections := 0
		if g != nil {
			maxConnections = g.MaxConnections
		}
		set := servingSet(name, instances, maxConnections)
		p.update(members, c.missing, current.zonesOut, maxConnections, len(set), slices.Contains(set, c.gw.cfg.ID))
	}
}

// onPoolEvent is called by pools, under their mutex.
func (c *control) onPoolEvent(e poolEvent) {
	c.send(func() { c.poolTrouble(e) })
}

func (c *control) tick(ctx context.Context) {
	c.applyConfiguration()
	c.keepDuty(ctx)
	c.gw.eachPool(func(p *pool) {
		p.tick(ctx)
		c.watchPrimary(ctx, p)
	})
}

// watchPrimary looks for the primary of a group that has none, reports one that
// does not answer, and replaces one that leaves.
func (c *control) watchPrimary(ctx context.Context, p *pool) {
	now := time.Now()
	g := c.group(p.name)
	members, primary, _, _ := p.snapshot()
	var current *poolMember
	claims, claimants := "", 0
	for i := range members {
		m := &members[i]
		if m.ID == primary {
			current = m
		}
		if m.IsPrimary && m.missingSince.IsZero() && m.ID != primary {
			claims = m.ID
			claimants++
		}
	}
	if primary == "" && claimants == 1 && p.presume(claims) {
		return
	}
	pause := discoverPause
	if primary != "" {
		pause = claimantPause
	}
	if (primary == "" || claims != "") && !g.discovering && now.Sub(g.discoveredAt) > pause {
		g.discovering, g.discoveredAt = true, now
		go c.discover(ctx, p)
	}
	if current != nil && current.down {
		c.poolTrouble(poolEvent{group: p.name, member: primary})
	} else if current != nil && !current.missingSince.IsZero() {
		p.suspect(ctx, primary)
	}
	_, self, _ := c.gw.peers.holder()
	if self && primary == "" && !g.leaderlessSince.IsZero() && now.Sub(g.leaderlessSince) > leaderlessLimit {
		c.startChange(ctx, p, "", promotion.NoPrimary)
	}
	if self && !g.changing && now.Sub(g.plannedAt) > discoverPause {
		if reason := promotion.PlannedReason(c.candidates(members), primary); reason != promotion.None {
			g.plannedAt = now
			c.startChange(ctx, p, primary, reason)
		}
	}
}

// candidates describes the members to package promotion.
func (c *control) candidates(members []poolMember) []promotion.Member {
	now := time.Now()
	out := make([]promotion.Member, 0, len(members))
	current := c.gw.current.Load()
	for i := range members {
		m := &members[i]
		candidate := promotion.Member{
			ID: m.ID, Zone: m.Zone, Leaving: m.Draining, OutOfService: current != nil && current.zonesOut[m.Zone],
		}
		if !m.missingSince.IsZero() {
			candidate.UnlistedFor = max(now.Sub(m.missingSince), 1)
		}
		out = append(out, candidate)
	}
	return out
}

// discover asks the members of a group which one leads.
func (c *control) discover(ctx context.Context, p *pool) {
	members, _, _, _ := p.snapshot()
	type answer struct {
		id     string
		status statement.MemberStatus
		err    error
	}
	answers := make(chan answer, len(members))
	for i := range members {
		m := members[i].Member
		go func() {
			status, err := p.control(ctx, m, statement.Statement{Kind: statement.Status})
			answers <- answer{m.ID, status, err}
		}()
	}
	best, answered := answer{}, 0
	for range members {
		a := <-answers
		if a.err == nil {
			answered++
		}
		if a.err == nil && a.status.Role == group.Primary && a.status.Term >= best.status.Term {
			best = a
		}
	}
	if best.id != "" {
		p.mu.Lock()
		if p.setPrimary(best.id, best.status.Term) {
			c.gw.log.WithFields(logrus.Fields{"event": "primary", "group": p.name, "member": best.id, "term": best.status.Term}).Info("primary found")
		}
		p.mu.Unlock()
	}
	c.send(func() {
		g := c.group(p.name)
		g.discovering = false
		switch {
		case best.id != "" || answered == 0:
			g.leaderlessSince = time.Time{}
		case g.leaderlessSince.IsZero():
			g.leaderlessSince = time.Now()
		}
	})
}

// poolTrouble reports a primary that cannot be used to the holder of the duty.
func (c *control) poolTrouble(e poolEvent) {
	p := c.gw.pool(e.group)
	if p == nil || e.member == "" {
		return
	}
	p.mu.Lock()
	isPrimary := p.primary == e.member
	if isPrimary {
		p.changing = true
	}
	p.mu.Unlock()
	g := c.group(e.group)
	if !isPrimary || time.Since(g.reportedAt) < reportPause {
		return
	}
	g.reportedAt = time.Now()
	report := &pb.PrimaryReport{From: c.gw.cfg.ID, Group: e.group, Member: e.member, CommitsStall: e.stalled}
	duty, self, _ := c.gw.peers.holder()
	c.gw.log.WithFields(logrus.Fields{"event": "primary-trouble", "group": e.group, "member": e.member, "stalled": e.stalled, "holder": duty.Holder}).Warn("primary does not serve")
	if self {
		c.reported(report)
		return
	}
	client := c.gw.peers.clients()[duty.Holder]
	if client == nil {
		return // nobody holds the duty; the report is repeated
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		if _, err := client.ReportPrimary(ctx, report); err != nil {
			c.gw.log.WithFields(logrus.Fields{"event": "report", "holder": duty.Holder}).WithError(err).Warn("holder of the duty not reached")
		}
	}()
}

// reported takes a report that a primary does not serve.
func (c *control) reported(r *pb.PrimaryReport) {
	p := c.gw.pool(r.Group)
	if _, self, _ := c.gw.peers.holder(); !self || p == nil {
		return
	}
	reason := promotion.Unreachable
	if r.CommitsStall {
		reason = promotion.CutOff
	}
	c.startChange(context.Background(), p, r.Member, reason)
}

// startChange replaces the primary in the background, one change per group.
func (c *control) startChange(ctx context.Context, p *pool, primary string, reason promotion.Reason) {
	g := c.group(p.name)
	p.mu.Lock()
	isPrimary := p.primary == primary
	p.mu.Unlock()
	if g.changing || !isPrimary {
		return
	}
	g.changing = true
	go func() {
		change := &primaryChange{control: c, pool: p, primary: primary, reason: reason}
		change.run(ctx)
		c.send(func() { g.changing = false })
	}()
}

// keepDuty takes the promotion duty over when it has no live holder. Instances
// wait in order of their names, so that usually one of them asks the store.
func (c *control) keepDuty(ctx context.Context) {
	_, _, alive := c.gw.peers.holder()
	now := time.Now()
	if alive {
		c.dutyLost = time.Time{}
		return
	}
	if age, known := c.gw.leaseAge(); !known || needsConfirmation(age) {
		c.storeStale = now
	}
	if c.dutyLost.IsZero() {
		c.dutyLost = now
	}
	if tenure, claimed := c.gw.peers.dutyTenure(); claimed && tenure < minTenure {
		return
	}
	rank := slices.IndexFunc(c.gw.peers.live(), func(i membership.Instance) bool { return i.ID == c.gw.cfg.ID })
	wait := claimAfter + time.Duration(rank)*claimStep
	if c.gw.draining.Load() || c.claiming || now.Sub(c.dutyLost) < wait || now.Sub(c.storeStale) < claimSettle || now.Sub(c.startedAt) < time.Second || now.Sub(c.claimed) < claimPause {
		return
	}
	c.claiming, c.claimed = true, now
	go func() {
		c.claim(ctx)
		c.send(func() { c.claiming = false })
	}()
}

// claim reads who holds the duty and takes it if that one is not alive. Instances
// that hear of each other through a collector may lose sight of a holder that is
// well, so the holder is asked directly; and one whose claim is new is left in
// place, since holders may not act in quick turn.
func (c *control) claim(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	peers, cfg := c.gw.peers, c.gw.cfg
	duty, err := cfg.Store.ReadDuty(ctx)
	if err == nil {
		peers.noteDuty(duty)
		tenure, claimed := peers.dutyTenure()
		if claimed && (tenure < minTenure || peers.answers(ctx, duty)) {
			return
		}
		if _, _, alive := peers.holder(); alive {
			return
		}
		duty, err = cfg.Store.ClaimDuty(ctx, duty, cfg.ID, c.gw.started)
	}
	switch {
	case err == nil:
		peers.noteDuty(duty)
		c.gw.log.WithFields(logrus.Fields{"event": "duty", "token": duty.Token}).Info("promotion duty taken")
		c.repairAll(ctx)
	case errors.Is(err, ErrConflict):
	default:
		c.gw.log.WithField("event", "duty").WithError(err).Warn("promotion duty not taken")
	}
}
