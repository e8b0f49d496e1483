package member

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// delayQueue bounds the chunks in flight per direction of a delayed connection.
const delayQueue = 1024

// lingerTimeout bounds the sending of what is left when a connection is closed.
const lingerTimeout = time.Second

// chunk is a piece of data and the time from which it may be seen.
type chunk struct {
	data []byte
	due  time.Time
}

// delayConn delays both directions of a connection without limiting its rate.
// Deadlines apply to the wait in the calling goroutine.
type delayConn struct {
	net.Conn
	delay    time.Duration
	incoming chan chunk
	outgoing chan chunk
	closing  chan struct{}
	once     sync.Once
	// rest is what the last Read left over.
	rest    []byte
	readErr error

	mu           sync.Mutex
	readDeadline time.Time
	writeErr     error
}

// delayed returns a connection whose data arrives later by the one-way delay.
func delayed(conn net.Conn, delay time.Duration) net.Conn {
	if delay <= 0 {
		return conn
	}
	d := &delayConn{
		Conn: conn, delay: delay, closing: make(chan struct{}),
		incoming: make(chan chunk, delayQueue), outgoing: make(chan chunk, delayQueue),
	}
	go d.pumpIn()
	go d.pumpOut()
	return d
}

func (d *delayConn) pumpIn() {
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

// pumpOut writes what is due. After Close it writes the rest, so that the last
// message of a session is not lost.
func (d *delayConn) pumpOut() {
	defer func() { _ = d.Conn.Close() }()
	for {
		select {
		case c := <-d.outgoing:
			if !d.writeDue(c) {
				return
			}
		case <-d.closing:
			for {
				select {
				case c := <-d.outgoing:
					if !d.writeDue(c) {
						return
					}
				default:
					return
				}
			}
		}
	}
}

func (d *delayConn) writeDue(c chunk) bool {
	time.Sleep(time.Until(c.due))
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
	if len(d.rest) == 0 {
		c, err := d.nextChunk()
		if err != nil {
			return 0, err
		}
		time.Sleep(time.Until(c.due))
		d.rest = c.data
	}
	n := copy(b, d.rest)
	d.rest = d.rest[n:]
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
	d.once.Do(func() {
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

// SetWriteDeadline implements net.Conn; writes never wait longer than Close.
func (d *delayConn) SetWriteDeadline(t time.Time) error { return d.Conn.SetWriteDeadline(t) }
