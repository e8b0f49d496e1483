// Package failover decides when a database group needs another primary and
// carries the change out: detection, fencing, promotion and planned
// switchover. docs/design.md, sections 3 and 4, states the rules.
//
// A Machine belongs to one group and one instance. It does no I/O and reads no
// clock: the caller passes events with their time and executes the returned
// actions, each of which is answered by an event. Safety rests on the members'
// promises alone; time only decides when a promotion is attempted.
package failover

import (
	"math/rand/v2"
	"time"
)

// Default times. Together they keep an unplanned change of primary under 2 s
// with 7 serving instances: 400 ms detection, up to 900 ms rank delay and one
// failed attempt.
const (
	// DefaultProbeTimeout is the age above which a probe's answer no longer
	// counts as contact with the member.
	DefaultProbeTimeout = 300 * time.Millisecond
	// DefaultSuspectAfter is the silence after which the primary is suspected.
	DefaultSuspectAfter = 400 * time.Millisecond
	// DefaultContactLost is the reported primary contact above which a member
	// counts as cut off from its primary.
	DefaultContactLost = 500 * time.Millisecond
	// DefaultRankDelay is the delay per rank before an instance promotes.
	DefaultRankDelay = 150 * time.Millisecond
	// DefaultCallTimeout bounds the wait for the answers to a fence or promotion.
	DefaultCallTimeout = 300 * time.Millisecond
	// DefaultHoldLease is the time for which peers hold writes in a planned
	// switchover. It is renewed, and short, because writes wait for its end if
	// the instance that asked for it dies.
	DefaultHoldLease = 500 * time.Millisecond
	// DefaultDrainBound is the longest wait for running write transactions.
	DefaultDrainBound = time.Second
	// DefaultRepairDelay is the time after which a minority of members that
	// promised a term without a primary is brought back by a new term.
	DefaultRepairDelay = time.Second
)

// Times that follow from the probe interval of 100 ms.
const (
	// askPeersAfter is the silence of the primary after which peers are asked
	// for their view, so that the answers are in before the primary is suspected.
	askPeersAfter = 200 * time.Millisecond
	// askPeersInterval bounds the rate of such questions.
	askPeersInterval = 50 * time.Millisecond
	// peerMargin is the time by which a peer must have seen the primary later
	// than this instance; one probe interval is the phase between probers, the rest is latency.
	peerMargin = 150 * time.Millisecond
	// agreeAfter is the silence after which a peer's view counts as agreement
	// that the primary is gone; an earlier view was sent before the peer could
	// have noticed.
	agreeAfter = peerMargin + 100*time.Millisecond
	// peerRecent is the age up to which a peer's view says that the peer is up;
	// it covers two intervals of heartbeats.
	peerRecent = 1200 * time.Millisecond
	// pauseGap is the gap between steps that counts as a pause of this process.
	// Silence during a pause says nothing about the primary.
	pauseGap = 250 * time.Millisecond
	// otherGrace is the time given to another instance that has begun to fence.
	otherGrace = 300 * time.Millisecond
	// fenceGrace is the wait, once a majority is fenced, for reachable members
	// that have not answered yet; they may be the better choice.
	fenceGrace = 30 * time.Millisecond
	// jitter and the back-off range spread competing promoters.
	jitter     = 20 * time.Millisecond
	backoffMin = 50 * time.Millisecond
	backoffMax = 250 * time.Millisecond
	// catchUpBound is the longest wait for the chosen replica after the drain.
	catchUpBound = 500 * time.Millisecond
	// pollInterval is the interval of questions during a planned switchover.
	pollInterval = 10 * time.Millisecond
	// holdRenewal is the interval at which the hold of peers is renewed.
	holdRenewal = 100 * time.Millisecond
	// plannedRetry is the pause after a planned switchover that was given up.
	plannedRetry = time.Second
	// plannedRankDelay is the delay per rank before a planned switchover; it
	// exceeds the longest planned switchover, so that the next rank steps in
	// only if the one before it does nothing.
	plannedRankDelay = 3 * time.Second
	// steadyTick and busyTick are the recommended intervals of Tick.
	steadyTick = 50 * time.Millisecond
	busyTick   = 10 * time.Millisecond
)

// maxPlannedLag is the lag in entries up to which a planned switchover starts
// at once. Above it writes are not held yet, because the gap would be long.
const maxPlannedLag = 1000

// Config holds the identity and the times of a Machine. Zero times mean the defaults.
type Config struct {
	// Instance is the identity under which peers know this instance.
	Instance string
	// Owner is the owner of promises. It must name this process alone (identity
	// and epoch): a restarted process that shared its predecessor's owner could
	// promote a second member in the predecessor's term.
	Owner string
	// Rand is the source of jitter and back-off.
	Rand *rand.Rand

	ProbeTimeout time.Duration
	SuspectAfter time.Duration
	ContactLost  time.Duration
	RankDelay    time.Duration
	CallTimeout  time.Duration
	HoldLease    time.Duration
	DrainBound   time.Duration
	RepairDelay  time.Duration
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.ProbeTimeout, DefaultProbeTimeout)
	set(&c.SuspectAfter, DefaultSuspectAfter)
	set(&c.ContactLost, DefaultContactLost)
	set(&c.RankDelay, DefaultRankDelay)
	set(&c.CallTimeout, DefaultCallTimeout)
	set(&c.HoldLease, DefaultHoldLease)
	set(&c.DrainBound, DefaultDrainBound)
	set(&c.RepairDelay, DefaultRepairDelay)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return c
}
