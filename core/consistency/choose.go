package consistency

import (
	"cmp"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// Term is what an instance knows about a group's current term.
type Term struct {
	// Primary is the name of the term's primary; empty while there is none.
	Primary string
	Number  uint64
	// Confirmed says that a majority of members is known to have held the first
	// entry of the term, so that every later term contains the term's log.
	Confirmed bool
}

// Member is one candidate for a read. Load orders members of the same kind;
// it is the number of transactions that are attached or queued.
type Member struct {
	Name string
	Zone string
	// InService is false for a member that must get no new work.
	InService bool
	// Known is false until the member has answered a status call.
	Known  bool
	Status group.Status
	Load   int
	// Saturated says that a transaction would have to queue for a connection.
	Saturated bool
	// Overloaded says that at least as many requests wait for the member as it
	// may have connections.
	Overloaded bool
}

// Read is what a read requires.
type Read struct {
	// Floor is the smallest position that the read may see.
	Floor group.Position
	// Aged says that the read also bounds the age of the data, by AgeFloor.
	// AgeKnown is false when no sample is recent enough to prove the age; then
	// no member may serve the read, because the primary may have been replaced.
	Aged, AgeKnown bool
	AgeFloor       group.Position
	// Zone is the availability zone of the instance.
	Zone string
	// MayWait says that time is left to wait for a fresh replica.
	MayWait bool
}

// Action says what to do with a read.
type Action uint8

// The outcomes of Choose.
const (
	// UseReplica sends the read to the replica Decision.Member.
	UseReplica Action = iota
	// AwaitReplica repeats the decision after the next status.
	AwaitReplica
	// UsePrimary sends the read to the primary Decision.Member.
	UsePrimary
	// AwaitPrimary repeats the decision after the next change of the term, of
	// the members in service or of a status.
	AwaitPrimary
)

// Decision is the outcome of Choose. Member is set for UseReplica and UsePrimary.
type Decision struct {
	Action Action
	Member string
}

// ReplicaServes reports whether a replica with status s may serve the floor in
// the term. The caller also ensures that the connection has the incarnation of
// s; a member's visible state never goes back within one incarnation, so an old
// status stays a lower bound of what the connection reads.
//
// The replica must have applied an entry of the term: until then it may follow the
// term and still show entries of a log that the term has discarded. From then on
// what it shows is a prefix of the term's log, and contains the term's start.
//
// A floor of an older term is served only in a confirmed term. Otherwise a later
// term can skip this one, and acknowledge writes of the floor's term that this
// one lacks. In a confirmed term every such write lies before the term's start.
// Indexes of different terms are never compared.
func ReplicaServes(s group.Status, t Term, floor group.Position) bool {
	return s.CurrentTerm == t.Number && s.AppliedTerm == t.Number && t.covers(floor) &&
		(floor.Term < t.Number || s.Applied >= floor.Index)
}

// PrimaryServes reports whether the primary of the term may serve the floor. It
// holds every acknowledged write of its term and, once the term is confirmed, of
// all older ones; it may lack writes of a later term.
func PrimaryServes(t Term, floor group.Position) bool {
	return t.Primary != "" && t.covers(floor)
}

// covers reports whether the log of the term holds the acknowledged writes that
// the floor stands for.
func (t Term) covers(floor group.Position) bool {
	return floor.IsZero() || floor.Term == t.Number || (floor.Term < t.Number && t.Confirmed)
}

// Choose picks the member for a read. It prefers a fresh replica in service:
// one that is not overloaded, then one with a free connection, then one in the
// instance's availability zone, then the least loaded, then the lowest name. If
// all fresh replicas are overloaded, the read goes to the primary if that has a
// free connection: with a zone out of service, one replica may not suffice for
// the reads of a group. Without a fresh replica the read waits for one as long as
// r.MayWait allows, and then goes to the primary. Any goroutine may call it.
func Choose(t Term, members []Member, r Read) Decision {
	var best *Member
	replicas, primary, spare, room := false, false, false, false
	for i := range members {
		m := &members[i]
		if !m.InService {
			continue
		}
		if m.Name == t.Primary {
			primary = PrimaryServes(t, r.Floor) &&
				(!r.Aged || (r.AgeKnown && PrimaryServes(t, r.AgeFloor)))
			spare = primary && !m.Saturated
			continue
		}
		replicas = replicas || m.Known
		if !serves(m, t, r) {
			continue
		}
		room = room || !m.Overloaded
		if best == nil || before(m, best, r.Zone) {
			best = m
		}
	}
	switch {
	case best != nil && !room && spare:
		return Decision{Action: UsePrimary, Member: t.Primary}
	case best != nil:
		return Decision{Action: UseReplica, Member: best.Name}
	case replicas && r.MayWait:
		return Decision{Action: AwaitReplica}
	case primary:
		return Decision{Action: UsePrimary, Member: t.Primary}
	default:
		return Decision{Action: AwaitPrimary}
	}
}

func serves(m *Member, t Term, r Read) bool {
	if !m.Known || !ReplicaServes(m.Status, t, r.Floor) {
		return false
	}
	return !r.Aged || (r.AgeKnown && ReplicaServes(m.Status, t, r.AgeFloor))
}

// before orders candidates. A free connection in another availability zone comes
// before a queue in the own one: crossing zones costs about 1 ms, queueing more.
func before(a, b *Member, zone string) bool {
	if a.Overloaded != b.Overloaded {
		return !a.Overloaded
	}
	if a.Saturated != b.Saturated {
		return !a.Saturated
	}
	if (a.Zone == zone) != (b.Zone == zone) {
		return a.Zone == zone
	}
	if c := cmp.Compare(a.Load, b.Load); c != 0 {
		return c < 0
	}
	return a.Name < b.Name
}
