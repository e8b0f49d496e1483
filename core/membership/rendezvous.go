package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxWitnesses is the maximum number of witnesses of a lease. A witness is another
// instance, from which the holder of the lease requests promises (see package lease).
const MaxWitnesses = 5

// candidate is an instance that may be selected.
type candidate struct {
	id   string
	zone string
	// hash is the hash of the ID.
	hash   uint64
	weight float64
	// zoneIndex numbers the zones from 0, in order of first appearance.
	zoneIndex int32
}

// Witnesses returns the witnesses of the lease that the instance self holds. They are
// selected by rendezvous hashing from the other instances in state Alive, and spread
// over availability zones. instances must be in order of ID.
func Witnesses(self string, instances []Instance) []Instance {
	list := candidates(instances, func(i Instance) bool { return i.State == Alive && i.ID != self })
	s := newSelector(list)
	out := make([]Instance, 0, MaxWitnesses)
	for _, c := range s.choose(xxhash.Sum64String(self), MaxWitnesses) {
		i, _ := slices.BinarySearchFunc(instances, list[c].id, func(i Instance, id string) int { return cmp.Compare(i.ID, id) })
		out = append(out, instances[i])
	}
	return out
}

// candidates returns the instances for which accept returns true as candidates.
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

// score returns the weighted rendezvous score of a candidate for a key. The
// probability that a candidate has the highest score is proportional to its weight.
// If all weights are equal, the uniform random number u gives the same order of
// candidates without the logarithm, which would take most of the time.
func (s *selector) score(c *candidate, key uint64) float64 {
	// 53 bits give a uniform number in (0, 1).
	u := (float64(splitmix64(c.hash^key)>>11) + 0.5) / (1 << 53)
	if s.equalWeights {
		return u
	}
	return -c.weight / math.Log(u)
}

// splitmix64 is one step of the SplitMix64 generator. It mixes the bits of x, so that
// similar values give unrelated results.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// selector selects from a list of candidates. It reuses its buffers, so the result
// of choose is valid until the next call.
type selector struct {
	candidates   []candidate
	equalWeights bool
	scores       []float64
	taken        []bool
	// best holds the index of the best remaining candidate in each zone, or -1.
	best []int32
	// selected holds the indexes of the selected candidates.
	selected []int32
}

func newSelector(list []candidate) selector {
	s := selector{candidates: list, equalWeights: true, scores: make([]float64, len(list)), taken: make([]bool, len(list))}
	zones := int32(0)
	for i := range list {
		s.equalWeights = s.equalWeights && list[i].weight == list[0].weight
		zones = max(zones, list[i].zoneIndex+1)
	}
	s.best = make([]int32, zones)
	return s
}

// choose returns the indexes of count candidates, or of all if there are fewer. It
// works in rounds: each round selects the best remaining candidate of every zone, in
// descending order of score within the round. The selection is therefore spread
// evenly over the zones as long as each has candidates left.
func (s *selector) choose(key uint64, count int) []int32 {
	for i := range s.candidates {
		s.scores[i], s.taken[i] = s.score(&s.candidates[i], key), false
	}
	s.selected = s.selected[:0]
	for count = min(count, len(s.candidates)); len(s.selected) < count; {
		first := len(s.selected)
		s.appendRound()
		round := s.selected[first:]
		slices.SortFunc(round, func(a, b int32) int { return cmp.Compare(s.scores[b], s.scores[a]) })
		s.selected = s.selected[:min(count, len(s.selected))]
		for _, i := range s.selected[first:] {
			s.taken[i] = true
		}
	}
	return s.selected
}

// appendRound appends the best remaining candidate of each zone to s.selected.
func (s *selector) appendRound() {
	for z := range s.best {
		s.best[z] = -1
	}
	for i := range s.candidates {
		if b := s.best[s.candidates[i].zoneIndex]; !s.taken[i] && (b < 0 || s.scores[i] > s.scores[b]) {
			s.best[s.candidates[i].zoneIndex] = int32(i)
		}
	}
	for _, b := range s.best {
		if b >= 0 {
			s.selected = append(s.selected, b)
		}
	}
}
