package gateway

import (
	"sync"
	"time"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/statement"
)

const (
	// openTimeout bounds the opening of a connection, which waits for a slot of
	// the member.
	openTimeout = 700 * time.Millisecond
	// minAvoidPause and maxAvoidPause bound how long reads avoid a replica that has
	// refused or failed one.
	minAvoidPause, maxAvoidPause = 100 * time.Millisecond, 800 * time.Millisecond
	// tooManyPause is how long an instance opens no further connections to a
	// member that has reached its limit.
	tooManyPause = 300 * time.Millisecond
	// memberlessWait is how long a request waits for a member while none is up
	// and no change of primary is under way.
	memberlessWait = 300 * time.Millisecond
	// refusalHint is the wait hint of a refusal for want of a member.
	refusalHint = 250 * time.Millisecond
	// idleLimit closes connections that no request has used for so long.
	idleLimit = 20 * time.Second
	// minConnections is the number of connections to a member that an instance
	// always may have, so that it can serve while many instances share the limit.
	minConnections = 2
	// servingConnections is the number of connections to a member for which an
	// instance joins a group's serving set: fewer would be opened and closed for
	// each change of workspace.
	servingConnections = 3
	// strayConnections is the number of connections to a member that an instance
	// outside the serving set may have, for statements whose owner does not answer.
	strayConnections = 1
	// primaryShare and replicaShare are the parts of a member's connections that
	// the instances use together. After a loss of power a member holds the old ones
	// for seconds; the rest lets the instances serve meanwhile, and carries control
	// calls. Only the primary takes writes, so it spares less.
	primaryShare, replicaShare = 0.86, 0.67
	// holdSmoothing is the part of each new sample in the mean time for which a
	// request holds a connection.
	holdSmoothing = 0.1
)

// pool holds the connections of one instance to the members of one group. Any
// goroutine may use it.
type pool struct {
	name   string
	zone   string
	dialer Dialer
	events func(poolEvent)

	mu      sync.Mutex
	members map[string]*poolMember
	primary string
	term    uint64
	// deposed is the last member that turned out not to lead, in deposedTerm.
	deposed     string
	deposedTerm uint64
	// changing says that a change of primary is under way or expected.
	changing     bool
	changed      chan struct{}
	samples      consistency.PrimaryPositionLog
	acknowledged group.Position
	queue        *admission.Queue
	waiters      map[uint64]*waiter
	nextID       uint64
	// maxConnections bounds the connections to one member from all instances,
	// instances is the size of the group's serving set, and serves says that this
	// instance belongs to it.
	maxConnections, instances int
	serves                    bool
	// mean is how long a request holds a connection.
	mean     time.Duration
	lastRead time.Time
}

// poolEvent reports that a member cannot be used.
type poolEvent struct {
	group, member string
	// stalled says that the primary answers while commits do not end.
	stalled bool
}

// poolMember is one member as the pool knows it; the pool's mutex guards it.
type poolMember struct {
	Member
	idle          map[string][]*pooled
	idleCount     int
	open, opening int
	running       map[*pooled]struct{}
	// down members take no requests until a probe succeeds.
	down         bool
	failingSince time.Time
	lastOK       time.Time
	probing      bool
	avoidUntil   time.Time
	avoidPause   time.Duration
	fullUntil    time.Time
	// outSince is when the member began to leave or its zone went out of service.
	outSince time.Time
	// missingSince is when the platform ceased to list the member.
	missingSince time.Time
	commitStalls int
}

// pooled is a connection that belongs to one workspace.
type pooled struct {
	MemberConn
	member    *poolMember
	workspace string
	values    map[string]string
	prepared  map[string]bool
	usedAt    time.Time
	// busySince is when the statement in progress was sent; zero if there is none.
	busySince time.Time
	// commits says that the statement in progress commits.
	commits bool
	charged time.Duration
	closed  bool
	// state is the session state that the member last reported.
	state statement.State
	// paused says that an open transaction waits for its client.
	paused bool
	// isRead says that the statement in progress can be repeated elsewhere.
	isRead bool
}

// acquisition is a request for a connection.
type acquisition struct {
	workspace string
	// primary requests the primary; otherwise any member serves.
	primary  bool
	avoid    map[string]bool
	deadline time.Time
	// patience is the longest wait in the queue that is worth it: a request that
	// would wait longer is refused at once. 0 means until the deadline.
	patience time.Duration
}

type waiter struct {
	acquisition *acquisition
	grant       chan grant
	since       time.Time
}

// grant is a connection, or the permission to open one.
type grant struct {
	conn    *pooled
	member  *poolMember
	charged time.Duration
	err     error
}

func newPool(name, zone string, dialer Dialer, events func(poolEvent)) *pool {
	return &pool{
		name: name, zone: zone, dialer: dialer, events: events,
		members: map[string]*poolMember{}, changed: make(chan struct{}),
		queue: admission.NewQueue(0), waiters: map[uint64]*waiter{}, instances: 1, serves: true,
		mean: 20 * time.Millisecond,
	}
}

// broadcast wakes the requests that wait for a member. The caller holds p.mu.
func (p *pool) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// avoidReads notes that a replica has not answered a read with success: it lacks
// the position, or it fails although its health is good. Reads avoid it for longer
// each time in a row.
func (p *pool) avoidReads(c *pooled) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := c.member
	m.avoidPause = min(max(2*m.avoidPause, minAvoidPause), maxAvoidPause)
	m.avoidUntil = time.Now().Add(m.avoidPause)
}

// servesReads notes that a replica has answered a read with success.
func (p *pool) servesReads(c *pooled) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.member.avoidPause = 0
}

// proved records that the member has proved its leadership to a statement sent
// at asked.
func (p *pool) proved(c *pooled, asked time.Duration, at group.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples.Observe(asked, at)
	p.setPrimary(c.member.ID, at.Term)
}

// committed records an acknowledged commit.
func (p *pool) committed(at group.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.Compare(p.acknowledged) > 0 {
		p.acknowledged = at
	}
}

// notPrimary records that a member which was taken for the primary is none.
func (p *pool) notPrimary(c *pooled) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.primary == c.member.ID {
		p.deposed, p.deposedTerm = p.primary, p.term
		p.primary = ""
		p.broadcast()
		p.events(poolEvent{group: p.name})
	}
}

// setPrimary takes up a primary that is proved by a term. The caller holds p.mu.
func (p *pool) setPrimary(id string, term uint64) bool {
	if term < p.term || (term == p.term && p.primary == id) {
		return false
	}
	if p.members[id] == nil || (id == p.deposed && term <= p.deposedTerm) {
		return false
	}
	former := p.members[p.primary]
	p.primary, p.term, p.changing = id, term, false
	if former != nil && former.ID != id {
		// Statements on a replaced primary are not answered with success any more.
		for c := range former.running {
			if !c.busySince.IsZero() && former.down {
				c.closed = true
				c.Close()
			}
		}
	}
	p.broadcast()
	p.dispatch()
	return true
}

// presume takes the only member that says that it leads for the primary, without
// a call: after a loss of power members may accept no further connection for
// seconds. Each write and strict read proves it. It reports false for a member
// that turned out not to lead.
func (p *pool) presume(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.primary != "" || id == p.deposed || p.members[id] == nil {
		return false
	}
	p.primary = id
	p.broadcast()
	p.dispatch()
	return true
}

// floor returns a position that covers the commits acknowledged before since.
func (p *pool) floor(since time.Duration) (group.Position, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.samples.FloorSince(since)
}
