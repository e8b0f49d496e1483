package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one commit of a group's log.
type entry struct {
	term, index uint64
	writes      map[string]string
	at          time.Time
}

// execution is a statement of a client that a member has run.
type execution struct {
	at                   time.Time
	member, tenant       string
	id, text, data, item string
	rows                 []string
}

// group is a service: one primary and its replicas. A commit is acknowledged once one replica
// has received it. Replicas show what they have received after their lag.
type group struct {
	name string
	rec  *record
	// work is how long a read, write or commit occupies one of three slots.
	work time.Duration

	mu      sync.Mutex
	term    uint64
	log     []entry
	primary *member
	// promoteTime is the time from an accepted promotion to its effect, and highestToken the
	// highest fencing token of this service.
	promoteTime  time.Duration
	highestToken uint64
	members      []*member
	executed     []execution
}

type member struct {
	id, zone string
	g        *group
	l        net.Listener
	slots    chan struct{}
	// The fields below are guarded by the group's mutex. lag is how late a replica applies a
	// commit. received is the number of log entries that the member has received, and visible
	// the number that it has applied. A deaf replica receives nothing, and a paused one
	// neither.
	lag               time.Duration
	received, visible int
	deaf, draining    bool
	pausedTerm        uint64
	// armed makes the next session after a STATUS meet TOOMANY, because other callers have
	// taken the last connection for a moment; full is set meanwhile.
	armed, full bool
	// crashed is set once the member has crashed.
	crashed  bool
	sessions map[net.Conn]bool
	// lastBeat is when the member last wrote its entry, and expired is set once the store has
	// removed it.
	lastBeat time.Time
	expired  bool
}

func (m *member) isCrashed() bool {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	return m.crashed
}

func newGroup(name string, zones []string, rec *record) (*group, error) {
	g := &group{name: name, term: 3, rec: rec, work: 8 * time.Millisecond}
	for i, zone := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &member{id: fmt.Sprintf("i-%s%d", name, i), zone: zone, g: g, l: l, slots: make(chan struct{}, 3), lag: 60 * time.Millisecond, sessions: map[net.Conn]bool{}}
		g.members = append(g.members, m)
		go m.accept()
	}
	g.primary = g.members[0]
	return g, nil
}

func (g *group) close() {
	for _, m := range g.members {
		_ = m.l.Close()
	}
}

// setLag makes the replicas apply commits late.
func (g *group) setLag(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		m.lag = d
	}
}

func (m *member) entry(sequence int) map[string]any {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	role, state := "replica", "ready"
	if m.g.primary == m {
		role = "primary"
	}
	if m.draining {
		state = "draining"
	}
	return map[string]any{
		"service": m.g.name, "address": m.l.Addr().String(), "zone": m.zone, "version": "v1", "slots": 3,
		"state": state, wire.ColdLeft: 0, "dbRole": role, "sequence": sequence, "born": 1700000000000,
	}
}

func (m *member) accept() {
	for {
		c, err := m.l.Accept()
		if err != nil {
			return
		}
		m.g.mu.Lock()
		m.sessions[c] = true
		m.g.mu.Unlock()
		go (&memberSession{m: m, c: c, in: bufio.NewReader(c), state: "I", prepared: map[string]string{}}).serve()
	}
}

// crash ends the member: it answers nothing, receives nothing and writes no entries.
func (m *member) crash() {
	_ = m.l.Close()
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.crashed = true
	for c := range m.sessions {
		_ = c.Close()
	}
}

type memberSession struct {
	m        *member
	c        net.Conn
	in       *bufio.Reader
	tenant   string
	state    string
	readOnly bool
	writes   map[string]string
	prepared map[string]string
	signs    int
}

// readMessage reads one message, which ends with CR LF and with nothing else.
func readMessage(in *bufio.Reader) (string, error) {
	var line strings.Builder
	for {
		part, err := in.ReadString('\n')
		if err != nil {
			return "", err
		}
		line.WriteString(part)
		if strings.HasSuffix(part, "\r\n") {
			s := line.String()
			return s[:len(s)-2], nil
		}
	}
}

func (s *memberSession) send(lines ...string) {
	_, _ = s.c.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
}

func (s *memberSession) serve() {
	defer s.c.Close()
	line, err := readMessage(s.in)
	if err != nil {
		return
	}
	f := strings.Split(line, " ")
	if len(f) < 3 || f[0] != "START" || f[1] != s.m.g.name || (len(f) > 3 && f[3] != s.m.id) {
		s.send("ERR MISROUTED " + s.m.id)
		return
	}
	s.tenant = f[2]
	s.m.g.mu.Lock()
	full := s.m.full
	s.m.full = false
	s.m.g.mu.Unlock()
	if full {
		s.m.g.rec.printf("member %s answers START from %s with TOOMANY", s.m.id, s.tenant)
		s.send("ERR TOOMANY " + s.m.id)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.send("READY I " + s.position())
	for {
		line, err := readMessage(s.in)
		if err != nil || line == "QUIT" {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			s.send("ERR MALFORMED unknown message", "READY "+s.state+" "+s.position())
			continue
		}
		id, text, _ := strings.Cut(rest, " ")
		out := s.run(id, text)
		if strings.HasPrefix(out[0], "ERR") && s.state == "T" {
			s.state = "E"
		}
		s.send(append(out, "READY "+s.state+" "+s.position())...)
	}
}

// replicate lets the replicas receive what the primary has. The caller holds the mutex.
func (g *group) replicate() {
	for _, m := range g.members {
		if m == g.primary || (!m.deaf && !m.crashed && m.pausedTerm == 0) {
			m.received = len(g.log)
		}
	}
}

// visibleLength returns how many log entries the member shows. The caller holds the mutex.
func (m *member) visibleLength() int {
	n := m.received
	if m != m.g.primary {
		for n > m.visible && time.Since(m.g.log[n-1].at) < m.lag {
			n--
		}
	}
	m.visible = n
	return n
}

// promote lets the member lead the next term with what it has received. It reports false if
// the token is lower than one seen before.
func (g *group) promote(id string, token uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.highestToken {
		return false
	}
	g.highestToken = token
	for _, m := range g.members {
		if m.id != id || m == g.primary {
			continue
		}
		time.AfterFunc(g.promoteTime, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.rec.printf("platform: %s leads term %d with %s; the log was at %s", m.id, g.term+1, g.positionAt(m.received), g.positionAt(len(g.log)))
			g.primary, g.log = m, g.log[:m.received]
			g.term++
			for _, other := range g.members {
				other.pausedTerm = 0
				other.received = min(other.received, len(g.log))
				other.visible = min(other.visible, other.received)
			}
			g.replicate()
		})
		return true
	}
	return true
}

func (g *group) positionAt(n int) string {
	if n == 0 {
		return fmt.Sprintf("%d.0", g.term)
	}
	return fmt.Sprintf("%d.%d", g.log[n-1].term, g.log[n-1].index)
}

func (s *memberSession) position() string {
	g := s.m.g
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.positionAt(s.m.visibleLength())
}

func (s *memberSession) isPrimary() bool {
	s.m.g.mu.Lock()
	defer s.m.g.mu.Unlock()
	return s.m.g.primary == s.m
}

func (s *memberSession) done(rows ...string) []string {
	s.signs++
	return append(rows, fmt.Sprintf("DONE %s.%p.%d", s.m.id, s, s.signs))
}

func (s *memberSession) run(id, text string) []string {
	original := text
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, after, _ := strings.Cut(rest, " ")
		text = after
		term, index, _ := strings.Cut(position, ".")
		t, _ := strconv.ParseUint(term, 10, 64)
		n, _ := strconv.ParseUint(index, 10, 64)
		g := s.m.g
		g.mu.Lock()
		v := s.m.visibleLength()
		behind := g.term < t || uint64(v) < n
		g.mu.Unlock()
		if behind {
			return []string{"ERR LAGGING " + s.m.id}
		}
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return []string{"ERR MALFORMED the transaction has failed"}
	}
	switch word {
	case "BEGIN":
		if rest != "READ" && !s.isPrimary() {
			return []string{"ERR READONLY " + s.m.id}
		}
		s.state, s.readOnly, s.writes = "T", rest == "READ", map[string]string{}
	case "ROLLBACK":
		s.state, s.writes = "I", nil
	case "COMMIT":
		s.occupy()
		writes, failed := s.writes, s.state == "E"
		s.state, s.writes = "I", nil
		if failed {
			return []string{"DONE -"}
		}
		s.note(id, original, "", "", nil)
		if len(writes) > 0 && !s.commit(writes) {
			return []string{"ERR READONLY " + s.m.id}
		}
		return s.done()
	case "SET":
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
	case "RESET":
		s.prepared = map[string]string{}
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		return s.status(word, rest)
	case "READ":
		s.occupy()
		g := s.m.g
		g.mu.Lock()
		v := s.m.visibleLength()
		value := "none"
		for i := v - 1; i >= 0 && value == "none"; i-- {
			if d, ok := g.log[i].writes[rest]; ok {
				value = d
			}
		}
		g.mu.Unlock()
		if d, ok := s.writes[rest]; ok {
			value = d
		}
		s.note(id, original, rest, "", []string{value})
		return s.done("ROW " + value)
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		if !s.isPrimary() || s.readOnly && s.state == "T" {
			return []string{"ERR READONLY " + s.m.id}
		}
		s.occupy()
		s.note(id, original, item, data, nil)
		if s.state == "T" {
			s.writes[item] = data
		} else if !s.commit(map[string]string{item: data}) {
			return []string{"ERR READONLY " + s.m.id}
		}
		return s.done()
	default:
		return []string{"ERR MALFORMED unknown statement"}
	}
	return []string{"DONE -"}
}

// commit appends to the log and waits until a replica has received it.
func (s *memberSession) commit(writes map[string]string) bool {
	g := s.m.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary != s.m {
		return false
	}
	term := g.term
	g.log = append(g.log, entry{term, uint64(len(g.log)) + 1, writes, time.Now()})
	n := len(g.log)
	for {
		if g.term != term {
			return false
		}
		g.replicate()
		for _, m := range g.members {
			if m != s.m && !m.crashed && m.received >= n {
				g.rec.printf("member %s acknowledges commit %s, which %s has received", s.m.id, g.positionAt(n), m.id)
				return true
			}
		}
		g.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		g.mu.Lock()
	}
}

func (s *memberSession) status(word, rest string) []string {
	g := s.m.g
	term, _ := strconv.ParseUint(rest, 10, 64)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch word {
	case "PAUSE":
		if term <= max(g.term, s.m.pausedTerm) || g.primary == s.m {
			return []string{"ERR MALFORMED no newer term"}
		}
		s.m.pausedTerm = term
		g.rec.printf("member %s is paused with term %d", s.m.id, term)
	case "RESUME":
		s.m.pausedTerm = 0
	}
	if word == "STATUS" && s.m.armed {
		s.m.armed, s.m.full = false, true
	}
	role := "replica"
	if g.primary == s.m {
		role = "primary"
	}
	return []string{fmt.Sprintf("ROW %s %d %s %d 0 0 1", role, g.term, g.positionAt(s.m.received), s.m.pausedTerm), "DONE -"}
}

func (s *memberSession) occupy() {
	s.m.slots <- struct{}{}
	time.Sleep(s.m.g.work)
	<-s.m.slots
}

// note records a statement of a client; the gateways' own have the id "-".
func (s *memberSession) note(id, text, item, data string, rows []string) {
	if id == "-" {
		return
	}
	g := s.m.g
	e := execution{at: time.Now(), member: s.m.id, tenant: s.tenant, id: id, text: text, item: item, data: data, rows: rows}
	g.mu.Lock()
	g.executed = append(g.executed, e)
	g.mu.Unlock()
	g.rec.printf("member %s ran id %q text %q for %s rows %q", e.member, id, text, s.tenant, rows)
}

func (g *group) executions() []execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]execution(nil), g.executed...)
}
