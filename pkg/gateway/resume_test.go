package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/statement"
)

// pausableMembers answers control calls as members do, and records which are
// paused.
type pausableMembers struct {
	mu     sync.Mutex
	paused map[string]uint64
	// pauses counts the pause calls.
	pauses int
}

func (d *pausableMembers) Open(_ context.Context, m Member, _ string) (MemberConn, error) {
	return &pausableMember{d: d, id: m.ID}, nil
}

func (d *pausableMembers) ParseStatus(r statement.Reply) (statement.MemberStatus, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := statement.MemberStatus{Role: group.Replica, Term: 1, Received: group.Position{Term: 1, Index: 5}, PausedTerm: d.paused[r.Signature]}
	if r.Signature == "primary" {
		s.Role = group.Primary
	}
	return s, nil
}

type pausableMember struct {
	d  *pausableMembers
	id string
}

func (c *pausableMember) Send(_ time.Time, statements ...statement.Statement) error {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	for _, s := range statements {
		switch s.Kind {
		case statement.Pause:
			c.d.paused[c.id] = s.Term
			c.d.pauses++
		case statement.Resume:
			delete(c.d.paused, c.id)
		}
	}
	return nil
}

func (c *pausableMember) Receive() (statement.Reply, error) {
	return statement.Reply{Signature: c.id}, nil
}
func (c *pausableMember) IsStale() bool { return false }
func (c *pausableMember) Interrupt()    {}
func (c *pausableMember) Close()        {}

// A change of primary that has paused a replica and ends without an order must resume the
// replica: while it is paused, losing the other replica would stop all commits.
func TestChangeWithoutAPromotionResumesReplicas(t *testing.T) {
	g := NewWithT(t)
	store := &dutyStore{}
	a := newTestInstance("a", store)
	store.duty = Duty{Holder: "a", Started: a.started, Token: 5}
	a.peers.updateDuty(store.duty)
	a.peers.dutyKnownSince = time.Now().Add(-minDutyTenure)
	promoter := &orderRecorder{}
	a.cfg.Promoter = promoter
	members := &pausableMembers{paused: map[string]uint64{}}
	p := newPool("g", "z", members, nil, func(poolEvent) {})
	for _, id := range []string{"primary", "r1", "r2"} {
		p.members[id] = &poolMember{Member: Member{ID: id, Group: "g"}}
	}
	p.primary, p.term, p.acknowledged = "primary", 1, group.Position{Term: 1, Index: 6}

	change := &primaryChange{controller: a.controller, pool: p, primary: "primary", reason: promotion.Leaving}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		change.run(ctx)
		close(done)
	}()
	g.Eventually(func() int {
		members.mu.Lock()
		defer members.mu.Unlock()
		return members.pauses
	}, changeTimeout/2).Should(BeNumerically(">", 0))
	cancel()
	g.Eventually(done, changeTimeout).Should(BeClosed())
	g.Expect(promoter.orders).To(BeEmpty())
	g.Expect(change.orders.pending).To(BeFalse())
	g.Expect(members.paused).To(BeEmpty())
}

// silentPromoter leaves orders without an answer.
type silentPromoter struct{ ordered func(member string) }

func (p silentPromoter) Promote(ctx context.Context, _ Duty, _, member string) error {
	p.ordered(member)
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a later change of primary that resumes the replicas although an order of an
// earlier one has had no answer: once it is carried out, commits that only the resumed replica
// has acknowledged are lost.
func TestReplicasStayPausedWhileAnEarlierChangeHasAnOrderWithoutAnAnswer(t *testing.T) {
	g := NewWithT(t)
	store := &dutyStore{}
	a := newTestInstance("a", store)
	store.duty = Duty{Holder: "a", Started: a.started, Token: 5}
	a.peers.updateDuty(store.duty)
	a.peers.dutyKnownSince = time.Now().Add(-minDutyTenure)
	members := &pausableMembers{paused: map[string]uint64{}}
	p := newPool("g", "z", members, nil, func(poolEvent) {})
	for _, id := range []string{"primary", "r1", "r2"} {
		p.members[id] = &poolMember{Member: Member{ID: id, Group: "g"}}
	}
	p.primary, p.term = "primary", 1
	runChange := func(ctx context.Context) {
		a.controller.startPrimaryChange(ctx, p, "primary", promotion.Leaving)
		g.Eventually(func() bool {
			a.controller.runCalls()
			return a.controller.groupState("g").changeRunning
		}, 2*changeTimeout).Should(BeFalse())
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cfg.Promoter = silentPromoter{func(string) { cancel() }}
	runChange(ctx)
	g.Expect(members.paused).To(HaveLen(1))

	store.duty = Duty{Holder: "b", Started: 1, Token: store.duty.Token + 1}
	a.peers.dutyKnownSince = time.Now().Add(-minDutyTenure)
	runChange(context.Background())
	g.Expect(members.paused).To(HaveLen(1))
}

// Guards against orders for two members with one token, of which the platform may carry out
// the older one last.
func TestAnOrderForAnotherMemberHasANewerToken(t *testing.T) {
	g := NewWithT(t)
	store := &dutyStore{}
	a := newTestInstance("a", store)
	store.duty = Duty{Holder: "a", Started: a.started, Token: 5}
	a.peers.updateDuty(store.duty)
	a.peers.dutyKnownSince = time.Now().Add(-minDutyTenure)
	a.cfg.Promoter = &orderRecorder{err: context.DeadlineExceeded} // at once, so that no renewal is due
	change := &primaryChange{controller: a.controller, pool: newPool("g", "z", nil, nil, func(poolEvent) {})}
	first, ok := change.awaitTokenFor(context.Background(), "r1")
	g.Expect(ok).To(BeTrue())
	g.Expect(change.promote(context.Background(), first, "r1")).NotTo(Succeed())
	again, ok := change.awaitTokenFor(context.Background(), "r1")
	g.Expect(ok).To(BeTrue())
	other, ok := change.awaitTokenFor(context.Background(), "r2")
	g.Expect(ok).To(BeTrue())
	g.Expect(other.Token).To(BeNumerically(">", first.Token))
	g.Expect(other.Token).To(BeNumerically(">=", again.Token))
}

// Guards against replicas that stay paused after a promotion: it ends no pause of a later term
// than that of the successor, which repeated attempts must not reach.
func TestRepeatedAttemptsPauseInTheTermOfTheSuccessor(t *testing.T) {
	g := NewWithT(t)
	h := newHandover()
	var terms []uint64
	h.onControl = func(_ Member, s statement.Statement) *statement.Error {
		if s.Kind != statement.Pause {
			return nil
		}
		if terms = append(terms, s.Term); len(terms) < 20 {
			return &statement.Error{Code: statement.Busy}
		}
		return nil
	}
	h.change(h.a, promotion.Leaving, groupOrders{}).run(context.Background())
	g.Expect(h.orders).To(HaveLen(1))
	g.Expect(len(terms)).To(BeNumerically(">", 1))
	g.Expect(terms).To(HaveEach(BeEquivalentTo(2)))
}
