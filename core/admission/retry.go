package admission

import (
	"math"
	"time"
)

const (
	// MinRetryTime and MaxRetryTime bound the times after which clients are told to
	// retry.
	MinRetryTime, MaxRetryTime = 50 * time.Millisecond, 2 * time.Second
	// retryShare is the fraction of the members' rate for which refused requests are
	// told to return. The rest serves new requests, whose arrival does not pause.
	retryShare = 0.5
)

// RetryTimes spreads the retry times of refused requests over the time in which the
// members can serve them, so that requests that are refused at one moment do not
// return together. The zero value is ready for use.
type RetryTimes struct {
	// reservedUntil is the end of the time reserved for the refused requests of each
	// priority.
	reservedUntil map[int]time.Time
	// beyondMax counts the requests for which no time was left before MaxRetryTime.
	beyondMax int
}

// Next returns the time after which a request that is refused at now is to be retried.
// backlog is the time in which the requests ahead of it will have been served, and
// service the time in which the members complete one such request: its service time
// divided by the rate. A request returns after the refused requests of its own and of
// more urgent priorities, and is not delayed by those of less urgent ones.
func (r *RetryTimes) Next(now time.Time, priority int, backlog, service time.Duration) time.Duration {
	at := now.Add(max(backlog, MinRetryTime))
	for p, until := range r.reservedUntil {
		if p <= priority && until.After(at) {
			at = until
		}
	}
	after := at.Sub(now)
	if after > MaxRetryTime {
		// Steps of the golden ratio spread any number of requests evenly over the
		// second half of the range.
		r.beyondMax++
		_, fraction := math.Modf(float64(r.beyondMax) * (math.Phi - 1))
		return MaxRetryTime - time.Duration(fraction*float64(MaxRetryTime-MinRetryTime)/2)
	}
	if r.reservedUntil == nil {
		r.reservedUntil = map[int]time.Time{}
	}
	r.reservedUntil[priority] = at.Add(seconds(service.Seconds() / retryShare))
	return after
}
