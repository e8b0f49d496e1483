//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// link is a TCP proxy that can stop passing bytes, as the path to a machine that is dark or
// behind a partition. Connections that are opened meanwhile hang.
type link struct {
	listener net.Listener
	upstream string

	mu     sync.Mutex
	frozen chan struct{} // closed while bytes pass
}

func newLink(upstream string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	open := make(chan struct{})
	close(open)
	k := &link{listener: l, upstream: upstream, frozen: open}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) freeze() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.frozen = make(chan struct{})
}

func (k *link) restore() {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.frozen:
	default:
		close(k.frozen)
	}
}

// wait returns once bytes pass.
func (k *link) wait() {
	k.mu.Lock()
	frozen := k.frozen
	k.mu.Unlock()
	<-frozen
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			k.wait()
			u, err := net.Dial("tcp", k.upstream)
			if err != nil {
				_ = c.Close()
				return
			}
			go k.pass(u, c)
			k.pass(c, u)
		}()
	}
}

// pass copies one direction until either end closes, and then closes both.
func (k *link) pass(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		k.wait()
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			return
		}
	}
}
