package gateway

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/revision"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// ageEra makes the instance know the present era for the time.
func ageEra(gw *Gateway, age time.Duration) {
	era := gw.eras.current()
	gw.observePeerEra(era, age)
}

// After a restoration the row named a former holder again. It had stopped, but its claim
// was taken for the newest one.
func TestRestoredClaimIsNoClaim(t *testing.T) {
	g := NewWithT(t)
	asker, store, holder := dutyOf(t)
	asker.peers.updateDuty(store.duty)
	former := Duty{Holder: "z", Started: 1, Token: 3}
	store.restore(former)
	asker.peers.dutyKnownSince = time.Now().Add(-minDutyTenure)

	asker.controller.claimDuty(context.Background())
	duty, _, _ := asker.peers.dutyHolder()
	g.Expect(duty.Holder).To(Equal("b"), "the last holder known, not the one in the restored row")
	g.Expect(store.claims).To(BeZero(), "a claim lost with the restoration may be recent")

	ageEra(asker, minDutyTenure)
	asker.controller.claimDuty(context.Background())
	g.Expect(store.claims).To(BeZero(), "the last holder answers")
	holder.Close()
	asker.peers.mu.Lock()
	asker.peers.byID["b"].lastHeard, asker.peers.byID["b"].addedAt = time.Time{}, time.Time{}
	asker.peers.mu.Unlock()
	asker.controller.claimDuty(context.Background())
	g.Expect(store.claims).To(Equal(1))
	duty, self, _ := asker.peers.dutyHolder()
	g.Expect(self).To(BeTrue())
	g.Expect(duty.Token.Era()).To(Equal(uint64(1)))
}

// A holder went on with the token of a claim that the store had lost, and the platform had
// seen the next holder's higher one.
func TestHolderClaimsAgainAfterARestoration(t *testing.T) {
	g := NewWithT(t)
	store := &dutyStore{}
	a := newTestInstance("a", store)
	a.peers.mu.Lock()
	a.peers.upsert(Instance{ID: "b", Started: 1}).lastHeard = time.Now()
	a.peers.mu.Unlock()
	store.duty = Duty{Holder: "a", Started: a.started, Token: 9}
	a.peers.updateDuty(store.duty)
	a.peers.dutyKnownSince = time.Now().Add(-minDutyTenure)
	g.Expect(a.controller.mayAct()).To(BeTrue())
	a.observeEra(0)
	store.restore(Duty{Holder: "z", Started: 1, Token: 3})
	a.observeEra(1)
	g.Expect(a.controller.mayAct()).To(BeFalse(), "the claim is lost")

	a.controller.renewDuty(context.Background())
	g.Expect(store.duty.Holder).To(Equal("a"))
	g.Expect(store.duty.IsVoid()).To(BeFalse())
	g.Expect(a.controller.mayAct()).To(BeFalse(), "another holder may have acted just before the restoration")
	a.peers.observeState(&pb.State{Id: "b", Started: 1})
	g.Expect(a.controller.mayAct()).To(BeTrue(), "all others have told which holder they know")
	a.peers.byID["b"].lastHeard = time.Now().Add(-time.Minute)
	g.Expect(a.controller.mayAct()).To(BeFalse())
	ageEra(a, minDutyTenure)
	g.Expect(a.controller.mayAct()).To(BeTrue())
}

// The holder must step down if another instance has claimed in the new era.
func TestHolderStepsDownIfAnotherClaimedAfterTheRestoration(t *testing.T) {
	g := NewWithT(t)
	store := &dutyStore{}
	a := newTestInstance("a", store)
	a.peers.updateDuty(Duty{Holder: "a", Started: a.started, Token: 9})
	a.observeEra(0)
	store.duty = Duty{Holder: "c", Started: 1, Token: revision.New(1, 4), ClaimedIn: 1}
	a.observeEra(1)
	a.controller.renewDuty(context.Background())
	duty, self, _ := a.peers.dutyHolder()
	g.Expect(self).To(BeFalse())
	g.Expect(duty.Holder).To(Equal("c"))
	g.Expect(store.claims).To(BeZero())
}

// A late claim of a former era replaced the holder's row. The holder's renewals then
// failed for good.
func TestHolderReplacesAVoidClaim(t *testing.T) {
	g := NewWithT(t)
	store := &dutyStore{}
	a := newTestInstance("a", store)
	a.observeEra(0)
	a.observeEra(1)
	a.peers.updateDuty(Duty{Holder: "a", Started: a.started, Token: revision.New(1, 9), ClaimedIn: 1})
	a.peers.dutyKnownSince = time.Now().Add(-minDutyTenure)
	store.duty = Duty{Holder: "b", Started: 1, Token: revision.New(1, 10)}
	a.controller.renewDuty(context.Background())
	g.Expect(store.duty.Holder).To(Equal("a"))
	g.Expect(store.duty.IsVoid()).To(BeFalse())
}

// The copy listed a member as ready that had reported to be draining.
func TestRestoredListKeepsMembersDraining(t *testing.T) {
	g := NewWithT(t)
	c := newTestInstance("a", nil).controller
	entry := func(id string, started int64, sequence uint64, draining bool) Change[Member] {
		return Change[Member]{Key: id, Value: Member{ID: id, Group: "g", StartedMs: started, Sequence: sequence, Draining: draining}}
	}
	before, after := revision.New(0, 9), revision.New(1, 7)
	c.applyMembers([]Change[Member]{entry("draining", 5, 8, true), entry("gone", 5, 8, true), entry("new", 7, 2, false)}, true, before)
	c.applyMembers([]Change[Member]{removed("gone")}, false, before+1)

	c.applyMembers([]Change[Member]{entry("draining", 5, 4, false), entry("gone", 5, 4, false)}, true, after)
	g.Expect(c.members.Entries()["draining"].Draining).To(BeTrue())
	g.Expect(c.members.UnlistedSince()).To(HaveKey("gone"))
	g.Expect(c.members.UnlistedSince()).NotTo(HaveKey("draining"))
	g.Expect(c.members.UnlistedSince()).To(HaveKey("new"), "its entry is used for a while, until it is written again")

	c.applyMembers([]Change[Member]{entry("draining", 9, 1, false), entry("new", 7, 3, false)}, false, after+1)
	g.Expect(c.members.Entries()["draining"].Draining).To(BeFalse(), "a new process has the same ID")
	g.Expect(c.members.UnlistedSince()).NotTo(HaveKey("new"))
}

// A follower kept the list of the former era, whose revision was a higher version.
func TestFollowerFetchesTheListOfTheNextEra(t *testing.T) {
	g := NewWithT(t)
	collector, follower, _ := collectorAndFollower(t)
	lower := revision.New(1, 2)
	collector.gw.installConfiguration(catalog.Entries{Spec: specOfVersion(8), Revision: lower})
	collector.gw.controller.applyMembers([]Change[Member]{listed("m1"), listed("m8")}, true, lower)
	collector.gw.eras.observe(1)
	exchangeWithCollector(follower, collector)
	g.Expect(follower.gw.memberList.Load().revision).To(Equal(lower))
	g.Expect(follower.gw.currentConfig.Load().Version()).To(Equal(uint64(8)))
	g.Expect(follower.gw.eras.current()).To(Equal(uint64(1)))
}

// An instance that starts after the restoration must take the configuration of the others,
// which the copy lacks.
func TestStartingInstanceTakesTheNewerConfigurationOfAPeer(t *testing.T) {
	g := NewWithT(t)
	collector, follower, _ := collectorAndFollower(t) // at version 7 and 5
	follower.gw.configLease = catalog.Lease{MaxAge: follower.gw.configLease.MaxAge}
	follower.gw.eras.observe(1)
	follower.gw.installConfiguration(catalog.Entries{Spec: specOfVersion(6), Revision: revision.New(1, 2)})
	_, confirmed := follower.gw.configLeaseAge()
	g.Expect(confirmed).To(BeFalse())
	exchangeWithCollector(follower, collector)
	current := follower.gw.currentConfig.Load()
	g.Expect(current.Version()).To(Equal(uint64(7)))
	g.Expect(current.Revision.Era()).To(Equal(uint64(1)))
	_, confirmed = follower.gw.configLeaseAge()
	g.Expect(confirmed).To(BeTrue())
}

// A peer's confirmation of another configuration version confirms nothing, even if the
// revisions are the same: one of the two may be carried over from a former era.
func TestConfirmationCoversOneConfigurationVersion(t *testing.T) {
	g := NewWithT(t)
	collector, follower, server := collectorAndFollower(t)
	server.Close()
	follower.gw.configLease = catalog.Lease{MaxAge: follower.gw.configLease.MaxAge}
	follower.gw.installConfiguration(catalog.Entries{Spec: specOfVersion(6), Revision: 7})
	state := collector.localState(nil)
	state.ConfigVersion = 5 // a newer one would be fetched
	follower.mu.Lock()
	p := follower.byID[collector.gw.cfg.ID]
	follower.mu.Unlock()
	follower.adoptConfirmation(p, state, bootTime())
	_, confirmed := follower.gw.configLeaseAge()
	g.Expect(confirmed).To(BeFalse())
}

// listingStore lists the instances registered in it.
type listingStore struct {
	Store
	mu      sync.Mutex
	entries []Change[Instance]
}

func (s *listingStore) PutInstance(_ context.Context, i Instance) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, Change[Instance]{Key: i.ID, Value: i})
	return nil
}

func (s *listingStore) Instances() Table[Instance] { return s }

func (s *listingStore) List(context.Context) (Batch[Instance], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Batch[Instance]{Changes: slices.Clone(s.entries)}, nil
}

func (s *listingStore) Await(context.Context, revision.Revision, time.Duration) (Batch[Instance], error) {
	return Batch[Instance]{}, nil
}

func (s *listingStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// The entries of instances that had registered after the copy was made stayed lost, since
// in a large fleet only the collectors list the instances.
func TestCollectorRegistersInstancesThatTheStoreHasLost(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(t, 24, 3)
	id, _ := fleet[0].collector()
	collector := byID(fleet, id)
	collector.mu.Lock()
	for _, p := range collector.byID {
		p.lastHeard = time.Now()
	}
	collector.mu.Unlock()
	collector.noteListing()
	store := &listingStore{}
	collector.gw.cfg.Store = store
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go collector.gw.watchInstances(ctx)
	g.Eventually(store.count, 5*time.Second).Should(Equal(8), "its zone")
	store.mu.Lock()
	store.entries = nil
	store.mu.Unlock()
	collector.gw.observeEra(0)
	collector.gw.observeEra(1)
	g.Eventually(store.count, 2*time.Second).Should(Equal(8), "without waiting for the next listing")
}

// settledStore holds only the record of the last settled era.
type settledStore struct {
	Store
	era   uint64
	reads int
}

func (s *settledStore) SettledEra(context.Context) (uint64, error) {
	s.reads++
	return s.era, nil
}

// After all instances had lost power, each of them waited 2.5 s for the operators, also long
// after a restoration.
func TestStartingInstanceLearnsThatTheEraHasSettled(t *testing.T) {
	g := NewWithT(t)
	store := &settledStore{era: 1}
	gw := newTestInstance("a", store)
	gw.observeEra(2)
	gw.learnSettledEra(context.Background())
	g.Expect(gw.eras.settled()).To(BeFalse(), "the record is of the era before")
	store.era = 2
	gw.learnSettledEra(context.Background())
	g.Expect(gw.eras.settled()).To(BeTrue())

	gw.observeEra(3)
	reads := store.reads
	gw.learnSettledEra(context.Background())
	g.Expect(store.reads).To(Equal(reads), "the era has begun while the instance ran")
}

// An impossible era would make each answer of the store one of a former era.
func TestImpossibleEraOfAPeerIsIgnored(t *testing.T) {
	g := NewWithT(t)
	gw := newTestInstance("a", nil)
	gw.peers.observeState(&pb.State{Id: "b", Started: 1, StoreEra: 1 << 60})
	g.Expect(gw.eras.current()).To(BeZero())
}
