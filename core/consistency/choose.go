package consistency

import (
	"cmp"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// Term is what an instance knows about one term of a group.
type Term struct {
	// Primary is the name of the term's primary; empty while there is none.
	Primary string
	Number  uint64
	// Confirmed is set once a majority of members is known to have stored the
	// first entry of the term. The log of every later term then contains that
	// entry and all entries before it.
	Confirmed bool
}

// Member is one candidate for a read.
type Member struct {
	Name string
	Zone string
	// InService is false for a member that must not receive new requests.
	InService bool
	// StatusKnown is set once the member has answered a status call.
	StatusKnown bool
	Status      group.Status
	// Load is the number of transactions that hold a connection to the member or
	// wait for one. Among otherwise equal members the one with the least is chosen.
	Load int
	// Saturated is set if a transaction would have to wait for a connection.
	Saturated bool
	// Overloaded is set if at least as many requests wait for the member as it
	// may have connections.
	Overloaded bool
}

// Read holds the requirements of one read.
type Read struct {
	// Floor is the position that the visible state of the member must have reached.
	Floor group.Position
	// BoundsStaleness is set for a read with bounded staleness. StalenessFloorKnown
	// is false if no status is recent enough to derive a floor that enforces the
	// bound; no member may then serve the read, because the primary may have been
	// replaced.
	BoundsStaleness, StalenessFloorKnown bool
	// StalenessFloor is the floor that enforces the staleness bound.
	StalenessFloor group.Position
	// Zone is the availability zone of the instance.
	Zone string
	// MayWait is set while the read may still wait for a replica to catch up.
	MayWait bool
}

// Action is what the caller of Choose does with the read.
type Action uint8

const (
	// UseReplica sends the read to the replica Decision.Member.
	UseReplica Action = iota
	// AwaitReplica waits for the next member status and calls Choose again.
	AwaitReplica
	// UsePrimary sends the read to the primary Decision.Member.
	UsePrimary
	// AwaitPrimary waits until the term, the set of members in service or a
	// member status changes, and calls Choose again.
	AwaitPrimary
)

// Decision is the result of Choose. Member is set for UseReplica and UsePrimary.
type Decision struct {
	Action Action
	Member string
}

// ReplicaServes reports whether a replica with status s may serve a read with the
// floor in the term. The caller must check that the connection belongs to the
// incarnation in s. Within one incarnation the visible state of a member never
// goes back, so an old status is a lower bound for what the connection reads.
//
// The replica must have applied an entry of the term. Before that it may already
// follow the term and still expose entries that are not in the term's log.
// Afterwards its visible state is a prefix of the term's log that includes the
// term's first entry.
//
// A floor of an older term is accepted only if the term is confirmed. Otherwise the
// log of a later term may lack this term's entries, and the later term may
// acknowledge writes of the floor's term that this term does not have. In a
// confirmed term all such writes precede the term's first entry. Indexes of
// different terms are never compared.
func ReplicaServes(s group.Status, t Term, floor group.Position) bool {
	return s.CurrentTerm == t.Number && s.AppliedTerm == t.Number && t.covers(floor) &&
		(floor.Term < t.Number || s.Applied >= floor.Index)
}

// PrimaryServes reports whether the primary of the term may serve a read with the
// floor. The primary has every acknowledged write of its term and, once the term
// is confirmed, of all older terms. It may lack writes of a later term.
func PrimaryServes(t Term, floor group.Position) bool {
	return t.Primary != "" && t.covers(floor)
}

// covers reports whether the log of the term contains every acknowledged write
// up to the floor.
func (t Term) covers(floor group.Position) bool {
	return floor.IsZero() || floor.Term == t.Number || (floor.Term < t.Number && t.Confirmed)
}

// Choose picks the member for a read. It prefers replicas that are in service and
// fresh enough for r. Among these it prefers, in this order, one that is not
// overloaded, one that is not saturated, one in the instance's availability zone,
// the least loaded one, and the one whose name sorts first.
//
// If all such replicas are overloaded, the read goes to the primary unless that is
// saturated: while an availability zone is out of service, a single replica may
// be too small for the reads of a group. If no replica is fresh enough, the read
// waits for one while r.MayWait is set, and then goes to the primary.
//
// Choose is safe for concurrent use.
func Choose(t Term, members []Member, r Read) Decision {
	var best *Member
	anyReplica, primaryServes, primaryHasCapacity, replicaHasCapacity := false, false, false, false
	for i := range members {
		m := &members[i]
		if !m.InService {
			continue
		}
		if m.Name == t.Primary {
			primaryServes = PrimaryServes(t, r.Floor) &&
				(!r.BoundsStaleness || (r.StalenessFloorKnown && PrimaryServes(t, r.StalenessFloor)))
			primaryHasCapacity = primaryServes && !m.Saturated
			continue
		}
		anyReplica = anyReplica || m.StatusKnown
		if !memberServes(m, t, r) {
			continue
		}
		replicaHasCapacity = replicaHasCapacity || !m.Overloaded
		if best == nil || isPreferred(m, best, r.Zone) {
			best = m
		}
	}
	switch {
	case best != nil && !replicaHasCapacity && primaryHasCapacity:
		return Decision{Action: UsePrimary, Member: t.Primary}
	case best != nil:
		return Decision{Action: UseReplica, Member: best.Name}
	case anyReplica && r.MayWait:
		return Decision{Action: AwaitReplica}
	case primaryServes:
		return Decision{Action: UsePrimary, Member: t.Primary}
	default:
		return Decision{Action: AwaitPrimary}
	}
}

// memberServes reports whether the replica m may serve the read in the term.
func memberServes(m *Member, t Term, r Read) bool {
	if !m.StatusKnown || !ReplicaServes(m.Status, t, r.Floor) {
		return false
	}
	return !r.BoundsStaleness || (r.StalenessFloorKnown && ReplicaServes(m.Status, t, r.StalenessFloor))
}

// isPreferred reports whether a is a better choice than b. A free connection in
// another availability zone is preferred to waiting for one in the same zone:
// crossing zones costs about 1 ms, waiting costs more.
func isPreferred(a, b *Member, zone string) bool {
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
