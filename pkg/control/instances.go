package control

import (
	"context"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/pkg/platform"
	pb "github.com/mulberrysill/mulberrysill/rpc/peer"
)

// aliveTimeout is the time without a heartbeat after which a peer counts as down
// and is left out of rankings. Safety does not depend on it: a share of the limits
// is reassigned by the rules of the lease, and a primary changes by majority.
const aliveTimeout = 2 * time.Second

// instanceView is what this instance knows about a peer.
type instanceView struct {
	platform.Instance
	// listed is set if the latest instance list of the platform has the peer.
	listed            bool
	lastContact       time.Time
	heartbeatInFlight bool
	// lastHeartbeatSent includes promise requests, which carry the same state.
	lastHeartbeatSent time.Time
	leaving           bool
	bundleHead        bundle.Head
	// extraHeartbeatInFlight is set while a heartbeat that was sent outside the
	// regular period has no response yet.
	extraHeartbeatInFlight bool
}

func (v *instanceView) alive(now time.Time) bool { return now.Sub(v.lastContact) < aliveTimeout }

// readInstanceList starts a read of the platform's instance list if one is due.
func (p *Plane) readInstanceList(ctx context.Context, now time.Time) {
	if p.listReadInFlight || now.Before(p.nextListRead) {
		return
	}
	p.listReadInFlight = true
	p.nextListRead = now.Add(p.storeInterval())
	go func() {
		list, err := p.cfg.Store.Instances(ctx)
		p.post(ctx, func(now time.Time) { p.handleInstanceList(list, err) })
	}()
}

// handleInstanceList updates the peers from the instance list.
func (p *Plane) handleInstanceList(list []platform.Instance, err error) {
	p.listReadInFlight = false
	if err != nil {
		p.cfg.Log.WithError(err).Debug("cannot read the instance list")
		return
	}
	for _, v := range p.instances {
		v.listed = false
	}
	defer p.leases.updateRolloutInstances()
	for _, i := range list {
		if i.ID == p.cfg.Self.ID {
			continue
		}
		v := p.instances[i.ID]
		if v == nil {
			v = &instanceView{}
			p.instances[i.ID] = v
		}
		// The list may be out of date, so its epoch may be older than the one in
		// the peer's last heartbeat.
		i.Epoch = max(i.Epoch, v.Epoch)
		v.Instance, v.listed = i, true
	}
	// The list may be out of date, so an unlisted peer is kept while its
	// heartbeats arrive.
	for id, v := range p.instances {
		if !v.listed && !v.alive(time.Now()) {
			delete(p.instances, id)
			p.cfg.Peers.Remove(v.PeerAddress)
		}
	}
}

// sendHeartbeats sends a heartbeat to each peer if heartbeats are due.
func (p *Plane) sendHeartbeats(ctx context.Context, now time.Time) {
	if now.Before(p.nextHeartbeat) {
		return
	}
	p.nextHeartbeat = now.Add(heartbeatInterval)
	state := p.state(now)
	for id, v := range p.instances {
		// A recent promise request carried the same state as a heartbeat.
		if v.heartbeatInFlight || v.PeerAddress == "" || now.Sub(v.lastHeartbeatSent) < heartbeatInterval/2 {
			continue
		}
		v.heartbeatInFlight, v.lastHeartbeatSent = true, now
		go p.exchangeHeartbeat(ctx, id, v.PeerAddress, &pb.HeartbeatRequest{State: state}, now)
	}
}

// exchangeHeartbeat sends one heartbeat and posts the response. sentAt is a time
// at or before the sending of the request.
func (p *Plane) exchangeHeartbeat(ctx context.Context, id, address string, request *pb.HeartbeatRequest, sentAt time.Time) {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	response, err := p.cfg.Peers.Get(address).Heartbeat(callCtx, request)
	p.post(ctx, func(now time.Time) {
		if v := p.instances[id]; v != nil && !request.AskPromise {
			v.heartbeatInFlight = false
		}
		if err != nil {
			return
		}
		p.handlePeerState(ctx, now, sentAt, response.State)
		if request.AskPromise {
			p.leases.handlePromiseResponse(ctx, now, response, request.State.Sender.Epoch, sentAt)
		}
	})
}

// handlePeerState records the state that a peer sent. sentAt is the time at which
// this instance sent the request that the state responds to. It is zero if the
// peer sent the state in a request of its own; such a state is no proof that this
// instance is current, because it may have been delayed on the way.
func (p *Plane) handlePeerState(ctx context.Context, now, sentAt time.Time, s *pb.State) {
	if s == nil || s.Sender == nil || s.Sender.Id == p.cfg.Self.ID {
		return
	}
	v := p.instances[s.Sender.Id]
	if v == nil {
		// The peer is not in the instance list yet, which also supplies its address.
		v = &instanceView{Instance: platform.Instance{ID: s.Sender.Id, Zone: s.Sender.Zone, Epoch: s.Sender.Epoch}}
		p.instances[s.Sender.Id] = v
	}
	if s.Sender.Epoch < v.Epoch {
		return // a delayed message from before a restart of the peer
	}
	v.Epoch, v.lastContact, v.leaving = s.Sender.Epoch, now, s.Leaving
	v.bundleHead = bundle.Head{Version: s.BundleVersion, Digest: s.BundleDigest}
	p.groups.handlePeerViews(ctx, now, s.Sender.Id, s.Groups)
	p.groups.recordRemoteService(s.Sender, s.Service)
	p.observePeerHead(ctx, now, sentAt, v)
}

// sender returns this instance's identity for a message to a peer.
func (p *Plane) sender() *pb.Sender {
	return &pb.Sender{Id: p.cfg.Self.ID, Epoch: p.leases.epoch(), Zone: p.cfg.Self.Zone}
}

// state returns the state that this instance sends to its peers.
func (p *Plane) state(now time.Time) *pb.State {
	s := &pb.State{
		Sender:  p.sender(),
		Leaving: p.draining.Load(),
		Groups:  p.groups.localViews(now),
		Service: p.groups.serviceReports(),
	}
	if b := p.rollout.core.Active(); b != nil {
		s.BundleVersion, s.BundleDigest = b.Spec.Version, b.Digest
	}
	if !p.rollout.lastStoreRead.IsZero() {
		s.StoreAgeMs = uint64(now.Sub(p.rollout.lastStoreRead).Milliseconds())
	}
	return s
}

// Heartbeat implements the peer service. It records the sender's state, answers
// its request for a promise if there is one, and returns this instance's state.
func (p *Plane) Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	response := &pb.HeartbeatResponse{}
	err := p.runAndWait(ctx, func(now time.Time) {
		p.handlePeerState(p.ctx, now, time.Time{}, r.State)
		if r.AskPromise && r.State != nil && r.State.Sender != nil {
			response.PromisedMs = p.leases.handlePromiseRequest(now, r.State.Sender)
		}
		response.State = p.state(now)
	})
	return response, err
}

// Retire implements the peer service. It answers a request to make no further
// promises to an epoch of an instance.
func (p *Plane) Retire(ctx context.Context, r *pb.RetireRequest) (*pb.RetireResponse, error) {
	response := &pb.RetireResponse{}
	err := p.runAndWait(ctx, func(now time.Time) { response = p.leases.handleRetireRequest(now, r) })
	return response, err
}

// FetchBundle implements the peer service. It returns the signed active bundle if
// that has the requested digest, and an empty response otherwise.
func (p *Plane) FetchBundle(ctx context.Context, r *pb.FetchBundleRequest) (*pb.FetchBundleResponse, error) {
	response := &pb.FetchBundleResponse{}
	err := p.runAndWait(ctx, func(time.Time) {
		if b := p.rollout.core.Active(); b != nil && b.Digest == r.Digest {
			response.Signed = p.rollout.signed
		}
	})
	return response, err
}

// PrimaryChanged implements the peer service. It processes a peer's announcement
// of a completed promotion.
func (p *Plane) PrimaryChanged(ctx context.Context, v *pb.GroupView) (*pb.Ack, error) {
	err := p.runAndWait(ctx, func(now time.Time) { p.groups.handlePrimaryChanged(p.ctx, now, v) })
	return &pb.Ack{}, err
}

// Cancel implements the peer service. It passes a cancel request that another
// instance received to the local sessions.
func (p *Plane) Cancel(_ context.Context, r *pb.CancelRequest) (*pb.CancelResponse, error) {
	found := p.cfg.CancelLocal != nil && p.cfg.CancelLocal(r.ProcessId, r.Secret)
	return &pb.CancelResponse{Found: found}, nil
}

// ForwardCancel forwards a client's cancel request that matches no local session to
// all peers. It does not wait for their responses.
func (p *Plane) ForwardCancel(pid uint32, secret []byte) {
	ctx := p.ctx
	var addresses []string
	if err := p.runAndWait(ctx, func(time.Time) {
		for _, v := range p.instances {
			addresses = append(addresses, v.PeerAddress)
		}
	}); err != nil {
		return
	}
	for _, a := range addresses {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			request := &pb.CancelRequest{Sender: &pb.Sender{Id: p.cfg.Self.ID}, ProcessId: pid, Secret: secret}
			if _, err := p.cfg.Peers.Get(a).Cancel(callCtx, request); err != nil {
				p.cfg.Log.WithError(err).Debug("cannot forward the cancel request to a peer")
			}
		}()
	}
}
