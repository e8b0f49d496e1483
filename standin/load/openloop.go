package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrysill/mulberrysill/standin/stack"
)

// stream offers requests of one workspace to one route at a fixed rate, whether
// or not earlier ones were answered.
type stream struct {
	workspace, route string
	// account names the workspace in the samples; empty means workspace.
	account string
	sql     string
	// rate is in requests/s, clients the number of its connections.
	rate    float64
	clients int
	// target, if set, gives the instance for a request that is due at the time;
	// otherwise clients are spread over the instances.
	target func(due time.Time) int
	// retry repeats a request once that was refused as not run, and notes the
	// repetition in retried.
	retry bool
}

// openLoop is a running set of streams.
type openLoop struct {
	journal
	// repeated are the second attempts of streams with retry.
	repeated journal
	// dropped counts requests that were not sent because all clients of their
	// stream were busy, by account; they count as offered.
	dropped map[string]*atomic.Int64
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// startOpenLoop starts the streams; close ends them.
func startOpenLoop(ctx context.Context, s *stack.Stack, seed uint64, streams []stream) *openLoop {
	l := &openLoop{dropped: map[string]*atomic.Int64{}}
	ctx, l.stop = context.WithCancel(ctx)
	for _, st := range streams {
		if st.account == "" {
			st.account = st.workspace
		}
		if l.dropped[st.account] == nil {
			l.dropped[st.account] = &atomic.Int64{}
		}
	}
	for i, st := range streams {
		if st.account == "" {
			st.account = st.workspace
		}
		lanes := 1
		if st.target != nil {
			lanes = instances
		}
		queues := make([]chan time.Time, lanes)
		for lane := range queues {
			queues[lane] = make(chan time.Time)
			for j := range st.clients {
				first := (i + j) % instances
				if st.target != nil {
					first = lane
				}
				c := &client{stack: s, workspace: st.workspace, route: st.route, instance: first}
				l.done.Go(func() { l.serve(ctx, c, st, queues[lane]) })
			}
		}
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		l.done.Go(func() { l.offer(ctx, st, random, queues) })
	}
	return l
}

// offer issues one request at a random time in each interval of the rate, so that
// the number of requests in a window does not depend on chance.
func (l *openLoop) offer(ctx context.Context, st stream, random *rand.Rand, queues []chan time.Time) {
	// The clients connect before the first request.
	begin := time.Now().Add(time.Second)
	for n := 0; ctx.Err() == nil; n++ {
		due := begin.Add(time.Duration((float64(n) + random.Float64()) / st.rate * float64(time.Second)))
		sleep(ctx, time.Until(due))
		queue := queues[0]
		if st.target != nil {
			queue = queues[st.target(due)]
		}
		select {
		case queue <- due:
		case <-ctx.Done():
		default:
			l.dropped[st.account].Add(1)
		}
	}
}

func (l *openLoop) serve(ctx context.Context, c *client, st stream, queue <-chan time.Time) {
	defer c.close()
	_ = c.connect(ctx) // a failure shows at the first request
	for {
		select {
		case <-ctx.Done():
			return
		case due := <-queue:
			s := c.request(ctx, due, st.sql)
			s.workspace = st.account
			l.add(s)
			if st.retry && s.outcome == notRun {
				s = c.request(ctx, due, st.sql)
				s.workspace = st.account
				l.repeated.add(s)
			}
		}
	}
}

// close ends the streams and waits for requests that run.
func (l *openLoop) close() {
	l.stop()
	l.done.Wait()
}

// droppedTotal returns the requests that were not sent.
func (l *openLoop) droppedTotal() int {
	n := 0
	for _, d := range l.dropped {
		n += int(d.Load())
	}
	return n
}

// between returns the samples that were due in the window.
func between(samples []sample, from, to time.Time) []sample {
	var list []sample
	for _, s := range samples {
		if !s.due.Before(from) && s.due.Before(to) {
			list = append(list, s)
		}
	}
	return list
}

// countServed returns the number of served samples.
func countServed(samples []sample) int {
	n := 0
	for _, s := range samples {
		if s.outcome == served {
			n++
		}
	}
	return n
}

// latencies returns the times from when requests were due to their answers.
func latencies(samples []sample) []time.Duration {
	var list []time.Duration
	for _, s := range samples {
		if s.outcome == served {
			list = append(list, s.end.Sub(s.due))
		}
	}
	return list
}
