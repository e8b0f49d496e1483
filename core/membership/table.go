package membership

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Table holds the serving set of each database group: the instances that serve
// it, in order of rank. It is not safe for concurrent use.
type Table struct {
	size   int
	groups []string
	keys   []uint64
	index  map[string]int
	list   []candidate
	// sets holds the ranks of all groups, size entries each, as indexes into
	// list; -1 marks an empty place.
	sets    []int32
	chooser chooser
}

// NewTable returns a table for the groups with sets of the given size. A size of
// 0 means all instances.
func NewTable(groups []string, size int) *Table {
	t := &Table{size: size, groups: groups, index: make(map[string]int, len(groups))}
	for i, g := range groups {
		t.index[g] = i
		t.keys = append(t.keys, xxhash.Sum64String(g))
	}
	return t
}

// Update takes new instances. Alive and suspect ones serve: a suspect instance
// keeps its place, because a short silence must not move connections. Only the
// groups whose set may differ are computed anew; their number is returned.
func (t *Table) Update(instances []Instance) int {
	next := candidates(instances, func(i Instance) bool { return i.State == Alive || i.State == Suspect })
	if slices.Equal(next, t.list) {
		return 0
	}
	places := t.places(len(next))
	if places != t.places(len(t.list)) || len(t.sets) == 0 {
		t.list, t.chooser = next, newChooser(next)
		t.sets = make([]int32, places*len(t.groups))
		for g := range t.groups {
			t.compute(g, places)
		}
		return len(t.groups)
	}
	return t.updateChanged(next, places)
}

func (t *Table) places(instances int) int {
	if t.size == 0 {
		return instances
	}
	return min(t.size, instances)
}

// updateChanged moves unaffected sets over to the new indexes.
func (t *Table) updateChanged(next []candidate, places int) int {
	moved := make([]int32, len(t.list))
	position := make(map[string]int32, len(next))
	for i, c := range next {
		position[c.id] = int32(i)
	}
	var added []candidate
	known := make(map[string]candidate, len(t.list))
	for i, c := range t.list {
		known[c.id] = c
		moved[i] = -1
		if p, ok := position[c.id]; ok && next[p].same(c) {
			moved[i] = p
		}
	}
	for _, c := range next {
		if !c.same(known[c.id]) {
			added = append(added, c)
		}
	}
	old := t.list
	uniform := t.chooser.uniform
	t.list, t.chooser = next, newChooser(next)
	if t.chooser.uniform != uniform {
		// Scores of both kinds cannot be compared.
		added = next
	}
	computed := 0
	for g := range t.groups {
		set := t.sets[g*places : (g+1)*places]
		if t.isAffected(g, set, old, moved, added) {
			t.compute(g, places)
			computed++
			continue
		}
		for i := range set {
			set[i] = moved[set[i]]
		}
	}
	return computed
}

// isAffected reports whether a member of the set is gone, or an added instance
// may belong to it: by its score, or because it brings another zone into a set
// that has several members of one zone.
func (t *Table) isAffected(g int, set []int32, old []candidate, moved []int32, added []candidate) bool {
	lowest := math.Inf(1)
	for _, i := range set {
		if moved[i] < 0 {
			return true
		}
		lowest = min(lowest, t.chooser.score(&old[i], t.keys[g]))
	}
	for i := range added {
		if t.chooser.score(&added[i], t.keys[g]) > lowest {
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

// same reports whether both are one instance with equal zone and weight.
func (c candidate) same(o candidate) bool {
	return c.id == o.id && c.zone == o.zone && c.weight == o.weight
}

func (t *Table) compute(g, places int) {
	copy(t.sets[g*places:(g+1)*places], t.chooser.choose(t.keys[g], places))
}

// Serving returns the identities of the group's serving set in order of rank, or
// nil if the group is unknown.
func (t *Table) Serving(group string) []string {
	g, ok := t.index[group]
	if !ok {
		return nil
	}
	places := t.places(len(t.list))
	out := make([]string, 0, places)
	for _, i := range t.sets[g*places : (g+1)*places] {
		out = append(out, t.list[i].id)
	}
	return out
}

// Rank returns the instance's rank in the group's serving set, from 0, or -1 if
// it is not in the set or the group is unknown.
func (t *Table) Rank(group, id string) int {
	g, ok := t.index[group]
	if !ok {
		return -1
	}
	places := t.places(len(t.list))
	for rank, i := range t.sets[g*places : (g+1)*places] {
		if t.list[i].id == id {
			return rank
		}
	}
	return -1
}
