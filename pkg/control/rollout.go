package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/pkg/platform"
	peerpb "github.com/mulberrysill/mulberrysill/rpc/peer"
)

// HeadKey is the row that names the newest bundle.
const HeadKey = "bundle/head"

// fetchRetry is the time before a failed fetch of a bundle is tried again.
const fetchRetry = 300 * time.Millisecond

// head is the part of the head row that an instance needs.
type head struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// rolloutState is the state of the bundle's rollout on this instance, owned by
// the control goroutine. inForce never goes back to a lower version.
type rolloutState struct {
	inForce *bundle.Compiled
	signed  []byte
	// newest is the highest head seen, in the store or through a peer.
	newest head
	// from is the peer address that told of newest; empty if the store did.
	from         string
	reading      bool
	nextRead     time.Time
	fetching     bool
	nextFetch    time.Time
	lastStore    time.Time
	currentUntil time.Time
	refused      string
}

// readHead starts a read of the head row when one is due.
func (p *Plane) readHead(ctx context.Context, now time.Time) {
	r := &p.rollout
	p.fetchNewest(ctx, now)
	if r.reading || now.Before(r.nextRead) {
		return
	}
	r.reading = true
	r.nextRead = now.Add(p.storeInterval())
	go func() {
		asked := time.Now()
		row, err := p.cfg.Store.GetRow(ctx, HeadKey)
		p.post(ctx, func(now time.Time) { p.headRead(ctx, now, asked, row, err) })
	}()
}

func (p *Plane) headRead(ctx context.Context, now, asked time.Time, row platform.Row, err error) {
	r := &p.rollout
	r.reading = false
	if err != nil {
		p.cfg.Log.WithError(err).Debug("bundle head not read")
		return
	}
	var h head
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &h); err != nil {
			p.cfg.Log.WithError(err).Error("bundle head row is not valid")
			return
		}
	}
	// The time counts from the request, because a bundle may have been
	// accepted between the read in the store and the answer's arrival.
	r.lastStore = asked
	p.sawHead(ctx, now, h, "")
	p.extendCurrent(asked)
}

// sawHead notes a head and fetches its bundle if it is newer.
func (p *Plane) sawHead(ctx context.Context, now time.Time, h head, from string) {
	r := &p.rollout
	if h.Version <= r.newest.Version {
		return
	}
	r.newest, r.from, r.nextFetch = h, from, now
	p.fetchNewest(ctx, now)
}

// extendCurrent notes a proof, asked for at the time, that the newest bundle
// that could have been accepted is known here. It counts only once that bundle
// is in force here.
func (p *Plane) extendCurrent(asked time.Time) {
	r := &p.rollout
	if r.inForce == nil || r.inForce.Spec.Version < r.newest.Version {
		return
	}
	if until := asked.Add(currentWindow); until.After(r.currentUntil) {
		r.currentUntil = until
	}
}

func (p *Plane) fetchNewest(ctx context.Context, now time.Time) {
	r := &p.rollout
	behind := r.inForce == nil || r.inForce.Spec.Version < r.newest.Version
	if r.newest.Version == 0 || !behind || r.fetching || now.Before(r.nextFetch) || r.refused == r.newest.Digest {
		return
	}
	r.fetching = true
	want, from := r.newest, r.from
	go func() {
		signed, err := p.fetchBundle(ctx, want, from)
		p.post(ctx, func(now time.Time) { p.bundleFetched(ctx, now, want, signed, err) })
	}()
}

// fetchBundle reads the signed bundle from the peer that told of it, or from
// the store; whichever is not at hand is replaced by the other.
func (p *Plane) fetchBundle(ctx context.Context, want head, from string) ([]byte, error) {
	if from != "" {
		peerCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		answer, err := p.cfg.Peers.Get(from).FetchBundle(peerCtx, &peerpb.FetchBundleRequest{Digest: want.Digest})
		if err == nil && len(answer.Signed) > 0 {
			return answer.Signed, nil
		}
	}
	return p.cfg.Store.GetObject(ctx, want.Digest)
}

func (p *Plane) bundleFetched(ctx context.Context, now time.Time, want head, signed []byte, err error) {
	r := &p.rollout
	r.fetching = false
	r.nextFetch = now.Add(fetchRetry)
	if err != nil {
		p.cfg.Log.WithError(err).WithField("version", want.Version).Warn("bundle not fetched")
		return
	}
	compiled, err := p.openBundle(want, signed)
	if err != nil {
		// The bytes are addressed by their digest, so a second fetch cannot help.
		r.refused = want.Digest
		p.cfg.Log.WithError(err).WithField("version", want.Version).Error("bundle refused; the present one stays in force")
		return
	}
	if r.inForce != nil && compiled.Spec.Version <= r.inForce.Spec.Version {
		return
	}
	r.inForce, r.signed = compiled, signed
	p.publish()
	p.groups.apply(ctx, now, compiled)
	p.limits.apply(compiled, now)
	p.cfg.Log.WithField("version", compiled.Spec.Version).Info("bundle in force")
	if p.cfg.OnBundle != nil {
		p.cfg.OnBundle(compiled)
	}
	if r.lastStore.After(now.Add(-currentWindow)) {
		p.extendCurrent(r.lastStore)
	}
}

func (p *Plane) openBundle(want head, signed []byte) (*bundle.Compiled, error) {
	spec, digest, err := bundle.Open(signed, p.cfg.Trusted)
	if err != nil {
		return nil, err
	}
	if digest != want.Digest || spec.Version != want.Version {
		return nil, errors.Newf("the head names version %d with digest %s, the bundle is version %d with digest %s",
			want.Version, want.Digest, spec.Version, digest)
	}
	return bundle.Compile(spec, digest)
}
