// Package experiment compares the ways to divide a limit among instances that are
// named in docs/design.md, section 6. A deterministic simulation in virtual time
// runs core/lease and core/limits with a simulated network and store. The property
// tests of both packages use the same simulation.
package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simulationStart is the virtual time at which each simulation starts.
var simulationStart = time.Unix(1_700_000_000, 0)

// Sim is a queue of events in virtual time. Events at the same time run in the
// order in which they were added.
type Sim struct {
	now   time.Time
	queue eventQueue
	seq   uint64
	Rand  *rand.Rand
}

// NewSim returns a simulation with a random number generator of the given seed.
func NewSim(seed uint64) *Sim {
	return &Sim{now: simulationStart, Rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Now returns the virtual time.
func (s *Sim) Now() time.Time { return s.now }

// Elapsed returns the virtual time since the start of the simulation.
func (s *Sim) Elapsed() time.Duration { return s.now.Sub(simulationStart) }

// After runs f after the delay.
func (s *Sim) After(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(max(0, d)), seq: s.seq, run: f})
}

// Every runs f once per period, first after the offset, until it returns false.
func (s *Sim) Every(offset, period time.Duration, f func() bool) {
	s.After(offset, func() {
		if f() {
			s.Every(period, period, f)
		}
	})
}

// RunUntil runs all events up to the given time since the start.
func (s *Sim) RunUntil(elapsed time.Duration) {
	end := simulationStart.Add(elapsed)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// Between returns a random duration in [low, high).
func (s *Sim) Between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(s.Rand.Int64N(int64(high-low)))
}

// WithProbability returns true with probability p.
func (s *Sim) WithProbability(p float64) bool { return p > 0 && s.Rand.Float64() < p }

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
