package member

import (
	"context"
	"encoding/gob"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// Replication intervals and timeouts.
const (
	// heartbeatInterval is the interval at which an idle primary sends heartbeats. The
	// daemon suspects a primary from which its group has not received anything for
	// 500 ms.
	heartbeatInterval = 50 * time.Millisecond
	// redialDelay is the delay after a replication connection ended or failed.
	redialDelay = 50 * time.Millisecond
	dialTimeout = 500 * time.Millisecond
	// linkTimeout closes a connection on which a message cannot be sent or does not arrive
	// in time, so that a broken connection is detected and replaced. It is far longer
	// than the heartbeat interval.
	linkTimeout = 2 * time.Second
	// rebuildTimeout is the maximum wait for a replica that rebuilds its database.
	rebuildTimeout = 60 * time.Second
)

type messageKind uint8

const (
	// messageHello is the first message: the primary announces its term.
	messageHello messageKind = iota + 1
	// messageAccept and messageRefuse are the replica's responses to messageHello.
	// messageAccept contains the length and the term runs of the replica's log.
	messageAccept
	messageRefuse
	// messageResume contains the length of the logs' common prefix. The replica
	// discards all entries after it.
	messageResume
	// messageReady is the response to messageResume once the entries are discarded.
	messageReady
	// messageEntry and messageHeartbeat follow until the connection ends.
	messageEntry
	messageHeartbeat
)

// message is a message of the replication protocol. The primary opens one TCP
// connection to each replica, on which both sides send gob-encoded messages.
type message struct {
	Kind        messageKind
	Group, From string
	// Term, Owner, TermStart and PreviousTerm describe the primary's term.
	Term         uint64
	Owner        string
	TermStart    uint64
	PreviousTerm uint64
	// Index is the length of the common prefix in a resume message, the index of the
	// entry in an entry message, or the length of the replica's log in an accept
	// message.
	Index     uint64
	EntryTerm uint64
	Payload   []byte
	Runs      []termRun
}

// replicationLink sends and receives messages on a replication connection.
type replicationLink struct {
	conn    net.Conn
	encoder *gob.Encoder
	decoder *gob.Decoder
}

func newReplicationLink(conn net.Conn) *replicationLink {
	return &replicationLink{conn: conn, encoder: gob.NewEncoder(conn), decoder: gob.NewDecoder(conn)}
}

func (l *replicationLink) send(msg message) error {
	_ = l.conn.SetWriteDeadline(time.Now().Add(linkTimeout))
	return l.encoder.Encode(msg)
}

func (l *replicationLink) receive(timeout time.Duration) (message, error) {
	_ = l.conn.SetReadDeadline(time.Now().Add(timeout))
	var msg message
	err := l.decoder.Decode(&msg)
	return msg, err
}

func (l *replicationLink) expect(kind messageKind, timeout time.Duration) (message, error) {
	msg, err := l.receive(timeout)
	if err == nil && msg.Kind != kind {
		err = errors.Newf("unexpected replication message of kind %d, want kind %d", msg.Kind, kind)
	}
	return msg, err
}

// startPushers starts a push loop for every peer that has none.
func (m *Member) startPushers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.peers {
		if !m.pushers[name] && m.ctx.Err() == nil {
			m.pushers[name] = true
			m.goroutines.Go(func() { m.pushLoop(name) })
		}
	}
}

// pushLoop pushes the log to a peer while this member is primary.
func (m *Member) pushLoop(peer string) {
	for m.ctx.Err() == nil {
		address, hello, ok := m.awaitPrimary(peer)
		if !ok {
			return
		}
		if err := m.push(peer, address, hello); err != nil {
			m.logger.WithError(err).WithField("fellow", peer).Debug("replication connection ended")
		}
		m.sleep(redialDelay)
	}
}

// awaitPrimary waits until this member is primary and returns the peer's address
// and the hello message. It returns false when the member closes.
func (m *Member) awaitPrimary(peer string) (string, message, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.state.Role != group.Primary {
		if m.awaitChange(m.ctx) != nil {
			return "", message{}, false
		}
	}
	return m.peers[peer], message{
		Kind: messageHello, Group: m.opts.Group, From: m.opts.Name,
		Term: m.state.CurrentTerm, Owner: m.state.CurrentOwner,
		TermStart: m.state.TermStart, PreviousTerm: m.state.PreviousTerm,
	}, true
}

// push connects to a peer and sends entries until the connection or the term ends.
func (m *Member) push(peer, address string, hello message) error {
	if m.faults.isCut(peer) {
		return errors.New("replication is cut off")
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(m.ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	conn := newDelayedConn(raw, m.opts.NetworkDelay)
	defer m.faults.trackReplicationConn(peer, conn)()
	defer closeOnDone(m.ctx, conn)()
	link := newReplicationLink(conn)
	next, err := m.negotiate(link, hello)
	if err != nil {
		return err
	}
	return m.stream(link, hello.Term, next)
}

// negotiate determines the common prefix of both logs and returns the index of the
// first entry to send.
func (m *Member) negotiate(link *replicationLink, hello message) (uint64, error) {
	if err := link.send(hello); err != nil {
		return 0, err
	}
	accepted, err := link.expect(messageAccept, linkTimeout)
	if err != nil {
		return 0, err
	}
	m.mu.Lock()
	common := commonPrefix(m.log.runs, m.log.length(), accepted.Runs, accepted.Index)
	m.mu.Unlock()
	if err := link.send(message{Kind: messageResume, Index: common}); err != nil {
		return 0, err
	}
	_, err = link.expect(messageReady, rebuildTimeout)
	return common + 1, err
}

// stream sends the entries from index next on, and heartbeats while there are none.
func (m *Member) stream(link *replicationLink, term, next uint64) error {
	for {
		batch, err := m.awaitEntries(term, next)
		if err != nil {
			return err
		}
		if len(batch) == 0 {
			if err := link.send(message{Kind: messageHeartbeat}); err != nil {
				return err
			}
		}
		for _, e := range batch {
			msg := message{Kind: messageEntry, Index: next, EntryTerm: e.term, Payload: e.payload}
			if err := link.send(msg); err != nil {
				return err
			}
			next++
		}
	}
}

// maxPushBatchEntries is the maximum number of entries that are sent before the
// primary checks its term again.
const maxPushBatchEntries = 64

// awaitEntries waits for entries from index next on and returns a batch of them. It
// returns none when a heartbeat is due.
func (m *Member) awaitEntries(term, next uint64) ([]entry, error) {
	ctx, cancel := context.WithTimeout(m.ctx, heartbeatInterval)
	defer cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for {
		if m.state.Role != group.Primary || m.state.CurrentTerm != term {
			return nil, errors.New("this member is no longer primary of the term")
		}
		if last := m.log.length(); last >= next {
			return m.log.entries[next-1 : min(last, next-1+maxPushBatchEntries)], nil
		}
		if err := m.awaitChange(ctx); err != nil {
			return nil, m.ctx.Err()
		}
	}
}

// acceptReplication accepts replication connections from primaries.
func (m *Member) acceptReplication() {
	for {
		conn, err := m.replicationListener.Accept()
		if err != nil {
			return
		}
		m.goroutines.Go(func() {
			defer closeOnDone(m.ctx, conn)()
			if err := m.follow(conn); err != nil {
				m.logger.WithError(err).Debug("replication connection ended")
			}
		})
	}
}

// follow handles a replication connection from a primary.
func (m *Member) follow(conn net.Conn) error {
	link := newReplicationLink(conn)
	hello, err := link.expect(messageHello, linkTimeout)
	if err != nil {
		return err
	}
	if m.faults.isCut(hello.From) {
		return errors.New("replication is cut off")
	}
	defer m.faults.trackReplicationConn(hello.From, conn)()
	response, err := m.acceptPrimary(conn, hello)
	if err != nil {
		_ = link.send(message{Kind: messageRefuse})
		return err
	}
	if err := link.send(response); err != nil {
		return err
	}
	resume, err := link.expect(messageResume, linkTimeout)
	if err != nil {
		return err
	}
	if err := m.enterTerm(conn, hello, resume.Index); err != nil {
		return err
	}
	if err := link.send(message{Kind: messageReady}); err != nil {
		return err
	}
	for {
		msg, err := link.receive(linkTimeout)
		if err != nil {
			return err
		}
		if err := m.handlePrimaryMessage(conn, hello.Term, msg); err != nil {
			return err
		}
	}
}

// acceptPrimary accepts a primary whose term is not below the promised one. It
// promises the term, so that no older term is accepted afterwards.
func (m *Member) acceptPrimary(conn net.Conn, hello message) (message, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state
	switch {
	case hello.Group != m.opts.Group:
		return message{}, errors.Newf("the primary belongs to group %q", hello.Group)
	case hello.Term < s.PromisedTerm:
		return message{}, errors.Newf("term %d is below the promised term %d", hello.Term, s.PromisedTerm)
	case s.Role == group.Primary && hello.Term <= s.CurrentTerm:
		return message{}, errors.Newf("this member is primary of term %d", s.CurrentTerm)
	}
	s.PromisedTerm, s.PromisedOwner, s.Role = hello.Term, hello.Owner, group.Replica
	if s != m.state {
		if err := m.storeState(s); err != nil {
			return message{}, err
		}
	}
	// If this member was primary, an open write transaction must not block the applier.
	if m.writer != nil {
		m.writer.terminate()
	}
	m.closeUpstream()
	m.upstreamConn = conn
	m.notifyStateChange()
	return message{Kind: messageAccept, Index: m.log.length(), Runs: append([]termRun(nil), m.log.runs...)}, nil
}

// closeUpstream closes the replication connection whose entries are accepted. The
// caller holds mu.
func (m *Member) closeUpstream() {
	if m.upstreamConn != nil {
		_ = m.upstreamConn.Close()
		m.upstreamConn = nil
	}
}

// enterTerm discards the entries that the primary does not have and then sets the
// current term. The order matters: a member that reports a term as current must not
// have entries that diverge from the log of its primary.
func (m *Member) enterTerm(conn net.Conn, hello message, common uint64) error {
	if err := m.checkUpstream(conn, hello.Term); err != nil {
		return err
	}
	if err := m.discardAfter(common); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkUpstreamLocked(conn, hello.Term); err != nil {
		return err
	}
	s := m.state
	s.CurrentTerm, s.CurrentOwner = hello.Term, hello.Owner
	s.TermStart, s.PreviousTerm = hello.TermStart, hello.PreviousTerm
	if err := m.storeState(s); err != nil {
		return err
	}
	m.lastContact = time.Now()
	m.notifyStateChange()
	return nil
}

func (m *Member) checkUpstream(conn net.Conn, term uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.checkUpstreamLocked(conn, term)
}

// checkUpstreamLocked fails if a newer connection or a higher promise has superseded
// this connection. The caller holds mu.
func (m *Member) checkUpstreamLocked(conn net.Conn, term uint64) error {
	if m.upstreamConn != conn || m.state.PromisedTerm != term {
		return errors.Newf("term %d is superseded", term)
	}
	return nil
}

// handlePrimaryMessage processes an entry or a heartbeat from the primary.
func (m *Member) handlePrimaryMessage(conn net.Conn, term uint64, msg message) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkUpstreamLocked(conn, term); err != nil {
		return err
	}
	m.lastContact = time.Now()
	if msg.Kind != messageEntry {
		return nil
	}
	if msg.Index != m.log.length()+1 {
		return errors.Newf("received entry %d after entry %d", msg.Index, m.log.length())
	}
	if err := m.log.append(entry{term: msg.EntryTerm, payload: msg.Payload, received: m.lastContact}); err != nil {
		return err
	}
	m.notifyStateChange()
	return nil
}

// closeOnDone closes the connection when the context ends. The returned function
// closes it immediately and stops watching the context.
func closeOnDone(ctx context.Context, conn net.Conn) func() {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	return func() {
		stop()
		_ = conn.Close()
	}
}
