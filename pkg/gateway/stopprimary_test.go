package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/statement"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// stoppableGroup is the group of a handover whose primary executes DEMOTE, and of whose
// instances one cannot be fenced. The members have the log up to index 5.
type stoppableGroup struct {
	*handover
	demoted bool
	// refusesDemote makes the primary refuse DEMOTE, after it has been carried out if
	// answersLate is set.
	refusesDemote, answersLate bool
	// index is the end of the log of members that have another one.
	index map[string]uint64
}

func newStoppableGroup() *stoppableGroup {
	s := &stoppableGroup{handover: newHandover(), index: map[string]uint64{}}
	s.a.peers.mu.Lock()
	s.a.peers.upsert(Instance{ID: "b", Started: s.b.started, PeerAddress: "127.0.0.1:0"})
	s.a.peers.mu.Unlock()
	s.onOrder = func(string) { s.demoted = false }
	return s
}

func (s *stoppableGroup) change(reason promotion.Reason) *primaryChange {
	c := s.handover.change(s.a, reason, groupOrders{})
	c.pool.dialer = s
	for _, m := range c.pool.members {
		m.sinceFirstStart = true
	}
	return c
}

func (s *stoppableGroup) isDemoted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.demoted
}

func (s *stoppableGroup) Open(ctx context.Context, m Member, workspace string) (MemberConn, error) {
	c, err := s.handover.Open(ctx, m, workspace)
	return &stoppableMember{MemberConn: c, s: s, id: m.ID}, err
}

func (s *stoppableGroup) ParseStatus(r statement.Reply) (statement.MemberStatus, error) {
	status, err := s.handover.ParseStatus(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.demoted {
		status.Role = group.Replica
	}
	if index, ok := s.index[r.Signature]; ok {
		status.Received.Index = index
	}
	return status, err
}

type stoppableMember struct {
	MemberConn
	s   *stoppableGroup
	id  string
	err *statement.Error
}

func (c *stoppableMember) Send(deadline time.Time, statements ...statement.Statement) error {
	c.err = nil
	if statements[0].Kind == statement.Demote && c.id == "primary" {
		c.s.mu.Lock()
		c.s.demoted = c.s.demoted || !c.s.refusesDemote || c.s.answersLate
		if c.s.refusesDemote {
			c.err = &statement.Error{Code: statement.Failure}
		}
		c.s.mu.Unlock()
	}
	return c.MemberConn.Send(deadline, statements...)
}

func (c *stoppableMember) Receive() (statement.Reply, error) {
	r, err := c.MemberConn.Receive()
	if c.err != nil {
		r.Err = c.err
	}
	return r, err
}

// Guards against an order while an instance may still get commits acknowledged that only members
// have which are not listed.
func TestAPlannedChangeWaitsForAPrimaryThatCannotBeStopped(t *testing.T) {
	g := NewWithT(t)
	s := newStoppableGroup()
	s.refusesDemote = true
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.change(promotion.Leaving).run(ctx)
	g.Expect(s.orders).To(BeEmpty())
	g.Expect(s.pausedMembers()).To(BeEmpty())

	s.answersLate = true
	s.change(promotion.Leaving).run(context.Background())
	g.Expect(s.orders).To(HaveLen(1))
	g.Expect(s.leader).NotTo(Equal("primary"))
}

// Guards against a promotion that discards commits of the stopped primary, and against a group
// that is left without a primary because no successor gets them.
func TestAStoppedPrimaryLeadsAgainIfNoSuccessorGetsItsLog(t *testing.T) {
	g := NewWithT(t)
	s := newStoppableGroup()
	s.index["primary"] = 9
	change := s.change(promotion.Leaving)
	change.run(context.Background())
	g.Expect(s.orders).To(Equal([]string{"primary"}))
	g.Expect(s.leader).To(Equal("primary"))
	g.Expect(change.stop).To(BeNil())
	g.Expect(change.pool.primary).To(Equal("primary"))
	g.Expect(s.pausedMembers()).To(BeEmpty())
	g.Consistently(s.isDemoted, 100*time.Millisecond).Should(BeFalse(), "as a former primary")
}

// Guards against an order for the stopped primary while the successor may lead that was ordered
// before: the commits that it has acknowledged would be lost. And against one for a primary that
// has lost its log.
func TestAStoppedPrimaryDoesNotLeadAgainIfAnotherMemberMayLead(t *testing.T) {
	g := NewWithT(t)
	s := newStoppableGroup()
	change := s.change(promotion.Leaving)
	change.stop = &primaryStop{at: time.Now().Add(-2 * maxStoppedPeriod), finalLog: group.Position{Term: 1, Index: 9}}
	g.Expect(change.isReinstatementDue()).To(BeTrue())
	for _, orders := range []groupOrders{{pending: true, member: "r1"}, {unanswered: unansweredOrders{"r1": 5}}, {unchecked: true}, {unvoided: true}} {
		change.orders = orders
		g.Expect(change.isReinstatementDue()).To(BeFalse(), "%+v", orders)
	}
	change.orders = groupOrders{pending: true, member: "primary", unanswered: unansweredOrders{"primary": 5}}
	g.Expect(change.isReinstatementDue()).To(BeTrue())

	s.demoted = true
	g.Expect(change.reinstatePrimary(context.Background())).To(BeFalse())
	g.Expect(s.orders).To(BeEmpty())
}

// Guards against an unplanned change that waits without end for commits of the stopped primary
// that no replica receives, and against one that does not wait for those that are under way.
func TestAnUnplannedChangeWaitsForTheLogOfTheStoppedPrimary(t *testing.T) {
	g := NewWithT(t)
	s := newStoppableGroup()
	s.index["primary"] = 9
	change, started := s.change(promotion.CutOff), time.Now()
	change.run(context.Background())
	g.Expect(time.Since(started)).To(BeNumerically(">=", finalLogPatience))
	g.Expect(s.orders).To(HaveLen(1))
	g.Expect(s.leader).NotTo(Equal("primary"))
}

// Guards against a change that is abandoned, or finds no successor, because the stopped primary
// is not ahead of the replicas any more.
func TestAChangeGoesOnOnceTheReplicasHaveTheLogOfTheStoppedPrimary(t *testing.T) {
	g := NewWithT(t)
	s := newStoppableGroup()
	s.index["primary"] = 9
	time.AfterFunc(finalLogPatience/4, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.index["r1"], s.index["r2"] = 9, 9
	})
	change, started := s.change(promotion.CutOff), time.Now()
	change.run(context.Background())
	g.Expect(time.Since(started)).To(BeNumerically("<", finalLogPatience))
	g.Expect(s.orders).To(HaveLen(1))

	stopped := s.change(promotion.CutOff)
	g.Expect(stopped.isResolved(context.Background())).To(BeTrue())
	stopped.stop = &primaryStop{at: time.Now()}
	g.Expect(stopped.isResolved(context.Background())).To(BeFalse())
}

// Guards against a primary that counts as not stopped because the answer to DEMOTE was lost: a
// repeated call is refused.
func TestAPrimaryIsStoppedThoughItRefusesARepeatedCall(t *testing.T) {
	g := NewWithT(t)
	s := newStoppableGroup()
	s.refusesDemote, s.answersLate = true, true
	status, err := s.change(promotion.Leaving).pool.stopMember(context.Background(), Member{ID: "primary", Group: "g"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status.Role).To(Equal(group.Replica))
}

// Guards against taking a former primary that has restarted without its log for one that was
// stopped: its log does not show what was acknowledged.
func TestAPrimaryThatLostItsLogIsNotTakenForStopped(t *testing.T) {
	g := NewWithT(t)
	s := newStoppableGroup()
	s.demoted, s.index["primary"] = true, 0
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.change(promotion.Leaving).run(ctx)
	g.Expect(s.orders).To(BeEmpty())

	stopped := s.change(promotion.Leaving)
	stopped.stop = &primaryStop{at: time.Now(), finalLog: group.Position{Term: 1, Index: 9}}
	g.Expect(stopped.stopPrimary(context.Background(), nil)).To(BeTrue())
	g.Expect(stopped.stop.finalLog.Index).To(BeEquivalentTo(9), "the log was lost after the stop")

	s.index["primary"] = 5 // stopped by another change
	s.change(promotion.Leaving).run(context.Background())
	g.Expect(s.orders).To(HaveLen(1))
}

// Guards against an instance that stops a primary for a former holder of the promotion lease.
func TestPrimariesAreStoppedForTheHolderOnly(t *testing.T) {
	g := NewWithT(t)
	s := newStoppableGroup()
	s.claimByB()
	s.a.peers.updateDuty(s.store.duty)
	change := s.change(promotion.Leaving)
	g.Expect(change.stopPrimary(context.Background(), nil)).To(BeFalse())

	s.a.pools["g"] = change.pool
	request := &pb.StopPrimaryRequest{Group: "g", Member: "primary", DutyToken: uint64(s.store.duty.Token) - 1}
	_, err := s.a.peers.StopPrimary(context.Background(), request)
	g.Expect(err).To(MatchError(ContainSubstring("instance b holds the promotion duty")))
	g.Expect(s.demoted).To(BeFalse())

	request.DutyToken++
	response, err := s.a.peers.StopPrimary(context.Background(), request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]uint64{response.FinalTerm, response.FinalIndex}).To(Equal([]uint64{1, 5}))
	g.Expect(s.demoted).To(BeTrue())
}
