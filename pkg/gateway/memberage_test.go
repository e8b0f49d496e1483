package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/promotion"
)

// startedAgo is the entry of a member that has started so long ago; 0 for an unknown time.
func startedAgo(id string, age time.Duration) Change[Member] {
	c := listed(id)
	if age > 0 {
		c.Value.StartedMs = time.Now().Add(-age).UnixMilli()
	}
	return c
}

// groupOf returns an instance, and the pool of a group with the members.
func groupOf(firstStart bool, members ...Change[Member]) (*Gateway, *pool) {
	gw := newTestInstance("a", nil)
	gw.cfg.FirstStart = firstStart
	gw.peers.noteListing()
	gw.installConfiguration(catalog.Entries{Spec: &catalog.Spec{Version: 1, Groups: []catalog.Group{{Name: "g", MaxConnections: 10}}}})
	gw.controller.applyMemberChanges(members, true)
	return gw, gw.pool("g")
}

// settled returns the IDs of the members that count for the proof of a successor.
func settled(gw *Gateway, p *pool) (ids []string) {
	members, _, _, _ := p.snapshot()
	for _, m := range gw.controller.promotionCandidates(members) {
		if m.MemberFor >= promotion.SettledAfter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Guards against taking the log of a replica that has joined or restarted for that of one
// that has left with acknowledged commits.
func TestReplicaThatHasJustStartedDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	gw, p := groupOf(false, startedAgo("old", time.Hour), startedAgo("new", 2*time.Second), startedAgo("unknown", 0), startedAgo("other", time.Hour))
	g.Expect(settled(gw, p)).To(ConsistOf("old", "other"))
	gw.controller.applyMemberChanges([]Change[Member]{startedAgo("other", time.Second)}, false)
	g.Expect(settled(gw, p)).To(ConsistOf("old"), "a replica that restarts has lost its log")
}

// Guards against a group that stays without a primary because all members are new, as after
// the first start of the whole system.
func TestMembersOfTheFirstStartCount(t *testing.T) {
	g := NewWithT(t)
	gw, p := groupOf(true, startedAgo("a", time.Second), startedAgo("b", 0))
	g.Expect(settled(gw, p)).To(ConsistOf("a", "b"))
	gw.controller.applyMemberChanges([]Change[Member]{startedAgo("a", time.Millisecond), startedAgo("joined", time.Second)}, false)
	g.Expect(settled(gw, p)).To(ConsistOf("b"))
}

// Guards against a member whose clock is ahead of this instance's, and against one that is
// listed for long but has no start time.
func TestMemberForUsesTheTimeOfItsListing(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	m := &poolMember{Member: Member{StartedMs: now.Add(time.Minute).UnixMilli()}, listedAt: now.Add(-40 * time.Second)}
	g.Expect(m.memberFor(now)).To(Equal(40 * time.Second))
	m.StartedMs = 0
	g.Expect(m.memberFor(now)).To(Equal(40 * time.Second))
}
