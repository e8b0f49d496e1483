package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

// The kinds of faults of runs in which the groups' replicas change.
const (
	ReplicaJoins           Kind = "replica joins and leaves"
	OrdersLate             Kind = "promotions carried out late"
	ConnectionsFull        Kind = "connections of a member in use"
	MemberLinkPartlyFrozen Kind = "link to a member frozen for some"
	PrimaryLeaving         Kind = "primary leaving"
	ReplicaRestartsEmpty   Kind = "replica restarts without its log"
	ReplicaBehind          Kind = "replica behind"
)

const (
	// maxReplicaFaultInterval limits the time between the starts of two faults. A commit is
	// lost only if several of them overlap.
	maxReplicaFaultInterval = 1000 * time.Millisecond
	// maxListingDelay limits the time between the start of a replica and its entry.
	maxListingDelay = 4 * time.Second
	// replicationLag is the delay with which a commit reaches all but one of the replicas.
	replicationLag = 120 * time.Millisecond
	// promotionDelay is the time between an order and its effect.
	promotionDelay = 300 * time.Millisecond
	// frozenShare is the share of connections that a partly frozen link freezes.
	frozenShare = 0.6
	// connectionsLeft is the connection limit of a member whose connections are in use.
	connectionsLeft = 1
)

// changeKinds are the faults that change the replicas and the primary, and hindranceKinds those
// that hinder a change of primary. changeShare is the share of the former.
var (
	changeKinds    = []Kind{ReplicaJoins, ReplicaBehind, OrdersLate, PrimaryLeaving}
	hindranceKinds = []Kind{
		ReplicaRestartsEmpty, ConnectionsFull, MemberLinkPartlyFrozen,
		MemberKilled, MemberUnresponsive, MemberLinkFrozen, PeerLinkFrozen, InstancePaused,
	}
)

const changeShare = 0.75

// ReplicaKinds returns the kinds of faults that ReplicaChanges draws.
func ReplicaKinds() []Kind { return slices.Concat(changeKinds, hindranceKinds) }

// ReplicaChanges draws faults of replicas that come, go and fall behind, together with primaries
// that are replaced while they run or are cut off, and with late promotions. A replica loses its
// log only while no member is killed.
func ReplicaChanges(seed uint64, within time.Duration, instances int) []Fault {
	rng := rand.New(rand.NewPCG(seed, seed+2))
	var plan []Fault
	for at := time.Duration(0); at < within; at += upTo(rng, maxReplicaFaultInterval) {
		f := Fault{
			Kind: drawReplicaKind(rng), From: at,
			Until: at + minFaultDuration + upTo(rng, maxFaultDuration-minFaultDuration), ListingDelay: upTo(rng, maxListingDelay),
		}
		targets := memberCount
		if f.Kind == PeerLinkFrozen || f.Kind == InstancePaused {
			targets = instances
		}
		f.Target = rng.IntN(targets)
		if !overlapsOnResource(plan, f) {
			plan = append(plan, f)
		}
	}
	return plan
}

func drawReplicaKind(rng *rand.Rand) Kind {
	if rng.Float64() < changeShare {
		return changeKinds[rng.IntN(len(changeKinds))]
	}
	return hindranceKinds[rng.IntN(len(hindranceKinds))]
}

// startReplicaFault injects a fault of one of the ReplicaKinds.
func (r *run) startReplicaFault(f Fault, member *standin.Member) (end func() error, err error) {
	s := r.cluster
	switch f.Kind {
	case ReplicaJoins:
		joined, err := s.group.Join(s.settings.maxConnections)
		if err != nil {
			return nil, err
		}
		listing := time.AfterFunc(f.ListingDelay, func() { s.registerMember(joined, "ready") })
		return func() error {
			listing.Stop()
			if s.group.Leave(joined) {
				s.store.RemoveMember(joined.ID)
			}
			return nil
		}, nil
	case OrdersLate:
		s.promotions.LoseOrders(true)
		return func() error {
			s.promotions.LoseOrders(false)
			s.promotions.CarryOut(func(standin.LostOrder) bool { return true })
			return nil
		}, nil
	case ConnectionsFull:
		member.SetMaxConnections(connectionsLeft)
		return func() error { member.SetMaxConnections(s.settings.maxConnections); return nil }, nil
	case MemberLinkPartlyFrozen:
		link := s.links[f.Target]
		return func() error { link.Restore(); return nil }, link.FreezeShare(frozenShare)
	case PrimaryLeaving:
		leaving := s.group.Primary()
		s.registerMember(leaving, "draining")
		return func() error {
			if slices.Contains(s.group.Members(), leaving) {
				s.registerMember(leaving, "ready")
			}
			return nil
		}, nil
	case ReplicaBehind:
		member.SetReplicationStopped(true)
		return func() error { member.SetReplicationStopped(false); return nil }, nil
	default: // ReplicaRestartsEmpty
		if !s.group.KillReplica(member) {
			return func() error { return nil }, nil
		}
		return func() error { err := member.RestartEmpty(); s.registerMembers(); return err }, nil
	}
}

// groupOutcome is what the group has made of the commits.
type groupOutcome struct {
	// committed is how often the primary's log contains each commit.
	committed map[standin.Commit]int
	// discardedBy is the promotion of a member that lacked the commit.
	discardedBy map[standin.Commit]standin.Promotion
	promotions  int
}

func (o groupOutcome) summary() string {
	return fmt.Sprintf("%d promotions, which discarded %d commits", o.promotions, len(o.discardedBy))
}

// groupOutcome returns the present outcome, and adds the promotions to the timeline.
func (r *run) groupOutcome() groupOutcome {
	outcome := groupOutcome{committed: r.cluster.group.CountCommits(), discardedBy: map[standin.Commit]standin.Promotion{}}
	for _, p := range r.cluster.group.Promotions() {
		outcome.promotions++
		r.result.Timeline = append(r.result.Timeline, fmt.Sprintf("%6.2f s  %s promoted in place of %s, which had %d commits more",
			p.At.Sub(r.started).Seconds(), p.To, p.From, len(p.Discarded)))
		for _, c := range p.Discarded {
			outcome.discardedBy[c] = p
		}
	}
	return outcome
}
