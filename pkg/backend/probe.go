package backend

import (
	"context"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// probeLoop requests the member's status every probeInterval, and earlier while reads
// wait for a replica, until the group is closed.
func (g *Group) probeLoop(m *member) {
	defer g.goroutines.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-timer.C:
		case <-m.probeNow:
		}
		requestedAt := time.Now()
		g.probeOnce(m, requestedAt)
		if !g.sleep(minProbeInterval - time.Since(requestedAt)) {
			return
		}
		timer.Reset(max(probeInterval-time.Since(requestedAt), 0))
	}
}

// probeOnce requests a status, records it, and reports the result to Config.Events.
func (g *Group) probeOnce(m *member, requestedAt time.Time) {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	s, err := m.controls.call(ctx, group.StatusSQL())
	receivedAt := time.Now()
	if g.ctx.Err() != nil {
		return
	}
	if err == nil {
		g.observe(m, s, requestedAt)
	}
	switch {
	case g.cfg.Events == nil:
	case err == nil:
		g.cfg.Events.OnStatus(g.cfg.Group, m.Name, s, requestedAt, receivedAt)
	default:
		g.cfg.Events.OnProbeFailure(g.cfg.Group, m.Name, err, requestedAt, receivedAt)
	}
}

// sleep waits for d. It returns false if the group is closed before.
func (g *Group) sleep(d time.Duration) bool {
	if d <= 0 {
		return g.ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-g.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// requestProbes starts a probe of each member without waiting for the interval.
func (g *Group) requestProbes() {
	for _, m := range g.members {
		select {
		case m.probeNow <- struct{}{}:
		default:
		}
	}
}
