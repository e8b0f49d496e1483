package load

import (
	"context"
	"fmt"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

const (
	// fairStatement occupies a slot for fairTime.
	fairStatement = "SELECT sleep_ms(20)"
	fairTime      = 20 * time.Millisecond
	// fairLoad is the part of the replicas' slots, which serve declared reads,
	// that the fair shares of all workspaces fill.
	fairLoad = 0.8
	// greedy is the factor at which one large workspace exceeds its share.
	greedy        = 5
	fairPhase     = 6 * time.Second
	fairClients   = 18
	greedyClients = 60
	goodputTarget = 0.95
	// goodputLatency is the time after which an answer does not count as goodput.
	goodputLatency = time.Second
)

// fairness is the service of one run.
type fairness struct {
	worst   string
	goodput float64
	p99     time.Duration
	// excess is by how much the greedy workspace exceeded its ceiling, in requests.
	excess float64
}

// measureFairness measures M2.
func (r *run) measureFairness(ctx context.Context) error {
	slots := groups * (membersPerGroup - 1) * slotsPerMember
	shares := r.d.shares(fairLoad * float64(slots) / fairTime.Seconds())
	// A quarter of headroom keeps the limits from cutting the random peaks of
	// workspaces that offer exactly their share.
	if err := r.setRates(ctx, func(name string) float64 { return shares[name] * rateHeadroom }); err != nil {
		return err
	}
	limited, err := r.runFairness(ctx, shares, "")
	if err != nil {
		return err
	}
	if err := r.setRates(ctx, func(string) float64 { return unlimited }); err != nil {
		return err
	}
	// Requests of one workspace are served in the order in which they came.
	fifo, err := r.runFairness(ctx, shares, r.d.Large[0])
	if err != nil {
		return err
	}
	r.results.add(row{
		measure: "M2", what: "goodput of the worst-served workspace (" + limited.worst + ")", target: "over 0.95 of its fair share",
		measured: fmt.Sprintf("%.3f, p99 %s", limited.goodput, ms(limited.p99)),
		baseline: fmt.Sprintf("%.3f, p99 %s (%s)", fifo.goodput, ms(fifo.p99), fifo.worst),
		met:      met(limited.goodput > goodputTarget),
	}, row{
		measure: "M3", what: "requests above the ceiling of the workspace at 5 times its rate", target: "0",
		measured: fmt.Sprintf("%.0f", max(limited.excess, 0)), baseline: "–", met: met(limited.excess <= 0),
	})
	return nil
}

// rateHeadroom is the ratio of a workspace's rate to its fair share in M2.
const rateHeadroom = 1.25

// setRates publishes rates in requests/s; the burst is that of one second.
func (r *run) setRates(ctx context.Context, rate func(name string) float64) error {
	return publish(ctx, r.stack, func(s *bundle.Spec) {
		for i := range s.Workspaces {
			w := &s.Workspaces[i]
			w.Rate = rate(w.Name)
			w.Burst = w.Rate
		}
	})
}

// runFairness offers the shares once. With account set, all requests come under
// that one workspace.
func (r *run) runFairness(ctx context.Context, shares map[string]float64, account string) (fairness, error) {
	aggressor := r.d.Large[len(r.d.Large)-1]
	var streams []stream
	for _, w := range r.d.workspaces() {
		for i := range groups {
			st := stream{
				workspace: w.Name, account: w.Name, route: groupName(i) + "-ro", sql: fairStatement,
				rate: shares[w.Name] / groups, clients: fairClients,
			}
			if w.Name == aggressor {
				st.rate, st.clients = st.rate*greedy, greedyClients
			}
			if account != "" {
				st.workspace = account
			}
			streams = append(streams, st)
		}
	}
	l := startOpenLoop(ctx, r.stack, r.opts.Seed, streams)
	defer l.close()
	sleep(ctx, 2*time.Second)
	from := time.Now()
	sleep(ctx, fairPhase)
	to := time.Now()
	l.close()
	result := fairness{goodput: 2}
	samples := between(l.all(), from, to)
	r.logRefusals("m2", samples)
	for _, w := range r.d.workspaces() {
		var own []sample
		for _, s := range samples {
			if s.workspace == w.Name && s.end.Sub(s.due) <= goodputLatency {
				own = append(own, s)
			}
		}
		if w.Name == aggressor {
			result.excess = ceilingExcess(own, shares[w.Name]*rateHeadroom)
		}
		goodput := float64(countServed(own)) / (shares[w.Name] * to.Sub(from).Seconds())
		if goodput < result.goodput {
			result.worst, result.goodput, result.p99 = w.Name, goodput, percentile(latencies(own), 0.99)
		}
	}
	return result, nil
}

// ceilingExcess returns by how many requests the served ones prove a violation
// of the ceiling; it is not positive without a violation.
func ceilingExcess(samples []sample, rate float64) float64 {
	var list []interval
	for _, s := range samples {
		if s.outcome == served {
			list = append(list, interval{s.start, s.end})
		}
	}
	return maxExcess(list, rate, rate)
}
