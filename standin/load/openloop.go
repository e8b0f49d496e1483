package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrysill/mulberrysill/standin/stack"
)

// stream offers requests of one workspace to one route at a fixed rate, whether or
// not earlier requests have completed.
type stream struct {
	workspace, route string
	// reportedWorkspace is the workspace recorded in the samples; empty means
	// workspace.
	reportedWorkspace string
	sql               string
	// rate is in requests/s; clients is the number of connections, for each instance
	// if instanceAt is set.
	rate    float64
	clients int
	// instanceAt, if set, returns the instance for a request due at the given time.
	// Without it the clients are spread over the instances and any free client takes
	// the request.
	instanceAt func(due time.Time) int
	// retry repeats a request once if it was not run; the second attempt is recorded
	// in openLoop.retries.
	retry bool
}

// openLoop is a running set of streams.
type openLoop struct {
	sampleLog
	// retries holds the second attempts of streams with retry.
	retries sampleLog
	// dropped counts, by reported workspace, the requests that were not sent because
	// all clients of their stream were busy; they count as offered.
	dropped map[string]*atomic.Int64
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// startOpenLoop starts the streams; close stops them.
func startOpenLoop(ctx context.Context, s *stack.Stack, seed uint64, streams []stream) *openLoop {
	l := &openLoop{dropped: map[string]*atomic.Int64{}}
	ctx, l.stop = context.WithCancel(ctx)
	for _, st := range streams {
		if st.reportedWorkspace == "" {
			st.reportedWorkspace = st.workspace
		}
		if l.dropped[st.reportedWorkspace] == nil {
			l.dropped[st.reportedWorkspace] = &atomic.Int64{}
		}
	}
	for i, st := range streams {
		if st.reportedWorkspace == "" {
			st.reportedWorkspace = st.workspace
		}
		queueCount := 1
		if st.instanceAt != nil {
			queueCount = instanceCount
		}
		queues := make([]chan time.Time, queueCount)
		for lane := range queues {
			queues[lane] = make(chan time.Time)
			for j := range st.clients {
				first := (i + j) % instanceCount
				if st.instanceAt != nil {
					first = lane
				}
				c := &client{stack: s, workspace: st.workspace, route: st.route, instance: first}
				l.done.Go(func() { l.sendRequests(ctx, c, st, queues[lane]) })
			}
		}
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		l.done.Go(func() { l.generateRequests(ctx, st, random, queues) })
	}
	return l
}

// generateRequests issues one request at a random time in each interval of length
// 1/rate, so that the number of requests in a window is nearly constant.
func (l *openLoop) generateRequests(ctx context.Context, st stream, random *rand.Rand, queues []chan time.Time) {
	// Leaves the clients time to connect before the first request.
	begin := time.Now().Add(time.Second)
	for n := 0; ctx.Err() == nil; n++ {
		due := begin.Add(time.Duration((float64(n) + random.Float64()) / st.rate * float64(time.Second)))
		sleep(ctx, time.Until(due))
		queue := queues[0]
		if st.instanceAt != nil {
			queue = queues[st.instanceAt(due)]
		}
		select {
		case queue <- due:
		case <-ctx.Done():
		default:
			l.dropped[st.reportedWorkspace].Add(1)
		}
	}
}

// sendRequests sends the queued requests over one client.
func (l *openLoop) sendRequests(ctx context.Context, c *client, st stream, queue <-chan time.Time) {
	defer c.close()
	_ = c.connect(ctx) // the first request connects again if this failed
	for {
		select {
		case <-ctx.Done():
			return
		case due := <-queue:
			s := c.request(ctx, due, st.sql)
			s.workspace = st.reportedWorkspace
			l.add(s)
			if st.retry && s.outcome == notRun {
				s = c.request(ctx, due, st.sql)
				s.workspace = st.reportedWorkspace
				l.retries.add(s)
			}
		}
	}
}

// close stops the streams and waits for requests in flight.
func (l *openLoop) close() {
	l.stop()
	l.done.Wait()
}

// droppedTotal returns the number of requests of all workspaces that were not sent.
func (l *openLoop) droppedTotal() int {
	n := 0
	for _, d := range l.dropped {
		n += int(d.Load())
	}
	return n
}

// dueBetween returns the samples due in the window, from inclusive, to exclusive.
func dueBetween(samples []sample, from, to time.Time) []sample {
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

// latencies returns the times between the due time and the response of the served
// requests; they include the time spent waiting for a free client.
func latencies(samples []sample) []time.Duration {
	var list []time.Duration
	for _, s := range samples {
		if s.outcome == served {
			list = append(list, s.end.Sub(s.due))
		}
	}
	return list
}
