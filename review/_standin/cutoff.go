package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	deafFor = 6500 * time.Millisecond
	// crashAfter is the time from the moment at which one replica ceases to receive to the
	// crash of the other one.
	crashAfter = 400 * time.Millisecond
)

// playCutOff lets one replica receive nothing for 6.5 s and crashes the other one. The primary
// runs and answers all the time.
func playCutOff(rec *record, trouble bool) error {
	d, err := newDeployment(rec, "huvo11a")
	if err != nil {
		return err
	}
	defer d.close()
	g := d.groups[0]
	g.promoteTime = 300 * time.Millisecond
	order := route{host: "lepu270", kind: "primary", service: "huvo11a", timeoutMs: 1000, targetMs: 200}
	d.putConfig(order)
	if err := d.startGates(6); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	acknowledged := map[string]string{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	// The clients of three zones place orders.
	for n, gate := range d.gates[:3] {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(90 * time.Millisecond):
				}
				s, err := openClient(rec, fmt.Sprintf("shop-%d", n), gate.front, order.host, tenantKey)
				if err != nil {
					continue
				}
				item, data := fmt.Sprintf("%d.%d", n, i), fmt.Sprintf("order-%d", i)
				if a := s.query(newID(), "WRITE "+item+" "+data, 1500*time.Millisecond); a.ok() {
					mu.Lock()
					acknowledged[item] = data
					mu.Unlock()
				}
				s.close()
			}
		})
	}
	time.Sleep(2 * time.Second)
	former, deaf, lost := g.members[0], g.members[1], g.members[2]
	if trouble {
		// The crash comes shortly before the member's next heartbeat.
		d.beatMu.Lock()
		next := lost.lastBeat.Add(2*heartbeat - 100*time.Millisecond)
		d.beatMu.Unlock()
		time.Sleep(time.Until(next.Add(-crashAfter)))
		g.mu.Lock()
		deaf.deaf = true
		rec.printf("%s receives nothing for %s", deaf.id, deafFor)
		g.mu.Unlock()
		time.Sleep(crashAfter)
		rec.printf("%s crashes", lost.id)
		lost.crash()
		time.Sleep(deafFor - crashAfter)
		g.mu.Lock()
		deaf.deaf = false
		rec.printf("%s receives again", deaf.id)
		g.mu.Unlock()
		time.Sleep(2 * time.Second)
	} else {
		time.Sleep(deafFor + 2*time.Second)
	}
	close(stop)
	wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := map[string]string{}
	for _, e := range g.log {
		for item, data := range e.writes {
			kept[item] = data
		}
	}
	var missing []string
	for item, data := range acknowledged {
		if kept[item] != data {
			missing = append(missing, item+" "+data)
		}
	}
	rec.printf("%d writes were acknowledged, %d of them are not in the log of %s, which leads (the first primary was %s, which ran all the time)",
		len(acknowledged), len(missing), g.primary.id, former.id)
	if len(missing) > 0 {
		return errBroken{fmt.Sprintf("%d acknowledged commits are not in the log of %s, which was promoted: %s", len(missing), g.primary.id, strings.Join(missing, ", "))}
	}
	return nil
}
