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
	// Weight is the workspace's part of a contended group; 0 means 1.
	Weight uint32
	// Database is the name of the database on the member, from the route.
	Database string
	// Read says that the transaction only reads, so that a replica may serve it.
	Read bool
	// Floor is the smallest position at which the session may read.
	Floor group.Position
	// MaxAge, if above 0, bounds the age of the data at the time of the call, in
	// addition to Floor. A session that accepts an age needs no sampled floor.
	MaxAge time.Duration
	// ReadWait is the time that a read waits for a fresh replica before it goes
	// to the primary; 0 means DefaultReadWait.
	ReadWait time.Duration
}

// waiter is a request that waits for a connection. result receives one grant.
type waiter struct {
	request  Request
	ageFloor group.Position
	member   *member
	result   chan grant
}

// grant is the end of a wait: a connection, an error, or neither when the
// request must choose its member again.
type grant struct {
	conn *Conn
	err  error
}

// acquisition is the state of one Acquire call.
type acquisition struct {
	request             Request
	started             time.Time
	readUntil, deadline time.Time
	ageKnown            bool
	ageFloor            group.Position
}

// Acquire returns a connection for one transaction. A write waits for the
// primary while there is none or writes are held; a read goes to a replica that
// is fresh enough, or to the primary. Then the request waits for its workspace's
// turn. It fails with 57P03 if there is no member for it within 8 s or too many
// requests wait for one, with 53300 if the queue for connections is full or does
// not move for 8 s, and with 57014 when the context ends; all with the verdict
// NotRun. Any goroutine may call it; the caller releases the connection.
func (g *Group) Acquire(ctx context.Context, r Request) (*Conn, error) {
	if ctx.Err() != nil {
		return nil, cancelled(ctx)
	}
	if r.ReadWait <= 0 {
		r.ReadWait = DefaultReadWait
	}
	now := time.Now()
	a := &acquisition{
		request: r, started: now, readUntil: now.Add(r.ReadWait), deadline: now.Add(g.cfg.HoldBound),
	}
	if r.Read && r.MaxAge > 0 {
		if err := g.proveAge(ctx, a); err != nil {
			return nil, err
		}
	}
	for {
		id, w, err := g.enqueue(ctx, a)
		if err != nil {
			return nil, err
		}
		if c, err := g.await(ctx, a, id, w); c != nil || err != nil {
			return c, err
		}
	}
}

// proveAge finds the floor that bounds the age of the data, by earlier samples or
// by a new one.
func (g *Group) proveAge(ctx context.Context, a *acquisition) (err error) {
	g.mu.Lock()
	a.ageFloor, a.ageKnown = g.ages.FloorSince(a.started.Add(-a.request.MaxAge))
	g.mu.Unlock()
	if !a.ageKnown {
		a.ageFloor, err = g.SampleFloor(ctx)
		a.ageKnown = err == nil
	}
	return err
}

// enqueue waits until there is a member for the request and queues it there.
func (g *Group) enqueue(ctx context.Context, a *acquisition) (uint64, *waiter, error) {
	held := false
	g.mu.Lock()
	defer func() {
		if held {
			g.held--
		}
		g.mu.Unlock()
	}()
	for {
		if g.isClosed {
			return 0, nil, g.closedError()
		}
		d := g.choose(a, time.Now())
		if d.Action == consistency.UseReplica || d.Action == consistency.UsePrimary {
			id, w := g.push(a, g.members[d.Member])
			return id, w, nil
		}
		if !held && g.held >= g.cfg.HeldLimit {
			return 0, nil, verdict.New(verdict.NotRun, verdict.NoPrimary,
				"group %s: %d requests already wait for a member", g.cfg.Group, g.held)
		}
		if !held {
			held = true
			g.held++
		}
		changed, until := g.viewChanged, a.deadline
		if a.request.Read {
			changed = g.statusChanged
		}
		if d.Action == consistency.AwaitReplica {
			until = a.readUntil
			g.kickProbes()
		}
		g.mu.Unlock()
		err := g.awaitChange(ctx, changed, until)
		g.mu.Lock()
		if err == nil && !time.Now().Before(a.deadline) {
			err = g.noMember(a)
		}
		if err != nil {
			return 0, nil, err
		}
	}
}

// choose decides where the request goes. The caller holds g.mu.
func (g *Group) choose(a *acquisition, now time.Time) consistency.Decision {
	r := &a.request
	if !r.Read {
		if g.takesWrites(r) {
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
			Name: m.Name, Zone: m.Zone, InService: m.inService, StatusKnown: m.known, Status: m.status,
			Load: load, Saturated: load >= m.limit(now), Overloaded: load >= 2*m.limit(now),
		})
	}
	return consistency.Choose(g.term(), candidates, consistency.Read{
		Floor: r.Floor, BoundsStaleness: r.MaxAge > 0, StalenessFloorKnown: a.ageKnown, StalenessFloor: a.ageFloor,
		Zone: g.cfg.Zone, MayWait: now.Before(a.readUntil),
	})
}

// push queues the request at the member. The caller holds g.mu.
func (g *Group) push(a *acquisition, m *member) (uint64, *waiter) {
	g.lastID++
	id := g.lastID
	w := &waiter{request: a.request, ageFloor: a.ageFloor, member: m, result: make(chan grant, 1)}
	g.waiters[id] = w
	m.waiting++
	m.waitingFor[a.request.Database]++
	refused, full := g.queue.Push(admission.Item{
		ID: id, Workspace: a.request.Workspace, Weight: a.request.Weight,
		Member: m.Name, Database: a.request.Database, Deadline: a.deadline,
	})
	if full {
		g.finish(refused.ID, grant{err: verdict.New(verdict.NotRun, verdict.QueueFull,
			"group %s: too many requests wait for a connection", g.cfg.Group)})
	}
	g.dispatch(m)
	return id, w
}

// finish ends a wait. The caller holds g.mu and has taken the item off the queue,
// or discards the queue.
func (g *Group) finish(id uint64, result grant) {
	if w := g.waiters[id]; w != nil {
		delete(g.waiters, id)
		w.member.waiting--
		w.member.waitingFor[w.request.Database]--
		w.result <- result
	}
}

// await waits for the grant of a queued request.
func (g *Group) await(ctx context.Context, a *acquisition, id uint64, w *waiter) (*Conn, error) {
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
		err = cancelled(ctx)
	case <-timer.C:
		err = verdict.New(verdict.NotRun, verdict.QueueFull,
			"group %s: no connection to member %s within %s", g.cfg.Group, w.member.Name, g.cfg.HoldBound)
	}
	g.mu.Lock()
	if g.queue.Remove(a.request.Workspace, id) {
		g.finish(id, grant{})
	}
	g.mu.Unlock()
	// A grant may have come before the removal.
	if r := <-w.result; r.conn != nil {
		r.conn.Release(true)
	}
	return nil, err
}

// awaitChange waits for a change, at most until the time given.
func (g *Group) awaitChange(ctx context.Context, changed <-chan struct{}, until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-g.ctx.Done():
		return g.closedError()
	case <-ctx.Done():
		return cancelled(ctx)
	}
	return nil
}

// noMember says why a request found no member. The caller holds g.mu.
func (g *Group) noMember(a *acquisition) error {
	what := "writes"
	if a.request.Read {
		what = "this read"
	}
	return verdict.New(verdict.NotRun, verdict.NoPrimary,
		"group %s: no member takes %s after %s", g.cfg.Group, what, g.cfg.HoldBound)
}
