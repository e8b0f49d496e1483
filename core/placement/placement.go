// Package placement chooses the member and the connection for a statement. Each
// connection belongs to one workspace. Connections are scarce, and opening one
// occupies a slot of the member. An idle connection of the workspace is therefore
// preferred to a new one, and a member with free slots to one with queued
// statements.
package placement

// Member is a candidate for a statement, as seen by one instance.
type Member struct {
	ID string
	// Zone is the member's availability zone.
	Zone string
	// IsPrimary ranks the primary behind replicas of equal load, because only the
	// primary can execute writes.
	IsPrimary bool
	// Preferred is set on the member to which new connections of the workspace
	// should be opened.
	Preferred bool
	// Idle is the number of idle connections of the workspace, and IdleForOthers that
	// of other workspaces, which may be closed to make room.
	Idle, IdleForOthers int
	// Open is the number of connections of the instance, including those being
	// opened, and OpenLimit the most that it may have.
	Open, OpenLimit int
	// Busy is the number of statements in progress and connections being opened,
	// and BusyLimit the most that the instance may have.
	Busy, BusyLimit int
}

// Action says how to obtain a connection.
type Action uint8

const (
	// Wait means that no member can take the statement now.
	Wait Action = iota
	// UseIdle uses an idle connection of the workspace.
	UseIdle
	// Open opens a connection.
	Open
	// Replace closes an idle connection of another workspace and opens one.
	Replace
)

// Choice is the result of Choose. Member is the index of the chosen candidate,
// unless Action is Wait.
type Choice struct {
	Action Action
	Member int
}

// The costs that are added to a member's load. The unit is one statement in
// progress.
const (
	// openCost is the cost of opening a connection, which occupies a slot about as
	// long as a statement does.
	openCost = 1.0
	// replaceCost is the cost of opening a connection in place of one of another
	// workspace, which that workspace will have to open again.
	replaceCost = 1.6
	// nonPreferredCost is the additional cost of opening a connection to a member
	// that is not the preferred one of the workspace, where it displaces those of
	// other workspaces.
	nonPreferredCost = 0.8
	// primaryCost keeps reads off the primary even if a replica needs a new
	// connection.
	primaryCost = 1.2
	// crossZoneCost is the cost of a member in another availability zone.
	crossZoneCost = 0.15
)

// Choose picks the candidate with the lowest cost, for an instance in zone. The
// cost is the load of the member plus the cost of obtaining a connection to it.
func Choose(candidates []Member, zone string) Choice {
	best := Choice{Action: Wait}
	lowest := 0.0
	for i := range candidates {
		m := &candidates[i]
		action, cost := connectionCost(m)
		if action == Wait {
			continue
		}
		cost += float64(m.Busy)
		if m.IsPrimary {
			cost += primaryCost
		}
		if m.Zone != zone {
			cost += crossZoneCost
		}
		if best.Action == Wait || cost < lowest {
			best, lowest = Choice{Action: action, Member: i}, cost
		}
	}
	return best
}

// connectionCost returns how a connection to the member can be obtained, and the
// cost.
func connectionCost(m *Member) (Action, float64) {
	extraCost := nonPreferredCost
	if m.Preferred {
		extraCost = 0
	}
	switch {
	case m.Busy >= m.BusyLimit:
		return Wait, 0
	case m.Idle > 0:
		return UseIdle, 0
	case m.Open < m.OpenLimit:
		return Open, openCost + extraCost
	case m.IdleForOthers > 0:
		return Replace, replaceCost + extraCost
	default:
		return Wait, 0
	}
}
