// Package promotion decides when the primary of a database group must be replaced
// and which member to promote. It serves groups whose members replicate among
// themselves and whose promotions are carried out by the platform, the external
// system that also lists the members. It does no I/O and reads no clock.
//
// Members are the database servers of the group. Instances are the machines that
// run the daemon; they are not members of the group.
//
// A commit is acknowledged once one replica has received its log entry. A replica
// receives no log entries while it is paused. If all replicas but one are paused,
// the remaining one therefore has every commit acknowledged during the pause.
// Commits acknowledged before the pause are all held by the replica with the
// highest position, whether it is paused or not. If the log of a replica is not at
// hand, the missing answer says nothing about the commits in it; see Choose.
//
// Replicas that the promoter does not know are not paused. The instances are fenced
// against what these acknowledge (CommitFence) or, if an instance cannot be fenced, the
// primary is stopped before the order (Knowledge.Stopped). If it cannot be stopped, the
// promoter waits until the instance passes on no acknowledgement any more without a proof
// (CommitLease).
package promotion

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// Member is the known state of one member of the group.
type Member struct {
	ID   string
	Zone string
	Role group.Role
	// Leaving reports whether the member is about to shut down.
	Leaving bool
	// OutOfService reports whether operators have taken the member's availability
	// zone out of service.
	OutOfService bool
	// UnlistedFor is how long the member has been absent from the platform's list of
	// members; 0 while it is listed.
	UnlistedFor time.Duration
	// MemberFor is how long the member is known to have been one without losing its log. It
	// begins anew when the member restarts.
	MemberFor time.Duration
	// Answered reports whether the member responded to the caller's last status or
	// pause call. Received is the log position up to which the member has received
	// entries, and Term the newest term that it knows, as reported in that response.
	Answered bool
	Received group.Position
	Term     uint64
	// Paused reports whether replication to the member is paused. This package does
	// not read it.
	Paused bool
}

// UnlistedTimeout is how long a silent member must be absent from the platform's list
// before a promotion may go on without its log. Entries of the list that expire during
// an outage of the platform's store reappear within about two seconds after it. The
// timeout is longer, so that the members concerned are waited for. Its log is not
// considered empty: see Choose for what must be proved instead.
const UnlistedTimeout = 2500 * time.Millisecond

// Reason is the reason for replacing a primary.
type Reason uint8

const (
	// None means that the primary is not replaced.
	None Reason = iota
	// Leaving means that the primary has announced its shutdown.
	Leaving
	// ZoneOut means that operators have taken the primary's availability zone out
	// of service (Member.OutOfService).
	ZoneOut
	// Unreachable means that too many instances cannot reach the primary.
	Unreachable
	// CutOff means that the primary's commits reach no replica, although the primary
	// itself may be reachable.
	CutOff
	// NoPrimary means that the group has no primary.
	NoPrimary
	// Unfinished means that a promotion may have been ordered whose outcome is not known.
	Unfinished
)

var reasonNames = [...]string{"none", "leaving", "zone-out", "unreachable", "cut-off", "no-primary", "unfinished"}

// String returns the name of the reason in log lines.
func (r Reason) String() string { return reasonNames[r] }

// IsPlanned reports whether replacing the primary for this reason is a planned
// switchover, that is, the primary still works. For other reasons it is a failover.
func (r Reason) IsPlanned() bool { return r == Leaving || r == ZoneOut }

// PlannedReason returns the reason for a planned switchover, or None. A planned
// switchover requires another member that can take over.
func PlannedReason(members []Member, primary string) Reason {
	successor := false
	var p *Member
	for i := range members {
		m := &members[i]
		if m.ID == primary {
			p = m
		} else if m.canBecomePrimary() && !m.OutOfService {
			successor = true
		}
	}
	switch {
	case p == nil || !successor:
		return None
	case p.Leaving:
		return Leaving
	case p.OutOfService:
		return ZoneOut
	default:
		return None
	}
}

func (m *Member) canBecomePrimary() bool { return !m.Leaving && m.UnlistedFor == 0 }

// Votes counts the instances that can and cannot reach the primary. No majority is
// needed to replace it; see minUnreachableFraction.
type Votes struct{ Reachable, Unreachable int }

// minUnreachableFraction is the fraction of voting instances that must be unable
// to reach the primary for it to be replaced. If fewer cannot reach it, their clients
// are better served by the other instances than by a failover, which interrupts all
// writes.
const minUnreachableFraction = 0.3

// IsUnreachable reports whether at least one instance, and at least
// minUnreachableFraction of the voting instances, cannot reach the primary.
func (v Votes) IsUnreachable() bool {
	return v.Unreachable > 0 && float64(v.Unreachable) >= minUnreachableFraction*float64(v.Unreachable+v.Reachable)
}

// Knowledge is what the instances know about acknowledged commits, beside what the logs of
// the members that answered show.
type Knowledge struct {
	// Acknowledged is the highest position that any instance that answered has seen
	// acknowledged, or the zero position if none has seen one.
	Acknowledged group.Position
	// Complete is set if no commit can have been acknowledged beyond Acknowledged: every
	// instance that may have seen one has answered, and none of them reaches the primary.
	Complete bool
	// Fenced is set if no commit beyond Acknowledged is acknowledged any more unless the
	// successor has it: every instance that may acknowledge one has a commit fence.
	Fenced bool
	// Stopped is set if the primary has been made a replica, so that no instance can get a
	// commit acknowledged any more. FinalLog is then the end of its log, and no acknowledged
	// commit lies beyond it.
	Stopped  bool
	FinalLog group.Position
}

// minReplicaLogs is the number of settled replicas that must have answered, besides none
// being silent, for their logs alone to show all acknowledged commits. With fewer, a replica
// that has left the group may have taken the only other copy of a commit with it.
const minReplicaLogs = 2

// SettledAfter is how long a replica must have been a member, without losing its log, to
// count for minReplicaLogs. A replica that joins or restarts replaces another one, whose log
// it does not show. The time is longer than callers remember departed members and silent
// instances.
const SettledAfter = 30 * time.Second

// lacksReplicaLogs reports whether the replicas that answered may lack acknowledged commits,
// because another replica is silent or because too few have been members for long enough.
func lacksReplicaLogs(members []Member, primary string) bool {
	settled := 0
	for i := range members {
		switch m := &members[i]; {
		case m.ID == primary:
		case !m.Answered:
			return true
		case m.MemberFor >= SettledAfter:
			settled++
		}
	}
	return settled < minReplicaLogs
}

// NeedsCompleteKnowledge reports whether Choose can return a member only if Knowledge.Fenced
// is set or, unless the primary answered, Knowledge.Complete is.
func NeedsCompleteKnowledge(members []Member, primary string) bool {
	if _, hasCandidate := MostAdvanced(members, primary); !hasCandidate || !lacksReplicaLogs(members, primary) {
		return false
	}
	log, primaryAnswered := primaryLog(members, primary)
	return !primaryAnswered || len(mostAdvanced(members, primary, log)) == 0
}

// Choose returns the ID of the member to promote, which is never primary. Before the
// call, the caller requests the status of the members or pauses them, and records their
// responses. The promoted member must have received known.Acknowledged.
//
// A commit is acknowledged once the primary and one replica have it. If all replicas have
// answered, the highest position among them therefore covers all acknowledged commits. If
// one is silent, or fewer than minReplicaLogs are settled, a replica whose log is not at
// hand may be the only one that has received some of them. Choose then requires one of two
// proofs:
//
//   - the log of the primary, if the primary answered: the promoted member must have all of
//     it. A primary that runs is not replaced by a member that is behind, unless the instances
//     are fenced.
//   - complete knowledge of the instances, if the primary did not answer or they are fenced.
//     Commits of the primary that none of them has seen acknowledged may be missing.
//
// If the primary is stopped, the promoted member must have its final log, and no other proof
// is needed.
//
// A silent member that the platform still lists, or listed until less than
// UnlistedTimeout ago, is waited for in any case. Choose returns false until one of the
// members provably has all acknowledged commits.
//
// A leaving, out-of-service or unlisted member that responded is still a candidate,
// since it may be the only one with every commit. Another member with the same
// position is preferred to it.
func Choose(members []Member, primary string, known Knowledge) (string, bool) {
	return first(provenMembers(members, primary, known))
}

// MayPromote reports whether the member provably has all acknowledged commits, as the one
// that Choose returns. Choose may prefer another member that has them too.
func MayPromote(id string, members []Member, primary string, known Knowledge) bool {
	return slices.Contains(provenMembers(members, primary, known), id)
}

// provenMembers returns the members that Choose may return, preferred ones first.
func provenMembers(members []Member, primary string, known Knowledge) []string {
	required := known.Acknowledged
	if known.Stopped {
		required = later(required, known.FinalLog)
	} else if lacksReplicaLogs(members, primary) {
		log, answered := primaryLog(members, primary)
		switch {
		case known.Fenced:
		case answered:
			required = later(required, log)
		case !known.Complete:
			return nil
		}
	}
	return mostAdvanced(members, primary, required)
}

func first(ids []string) (string, bool) {
	if len(ids) == 0 {
		return "", false
	}
	return ids[0], true
}

// MostAdvanced returns the member that Choose would return if no commit were acknowledged
// but those in the logs of the replicas that answered. A planned switchover lets this
// member catch up with the primary before Choose is called.
func MostAdvanced(members []Member, primary string) (string, bool) {
	return first(mostAdvanced(members, primary, group.Position{}))
}

// mostAdvanced returns the members that have received required and all that other replicas
// have, preferred ones first.
func mostAdvanced(members []Member, primary string, required group.Position) []string {
	var candidates []*Member
	for i := range members {
		m := &members[i]
		switch {
		case m.ID == primary:
		case m.Answered:
			// The entries up to this position may have been acknowledged even if no
			// instance has seen it.
			required = later(required, m.Received)
			candidates = append(candidates, m)
		case m.UnlistedFor < UnlistedTimeout:
			return nil
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Member) int {
		return cmp.Or(b.preference()-a.preference(), b.Received.Compare(a.Received), cmp.Compare(a.ID, b.ID))
	})
	// Preference decides only among the members with the highest position.
	var out []string
	for _, m := range candidates {
		if m.Received.Compare(required) >= 0 {
			out = append(out, m.ID)
		}
	}
	return out
}

// primaryLog returns the position of the primary's log, or false if it did not answer. A
// primary that answers as a replica may have restarted without its log.
func primaryLog(members []Member, primary string) (group.Position, bool) {
	for i := range members {
		if m := &members[i]; m.ID == primary && m.Answered && m.Role != group.Replica {
			return m.Received, true
		}
	}
	return group.Position{}, false
}

func later(a, b group.Position) group.Position {
	if a.Compare(b) >= 0 {
		return a
	}
	return b
}

// preference ranks candidates that have received the same position; higher values
// are preferred.
func (m *Member) preference() int {
	switch {
	case m.UnlistedFor > 0:
		return 0
	case m.Leaving:
		return 1
	case m.OutOfService:
		return 2
	default:
		return 3
	}
}
