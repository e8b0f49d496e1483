package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// leasePair returns the holder of the promotion lease, whose server is returned as well, and an
// instance that knows it. The holder knows the instance if isKnown is set.
func leasePair(t *testing.T, isKnown bool) (holder, other *Gateway, server *httptest.Server) {
	store := &dutyStore{}
	holder, other = newTestInstance("a", store), newTestInstance("b", store)
	store.duty = Duty{Holder: "a", Started: holder.started, Token: 5}
	holder.peers.updateDuty(store.duty)
	other.peers.updateDuty(store.duty)
	server = httptest.NewServer(holder.peers.handler())
	t.Cleanup(server.Close)
	other.peers.upsert(Instance{ID: "a", PeerAddress: strings.TrimPrefix(server.URL, "http://"), Started: holder.started})
	if isKnown {
		holder.peers.upsert(Instance{ID: "b", Started: other.started})
	}
	return holder, other, server
}

// Guards against an instance that passes on acknowledgements without a proof although the holder
// of the promotion lease cannot fence it: the holder does not know its process, may not know the
// orders of a former holder, or has not told it which fences stand.
func TestACommitLeaseIsRenewedByAHolderThatKnowsAllFences(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	holder, other, _ := leasePair(t, true)
	g.Expect(other.peers.renewFromHolder(ctx)).To(MatchError(ContainSubstring("may not know all commit fences")))
	holder.controller.groupState("g").checkedGain = 1
	holder.controller.groupState("g").orders.unvoided = true
	holder.pools["g"] = newPool("g", "z", nil, nil, func(poolEvent) {})
	holder.peers.byID["b"].echoed = bootTime()
	holder.controller.keepCommitLease(ctx)
	g.Expect(holder.peers.commitLease.holds()).To(BeFalse(), "an order of a former holder may be carried out")

	holder.controller.groupState("g").orders.unvoided = false
	holder.controller.keepCommitLease(ctx)
	g.Expect(holder.peers.commitLease.holds()).To(BeTrue())
	holder.pools["g"].fenceCommits("primary", "", call(1), time.Minute)
	g.Expect(other.peers.renewFromHolder(ctx)).To(Succeed())
	g.Expect(other.peers.commitLease.holds()).To(BeFalse(), "the fence is of a group that the instance does not know yet")
	other.pools["g"] = newPool("g", "z", nil, nil, func(poolEvent) {})
	holder.pools["g"].fenceCommits("primary", "", promotion.FenceOrder{Token: 5, Call: 2}, time.Minute)
	g.Expect(other.peers.renewFromHolder(ctx)).To(Succeed())
	g.Expect(other.peers.commitLease.holds()).To(BeTrue())
	g.Expect(other.pools["g"].standingFence()).NotTo(BeNil())

	holder.pools["g"].fenceCommits("primary", "", promotion.FenceOrder{Token: 5, Call: 3}, time.Minute)
	renewed := Duty{Holder: "a", Started: holder.started, Token: 6}
	other.peers.updateDuty(renewed)
	g.Expect(other.peers.renewFromHolder(ctx)).To(Succeed())
	g.Expect(other.pools["g"].standingFence().Call).To(BeEquivalentTo(3), "set under the claim before")

	_, stranger, _ := leasePair(t, false)
	stranger.peers.byID["a"].client = other.peers.byID["a"].client
	stranger.started++
	g.Expect(stranger.peers.renewFromHolder(ctx)).To(MatchError(ContainSubstring("not known yet")))
}

// Guards against a holder that goes on renewing leases although another instance, which does not
// hear it, has claimed the promotion lease.
func TestAHolderThatAPeerDoesNotHearAsksTheStore(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	holder, _, _ := leasePair(t, true)
	_, known := holder.peers.unclaimedUntil()
	g.Expect(known).To(BeFalse())
	holder.peers.byID["b"].echoed = bootTime() - time.Minute
	until, _ := holder.peers.unclaimedUntil()
	g.Expect(bootTime() - until).To(BeNumerically(">", promotion.CommitLeaseDuration))

	holder.controller.keepCommitLease(ctx)
	g.Eventually(func() bool {
		holder.controller.runCalls()
		holder.controller.keepCommitLease(ctx)
		return holder.peers.commitLease.holds()
	}).Should(BeTrue(), "the store shows that it holds the promotion lease")

	store := holder.cfg.Store.(*dutyStore)
	store.duty = Duty{Holder: "b", Started: 1, Token: 9}
	g.Eventually(func() bool {
		holder.controller.runCalls()
		holder.controller.keepCommitLease(ctx)
		return holder.peers.commitLease.holds()
	}, 3*promotion.CommitLeaseDuration).Should(BeFalse())
}

// Guards against a promotion that does not wait for instances which still have a commit lease,
// and against one that waits for instances which cannot have one.
func TestLeasesOfUnfencedInstancesAreWaitedFor(t *testing.T) {
	g := NewWithT(t)
	a := newTestInstance("a", &dutyStore{})
	a.peers.byID = map[string]*peer{
		"confirmed": {aliveAt: bootTime() + time.Hour},
		"stopped":   {aliveAt: bootTime() + time.Hour, stopped: true},
		"silent":    {aliveAt: time.Minute},
		"never":     {},
	}
	confirmed := map[string]bool{"confirmed": true}
	since := 10 * time.Minute
	end, unconfirmed := a.peers.leasesEnd(confirmed, since)
	g.Expect(end).To(Equal(time.Minute + promotion.CommitLeaseDuration))
	g.Expect(unconfirmed).To(ConsistOf("silent", "never"))

	a.peers.gainedAt = time.Hour
	end, _ = a.peers.leasesEnd(confirmed, since)
	g.Expect(end).To(Equal(time.Hour+promotion.CommitLeaseDuration), "a former holder may have renewed leases")
	a.peers.gainedAt = 0
	end, _ = a.peers.leasesEnd(confirmed, 30*time.Second)
	g.Expect(end).To(Equal(30*time.Second+promotion.CommitLeaseDuration), "later renewals bring the fence")

	for n := range maxFullMeshInstances {
		a.peers.byID[fmt.Sprintf("m%02d", n)] = &peer{Instance: Instance{ID: fmt.Sprintf("m%02d", n), Started: 1}, lastHeard: time.Now(), stopped: true}
	}
	end, unconfirmed = a.peers.leasesEnd(confirmed, since)
	g.Expect(end).To(Equal(since+promotion.RelayedCommitLeaseDuration), "a collector may have renewed the lease until then")
	g.Expect(unconfirmed).To(ConsistOf("silent", "never"))
	confirmed["silent"], confirmed["never"] = true, true
	end, _ = a.peers.leasesEnd(confirmed, since)
	g.Expect(end).To(BeZero())
}

// Guards against waiting for the lease of a process that has ended: its machine refuses the call.
func TestAnInstanceWhoseProcessHasEndedIsNotWaitedFor(t *testing.T) {
	g := NewWithT(t)
	h := newHandover()
	ended := httptest.NewServer(nil)
	ended.Close()
	h.a.peers.upsert(Instance{ID: "b", PeerAddress: strings.TrimPrefix(ended.URL, "http://"), Started: 1})
	change := h.change(h.a, promotion.Unreachable, groupOrders{})
	g.Expect(change.fenceCommits(context.Background(), "")).To(BeFalse(), "what it has passed on is not known")
	_, unconfirmed := h.a.peers.leasesEnd(change.orders.fence.confirmed, bootTime())
	g.Expect(unconfirmed).To(BeEmpty())
}

// Guards against commits that an instance without a lease passes on before a replica that the
// promoter knows has them, and against waiting for a commit that was sent to a former primary.
func TestCommitsWithoutALeaseAreProvenOnReplicas(t *testing.T) {
	g := NewWithT(t)
	s := newStoppableGroup()
	p := s.change(promotion.Leaving).pool
	p.instances = s.a.peers
	settle := func(index uint64, wait time.Duration) error {
		now := time.Now()
		return p.settleCommit(context.Background(), "primary", group.Position{Term: 1, Index: index}, now, now.Add(wait))
	}
	g.Expect(settle(5, time.Minute)).To(Succeed())
	g.Expect(settle(6, 100*time.Millisecond)).NotTo(Succeed(), "no replica has it")
	time.AfterFunc(50*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.index["r1"] = 7
	})
	g.Expect(settle(7, time.Minute)).To(Succeed())

	go func() {
		time.Sleep(50 * time.Millisecond)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.setPrimary("r1", 2)
	}()
	g.Expect(settle(8, time.Minute)).NotTo(Succeed(), "another member leads")
	g.Expect(p.lacksProof("primary", group.Position{Term: 2, Index: 9}, time.Now())).To(BeFalse(), "it does not lead")
	p.instances.commitLease.renew(bootTime(), promotion.CommitLeaseDuration)
	g.Expect(p.lacksProof("r1", group.Position{Term: 2, Index: 9}, time.Now())).To(BeFalse())
}

// Guards against commits that are sent one after another, and end with an unknown outcome,
// although no replica gets any.
func TestNoCommitIsSentWhileNoneIsProven(t *testing.T) {
	g := NewWithT(t)
	s := newStoppableGroup()
	p := s.change(promotion.Leaving).pool
	p.instances = s.a.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	g.Expect(p.takesCommits("primary", now)).To(BeTrue())
	p.unprovenSince = now.Add(-commitStallTimeout)
	g.Expect(p.takesCommits("primary", now)).To(BeFalse())
	g.Expect(p.takesCommits("primary", now.Add(maxProofStall))).To(BeTrue(), "one is tried")
}

// newGroupBesideASilentInstance returns a group whose primary cannot be stopped and has commits
// that no replica has, and one of whose instances answers no call.
func newGroupBesideASilentInstance(t *testing.T) *stoppableGroup {
	s := newStoppableGroup()
	s.refusesDemote, s.index["primary"] = true, 9
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { silent.Close() })
	s.a.peers.upsert(Instance{ID: "b", Started: s.b.started + 1, PeerAddress: silent.Addr().String()})
	return s
}

// Guards against an order for the successor of a primary that cannot be stopped while an instance
// that cannot be fenced passes on acknowledgements without a proof.
func TestAnUnplannedChangeWaitsForTheLeasesOfUnfencedInstances(t *testing.T) {
	g := NewWithT(t)
	s := newGroupBesideASilentInstance(t)
	heard := bootTime()
	s.a.peers.byID["b"].aliveAt = heard
	var ordered time.Duration
	s.onOrder = func(string) { ordered = bootTime() }
	s.change(promotion.CutOff).run(context.Background())
	g.Expect(s.orders).To(HaveLen(1))
	g.Expect(ordered - heard).To(BeNumerically(">=", promotion.CommitLeaseDuration))
	g.Expect(s.pauses).To(Equal(2), "the first logs were told before the lease had lapsed")
}

// Guards against a repeated question for logs that were told after all leases had lapsed: a
// replica that has left in between would stop the change.
func TestAnUnplannedChangeAsksOnceIfNoLeaseWasInForce(t *testing.T) {
	g := NewWithT(t)
	s := newGroupBesideASilentInstance(t)
	s.a.peers.byID["b"].aliveAt = bootTime() - promotion.CommitLeaseDuration
	s.a.peers.gainedAt = bootTime() - promotion.CommitLeaseDuration
	s.change(promotion.CutOff).run(context.Background())
	g.Expect(s.orders).To(HaveLen(1))
	g.Expect(s.pauses).To(Equal(1))
}

// Guards against an instance of a large fleet that relies on what a collector relays although the
// holder of the promotion lease may not know of its process, and against states of instances that
// are no collectors, or of a small fleet, that renew leases.
func TestCommitLeasesAreRelayedByCollectors(t *testing.T) {
	g := NewWithT(t)
	a := newTestInstance("a", &dutyStore{})
	now := bootTime()
	relayed := &pb.State{Id: "m00", FencesAgeMs: 1001}
	a.peers.startedAt = now - relayedLeaseDelay
	a.peers.adoptRelayedLease(relayed, now)
	g.Expect(a.peers.commitLease.holds()).To(BeFalse(), "a small fleet")

	for n := range maxFullMeshInstances {
		id := fmt.Sprintf("m%02d", n)
		a.peers.upsert(Instance{ID: id, Started: 1}).lastHeard = time.Now()
	}
	a.peers.startedAt = now
	a.peers.adoptRelayedLease(relayed, now)
	g.Expect(a.peers.commitLease.holds()).To(BeFalse(), "the process has just started")
	a.peers.startedAt = now - relayedLeaseDelay
	a.peers.adoptRelayedLease(&pb.State{Id: "m00"}, now)
	g.Expect(a.peers.commitLease.holds()).To(BeFalse(), "the sender knows no age")
	unknown := &pb.FenceCommitsRequest{Group: "g", Member: "primary", DutyToken: 5, Call: 1, DurationMs: time.Minute.Milliseconds()}
	a.peers.adoptRelayedLease(&pb.State{Id: "m00", FencesAgeMs: 1001, Fences: []*pb.FenceCommitsRequest{unknown}}, now)
	g.Expect(a.peers.commitLease.holds()).To(BeFalse(), "it cannot set the fence yet")
	a.peers.adoptRelayedLease(relayed, now)
	g.Expect(a.peers.commitLease.holds()).To(BeTrue())
	age, _ := a.peers.commitLease.age()
	g.Expect(age).To(BeNumerically(">=", time.Second))

	_, isCollector := a.peers.collector()
	g.Expect(a.peers.relayedFencesAge() > 0).To(Equal(isCollector))
}

// Guards against a wait that begins anew with each attempt at a change, and against one that
// counts from a fence for another successor.
func TestAFenceThatIsRepeatedHasStoodSinceTheFirstCall(t *testing.T) {
	g := NewWithT(t)
	h := newHandover()
	change := h.change(h.a, promotion.Unreachable, groupOrders{})
	change.fenceCommits(context.Background(), "r1")
	since := change.orders.fence.since
	g.Expect(since).To(BeNumerically(">", 0))
	time.Sleep(time.Millisecond)
	change.fenceCommits(context.Background(), "r1")
	g.Expect(change.orders.fence.since).To(Equal(since))
	change.fenceCommits(context.Background(), "r2")
	g.Expect(change.orders.fence.since).To(BeNumerically(">", since))
}
