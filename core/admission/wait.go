package admission

import "time"

// ServiceAhead returns the service time of the waiting items that go before a new item
// it, considering only matching items: those that compete for the members that the new
// item can use. It covers the more urgent priorities, the new item's place in the
// fair order of its own, and the minimum shares of the less urgent ones. Requests that
// arrive later and go before it are unknown.
func (q *Queue) ServiceAhead(it Item, match func(Item) bool) time.Duration {
	priority, share := it.Priority, q.minShare()
	if q.priorities == nil {
		priority = 0
	}
	moreUrgent, own := 0.0, 0.0
	ownCost, ownCredit := initialCost.Seconds(), 0.0
	for _, c := range q.classes {
		switch {
		case c.priority < priority:
			moreUrgent += c.work(match)
		case c.priority == priority:
			own = c.workAhead(&it, match)
			ownCost, ownCredit = c.meanCostSeconds, c.creditSeconds
		}
	}
	ahead := moreUrgent + own
	if moreUrgent > 0 && share > 0 {
		// The minimum share bounds how long more urgent requests go before the item.
		ahead = min(ahead, max((own+ownCost-ownCredit)/share, own))
	}
	return time.Duration(q.addMinShares(priority, ahead, match) * float64(time.Second))
}

// addMinShares returns the service ahead including that of the less urgent priorities,
// which receive their minimum shares meanwhile.
func (q *Queue) addMinShares(priority int, ahead float64, match func(Item) bool) float64 {
	share, total := q.minShare(), ahead
	if share == 0 {
		return ahead
	}
	type lower struct {
		class *class
		work  float64
	}
	var lowers []lower
	for _, c := range q.classes {
		if c.priority > priority && c.waiting > 0 {
			lowers = append(lowers, lower{c, c.work(match)})
		}
	}
	// The shares of the shares themselves are below 1% after the second pass.
	for range 2 {
		shares := 0.0
		for _, l := range lowers {
			if credit := l.class.creditSeconds + float64(share*total); credit >= l.class.shareCost() {
				shares += min(credit, l.work)
			}
		}
		total = ahead + shares
	}
	return total
}

// work returns the service time of the matching items, in seconds.
func (c *class) work(match func(Item) bool) float64 {
	sum := 0.0
	for _, a := range c.accounts {
		sum += float64(float64(a.count(match)) * a.meanCostSeconds)
	}
	return sum
}

// workAhead returns the service time, in seconds, of the matching items of the class
// that the fair order puts before the new item.
func (c *class) workAhead(it *Item, match func(Item) bool) float64 {
	weight, cost, virtualTime, n := float64(max(it.Weight, 1)), c.meanCostSeconds, c.virtualTime, 0
	own := c.accounts[it.Workspace]
	if own != nil {
		n, cost, virtualTime = own.count(match), own.meanCostSeconds, own.virtualTime
		if len(own.items) == 0 {
			virtualTime = max(virtualTime, c.virtualTime)
		}
	}
	sum := float64(float64(n) * cost)
	// start is the virtual time of the account when it is the new item's turn.
	start := min(virtualTime+sum/weight, c.virtualTime+maxVirtualTimeLead.Seconds())
	for _, a := range c.accounts {
		if a == own || a.virtualTime > start {
			continue
		}
		if waiting := a.count(match); waiting > 0 {
			turns := (start-a.virtualTime)*a.weight/max(a.meanCostSeconds, minCost.Seconds()) + 1
			sum += float64(float64(min(waiting, int(turns))) * a.meanCostSeconds)
		}
	}
	return sum
}

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
	// OpenTime is the time to open a connection; 0 if the request needs no new one.
	OpenTime time.Duration
}

// HasFreeSlot reports whether a request can start now.
func (l Load) HasFreeSlot() bool { return l.Ahead <= 0 && l.InProgress < l.Limit }

// ExpectedWait returns the expected time until the request runs. It starts when fewer
// than Limit statements are in progress, so the work in progress counts only as far as
// it must be completed before: with Limit statements in progress, one of them.
func ExpectedWait(l Load) time.Duration {
	limit := max(l.Limit, 1)
	rate := l.Rate
	if rate <= 0 {
		rate = float64(limit)
	}
	work := l.Ahead.Seconds()
	if l.InProgress >= limit {
		work += l.Remaining.Seconds() * float64(l.InProgress-limit+1) / float64(l.InProgress)
	}
	return l.OpenTime + time.Duration(work/rate*float64(time.Second))
}

// ShouldRefuse reports whether a request is to be refused rather than queued: it is not
// expected to start within its remaining time, and no slot is free that it could use.
func ShouldRefuse(l Load, remaining time.Duration) bool {
	return !l.HasFreeSlot() && ExpectedWait(l) > remaining
}
