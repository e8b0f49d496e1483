package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got for one statement.
type answer struct {
	rows      []string
	signature string
	// code is the code of an ERR; "" for a success.
	code, text string
	state      string
	// lost is set if the connection ended or nothing came in time.
	lost error
}

func (a answer) ok() bool { return a.lost == nil && a.code == "" }

func (a answer) String() string {
	switch {
	case a.lost != nil:
		return "no complete answer: " + a.lost.Error()
	case a.code != "":
		return "ERR " + a.code + " " + a.text + " READY " + a.state
	}
	return fmt.Sprintf("rows %q DONE %s READY %s", a.rows, a.signature, a.state)
}

// client is one session of a client.
type client struct {
	name string
	c    net.Conn
	in   *bufio.Reader
	rec  *record
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%08x%08x", 0x5c0e7a21, lastID.Add(1)) }

func openClient(rec *record, name, address, database, key string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	s := &client{name: name, c: c, in: bufio.NewReader(c), rec: rec}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = c.Write([]byte("START " + database + " " + key + "\r\n")); err != nil {
		return nil, err
	}
	line, err := readMessage(s.in)
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = c.Close()
		return nil, fmt.Errorf("START: %q %v", line, err)
	}
	return s, nil
}

func (s *client) close() { _ = s.c.Close() }

// query sends one statement and reads its whole answer.
func (s *client) query(id, text string, timeout time.Duration) answer {
	s.rec.printf("client %s sends id %q text %q", s.name, id, text)
	a := s.exchange(id, text, timeout)
	s.rec.printf("client %s got for id %q: %s", s.name, id, a)
	return a
}

func (s *client) exchange(id, text string, timeout time.Duration) (a answer) {
	_ = s.c.SetDeadline(time.Now().Add(timeout))
	if _, err := s.c.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		a.lost = err
		return a
	}
	for {
		line, err := readMessage(s.in)
		if err != nil {
			a.lost = err
			return a
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.signature = rest
		case "ERR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}
