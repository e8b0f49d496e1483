package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/mulberrysill/mulberrysill/core/usage"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// gatherersPerZone is the number of instances of an availability zone that hold the counts
// of its instances.
const gatherersPerZone = 2

// errNoUsageReports refuses calls of an instance whose settings differ.
var errNoUsageReports = twirp.NewError(twirp.Unimplemented, "usage reports are off")

// usageGatherer holds the counts of the instances of a zone. It is safe for concurrent use.
type usageGatherer struct {
	mu       sync.Mutex
	gatherer *usage.Gatherer // guarded by mu
}

func newUsageGatherer() *usageGatherer { return &usageGatherer{gatherer: usage.NewGatherer()} }

func (u *usageGatherer) merge(source usage.Source, counts map[usage.Window]usage.Counts, through usage.Window) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gatherer.Merge(source, counts, through, bootTime())
}

func (u *usageGatherer) sum(window usage.Window) usage.Sum {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.gatherer.Sum(window)
}

// gatherers returns the IDs of the instances that hold the counts of the zone.
func (v *fleetView) gatherers(zone string) []string {
	ranking := v.collectorRanking(zone)
	return ranking[:min(len(ranking), gatherersPerZone)]
}

// RecordUsage merges the counts of an instance.
func (ps *peers) RecordUsage(_ context.Context, r *pb.RecordUsageRequest) (*pb.RecordUsageResponse, error) {
	counter, gatherer := ps.gw.usageCounter, ps.gw.usageGatherer
	if gatherer == nil {
		return nil, errNoUsageReports
	}
	now := counter.rawMicros()
	counts := make(map[usage.Window]usage.Counts, len(r.Windows))
	for _, w := range r.Windows {
		counts[usage.Window(w.Window)] = decodeUsageCounts(w.Counts)
	}
	through := usage.Window(r.Through)
	if r.ReceiverStarted != 0 && r.ReceiverStarted != ps.gw.started {
		through = usage.NoWindow // a former process of this instance has acknowledged the rest
	}
	gatherer.merge(usage.Source{Instance: r.Source, Started: r.Started}, counts, through)
	if r.RoundTripUs > 0 {
		counter.observeClock(r.Source, time.Duration(r.ClockUs+r.RoundTripUs-now)*time.Microsecond, time.Duration(r.RoundTripUs)*time.Microsecond)
	}
	return &pb.RecordUsageResponse{Started: ps.gw.started, ClockUs: now}, nil
}

// CollectUsage returns the sums of a window.
func (ps *peers) CollectUsage(_ context.Context, r *pb.CollectUsageRequest) (*pb.CollectUsageResponse, error) {
	if ps.gw.usageGatherer == nil {
		return nil, errNoUsageReports
	}
	sum := ps.gw.usageGatherer.sum(usage.Window(r.Window))
	out := &pb.CollectUsageResponse{Counts: encodeUsageCounts(sum.Counts), ClockUs: ps.gw.usageCounter.rawMicros()}
	for _, s := range sum.Sources {
		out.Sources = append(out.Sources, &pb.UsageSource{Id: s.Instance, Started: s.Started, Requests: s.Requests, Complete: s.Complete})
	}
	return out, nil
}

func encodeUsageCounts(counts usage.Counts) []*pb.UsageCount {
	out := make([]*pb.UsageCount, 0, len(counts))
	for _, workspace := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, &pb.UsageCount{Workspace: workspace, Count: counts[workspace]})
	}
	return out
}

func decodeUsageCounts(list []*pb.UsageCount) usage.Counts {
	counts := make(usage.Counts, len(list))
	for _, c := range list {
		counts[c.Workspace] = c.Count
	}
	return counts
}

func decodeUsageSum(r *pb.CollectUsageResponse) usage.Sum {
	sum := usage.Sum{Counts: decodeUsageCounts(r.Counts)}
	for _, s := range r.Sources {
		sum.Sources = append(sum.Sources, usage.SourceCount{
			Source: usage.Source{Instance: s.Id, Started: s.Started}, Requests: s.Requests, Complete: s.Complete,
		})
	}
	return sum
}

// usageSources returns the processes that count, this one included: those that are heard of,
// and silent ones that have neither left nor been forgotten.
func (ps *peers) usageSources() (live, silent []usage.Source) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := time.Now()
	live = []usage.Source{ps.gw.usageSource()}
	for _, p := range ps.byID {
		source := usage.Source{Instance: p.ID, Started: p.Started}
		switch {
		case p.alive(now):
			live = append(live, source)
		case !p.leaving:
			silent = append(silent, source)
		}
	}
	return live, silent
}

// collectUsage asks the gatherers of all zones for the sums of a window, and returns the
// answers by zone.
func (ps *peers) collectUsage(ctx context.Context, window usage.Window) map[string][]usage.Sum {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	view := ps.liveInstances()
	var mu sync.Mutex
	var calls sync.WaitGroup
	sums := map[string][]usage.Sum{}
	for _, zone := range view.zones() {
		for _, id := range view.gatherers(zone) {
			calls.Add(1)
			go func() {
				defer calls.Done()
				sum, err := ps.collectUsageFrom(ctx, id, window)
				if err != nil {
					ps.gw.log.WithFields(logrus.Fields{"event": "usage-gather", "gatherer": id, "window": window}).WithError(err).Debug("gatherer does not answer")
					return
				}
				mu.Lock()
				defer mu.Unlock()
				sums[zone] = append(sums[zone], sum)
			}()
		}
	}
	calls.Wait()
	return sums
}

// collectUsageFrom asks one gatherer.
func (ps *peers) collectUsageFrom(ctx context.Context, id string, window usage.Window) (usage.Sum, error) {
	if id == ps.gw.cfg.ID {
		return ps.gw.usageGatherer.sum(window), nil
	}
	client := ps.clientOf(id)
	if client == nil {
		return usage.Sum{}, errUnknownPeer
	}
	sent, asked := ps.gw.usageCounter.rawMicros(), bootTime()
	answer, err := client.CollectUsage(ctx, &pb.CollectUsageRequest{Window: int64(window)})
	if err != nil {
		return usage.Sum{}, err
	}
	ps.gw.usageCounter.observeClock(id, time.Duration(answer.ClockUs-sent)*time.Microsecond, bootTime()-asked)
	return decodeUsageSum(answer), nil
}

// errUnknownPeer means that a peer has just been forgotten.
var errUnknownPeer = errors.New("the peer is not known")
