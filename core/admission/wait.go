package admission

import (
	"math"
	"time"
)

// ServiceAhead returns the service time of the waiting items that go before a new item
// it, considering only matching items: those that compete for the members that the new
// item can use. It covers the more urgent priorities, the new item's place in the
// fair order of its own, and the minimum shares of the less urgent ones. Requests that
// arrive later and go before it are covered by Overtaking.
func (q *Queue) ServiceAhead(it Item, match func(Item) bool) time.Duration {
	priority, minShare := it.Priority, q.minShare()
	if q.priorities == nil {
		priority = 0
	}
	var moreUrgent, own time.Duration
	ownCost, ownCredit := initialCost.Seconds(), 0.0
	for _, c := range q.classes {
		switch {
		case c.priority < priority:
			moreUrgent += c.work(match)
		case c.priority == priority:
			own = c.workAhead(&it, match)
			ownCost, ownCredit = c.meanCostSeconds, c.share(it.Member).credit
		}
	}
	ahead := moreUrgent + own
	if moreUrgent > 0 && minShare > 0 {
		// The minimum share bounds how long more urgent requests go before the item.
		ahead = min(ahead, max(seconds((own.Seconds()+ownCost-ownCredit)/minShare), own))
	}
	return q.addMinShares(priority, ahead, match)
}

// addMinShares returns the service ahead including that of the less urgent priorities,
// which receive their minimum shares meanwhile.
func (q *Queue) addMinShares(priority int, ahead time.Duration, match func(Item) bool) time.Duration {
	minShare, total := q.minShare(), ahead
	if minShare == 0 {
		return ahead
	}
	type lower struct {
		credit, cost float64
		work         time.Duration
	}
	var lowers []lower
	for _, c := range q.classes {
		if c.priority <= priority {
			continue
		}
		for _, s := range c.shares {
			if s.waiting > 0 {
				work := c.work(func(it Item) bool { return it.Member == s.member && match(it) })
				lowers = append(lowers, lower{s.credit, c.shareCost(), work})
			}
		}
	}
	// The shares of the shares themselves are below 1% after the second pass.
	for range 2 {
		var shares time.Duration
		for _, l := range lowers {
			if credit := l.credit + float64(minShare*total.Seconds()); credit >= l.cost {
				shares += min(seconds(credit), l.work)
			}
		}
		total = ahead + shares
	}
	return total
}

// work returns the service time of the matching items. Sums are whole nanoseconds, so
// that they do not depend on the order of the accounts.
func (c *class) work(match func(Item) bool) time.Duration {
	var sum time.Duration
	for _, a := range c.accounts {
		sum += time.Duration(a.count(match)) * a.meanCost()
	}
	return sum
}

// workAhead returns the service time of the matching items of the class that the fair
// order puts before the new item.
func (c *class) workAhead(it *Item, match func(Item) bool) time.Duration {
	var sum time.Duration
	virtualTime := c.virtualTime
	own := c.accounts[it.Workspace]
	if own != nil {
		sum = time.Duration(own.count(match)) * own.meanCost()
		virtualTime = own.virtualTime
		if len(own.items) == 0 {
			virtualTime = max(virtualTime, c.virtualTime)
		}
	}
	// start is the virtual time of the account when it is the new item's turn.
	start := min(virtualTime+sum.Seconds()/float64(max(it.Weight, 1)), c.virtualTime+maxVirtualTimeLead.Seconds())
	for _, a := range c.accounts {
		if a == own || a.virtualTime > start {
			continue
		}
		if waiting := a.count(match); waiting > 0 {
			turns := (start-a.virtualTime)*a.weight/max(a.meanCostSeconds, minCost.Seconds()) + 1
			sum += time.Duration(min(float64(waiting), math.Floor(turns))) * a.meanCost()
		}
	}
	return sum
}

// meanCost returns the mean cost of a request of the account.
func (a *account) meanCost() time.Duration { return seconds(a.meanCostSeconds) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// minCost keeps the number of turns finite for workspaces whose requests cost nothing.
const minCost = time.Microsecond

// Load describes the members that a request can use, for the expected wait.
type Load struct {
	// Ahead is the service time of the requests that go before it (ServiceAhead).
	Ahead time.Duration
	// InProgress is the number of statements in progress, including connections
	// being opened, and Remaining the sum of their remaining service times.
	InProgress int
	Remaining  time.Duration
	// Limit is the number of statements that may be in progress.
	Limit int
	// Rate is the service time that the members complete per unit of time, for
	// example 4 with 4 slots that are always in use. 0 means Limit.
	Rate float64
	// Overtaking is the service time per unit of time that later requests are
	// expected to take before this one (Queue.Overtaking).
	Overtaking float64
	// OpenTime is the time to open a connection; 0 if the request needs no new one.
	OpenTime time.Duration
}

// HasFreeSlot reports whether a request can start now.
func (l Load) HasFreeSlot() bool { return l.Ahead <= 0 && l.InProgress < l.Limit }

// workAhead returns the service time that must be completed before the request starts.
// It starts when fewer than Limit statements are in progress, so of the work in progress
// only a part counts: with Limit statements in progress, one of them.
func (l Load) workAhead() time.Duration {
	limit := max(l.Limit, 1)
	if l.InProgress < limit {
		return l.Ahead
	}
	return l.Ahead + seconds(l.Remaining.Seconds()*float64(l.InProgress-limit+1)/float64(l.InProgress))
}

func (l Load) rate() float64 {
	if l.Rate > 0 {
		return l.Rate
	}
	return float64(max(l.Limit, 1))
}

// ExpectedWait returns the expected time until a request with the load runs.
func ExpectedWait(l Load) time.Duration {
	rate := max(l.rate()-l.Overtaking, minWaitRate*l.rate())
	return seconds(l.workAhead().Seconds()/rate) + l.OpenTime
}

// ShouldRefuse reports whether a request is to be refused rather than queued: it is not
// expected to start within its remaining time, and no slot is free that it could use.
func ShouldRefuse(l Load, remaining time.Duration) bool {
	return !l.HasFreeSlot() && ExpectedWait(l) > remaining
}

// RemainingService returns the expected remaining service time of a request in progress,
// from the charge of Next and the time since its dispatch. A request that runs longer
// than its charge, for example on a slow member, is expected to go on for half the time
// that it has taken.
func RemainingService(charged, elapsed time.Duration) time.Duration {
	return max(charged-elapsed, elapsed/2)
}

const (
	// waitSmoothing is the weight of the latest wait in the moving averages of waits.
	// The averages must follow a burst of a few seconds, of which a small workspace
	// sends a few dozen requests.
	waitSmoothing = 0.05
	// minOvertakingWait keeps the rate low while waits are short.
	minOvertakingWait = 5 * time.Millisecond
	// minWaitRate is the fraction of the rate that is left for the requests ahead
	// however much is overtaken: the minimum share of a priority.
	minWaitRate = DefaultMinShare
)

// RecordWait records the actual wait of an item and the load when it was pushed. Items
// that expired or were evicted count with the time that they waited, since the rate
// would stay too low if only the served ones counted.
func (q *Queue) RecordWait(it Item, l Load, actual time.Duration) {
	a := q.class(it.Priority).account(it.Workspace)
	overtaken := l.rate()*actual.Seconds() - l.workAhead().Seconds()
	a.overtaken += waitSmoothing * (overtaken - a.overtaken)
	a.wait += waitSmoothing * (actual.Seconds() - a.wait)
}

// Overtaking returns the service time per unit of time that requests which arrived
// later than a waiting one of the workspace and priority have taken before it: more
// urgent ones, and those of workspaces with less service. Unlike the ratio of actual
// and expected waits, it stays true when the rate of the members changes.
func (q *Queue) Overtaking(it Item) float64 {
	a := q.class(it.Priority).account(it.Workspace)
	return max(a.overtaken/(a.wait+minOvertakingWait.Seconds()), 0)
}
