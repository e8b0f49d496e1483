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

// rows returns the result rows of M1b.
func (f *failoverExperiment) rows() []resultRow {
	baselineFleet, baselineWorst := f.durations("none")
	baseline := fmt.Sprintf("no fault: worst instance %s, fleet %s (worst of %d)",
		ms(percentile(baselineWorst, 1)), ms(percentile(baselineFleet, 1)), len(baselineWorst))
	var rows []resultRow
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
		rows = append(rows, resultRow{
			measure: "M1b", description: k.what, target: "worst under " + ms(k.target), baseline: baseline,
			measured: fmt.Sprintf("worst instance: median %s, worst %s; fleet: median %s, worst %s (%d faults)",
				ms(percentile(worst, 0.5)), ms(percentile(worst, 1)), ms(percentile(fleet, 0.5)), ms(percentile(fleet, 1)), len(worst)),
			met: targetMet(percentile(worst, 1) < k.target),
		})
	}
	return rows
}

// durations returns the gaps of one kind, of the fleet and of the worst instance.
func (f *failoverExperiment) durations(kind string) (fleet, worst []time.Duration) {
	for _, g := range f.gaps {
		if g.kind == kind {
			fleet, worst = append(fleet, g.fleet), append(worst, g.worstInstance)
		}
	}
	return fleet, worst
}

// figures plots the primary change with the longest gap of each kind.
func (f *failoverExperiment) figures(d Deployment) []figure {
	const before, span, width = 500 * time.Millisecond, 3 * time.Second, 50 * time.Millisecond
	var list []figure
	for _, kind := range []string{"kill", "pause", "planned"} {
		var worst writeGap
		for _, g := range f.gaps {
			if g.kind == kind && g.worstInstance >= worst.worstInstance {
				worst = g
			}
		}
		if worst.kind == "" {
			continue
		}
		p := plot{
			title: fmt.Sprintf("%s: writes acknowledged on %s, worst %s", d.Title, worst.group, kindTitle(kind)),
			unit:  "writes per 50 ms, all instances", binWidth: width,
			markers: []marker{{before, kindMarker(kind)}},
		}
		for _, n := range countPerWindow(f.writesByGroup[worst.group].all(), worst.at.Add(-before), width, int(span/width)) {
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
