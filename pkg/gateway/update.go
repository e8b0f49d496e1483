package gateway

import (
	"slices"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/placement"
)

// servingSets says which instances serve a group or its members.
type servingSets struct {
	self  string
	scope placement.ServingScope
	// instances is the size of the group's serving set, and includesSelf is set if this
	// instance belongs to it. If each member has a set of its own, any instance may relay to
	// it and charge the workspace's limit.
	instances    int
	includesSelf bool
	// members holds the serving set of each member, of memberSetSize instances.
	members       map[string][]string
	memberSetSize int
}

// updateMembers applies the group's list of members: adds new ones, removes
// those that are gone, and records which must get no new work.
func (p *pool) updateMembers(members []Member, unlistedSince map[string]time.Time, isOutOfService func(zone string) bool, maxConnections int, serving servingSets) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.maxConnections != maxConnections || p.servingInstances != serving.instances || p.inServingSet != serving.includesSelf
	p.maxConnections, p.servingInstances, p.inServingSet = maxConnections, serving.instances, serving.includesSelf
	p.scope, p.memberSetSize = serving.scope, serving.memberSetSize
	isFirstStart := p.instances != nil && p.instances.isFirstStart()
	present := make(map[string]bool, len(members))
	for _, next := range members {
		present[next.ID] = true
		m := p.members[next.ID]
		if m == nil || !m.isSameProcess(next) {
			isNew := m == nil
			if !isNew {
				p.removeMember(m)
			}
			if p.fence.Successor() == next.ID {
				p.successorLog = group.Position{} // of the process before
			}
			m = &poolMember{Member: next, listedAt: now, sinceFirstStart: isNew && isFirstStart, idle: map[string][]*pooledConn{}, running: map[*pooledConn]struct{}{}}
			p.members[next.ID] = m
			changed = true
		}
		served := serving.scope == placement.ServingByMember && slices.Contains(serving.members[next.ID], serving.self)
		changed = changed || m.served != served
		m.served = served
		p.setPace(m)
		changed = m.updateEntry(next, unlistedSince[next.ID], isOutOfService(next.Zone), now) || changed
	}
	for id, m := range p.members {
		if !present[id] {
			p.removeMember(m)
			changed = true
		}
	}
	if changed {
		p.notifyMembersChanged()
		p.dispatch()
	}
}

// updateEntry updates the member's entry and reports whether its availability
// for new work changes.
func (m *poolMember) updateEntry(next Member, unlistedSince time.Time, zoneOutOfService bool, now time.Time) bool {
	wasOutOfService, wasUnlisted := !m.outOfServiceSince.IsZero(), !m.unlistedSince.IsZero()
	m.Member, m.unlistedSince = next, unlistedSince
	switch outOfService := next.Draining || zoneOutOfService; {
	case outOfService && !wasOutOfService:
		m.outOfServiceSince = now
	case !outOfService:
		m.outOfServiceSince = time.Time{}
	}
	return wasOutOfService != !m.outOfServiceSince.IsZero() || wasUnlisted != !m.unlistedSince.IsZero()
}

// removeMember removes a member and closes its idle connections. The caller
// holds p.mu.
func (p *pool) removeMember(m *poolMember) {
	for _, list := range m.idle {
		for _, c := range list {
			c.closed = true
			c.Close()
		}
	}
	m.own.closeWitness()
	m.own.closeControl()
	delete(p.members, m.ID)
	if len(m.running) > 0 {
		p.removed[m] = struct{}{}
	}
	if p.primary == m.ID {
		p.primary = ""
	}
}
