package limits

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the moving average: short enough
	// to follow demand that moves between instances, long enough to smooth out
	// single requests.
	demandTimeConstant = 300 * time.Millisecond
	// minSampleInterval is the shortest interval over which a rate is sampled.
	minSampleInterval = 10 * time.Millisecond
	// idleRate is the rate in requests/s below which the demand counts as 0.
	idleRate = 0.01
)

// demandEstimator estimates the arrival rate of requests, admitted or not, as an
// exponentially weighted moving average in requests/s.
type demandEstimator struct {
	// arrivals counts the requests since updatedAt.
	arrivals  uint64
	updatedAt time.Time
	rate      float64
}

func (d *demandEstimator) update(now time.Time) {
	dt := now.Sub(d.updatedAt)
	if dt < minSampleInterval {
		return
	}
	sample := float64(d.arrivals) / dt.Seconds()
	d.rate += (sample - d.rate) * (1 - math.Exp(-dt.Seconds()/demandTimeConstant.Seconds()))
	if d.rate < idleRate {
		d.rate = 0
	}
	d.arrivals, d.updatedAt = 0, now
}

func (d *demandEstimator) isIdle() bool { return d.arrivals == 0 && d.rate == 0 }
