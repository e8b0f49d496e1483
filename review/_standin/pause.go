package main

import (
	"fmt"
	"strings"
	"time"
)

// playPause replaces a primary that is leaving. One replica receives nothing for a while, and
// the other one is at its connection limit for a moment.
func playPause(rec *record, trouble bool) error {
	d, err := newDeployment(rec, "huvo11a")
	if err != nil {
		return err
	}
	defer d.close()
	g := d.groups[0]
	g.promoteTime = time.Second
	g.work = 6 * time.Millisecond
	checkout := route{host: "lepu270", kind: "primary", service: "huvo11a", timeoutMs: 1000, targetMs: 150}
	d.putConfig(checkout)
	if err := d.startGates(6); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	type commit struct{ item, data string }
	var acknowledged []commit
	write := func(i int) {
		s, err := openClient(rec, fmt.Sprintf("crew-%d", i), d.gates[i%6].front, checkout.host, tenantKey)
		if err != nil {
			return
		}
		defer s.close()
		c := commit{fmt.Sprintf("1a%d", i), fmt.Sprintf("checkout-%d", i)}
		if a := s.query(newID(), "WRITE "+c.item+" "+c.data, 1500*time.Millisecond); a.ok() {
			acknowledged = append(acknowledged, c)
		}
	}
	for i := range 6 {
		write(i)
		time.Sleep(100 * time.Millisecond)
	}
	former := g.primary
	if trouble {
		g.mu.Lock()
		g.members[1].deaf = true
		g.members[2].armed = true
		g.mu.Unlock()
		rec.printf("%s receives nothing from now on; %s reaches its connection limit for a moment", g.members[1].id, g.members[2].id)
	}
	time.Sleep(300 * time.Millisecond)
	g.mu.Lock()
	former.draining = true
	g.mu.Unlock()
	d.beat()
	rec.printf("%s reports that it is draining", former.id)
	time.Sleep(500 * time.Millisecond)
	for i := 6; i < 30; i++ {
		write(i)
		time.Sleep(150 * time.Millisecond)
	}
	g.mu.Lock()
	if trouble {
		g.members[1].deaf = false
		rec.printf("%s receives again", g.members[1].id)
	}
	if g.primary == former {
		g.mu.Unlock()
		return fmt.Errorf("no promotion took place")
	}
	kept := map[commit]bool{}
	for _, e := range g.log {
		for item, data := range e.writes {
			kept[commit{item, data}] = true
		}
	}
	leader := g.primary.id
	g.mu.Unlock()
	var lost []string
	for _, c := range acknowledged {
		if !kept[c] {
			lost = append(lost, c.item+" "+c.data)
		}
	}
	rec.printf("%d writes were acknowledged, %d of them are not in the log of %s", len(acknowledged), len(lost), leader)
	if len(lost) > 0 {
		return errBroken{fmt.Sprintf("%d acknowledged commits are not in the log of %s, which was promoted: %s", len(lost), leader, strings.Join(lost, ", "))}
	}
	return nil
}
