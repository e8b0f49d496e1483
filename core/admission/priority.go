package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// DefaultMinShare is the default of PrioritySettings.MinShare.
	DefaultMinShare = 0.05
	// defaultMembers is the size of a database group.
	defaultMembers = 3
	// maxTotalMinShare bounds the sum of the minimum shares, so that the order by
	// priority keeps at least half of the service with any number of priorities.
	maxTotalMinShare = 0.5
	// DefaultTargetWindow is the default of PrioritySettings.TargetWindow: about two
	// services of the slowest route. With a longer window most waiting requests are
	// inside it, and the order becomes first come first served.
	DefaultTargetWindow = 50 * time.Millisecond
	// DefaultTargetLead is the default of PrioritySettings.TargetLead: two services of
	// the slowest route.
	DefaultTargetLead = 50 * time.Millisecond
	// maxShareCredit bounds the credit that a priority collects while none of its
	// items matches, and the debt after an expensive request. It exceeds the service
	// time of the slowest route on a member that is 5 times slower.
	maxShareCredit = 200 * time.Millisecond
)

// PrioritySettings are the settings of a queue with priorities. A value of 0 means the
// default, and a negative value turns the rule off.
type PrioritySettings struct {
	// MinShare is the fraction of the service that each priority with waiting items
	// receives at least. It is kept separately for the items of each Item.Member:
	// requests that only the primary can serve are not compensated by service of the
	// replicas.
	MinShare float64
	// Members is the number of members that share the items that name none.
	Members int
	// TargetWindow is how long before the latest start that meets its target an item
	// may go before other items of its priority.
	TargetWindow time.Duration
	// TargetLead is the service, divided by the weight, by which the workspace of such
	// an item may be ahead of the workspace whose turn it is. It bounds what the rule
	// can take from the other workspaces.
	TargetLead time.Duration
}

// class is the state of one priority.
type class struct {
	priority int
	waiting  int
	// virtualTime is the highest virtual time that a workspace had when one of its
	// items was dispatched.
	virtualTime float64
	accounts    map[string]*account
	// meanCostSeconds is the first estimate of the cost for new accounts: the moving
	// average over the class in a queue with priorities.
	meanCostSeconds float64
	// samples is the number of costs in the average.
	samples int
	// shares are the minimum shares of the members that items have named, by member.
	shares []*memberShare
}

// memberShare is the state of a class's minimum share of the service of one member.
type memberShare struct {
	// member is empty for items that any member can serve.
	member  string
	waiting int
	// credit is the service that the items lack to the minimum share, in seconds.
	credit float64
}

func newClass(priority int) *class {
	return &class{priority: priority, accounts: map[string]*account{}, meanCostSeconds: initialCost.Seconds()}
}

// NewPriorityQueue returns an empty queue of at most limit items that orders by
// priority, and within a priority fairly between workspaces. A limit of 0 or less
// means DefaultQueueLimit.
func NewPriorityQueue(limit int, settings PrioritySettings) *Queue {
	if settings.MinShare == 0 {
		settings.MinShare = DefaultMinShare
	}
	settings.MinShare = max(settings.MinShare, 0)
	if settings.Members <= 0 {
		settings.Members = defaultMembers
	}
	settings.TargetWindow = cmp.Or(settings.TargetWindow, DefaultTargetWindow)
	settings.TargetLead = cmp.Or(settings.TargetLead, DefaultTargetLead)
	q := NewQueue(limit)
	q.classes, q.priorities = nil, &settings
	return q
}

// Advance sets the time by which the targets of items are judged. Without calls of
// Advance or Expire, targets have no effect.
func (q *Queue) Advance(now time.Time) {
	if now.After(q.now) {
		q.now = now
	}
}

// class returns the class of the priority, and creates a missing one.
func (q *Queue) class(priority int) *class {
	if q.priorities == nil {
		return q.classes[0]
	}
	i, found := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return cmp.Compare(c.priority, p) })
	if !found {
		q.classes = slices.Insert(q.classes, i, newClass(priority))
	}
	return q.classes[i]
}

// minShare returns the minimum share of each priority.
func (q *Queue) minShare() float64 {
	if q.priorities == nil {
		return 0
	}
	return min(q.priorities.MinShare, maxTotalMinShare/float64(max(len(q.classes), 1)))
}

// findNext returns the next matching item: its class, account and index.
//
// The items of a class and member that have collected the cost of a request towards
// their minimum share come first, and then the most urgent class. Within a class, the
// account with the least virtual time is next, unless an item is about to miss its
// target.
func (q *Queue) findNext(match func(Item) bool) (*class, *account, int) {
	for _, c := range q.classes {
		for _, s := range c.shares {
			if !q.isOwed(c, s) {
				continue
			}
			if a, i := q.findInClass(c, func(it Item) bool { return it.Member == s.member && match(it) }); a != nil {
				return c, a, i
			}
		}
	}
	for _, c := range q.classes {
		if a, i := q.findInClass(c, match); a != nil {
			return c, a, i
		}
	}
	return nil, nil, 0
}

// isOwed reports whether the share has collected the cost of a request.
func (q *Queue) isOwed(c *class, s *memberShare) bool {
	return q.minShare() > 0 && s.waiting > 0 && s.credit >= c.shareCost()
}

// shareCost returns the credit that the class needs for a request.
func (c *class) shareCost() float64 { return min(c.meanCostSeconds, maxShareCredit.Seconds()) }

// share returns the minimum share for the member, and creates a missing one.
func (c *class) share(member string) *memberShare {
	i, found := slices.BinarySearchFunc(c.shares, member, func(s *memberShare, m string) int { return cmp.Compare(s.member, m) })
	if !found {
		c.shares = slices.Insert(c.shares, i, &memberShare{member: member})
	}
	return c.shares[i]
}

// credit records that an item of the class is dispatched for the charge. All waiting
// items that could have been served by the same member collect the minimum share of
// the charge. Service of an item that names no member is divided among the members.
// Service in the order of the priorities does not put a class into debt.
func (q *Queue) credit(served *class, member string, charge time.Duration) {
	minShare := q.minShare()
	if minShare == 0 {
		return
	}
	own := served.share(member)
	owed := q.isOwed(served, own)
	for _, c := range q.classes {
		for _, s := range c.shares {
			collected := minShare * charge.Seconds()
			switch {
			case s.waiting == 0:
				continue
			case member == "" && s.member != "":
				collected /= float64(q.priorities.Members)
			case s.member != "" && s.member != member:
				continue
			}
			s.credit = min(s.credit+collected, maxShareCredit.Seconds())
		}
	}
	lowest := min(own.credit, 0)
	if owed {
		lowest = -maxShareCredit.Seconds()
	}
	own.credit = max(own.credit-charge.Seconds(), lowest)
}

// added and removed record that an item waits and no longer waits. Items that do not
// wait collect no credit for later.
func (c *class) added(it *Item) {
	c.waiting++
	c.share(it.Member).waiting++
}

func (c *class) removed(it *Item) {
	c.waiting--
	s := c.share(it.Member)
	s.waiting--
	if s.waiting == 0 {
		s.credit = min(s.credit, 0)
	}
}

// account returns the account of the workspace, and creates a missing one.
func (c *class) account(workspace string) *account {
	a := c.accounts[workspace]
	if a == nil {
		a = &account{weight: 1, virtualTime: c.virtualTime, meanCostSeconds: c.meanCostSeconds}
		c.accounts[workspace] = a
	}
	return a
}

// learnCost adds the cost of a request to the averages of the account and the class.
// The first samples have the weight of a plain mean: minimum shares are paid by the
// averages, and an average that starts far too low would pay out several times the
// share until it is learned.
func (c *class) learnCost(a *account, cost time.Duration) {
	a.samples++
	a.meanCostSeconds += max(costSmoothing, 1/float64(a.samples)) * (cost.Seconds() - a.meanCostSeconds)
	c.samples++
	c.meanCostSeconds += max(costSmoothing, 1/float64(c.samples)) * (cost.Seconds() - c.meanCostSeconds)
}

// charge advances the account's virtual time by the service.
func (c *class) charge(a *account, service time.Duration) {
	a.virtualTime = min(a.virtualTime+service.Seconds()/a.weight, c.virtualTime+maxVirtualTimeLead.Seconds())
}

// longest returns the account with the most waiting items relative to its weight.
// Ties go to the account of the pushed item, and otherwise to the newest last item.
func (c *class) longest(pushed uint64) *account {
	var longest *account
	mostItems, newest := 0.0, uint64(0)
	for _, a := range c.accounts {
		if len(a.items) == 0 {
			continue
		}
		n, last := float64(len(a.items))/a.weight, a.items[len(a.items)-1].ID
		if last == pushed {
			last = math.MaxUint64
		}
		if n > mostItems || (n == mostItems && last > newest) {
			longest, mostItems, newest = a, n, last
		}
	}
	return longest
}

// findInClass returns the account with the least virtual time among those that have
// a matching item, and the index of its first matching item. Ties go to the lower
// ID, that is, to the item that arrived first. An item that is about to miss its
// target goes first if its account is within the target lead.
func (q *Queue) findInClass(c *class, match func(Item) bool) (*account, int) {
	var best *account
	bestIndex, leastTime := 0, math.Inf(1)
	for _, a := range c.accounts {
		if a.virtualTime > leastTime || len(a.items) == 0 {
			continue
		}
		i := slices.IndexFunc(a.items, match)
		if i < 0 || (a.virtualTime == leastTime && a.items[i].ID > best.items[bestIndex].ID) {
			continue
		}
		best, bestIndex, leastTime = a, i, a.virtualTime
	}
	if best == nil || q.priorities == nil || q.now.IsZero() {
		return best, bestIndex
	}
	if a, i := q.findUrgent(c, leastTime+q.priorities.TargetLead.Seconds(), match); a != nil {
		return a, i
	}
	return best, bestIndex
}

// findUrgent returns the matching item with the earliest target among those that
// meet their target only if they start within the target window, in accounts of at
// most the virtual time. Items that can no longer meet their target are not
// preferred, because they would make others miss theirs.
func (q *Queue) findUrgent(c *class, maxVirtualTime float64, match func(Item) bool) (*account, int) {
	var best *account
	bestIndex := 0
	for _, a := range c.accounts {
		if a.virtualTime > maxVirtualTime {
			continue
		}
		cost := a.meanCost()
		for i := range a.items {
			it := &a.items[i]
			left := it.Target.Sub(q.now) - cost
			if it.Target.IsZero() || left < 0 || left > q.priorities.TargetWindow {
				continue
			}
			if best != nil {
				first := &best.items[bestIndex]
				if it.Target.After(first.Target) || (it.Target.Equal(first.Target) && it.ID > first.ID) {
					continue
				}
			}
			if match(*it) {
				best, bestIndex = a, i
			}
		}
	}
	return best, bestIndex
}

// count returns the number of matching items.
func (a *account) count(match func(Item) bool) int {
	n := 0
	for _, it := range a.items {
		if match(it) {
			n++
		}
	}
	return n
}
