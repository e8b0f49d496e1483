package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/pace"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"github.com/mulberrysill/mulberrysill/core/quota"
	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// memberScoped returns an instance of a fleet that is served by member.
func memberScoped(instances int) *Gateway {
	gw := newFleetMember(instances, 2)
	gw.cfg.ServingScope = placement.ServingByMember
	gw.pools = map[string]*pool{}
	gw.peers.noteListing()
	gw.controller.updatePools()
	return gw
}

// The set must be in the member's zone: otherwise each statement crosses zones twice. All
// instances must choose the same set, or together they exceed the member's connections.
func TestMemberSetIsInTheMembersZone(t *testing.T) {
	g := NewWithT(t)
	view := newFleetView(testFleet(62))
	set := view.memberSet("m1", "z2", memberSetSize(56))
	g.Expect(set).To(HaveLen(2))
	for _, i := range view.only(set) {
		g.Expect(i.Zone).To(Equal("z2"))
	}
	g.Expect(newFleetView(testFleet(62)).memberSet("m1", "z2", 2)).To(Equal(set))
	g.Expect(set).To(ContainElement(view.memberOwner("m1", "z2", "w", 2)))
	g.Expect(view.memberSet("m1", "elsewhere", 2)).To(HaveLen(2), "a zone without instances is served by others")
}

// All serving instances together must stay within the member's limit, with room for the
// connections of instances that are gone.
func TestMemberSetsFitTheMembersConnections(t *testing.T) {
	g := NewWithT(t)
	for _, limit := range []int{8, 36, 56, 70, 202} {
		p := newPool("g", "z", nil, nil, func(poolEvent) {})
		p.scope, p.maxConnections, p.memberSetSize = placement.ServingByMember, limit, memberSetSize(limit)
		served, other := &poolMember{served: true}, &poolMember{}
		g.Expect(p.connLimit(served)*p.memberSetSize).To(BeNumerically("<=", limit), "limit %d", limit)
		g.Expect(p.keptConns(served)*p.memberSetSize).To(BeNumerically("<=", max(limit/2, p.memberSetSize*minConnsPerMember)), "limit %d", limit)
		g.Expect(p.connLimit(other)).To(BeNumerically(">=", 1))
	}
}

// After a restart of the whole fleet nobody has been heard from. If each instance took only
// itself for healthy, all 61 would open connections to every member (2,094 were reset).
func TestRestartedInstancesChooseTheSameSets(t *testing.T) {
	g := NewWithT(t)
	gw := newFleetMember(61, 1)
	gw.peers.mu.Lock()
	for _, p := range gw.peers.byID {
		p.lastHeard = time.Time{}
	}
	gw.peers.fleet.outdated = true
	gw.peers.mu.Unlock()
	_, listed := gw.peers.servingInstances()
	g.Expect(listed).To(BeFalse(), "nothing is chosen before the instances are listed")
	gw.peers.noteListing()
	view, listed := gw.peers.servingInstances()
	g.Expect(listed).To(BeTrue())
	g.Expect(view.instances).To(HaveLen(61))
}

// A peer that has stopped responding holds the reads that were relayed to it; one that is
// merely slow must not lose them.
func TestSilentPeerIsDetected(t *testing.T) {
	g := NewWithT(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer silent.Close()
	gw := memberScoped(3)
	gw.peers.mu.Lock()
	p := gw.peers.upsert(Instance{ID: "silent", PeerAddress: silent.Addr().String(), Started: 1})
	gw.peers.mu.Unlock()
	p.noteResponse()
	g.Expect(gw.peers.responds(p)).To(BeTrue(), "it has responded a moment ago")
	p.respondedAt.Store(0)
	cancelled := make(chan struct{})
	watch := gw.peers.watchRelay(p, func() { close(cancelled) })
	defer watch.stop()
	g.Eventually(cancelled, relaySilenceTimeout+pingTimeout+2*time.Second).Should(BeClosed())
	g.Expect(gw.peers.isSuspect(p)).To(BeTrue())
}

// A refused read is tried at another member; a write whose outcome is unknown must never be
// sent again.
func TestWhatMayRunElsewhere(t *testing.T) {
	g := NewWithT(t)
	unknown := verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "no answer")
	g.Expect(mayRunElsewhere(notRun(verdict.QueueFull, "full"), false)).To(BeTrue())
	g.Expect(mayRunElsewhere(notRun(verdict.ReplicaBehind, "behind"), true)).To(BeTrue())
	g.Expect(mayRunElsewhere(unknown, true)).To(BeTrue(), "a read has no effects")
	g.Expect(mayRunElsewhere(unknown, false)).To(BeFalse())
	g.Expect(mayRunElsewhere(verdict.New(verdict.MayHaveRun, verdict.QueueFull, "full"), false)).To(BeFalse())
	g.Expect(mayRunElsewhere(notRun(verdict.RateLimitExceeded, "rate"), true)).To(BeFalse())
}

// A read that a member refuses goes to the next one, and a write waits for another primary.
func TestSearchAfterARefusal(t *testing.T) {
	g := NewWithT(t)
	gw := memberScoped(20)
	p := gw.pool("group-0")
	p.presumePrimary("group-0-0")
	route := gw.currentConfig.Load().catalog.Groups()[0]
	g.Expect(route.Name).To(Equal("group-0"))
	now := time.Now()
	read := &memberSearch{pool: p, started: now, deadline: now.Add(time.Second), isRead: true, route: testRoute, req: connRequest{workspace: "w", excluded: map[string]bool{}}}
	tried := map[string]bool{}
	for range 3 {
		at, err := read.next(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		tried[at.member] = true
		g.Expect(read.failed(context.Background(), at, notRun(verdict.QueueFull, "full"))).To(BeTrue())
	}
	g.Expect(tried).To(HaveLen(3), "each member once")

	write := &memberSearch{pool: p, started: now, deadline: now.Add(time.Second), route: testRoute, req: connRequest{workspace: "w", needsPrimary: true, excluded: map[string]bool{}}}
	at, err := write.next(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(at.member).To(Equal("group-0-0"))
	g.Expect(write.failed(context.Background(), at, notRun(verdict.QueueFull, "full"))).To(BeFalse(), "a queue that is too long is not asked again")
	go func() {
		time.Sleep(5 * time.Millisecond)
		p.mu.Lock()
		p.setPrimary("group-0-1", 2)
		p.mu.Unlock()
	}()
	for at.member != "group-0-1" {
		g.Expect(write.failed(context.Background(), at, p.memberUnavailableError(at.member))).To(BeTrue())
		at, err = write.next(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// A member that refuses because it is busy must be sent less; errors of the session say
// nothing about its load.
func TestPaceOutcome(t *testing.T) {
	g := NewWithT(t)
	g.Expect(paceOutcome(nil, nil)).To(Equal(pace.Served))
	g.Expect(paceOutcome(&statement.Error{Code: statement.Busy}, nil)).To(Equal(pace.Rejected))
	g.Expect(paceOutcome(&statement.Error{Code: statement.Failure}, nil)).To(Equal(pace.Failed))
	g.Expect(paceOutcome(&statement.Error{Code: statement.Lagging}, nil)).To(Equal(pace.Canceled))
	g.Expect(paceOutcome(nil, context.DeadlineExceeded)).To(Equal(pace.Lost))
}

// The most urgent request gets the next connection, whichever came first; with the plain
// queue the first one does.
func TestUrgentRequestGetsTheNextConnection(t *testing.T) {
	g := NewWithT(t)
	gw := memberScoped(3)
	p := newPool("g", "z", &pausableMembers{}, gw.peers, func(poolEvent) {})
	m := &poolMember{Member: Member{ID: "m", Slots: 1}, served: true, idle: map[string][]*pooledConn{}, running: map[*pooledConn]struct{}{}}
	p.members["m"], p.maxConnections, p.memberSetSize = m, 4, 1
	p.setPace(m)
	request := func(priority int) *connRequest {
		return &connRequest{workspace: "w", member: "m", priority: priority, deadline: time.Now().Add(5 * time.Second)}
	}
	held, err := p.acquire(context.Background(), request(2), &requestRecord{})
	g.Expect(err).NotTo(HaveOccurred())
	type outcome struct {
		priority int
		conn     *pooledConn
	}
	granted := make(chan outcome, 2)
	for n, priority := range []int{2, 0} {
		go func() {
			conn, err := p.acquire(context.Background(), request(priority), &requestRecord{})
			g.Expect(err).NotTo(HaveOccurred())
			granted <- outcome{priority, conn}
		}()
		g.Eventually(func() int {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.queue.Len()
		}).Should(Equal(n + 1))
	}
	p.release(held, true)
	first := <-granted
	g.Expect(first.priority).To(BeZero())
	p.release(first.conn, true)
	g.Expect((<-granted).priority).To(Equal(2))
}

// Only an instance that can do without the store may ask it rarely: keys must not lapse
// because it waits.
func TestRetryDelayOfTheStore(t *testing.T) {
	g := NewWithT(t)
	gw := memberScoped(61)
	gw.confirmConfig(bootTime())
	g.Expect(gw.maxStoreRetryDelay()).To(Equal(maxSparedRetryDelay))
	gw.cfg.ServingScope = placement.ServingByGroup
	g.Expect(gw.maxStoreRetryDelay()).To(Equal(maxStoreRetryDelay))
	stale := memberScoped(61)
	stale.confirmConfig(bootTime() - maxConfirmationAge - time.Second)
	g.Expect(stale.maxStoreRetryDelay()).To(Equal(maxStoreRetryDelay))
	small := memberScoped(7)
	small.confirmConfig(bootTime())
	g.Expect(small.maxStoreRetryDelay()).To(Equal(maxStoreRetryDelay))
}

// The parts of all instances together must be what the limiter starts with, also where a
// part is below one operation.
func TestGrantsAfterARestart(t *testing.T) {
	g := NewWithT(t)
	const instances = 62
	tolerance := quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	total := 0
	for range 40 * instances {
		l := newLimits(false, tolerance)
		l.restartsWithTokens = true
		l.configure(testWorkspaces, 1)
		l.setInstances(instances, instances)
		l.divideGrants()
		for range 5 {
			if ok, _, _ := l.admit("w"); ok {
				total++
			}
		}
	}
	stated := quota.Limit{Rate: testWorkspaces[0].Rate, Burst: testWorkspaces[0].Burst}
	tokens := tolerance.RestartLevel(stated) * tolerance.Widen(stated).Burst
	g.Expect(float64(total) / 40).To(BeNumerically("~", tokens, tokens/3))
	served := newLimits(false, tolerance)
	served.configure(testWorkspaces, 1)
	served.setInstances(instances, instances)
	served.divideGrants()
	ok, _, _ := served.admit("w")
	g.Expect(ok).To(BeFalse(), "a fleet that is served by group starts with an empty bucket")
}

// A peer that asks for a position before this instance knows a primary must get an answer
// that says so.
func TestPositionOfAnUnknownPrimary(t *testing.T) {
	g := NewWithT(t)
	gw := memberScoped(3)
	answer, err := gw.peers.Position(context.Background(), &pb.PositionRequest{Group: "group-0"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.SampleAgeMs).To(BeNumerically("<", 0))
	answer, err = gw.peers.Position(context.Background(), &pb.PositionRequest{Group: "none"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.SampleAgeMs).To(BeNumerically("<", 0))
}

// The queue of an instance that serves by group must not order by priority: the routes of
// those deployments have priorities, too.
func TestQueueOfAGroupIgnoresPriorities(t *testing.T) {
	g := NewWithT(t)
	gw := newFleetMember(3, 1)
	p := gw.pool("group-0")
	g.Expect(newConnRequest(testRoute, "w", "", time.Now(), 0).priority).To(BeZero())
	p.queue.Push(admission.Item{ID: 1, Workspace: "w", Priority: 2})
	p.queue.Push(admission.Item{ID: 2, Workspace: "w"})
	next, _ := p.queue.Peek(func(admission.Item) bool { return true })
	g.Expect(next.ID).To(Equal(uint64(1)))
}

var (
	testRoute      = &catalog.Route{Name: "r", Database: "d", Group: "group-0", TargetLatency: 200 * time.Millisecond, StatementTimeout: time.Second, Priority: 1}
	testWorkspaces = []catalog.Workspace{{Name: "w", Rate: 350, Burst: 350}}
)
