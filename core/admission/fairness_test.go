package admission_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/admission"
)

// The simulated fleet has 6 instances. It serves one member with 3 slots, whose
// 20 connections are divided among the instances, and 8 workspaces whose rates
// add up to 90% of the member's capacity. The first workspace sends 5 times its
// rate, to all instances.
const (
	simSlots             = 3
	simMeanServiceTime   = 10 * time.Millisecond // mean, exponential
	simWorkspaces        = 8
	simInstances         = 6
	simRequestsPerSecond = 0.9 * simSlots / simWorkspaces * 100 // per workspace
	simFloodFactor       = 5
	simDuration          = 60 * time.Second
	simReportInterval    = 500 * time.Millisecond
	// simTimeout is the time after which a client has given up on a request.
	simTimeout = time.Second
)

// policy is one of the compared queueing policies.
type policy struct {
	name                string
	fair, remoteReports bool
}

var policies = []policy{
	{"first come first served", false, false},
	{"fair queue per instance", true, false},
	{"fair queue with remote reports", true, true},
}

// clientSpread is the number of instances that receive the requests of the
// workspaces within their rate.
type clientSpread struct {
	name      string
	instances int
}

var clientSpreads = []clientSpread{{"clients on all instances", simInstances}, {"clients on one instance", 1}}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simRequest is a request of a workspace to an instance.
type simRequest struct {
	workspace, instance int
	arrived, granted    time.Duration
	charged             time.Duration
}

// simulation is a deterministic run of one policy.
type simulation struct {
	policy   policy
	events   simEvents
	seq      int
	now      time.Duration
	random   *rand.Rand
	queues   []*admission.Queue
	free     []int
	requests map[uint64]*simRequest
	nextID   uint64
	running  int
	backlog  []*simRequest // requests that hold a connection and wait for a slot
	inTime   [simWorkspaces]int
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, run})
}

func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// account is the workspace name that the queue sees. With a single name for all
// workspaces the queue is first come first served.
func (s *simulation) account(workspace int) string {
	if !s.policy.fair {
		return "all"
	}
	return fmt.Sprint(workspace)
}

func (s *simulation) arrive(workspace, instances int) {
	rate := simRequestsPerSecond
	if workspace == 0 {
		rate *= simFloodFactor
	}
	instance := (workspace + s.random.IntN(instances)) % simInstances
	s.nextID++
	s.requests[s.nextID] = &simRequest{workspace: workspace, instance: instance, arrived: s.now}
	s.queues[instance].Push(admission.Item{
		ID: s.nextID, Workspace: s.account(workspace), Deadline: time.Unix(0, int64(s.now+simTimeout)),
	})
	s.dispatch(instance)
	s.after(s.exponential(time.Duration(float64(time.Second)/rate)), func() { s.arrive(workspace, instances) })
}

func (s *simulation) dispatch(instance int) {
	q := s.queues[instance]
	q.Expire(time.Unix(0, int64(s.now)))
	for s.free[instance] > 0 {
		it, charged, ok := q.Next(matchAny)
		if !ok {
			return
		}
		r := s.requests[it.ID]
		delete(s.requests, it.ID)
		r.granted, r.charged = s.now, charged
		s.free[instance]--
		s.backlog = append(s.backlog, r)
		s.start()
	}
}

// start gives the member's free slots to the waiting connections in order of
// arrival.
func (s *simulation) start() {
	for s.running < simSlots && len(s.backlog) > 0 {
		r := s.backlog[0]
		s.backlog = s.backlog[1:]
		s.running++
		s.after(s.exponential(simMeanServiceTime), func() {
			s.running--
			s.free[r.instance]++
			s.queues[r.instance].Done(s.account(r.workspace), r.charged, s.now-r.granted)
			if s.now-r.arrived <= simTimeout {
				s.inTime[r.workspace]++
			}
			s.start()
			s.dispatch(r.instance)
		})
	}
}

func (s *simulation) report() {
	for i, q := range s.queues {
		for j, other := range s.queues {
			if i != j {
				q.RecordRemoteService(fmt.Sprint(j), other.AttainedService())
			}
		}
	}
	s.after(simReportInterval, s.report)
}

// simulate returns the goodput of the worst-served workspace among those within
// their rate, relative to the fair share. The fair share is the whole rate, because
// the rates add up to less than the member's capacity.
func simulate(p policy, instances int) float64 {
	s := &simulation{policy: p, random: rand.New(rand.NewPCG(1, 2)), requests: map[uint64]*simRequest{}}
	units := map[string]uint32{}
	for i := range simInstances {
		units[fmt.Sprint(i)] = 65536 / simInstances
	}
	budget := admission.SplitConnections(20, units, 65536)
	for _, name := range slices.Sorted(maps.Keys(units)) {
		s.queues = append(s.queues, admission.NewQueue(0))
		s.free = append(s.free, budget[name])
	}
	for w := range simWorkspaces {
		n := instances
		if w == 0 {
			n = simInstances
		}
		s.after(0, func() { s.arrive(w, n) })
	}
	if p.remoteReports {
		s.after(simReportInterval, s.report)
	}
	for s.now < simDuration {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return float64(slices.Min(s.inTime[1:])) / (simRequestsPerSecond * simDuration.Seconds())
}

var _ = Describe("the fair queue with remote reports", func() {
	It("gives the worst-served workspace over 0.95 of its fair share during a flood on all instances", func() {
		Expect(simulate(policies[2], simInstances)).To(BeNumerically(">", 0.95))
	})
})

// BenchmarkWorstServed reports the goodput of the worst-served workspace within
// its rate, relative to the fair share, under each policy.
func BenchmarkWorstServed(b *testing.B) {
	for _, sp := range clientSpreads {
		for _, p := range policies {
			b.Run(sp.name+"/"+p.name, func(b *testing.B) {
				var ratio float64
				for b.Loop() {
					ratio = simulate(p, sp.instances)
				}
				b.ReportMetric(ratio, "worst/fair")
			})
		}
	}
}
