// Package membership decides which instances are alive, which of them witness a
// lease and which serve a database group (docs/design.md, section 6). It has no
// I/O, clock or goroutines.
//
//	v := membership.NewView(selfID)
//	v.Step(now, membership.Listed{...})     // each read of the platform's list
//	v.Step(now, membership.Heartbeat{...})  // each request and answer of a peer
//	v.Step(now, membership.Tick{})          // at least every 100 ms
//	witnesses := membership.Witnesses(selfID, v.Instances())
//	table := membership.NewTable(groups, size)
//	table.Update(v.Instances())
//
// Two instances may hold different views for seconds. No safety rule depends on
// their agreement.
package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// SuspectAfter is the time without a heartbeat after which an instance is
	// suspect: two heartbeats of 500 ms have been missed.
	SuspectAfter = 1200 * time.Millisecond
	// DeadAfter is the time without a heartbeat after which it is dead. The lease
	// of a dead instance has lapsed.
	DeadAfter = 3 * time.Second
	// ForgetAfter is the time after which a dead instance that the platform no
	// longer lists is forgotten.
	ForgetAfter = 60 * time.Second
)

// State is what the view holds an instance to be.
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

// Instance is one entry of the view.
type Instance struct {
	ID    string
	Zone  string
	Epoch uint64
	State State
	// Weight is the instance's part in serving sets relative to others; 0 means 1.
	Weight float64
}

// Event is something that the view learns.
type Event interface{ membershipEvent() }

// Events.
type (
	// Listed is one result of the platform's list, which may lag. Entries are
	// complete: an instance that it lacks is not listed.
	Listed struct{ Instances []ListedInstance }
	// ListedInstance is one entry of the list.
	ListedInstance struct {
		ID      string
		Zone    string
		Epoch   uint64
		Leaving bool
		Weight  float64
	}
	// Heartbeat is a message of the instance itself.
	Heartbeat struct {
		From    string
		Zone    string
		Epoch   uint64
		Leaving bool
	}
	// Tick reports that time has passed.
	Tick struct{}
)

func (Listed) membershipEvent()    {}
func (Heartbeat) membershipEvent() {}
func (Tick) membershipEvent()      {}

type entry struct {
	Instance
	// heard is when the instance last sent a message; zero if it never did.
	heard time.Time
	// listed says that the last list has the instance, leaving that the list or
	// the instance itself said that it leaves.
	listed, leaving bool
}

// View is what this instance knows about the others. It is not safe for
// concurrent use; the slices that it returns are not changed afterwards.
type View struct {
	self    string
	entries map[string]*entry
	sorted  []Instance
	version uint64
}

// NewView returns a view without instances.
func NewView(self string) *View {
	return &View{self: self, entries: map[string]*entry{}}
}

// Step takes one event and reports whether the instances or their states have
// changed.
func (v *View) Step(now time.Time, ev Event) bool {
	changed := false
	switch e := ev.(type) {
	case Heartbeat:
		changed = v.hear(now, e)
	case Listed:
		changed = v.list(now, e)
	case Tick:
		for id, en := range v.entries {
			changed = v.judge(now, id, en) || changed
		}
	}
	if changed {
		v.version++
		v.sorted = nil
	}
	return changed
}

// hear takes a heartbeat. One of an older epoch is dropped: it was delayed, or
// comes from a process that has been replaced.
func (v *View) hear(now time.Time, e Heartbeat) bool {
	en := v.entries[e.From]
	if en == nil {
		en = &entry{Instance: Instance{ID: e.From, State: Dead}}
		v.entries[e.From] = en
	}
	if e.Epoch < en.Epoch {
		return false
	}
	renewed := en.Epoch != e.Epoch || en.Zone != e.Zone
	if en.Epoch != e.Epoch {
		en.leaving = false
	}
	en.Epoch, en.Zone, en.heard = e.Epoch, e.Zone, now
	en.leaving = en.leaving || e.Leaving
	return v.judge(now, e.From, en) || renewed
}

// list takes the platform's list. It makes unknown instances known, but what an
// instance itself said later outweighs it.
func (v *View) list(now time.Time, e Listed) bool {
	changed := false
	for _, en := range v.entries {
		en.listed = false
	}
	for _, l := range e.Instances {
		en := v.entries[l.ID]
		if en == nil {
			en = &entry{Instance: Instance{ID: l.ID, State: Dead}}
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
		changed = v.judge(now, id, en) || changed
	}
	return changed
}

// judge derives the state of one instance. One that never sent a heartbeat is
// not among those that exchange them with this instance: the list decides.
func (v *View) judge(now time.Time, id string, en *entry) bool {
	silence := now.Sub(en.heard)
	next := Alive
	switch {
	case id == v.self:
	case en.heard.IsZero() && !en.listed:
		next = Dead
	case en.heard.IsZero():
	case silence > DeadAfter:
		next = Dead
	case silence > SuspectAfter:
		next = Suspect
	}
	if en.leaving && next != Dead {
		next = Leaving
	}
	if next == Dead && !en.listed && (en.heard.IsZero() || silence > ForgetAfter) {
		delete(v.entries, id)
		return true
	}
	changed := en.State != next
	en.State = next
	return changed
}

// Instances returns all known instances in order of identity.
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

// Version changes with each change of the instances or their states.
func (v *View) Version() uint64 { return v.version }
