package gateway

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/membership"
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
	g.Expect(servingSet("g", testFleet(6), 21)).To(HaveLen(6))
	set := servingSet("g", testFleet(68), 47)
	g.Expect(len(set) * minServingConnsPerMember).To(BeNumerically("<=", 47))
	g.Expect(len(set)).To(BeNumerically(">=", 8))
	g.Expect(servingSet("g", testFleet(68), 47)).To(Equal(set), "all instances choose the same set")
	g.Expect(servingSet("other", testFleet(68), 47)).NotTo(Equal(set), "groups are spread over the instances")
}

// A group whose connection limit is unknown is still served by one instance.
func TestServingSetIsNeverEmpty(t *testing.T) {
	NewWithT(t).Expect(servingSet("g", testFleet(5), 0)).To(HaveLen(1))
}

func TestOnlyTheServingSetOpensConnections(t *testing.T) {
	g := NewWithT(t)
	p := newPool("g", "z0", nil, func(poolEvent) {})
	p.maxConnections, p.servingInstances, p.inServingSet = 47, 13, true
	m := &poolMember{Member: Member{ID: "m"}}
	g.Expect(p.connLimit(m)).To(BeNumerically(">=", 2))
	p.inServingSet = false
	g.Expect(p.connLimit(m)).To(Equal(nonServingConnsPerMember))
}
