package main

import (
	"fmt"
	"time"
)

const (
	otherTenant, otherKey, movedKey = "bero411", "k2c9vq0zt6mxw1ydp7ra", "j8pjbvk9m68k7b2ex5wa"
	// revocation is revokeMs.
	revocation = 5 * time.Second
)

// playTenant moves a key from one tenant to another while a session with the key is inside a
// transaction.
func playTenant(rec *record, trouble bool) error {
	d, err := newDeployment(rec, "huvo11a")
	if err != nil {
		return err
	}
	defer d.close()
	before := []tenant{{tenantName, []string{tenantKey, movedKey}}, {otherTenant, []string{otherKey}}}
	after := []tenant{{tenantName, []string{tenantKey}}, {otherTenant, []string{otherKey, movedKey}}}
	d.tenants = before
	stock := route{host: "xapu221ny95", kind: "bounded_staleness", service: "huvo11a", timeoutMs: 2000, targetMs: 600, stalenessMs: 1500}
	d.putConfig(stock)
	if err := d.startGates(6); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	s, err := openClient(rec, "in-transaction", d.gates[0].front, stock.host, movedKey)
	if err != nil {
		return err
	}
	defer s.close()
	type request struct {
		id   string
		sent time.Time
	}
	var requests []request
	began := time.Now()
	var moved time.Time
	for i := range 12 {
		text := "READ 1a4"
		switch i {
		case 0:
			text = "BEGIN READ"
		case 11:
			text = "COMMIT"
		}
		r := request{newID(), time.Now()}
		requests = append(requests, r)
		if a := s.query(r.id, text, 3*time.Second); !a.ok() {
			if a.lost != nil || !trouble {
				return fmt.Errorf("statement %d of the transaction: %s", i, a)
			}
			break // the transaction was ended, as it may be
		}
		if i == 2 {
			if trouble {
				d.tenants = after
			}
			d.putConfig(stock)
			moved = time.Now()
		}
		time.Sleep(780 * time.Millisecond)
	}
	rec.printf("the transaction took %.1f s of the 10 s of its deadline", time.Since(began).Seconds())
	// A new session shows that the configuration is in force.
	fresh, err := openClient(rec, "new-session", d.gates[0].front, stock.host, movedKey)
	if err != nil {
		return err
	}
	defer fresh.close()
	freshID := newID()
	if a := fresh.query(freshID, "READ 1a4", 3*time.Second); !a.ok() {
		return fmt.Errorf("the new session: %s", a)
	}
	holder := tenantName
	if trouble {
		holder = otherTenant
	}
	ran := map[string]execution{}
	for _, e := range d.groups[0].executions() {
		ran[e.id] = e
	}
	if ran[freshID].tenant != holder {
		return fmt.Errorf("the new session ran for %q", ran[freshID].tenant)
	}
	wrong, last := 0, ""
	for _, r := range requests {
		if e, ok := ran[r.id]; ok && r.sent.Sub(moved) > revocation && e.tenant != holder {
			wrong++
			last = fmt.Sprintf("id %q, sent %.2f s after the acknowledgement, ran at %s as %q for tenant %s, though %s holds the key", e.id, r.sent.Sub(moved).Seconds(), e.member, e.text, e.tenant, holder)
			rec.printf("%s", last)
		}
	}
	if wrong > 0 {
		return errBroken{fmt.Sprintf("%d requests; the last: %s", wrong, last)}
	}
	return nil
}
