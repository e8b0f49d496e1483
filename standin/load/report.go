package load

import (
	"fmt"
	"time"
)

// Targets of M1b (docs/design.md, section 1).
const (
	unplannedTarget = 2 * time.Second
	plannedTarget   = 100 * time.Millisecond
)

// rows returns the lines of M1b.
func (f *failover) rows() []row {
	baselineFleet, baselineWorst := f.durations("none")
	baseline := fmt.Sprintf("no fault: worst instance %s, fleet %s (worst of %d)",
		ms(percentile(baselineWorst, 1)), ms(percentile(baselineFleet, 1)), len(baselineWorst))
	var rows []row
	for _, k := range []struct {
		kind, what string
		target     time.Duration
	}{
		{"kill", "write gap, primary killed", unplannedTarget},
		{"pause", "write gap, primary paused", unplannedTarget},
		{"planned", "write gap, zone of the primary taken out", plannedTarget},
	} {
		fleet, worst := f.durations(k.kind)
		if len(worst) == 0 {
			continue
		}
		rows = append(rows, row{
			measure: "M1b", what: k.what, target: "worst under " + ms(k.target), baseline: baseline,
			measured: fmt.Sprintf("worst instance: median %s, worst %s; fleet: median %s, worst %s (%d faults)",
				ms(percentile(worst, 0.5)), ms(percentile(worst, 1)), ms(percentile(fleet, 0.5)), ms(percentile(fleet, 1)), len(worst)),
			met: met(percentile(worst, 1) < k.target),
		})
	}
	return rows
}

func (f *failover) durations(kind string) (fleet, worst []time.Duration) {
	for _, g := range f.gaps {
		if g.kind == kind {
			fleet, worst = append(fleet, g.fleet), append(worst, g.worst)
		}
	}
	return fleet, worst
}

// figures plots the worst change of primary of each kind.
func (f *failover) figures(d Deployment) []figure {
	const before, span, width = 500 * time.Millisecond, 3 * time.Second, 50 * time.Millisecond
	var list []figure
	for _, kind := range []string{"kill", "pause", "planned"} {
		var worst gap
		for _, g := range f.gaps {
			if g.kind == kind && g.worst >= worst.worst {
				worst = g
			}
		}
		if worst.kind == "" {
			continue
		}
		p := plot{
			title: fmt.Sprintf("%s: writes acknowledged on %s, worst %s", d.Title, worst.group, kindTitle(kind)),
			unit:  "writes per 50 ms, all instances", width: width,
			markers: []marker{{before, kindMarker(kind)}},
		}
		for _, n := range countPerWindow(f.byGroup[worst.group].all(), worst.at.Add(-before), width, int(span/width)) {
			p.values = append(p.values, float64(n))
		}
		list = append(list, figure{"measures-" + d.Name + "-" + kind + ".svg", p})
	}
	return list
}

func kindTitle(kind string) string {
	return map[string]string{"kill": "kill of the primary", "pause": "pause of the primary", "planned": "planned switchover"}[kind]
}

func kindMarker(kind string) string {
	return map[string]string{"kill": "killed", "pause": "paused", "planned": "bundle published"}[kind]
}
