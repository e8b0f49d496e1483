package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// newCollector returns the peers of the collector of 68 instances, and the
// state sent by another instance.
func newCollector(t *testing.T) (*peers, *pb.State) {
	g := NewWithT(t)
	fleet := testFleet(68)
	collector := newFleetView(fleet).zoneCollector("z1")
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	gw := New(Config{ID: collector, Zone: "z1", FirstStart: true, Log: logrus.NewEntry(log)})
	var workspaces []catalog.Workspace
	for i := range 76 {
		workspaces = append(workspaces, catalog.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: 25, Burst: 25})
	}
	gw.limits.configure(workspaces, 1)
	var asker *pb.State
	for _, i := range fleet {
		if i.ID == collector {
			continue
		}
		s := &pb.State{Id: i.ID, Zone: i.Zone, Address: "127.0.0.1:1", Started: 1}
		for _, w := range workspaces {
			s.Usages = append(s.Usages, &pb.Usage{Workspace: w.Name, Admitted: 10, Demand: 2})
		}
		_, err := gw.peers.Sync(context.Background(), s)
		g.Expect(err).NotTo(HaveOccurred())
		asker = s
	}
	return gw.peers, asker
}

// The collector of a large fleet responds to every instance up to five times
// per second. With 100 instances, responses that name all instances and
// workspaces take 5 MB/s, more than the link of a small instance carries.
func TestExchangeOmitsUnchangedState(t *testing.T) {
	g := NewWithT(t)
	collector, s := newCollector(t)
	first, err := collector.Sync(context.Background(), s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Alive).To(HaveLen(67))

	s.AliveDigest = first.AliveDigest
	second, err := collector.Sync(context.Background(), s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.Alive).To(BeEmpty())
	g.Expect(second.AliveDigest).To(Equal(first.AliveDigest))

	s.Partial, s.Usages = true, s.Usages[:1]
	partial, err := collector.Sync(context.Background(), s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(partial.Partial).To(BeTrue())
	g.Expect(partial.Usages).To(HaveLen(1))
	g.Expect(proto.Size(partial)).To(BeNumerically("<", proto.Size(first)/20))
}

// An omitted list means that it is unchanged. An instance that takes it for an
// empty list counts itself as the only one and admits the workspace's whole
// rate.
func TestUnchangedListKeepsInstancesAlive(t *testing.T) {
	g := NewWithT(t)
	collector, s := newCollector(t)
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	asker := New(Config{ID: s.Id, Zone: s.Zone, FirstStart: true, Log: logrus.NewEntry(log)}).peers
	answer, err := collector.Sync(context.Background(), s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(asker.observeAlive(answer)).To(Equal(67))
	for _, p := range asker.byID {
		p.lastHeard, p.addedAt = p.lastHeard.Add(-2*peerAliveTimeout), p.addedAt.Add(-2*peerAliveTimeout)
	}
	g.Expect(asker.liveInstances().instances).To(HaveLen(1))

	s.AliveDigest = answer.AliveDigest
	unchanged, err := collector.Sync(context.Background(), s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(unchanged.Alive).To(BeEmpty())
	g.Expect(asker.observeAlive(unchanged)).To(Equal(67))
	g.Expect(asker.liveInstances().instances).To(HaveLen(68))
}

// fleetOf returns the peers of instances that know each other, as in a large fleet.
func fleetOf(t *testing.T, instances, zones int) []*peers {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	var entries []Change[Instance]
	for n := range instances {
		id := fmt.Sprintf("i%03d", n)
		entries = append(entries, Change[Instance]{Key: id, Value: Instance{ID: id, Zone: fmt.Sprintf("z%d", n%zones), PeerAddress: "127.0.0.1:1", Started: 1, Capacity: 0.2}})
	}
	// One instance of the last zone has a larger machine.
	entries[instances-1].Value.Capacity = 0.8
	var out []*peers
	for _, e := range entries {
		gw := New(Config{ID: e.Key, Zone: e.Value.Zone, PeerAddress: e.Value.PeerAddress, Capacity: e.Value.Capacity, FirstStart: true, Log: logrus.NewEntry(log)})
		gw.started = 1
		gw.limits.configure([]catalog.Workspace{{Name: "w", Rate: 0.001, Burst: 1000}}, 1)
		gw.peers.applyListing(entries)
		out = append(out, gw.peers)
	}
	return out
}

func byID(fleet []*peers, id string) *peers {
	for _, ps := range fleet {
		if ps.gw.cfg.ID == id {
			return ps
		}
	}
	return nil
}

// exchangeRound makes each instance exchange states as its role in the fleet requires.
func exchangeRound(t *testing.T, fleet []*peers) {
	g := NewWithT(t)
	ask := func(from *peers, to string, request *pb.State) {
		answer, err := byID(fleet, to).Sync(context.Background(), request)
		g.Expect(err).NotTo(HaveOccurred())
		from.observeState(answer)
	}
	for _, ps := range fleet {
		collector, self := ps.collector()
		g.Expect(collector).NotTo(BeEmpty())
		if !self {
			ask(ps, collector, ps.localState(nil))
			continue
		}
		for _, other := range ps.otherCollectors() {
			request := ps.localState(workspaceSet{})
			request.SectionOnly, request.Partial = true, false
			ask(ps, other, request)
		}
	}
}

// One collector for all 295 instances got 1,500 exchanges a second: it did not answer in
// time, all instances went over to the next one each second, and asked the store
// themselves. On a quiet day 46% of the requests were not served.
func TestCollectorsOfZonesCoverTheFleet(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(t, 24, 3)
	collectors := map[string]bool{}
	for _, ps := range fleet {
		collector, _ := ps.collector()
		g.Expect(byID(fleet, collector).gw.cfg.Zone).To(Equal(ps.gw.cfg.Zone), "traffic between zones is charged for")
		collectors[collector] = true
	}
	g.Expect(collectors).To(HaveLen(3))
	g.Expect(collectors).To(HaveKey("i023"), "the largest machine of a zone collects")
	for range 3 {
		exchangeRound(t, fleet)
	}
	for _, ps := range fleet {
		heard := 0
		for _, p := range ps.byID {
			if !p.lastHeard.IsZero() {
				heard++
			}
		}
		g.Expect(heard).To(Equal(23), "%s hears of all instances", ps.gw.cfg.ID)
	}
	for range 12 {
		admitted, _, _ := fleet[0].gw.limits.admit("w")
		g.Expect(admitted).To(BeTrue())
	}
	for range 3 {
		exchangeRound(t, fleet)
	}
	for _, ps := range fleet {
		limiter, now := ps.gw.limits.limiters["w"], time.Now()
		g.Expect(limiter.Level(now)).To(BeNumerically("~", 1000-12, 0.1), "%s has been told once what another zone admitted", ps.gw.cfg.ID)
		g.Expect(limiter.State(now).Live).To(Equal(24))
	}
}

// An instance that is asked for its section although it is no collector must not be
// taken for one: what it admits reaches the asker through the actual collector.
func TestInstanceThatIsNoCollectorReportsNoSection(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(t, 24, 3)
	collector, _ := fleet[0].collector()
	var plain *peers
	for _, ps := range fleet {
		if ps.gw.cfg.Zone != fleet[0].gw.cfg.Zone {
			continue
		}
		if ps.gw.cfg.ID != collector {
			plain = ps
		}
	}
	_, _, _ = plain.gw.limits.admit("w")
	answer, err := plain.Sync(context.Background(), &pb.State{Id: "other", Zone: "z2", Address: "127.0.0.1:1", Started: 1, SectionOnly: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Section).To(BeEmpty())
	g.Expect(answer.Usages).To(BeEmpty())
	g.Expect(answer.Partial).To(BeTrue())
}

// An instance that had heard of only one instance of another zone took it for the zone's
// collector, and kept to it although it was none: it named no others. During a rolling
// restart of 62 instances the collectors counted 34 to 60 of them, and limits were exceeded.
func TestInstanceThatIsNoCollectorNamesItsZone(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(t, 24, 3)
	for range 2 {
		exchangeRound(t, fleet)
	}
	collector, _ := fleet[0].collector()
	asker := byID(fleet, fleet[0].otherCollectors()[0])
	var plain string
	asker.mu.Lock()
	for id, p := range asker.byID {
		if p.Zone != fleet[0].gw.cfg.Zone {
			continue
		}
		if id != collector && plain == "" {
			plain = id
			continue
		}
		p.lastHeard, p.addedAt = p.lastHeard.Add(-2*peerAliveTimeout), p.addedAt.Add(-2*peerAliveTimeout)
	}
	asker.fleet.outdated = true
	asker.mu.Unlock()
	g.Expect(asker.otherCollectors()).To(ContainElement(plain))
	exchangeRound(t, fleet)
	g.Expect(asker.otherCollectors()).To(ContainElement(collector))
	g.Expect(asker.otherCollectors()).NotTo(ContainElement(plain))
}

// After its collector had restarted, a zone fell into parts that each had a collector of
// their own: a collector names only those that report to it, so nobody heard of the other
// part again. During a rolling restart of 62 instances they counted 34 to 60 of them, and
// each part admitted more than its share.
func TestPartsOfAZoneFindEachOther(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(t, 24, 3)
	for range 2 {
		exchangeRound(t, fleet)
	}
	preferred, _ := fleet[0].collector()
	ps := fleet[0]
	if preferred == ps.gw.cfg.ID {
		ps = fleet[3]
	}
	g.Expect(ps.preferredCollector(preferred)).To(BeNil(), "the collector is the preferred one")
	ps.mu.Lock()
	p := ps.byID[preferred]
	p.lastHeard, p.addedAt = p.lastHeard.Add(-2*peerAliveTimeout), p.addedAt.Add(-2*peerAliveTimeout)
	ps.fleet.outdated = true
	ps.mu.Unlock()
	substitute, _ := ps.collector()
	g.Expect(substitute).NotTo(Equal(preferred))
	g.Expect(ps.preferredCollector(substitute).ID).To(Equal(preferred), "the preferred one is asked although nobody names it")
	answer, err := byID(fleet, preferred).Sync(context.Background(), ps.localState(workspaceSet{}))
	g.Expect(err).NotTo(HaveOccurred())
	ps.observeState(answer)
	collector, _ := ps.collector()
	g.Expect(collector).To(Equal(preferred))
}

// When the network had been divided for longer than an instance counts as alive, no
// collector asked another one across the former division: the zones beyond it were not in
// its list any more.
func TestZonesFindEachOtherAfterAPartition(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(t, 24, 2)
	for range 2 {
		exchangeRound(t, fleet)
	}
	for _, ps := range fleet {
		ps.mu.Lock()
		for _, p := range ps.byID {
			if p.Zone != ps.gw.cfg.Zone {
				p.lastHeard, p.addedAt = p.lastHeard.Add(-2*peerAliveTimeout), p.addedAt.Add(-2*peerAliveTimeout)
			}
		}
		ps.fleet.outdated = true
		ps.mu.Unlock()
		g.Expect(ps.liveInstances().instances).To(HaveLen(12))
	}
	for range 3 {
		exchangeRound(t, fleet)
	}
	for _, ps := range fleet {
		g.Expect(ps.liveInstances().instances).To(HaveLen(24), ps.gw.cfg.ID)
	}
}

// Guards against instances that take a peer's departure for a report newer than those of the
// collector: they ignored the collector's next one, were detached, and refused workspaces
// within their limits during restarts in turn.
func TestOnlyTheCollectorGetsTheUsagesOfALeavingInstance(t *testing.T) {
	g := NewWithT(t)
	for _, ps := range fleetOf(t, 30, 3)[:6] {
		ps.gw.limits.configure([]catalog.Workspace{{Name: "coop", Rate: 10, Burst: 10}}, 1)
		ps.gw.limits.admit("coop")
		ps.hasLeft = true
		collector, self := ps.collector()
		g.Expect(self).To(BeFalse())
		state := ps.leaveStates()
		for id := range ps.byID {
			g.Expect(state(id).Leaving).To(BeTrue())
			if id == collector {
				g.Expect(state(id).Usages).To(HaveLen(1))
				g.Expect(state(id).Partial).To(BeFalse())
			} else {
				g.Expect(state(id).Usages).To(BeEmpty())
				g.Expect(state(id).Partial).To(BeTrue(), "an empty report would count, too")
			}
		}
	}
}
