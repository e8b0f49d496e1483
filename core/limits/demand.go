package limits

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the estimate: short enough to follow
	// a demand that moves, long enough to smooth over single requests.
	demandWindow = 300 * time.Millisecond
	// minSample is the shortest interval over which a rate is measured.
	minSample = 10 * time.Millisecond
	// idleRate is the rate in requests/s below which there is no demand.
	idleRate = 0.01
)

// demand estimates the rate at which requests arrive, admitted or not, as an
// exponentially weighted average in requests/s.
type demand struct {
	arrivals uint64
	at       time.Time
	rate     float64
}

func (d *demand) update(now time.Time) {
	dt := now.Sub(d.at)
	if dt < minSample {
		return
	}
	sample := float64(d.arrivals) / dt.Seconds()
	d.rate += (sample - d.rate) * (1 - math.Exp(-dt.Seconds()/demandWindow.Seconds()))
	if d.rate < idleRate {
		d.rate = 0
	}
	d.arrivals, d.at = 0, now
}

func (d *demand) isIdle() bool { return d.arrivals == 0 && d.rate == 0 }
