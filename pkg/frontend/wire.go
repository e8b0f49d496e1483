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
	// idleReadBytes is the size of the read buffer that an idle session keeps. An
	// idle client may use 20 KB, including the goroutine's stack.
	idleReadBytes = 4 << 10
	// maxKeptReadBytes is the size of the largest read buffer that is kept between
	// messages while a server connection is attached.
	maxKeptReadBytes = 1 << 20
	// flushBytes is the amount of buffered output from which it is written without
	// waiting for more.
	flushBytes = 16 << 10
	// maxPooledBufferBytes is the capacity of the largest output buffer that is
	// returned to the pool.
	maxPooledBufferBytes = 64 << 10
	headerBytes          = 5
	// stallChunkBytes is the amount that a client must read within the stall timeout.
	stallChunkBytes = 64 << 10
)

var errMessageLength = errors.New("message length out of bounds")

// frame is one encoded message: the type byte, the length and the body. It is valid
// until the next read.
type frame []byte

func (f frame) kind() byte   { return f[0] }
func (f frame) body() []byte { return f[headerBytes:] }

// frameReader splits a client's byte stream into messages. After a timeout, a read
// can be repeated without loss of data. It is not safe for concurrent use.
type frameReader struct {
	src io.Reader
	buf []byte
	// buf[r:w] holds the bytes that were received but not consumed.
	r, w     int
	maxBytes int
}

func newFrameReader(src io.Reader, maxBytes int) frameReader {
	return frameReader{src: src, buf: make([]byte, idleReadBytes), maxBytes: maxBytes}
}

// buffered returns the number of bytes that were received but not consumed.
func (f *frameReader) buffered() int { return f.w - f.r }

// hasMessage reports whether a complete message is buffered.
func (f *frameReader) hasMessage() bool {
	n := f.buffered()
	if n < headerBytes {
		return false
	}
	length := binary.BigEndian.Uint32(f.buf[f.r+1:])
	return uint64(n) >= 1+uint64(length)
}

// take consumes and returns the next n bytes, reading as needed.
func (f *frameReader) take(n int) ([]byte, error) {
	if err := f.fill(n); err != nil {
		return nil, err
	}
	b := f.buf[f.r : f.r+n]
	f.r += n
	return b, nil
}

// next consumes and returns one message.
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

// fill reads until n bytes are buffered. The buffer grows only as bytes arrive, so
// that a large length in a message header allocates no memory by itself.
func (f *frameReader) fill(n int) error {
	if f.r == f.w {
		f.r, f.w = 0, 0
		if len(f.buf) > maxKeptReadBytes {
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

// makeRoom moves the buffered bytes to the front of the buffer, or to a larger one.
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

// shrink replaces a grown buffer by a small one if nothing is buffered.
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

// outBuffer buffers output. It holds memory from the pool only between the first
// append and release.
type outBuffer struct{ b *[]byte }

func (o *outBuffer) len() int {
	if o.b == nil {
		return 0
	}
	return len(*o.b)
}

func (o *outBuffer) buffer() *[]byte {
	if o.b == nil {
		o.b = bufferPool.Get().(*[]byte)
	}
	return o.b
}

func (o *outBuffer) appendRaw(p []byte) {
	b := o.buffer()
	*b = append(*b, p...)
}

func (o *outBuffer) appendMessage(m pgproto3.Message) error {
	b := o.buffer()
	grown, err := m.Encode(*b)
	if err == nil {
		*b = grown
	}
	return err
}

// release empties the buffer and returns its memory to the pool.
func (o *outBuffer) release() {
	if o.b == nil {
		return
	}
	if cap(*o.b) <= maxPooledBufferBytes {
		*o.b = (*o.b)[:0]
		bufferPool.Put(o.b)
	}
	o.b = nil
}

// clientWriter writes to the client. It is shared by the relay and the client
// goroutine.
type clientWriter struct {
	conn net.Conn
	// stallTimeout bounds the wait for the client to read stallChunkBytes; 0 means
	// no bound.
	stallTimeout time.Duration
	// lastDeadlineSet is set if the write deadline for the session's last message is
	// in effect, which write must not extend.
	lastDeadlineSet atomic.Bool
	// mu guards the fields below and the order of messages to the client. If both
	// locks are needed, it is locked before session.mu.
	mu  sync.Mutex
	out outBuffer
	// held is an encoded CommandComplete that is held back until the next message,
	// because the position of its commit may still follow.
	held []byte
	// err is the first error; after it nothing is written.
	err error
}

// append buffers the held message, if any, and then m. The caller holds mu.
func (w *clientWriter) append(m pgproto3.BackendMessage) {
	w.releaseHeld()
	w.appendBeforeHeld(m)
}

// releaseHeld buffers the held message, if any.
func (w *clientWriter) releaseHeld() {
	if len(w.held) > 0 {
		w.out.appendRaw(w.held)
		w.held = w.held[:0]
	}
}

// appendBeforeHeld buffers a message and keeps holding the held one.
func (w *clientWriter) appendBeforeHeld(m pgproto3.BackendMessage) {
	if err := w.out.appendMessage(m); err != nil && w.err == nil {
		w.err = err
	}
}

// hold holds a CommandComplete back, after buffering the previous one.
func (w *clientWriter) hold(m *pgproto3.CommandComplete) {
	w.releaseHeld()
	held, err := m.Encode(w.held)
	if err != nil && w.err == nil {
		w.err = err
	}
	w.held = held
}

// discardHeld drops the held message, whose commit was not confirmed.
func (w *clientWriter) discardHeld() { w.held = w.held[:0] }

// flush writes the buffered output. It blocks while the client does not read.
func (w *clientWriter) flush() error {
	if w.err == nil && w.out.len() > 0 {
		w.err = w.write(*w.out.b)
	}
	w.out.release()
	return w.err
}

// write writes in chunks, each of which the client must read within the stall
// timeout.
func (w *clientWriter) write(b []byte) error {
	for len(b) > 0 {
		chunk := b[:min(len(b), stallChunkBytes)]
		if w.stallTimeout > 0 && !w.lastDeadlineSet.Load() {
			if err := w.conn.SetWriteDeadline(time.Now().Add(w.stallTimeout)); err != nil {
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

// flushIf flushes if no further message is available now (last) or if enough output
// is buffered.
func (w *clientWriter) flushIf(last bool) error {
	if last || w.out.len() >= flushBytes {
		return w.flush()
	}
	return w.err
}

// send writes messages immediately.
func (w *clientWriter) send(messages ...pgproto3.BackendMessage) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range messages {
		w.append(m)
	}
	return w.flush()
}
