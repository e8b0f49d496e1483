package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

const (
	// maxStaleness is the age of data that the bounded-staleness route accepts, and
	// stalenessTolerance the platform's tolerance.
	maxStaleness, stalenessTolerance = 1500 * time.Millisecond, 200 * time.Millisecond
	// thinkTime is the pause between the operations of a worker.
	thinkTime = 20 * time.Millisecond
	// operationsPerSession limits the length of a session.
	operationsPerSession = 6
)

// write is what a client knows about a write that it has sent.
type write struct {
	outcome  outcome
	instance string
	// other is the second write of the same transaction, or nil.
	other *standin.Commit
}

// acknowledgedWrite is a value and the time of its acknowledgement.
type acknowledgedWrite struct {
	at    time.Time
	value int
}

// worker is a client that owns one item, whose value only grows. After a write in
// doubt, which may still take effect, it continues with a new item.
type worker struct {
	run     *run
	index   int
	rng     *rand.Rand
	id      idSource
	item    string
	value   int
	history []acknowledgedWrite
	// writes is read by other goroutines only after the worker has finished.
	writes         map[standin.Commit]write
	served, failed int
}

func newWorker(r *run, n int) *worker {
	w := &worker{
		run: r, index: n, rng: rand.New(rand.NewPCG(r.options.Seed, uint64(n))),
		id: idSource{prefix: fmt.Sprintf("w%d", n)}, writes: map[standin.Commit]write{},
	}
	w.nextItem()
	return w
}

func (w *worker) nextItem() {
	w.item, w.history = fmt.Sprintf("w%d-%d", w.index, w.value), nil
}

// runSessions runs sessions until the run stops.
func (w *worker) runSessions() {
	for !w.run.stopping() {
		in := w.run.cluster.instances[w.rng.IntN(len(w.run.cluster.instances))]
		database := []string{standin.StrictDatabase, standin.ReadYourWritesDatabase, standin.BoundedDatabase}[w.rng.IntN(3)]
		s, a := openSession(in, database, stableKey, &w.id)
		if s == nil {
			w.countResult(a)
			time.Sleep(thinkTime)
			continue
		}
		for range operationsPerSession {
			if !w.runOperation(s, database) || w.run.stopping() {
				break
			}
			time.Sleep(thinkTime)
		}
		s.close()
	}
}

// runOperation runs one operation and reports whether the session can continue.
func (w *worker) runOperation(s *session, database string) bool {
	var a response
	switch {
	case database == standin.BoundedDatabase:
		a = w.readBounded(s)
	case w.rng.IntN(3) == 0:
		a = w.transact(s)
	default:
		if a = w.writeItem(s); a.outcome == done {
			a = w.readOwn(s, database)
		}
	}
	w.countResult(a)
	return a.outcome == done
}

func (w *worker) countResult(a response) {
	if a.outcome == done {
		w.served++
	} else {
		w.failed++
	}
}

// query runs a statement and checks that its response arrives in time. A missing
// response is no violation if the instance was paused meanwhile.
func (w *worker) query(s *session, text string) response {
	started := time.Now()
	a := s.query(text)
	if a.timedOut && !w.run.wasPaused(s.instance.name, started) {
		w.run.reportViolation("%s: no response to %q within %s", s.instance.name, text, statementTimeout)
	}
	return a
}

func (w *worker) writeItem(s *session) response {
	w.value++
	c := standin.Commit{Item: w.item, Data: strconv.Itoa(w.value)}
	a := w.query(s, "WRITE "+c.Item+" "+c.Data)
	w.writes[c] = write{outcome: a.outcome, instance: s.instance.name}
	switch a.outcome {
	case done:
		w.history = append(w.history, acknowledgedWrite{time.Now(), w.value})
	case inDoubt:
		w.nextItem()
	}
	return a
}

// acknowledgedValue returns the highest value that was acknowledged before the given
// time.
func (w *worker) acknowledgedValue(by time.Time) int {
	value := 0
	for _, h := range w.history {
		if h.at.Before(by) {
			value = h.value
		}
	}
	return value
}

func (w *worker) readOwn(s *session, database string) response {
	return w.read(s, w.acknowledgedValue(time.Now()), "a session on "+database+" must read at least")
}

func (w *worker) readBounded(s *session) response {
	return w.read(s, w.acknowledgedValue(time.Now().Add(-maxStaleness-stalenessTolerance)), "the staleness limit requires at least")
}

// read reads the item and checks that its value is between atLeast and the last
// value written.
func (w *worker) read(s *session, atLeast int, why string) response {
	a := w.query(s, "READ "+w.item)
	if a.outcome != done {
		return a
	}
	got, err := strconv.Atoi(a.row)
	if a.row == "none" {
		got, err = 0, nil
	}
	if err != nil || got < atLeast || got > w.value {
		w.run.reportViolation("%s: read %q of %s, but %s %d (last write: %d)", s.instance.name, a.row, w.item, why, atLeast, w.value)
	}
	return a
}

// transact writes two items in one transaction.
func (w *worker) transact(s *session) response {
	w.value++
	data := strconv.Itoa(w.value)
	one, two := standin.Commit{Item: fmt.Sprintf("t%d-a", w.index), Data: data}, standin.Commit{Item: fmt.Sprintf("t%d-b", w.index), Data: data}
	record := func(o outcome) {
		w.writes[one], w.writes[two] = write{o, s.instance.name, &two}, write{o, s.instance.name, &one}
	}
	for _, text := range []string{"BEGIN", "WRITE " + one.Item + " " + data, "WRITE " + two.Item + " " + data} {
		if a := w.query(s, text); a.outcome != done {
			record(notApplied) // without a COMMIT nothing may be committed
			return a
		}
	}
	a := w.query(s, "COMMIT")
	record(a.outcome)
	return a
}
