package lease

import "time"

// holderEpoch identifies one lease of one instance.
type holderEpoch struct {
	id    string
	epoch Epoch
}

// witness holds the promises that this process has made to peers: not to grant
// the retirement of their epoch before the promise ends.
type witness struct {
	startedAt time.Time
	promises  map[holderEpoch]time.Time
	// retired holds the epochs that get no further promise. Entries are never
	// deleted: a holder that does not know of its retirement may request a promise
	// at any later time.
	retired map[holderEpoch]struct{}
}

func newWitness(now time.Time) *witness {
	return &witness{startedAt: now, promises: map[holderEpoch]time.Time{}, retired: map[holderEpoch]struct{}{}}
}

// quarantined reports whether promises made by an earlier process of this
// instance may still be valid; this process has no record of them.
func (w *witness) quarantined(now time.Time) bool {
	return now.Sub(w.startedAt) < plusDrift(TTL)
}

// promise makes a promise to the epoch and returns its length, or 0 for a
// refusal.
func (w *witness) promise(now time.Time, id string, e Epoch) time.Duration {
	key := holderEpoch{id, e}
	if _, isRetired := w.retired[key]; isRetired || w.quarantined(now) {
		return 0
	}
	w.promises[key] = now.Add(TTL)
	return TTL
}

// retire grants the retirement of an epoch if no promise to it is valid, and
// otherwise returns the remaining time of the promise. A grant is final.
func (w *witness) retire(now time.Time, id string, e Epoch) (granted bool, remaining time.Duration) {
	key := holderEpoch{id, e}
	switch until := w.promises[key]; {
	case w.quarantined(now):
		return false, plusDrift(TTL) - now.Sub(w.startedAt)
	case now.Before(until):
		return false, until.Sub(now)
	default:
		w.retired[key] = struct{}{}
		return true, 0
	}
}

func (w *witness) pruneExpired(now time.Time) {
	for key, until := range w.promises {
		if !now.Before(until) {
			delete(w.promises, key)
		}
	}
}
