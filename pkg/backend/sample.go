package backend

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// sampleRetryDelay is the delay after a round that did not yield a position.
const sampleRetryDelay = 20 * time.Millisecond

// sampleRound is one sample of all members. done is closed after position and ok have
// been set.
type sampleRound struct {
	done     chan struct{}
	position group.Position
	ok       bool
}

// positionSampler shares samples of the primary's position among requests: one round
// serves all requests that were made before it started. It is safe for concurrent
// use.
type positionSampler struct {
	mu        sync.Mutex   // guards next and running
	nextRound *sampleRound // has waiters and is not started
	running   bool
}

// SampleFloor returns a position that is not below any write acknowledged before the
// call. It requests the status of all members and needs a majority that follows the
// term of the primary, including the primary. It fails with 57P03 if there is no such
// majority within 8 s. It is safe for concurrent use.
func (g *Group) SampleFloor(ctx context.Context) (group.Position, error) {
	bound := time.NewTimer(g.cfg.AcquireTimeout)
	defer bound.Stop()
	for {
		r := g.joinRound()
		select {
		case <-r.done:
			if r.ok {
				return r.position, nil
			}
		case <-ctx.Done():
			return group.Position{}, cancelledError(ctx)
		case <-g.ctx.Done():
			return group.Position{}, g.closedError()
		case <-bound.C:
			return group.Position{}, verdict.New(verdict.NotRun, verdict.NoPrimary,
				"group %s: no majority of members follows a primary", g.cfg.Group)
		}
	}
}

// joinRound returns the next round to start, and starts it if no round is running.
func (g *Group) joinRound() *sampleRound {
	s := &g.sampler
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextRound == nil {
		s.nextRound = &sampleRound{done: make(chan struct{})}
	}
	r := s.nextRound
	if !s.running {
		s.running = true
		go g.runRounds()
	}
	return r
}

// runRounds executes rounds one after the other until no request waits for one.
func (g *Group) runRounds() {
	s := &g.sampler
	for {
		s.mu.Lock()
		r := s.nextRound
		s.nextRound = nil
		if r == nil {
			s.running = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		r.position, r.ok = g.sample()
		if !r.ok {
			g.sleep(sampleRetryDelay)
		}
		close(r.done)
	}
}

// sample requests the status of all members concurrently and returns the received
// position of the primary that a majority follows. It returns as soon as that
// majority is known; calls to slower members continue until their timeout.
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
	followerCounts := map[uint64]int{}
	primaryPositions := map[uint64]group.Position{}
	for range g.members {
		s := <-statuses
		if s == nil || s.PromisedTerm != s.CurrentTerm {
			continue
		}
		followerCounts[s.CurrentTerm]++
		if s.Role == group.Primary {
			primaryPositions[s.CurrentTerm] = s.ReceivedPosition()
		}
		p, ok := primaryPositions[s.CurrentTerm]
		if ok && followerCounts[s.CurrentTerm] >= group.Majority(len(g.members)) {
			return p, true
		}
	}
	return group.Position{}, false
}
