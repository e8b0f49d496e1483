package admission

import (
	"slices"
	"time"
)

const (
	// DefaultQueueLimit is the default limit of waiting requests per group and
	// instance.
	DefaultQueueLimit = 1000
	// initialCost is the cost that is charged for a workspace's first request. A
	// request's cost is the time for which it holds a connection.
	initialCost = 5 * time.Millisecond
	// costSmoothing is the weight of the latest cost in the moving average of a
	// workspace's costs.
	costSmoothing = 0.125
	// maxVirtualTimeLead bounds how far a workspace's virtual time runs ahead of the
	// queue's. A workspace that received service while no other one was waiting,
	// here or on other instances, falls behind the others only until they have
	// received this much. The value must exceed the service that a member provides
	// between two reports of other instances: with 0.5 s the simulation in
	// BenchmarkWorstServed misses its target, and values above 2 s make no
	// difference.
	maxVirtualTimeLead = 2 * time.Second
)

// Item is a request that waits for a connection to a member.
type Item struct {
	// ID is unique among the waiting items.
	ID        uint64
	Workspace string
	// Weight is the workspace's share of the service relative to other workspaces;
	// 0 means 1.
	Weight uint32
	// Member is the member that is to serve the item; empty if any can.
	Member   string
	Database string
	// Deadline is the time at which the item expires; zero if it does not.
	Deadline time.Time
	// Priority is the urgency of the item's route, 0 being the most urgent. A queue
	// that was made by NewQueue ignores it.
	Priority int
	// Target is the time until which a response meets the objective of the item's
	// route; zero if it has none. A queue that was made by NewQueue ignores it.
	Target time.Time
}

// account is the state of one workspace in a class.
type account struct {
	weight float64
	// virtualTime is the service received, in seconds, divided by the weight. It is
	// raised to the class's virtual time when a request arrives while no other one
	// of the workspace waits, so that an idle workspace accumulates no credit.
	virtualTime float64
	// items are the waiting requests in order of arrival.
	items []Item
	// meanCostSeconds is the moving average of the cost of a request.
	meanCostSeconds float64
	// attainedService is the service received on this instance since its start.
	attainedService time.Duration
	// samples is the number of costs learned, in a queue with priorities.
	samples int
	// wait is the moving average of the waits reported to RecordWait, and overtaken
	// that of the service of later requests in these waits, both in seconds.
	wait, overtaken float64
}

// Queue is the fair queue of one database group on one instance. It dispatches the
// requests of the workspace that has received the least service relative to its
// weight (stride scheduling). NewPriorityQueue returns one that orders by priority
// first. It is not safe for concurrent use.
type Queue struct {
	limit   int
	waiting int
	// classes are the priorities, the most urgent first. A queue without priorities
	// has one.
	classes []*class
	// priorities holds the settings of a queue with priorities; nil without.
	priorities *PrioritySettings
	// now is the time of the last call of Advance or Expire.
	now time.Time
	// remoteService holds the last report of each other instance, by workspace.
	remoteService map[string]map[string]time.Duration
}

// NewQueue returns an empty queue of at most limit items. A limit of 0 or less
// means DefaultQueueLimit.
func NewQueue(limit int) *Queue {
	if limit <= 0 {
		limit = DefaultQueueLimit
	}
	return &Queue{
		limit: limit, classes: []*class{newClass(0)},
		remoteService: map[string]map[string]time.Duration{},
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.waiting }

// Push adds the item. If the queue is full, it removes and returns one item, whose
// request is to be refused with SQLSTATE 53300: of the least urgent priority that
// waits, the newest item of the workspace with the most waiting items relative to
// its weight. One workspace therefore cannot fill the queue at the expense of the
// others. The refused item may be the one that was pushed.
func (q *Queue) Push(it Item) (refused Item, full bool) {
	c := q.class(it.Priority)
	a := c.account(it.Workspace)
	a.weight = float64(max(it.Weight, 1))
	if len(a.items) == 0 {
		a.virtualTime = max(a.virtualTime, c.virtualTime)
	}
	a.items = append(a.items, it)
	c.added(&it)
	q.waiting++
	if q.waiting <= q.limit {
		return Item{}, false
	}
	last := len(q.classes) - 1
	for q.classes[last].waiting == 0 {
		last--
	}
	c = q.classes[last]
	longest := c.longest(it.ID)
	i := len(longest.items) - 1
	refused = longest.items[i]
	q.remove(c, longest, i)
	return refused, true
}

// remove removes item i of the account.
func (q *Queue) remove(c *class, a *account, i int) {
	c.removed(&a.items[i])
	a.items = slices.Delete(a.items, i, i+1)
	q.waiting--
}

// Peek returns the item that Next would return, without removing it.
func (q *Queue) Peek(match func(Item) bool) (Item, bool) {
	_, a, i := q.findNext(match)
	if a == nil {
		return Item{}, false
	}
	return a.items[i], true
}

// Next removes and returns the first matching item in the order of the queue: the
// first matching item of the workspace with the least virtual time, among those that
// have a matching item. findNext describes the order of a queue with priorities.
// Next charges the workspace its mean cost and returns that charge; Done replaces it
// by the actual cost.
func (q *Queue) Next(match func(Item) bool) (it Item, charged time.Duration, ok bool) {
	c, a, i := q.findNext(match)
	if a == nil {
		return Item{}, 0, false
	}
	it = a.items[i]
	c.virtualTime = max(c.virtualTime, a.virtualTime)
	charged = a.meanCost()
	c.charge(a, charged)
	q.credit(c, it.Member, charged)
	q.remove(c, a, i)
	return it, charged, true
}

// Done records that a dispatched request has released its connection, which it
// held for cost. charged is the charge that Next returned for the request. A queue
// with priorities needs DoneWithPriority for requests of other priorities than 0.
func (q *Queue) Done(workspace string, charged, cost time.Duration) {
	q.DoneWithPriority(workspace, 0, charged, cost)
}

// DoneWithPriority is Done for a request of the priority.
func (q *Queue) DoneWithPriority(workspace string, priority int, charged, cost time.Duration) {
	c := q.class(priority)
	a := c.account(workspace)
	a.attainedService += cost
	if q.priorities == nil {
		a.meanCostSeconds += costSmoothing * (cost.Seconds() - a.meanCostSeconds)
	} else {
		c.learnCost(a, cost)
	}
	c.charge(a, cost-charged)
}

// Cancel returns the charge of a dispatched request that did not use its connection. It says
// nothing about the cost of requests.
func (q *Queue) Cancel(workspace string, priority int, charged time.Duration) {
	c := q.class(priority)
	c.charge(c.account(workspace), -charged)
}

// Remove removes the item, for example when its client has disconnected, and
// reports whether it was in the queue.
func (q *Queue) Remove(workspace string, id uint64) bool {
	for _, c := range q.classes {
		a := c.accounts[workspace]
		if a == nil {
			continue
		}
		if i := slices.IndexFunc(a.items, func(it Item) bool { return it.ID == id }); i >= 0 {
			q.remove(c, a, i)
			return true
		}
	}
	return false
}

// RemoveMatching removes and returns all matching items, for example those for a
// member that is no longer in service.
func (q *Queue) RemoveMatching(match func(Item) bool) []Item {
	var taken []Item
	for _, c := range q.classes {
		for _, a := range c.accounts {
			a.items = slices.DeleteFunc(a.items, func(it Item) bool {
				if !match(it) {
					return false
				}
				taken = append(taken, it)
				c.removed(&it)
				return true
			})
		}
	}
	q.waiting -= len(taken)
	return taken
}

// Expire removes and returns the items whose deadline has been reached.
func (q *Queue) Expire(now time.Time) []Item {
	q.Advance(now)
	return q.RemoveMatching(func(it Item) bool { return !it.Deadline.IsZero() && !it.Deadline.After(now) })
}

// CountWaiting returns the number of matching items.
func (q *Queue) CountWaiting(match func(Item) bool) int {
	n := 0
	for _, c := range q.classes {
		for _, a := range c.accounts {
			n += a.count(match)
		}
	}
	return n
}

// AttainedService returns the service that each workspace has received from this queue,
// for the reports to other instances.
func (q *Queue) AttainedService() map[string]time.Duration {
	m := map[string]time.Duration{}
	for _, c := range q.classes {
		for name, a := range c.accounts {
			if a.attainedService > 0 {
				m[name] += a.attainedService
			}
		}
	}
	return m
}

// RecordRemoteService processes a report of another instance: the service that each
// workspace has received there since that instance started. It charges the
// workspaces for the increase since the previous report. The first report of an
// instance only sets the baseline for the next, as does a lower value after the
// instance has restarted. Values are cumulative, so the next report makes up for a
// lost one.
//
// Reports do not state priorities. A queue with priorities divides the charge like
// the service that the workspace has received here; a workspace that has received
// none is not charged.
func (q *Queue) RecordRemoteService(instance string, attained map[string]time.Duration) {
	last, known := q.remoteService[instance]
	next := make(map[string]time.Duration, len(attained))
	for workspace, service := range attained {
		next[workspace] = service
		if before := last[workspace]; known && service > before {
			q.chargeRemote(workspace, service-before)
		}
	}
	q.remoteService[instance] = next
}

// ForgetInstance drops the baseline of an instance that has left.
func (q *Queue) ForgetInstance(instance string) { delete(q.remoteService, instance) }

// chargeRemote charges the workspace for service on another instance.
func (q *Queue) chargeRemote(workspace string, service time.Duration) {
	if q.priorities == nil {
		c := q.classes[0]
		c.charge(c.account(workspace), service)
		return
	}
	var attained time.Duration
	for _, c := range q.classes {
		if a := c.accounts[workspace]; a != nil {
			attained += a.attainedService
		}
	}
	for _, c := range q.classes {
		if a := c.accounts[workspace]; a != nil && a.attainedService > 0 {
			c.charge(a, seconds(service.Seconds()*a.attainedService.Seconds()/attained.Seconds()))
		}
	}
}
