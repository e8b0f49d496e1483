package lease

import "time"

type epochOf struct {
	id    string
	epoch Epoch
}

// witness keeps the promises that this process made to fellow instances.
type witness struct {
	started  time.Time
	promises map[epochOf]time.Time
	// retired holds the epochs that get no further promise. An entry stays for
	// the life of the process: a holder that has not heard of its retirement may
	// ask at any later time.
	retired map[epochOf]struct{}
}

func newWitness(now time.Time) *witness {
	return &witness{started: now, promises: map[epochOf]time.Time{}, retired: map[epochOf]struct{}{}}
}

// quarantined reports whether promises of an earlier process of this instance
// may still run; this process does not know of them.
func (w *witness) quarantined(now time.Time) bool {
	return now.Sub(w.started) < lengthen(Length)
}

// promise returns the length of the promise, or 0 for a refusal.
func (w *witness) promise(now time.Time, id string, e Epoch) time.Duration {
	key := epochOf{id, e}
	if _, gone := w.retired[key]; gone || w.quarantined(now) {
		return 0
	}
	w.promises[key] = now.Add(Length)
	return Length
}

// retire grants the retirement of an epoch once no promise to it runs, and
// otherwise returns the time left. A grant is final.
func (w *witness) retire(now time.Time, id string, e Epoch) (granted bool, left time.Duration) {
	key := epochOf{id, e}
	switch until := w.promises[key]; {
	case w.quarantined(now):
		return false, lengthen(Length) - now.Sub(w.started)
	case now.Before(until):
		return false, until.Sub(now)
	default:
		w.retired[key] = struct{}{}
		return true, 0
	}
}

func (w *witness) prune(now time.Time) {
	for key, until := range w.promises {
		if !now.Before(until) {
			delete(w.promises, key)
		}
	}
}
