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
	// waitRetryDelay is the delay after a mulberry_wait call that did not confirm the
	// position.
	waitRetryDelay = 20 * time.Millisecond
	// waitResponseMargin is the time that a mulberry_wait call may take in addition
	// to waitCallTimeout.
	waitResponseMargin = 300 * time.Millisecond
)

// confirmer holds the commits that wait for confirmation by a majority of members.
// For each member, one goroutine waits until the member has received the highest
// pending position, so that the cost is per group instead of per commit. A confirmer
// is safe for concurrent use.
type confirmer struct {
	mu      sync.Mutex // guards commits, results and lastID
	commits *consistency.CommitTracker
	results map[uint64]chan consistency.CommitResult
	lastID  uint64
	// memberWakeups signals to the goroutine of each member that a commit was added.
	memberWakeups map[string]chan struct{}
}

func newConfirmer(members []Member) *confirmer {
	c := &confirmer{
		commits:       consistency.NewCommitTracker(len(members)),
		results:       map[uint64]chan consistency.CommitResult{},
		memberWakeups: map[string]chan struct{}{},
	}
	for _, m := range members {
		c.memberWakeups[m.Name] = make(chan struct{}, 1)
	}
	return c
}

// add registers the commit at p. result receives its outcome once that is decided.
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
	for _, wake := range c.memberWakeups {
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

// observe records a status and reports whether it completes the confirmation of the
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

func (c *confirmer) isTermConfirmed(term uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commits.IsTermConfirmed(term)
}

func (c *confirmer) waitTarget(member string) (group.Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commits.WaitTarget(member)
}

// Confirm returns nil once the write at p is durable on a majority of members in its
// term, or is part of the log of a later confirmed term. p is a position that the
// primary has reported for a commit. Confirm fails with the verdict NotRun if the
// write was discarded by a change of primary, and with MayHaveRun (08007) if the
// outcome is not known within 10 s or when the context ends. It is safe for
// concurrent use.
func (g *Group) Confirm(ctx context.Context, p group.Position) error {
	id, result := g.confirmer.add(p)
	defer g.confirmer.remove(id)
	timer := time.NewTimer(g.cfg.ConfirmTimeout)
	defer timer.Stop()
	select {
	case r := <-result:
		return commitError(r, p)
	case <-ctx.Done():
		return unknownOutcomeError("the request ended before the commit at %s was confirmed", p).WithCause(ctx.Err())
	case <-g.ctx.Done():
		return unknownOutcomeError("the instance stopped before the commit at %s was confirmed", p)
	case <-timer.C:
		return unknownOutcomeError("no majority confirmed the commit at %s within %s", p, g.cfg.ConfirmTimeout)
	}
}

// commitError returns the error of Confirm for the result of the commit at p.
func commitError(r consistency.CommitResult, p group.Position) error {
	switch r {
	case consistency.Acknowledged:
		return nil
	case consistency.Discarded:
		return verdict.New(verdict.NotRun, verdict.NoPrimary, "the commit at %s was discarded by a change of primary", p)
	default:
		return unknownOutcomeError("the primary changed more than once while the commit at %s was unconfirmed", p)
	}
}

func unknownOutcomeError(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, format, args...)
}

// waitForCommits calls mulberry_wait on the member for the highest pending position
// while there is one, until the group is closed.
func (g *Group) waitForCommits(m *member) {
	defer g.goroutines.Done()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.confirmer.memberWakeups[m.Name]:
		}
		for {
			p, ok := g.confirmer.waitTarget(m.Name)
			if !ok {
				break
			}
			if !g.awaitConfirmation(m, p) && !g.sleep(waitRetryDelay) {
				return
			}
		}
	}
}

// awaitConfirmation reports whether the member has confirmed p.
func (g *Group) awaitConfirmation(m *member, p group.Position) bool {
	ctx, cancel := context.WithTimeout(g.ctx, waitCallTimeout+waitResponseMargin)
	defer cancel()
	s, err := g.AwaitPosition(ctx, m.Name, p, waitCallTimeout)
	return err == nil && s.Confirms(p)
}
