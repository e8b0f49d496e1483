package control

import (
	"context"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/pkg/platform"
	pb "github.com/mulberrysill/mulberrysill/rpc/peer"
)

// aliveWindow is the time without a heartbeat after which a peer counts as
// dead for ranks; requirements rest on leases, not on this.
const aliveWindow = 2 * time.Second

// instanceView is what this instance knows of a peer.
type instanceView struct {
	platform.Instance
	listed    bool
	lastHeard time.Time
	beating   bool
	// lastBeat is when the last heartbeat was sent to the peer.
	lastBeat time.Time
	leaving  bool
	bundle   bundle.Head
	// asking says that a heartbeat outside the regular period is under way.
	asking bool
}

func (v *instanceView) alive(now time.Time) bool { return now.Sub(v.lastHeard) < aliveWindow }

// readInstanceList starts a read of the platform's list when one is due.
func (p *Plane) readInstanceList(ctx context.Context, now time.Time) {
	if p.listing || now.Before(p.nextList) {
		return
	}
	p.listing = true
	p.nextList = now.Add(p.storeInterval())
	go func() {
		list, err := p.cfg.Store.Instances(ctx)
		p.post(ctx, func(now time.Time) { p.instancesRead(list, err) })
	}()
}

func (p *Plane) instancesRead(list []platform.Instance, err error) {
	p.listing = false
	if err != nil {
		p.cfg.Log.WithError(err).Debug("instance list not read")
		return
	}
	for _, v := range p.instances {
		v.listed = false
	}
	defer p.leases.updateMembers()
	for _, i := range list {
		if i.ID == p.cfg.Self.ID {
			continue
		}
		v := p.instances[i.ID]
		if v == nil {
			v = &instanceView{}
			p.instances[i.ID] = v
		}
		// The list lags, so its epoch may be an earlier one than was heard.
		i.Epoch = max(i.Epoch, v.Epoch)
		v.Instance, v.listed = i, true
	}
	// The list lags, so a peer that is not listed is kept while it is heard.
	for id, v := range p.instances {
		if !v.listed && !v.alive(time.Now()) {
			delete(p.instances, id)
			p.cfg.Peers.Remove(v.PeerAddress)
		}
	}
}

// sendHeartbeats sends one heartbeat to each peer when they are due.
func (p *Plane) sendHeartbeats(ctx context.Context, now time.Time) {
	if now.Before(p.nextBeat) {
		return
	}
	p.nextBeat = now.Add(heartbeatInterval)
	state := p.state(now)
	for id, v := range p.instances {
		// A request for a promise carries the same state as a heartbeat.
		if v.beating || v.PeerAddress == "" || now.Sub(v.lastBeat) < heartbeatInterval/2 {
			continue
		}
		v.beating, v.lastBeat = true, now
		go p.beat(ctx, id, v.PeerAddress, &pb.HeartbeatRequest{State: state}, now)
	}
}

// beat sends one heartbeat. asked is a time before the request is sent.
func (p *Plane) beat(ctx context.Context, id, address string, request *pb.HeartbeatRequest, asked time.Time) {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	answer, err := p.cfg.Peers.Get(address).Heartbeat(callCtx, request)
	p.post(ctx, func(now time.Time) {
		if v := p.instances[id]; v != nil && !request.AskPromise {
			v.beating = false
		}
		if err != nil {
			return
		}
		p.heard(ctx, now, asked, answer.State)
		if request.AskPromise {
			p.leases.promised(ctx, now, answer, request.State.Sender.Epoch, asked)
		}
	})
}

// heard takes in a peer's state. asked is the time at which this instance sent
// the request that the state answers; for a request from the peer it is zero,
// and then the state proves nothing about being current.
func (p *Plane) heard(ctx context.Context, now, asked time.Time, s *pb.State) {
	if s == nil || s.Sender == nil || s.Sender.Id == p.cfg.Self.ID {
		return
	}
	v := p.instances[s.Sender.Id]
	if v == nil {
		// The instance list lags; the address arrives with it.
		v = &instanceView{Instance: platform.Instance{ID: s.Sender.Id, Zone: s.Sender.Zone, Epoch: s.Sender.Epoch}}
		p.instances[s.Sender.Id] = v
	}
	if s.Sender.Epoch < v.Epoch {
		return // an answer of an earlier incarnation of the peer
	}
	v.Epoch, v.lastHeard, v.leaving = s.Sender.Epoch, now, s.Leaving
	v.bundle = bundle.Head{Version: s.BundleVersion, Digest: s.BundleDigest}
	p.groups.heardFrom(ctx, now, s.Sender.Id, s.Groups)
	p.groups.addRemoteService(s.Sender, s.Service)
	p.sawPeerHead(ctx, now, asked, v)
}

// sender returns this instance's identity for a message to a peer.
func (p *Plane) sender() *pb.Sender {
	return &pb.Sender{Id: p.cfg.Self.ID, Epoch: p.leases.epoch(), Zone: p.cfg.Self.Zone}
}

// state returns what this instance tells its peers.
func (p *Plane) state(now time.Time) *pb.State {
	s := &pb.State{
		Sender:  p.sender(),
		Leaving: p.draining.Load(),
		Groups:  p.groups.views(now),
		Service: p.groups.service(),
	}
	if b := p.rollout.core.Active(); b != nil {
		s.BundleVersion, s.BundleDigest = b.Spec.Version, b.Digest
	}
	if !p.rollout.lastStore.IsZero() {
		s.StoreAgeMs = uint64(now.Sub(p.rollout.lastStore).Milliseconds())
	}
	return s
}

// Heartbeat implements the peer service.
func (p *Plane) Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	answer := &pb.HeartbeatResponse{}
	err := p.ask(ctx, func(now time.Time) {
		p.heard(p.ctx, now, time.Time{}, r.State)
		if r.AskPromise && r.State != nil && r.State.Sender != nil {
			answer.PromisedMs = p.leases.promise(now, r.State.Sender)
		}
		answer.State = p.state(now)
	})
	return answer, err
}

// Retire implements the peer service.
func (p *Plane) Retire(ctx context.Context, r *pb.RetireRequest) (*pb.RetireResponse, error) {
	answer := &pb.RetireResponse{}
	err := p.ask(ctx, func(now time.Time) { answer = p.leases.retire(now, r) })
	return answer, err
}

// FetchBundle implements the peer service.
func (p *Plane) FetchBundle(ctx context.Context, r *pb.FetchBundleRequest) (*pb.FetchBundleResponse, error) {
	answer := &pb.FetchBundleResponse{}
	err := p.ask(ctx, func(time.Time) {
		if b := p.rollout.core.Active(); b != nil && b.Digest == r.Digest {
			answer.Signed = p.rollout.signed
		}
	})
	return answer, err
}

// PrimaryChanged implements the peer service.
func (p *Plane) PrimaryChanged(ctx context.Context, v *pb.GroupView) (*pb.Ack, error) {
	err := p.ask(ctx, func(now time.Time) { p.groups.primaryChanged(p.ctx, now, v) })
	return &pb.Ack{}, err
}

// Cancel implements the peer service.
func (p *Plane) Cancel(_ context.Context, r *pb.CancelRequest) (*pb.CancelResponse, error) {
	found := p.cfg.Cancel != nil && p.cfg.Cancel(r.ProcessId, r.Secret)
	return &pb.CancelResponse{Found: found}, nil
}

// PassCancel hands a client's cancel request that is unknown here to the peers.
func (p *Plane) PassCancel(pid uint32, secret []byte) {
	ctx := p.ctx
	var addresses []string
	if err := p.ask(ctx, func(time.Time) {
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
				p.cfg.Log.WithError(err).Debug("cancel request not passed on")
			}
		}()
	}
}
