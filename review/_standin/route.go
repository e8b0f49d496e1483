package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// readYourWritesStaleness is the accepted staleness of baixa-oficina.
	readYourWritesStaleness = 2500
	// lagged is replica_lag's largest dose on armacao-sul, 60 times the usual 60 ms.
	lagged     = 3600 * time.Millisecond
	routeTries = 8
)

// playRoute removes a read_your_writes route and adds one with the same host for another service,
// and back, while sessions write.
func playRoute(rec *record, trouble bool) error {
	d, err := newDeployment(rec, "huvo11a", "kafi81c")
	if err != nil {
		return err
	}
	defer d.close()
	moving := func(service string) route {
		return route{host: "fiti832ti23", kind: "read_your_writes", service: service, timeoutMs: 1000, targetMs: 400, stalenessMs: readYourWritesStaleness}
	}
	fixed := route{host: "wuno3ab", kind: "read_your_writes", service: "huvo11a", timeoutMs: 1000, targetMs: 400, stalenessMs: readYourWritesStaleness}
	d.putConfig(moving("huvo11a"), fixed)
	if err := d.startGates(6); err != nil {
		return err
	}
	d.groups[0].setLag(lagged)
	rec.printf("the replicas of huvo11a fall %s behind", lagged)
	// Other sessions use the service all the time.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	for i := range 6 {
		wg.Go(func() {
			quiet := &record{f: rec.f, start: rec.start, off: true}
			s, err := openClient(quiet, "other", d.gates[i].front, fixed.host, tenantKey)
			if err != nil {
				return
			}
			defer s.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if a := s.query(newID(), "READ other", 2*time.Second); a.lost != nil {
					return
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	var faults []string
	missed := 0
	for try := range routeTries {
		fault, ran, err := routeTry(d, rec, d.gates[try%6], try, trouble, moving, fixed)
		switch {
		case err != nil:
			return err
		case !ran:
			missed++
		case fault != "":
			faults = append(faults, fault)
		}
		time.Sleep(4 * time.Second)
	}
	if len(faults) > 0 {
		return errBroken{fmt.Sprintf("%d of %d reads: %s", len(faults), routeTries-missed, strings.Join(faults, "; "))}
	}
	if missed > routeTries/2 {
		return fmt.Errorf("%d of %d tries did not come to their read", missed, routeTries)
	}
	return nil
}

// routeTry writes in a session, moves the route away and back, and reads in the session.
func routeTry(d *deployment, rec *record, g *gate, try int, trouble bool, moving func(string) route, fixed route) (fault string, ran bool, err error) {
	s, err := openClient(rec, fmt.Sprintf("own-%d", try), g.front, fixed.hostOf(moving), tenantKey)
	if err != nil {
		return "", false, err
	}
	defer s.close()
	item, data := fmt.Sprintf("1a%d", try), fmt.Sprintf("progress-%d", try)
	write := s.query(newID(), "WRITE "+item+" "+data, 2*time.Second)
	if !write.ok() {
		return "", false, nil
	}
	acknowledged := time.Now()
	if trouble {
		d.putConfig(moving("kafi81c"), fixed)
		time.Sleep(330 * time.Millisecond)
	}
	if a := s.query(newID(), "WRITE "+item+"-second second", 2*time.Second); !a.ok() {
		return "", false, nil
	}
	if trouble {
		d.putConfig(moving("huvo11a"), fixed)
		time.Sleep(330 * time.Millisecond)
	}
	id := newID()
	read := s.query(id, "READ "+item, 2*time.Second)
	if !read.ok() {
		return "", false, nil
	}
	for _, e := range d.groups[1].executions() {
		if e.id == id {
			return "", false, nil // the configuration was not yet in force
		}
	}
	if len(read.rows) != 1 || read.rows[0] != data {
		fault = fmt.Sprintf("session %s read %q of %s %.2f s after its own write of %q was acknowledged", s.name, read.rows, item, time.Since(acknowledged).Seconds(), data)
		rec.printf("%s", fault)
	}
	return fault, true, nil
}

func (r route) hostOf(moving func(string) route) string { return moving("").host }
