package failover

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// Event is an input of a Machine.
type Event interface{ event() }

// StatusReceived reports the response to a probe or to AwaitPosition.
type StatusReceived struct {
	Status group.Status
	// RequestedAt is the time just before the request was sent, on the clock whose
	// times are passed to Step.
	RequestedAt time.Time
}

// ProbeFailed reports that a probe got no response.
type ProbeFailed struct{ Member string }

// PeerView reports another serving instance's view of the group, received in a
// heartbeat, a heartbeat response or a PrimaryChanged call.
type PeerView struct {
	Instance string
	// Primary is empty if the peer knows of no primary.
	Primary string
	Term    uint64
	// PrimarySeenAge is the time since the primary last responded to the peer's probe.
	PrimarySeenAge time.Duration
}

// MemberPlacement describes the part of a member's placement that failover uses.
type MemberPlacement struct {
	Name string
	// InService reports whether both the member's backend server and its
	// availability zone are in service.
	InService bool
}

// Placement sets the members of the group and the instances that serve it.
// The Machine promotes no member before the first Placement.
type Placement struct {
	Members []MemberPlacement
	// Serving lists the live serving instances in rank order, including this
	// one. An instance that is not listed never promotes.
	Serving []string
}

// FenceResult is the response to Fence.
type FenceResult struct {
	Member string
	Term   uint64
	// Granted reports whether the member promised the term. If it did, Status is
	// its status after the promise.
	Granted bool
	Status  group.Status
	// PromisedTerm is the term that the member had already promised, if it
	// refused; 0 if no response arrived.
	PromisedTerm uint64
}

// PromoteResult is the response to Promote. Promoted is false if the member
// refused or no response arrived; a probe then determines whether it was promoted.
type PromoteResult struct {
	Member   string
	Term     uint64
	Promoted bool
	Status   group.Status
}

// HoldResult is the response of one serving instance, possibly this one, to
// HoldWrites.
type HoldResult struct {
	Instance string
	// Held reports whether the instance holds new write transactions. It is
	// false if the call failed.
	Held bool
	// Running is the number of write transactions still running on the instance.
	Running uint64
}

// HoldRequested reports that another instance asked this one to hold new write
// transactions.
type HoldRequested struct {
	// Term is the term of the primary that is being replaced.
	Term uint64
	// Lease is how long the hold lasts without renewal.
	Lease time.Duration
	// Release ends the hold at once.
	Release bool
}

// Tick reports only that time has passed.
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

// Fence asks a member to promise the term to Config.Owner. Its result is a
// FenceResult.
type Fence struct {
	Member string
	Term   uint64
}

// Promote asks a member to become the primary of the term. Its result is a
// PromoteResult.
type Promote struct {
	Member string
	Term   uint64
}

// HoldWrites asks all serving instances, including this one, to hold new write
// transactions for the duration of the lease, or to release them. Each instance
// responds with a HoldResult. The action is repeated to renew the lease and to
// poll for transactions that are still running.
type HoldWrites struct {
	On    bool
	Term  uint64
	Lease time.Duration
}

// AnnouncePrimary notifies all peers of a completed promotion.
type AnnouncePrimary struct {
	Primary string
	Term    uint64
	// TermStart is the index of the term's first entry.
	TermStart uint64
	// PreviousTerm is the term of the preceding entry; 0 if there is none.
	PreviousTerm uint64
}

// RequestPeerViews requests an immediate heartbeat from all serving peers. The
// responses arrive as PeerView events.
type RequestPeerViews struct{}

// Probe requests a member's status immediately. Its result is StatusReceived or
// ProbeFailed.
type Probe struct{ Member string }

// AwaitPosition calls mulberry_wait on a member, which responds with its status
// once it has received the position. Its result is StatusReceived or ProbeFailed.
type AwaitPosition struct {
	Member   string
	Position group.Position
	Timeout  time.Duration
}

// SetView replaces the view of the group that request routing uses.
type SetView struct {
	// Primary is the last known primary; empty if none is known.
	Primary      string
	Term         uint64
	TermStart    uint64
	PreviousTerm uint64
	// Hold reports whether new write transactions must wait.
	Hold bool
}

func (Fence) action()            {}
func (Promote) action()          {}
func (HoldWrites) action()       {}
func (AnnouncePrimary) action()  {}
func (RequestPeerViews) action() {}
func (Probe) action()            {}
func (AwaitPosition) action()    {}
func (SetView) action()          {}
