// Package membership tracks which instances are alive, and selects the witnesses of a
// lease (the peers that can renew it by promises) and the instances that serve a
// database group (docs/design.md, section 6). It performs no I/O, reads no clock and
// starts no goroutines.
//
//	v := membership.NewView(selfID)
//	v.Step(now, membership.Listed{...})     // after each read of the deployment platform's list
//	v.Step(now, membership.Heartbeat{...})  // for each request and response from a peer
//	v.Step(now, membership.Tick{})          // at least every 100 ms
//	witnesses := membership.Witnesses(selfID, v.Instances())
//	table := membership.NewServingTable(groups, size)
//	table.Update(v.Instances())
//
// The views of two instances may differ for seconds. No safety property depends on
// their agreement.
package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// SuspectAfter is the time without a heartbeat after which an instance is
	// suspect. Heartbeats are sent every 500 ms, so two have been missed by then.
	SuspectAfter = 1200 * time.Millisecond
	// DeadAfter is the time without a heartbeat after which an instance is dead.
	// The lease TTL is 3 s too, so its lease has expired by then.
	DeadAfter = 3 * time.Second
	// ForgetAfter is the time without a heartbeat after which an instance that the
	// platform no longer lists is removed from the view.
	ForgetAfter = 60 * time.Second
)

// State is the state of an instance in the view.
type State uint8

// The states of an instance.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

var stateNames = [...]string{"alive", "suspect", "leaving", "dead"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Instance is an instance as the view describes it.
type Instance struct {
	ID   string
	Zone string
	// Epoch identifies the process of the instance. A process that replaces another
	// one has a higher epoch.
	Epoch uint64
	State State
	// Weight is the instance's relative weight in the choice of serving sets; 0 stands
	// for the default, 1.
	Weight float64
}

// Event is an input of a view.
type Event interface{ membershipEvent() }

// The events.
type (
	// Listed is the platform's list of all instances, which may be out of date.
	Listed struct{ Instances []ListedInstance }
	// ListedInstance is one item of the list.
	ListedInstance struct {
		ID      string
		Zone    string
		Epoch   uint64
		Leaving bool
		Weight  float64
	}
	// Heartbeat is a message from another instance about itself.
	Heartbeat struct {
		From    string
		Zone    string
		Epoch   uint64
		Leaving bool
	}
	// Tick makes the view re-evaluate its timeouts.
	Tick struct{}
)

func (Listed) membershipEvent()    {}
func (Heartbeat) membershipEvent() {}
func (Tick) membershipEvent()      {}

type entry struct {
	Instance
	// lastHeartbeat is the time of the last heartbeat; zero if there was none.
	lastHeartbeat time.Time
	// listed is set if the instance is in the latest list, and leaving once the
	// list or the instance itself has reported that it is leaving.
	listed, leaving bool
}

// View holds one instance's knowledge of all instances. It is not safe for
// concurrent use, but it never modifies a slice that it has returned; callers must not
// modify one either, as they share it.
type View struct {
	self    string
	entries map[string]*entry
	sorted  []Instance
	version uint64
}

// NewView returns an empty view held by the instance self, which is absent from it until
// an event names it.
func NewView(self string) *View {
	return &View{self: self, entries: map[string]*entry{}}
}

// Step applies one event and reports whether the result of Instances has changed.
func (v *View) Step(now time.Time, ev Event) bool {
	changed := false
	switch e := ev.(type) {
	case Heartbeat:
		changed = v.handleHeartbeat(now, e)
	case Listed:
		changed = v.handleList(now, e)
	case Tick:
		for id, en := range v.entries {
			changed = v.updateState(now, id, en) || changed
		}
	}
	if changed {
		v.version++
		v.sorted = nil
	}
	return changed
}

// handleHeartbeat applies a heartbeat. It ignores a heartbeat with an older epoch
// than the known one: it was delayed, or the process that sent it has been replaced.
func (v *View) handleHeartbeat(now time.Time, e Heartbeat) bool {
	en := v.entries[e.From]
	if en == nil {
		en = &entry{Instance: Instance{ID: e.From, State: Dead}} // updateState sets the state
		v.entries[e.From] = en
	}
	if e.Epoch < en.Epoch {
		return false
	}
	changed := en.Epoch != e.Epoch || en.Zone != e.Zone
	if en.Epoch != e.Epoch {
		en.leaving = false
	}
	en.Epoch, en.Zone, en.lastHeartbeat = e.Epoch, e.Zone, now
	en.leaving = en.leaving || e.Leaving
	return v.updateState(now, e.From, en) || changed
}

// handleList applies the platform's list. An item with an older epoch than the one
// already known only marks the instance as listed. A list never clears the leaving
// flag.
func (v *View) handleList(now time.Time, e Listed) bool {
	changed := false
	for _, en := range v.entries {
		en.listed = false
	}
	for _, l := range e.Instances {
		en := v.entries[l.ID]
		if en == nil {
			en = &entry{Instance: Instance{ID: l.ID, State: Dead}} // updateState sets the state
			v.entries[l.ID] = en
		}
		en.listed = true
		if l.Epoch >= en.Epoch {
			changed = changed || en.Zone != l.Zone || en.Epoch != l.Epoch || en.Weight != l.Weight
			en.Zone, en.Epoch, en.Weight = l.Zone, l.Epoch, l.Weight
			en.leaving = en.leaving || l.Leaving
		}
	}
	for id, en := range v.entries {
		changed = v.updateState(now, id, en) || changed
	}
	return changed
}

// updateState derives the state of one instance and reports whether it has changed
// or the instance was removed. An instance that has never sent a heartbeat to
// this one counts as alive while it is listed, because not all instances exchange
// heartbeats with each other.
func (v *View) updateState(now time.Time, id string, en *entry) bool {
	sinceHeartbeat := now.Sub(en.lastHeartbeat)
	next := Alive
	switch {
	case id == v.self: // alive
	case en.lastHeartbeat.IsZero() && !en.listed:
		next = Dead
	case en.lastHeartbeat.IsZero(): // listed: alive
	case sinceHeartbeat > DeadAfter:
		next = Dead
	case sinceHeartbeat > SuspectAfter:
		next = Suspect
	}
	if en.leaving && next != Dead {
		next = Leaving
	}
	if next == Dead && !en.listed && (en.lastHeartbeat.IsZero() || sinceHeartbeat > ForgetAfter) {
		delete(v.entries, id)
		return true
	}
	changed := en.State != next
	en.State = next
	return changed
}

// Instances returns all known instances in order of ID.
func (v *View) Instances() []Instance {
	if v.sorted == nil {
		v.sorted = make([]Instance, 0, len(v.entries))
		for _, en := range v.entries {
			v.sorted = append(v.sorted, en.Instance)
		}
		slices.SortFunc(v.sorted, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v.sorted
}

// Version returns a number that increases with each change of the result of
// Instances.
func (v *View) Version() uint64 { return v.version }
