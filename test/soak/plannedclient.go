package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

const (
	// idleCloseTime is the time after SIGTERM at which idle sessions are closed. Clients that
	// hold idle sessions send a statement up to idleSendSpread before or after it.
	idleCloseTime, idleSendSpread = 2300 * time.Millisecond, 150 * time.Millisecond
	// maxUse limits the time for which a client uses one session with an instance that does
	// not stop, and maxIdle that for which it holds an idle one.
	maxUse, maxIdle = 8 * time.Second, 20 * time.Second
	// maxPause limits the pauses between statements.
	maxPause = 60 * time.Millisecond
	// minStatements and maxStatements bound the statements of a transaction, and
	// maxLongStatements those of one that may last for most of the grace period.
	minStatements, maxStatements, maxLongStatements = 2, 6, 80
	// largeItem is an item whose data is just below the protocol's limit for a message. It is
	// read in pieces of slowReadBytes with slowReadPause between them.
	largeItem                 = "large"
	largeBytes, slowReadBytes = 900 << 10, 16 << 10
	slowReadPause             = 15 * time.Millisecond
)

// clientKind says how a client uses its sessions.
type clientKind struct {
	count int
	// maxPause limits the pauses between statements, or those of a transaction.
	maxPause time.Duration
	// maxStatements limits the statements of a transaction; 0 for clients of single
	// statements.
	maxStatements int
	// isIdle is set for clients that send nothing until their instance closes idle sessions.
	isIdle bool
	// isSlow is set for clients that read large answers slowly.
	isSlow bool
}

var clientKinds = []clientKind{
	{count: 8, maxPause: maxPause},
	{count: 4},
	{count: 6, maxPause: maxPause, maxStatements: maxStatements},
	{count: 12, maxPause: maxPause, maxStatements: maxLongStatements},
	{count: 4, maxStatements: 4 * maxLongStatements},
	{count: 24, maxPause: maxPause, isIdle: true},
	{count: 3, maxPause: maxPause, isSlow: true},
}

// plannedClient is a client that keeps using its session until it ends.
type plannedClient struct {
	run    *plannedRun
	kind   clientKind
	rng    *rand.Rand
	id     idSource
	writes map[standin.Commit]write
	number int
}

func newPlannedClient(r *plannedRun, n int, kind clientKind) *plannedClient {
	return &plannedClient{
		run: r, kind: kind, rng: rand.New(rand.NewPCG(r.options.Seed, uint64(n))), number: n,
		id: idSource{prefix: fmt.Sprintf("p%d", n)}, writes: map[standin.Commit]write{},
	}
}

func (c *plannedClient) runSessions() {
	for !c.run.stopping() {
		in := c.run.cluster.instances[c.rng.IntN(len(c.run.cluster.instances))]
		database := []string{standin.StrictDatabase, standin.ReadYourWritesDatabase, standin.BoundedDatabase}[c.rng.IntN(3)]
		key := fmt.Sprintf("%s%d", stableKey, c.rng.IntN(plannedWorkspaces))
		s, _ := openSession(in, database, key, &c.id)
		if s == nil {
			time.Sleep(thinkTime)
			continue
		}
		c.useSession(s, database)
		s.close()
	}
}

// useSession sends statements until the session ends or, if the instance does not stop, for a
// drawn time.
func (c *plannedClient) useSession(s *session, database string) {
	opened := time.Now()
	until := opened.Add(upTo(c.rng, maxUse))
	if c.kind.isIdle {
		until = opened.Add(maxIdle)
		if !c.awaitIdleClose(s.instance, until) {
			return
		}
	}
	if c.kind.isSlow {
		if err := s.conn.(*net.TCPConn).SetReadBuffer(slowReadBytes); err != nil {
			c.run.reportViolation("cannot limit the read buffer: %v", err)
		}
		s.reader = bufio.NewReaderSize(slowConn{s.conn}, slowReadBytes)
	}
	for !c.run.stopping() && (time.Now().Before(until) || c.run.terminatedAt(s.instance).After(opened)) {
		ended := false
		if c.kind.maxStatements > 0 {
			ended = !c.transact(s, database)
		} else {
			ended = c.single(s, database).state == ""
		}
		if ended {
			return
		}
		c.pause()
	}
}

// awaitIdleClose waits until about the time at which the instance closes idle sessions. It
// reports false if the instance was not stopped before the given time.
func (c *plannedClient) awaitIdleClose(in *instance, until time.Time) bool {
	opened := time.Now()
	for !c.run.terminatedAt(in).After(opened) {
		if c.run.stopping() || time.Now().After(until) {
			return false
		}
		time.Sleep(thinkTime)
	}
	at := c.run.terminatedAt(in).Add(idleCloseTime - idleSendSpread + upTo(c.rng, 2*idleSendSpread))
	time.Sleep(time.Until(at))
	return true
}

func (c *plannedClient) pause() {
	if c.kind.maxPause > 0 {
		time.Sleep(upTo(c.rng, c.kind.maxPause))
	}
}

// send sends one statement and records its response. After a refusal all clients pause.
func (c *plannedClient) send(s *session, text string) response {
	cut := cutStatement{id: c.id.next(), text: text, instance: s.instance, sentAt: time.Now()}
	a := s.queryWithID(cut.id, text)
	cut.endedAt, cut.terminatedAt, cut.cause = time.Now(), c.run.terminatedAt(s.instance), a.text
	c.run.record(cut, a)
	if a.code != "" {
		time.Sleep(thinkTime)
	}
	return a
}

// nextCommit returns data that no other write has.
func (c *plannedClient) nextCommit() standin.Commit {
	return standin.Commit{Item: fmt.Sprintf("p%d-%d", c.number, c.rng.IntN(4)), Data: fmt.Sprintf("%d-%d", c.number, c.id.n)}
}

func (c *plannedClient) single(s *session, database string) response {
	if database == standin.BoundedDatabase || c.kind.isSlow || c.rng.IntN(3) > 0 {
		return c.send(s, "READ "+c.readItem())
	}
	w := c.nextCommit()
	a := c.send(s, "WRITE "+w.Item+" "+w.Data)
	c.writes[w] = write{outcome: a.outcome, instance: s.instance.name}
	return a
}

func (c *plannedClient) readItem() string {
	if c.kind.isSlow {
		return largeItem
	}
	return fmt.Sprintf("p%d-%d", c.number, c.rng.IntN(4))
}

// transact runs a transaction of several statements. It reports false if the session has ended.
func (c *plannedClient) transact(s *session, database string) bool {
	readOnly := database == standin.BoundedDatabase || c.rng.IntN(2) == 0
	begin := "BEGIN"
	if readOnly {
		begin = "BEGIN READ"
	}
	if a := c.send(s, begin); a.state != "T" {
		return a.state != ""
	}
	var writes []standin.Commit
	outcome := notApplied // without COMMIT nothing may be committed
	defer func() {
		for _, w := range writes {
			c.writes[w] = write{outcome: outcome, instance: s.instance.name, other: &writes[0]}
		}
	}()
	for range minStatements + c.rng.IntN(c.kind.maxStatements-minStatements) {
		if c.run.stopping() {
			break
		}
		c.pause()
		text := "READ " + c.readItem()
		if !readOnly && c.rng.IntN(2) == 0 {
			w := c.nextCommit()
			// Within a transaction each item is written once, so that no write hides another.
			w.Item += fmt.Sprintf("-%d", len(writes))
			writes = append(writes, w)
			text = "WRITE " + w.Item + " " + w.Data
		}
		if a := c.send(s, text); a.state == "E" {
			return c.send(s, "ROLLBACK").state != ""
		} else if a.state != "T" {
			return a.state != ""
		}
	}
	c.pause()
	a := c.send(s, "COMMIT")
	outcome = a.outcome
	if a.state == "E" {
		return c.send(s, "ROLLBACK").state != ""
	}
	return a.state != ""
}

// slowConn reads slowly. Its deadline is that of the next piece, not of the whole answer.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(slowReadPause)
	if err := c.SetReadDeadline(time.Now().Add(statementTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}
