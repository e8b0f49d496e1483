package gateway

import (
	"sync"
	"time"

	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/usage"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// usageCounter counts, for the usage reports, the requests of this instance's clients that
// members began to run. It is nil if the platform expects no reports, and safe for
// concurrent use.
type usageCounter struct {
	window time.Duration

	mu      sync.Mutex
	clock   *usage.Clock   // guarded by mu
	counter *usage.Counter // guarded by mu
	// unanswered holds the number of attempts of each window that have been sent and not
	// been answered; guarded by mu.
	unanswered map[usage.Window]int
}

func newUsageCounter(window time.Duration) *usageCounter {
	return &usageCounter{
		window: window, clock: usage.NewClock(time.Duration(time.Now().UnixNano()), bootTime()),
		counter: usage.NewCounter(window), unanswered: map[usage.Window]int{},
	}
}

// now returns the corrected time.
func (c *usageCounter) now() usage.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now(bootTime())
}

// rawMicros returns the uncorrected time in microseconds since 1970.
func (c *usageCounter) rawMicros() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Raw(bootTime()).Microseconds()
}

// observeClock records the uncorrected clock of a peer: see usage.Clock.
func (c *usageCounter) observeClock(peer string, difference, roundTrip time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock.Observe(peer, difference, roundTrip, bootTime())
}

// comparedClocks returns the number of peers with which the clock was compared.
func (c *usageCounter) comparedClocks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Peers(bootTime())
}

// dropped returns the number of requests whose counts were dropped before they were too old,
// and of all that were dropped.
func (c *usageCounter) dropped() (early, total uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counter.DroppedEarly(), c.counter.Dropped()
}

// usageAttempt is a statement that has been sent to a member or relayed to a peer. The zero
// value is not counted.
type usageAttempt struct {
	counted bool
	// sentAt is a reading of the boot clock.
	sentAt time.Duration
	window usage.Window
}

// begin records that an attempt is being sent.
func (c *usageCounter) begin() usageAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	sentAt := bootTime()
	a := usageAttempt{counted: true, sentAt: sentAt, window: usage.WindowAt(c.clock.Now(sentAt).True, c.window)}
	c.unanswered[a.window]++
	return a
}

// end counts n requests of the workspace that began to run at the given reading of the boot
// clock, and forgets the attempt.
func (c *usageCounter) end(a usageAttempt, workspace string, at time.Duration, n uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered[a.window]--; c.unanswered[a.window] == 0 {
		delete(c.unanswered, a.window)
	}
	c.counter.Add(workspace, c.clock.Now(at).True, n)
}

// completeThrough returns the last window that has ended and of which no attempt may still
// be counted. The caller holds c.mu.
func (c *usageCounter) completeThrough() usage.Window {
	through := usage.WindowAt(c.clock.Now(bootTime()).True, c.window) - 1
	for window := range c.unanswered {
		through = min(through, window-1)
	}
	return through
}

// runsRequest reports whether a statement of this kind is one that members run. A
// transaction without such a statement is not counted: it only begins and ends.
func runsRequest(kind statement.Kind) bool {
	return kind == statement.Read || kind == statement.Write || kind == statement.Execute
}

// beginAttempt records that a statement is being sent to a member or relayed. Of a
// transaction only the first statement counts.
func (s *session) beginAttempt(st statement.Statement) usageAttempt {
	if s.gw.usageCounter == nil || !runsRequest(st.Kind) || (s.tx != nil && s.tx.isCounted) {
		return usageAttempt{}
	}
	if s.isRelayed {
		// The instance that the client is connected to counts.
		return usageAttempt{counted: true, sentAt: bootTime()}
	}
	return s.gw.usageCounter.begin()
}

// endAttempt counts the attempt unless the member answered that it has not run the
// statement. One without an answer may have run.
func (s *session) endAttempt(a usageAttempt, workspace string, replies []statement.Reply, err error) {
	if !a.counted {
		return
	}
	var n uint64 = 1
	if err == nil && replies[0].Err != nil && replies[0].Err.NotRun() {
		n = 0
	}
	if n > 0 && s.tx != nil {
		s.tx.isCounted = true
	}
	if s.isRelayed {
		s.startedAttempts += uint32(n)
		s.lastStartedAt = a.sentAt
		return
	}
	s.gw.usageCounter.end(a, workspace, a.sentAt, n)
}

// endRelayedAttempt counts the attempts that a peer made for a relayed statement. Without an
// answer one is counted, unless the statement never left this instance.
func (s *session) endRelayedAttempt(a usageAttempt, workspace string, answer *pb.RunResponse, err error) {
	if !a.counted {
		return
	}
	n, at := uint64(answer.GetStartedAttempts()), a.sentAt
	switch {
	case err == nil:
		at = max(a.sentAt, bootTime()-time.Duration(answer.LastStartedAgeUs)*time.Microsecond)
	case !isDialError(err):
		n = 1
	}
	if n > 0 && s.tx != nil {
		s.tx.isCounted = true
	}
	s.gw.usageCounter.end(a, workspace, at, n)
}

// reportAttempts tells the peer that relayed the statement how many attempts began to run.
func (s *session) reportAttempts(out *pb.RunResponse) {
	if s.startedAttempts == 0 {
		return
	}
	out.StartedAttempts = s.startedAttempts
	out.LastStartedAgeUs = uint64((bootTime() - s.lastStartedAt).Microseconds())
	s.startedAttempts = 0
}
