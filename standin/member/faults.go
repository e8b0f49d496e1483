package member

import (
	"bytes"
	"context"
	"maps"
	"net"
	"sync"
)

// faults holds the faults that tests inject and what the member records.
type faults struct {
	mu sync.Mutex
	// paused is closed when answers flow again; nil while they do.
	paused chan struct{}
	// lostAnswers counts the coming commits whose answer is to be lost.
	lostAnswers int
	cutOff      map[string]bool
	links       map[net.Conn]string
	received    [][]byte
	startups    []map[string]string
	// statements counts the data statements of ordinary connections.
	statements int
}

// PauseAnswers holds back every answer to clients and control connections.
// Statements still take effect and replication goes on.
func (m *Member) PauseAnswers() {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	if m.faults.paused == nil {
		m.faults.paused = make(chan struct{})
	}
}

// ResumeAnswers lets answers flow again.
func (m *Member) ResumeAnswers() {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	if m.faults.paused != nil {
		close(m.faults.paused)
		m.faults.paused = nil
	}
}

// awaitAnswers waits while answers are paused.
func (f *faults) awaitAnswers(ctx context.Context) error {
	for {
		f.mu.Lock()
		paused := f.paused
		f.mu.Unlock()
		if paused == nil {
			return nil
		}
		select {
		case <-paused:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// LoseAnswers drops the connection of each of the next n commits that change
// something, after the commit took effect and before its answer.
func (m *Member) LoseAnswers(n int) {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	m.faults.lostAnswers = n
}

func (f *faults) losesAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostAnswers == 0 {
		return false
	}
	f.lostAnswers--
	return true
}

// CutReplication drops the replication connections to and from the fellow and
// refuses new ones until RestoreReplication.
func (m *Member) CutReplication(fellow string) {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	if m.faults.cutOff == nil {
		m.faults.cutOff = map[string]bool{}
	}
	m.faults.cutOff[fellow] = true
	for conn, name := range m.faults.links {
		if name == fellow {
			_ = conn.Close()
		}
	}
}

// RestoreReplication ends CutReplication.
func (m *Member) RestoreReplication(fellow string) {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	delete(m.faults.cutOff, fellow)
}

func (f *faults) isCutOff(fellow string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutOff[fellow]
}

// track registers a replication connection until the returned function is
// called. It closes the connection if the fellow was cut off meanwhile.
func (f *faults) track(fellow string, conn net.Conn) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links == nil {
		f.links = map[net.Conn]string{}
	}
	f.links[conn] = fellow
	if f.cutOff[fellow] {
		_ = conn.Close()
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.links, conn)
	}
}

// Received returns the bytes that each client connection sent, in the order in
// which the connections were opened. It is empty without Options.Record.
func (m *Member) Received() [][]byte {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	list := make([][]byte, len(m.faults.received))
	for i, b := range m.faults.received {
		list[i] = bytes.Clone(b)
	}
	return list
}

// Startups returns the startup parameters of each connection. It is empty
// without Options.Record.
func (m *Member) Startups() []map[string]string {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	list := make([]map[string]string, len(m.faults.startups))
	for i, p := range m.faults.startups {
		list[i] = maps.Clone(p)
	}
	return list
}

// Statements returns the number of data statements that ordinary connections
// have started. Settings and transaction commands do not count, so a pool that
// keeps a connection ready leaves the number as it is.
func (m *Member) Statements() int {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	return m.faults.statements
}

func (f *faults) countStatement() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statements++
}

func (f *faults) recordStartup(parameters map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startups = append(f.startups, maps.Clone(parameters))
}

// recorder keeps what is read from a connection.
type recorder struct {
	net.Conn
	faults *faults
	index  int
}

func (f *faults) record(conn net.Conn) net.Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, nil)
	return &recorder{Conn: conn, faults: f, index: len(f.received) - 1}
}

// Read implements net.Conn.
func (r *recorder) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	r.faults.mu.Lock()
	defer r.faults.mu.Unlock()
	r.faults.received[r.index] = append(r.faults.received[r.index], b[:n]...)
	return n, err
}
