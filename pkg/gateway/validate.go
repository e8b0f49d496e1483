package gateway

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/catalog"
)

const (
	// MaxExactInteger bounds the numbers of entries: larger ones are not exact in JSON.
	MaxExactInteger = 1 << 53
	// maxSlots bounds the statements that a member runs concurrently.
	maxSlots = 1 << 16
	// maxCapacity bounds the processor share of an instance's machine, in cores.
	maxCapacity = 1 << 16
)

// Validate reports why no member can have written the entry. A member that cannot be reached
// is worse than none: the choice of a primary waits for its answer.
func (m Member) Validate() error {
	switch {
	case !catalog.IsName(m.ID):
		return errors.Newf("member has the ID %q", m.ID)
	case !catalog.IsName(m.Group):
		return errors.Newf("member %s has the group %q", m.ID, m.Group)
	case m.Slots < 0 || m.Slots > maxSlots:
		return errors.Newf("member %s has %d slots", m.ID, m.Slots)
	case m.StartedMs < 0 || m.StartedMs > MaxExactInteger:
		return errors.Newf("member %s has the start time %d", m.ID, m.StartedMs)
	case m.Sequence > MaxExactInteger:
		return errors.Newf("member %s has the sequence %d", m.ID, m.Sequence)
	}
	return errors.Wrapf(validateAddress(m.Address), "member %s", m.ID)
}

// Validate reports why no instance can have written the entry.
func (i Instance) Validate() error {
	switch {
	case !catalog.IsName(i.ID):
		return errors.Newf("instance has the ID %q", i.ID)
	case i.Started < 0 || i.Started > MaxExactInteger:
		return errors.Newf("instance %s has the start time %d", i.ID, i.Started)
	case i.Capacity < 0 || i.Capacity > maxCapacity:
		return errors.Newf("instance %s has the capacity %g", i.ID, i.Capacity)
	}
	return errors.Wrapf(validateAddress(i.PeerAddress), "instance %s", i.ID)
}

// validateAddress accepts an IP address with a port that can be connected to. Names are not
// looked up.
func validateAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	if a.Port() == 0 {
		return errors.Newf("address %q has port 0", address)
	}
	return nil
}

// logUnreadable logs the entries of another writer that are passed over.
func logUnreadable[T any](log *logrus.Entry, changes []Change[T]) {
	for i := range changes {
		if c := &changes[i]; c.Err != nil {
			log.WithFields(logrus.Fields{"event": "entry-unreadable", "key": c.Key}).WithError(c.Err).Warn("entry ignored")
		}
	}
}
