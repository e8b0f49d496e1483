package gateway

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/revision"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// collectorAndFollower returns the collector of a zone, which has a configuration and
// members at revision 7, and an instance of the zone that has older ones. The follower
// reaches the collector through the server.
func collectorAndFollower(t *testing.T) (collector, follower *peers, server *httptest.Server) {
	fleet := fleetOf(t, 24, 3)
	id, _ := fleet[0].collector()
	collector = byID(fleet, id)
	server = httptest.NewServer(collector.handler())
	t.Cleanup(server.Close)
	for _, ps := range fleet {
		if ps != collector && ps.gw.cfg.Zone == collector.gw.cfg.Zone {
			follower = ps
		}
	}
	follower.mu.Lock()
	follower.byID[id].client = pb.NewGateProtobufClient(server.URL, server.Client())
	follower.mu.Unlock()
	for _, ps := range []*peers{collector, follower} {
		version := uint64(7)
		if ps == follower {
			version = 5
		}
		at := revision.New(0, version)
		ps.gw.installConfiguration(catalog.Entries{Spec: specOfVersion(version), Revision: at, ZonesOut: map[string]bool{}})
		ps.gw.confirmConfig(bootTime())
		ps.gw.controller.applyMembers([]Change[Member]{listed("m1"), listed("m" + string(rune('0'+version)))}, true, at)
	}
	collector.gw.noteStoreAnswer(bootTime())
	return collector, follower, server
}

func specOfVersion(version uint64) *catalog.Spec {
	return &catalog.Spec{Version: version, Groups: []catalog.Group{{Name: "g", MaxConnections: 10}}}
}

func exchangeWithCollector(follower, collector *peers) {
	follower.mu.Lock()
	p := follower.byID[collector.gw.cfg.ID]
	follower.mu.Unlock()
	follower.exchange(context.Background(), p, follower.localState(nil))
	follower.gw.controller.runCalls()
}

// Each change of the configuration cost one response of the store for each of 295
// instances, and a quiet day 6,920 calls.
func TestFollowerFetchesChangesFromItsCollector(t *testing.T) {
	g := NewWithT(t)
	collector, follower, server := collectorAndFollower(t)
	follower.startedAt = bootTime() - listTimeout
	g.Expect(follower.followsCollector()).To(BeFalse(), "the instances have not been listed in time")
	follower.noteListing()
	g.Expect(follower.followsCollector()).To(BeTrue(), "the collector has time to answer")
	follower.listedAt.Store(int64(bootTime() - maxFollowSilence))
	g.Expect(follower.followsCollector()).To(BeFalse(), "the collector has not answered")
	exchangeWithCollector(follower, collector)
	g.Expect(follower.gw.currentConfig.Load().Revision).To(Equal(revision.New(0, 7)))
	g.Expect(follower.gw.memberList.Load().revision).To(Equal(revision.New(0, 7)))
	g.Expect(follower.gw.controller.members.Entries()).To(HaveKey("m7"))
	g.Expect(follower.gw.controller.members.UnlistedSince()).To(HaveKey("m5"))
	g.Expect(follower.followsCollector()).To(BeTrue())
	g.Expect(follower.followsForConfig()).To(BeTrue())
	collector.noteListing()
	g.Expect(collector.followsCollector()).To(BeFalse(), "a collector follows the store")

	server.Close()
	follower.collectorAnsweredAt.Store(int64(bootTime() - maxFollowSilence))
	g.Expect(follower.followsCollector()).To(BeFalse(), "a silent collector is not relied on")
}

// A list that was under way while a newer one arrived from the collector must not take
// its place.
func TestOlderListsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	c := newTestInstance("a", nil).controller
	c.applyMembers([]Change[Member]{listed("m1")}, true, 5)
	c.applyFetchedMembers([]Change[Member]{listed("m1"), listed("m2")}, 9)
	c.applyMembers([]Change[Member]{removed("m2")}, false, 8)
	c.applyFetchedMembers([]Change[Member]{listed("m1")}, 9)
	g.Expect(c.members.UnlistedSince()).To(BeEmpty())
	c.applyMembers([]Change[Member]{removed("m2")}, false, 10)
	g.Expect(c.members.UnlistedSince()).To(HaveKey("m2"))
	g.Expect(c.gw.memberList.Load().members).To(HaveLen(1))
}

// The keys of an instance that follows must not outlive the bound of a revocation: a
// confirmation is as old as the collector's when the exchange was sent.
func TestFollowerAdoptsTheAgeOfTheConfirmation(t *testing.T) {
	g := NewWithT(t)
	collector, follower, _ := collectorAndFollower(t)
	collector.gw.configLease = catalog.Lease{MaxAge: collector.gw.configLease.MaxAge}
	collector.gw.confirmConfig(bootTime() - 2*time.Second)
	follower.gw.configLease = catalog.Lease{MaxAge: follower.gw.configLease.MaxAge}
	exchangeWithCollector(follower, collector)
	age, known := follower.gw.configLeaseAge()
	g.Expect(known).To(BeTrue())
	g.Expect(age).To(BeNumerically(">=", 2*time.Second))
}

func TestConfigurationIsFetchedCompressed(t *testing.T) {
	g := NewWithT(t)
	collector, _, _ := collectorAndFollower(t)
	spec := specOfVersion(8)
	for range 900 {
		spec.Routes = append(spec.Routes, catalog.Route{Name: "route", Database: strings.Repeat("d", len(spec.Routes)%50+1) + string(rune(len(spec.Routes)+1000)), Group: "g"})
	}
	collector.gw.installConfiguration(catalog.Entries{Spec: spec, Revision: 8, ZonesOut: map[string]bool{"z9": true}})
	plain, err := collector.FetchCatalog(context.Background(), &pb.FetchCatalogRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	small, err := collector.FetchCatalog(context.Background(), &pb.FetchCatalogRequest{AcceptGzip: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(small.CompressedEntries)).To(BeNumerically("<", len(plain.Entries)/4), "all instances of a zone fetch it at once")
	data, err := decompress(small.CompressedEntries)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(data).To(Equal(plain.Entries))
	_, err = decompress([]byte("no gzip"))
	g.Expect(err).To(HaveOccurred())
}

// A watcher of an instance that follows its collector does not poll, and polls again when
// the collector falls silent or the watcher is interrupted.
func TestWatcherIsSuspendedWhileACollectorReports(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table := &hangingTable{waiting: make(chan struct{}), asked: make(chan time.Duration, 1)}
	interrupt := make(chan struct{})
	applied := make(chan bool, 10)
	log := logrus.New()
	w := watcher[int]{
		name: "test", table: table, pollWait: func() time.Duration { return time.Minute }, interrupt: interrupt, log: logrus.NewEntry(log),
		suspended: func() bool { return true }, knownRevision: func() revision.Revision { return 9 },
	}
	w.apply = func(_ Batch[int], complete bool, _ time.Duration) { applied <- complete }
	go w.run(ctx)
	g.Eventually(applied).Should(Receive(BeTrue()), "the first list comes from the store")
	g.Consistently(table.asked, 2*followCheckInterval).ShouldNot(Receive())
	interrupt <- struct{}{}
	g.Eventually(table.asked).Should(Receive(Equal(recoveryPollWait)))
	g.Eventually(applied).Should(Receive(BeFalse()))
}

// Instances followed a collector that the store had turned away, and did not see that
// members left until it was served again.
func TestNobodyFollowsACollectorWithoutTheStore(t *testing.T) {
	g := NewWithT(t)
	collector, follower, _ := collectorAndFollower(t)
	follower.noteListing()
	collector.gw.noteStoreAnswer(bootTime())
	exchangeWithCollector(follower, collector)
	follower.listedAt.Store(int64(bootTime() - maxFollowSilence))
	g.Expect(follower.followsCollector()).To(BeTrue())

	collector.gw.noteStoreAnswer(bootTime() - maxStoreSilence)
	follower.collectorAnsweredAt.Store(0)
	exchangeWithCollector(follower, collector)
	g.Expect(follower.followsCollector()).To(BeFalse())
}

// A collector of an older build passes on what it has read. One odd entry made the follower
// drop the whole list, or use the entry.
func TestFollowerLeavesOutOddEntriesOfAPeer(t *testing.T) {
	g := NewWithT(t)
	collector, follower, _ := collectorAndFollower(t)
	odd := listed("odd")
	odd.Value.Address = "127.0.0.1:99999"
	collector.gw.controller.applyMembers([]Change[Member]{listed("m1"), listed("m9"), odd}, true, revision.New(0, 9))
	exchangeWithCollector(follower, collector)
	g.Expect(follower.gw.memberList.Load().revision).To(Equal(revision.New(0, 9)))
	g.Expect(follower.gw.controller.members.Entries()).To(And(HaveKey("m9"), Not(HaveKey("odd"))))

	list := `[{"ID":"m1","Group":"g","Address":"127.0.0.1:1"},{"ID":"m10","Group":"g","Address":"127.0.0.1:1"},{"ID":"odd","Slots":1e30}]`
	members, err := decodeMembers([]byte(list))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(members).To(HaveLen(3))
	g.Expect(members[2].Err).To(HaveOccurred())
}

// An odd entry of a live instance, with a start time far ahead, made the others ignore the
// states of that instance, which are of an earlier start.
func TestListingIgnoresInstancesOfTheFuture(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(t, 3, 1)
	ps, other := fleet[0], fleet[1].gw.cfg.ID
	started := ps.byID[other].Started
	ps.applyListing([]Change[Instance]{{Key: other, Value: Instance{ID: other, Zone: "z", PeerAddress: "127.0.0.1:1", Started: time.Now().Add(48 * time.Hour).UnixMilli()}}})
	g.Expect(ps.byID[other].Started).To(Equal(started))
}
