package member

import (
	"context"
	"encoding/gob"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// Timing of replication.
const (
	// heartbeatEvery is the longest silence of a primary. A product suspects a
	// primary whose group has not heard from it for 500 ms.
	heartbeatEvery = 50 * time.Millisecond
	// redialEvery is the pause after a failed or refused connection.
	redialEvery = 50 * time.Millisecond
	dialTimeout = 500 * time.Millisecond
	// silenceTimeout ends a connection on which an expected message does not
	// arrive, so that a cut link is found and replaced. Heartbeats come far
	// more often.
	silenceTimeout = 2 * time.Second
	// rebuildTimeout bounds the wait for a member that rebuilds its database.
	rebuildTimeout = 60 * time.Second
)

type messageKind uint8

const (
	// messageHello opens a connection: a primary states its term.
	messageHello messageKind = iota + 1
	// messageAccept and messageRefuse answer it.
	messageAccept
	messageRefuse
	// messageResume tells where the logs part; the member discards the rest.
	messageResume
	// messageReady answers it once the rest is discarded.
	messageReady
	messageEntry
	messageHeartbeat
)

// message is a unit of the replication protocol, which is a gob stream of
// messages over one TCP connection from the primary to each member.
type message struct {
	Kind        messageKind
	Group, From string
	// Term, Owner, TermStart and PreviousTerm describe the primary's term.
	Term         uint64
	Owner        string
	TermStart    uint64
	PreviousTerm uint64
	// Index is the common prefix in a resume message, the index of an entry, or
	// the length of the member's log in an accept message.
	Index     uint64
	EntryTerm uint64
	Payload   []byte
	Runs      []termRun
}

// peerLink is a replication connection.
type peerLink struct {
	conn net.Conn
	enc  *gob.Encoder
	dec  *gob.Decoder
}

func newPeerLink(conn net.Conn) *peerLink {
	return &peerLink{conn: conn, enc: gob.NewEncoder(conn), dec: gob.NewDecoder(conn)}
}

func (l *peerLink) send(msg message) error {
	_ = l.conn.SetWriteDeadline(time.Now().Add(silenceTimeout))
	return l.enc.Encode(msg)
}

func (l *peerLink) receive(timeout time.Duration) (message, error) {
	_ = l.conn.SetReadDeadline(time.Now().Add(timeout))
	var msg message
	err := l.dec.Decode(&msg)
	return msg, err
}

func (l *peerLink) expect(kind messageKind, timeout time.Duration) (message, error) {
	msg, err := l.receive(timeout)
	if err == nil && msg.Kind != kind {
		err = errors.Newf("replication message of kind %d, want %d", msg.Kind, kind)
	}
	return msg, err
}

// startPushers starts a pusher for every fellow that has none.
func (m *Member) startPushers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.fellows {
		if !m.pushers[name] && m.ctx.Err() == nil {
			m.pushers[name] = true
			m.work.Go(func() { m.pushLoop(name) })
		}
	}
}

// pushLoop pushes the log to one fellow while this member is primary.
func (m *Member) pushLoop(fellow string) {
	for m.ctx.Err() == nil {
		address, hello, ok := m.awaitPrimary(fellow)
		if !ok {
			return
		}
		if err := m.push(fellow, address, hello); err != nil {
			m.logger.WithError(err).WithField("fellow", fellow).Debug("replication connection ended")
		}
		m.sleep(redialEvery)
	}
}

// awaitPrimary waits until this member is primary and returns its hello.
func (m *Member) awaitPrimary(fellow string) (string, message, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.state.Role != group.Primary {
		if m.awaitChange(m.ctx) != nil {
			return "", message{}, false
		}
	}
	return m.fellows[fellow], message{
		Kind: messageHello, Group: m.opts.Group, From: m.opts.Name,
		Term: m.state.CurrentTerm, Owner: m.state.CurrentOwner,
		TermStart: m.state.TermStart, PreviousTerm: m.state.PreviousTerm,
	}, true
}

// push connects to a fellow and sends entries until the connection or the term
// ends.
func (m *Member) push(fellow, address string, hello message) error {
	if m.faults.isCutOff(fellow) {
		return errors.New("replication is cut off")
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(m.ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	conn := delayed(raw, m.opts.NetworkDelay)
	defer m.faults.track(fellow, conn)()
	defer closeOnDone(m.ctx, conn)()
	link := newPeerLink(conn)
	next, err := m.negotiate(link, hello)
	if err != nil {
		return err
	}
	return m.stream(link, hello.Term, next)
}

// negotiate agrees on where the logs part and returns the next index to send.
func (m *Member) negotiate(link *peerLink, hello message) (uint64, error) {
	if err := link.send(hello); err != nil {
		return 0, err
	}
	accepted, err := link.expect(messageAccept, silenceTimeout)
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

// stream sends entries from next on, and heartbeats in between.
func (m *Member) stream(link *peerLink, term, next uint64) error {
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

// pushBatch bounds the entries sent between two looks at the term.
const pushBatch = 64

// awaitEntries returns the entries from next on, or none when a heartbeat is due.
func (m *Member) awaitEntries(term, next uint64) ([]entry, error) {
	ctx, cancel := context.WithTimeout(m.ctx, heartbeatEvery)
	defer cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for {
		if m.state.Role != group.Primary || m.state.CurrentTerm != term {
			return nil, errors.New("no longer primary of the term")
		}
		if last := m.log.length(); last >= next {
			return m.log.entries[next-1 : min(last, next-1+pushBatch)], nil
		}
		if err := m.awaitChange(ctx); err != nil {
			return nil, m.ctx.Err()
		}
	}
}

// acceptReplication serves connections from primaries.
func (m *Member) acceptReplication() {
	for {
		conn, err := m.replication.Accept()
		if err != nil {
			return
		}
		m.work.Go(func() {
			defer closeOnDone(m.ctx, conn)()
			if err := m.follow(conn); err != nil {
				m.logger.WithError(err).Debug("replication connection ended")
			}
		})
	}
}

// follow receives entries from one primary.
func (m *Member) follow(conn net.Conn) error {
	link := newPeerLink(conn)
	hello, err := link.expect(messageHello, silenceTimeout)
	if err != nil {
		return err
	}
	if m.faults.isCutOff(hello.From) {
		return errors.New("replication is cut off")
	}
	defer m.faults.track(hello.From, conn)()
	answer, err := m.acceptPrimary(conn, hello)
	if err != nil {
		_ = link.send(message{Kind: messageRefuse})
		return err
	}
	if err := link.send(answer); err != nil {
		return err
	}
	resume, err := link.expect(messageResume, silenceTimeout)
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
		msg, err := link.receive(silenceTimeout)
		if err != nil {
			return err
		}
		if err := m.take(conn, hello.Term, msg); err != nil {
			return err
		}
	}
}

// acceptPrimary accepts the primary of a term that is not below the promised
// one. It promises the term, so that nothing older is accepted afterwards.
func (m *Member) acceptPrimary(conn net.Conn, hello message) (message, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state
	switch {
	case hello.Group != m.opts.Group:
		return message{}, errors.Newf("primary of group %q", hello.Group)
	case hello.Term < s.PromisedTerm:
		return message{}, errors.Newf("term %d is below the promised term %d", hello.Term, s.PromisedTerm)
	case s.Role == group.Primary && hello.Term <= s.CurrentTerm:
		return message{}, errors.Newf("this member is primary of term %d", s.CurrentTerm)
	}
	s.PromisedTerm, s.PromisedOwner, s.Role = hello.Term, hello.Owner, group.Replica
	if s != m.state {
		if err := m.store(s); err != nil {
			return message{}, err
		}
	}
	// A transaction of the former primary must not block the applier.
	if m.writer != nil {
		m.writer.terminate()
	}
	m.dropUpstream()
	m.upstream = conn
	m.changed()
	return message{Kind: messageAccept, Index: m.log.length(), Runs: append([]termRun(nil), m.log.runs...)}, nil
}

// dropUpstream ends the connection whose entries were accepted.
func (m *Member) dropUpstream() {
	if m.upstream != nil {
		_ = m.upstream.Close()
		m.upstream = nil
	}
}

// enterTerm discards what the primary does not have and then follows its term.
// The order matters: a member that follows a term holds only entries of it.
func (m *Member) enterTerm(conn net.Conn, hello message, common uint64) error {
	if err := m.stillFollows(conn, hello.Term); err != nil {
		return err
	}
	if err := m.discardAfter(common); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkUpstream(conn, hello.Term); err != nil {
		return err
	}
	s := m.state
	s.CurrentTerm, s.CurrentOwner = hello.Term, hello.Owner
	s.TermStart, s.PreviousTerm = hello.TermStart, hello.PreviousTerm
	if err := m.store(s); err != nil {
		return err
	}
	m.lastContact = time.Now()
	m.changed()
	return nil
}

func (m *Member) stillFollows(conn net.Conn, term uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.checkUpstream(conn, term)
}

// checkUpstream fails if a newer connection or promise has taken over.
func (m *Member) checkUpstream(conn net.Conn, term uint64) error {
	if m.upstream != conn || m.state.PromisedTerm != term {
		return errors.Newf("term %d is superseded", term)
	}
	return nil
}

// take receives one message of the primary.
func (m *Member) take(conn net.Conn, term uint64, msg message) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkUpstream(conn, term); err != nil {
		return err
	}
	m.lastContact = time.Now()
	if msg.Kind != messageEntry {
		return nil
	}
	if msg.Index != m.log.length()+1 {
		return errors.Newf("entry %d after entry %d", msg.Index, m.log.length())
	}
	if err := m.log.append(entry{term: msg.EntryTerm, payload: msg.Payload, received: m.lastContact}); err != nil {
		return err
	}
	m.changed()
	return nil
}

// closeOnDone closes the connection when the context ends. The returned
// function closes it at once and releases the watch.
func closeOnDone(ctx context.Context, conn net.Conn) func() {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	return func() {
		stop()
		_ = conn.Close()
	}
}
