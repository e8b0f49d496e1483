// Package failover decides when a database group needs a new primary and drives
// the change: failure detection, fencing, promotion and planned switchover. The
// rules are specified in docs/design.md, sections 3 and 4.
//
// A Machine is the deterministic state machine for one group on one instance.
// It does no I/O and reads no clock: the caller passes timestamped events to
// Step and executes the returned actions, whose results come back as events.
// Safety depends only on the terms that members have promised; timeouts only
// decide when a promotion is attempted.
package failover

import (
	"math/rand/v2"
	"time"
)

// Default timeouts. Together they keep an unplanned failover below 2 s with 7
// serving instances: 400 ms detection, up to 900 ms rank delay and one failed
// attempt.
const (
	// DefaultProbeTimeout is the maximum age of a probe response that still
	// counts as contact with the member.
	DefaultProbeTimeout = 300 * time.Millisecond
	// DefaultSuspectAfter is how long the primary may go without responding
	// before this instance considers it unreachable.
	DefaultSuspectAfter = 400 * time.Millisecond
	// DefaultContactLostAfter is the time since last contact with the primary
	// after which a member counts as disconnected from it.
	DefaultContactLostAfter = 500 * time.Millisecond
	// DefaultRankDelay is the extra delay per rank before an instance starts a
	// promotion, so that instances do not compete.
	DefaultRankDelay = 150 * time.Millisecond
	// DefaultCallTimeout bounds the wait for responses to fence and promote calls.
	DefaultCallTimeout = 300 * time.Millisecond
	// DefaultHoldLease is how long peers hold writes during a planned switchover
	// without renewal. It is short because writes stay blocked until it expires
	// if the requesting instance crashes.
	DefaultHoldLease = 500 * time.Millisecond
	// DefaultDrainTimeout bounds the wait for running write transactions.
	DefaultDrainTimeout = time.Second
	// DefaultRepairDelay is how long a minority of members may have promised a
	// higher term that has no primary before a new term brings them back.
	DefaultRepairDelay = time.Second
)

// Timeouts derived from the probe interval of 100 ms.
const (
	// askPeersAfterSilence is how long the primary may go without responding
	// before peers are asked for their views, so that the views arrive before
	// the primary is considered unreachable.
	askPeersAfterSilence = 200 * time.Millisecond
	// askPeersInterval limits the rate of these requests.
	askPeersInterval = 50 * time.Millisecond
	// peerViewMargin is how much later than this instance a peer must have seen
	// the primary for its view to count. It covers one probe interval of phase
	// difference between probers plus latency.
	peerViewMargin = 150 * time.Millisecond
	// peerAgreementDelay is how long after this instance's last contact with the
	// primary a peer's view must arrive to count as agreement that the primary
	// is unreachable. An earlier view was sent before the peer could notice.
	peerAgreementDelay = peerViewMargin + 100*time.Millisecond
	// peerViewMaxAge is the maximum age of a peer's view for the peer to count as
	// alive. It covers two heartbeat intervals.
	peerViewMaxAge = 1200 * time.Millisecond
	// pauseThreshold is the time between steps above which this process counts
	// as having been paused. Missing responses during a pause say nothing about
	// the primary.
	pauseThreshold = 250 * time.Millisecond
	// competingAttemptDelay gives another instance that has started fencing time
	// to finish.
	competingAttemptDelay = 300 * time.Millisecond
	// lateFenceWait is how long to wait, after a majority is fenced, for
	// reachable members that have not responded yet and may be better candidates.
	lateFenceWait = 30 * time.Millisecond
	// maxRankJitter and the back-off range spread out competing promoters.
	maxRankJitter = 20 * time.Millisecond
	backoffMin    = 50 * time.Millisecond
	backoffMax    = 250 * time.Millisecond
	// catchUpTimeout bounds the wait for the target replica to catch up after
	// the drain.
	catchUpTimeout = 500 * time.Millisecond
	// pollInterval is the polling interval during a planned switchover.
	pollInterval = 10 * time.Millisecond
	// holdRenewalInterval is the interval at which write holds are renewed on peers.
	holdRenewalInterval = 100 * time.Millisecond
	// plannedRetryDelay is the delay after a cancelled planned switchover.
	plannedRetryDelay = time.Second
	// plannedRankDelay is the delay per rank before a planned switchover. It
	// exceeds the longest planned switchover, so that the next rank starts one
	// only if the previous rank did nothing.
	plannedRankDelay = 3 * time.Second
	// steadyTickInterval and busyTickInterval are the recommended Tick intervals.
	steadyTickInterval = 50 * time.Millisecond
	busyTickInterval   = 10 * time.Millisecond
)

// maxPlannedLag is the maximum replication lag, in log entries, at which a
// planned switchover starts immediately. With a larger lag writes would be
// blocked for too long, so the switchover first waits for the replica.
const maxPlannedLag = 1000

// Config holds the identity and timeouts of a Machine. Zero durations select
// the defaults.
type Config struct {
	// Instance is the name by which peers know this instance.
	Instance string
	// Owner is the identity to which members promise terms. It must be unique to
	// this process (instance identity and epoch): a restarted process that reused
	// its predecessor's owner could promote a second member in the same term.
	Owner string
	// Rand is the source of jitter and back-off.
	Rand *rand.Rand

	ProbeTimeout     time.Duration
	SuspectAfter     time.Duration
	ContactLostAfter time.Duration
	RankDelay        time.Duration
	CallTimeout      time.Duration
	HoldLease        time.Duration
	DrainTimeout     time.Duration
	RepairDelay      time.Duration
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.ProbeTimeout, DefaultProbeTimeout)
	set(&c.SuspectAfter, DefaultSuspectAfter)
	set(&c.ContactLostAfter, DefaultContactLostAfter)
	set(&c.RankDelay, DefaultRankDelay)
	set(&c.CallTimeout, DefaultCallTimeout)
	set(&c.HoldLease, DefaultHoldLease)
	set(&c.DrainTimeout, DefaultDrainTimeout)
	set(&c.RepairDelay, DefaultRepairDelay)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return c
}
