package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/mulberrysill/mulberrysill/core/promotion"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

const (
	// leaseRenewalInterval is the interval at which an instance renews its commit lease at the
	// holder of the promotion lease.
	leaseRenewalInterval = 400 * time.Millisecond
	// peerClaimDelay is how long after a message of this instance a peer claims the promotion
	// lease from it at the earliest. It is shorter than peerAliveTimeout.
	peerClaimDelay = 2 * time.Second
	// dutyCheckInterval is the interval at which a holder of the promotion lease that is not in
	// touch with all peers reads the lease from the store.
	dutyCheckInterval = 500 * time.Millisecond
	// relayedLeaseDelay is how long after its start a process relies on what collectors relay.
	// The holder of the promotion lease knows of it by then.
	relayedLeaseDelay = 10 * time.Second
)

// commitLease is the commit lease of this instance. It is a leaf of the lock order.
type commitLease struct {
	mu       sync.Mutex
	lease    promotion.CommitLease // guarded by mu
	duration time.Duration         // guarded by mu

	// dutyConfirmedAt is the start of the last read of the store that showed that this process
	// holds the promotion lease, on the clock of bootTime. Like the fields below, only the
	// controller's goroutine uses it.
	dutyConfirmedAt time.Duration
	// checksDuty is set while the store is read, which began at dutyCheckedAt.
	checksDuty    bool
	dutyCheckedAt time.Time
	// renewing is set while the lease is renewed at its holder, which began at renewedAt.
	renewing  bool
	renewedAt time.Time
	// wasHeld is whether the lease was in force at the last check.
	wasHeld bool
}

// renew records that this instance knows all fences that were set before a time.
func (l *commitLease) renew(knownAt, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.Renew(knownAt)
	l.duration = duration
}

func (l *commitLease) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Holds(bootTime(), l.duration)
}

func (l *commitLease) age() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Age(bootTime())
}

// leaseDuration returns how long commit leases of this instance last, and whether they are
// renewed through collectors.
func (ps *peers) leaseDuration() (duration time.Duration, isRelayed bool) {
	if collector, _ := ps.collector(); collector != "" {
		return promotion.RelayedCommitLeaseDuration, true
	}
	return promotion.CommitLeaseDuration, false
}

// relayedFencesAge returns the FencesAgeMs of this instance's states. It is read before the
// fences are, so that these include all that were set before.
func (ps *peers) relayedFencesAge() int64 {
	if _, isCollector := ps.collector(); !isCollector {
		return 0
	}
	age, known := ps.commitLease.age()
	if !known {
		return 0
	}
	return age.Milliseconds() + 2 // rounded up
}

// adoptRelayedLease renews the commit lease after a collector's response to a request that this
// instance has composed at a time.
func (ps *peers) adoptRelayedLease(s *pb.State, composed time.Duration) {
	duration, isRelayed := ps.leaseDuration()
	if s.FencesAgeMs <= 0 || !isRelayed || bootTime()-ps.startedAt < relayedLeaseDelay || !ps.adoptAllFences(s.Fences) {
		return
	}
	ps.commitLease.renew(composed-time.Duration(s.FencesAgeMs)*time.Millisecond, duration)
}

// adoptAllFences adopts the fences that come with a renewal, and reports whether this instance
// has the groups of all of them. They count whatever their tokens: the holder may have renewed
// its claim since it has set them.
func (ps *peers) adoptAllFences(fences []*pb.FenceCommitsRequest) bool {
	ps.adoptFencesSince(fences, 0)
	return !slices.ContainsFunc(fences, func(f *pb.FenceCommitsRequest) bool { return ps.gw.pool(f.Group) == nil })
}

// RenewCommitLease returns the commit fences that stand, if this instance holds the promotion
// lease and knows all of them.
func (ps *peers) RenewCommitLease(_ context.Context, r *pb.RenewCommitLeaseRequest) (*pb.RenewCommitLeaseResponse, error) {
	age, known := ps.commitLease.age()
	if _, self, _ := ps.dutyHolder(); !self || !known {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this instance does not hold the promotion duty, or may not know all commit fences")
	}
	ps.mu.Lock()
	p := ps.byID[r.Id]
	isKnown := p != nil && p.Started == r.Started
	if isKnown {
		p.aliveAt, p.echoed = bootTime(), max(p.echoed, time.Duration(r.EchoMs)*time.Millisecond)
	}
	ps.mu.Unlock()
	if !isKnown {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition, "this process of instance %s is not known yet", r.Id)
	}
	return &pb.RenewCommitLeaseResponse{
		FencesAgeMs: age.Milliseconds() + 1, Fences: ps.standingFences(), SentMs: bootTime().Milliseconds(),
	}, nil
}

func (ps *peers) standingFences() (out []*pb.FenceCommitsRequest) {
	ps.gw.forEachPool(func(p *pool) {
		if fence := p.standingFence(); fence != nil {
			out = append(out, fence)
		}
	})
	return out
}

// renewFromHolder renews the commit lease at the holder of the promotion lease, if one is known.
func (ps *peers) renewFromHolder(ctx context.Context) error {
	ps.mu.Lock()
	holder := ps.byID[ps.duty.Holder]
	var echo int64
	if holder != nil {
		echo = holder.sentMs
	}
	ps.mu.Unlock()
	if holder == nil {
		return nil // no holder is known yet
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	composed := bootTime()
	r, err := holder.client.RenewCommitLease(ctx, &pb.RenewCommitLeaseRequest{Id: ps.gw.cfg.ID, Started: ps.gw.started, EchoMs: echo})
	if err != nil {
		return err
	}
	ps.mu.Lock()
	holder.sentMs = max(holder.sentMs, r.SentMs)
	ps.mu.Unlock()
	if duration, _ := ps.leaseDuration(); ps.adoptAllFences(r.Fences) {
		ps.commitLease.renew(composed-time.Duration(r.FencesAgeMs)*time.Millisecond, duration)
	}
	return nil
}

// unclaimedUntil returns a time before which no peer has claimed the promotion lease from this
// process: a peer claims it only after it has heard nothing of the holder for a while. It
// returns false in a large fleet, and if a peer has not been heard.
func (ps *peers) unclaimedUntil() (time.Duration, bool) {
	if _, isRelayed := ps.leaseDuration(); isRelayed {
		return 0, false
	}
	out := bootTime()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.byID {
		if p.leaving {
			continue // it does not claim
		}
		if p.echoed == 0 {
			return 0, false
		}
		out = min(out, p.echoed+peerClaimDelay)
	}
	return out, !ps.hasLeft
}

// keepCommitLease renews the commit lease of this instance. It is called by the controller's
// goroutine.
func (c *controller) keepCommitLease(ctx context.Context) {
	ps := c.gw.peers
	if _, self, _ := ps.dutyHolder(); self {
		c.renewHoldersLease(ctx)
	} else if collector, isCollector := ps.collector(); collector == "" || isCollector {
		c.renewLease(ctx)
	}
	l := &ps.commitLease
	holds := l.holds()
	if holds == l.wasHeld {
		return
	}
	l.wasHeld = holds
	fields := logrus.Fields{"event": "commit-lease", "holds": holds}
	if age, known := l.age(); known {
		fields["ageMs"] = age.Milliseconds()
	}
	if holds {
		c.gw.log.WithFields(fields).Info("commit lease renewed")
		return
	}
	c.gw.requests.countLapsedCommitLease()
	c.gw.log.WithFields(fields).Warn("commit lease lapsed; commits are acknowledged once listed replicas have them")
}

// renewLease renews the commit lease at the holder in the background if that is due.
func (c *controller) renewLease(ctx context.Context) {
	l := &c.gw.peers.commitLease
	if l.renewing || time.Since(l.renewedAt) < leaseRenewalInterval {
		return
	}
	l.renewing, l.renewedAt = true, time.Now()
	go func() {
		if err := c.gw.peers.renewFromHolder(ctx); err != nil {
			c.gw.log.WithField("event", "commit-lease").WithError(err).Debug("cannot renew the commit lease")
		}
		c.enqueue(func() { l.renewing = false })
	}()
}

// renewHoldersLease renews the commit lease of the holder of the promotion lease. It knows all
// fences as long as nobody else can have claimed the lease, and if none of a former holder can
// stand.
func (c *controller) renewHoldersLease(ctx context.Context) {
	ps := c.gw.peers
	if !c.mayAct() || !c.knowsOrders() {
		return
	}
	duration, _ := ps.leaseDuration()
	until, known := ps.unclaimedUntil()
	if !known || bootTime()-until > dutyCheckInterval {
		c.checkDuty(ctx)
		l := &ps.commitLease
		until, known = max(until, l.dutyConfirmedAt), known || l.dutyConfirmedAt > 0
	}
	if known {
		ps.commitLease.renew(until, duration)
	}
}

// checkDuty reads the promotion lease from the store in the background if that is due.
func (c *controller) checkDuty(ctx context.Context) {
	l := &c.gw.peers.commitLease
	if l.checksDuty || time.Since(l.dutyCheckedAt) < dutyCheckInterval {
		return
	}
	l.checksDuty, l.dutyCheckedAt = true, time.Now()
	go func() {
		readCtx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		asked := bootTime()
		duty, err := c.readDuty(readCtx)
		if err != nil {
			c.gw.log.WithField("event", "duty").WithError(err).Info("cannot read the claim of the promotion duty")
		}
		c.enqueue(func() {
			l.checksDuty = false
			if err == nil && c.gw.peers.isOwnDuty(duty) && !duty.IsVoid() {
				l.dutyConfirmedAt = asked
			}
		})
	}()
}

// knowsOrders reports whether this instance knows of all promotions that may be carried out in
// any group, and has set a commit fence for those whose outcome is open. Orders of former
// holders of the promotion lease are looked for first.
func (c *controller) knowsOrders() bool {
	gain, _ := c.gw.peers.gainedDuty()
	known := true
	c.gw.forEachPool(func(p *pool) {
		g := c.groupState(p.name)
		o := &g.orders
		if g.checkedGain != gain || o.unvoided || o.unchecked || (o.pending && !o.fence.stands) {
			known = false
		}
	})
	return known
}

// leasesEnd returns the time until which instances that have not confirmed a fence may have a
// commit lease, and their IDs. The fence has stood at this instance since a time, and comes with
// each renewal after that.
func (ps *peers) leasesEnd(confirmed map[string]bool, since time.Duration) (end time.Duration, unconfirmed []string) {
	duration, isRelayed := ps.leaseDuration()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if len(ps.byID) >= maxFullMeshInstances {
		// Others may count instances that this one takes for dead.
		duration, isRelayed = promotion.RelayedCommitLeaseDuration, true
	}
	for id, p := range ps.byID {
		if p.stopped || confirmed[id] {
			continue
		}
		unconfirmed = append(unconfirmed, id)
		switch {
		case isRelayed:
			// A collector may hear the instance after its last report of it.
			end = max(end, since+duration)
		case p.aliveAt > 0:
			end = max(end, min(p.aliveAt, since)+duration)
		}
	}
	if len(unconfirmed) > 0 {
		// A former holder may have renewed leases until this process claimed the promotion lease.
		end = max(end, ps.gainedAt+duration)
	}
	return end, unconfirmed
}
