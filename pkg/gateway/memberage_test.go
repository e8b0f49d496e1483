package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/statement"
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
	gw.controller.applyMemberChanges([]Change[Member]{startedAgo("a", time.Millisecond), startedAgo("listed-next", time.Second)}, false)
	g.Expect(settled(gw, p)).To(ConsistOf("b", "listed-next"), "a has restarted")
	gw.peers.startedAt -= firstStartPeriod
	gw.controller.applyMemberChanges([]Change[Member]{startedAgo("joined", time.Second)}, false)
	g.Expect(settled(gw, p)).To(ConsistOf("b", "listed-next"))
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

// Guards against a pause or a position that was reported by a process which another one has
// replaced under its ID: the other one receives, and has another log.
func TestAnswerDoesNotCountForTheProcessThatReplacesAMember(t *testing.T) {
	g := NewWithT(t)
	gw, p := groupOf(true, startedAgo("m1", time.Hour), startedAgo("m2", time.Hour))
	c := &primaryChange{controller: gw.controller, pool: p}
	members, _, _, _ := p.snapshot()
	answers := map[string]memberAnswer{}
	for i := range members {
		answers[members[i].ID] = memberAnswer{statement.MemberStatus{Received: group.Position{Term: 1, Index: 5}}, members[i].Member}
	}
	answering := func() (ids []string) {
		members, _, _, _ := p.snapshot()
		for _, m := range c.candidatesWithStatus(members, answers) {
			if m.Answered {
				ids = append(ids, m.ID)
			}
		}
		return ids
	}
	g.Expect(answering()).To(ConsistOf("m1", "m2"))
	gw.controller.applyMemberChanges([]Change[Member]{startedAgo("m2", time.Second)}, false)
	g.Expect(answering()).To(ConsistOf("m1"))
}

// Guards against an order whose proof is older than a member that receives commits since.
func TestNoPromotionIsOrderedOnAProofFromBeforeAMemberStarted(t *testing.T) {
	for name, started := range map[string]Member{
		"a member joins": {ID: "r3", Group: "g"}, "a member restarts": {ID: "r2", Group: "g", StartedMs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			members := &ledMembers{pausableMembers: pausableMembers{paused: map[string]uint64{}}, leader: "primary"}
			promoter := &orderRecorder{}
			c := changeWithOrders(members, promoter, promotion.Unreachable, groupOrders{})
			c.confirmedAt = time.Now()
			c.confirmedMembers, _, _, _ = c.pool.snapshot()
			c.pool.mu.Lock()
			c.pool.members[started.ID] = &poolMember{Member: started}
			c.pool.mu.Unlock()
			_, err := c.orderPromotion(context.Background(), Member{ID: "r1", Group: "g"})
			g.Expect(err).To(MatchError(errUnprovenSuccessor))
			g.Expect(promoter.orders).To(BeEmpty())
		})
	}
}

// Guards against a proof that never holds because the primary restarts: it is not paused.
func TestProofHoldsWhileOnlyThePrimaryRestarts(t *testing.T) {
	g := NewWithT(t)
	gw, p := groupOf(true, startedAgo("p", time.Hour), startedAgo("m1", time.Hour))
	c := &primaryChange{controller: gw.controller, pool: p, primary: "p"}
	c.confirmedMembers, _, _, _ = p.snapshot()
	gw.controller.applyMemberChanges([]Change[Member]{startedAgo("p", time.Second)}, false)
	g.Expect(c.hasNewMembers()).To(BeFalse())
}
