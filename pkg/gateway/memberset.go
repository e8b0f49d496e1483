package gateway

import (
	"slices"
	"strconv"
	"time"

	"github.com/mulberrysill/mulberrysill/core/membership"
	"github.com/mulberrysill/mulberrysill/core/placement"
)

const (
	// connsPerServingInstance is the number of connections to a member for which one
	// instance is chosen: enough for the connections of many workspaces to stay open.
	connsPerServingInstance = 30
	// minMemberSetSize lets a member stay in service when an instance fails.
	minMemberSetSize = 2
	// keptConnShare is the fraction of a member's connections that its serving set keeps open
	// while they are idle. After a loss of power the member holds the connections of the
	// instances that are gone for several seconds; opening one takes less time than a
	// statement, so that fewer idle ones cost callers little.
	keptConnShare = 0.5
	// reserveInstances is the number of instances outside the serving set that may share the
	// connections that the set leaves unused. They are needed while instances disagree on
	// which of them are healthy.
	reserveInstances = 4
	// reserveIdleTimeout is the time after which an instance outside the serving set closes
	// an unused connection.
	reserveIdleTimeout = 2 * time.Second
)

// memberSetSize returns the number of instances that serve a member.
func memberSetSize(maxConnections int) int {
	return max((sharedConnections(maxConnections)+connsPerServingInstance/2)/connsPerServingInstance, minMemberSetSize)
}

// sharedConnections returns the number of connections to a member that its serving set may
// hold. The rest is for the seconds after a loss of power, in which the member holds the
// connections of instances that are gone.
func sharedConnections(maxConnections int) int {
	return int(primaryConnShare * float64(maxConnections))
}

// memberConnLimit returns the maximum number of connections from this instance to a member
// that has a serving set of its own.
func (p *pool) memberConnLimit(m *poolMember) int {
	shared := sharedConnections(p.maxConnections)
	if m.served {
		return max(shared/max(p.memberSetSize, 1), minConnsPerMember)
	}
	return max((p.maxConnections-shared)/reserveInstances, 1)
}

// keptConns returns the number of connections to the member from which on this instance
// closes the least recently used idle one instead of keeping it.
func (p *pool) keptConns(m *poolMember) int {
	limit := p.connLimit(m)
	if p.scope != placement.ServingByMember || !m.served {
		return limit
	}
	return min(max(int(keptConnShare*float64(p.maxConnections))/max(p.memberSetSize, 1), minConnsPerMember), limit)
}

// closeSurplus closes the least recently used idle connection if the instance has more
// connections to the member than it keeps. The caller holds p.mu.
func (p *pool) closeSurplus(m *poolMember) {
	if m.open <= p.keptConns(m) {
		return
	}
	if c := p.surplusIdle(m, ""); c != nil {
		p.closeIdle(m, c)
	}
}

// memberSet returns the instances that serve a member. The caller must not modify it.
func (v *fleetView) memberSet(member, zone string, size int) []string {
	return v.cached(member+"\x00"+zone+"\x00"+strconv.Itoa(size)+"\x00members", func() []string {
		candidates := v.inZone(zone)
		if len(candidates) == 0 {
			candidates = v.instances
		}
		return chooseInstances("member/"+member, size, candidates)
	})
}

// memberOwner returns the instance of the member's serving set that runs the statements of
// the workspace, or "" if there is no instance.
func (v *fleetView) memberOwner(member, zone, workspace string, size int) string {
	owner := v.cached(member+"\x00"+zone+"\x00"+workspace+"\x00"+strconv.Itoa(size)+"\x00owner", func() []string {
		return chooseInstances(member+"/"+workspace, 1, v.only(v.memberSet(member, zone, size)))
	})
	if len(owner) == 0 {
		return ""
	}
	return owner[0]
}

// inZone returns the instances of an availability zone.
func (v *fleetView) inZone(zone string) []membership.Instance {
	var out []membership.Instance
	for _, i := range v.instances {
		if i.Zone == zone {
			out = append(out, i)
		}
	}
	return out
}

// only returns the instances with the IDs.
func (v *fleetView) only(ids []string) []membership.Instance {
	out := make([]membership.Instance, 0, len(ids))
	for _, i := range v.instances {
		if slices.Contains(ids, i.ID) {
			out = append(out, i)
		}
	}
	return out
}
