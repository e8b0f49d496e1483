package load

import (
	"context"
	"fmt"
	"time"
)

const (
	// statementTime is the time for which a statement of M4 occupies a slot.
	statementTime = 10 * time.Millisecond
	statementSQL  = "SELECT sleep_ms(10)"
	// zoneLoad is the part of all slots that M4 keeps busy.
	zoneLoad = 0.5
	// writeShare is the part of requests that insert a row. Inserts take a
	// negligible time of a slot.
	writeShare = 0.1
	// zoneClients is the number of connections per group and weight of a workspace;
	// they keep up with the rate at latencies of up to 0.37 s.
	zoneClients = 12
	// zonePhase is the length of the time before the zone leaves, while it is
	// away and after it has returned.
	zonePhase  = 4 * time.Second
	zoneTarget = 0.99
	zoneWindow = 100 * time.Millisecond
)

// measureZone measures M4.
func (r *run) measureZone(ctx context.Context) error {
	slots := groups * membersPerGroup * slotsPerMember
	total := zoneLoad * float64(slots) / statementTime.Seconds()
	var streams []stream
	shares := r.d.shares(total / groups)
	for _, w := range r.d.workspaces() {
		workspace, rate := w.Name, shares[w.Name]
		for i := range groups {
			name := groupName(i)
			streams = append(streams,
				stream{workspace: workspace, route: name + "-ro", sql: statementSQL, rate: rate, clients: zoneClients * int(w.Weight), retry: true},
				stream{workspace: workspace, route: name, sql: "INSERT INTO checkout VALUES (1)", rate: rate * writeShare, clients: instances, retry: true})
		}
	}
	l := startOpenLoop(ctx, r.stack, r.opts.Seed, streams)
	defer l.close()
	sleep(ctx, 2*time.Second) // connections and pools are warm
	// The second zone has members, a first primary and instances.
	zone := r.d.Zones[1]
	begin := time.Now()
	sleep(ctx, zonePhase)
	leaves := time.Now()
	if err := setZone(ctx, r.stack, zone, false); err != nil {
		return err
	}
	sleep(ctx, zonePhase)
	returns := time.Now()
	if err := setZone(ctx, r.stack, zone, true); err != nil {
		return err
	}
	sleep(ctx, zonePhase)
	end := time.Now()
	l.close()
	r.reportZone(l, zone, begin, leaves, returns, end)
	return nil
}

func (r *run) reportZone(l *openLoop, zone string, begin, leaves, returns, end time.Time) {
	before, during := between(l.all(), begin, leaves), between(l.all(), leaves, end)
	retried := countServed(between(l.repeated.all(), leaves, end))
	// Requests that found all clients busy were offered and not served.
	offered := len(during) + l.droppedTotal()
	got := countServed(during)
	r.logRefusals("m4", during)
	r.results.add(row{
		measure: "M4", what: "requests served while zone " + zone + " leaves and returns", target: "over 99%",
		measured: fmt.Sprintf("first attempt %s; with one retry %s; p99 %s; no client free for %d",
			percent(got, offered), percent(got+retried, offered), ms(percentile(latencies(during), 0.99)), l.droppedTotal()),
		baseline: fmt.Sprintf("before the fault %s, p99 %s", percent(countServed(before), len(before)), ms(percentile(latencies(before), 0.99))),
		met:      met(float64(got) > zoneTarget*float64(offered)),
	})
	p := plot{
		title: r.d.Title + ": requests served while an availability zone leaves and returns", unit: "requests per 100 ms",
		width:   zoneWindow,
		markers: []marker{{leaves.Sub(begin), zone + " out"}, {returns.Sub(begin), zone + " back"}},
	}
	var ends []time.Time
	for _, s := range l.all() {
		if s.outcome == served {
			ends = append(ends, s.end)
		}
	}
	for _, n := range countPerWindow(ends, begin, zoneWindow, int(end.Sub(begin)/zoneWindow)) {
		p.values = append(p.values, float64(n))
	}
	r.results.figures = append(r.results.figures, figure{"measures-" + r.d.Name + "-zone.svg", p})
}

// logRefusals logs how many requests were not served, by cause.
func (r *run) logRefusals(experiment string, samples []sample) {
	byMessage := map[string]int{}
	for _, s := range samples {
		if s.outcome != served {
			byMessage[s.message]++
		}
	}
	for message, n := range byMessage {
		r.opts.Log.WithField("experiment", experiment).WithField("count", n).Info("not served: " + message)
	}
}
