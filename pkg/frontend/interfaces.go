package frontend

import (
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/group"
)

// Policy decides which requests are accepted. It is safe for concurrent use.
type Policy interface {
	// Bundle returns the active bundle, or nil before the first one.
	Bundle() *bundle.Compiled
	// CheckServing returns nil, or a *verdict.Error if the instance does not accept
	// new requests. Sessions call it at the start of each request.
	CheckServing() error
	// Admit takes one token from a rate limit. The limit is the name of a
	// workspace, or bundle.OpenLimitPrefix followed by the name of an open route.
	// It returns a *verdict.Error if the request exceeds the limit.
	Admit(ctx context.Context, limit string) error
	// Group returns the database group with the name.
	Group(name string) (Group, bool)
}

// Group is a database group as seen by sessions. It is safe for concurrent use.
type Group interface {
	// Acquire returns a server connection for one transaction. Its errors are
	// *verdict.Error with the verdict NotRun.
	Acquire(ctx context.Context, r Request) (Conn, error)
	// Confirm blocks until a majority of the members has received the commit at
	// p. The error is a *verdict.Error that states whether the commit took effect.
	Confirm(ctx context.Context, p group.Position) error
	// SampleFloor returns a position of the primary that was sampled after the
	// call began.
	SampleFloor(ctx context.Context) (group.Position, error)
}

// Request describes the server connection that a session needs for one
// transaction.
type Request struct {
	// Workspace is the name under which the request is queued and its connection
	// is isolated. On an open route it is the name of the route's limit.
	Workspace string
	// Weight is the weight of the workspace in fair queueing.
	Weight   uint32
	Database string
	// Read is set if the client declared the transaction read-only.
	Read bool
	// Floor is the log position that the member's visible state must have
	// reached.
	Floor group.Position
	// MaxAge bounds the age of the data, in addition to Floor; 0 means no such
	// bound.
	MaxAge time.Duration
	// ReadWait bounds the wait for a replica that is fresh enough; 0 means the
	// default.
	ReadWait time.Duration
}

// Conn is a pooled server connection, held by one session at a time.
type Conn interface {
	// Frontend receives the server's messages. Once the holder's relay runs,
	// only the relay uses it.
	Frontend() *pgproto3.Frontend
	// NetConn returns the connection below Frontend, to which the session writes.
	NetConn() net.Conn
	Member() string
	// LastWorkspace returns the workspace that held the connection before, or ""
	// if the connection is new.
	LastWorkspace() string
	// SessionState returns the set of session state that exists on the server
	// connection: the canonical names of prepared statements, and keys that
	// identify the settings (see settingsMarker). The set belongs to the
	// connection and outlives the session; only the holder reads or changes it.
	SessionState() map[string]struct{}
	// CancelKey returns the address (host:port), process ID and secret key for a
	// cancel request.
	CancelKey() (address string, pid uint32, secret []byte)
	// Parameters returns the ParameterStatus values reported at startup.
	Parameters() map[string]string
	// Release returns the connection to the pool, which closes it unless it is
	// reusable.
	Release(reusable bool)
}

// TokenCodec signs and verifies session tokens, which carry a floor from one
// session to another. It is safe for concurrent use.
type TokenCodec interface {
	Sign(group, workspace string, p group.Position) string
	Verify(token, group, workspace string) (group.Position, error)
}

// Metrics receives one observation per request. It is safe for concurrent use.
type Metrics interface {
	// Observe records a request. The class is "read" or "write". The duration d
	// runs from the first message of the request until its last answer is about
	// to be written.
	Observe(workspace, class string, d time.Duration, verdict string)
}
