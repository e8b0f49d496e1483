package pace_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/mulberrysill/mulberrysill/core/pace"
)

// The member of a replay, as in docs/design/overview.md, section 2.
const (
	memberSlots     = 4
	memberQueue     = 32
	servingCount    = 2
	refusedCallWait = 50 * time.Millisecond
	failureTime     = time.Millisecond
	sampleInterval  = 10 * time.Millisecond
	serviceSigma    = 0.7
	outlierShare    = 0.01
	outlierFactor   = 5
)

// controller decides when an instance of a replay sends statements. Every policy
// that is compared implements it.
type controller interface {
	mayStart(now time.Time) bool
	retryAt() time.Time
	start(now time.Time) pace.Statement
	finish(now time.Time, s pace.Statement, outcome pace.Outcome)
	recovered(now time.Time)
	limit() int
}

// adaptive is the policy under test.
type adaptive struct{ *pace.Limiter }

func (a adaptive) mayStart(now time.Time) bool { return a.MayStart(now) }
func (a adaptive) retryAt() time.Time          { return a.RetryAt() }
func (a adaptive) start(now time.Time) pace.Statement {
	return a.Start(now)
}
func (a adaptive) finish(now time.Time, s pace.Statement, o pace.Outcome) { a.Finish(now, s, o) }
func (a adaptive) recovered(now time.Time)                                { a.Recovered(now) }
func (a adaptive) limit() int                                             { return a.Limit() }

// replay is one run of a member, two serving instances and their callers on simulated
// time.
type replay struct {
	seed     uint64
	duration time.Duration
	// roundTrips are the instances' network round trips to the member.
	roundTrips [servingCount]time.Duration
	// mean is the mean service time at a time, and slowdown its factor.
	mean     func(at time.Duration) time.Duration
	slowdown func(at time.Duration) float64
	// queue is the length of the member's queue; memberQueue if nil.
	queue func(at time.Duration) int
	// failing makes the member answer with an error after failureTime.
	failing func(at time.Duration) bool
	// downFrom and downUntil are the member's outage.
	downFrom, downUntil time.Duration
	// callers is the number of callers of each instance that each have one request. If
	// rate is not nil, requests arrive at that rate per instance instead.
	callers int
	rate    func(at time.Duration) float64
	// unmanaged is the number of callers that send to the member without a controller.
	unmanaged int
	// unmeasured is set if the instances do not measure their round trips.
	unmeasured bool
	// events are called at their times.
	events map[time.Duration]func(now time.Time)

	controllers [servingCount]controller
	random      *rand.Rand
	now         time.Duration
	pending     eventHeap
	sequence    uint64
	waiting     [servingCount]int
	wakeAt      [servingCount]time.Duration
	inFlight    [servingCount]int
	busy        int
	queued      []*request
	epoch       int
	samples     []sample
	count       sample
}

// sample holds the sums over one sampleInterval and the state at its end.
type sample struct {
	at                                    time.Duration
	busyTime, queuedTime                  time.Duration
	sent, served, rejected, failed, stuck int
	waitedAtInstance                      int
	waitTime                              time.Duration
	executed                              int
	limits                                [servingCount]int
	service                               time.Duration
}

type request struct {
	instance  int // -1 for unmanaged callers
	statement pace.Statement
	arrived   time.Duration
	epoch     int
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].sequence < h[j].sequence)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

var origin = time.Unix(1_000_000, 0)

func (r *replay) clock() time.Time { return origin.Add(r.now) }

func (r *replay) after(d time.Duration, run func()) {
	r.sequence++
	heap.Push(&r.pending, event{r.now + d, r.sequence, run})
}

func always(mean time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return mean }
}

// run replays the scenario with the controllers that newController returns.
func (r *replay) run(newController func(i int) controller) *replay {
	r.random = rand.New(rand.NewPCG(r.seed, 1))
	for i := range r.controllers {
		r.controllers[i] = newController(i)
		if a, ok := r.controllers[i].(adaptive); ok && !r.unmeasured {
			a.ObserveRoundTrip(r.clock(), r.roundTrips[i])
		}
		if r.rate != nil {
			r.scheduleArrival(i)
		} else {
			r.waiting[i] = r.callers
			r.after(0, func() { r.dispatch(i) })
		}
	}
	for range r.unmanaged {
		r.after(0, r.sendUnmanaged)
	}
	for at, run := range r.events {
		r.after(at, func() { run(r.clock()) })
	}
	if r.downUntil > 0 {
		r.after(r.downFrom, r.stopMember)
		r.after(r.downUntil, func() {
			for i := range r.controllers {
				r.controllers[i].recovered(r.clock())
				r.dispatch(i)
			}
		})
	}
	r.after(sampleInterval, r.takeSample)
	for r.pending.Len() > 0 {
		next := heap.Pop(&r.pending).(event)
		if next.at > r.duration {
			break
		}
		r.count.busyTime += time.Duration(r.busy) * (next.at - r.now)
		r.count.queuedTime += time.Duration(len(r.queued)) * (next.at - r.now)
		r.now = next.at
		next.run()
	}
	return r
}

func (r *replay) takeSample() {
	r.count.at = r.now
	for i, c := range r.controllers {
		r.count.limits[i] = c.limit()
		if r.waiting[i] > 0 && r.inFlight[i] == 0 && !r.isDown() && !r.clock().Before(c.retryAt()) {
			r.count.stuck++
		}
	}
	if a, ok := r.controllers[0].(adaptive); ok {
		r.count.service = a.ServiceTime().Mean
	}
	r.samples = append(r.samples, r.count)
	r.count = sample{}
	r.after(sampleInterval, r.takeSample)
}

func (r *replay) scheduleArrival(i int) {
	wait := time.Duration(r.random.ExpFloat64() / max(r.rate(r.now), 1e-3) * float64(time.Second))
	// A long wait is cut, because the rate may rise meanwhile.
	arrives := wait <= sampleInterval
	r.after(min(wait, sampleInterval), func() {
		if arrives {
			r.waiting[i]++
			r.dispatch(i)
			r.count.waitedAtInstance += min(r.waiting[i], 1)
		}
		r.scheduleArrival(i)
	})
}

func (r *replay) isDown() bool { return r.now >= r.downFrom && r.now < r.downUntil }

// dispatch sends the statements that the controller allows.
func (r *replay) dispatch(i int) {
	c := r.controllers[i]
	for r.waiting[i] > 0 && !r.isDown() {
		if !c.mayStart(r.clock()) {
			if wake := c.retryAt().Sub(origin); wake > r.now && r.wakeAt[i] != wake {
				r.wakeAt[i] = wake
				r.after(wake-r.now, func() { r.dispatch(i) })
			}
			return
		}
		r.waiting[i]--
		r.inFlight[i]++
		r.count.sent++
		q := &request{instance: i, statement: c.start(r.clock()), epoch: r.epoch}
		r.after(r.roundTrips[i]/2, func() { r.arrive(q) })
	}
}

func (r *replay) sendUnmanaged() { r.arrive(&request{instance: -1, epoch: r.epoch}) }

// arrive handles a statement at the member.
func (r *replay) arrive(q *request) {
	queue := memberQueue
	if r.queue != nil {
		queue = r.queue(r.now)
	}
	q.arrived = r.now
	switch {
	case r.isDown() || q.epoch != r.epoch:
		r.answer(q, pace.Lost)
	case r.failing != nil && r.failing(r.now):
		r.after(failureTime, func() { r.answer(q, pace.Failed) })
	case r.busy < memberSlots:
		r.execute(q)
	case len(r.queued) < queue:
		r.queued = append(r.queued, q)
	default:
		r.answer(q, pace.Rejected)
	}
}

func (r *replay) execute(q *request) {
	r.busy++
	r.count.waitTime += r.now - q.arrived
	r.count.executed++
	r.after(r.drawService(), func() {
		if q.epoch != r.epoch {
			return // the member was stopped meanwhile
		}
		r.busy--
		if len(r.queued) > 0 {
			next := r.queued[0]
			r.queued = r.queued[1:]
			r.execute(next)
		}
		r.answer(q, pace.Served)
	})
}

// drawService draws a service time with the stated mean.
func (r *replay) drawService() time.Duration {
	factor := math.Exp(serviceSigma*r.random.NormFloat64()-serviceSigma*serviceSigma/2) / (1 + outlierShare*(outlierFactor-1))
	if r.random.Float64() < outlierShare {
		factor *= outlierFactor
	}
	if r.slowdown != nil {
		factor *= r.slowdown(r.now)
	}
	return time.Duration(factor * float64(r.mean(r.now)))
}

func (r *replay) stopMember() {
	lost := r.queued
	r.epoch++
	r.busy, r.queued = 0, nil
	for _, q := range lost {
		r.answer(q, pace.Lost)
	}
	// The statements that ran at the member are lost too.
	for i := range r.controllers {
		for range r.inFlight[i] {
			r.after(time.Millisecond, func() {
				if r.inFlight[i] > 0 {
					r.inFlight[i]--
					r.waiting[i]++
					r.controllers[i].finish(r.clock(), pace.Statement{}, pace.Lost)
				}
			})
		}
	}
}

// answer sends the member's answer back to the caller.
func (r *replay) answer(q *request, outcome pace.Outcome) {
	if q.instance < 0 {
		r.after(time.Millisecond, r.sendUnmanaged)
		return
	}
	i := q.instance
	if q.epoch != r.epoch {
		return // finished by stopMember
	}
	r.after(r.roundTrips[i]/2, func() {
		if q.epoch != r.epoch {
			return
		}
		r.inFlight[i]--
		r.controllers[i].finish(r.clock(), q.statement, outcome)
		switch {
		case outcome == pace.Served:
			r.count.served++
		case outcome == pace.Rejected:
			r.count.rejected++
		default:
			r.count.failed++
		}
		switch {
		case outcome == pace.Served && r.rate != nil: // the caller is done
		case outcome == pace.Served:
			r.waiting[i]++
		default:
			r.after(refusedCallWait, func() { r.waiting[i]++; r.dispatch(i) })
		}
		r.dispatch(i)
	})
}

// summary sums up the samples of a part of a replay.
type summary struct {
	// capacity is the fraction of the slots' time that was used.
	capacity float64
	// rejected is the fraction of the sent statements that were rejected.
	rejected float64
	// queued is the mean number of statements in the member's queue.
	queued                 float64
	sent, served, stuck    int
	waited                 int
	minLimit, maxLimit     int
	meanLimit              float64
	minService, maxService time.Duration
	// wait is the mean time of a statement in the member's queue.
	wait time.Duration
}

func (r *replay) between(from, until time.Duration) summary {
	s := summary{minLimit: math.MaxInt, minService: math.MaxInt64}
	var busy, queued time.Duration
	var rejected, executed, n int
	for i := range r.samples {
		p := &r.samples[i]
		if p.at <= from || p.at > until {
			continue
		}
		n++
		busy, queued = busy+p.busyTime, queued+p.queuedTime
		rejected, executed, s.wait = rejected+p.rejected, executed+p.executed, s.wait+p.waitTime
		s.sent, s.served, s.stuck, s.waited = s.sent+p.sent, s.served+p.served, s.stuck+p.stuck, s.waited+p.waitedAtInstance
		for _, limit := range p.limits {
			s.minLimit, s.maxLimit = min(s.minLimit, limit), max(s.maxLimit, limit)
			s.meanLimit += float64(limit) / servingCount
		}
		s.minService, s.maxService = min(s.minService, p.service), max(s.maxService, p.service)
	}
	span := float64(n) * float64(sampleInterval)
	s.capacity, s.queued = float64(busy)/span/memberSlots, float64(queued)/span
	s.rejected = float64(rejected) / float64(max(s.sent, 1))
	s.meanLimit /= float64(n)
	s.wait /= time.Duration(max(executed, 1))
	return s
}
