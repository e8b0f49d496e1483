package promotion

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// CommitFence keeps acknowledgements of a primary that is being replaced from clients unless
// the successor has the commits. Members that the promoter does not know, or that join while
// an order is on its way, may let the primary acknowledge commits that the successor lacks.
// An instance passes on an acknowledgement behind the fence only if the successor has received
// the commit, and sends the primary no commits if it cannot find that out.
//
// The zero value covers no member.
type CommitFence struct {
	member, successor string
	id                uint64
	until             time.Time
}

// Set makes the fence cover the member, and no other one, until the given time. successor is
// the member whose log decides, or "" if no commit may be acknowledged.
func (f *CommitFence) Set(member, successor string, id uint64, until time.Time) {
	*f = CommitFence{member: member, successor: successor, id: id, until: until}
}

// End removes the fence of the member if it has the given ID, or any ID if that is 0. It
// reports whether there was one.
func (f *CommitFence) End(member string, id uint64) bool {
	if f.member == "" || f.member != member || (id != 0 && id != f.id) {
		return false
	}
	*f = CommitFence{}
	return true
}

// Covers reports whether acknowledgements of the member are kept back.
func (f *CommitFence) Covers(member string, now time.Time) bool {
	return f.member != "" && f.member == member && now.Before(f.until)
}

// Successor returns the member that must have received a commit of the covered member before
// its acknowledgement is passed on, or "" if none is passed on.
func (f *CommitFence) Successor() string { return f.successor }

// Stands reports whether the fence covers any member.
func (f *CommitFence) Stands(now time.Time) bool { return f.Covers(f.member, now) }

// Remaining returns how long the fence stands unless it is renewed.
func (f *CommitFence) Remaining(now time.Time) time.Duration { return max(f.until.Sub(now), 0) }

// HasExpired reports whether the fence of the member has run out without being ended. What
// has become of the promotion is not known then.
func (f *CommitFence) HasExpired(member string, now time.Time) bool {
	return f.member != "" && f.member == member && !now.Before(f.until)
}

// SurvivesPromotion reports whether a commit of an earlier term is in the log of a primary
// that had received the log up to promoted when its promotion was ordered.
func SurvivesPromotion(commit, promoted group.Position) bool {
	return commit.Term == promoted.Term && commit.Index <= promoted.Index
}
