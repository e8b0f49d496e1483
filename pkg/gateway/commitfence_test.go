package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

func fencedPool() *pool {
	p := newPool("g", "z", nil, nil, func(poolEvent) {})
	for _, id := range []string{"former", "successor"} {
		p.members[id] = &poolMember{Member: Member{ID: id, Group: "g"}}
	}
	p.primary, p.term = "former", 1
	p.fenceCommits("former", "", call(1), time.Minute)
	return p
}

func call(n uint64) promotion.FenceOrder { return promotion.FenceOrder{Token: 5, Call: n} }

// settle starts to settle a commit that the former primary acknowledged in the first term.
func settle(p *pool, index uint64, wait time.Duration) chan error {
	out, sent := make(chan error, 1), time.Now()
	go func() {
		out <- p.settleCommit(context.Background(), "former", group.Position{Term: 1, Index: index}, sent, time.Now().Add(wait))
	}()
	return out
}

// Guards against acknowledgements that reach a client after the promoter has learned which
// commits are acknowledged, and that the successor lacks.
func TestCommitsAcknowledgedBehindAFenceAreReportedOnceTheyAreKept(t *testing.T) {
	g := NewWithT(t)
	p := fencedPool()
	kept, lost := settle(p, 5, time.Minute), settle(p, 6, time.Minute)
	g.Consistently(kept, 50*time.Millisecond).ShouldNot(Receive())
	p.mu.Lock()
	p.setPrimary("successor", 2)
	p.promotedAt = group.Position{Term: 1, Index: 5}
	p.mu.Unlock()
	g.Eventually(kept).Should(Receive(BeNil()))
	var err error
	g.Eventually(lost).Should(Receive(&err))
	g.Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
}

// Guards against answers that are lost because a change of primary was abandoned.
func TestCommitsBehindAFenceAreReportedIfThePrimaryIsKept(t *testing.T) {
	g := NewWithT(t)
	p := fencedPool()
	answer := settle(p, 5, time.Minute)
	p.fenceCommits("former", "", call(3), time.Minute) // renewed
	p.endCommitFence(call(2))
	_, ok := p.fenceCommits("former", "other", promotion.FenceOrder{Token: 4, Call: 9}, time.Minute)
	g.Expect(ok).To(BeFalse(), "a former holder's call is late")
	g.Consistently(answer, 50*time.Millisecond).ShouldNot(Receive(), "a call that ends an older fence is late")
	p.endCommitFence(call(4))
	g.Eventually(answer).Should(Receive(BeNil()))
	_, _, _, acknowledged := p.snapshot()
	g.Expect(acknowledged).To(Equal(group.Position{Term: 1, Index: 5}))
}

// Guards against an acknowledgement after a fence whose holder has ended: the promotion that
// it was set for may still be carried out.
func TestCommitsBehindAFenceThatExpiresHaveAnUnknownOutcome(t *testing.T) {
	g := NewWithT(t)
	p := fencedPool()
	p.fenceCommits("former", "", call(2), 40*time.Millisecond)
	var err error
	g.Eventually(settle(p, 5, time.Minute)).Should(Receive(&err))
	g.Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
	g.Expect(p.fence.Covers("former", time.Now())).To(BeFalse())
}

// Guards against clients that wait for an answer longer than their statement may take, or
// longer than the instance runs.
func TestCommitsBehindAFenceEndAtTheirDeadlineAndAtAStop(t *testing.T) {
	g := NewWithT(t)
	p := fencedPool()
	var err error
	g.Eventually(settle(p, 5, 20*time.Millisecond)).Should(Receive(&err))
	g.Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
	answer := settle(p, 6, time.Minute)
	g.Consistently(answer, 50*time.Millisecond).ShouldNot(Receive())
	p.interruptStatements()
	g.Eventually(answer).Should(Receive(HaveOccurred()))
}

// Guards against commits that are sent to a primary after the promoter has learned which
// commits are acknowledged.
func TestWritesKeepAwayFromAFencedPrimary(t *testing.T) {
	g := NewWithT(t)
	p := fencedPool()
	g.Expect(p.candidates(&connRequest{needsPrimary: true, commits: true}, time.Now())).To(BeEmpty())
	g.Expect(p.candidates(&connRequest{needsPrimary: true}, time.Now())).To(HaveLen(1))
	g.Expect(p.awaitCommitsAt(context.Background(), "former", time.Now().Add(20*time.Millisecond))).To(BeFalse())
	p.mu.Lock()
	p.setPrimary("successor", 2)
	p.mu.Unlock()
	g.Expect(p.candidates(&connRequest{needsPrimary: true, commits: true}, time.Now())).To(HaveLen(1))
}

// Guards against writes that wait for a change which a former holder of the promotion lease
// has begun, and against fences without end.
func TestFencesOfFormerHoldersAreRefused(t *testing.T) {
	g := NewWithT(t)
	a := newTestInstance("a", &dutyStore{})
	p := fencedPool()
	p.fence = promotion.CommitFence{} // no call of a holder has reached the instance
	a.pools["g"] = p
	a.peers.updateDuty(Duty{Holder: "b", Token: 5})
	request := &pb.FenceCommitsRequest{Group: "g", Member: "former", Call: 3, DurationMs: 1 << 60, DutyToken: 4}
	_, err := a.peers.FenceCommits(context.Background(), request)
	g.Expect(err).To(HaveOccurred())
	g.Expect(p.fence.Covers("former", time.Now())).To(BeFalse())
	request.DutyToken = 5
	_, err = a.peers.FenceCommits(context.Background(), request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.fence.Remaining(time.Now())).To(BeNumerically("~", commitFenceDuration, time.Second))
}

// Guards against answers that are held back, and then lost, at an instance that has found out
// that the former primary does not lead before it learns of the successor.
func TestAFenceEndsThoughThePrimaryIsNotKnown(t *testing.T) {
	g := NewWithT(t)
	p := fencedPool()
	kept := settle(p, 5, time.Minute)
	p.mu.Lock()
	p.primary = ""
	p.setPrimary("successor", 2)
	p.promotedAt = group.Position{Term: 1, Index: 5}
	p.mu.Unlock()
	g.Eventually(kept).Should(Receive(BeNil()))
}

// Guards against acknowledgements that are first looked at after the fence has expired, or once
// the former primary leads again in a later term.
func TestCommitsFromBeforeAPromotionHaveAnUnknownOutcome(t *testing.T) {
	g := NewWithT(t)
	p := fencedPool()
	sent := time.Now()
	settleAt := func(at group.Position, sent time.Time) error {
		return p.settleCommit(context.Background(), "former", at, sent, time.Now().Add(time.Minute))
	}
	p.fenceCommits("former", "", call(2), 20*time.Millisecond)
	time.Sleep(40 * time.Millisecond)
	g.Expect(settleAt(group.Position{Term: 1, Index: 6}, sent)).To(HaveOccurred())
	g.Expect(settleAt(group.Position{Term: 1, Index: 7}, time.Now())).To(Succeed())
	p.mu.Lock()
	p.setPrimary("successor", 2)
	p.setPrimary("former", 3)
	p.mu.Unlock()
	g.Expect(settleAt(group.Position{Term: 1, Index: 8}, time.Now())).To(HaveOccurred())
	g.Expect(settleAt(group.Position{Term: 3, Index: 9}, time.Now())).To(Succeed())
}

// Guards against a fence of no member, which keeps nothing back and would replace one that does.
func TestAFenceNeedsAMember(t *testing.T) {
	g := NewWithT(t)
	a := newTestInstance("a", &dutyStore{})
	a.pools["g"] = fencedPool()
	_, err := a.peers.FenceCommits(context.Background(), &pb.FenceCommitsRequest{Group: "g", Call: 9, DurationMs: 1000, DutyToken: 5})
	g.Expect(err).To(HaveOccurred())
	a.peers.updateDuty(Duty{Holder: "a", Started: a.started, Token: 6})
	c := &primaryChange{controller: a.controller, pool: a.pools["g"]}
	g.Expect(c.fenceCommits(context.Background(), "")).To(BeFalse())
	g.Expect(a.pools["g"].mayCommitAt("former")).To(BeFalse())
}

// Guards against the log of a successor that another member has led in between, whose promotion
// was carried out late: it may lack what the successor had when its own was ordered.
func TestCommitsMayBeLostIfAnotherMemberHasLedInBetween(t *testing.T) {
	g := NewWithT(t)
	p := fencedPool()
	answer := settle(p, 5, time.Minute)
	p.mu.Lock()
	p.setPrimary("successor", 3)
	p.promotedAt = group.Position{Term: 1, Index: 5}
	p.mu.Unlock()
	g.Eventually(answer).Should(Receive(HaveOccurred()))
}
