package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// DefaultQueueLimit is the largest number of waiting requests per group and instance.
	DefaultQueueLimit = 1000
	// initialCost is the service that the first request of a workspace is
	// charged before its real cost is known.
	initialCost = 5 * time.Millisecond
	// costSmoothing is the part of each new cost in a workspace's mean cost.
	costSmoothing = 0.125
	// maxLead bounds how far a workspace's virtual time runs ahead of the
	// queue's. Service attained while nobody else waited, here or on other
	// instances, is then held against a workspace for no longer than this much
	// service of the others. It must exceed what a member serves between two
	// reports: with 0.5 s the simulation of BenchmarkWorstServed missed its
	// target, and values above 2 s changed nothing.
	maxLead = 2 * time.Second
)

// Item is one request that waits for a connection to a member.
type Item struct {
	// ID is unique among the waiting items.
	ID        uint64
	Workspace string
	// Weight is the workspace's part relative to others; 0 means 1.
	Weight   uint32
	Member   string
	Database string
	// Deadline is the latest time at which the item may be dispatched.
	Deadline time.Time
}

// account is what the queue knows about one workspace.
type account struct {
	weight float64
	// pass is the workspace's virtual time: attained service in seconds divided
	// by the weight. A request that finds none of its workspace waiting raises it
	// to the queue's virtual time, so that no credit is collected meanwhile.
	pass  float64
	items []Item
	// mean is the mean cost of a request, in seconds.
	mean float64
	// attained is the service on this instance since its start.
	attained time.Duration
}

// Queue is the fair queue of one database group on one instance. It dispatches
// the request of the workspace with the least attained service relative to its
// weight (stride scheduling). The owner serializes the calls.
type Queue struct {
	limit    int
	waiting  int
	virtual  float64
	accounts map[string]*account
	remote   map[string]map[string]time.Duration
}

// NewQueue returns an empty queue that holds at most limit items; 0 means
// DefaultQueueLimit.
func NewQueue(limit int) *Queue {
	if limit <= 0 {
		limit = DefaultQueueLimit
	}
	return &Queue{
		limit: limit, accounts: map[string]*account{},
		remote: map[string]map[string]time.Duration{},
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.waiting }

// Push adds the item. On a full queue it refuses one item, to be answered with
// SQLSTATE 53300: the newest of the workspace with the most waiting items
// relative to its weight, so that one workspace cannot fill the queue against
// the others. The refused item may be the new one.
func (q *Queue) Push(it Item) (refused Item, full bool) {
	a := q.account(it.Workspace)
	a.weight = float64(max(it.Weight, 1))
	if len(a.items) == 0 {
		a.pass = max(a.pass, q.virtual)
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

// Peek returns the item that Next would dispatch, without removing it.
func (q *Queue) Peek(match func(Item) bool) (Item, bool) {
	a, i := q.find(match)
	if a == nil {
		return Item{}, false
	}
	return a.items[i], true
}

// Next removes and returns the first matching item of the workspace with the
// least virtual time among those that have one, and charges the workspace its
// mean cost. The charge is returned; Done replaces it by the real cost.
func (q *Queue) Next(match func(Item) bool) (it Item, charged time.Duration, ok bool) {
	a, i := q.find(match)
	if a == nil {
		return Item{}, 0, false
	}
	it = a.items[i]
	a.items = slices.Delete(a.items, i, i+1)
	q.waiting--
	q.virtual = max(q.virtual, a.pass)
	charged = time.Duration(a.mean * float64(time.Second))
	q.charge(a, charged)
	return it, charged, true
}

// Done records that a dispatched request has given its connection back after
// cost, the time for which it held the connection.
func (q *Queue) Done(workspace string, charged, cost time.Duration) {
	a := q.account(workspace)
	a.attained += cost
	a.mean += costSmoothing * (cost.Seconds() - a.mean)
	q.charge(a, cost-charged)
}

// Remove takes the item out of the queue, for example when its client has left.
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

// Take removes and returns all items that match, for example those of a member
// that has gone out of service.
func (q *Queue) Take(match func(Item) bool) []Item {
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

// Expire removes and returns the items whose deadline is not after now.
func (q *Queue) Expire(now time.Time) []Item {
	return q.Take(func(it Item) bool { return !it.Deadline.IsZero() && !it.Deadline.After(now) })
}

// Waiting returns the number of items that match.
func (q *Queue) Waiting(match func(Item) bool) int {
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

// Attained returns the service per workspace since the queue was made, for the
// reports to other instances.
func (q *Queue) Attained() map[string]time.Duration {
	m := make(map[string]time.Duration, len(q.accounts))
	for name, a := range q.accounts {
		if a.attained > 0 {
			m[name] = a.attained
		}
	}
	return m
}

// Report takes the attained service of another instance since its start, as
// Attained returns it there, and adds what is new to the workspaces' virtual
// time. The first report of an instance, and one that goes back because the
// instance has started again, only set the base for the next. A lost report is
// covered by the next one.
func (q *Queue) Report(instance string, attained map[string]time.Duration) {
	last, known := q.remote[instance]
	next := make(map[string]time.Duration, len(attained))
	for workspace, service := range attained {
		next[workspace] = service
		if before := last[workspace]; known && service > before {
			q.charge(q.account(workspace), service-before)
		}
	}
	q.remote[instance] = next
}

// Forget drops the base of an instance's reports when the instance has left.
func (q *Queue) Forget(instance string) { delete(q.remote, instance) }

func (q *Queue) account(workspace string) *account {
	a := q.accounts[workspace]
	if a == nil {
		a = &account{weight: 1, pass: q.virtual, mean: initialCost.Seconds()}
		q.accounts[workspace] = a
	}
	return a
}

func (q *Queue) charge(a *account, service time.Duration) {
	a.pass = min(a.pass+service.Seconds()/a.weight, q.virtual+maxLead.Seconds())
}

// find returns the account with the least virtual time that has a matching item,
// and the index of its first one. Ties go to the lower ID, that is, to the item
// that arrived first.
func (q *Queue) find(match func(Item) bool) (*account, int) {
	var best *account
	at, pass := 0, math.Inf(1)
	for _, a := range q.accounts {
		if a.pass > pass || len(a.items) == 0 {
			continue
		}
		i := slices.IndexFunc(a.items, match)
		if i < 0 || (a.pass == pass && a.items[i].ID > best.items[at].ID) {
			continue
		}
		best, at, pass = a, i, a.pass
	}
	return best, at
}
