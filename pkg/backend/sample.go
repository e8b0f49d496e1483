package backend

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// sampleRetry is the pause after a round that did not give a position.
const sampleRetry = 20 * time.Millisecond

// round is one sample of the group. done is closed when position and ok are set.
type round struct {
	done     chan struct{}
	position group.Position
	ok       bool
}

// sampler groups requests for the primary's position: a round serves all
// requests that were made before it was started. Any goroutine may call it.
type sampler struct {
	mu      sync.Mutex // guards next and running
	next    *round     // has waiters and is not started
	running bool
}

// SampleFloor returns a position at or above every write that was acknowledged
// before the call. It asks all members and needs a majority that follows the
// primary's term, the primary included. It fails with 57P03 if there is no such
// majority within 8 s. Any goroutine may call it.
func (g *Group) SampleFloor(ctx context.Context) (group.Position, error) {
	bound := time.NewTimer(g.cfg.HoldBound)
	defer bound.Stop()
	for {
		r := g.joinRound()
		select {
		case <-r.done:
			if r.ok {
				return r.position, nil
			}
		case <-ctx.Done():
			return group.Position{}, cancelled(ctx)
		case <-g.ctx.Done():
			return group.Position{}, g.closedError()
		case <-bound.C:
			return group.Position{}, verdict.New(verdict.NotRun, verdict.NoPrimary,
				"group %s: no majority of members follows a primary", g.cfg.Group)
		}
	}
}

// joinRound returns the round that starts next, and starts it if none is running.
func (g *Group) joinRound() *round {
	s := &g.sampler
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &round{done: make(chan struct{})}
	}
	r := s.next
	if !s.running {
		s.running = true
		go g.runRounds()
	}
	return r
}

// runRounds runs rounds one after the other until nobody waits for one.
func (g *Group) runRounds() {
	s := &g.sampler
	for {
		s.mu.Lock()
		r := s.next
		s.next = nil
		if r == nil {
			s.running = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		r.position, r.ok = g.sample()
		if !r.ok {
			g.pause(sampleRetry)
		}
		close(r.done)
	}
}

// sample asks all members for their status at once and returns the received
// position of the primary that a majority follows. It returns as soon as the
// majority is known, and leaves slower members to their timeout.
func (g *Group) sample() (group.Position, bool) {
	statuses := make(chan *group.Status, len(g.members))
	for _, m := range g.members {
		go func() {
			ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
			defer cancel()
			s, err := g.controlCall(ctx, m.Name, group.StatusSQL())
			if err != nil {
				statuses <- nil
				return
			}
			statuses <- &s
		}()
	}
	follows := map[uint64]int{}
	primaries := map[uint64]group.Position{}
	for range g.members {
		s := <-statuses
		if s == nil || s.PromisedTerm != s.CurrentTerm {
			continue
		}
		follows[s.CurrentTerm]++
		if s.Role == group.Primary {
			primaries[s.CurrentTerm] = s.ReceivedPosition()
		}
		p, ok := primaries[s.CurrentTerm]
		if ok && follows[s.CurrentTerm] >= group.Majority(len(g.members)) {
			return p, true
		}
	}
	return group.Position{}, false
}
