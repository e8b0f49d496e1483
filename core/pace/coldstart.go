package pace

import (
	"math"
	"time"
)

const (
	// coldSpan is the span over which requests to a cold member are counted.
	coldSpan = time.Second
	// coldTolerance and coldToleranceExtra say how many requests in a span of coldSpan
	// the platform tolerates, as a multiple of the rate and in addition to it.
	coldTolerance, coldToleranceExtra = 1.5, 5
	// maxColdInterval keeps intervals of very low rates within the range of a Duration.
	maxColdInterval = 1000 * time.Hour
)

// ColdStart limits the requests of one instance to a member while the member is cold.
// The serving instances divide the rate without communication. No span of one second
// contains more requests of all of them than the platform tolerates, even if the
// instances' numbers of instances and ranks differ by one.
//
// If the tolerated number is too small for a request of each instance, only the
// instances of the lowest ranks send requests.
type ColdStart struct {
	rate float64
	// interval is the shortest time between two requests, or 0 if this instance sends
	// none.
	interval time.Duration
	nextAt   time.Time
	lastAt   time.Time
	until    time.Time
}

// NewColdStart returns a limiter that allows no request to a cold member until
// SetShare is called. rate is the group's cold rate in requests per second; 0 means that
// there is no limit.
func NewColdStart(rate float64) *ColdStart { return &ColdStart{rate: rate} }

// SetShare sets the number of instances that serve the member and the rank of this
// instance among them, from 0 to instances-1, or -1 if it is not one of them. An
// instance that did not send requests before sends the first one after coldSpan, since
// another instance may have sent its part until now.
func (c *ColdStart) SetShare(rank, instances int, now time.Time) {
	interval := time.Duration(0)
	if senders := coldSenders(c.rate, instances); rank >= 0 && rank < senders {
		interval = coldInterval(c.rate, senders)
	}
	switch {
	case interval == 0:
	case c.interval == 0:
		c.nextAt = now.Add(coldSpan)
	case !c.lastAt.IsZero():
		c.nextAt = c.lastAt.Add(interval)
	}
	c.interval = interval
}

// SetCold records that the member says at now that it stays cold for left.
func (c *ColdStart) SetCold(now time.Time, left time.Duration) { c.until = now.Add(left) }

// IsCold reports whether the member is cold at now.
func (c *ColdStart) IsCold(now time.Time) bool { return c.rate > 0 && now.Before(c.until) }

// Take reserves a request at now. If none is allowed, it reserves nothing and returns
// the time after which to call it again.
func (c *ColdStart) Take(now time.Time) (wait time.Duration, ok bool) {
	if !c.IsCold(now) {
		return 0, true
	}
	left := c.until.Sub(now)
	switch {
	case c.interval == 0:
		return left, false
	case now.Before(c.nextAt):
		return min(c.nextAt.Sub(now), left), false
	}
	c.lastAt, c.nextAt = now, now.Add(c.interval)
	return 0, true
}

// toleratedRequests returns the number of requests that are tolerated in coldSpan.
func toleratedRequests(rate float64) int {
	return int(math.Floor(coldTolerance*rate + coldToleranceExtra))
}

// requestsPerSpan returns the largest number of requests in a span of coldSpan,
// including both ends, at the given interval.
func requestsPerSpan(interval time.Duration) int { return 1 + int(coldSpan/interval) }

// coldSenders returns the number of instances that send requests. One more than that
// may do so while the instances disagree, and all of them together must stay within
// the tolerance.
func coldSenders(rate float64, instances int) int {
	if rate <= 0 {
		return 0
	}
	senders := min(instances, 1)
	for n := 2; n <= instances; n++ {
		if (n+1)*requestsPerSpan(exactInterval(rate, n)) > toleratedRequests(rate) {
			break
		}
		senders = n
	}
	return senders
}

// exactInterval returns the interval at which n instances together send rate requests
// per second.
func exactInterval(rate float64, n int) time.Duration {
	return time.Duration(math.Ceil(min(float64(n)*float64(time.Second)/rate, float64(maxColdInterval))))
}

// coldInterval returns the interval of each of n instances. A single instance may have
// to send less than the rate, because a second instance may not know of it yet.
func coldInterval(rate float64, n int) time.Duration {
	interval := exactInterval(rate, n)
	if allowed := toleratedRequests(rate) / (n + 1); requestsPerSpan(interval) > allowed {
		// The next request after allowed requests falls outside of the span.
		interval = coldSpan/time.Duration(allowed) + 1
	}
	return interval
}
