package gateway

import (
	"context"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/membership"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/revision"
	"github.com/mulberrysill/mulberrysill/core/statement"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

const (
	// controlInterval is the period of the controller's checks.
	controlInterval = 100 * time.Millisecond
	// unlistedMemberTTL is how long a member that is not listed is remembered.
	unlistedMemberTTL = 10 * time.Second
	// discoverInterval is the minimum time between two searches for the
	// primary of a group that has none.
	discoverInterval = 250 * time.Millisecond
	// claimantDiscoverInterval is the same while a primary is known and
	// another member claims the role, as a replaced primary does while it
	// cannot reach the store.
	claimantDiscoverInterval = time.Second
	// noPrimaryTimeout is how long a group may have no primary before a
	// promotion is started. A promotion already in progress takes up to about
	// a second.
	noPrimaryTimeout = 2 * time.Second
	// relistInterval is the minimum time between two listings of the members
	// because a group has no usable one.
	relistInterval = 5 * time.Second
	// reportInterval is the minimum time between two reports on the same
	// primary.
	reportInterval = 250 * time.Millisecond
	// claimDelay is how long an instance waits before it claims a promotion
	// lease that has no live holder, and claimDelayPerRank the additional delay
	// for each instance ranked before it.
	claimDelay        = 300 * time.Millisecond
	claimDelayPerRank = 700 * time.Millisecond
	// claimDelayAfterOutage is how long an instance that could not reach the
	// store waits before it claims the promotion lease. It may have been
	// unable to reach its peers as well, and learns of a live holder within
	// one exchange.
	claimDelayAfterOutage = exchangeInterval + peerTimeout
	// claimRetryInterval is the minimum time between two claims of the
	// promotion lease.
	claimRetryInterval = 500 * time.Millisecond
	// spareClaimInterval is the minimum time between two claims of a holder that has no spare
	// one.
	spareClaimInterval = time.Second
	// holderChangeInterval is the minimum time that the platform requires
	// between the actions of two successive holders of the promotion lease.
	// minDutyTenure is how long ago the current claim or its last renewal must
	// have been made before another instance may claim the lease.
	holderChangeInterval = 3 * time.Second
	minDutyTenure        = holderChangeInterval + 250*time.Millisecond
)

// controller maintains the instance's view of the fleet and the groups. All fields
// but calls belong to the goroutine of run, which executes the functions passed
// to enqueue.
type controller struct {
	gw      *Gateway
	callsMu sync.Mutex
	calls   []func()      // guarded by callsMu
	wake    chan struct{} // signals that calls holds a call
	// members is the platform's list of members, by ID.
	members *membership.Listing[Member]
	groups  map[string]*groupState
	// holderLostAt is when the promotion lease was first seen without a live
	// holder.
	holderLostAt time.Time
	// storeStaleAt is when the store was last known not to respond.
	storeStaleAt time.Time
	lastClaimAt  time.Time
	relistedAt   time.Time
	claiming     bool
	// voidedAt is when orders of former holders were last voided in any group.
	voidedAt time.Time
	// recordedEra is the last era that this instance has recorded as settled, and
	// recordingEra is set while it does so.
	recordedEra      uint64
	recordingEra     bool
	eraRecordTriedAt time.Time
	startedAt        time.Time
}

// groupState is the controller's state of one group.
type groupState struct {
	changeRunning   bool
	discovering     bool
	discoveredAt    time.Time
	reportedAt      time.Time
	plannedChangeAt time.Time
	orders          groupOrders
	// checkedGain is the number of gainedDuty since which the orders of former holders have
	// been looked for, and unfinishedAt when a change last ended.
	checkedGain  int64
	unfinishedAt time.Time
	// noPrimarySince is when the responding members were first found to
	// include no primary.
	noPrimarySince time.Time
	// unusableSince is since when the group has had no usable member, and
	// unusableReported is set once that has been reported.
	unusableSince    time.Time
	unusableReported bool
}

func newController(g *Gateway) *controller {
	return &controller{
		gw: g, wake: make(chan struct{}, 1), members: membership.NewListing(Member.isBefore),
		groups: map[string]*groupState{}, startedAt: time.Now(),
	}
}

// enqueue passes a call to the controller's goroutine, which executes the calls in the
// order in which they were passed. It never blocks, since the caller may hold the mutex
// of a pool.
func (c *controller) enqueue(call func()) {
	c.callsMu.Lock()
	c.calls = append(c.calls, call)
	c.callsMu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default: // the goroutine has yet to take an earlier call
	}
}

// runCalls executes the calls passed to enqueue.
func (c *controller) runCalls() {
	c.callsMu.Lock()
	calls := c.calls
	c.calls = nil
	c.callsMu.Unlock()
	for _, call := range calls {
		call()
	}
}

func (c *controller) run(ctx context.Context) {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
			c.runCalls()
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

func (c *controller) groupState(name string) *groupState {
	g := c.groups[name]
	if g == nil {
		g = &groupState{}
		c.groups[name] = g
	}
	return g
}

// applyMemberChanges applies the platform's complete list of members, or
// changes to it.
func (c *controller) applyMemberChanges(changes []Change[Member], complete bool) {
	c.applyMembers(changes, complete, 0)
}

// applyFetchedMembers applies the complete list of a peer unless this instance has a
// newer one.
func (c *controller) applyFetchedMembers(list []Change[Member], at revision.Revision) {
	if known := c.gw.memberList.Load(); known == nil || known.revision < at {
		c.applyMembers(list, true, at)
	}
}

// applyMembers applies the list of members, or changes to it, as of a revision of the
// table. It ignores those of the store that are older than a list fetched from a peer.
func (c *controller) applyMembers(changes []Change[Member], complete bool, at revision.Revision) {
	if known := c.gw.memberList.Load(); known != nil && at > 0 && at < known.revision {
		return
	}
	entries := make([]membership.ListingChange[Member], len(changes))
	for i := range changes {
		if at := changes[i].Revision; at > 0 {
			changes[i].Value.Revision = at
		}
		entries[i] = membership.ListingChange[Member]{Key: changes[i].Key, Value: changes[i].Value, Absent: changes[i].Removed || changes[i].Err != nil}
	}
	c.members.Apply(time.Now(), entries, complete)
	if known := c.gw.memberList.Load(); known == nil || at > known.revision {
		c.gw.memberList.Store(&memberList{members: c.members.Listed(), revision: at})
	}
	c.updatePools()
}

// updatePools updates the pools from the list of members, the zones in service
// and the live instances.
func (c *controller) updatePools() {
	current := c.gw.currentConfig.Load()
	if current == nil {
		return
	}
	now := time.Now()
	byGroup := map[string][]Member{}
	c.members.Forget(now, unlistedMemberTTL)
	for _, m := range c.members.Entries() {
		byGroup[m.Group] = append(byGroup[m.Group], m)
	}
	for name, members := range byGroup {
		g := current.catalog.Group(name)
		p := c.gw.pool(name)
		if p == nil {
			if g == nil {
				continue
			}
			p = newPool(name, c.gw.cfg.Zone, c.gw.cfg.Dialer, c.gw.peers, c.onPoolEvent)
			c.gw.poolsMu.Lock()
			c.gw.pools[name] = p
			c.gw.poolsMu.Unlock()
		}
		maxConnections := 0
		if g != nil {
			maxConnections = g.MaxConnections
		}
		p.updateMembers(members, c.members.UnlistedSince(), current.IsOutOfService, maxConnections, c.servingSets(name, members, maxConnections))
	}
}

// servingSets returns the instances that serve the group or its members.
func (c *controller) servingSets(group string, members []Member, maxConnections int) servingSets {
	out := servingSets{self: c.gw.cfg.ID, scope: c.gw.cfg.ServingScope}
	if out.scope == placement.ServingByGroup {
		set := c.gw.peers.liveInstances().servingSet(group, maxConnections)
		out.instances, out.includesSelf = len(set), slices.Contains(set, out.self)
		return out
	}
	out.instances, out.includesSelf = 1, true
	out.memberSetSize, out.members = memberSetSize(maxConnections), make(map[string][]string, len(members))
	view, listed := c.gw.peers.servingInstances()
	if !listed {
		return out
	}
	for i := range members {
		out.members[members[i].ID] = view.memberSet(members[i].ID, members[i].Zone, out.memberSetSize)
	}
	return out
}

// onPoolEvent is called by pools with their mutex held.
func (c *controller) onPoolEvent(e poolEvent) {
	c.enqueue(func() { c.reportUnusablePrimary(e) })
}

func (c *controller) tick(ctx context.Context) {
	c.updatePools()
	c.reportUnusableGroups(time.Now())
	c.ensureDutyHolder(ctx)
	c.keepCommitLease(ctx)
	c.recordSettledEra(ctx, time.Now())
	_, holdsLease, _ := c.gw.peers.dutyHolder()
	c.gw.forEachPool(func(p *pool) {
		c.keepControlConns(ctx, p, holdsLease)
		p.tick(ctx)
		c.watchPrimary(ctx, p)
	})
}

// reportUnusableGroups reports each group that has had no usable member for longer than
// an entry takes to come back after an outage of the store, and lists the members again:
// the list may lack members that live. An instance that follows a collector leaves that to
// the collector.
func (c *controller) reportUnusableGroups(now time.Time) {
	current := c.gw.currentConfig.Load()
	if current == nil {
		return
	}
	for _, configured := range current.catalog.Groups() {
		name := configured.Name
		g := c.groupState(name)
		p := c.gw.pool(name)
		switch {
		case p != nil && p.hasUsableMember(now):
			if g.unusableReported {
				c.gw.log.WithFields(logrus.Fields{"event": "group-usable", "group": name, "afterMs": now.Sub(g.unusableSince).Milliseconds()}).Info("the group has a usable member again")
			}
			g.unusableSince, g.unusableReported = time.Time{}, false
			continue
		case g.unusableSince.IsZero():
			g.unusableSince = now
		}
		if now.Sub(g.unusableSince) < unlistedGrace {
			continue
		}
		if !g.unusableReported {
			g.unusableReported = true
			c.gw.requests.countUnusableGroup()
			fields := logrus.Fields{"event": "group-unusable", "group": name, "sinceMs": now.Sub(g.unusableSince).Milliseconds()}
			if p != nil {
				fields["members"] = p.describeMembers(now)
			}
			c.gw.log.WithFields(fields).Error("the group has no usable member; listing the members again")
		}
		if now.Sub(c.relistedAt) >= relistInterval && !c.gw.peers.followsCollector() {
			c.relistedAt = now
			c.gw.relistMembers.Store(true)
			interruptPoll(c.gw.interruptMembersPoll)
		}
	}
}

// hasUsableMember reports whether any member accepts reads or writes.
func (p *pool) hasUsableMember(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if !m.down && m.acceptsWork(m.ID == p.primary, now) {
			return true
		}
	}
	return false
}

// describeMembers returns what the instance believes of each member, and since when in
// milliseconds, for the log.
func (p *pool) describeMembers(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for id, m := range p.members {
		text := id
		note := func(belief string, since time.Time) {
			if !since.IsZero() {
				text += " " + belief + "=" + strconv.FormatInt(now.Sub(since).Milliseconds(), 10)
			}
		}
		note("failing", m.failingSince)
		note("outOfService", m.outOfServiceSince)
		note("unlisted", m.unlistedSince)
		note("lastAnswer", m.lastAnswerAt)
		out = append(out, text)
	}
	slices.Sort(out)
	return out
}

// watchPrimary searches for the primary of a group that has none, reports a
// primary that does not respond, and replaces one that is leaving.
func (c *controller) watchPrimary(ctx context.Context, p *pool) {
	now := time.Now()
	g := c.groupState(p.name)
	members, primary, _, _ := p.snapshot()
	var current *poolMember
	claimant, claimantCount := "", 0
	for i := range members {
		m := &members[i]
		if m.ID == primary {
			current = m
		}
		if m.IsPrimary && m.unlistedSince.IsZero() && m.ID != primary {
			claimant = m.ID
			claimantCount++
		}
	}
	if primary == "" && claimantCount == 1 && p.presumePrimary(claimant) {
		return
	}
	interval := discoverInterval
	if primary != "" {
		interval = claimantDiscoverInterval
	}
	if (primary == "" || claimant != "") && !g.discovering && now.Sub(g.discoveredAt) > interval {
		g.discovering, g.discoveredAt = true, now
		go c.discoverPrimary(ctx, p)
	}
	if current != nil && current.down {
		c.reportUnusablePrimary(poolEvent{group: p.name, member: primary})
	} else if current != nil && !current.unlistedSince.IsZero() {
		p.probeUnlisted(ctx, primary)
	}
	_, self, _ := c.gw.peers.dutyHolder()
	// A primary that is down is replaced first, by a change that also finishes former ones.
	if self && (current == nil || !current.down) && c.isUnfinishedDue(g, now) {
		c.startPrimaryChange(ctx, p, primary, promotion.Unfinished)
	}
	if self && primary == "" && !g.noPrimarySince.IsZero() && now.Sub(g.noPrimarySince) > noPrimaryTimeout {
		c.startPrimaryChange(ctx, p, "", promotion.NoPrimary)
	}
	if self && !g.changeRunning && now.Sub(g.plannedChangeAt) > discoverInterval {
		if reason := promotion.PlannedReason(c.promotionCandidates(members), primary); reason != promotion.None {
			g.plannedChangeAt = now
			c.startPrimaryChange(ctx, p, primary, reason)
		}
	}
}

// promotionCandidates converts members for package promotion.
func (c *controller) promotionCandidates(members []poolMember) []promotion.Member {
	now := time.Now()
	out := make([]promotion.Member, 0, len(members))
	current := c.gw.currentConfig.Load()
	for i := range members {
		m := &members[i]
		candidate := promotion.Member{
			ID: m.ID, Zone: m.Zone, Leaving: m.Draining, OutOfService: current != nil && current.IsOutOfService(m.Zone),
			MemberFor: m.memberFor(now),
		}
		if !m.unlistedSince.IsZero() {
			candidate.UnlistedFor = max(now.Sub(m.unlistedSince), 1)
		}
		out = append(out, candidate)
	}
	return out
}

// discoverPrimary asks the members of a group which one is primary.
func (c *controller) discoverPrimary(ctx context.Context, p *pool) {
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
			status, err := p.controlCall(ctx, m, statement.Statement{Kind: statement.Status})
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
	c.enqueue(func() {
		g := c.groupState(p.name)
		g.discovering = false
		switch {
		case best.id != "" || answered == 0:
			g.noPrimarySince = time.Time{}
		case g.noPrimarySince.IsZero():
			g.noPrimarySince = time.Now()
		}
	})
}

// reportUnusablePrimary reports an unusable primary to the holder of the
// promotion lease.
func (c *controller) reportUnusablePrimary(e poolEvent) {
	p := c.gw.pool(e.group)
	if p == nil || e.member == "" {
		return
	}
	p.mu.Lock()
	isPrimary := p.primary == e.member
	if isPrimary {
		p.primaryChanging = true
	}
	p.mu.Unlock()
	g := c.groupState(e.group)
	if !isPrimary || time.Since(g.reportedAt) < reportInterval {
		return
	}
	g.reportedAt = time.Now()
	report := &pb.PrimaryReport{From: c.gw.cfg.ID, Group: e.group, Member: e.member, CommitsStall: e.commitsStalled}
	duty, self, _ := c.gw.peers.dutyHolder()
	c.gw.log.WithFields(logrus.Fields{"event": "primary-trouble", "group": e.group, "member": e.member, "stalled": e.commitsStalled, "holder": duty.Holder}).Warn("primary is unusable")
	if self {
		c.handlePrimaryReport(report)
		return
	}
	client := c.gw.peers.clients()[duty.Holder]
	if client == nil {
		return // no known holder; the report is repeated later
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		if _, err := client.ReportPrimary(ctx, report); err != nil {
			c.gw.log.WithFields(logrus.Fields{"event": "report", "holder": duty.Holder}).WithError(err).Warn("cannot reach the holder of the promotion duty")
		}
	}()
}

// handlePrimaryReport handles a report of an unusable primary.
func (c *controller) handlePrimaryReport(r *pb.PrimaryReport) {
	p := c.gw.pool(r.Group)
	if _, self, _ := c.gw.peers.dutyHolder(); !self || p == nil {
		return
	}
	reason := promotion.Unreachable
	if r.CommitsStall {
		reason = promotion.CutOff
	}
	c.startPrimaryChange(context.Background(), p, r.Member, reason)
}

// startPrimaryChange replaces the primary in the background. Each group has at
// most one change in progress.
func (c *controller) startPrimaryChange(ctx context.Context, p *pool, primary string, reason promotion.Reason) {
	g := c.groupState(p.name)
	p.mu.Lock()
	isPrimary := p.primary == primary
	p.mu.Unlock()
	if g.changeRunning || !isPrimary {
		return
	}
	g.changeRunning = true
	change := &primaryChange{controller: c, pool: p, primary: primary, reason: reason, orders: g.orders}
	if gain, hasFormerHolder := c.gw.peers.gainedDuty(); g.checkedGain != gain {
		// A former holder may have left replicas paused and promotions pending.
		g.checkedGain = gain
		change.orders.pending, change.orders.member, change.orders.unresumed = true, "", nil
		change.orders.unvoided = hasFormerHolder
		g.orders = change.orders
	}
	go func() {
		change.run(ctx)
		c.enqueue(func() { g.changeRunning, g.orders, g.unfinishedAt = false, change.orders, time.Now() })
	}()
}

// ensureDutyHolder claims the promotion lease if it has no live holder.
// Instances wait in order of their IDs, so that usually only one of them sends
// a claim. A holder claims its lease again after the store was restored.
func (c *controller) ensureDutyHolder(ctx context.Context) {
	duty, self, alive := c.gw.peers.dutyHolder()
	now := time.Now()
	if self && duty.Token.Era() < c.gw.eras.current() {
		if !c.claiming && now.Sub(c.lastClaimAt) >= claimRetryInterval {
			c.startClaim(now, func() { c.renewDuty(ctx) })
			c.gw.peers.askAll(ctx)
		}
		return
	}
	if self && !c.claiming && now.Sub(c.lastClaimAt) >= spareClaimInterval && c.gw.peers.lacksSpareClaim() {
		c.startClaim(now, func() { c.repeatClaim(ctx, false) })
	}
	if alive {
		c.holderLostAt = time.Time{}
		return
	}
	if age, known := c.gw.configLeaseAge(); !known || needsConfirmation(age) {
		c.storeStaleAt = now
	}
	if c.holderLostAt.IsZero() {
		c.holderLostAt = now
	}
	if tenure, claimed := c.gw.peers.dutyTenure(); claimed && tenure < minDutyTenure {
		return
	}
	if _, age := c.gw.eras.knownFor(); age < minDutyTenure {
		return // claimDuty would not claim either
	}
	rank := slices.IndexFunc(c.gw.peers.liveInstances().instances, func(i membership.Instance) bool { return i.ID == c.gw.cfg.ID })
	wait := claimDelay + time.Duration(rank)*claimDelayPerRank
	if c.gw.draining.Load() || c.claiming || now.Sub(c.holderLostAt) < wait || now.Sub(c.storeStaleAt) < claimDelayAfterOutage || now.Sub(c.startedAt) < time.Second || now.Sub(c.lastClaimAt) < claimRetryInterval {
		return
	}
	c.startClaim(now, func() { c.claimDuty(ctx) })
}

// startClaim runs claim, which claims the promotion lease, in its own goroutine.
func (c *controller) startClaim(now time.Time, claim func()) {
	c.claiming, c.lastClaimAt = true, now
	go func() {
		claim()
		c.enqueue(func() { c.claiming = false })
	}()
}

// claimDuty reads the promotion lease from the store and claims it if its
// holder is not alive. Instances that learn of each other through a collector
// can lose sight of a healthy holder, so the holder is also asked directly. A
// recent claim is left in place, because the platform does not allow holders to
// act in quick succession. For the same reason nobody else claims soon after the
// store was restored: it may have lost a recent claim.
func (c *controller) claimDuty(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	peers, cfg := c.gw.peers, c.gw.cfg
	duty, err := c.readDuty(ctx)
	if err == nil {
		if _, age := c.gw.eras.knownFor(); age < minDutyTenure {
			return
		}
		known, _, _ := peers.dutyHolder()
		tenure, claimed := peers.dutyTenure()
		if claimed && (tenure < minDutyTenure || peers.holderAnswers(ctx, known)) {
			return
		}
		if _, _, alive := peers.dutyHolder(); alive {
			return
		}
		duty, err = cfg.Store.ClaimDuty(ctx, duty, cfg.ID, c.gw.started)
	}
	switch {
	case err == nil:
		peers.updateDuty(duty)
		c.gw.log.WithFields(logrus.Fields{"event": "duty", "token": duty.Token}).Info("promotion duty claimed")
	case errors.Is(err, ErrConflict):
	default:
		c.gw.log.WithField("event", "duty").WithError(err).Warn("cannot claim the promotion duty")
	}
}

// readDuty reads the promotion lease from the store and records it.
func (c *controller) readDuty(ctx context.Context) (Duty, error) {
	duty, err := c.gw.cfg.Store.ReadDuty(ctx)
	if err != nil {
		return Duty{}, err
	}
	c.gw.observeEra(duty.Token.Era())
	c.gw.peers.updateDuty(duty)
	return duty, nil
}
