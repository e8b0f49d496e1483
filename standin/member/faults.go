package member

import (
	"bytes"
	"context"
	"maps"
	"net"
	"sync"
)

// faults holds the faults that tests inject, and the member's recordings of client
// traffic.
type faults struct {
	mu sync.Mutex
	// resumed is closed when paused responses are resumed; nil while they are not
	// paused.
	resumed chan struct{}
	// responsesToDrop is the number of upcoming commits whose response is dropped.
	responsesToDrop   int
	cutPeers          map[string]bool
	replicationConns  map[net.Conn]string
	receivedBytes     [][]byte
	startupParameters []map[string]string
	// statements counts the data statements of client connections.
	statements int
}

// PauseResponses holds back all responses on client and control connections. Statements
// still take effect and replication continues.
func (m *Member) PauseResponses() {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	if m.faults.resumed == nil {
		m.faults.resumed = make(chan struct{})
	}
}

// ResumeResponses sends the responses that were held back and ends the pause.
func (m *Member) ResumeResponses() {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	if m.faults.resumed != nil {
		close(m.faults.resumed)
		m.faults.resumed = nil
	}
}

// awaitResumed waits while responses are paused.
func (f *faults) awaitResumed(ctx context.Context) error {
	for {
		f.mu.Lock()
		resumed := f.resumed
		f.mu.Unlock()
		if resumed == nil {
			return nil
		}
		select {
		case <-resumed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// DropResponses closes the client's connection at each of the next n commits that change
// data or schema, after the commit took effect and before its response.
func (m *Member) DropResponses(n int) {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	m.faults.responsesToDrop = n
}

// dropsResponse reports whether the response to the current commit must be dropped, and
// counts it as dropped.
func (f *faults) dropsResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.responsesToDrop == 0 {
		return false
	}
	f.responsesToDrop--
	return true
}

// CutReplication closes the replication connections to and from the peer and rejects
// new ones until RestoreReplication.
func (m *Member) CutReplication(peer string) {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	if m.faults.cutPeers == nil {
		m.faults.cutPeers = map[string]bool{}
	}
	m.faults.cutPeers[peer] = true
	for conn, name := range m.faults.replicationConns {
		if name == peer {
			_ = conn.Close()
		}
	}
}

// RestoreReplication allows replication connections with the peer again.
func (m *Member) RestoreReplication(peer string) {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	delete(m.faults.cutPeers, peer)
}

func (f *faults) isCut(peer string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutPeers[peer]
}

// trackReplicationConn registers a replication connection until the returned function
// is called. It closes the connection if the peer has been cut off in the meantime.
func (f *faults) trackReplicationConn(peer string, conn net.Conn) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replicationConns == nil {
		f.replicationConns = map[net.Conn]string{}
	}
	f.replicationConns[conn] = peer
	if f.cutPeers[peer] {
		_ = conn.Close()
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.replicationConns, conn)
	}
}

// ReceivedBytes returns the bytes that were received on each client or control connection,
// in the order in which the connections were opened. It is empty
// unless the options enable the recording.
func (m *Member) ReceivedBytes() [][]byte {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	list := make([][]byte, len(m.faults.receivedBytes))
	for i, b := range m.faults.receivedBytes {
		list[i] = bytes.Clone(b)
	}
	return list
}

// StartupParameters returns the startup parameters of each client or control
// connection. It is empty unless the options enable the recording.
func (m *Member) StartupParameters() []map[string]string {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	list := make([]map[string]string, len(m.faults.startupParameters))
	for i, p := range m.faults.startupParameters {
		list[i] = maps.Clone(p)
	}
	return list
}

// StatementCount returns the number of data statements that client connections have
// started. Settings and transaction commands do not count, so a connection pool that
// resets its idle connections does not change the number.
func (m *Member) StatementCount() int {
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
	f.startupParameters = append(f.startupParameters, maps.Clone(parameters))
}

// recorder is a connection that records the bytes that are read from it.
type recorder struct {
	net.Conn
	faults *faults
	index  int
}

func (f *faults) newRecorder(conn net.Conn) net.Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receivedBytes = append(f.receivedBytes, nil)
	return &recorder{Conn: conn, faults: f, index: len(f.receivedBytes) - 1}
}

// Read implements net.Conn.
func (r *recorder) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	r.faults.mu.Lock()
	defer r.faults.mu.Unlock()
	r.faults.receivedBytes[r.index] = append(r.faults.receivedBytes[r.index], b[:n]...)
	return n, err
}
