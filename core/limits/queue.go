package limits

import "time"

// queuedRequest is a request that waits for a token until its deadline.
type queuedRequest struct {
	// ticket identifies the request within its queue, for remove.
	ticket   uint64
	deadline time.Time
}

// queue is a FIFO queue of waiting requests. All have the same timeout, MaxWait, so
// the queue is also ordered by deadline.
type queue struct {
	// items[head:] are the queued requests; items[:head] have been removed.
	items      []queuedRequest
	head       int
	lastTicket uint64
}

func (q *queue) len() int             { return len(q.items) - q.head }
func (q *queue) first() queuedRequest { return q.items[q.head] }

// push appends a request and returns its ticket.
func (q *queue) push(deadline time.Time) uint64 {
	q.lastTicket++
	q.items = append(q.items, queuedRequest{ticket: q.lastTicket, deadline: deadline})
	return q.lastTicket
}

func (q *queue) pop() {
	q.head++
	switch {
	case q.head == len(q.items):
		q.items, q.head = q.items[:0], 0
	// Requiring that at least half of the items have been removed keeps the cost of
	// copying in proportion to the number of pops; 64 spares small queues the copy.
	case q.head >= 64 && q.head*2 >= len(q.items):
		q.items = q.items[:copy(q.items, q.items[q.head:])]
		q.head = 0
	}
}

func (q *queue) remove(ticket uint64) {
	for i := q.head; i < len(q.items); i++ {
		if q.items[i].ticket == ticket {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return
		}
	}
}
