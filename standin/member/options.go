package member

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// Defaults of Options.
const (
	DefaultMaxConnections = 20
	DefaultSlots          = 3
	DefaultConnectCost    = 12 * time.Millisecond
	DefaultTerm           = 1
)

// Options are the settings of a member.
type Options struct {
	// Listen and ReplicationListen are TCP addresses; empty means a free
	// loopback port.
	Listen            string
	ReplicationListen string
	// Fellows are the replication addresses of the other members, by name.
	Fellows map[string]string
	Group   string
	Name    string
	// Role and Term apply to a member without stored state; empty means a
	// replica, and 0 DefaultTerm. The group has one initial primary.
	Role group.Role
	Term uint64
	// Directory holds the member's state; empty means a temporary directory
	// that Close removes.
	Directory string
	// MaxConnections limits ordinary connections; 0 means DefaultMaxConnections.
	MaxConnections int
	// Slots is the number of statements that run at once; 0 means DefaultSlots.
	Slots int
	// ConnectCost is the time that opening an ordinary connection takes. The
	// member opens one at a time. 0 means DefaultConnectCost, a negative value none.
	ConnectCost time.Duration
	// ApplyLag is the age that an entry reaches before a replica applies it.
	ApplyLag time.Duration
	// NetworkDelay is the one-way delay of every connection to this member.
	NetworkDelay time.Duration
	// Record keeps the bytes and startup parameters that clients send. They
	// stay in memory, so it is meant for tests.
	Record bool
	// Log receives log lines; nil discards them.
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
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		o.Log = silent
	}
	return o, nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
