package control

import (
	"context"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/pkg/platform"
	peerpb "github.com/mulberrysill/mulberrysill/rpc/peer"
)

// fetchRetry is the time before a failed fetch of a bundle is tried again.
const fetchRetry = 300 * time.Millisecond

// rolloutState carries out what core/bundle decides about the rollout on this
// instance. The control goroutine owns it.
type rolloutState struct {
	core   *bundle.Rollout
	signed []byte
	// from is the peer address that told of the newest head; empty if the store did.
	from      string
	reading   bool
	nextRead  time.Time
	fetching  bool
	nextFetch time.Time
	lastStore time.Time
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
		row, err := p.cfg.Store.GetRow(ctx, bundle.HeadKey)
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
	h, err := bundle.ParseHead(row.Value)
	if err != nil {
		p.cfg.Log.WithError(err).Error("bundle head row is not valid")
		return
	}
	// The time counts from the request, because a bundle may have been
	// accepted between the read in the store and the answer's arrival.
	r.lastStore = asked
	before := r.core.Newest()
	if err := r.core.ObserveStoreHead(h, asked); err != nil {
		p.cfg.Log.WithError(err).Warn("bundle head of the store not taken")
	}
	p.newestSeen(ctx, now, before, "")
}

// sawPeerHead notes the head that a peer reported. asked is as in heard.
func (p *Plane) sawPeerHead(ctx context.Context, now, asked time.Time, v *instanceView) {
	before := p.rollout.core.Newest()
	if err := p.rollout.core.ObservePeerHead(v.ID, v.bundle, asked); err != nil {
		p.cfg.Log.WithError(err).WithField("peer", v.ID).Warn("bundle head of a peer not taken")
	}
	p.newestSeen(ctx, now, before, v.PeerAddress)
}

// newestSeen fetches the newest bundle at once if it has changed.
func (p *Plane) newestSeen(ctx context.Context, now time.Time, before bundle.Head, from string) {
	r := &p.rollout
	if newest := r.core.Newest(); newest.Version > before.Version {
		r.from, r.nextFetch = from, now
		p.fetchNewest(ctx, now)
	}
}

func (p *Plane) fetchNewest(ctx context.Context, now time.Time) {
	r := &p.rollout
	want, wanted := r.core.Wanted()
	if !wanted || r.fetching || now.Before(r.nextFetch) {
		return
	}
	r.fetching = true
	from := r.from
	go func() {
		signed, err := p.fetchBundle(ctx, want, from)
		p.post(ctx, func(now time.Time) { p.bundleFetched(ctx, now, want, signed, err) })
	}()
}

// fetchBundle reads the signed bundle from the peer that told of it, or from
// the store; whichever is not at hand is replaced by the other.
func (p *Plane) fetchBundle(ctx context.Context, want bundle.Head, from string) ([]byte, error) {
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

func (p *Plane) bundleFetched(ctx context.Context, now time.Time, want bundle.Head, signed []byte, err error) {
	r := &p.rollout
	r.fetching = false
	r.nextFetch = now.Add(fetchRetry)
	if err != nil {
		p.cfg.Log.WithError(err).WithField("version", want.Version).Warn("bundle not fetched")
		return
	}
	spec, digest, err := bundle.Open(signed, p.cfg.Trusted)
	if err == nil {
		err = r.core.Apply(spec, digest)
	}
	if err != nil {
		p.cfg.Log.WithError(err).WithField("version", want.Version).Error("bundle refused; the present one stays in force")
		return
	}
	r.signed = signed
	p.publish()
	compiled := r.core.Active()
	p.groups.apply(ctx, now, compiled)
	p.limits.apply(compiled, now)
	p.cfg.Log.WithField("version", compiled.Spec.Version).Info("bundle in force")
	if p.cfg.OnBundle != nil {
		p.cfg.OnBundle(compiled)
	}
}
