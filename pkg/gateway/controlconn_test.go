package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/statement"
)

// scriptedMember is a member whose replies and connection limit a test sets.
type scriptedMember struct {
	mu sync.Mutex
	// opened and closed count connections, and mostAtOnce is the highest number of statements
	// in progress on one connection.
	opened, closed, mostAtOnce int
	full                       bool
	// refusals are the errors with which the next statements are answered.
	refusals []*statement.Error
	// silent makes Receive fail at the deadline.
	silent bool
}

func (m *scriptedMember) Open(context.Context, Member, string) (MemberConn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.full {
		return nil, &statement.Error{Code: statement.TooMany}
	}
	m.opened++
	return &scriptedConn{m: m}, nil
}

func (m *scriptedMember) ParseStatus(statement.Reply) (statement.MemberStatus, error) {
	return statement.MemberStatus{Term: 1}, nil
}

func (m *scriptedMember) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

func (m *scriptedMember) counts() (opened, closed, mostAtOnce int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.opened, m.closed, m.mostAtOnce
}

type scriptedConn struct {
	m             *scriptedMember
	inProgress    int  // guarded by m.mu
	stale, failed bool // guarded by m.mu
	deadline      time.Time
}

func (c *scriptedConn) Send(deadline time.Time, _ ...statement.Statement) error {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.deadline = deadline
	if c.failed {
		return errors.New("the connection has failed before")
	}
	c.inProgress++
	c.m.mostAtOnce = max(c.m.mostAtOnce, c.inProgress)
	return nil
}

func (c *scriptedConn) Receive() (statement.Reply, error) {
	time.Sleep(5 * time.Millisecond)
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.inProgress--
	if c.m.silent {
		c.failed = true
		c.m.mu.Unlock()
		time.Sleep(time.Until(c.deadline))
		c.m.mu.Lock()
		return statement.Reply{}, context.DeadlineExceeded
	}
	if len(c.m.refusals) > 0 {
		refusal := c.m.refusals[0]
		c.m.refusals = c.m.refusals[1:]
		return statement.Reply{Err: refusal}, nil
	}
	return statement.Reply{}, nil
}

func (c *scriptedConn) IsStale() bool {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	return c.stale
}
func (c *scriptedConn) Interrupt() {}
func (c *scriptedConn) Close() {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.m.closed++
}

// newScriptedPool returns a pool with the member "r1" and a controller that keeps its control
// connection.
func newScriptedPool(member *scriptedMember) (*controller, *pool, Member) {
	a := newTestInstance("a", &dutyStore{})
	p := newPool("g", "z", member, nil, func(poolEvent) {})
	entry := Member{ID: "r1", Group: "g"}
	p.members["r1"] = &poolMember{Member: entry, idle: map[string][]*pooledConn{}, running: map[*pooledConn]struct{}{}}
	return a.controller, p, entry
}

// tickControlConns lets the controller check the control connections at once.
func tickControlConns(g *WithT, c *controller, p *pool, holdsLease bool) {
	p.mu.Lock()
	p.members["r1"].own.checkedAt = time.Time{}
	p.mu.Unlock()
	c.keepControlConns(context.Background(), p, holdsLease)
	p.tick(context.Background())
	g.Eventually(func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.members["r1"].own.checking
	}).Should(BeFalse())
}

var statusCall = statement.Statement{Kind: statement.Status}

// Guards against a member that cannot be asked once its connections are all in use, and
// against connections that stay open at an instance that holds the lease no longer.
func TestTheHolderKeepsOneControlConnection(t *testing.T) {
	g := NewWithT(t)
	member := &scriptedMember{}
	c, p, entry := newScriptedPool(member)
	tickControlConns(g, c, p, false)
	opened, _, _ := member.counts()
	g.Expect(opened).To(BeZero())
	for range 3 {
		tickControlConns(g, c, p, true)
	}
	member.set(func() { member.full = true })
	for range 3 {
		_, err := p.controlCall(context.Background(), entry, statusCall)
		g.Expect(err).NotTo(HaveOccurred())
	}
	opened, closed, _ := member.counts()
	g.Expect(opened - closed).To(Equal(1))
	g.Expect(opened).To(Equal(1))
	tickControlConns(g, c, p, false)
	_, closed, _ = member.counts()
	g.Expect(closed).To(Equal(1))
}

// Guards against a lost control connection that is used or not replaced.
func TestALostControlConnectionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	member := &scriptedMember{}
	c, p, entry := newScriptedPool(member)
	tickControlConns(g, c, p, true)
	lost := p.members["r1"].own.control.MemberConn.(*scriptedConn)
	member.set(func() { lost.stale = true })
	tickControlConns(g, c, p, true)
	member.set(func() { member.full = true })
	_, err := p.controlCall(context.Background(), entry, statusCall)
	g.Expect(err).NotTo(HaveOccurred())
	opened, closed, _ := member.counts()
	g.Expect([]int{opened, closed}).To(Equal([]int{2, 1}))
}

// Guards against a refusal because of load that is returned although the member accepts the
// call a moment later.
func TestAControlCallIsRepeatedWhileTheMemberIsLoaded(t *testing.T) {
	g := NewWithT(t)
	member := &scriptedMember{full: true, refusals: []*statement.Error{{Code: statement.Busy}, {Code: statement.Busy}}}
	_, p, entry := newScriptedPool(member)
	time.AfterFunc(controlTimeout/4, func() { member.set(func() { member.full = false }) })
	_, err := p.controlCall(context.Background(), entry, statusCall)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a repetition that never ends, and against one of a refusal that has another
// reason than load.
func TestARepeatedControlCallEndsWithTheRefusal(t *testing.T) {
	g := NewWithT(t)
	member := &scriptedMember{full: true}
	_, p, entry := newScriptedPool(member)
	started := time.Now()
	_, err := p.controlCall(context.Background(), entry, statusCall)
	g.Expect(isLoadRefusal(err)).To(BeTrue(), "%v", err)
	g.Expect(time.Since(started)).To(BeNumerically("<", 2*controlTimeout))
	member.set(func() { member.full, member.refusals = false, []*statement.Error{{Code: statement.Other}} })
	_, err = p.controlCall(context.Background(), entry, statusCall)
	g.Expect(isMemberError(err)).To(BeTrue(), "%v", err)
}

// Guards against replies that are taken for those of a later call.
func TestAControlConnectionThatTimedOutIsClosed(t *testing.T) {
	g := NewWithT(t)
	member := &scriptedMember{}
	c, p, entry := newScriptedPool(member)
	tickControlConns(g, c, p, true)
	member.set(func() { member.silent = true })
	_, err := p.controlCall(context.Background(), entry, statusCall)
	g.Expect(err).To(HaveOccurred())
	g.Expect(isMemberError(err)).To(BeFalse())
	member.set(func() { member.silent = false })
	_, err = p.controlCall(context.Background(), entry, statusCall)
	g.Expect(err).NotTo(HaveOccurred())
	opened, closed, _ := member.counts()
	g.Expect([]int{opened, closed}).To(Equal([]int{2, 1}))
}

// Guards against calls that share a connection, and against connections that concurrent calls
// leave open.
func TestControlCallsAtTheSameTimeUseSeparateConnections(t *testing.T) {
	g := NewWithT(t)
	member := &scriptedMember{}
	c, p, entry := newScriptedPool(member)
	tickControlConns(g, c, p, true)
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() {
			_, err := p.controlCall(context.Background(), entry, statusCall)
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
	calls.Wait()
	opened, closed, mostAtOnce := member.counts()
	g.Expect(mostAtOnce).To(Equal(1))
	g.Expect(opened-closed).To(BeNumerically("<=", 2), "the control connection and one that closes soon")
}
