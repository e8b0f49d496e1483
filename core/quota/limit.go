package quota

import "time"

// Limit is the rate in operations per second and the burst in operations.
type Limit struct{ Rate, Burst float64 }

// Tolerance is what the operators of a platform tolerate beyond a limit in any period of
// Window: a fraction Overage of what the limit allows in it, and Slack operations.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

const (
	// toleranceShare is the part of the tolerance that is used as additional burst of the
	// smallest limits. The rest covers what instances admit before they hear of each
	// other's admissions.
	toleranceShare = 0.5
	// maxWidenedBurst times the slack is the burst from which on a limit is not widened.
	// What is admitted unknown to others grows with the limit and takes all of the
	// tolerance, while an instance's share of a large limit is rarely below one operation.
	maxWidenedBurst = 5
)

// Widen returns the limit to enforce. Instances that know of each other's admissions only
// from reports cannot enforce a limit exactly; without the additional burst they refuse
// operations that are within it, above all of workspaces with a small one.
func (t Tolerance) Widen(l Limit) Limit {
	if l.Rate <= 0 && l.Burst <= 0 {
		return l
	}
	if t.Slack > 0 {
		share := toleranceShare * max(0, 1-l.Burst/(maxWidenedBurst*t.Slack))
		l.Burst += share * (t.Overage*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack)
	}
	return l
}

// restartShare is the part of the tolerance that Widen leaves with which the bucket starts
// after a restart. The rest covers what instances admit before they hear of each other.
const restartShare = 0.5

// RestartLevel returns the level at which the widened bucket of the limit starts on an
// instance that has restarted, as a fraction of the widened burst. What the fleet admitted
// before is unknown, and the bucket may have been empty. Without any tokens, an instance of
// a large fleet refuses everything until its share of the refill amounts to one operation,
// which takes seconds when all instances have restarted.
func (t Tolerance) RestartLevel(l Limit) float64 {
	widened := t.Widen(l)
	if widened.Burst <= 0 || t.Slack <= 0 {
		return 0
	}
	left := t.Overage*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack - (widened.Burst - l.Burst)
	return min(restartShare*max(left, 0)/widened.Burst, 1)
}
