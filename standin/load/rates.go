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
	// totalRate is the sum of the workspaces' rate limits in M3, in requests/s.
	totalRate = 700
	// offeredFraction is the fraction of its rate limit that a workspace offers.
	offeredFraction = 0.8
	// demandMoveInterval is the interval at which the load of a workspace moves to the
	// next instance.
	demandMoveInterval = time.Second
	ratePhaseDuration  = 7 * time.Second
	rateClients        = 24
	// faultRefusalTarget is the fraction of requests within the rate limit that may be
	// refused during one fault.
	faultRefusalTarget = 0.001
)

// measureRates measures M3: how many requests are refused although their workspace
// is within its rate limit, without a fault, during an outage of the store and
// after the crash of an instance.
func (r *run) measureRates(ctx context.Context) error {
	rates := r.deployment.sharesByWeight(totalRate)
	if err := r.setRates(ctx, func(name string) float64 { return rates[name] }); err != nil {
		return err
	}
	begin := time.Now()
	var streams []stream
	for n, w := range r.deployment.workspaces() {
		streams = append(streams, stream{
			workspace: w.Name, route: groupName(n%groupCount) + "-ro", sql: "SELECT 1", rate: rates[w.Name] * offeredFraction,
			clients:    rateClients,
			instanceAt: func(due time.Time) int { return (n + int(due.Sub(begin)/demandMoveInterval)) % instanceCount },
		})
	}
	l := startOpenLoop(ctx, r.stack, r.opts.Seed, streams)
	defer l.close()
	sleep(ctx, 3*time.Second)
	phases := []time.Time{time.Now()}
	next := func() { sleep(ctx, ratePhaseDuration); phases = append(phases, time.Now()) }
	next()
	r.stack.Platform.SetOutage(platform.HangOutage)
	next()
	r.stack.Platform.SetOutage(platform.NoOutage)
	sleep(ctx, time.Second)
	phases = append(phases, time.Now())
	killed := r.stack.Instances[len(r.stack.Instances)-1]
	killed.Kill()
	next()
	l.close()
	all := l.all()
	r.addRateRow("steady, demand moves each second", dueBetween(all, phases[0], phases[1]), 0, 2)
	r.addRateRow("store out for 7 s", dueBetween(all, phases[1], phases[3]), faultRefusalTarget, -1)
	r.addRateRow("one instance killed", dueBetween(all, phases[3], phases[4]), faultRefusalTarget, 4)
	if n := l.droppedTotal(); n > 0 {
		last := &r.results.rows[len(r.results.rows)-1]
		last.measured += fmt.Sprintf("; not sent, since all clients were busy, in all phases %d", n)
	}
	return killed.Start()
}

// addRateRow adds the result of one phase. The baseline is the simulated scenario
// with the index; a negative index means none.
func (r *run) addRateRow(phaseName string, samples []sample, target float64, scenario int) {
	wrongful, other := 0, 0
	for _, s := range samples {
		switch {
		case s.code == codeRateLimitExceeded:
			wrongful++
			r.opts.Log.WithFields(logrus.Fields{
				"phase": phaseName, "workspace": s.workspace, "instance": s.instance, "after_ms": s.due.Sub(samples[0].due).Milliseconds(),
			}).Info("refused although within the rate")
		case s.outcome != served:
			other++
		}
	}
	r.logFailures("m3", samples)
	targetText := "0"
	if target > 0 {
		targetText = fmt.Sprintf("under %.1f%%", 100*target)
	}
	r.results.add(resultRow{
		measure: "M3", description: "refused although within the rate: " + phaseName, target: targetText,
		measured: fmt.Sprintf("%s; failed otherwise %d; p99 %s", formatPercent(wrongful, len(samples)), other, ms(percentile(latencies(samples), 0.99))),
		baseline: simulatedFixedShares(r.opts.Seed, scenario),
		met:      targetMet(float64(wrongful) <= target*float64(len(samples))),
	})
}

// simulatedFixedShares returns the fraction of requests that a fixed share per
// instance refuses wrongly in a simulated scenario.
func simulatedFixedShares(seed uint64, scenario int) string {
	if scenario < 0 {
		return "–"
	}
	p := experiment.Scenarios[scenario]
	result := experiment.Run(seed, p, experiment.Schemes[0])
	return fmt.Sprintf("simulated, %s, \"%s\": %s", result.Scheme, p.Name, formatPercent(result.WronglyRefused, result.WithinRate))
}
