package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// outcome is a request of a client, as the client saw it.
type outcome struct {
	session, id   string
	term, opBegan time.Time
	sent, ended   time.Time
	lost          error
}

const (
	grace           = 6 * time.Second
	drainTimeout    = 2 * time.Second  // timeoutMs of the route
	drainDeadline   = 10 * time.Second // deadline of consulta-estoque
	readsPerSession = 10               // with BEGIN and COMMIT 12 statements
	minPause        = 260 * time.Millisecond
	maxPause        = 400 * time.Millisecond
	drainSessions   = 42
	// drainGates daemons are stopped and started in turn, one each drainGap.
	drainGates       = 3
	drainGap         = 2 * time.Second
	beginAfter       = 1700 * time.Millisecond
	beginWithin      = 500 * time.Millisecond
	memberWorkMillis = 40
)

// playDrain stops three entry daemons in turn with SIGTERM. Up to 2.2 s after it, sessions that are
// open begin read transactions with pauses, which the daemon accepts.
func playDrain(rec *record, trouble bool) error {
	d, err := newDeployment(rec, "huvo11a", "kafi81c", "wuno96b")
	if err != nil {
		return err
	}
	defer d.close()
	var routes []route
	for i, g := range d.groups {
		g.work = memberWorkMillis * time.Millisecond
		routes = append(routes, route{
			host: fmt.Sprintf("xapu221ny%d", i), kind: "bounded_staleness", service: g.name,
			timeoutMs: int(drainTimeout.Milliseconds()), targetMs: 600, stalenessMs: 1500,
		})
	}
	d.putConfig(routes...)
	if err := d.startGates(6); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var all []outcome
	var wg sync.WaitGroup
	errs := make([]error, drainGates)
	for n, g := range d.gates[:drainGates] {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * drainGap)
			outcomes, err := drainGate(d, g, routes, trouble)
			mu.Lock()
			defer mu.Unlock()
			all, errs[n] = append(all, outcomes...), err
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	ran := map[string]execution{}
	for _, g := range d.groups {
		for _, e := range g.executions() {
			ran[e.id] = e
		}
	}
	cut, answered := 0, 0
	for _, o := range all {
		if o.lost == nil {
			answered++
			continue
		}
		e, passedOn := ran[o.id]
		since := o.sent.Sub(o.term)
		rec.printf("session %s, id %q: sent %.3f s after SIGTERM, connection ended without an answer after %.0f ms (%v), passed on to a member: %v",
			o.session, o.id, since.Seconds(), o.ended.Sub(o.sent).Seconds()*1000, o.lost, passedOn)
		switch {
		case errors.Is(o.lost, os.ErrDeadlineExceeded):
		case !passedOn || since < 0 || since > grace+time.Second:
		case o.ended.Sub(o.sent) >= drainTimeout || o.ended.Sub(o.opBegan) >= drainDeadline:
		case since <= 3*time.Second:
			// The rule excuses these if the member was still at work in the last sixth of graceS.
		default:
			cut++
			rec.printf("id %q was run by %s as %q", o.id, e.member, e.text)
		}
	}
	rec.printf("%d requests were answered, %d were passed on to a member and cut", answered, cut)
	if cut > 0 {
		return errBroken{fmt.Sprintf("%d requests that had been passed on to a member got no answer as the process ended after SIGTERM", cut)}
	}
	return nil
}

// drainGate stops one daemon, plays its sessions, and starts it again.
func drainGate(d *deployment, g *gate, routes []route, trouble bool) ([]outcome, error) {
	var sessions []*client
	for i := range drainSessions {
		s, err := openClient(d.rec, fmt.Sprintf("%s/s%d", g.id, i), g.front, routes[i%len(routes)].host, tenantKey)
		if err != nil {
			return nil, err
		}
		defer s.close()
		sessions = append(sessions, s)
	}
	var mu sync.Mutex
	var all []outcome
	term := time.Now()
	if trouble {
		d.signal(g, syscall.SIGTERM)
	}
	var wg sync.WaitGroup
	for i, s := range sessions {
		wg.Go(func() {
			time.Sleep(beginAfter + beginWithin*time.Duration(i)/drainSessions)
			began := time.Now()
			texts := []string{"BEGIN READ"}
			for range readsPerSession {
				texts = append(texts, fmt.Sprintf("READ 1a%d", i))
			}
			for _, text := range append(texts, "COMMIT") {
				o := outcome{session: s.name, id: newID(), term: term, opBegan: began, sent: time.Now()}
				a := s.query(o.id, text, drainTimeout+time.Second)
				o.ended, o.lost = time.Now(), a.lost
				mu.Lock()
				all = append(all, o)
				mu.Unlock()
				if !a.ok() {
					return
				}
				if text != "BEGIN READ" {
					time.Sleep(minPause + rand.N(maxPause-minPause))
				}
			}
		})
	}
	wg.Wait()
	if trouble {
		<-g.exited
		return all, d.startGate(g)
	}
	return all, nil
}
