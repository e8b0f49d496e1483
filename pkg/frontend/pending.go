package frontend

import "sync"

// answerKind is the kind of message that an outstanding answer belongs to.
type answerKind uint8

const (
	expectQuery answerKind = iota
	expectCall
	expectSync
	expectParse
	expectBind
	expectDescribe
	expectExecute
	expectClose
)

// endsRequest reports whether the answer ends with ReadyForQuery.
func (e answerKind) endsRequest() bool { return e <= expectSync }

// pendingAnswer is one outstanding answer of the server.
type pendingAnswer struct {
	kind answerKind
	// injected is set for messages that the proxy inserted; their answers are not
	// forwarded.
	injected bool
	// replacesParse is set for a Close that replaces the Parse of a statement that
	// is already prepared on the connection. Its CloseComplete is forwarded as
	// ParseComplete.
	replacesParse bool
	// mayCommit is set if the message may make a change permanent.
	mayCommit bool
	// singleStatement is set if the message contains at most one statement.
	singleStatement bool
	// statement is the statement of a Parse, and name its name in the session.
	statement *statement
	name      string
	// setting is the change to record once the statement has succeeded.
	setting *settingChange
}

const (
	// maxPendingAnswers bounds a client's pipeline. An entry takes 48 bytes.
	maxPendingAnswers = 1 << 18
	// maxPooledQueueCap is the largest capacity of a queue that is returned to the
	// pool, and newPooledQueueCap the capacity of a new queue in the pool.
	maxPooledQueueCap = 1 << 12
	newPooledQueueCap = 256
	// idleQueueCap is the capacity of the queue that an idle session keeps.
	idleQueueCap = 32
)

var pendingPool = sync.Pool{New: func() any {
	items := make([]pendingAnswer, 0, newPooledQueueCap)
	return &items
}}

// pendingQueue holds outstanding answers in the order in which the server sends
// them.
type pendingQueue struct {
	items []pendingAnswer
	head  int
	// requests is the number of outstanding ReadyForQuery messages.
	requests int
	// pooled is the pool's entry for items, or nil if items is not from the pool.
	pooled *[]pendingAnswer
}

func (q *pendingQueue) len() int { return len(q.items) - q.head }

func (q *pendingQueue) push(p pendingAnswer) {
	if q.head > 0 && len(q.items) == cap(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	if len(q.items) == idleQueueCap && cap(q.items) == idleQueueCap {
		q.switchToPooled()
	}
	q.items = append(q.items, p)
	if p.kind.endsRequest() {
		q.requests++
	}
}

// switchToPooled moves the queue to a slice from the pool, so that pipelines do not
// allocate.
func (q *pendingQueue) switchToPooled() {
	q.pooled = pendingPool.Get().(*[]pendingAnswer)
	q.items = append((*q.pooled)[:0], q.items...)
}

// lastEndsRequest reports whether the last message sent ends a request.
func (q *pendingQueue) lastEndsRequest() bool {
	return q.len() > 0 && q.items[len(q.items)-1].kind.endsRequest()
}

// peek returns the next answer, or nil if none is outstanding.
func (q *pendingQueue) peek() *pendingAnswer {
	if q.len() == 0 {
		return nil
	}
	return &q.items[q.head]
}

func (q *pendingQueue) pop() pendingAnswer {
	p := q.items[q.head]
	q.items[q.head] = pendingAnswer{}
	q.head++
	if p.kind.endsRequest() {
		q.requests--
	}
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
	}
	return p
}

// reset empties the queue and returns pooled memory.
func (q *pendingQueue) reset() {
	clear(q.items)
	q.items, q.head, q.requests = q.items[:0], 0, 0
	if cap(q.items) <= idleQueueCap {
		return
	}
	if q.pooled != nil && cap(q.items) <= maxPooledQueueCap {
		*q.pooled = q.items
		pendingPool.Put(q.pooled)
	}
	q.items, q.pooled = make([]pendingAnswer, 0, idleQueueCap), nil
}

// dropUntilSync removes the messages that the server ignores after an error in the
// extended protocol, and reports whether the Sync that ends this was already sent.
func (q *pendingQueue) dropUntilSync(removed func(pendingAnswer)) bool {
	for q.len() > 0 {
		if q.peek().kind == expectSync {
			return true
		}
		removed(q.pop())
	}
	return false
}

// dropSyncsAfterHead removes the Syncs after the first message, which the server
// ignores because it reads them in copy mode.
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

// mayCommit reports whether an outstanding message may have made a change
// permanent.
func (q *pendingQueue) mayCommit() bool { return anyMayCommit(q.items[q.head:]) }

// laterMayCommit is like mayCommit for the requests after the first one.
func (q *pendingQueue) laterMayCommit() bool {
	for i := q.head; i < len(q.items); i++ {
		if q.items[i].kind.endsRequest() {
			return anyMayCommit(q.items[i+1:])
		}
	}
	return false
}

func anyMayCommit(items []pendingAnswer) bool {
	for i := range items {
		if items[i].mayCommit {
			return true
		}
	}
	return false
}
