package member

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// Default values of Options fields that are zero.
const (
	DefaultMaxConnections = 20
	DefaultSlots          = 3
	DefaultConnectCost    = 12 * time.Millisecond
	DefaultTerm           = 1
)

// Options configures a member.
type Options struct {
	// Listen and ReplicationListen are TCP listen addresses; empty means a free
	// port on the loopback interface.
	Listen            string
	ReplicationListen string
	// Peers maps the names of the other members to their replication addresses.
	Peers map[string]string
	Group string
	Name  string
	// Role and Term apply only to a member without stored state. An empty Role
	// means a replica; a Term of 0 means DefaultTerm. Exactly one member of a new
	// group must start as primary.
	Role group.Role
	Term uint64
	// Directory stores the member's state; empty means a temporary directory
	// that Close removes.
	Directory string
	// MaxConnections limits client connections other than control connections;
	// 0 means DefaultMaxConnections.
	MaxConnections int
	// Slots is the number of statements that may run concurrently; 0 means
	// DefaultSlots.
	Slots int
	// ConnectCost is the simulated time that it takes to open a client connection.
	// Connections are opened one at a time; control connections are exempt. 0 means
	// DefaultConnectCost, a negative value means no cost.
	ConnectCost time.Duration
	// ApplyLag is how long a replica waits after it received an entry before it
	// applies it.
	ApplyLag time.Duration
	// NetworkDelay is the one-way delay that is added to client connections and to
	// the replication connections that this member opens.
	NetworkDelay time.Duration
	// RecordTraffic keeps the bytes and startup parameters that clients send. The
	// recordings grow in memory without limit, so this is for tests only.
	RecordTraffic bool
	// Log is the logger; nil discards all log lines.
	Log logrus.FieldLogger
}

func (o Options) withDefaults() (Options, error) {
	if o.Group == "" || o.Name == "" {
		return o, errors.New("member: group and name must not be empty")
	}
	setDefault(&o.Listen, "127.0.0.1:0")
	setDefault(&o.ReplicationListen, "127.0.0.1:0")
	setDefault(&o.Role, group.Replica)
	setDefault(&o.Term, DefaultTerm)
	setDefault(&o.MaxConnections, DefaultMaxConnections)
	setDefault(&o.Slots, DefaultSlots)
	setDefault(&o.ConnectCost, DefaultConnectCost)
	if o.Role != group.Primary && o.Role != group.Replica {
		return o, errors.Newf("member: role %q is neither primary nor replica", o.Role)
	}
	if o.MaxConnections < 0 || o.Slots < 0 {
		return o, errors.New("member: connections and slots must not be negative")
	}
	if o.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		o.Log = discard
	}
	return o, nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
