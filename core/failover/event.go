package failover

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// Event is an input of a Machine.
type Event interface{ event() }

// StatusReceived reports the answer to a probe or to AwaitPosition.
type StatusReceived struct {
	Status group.Status
	// AskedAt is the time, on the clock of Step, before the question was sent.
	AskedAt time.Time
}

// ProbeFailed reports a probe without an answer.
type ProbeFailed struct{ Member string }

// PeerView reports what another serving instance observes of the group, from a
// heartbeat, its answer, or PrimaryChanged.
type PeerView struct {
	Instance string
	// Primary is empty if the peer knows none.
	Primary string
	Term    uint64
	// SeenAge is the time since the primary last answered the peer's probe.
	SeenAge time.Duration
}

// MemberPlacement says where a member runs, as far as failover needs it.
type MemberPlacement struct {
	Name string
	// InService says that the member's backend server and availability zone
	// are both in service.
	InService bool
}

// Placement sets the members of the group and the instances that serve it.
// No promotion happens before the first Placement.
type Placement struct {
	Members []MemberPlacement
	// Serving are the live serving instances in rank order, this one included.
	// An instance that is not among them never promotes.
	Serving []string
}

// FenceResult is the answer to Fence.
type FenceResult struct {
	Member string
	Term   uint64
	// Granted says that the member promised the term; Status is then its row.
	Granted bool
	Status  group.Status
	// PromisedTerm is the higher term that the member had promised, if it
	// refused; 0 if the answer was lost.
	PromisedTerm uint64
}

// PromoteResult is the answer to Promote. Done is false if the member refused
// or the answer was lost; a probe then tells which.
type PromoteResult struct {
	Member string
	Term   uint64
	Done   bool
	Status group.Status
}

// HoldResult is the answer of one serving instance, this one included, to
// HoldWrites. Held is false if the call failed.
type HoldResult struct {
	Instance string
	// Held says that the instance holds new write transactions.
	Held bool
	// Running is the number of its write transactions that still run.
	Running uint64
}

// HoldRequested reports another instance's request to hold new write transactions.
type HoldRequested struct {
	// Term is the term of the primary that is about to be replaced.
	Term uint64
	// Lease is the time after which the hold ends by itself.
	Lease time.Duration
	// Release ends the hold at once.
	Release bool
}

// Tick reports only the passage of time.
type Tick struct{}

func (StatusReceived) event() {}
func (ProbeFailed) event()    {}
func (PeerView) event()       {}
func (Placement) event()      {}
func (FenceResult) event()    {}
func (PromoteResult) event()  {}
func (HoldResult) event()     {}
func (HoldRequested) event()  {}
func (Tick) event()           {}

// Action is an output of a Machine.
type Action interface{ action() }

// Fence asks a member to promise the term to Config.Owner; answered by FenceResult.
type Fence struct {
	Member string
	Term   uint64
}

// Promote asks a member to become primary of the term; answered by PromoteResult.
type Promote struct {
	Member string
	Term   uint64
}

// HoldWrites asks all serving instances, this one included, to hold new write
// transactions for the lease, or to release them; each one answers with
// HoldResult. It is repeated to renew the lease and while transactions still run.
type HoldWrites struct {
	On    bool
	Term  uint64
	Lease time.Duration
}

// AnnouncePrimary tells all peers of a finished promotion.
type AnnouncePrimary struct {
	Primary string
	Term    uint64
	// TermStart is the index of the term's first entry.
	TermStart uint64
	// PreviousTerm is the term of the entry before it; 0 if none.
	PreviousTerm uint64
}

// AskPeers asks all serving peers for a heartbeat at once; answered by PeerView.
type AskPeers struct{}

// Probe asks for a member's status at once; answered by StatusReceived or ProbeFailed.
type Probe struct{ Member string }

// AwaitPosition asks a member, by mulberry_wait, for its status once it has
// received the position; answered by StatusReceived or ProbeFailed.
type AwaitPosition struct {
	Member   string
	Position group.Position
	Timeout  time.Duration
}

// SetView replaces the group's state that traffic reads.
type SetView struct {
	// Primary is the last known primary, empty if none is known.
	Primary      string
	Term         uint64
	TermStart    uint64
	PreviousTerm uint64
	// Hold says that new write transactions must wait.
	Hold bool
}

func (Fence) action()           {}
func (Promote) action()         {}
func (HoldWrites) action()      {}
func (AnnouncePrimary) action() {}
func (AskPeers) action()        {}
func (Probe) action()           {}
func (AwaitPosition) action()   {}
func (SetView) action()         {}
