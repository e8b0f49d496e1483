package membership

import "time"

// ListingChange is one change of a list that is published by another system. An absent
// entry was removed or cannot be read.
type ListingChange[T any] struct {
	Key    string
	Value  T
	Absent bool
}

// Listing is a list that is published by another system, as known from complete copies
// and from changes. It keeps the last value of an entry that is no longer listed, because
// an entry may expire although what it describes is alive: the publisher may have been
// unable to renew it. It ignores entries that precede the known one, as a publisher lists
// them that was restored from a copy. Listing is not safe for concurrent use.
type Listing[T any] struct {
	entries       map[string]T
	unlistedSince map[string]time.Time
	isBefore      func(entry, known T) bool
}

// NewListing returns an empty listing. isBefore reports whether an entry precedes the known
// entry of the same key; nil means never.
func NewListing[T any](isBefore func(entry, known T) bool) *Listing[T] {
	return &Listing[T]{entries: map[string]T{}, unlistedSince: map[string]time.Time{}, isBefore: isBefore}
}

// Apply applies changes in their order: an entry that is removed and listed again in one
// batch, as after an outage in which all entries expired, is listed. If complete is set,
// the changes are the whole list, and all other entries are no longer listed.
func (l *Listing[T]) Apply(now time.Time, changes []ListingChange[T], complete bool) {
	listed := make(map[string]bool, len(changes))
	for i := range changes {
		c := &changes[i]
		if c.Absent {
			l.unlist(c.Key, now)
			continue
		}
		if known, ok := l.entries[c.Key]; ok && l.isBefore != nil && l.isBefore(c.Value, known) {
			listed[c.Key] = l.unlistedSince[c.Key].IsZero()
			continue
		}
		listed[c.Key] = true
		l.entries[c.Key] = c.Value
		delete(l.unlistedSince, c.Key)
	}
	if !complete {
		return
	}
	for key := range l.entries {
		if !listed[key] {
			l.unlist(key, now)
		}
	}
}

func (l *Listing[T]) unlist(key string, now time.Time) {
	if _, known := l.entries[key]; known && l.unlistedSince[key].IsZero() {
		l.unlistedSince[key] = now
	}
}

// Forget removes the entries that have not been listed for longer than ttl.
func (l *Listing[T]) Forget(now time.Time, ttl time.Duration) {
	for key, since := range l.unlistedSince {
		if now.Sub(since) > ttl {
			delete(l.entries, key)
			delete(l.unlistedSince, key)
		}
	}
}

// Entries returns the entries, including those that are no longer listed. The caller must
// not change the map.
func (l *Listing[T]) Entries() map[string]T { return l.entries }

// Listed returns the values of the entries that are listed, in no particular order.
func (l *Listing[T]) Listed() []T {
	out := make([]T, 0, len(l.entries))
	for key, value := range l.entries {
		if l.unlistedSince[key].IsZero() {
			out = append(out, value)
		}
	}
	return out
}

// UnlistedSince returns since when each entry that is no longer listed is missing. The
// caller must not change the map.
func (l *Listing[T]) UnlistedSince() map[string]time.Time { return l.unlistedSince }
