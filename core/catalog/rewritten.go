package catalog

import "github.com/mulberrysill/mulberrysill/core/revision"

// WriteLog tells whether the operators have written the configuration since the store was
// restored. Until they have, the store may show an older one than it has acknowledged. The
// zero value has seen no configuration. A WriteLog is not safe for concurrent use.
type WriteLog struct {
	// version is the highest version of a configuration, and at the revision of the entry
	// that was seen last.
	version uint64
	at      revision.Revision
	seen    bool
	// era is the era in which the configuration has been written; valid if written.
	era     uint64
	written bool
}

// Observe records an entry with a configuration, written at a version of the store that is
// valid in the era of at. listed says that the entry comes from a listing, which also shows
// entries of former eras.
func (l *WriteLog) Observe(version uint64, at revision.Revision, listed bool) {
	sinceListing := l.seen && at.Era() == l.at.Era() && at > l.at
	// A copy keeps the versions of its rows, and in the first era a configuration is
	// written once. Later, the copy may be of an era in which it had yet another version.
	movedByWrite := l.seen && l.at.Era() == 0 && at.Era() == 1 && version == l.version && at.Version() != l.at.Version()
	if version >= l.version && (!listed || sinceListing || movedByWrite) {
		l.era, l.written = at.Era(), true
	}
	l.version, l.at, l.seen = max(l.version, version), max(l.at, at), true
}

// WrittenIn reports whether the newest known configuration, or a newer one, was written in
// the era.
func (l *WriteLog) WrittenIn(era uint64) bool { return l.written && l.era == era }
