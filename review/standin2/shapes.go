//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

func init() { cases["shapes"] = shapes }

// Two shapes with the same XXH64 hash and the same length, and one with another hash.
const (
	shapeA     = "gws7p6tuvuhtgfs7uzawrcge29lhfu3dio63pmqekg1yw9nj77lmjmce8uc4of6a"
	shapeB     = "9o5wtyrcvuhtgfs7uzawrcge29lhfu3d7pZJuEqpkg1yw9nj77lmjmce8uc4of6a"
	shapeOther = "9o5wtyrcvuhtgfs7uzawrcge29lhfu3d7pZJuEqpkg1yw9nj77lmjmce8uc4of6b"
)

// executed is a prepared statement as a member has run it.
type executed struct{ id, shape string }

// shapeSpy is a link to a member that notes which shape each EXEC runs there.
type shapeSpy struct {
	listener net.Listener
	upstream string
	mu       sync.Mutex
	runs     []executed // guarded by mu
}

func newShapeSpy(upstream string) (*shapeSpy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &shapeSpy{listener: l, upstream: upstream}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *shapeSpy) serve(c net.Conn) {
	defer c.Close()
	upstream, err := net.Dial("tcp", s.upstream)
	if err != nil {
		return
	}
	defer upstream.Close()
	go func() {
		buffer := make([]byte, 4096)
		for {
			n, err := upstream.Read(buffer)
			if _, werr := c.Write(buffer[:n]); err != nil || werr != nil {
				_ = c.Close()
				return
			}
		}
	}()
	prepared := map[string]string{}
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 4)
		switch {
		case len(f) >= 3 && f[2] == "RESET":
			clear(prepared)
		case len(f) == 4 && f[2] == "PREPARE":
			name, shape, _ := strings.Cut(f[3], " ")
			_, prepared[name], _ = strings.Cut(shape, " ")
		case strings.Contains(line, " EXEC "):
			_, rest, _ := strings.Cut(line, " EXEC ")
			name, _, _ := strings.Cut(strings.TrimSuffix(rest, "\r\n"), " ")
			s.mu.Lock()
			s.runs = append(s.runs, executed{f[1], prepared[name]})
			s.mu.Unlock()
		}
		if _, err := upstream.Write([]byte(line)); err != nil {
			return
		}
	}
}

// shapes lets the sessions of two clients of one tenant prepare statements of their own.
func shapes(e *environment) (bool, error) {
	group, err := standin.NewGroup("first", 3, connections)
	if err != nil {
		return false, err
	}
	d := &deployment{store: standin.NewStore(), promotions: standin.NewPromotionServer(group), groups: []*standin.Group{group}}
	d.store.PutConfig(standin.Config{
		Version: 10, Group: group.Name, MaxConnections: connections,
		Workspaces: []standin.Workspace{{Name: "tenant0", Keys: []string{"key0", "key1"}, Rate: 1000, Burst: 1000}},
	})
	var spies []*shapeSpy
	for i, m := range group.Members() {
		s, err := newShapeSpy(m.Address())
		if err != nil {
			return false, err
		}
		spies = append(spies, s)
		entry := m.Entry("ready")
		entry["zone"], entry["address"] = fmt.Sprintf("z%d", i+1), s.listener.Addr().String()
		d.store.Put("servers", m.ID, entry)
	}
	instances, err := e.startInstances(d, 3)
	if err != nil {
		return false, err
	}
	if err := awaitServing(instances, standin.StrictDatabase, "key0"); err != nil {
		return false, err
	}
	second := shapeOther
	if e.trouble {
		second = shapeB
	}
	wanted := map[string]string{}
	for n := range 20 {
		for i, shape := range []string{shapeA, second} {
			c, err := dial(instances[0].address, standin.StrictDatabase, fmt.Sprintf("key%d", i))
			if err != nil {
				return false, err
			}
			id := fmt.Sprintf("client%d-%d", i, n)
			prepare := c.query(id+"-p", "PREPARE s1 READ "+shape)
			a := c.query(id, "EXEC s1 item")
			c.close()
			e.notef("%s to %s: PREPARE s1 READ %s: %s; EXEC s1 item: %s", id, instances[0].name, shape, prepare, a)
			if prepare.done() && a.done() {
				wanted[id] = shape
			}
		}
	}
	time.Sleep(200 * time.Millisecond)
	wrong := 0
	for _, s := range spies {
		s.mu.Lock()
		for _, x := range s.runs {
			if shape := wanted[x.id]; shape != "" && shape != x.shape {
				wrong++
				e.notef("BROKEN: %s ran the shape %s, and its client had prepared %s", x.id, x.shape, shape)
			}
		}
		s.mu.Unlock()
	}
	text := fmt.Sprintf("%d prepared statements run, %d with another shape", len(wanted), wrong)
	e.notef("%s", text)
	fmt.Println(text)
	return wrong > 0, nil
}
