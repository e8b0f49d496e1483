package admission

import (
	"cmp"
	"slices"
	"time"
)

// Split divides the connections of one member between instances, in whole
// connections, by largest remainder. units are the instances' units and total
// is the number of all units; units that no instance holds leave their part
// unused. Every instance gets at least one connection if there are as many
// connections as instances, first from the unused part and then from the
// instances with the most. The sum never exceeds connections, and equal input
// gives equal output on every instance.
func Split(connections int, units map[string]uint32, total uint32) map[string]int {
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
	whole := max(uint64(total), sum, 1)
	const unused = "" // no instance has an empty name
	parts = append(parts, part{name: unused})
	left := connections
	for i := range parts {
		u := whole - sum
		if parts[i].name != unused {
			u = uint64(units[parts[i].name])
		}
		product := uint64(max(connections, 0)) * u
		parts[i].n, parts[i].remainder = int(product/whole), product%whole
		left -= parts[i].n
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(b.remainder, a.remainder) })
	for i := range parts {
		if left > 0 && parts[i].remainder > 0 {
			parts[i].n++
			left--
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
		raiseToOne(result, spare)
	}
	return result
}

// raiseToOne gives one connection to each instance that has none.
func raiseToOne(parts map[string]int, spare int) {
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

// OpenRate bounds how often new connections to one member are opened, so that
// the member is not loaded with start-ups after a fault. The owner serializes
// the calls.
type OpenRate struct {
	interval time.Duration
	burst    int
	// next is the time at which the bucket would be full again.
	next time.Time
}

// NewOpenRate allows perSecond openings a second and burst at once.
func NewOpenRate(perSecond float64, burst int) *OpenRate {
	return &OpenRate{interval: time.Duration(float64(time.Second) / perSecond), burst: max(burst, 1)}
}

// Take reserves one opening at now. If none is left it returns how long to wait.
func (r *OpenRate) Take(now time.Time) (wait time.Duration, ok bool) {
	if r.next.Before(now) {
		r.next = now
	}
	if ahead := r.next.Sub(now) - time.Duration(r.burst-1)*r.interval; ahead > 0 {
		return ahead, false
	}
	r.next = r.next.Add(r.interval)
	return 0, true
}

const (
	// rampSteps is the number of steps in which work comes back to a member.
	rampSteps = 4
	// rampStep is the duration of each step. It covers several probe intervals,
	// so that a member that fails again is seen before the next step.
	rampStep = 500 * time.Millisecond
)

// Ramp returns how many of budget connections may be used at now on a member
// that came into service at since: a quarter at first, and a further quarter
// with each step. A zero since means that the member has not been away.
func Ramp(budget int, since, now time.Time) (limit int, done bool) {
	if since.IsZero() {
		return budget, true
	}
	step := int(now.Sub(since)/rampStep) + 1
	if step >= rampSteps {
		return budget, true
	}
	return min(budget, max(1, budget*max(step, 1)/rampSteps)), false
}
