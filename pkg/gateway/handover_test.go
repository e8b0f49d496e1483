package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/revision"
	"github.com/mulberrysill/mulberrysill/core/statement"
)

// handoverStore is a store that answers with err if it is set.
type handoverStore struct {
	dutyStore
	err error
}

func (s *handoverStore) ReadDuty(ctx context.Context) (Duty, error) {
	if s.err != nil {
		return Duty{}, s.err
	}
	return s.dutyStore.ReadDuty(ctx)
}

func (s *handoverStore) ClaimDuty(ctx context.Context, from Duty, holder string, started int64) (Duty, error) {
	if s.err != nil {
		return Duty{}, s.err
	}
	return s.dutyStore.ClaimDuty(ctx, from, holder, started)
}

// handover is a group of which the instance a holds the promotion lease until the instance b
// claims it. It is the members' dialer and the platform, which promotes at once.
type handover struct {
	ledMembers
	store handoverStore
	a, b  *Gateway

	mu sync.Mutex
	// onControl, if set, is called for each pause and resume call, and returns the error that
	// answers it.
	onControl func(m Member, s statement.Statement) *statement.Error
	resumes   []string
	orders    []string
	// refuse, if set, is asked for the error that an order gets instead of an answer, and dead
	// is the member that has stopped, if any.
	refuse func(member string) error
	dead   atomic.Value
	// onOrder, if set, is called for each order that the platform accepts.
	onOrder func(member string)
	// isReplaced is set once the primary has lost the lead to a member that does not answer.
	isReplaced atomic.Bool
	// terms are the terms that members know, if not those of ledMembers.
	terms map[string]uint64
	// highest is the highest fencing token that the platform has seen.
	highest revision.Revision
}

func newHandover() *handover {
	h := &handover{}
	h.paused, h.leader, h.silent = map[string]uint64{}, "primary", map[string]bool{}
	h.a, h.b = newTestInstance("a", &h.store), newTestInstance("b", &h.store)
	h.a.cfg.Promoter, h.b.cfg.Promoter = h, h
	h.store.duty = Duty{Holder: "a", Started: h.a.started, Token: 5}
	h.a.peers.updateDuty(h.store.duty)
	h.b.peers.updateDuty(h.store.duty)
	h.ageClaim()
	return h
}

// ageClaim makes the holder's claim so old that it must be renewed.
func (h *handover) ageClaim() { h.a.peers.dutyKnownSince = time.Now().Add(-minDutyTenure) }

// claimByB makes b the holder without a's knowledge.
func (h *handover) claimByB() {
	h.store.duty = Duty{Holder: "b", Started: h.b.started, Token: h.store.duty.Token + 1}
	h.b.peers.updateDuty(h.store.duty)
	h.ageClaim()
}

// change returns a change of the primary on the instance.
func (h *handover) change(on *Gateway, reason promotion.Reason, orders groupOrders) *primaryChange {
	p := newPool("g", "z", h, nil, func(poolEvent) {})
	for _, id := range []string{"primary", "r1", "r2"} {
		p.members[id] = &poolMember{Member: Member{ID: id, Group: "g"}}
	}
	p.primary, p.term = "primary", 1
	return &primaryChange{controller: on.controller, pool: p, primary: "primary", reason: reason, orders: orders}
}

func (h *handover) Open(ctx context.Context, m Member, workspace string) (MemberConn, error) {
	if h.dead.Load() == m.ID {
		return nil, context.DeadlineExceeded
	}
	c, err := h.ledMembers.Open(ctx, m, workspace)
	if err != nil {
		return nil, err
	}
	return &handoverConn{MemberConn: c, h: h, member: m}, nil
}

func (h *handover) Promote(_ context.Context, d Duty, _, member string) error {
	h.ledMembers.mu.Lock()
	defer h.ledMembers.mu.Unlock()
	h.orders = append(h.orders, member)
	if h.refuse != nil {
		if err := h.refuse(member); err != nil {
			return err
		}
	}
	if d.Token < h.highest {
		return ErrFenced
	}
	h.highest = d.Token
	if h.onOrder != nil {
		h.onOrder(member)
	}
	if member != h.leader {
		h.leader = member
		clear(h.paused)
	}
	return nil
}

func (h *handover) ParseStatus(r statement.Reply) (statement.MemberStatus, error) {
	s, err := h.ledMembers.ParseStatus(r)
	if h.isReplaced.Load() {
		s.Role = group.Replica
	}
	if term, ok := h.terms[r.Signature]; ok {
		s.Term = term
	}
	return s, err
}

// pausedMembers returns the IDs of the paused members.
func (h *handover) pausedMembers() (out []string) {
	h.ledMembers.mu.Lock()
	defer h.ledMembers.mu.Unlock()
	for id := range h.paused {
		out = append(out, id)
	}
	return out
}

type handoverConn struct {
	MemberConn
	h      *handover
	member Member
	err    *statement.Error
}

func (c *handoverConn) Send(deadline time.Time, statements ...statement.Statement) error {
	if c.h.silent[c.member.ID] || c.h.dead.Load() == c.member.ID {
		return context.DeadlineExceeded // on open connections, too
	}
	c.err = nil
	c.h.mu.Lock()
	for _, s := range statements {
		if s.Kind == statement.Resume {
			c.h.resumes = append(c.h.resumes, c.member.ID)
		}
		if c.h.onControl != nil && (s.Kind == statement.Pause || s.Kind == statement.Resume) {
			c.err = c.h.onControl(c.member, s)
		}
	}
	c.h.mu.Unlock()
	if c.err != nil {
		return nil // the member answers with an error
	}
	return c.MemberConn.Send(deadline, statements...)
}

func (c *handoverConn) Receive() (statement.Reply, error) {
	r, err := c.MemberConn.Receive()
	if err == nil {
		r.Err = c.err
	}
	return r, err
}

// Guards against a former holder that resumes replicas which the new holder needs paused.
func TestAFormerHolderResumesNoReplica(t *testing.T) {
	g := NewWithT(t)
	h := newHandover()
	h.onControl = func(_ Member, s statement.Statement) *statement.Error {
		if s.Kind == statement.Pause {
			h.claimByB()
		}
		return nil
	}
	former := h.change(h.a, promotion.Leaving, groupOrders{})
	former.run(context.Background())
	g.Expect(h.resumes).To(BeEmpty())
	g.Expect(h.pausedMembers()).To(HaveLen(1))
	g.Expect(former.orders.unresumed).To(BeEmpty(), "the new holder resumes them")

	h.onControl = nil
	h.change(h.b, promotion.Unfinished, groupOrders{pending: true}).run(context.Background())
	g.Expect(h.pausedMembers()).To(BeEmpty())
}

// Guards against a former holder that repeats a refused RESUME once it has lost the lease.
func TestAFormerHolderDoesNotRepeatARefusedResume(t *testing.T) {
	g := NewWithT(t)
	h := newHandover()
	h.paused["r1"] = 2
	h.onControl = func(Member, statement.Statement) *statement.Error {
		h.claimByB()
		return &statement.Error{}
	}
	former := h.change(h.a, promotion.Leaving, groupOrders{})
	former.pausedReplicas = []Member{{ID: "r1", Group: "g"}}
	former.resumeUnlessOrdered()
	g.Expect(h.resumes).To(HaveLen(1))
}

// Guards against replicas that a former holder pauses after the new holder has looked for
// paused ones: nobody would resume them.
func TestAFormerHolderPausesNoReplica(t *testing.T) {
	g := NewWithT(t)
	h := newHandover()
	h.claimByB()
	former := h.change(h.a, promotion.Leaving, groupOrders{})
	former.run(context.Background())
	g.Expect(h.pauses).To(BeZero())
	g.Expect(h.resumes).To(BeEmpty())

	ordered := h.change(h.a, promotion.Unfinished, groupOrders{pending: true, member: "r1"})
	ordered.finishOrdered(context.Background())
	g.Expect(h.pauses).To(BeZero())
}

// Guards against replicas that stay paused because the lease could not be confirmed when they
// were to be resumed.
func TestReplicasAreResumedOnceTheLeaseIsConfirmed(t *testing.T) {
	g := NewWithT(t)
	h := newHandover()
	h.paused["r1"] = 2
	h.a.peers.mu.Lock()
	h.a.peers.upsert(Instance{ID: "b", Started: h.b.started})
	h.a.peers.mu.Unlock()
	h.store.err = context.DeadlineExceeded
	cutOff := h.change(h.a, promotion.Leaving, groupOrders{})
	cutOff.pausedReplicas = []Member{{ID: "r1", Group: "g"}}
	cutOff.resumeUnlessOrdered()
	g.Expect(h.resumes).To(BeEmpty(), "b may have claimed the lease")
	_, due := cutOff.orders.dueAfter()
	g.Expect(due).To(BeTrue())

	h.store.err = nil
	h.change(h.a, promotion.Unfinished, cutOff.orders).run(context.Background())
	g.Expect(h.pausedMembers()).To(BeEmpty())
	g.Expect(slices.Compact(h.resumes)).To(Equal([]string{"r1"}))
}

// Guards against an order of a former holder that is carried out after the new holder has found
// no replica paused: replicas that restarted have acknowledged commits since.
func TestOrdersOfAFormerHolderAreVoidedThoughNoReplicaIsPaused(t *testing.T) {
	g := NewWithT(t)
	h := newHandover()
	former := h.store.duty
	h.claimByB()
	p, b := h.change(h.b, promotion.Unfinished, groupOrders{}).pool, h.b.controller
	attempt := func() {
		b.startPrimaryChange(context.Background(), p, "primary", promotion.Unfinished)
		g.Eventually(func() bool {
			b.runCalls()
			return b.groupState("g").changeRunning
		}).Should(BeFalse())
		_, due := b.groupState("g").orders.dueAfter()
		g.Expect(due).To(Equal(len(h.orders) == 0))
	}
	attempt()
	g.Expect(h.orders).To(BeEmpty(), "too soon after an order of the former holder")
	h.silent["r2"] = true
	attempt()
	g.Expect(h.orders).To(BeEmpty(), "the former holder may have ordered the silent replica")
	delete(h.silent, "r2")
	attempt()
	g.Expect(h.orders).To(BeEmpty())
	attempt()
	g.Expect(h.orders).To(Equal([]string{"primary"}))
	g.Expect(h.Promote(context.Background(), former, "g", "r1")).To(MatchError(ErrFenced))
	g.Expect(h.leader).To(Equal("primary"))
}

// lostClaimStore carries out the next claim of the promotion lease without an answer.
type lostClaimStore struct {
	dutyStore
	loses bool
}

func (s *lostClaimStore) ClaimDuty(ctx context.Context, from Duty, holder string, started int64) (Duty, error) {
	d, err := s.dutyStore.ClaimDuty(ctx, from, holder, started)
	if s.loses {
		s.loses = false
		return Duty{}, context.DeadlineExceeded
	}
	return d, err
}

// looksForUnfinished reports whether the instance holds the promotion lease and is about to look
// for changes that former holders have left in a group.
func looksForUnfinished(a *Gateway) bool {
	_, self, _ := a.peers.dutyHolder()
	return self && a.controller.isUnfinishedDue(a.controller.groupState("g"), time.Now())
}

// Guards against a new holder that does not look for what the former one has left, because the
// answer to its claim was lost.
func TestAClaimWithoutAnAnswerIsFollowedByALook(t *testing.T) {
	g := NewWithT(t)
	store := &lostClaimStore{loses: true}
	store.duty = Duty{Holder: "b", Started: 1, Token: 5}
	a := newTestInstance("a", store)
	a.peers.updateDuty(store.duty)
	a.peers.dutyKnownSince = time.Now().Add(-minDutyTenure)
	a.controller.claimDuty(context.Background())
	g.Expect(store.claims).To(Equal(1))
	a.controller.claimDuty(context.Background()) // reads its own claim
	g.Expect(store.claims).To(Equal(1))
	g.Expect(looksForUnfinished(a)).To(BeTrue())
}

// Guards against the same after the store was restored: it may have lost the claim of a holder
// that has acted in between.
func TestAClaimInANewEraIsFollowedByALook(t *testing.T) {
	g := NewWithT(t)
	store := &dutyStore{}
	a := newTestInstance("a", store)
	a.controller.claimDuty(context.Background())
	a.controller.groupState("g").checkedGain, _ = a.peers.gainedDuty()
	a.peers.dutyKnownSince = time.Now().Add(-minDutyTenure)
	a.controller.renewDuty(context.Background())
	g.Expect(store.claims).To(Equal(2))
	g.Expect(looksForUnfinished(a)).To(BeFalse(), "a renewal")

	store.restore(store.duty)
	a.observeEra(store.duty.Token.Era())
	a.controller.renewDuty(context.Background())
	g.Expect(store.claims).To(Equal(3))
	g.Expect(looksForUnfinished(a)).To(BeTrue())
}

// Guards against replicas that stay paused until the lease changes hands, because they did not
// answer or refused when they were to be resumed.
func TestReplicasThatCannotBeResumedAreResumedLater(t *testing.T) {
	g := NewWithT(t)
	h := newHandover()
	h.paused["r1"], h.paused["r2"] = 2, 2
	h.silent["r1"] = true
	h.onControl = func(Member, statement.Statement) *statement.Error { return &statement.Error{Code: statement.Busy} }
	first := h.change(h.a, promotion.Leaving, groupOrders{})
	first.pausedReplicas = []Member{{ID: "r1", Group: "g"}, {ID: "r2", Group: "g"}}
	first.resumeUnlessOrdered()
	_, due := first.orders.dueAfter()
	g.Expect(due).To(BeTrue())

	h.onControl = nil
	delete(h.silent, "r1")
	again := h.change(h.a, promotion.Unfinished, first.orders)
	again.run(context.Background())
	g.Expect(h.pausedMembers()).To(BeEmpty())
	_, due = again.orders.dueAfter()
	g.Expect(due).To(BeFalse())
}

// Guards against a replica that is resumed before it knows of a promotion, so that it would
// confirm that the former primary leads, and against one that stays paused after it.
func TestReplicasThatMissedAPromotionAreResumedOnceTheyKnowOfIt(t *testing.T) {
	g := NewWithT(t)
	h := newHandover()
	h.leader, h.paused["r2"] = "r1", 2
	h.terms = map[string]uint64{"r2": 1}
	c := h.change(h.a, promotion.Leaving, groupOrders{unresumed: []Member{{ID: "r2", Group: "g"}}})
	done, err := c.awaitPrimary(context.Background(), Member{ID: "r1", Group: "g"})
	g.Expect(done, err).To(BeTrue())
	c.resumeUnlessOrdered()
	g.Expect(h.resumes).To(BeEmpty())
	_, due := c.orders.dueAfter()
	g.Expect(due).To(BeTrue())

	h.terms["r2"] = 2
	c.resumeUnlessOrdered()
	g.Expect(h.resumes).To(Equal([]string{"r2"}))
	_, due = c.orders.dueAfter()
	g.Expect(due).To(BeFalse())
}

// Guards against orders and calls to members that are of no use: without a former holder nobody
// has ordered anything.
func TestTheFirstHolderVoidsNoOrders(t *testing.T) {
	g := NewWithT(t)
	a := newTestInstance("a", &dutyStore{})
	a.controller.claimDuty(context.Background())
	gains, hasFormerHolder := a.peers.gainedDuty()
	g.Expect(gains).To(BeEquivalentTo(1))
	g.Expect(hasFormerHolder).To(BeFalse())
}

// Guards against a holder that is cut off from the store and its peers and goes on to order
// with a token that the platform has refused.
func TestARefusedTokenIsNotUsedAgain(t *testing.T) {
	g := NewWithT(t)
	h := newHandover()
	h.highest, h.store.err = 9, context.DeadlineExceeded
	h.paused["r2"] = 2
	orders := groupOrders{pending: true, member: "r1"}
	for range 6 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		c := h.change(h.a, promotion.Unfinished, orders)
		c.run(ctx)
		cancel()
		orders = c.orders
	}
	g.Expect(len(h.orders)).To(BeNumerically("<=", maxRefusals))

	h.store.err = nil
	h.store.duty.Token = 9
	h.a.peers.updateDuty(h.store.duty)
	h.ageClaim()
	h.change(h.a, promotion.Unfinished, orders).run(context.Background())
	g.Expect(h.leader).To(Equal("r1"), "a newer token is used")
}

// Guards against replicas that are resumed while an order of a former holder, accepted just
// before the one for the present primary, has yet to take effect: what they acknowledge in
// between is lost.
func TestReplicasStayPausedUntilAnAcceptedOrderHasTakenEffect(t *testing.T) {
	g := NewWithT(t)
	h := newHandover()
	h.paused["r2"] = 2
	h.silent["r1"] = true // ordered by the former holder, and behind
	c := h.change(h.a, promotion.Unfinished, groupOrders{pending: true})
	effect := make(chan []string, 1)
	h.onOrder = func(member string) {
		time.AfterFunc(promotionEffectTimeout/2, func() {
			effect <- h.pausedMembers()
			h.isReplaced.Store(true)
		})
	}
	c.run(context.Background())
	g.Expect(h.orders).To(Equal([]string{"primary"}))
	g.Eventually(effect).Should(Receive(Equal([]string{"r2"})))
	g.Expect(c.orders.pending).To(BeTrue(), "another member leads")
}

// Guards against a change that waits to its end for a successor that died after an order
// without an answer, although the platform lists it no more and another member provably has
// every commit.
func TestASuccessorThatDiesIsReplacedByAnother(t *testing.T) {
	g := NewWithT(t)
	h := newHandover()
	c := h.change(h.a, promotion.Leaving, groupOrders{})
	var first string
	h.refuse = func(member string) error {
		if first == "" {
			first = member
			h.dead.Store(member)
			c.pool.mu.Lock()
			c.pool.members[member].unlistedSince = time.Now().Add(-promotion.UnlistedTimeout)
			c.pool.mu.Unlock()
		}
		if member == first {
			return context.DeadlineExceeded
		}
		return nil
	}
	started := time.Now()
	c.run(context.Background())
	g.Expect(time.Since(started)).To(BeNumerically("<", changeTimeout/2))
	g.Expect(h.leader).NotTo(Or(Equal("primary"), Equal(first)))
}
