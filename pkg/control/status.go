package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/pkg/backend"
	adminpb "github.com/mulberrysill/mulberrysill/rpc/admin"
)

// memberReachable is the age of a member's last status up to which it counts as
// reachable; it covers four probes.
const memberReachable = 400 * time.Millisecond

// leavePoll is the period at which Leave looks for the end of the departure.
const leavePoll = 20 * time.Millisecond

// Backend returns the connections of a database group.
func (p *Plane) Backend(name string) (*backend.Group, bool) {
	g, ok := p.groups.all()[name]
	if !ok {
		return nil, false
	}
	return g.backend, true
}

// Leave hands the instance's share back. It fails if that takes longer than
// the context allows; the share is then taken back by another instance.
func (p *Plane) Leave(ctx context.Context) error {
	if err := p.ask(ctx, func(now time.Time) { p.leases.step(p.ctx, now, lease.Leave{}) }); err != nil {
		return err
	}
	for {
		left := false
		if err := p.ask(ctx, func(time.Time) { left = p.leases.core.Departed() }); err != nil || left {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(leavePoll):
		}
	}
}

// InstanceStatus returns the state of this instance.
func (p *Plane) InstanceStatus(ctx context.Context) (*adminpb.InstanceStatus, error) {
	s := &adminpb.InstanceStatus{Id: p.cfg.Self.ID, Zone: p.cfg.Self.Zone}
	if p.cfg.Clients != nil {
		s.Clients = uint32(p.cfg.Clients())
	}
	err := p.ask(ctx, func(now time.Time) {
		held := p.leases.core.Status()
		s.Epoch, s.Units = uint64(held.Epoch), held.Units
		if left := held.Deadline.Sub(now); left > 0 {
			s.LeaseRemainingMs = uint64(left.Milliseconds())
		}
		if b := p.rollout.core.Active(); b != nil {
			s.BundleVersion, s.BundleDigest = b.Spec.Version, b.Digest
		}
		s.Current, s.Leaving = p.rollout.core.Current(now), p.draining.Load()
		if !p.rollout.lastStore.IsZero() {
			s.StoreAgeMs = uint64(now.Sub(p.rollout.lastStore).Milliseconds())
		}
		for name, g := range p.groups.all() {
			s.Groups = append(s.Groups, g.status(name, now))
		}
	})
	return s, err
}

// status returns the group as this instance knows it, members by name.
func (g *groupState) status(name string, now time.Time) *adminpb.GroupStatus {
	members, held := g.backend.Stats()
	s := &adminpb.GroupStatus{Group: name, Primary: g.view.Primary, Term: g.view.Term, HeldWrites: uint64(held)}
	for _, member := range slices.Sorted(maps.Keys(members)) {
		m := members[member]
		s.Members = append(s.Members, &adminpb.MemberStatus{
			Member: member, Role: string(m.Status.Role), Applied: m.Status.Applied, Received: m.Status.Received,
			Reachable: now.Sub(m.AnsweredAt) < memberReachable, Connections: uint32(m.Open),
		})
	}
	return s
}

// FleetStatus returns what this instance knows of the rollout on all instances.
// A bundle is accepted when a majority of the live instances has it in force.
func (p *Plane) FleetStatus(ctx context.Context) (*adminpb.FleetStatusResponse, error) {
	s := &adminpb.FleetStatusResponse{}
	err := p.ask(ctx, func(now time.Time) {
		newest := p.rollout.core.Newest()
		s.HeadVersion, s.HeadDigest = newest.Version, newest.Digest
		self := &adminpb.InstanceTakeUp{Id: p.cfg.Self.ID, Zone: p.cfg.Self.Zone, Leaving: p.draining.Load()}
		if b := p.rollout.core.Active(); b != nil {
			self.BundleVersion, self.BundleDigest = b.Spec.Version, b.Digest
		}
		s.Instances = append(s.Instances, self)
		for id, v := range p.instances {
			s.Instances = append(s.Instances, &adminpb.InstanceTakeUp{
				Id: id, Zone: v.Zone, BundleVersion: v.bundle.Version, BundleDigest: v.bundle.Digest,
				HeardAgeMs: uint64(now.Sub(v.lastHeard).Milliseconds()), Leaving: v.leaving,
			})
		}
		s.Accepted = p.isAccepted(s)
	})
	return s, err
}

// isAccepted reports whether a majority of the instances that hold a lease
// record, or are known and alive, has the head's bundle in force.
func (p *Plane) isAccepted(s *adminpb.FleetStatusResponse) bool {
	members := map[string]bool{p.cfg.Self.ID: true}
	for id := range p.leases.holders {
		members[id] = true
	}
	inForce := 0
	for _, i := range s.Instances {
		if time.Duration(i.HeardAgeMs)*time.Millisecond < aliveWindow {
			members[i.Id] = true
		}
		if i.BundleDigest == s.HeadDigest && s.HeadVersion > 0 {
			inForce++
		}
	}
	return inForce >= len(members)/2+1
}

// SignedBundle returns the signed bundle in force, or nil.
func (p *Plane) SignedBundle(ctx context.Context) ([]byte, error) {
	var signed []byte
	err := p.ask(ctx, func(time.Time) { signed = p.rollout.signed })
	return signed, err
}
