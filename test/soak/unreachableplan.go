package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// unreachableRound is the time between two planned changes of primary. The former primary
	// is leaving, and the replicas that have joined stay, for leavingPeriod.
	unreachableRound, leavingPeriod = 8 * time.Second, 6 * time.Second
	// minUnreachablePeriod and maxUnreachablePeriod limit the time for which an instance does
	// not hear its peers, is paused or does not run.
	minUnreachablePeriod, maxUnreachablePeriod = time.Second, 5 * time.Second
	// maxFaultLead limits how long before the change the instance becomes unreachable, and the
	// replicas join.
	maxFaultLead = 500 * time.Millisecond
	// minUnlistedPeriod and maxUnlistedPeriod limit the time between the start of a replica and
	// its entry.
	minUnlistedPeriod, maxUnlistedPeriod = time.Second, 3 * time.Second
	// maxLateOrderPeriod limits how late orders are carried out.
	maxLateOrderPeriod = 7 * time.Second
	// lateOrderShare and secondInstanceShare are the shares of the rounds with late orders, and
	// with a second instance that is unreachable.
	lateOrderShare, secondInstanceShare = 0.3, 0.5
	// joinsPerRound is the number of replicas that join in a round.
	joinsPerRound = 2
)

var unreachableKinds = []Kind{PeerLinkFrozen, PeerLinkOneWay, InstancePaused, InstanceKilled}

// UnreachableInstances draws planned changes of primary, each while some instances cannot be
// fenced or start again, and while replicas have joined that are not listed yet.
func UnreachableInstances(seed uint64, within time.Duration, instances int) []Fault {
	rng := rand.New(rand.NewPCG(seed, seed+3))
	var plan []Fault
	add := func(f Fault) {
		if !overlapsOnResource(plan, f) || f.Kind == ReplicaJoins {
			plan = append(plan, f)
		}
	}
	for at := maxFaultLead; at < within; at += unreachableRound {
		change := at + upTo(rng, maxReplicaFaultInterval)
		count := 1
		if rng.Float64() < secondInstanceShare {
			count++
		}
		for range count {
			from := change - upTo(rng, maxFaultLead)
			add(Fault{
				Kind: unreachableKinds[rng.IntN(len(unreachableKinds))], Target: rng.IntN(instances), ToUpstream: rng.IntN(2) == 0,
				From: from, Until: from + minUnreachablePeriod + upTo(rng, maxUnreachablePeriod-minUnreachablePeriod),
			})
		}
		for range joinsPerRound {
			from := change - upTo(rng, maxFaultLead)
			add(Fault{Kind: ReplicaJoins, From: from, Until: from + leavingPeriod, ListingDelay: minUnlistedPeriod + upTo(rng, maxUnlistedPeriod-minUnlistedPeriod)})
		}
		if rng.Float64() < lateOrderShare {
			add(Fault{Kind: OrdersLate, From: change, Until: change + upTo(rng, maxLateOrderPeriod)})
		}
		add(Fault{Kind: PrimaryLeaving, From: change, Until: change + leavingPeriod})
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.From, b.From) })
	return plan
}
