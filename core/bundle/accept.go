package bundle

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// HeadKey is the key of the store row that holds the Head.
const HeadKey = "bundle/head"

// FreshFor is the time for which one contact with the store, or with a
// majority of fellow instances, keeps an instance current.
const FreshFor = 4 * time.Second

// The fleet reads the head at most maxHeadReads times a second, and an
// instance at most once per minReadInterval.
const (
	minReadInterval = time.Second
	maxHeadReads    = 20
)

// The reasons for which a bundle or head is not taken up.
var (
	// ErrOlder reports a version below one that was already seen.
	ErrOlder = errors.New("bundle is older than the newest one seen")
	// ErrFork reports a bundle that does not descend from the one in force, or
	// a second one with the same version.
	ErrFork = errors.New("bundle does not descend from the one in force")
)

// Head names the newest published bundle.
type Head struct {
	Version uint64 `json:"version"`
	// Digest is the hex SHA-256 of the signed bytes.
	Digest string `json:"digest"`
	Parent uint64 `json:"parent"`
	// ParentDigest is the digest of the parent, empty for the first bundle.
	ParentDigest string `json:"parentDigest,omitempty"`
	// Publisher is the identity of the key that signed the bundle.
	Publisher string `json:"publisher"`
	// PublishID identifies the publish, so that a lost answer can be resolved.
	PublishID string `json:"publishId"`
}

// ParseHead reads the value of the row HeadKey. An empty value, that of a
// missing row, is the zero Head.
func ParseHead(value []byte) (Head, error) {
	var h Head
	if len(value) == 0 {
		return h, nil
	}
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, errors.Wrapf(err, "row %s", HeadKey)
	}
	return h, nil
}

// Encode returns the value of the row HeadKey.
func (h Head) Encode() ([]byte, error) { return json.Marshal(h) }

// ReadInterval returns the interval at which each of n instances reads the head.
func ReadInterval(n int) time.Duration {
	return max(minReadInterval, time.Duration(n)*time.Second/maxHeadReads)
}

// contact is the latest exchanges with the store or a peer. settled counts;
// pending counts once the version that was known by then is in force. Both are
// kept, so that learning of a version does not interrupt service while it is
// fetched.
type contact struct {
	settled time.Time
	pending time.Time
	known   uint64
}

// add records an exchange that was asked for at the time, when versions up to
// known had been seen and inForce was in force.
func (c contact) add(askedAt time.Time, known, inForce uint64) contact {
	switch {
	case known <= inForce:
		c.settled = latest(c.settled, askedAt)
	case askedAt.After(c.pending):
		c.pending, c.known = askedAt, known
	}
	return c
}

// settle makes the pending exchange count if its version is in force.
func (c contact) settle(inForce uint64) contact {
	if c.known <= inForce {
		c.settled = latest(c.settled, c.pending)
	}
	return c
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TakeUp is one instance's state of taking up bundles: which one is in force,
// which is the newest seen, and whether the instance is current. It is a pure
// state machine; the caller passes times of its monotonic clock.
type TakeUp struct {
	self    string
	fellows map[string]bool
	inForce *Compiled
	// newest is the highest version ever seen; refused is the digest of a
	// newest bundle that failed validation, which changes nothing.
	newest  Head
	refused string

	store contact
	peers map[string]contact
}

// NewTakeUp returns the state of an instance that has no bundle yet.
func NewTakeUp(self string) *TakeUp {
	return &TakeUp{self: self, fellows: map[string]bool{}, peers: map[string]contact{}}
}

// SetInstances sets the instances that have a lease record.
func (t *TakeUp) SetInstances(ids []string) {
	t.fellows = map[string]bool{}
	for _, id := range ids {
		t.fellows[id] = true
	}
	for id := range t.peers {
		if !t.fellows[id] {
			delete(t.peers, id)
		}
	}
}

// InForce returns the bundle in force, or nil.
func (t *TakeUp) InForce() *Compiled { return t.inForce }

// Newest returns the head with the highest version seen.
func (t *TakeUp) Newest() Head { return t.newest }

// Wanted returns the head of the bundle to fetch; ok is false if there is none.
func (t *TakeUp) Wanted() (h Head, ok bool) {
	return t.newest, t.newest.Version > t.version() && t.newest.Digest != t.refused
}

// settledVersion returns the version up to which contacts count: the one in
// force, or the newest one if it was refused as a whole.
func (t *TakeUp) settledVersion() uint64 {
	if t.refused != "" && t.refused == t.newest.Digest {
		return t.newest.Version
	}
	return t.version()
}

func (t *TakeUp) version() uint64 {
	if t.inForce == nil {
		return 0
	}
	return t.inForce.Spec.Version
}

// SawStore takes in the head that was read from the store at askedAt or later.
// A head below the newest one seen is refused and does not count as contact.
func (t *TakeUp) SawStore(h Head, askedAt time.Time) error {
	if err := t.see(h); err != nil {
		return err
	}
	if h.Version < t.newest.Version {
		return errors.Wrapf(ErrOlder, "store has version %d, seen %d", h.Version, t.newest.Version)
	}
	t.store = t.store.add(askedAt, t.newest.Version, t.settledVersion())
	return nil
}

// SawPeer takes in the head that a peer reported in an exchange of heartbeats
// that this instance began at askedAt. A peer that is behind counts, because
// the exchange tells it the newer version.
func (t *TakeUp) SawPeer(id string, h Head, askedAt time.Time) error {
	if err := t.see(h); err != nil {
		return err
	}
	if h.Version > 0 && id != t.self && t.fellows[id] {
		t.peers[id] = t.peers[id].add(askedAt, t.newest.Version, t.settledVersion())
	}
	return nil
}

// see raises the newest version seen. Two bundles of one version are a fork.
func (t *TakeUp) see(h Head) error {
	switch {
	case h.Version > t.newest.Version:
		t.newest = h
	case h.Version == t.newest.Version && h.Digest != t.newest.Digest && h.Version > 0:
		return errors.Wrapf(ErrFork, "version %d has digests %s and %s", h.Version, t.newest.Digest, h.Digest)
	}
	return nil
}

// Offer takes up a verified bundle. On an error nothing changes, except that a
// bundle that fails validation is no longer wanted.
func (t *TakeUp) Offer(spec Spec, digest string) error {
	switch {
	case spec.Version < t.newest.Version || spec.Version < t.version():
		return errors.Wrapf(ErrOlder, "version %d, seen %d", spec.Version, t.newest.Version)
	case spec.Version == t.newest.Version && digest != t.newest.Digest:
		return errors.Wrapf(ErrFork, "version %d has digest %s, not %s", spec.Version, t.newest.Digest, digest)
	case spec.Version == t.version():
		return nil
	case spec.Parent < t.version():
		return errors.Wrapf(ErrFork, "parent %d is below version %d in force", spec.Parent, t.version())
	}
	c, err := Compile(spec, digest)
	if err != nil {
		if digest == t.newest.Digest {
			t.refused = digest
			t.settle()
		}
		return err
	}
	t.inForce = c
	if spec.Version > t.newest.Version {
		t.newest = Head{Version: spec.Version, Digest: digest, Parent: spec.Parent}
	}
	t.settle()
	return nil
}

func (t *TakeUp) settle() {
	t.store = t.store.settle(t.settledVersion())
	for id, c := range t.peers {
		t.peers[id] = c.settle(t.settledVersion())
	}
}

// Current reports whether the instance may honour keys at the time.
func (t *TakeUp) Current(now time.Time) bool { return now.Before(t.CurrentUntil()) }

// CurrentUntil returns the end of the time for which the instance may honour
// keys: FreshFor after it last read the head itself, or after the time since
// which so many instances have answered that they and itself are a majority. A
// contact counts only if the version that it taught is in force, or was refused
// as a whole. The zero time means that there is no such contact.
func (t *TakeUp) CurrentUntil() time.Time {
	if t.inForce == nil {
		return time.Time{}
	}
	since := latest(t.store.settled, t.majoritySince())
	if since.IsZero() {
		return time.Time{}
	}
	return since.Add(FreshFor)
}

// majoritySince returns the latest time since which a majority of the instances
// with a lease record, this one included, has answered.
func (t *TakeUp) majoritySince() time.Time {
	needed := len(t.fellows)/2 + 1
	if t.fellows[t.self] {
		needed--
	}
	if len(t.fellows) == 0 {
		return time.Time{}
	}
	if needed == 0 {
		// The only instance knows of every publish, because it serves them all.
		return t.store.settled
	}
	times := make([]time.Time, 0, len(t.peers))
	for _, c := range t.peers {
		if !c.settled.IsZero() {
			times = append(times, c.settled)
		}
	}
	if len(times) < needed {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed-1]
}

// Accepted reports whether a majority of the live instances has the version in
// force. inForce holds the version of each live instance.
func Accepted(version uint64, inForce map[string]uint64) bool {
	n := 0
	for _, v := range inForce {
		if v >= version {
			n++
		}
	}
	return version > 0 && n >= len(inForce)/2+1
}
