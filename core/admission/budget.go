package admission

import (
	"cmp"
	"slices"
	"time"
)

// SplitConnections divides the connections of one member among instances by the largest
// remainder method. units holds the units of each instance, to which its number
// of connections is proportional, and total is the number of all units. The
// connections for units that no instance holds stay unused.
//
// If there are at least as many connections as instances, every instance gets at
// least one, first from the unused connections and then from the instances with
// the most. The sum never exceeds connections. The result depends only on the
// arguments, so all instances compute the same one.
func SplitConnections(connections int, units map[string]uint32, total uint32) map[string]int {
	type part struct {
		name      string
		n         int
		remainder uint64
	}
	var sum uint64
	parts := make([]part, 0, len(units)+1)
	for name, u := range units {
		sum += uint64(u)
		parts = append(parts, part{name: name})
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Compare(a.name, b.name) })
	allUnits := max(uint64(total), sum, 1)
	const unused = "" // no instance has an empty name
	parts = append(parts, part{name: unused})
	unassigned := connections
	for i := range parts {
		u := allUnits - sum
		if parts[i].name != unused {
			u = uint64(units[parts[i].name])
		}
		product := uint64(max(connections, 0)) * u
		parts[i].n, parts[i].remainder = int(product/allUnits), product%allUnits
		unassigned -= parts[i].n
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(b.remainder, a.remainder) })
	for i := range parts {
		if unassigned > 0 && parts[i].remainder > 0 {
			parts[i].n++
			unassigned--
		}
	}
	result := make(map[string]int, len(units))
	spare := 0
	for _, p := range parts {
		if p.name == unused {
			spare = p.n
		} else {
			result[p.name] = p.n
		}
	}
	if connections >= len(units) {
		ensureOneEach(result, spare)
	}
	return result
}

// ensureOneEach gives one connection to each instance that has none: a spare one,
// or else one of the instance with the most connections, if that keeps one.
func ensureOneEach(parts map[string]int, spare int) {
	names := make([]string, 0, len(parts))
	for name := range parts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if parts[name] > 0 {
			continue
		}
		if spare > 0 {
			spare--
		} else {
			richest := slices.MaxFunc(names, func(a, b string) int { return cmp.Compare(parts[a], parts[b]) })
			if parts[richest] < 2 {
				return
			}
			parts[richest]--
		}
		parts[name] = 1
	}
}

// OpenLimiter is a token bucket that limits the rate at which connections to one
// member are opened, so that reconnecting after a fault does not overload the
// member.
type OpenLimiter struct {
	interval time.Duration
	burst    int
	// fullAt is the time at which the bucket is full again.
	fullAt time.Time
}

// NewOpenLimiter returns a limiter that allows perSecond connections per second, and
// up to burst of them at once.
func NewOpenLimiter(perSecond float64, burst int) *OpenLimiter {
	return &OpenLimiter{interval: time.Duration(float64(time.Second) / perSecond), burst: max(burst, 1)}
}

// Take reserves the opening of one connection at now. If the limit is reached, it
// reserves nothing and returns the time after which to call it again.
func (r *OpenLimiter) Take(now time.Time) (wait time.Duration, ok bool) {
	if r.fullAt.Before(now) {
		r.fullAt = now
	}
	if ahead := r.fullAt.Sub(now) - time.Duration(r.burst-1)*r.interval; ahead > 0 {
		return ahead, false
	}
	r.fullAt = r.fullAt.Add(r.interval)
	return 0, true
}

const (
	// rampSteps is the number of steps in which load returns to a member.
	rampSteps = 4
	// rampStepDuration covers several probe intervals, so that a member that fails
	// again is detected before the next step.
	rampStepDuration = 500 * time.Millisecond
)

// RampUpLimit returns how many of the budget connections may be used at now on a member
// that returned to service at since: a quarter in the first step, and a further
// quarter in each next step. done is set once all may be used. A zero since means
// that the member has not been out of service.
func RampUpLimit(budget int, since, now time.Time) (limit int, done bool) {
	if since.IsZero() {
		return budget, true
	}
	step := int(now.Sub(since)/rampStepDuration) + 1
	if step >= rampSteps {
		return budget, true
	}
	return min(budget, max(1, budget*max(step, 1)/rampSteps)), false
}
