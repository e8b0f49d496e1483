package consistency

import (
	"slices"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// CommitResult is what is known about the fate of a commit.
type CommitResult uint8

const (
	// Undecided means that more member statuses are needed.
	Undecided CommitResult = iota
	// Acknowledged means that the commit is durable on a majority of members in
	// its term, or is part of the log of a later confirmed term.
	Acknowledged
	// Discarded means that no later term can have the commit in its log.
	Discarded
	// Unknown means that a later term is confirmed, and that too little of the
	// terms before it was observed to tell whether its log contains the commit.
	Unknown
)

// CommitOutcome is the final result of one pending commit.
type CommitOutcome struct {
	ID     uint64
	Result CommitResult
}

// maxTermHistories bounds the terms that are kept. It is ample: terms change a few
// times a day, and commits are pending for seconds.
const maxTermHistories = 64

// termHistory is what the observed statuses say about one term.
type termHistory struct {
	// primary is the member that leads or led the term; empty if not observed.
	primary string
	// started is set once a member that holds an entry of the term was observed,
	// so that startIndex and previousTerm are known.
	started bool
	// startIndex is the index of the term's first entry, and previousTerm the
	// term of the entry before it.
	startIndex, previousTerm uint64
	// confirmedIndexes holds, by member, the highest index confirmed in the term.
	confirmedIndexes map[string]uint64
}

// CommitTracker decides the outcome of commits from the statuses of a group's members
// (docs/design.md, section 4). A member's confirmation stays valid when the
// member promises a higher term later. It is not safe for concurrent use.
type CommitTracker struct {
	members   int
	pending   map[uint64]group.Position
	histories map[uint64]*termHistory
}

// NewCommitTracker returns an empty set for a group with the given number of members.
func NewCommitTracker(members int) *CommitTracker {
	return &CommitTracker{members: members, pending: map[uint64]group.Position{}, histories: map[uint64]*termHistory{}}
}

// Add registers a commit that the primary has reported at position p. The commit
// stays pending if the result is Undecided.
func (c *CommitTracker) Add(id uint64, p group.Position) CommitResult {
	r := c.decide(p)
	if r == Undecided {
		c.pending[id] = p
	}
	return r
}

// Remove drops a pending commit whose result is no longer needed.
func (c *CommitTracker) Remove(id uint64) { delete(c.pending, id) }

// SetPrimary records the member that was promoted to primary in the term.
func (c *CommitTracker) SetPrimary(term uint64, member string) { c.historyOf(term).primary = member }

// Observe records a status, and removes and returns the pending commits whose
// outcome is now known.
func (c *CommitTracker) Observe(s group.Status) []CommitOutcome {
	if s.LogTerm != s.CurrentTerm {
		return nil
	}
	h := c.historyOf(s.CurrentTerm)
	if s.Role == group.Primary {
		h.primary = s.Member
	}
	h.started, h.startIndex, h.previousTerm = true, s.TermStart, s.PreviousTerm
	if s.PromisedTerm == s.CurrentTerm {
		h.confirmedIndexes[s.Member] = max(h.confirmedIndexes[s.Member], s.Received)
	}
	var outcomes []CommitOutcome
	for id, p := range c.pending {
		if r := c.decide(p); r != Undecided {
			outcomes = append(outcomes, CommitOutcome{id, r})
			delete(c.pending, id)
		}
	}
	return outcomes
}

// IsTermConfirmed reports whether a majority of members is known to have stored the
// first entry of the term.
func (c *CommitTracker) IsTermConfirmed(term uint64) bool {
	h := c.histories[term]
	return h != nil && c.isTermConfirmed(h)
}

// WaitTarget returns the highest pending position that the member has not confirmed,
// for a call that waits until the member has received it. It returns false if
// there is none.
func (c *CommitTracker) WaitTarget(member string) (group.Position, bool) {
	var target group.Position
	for _, p := range c.pending {
		if p.Compare(target) > 0 && !c.hasConfirmed(member, p) {
			target = p
		}
	}
	return target, !target.IsZero()
}

// hasConfirmed reports whether the member is known to have confirmed p. The
// primary of p's term confirmed p by reporting the commit: a primary that has
// promised a higher term fails every commit.
func (c *CommitTracker) hasConfirmed(member string, p group.Position) bool {
	h := c.histories[p.Term]
	return h != nil && (h.primary == member || h.confirmedIndexes[member] >= p.Index)
}

// hasMajority reports whether a majority of members has confirmed the index in
// the term. The primary of the term counts even without a status: it appends the
// first entry before it leads the term, and each commit before it reports it.
func (c *CommitTracker) hasMajority(h *termHistory, index uint64) bool {
	votes := 0
	if h.primary != "" {
		votes++
	}
	for member, confirmed := range h.confirmedIndexes {
		if member != h.primary && confirmed >= index {
			votes++
		}
	}
	return votes >= group.Majority(c.members)
}

// decide derives the result of the commit at p from the terms observed so far.
func (c *CommitTracker) decide(p group.Position) CommitResult {
	if h := c.histories[p.Term]; h != nil && c.hasMajority(h, p.Index) {
		return Acknowledged
	}
	result := Undecided
	for term, h := range c.histories {
		if term > p.Term && c.isTermConfirmed(h) && (result == Undecided || result == Unknown) {
			result = c.resultFromHistory(h, p)
		}
	}
	return result
}

// isTermConfirmed reports whether a majority of members has confirmed the first
// entry of the term. The log of every later term then contains that entry and
// all entries before it.
func (c *CommitTracker) isTermConfirmed(h *termHistory) bool {
	return h.started && c.hasMajority(h, h.startIndex)
}

// resultFromHistory derives the result of the commit at p from the log that ends
// with the first entry of the confirmed term h. It follows the previous terms back
// to p's term, as far as they were observed. Terms do not decrease along a log,
// so a log that goes from a term below p's to one above it has no entry of p's
// term.
func (c *CommitTracker) resultFromHistory(h *termHistory, p group.Position) CommitResult {
	for h.previousTerm > p.Term {
		previous := c.histories[h.previousTerm]
		if previous == nil || !previous.started || previous.previousTerm >= h.previousTerm {
			return Unknown
		}
		h = previous
	}
	if h.previousTerm == p.Term && p.Index < h.startIndex {
		return Acknowledged
	}
	return Discarded
}

// historyOf returns the history of the term. It creates a missing one, and drops
// the lowest term if that makes more than maxTermHistories.
func (c *CommitTracker) historyOf(number uint64) *termHistory {
	h := c.histories[number]
	if h != nil {
		return h
	}
	h = &termHistory{confirmedIndexes: map[string]uint64{}}
	c.histories[number] = h
	if len(c.histories) > maxTermHistories {
		numbers := make([]uint64, 0, len(c.histories))
		for n := range c.histories {
			numbers = append(numbers, n)
		}
		delete(c.histories, slices.Min(numbers))
	}
	return h
}
