// Package soak runs mulberrygate processes between clients and stand-ins of the
// platform, injects random faults from outside, and checks the guarantees against
// what clients and members observe. The seed determines the faults of a run.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Faults of instances are signals to processes, faults of
// links are injected by the proxies between processes, all others by the
// stand-ins. Seeds select kinds by their position in the list of kinds.
const (
	InstanceKilled           Kind = "instance killed"
	InstancePaused           Kind = "instance paused"
	InstanceTerminated       Kind = "instance terminated"
	InstanceReloaded         Kind = "instance told to reload"
	MemberKilled             Kind = "member killed"
	MemberUnresponsive       Kind = "member silent"
	MemberReplicationStopped Kind = "member receives no commits"
	PrimaryResponsesDropped  Kind = "answers of the primary lost"
	MemberLinkSlow           Kind = "link to a member slow"
	MemberLinkFrozen         Kind = "link to a member frozen"
	MemberLinkOneWay         Kind = "link to a member open one way"
	MemberLinkReset          Kind = "link to a member reset"
	PeerLinkFrozen           Kind = "link to an instance frozen"
	PeerLinkOneWay           Kind = "link to an instance open one way"
	StoreLinkFrozen          Kind = "instance's link to the store frozen"
	StoreDown                Kind = "store down"
	StoreCompacted           Kind = "store forgets its history"
	StoreResponsesDropped    Kind = "answers of the store lost"
	MalformedRows            Kind = "garbage rows in the store"
	KeyRevoked               Kind = "key withdrawn"
	StoreRestored            Kind = "store restored from a copy"
	ConfigurationChanged     Kind = "configuration changed"
	MemberReplaced           Kind = "member replaced"
	PrimaryReplaced          Kind = "primary replaced"
)

var kinds = []Kind{
	InstanceKilled, InstancePaused, InstanceTerminated, InstanceReloaded,
	MemberKilled, MemberUnresponsive, MemberReplicationStopped, PrimaryResponsesDropped,
	MemberLinkSlow, MemberLinkFrozen, MemberLinkOneWay, MemberLinkReset,
	PeerLinkFrozen, PeerLinkOneWay, StoreLinkFrozen,
	StoreDown, StoreCompacted, StoreResponsesDropped, MalformedRows, KeyRevoked,
}

// Kinds returns all kinds of faults.
func Kinds() []Kind { return append(slices.Clone(kinds), StoreRestored) }

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	// Target is the index of the instance or member, depending on the kind.
	Target int
	// From and Until are relative to the start of the plan.
	From, Until time.Duration
	// ToUpstream is set if a one-way link blocks the direction to the upstream
	// server.
	ToUpstream bool
	// CopyAge is the age of the copy from which the store is restored, and RewriteDelay
	// the time until the operators and the members have written again what it lacks.
	CopyAge, RewriteDelay time.Duration
	// ListingDelay is the time between the start of a replica and its entry.
	ListingDelay time.Duration
}

func (f Fault) String() string {
	return fmt.Sprintf("%6.2f to %6.2f s  %s %d", f.From.Seconds(), f.Until.Seconds(), f.Kind, f.Target)
}

const (
	minFaultDuration, maxFaultDuration = 200 * time.Millisecond, 7 * time.Second
	// minRevocationDuration leaves time to detect a key that still works after the
	// revocation bound.
	minRevocationDuration = revocationBound + time.Second
	// maxFaultInterval limits the time between the starts of two faults. Shorter
	// faults follow one another and longer ones overlap.
	maxFaultInterval = 2 * time.Second
	// maxRestorationInterval limits the time between two restorations of the store, and
	// maxRestorationOutage the time for which it does not answer.
	maxRestorationInterval, maxRestorationOutage = 14 * time.Second, 4 * time.Second
	// maxCopyAge limits the age of a copy. Lost entries are written again within
	// maxRewriteDelay; members that reach the store do so within two seconds.
	maxCopyAge, maxRewriteDelay = 9 * time.Second, 2 * time.Second
)

// Plan draws faults that start within the given time. Members are killed one at a
// time: a commit needs the acknowledgement of only one replica, so that losing two
// members at once may lose acknowledged data by the rules of the platform.
func Plan(seed uint64, within time.Duration, instances int) []Fault {
	plan := planFaults(seed, within, instances)
	// Restorations have a generator of their own, so that the seeds draw the other
	// faults as they did before there were restorations.
	rng := rand.New(rand.NewPCG(seed, seed+1))
	for at := upTo(rng, maxRestorationInterval); at < within; at += upTo(rng, maxRestorationInterval) {
		f := Fault{
			Kind: StoreRestored, From: at, Until: at + upTo(rng, maxRestorationOutage),
			CopyAge: upTo(rng, maxCopyAge), RewriteDelay: upTo(rng, maxRewriteDelay),
		}
		if !overlapsOnResource(plan, f) {
			plan = append(plan, f)
		}
		at = f.Until + f.RewriteDelay
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.From, b.From) })
	return plan
}

// planFaults draws all faults but restorations of the store.
func planFaults(seed uint64, within time.Duration, instances int) []Fault {
	rng := rand.New(rand.NewPCG(seed, seed))
	var plan []Fault
	var membersUntil time.Duration
	for at := time.Duration(0); at < within; at += upTo(rng, maxFaultInterval) {
		f := Fault{
			Kind: kinds[rng.IntN(len(kinds))], From: at,
			Until: at + minFaultDuration + upTo(rng, maxFaultDuration-minFaultDuration), ToUpstream: rng.IntN(2) == 0,
		}
		f.Target = rng.IntN(instances)
		if f.targetsMember() {
			f.Target = rng.IntN(memberCount)
		}
		if f.Kind == MemberKilled {
			if f.From < membersUntil {
				continue
			}
			membersUntil = f.Until + memberRecoveryTime
		}
		if overlapsOnResource(plan, f) {
			continue
		}
		if f.Kind == KeyRevoked {
			f.Until += minRevocationDuration
			// During half of the revocations the store is down, so that no instance
			// can learn of them.
			outage := Fault{Kind: StoreDown, From: f.From, Until: f.Until}
			if rng.IntN(2) == 0 && !overlapsOnResource(plan, outage) {
				plan = append(plan, outage)
			}
		}
		plan = append(plan, f)
	}
	return plan
}

// upTo returns a random duration in [0, d).
func upTo(rng *rand.Rand, d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }

// memberRecoveryTime is the time for a primary change after a member has returned.
const memberRecoveryTime = 3 * time.Second

func (f Fault) targetsMember() bool {
	return slices.Contains([]Kind{MemberKilled, MemberUnresponsive, MemberReplicationStopped, MemberLinkSlow, MemberLinkFrozen, MemberLinkOneWay, MemberLinkReset}, f.Kind)
}

// resource names what the fault changes. Two faults of the same resource must not
// overlap, because the end of one would also end the other.
func (f Fault) resource() string {
	switch f.Kind {
	case InstanceKilled, InstancePaused, InstanceTerminated, InstanceReloaded:
		return fmt.Sprintf("instance %d", f.Target)
	case MemberLinkSlow, MemberLinkFrozen, MemberLinkOneWay, MemberLinkReset, MemberLinkPartlyFrozen:
		return fmt.Sprintf("link of member %d", f.Target)
	case PeerLinkFrozen, PeerLinkOneWay:
		return fmt.Sprintf("link of instance %d", f.Target)
	case MemberUnresponsive, StoreLinkFrozen, ReplicaBehind, ConnectionsFull:
		return fmt.Sprintf("%s %d", f.Kind, f.Target)
	case MemberReplaced, PrimaryReplaced:
		return string(MemberReplaced)
	case StoreRestored:
		return string(StoreDown)
	case ReplicaRestartsEmpty:
		return string(MemberKilled)
	default:
		return string(f.Kind)
	}
}

func overlapsOnResource(plan []Fault, f Fault) bool {
	return slices.ContainsFunc(plan, func(other Fault) bool {
		return other.resource() == f.resource() && f.From < other.Until && other.From < f.Until
	})
}
