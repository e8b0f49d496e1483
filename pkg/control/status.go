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

// reachableTimeout is the maximum age of a member's last status at which the member
// is reported as reachable. It spans four probes.
const reachableTimeout = 400 * time.Millisecond

// leavePollInterval is the period at which Leave checks whether the lease has been
// released.
const leavePollInterval = 20 * time.Millisecond

// Backend returns the connection pools of a database group.
func (p *Plane) Backend(name string) (*backend.Group, bool) {
	g, ok := p.groups.all()[name]
	if !ok {
		return nil, false
	}
	return g.backend, true
}

// Leave releases the instance's share of the limits and waits until that is done.
// It fails if the context ends first. Another instance then takes the share over
// after the lease has expired.
func (p *Plane) Leave(ctx context.Context) error {
	if err := p.runAndWait(ctx, func(now time.Time) { p.leases.step(p.ctx, now, lease.Leave{}) }); err != nil {
		return err
	}
	for {
		departed := false
		if err := p.runAndWait(ctx, func(time.Time) { departed = p.leases.core.Departed() }); err != nil || departed {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(leavePollInterval):
		}
	}
}

// InstanceStatus returns the state of this instance.
func (p *Plane) InstanceStatus(ctx context.Context) (*adminpb.InstanceStatus, error) {
	s := &adminpb.InstanceStatus{Id: p.cfg.Self.ID, Zone: p.cfg.Self.Zone}
	if p.cfg.CountClients != nil {
		s.Clients = uint32(p.cfg.CountClients())
	}
	err := p.runAndWait(ctx, func(now time.Time) {
		leaseStatus := p.leases.core.Status()
		s.Epoch, s.Units = uint64(leaseStatus.Epoch), leaseStatus.Units
		if remaining := leaseStatus.Deadline.Sub(now); remaining > 0 {
			s.LeaseRemainingMs = uint64(remaining.Milliseconds())
		}
		if b := p.rollout.core.Active(); b != nil {
			s.BundleVersion, s.BundleDigest = b.Spec.Version, b.Digest
		}
		s.Current, s.Leaving = p.rollout.core.Current(now), p.draining.Load()
		if !p.rollout.lastStoreRead.IsZero() {
			s.StoreAgeMs = uint64(now.Sub(p.rollout.lastStoreRead).Milliseconds())
		}
		for name, g := range p.groups.all() {
			s.Groups = append(s.Groups, g.status(name, now))
		}
	})
	return s, err
}

// status returns the state of the group on this instance, with the members sorted
// by name.
func (g *groupState) status(name string, now time.Time) *adminpb.GroupStatus {
	members, held := g.backend.Stats()
	s := &adminpb.GroupStatus{Group: name, Primary: g.view.Primary, Term: g.view.Term, HeldWrites: uint64(held)}
	for _, member := range slices.Sorted(maps.Keys(members)) {
		m := members[member]
		s.Members = append(s.Members, &adminpb.MemberStatus{
			Member: member, Role: string(m.Status.Role), Applied: m.Status.Applied, Received: m.Status.Received,
			Reachable: now.Sub(m.StatusReceivedAt) < reachableTimeout, Connections: uint32(m.Open),
		})
	}
	return s
}

// FleetStatus returns what this instance knows about the rollout on all instances.
// The newest bundle is accepted once it is active on a majority of them, see
// isAccepted.
func (p *Plane) FleetStatus(ctx context.Context) (*adminpb.FleetStatusResponse, error) {
	s := &adminpb.FleetStatusResponse{}
	err := p.runAndWait(ctx, func(now time.Time) {
		newest := p.rollout.core.Newest()
		s.HeadVersion, s.HeadDigest = newest.Version, newest.Digest
		self := &adminpb.InstanceTakeUp{Id: p.cfg.Self.ID, Zone: p.cfg.Self.Zone, Leaving: p.draining.Load()}
		if b := p.rollout.core.Active(); b != nil {
			self.BundleVersion, self.BundleDigest = b.Spec.Version, b.Digest
		}
		s.Instances = append(s.Instances, self)
		for id, v := range p.instances {
			s.Instances = append(s.Instances, &adminpb.InstanceTakeUp{
				Id: id, Zone: v.Zone, BundleVersion: v.bundleHead.Version, BundleDigest: v.bundleHead.Digest,
				HeardAgeMs: uint64(now.Sub(v.lastContact).Milliseconds()), Leaving: v.leaving,
			})
		}
		s.Accepted = p.isAccepted(s)
	})
	return s, err
}

// isAccepted reports whether the bundle of the head is active on a majority of the
// instances. Instances that have a lease record or are alive count.
func (p *Plane) isAccepted(s *adminpb.FleetStatusResponse) bool {
	members := map[string]bool{p.cfg.Self.ID: true}
	for id := range p.leases.unitsByHolder {
		members[id] = true
	}
	activeCount := 0
	for _, i := range s.Instances {
		if time.Duration(i.HeardAgeMs)*time.Millisecond < aliveTimeout {
			members[i.Id] = true
		}
		if i.BundleDigest == s.HeadDigest && s.HeadVersion > 0 {
			activeCount++
		}
	}
	return activeCount >= len(members)/2+1
}

// SignedBundle returns the signed active bundle, or nil if there is none.
func (p *Plane) SignedBundle(ctx context.Context) ([]byte, error) {
	var signed []byte
	err := p.runAndWait(ctx, func(time.Time) { signed = p.rollout.signed })
	return signed, err
}
