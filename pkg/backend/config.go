package backend

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/admission"
	"github.com/mulberrysill/mulberrysill/core/group"
)

const (
	// DefaultUser is the role of the instances on the members.
	DefaultUser = "mulberrysill"
	// DefaultReadWait is the time that a read waits for a fresh replica before
	// it goes to the primary.
	DefaultReadWait = 25 * time.Millisecond
	// probeInterval is the time between the starts of two probes of a member.
	probeInterval = 100 * time.Millisecond
	// probeTimeout is the time after which a probe counts as failed.
	probeTimeout = 300 * time.Millisecond
	// minProbeInterval bounds the extra probes that are made while a read waits
	// for a replica.
	minProbeInterval = 10 * time.Millisecond
	// statusLifetime is the age above which a status no longer makes a member a
	// candidate for reads: a member that does not answer would hang them.
	statusLifetime = 400 * time.Millisecond
	// lostAfter is the time without any answer to status calls after which the
	// transactions on a member are given up. Status calls use no slot, so even an
	// overloaded member answers them; clients of a dead one would hang otherwise.
	lostAfter = 2 * time.Second
	// dialTimeout bounds opening a pooled connection, authentication included.
	dialTimeout = 3 * time.Second
	// waitCallTimeout is the timeout that mulberry_wait is given.
	waitCallTimeout = time.Second
	// holdBound is the longest time that a request waits for a member or a
	// connection. A change of primary is complete within 10 s.
	holdBound = 8 * time.Second
	// heldLimit is the largest number of requests that wait for a member to be
	// chosen, per group and instance.
	heldLimit = 1000
	// confirmBound is the longest time for which a commit is held.
	confirmBound = 10 * time.Second
	// opensPerSecond and openBurst bound the rate of new connections to one
	// member from this instance. A new connection costs a member up to 30 ms.
	opensPerSecond = 20
	openBurst      = 3
	// openBackoff and maxOpenBackoff bound the time between failed attempts.
	openBackoff    = 50 * time.Millisecond
	maxOpenBackoff = time.Second
	// upkeepInterval is the time between checks of the pooled connections.
	upkeepInterval = 100 * time.Millisecond
	// pauseThreshold is the time between two of these checks above which the
	// process counts as having been paused.
	pauseThreshold = 500 * time.Millisecond
)

// Member is a member of the group as the bundle declares it.
type Member struct {
	Name string
	// Address is the IP address and port.
	Address string
	// Zone is the availability zone of the member's backend server.
	Zone string
}

// Events receives the results of probes. The methods are called from the probing
// goroutine of the member and must return without waiting.
type Events interface {
	// OnStatus reports a status. askedAt and answeredAt carry monotonic readings.
	OnStatus(groupName, member string, s group.Status, askedAt, answeredAt time.Time)
	// OnProbeFailure reports a probe without an answer.
	OnProbeFailure(groupName, member string, err error, askedAt, failedAt time.Time)
}

// DialFunc opens a network connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config is what a Group needs to know. It must not change after NewGroup.
type Config struct {
	Group   string
	Members []Member
	// Zone is the availability zone of this instance.
	Zone string
	// User and Password are the instance's credentials on the members. An empty
	// User means DefaultUser.
	User, Password string
	// Databases are those of the group's routes; connections to them are kept open.
	Databases []string
	// Events may be nil.
	Events Events
	// Dial may be nil; then connections are opened by a net.Dialer.
	Dial DialFunc
	// Log may be nil; then nothing is logged.
	Log logrus.FieldLogger
	// HoldBound, ConfirmBound, HeldLimit and QueueLimit replace the defaults of
	// 8 s, 10 s, 1,000 and 1,000 if they are above 0.
	HoldBound, ConfirmBound time.Duration
	HeldLimit, QueueLimit   int
}

func (c Config) withDefaults() Config {
	if c.User == "" {
		c.User = DefaultUser
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.HoldBound <= 0 {
		c.HoldBound = holdBound
	}
	if c.ConfirmBound <= 0 {
		c.ConfirmBound = confirmBound
	}
	if c.HeldLimit <= 0 {
		c.HeldLimit = heldLimit
	}
	if c.QueueLimit <= 0 {
		c.QueueLimit = admission.DefaultQueueLimit
	}
	return c
}

func (c Config) validate() error {
	if c.Group == "" || len(c.Members) == 0 {
		return errors.New("backend: a group needs a name and at least one member")
	}
	seen := map[string]bool{}
	for _, m := range c.Members {
		if m.Name == "" || m.Address == "" || seen[m.Name] {
			return errors.Newf("backend: group %s: member %q lacks a unique name or an address", c.Group, m.Name)
		}
		seen[m.Name] = true
	}
	return nil
}
