package load

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/limits/experiment"
	"github.com/mulberrysill/mulberrysill/standin/platform"
)

const (
	// totalRate is the sum of all workspaces' rates in M3, in requests/s.
	totalRate = 700
	// withinLoad is the part of its rate that a workspace offers.
	withinLoad = 0.8
	// moveInterval is the time after which a workspace's demand moves to another
	// instance.
	moveInterval = time.Second
	ratePhase    = 7 * time.Second
	rateClients  = 24
	// faultTarget is the part of requests that may be refused during one fault.
	faultTarget = 0.001
)

// measureRates measures M3.
func (r *run) measureRates(ctx context.Context) error {
	rates := r.d.shares(totalRate)
	if err := r.setRates(ctx, func(name string) float64 { return rates[name] }); err != nil {
		return err
	}
	begin := time.Now()
	var streams []stream
	for n, w := range r.d.workspaces() {
		streams = append(streams, stream{
			workspace: w.Name, route: groupName(n%groups) + "-ro", sql: "SELECT 1", rate: rates[w.Name] * withinLoad,
			clients: rateClients,
			target:  func(due time.Time) int { return (n + int(due.Sub(begin)/moveInterval)) % instances },
		})
	}
	l := startOpenLoop(ctx, r.stack, r.opts.Seed, streams)
	defer l.close()
	sleep(ctx, 3*time.Second)
	phases := []time.Time{time.Now()}
	next := func() { sleep(ctx, ratePhase); phases = append(phases, time.Now()) }
	next()
	r.stack.Platform.SetOutage(platform.HangOutage)
	next()
	r.stack.Platform.SetOutage(platform.NoOutage)
	sleep(ctx, time.Second)
	phases = append(phases, time.Now())
	killed := r.stack.Entries[len(r.stack.Entries)-1]
	killed.Kill()
	next()
	l.close()
	all := l.all()
	r.rateRow("steady, demand moves each second", between(all, phases[0], phases[1]), 0, 2)
	r.rateRow("store out for 7 s", between(all, phases[1], phases[3]), faultTarget, -1)
	r.rateRow("one instance killed", between(all, phases[3], phases[4]), faultTarget, 4)
	if n := l.droppedTotal(); n > 0 {
		last := &r.results.rows[len(r.results.rows)-1]
		last.measured += fmt.Sprintf("; not sent, since all clients were busy, in all phases %d", n)
	}
	return killed.Start()
}

// rateRow adds the line of one phase. The baseline is the simulated pattern of
// the experiment with the index, if there is one.
func (r *run) rateRow(what string, samples []sample, target float64, pattern int) {
	wrongful, other := 0, 0
	for _, s := range samples {
		switch {
		case s.code == codeOverRate:
			wrongful++
			r.opts.Log.WithFields(logrus.Fields{
				"phase": what, "workspace": s.workspace, "instance": s.instance, "after_ms": s.due.Sub(samples[0].due).Milliseconds(),
			}).Info("refused although within the rate")
		case s.outcome != served:
			other++
		}
	}
	r.logRefusals("m3", samples)
	text := "0"
	if target > 0 {
		text = fmt.Sprintf("under %.1f%%", 100*target)
	}
	r.results.add(row{
		measure: "M3", what: "refused although within the rate: " + what, target: text,
		measured: fmt.Sprintf("%s; failed otherwise %d; p99 %s", percent(wrongful, len(samples)), other, ms(percentile(latencies(samples), 0.99))),
		baseline: fixedShares(r.opts.Seed, pattern),
		met:      met(float64(wrongful) <= target*float64(len(samples))),
	})
}

// fixedShares returns the simulated figure of fixed shares.
func fixedShares(seed uint64, pattern int) string {
	if pattern < 0 {
		return "–"
	}
	p := experiment.Scenarios[pattern]
	result := experiment.Run(seed, p, experiment.Schemes[0])
	return fmt.Sprintf("simulated, %s, \"%s\": %s", result.Scheme, p.Name, percent(result.WronglyRefused, result.WithinRate))
}
