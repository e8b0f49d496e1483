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
	order             FenceOrder
	until             time.Time
}

// FenceOrder orders the calls that set and end fences: by the fencing token of the holder of
// the promotion lease, and by a number that grows with each call of the holder.
type FenceOrder struct{ Token, Call uint64 }

// Precedes reports whether a call was made before another one.
func (o FenceOrder) Precedes(other FenceOrder) bool {
	return o.Token < other.Token || (o.Token == other.Token && o.Call < other.Call)
}

// Set makes the fence cover the member, and no other one, until the given time. successor is
// the member whose log decides, or "" if no commit may be acknowledged. It returns false, and
// changes nothing, if a later call has been made.
func (f *CommitFence) Set(member, successor string, order FenceOrder, until time.Time) bool {
	if order.Precedes(f.order) {
		return false
	}
	*f = CommitFence{member: member, successor: successor, order: order, until: until}
	return true
}

// End removes the fence unless a later call has been made. It reports whether there was one.
func (f *CommitFence) End(order FenceOrder) bool {
	if order.Precedes(f.order) {
		return false
	}
	stood := f.member != ""
	*f = CommitFence{order: order}
	return stood
}

// EndUnless removes the fence of a member that another one has replaced as the primary.
func (f *CommitFence) EndUnless(primary string) {
	if f.member != primary {
		*f = CommitFence{order: f.order}
	}
}

// Covers reports whether acknowledgements of the member are kept back.
func (f *CommitFence) Covers(member string, now time.Time) bool {
	return f.member != "" && f.member == member && now.Before(f.until)
}

// Successor returns the member that must have received a commit of the covered member before
// its acknowledgement is passed on, or "" if none is passed on.
func (f *CommitFence) Successor() string { return f.successor }

// Member returns the covered member, or "" if there is none.
func (f *CommitFence) Member() string { return f.member }

// Order returns the last call that set or ended the fence.
func (f *CommitFence) Order() FenceOrder { return f.order }

// Stands reports whether the fence covers any member.
func (f *CommitFence) Stands(now time.Time) bool { return f.Covers(f.member, now) }

// Remaining returns how long the fence stands unless it is renewed.
func (f *CommitFence) Remaining(now time.Time) time.Duration { return max(f.until.Sub(now), 0) }

// ExpiredAfter reports whether the fence of the member has run out, without being ended, after
// a commit was sent. What has become of the promotion is not known then.
func (f *CommitFence) ExpiredAfter(member string, sent, now time.Time) bool {
	return f.member != "" && f.member == member && !now.Before(f.until) && sent.Before(f.until)
}

// SurvivesPromotion reports whether a commit is in the log of a primary that leads in a term and
// had received the log up to promoted when its promotion was ordered. Another member that led
// in a term between may have lacked the commit.
func SurvivesPromotion(commit, promoted group.Position, term uint64) bool {
	return commit.Term == promoted.Term && commit.Index <= promoted.Index && term == commit.Term+1
}
