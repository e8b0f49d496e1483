package control

import (
	"context"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/revision"
	"github.com/mulberrysill/mulberrysill/pkg/platform"
	peerpb "github.com/mulberrysill/mulberrysill/rpc/peer"
)

// fetchRetryDelay is the delay before a failed download of a bundle is retried.
const fetchRetryDelay = 300 * time.Millisecond

// rolloutState drives the rollout state machine of core/bundle. The control
// goroutine owns it.
type rolloutState struct {
	core *bundle.Rollout
	// signed is the envelope of the active bundle, as it was downloaded.
	signed []byte
	// newestReportedBy is the address of the peer that first reported the newest
	// head; empty if the head was read from the store first.
	newestReportedBy string
	readInFlight     bool
	nextRead         time.Time
	fetchInFlight    bool
	nextFetch        time.Time
	lastStoreRead    time.Time
	// eras are the eras of the store. Their times count from the start of the process.
	eras revision.Eras
}

// readHead starts a read of the head row if one is due, and a download of the
// newest bundle if that is due.
func (p *Plane) readHead(ctx context.Context, now time.Time) {
	r := &p.rollout
	p.fetchNewest(ctx, now)
	if r.readInFlight || now.Before(r.nextRead) {
		return
	}
	r.readInFlight = true
	r.nextRead = now.Add(p.storeInterval())
	go func() {
		sentAt := time.Now()
		row, err := p.cfg.Store.GetRow(ctx, bundle.HeadKey)
		p.post(ctx, func(now time.Time) { p.handleStoreHead(ctx, now, sentAt, row, err) })
	}()
}

// handleStoreHead processes the head row that was read from the store.
func (p *Plane) handleStoreHead(ctx context.Context, now, sentAt time.Time, row platform.Row, err error) {
	r := &p.rollout
	r.readInFlight = false
	if err != nil {
		p.cfg.Log.WithError(err).Debug("cannot read the bundle head")
		return
	}
	h, err := bundle.ParseHead(row.Value)
	if err != nil {
		p.cfg.Log.WithError(err).Error("bundle head row is not valid")
		return
	}
	// The time of the request counts, because a newer bundle may have been
	// accepted between the read in the store and the arrival of the response.
	r.lastStoreRead = sentAt
	before := r.core.Newest()
	if r.eras.Observe(row.Era, now.Sub(p.startedAt)) {
		p.cfg.Log.WithField("era", row.Era).Warn("the store was restored from a copy; its bundle head may be out of date")
	}
	if sentAt.Sub(p.startedAt) >= r.eras.SettledAt() {
		err = r.core.ObserveStoreHead(h, sentAt)
	} else {
		err = r.core.ObserveRestoredHead(h)
	}
	if err != nil {
		p.cfg.Log.WithError(err).Warn("bundle head of the store not taken")
	}
	p.fetchIfNewer(ctx, now, before, "")
}

// observePeerHead records the head that a peer reported. sentAt has the same
// meaning as for handlePeerState.
func (p *Plane) observePeerHead(ctx context.Context, now, sentAt time.Time, v *instanceView) {
	before := p.rollout.core.Newest()
	if err := p.rollout.core.ObservePeerHead(v.ID, v.bundleHead, sentAt); err != nil {
		p.cfg.Log.WithError(err).WithField("peer", v.ID).Warn("bundle head of a peer not taken")
	}
	p.fetchIfNewer(ctx, now, before, v.PeerAddress)
}

// fetchIfNewer starts a download at once if the newest head is newer than before.
func (p *Plane) fetchIfNewer(ctx context.Context, now time.Time, before bundle.Head, from string) {
	r := &p.rollout
	if newest := r.core.Newest(); newest.Version > before.Version {
		r.newestReportedBy, r.nextFetch = from, now
		p.fetchNewest(ctx, now)
	}
}

// fetchNewest starts a download of the newest bundle if it is wanted and due.
func (p *Plane) fetchNewest(ctx context.Context, now time.Time) {
	r := &p.rollout
	want, wanted := r.core.Wanted()
	if !wanted || r.fetchInFlight || now.Before(r.nextFetch) {
		return
	}
	r.fetchInFlight = true
	from := r.newestReportedBy
	go func() {
		signed, err := p.downloadBundle(ctx, want, from)
		p.post(ctx, func(now time.Time) { p.handleBundle(ctx, now, want, signed, err) })
	}()
}

// downloadBundle reads the signed bundle from the peer at the address from, and
// from the store if there is no such peer or it does not have the bundle.
func (p *Plane) downloadBundle(ctx context.Context, want bundle.Head, from string) ([]byte, error) {
	if from != "" {
		peerCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		response, err := p.cfg.Peers.Get(from).FetchBundle(peerCtx, &peerpb.FetchBundleRequest{Digest: want.Digest})
		if err == nil && len(response.Signed) > 0 {
			return response.Signed, nil
		}
	}
	return p.cfg.Store.GetObject(ctx, want.Digest)
}

// handleBundle verifies and activates a bundle that was downloaded, and applies it to
// the groups and limits.
func (p *Plane) handleBundle(ctx context.Context, now time.Time, want bundle.Head, signed []byte, err error) {
	r := &p.rollout
	r.fetchInFlight = false
	r.nextFetch = now.Add(fetchRetryDelay)
	if err != nil {
		p.cfg.Log.WithError(err).WithField("version", want.Version).Warn("bundle not fetched")
		return
	}
	spec, digest, err := bundle.Open(signed, p.cfg.TrustedKeys)
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
