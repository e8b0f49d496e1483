package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/statement"
)

// loseFirstOrder leaves the first order without an answer.
func loseFirstOrder(h *handover) {
	lost := false
	h.refuse = func(string) error {
		if !lost {
			lost = true
			return errors.New("no answer")
		}
		return nil
	}
}

// Guards against taking the answer to a repeated order for the end of the first one: both have
// the same token if the claim cannot be renewed, and the first one may be carried out after
// another member has been promoted under that token.
func TestAnOrderWithoutAnAnswerOutlivesItsRepetitionUnderTheSameToken(t *testing.T) {
	g := NewWithT(t)
	h := newHandover()
	h.store.err = errors.New("down")
	loseFirstOrder(h)
	change := h.change(h.a, promotion.Leaving, groupOrders{})
	change.run(context.Background())
	g.Expect(h.orders).To(HaveLen(2))
	first := h.orders[0]
	g.Expect(h.leader).To(Equal(first))

	next := h.change(h.a, promotion.Leaving, change.orders)
	next.primary, next.pool.primary, next.pool.term = first, first, 2
	pauses := 0
	h.mu.Lock()
	h.onControl = func(_ Member, s statement.Statement) *statement.Error {
		if s.Kind == statement.Pause {
			pauses++
		}
		return nil
	}
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	next.run(ctx)
	g.Expect(h.orders).To(HaveLen(2), "ordered under the token of the order without an answer")
	g.Expect(pauses).To(BeZero(), "paused for an order that cannot be sent")

	h.store.err = nil
	h.ageClaim()
	next = h.change(h.a, promotion.Leaving, next.orders)
	next.primary, next.pool.primary, next.pool.term = first, first, 2
	next.run(context.Background())
	g.Expect(h.leader).NotTo(Equal(first))
	g.Expect(next.orders.unanswered).To(BeEmpty())
}

// Guards against a holder that cannot repeat an order under a newer token while the store is
// down, and whose first order therefore stays in force.
func TestAnOrderIsRepeatedUnderASpareClaimWhileTheStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	h := newHandover()
	h.a.controller.ensureDutyHolder(context.Background())
	g.Eventually(h.a.peers.lacksSpareClaim).Should(BeFalse())
	h.store.err = errors.New("down")
	h.ageClaim()
	loseFirstOrder(h)
	change := h.change(h.a, promotion.Leaving, groupOrders{})
	change.run(context.Background())
	g.Expect(h.orders).To(HaveLen(2))
	g.Expect(change.orders.unanswered).To(BeEmpty())
	g.Expect(h.a.peers.lacksSpareClaim()).To(BeTrue(), "the spare claim is used")
}

// Guards against an order without an answer for the present primary that stays in force: a
// later change would have to wait for the store.
func TestAnOrderForThePresentPrimaryIsVoided(t *testing.T) {
	g := NewWithT(t)
	members := &ledMembers{pausableMembers: pausableMembers{paused: map[string]uint64{}}, leader: "primary"}
	promoter := &orderRecorder{}
	change := changeWithOrders(members, promoter, promotion.Unfinished, groupOrders{unanswered: unansweredOrders{"primary": 5}})
	_, due := change.orders.dueAfter()
	g.Expect(due).To(BeTrue())
	g.Expect(change.orders.onlyVoids()).To(BeTrue())
	change.run(context.Background()) // the claim has the token of the order
	g.Expect(promoter.orders).To(BeEmpty())

	change.controller.renewDuty(context.Background())
	change.run(context.Background())
	g.Expect(promoter.orders).To(ConsistOf("primary"))
	g.Expect(promoter.tokens[0]).To(BeNumerically(">", 5))
	g.Expect(change.orders.unanswered).To(BeEmpty())
}
