package backend

import (
	"context"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// probe asks the member for its status at probeInterval, and earlier while reads
// wait for a replica, until the group is closed.
func (g *Group) probe(m *member) {
	defer g.running.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-timer.C:
		case <-m.kick:
		}
		askedAt := time.Now()
		g.probeOnce(m, askedAt)
		if !g.pause(minProbeInterval - time.Since(askedAt)) {
			return
		}
		timer.Reset(max(probeInterval-time.Since(askedAt), 0))
	}
}

func (g *Group) probeOnce(m *member, askedAt time.Time) {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	s, err := m.controls.call(ctx, group.StatusSQL())
	answeredAt := time.Now()
	if g.ctx.Err() != nil {
		return
	}
	if err == nil {
		g.observe(m, s, askedAt)
	}
	switch {
	case g.cfg.Events == nil:
	case err == nil:
		g.cfg.Events.OnStatus(g.cfg.Group, m.Name, s, askedAt, answeredAt)
	default:
		g.cfg.Events.OnProbeFailure(g.cfg.Group, m.Name, err, askedAt, answeredAt)
	}
}

// pause waits for d and returns false if the group is closed meanwhile.
func (g *Group) pause(d time.Duration) bool {
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

// kickProbes asks for a status of every member without waiting for the interval.
func (g *Group) kickProbes() {
	for _, m := range g.members {
		select {
		case m.kick <- struct{}{}:
		default:
		}
	}
}
