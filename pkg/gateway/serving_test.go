package gateway

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/membership"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

func testFleet(n int) []membership.Instance {
	out := make([]membership.Instance, n)
	for i := range out {
		out[i] = membership.Instance{ID: fmt.Sprintf("i%03d", i), Zone: fmt.Sprintf("z%d", i%4)}
	}
	return out
}

// If all 68 instances opened 2 connections each, a member's limit of 47
// connections would be exceeded nearly three times over.
func TestServingSetFitsTheMembersConnections(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newFleetView(testFleet(6)).servingSet("g", 21)).To(HaveLen(6))
	set := newFleetView(testFleet(68)).servingSet("g", 47)
	g.Expect(len(set) * minServingConnsPerMember).To(BeNumerically("<=", 47))
	g.Expect(len(set)).To(BeNumerically(">=", 8))
	g.Expect(newFleetView(testFleet(68)).servingSet("g", 47)).To(Equal(set), "all instances choose the same set")
	g.Expect(newFleetView(testFleet(68)).servingSet("other", 47)).NotTo(Equal(set), "groups are spread over the instances")
}

// A group whose connection limit is unknown is still served by one instance.
func TestServingSetIsNeverEmpty(t *testing.T) {
	NewWithT(t).Expect(newFleetView(testFleet(5)).servingSet("g", 0)).To(HaveLen(1))
}

// Changes that must take effect at once, such as a peer that does not answer, are not
// hidden by a kept view.
func TestFleetViewFollowsChanges(t *testing.T) {
	g := NewWithT(t)
	ps := newFleetMember(20, 1).peers
	p := ps.gw.pool("group-0")
	before, healthy := ps.views()
	again, _ := ps.views()
	g.Expect(again).To(BeIdenticalTo(before))
	owner := healthy.workspaceOwner("group-0", "w", p.maxConnections)
	for range 3 {
		suspect := ps.byID[owner]
		if suspect == nil {
			break // this instance has become the owner
		}
		ps.markSuspect(suspect)
		_, healthy = ps.views()
		next := healthy.workspaceOwner("group-0", "w", p.maxConnections)
		g.Expect(next).NotTo(Equal(owner), "nothing is relayed to a suspect peer")
		owner = next
	}
	live := len(ps.liveInstances().instances)
	ps.observeState(&pb.State{Id: "entry-007", Zone: "1", Address: "127.0.0.1:1", Started: 1, Leaving: true})
	g.Expect(ps.liveInstances().instances).To(HaveLen(live - 1))
	ps.observeState(&pb.State{Id: "entry-new", Zone: "1", Address: "127.0.0.1:1", Started: 1})
	g.Expect(ps.liveInstances().instances).To(HaveLen(live))
}

// The cost of a tick must not contain a choice among all instances for each group.
func TestTicksOfALargeFleetAllocateLittle(t *testing.T) {
	g := NewWithT(t)
	gw := newFleetMember(295, 20)
	gw.controller.updatePools()
	bytesPerTick := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			gw.controller.updatePools()
		}
	}).AllocedBytesPerOp()
	g.Expect(bytesPerTick).To(BeNumerically("<", 100<<10), "555 kB before the choices were kept")
}

func TestOnlyTheServingSetOpensConnections(t *testing.T) {
	g := NewWithT(t)
	p := newPool("g", "z0", nil, nil, func(poolEvent) {})
	p.maxConnections, p.servingInstances, p.inServingSet = 47, 13, true
	m := &poolMember{Member: Member{ID: "m"}}
	g.Expect(p.connLimit(m)).To(BeNumerically(">=", 2))
	p.inServingSet = false
	g.Expect(p.connLimit(m)).To(Equal(nonServingConnsPerMember))
}
