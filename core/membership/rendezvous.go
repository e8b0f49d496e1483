package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxWitnesses is the number of witnesses of a lease, if there are as many
// fellow instances.
const MaxWitnesses = 5

// candidate is an instance that may be chosen, with its hash.
type candidate struct {
	id     string
	zone   string
	hash   uint64
	weight float64
	// zoneIndex numbers the zones of one list from 0.
	zoneIndex int32
}

// Witnesses returns the witnesses of an instance's lease: live fellow instances
// by rendezvous hashing, spread over availability zones.
func Witnesses(self string, instances []Instance) []Instance {
	list := candidates(instances, func(i Instance) bool { return i.State == Alive && i.ID != self })
	s := newChooser(list)
	out := make([]Instance, 0, MaxWitnesses)
	for _, c := range s.choose(xxhash.Sum64String(self), MaxWitnesses) {
		i, _ := slices.BinarySearchFunc(instances, list[c].id, func(i Instance, id string) int { return cmp.Compare(i.ID, id) })
		out = append(out, instances[i])
	}
	return out
}

func candidates(instances []Instance, accept func(Instance) bool) []candidate {
	list := make([]candidate, 0, len(instances))
	zones := map[string]int32{}
	for _, i := range instances {
		if !accept(i) {
			continue
		}
		weight := i.Weight
		if weight <= 0 {
			weight = 1
		}
		zone, ok := zones[i.Zone]
		if !ok {
			zone = int32(len(zones))
			zones[i.Zone] = zone
		}
		list = append(list, candidate{
			id: i.ID, zone: i.Zone, hash: xxhash.Sum64String(i.ID), weight: weight, zoneIndex: zone,
		})
	}
	return list
}

// score is the weighted rendezvous score of an instance for a key: the instance
// with the highest one wins, with a probability in proportion to its weight. If
// all weights are equal the uniform number gives the same order without the
// logarithm, which would take most of the time.
func (s *chooser) score(c *candidate, key uint64) float64 {
	// 53 bits give a uniform number in (0, 1).
	u := (float64(mix(c.hash^key)>>11) + 0.5) / (1 << 53)
	if s.uniform {
		return u
	}
	return -c.weight / math.Log(u)
}

// mix is the finalizer of splitmix64, which spreads the combined hashes.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// chooser chooses from one list of candidates. It keeps its buffers.
type chooser struct {
	list    []candidate
	uniform bool
	scores  []float64
	taken   []bool
	// best holds the index of the best candidate left in each zone, or -1.
	best  []int32
	order []int32
}

func newChooser(list []candidate) chooser {
	s := chooser{list: list, uniform: true, scores: make([]float64, len(list)), taken: make([]bool, len(list))}
	zones := int32(0)
	for i := range list {
		s.uniform = s.uniform && list[i].weight == list[0].weight
		zones = max(zones, list[i].zoneIndex+1)
	}
	s.best = make([]int32, zones)
	return s
}

// choose returns the indexes of the chosen candidates in order of rank. Each
// place goes to the highest score in the zones with the fewest chosen so far, so
// that every round takes the best of each zone, in order of score.
func (s *chooser) choose(key uint64, count int) []int32 {
	for i := range s.list {
		s.scores[i], s.taken[i] = s.score(&s.list[i], key), false
	}
	s.order = s.order[:0]
	for count = min(count, len(s.list)); len(s.order) < count; {
		first := len(s.order)
		s.round()
		round := s.order[first:]
		slices.SortFunc(round, func(a, b int32) int { return cmp.Compare(s.scores[b], s.scores[a]) })
		s.order = s.order[:min(count, len(s.order))]
		for _, i := range s.order[first:] {
			s.taken[i] = true
		}
	}
	return s.order
}

// round appends the best candidate left in each zone.
func (s *chooser) round() {
	for z := range s.best {
		s.best[z] = -1
	}
	for i := range s.list {
		if b := s.best[s.list[i].zoneIndex]; !s.taken[i] && (b < 0 || s.scores[i] > s.scores[b]) {
			s.best[s.list[i].zoneIndex] = int32(i)
		}
	}
	for _, b := range s.best {
		if b >= 0 {
			s.order = append(s.order, b)
		}
	}
}
