package placement

import "time"

// Target is a member that may run a statement, as seen by the instance to which the client
// is connected. The statement runs at an instance that serves the member.
type Target struct {
	ID string
	// SameZone says that the member is in the availability zone of the instance.
	SameZone, IsPrimary bool
	// BackingOff is set for a short time after a statement was refused or failed there.
	BackingOff bool
	// ExpectedWait is the time that a statement would wait for the member, as the instance
	// that serves it has last reported.
	ExpectedWait time.Duration
	// Rank, from 0 to 1, orders targets that are otherwise equal.
	Rank float64
}

// The costs that are added to the expected wait of a target.
const (
	// crossZoneTargetCost is about a round trip between two availability zones.
	crossZoneTargetCost = 8 * time.Millisecond
	// remotePrimaryCost keeps reads of other zones off the primary, which runs all writes.
	remotePrimaryCost = 10 * time.Millisecond
	// backingOffCost makes targets that are backing off the last choice.
	backingOffCost = 500 * time.Millisecond
	// rankCost is small, so that the rank decides only between targets that are about equal.
	rankCost = 2 * time.Millisecond
)

// ChooseTarget returns the index of the target with the lowest cost, or -1 if there is none.
func ChooseTarget(targets []Target) int {
	best, lowest := -1, time.Duration(0)
	for i := range targets {
		t := &targets[i]
		cost := t.ExpectedWait + time.Duration(t.Rank*float64(rankCost))
		if !t.SameZone {
			cost += crossZoneTargetCost
			if t.IsPrimary {
				cost += remotePrimaryCost
			}
		}
		if t.BackingOff {
			cost += backingOffCost
		}
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}
