package gateway

import (
	"context"
	"sync"
	"time"
)

// initialSyncTimeout is how long an instance that has started waits for the first answer of a
// peer before it serves clients. Clients wait up to 2 s for the start of a session.
const initialSyncTimeout = time.Second

// initialSync tells whether a process that has started has learned from a peer which commit
// fences stand, or knows that there are no peers.
type initialSync struct {
	done chan struct{}
	once sync.Once
}

func (s *initialSync) complete() { s.once.Do(func() { close(s.done) }) }

func (s *initialSync) isComplete() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// awaitInitialSync waits until a peer has told this process which commit fences stand. Its
// clients could otherwise get commits acknowledged that a promotion which is on its way
// discards. It waits no longer than initialSyncTimeout: the other instances may have stopped.
func (g *Gateway) awaitInitialSync(ctx context.Context) {
	if g.cfg.FirstStart {
		return // no promotion has been ordered before
	}
	timer := time.NewTimer(initialSyncTimeout)
	defer timer.Stop()
	select {
	case <-g.peers.initialSync.done:
	case <-timer.C:
		g.log.WithField("event", "initial-sync").Warn("no other instance has answered since the start; serving without its commit fences")
	case <-ctx.Done():
	}
}
