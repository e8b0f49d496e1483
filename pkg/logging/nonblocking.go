package logging

import (
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines is the capacity of the queue of lines that are not yet written.
const maxQueuedLines = 1024

// nonBlockingWriter queues lines for a goroutine that writes them, and drops lines while
// the queue is full.
type nonBlockingWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NonBlocking returns a writer that never blocks. A goroutine writes the lines to w.
// Lines that arrive while the queue is full are dropped and counted; the count is
// written as a log line.
func NonBlocking(w io.Writer) io.Writer {
	n := &nonBlockingWriter{lines: make(chan []byte, maxQueuedLines)}
	go n.run(w)
	return n
}

// Write queues one line or drops it. It never fails.
func (n *nonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case n.lines <- append([]byte(nil), line...):
	default:
		n.dropped.Add(1)
	}
	return len(line), nil
}

func (n *nonBlockingWriter) run(w io.Writer) {
	for line := range n.lines {
		if dropped := n.dropped.Swap(0); dropped > 0 {
			line = append(line, fmt.Sprintf("{\"event\":\"log-lines-dropped\",\"count\":%d}\n", dropped)...)
		}
		if _, err := w.Write(line); err != nil {
			return // the reader has closed the log
		}
	}
}
