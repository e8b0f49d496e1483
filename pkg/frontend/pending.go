package frontend

import "sync"

// expectation is a message sent to the server whose answer is outstanding.
type expectation uint8

const (
	expectQuery expectation = iota
	expectCall
	expectSync
	expectParse
	expectBind
	expectDescribe
	expectExecute
	expectClose
)

// endsRequest reports whether the answer ends with ReadyForQuery.
func (e expectation) endsRequest() bool { return e <= expectSync }

// pending is one outstanding answer.
type pending struct {
	kind expectation
	// injected answers belong to the proxy's own messages and are swallowed.
	injected bool
	// asParse marks a Close that stands in for a Parse of a statement that the
	// connection has already; its CloseComplete is passed on as ParseComplete.
	asParse bool
	// mayCommit says that the message can have made a change permanent.
	mayCommit bool
	// single says that the message holds at most one statement.
	single bool
	// statement is the subject of a Parse, name its name in the session.
	statement *statement
	name      string
	// setting is recorded when the statement succeeds.
	setting *settingChange
}

const (
	// maxPending bounds a client's pipeline. An entry takes 48 bytes.
	maxPending = 1 << 18
	// pooledPending is the largest capacity that goes back to the pool, and
	// pipelinePending that of a new queue for a pipeline.
	pooledPending   = 1 << 12
	pipelinePending = 256
	// keepPending is the queue capacity that an idle session keeps.
	keepPending = 32
)

var pendingPool = sync.Pool{New: func() any {
	items := make([]pending, 0, pipelinePending)
	return &items
}}

// pendingQueue holds outstanding answers in the order in which they will come.
type pendingQueue struct {
	items []pending
	head  int
	// requests is the number of outstanding ReadyForQuery messages.
	requests int
	// pooled is set while items is from the pool.
	pooled *[]pending
}

func (q *pendingQueue) len() int { return len(q.items) - q.head }

func (q *pendingQueue) push(p pending) {
	if q.head > 0 && len(q.items) == cap(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	if len(q.items) == keepPending && cap(q.items) == keepPending {
		q.spill()
	}
	q.items = append(q.items, p)
	if p.kind.endsRequest() {
		q.requests++
	}
}

// spill moves the queue to pooled memory, so that pipelines do not allocate.
func (q *pendingQueue) spill() {
	q.pooled = pendingPool.Get().(*[]pending)
	q.items = append((*q.pooled)[:0], q.items...)
}

// endsWithRequest reports whether nothing was sent after the last request.
func (q *pendingQueue) endsWithRequest() bool {
	return q.len() > 0 && q.items[len(q.items)-1].kind.endsRequest()
}

// peek returns the answer that comes next, or nil.
func (q *pendingQueue) peek() *pending {
	if q.len() == 0 {
		return nil
	}
	return &q.items[q.head]
}

func (q *pendingQueue) pop() pending {
	p := q.items[q.head]
	q.items[q.head] = pending{}
	q.head++
	if p.kind.endsRequest() {
		q.requests--
	}
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
	}
	return p
}

func (q *pendingQueue) reset() {
	clear(q.items)
	q.items, q.head, q.requests = q.items[:0], 0, 0
	if cap(q.items) <= keepPending {
		return
	}
	if q.pooled != nil && cap(q.items) <= pooledPending {
		*q.pooled = q.items
		pendingPool.Put(q.pooled)
	}
	q.items, q.pooled = make([]pending, 0, keepPending), nil
}

// skipToSync removes what the server ignores after an error in the extended
// protocol, and reports whether a Sync is already outstanding.
func (q *pendingQueue) skipToSync(removed func(pending)) bool {
	for q.len() > 0 {
		if q.peek().kind == expectSync {
			return true
		}
		removed(q.pop())
	}
	return false
}

// dropSyncsAfterHead removes the Syncs that the server ignores because it reads
// them in copy mode.
func (q *pendingQueue) dropSyncsAfterHead() {
	kept := q.items[:q.head+1]
	for _, p := range q.items[q.head+1:] {
		if p.kind == expectSync {
			q.requests--
			continue
		}
		kept = append(kept, p)
	}
	clear(q.items[len(kept):])
	q.items = kept
}

// mayCommit reports whether an outstanding message can have made a change
// permanent.
func (q *pendingQueue) mayCommit() bool { return anyMayCommit(q.items[q.head:]) }

// laterMayCommit is mayCommit of the requests after the first.
func (q *pendingQueue) laterMayCommit() bool {
	for i := q.head; i < len(q.items); i++ {
		if q.items[i].kind.endsRequest() {
			return anyMayCommit(q.items[i+1:])
		}
	}
	return false
}

func anyMayCommit(items []pending) bool {
	for i := range items {
		if items[i].mayCommit {
			return true
		}
	}
	return false
}
