package backend

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

const (
	// waitRetry is the pause after a wait that did not confirm its position.
	waitRetry = 20 * time.Millisecond
	// waitSlack is the time beyond waitCallTimeout that a wait may take.
	waitSlack = 300 * time.Millisecond
)

// confirmer holds the commits that wait for a majority. One waiter per member
// asks for the highest pending position, so the cost is per group and not per
// commit. Any goroutine may call it.
type confirmer struct {
	mu      sync.Mutex // guards commits, results and lastID
	commits *consistency.CommitTracker
	results map[uint64]chan consistency.CommitResult
	lastID  uint64
	// wake tells the waiter of each member that a commit was added.
	wake map[string]chan struct{}
}

func newConfirmer(members []Member) *confirmer {
	c := &confirmer{
		commits: consistency.NewCommitTracker(len(members)),
		results: map[uint64]chan consistency.CommitResult{},
		wake:    map[string]chan struct{}{},
	}
	for _, m := range members {
		c.wake[m.Name] = make(chan struct{}, 1)
	}
	return c
}

func (c *confirmer) add(p group.Position) (id uint64, result chan consistency.CommitResult) {
	result = make(chan consistency.CommitResult, 1)
	c.mu.Lock()
	c.lastID++
	id = c.lastID
	if r := c.commits.Add(id, p); r != consistency.Undecided {
		result <- r
	} else {
		c.results[id] = result
	}
	c.mu.Unlock()
	for _, wake := range c.wake {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	return id, result
}

func (c *confirmer) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commits.Remove(id)
	delete(c.results, id)
}

// observe records a status, and reports whether it is the one that confirms the
// first entry of the member's term.
func (c *confirmer) observe(s group.Status) (confirmsTerm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.commits.IsTermConfirmed(s.CurrentTerm)
	for _, o := range c.commits.Observe(s) {
		c.results[o.ID] <- o.Result
		delete(c.results, o.ID)
	}
	return !before && c.commits.IsTermConfirmed(s.CurrentTerm)
}

func (c *confirmer) setPrimary(term uint64, member string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commits.SetPrimary(term, member)
}

func (c *confirmer) confirmed(term uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commits.IsTermConfirmed(term)
}

func (c *confirmer) target(member string) (group.Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commits.WaitTarget(member)
}

// Confirm returns nil once the write at p is durable on a majority of members in
// its term, or is part of the history of a later confirmed term. Otherwise it
// fails with the verdict NotRun if the write was discarded by a change of
// primary, and with MayHaveRun (08007) if the outcome is not known within 10 s
// or within the context. p is a position that the primary has reported for a
// commit. Any goroutine may call it.
func (g *Group) Confirm(ctx context.Context, p group.Position) error {
	id, result := g.confirmer.add(p)
	defer g.confirmer.remove(id)
	timer := time.NewTimer(g.cfg.ConfirmBound)
	defer timer.Stop()
	select {
	case r := <-result:
		return outcome(r, p)
	case <-ctx.Done():
		return unknownOutcome("the request ended before the commit at %s was confirmed", p).WithCause(ctx.Err())
	case <-g.ctx.Done():
		return unknownOutcome("the instance stopped before the commit at %s was confirmed", p)
	case <-timer.C:
		return unknownOutcome("no majority confirmed the commit at %s within %s", p, g.cfg.ConfirmBound)
	}
}

func outcome(r consistency.CommitResult, p group.Position) error {
	switch r {
	case consistency.Acknowledged:
		return nil
	case consistency.Discarded:
		return verdict.New(verdict.NotRun, verdict.NoPrimary, "the commit at %s was discarded by a change of primary", p)
	default:
		return unknownOutcome("the primary changed more than once while the commit at %s was held", p)
	}
}

func unknownOutcome(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, format, args...)
}

// awaitCommits asks the member to wait for the highest pending position, as long
// as there is one, until the group is closed.
func (g *Group) awaitCommits(m *member) {
	defer g.running.Done()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.confirmer.wake[m.Name]:
		}
		for {
			p, ok := g.confirmer.target(m.Name)
			if !ok {
				break
			}
			if !g.awaitPosition(m, p) && !g.pause(waitRetry) {
				return
			}
		}
	}
}

// awaitPosition reports whether the member has confirmed p.
func (g *Group) awaitPosition(m *member, p group.Position) bool {
	ctx, cancel := context.WithTimeout(g.ctx, waitCallTimeout+waitSlack)
	defer cancel()
	s, err := g.Wait(ctx, m.Name, p, waitCallTimeout)
	return err == nil && s.Confirms(p)
}
