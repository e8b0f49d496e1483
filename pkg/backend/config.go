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
	// DefaultUser is the role with which instances log in to the members.
	DefaultUser = "mulberrysill"
	// DefaultReadWait bounds the wait of a read for a replica that is fresh enough,
	// after which the read goes to the primary.
	DefaultReadWait = 25 * time.Millisecond
	// probeInterval is the time between the starts of two probes of a member.
	probeInterval = 100 * time.Millisecond
	// probeTimeout is the time after which a probe counts as failed.
	probeTimeout = 300 * time.Millisecond
	// minProbeInterval is the minimum time between probes of a member while a read
	// waits for a replica and requests probes outside the regular interval.
	minProbeInterval = 10 * time.Millisecond
	// maxStatusAge is the age above which the last status no longer makes a member a
	// candidate for reads, because reads on a member that does not respond hang.
	maxStatusAge = 400 * time.Millisecond
	// unresponsiveTimeout is the time without a response to status calls after which
	// the connections of the transactions on a member are closed, because clients of
	// a member that has crashed would hang otherwise. Status calls use none of the
	// member's statement slots, so that even an overloaded member responds.
	unresponsiveTimeout = 2 * time.Second
	// dialTimeout bounds the opening of a pooled connection, including authentication.
	dialTimeout = 3 * time.Second
	// waitCallTimeout is the timeout that is passed to mulberry_wait.
	waitCallTimeout = time.Second
	// defaultAcquireTimeout is the default of Config.AcquireTimeout. A failover or
	// switchover completes within 10 s.
	defaultAcquireTimeout = 8 * time.Second
	// defaultHeldRequestLimit is the default of Config.HeldRequestLimit.
	defaultHeldRequestLimit = 1000
	// defaultConfirmTimeout is the default of Config.ConfirmTimeout.
	defaultConfirmTimeout = 10 * time.Second
	// opensPerSecond and openBurst limit the rate at which this instance opens
	// connections to one member. Each costs the member up to 30 ms.
	opensPerSecond = 20
	openBurst      = 3
	// minOpenBackoff and maxOpenBackoff bound the delay after a failed attempt to
	// open a connection, which doubles with each further failure.
	minOpenBackoff = 50 * time.Millisecond
	maxOpenBackoff = time.Second
	// maintenanceInterval is the time between two maintenance runs of the pools.
	maintenanceInterval = 100 * time.Millisecond
	// pauseThreshold is the time between two maintenance runs above which the process
	// is assumed to have been paused.
	pauseThreshold = 500 * time.Millisecond
)

// Member is a member of the group as declared in the bundle.
type Member struct {
	Name string
	// Address is the IP address and port.
	Address string
	// Zone is the availability zone of the member's backend server.
	Zone string
}

// Events receives the results of probes. Its methods are called by the probe
// goroutine of the member and must not block.
type Events interface {
	// OnStatus reports the response to a probe. requestedAt and receivedAt are
	// readings of the monotonic clock.
	OnStatus(groupName, member string, s group.Status, requestedAt, receivedAt time.Time)
	// OnProbeFailure reports a probe that got no valid response.
	OnProbeFailure(groupName, member string, err error, requestedAt, failedAt time.Time)
}

// DialFunc opens a network connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config holds the settings of a Group. It must not change after NewGroup.
type Config struct {
	Group   string
	Members []Member
	// Zone is the availability zone of this instance.
	Zone string
	// User and Password are the credentials with which the instance logs in to the
	// members. An empty User means DefaultUser.
	User, Password string
	// Databases are the databases of the routes to the group. The pools are filled
	// with connections to them in advance.
	Databases []string
	// Events may be nil.
	Events Events
	// Dial may be nil; connections are then opened by a net.Dialer.
	Dial DialFunc
	// Log may be nil; nothing is logged then.
	Log logrus.FieldLogger
	// AcquireTimeout is the maximum time for which a request waits for a member or for
	// a connection, and a session for a sampled floor. ConfirmTimeout is the maximum
	// time for which a commit waits for its confirmation. HeldRequestLimit is the
	// maximum number of held requests, QueueLimit that of requests in the queue for
	// connections, both per group and instance. Values that are not above 0 mean the
	// defaults: 8 s, 10 s, 1,000 and 1,000.
	AcquireTimeout, ConfirmTimeout time.Duration
	HeldRequestLimit, QueueLimit   int
}

func (c Config) withDefaults() Config {
	if c.User == "" {
		c.User = DefaultUser
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.AcquireTimeout <= 0 {
		c.AcquireTimeout = defaultAcquireTimeout
	}
	if c.ConfirmTimeout <= 0 {
		c.ConfirmTimeout = defaultConfirmTimeout
	}
	if c.HeldRequestLimit <= 0 {
		c.HeldRequestLimit = defaultHeldRequestLimit
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
