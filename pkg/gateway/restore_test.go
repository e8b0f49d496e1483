package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/revision"
)

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
	follower.mu.Lock()
	p := follower.byID[collector.gw.cfg.ID]
	follower.mu.Unlock()
	follower.adoptConfirmation(p, state, bootTime())
	_, confirmed := follower.gw.configLeaseAge()
	g.Expect(confirmed).To(BeFalse())
}
