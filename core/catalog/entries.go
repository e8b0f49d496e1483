package catalog

import (
	"maps"

	"github.com/mulberrysill/mulberrysill/core/revision"
)

// Entries are the operators' entries in the store: the configuration, and the availability
// zones that are out of service. Entries are immutable.
type Entries struct {
	// Spec is the configuration; nil before the first one.
	Spec *Spec
	// ZonesOut holds the zones that the store says are out of service.
	ZonesOut map[string]bool
	// HeldZones holds further zones that were out of service before the store was
	// restored, and whose entries the operators may have to write again.
	HeldZones map[string]bool
	// Revision is the revision of the table at which the store had ZonesOut, and Spec
	// unless that comes from a former era.
	Revision revision.Revision
}

// IsOutOfService reports whether a zone is out of service.
func (e Entries) IsOutOfService(zone string) bool { return e.ZonesOut[zone] || e.HeldZones[zone] }

// Version returns the version of the configuration, or 0 before the first one.
func (e Entries) Version() uint64 {
	if e.Spec == nil {
		return 0
	}
	return e.Spec.Version
}

// IsBefore reports whether merging other may change e: other has a newer configuration or
// is of a later revision.
func (e Entries) IsBefore(version uint64, at revision.Revision) bool {
	return e.Version() < version || e.Revision < at
}

// Merge returns the entries to use once next has been read from the store or a peer while
// e is in use, and whether they differ from e. settled says that the store had next after
// its era had settled.
//
// The configuration never goes back: its version is the operators' own and orders
// configurations across restorations. Zones have no such version. Those of the later
// revision count, and until the store is read in a settled era also those that any earlier
// era had out of service: sending work to a zone that was taken out is worse than sparing one that has
// been put back.
func (e Entries) Merge(next Entries, settled bool) (Entries, bool) {
	merged := e
	if next.Spec != nil && (next.Version() > e.Version() || next.Version() == e.Version() && next.Revision > e.Revision) {
		merged.Spec = next.Spec
	}
	held := maps.Clone(e.HeldZones)
	hold := func(zones map[string]bool) {
		if held == nil {
			held = map[string]bool{}
		}
		maps.Copy(held, zones)
	}
	hold(next.HeldZones)
	switch {
	case next.Revision.Era() < e.Revision.Era():
		hold(next.ZonesOut)
	case next.Revision > e.Revision:
		if next.Revision.Era() > e.Revision.Era() {
			hold(e.ZonesOut)
		}
		merged.ZonesOut, merged.Revision = next.ZonesOut, next.Revision
	}
	for zone := range held {
		if settled || merged.ZonesOut[zone] {
			delete(held, zone)
		}
	}
	merged.HeldZones = held
	changed := merged.Spec != e.Spec || merged.Revision != e.Revision || !maps.Equal(merged.HeldZones, e.HeldZones)
	return merged, changed
}
