package main

import (
	"fmt"
	"strings"
	"time"
)

// playSmuggle sends writes whose last field, the data, holds a line feed or ends with a
// carriage return. A message ends with CR LF, so both are part of the data.
func playSmuggle(rec *record, trouble bool) error {
	d, err := newDeployment(rec, "huvo11a")
	if err != nil {
		return err
	}
	defer d.close()
	d.putConfig(route{host: "lepu270", kind: "primary", service: "huvo11a", timeoutMs: 1000, targetMs: 200})
	if err := d.startGates(6); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	sent, acknowledged := map[string]string{}, map[string]bool{}
	never := newID() // no client sends a statement with this id
	send := func(name, text string) error {
		s, err := openClient(rec, name, d.gates[0].front, "lepu270", tenantKey)
		if err != nil {
			return err
		}
		defer s.close()
		id := newID()
		sent[id] = text
		if s.query(id, text, 1500*time.Millisecond).ok() {
			acknowledged[id] = true
		}
		time.Sleep(300 * time.Millisecond)
		return nil
	}
	feed, end := "\n", "\r"
	if !trouble {
		feed, end = " ", "."
	}
	for _, c := range [][2]string{
		{"plain", "WRITE 1a3 armoire"},
		{"two lines", "WRITE 1a4 armoire, two doors" + feed + "the left one is scratched"},
		{"statement in the data", "WRITE 1a5 armoire, two doors" + feed + "QUERY " + never + " WRITE 1a6 smuggled"},
		{"carriage return", "WRITE 1a7 lamp" + end},
	} {
		if err := send(c[0], c[1]); err != nil {
			return err
		}
	}
	var faults []string
	seen := map[string]bool{}
	for _, e := range d.groups[0].executions() {
		seen[e.id] = true
		switch text, ok := sent[e.id]; {
		case !ok:
			faults = append(faults, fmt.Sprintf("a member ran id %q with text %q, which no client has sent as a request", e.id, e.text))
		case e.text != text:
			faults = append(faults, fmt.Sprintf("a member ran id %q with text %q, but the client had sent %q (acknowledged to it: %v)", e.id, e.text, text, acknowledged[e.id]))
		}
	}
	if len(faults) > 0 {
		return errBroken{strings.Join(faults, "; ")}
	}
	if !trouble && len(seen) != len(sent) {
		return fmt.Errorf("%d of %d statements were run", len(seen), len(sent))
	}
	return nil
}
