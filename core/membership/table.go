package membership

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ServingTable holds the serving set of each database group: the instances that serve the
// group, in order of rank. It is not safe for concurrent use.
type ServingTable struct {
	maxSetSize   int
	groups       []string
	groupKeys    []uint64
	groupIndexes map[string]int
	candidates   []candidate
	// sets holds the serving sets of all groups one after the other, as indexes into
	// candidates. All sets have the same size.
	sets     []int32
	selector selector
}

// NewServingTable returns a table for the groups, with serving sets of up to size
// instances. A size of 0 means all instances.
func NewServingTable(groups []string, size int) *ServingTable {
	t := &ServingTable{maxSetSize: size, groups: groups, groupIndexes: make(map[string]int, len(groups))}
	for i, g := range groups {
		t.groupIndexes[g] = i
		t.groupKeys = append(t.groupKeys, xxhash.Sum64String(g))
	}
	return t
}

// Update replaces the instances. Serving sets consist of alive and suspect ones: a
// suspect instance stays in its sets, so that a few missed heartbeats do not move
// connections. Update recomputes only the sets that may change, and returns their
// number.
func (t *ServingTable) Update(instances []Instance) int {
	next := candidates(instances, func(i Instance) bool { return i.State == Alive || i.State == Suspect })
	if slices.Equal(next, t.candidates) {
		return 0
	}
	size := t.setSize(len(next))
	if size != t.setSize(len(t.candidates)) || len(t.sets) == 0 {
		t.candidates, t.selector = next, newSelector(next)
		t.sets = make([]int32, size*len(t.groups))
		for g := range t.groups {
			t.computeSet(g, size)
		}
		return len(t.groups)
	}
	return t.updateAffected(next, size)
}

// setSize returns the size of each serving set.
func (t *ServingTable) setSize(instances int) int {
	if t.maxSetSize == 0 {
		return instances
	}
	return min(t.maxSetSize, instances)
}

// updateAffected replaces the candidates while the set size stays the same. It
// recomputes the affected sets, returns their number, and translates the others to
// the new indexes.
func (t *ServingTable) updateAffected(next []candidate, size int) int {
	// newIndexes maps old indexes to new ones; -1 if the candidate is gone or changed.
	newIndexes := make([]int32, len(t.candidates))
	position := make(map[string]int32, len(next))
	for i, c := range next {
		position[c.id] = int32(i)
	}
	var added []candidate
	known := make(map[string]candidate, len(t.candidates))
	for i, c := range t.candidates {
		known[c.id] = c
		newIndexes[i] = -1
		if p, ok := position[c.id]; ok && next[p].equals(c) {
			newIndexes[i] = p
		}
	}
	for _, c := range next {
		if !c.equals(known[c.id]) {
			added = append(added, c)
		}
	}
	old := t.candidates
	hadEqualWeights := t.selector.equalWeights
	t.candidates, t.selector = next, newSelector(next)
	if t.selector.equalWeights != hadEqualWeights {
		// Scores with and without weights cannot be compared.
		added = next
	}
	computed := 0
	for g := range t.groups {
		set := t.sets[g*size : (g+1)*size]
		if t.isAffected(g, set, old, newIndexes, added) {
			t.computeSet(g, size)
			computed++
			continue
		}
		for i := range set {
			set[i] = newIndexes[set[i]]
		}
	}
	return computed
}

// isAffected reports whether a candidate in the set is gone or changed, or an added
// one may belong to the set: because of its score, or because the set has several
// instances of one zone and the added one may be of another.
func (t *ServingTable) isAffected(g int, set []int32, old []candidate, newIndexes []int32, added []candidate) bool {
	lowest := math.Inf(1)
	for _, i := range set {
		if newIndexes[i] < 0 {
			return true
		}
		lowest = min(lowest, t.selector.score(&old[i], t.groupKeys[g]))
	}
	for i := range added {
		if t.selector.score(&added[i], t.groupKeys[g]) > lowest {
			return true
		}
	}
	return len(added) > 0 && !hasDistinctZones(set, old)
}

func hasDistinctZones(set []int32, list []candidate) bool {
	for i, a := range set {
		for _, b := range set[:i] {
			if list[a].zoneIndex == list[b].zoneIndex {
				return false
			}
		}
	}
	return true
}

// equals reports whether both have the same ID, zone and weight.
func (c candidate) equals(o candidate) bool {
	return c.id == o.id && c.zone == o.zone && c.weight == o.weight
}

func (t *ServingTable) computeSet(g, size int) {
	copy(t.sets[g*size:(g+1)*size], t.selector.choose(t.groupKeys[g], size))
}

// ServingSet returns the IDs of the group's serving set in order of rank, or nil if
// the group is unknown.
func (t *ServingTable) ServingSet(group string) []string {
	g, ok := t.groupIndexes[group]
	if !ok {
		return nil
	}
	size := t.setSize(len(t.candidates))
	out := make([]string, 0, size)
	for _, i := range t.sets[g*size : (g+1)*size] {
		out = append(out, t.candidates[i].id)
	}
	return out
}

// Rank returns the instance's rank in the group's serving set, from 0, or -1 if
// it is not in the set or the group is unknown.
func (t *ServingTable) Rank(group, id string) int {
	g, ok := t.groupIndexes[group]
	if !ok {
		return -1
	}
	size := t.setSize(len(t.candidates))
	for rank, i := range t.sets[g*size : (g+1)*size] {
		if t.candidates[i].id == id {
			return rank
		}
	}
	return -1
}
