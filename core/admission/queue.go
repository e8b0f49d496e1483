package admission

import (
	"math"
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
	Weight   uint32
	Member   string
	Database string
	// Deadline is the time at which the item expires; zero if it does not.
	Deadline time.Time
}

// account is the state of one workspace in the queue.
type account struct {
	weight float64
	// virtualTime is the service received, in seconds, divided by the weight. It is
	// raised to the queue's virtual time when a request arrives while no other one
	// of the workspace waits, so that an idle workspace accumulates no credit.
	virtualTime float64
	// items are the waiting requests in order of arrival.
	items []Item
	// meanCostSeconds is the moving average of the cost of a request.
	meanCostSeconds float64
	// attainedService is the service received on this instance since its start.
	attainedService time.Duration
}

// Queue is the fair queue of one database group on one instance. It dispatches the
// requests of the workspace that has received the least service relative to its
// weight (stride scheduling). It is not safe for concurrent use.
type Queue struct {
	limit   int
	waiting int
	// virtualTime is the highest virtual time that a workspace had when one of its
	// items was dispatched.
	virtualTime float64
	accounts    map[string]*account
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
		limit: limit, accounts: map[string]*account{},
		remoteService: map[string]map[string]time.Duration{},
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.waiting }

// Push adds the item. If the queue is full, it removes and returns one item, whose
// request is to be refused with SQLSTATE 53300: the newest item of the workspace
// with the most waiting items relative to its weight. One workspace therefore
// cannot fill the queue at the expense of the others. The refused item may be the
// one that was pushed.
func (q *Queue) Push(it Item) (refused Item, full bool) {
	a := q.account(it.Workspace)
	a.weight = float64(max(it.Weight, 1))
	if len(a.items) == 0 {
		a.virtualTime = max(a.virtualTime, q.virtualTime)
	}
	a.items = append(a.items, it)
	q.waiting++
	if q.waiting <= q.limit {
		return Item{}, false
	}
	longest := a
	for _, b := range q.accounts {
		if float64(len(b.items))/b.weight > float64(len(longest.items))/longest.weight {
			longest = b
		}
	}
	last := len(longest.items) - 1
	refused = longest.items[last]
	longest.items = longest.items[:last]
	q.waiting--
	return refused, true
}

// Peek returns the item that Next would return, without removing it.
func (q *Queue) Peek(match func(Item) bool) (Item, bool) {
	a, i := q.findNext(match)
	if a == nil {
		return Item{}, false
	}
	return a.items[i], true
}

// Next removes and returns the first matching item of the workspace with the least
// virtual time, among those that have a matching item. It charges the workspace
// its mean cost and returns that charge; Done replaces it by the actual cost.
func (q *Queue) Next(match func(Item) bool) (it Item, charged time.Duration, ok bool) {
	a, i := q.findNext(match)
	if a == nil {
		return Item{}, 0, false
	}
	it = a.items[i]
	a.items = slices.Delete(a.items, i, i+1)
	q.waiting--
	q.virtualTime = max(q.virtualTime, a.virtualTime)
	charged = time.Duration(a.meanCostSeconds * float64(time.Second))
	q.charge(a, charged)
	return it, charged, true
}

// Done records that a dispatched request has released its connection, which it
// held for cost. charged is the charge that Next returned for the request.
func (q *Queue) Done(workspace string, charged, cost time.Duration) {
	a := q.account(workspace)
	a.attainedService += cost
	a.meanCostSeconds += costSmoothing * (cost.Seconds() - a.meanCostSeconds)
	q.charge(a, cost-charged)
}

// Remove removes the item, for example when its client has disconnected, and
// reports whether it was in the queue.
func (q *Queue) Remove(workspace string, id uint64) bool {
	a := q.accounts[workspace]
	if a == nil {
		return false
	}
	i := slices.IndexFunc(a.items, func(it Item) bool { return it.ID == id })
	if i < 0 {
		return false
	}
	a.items = slices.Delete(a.items, i, i+1)
	q.waiting--
	return true
}

// RemoveMatching removes and returns all matching items, for example those for a
// member that is no longer in service.
func (q *Queue) RemoveMatching(match func(Item) bool) []Item {
	var taken []Item
	for _, a := range q.accounts {
		a.items = slices.DeleteFunc(a.items, func(it Item) bool {
			if !match(it) {
				return false
			}
			taken = append(taken, it)
			return true
		})
	}
	q.waiting -= len(taken)
	return taken
}

// Expire removes and returns the items whose deadline has been reached.
func (q *Queue) Expire(now time.Time) []Item {
	return q.RemoveMatching(func(it Item) bool { return !it.Deadline.IsZero() && !it.Deadline.After(now) })
}

// CountWaiting returns the number of matching items.
func (q *Queue) CountWaiting(match func(Item) bool) int {
	n := 0
	for _, a := range q.accounts {
		for _, it := range a.items {
			if match(it) {
				n++
			}
		}
	}
	return n
}

// AttainedService returns the service that each workspace has received from this queue,
// for the reports to other instances.
func (q *Queue) AttainedService() map[string]time.Duration {
	m := make(map[string]time.Duration, len(q.accounts))
	for name, a := range q.accounts {
		if a.attainedService > 0 {
			m[name] = a.attainedService
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
func (q *Queue) RecordRemoteService(instance string, attained map[string]time.Duration) {
	last, known := q.remoteService[instance]
	next := make(map[string]time.Duration, len(attained))
	for workspace, service := range attained {
		next[workspace] = service
		if before := last[workspace]; known && service > before {
			q.charge(q.account(workspace), service-before)
		}
	}
	q.remoteService[instance] = next
}

// ForgetInstance drops the baseline of an instance that has left.
func (q *Queue) ForgetInstance(instance string) { delete(q.remoteService, instance) }

// account returns the account of the workspace, and creates a missing one.
func (q *Queue) account(workspace string) *account {
	a := q.accounts[workspace]
	if a == nil {
		a = &account{weight: 1, virtualTime: q.virtualTime, meanCostSeconds: initialCost.Seconds()}
		q.accounts[workspace] = a
	}
	return a
}

// charge advances the account's virtual time by the service.
func (q *Queue) charge(a *account, service time.Duration) {
	a.virtualTime = min(a.virtualTime+service.Seconds()/a.weight, q.virtualTime+maxVirtualTimeLead.Seconds())
}

// findNext returns the account with the least virtual time among those that have a
// matching item, and the index of its first matching item. Ties go to the lower
// ID, that is, to the item that arrived first.
func (q *Queue) findNext(match func(Item) bool) (*account, int) {
	var best *account
	bestIndex, leastTime := 0, math.Inf(1)
	for _, a := range q.accounts {
		if a.virtualTime > leastTime || len(a.items) == 0 {
			continue
		}
		i := slices.IndexFunc(a.items, match)
		if i < 0 || (a.virtualTime == leastTime && a.items[i].ID > best.items[bestIndex].ID) {
			continue
		}
		best, bestIndex, leastTime = a, i, a.virtualTime
	}
	return best, bestIndex
}
