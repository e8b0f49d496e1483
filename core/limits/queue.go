package limits

import "time"

type waiter struct {
	ticket uint64
	until  time.Time
}

// queue holds the waiting requests in order of arrival, which is also the order
// in which their waits end.
type queue struct {
	items []waiter
	head  int
	last  uint64
}

func (q *queue) len() int      { return len(q.items) - q.head }
func (q *queue) first() waiter { return q.items[q.head] }

func (q *queue) push(until time.Time) uint64 {
	q.last++
	q.items = append(q.items, waiter{ticket: q.last, until: until})
	return q.last
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
