package load

import (
	"context"
	"fmt"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

const (
	// fairnessSQL occupies a slot of a member for fairnessStatementTime.
	fairnessSQL           = "SELECT sleep_ms(20)"
	fairnessStatementTime = 20 * time.Millisecond
	// fairnessLoad is the fraction of the replicas' slots that the fair shares of all
	// workspaces occupy. Replicas serve the routes for reads.
	fairnessLoad = 0.8
	// aggressorFactor is the ratio of the rate that the aggressor, one of the large
	// workspaces, offers to its fair share.
	aggressorFactor = 5
	// fairnessDuration is the length of the measured window.
	fairnessDuration = 6 * time.Second
	fairnessClients  = 18
	aggressorClients = 60
	goodputTarget    = 0.95
	// goodputMaxLatency is the latency up to which a response counts as goodput.
	goodputMaxLatency = time.Second
)

// fairnessResult is the result of one run of the fairness load.
type fairnessResult struct {
	// worstWorkspace has the lowest goodput; goodput is the ratio of its requests
	// served in time to its fair share, p99 the latency of these requests.
	worstWorkspace string
	goodput        float64
	p99            time.Duration
	// aggressorExcess is the number of requests by which the aggressor exceeded its
	// rate limit; not positive if it kept to the limit.
	aggressorExcess float64
}

// measureFairness measures M2, and the row of M3 on the aggressor's rate limit.
func (r *run) measureFairness(ctx context.Context) error {
	slots := groupCount * (membersPerGroup - 1) * slotsPerMember
	shares := r.deployment.sharesByWeight(fairnessLoad * float64(slots) / fairnessStatementTime.Seconds())
	// The headroom keeps the rate limits from refusing random peaks of workspaces
	// that offer exactly their fair share.
	if err := r.setRates(ctx, func(name string) float64 { return shares[name] * rateHeadroom }); err != nil {
		return err
	}
	limited, err := r.runFairness(ctx, shares, "")
	if err != nil {
		return err
	}
	if err := r.setRates(ctx, func(string) float64 { return unlimitedRate }); err != nil {
		return err
	}
	// Baseline: requests under a single workspace are served in order of arrival.
	fifo, err := r.runFairness(ctx, shares, r.deployment.Large[0])
	if err != nil {
		return err
	}
	r.results.add(resultRow{
		measure: "M2", description: "goodput of the worst-served workspace (" + limited.worstWorkspace + ")", target: "over 0.95 of its fair share",
		measured: fmt.Sprintf("%.3f, p99 %s", limited.goodput, ms(limited.p99)),
		baseline: fmt.Sprintf("%.3f, p99 %s (%s)", fifo.goodput, ms(fifo.p99), fifo.worstWorkspace),
		met:      targetMet(limited.goodput > goodputTarget),
	}, resultRow{
		measure: "M3", description: "requests above the ceiling of the workspace at 5 times its rate", target: "0",
		measured: fmt.Sprintf("%.0f", max(limited.aggressorExcess, 0)), baseline: "–", met: targetMet(limited.aggressorExcess <= 0),
	})
	return nil
}

// rateHeadroom is the ratio of a workspace's rate limit to its fair share in M2.
const rateHeadroom = 1.25

// setRates publishes the workspaces' rate limits in requests/s, with a burst of one
// second's requests.
func (r *run) setRates(ctx context.Context, rate func(name string) float64) error {
	return publishAndAwait(ctx, r.stack, func(s *bundle.Spec) {
		for i := range s.Workspaces {
			w := &s.Workspaces[i]
			w.Rate = rate(w.Name)
			w.Burst = w.Rate
		}
	})
}

// runFairness runs the fairness load once: each workspace offers its fair share, the
// aggressor a multiple of it. If sharedWorkspace is set, the requests of all
// workspaces are sent under that one.
func (r *run) runFairness(ctx context.Context, shares map[string]float64, sharedWorkspace string) (fairnessResult, error) {
	aggressor := r.deployment.Large[len(r.deployment.Large)-1]
	var streams []stream
	for _, w := range r.deployment.workspaces() {
		for i := range groupCount {
			st := stream{
				workspace: w.Name, reportedWorkspace: w.Name, route: groupName(i) + "-ro", sql: fairnessSQL,
				rate: shares[w.Name] / groupCount, clients: fairnessClients,
			}
			if w.Name == aggressor {
				st.rate, st.clients = st.rate*aggressorFactor, aggressorClients
			}
			if sharedWorkspace != "" {
				st.workspace = sharedWorkspace
			}
			streams = append(streams, st)
		}
	}
	l := startOpenLoop(ctx, r.stack, r.opts.Seed, streams)
	defer l.close()
	sleep(ctx, 2*time.Second)
	from := time.Now()
	sleep(ctx, fairnessDuration)
	to := time.Now()
	l.close()
	result := fairnessResult{goodput: 2} // above the lowest goodput that a run can have
	samples := dueBetween(l.all(), from, to)
	r.logFailures("m2", samples)
	for _, w := range r.deployment.workspaces() {
		var inTime []sample
		for _, s := range samples {
			if s.workspace == w.Name && s.end.Sub(s.due) <= goodputMaxLatency {
				inTime = append(inTime, s)
			}
		}
		if w.Name == aggressor {
			result.aggressorExcess = ceilingExcess(inTime, shares[w.Name]*rateHeadroom)
		}
		goodput := float64(countServed(inTime)) / (shares[w.Name] * to.Sub(from).Seconds())
		if goodput < result.goodput {
			result.worstWorkspace, result.goodput, result.p99 = w.Name, goodput, percentile(latencies(inTime), 0.99)
		}
	}
	return result, nil
}

// ceilingExcess returns the number of served requests above the rate limit, with a
// burst of one second's requests; it is not positive if there is no violation.
func ceilingExcess(samples []sample, rate float64) float64 {
	var list []requestInterval
	for _, s := range samples {
		if s.outcome == served {
			list = append(list, requestInterval{s.start, s.end})
		}
	}
	return maxExcess(list, rate, rate)
}
