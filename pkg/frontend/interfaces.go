package frontend

import (
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/group"
)

// Policy decides on requests. All methods may be called by any goroutine.
type Policy interface {
	// Bundle returns the bundle in force, or nil before the first one.
	Bundle() *bundle.Compiled
	// Serving returns nil, or a *verdict.Error when the instance takes no new
	// work. It is asked at the start of each request.
	Serving() error
	// Admit takes one token of a limit, which is a workspace's name or
	// bundle.OpenLimitPrefix and a route's name. It returns a *verdict.Error
	// on refusal.
	Admit(ctx context.Context, limit string) error
	// Group returns the database group with the name.
	Group(name string) (Group, bool)
}

// Group is a database group as sessions use it. All methods may be called by
// any goroutine.
type Group interface {
	// Acquire returns a server connection for one transaction. Its errors are
	// *verdict.Error with the verdict NotRun.
	Acquire(ctx context.Context, r Request) (Conn, error)
	// Confirm blocks until a majority of members has the commit at p. The error
	// is a *verdict.Error that states whether the commit took effect.
	Confirm(ctx context.Context, p group.Position) error
	// SampleFloor returns the primary's position, sampled after the call began.
	SampleFloor(ctx context.Context) (group.Position, error)
}

// Request says what a session needs a server connection for.
type Request struct {
	// Workspace is the name under which the request is queued and its
	// connection is isolated; on an open route it is the limit's name.
	Workspace string
	Weight    uint32
	Database  string
	// Read says that the client declared the transaction a read.
	Read  bool
	Floor group.Position
	// MaxAge bounds the age of the data, in addition to Floor; 0 sets no further
	// bound.
	MaxAge time.Duration
	// ReadWait bounds the wait for a fresh replica; 0 means the default.
	ReadWait time.Duration
}

// Conn is a pooled server connection, held by one session at a time.
type Conn interface {
	// Frontend receives the server's messages. Only the holder's relay uses it.
	Frontend() *pgproto3.Frontend
	// NetConn is the connection below Frontend; the session writes to it.
	NetConn() net.Conn
	Member() string
	// LastWorkspace is the workspace that held the connection before; "" when new.
	LastWorkspace() string
	// Prepared is the set of session state on the connection: canonical
	// statement names and, under the keys of settings.go, the settings. It
	// stays with the connection; only the holder reads or changes it.
	Prepared() map[string]struct{}
	// CancelKey returns the address (host:port), process and secret for a
	// cancel request.
	CancelKey() (address string, pid uint32, secret []byte)
	// Parameters are the ParameterStatus values reported at startup.
	Parameters() map[string]string
	// Release gives the connection back; it is closed unless reusable.
	Release(reusable bool)
}

// TokenCodec writes and checks session tokens. All methods may be called by any
// goroutine.
type TokenCodec interface {
	Sign(group, workspace string, p group.Position) string
	Verify(token, group, workspace string) (group.Position, error)
}

// Metrics receives one observation for each request. Observe may be called by
// any goroutine. The class is "read" or "write", and d the time from the first
// message of the request to its last answer, which is not written yet.
type Metrics interface {
	Observe(workspace, class string, d time.Duration, verdict string)
}
