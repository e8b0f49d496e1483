package gateway

import (
	"context"
	"fmt"
	"testing"

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
	collector := chooseInstances("exchange", 2, fleet)[0]
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	gw := New(Config{ID: collector, FirstStart: true, Log: logrus.NewEntry(log)})
	var workspaces []catalog.Workspace
	for i := range 76 {
		workspaces = append(workspaces, catalog.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: 25, Burst: 25})
	}
	gw.limits.configure(workspaces)
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
