package promotion

// Leadership is the result of a check whether a member that acts as the primary still
// leads its group.
type Leadership uint8

const (
	// Unconfirmed means that another member may have been promoted.
	Unconfirmed Leadership = iota
	// Confirmed means that no other member had been promoted when the check began.
	Confirmed
	// Superseded means that another member has been promoted.
	Superseded
)

var leadershipNames = [...]string{"unconfirmed", "confirmed", "superseded"}

// String returns the name used in logs.
func (l Leadership) String() string { return leadershipNames[l] }

// Witness is what a check of the primary's leadership found at another member of the
// group. All of its answers are to calls that were sent after the check began.
type Witness struct {
	// Leads is set if the member acts as a primary: it accepted a read-write transaction,
	// or said so in its status. Follows is set if it acts as a replica.
	Leads, Follows bool
	// Unlisted is set if the platform no longer lists the member. A promotion may then
	// have been ordered without pausing it.
	Unlisted bool
	// HasStatus is set if the member answered a status call. Term and Paused are then the
	// newest term that it knows and whether its replication is paused.
	HasStatus bool
	Term      uint64
	Paused    bool
}

// CheckLeadership decides whether a member that acts as primary in primaryTerm leads the
// group; primaryTerm is 0 if it did not answer a status call. It is for primaries that
// cannot lose the lead without being told: one that is cut off from its successor goes on
// to answer reads and to begin transactions.
//
// It relies on two facts. A successor is one of the other members, so that nobody has
// been promoted if all of them follow, or lead in an older term like a primary that was
// replaced before. And a promotion is
// ordered only while all listed members but the primary and the successor are paused, and
// they stay paused until it takes effect and tells them the new term. One listed replica
// that is not paused and knows no newer term is therefore enough, also if others do not
// answer.
func CheckLeadership(others []Witness, primaryTerm uint64) Leadership {
	noneLeads, unpaused := true, false
	for i := range others {
		w := &others[i]
		if primaryTerm > 0 && w.HasStatus && w.Term > primaryTerm {
			return Superseded
		}
		noneLeads = noneLeads && (w.Follows || w.IsFormerPrimary(primaryTerm))
		if w.Follows && w.HasStatus && !w.Paused && !w.Unlisted && primaryTerm > 0 {
			unpaused = true
		}
	}
	if noneLeads || unpaused {
		return Confirmed
	}
	return Unconfirmed
}

// IsFormerPrimary reports whether the member still acts as a primary although the primary
// leads in the newer term primaryTerm.
func (w *Witness) IsFormerPrimary(primaryTerm uint64) bool {
	return w.Leads && w.HasStatus && w.Term < primaryTerm
}
