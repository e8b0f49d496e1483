//go:build review

package main

import (
	"net"
	"sync"
)

// cutLink is a link between two processes that can be cut: nothing passes, and the connections
// stay open.
type cutLink struct {
	listener net.Listener
	upstream string

	mu  sync.Mutex
	cut bool // guarded by mu
	// open holds the connections, and whether anything of them was lost; guarded by mu.
	open map[net.Conn]bool
}

func newCutLink(upstream string) (*cutLink, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cutLink{listener: l, upstream: upstream, open: map[net.Conn]bool{}}
	go c.accept()
	return c, nil
}

// Addr returns the address on which the link listens.
func (l *cutLink) Addr() string { return l.listener.Addr().String() }

// Freeze cuts the link, silently.
func (l *cutLink) Freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	for c := range l.open {
		l.open[c] = true
	}
}

// Restore ends the cut. Connections that were open meanwhile are closed.
func (l *cutLink) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = false
	for c, lost := range l.open {
		if lost {
			_ = c.Close()
		}
	}
}

func (l *cutLink) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *cutLink) add(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = l.cut
}

func (l *cutLink) remove(c net.Conn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	_ = c.Close()
}

func (l *cutLink) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.add(c)
		go l.serve(c)
	}
}

func (l *cutLink) serve(c net.Conn) {
	defer l.remove(c)
	upstream, err := net.Dial("tcp", l.upstream)
	if err != nil {
		return
	}
	l.add(upstream)
	defer l.remove(upstream)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.pass(c, upstream)
		_ = c.Close()
	}()
	l.pass(upstream, c)
	_ = upstream.Close()
	<-done
}

// pass copies from one connection to the other one, except what arrives during a cut.
func (l *cutLink) pass(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.isCut() {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
