//go:build review

package main

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// segmentBytes is the largest segment of an Ethernet link, and windowBytes a small window:
	// "Links have a delay, a bandwidth [...] and small windows, so a peer that does not read
	// blocks the writer."
	segmentBytes = 1460
	windowBytes  = 32 << 10
	// chunkBytes is what a slow link passes on at a time.
	chunkBytes = 2 << 10
)

// slowLink is a link to a member that can be made slow, as one that loses packets.
type slowLink struct {
	listener net.Listener
	upstream string
	// bytesPerSecond limits what passes to the member; 0 does not.
	bytesPerSecond atomic.Int64
}

func newSlowLink(upstream string) (*slowLink, error) {
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, windowBytes)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &slowLink{listener: l, upstream: upstream}
	go s.accept()
	return s, nil
}

func (s *slowLink) address() string { return s.listener.Addr().String() }

func (s *slowLink) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c.(*net.TCPConn))
	}
}

// serve passes on all bytes in both directions, in their order and unchanged, and the end of
// each direction.
func (s *slowLink) serve(c *net.TCPConn) {
	defer c.Close()
	upstream, err := net.Dial("tcp", s.upstream)
	if err != nil {
		return
	}
	defer upstream.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(c, upstream)
		_ = c.CloseWrite()
	}()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := c.Read(buffer)
		if n > 0 {
			if rate := s.bytesPerSecond.Load(); rate > 0 {
				time.Sleep(time.Duration(int64(n) * int64(time.Second) / rate))
			}
			if _, werr := upstream.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			_ = upstream.(*net.TCPConn).CloseWrite()
			<-done
			return
		}
	}
}
