package gateway

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/mulberrysill/mulberrysill/core/membership"
)

const (
	// fleetViewTTL is the age from which on a view of the fleet is built anew. An
	// instance that falls silent counts as alive for seconds anyway.
	fleetViewTTL = 200 * time.Millisecond
	// maxCachedChoices bounds the choices that a view keeps.
	maxCachedChoices = 8192
)

// restartViewPeriod is the time after the start of this process in which serving sets are
// chosen from all listed instances while few have been heard from.
const restartViewPeriod = 5 * time.Second

// fleetView is a list of instances with the choices made from it by rendezvous hashing.
// Choosing among some hundred instances for each group and statement would take most of
// an instance's processor time, while the list rarely changes.
type fleetView struct {
	instances []membership.Instance

	mu      sync.Mutex
	choices map[string][]string // guarded by mu
}

func newFleetView(instances []membership.Instance) *fleetView {
	return &fleetView{instances: instances, choices: map[string][]string{}}
}

// choose returns up to size instances for the key. The caller must not modify the result.
func (v *fleetView) choose(key string, size int) []string {
	return v.cached(key+"\x00"+strconv.Itoa(size), func() []string { return chooseInstances(key, size, v.instances) })
}

// servingSet returns the instances that serve a group. The caller must not modify it.
func (v *fleetView) servingSet(group string, maxConnections int) []string {
	return v.choose(group, servingSetSize(maxConnections))
}

// workspaceOwner returns the instance of the group's serving set that owns the workspace,
// or "" if there is no instance.
func (v *fleetView) workspaceOwner(group, workspace string, maxConnections int) string {
	key := group + "/" + workspace
	owner := v.cached(key+"\x00"+strconv.Itoa(maxConnections)+"\x00owner", func() []string {
		return chooseInstances(key, 1, v.only(v.servingSet(group, maxConnections)))
	})
	if len(owner) == 0 {
		return ""
	}
	return owner[0]
}

// zones returns the availability zones of the instances, sorted.
func (v *fleetView) zones() []string {
	return v.cached("zones", func() []string {
		var zones []string
		for _, i := range v.instances {
			zones = append(zones, i.Zone)
		}
		slices.Sort(zones)
		return slices.Compact(zones)
	})
}

// zoneCollector returns the collector of the zone, which is one of its instances with the
// most capacity, or "" if the zone has no instance.
func (v *fleetView) zoneCollector(zone string) string {
	ranking := v.collectorRanking(zone)
	if len(ranking) == 0 {
		return ""
	}
	return ranking[0]
}

// collectorRanking returns the instances of the zone in the order in which they become its
// collector: by capacity, and by rendezvous hashing among those with the same. The caller
// must not modify it.
func (v *fleetView) collectorRanking(zone string) []string {
	return v.cached("collector\x00"+zone, func() []string {
		byCapacity := map[float64][]membership.Instance{}
		for _, i := range v.instances {
			if i.Zone == zone {
				byCapacity[i.Weight] = append(byCapacity[i.Weight], i)
			}
		}
		var ranking []string
		for _, capacity := range slices.Backward(slices.Sorted(maps.Keys(byCapacity))) {
			same := byCapacity[capacity]
			ranking = append(ranking, chooseInstances("exchange", len(same), same)...)
		}
		return ranking
	})
}

// cached returns the kept choice, or makes and keeps it.
func (v *fleetView) cached(key string, choose func() []string) []string {
	v.mu.Lock()
	chosen, ok := v.choices[key]
	v.mu.Unlock()
	if ok {
		return chosen
	}
	chosen = choose()
	v.mu.Lock()
	if len(v.choices) >= maxCachedChoices {
		clear(v.choices)
	}
	v.choices[key] = chosen
	v.mu.Unlock()
	return chosen
}

// fleetViews holds the views of the live and of the healthy instances. It is guarded by
// the mutex of peers.
type fleetViews struct {
	live, healthy *fleetView
	// serving is the view from which the serving sets of members are chosen.
	serving *fleetView
	// unheard is the last view of all known instances that are not suspect.
	unheard *fleetView
	builtAt time.Time
	// outdated is set by changes that must take effect at once.
	outdated bool
}

// views returns the current views of the fleet.
func (ps *peers) views() (live, healthy *fleetView) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := time.Now()
	f := &ps.fleet
	if f.live != nil && !f.outdated && now.Sub(f.builtAt) < fleetViewTTL {
		return f.live, f.healthy
	}
	f.live = f.live.replace(ps.selectInstances((*peer).alive))
	f.healthy = f.healthy.replace(ps.selectInstances(func(p *peer, now time.Time) bool {
		return p.alive(now) && !now.Before(p.suspectUntil) && !p.lastHeard.IsZero()
	}))
	f.serving = f.healthy
	if bootTime()-ps.startedAt < restartViewPeriod && len(f.healthy.instances) <= len(ps.byID)/2 {
		// After a restart nobody has been heard from yet. If each instance took only itself
		// for healthy, all of them would open connections to all members.
		f.serving = f.unheard.replace(ps.selectInstances(func(p *peer, now time.Time) bool { return !p.leaving && !now.Before(p.suspectUntil) }))
		f.unheard = f.serving
	}
	f.builtAt, f.outdated = now, false
	return f.live, f.healthy
}

// replace returns a view of the instances, which is v if they are the same.
func (v *fleetView) replace(instances []membership.Instance) *fleetView {
	if v != nil && slices.Equal(v.instances, instances) {
		return v
	}
	return newFleetView(instances)
}

// liveInstances returns a view of the live instances sorted by ID, including this one
// unless it is leaving.
func (ps *peers) liveInstances() *fleetView {
	live, _ := ps.views()
	return live
}

// servingInstances returns a view of the instances that may serve members. It returns false
// before the instances have been listed for the first time.
func (ps *peers) servingInstances() (*fleetView, bool) {
	ps.views()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.fleet.serving, ps.listedAt.Load() > 0 || bootTime()-ps.startedAt > listTimeout
}

// healthyInstances returns a view of the live instances that were heard from and are not
// suspect, sorted by ID. They may run statements for others. It includes this instance
// unless it is leaving.
func (ps *peers) healthyInstances() *fleetView {
	_, healthy := ps.views()
	return healthy
}
