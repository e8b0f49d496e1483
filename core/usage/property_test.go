package usage_test

import (
	"flag"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrysill/mulberrysill/core/usage"
)

const (
	// contradictionPlays and completenessPlays are the numbers of random orders that are
	// played unless -rapid.checks says otherwise.
	contradictionPlays = 2000
	completenessPlays  = 500
	worldSteps         = 150
	// calmOutage is the longest outage of a calm world, in which the same outage does not
	// come again within as much time. Reports that stay unsent for RetainedWindows are given
	// up, so that longer outages may lose them.
	calmOutage = 10 * time.Second
	// calmTenure is the minimum time between two claims of the lease in a calm world.
	calmTenure = 3250 * time.Millisecond
	// settleSteps is the number of steps after which a calm world has reported everything.
	settleSteps = 150
	settleStep  = 200 * time.Millisecond
)

// play runs a world and returns it. The steps include at least one holder.
func play(t *rapid.T, v variant, calm bool) *world {
	w := newWorld(t, v, calm)
	instance := rapid.IntRange(0, worldInstances-1)
	var storeDownAt, platformDownAt, claimedAt time.Duration
	for i := range worldInstances {
		for j := range worldInstances {
			if i != j {
				w.compareClocks(w.processes[i], w.processes[j])
			}
		}
	}
	w.claim(w.processes[0])
	for range worldSteps {
		w.now += rapid.SampledFrom([]time.Duration{0, 50, 200, 300, 500, 900}).Draw(t, "step") * time.Millisecond
		i := instance.Draw(t, "instance")
		p := w.processes[i]
		switch rapid.IntRange(0, 15).Draw(t, "event") {
		case 0, 1, 2, 3:
			w.count(p)
		case 4:
			w.compareClocks(p, w.processes[instance.Draw(t, "peer")])
		case 5, 6:
			if !calm || w.now-claimedAt > calmTenure {
				w.claim(p)
				claimedAt = w.now
			}
		case 7:
			if !calm || w.now-storeDownAt > 2*calmOutage {
				w.storeDown, storeDownAt = !w.storeDown, w.now
			}
		case 8:
			if !calm || w.now-platformDownAt > 2*calmOutage {
				w.platformDown, platformDownAt = !w.platformDown, w.now
			}
		case 9:
			if !calm {
				w.processes[i] = w.newProcess(i)
			}
		case 10:
			w.copies = append(w.copies, w.copyStore())
		case 11:
			if w.restorable {
				w.restore()
			}
		case 12, 13:
			w.runLate()
		case 14:
			if len(w.messages) > 0 {
				m := rapid.IntRange(0, len(w.messages)-1).Draw(t, "late message")
				w.deliver(w.messages[m], w.flip("acknowledged"))
			}
		case 15:
			if !calm {
				w.now += rapid.SampledFrom([]time.Duration{0, 4, 9, 30, 130}).Draw(t, "frozen") * time.Second
			}
		}
		if calm {
			w.storeDown = w.storeDown && w.now-storeDownAt < calmOutage
			w.platformDown = w.platformDown && w.now-platformDownAt < calmOutage
		}
		w.act()
		if len(w.violations) > 0 {
			break
		}
	}
	return w
}

// copyStore takes a copy of the store.
func (w *world) copyStore() storeState {
	c := w.store
	c.rows = maps.Clone(c.rows)
	return c
}

// restore restores the store from a copy.
func (w *world) restore() {
	if len(w.copies) == 0 {
		return
	}
	c := rapid.SampledFrom(w.copies).Draw(w.t, "copy")
	c.rows = maps.Clone(c.rows)
	w.store = c
	w.era++
	w.restorations++
	w.storeDown = false
}

// runLate executes a late call of the store or the platform.
func (w *world) runLate() {
	if len(w.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.late)-1).Draw(w.t, "late call")
	run := w.late[i]
	w.late = append(w.late[:i:i], w.late[i+1:]...)
	run()
}

// act lets all processes exchange counts and do their work.
func (w *world) act() {
	for _, p := range w.processes {
		if w.calm || w.flip("sends counts") {
			w.exchange(p)
		}
	}
	for _, p := range w.processes {
		w.work(p)
	}
}

// playMany plays the given number of worlds.
func playMany(t *testing.T, plays int, check func(*rapid.T)) {
	t.Helper()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		old := flag.Lookup("rapid.checks").Value.String()
		if err := flag.Set("rapid.checks", strconv.Itoa(plays)); err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := flag.Set("rapid.checks", old); err != nil {
				t.Error(err)
			}
		}()
	}
	rapid.Check(t, check)
}

// Whatever dies, is late, lost or restored, the platform never gets two different reports
// of a window, nor a report that the store has not held, nor more requests than were
// counted.
func TestReportsNeverContradict(t *testing.T) {
	accepted, restored, plays := 0, 0, 0
	playMany(t, contradictionPlays, func(t *rapid.T) {
		w := play(t, correct, false)
		accepted, restored, plays = accepted+w.acceptedCalls, restored+w.restorations, plays+1
		if len(w.violations) > 0 {
			t.Fatal(w.violations)
		}
	})
	t.Logf("%d plays, %d accepted calls, %d restorations", plays, accepted, restored)
	if accepted < plays {
		t.Errorf("%d reports in %d plays: the worlds do not report", accepted, plays)
	}
}

// If no process dies, every request that was counted is reported, although messages and
// responses are lost, late and repeated, the lease moves, and the store and the platform
// fail for a while.
func TestReportsAreCompleteIfNothingDies(t *testing.T) {
	playMany(t, completenessPlays, func(t *rapid.T) {
		w := play(t, correct, true)
		w.storeDown, w.platformDown = false, false
		for range settleSteps {
			w.now += settleStep
			if p := w.processes[0]; p.token == 0 || w.store.lease.holder != p.source {
				w.claim(p)
			}
			w.act()
		}
		if len(w.violations) > 0 {
			t.Fatal(w.violations)
		}
		for _, window := range slices.Sorted(maps.Keys(w.counted)) {
			counts := w.counted[window]
			if want := (usage.Report{Window: window, Counts: counts}); !w.accepted[window].Equal(want) {
				t.Fatalf("window %d: reported %v of %v", window, w.accepted[window].Counts, counts)
			}
		}
	})
}

// The property finds a holder that sends a report before it is fixed, and a new holder that
// builds its own report of a window that has one.
func TestPropertyRejectsBrokenVariants(t *testing.T) {
	for name, v := range map[string]variant{"sent before fixed": sendFirst, "built again": buildAgain} {
		found := 0
		for seed := range 300 {
			w := rapid.Custom(func(t *rapid.T) *world { return play(t, v, false) }).Example(seed)
			if len(w.violations) > 0 {
				found++
			}
		}
		t.Logf("%s: %d of 300 plays violate the property", name, found)
		if found == 0 {
			t.Errorf("%s: no violation was found", name)
		}
	}
}
