package bundle

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// HeadKey is the key of the store row that holds the Head.
const HeadKey = "bundle/head"

// ContactTTL is how long one contact with the store, or with a majority of the
// instances, keeps an instance current.
const ContactTTL = 4 * time.Second

// Bounds on the rate of head reads, to protect the store.
const (
	// minHeadReadInterval applies to each instance.
	minHeadReadInterval = time.Second
	// maxHeadReadsPerSecond applies to the whole fleet.
	maxHeadReadsPerSecond = 20
)

// Errors for bundles and heads that are refused.
var (
	// ErrStale reports a version below one that was already seen.
	ErrStale = errors.New("bundle is older than the newest one seen")
	// ErrFork reports a bundle that does not descend from the active one, or a
	// second bundle with the same version.
	ErrFork = errors.New("bundle does not descend from the active one")
)

// Head names the newest published bundle.
type Head struct {
	Version uint64 `json:"version"`
	// Digest is the hex SHA-256 of the signed bundle.
	Digest string `json:"digest"`
	Parent uint64 `json:"parent"`
	// ParentDigest is the digest of the parent, empty for the first bundle.
	ParentDigest string `json:"parentDigest,omitempty"`
	// Publisher is the ID of the key that signed the bundle.
	Publisher string `json:"publisher"`
	// PublishID identifies the publish operation, so that an unknown outcome can be
	// resolved by reading the head.
	PublishID string `json:"publishId"`
}

// ParseHead decodes the value of the row HeadKey. An empty value, which means a
// missing row, gives the zero Head.
func ParseHead(value []byte) (Head, error) {
	var h Head
	if len(value) == 0 {
		return h, nil
	}
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, errors.Wrapf(err, "decode row %s", HeadKey)
	}
	return h, nil
}

// Encode encodes the head as the value of the row HeadKey.
func (h Head) Encode() ([]byte, error) { return json.Marshal(h) }

// HeadReadInterval returns the interval at which each of n instances reads the head.
// It bounds the read rate of the whole fleet.
func HeadReadInterval(n int) time.Duration {
	return max(minHeadReadInterval, time.Duration(n)*time.Second/maxHeadReadsPerSecond)
}

// contact records when an instance last exchanged heads with the store or a peer.
// An exchange shows that the instance is current only if the instance has
// processed every version known at that time. Both the last such exchange and a
// pending one are kept, so that the instance stays current while it fetches a
// version that it has just learned of.
type contact struct {
	// confirmedAt is the start of the last exchange that counts.
	confirmedAt time.Time
	// pendingAt is the start of an exchange that counts once pendingVersion has been
	// processed.
	pendingAt      time.Time
	pendingVersion uint64
}

// add records an exchange that started at sentAt. newest is the newest version
// seen and processed the newest one processed.
func (c contact) add(sentAt time.Time, newest, processed uint64) contact {
	switch {
	case newest <= processed:
		c.confirmedAt = latest(c.confirmedAt, sentAt)
	case sentAt.After(c.pendingAt):
		c.pendingAt, c.pendingVersion = sentAt, newest
	}
	return c
}

// confirmPending makes the pending exchange count if its version was processed.
func (c contact) confirmPending(processed uint64) contact {
	if c.pendingVersion <= processed {
		c.confirmedAt = latest(c.confirmedAt, c.pendingAt)
	}
	return c
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Rollout is one instance's view of the rollout of bundles: which bundle is active,
// which is the newest one seen, and whether the instance is current. It is a
// deterministic state machine; the caller passes times of a monotonic clock.
type Rollout struct {
	self string
	// instances are those that have a lease record.
	instances map[string]bool
	active    *Compiled
	// newest is the head with the highest version seen.
	newest Head
	// rejectedDigest is the digest of a newest bundle that failed validation. The
	// active bundle stays active, and the rejected one is not fetched again.
	rejectedDigest string

	storeContact contact
	peerContacts map[string]contact
}

// NewRollout returns the state of an instance that has no bundle yet.
func NewRollout(self string) *Rollout {
	return &Rollout{self: self, instances: map[string]bool{}, peerContacts: map[string]contact{}}
}

// SetInstances sets the instances that have a lease record.
func (t *Rollout) SetInstances(ids []string) {
	t.instances = map[string]bool{}
	for _, id := range ids {
		t.instances[id] = true
	}
	for id := range t.peerContacts {
		if !t.instances[id] {
			delete(t.peerContacts, id)
		}
	}
}

// Active returns the active bundle, or nil if there is none yet.
func (t *Rollout) Active() *Compiled { return t.active }

// Newest returns the head with the highest version seen.
func (t *Rollout) Newest() Head { return t.newest }

// Wanted returns the head of the bundle to fetch. ok is false if there is nothing
// to fetch.
func (t *Rollout) Wanted() (h Head, ok bool) {
	return t.newest, t.newest.Version > t.activeVersion() && t.newest.Digest != t.rejectedDigest
}

// processedVersion returns the newest version that was activated, or rejected by
// validation.
func (t *Rollout) processedVersion() uint64 {
	if t.rejectedDigest != "" && t.rejectedDigest == t.newest.Digest {
		return t.newest.Version
	}
	return t.activeVersion()
}

func (t *Rollout) activeVersion() uint64 {
	if t.active == nil {
		return 0
	}
	return t.active.Spec.Version
}

// ObserveStoreHead processes a head returned by a read from the store that was sent at
// sentAt. A head older than the newest one seen is refused and is not a contact.
func (t *Rollout) ObserveStoreHead(h Head, sentAt time.Time) error {
	if err := t.observe(h); err != nil {
		return err
	}
	if h.Version < t.newest.Version {
		return errors.Wrapf(ErrStale, "store has version %d, newest seen is %d", h.Version, t.newest.Version)
	}
	t.storeContact = t.storeContact.add(sentAt, t.newest.Version, t.processedVersion())
	return nil
}

// ObserveRestoredHead processes a head that was read from the store soon after the store was
// restored from a copy. An accepted bundle may be missing in it until the operators publish
// it again, so the read is not a contact.
func (t *Rollout) ObserveRestoredHead(h Head) error { return t.observe(h) }

// ObservePeerHead processes a head that a peer reported in an exchange of heartbeats that
// this instance started at sentAt. A peer with an older head counts as a contact,
// because the exchange tells it the newer version.
func (t *Rollout) ObservePeerHead(id string, h Head, sentAt time.Time) error {
	if err := t.observe(h); err != nil {
		return err
	}
	if h.Version > 0 && id != t.self && t.instances[id] {
		t.peerContacts[id] = t.peerContacts[id].add(sentAt, t.newest.Version, t.processedVersion())
	}
	return nil
}

// observe updates the newest head seen. A second digest for the same version is a
// fork.
func (t *Rollout) observe(h Head) error {
	switch {
	case h.Version > t.newest.Version:
		t.newest = h
	case h.Version == t.newest.Version && h.Digest != t.newest.Digest && h.Version > 0:
		return errors.Wrapf(ErrFork, "version %d has digests %s and %s", h.Version, t.newest.Digest, h.Digest)
	}
	return nil
}

// Apply activates a bundle whose signature has been verified. On an error the
// active bundle stays; a bundle that fails validation is not fetched again.
func (t *Rollout) Apply(spec Spec, digest string) error {
	switch {
	case spec.Version < t.newest.Version || spec.Version < t.activeVersion():
		return errors.Wrapf(ErrStale, "version %d, newest seen is %d", spec.Version, t.newest.Version)
	case spec.Version == t.newest.Version && digest != t.newest.Digest:
		return errors.Wrapf(ErrFork, "version %d was seen with digest %s, not %s", spec.Version, t.newest.Digest, digest)
	case spec.Version == t.activeVersion():
		return nil
	case spec.Parent < t.activeVersion():
		return errors.Wrapf(ErrFork, "parent %d is below the active version %d", spec.Parent, t.activeVersion())
	}
	c, err := Compile(spec, digest)
	if err != nil {
		if digest == t.newest.Digest {
			t.rejectedDigest = digest
			t.confirmContacts()
		}
		return err
	}
	t.active = c
	if spec.Version > t.newest.Version {
		t.newest = Head{Version: spec.Version, Digest: digest, Parent: spec.Parent}
	}
	t.confirmContacts()
	return nil
}

// confirmContacts confirms pending contacts after a version was processed.
func (t *Rollout) confirmContacts() {
	t.storeContact = t.storeContact.confirmPending(t.processedVersion())
	for id, c := range t.peerContacts {
		t.peerContacts[id] = c.confirmPending(t.processedVersion())
	}
}

// Current reports whether the instance may accept client keys at now.
func (t *Rollout) Current(now time.Time) bool { return now.Before(t.CurrentUntil()) }

// CurrentUntil returns the time until which the instance may accept client keys.
// The period starts with its last read of the head from the store, or with the
// latest time since which it has been in contact with a majority of the instances,
// whichever is later. A contact counts only if every version known at that time
// was activated, or rejected by validation. The zero time means that there is no
// such contact.
func (t *Rollout) CurrentUntil() time.Time {
	if t.active == nil {
		return time.Time{}
	}
	since := latest(t.storeContact.confirmedAt, t.majorityContactAt())
	if since.IsZero() {
		return time.Time{}
	}
	return since.Add(ContactTTL)
}

// majorityContactAt returns the latest time since which a majority of the
// instances with a lease record, including this one, has answered.
func (t *Rollout) majorityContactAt() time.Time {
	needed := len(t.instances)/2 + 1
	if t.instances[t.self] {
		needed--
	}
	if len(t.instances) == 0 {
		return time.Time{}
	}
	if needed == 0 {
		// A single instance serves every publish itself, so it needs no peer.
		return t.storeContact.confirmedAt
	}
	times := make([]time.Time, 0, len(t.peerContacts))
	for _, c := range t.peerContacts {
		if !c.confirmedAt.IsZero() {
			times = append(times, c.confirmedAt)
		}
	}
	if len(times) < needed {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed-1]
}

// Accepted reports whether the version, or a newer one, is active on a majority of
// the live instances. activeVersions holds the active version of each live
// instance.
func Accepted(version uint64, activeVersions map[string]uint64) bool {
	n := 0
	for _, v := range activeVersions {
		if v >= version {
			n++
		}
	}
	return version > 0 && n >= len(activeVersions)/2+1
}
