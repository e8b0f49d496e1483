package backend

import "time"

// closeReplacedPrimaries closes the connections of transactions to former primaries
// that do not respond to status calls. A paused member keeps its connections open, so
// a statement would otherwise wait until the client times out. The session then
// reports what the loss of the connection means for its request. Connections to a
// former primary that responds stay open, because it fails commits by itself with a
// definite outcome. The caller holds g.mu.
func (g *Group) closeReplacedPrimaries(now time.Time) {
	if g.view.Primary == "" {
		return
	}
	for _, m := range g.members {
		if m.Name == g.view.Primary || now.Sub(m.statusReceivedAt) < maxStatusAge {
			continue
		}
		for c := range m.attached {
			if c.primaryTerm != 0 && c.primaryTerm < g.view.Term {
				_ = c.pooled.server.conn.Close() // the session sees the failure
			}
		}
	}
}
