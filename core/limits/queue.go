package limits

import "time"

// queuedRequest is a request that waits for a token until its deadline.
type queuedRequest struct {
	ticket   uint64
	deadline time.Time
}

// queue is a FIFO queue of waiting requests. All wait equally long, so it is also
// ordered by deadline. items[head:] are the queued ones.
type queue struct {
	items      []queuedRequest
	head       int
	lastTicket uint64
}

func (q *queue) len() int             { return len(q.items) - q.head }
func (q *queue) first() queuedRequest { return q.items[q.head] }

func (q *queue) push(until time.Time) uint64 {
	q.lastTicket++
	q.items = append(q.items, queuedRequest{ticket: q.lastTicket, deadline: until})
	return q.lastTicket
}

func (q *queue) pop() {
	q.head++
	switch {
	case q.head == len(q.items):
		q.items, q.head = q.items[:0], 0
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
