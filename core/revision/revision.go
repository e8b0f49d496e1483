// Package revision orders what is read from a store that may be restored from a copy. A
// restoration takes back the last transactions, and the store gives their versions out
// again, so that versions can be compared only within one era: the time between two
// restorations.
package revision

// versionBits is the part of a Revision that holds the version within the era. At a
// million transactions a second it lasts nine years.
const versionBits = 48

// MaxEra is the highest era that a revision holds.
const MaxEra = 1<<(64-versionBits) - 1

// Revision is a version of the store within its era. Revisions of different eras are
// ordered by era. In the first era a revision equals its version.
type Revision uint64

// New returns the revision of a version. The eras are counted from 0.
func New(era, version uint64) Revision { return Revision(era<<versionBits | version) }

// Era returns the number of restorations before the revision.
func (r Revision) Era() uint64 { return uint64(r) >> versionBits }

// Version returns the version within the era.
func (r Revision) Version() uint64 { return uint64(r) & (1<<versionBits - 1) }
