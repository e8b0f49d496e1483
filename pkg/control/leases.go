package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/pkg/platform"
	pb "github.com/mulberrysill/mulberrysill/rpc/peer"
)

// fleetViewInterval is the period at which the lease state machine receives a view
// of the fleet: a snapshot of the instances that this one knows. The state machine
// derives from it the even shares, the order in which instances reclaim units, and
// the choice of witnesses, the peers that grant lease promises. None of these
// needs more frequent updates.
const fleetViewInterval = 200 * time.Millisecond

// leaseState drives the state machine of core/lease. The control goroutine owns it.
type leaseState struct {
	plane         *Plane
	core          *lease.Lease
	nextFleetView time.Time
	nextTick      time.Time
	// unitsByHolder holds the units, which are shares of every limit of the fleet, in
	// the lease records of the store, by the ID of the instance that holds them. It
	// is as of the last read; nil before the first one.
	unitsByHolder map[string]uint32
}

func newLeaseState(p *Plane) *leaseState {
	return &leaseState{
		plane: p,
		core: lease.New(lease.Config{
			ID: p.cfg.Self.ID, Zone: p.cfg.Self.Zone, Epoch: lease.Epoch(p.cfg.Self.Epoch),
		}, p.startedAt),
	}
}

func (l *leaseState) epoch() uint64 { return uint64(l.core.Status().Epoch) }

// step passes an event to the state machine and executes the actions that it
// returns, in order. A tick less than half a TickInterval after the previous one is
// dropped. Other ticks are preceded by a fleet view if one is due.
func (l *leaseState) step(ctx context.Context, now time.Time, ev lease.Event) {
	if _, isTick := ev.(lease.Tick); isTick {
		if now.Before(l.nextTick) {
			return
		}
		l.nextTick = now.Add(lease.TickInterval / 2)
		if !now.Before(l.nextFleetView) {
			l.nextFleetView = now.Add(fleetViewInterval)
			l.execute(ctx, now, l.core.Step(now, l.fleetView(now)))
		}
	}
	l.execute(ctx, now, l.core.Step(now, ev))
}

func (l *leaseState) execute(ctx context.Context, now time.Time, actions []lease.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case lease.SetUnits:
			l.plane.limits.setUnits(a.Units, now)
			l.plane.groups.setUnits(a.Units)
		case lease.SendPromiseRequest:
			l.requestPromise(ctx, now, a)
		case lease.SendRetireRequest:
			l.requestRetirement(ctx, a)
		case lease.Transact:
			l.transact(ctx, a)
		case lease.ReadRows:
			l.readRows(ctx, a)
		case lease.ReportError:
			l.plane.cfg.Log.WithError(a.Err).Error("lease record is not valid")
		}
	}
	l.plane.limits.setLease(l.core.Status())
}

// fleetView returns the peers on the platform's instance list, the live peers and
// the preferred witnesses. This instance itself is in none of them.
func (l *leaseState) fleetView(now time.Time) lease.FleetView {
	p := l.plane
	var f lease.FleetView
	for id, v := range p.instances {
		if v.listed {
			f.Listed = append(f.Listed, id)
		}
		if v.alive(now) {
			f.Live = append(f.Live, lease.Peer{ID: id, Epoch: lease.Epoch(v.Epoch), Zone: v.Zone, Leaving: v.leaving})
		}
	}
	f.Witnesses = p.groups.witnesses(now)
	return f
}

// requestPromise asks a witness, in a heartbeat, for a promise not to grant the
// retirement of this instance's epoch for a limited time.
func (l *leaseState) requestPromise(ctx context.Context, now time.Time, a lease.SendPromiseRequest) {
	v := l.plane.instances[a.To]
	if v == nil || v.PeerAddress == "" {
		return
	}
	request := &pb.HeartbeatRequest{State: l.plane.state(now), AskPromise: true}
	request.State.Sender.Epoch = uint64(a.Epoch)
	// This only delays the next regular heartbeat; the promise counts from a.SentAt.
	v.lastHeartbeatSent = now
	go l.plane.exchangeHeartbeat(ctx, a.To, v.PeerAddress, request, a.SentAt)
}

// handlePromiseResponse processes a witness's response to a promise request. The
// parameter epoch is this instance's epoch in the request, sender.Epoch that of the
// witness.
func (l *leaseState) handlePromiseResponse(ctx context.Context, now time.Time, response *pb.HeartbeatResponse, epoch uint64, sentAt time.Time) {
	sender := response.State.GetSender()
	if sender == nil {
		return
	}
	l.step(ctx, now, lease.PromiseResponse{
		From: sender.Id, FromEpoch: lease.Epoch(sender.Epoch), Epoch: lease.Epoch(epoch),
		SentAt: sentAt, Length: time.Duration(response.PromisedMs) * time.Millisecond,
	})
}

// handlePromiseRequest grants a promise to the sender, or refuses it, and returns
// the promise's length in milliseconds; 0 is a refusal. The length is rounded down,
// so that the holder never relies on more than the witness promised. For a request
// from a peer, Step returns the response and no other action.
func (l *leaseState) handlePromiseRequest(now time.Time, sender *pb.Sender) uint64 {
	actions := l.core.Step(now, lease.PromiseRequest{From: sender.Id, Epoch: lease.Epoch(sender.Epoch)})
	for _, a := range actions {
		if reply, ok := a.(lease.SendPromiseResponse); ok {
			return uint64(reply.Length.Milliseconds())
		}
	}
	return 0
}

// handleRetireRequest responds to a peer's request to retire an epoch of the
// instance r.Id. The remaining time is rounded up, so that the peer never takes a
// promise for ended too early.
func (l *leaseState) handleRetireRequest(now time.Time, r *pb.RetireRequest) *pb.RetireResponse {
	response := &pb.RetireResponse{Sender: l.plane.sender()}
	event := lease.RetireRequest{From: r.GetSender().GetId(), ID: r.Id, Epoch: lease.Epoch(r.Epoch)}
	for _, a := range l.core.Step(now, event) {
		if reply, ok := a.(lease.SendRetireResponse); ok {
			response.Granted = reply.Granted
			response.RemainingMs = uint64((reply.Remaining + time.Millisecond - 1).Milliseconds())
		}
	}
	return response
}

// requestRetirement asks a witness to retire an epoch of the instance a.ID, which
// means to make no promise to that epoch again.
func (l *leaseState) requestRetirement(ctx context.Context, a lease.SendRetireRequest) {
	v := l.plane.instances[a.To]
	if v == nil || v.PeerAddress == "" {
		return
	}
	client := l.plane.cfg.Peers.Get(v.PeerAddress)
	request := &pb.RetireRequest{Sender: l.plane.sender(), Id: a.ID, Epoch: uint64(a.Epoch)}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		response, err := client.Retire(callCtx, request)
		if err != nil {
			// A grant whose response is lost only delays the reclaim: the state machine
			// repeats the request, and the witness grants it again.
			return
		}
		l.plane.post(ctx, func(now time.Time) {
			l.step(ctx, now, lease.RetireResponse{
				From: a.To, FromEpoch: lease.Epoch(response.GetSender().GetEpoch()), ID: a.ID, Epoch: a.Epoch,
				Granted: response.Granted, Remaining: time.Duration(response.RemainingMs) * time.Millisecond,
			})
		})
	}()
}

// transact writes to the store. It posts exactly one event for each call, because
// the state machine waits for the outcome of a write before it continues.
func (l *leaseState) transact(ctx context.Context, a lease.Transact) {
	writes := make([]platform.Write, 0, len(a.Writes))
	for _, w := range a.Writes {
		writes = append(writes, platform.Write{Key: w.Key, Value: w.Value, ExpectedVersion: w.Expected, Remove: w.Remove})
	}
	go func() {
		rows, err := l.plane.cfg.Store.Transact(ctx, writes...)
		l.plane.post(ctx, func(now time.Time) {
			switch {
			case err == nil:
				l.step(ctx, now, lease.TransactDone{Op: a.Op, Rows: leaseRows(rows)})
			case errors.Is(err, platform.ErrConflict):
				l.step(ctx, now, lease.TransactConflict{Op: a.Op})
			default:
				l.step(ctx, now, lease.TransactUnknown{Op: a.Op})
			}
		})
	}()
}

// readRows reads rows of the store and posts the result.
func (l *leaseState) readRows(ctx context.Context, a lease.ReadRows) {
	go func() {
		rows, err := l.plane.cfg.Store.ListRows(ctx, a.Prefix)
		l.plane.post(ctx, func(now time.Time) {
			if err != nil {
				l.step(ctx, now, lease.ReadFailed{Op: a.Op})
				return
			}
			l.setUnitsByHolder(rows)
			l.step(ctx, now, lease.Rows{Op: a.Op, Rows: leaseRows(rows)})
		})
	}()
}

func leaseRows(rows []platform.Row) []lease.Row {
	list := make([]lease.Row, 0, len(rows))
	for _, r := range rows {
		list = append(list, lease.Row{Key: r.Key, Value: r.Value, Version: r.Version})
	}
	return list
}

// setUnitsByHolder replaces unitsByHolder by the units in the rows that were read.
// A row that cannot be decoded is left out; the state machine, which receives the
// same rows, returns a ReportError for it.
func (l *leaseState) setUnitsByHolder(rows []platform.Row) {
	l.unitsByHolder = map[string]uint32{}
	for _, r := range rows {
		if r.Key == lease.PoolKey { // the row of the units that no instance holds
			continue
		}
		if record, err := lease.DecodeRecord(r.Value); err == nil {
			l.unitsByHolder[record.ID] += record.Units
		}
	}
	l.updateRolloutInstances()
}

// unitsByInstance returns a copy of unitsByHolder in which this instance has the
// units that it currently uses; they may differ from its lease record.
func (l *leaseState) unitsByInstance() map[string]uint32 {
	units := map[string]uint32{}
	for id, u := range l.unitsByHolder {
		units[id] = u
	}
	units[l.plane.cfg.Self.ID] = l.core.Status().Units
	return units
}

// updateRolloutInstances sets the instances of the configuration rollout: this one
// and all others that have a lease record. Until the records have been read, for
// example after a start during a store outage, the platform's instance list takes
// the place of the records.
func (l *leaseState) updateRolloutInstances() {
	ids := []string{l.plane.cfg.Self.ID}
	if l.unitsByHolder != nil {
		for id := range l.unitsByHolder {
			if id != l.plane.cfg.Self.ID {
				ids = append(ids, id)
			}
		}
	} else {
		for id, v := range l.plane.instances {
			if v.listed {
				ids = append(ids, id)
			}
		}
	}
	l.plane.rollout.core.SetInstances(ids)
}
