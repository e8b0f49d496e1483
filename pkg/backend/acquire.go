package backend

import (
	"context"
	"time"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// Request describes a transaction that needs a connection.
type Request struct {
	Workspace string
	// Weight is the workspace's share of a contended group relative to other
	// workspaces; 0 means 1.
	Weight uint32
	// Database is the name of the database on the member, as in the route.
	Database string
	// Read is set if the transaction only reads, so that a replica may serve it.
	Read bool
	// Floor is the lowest position from which the session may read.
	Floor group.Position
	// MaxAge, if above 0, bounds the staleness of the data relative to the time of
	// the call, in addition to Floor. A session that accepts stale data needs no
	// sampled floor.
	MaxAge time.Duration
	// ReadWait bounds the wait of a read for a replica that is fresh enough, after
	// which the read goes to the primary; 0 means DefaultReadWait.
	ReadWait time.Duration
}

// waiter is a request that waits for a connection. result receives one grant.
type waiter struct {
	request        Request
	stalenessFloor group.Position
	member         *member
	result         chan grant
}

// grant ends the wait of a request. It holds a connection or an error, or neither if
// a member must be chosen for the request again.
type grant struct {
	conn *Conn
	err  error
}

// acquisition is the state of one Acquire call.
type acquisition struct {
	request                   Request
	started                   time.Time
	replicaDeadline, deadline time.Time
	stalenessFloorKnown       bool
	stalenessFloor            group.Position
}

// Acquire returns a connection for one transaction, which the caller must release.
// A write is held while there is no primary or while View.HoldWrites is set. A read goes
// to a replica that is fresh enough, or else to the primary. At the member, the
// request waits for its turn in the fair queue.
//
// Acquire fails with 57P03 if there is no member for the request within 8 s or too
// many requests are held, with 53300 if the queue is full or if the member has no
// free connection within these 8 s, and with 57014 if the context ends. The verdict
// is always NotRun. Acquire is safe for concurrent use.
func (g *Group) Acquire(ctx context.Context, r Request) (*Conn, error) {
	if ctx.Err() != nil {
		return nil, cancelledError(ctx)
	}
	if r.ReadWait <= 0 {
		r.ReadWait = DefaultReadWait
	}
	now := time.Now()
	a := &acquisition{
		request: r, started: now, replicaDeadline: now.Add(r.ReadWait), deadline: now.Add(g.cfg.AcquireTimeout),
	}
	if r.Read && r.MaxAge > 0 {
		if err := g.findStalenessFloor(ctx, a); err != nil {
			return nil, err
		}
	}
	for {
		id, w, err := g.awaitMember(ctx, a)
		if err != nil {
			return nil, err
		}
		if c, err := g.awaitGrant(ctx, a, id, w); c != nil || err != nil {
			return c, err
		}
	}
}

// findStalenessFloor determines the floor that enforces the staleness bound, from
// earlier statuses or from a new sample.
func (g *Group) findStalenessFloor(ctx context.Context, a *acquisition) (err error) {
	g.mu.Lock()
	a.stalenessFloor, a.stalenessFloorKnown = g.stalenessTracker.FloorSince(a.started.Add(-a.request.MaxAge))
	g.mu.Unlock()
	if !a.stalenessFloorKnown {
		a.stalenessFloor, err = g.SampleFloor(ctx)
		a.stalenessFloorKnown = err == nil
	}
	return err
}

// awaitMember waits until a member can be chosen for the request and queues it there.
func (g *Group) awaitMember(ctx context.Context, a *acquisition) (uint64, *waiter, error) {
	held := false
	g.mu.Lock()
	defer func() {
		if held {
			g.heldRequests--
		}
		g.mu.Unlock()
	}()
	for {
		if g.isClosed {
			return 0, nil, g.closedError()
		}
		d := g.chooseMember(a, time.Now())
		if d.Action == consistency.UseReplica || d.Action == consistency.UsePrimary {
			id, w := g.enqueue(a, g.members[d.Member])
			return id, w, nil
		}
		if !held && g.heldRequests >= g.cfg.HeldRequestLimit {
			return 0, nil, verdict.New(verdict.NotRun, verdict.NoPrimary,
				"group %s: %d requests already wait for a member", g.cfg.Group, g.heldRequests)
		}
		if !held {
			held = true
			g.heldRequests++
		}
		changed, until := g.viewChanged, a.deadline
		if a.request.Read {
			changed = g.statusChanged
		}
		if d.Action == consistency.AwaitReplica {
			until = a.replicaDeadline
			g.requestProbes()
		}
		g.mu.Unlock()
		err := g.awaitChange(ctx, changed, until)
		g.mu.Lock()
		if err == nil && !time.Now().Before(a.deadline) {
			err = g.noMemberError(a)
		}
		if err != nil {
			return 0, nil, err
		}
	}
}

// chooseMember decides which member gets the request. The caller holds g.mu.
func (g *Group) chooseMember(a *acquisition, now time.Time) consistency.Decision {
	r := &a.request
	if !r.Read {
		if g.acceptsWrite(r) {
			return consistency.Decision{Action: consistency.UsePrimary, Member: g.view.Primary}
		}
		return consistency.Decision{Action: consistency.AwaitPrimary}
	}
	candidates := make([]consistency.Member, 0, len(g.members))
	for _, m := range g.members {
		if m.Name != g.view.Primary && !m.isUsable(now) {
			continue
		}
		load := len(m.attached) + m.waiting
		candidates = append(candidates, consistency.Member{
			Name: m.Name, Zone: m.Zone, InService: m.inService, StatusKnown: m.statusKnown, Status: m.status,
			Load: load, Saturated: load >= m.limit(now), Overloaded: load >= 2*m.limit(now),
		})
	}
	return consistency.Choose(g.term(), candidates, consistency.Read{
		Floor: r.Floor, BoundsStaleness: r.MaxAge > 0, StalenessFloorKnown: a.stalenessFloorKnown, StalenessFloor: a.stalenessFloor,
		Zone: g.cfg.Zone, MayWait: now.Before(a.replicaDeadline),
	})
}

// enqueue adds the request to the queue for the member. The caller holds g.mu.
func (g *Group) enqueue(a *acquisition, m *member) (uint64, *waiter) {
	g.lastWaiterID++
	id := g.lastWaiterID
	w := &waiter{request: a.request, stalenessFloor: a.stalenessFloor, member: m, result: make(chan grant, 1)}
	g.waiters[id] = w
	m.waiting++
	m.waitingByDatabase[a.request.Database]++
	refused, full := g.queue.Push(admission.Item{
		ID: id, Workspace: a.request.Workspace, Weight: a.request.Weight,
		Member: m.Name, Database: a.request.Database, Deadline: a.deadline,
	})
	if full {
		g.endWait(refused.ID, grant{err: verdict.New(verdict.NotRun, verdict.QueueFull,
			"group %s: too many requests wait for a connection", g.cfg.Group)})
	}
	g.dispatch(m)
	return id, w
}

// endWait passes the result to the waiting request. The caller holds g.mu and has
// removed the item from the queue, or discards the whole queue.
func (g *Group) endWait(id uint64, result grant) {
	if w := g.waiters[id]; w != nil {
		delete(g.waiters, id)
		w.member.waiting--
		w.member.waitingByDatabase[w.request.Database]--
		w.result <- result
	}
}

// awaitGrant waits for the result of a queued request. It returns neither a connection
// nor an error if a member must be chosen again.
func (g *Group) awaitGrant(ctx context.Context, a *acquisition, id uint64, w *waiter) (*Conn, error) {
	select {
	case r := <-w.result:
		return r.conn, r.err
	default:
	}
	timer := time.NewTimer(time.Until(a.deadline))
	defer timer.Stop()
	var err error
	select {
	case r := <-w.result:
		return r.conn, r.err
	case <-ctx.Done():
		err = cancelledError(ctx)
	case <-timer.C:
		err = verdict.New(verdict.NotRun, verdict.QueueFull,
			"group %s: no connection to member %s within %s", g.cfg.Group, w.member.Name, g.cfg.AcquireTimeout)
	}
	g.mu.Lock()
	if g.queue.Remove(a.request.Workspace, id) {
		g.endWait(id, grant{})
	}
	g.mu.Unlock()
	// A connection may have been granted before the item was removed.
	if r := <-w.result; r.conn != nil {
		r.conn.Release(true)
	}
	return nil, err
}

// awaitChange waits until the channel is closed or the time is reached.
func (g *Group) awaitChange(ctx context.Context, changed <-chan struct{}, until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-g.ctx.Done():
		return g.closedError()
	case <-ctx.Done():
		return cancelledError(ctx)
	}
	return nil
}

// noMemberError is the error of a request for which no member could be chosen in time.
func (g *Group) noMemberError(a *acquisition) error {
	what := "writes"
	if a.request.Read {
		what = "this read"
	}
	return verdict.New(verdict.NotRun, verdict.NoPrimary,
		"group %s: no member takes %s after %s", g.cfg.Group, what, g.cfg.AcquireTimeout)
}
