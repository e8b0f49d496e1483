//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

func init() { cases["half-sent"] = halfSent }

const (
	// slowRate is what a link passes on that loses packets.
	slowRate = 100_000
	// slowLength is for how long the links are slow.
	slowLength = 5 * time.Second
	// itemBytes is the size of the data of a write. A message has 1 MiB at most.
	itemBytes  = 1_000_000
	writersPer = 4
	// routeTimeout is `timeoutMs` of the site's routes.
	routeTimeout = time.Second
)

// halfSent makes the links to the primary slow, while clients write items that take longer to
// pass than their route's timeout.
func halfSent(e *environment) (bool, error) {
	group, err := standin.NewGroup("first", 3, 33)
	if err != nil {
		return false, err
	}
	group.StatementTime, group.OpenTime, group.ApplyDelay = 8*time.Millisecond, 12*time.Millisecond, 60*time.Millisecond
	d := &deployment{store: standin.NewStore(), promotions: standin.NewPromotionServer(group), groups: []*standin.Group{group}}
	config := standin.Config{Version: 10, Group: group.Name, MaxConnections: 33, StatementTimeout: routeTimeout}
	for i := range tenants {
		config.Workspaces = append(config.Workspaces, standin.Workspace{Name: fmt.Sprintf("tenant%d", i), Keys: []string{fmt.Sprintf("key%d", i)}, Rate: 2000, Burst: 2000})
	}
	d.store.PutConfig(config)
	var links []*slowLink
	for i, m := range group.Members() {
		l, err := newSlowLink(m.Address())
		if err != nil {
			return false, err
		}
		links = append(links, l)
		entry := m.Entry("ready")
		entry["zone"], entry["address"] = fmt.Sprintf("z%d", i+1), l.address()
		d.store.Put("servers", m.ID, entry)
	}
	instances, err := e.startInstances(d, 3)
	if err != nil {
		return false, err
	}
	if err := awaitServing(instances, standin.StrictDatabase, "key0"); err != nil {
		return false, err
	}
	var mu sync.Mutex
	all := map[string]*sent{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, in := range instances {
		for i := range writersPer {
			clients.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					c, err := dial(in.address, standin.StrictDatabase, fmt.Sprintf("key%d", i))
					if err != nil {
						continue
					}
					s := &sent{id: fmt.Sprintf("%s-%d-%d", in.name, i, n), through: in.name, at: time.Now()}
					s.text = "WRITE item-" + s.id + " " + strings.Repeat("d", itemBytes)
					s.answer = c.query(s.id, s.text)
					c.close()
					mu.Lock()
					all["item-"+s.id] = s
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		e.notef("the links to the primary %s are slow: %d bytes a second on each connection", group.Primary().ID, slowRate)
		links[0].bytesPerSecond.Store(slowRate)
	}
	time.Sleep(slowLength)
	links[0].bytesPerSecond.Store(0)
	e.notef("the links are as before")
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	return judgeTexts(e, group, all), nil
}

// judgeTexts reports whether a member has run a statement whose text no client has sent.
func judgeTexts(e *environment, group *standin.Group, all map[string]*sent) bool {
	changed := 0
	for _, s := range all {
		e.noteAt(s.at, "%s to %s: WRITE item-%s of %d bytes: %s", s.id, s.through, s.id, itemBytes, s.answer)
	}
	for _, x := range group.ExecutedStatements() {
		_, rest, _ := strings.Cut(x.Text, " ")
		item, data, _ := strings.Cut(rest, " ")
		s := all[item]
		if s == nil || s.text == x.Text {
			continue
		}
		changed++
		e.noteAt(x.BeganAt, "BROKEN: %s runs the write of %s with changed data: %d bytes, which end in %q; its client got: %s", x.Member, item, len(data), data[max(0, len(data)-8):], s.answer)
	}
	committed := 0
	for c := range group.CountCommits() {
		if s := all[c.Item]; s != nil && !strings.HasSuffix(s.text, " "+c.Data) {
			committed++
			e.notef("the log of the primary has %s with %d bytes, which end in %q", c.Item, len(c.Data), c.Data[max(0, len(c.Data)-8):])
		}
	}
	text := fmt.Sprintf("%d writes sent, %d run with changed text, %d of them committed", len(all), changed, committed)
	e.notef("%s", text)
	fmt.Println(text)
	return changed > 0
}
