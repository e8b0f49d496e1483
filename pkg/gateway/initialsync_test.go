package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// Guards against an instance that serves clients before it knows which commit fences stand, and
// against one that waits without end for peers that have stopped.
func TestClientsAreServedOnceAPeerHasAnswered(t *testing.T) {
	g := NewWithT(t)
	a, _, _ := dutyOf(t)
	a.cfg.FirstStart = false
	peer := a.peers.byID["b"] // b does not know its address, and replaces the entry
	exchange := func() { a.peers.exchange(context.Background(), peer, a.peers.localState(workspaceSet{})) }
	started, served := time.Now(), make(chan struct{})
	go func() {
		a.awaitInitialSync(context.Background())
		close(served)
	}()
	a.peers.noteListing()
	exchange() // there are no pools that fences could be set in
	g.Consistently(served, initialSyncTimeout/4).ShouldNot(BeClosed())

	installed := &configuration{poolsUpdated: make(chan struct{})}
	close(installed.poolsUpdated)
	a.currentConfig.Store(installed)
	a.pools["g"] = newPool("g", "z", nil, nil, func(poolEvent) {})
	exchange()
	g.Eventually(served, initialSyncTimeout/4).Should(BeClosed())
	g.Expect(time.Since(started)).To(BeNumerically("<", initialSyncTimeout))

	silent, _, holder := dutyOf(t)
	silent.cfg.FirstStart = false
	holder.Close()
	started = time.Now()
	silent.awaitInitialSync(context.Background())
	g.Expect(time.Since(started)).To(BeNumerically(">=", initialSyncTimeout))

	alone := newTestInstance("c", &dutyStore{})
	alone.cfg.FirstStart = false
	alone.peers.noteListing()
	started = time.Now()
	alone.awaitInitialSync(context.Background())
	g.Expect(time.Since(started)).To(BeNumerically("<", initialSyncTimeout))
}

// Guards against a fence that is set again after it has been ended, or for a former holder of the
// promotion lease, because a peer does not know that yet.
func TestOutdatedFencesOfPeersAreIgnored(t *testing.T) {
	g := NewWithT(t)
	a, store, _ := dutyOf(t)
	a.peers.updateDuty(store.duty)
	p := newPool("g", "z", nil, nil, func(poolEvent) {})
	a.pools["g"] = p
	fence := func(token, call uint64) *pb.FenceCommitsRequest {
		return &pb.FenceCommitsRequest{Group: "g", Member: "primary", DutyToken: token, Call: call, DurationMs: time.Minute.Milliseconds()}
	}
	stands := func(fences ...*pb.FenceCommitsRequest) bool {
		a.peers.observeState(&pb.State{Id: "b", Started: 1, Fences: fences})
		return p.standingFence() != nil
	}
	g.Expect(stands(fence(4, 9))).To(BeFalse(), "a former holder")
	g.Expect(stands(fence(5, 2))).To(BeTrue())
	g.Expect(p.standingFence().DurationMs).To(BeNumerically("<=", commitFenceDuration.Milliseconds()))
	p.endCommitFence(call(3))
	g.Expect(stands(fence(5, 2))).To(BeFalse(), "it has been ended")
	g.Expect(stands(fence(5, 4))).To(BeTrue())
	p.successorLog = group.Position{Term: 1, Index: 7}
	g.Expect(stands(fence(5, 4))).To(BeTrue())
	g.Expect(p.successorLog.Index).To(BeEquivalentTo(7), "the fence is set anew by each exchange")
	g.Expect(a.peers.localState(workspaceSet{}).Fences).To(HaveLen(1))
}
