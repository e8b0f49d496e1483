package gateway

import (
	"slices"
	"time"

	"github.com/mulberrysill/mulberrysill/core/promotion"
)

// maxClockError is how far the time of day of a member and of this instance may be apart. It
// is close to true time on all machines, but may jump by seconds.
const maxClockError = 10 * time.Second

// firstStartPeriod is the time after the first start of the whole system in which its members
// are listed. Clients have committed next to nothing before it ends.
const firstStartPeriod = 5 * time.Second

// isFirstStart reports whether the whole system has just started for the first time.
func (ps *peers) isFirstStart() bool {
	return ps.gw.cfg.FirstStart && bootTime()-ps.startedAt < firstStartPeriod
}

// memberFor returns how long the member's process is known to have run. An instance that has
// just started relies on the start time in the member's entry.
func (m *poolMember) memberFor(now time.Time) time.Duration {
	age := now.Sub(m.listedAt)
	if m.StartedMs > 0 {
		age = max(age, now.Sub(time.UnixMilli(m.StartedMs))-maxClockError)
	}
	if m.sinceFirstStart {
		age = max(age, promotion.SettledAfter) // nothing was acknowledged before
	}
	return age
}

// isSameProcess reports whether both entries are of one process of a member. A process that
// replaces another one under its ID has another start time or address.
func (m Member) isSameProcess(other Member) bool {
	return m.ID == other.ID && m.Address == other.Address && m.StartedMs == other.StartedMs
}

// hasNewMembers reports whether a process is listed that was not when the successor was
// confirmed. It may receive commits.
func (c *primaryChange) hasNewMembers() bool {
	members, _, _, _ := c.pool.snapshot()
	return slices.ContainsFunc(members, func(m poolMember) bool {
		return m.ID != c.primary && !slices.ContainsFunc(c.confirmedMembers, func(known poolMember) bool { return known.isSameProcess(m.Member) })
	})
}
