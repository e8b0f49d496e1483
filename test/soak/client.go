package soak

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

const (
	// sessionStartTimeout limits the wait for the response to START, and
	// statementTimeout that for the response to a statement: the statement
	// timeout of 3 s plus 1 s.
	sessionStartTimeout = 2 * time.Second
	statementTimeout    = 4 * time.Second
)

// notExecutedCodes lists the error codes that guarantee that the statement has no
// effect.
var notExecutedCodes = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY", "NOSTMT", "NOAUTH", "NODB"}

// outcome is the effect of a statement as its client knows it.
type outcome int

const (
	inDoubt outcome = iota // may or may not have taken effect
	done
	notApplied
)

// response is the response to a statement.
type response struct {
	outcome outcome
	row     string
	text    string
	// code is the error code, or "", and state the letter of the session's state, or "" if
	// the session has ended.
	code, state string
	// sent is set if the whole statement was written to the connection.
	sent bool
	// timedOut is set if neither a response nor the end of the connection arrived
	// in time.
	timedOut bool
}

// session is a client's connection to an instance.
type session struct {
	conn     net.Conn
	reader   *bufio.Reader
	instance *instance
	id       *idSource
}

// idSource generates unique statement IDs.
type idSource struct {
	prefix string
	n      int
}

func (s *idSource) next() string {
	s.n++
	return fmt.Sprintf("%s-%d", s.prefix, s.n)
}

// openSession starts a session. If it fails, the session is nil and the response
// holds the reason.
func openSession(in *instance, database, key string, id *idSource) (*session, response) {
	conn, err := net.DialTimeout("tcp", in.address, sessionStartTimeout)
	if err != nil {
		return nil, response{text: err.Error()}
	}
	s := &session{conn: conn, reader: bufio.NewReader(conn), instance: in, id: id}
	_ = conn.SetDeadline(time.Now().Add(sessionStartTimeout)) // an error surfaces at the next read
	_, _ = fmt.Fprintf(conn, "START %s %s\r\n", database, key)
	line, err := s.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		conn.Close()
		return nil, response{text: strings.TrimSpace(line) + fmt.Sprint(err)}
	}
	return s, response{outcome: done}
}

func (s *session) close() { _ = s.conn.Close() }

// query runs one statement.
func (s *session) query(text string) response { return s.queryWithID(s.id.next(), text) }

func (s *session) queryWithID(id, text string) response {
	_ = s.conn.SetDeadline(time.Now().Add(statementTimeout)) // an error surfaces at the next read
	_, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text)
	a := response{sent: err == nil}
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil && a.code != "" {
			return a // the instance has refused the statement and ended the session
		}
		if err != nil {
			timeout, ok := err.(net.Error)
			return response{text: err.Error(), timedOut: ok && timeout.Timeout(), sent: a.sent}
		}
		word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch word {
		case "ROW":
			a.row = rest
		case "DONE":
			a.outcome = done
		case "ERR":
			a.text = rest
			a.code, _, _ = strings.Cut(rest, " ")
			if slices.Contains(notExecutedCodes, a.code) {
				a.outcome = notApplied
			}
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}
