package frontend

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// idleReadBytes is the read buffer that an idle session keeps. The budget
	// is 20 KB per idle client, with the goroutine's stack.
	idleReadBytes = 4 << 10
	// keepReadBytes is the largest read buffer that is kept between messages
	// while a server connection is attached.
	keepReadBytes = 1 << 20
	// flushBytes is the amount of pending output that is written at once.
	flushBytes = 16 << 10
	// keepBufferBytes is the largest output buffer that goes back to the pool.
	keepBufferBytes = 64 << 10
	headerBytes     = 5
	// stallBytes is the amount that a client must take within the stall time.
	stallBytes = 64 << 10
)

var errMessageLength = errors.New("message length out of bounds")

// frame is one message: the type byte, the length and the body. It is valid
// until the next read.
type frame []byte

func (f frame) kind() byte   { return f[0] }
func (f frame) body() []byte { return f[headerBytes:] }

// frameReader splits a client's byte stream into messages. A read that fails
// with a timeout loses nothing and may be repeated. Only the session's client
// goroutine uses it.
type frameReader struct {
	src io.Reader
	buf []byte
	// buf[r:w] is received and not consumed.
	r, w     int
	maxBytes int
}

func newFrameReader(src io.Reader, maxBytes int) frameReader {
	return frameReader{src: src, buf: make([]byte, idleReadBytes), maxBytes: maxBytes}
}

// buffered returns the number of received bytes that are not consumed.
func (f *frameReader) buffered() int { return f.w - f.r }

// complete reports whether next returns without a read.
func (f *frameReader) complete() bool {
	n := f.buffered()
	if n < headerBytes {
		return false
	}
	length := binary.BigEndian.Uint32(f.buf[f.r+1:])
	return uint64(n) >= 1+uint64(length)
}

// take consumes the next n bytes, reading as needed.
func (f *frameReader) take(n int) ([]byte, error) {
	if err := f.fill(n); err != nil {
		return nil, err
	}
	b := f.buf[f.r : f.r+n]
	f.r += n
	return b, nil
}

// next consumes one message.
func (f *frameReader) next() (frame, error) {
	if err := f.fill(headerBytes); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(f.buf[f.r+1:])
	if length < 4 || uint64(length) > uint64(f.maxBytes) {
		return nil, errMessageLength
	}
	b, err := f.take(1 + int(length))
	return frame(b), err
}

// fill reads until n bytes are buffered. The buffer grows with the bytes that
// arrive, so that a length alone reserves no memory.
func (f *frameReader) fill(n int) error {
	if f.r == f.w {
		f.r, f.w = 0, 0
		if len(f.buf) > keepReadBytes {
			f.buf = make([]byte, idleReadBytes)
		}
	}
	for f.buffered() < n {
		if f.w == len(f.buf) {
			f.makeRoom(n)
		}
		m, err := f.src.Read(f.buf[f.w:])
		f.w += m
		if err != nil && f.buffered() < n {
			return err
		}
	}
	return nil
}

func (f *frameReader) makeRoom(n int) {
	if f.r > 0 && (f.r >= len(f.buf)/2 || n <= len(f.buf)) {
		f.w = copy(f.buf, f.buf[f.r:f.w])
		f.r = 0
		if f.w < len(f.buf) {
			return
		}
	}
	grown := make([]byte, 2*len(f.buf))
	f.w = copy(grown, f.buf[f.r:f.w])
	f.r = 0
	f.buf = grown
}

// shrink gives back a grown buffer when nothing is buffered.
func (f *frameReader) shrink() {
	if f.r == f.w && len(f.buf) > idleReadBytes {
		f.buf = make([]byte, idleReadBytes)
		f.r, f.w = 0, 0
	}
}

var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, 0, flushBytes+4<<10)
	return &b
}}

// outBuffer collects output. It holds memory only between the first append and
// the flush.
type outBuffer struct{ b *[]byte }

func (o *outBuffer) len() int {
	if o.b == nil {
		return 0
	}
	return len(*o.b)
}

func (o *outBuffer) bytes() *[]byte {
	if o.b == nil {
		o.b = bufferPool.Get().(*[]byte)
	}
	return o.b
}

func (o *outBuffer) raw(p []byte) {
	b := o.bytes()
	*b = append(*b, p...)
}

func (o *outBuffer) message(m pgproto3.Message) error {
	b := o.bytes()
	grown, err := m.Encode(*b)
	if err == nil {
		*b = grown
	}
	return err
}

// release empties the buffer and gives its memory back.
func (o *outBuffer) release() {
	if o.b == nil {
		return
	}
	if cap(*o.b) <= keepBufferBytes {
		*o.b = (*o.b)[:0]
		bufferPool.Put(o.b)
	}
	o.b = nil
}

// clientWriter writes to the client. The relay of a server connection and the
// session's client goroutine share it.
type clientWriter struct {
	conn net.Conn
	// stall bounds the wait for the client to take stallBytes; 0 is no bound.
	stall time.Duration
	// last says that another deadline is set for the last message.
	last atomic.Bool
	// mu guards the fields below, and the order of messages to the client. It
	// is taken before session.mu when both are needed.
	mu  sync.Mutex
	out outBuffer
	// held is the last CommandComplete, which is passed on only with the
	// message after it: a position may still follow.
	held []byte
	err  error
}

// append adds a message after the held one. The caller holds mu.
func (w *clientWriter) append(m pgproto3.BackendMessage) {
	w.releaseHeld()
	w.appendBeforeHeld(m)
}

func (w *clientWriter) releaseHeld() {
	if len(w.held) > 0 {
		w.out.raw(w.held)
		w.held = w.held[:0]
	}
}

// appendBeforeHeld adds a message and keeps the held one back.
func (w *clientWriter) appendBeforeHeld(m pgproto3.BackendMessage) {
	if err := w.out.message(m); err != nil && w.err == nil {
		w.err = err
	}
}

// hold keeps a CommandComplete back and adds the one that was held before.
func (w *clientWriter) hold(m *pgproto3.CommandComplete) {
	w.releaseHeld()
	held, err := m.Encode(w.held)
	if err != nil && w.err == nil {
		w.err = err
	}
	w.held = held
}

// discardHeld drops a CommandComplete whose commit was not confirmed.
func (w *clientWriter) discardHeld() { w.held = w.held[:0] }

// flush writes all pending output and blocks while the client does not read.
func (w *clientWriter) flush() error {
	if w.err == nil && w.out.len() > 0 {
		w.err = w.write(*w.out.b)
	}
	w.out.release()
	return w.err
}

func (w *clientWriter) write(b []byte) error {
	for len(b) > 0 {
		chunk := b[:min(len(b), stallBytes)]
		if w.stall > 0 && !w.last.Load() {
			if err := w.conn.SetWriteDeadline(time.Now().Add(w.stall)); err != nil {
				return err
			}
		}
		n, err := w.conn.Write(chunk)
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// flushIf flushes when nothing more is to come at once or enough is pending.
func (w *clientWriter) flushIf(last bool) error {
	if last || w.out.len() >= flushBytes {
		return w.flush()
	}
	return w.err
}

// send writes messages at once.
func (w *clientWriter) send(messages ...pgproto3.BackendMessage) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range messages {
		w.append(m)
	}
	return w.flush()
}
