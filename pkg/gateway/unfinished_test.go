package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/statement"
)

// ledMembers are members of which one leads, and of which some do not answer.
type ledMembers struct {
	pausableMembers
	leader string
	silent map[string]bool
}

func (d *ledMembers) Open(ctx context.Context, m Member, workspace string) (MemberConn, error) {
	if d.silent[m.ID] {
		return nil, errors.New("no answer")
	}
	return d.pausableMembers.Open(ctx, m, workspace)
}

func (d *ledMembers) ParseStatus(r statement.Reply) (statement.MemberStatus, error) {
	s, err := d.pausableMembers.ParseStatus(r)
	if s.Role = group.Replica; r.Signature == d.leader {
		s.Role = group.Primary
	}
	if d.leader != "primary" {
		s.Term = 2
	}
	return s, err
}

// orderRecorder records orders, and answers them if err is nil.
type orderRecorder struct {
	mu     sync.Mutex
	orders []string
	tokens []uint64
	err    error
}

func (p *orderRecorder) Promote(_ context.Context, d Duty, _, member string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders, p.tokens = append(p.orders, member), append(p.tokens, uint64(d.Token))
	return p.err
}

// changeWithOrders returns a change of the primary after earlier orders, on the holder of the
// promotion lease with the token 5.
func changeWithOrders(members *ledMembers, promoter *orderRecorder, reason promotion.Reason, orders groupOrders, unlisted ...string) *primaryChange {
	store := &dutyStore{}
	a := newTestInstance("a", store)
	store.duty = Duty{Holder: "a", Started: a.started, Token: 5}
	a.peers.updateDuty(store.duty)
	a.peers.dutyKnownSince = time.Now().Add(-minDutyTenure)
	a.cfg.Promoter = promoter
	p := newPool("g", "z", members, nil, func(poolEvent) {})
	for _, id := range []string{"primary", "r1", "r2"} {
		p.members[id] = &poolMember{Member: Member{ID: id, Group: "g"}}
	}
	for _, id := range unlisted {
		p.members[id].unlistedSince = time.Now()
	}
	p.primary, p.term = "primary", 1
	return &primaryChange{controller: a.controller, pool: p, primary: "primary", reason: reason, orders: orders}
}

// Guards against an order for the former primary that is carried out after the successor of
// an older order leads: the commits that the successor has acknowledged would be lost.
func TestOrdersForOtherMembersAreVoidedOnceASuccessorLeads(t *testing.T) {
	g := NewWithT(t)
	orders := groupOrders{pending: true, member: "r1", unanswered: unansweredOrders{"primary": 5}}
	members := &ledMembers{pausableMembers: pausableMembers{paused: map[string]uint64{}}, leader: "r1"}

	refusing := &orderRecorder{err: errors.New("no answer")}
	change := changeWithOrders(members, refusing, promotion.Unfinished, orders)
	change.run(context.Background())
	g.Expect(refusing.orders).To(ConsistOf("r1"))
	g.Expect(change.orders.pending).To(BeTrue(), "the order for the former primary is not void")

	answering := &orderRecorder{}
	change = changeWithOrders(members, answering, promotion.Unfinished, orders)
	change.run(context.Background())
	g.Expect(answering.orders).To(ConsistOf("r1"))
	g.Expect(answering.tokens[0]).To(BeNumerically(">", 5))
	g.Expect(change.orders.pending).To(BeFalse())
}

// Guards against an order for the present primary while the member of an older order may
// already lead.
func TestThePrimaryIsNotOrderedWhileTheOrderedMemberMayLead(t *testing.T) {
	g := NewWithT(t)
	orders := groupOrders{pending: true, member: "r1", unanswered: unansweredOrders{"r1": 5}}
	members := &ledMembers{pausableMembers: pausableMembers{paused: map[string]uint64{"r2": 2}}, leader: "primary", silent: map[string]bool{"r1": true}}
	promoter := &orderRecorder{}
	change := changeWithOrders(members, promoter, promotion.Unfinished, orders)
	change.run(context.Background())
	g.Expect(promoter.orders).To(BeEmpty())
	g.Expect(change.orders.pending).To(BeTrue())
}

// Guards against replicas that stay paused, so that commits wait, until a change ends that
// goes on after an older one has been voided.
func TestReplicasAreResumedOnceThePresentPrimaryIsKept(t *testing.T) {
	g := NewWithT(t)
	orders := groupOrders{pending: true, member: "r1", unanswered: unansweredOrders{"r1": 5}}
	members := &ledMembers{pausableMembers: pausableMembers{paused: map[string]uint64{"r2": 2}}, leader: "primary", silent: map[string]bool{"r1": true}}
	promoter := &orderRecorder{}
	change := changeWithOrders(members, promoter, promotion.Leaving, orders, "r1")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		change.run(ctx)
		close(done)
	}()
	g.Eventually(func() int {
		members.mu.Lock()
		defer members.mu.Unlock()
		return len(members.paused)
	}, changeTimeout/2).Should(BeZero())
	cancel()
	g.Eventually(done, changeTimeout).Should(BeClosed())
	g.Expect(promoter.orders).To(ContainElement("primary"))
}
