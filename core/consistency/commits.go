package consistency

import (
	"slices"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// Result says what has become of a commit.
type Result uint8

// The results of a commit.
const (
	// Undecided commits wait for further statuses.
	Undecided Result = iota
	// Acknowledged commits are durable on a majority in their term, or are part
	// of the history of a later confirmed term.
	Acknowledged
	// Discarded commits are in no history that a later term can have.
	Discarded
	// Unknown commits may or may not be part of the confirmed history.
	Unknown
)

// Outcome is the result of one commit.
type Outcome struct {
	ID     uint64
	Result Result
}

// keptTerms is the number of terms whose history is kept. Terms change a few
// times a day, and commits are pending for seconds.
const keptTerms = 64

// history is what statuses have shown about one term.
type history struct {
	// primary is the member that led the term; empty if not seen.
	primary string
	// started says that a member holding an entry of the term was seen, so that
	// start and previous are known.
	started         bool
	start, previous uint64
	// confirmed is the highest index that each member has confirmed in the term.
	confirmed map[string]uint64
}

// Commits decides the outcome of commits from the statuses of a group's members
// (docs/design.md, section 4). A confirmation is a fact about the past and stays
// valid when the member later promises a higher term. Its owner serializes the
// calls.
type Commits struct {
	members int
	pending map[uint64]group.Position
	terms   map[uint64]*history
}

// NewCommits returns an empty set for a group with the number of members.
func NewCommits(members int) *Commits {
	return &Commits{members: members, pending: map[uint64]group.Position{}, terms: map[uint64]*history{}}
}

// Add adds a commit whose position the primary has reported. The result is
// Undecided if the commit stays pending.
func (c *Commits) Add(id uint64, p group.Position) Result {
	r := c.decide(p)
	if r == Undecided {
		c.pending[id] = p
	}
	return r
}

// Remove drops a pending commit that nobody waits for any more.
func (c *Commits) Remove(id uint64) { delete(c.pending, id) }

// SetPrimary records which member was promoted in the term.
func (c *Commits) SetPrimary(term uint64, member string) { c.term(term).primary = member }

// Observe records a status and returns the commits that it decides.
func (c *Commits) Observe(s group.Status) []Outcome {
	if s.LogTerm != s.CurrentTerm {
		return nil
	}
	h := c.term(s.CurrentTerm)
	if s.Role == group.Primary {
		h.primary = s.Member
	}
	h.started, h.start, h.previous = true, s.TermStart, s.PreviousTerm
	if s.PromisedTerm == s.CurrentTerm {
		h.confirmed[s.Member] = max(h.confirmed[s.Member], s.Received)
	}
	var outcomes []Outcome
	for id, p := range c.pending {
		if r := c.decide(p); r != Undecided {
			outcomes = append(outcomes, Outcome{id, r})
			delete(c.pending, id)
		}
	}
	return outcomes
}

// Confirmed reports whether a majority is known to have held the first entry of
// the term.
func (c *Commits) Confirmed(term uint64) bool {
	h := c.terms[term]
	return h != nil && c.isConfirmed(h)
}

// Target returns the position that the member is to be asked to wait for: the
// highest pending position that the member has not confirmed.
func (c *Commits) Target(member string) (group.Position, bool) {
	var target group.Position
	for _, p := range c.pending {
		if p.Compare(target) > 0 && !c.confirms(member, p) {
			target = p
		}
	}
	return target, !target.IsZero()
}

// confirms reports whether the member is known to have confirmed p. The primary
// of p's term confirmed p when it reported the commit, because a primary that
// has promised a higher term fails every commit.
func (c *Commits) confirms(member string, p group.Position) bool {
	h := c.terms[p.Term]
	return h != nil && (h.primary == member || h.confirmed[member] >= p.Index)
}

// hasMajority reports whether a majority has confirmed the index in the term. The
// primary of the term counts without a status of its own: it has appended the
// first entry to lead the term, and each commit before reporting it.
func (c *Commits) hasMajority(h *history, index uint64) bool {
	votes := 0
	if h.primary != "" {
		votes++
	}
	for member, confirmed := range h.confirmed {
		if member != h.primary && confirmed >= index {
			votes++
		}
	}
	return votes >= group.Majority(c.members)
}

func (c *Commits) decide(p group.Position) Result {
	if h := c.terms[p.Term]; h != nil && c.hasMajority(h, p.Index) {
		return Acknowledged
	}
	result := Undecided
	for term, h := range c.terms {
		if term > p.Term && c.isConfirmed(h) && (result == Undecided || result == Unknown) {
			result = c.inHistory(h, p)
		}
	}
	return result
}

// isConfirmed reports whether a majority has confirmed the first entry of the
// term. Every later term then contains the term's history.
func (c *Commits) isConfirmed(h *history) bool {
	return h.started && c.hasMajority(h, h.start)
}

// inHistory decides p by the confirmed history that h begins, going back over
// the terms in between as far as they were seen. Terms do not decrease along a
// log, so a history whose previous term is below p's holds no entry of p's term.
func (c *Commits) inHistory(h *history, p group.Position) Result {
	for h.previous > p.Term {
		before := c.terms[h.previous]
		if before == nil || !before.started || before.previous >= h.previous {
			return Unknown
		}
		h = before
	}
	if h.previous == p.Term && p.Index < h.start {
		return Acknowledged
	}
	return Discarded
}

// term returns the history of the term, and drops the oldest beyond keptTerms.
func (c *Commits) term(number uint64) *history {
	h := c.terms[number]
	if h != nil {
		return h
	}
	h = &history{confirmed: map[string]uint64{}}
	c.terms[number] = h
	if len(c.terms) > keptTerms {
		numbers := make([]uint64, 0, len(c.terms))
		for n := range c.terms {
			numbers = append(numbers, n)
		}
		delete(c.terms, slices.Min(numbers))
	}
	return h
}
