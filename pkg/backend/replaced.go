package backend

import "time"

// endReplaced closes the connections to former primaries that do not answer
// status calls. A statement on such a connection would otherwise wait until the
// client gives up: a paused member keeps its connections open. The session then
// reports what the closed connection means for its request. A former primary that
// answers is left alone, because it fails commits by itself with a definite
// outcome. The caller holds g.mu.
func (g *Group) endReplaced(now time.Time) {
	if g.view.Primary == "" {
		return
	}
	for _, m := range g.members {
		if m.Name == g.view.Primary || now.Sub(m.answeredAt) < statusLifetime {
			continue
		}
		for c := range m.attached {
			if c.primaryTerm != 0 && c.primaryTerm < g.view.Term {
				_ = c.pooled.wire.conn.Close() // the session sees the failure
			}
		}
	}
}
