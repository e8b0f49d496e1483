// Package gateway serves client sessions on a platform that runs groups of
// replicated database servers, called members. The platform's store holds the
// configuration, the list of members and the promotion lease: the exclusive,
// fenced right of one instance to order promotions. Protocols and platform
// calls are provided through the interfaces below; the decisions are made by
// the core packages.
package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/revision"
	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// ErrQuit is returned by Client.NextStatement when the client ends the session.
var ErrQuit = errors.New("client ended the session")

// Startup is a client's first message.
type Startup struct{ Database, Key string }

// Client is the connection of one client. Except for SetReadDeadline and
// Close, only the session's goroutine uses it.
type Client interface {
	// ReadStartup reads the first message.
	ReadStartup(deadline time.Time) (Startup, error)
	// Reject refuses the session, or ends it while no statement is outstanding; the caller
	// then closes the connection. Ready accepts the session, or completes the answer to a
	// statement that crossed the error on the way.
	Reject(*verdict.Error) error
	Ready(statement.State) error
	// NextStatement reads a statement, until the deadline unless that is zero. A
	// *verdict.Error must be answered with AnswerError and ends the session if it
	// is fatal; any other error ends the session.
	NextStatement(deadline time.Time) (statement.Statement, error)
	// LimitInput sets a function that NextStatement calls before it reads more of a large
	// statement, with the size that the statement has at least. It returns the size up to which
	// more is read without another call. NextStatement discards the rest of the statement after
	// an error, and returns the error.
	LimitInput(reserve func(size int) (upTo int, err error))
	// HasInput reports whether part of the next statement has arrived, also if it has not
	// been read.
	HasInput() bool
	// Answer and AnswerError answer the last statement.
	Answer(statement.Reply, statement.State) error
	AnswerError(*verdict.Error, statement.State) error
	// SetReadDeadline interrupts a waiting NextStatement.
	SetReadDeadline(time.Time) error
	// DrainAndClose closes the connection after reading pending client data for
	// at most wait.
	DrainAndClose(wait time.Duration)
	Close() error
}

// Listener accepts clients.
type Listener interface {
	AcceptClient() (Client, error)
	Close() error
}

// MemberConn is a connection to a member that belongs to one workspace. It is
// used by one goroutine at a time.
type MemberConn interface {
	// Send writes statements, whose responses Receive returns in order. The
	// deadline also applies to the responses.
	Send(deadline time.Time, statements ...statement.Statement) error
	Receive() (statement.Reply, error)
	// IsStale reports whether the member has closed an idle connection.
	IsStale() bool
	// Interrupt makes Send and Receive fail. Any goroutine may call it.
	Interrupt()
	Close()
}

// Dialer opens connections to members.
type Dialer interface {
	// Open fails with a *statement.Error if the member refuses.
	Open(ctx context.Context, m Member, workspace string) (MemberConn, error)
	// ParseStatus decodes the reply to Status, Pause, Resume and Demote.
	ParseStatus(statement.Reply) (statement.MemberStatus, error)
}

// Member is one entry of the platform's list of members.
type Member struct {
	ID, Group, Address, Zone string
	// Slots is the number of statements that the member runs concurrently.
	Slots int
	// Draining is set while the member is shutting down.
	Draining bool
	// IsPrimary is the role that the member itself reports.
	IsPrimary bool
	// StartedMs is the member's start time in Unix milliseconds; 0 if unknown.
	StartedMs int64
	// Sequence counts the entries that the member has written since its start.
	Sequence uint64
	// Revision is that of the store at which the entry was written; 0 if unknown.
	Revision revision.Revision
}

// isBefore reports whether the entry is an earlier one of the same process than other. In one
// era of the store the revisions tell: another writer may have left an absurd sequence.
func (m Member) isBefore(other Member) bool {
	if m.Revision > 0 && other.Revision > 0 && m.Revision.Era() == other.Revision.Era() {
		return m.Revision < other.Revision
	}
	return m.StartedMs == other.StartedMs && m.StartedMs != 0 && m.Sequence < other.Sequence
}

// Instance is an instance's own entry in the store.
type Instance struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	PeerAddress string `json:"peerAddress"`
	// Started is the process's start time in Unix milliseconds. It
	// distinguishes successive processes of an instance.
	Started int64 `json:"started"`
	// Capacity is the processor share of the instance's machine; 0 if unknown. Instances
	// with more capacity run more statements for others.
	Capacity float64 `json:"capacity,omitempty"`
}

// OperatorEntry is one entry written by the operators: a configuration or a
// zone that is out of service.
type OperatorEntry struct {
	Spec             *catalog.Spec
	OutOfServiceZone string
}

// Change is one changed entry of a table. If the entry cannot be read, Err is
// set instead of Value and the entry counts as absent.
type Change[T any] struct {
	// Revision orders the changes of a table.
	Revision revision.Revision
	Key      string
	Value    T
	Removed  bool
	Err      error
}

// Batch is a list of entries or changes and the table revision up to which it
// is complete.
type Batch[T any] struct {
	Changes  []Change[T]
	Revision revision.Revision
}

// ErrHistoryLost is returned by Table.Await when the store does not keep the changes
// after the revision, or the revision is of another era than the store's; the caller
// must list the table instead.
var ErrHistoryLost = errors.New("the store no longer keeps the changes")

// Table is a table of the platform's store.
type Table[T any] interface {
	// List returns all entries, which are of one era.
	List(ctx context.Context) (Batch[T], error)
	// Await returns the changes after a revision as soon as there are any, or
	// an empty batch after wait.
	Await(ctx context.Context, after revision.Revision, wait time.Duration) (Batch[T], error)
}

// Duty is the promotion lease: the store's entry that says which instance may
// order promotions.
type Duty struct {
	Holder  string
	Started int64
	// Token is the fencing token: the revision at which the holder claimed the lease.
	// The era is part of it, because a restored store gives versions out again.
	Token revision.Revision
	// ClaimedIn is the era that the holder knew when it claimed the lease. A claim of a
	// former era is void: a newer one may have been lost with the restoration.
	ClaimedIn uint64
}

// IsVoid reports whether the claim was made in a former era.
func (d Duty) IsVoid() bool { return d.ClaimedIn < d.Token.Era() }

// ErrConflict is returned by Store.ClaimDuty when another instance claimed the
// promotion lease first.
var ErrConflict = errors.New("another instance has claimed the duty")

// Store is the platform's store.
type Store interface {
	Operators() Table[OperatorEntry]
	Members() Table[Member]
	Instances() Table[Instance]
	PutInstance(ctx context.Context, i Instance) error
	RemoveInstance(ctx context.Context, id string) error
	// ReadDuty returns the promotion lease, or the zero Duty if it was never
	// claimed.
	ReadDuty(ctx context.Context) (Duty, error)
	// ClaimDuty claims the promotion lease if it is unchanged since ReadDuty
	// returned from. It returns ErrConflict if it has changed, or if the store has
	// been restored since.
	ClaimDuty(ctx context.Context, from Duty, holder string, started int64) (Duty, error)
	// SettledEra returns the last era of which PutSettledEra has recorded that it has
	// settled; 0 if none.
	SettledEra(ctx context.Context) (uint64, error)
	PutSettledEra(ctx context.Context, era uint64) error
}

// Errors of Promoter.Promote. After any other error the promotion may still be
// carried out later.
var (
	// ErrFenced means that a higher token has been used or that the member is
	// not running.
	ErrFenced = errors.New("a higher fencing token has been used, or the member is not running")
	// ErrNotAccepted means that the platform did not accept the order.
	ErrNotAccepted = errors.New("the platform did not accept the order")
)

// Promoter orders the platform to make a member the primary of its group.
type Promoter interface {
	Promote(ctx context.Context, duty Duty, group, member string) error
}
