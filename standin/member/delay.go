package member

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// delayQueueChunks is the maximum number of chunks in flight per direction of a
// delayed connection.
const delayQueueChunks = 1024

// lingerTimeout is the maximum time for sending the remaining data when a connection
// is closed.
const lingerTimeout = time.Second

// chunk is a piece of data and the time at which the receiver may get it.
type chunk struct {
	data      []byte
	visibleAt time.Time
}

// delayConn delays both directions of a connection without limiting its throughput.
// The read deadline applies to the wait of Read for data.
type delayConn struct {
	net.Conn
	delay     time.Duration
	incoming  chan chunk
	outgoing  chan chunk
	closing   chan struct{}
	closeOnce sync.Once
	// unreadData is data that was received but did not fit into the buffer of Read.
	unreadData []byte
	readErr    error

	mu           sync.Mutex
	readDeadline time.Time
	writeErr     error
}

// newDelayedConn wraps a connection so that data in both directions arrives later by
// the delay.
func newDelayedConn(conn net.Conn, delay time.Duration) net.Conn {
	if delay <= 0 {
		return conn
	}
	d := &delayConn{
		Conn: conn, delay: delay, closing: make(chan struct{}),
		incoming: make(chan chunk, delayQueueChunks), outgoing: make(chan chunk, delayQueueChunks),
	}
	go d.readLoop()
	go d.writeLoop()
	return d
}

func (d *delayConn) readLoop() {
	defer close(d.incoming)
	for {
		buffer := make([]byte, 16<<10)
		n, err := d.Conn.Read(buffer)
		if n > 0 {
			select {
			case d.incoming <- chunk{buffer[:n], time.Now().Add(d.delay)}:
			case <-d.closing:
				return
			}
		}
		if err != nil {
			d.mu.Lock()
			d.readErr = err
			d.mu.Unlock()
			return
		}
	}
}

// writeLoop writes outgoing chunks after their delay. After Close it writes those that
// remain, so that the last message of a session is not lost.
func (d *delayConn) writeLoop() {
	defer func() { _ = d.Conn.Close() }()
	for {
		select {
		case c := <-d.outgoing:
			if !d.writeChunk(c) {
				return
			}
		case <-d.closing:
			for {
				select {
				case c := <-d.outgoing:
					if !d.writeChunk(c) {
						return
					}
				default:
					return
				}
			}
		}
	}
}

func (d *delayConn) writeChunk(c chunk) bool {
	time.Sleep(time.Until(c.visibleAt))
	if _, err := d.Conn.Write(c.data); err != nil {
		d.mu.Lock()
		d.writeErr = err
		d.mu.Unlock()
		return false
	}
	return true
}

// Read implements net.Conn.
func (d *delayConn) Read(b []byte) (int, error) {
	if len(d.unreadData) == 0 {
		c, err := d.nextChunk()
		if err != nil {
			return 0, err
		}
		time.Sleep(time.Until(c.visibleAt))
		d.unreadData = c.data
	}
	n := copy(b, d.unreadData)
	d.unreadData = d.unreadData[n:]
	return n, nil
}

func (d *delayConn) nextChunk() (chunk, error) {
	d.mu.Lock()
	deadline := d.readDeadline
	d.mu.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case c, ok := <-d.incoming:
		if ok {
			return c, nil
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.readErr == nil {
			return chunk{}, io.EOF
		}
		return chunk{}, d.readErr
	case <-expired:
		return chunk{}, os.ErrDeadlineExceeded
	case <-d.closing:
		return chunk{}, net.ErrClosed
	}
}

// Write implements net.Conn.
func (d *delayConn) Write(b []byte) (int, error) {
	d.mu.Lock()
	err := d.writeErr
	d.mu.Unlock()
	if err != nil {
		return 0, err
	}
	c := chunk{append([]byte(nil), b...), time.Now().Add(d.delay)}
	select {
	case d.outgoing <- c:
		return len(b), nil
	case <-d.closing:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn.
func (d *delayConn) Close() error {
	d.closeOnce.Do(func() {
		_ = d.Conn.SetWriteDeadline(time.Now().Add(lingerTimeout))
		close(d.closing)
	})
	return nil
}

// SetReadDeadline implements net.Conn.
func (d *delayConn) SetReadDeadline(t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readDeadline = t
	return nil
}

// SetWriteDeadline implements net.Conn. The deadline applies to the underlying
// connection only: Write does not wait for it.
func (d *delayConn) SetWriteDeadline(t time.Time) error { return d.Conn.SetWriteDeadline(t) }
