package load

import (
	"context"
	"fmt"
	"time"
)

const (
	// zoneStatementTime is the time for which zoneStatementSQL occupies a slot.
	zoneStatementTime = 10 * time.Millisecond
	zoneStatementSQL  = "SELECT sleep_ms(10)"
	// zoneLoad is the fraction of all slots that the load occupies.
	zoneLoad = 0.5
	// writeFraction is the ratio of inserts to reads. An insert occupies a slot for a
	// negligible time.
	writeFraction = 0.1
	// zoneClients is the number of connections per group and unit of a workspace's
	// weight; they sustain the rate at latencies of up to 0.37 s.
	zoneClients = 12
	// zonePhaseDuration is the length of each of the three phases: before the zone is
	// taken out of service, while it is out, and after its return.
	zonePhaseDuration = 4 * time.Second
	zoneTarget        = 0.99
	zoneBinWidth      = 100 * time.Millisecond
)

// measureZone measures M4: the fraction of requests served while an availability
// zone is taken out of service and put back.
func (r *run) measureZone(ctx context.Context) error {
	slots := groupCount * membersPerGroup * slotsPerMember
	total := zoneLoad * float64(slots) / zoneStatementTime.Seconds()
	var streams []stream
	shares := r.deployment.sharesByWeight(total / groupCount)
	for _, w := range r.deployment.workspaces() {
		workspace, rate := w.Name, shares[w.Name]
		for i := range groupCount {
			name := groupName(i)
			streams = append(streams,
				stream{workspace: workspace, route: name + "-ro", sql: zoneStatementSQL, rate: rate, clients: zoneClients * int(w.Weight), retry: true},
				stream{workspace: workspace, route: name, sql: "INSERT INTO checkout VALUES (1)", rate: rate * writeFraction, clients: instanceCount, retry: true})
		}
	}
	l := startOpenLoop(ctx, r.stack, r.opts.Seed, streams)
	defer l.close()
	sleep(ctx, 2*time.Second) // lets clients and pools open their connections
	// The second zone contains instances, members and an initial primary.
	zone := r.deployment.Zones[1]
	begin := time.Now()
	sleep(ctx, zonePhaseDuration)
	leaves := time.Now()
	if err := setZoneInService(ctx, r.stack, zone, false); err != nil {
		return err
	}
	sleep(ctx, zonePhaseDuration)
	returns := time.Now()
	if err := setZoneInService(ctx, r.stack, zone, true); err != nil {
		return err
	}
	sleep(ctx, zonePhaseDuration)
	end := time.Now()
	l.close()
	r.reportZone(l, zone, begin, leaves, returns, end)
	return nil
}

// reportZone adds the result row and the plot of M4.
func (r *run) reportZone(l *openLoop, zone string, begin, leaves, returns, end time.Time) {
	before, during := dueBetween(l.all(), begin, leaves), dueBetween(l.all(), leaves, end)
	retried := countServed(dueBetween(l.retries.all(), leaves, end))
	// Requests dropped because all clients were busy count as offered, not served.
	offered := len(during) + l.droppedTotal()
	servedFirst := countServed(during)
	r.logFailures("m4", during)
	r.results.add(resultRow{
		measure: "M4", description: "requests served while zone " + zone + " leaves and returns", target: "over 99%",
		measured: fmt.Sprintf("first attempt %s; with one retry %s; p99 %s; no client free for %d",
			formatPercent(servedFirst, offered), formatPercent(servedFirst+retried, offered), ms(percentile(latencies(during), 0.99)), l.droppedTotal()),
		baseline: fmt.Sprintf("before the fault %s, p99 %s", formatPercent(countServed(before), len(before)), ms(percentile(latencies(before), 0.99))),
		met:      targetMet(float64(servedFirst) > zoneTarget*float64(offered)),
	})
	p := plot{
		title: r.deployment.Title + ": requests served while an availability zone leaves and returns", unit: "requests per 100 ms",
		binWidth: zoneBinWidth,
		markers:  []marker{{leaves.Sub(begin), zone + " out"}, {returns.Sub(begin), zone + " back"}},
	}
	var ends []time.Time
	for _, s := range l.all() {
		if s.outcome == served {
			ends = append(ends, s.end)
		}
	}
	for _, n := range countPerWindow(ends, begin, zoneBinWidth, int(end.Sub(begin)/zoneBinWidth)) {
		p.values = append(p.values, float64(n))
	}
	r.results.figures = append(r.results.figures, figure{"measures-" + r.deployment.Name + "-zone.svg", p})
}

// logFailures logs the number of requests that were not served, by error text.
func (r *run) logFailures(experiment string, samples []sample) {
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
