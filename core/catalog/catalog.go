// Package catalog models the configuration that a platform's operators keep in
// the platform's store: routes, workspaces with their keys, and database groups.
// It is the counterpart of package bundle for deployments whose store validates
// and versions the configuration itself, so that no bundle is signed or published.
package catalog

import (
	"encoding/binary"
	"math"
	"strings"
	"time"
	"unicode"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// Consistency is the guarantee that a route gives to its reads.
type Consistency uint8

// Consistency levels, strictest first.
const (
	// Strict reads see every commit that was acknowledged before they began.
	Strict Consistency = iota
	// ReadYourWrites reads see all commits of their own session, and every other
	// commit that is older than Route.MaxStaleness.
	ReadYourWrites
	// BoundedStaleness reads see every commit that is older than Route.MaxStaleness.
	BoundedStaleness
)

var consistencyNames = [...]string{"strict", "read-your-writes", "bounded-staleness"}

// String returns the name used in logs.
func (c Consistency) String() string { return consistencyNames[c] }

// Route maps the database name that a client asks for to a database group.
type Route struct {
	Name        string
	Database    string
	Group       string
	Consistency Consistency
	// StatementTimeout limits the time of one statement, including the wait for a
	// connection.
	StatementTimeout time.Duration
	// TargetLatency is the latency that clients expect of an operation.
	TargetLatency time.Duration
	// MaxStaleness limits the age of the data that a read may return.
	MaxStaleness time.Duration
	// Priority orders routes under overload; 0 is the highest priority.
	Priority int
	// Open says that clients need no key.
	Open bool
}

// Workspace is a customer with its rate limit and keys. Rate and Burst apply to all
// instances together.
type Workspace struct {
	Name string
	// Rate is in operations per second; 0 means unlimited.
	Rate float64
	// Burst is in operations.
	Burst float64
	Keys  []string
}

// Group is a database group.
type Group struct {
	Name string
	// MaxConnections limits the connections to one member from all instances
	// together.
	MaxConnections int
	// ColdRate limits the requests per second to a member that has just started; 0
	// means unlimited.
	ColdRate float64
}

// Spec is one version of the configuration.
type Spec struct {
	Version    uint64
	Routes     []Route
	Workspaces []Workspace
	Groups     []Group
	// IdleInTransaction is the time after which an idle transaction may be aborted;
	// 0 means never.
	IdleInTransaction time.Duration
}

// Catalog is a validated Spec with lookup indexes. It is immutable and safe for
// concurrent use.
type Catalog struct {
	spec            Spec
	routeByDatabase map[string]*Route
	workspaceByKey  map[string]*Workspace
	groups          map[string]*Group
}

// Compile validates and indexes the spec. It fails if the version is 0, if two
// routes have the same database, or if two workspaces share a key.
func Compile(spec Spec) (*Catalog, error) {
	c := &Catalog{
		spec: spec, routeByDatabase: make(map[string]*Route, len(spec.Routes)),
		workspaceByKey: make(map[string]*Workspace, 2*len(spec.Workspaces)), groups: make(map[string]*Group, len(spec.Groups)),
	}
	if spec.Version == 0 {
		return nil, errors.New("configuration has no version")
	}
	for i := range spec.Groups {
		c.groups[spec.Groups[i].Name] = &spec.Groups[i]
	}
	for i := range spec.Routes {
		r := &spec.Routes[i]
		if c.routeByDatabase[r.Database] != nil {
			return nil, errors.Newf("database %q has two routes", r.Database)
		}
		c.routeByDatabase[r.Database] = r
	}
	for i := range spec.Workspaces {
		w := &spec.Workspaces[i]
		for _, key := range w.Keys {
			if other := c.workspaceByKey[key]; other != nil && other.Name != w.Name {
				return nil, errors.Newf("workspaces %q and %q have a key in common", other.Name, w.Name)
			}
			c.workspaceByKey[key] = w
		}
	}
	return c, nil
}

// Version returns the version of the configuration.
func (c *Catalog) Version() uint64 { return c.spec.Version }

// IdleInTransaction returns the time after which an idle transaction may be
// aborted; 0 means never.
func (c *Catalog) IdleInTransaction() time.Duration { return c.spec.IdleInTransaction }

// Workspaces returns all workspaces. The caller must not modify them.
func (c *Catalog) Workspaces() []Workspace { return c.spec.Workspaces }

// Groups returns all database groups. The caller must not modify them.
func (c *Catalog) Groups() []Group { return c.spec.Groups }

// Group returns the database group with the name, or nil.
func (c *Catalog) Group(name string) *Group { return c.groups[name] }

// Route returns the route of the database, or nil.
func (c *Catalog) Route(database string) *Route { return c.routeByDatabase[database] }

// anonymousWorkspace is the workspace of clients without a key on open routes.
var anonymousWorkspace = &Workspace{Name: "anonymous"}

// Decision returns a digest of a route and a workspace, without the keys. Instances compare
// it to find out whether two configurations decide alike; it is not secure.
func Decision(route *Route, workspace *Workspace) uint64 {
	var buffer [256]byte
	b := buffer[:0]
	for _, text := range []string{route.Name, route.Database, route.Group, workspace.Name} {
		b = append(binary.AppendUvarint(b, uint64(len(text))), text...)
	}
	for _, n := range []uint64{
		uint64(route.Consistency), uint64(route.StatementTimeout), uint64(route.TargetLatency), uint64(route.MaxStaleness),
		uint64(route.Priority), math.Float64bits(workspace.Rate), math.Float64bits(workspace.Burst),
	} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	if route.Open {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// IsName reports whether the text can be a field of a message whose fields are separated by
// blanks and which ends with the line.
func IsName(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) })
}

// Authorize returns the route of the database and the workspace that owns the key.
// On failure it returns a *verdict.Error with the verdict NotRun and the code
// NoSuchRoute, AuthenticationFailed, or InvalidAuthorization for a workspace whose name
// cannot be sent to members.
func (c *Catalog) Authorize(database, key string) (*Route, *Workspace, error) {
	route := c.routeByDatabase[database]
	if route == nil {
		return nil, nil, verdict.New(verdict.NotRun, verdict.NoSuchRoute, "no such database")
	}
	workspace := c.workspaceByKey[key]
	if workspace == nil {
		if !route.Open {
			return nil, nil, verdict.New(verdict.NotRun, verdict.AuthenticationFailed, "unknown key")
		}
		workspace = anonymousWorkspace
	}
	if !IsName(workspace.Name) {
		return nil, nil, verdict.New(verdict.NotRun, verdict.InvalidAuthorization, "the name of workspace %q cannot be sent to members", workspace.Name)
	}
	return route, workspace, nil
}
