package backend

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// startOpening begins to open a connection to the database if the budget and the
// rate of opening allow it. Within a full budget an idle connection to another
// database makes room. If only time is missing it arranges for another dispatch.
// The caller holds g.mu.
func (g *Group) startOpening(m *member, database string, now time.Time) bool {
	limit := m.limit(now)
	room := slices.IndexFunc(m.idle, func(p *pooled) bool { return p.database != database })
	if limit == 0 || (m.open+m.opening >= limit && (m.opening > 0 || room < 0)) {
		return false
	}
	if now.Before(m.retryAt) {
		g.dispatchLater(m, m.retryAt.Sub(now))
		return false
	}
	if wait, ok := m.rate.Take(now); !ok {
		g.dispatchLater(m, wait)
		return false
	}
	if m.open+m.opening >= limit {
		p := m.idle[room]
		m.idle = slices.Delete(m.idle, room, room+1)
		g.closePooled(p)
	}
	m.opening++
	m.openingTo[database]++
	g.running.Add(1)
	go g.open(m, database)
	return true
}

// dispatchLater dispatches the member's requests again after d. The caller holds g.mu.
func (g *Group) dispatchLater(m *member, d time.Duration) {
	if m.timer != nil {
		return
	}
	m.timer = time.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		m.timer = nil
		if !g.isClosed {
			g.dispatch(m)
		}
	})
}

// openWarm opens connections up to the limit, spread evenly over the databases,
// so that no transaction waits for one. The caller holds g.mu.
func (g *Group) openWarm(m *member, now time.Time) {
	if len(g.cfg.Databases) == 0 {
		return
	}
	for m.open+m.opening < m.limit(now) && !now.Before(m.retryAt) {
		fewest := slices.MinFunc(g.cfg.Databases, func(a, b string) int {
			return m.openTo[a] + m.openingTo[a] - m.openTo[b] - m.openingTo[b]
		})
		if !g.startOpening(m, fewest, now) {
			return
		}
	}
}

// open opens a connection and puts it into the pool.
func (g *Group) open(m *member, database string) {
	defer g.running.Done()
	ctx, cancel := context.WithTimeout(g.ctx, dialTimeout)
	defer cancel()
	p, err := g.connectPooled(ctx, m, database)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.opening--
	m.openingTo[database]--
	if err != nil {
		g.openFailed(m, database, err)
		return
	}
	m.failures = 0
	if g.isClosed || !m.inService || m.open >= m.budget {
		p.wire.terminate()
		return
	}
	m.open++
	m.openTo[database]++
	m.idle = append(m.idle, p)
	g.dispatch(m)
}

func (g *Group) connectPooled(ctx context.Context, m *member, database string) (*pooled, error) {
	w, err := connect(ctx, &g.cfg, m.Address, map[string]string{"database": database})
	if err != nil {
		return nil, err
	}
	incarnation, err := strconv.ParseUint(w.params[group.ParamIncarnation], 10, 64)
	if err != nil {
		w.terminate()
		return nil, errors.Wrapf(err, "member %s: parameter %s", m.Name, group.ParamIncarnation)
	}
	return &pooled{
		wire: w, member: m, database: database, incarnation: incarnation,
		openedAt: time.Now(), prepared: map[string]struct{}{},
	}, nil
}

// openFailed delays the next attempt. Requests for a database that the member
// does not have are refused; reads choose again if the member has no connection
// at all. The caller holds g.mu.
func (g *Group) openFailed(m *member, database string, err error) {
	if g.isClosed {
		return
	}
	backoff := min(openBackoff<<min(m.failures, 10), maxOpenBackoff)
	m.failures++
	m.retryAt = time.Now().Add(backoff)
	g.log(m).WithError(err).WithField("database", database).Warn("cannot open a connection")
	var refused *ServerError
	if errors.As(err, &refused) && isPermanent(refused.Code) {
		g.refuseDatabase(m, database, err)
	}
	g.moveWaiters()
	g.dispatchLater(m, backoff)
}

// isPermanent reports whether a refused start-up will be refused again: an
// unknown database (class 3D) or wrong credentials (class 28).
func isPermanent(code string) bool {
	return strings.HasPrefix(code, "3D") || strings.HasPrefix(code, "28")
}

// refuseDatabase ends the waits for connections to the database. The caller
// holds g.mu.
func (g *Group) refuseDatabase(m *member, database string, cause error) {
	refusal := verdict.New(verdict.NotRun, verdict.ConnectionFailure,
		"member %s refuses connections to database %q", m.Name, database).WithCause(cause)
	for id, w := range g.waiters {
		if w.member == m && w.request.Database == database && g.queue.Remove(w.request.Workspace, id) {
			g.finish(id, grant{err: refusal})
		}
	}
}
