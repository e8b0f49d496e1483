package gateway

import (
	"sync"
	"time"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/pace"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/statement"
)

const (
	// openTimeout bounds opening a connection, which may have to wait for a
	// free slot on the member.
	openTimeout = 700 * time.Millisecond
	// minReadBackoff and maxReadBackoff bound how long reads skip a replica
	// after it refused or failed one.
	minReadBackoff, maxReadBackoff = 100 * time.Millisecond, 800 * time.Millisecond
	// connLimitBackoff is how long an instance opens no further connections to
	// a member that has reached its connection limit.
	connLimitBackoff = 300 * time.Millisecond
	// noMemberWait is how long a request waits for a usable member while none
	// is up and no change of primary is in progress.
	noMemberWait = 300 * time.Millisecond
	// refusalRetryAfter is the retry hint sent with a refusal because no
	// member is available.
	refusalRetryAfter = 250 * time.Millisecond
	// idleConnTimeout is the time after which an unused connection is closed.
	idleConnTimeout = 20 * time.Second
	// minConnsPerMember is the number of connections per member that an
	// instance may always open, so that it can serve even if the limit divided
	// by the number of instances is smaller.
	minConnsPerMember = 2
	// minServingConnsPerMember is the number of connections per member that
	// each instance of a serving set must be able to hold. With fewer,
	// connections would be closed and reopened each time another workspace
	// sends a statement.
	minServingConnsPerMember = 3
	// nonServingConnsPerMember is the number of connections per member allowed
	// outside the serving set, for statements whose owner does not respond.
	nonServingConnsPerMember = 1
	// primaryConnShare and replicaConnShare are the fractions of a member's
	// connections that all instances together may use. After a power loss a
	// member keeps the old connections for several seconds; the rest lets
	// instances reconnect meanwhile and carries control calls. Only the
	// primary accepts writes, so it reserves less.
	primaryConnShare, replicaConnShare = 0.86, 0.67
	// holdTimeSmoothing is the weight of a new sample in the moving average of
	// the time for which a request holds a connection.
	holdTimeSmoothing = 0.1
)

// pool manages one instance's connections to the members of one group. It is
// safe for concurrent use.
type pool struct {
	name    string
	zone    string
	dialer  Dialer
	onEvent func(poolEvent)
	// instances are the other instances, which may serve members of the group.
	instances *peers

	mu      sync.Mutex
	members map[string]*poolMember
	// removed are former members on whose connections statements still run.
	removed map[*poolMember]struct{}
	primary string
	term    uint64
	// deposed is the last member found not to be primary, as of deposedTerm.
	deposed     string
	deposedTerm uint64
	// primaryChanging is set while a change of primary is in progress or
	// expected.
	primaryChanging bool
	membersChanged  chan struct{}
	// fence keeps commits away from a primary that is being replaced.
	fence promotion.CommitFence
	// successorLog is what the successor of the fenced primary is known to have received, and
	// pollingSuccessor is set while it is asked.
	successorLog     group.Position
	pollingSuccessor bool
	// heldSince is since when answers to commits are held back without any progress of the
	// successor, and fenceChanged is closed when they are to look again.
	heldSince    time.Time
	fenceChanged chan struct{}
	// provenLog is the end of the log that listed replicas are known to have, pollingReplicas is
	// set while they are asked, and replicaPollInterval is the delay before they are asked again.
	// proofTurn says whose turn it is. unprovenSince is since when commits wait for a proof
	// without any progress.
	provenLog           group.Position
	pollingReplicas     bool
	replicaPollInterval time.Duration
	proofTurn           int
	unprovenSince       time.Time
	// promotedAt is a position that the primary had received when its promotion was ordered;
	// zero if it is not known.
	promotedAt group.Position
	// interrupted is set once this instance stops and waits no longer for members.
	interrupted     bool
	leadership      leadershipChecks
	positionSamples consistency.PrimaryPositionLog
	acknowledged    group.Position
	queue           *admission.Queue
	waiters         map[uint64]*waiter
	// retryTimes spreads the retry times of refused requests.
	retryTimes   admission.RetryTimes
	nextWaiterID uint64
	// maxConnections limits the connections to one member from all instances.
	// servingInstances is the size of the group's serving set, and
	// inServingSet is set if this instance belongs to it.
	maxConnections, servingInstances int
	inServingSet                     bool
	// scope says whether each member has a serving set of its own, which then has
	// memberSetSize instances.
	scope         placement.ServingScope
	memberSetSize int
	// targets holds what other instances reported of the members that they serve.
	targets map[string]targetReport
	// fetching is the request for a position of the primary that is in progress, or nil.
	fetching *positionFetch
	// meanHoldTime is the moving average of the time for which a request holds
	// a connection.
	meanHoldTime time.Duration
	lastRead     time.Time
	// keepsControlConns is set while this instance holds the promotion lease.
	keepsControlConns bool
}

// poolEvent reports that a member is unusable.
type poolEvent struct {
	group, member string
	// commitsStalled is set if the primary responds but commits do not
	// complete.
	commitsStalled bool
}

// poolMember is the pool's state of one member, guarded by the pool's mutex.
type poolMember struct {
	Member
	// served is set if this instance belongs to the member's serving set.
	served bool
	// pace limits the statements in progress at the member if members have serving sets of
	// their own; nil otherwise.
	pace          *pace.Limiter
	idle          map[string][]*pooledConn
	idleCount     int
	open, opening int
	running       map[*pooledConn]struct{}
	// down is set from a detected failure until a probe succeeds; the member
	// gets no requests meanwhile.
	down             bool
	failingSince     time.Time
	lastAnswerAt     time.Time
	probing          bool
	readBackoffUntil time.Time
	readBackoff      time.Duration
	connLimitUntil   time.Time
	// outOfServiceSince is when the member started draining or its zone was
	// taken out of service.
	outOfServiceSince time.Time
	// unlistedSince is when the platform stopped listing the member, and listedAt when this
	// instance first listed its process. sinceFirstStart is set if the member was there when
	// the whole system was started for the first time.
	unlistedSince, listedAt time.Time
	sinceFirstStart         bool
	commitStalls            int
	own                     ownConns
	// The member is not asked to witness before witnessSilentUntil.
	witnessSilentUntil time.Time
}

// pooledConn is a connection that belongs to one workspace.
type pooledConn struct {
	MemberConn
	member *poolMember
	// memberID is the ID of member, whose entry may change.
	memberID   string
	workspace  string
	settings   map[string]string
	prepared   map[string]bool
	lastUsedAt time.Time
	// busySince is when the current statement was sent; zero if there is none.
	busySince time.Time
	// isCommit is set if the current statement commits.
	isCommit bool
	charged  time.Duration
	closed   bool
	// unpooled is set if the connection is one of the member's ownConns.
	unpooled bool
	// priority is that of the request for which the connection was granted.
	priority int
	// paced is the statement in progress for the member's pace.
	paced pace.Statement
	// state is the session state last reported by the member.
	state statement.State
	// inTransaction is set while a transaction is open; unlike state, it is guarded by the
	// pool's mutex.
	inTransaction bool
	// idleInTransaction is set while an open transaction waits for its client.
	idleInTransaction bool
	// isOwnCall is set while the connection is used for calls of the gateway's own.
	isOwnCall bool
	// isRead is set if the current statement can be retried on another member.
	isRead bool
}

// connRequest is a request for a connection.
type connRequest struct {
	workspace string
	// needsPrimary restricts the request to the primary; otherwise any member
	// is acceptable.
	needsPrimary bool
	// commits restricts the request to members to which commits may be sent.
	commits bool
	// member restricts the request to one member; "" does not.
	member   string
	excluded map[string]bool
	deadline time.Time
	// priority is the route's, and target the time until which an answer meets the route's
	// objective.
	priority int
	target   time.Time
	// awaitsOwnUntil is until when the request waits for a connection of its workspace; zero
	// if it need not.
	awaitsOwnUntil time.Time
	// load is the load when the request was last queued.
	load admission.Load
	// maxWait is the longest useful wait in the queue; a request expected to
	// wait longer is refused immediately. 0 means until the deadline.
	maxWait time.Duration
}

type waiter struct {
	request  *connRequest
	grant    chan grant
	queuedAt time.Time
	// item stands for the request in the queue, and load is the load when it was queued.
	item admission.Item
	load admission.Load
}

// grant is a connection, or permission to open one to the member.
type grant struct {
	conn    *pooledConn
	member  *poolMember
	charged time.Duration
	// priority is that of the request.
	priority int
	err      error
}

func newPool(name, zone string, dialer Dialer, instances *peers, onEvent func(poolEvent)) *pool {
	p := &pool{
		name: name, zone: zone, dialer: dialer, instances: instances, onEvent: onEvent,
		members: map[string]*poolMember{}, removed: map[*poolMember]struct{}{}, membersChanged: make(chan struct{}), fenceChanged: make(chan struct{}),
		queue: admission.NewQueue(0), waiters: map[uint64]*waiter{}, targets: map[string]targetReport{}, servingInstances: 1, inServingSet: true,
		meanHoldTime: 20 * time.Millisecond,
	}
	if instances != nil && instances.gw.cfg.ServingScope == placement.ServingByMember {
		p.scope, p.queue = placement.ServingByMember, admission.NewPriorityQueue(0, admission.PrioritySettings{})
	}
	return p
}

// notifyMembersChanged wakes requests that wait for a usable member. The
// caller holds p.mu.
func (p *pool) notifyMembersChanged() {
	close(p.membersChanged)
	p.membersChanged = make(chan struct{})
	p.notifyFenceChanged()
}

// backOffReads makes reads skip a replica that did not answer one
// successfully, either because it lacks the required position or because it
// fails reads although its health checks pass. The delay doubles with each
// consecutive failure.
func (p *pool) backOffReads(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := c.member
	m.readBackoff = min(max(2*m.readBackoff, minReadBackoff), maxReadBackoff)
	m.readBackoffUntil = time.Now().Add(m.readBackoff)
}

// resetReadBackoff records that a replica answered a read successfully.
func (p *pool) resetReadBackoff(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.member.readBackoff = 0
}

// recordLeadership records the position returned by a member in its response to a
// statement sent at asked. The member must have been confirmed to lead the group at that
// time: by a leadership check that began after asked, or by a commit sent at asked whose
// acknowledgement shows that a replica still follows.
func (p *pool) recordLeadership(c *pooledConn, asked time.Duration, at group.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.positionSamples.Observe(asked, at)
	p.setPrimary(c.memberID, at.Term)
}

// recordCommit records the position of an acknowledged commit.
func (p *pool) recordCommit(at group.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteCommit(at)
}

// noteCommit is recordCommit for callers that hold p.mu.
func (p *pool) noteCommit(at group.Position) {
	if at.Compare(p.acknowledged) > 0 {
		p.acknowledged = at
	}
}

// recordNotPrimary records that a member assumed to be primary is not.
func (p *pool) recordNotPrimary(member string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.primary == member {
		p.deposed, p.deposedTerm = p.primary, p.term
		p.primary = ""
		p.notifyMembersChanged()
		p.onEvent(poolEvent{group: p.name})
	}
}

// setPrimary sets the primary for a term in which its leadership was proved.
// It reports whether the primary changed. The caller holds p.mu.
func (p *pool) setPrimary(id string, term uint64) bool {
	if term < p.term || (term == p.term && p.primary == id) {
		return false
	}
	if p.members[id] == nil || (id == p.deposed && term <= p.deposedTerm) {
		return false
	}
	former := p.members[p.primary]
	if former == nil || former.ID != id {
		p.promotedAt, p.unprovenSince = group.Position{}, time.Time{}
		if p.fence.Successor() == id {
			p.promotedAt = p.successorLog
		}
		p.fence.EndUnless(id)
	}
	p.primary, p.term, p.primaryChanging = id, term, false
	if m := p.members[id]; m.pace != nil && (former == nil || former.ID != id) {
		m.pace.Promoted(time.Now())
	}
	if former != nil && former.ID != id {
		// Statements pending on a replaced primary can no longer succeed.
		for c := range former.running {
			if !c.busySince.IsZero() && former.down {
				c.closed = true
				c.Close()
			}
		}
	}
	p.notifyMembersChanged()
	p.dispatch()
	return true
}

// presumePrimary sets the primary to the only member that claims the role,
// without a control call, because members may accept no new connections for
// several seconds after a power loss. Every write and strict read verifies the
// role. It returns false for a member already found not to be primary.
func (p *pool) presumePrimary(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.primary != "" || id == p.deposed || p.members[id] == nil {
		return false
	}
	p.primary = id
	p.notifyMembersChanged()
	p.dispatch()
	return true
}

// floor returns a position that covers the commits acknowledged before since, for a read.
func (p *pool) floor(since time.Duration) (group.Position, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Also a read that finds no floor asks for recent positions: an instance that cannot
	// reach the primary gets them from its peers.
	p.lastRead = time.Now()
	return p.positionSamples.FloorSince(since)
}
