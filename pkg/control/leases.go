package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/pkg/platform"
	pb "github.com/mulberrysill/mulberrysill/rpc/peer"
)

// fleetInterval is the period at which the lease core gets the view of the
// fleet; ranks and witnesses need no finer one.
const fleetInterval = 200 * time.Millisecond

// leaseState drives core/lease. The control goroutine owns it.
type leaseState struct {
	plane     *Plane
	core      *lease.Lease
	nextFleet time.Time
	nextTick  time.Time
	// holders are the units of the instances with a lease record in the store
	// at the last read; nil before the first one.
	holders map[string]uint32
}

func newLeaseState(p *Plane) *leaseState {
	return &leaseState{
		plane: p,
		core: lease.New(lease.Config{
			ID: p.cfg.Self.ID, Zone: p.cfg.Self.Zone, Epoch: lease.Epoch(p.cfg.Self.Epoch),
		}, p.start),
	}
}

func (l *leaseState) epoch() uint64 { return uint64(l.core.Status().Epoch) }

// step feeds one event and executes the actions in order.
func (l *leaseState) step(ctx context.Context, now time.Time, ev lease.Event) {
	if _, isTick := ev.(lease.Tick); isTick {
		if now.Before(l.nextTick) {
			return
		}
		l.nextTick = now.Add(lease.TickInterval / 2)
		if !now.Before(l.nextFleet) {
			l.nextFleet = now.Add(fleetInterval)
			l.execute(ctx, now, l.core.Step(now, l.fleet(now)))
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
			l.askPromise(ctx, now, a)
		case lease.SendRetireRequest:
			l.askRetire(ctx, a)
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

// fleet returns the view of the fleet that the lease core works with.
func (l *leaseState) fleet(now time.Time) lease.FleetView {
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

func (l *leaseState) askPromise(ctx context.Context, now time.Time, a lease.SendPromiseRequest) {
	v := l.plane.instances[a.To]
	if v == nil || v.PeerAddress == "" {
		return
	}
	request := &pb.HeartbeatRequest{State: l.plane.state(now), AskPromise: true}
	request.State.Sender.Epoch = uint64(a.Epoch)
	v.lastBeat = now
	go l.plane.beat(ctx, a.To, v.PeerAddress, request, a.SentAt)
}

// promised takes in a witness's promise.
func (l *leaseState) promised(ctx context.Context, now time.Time, answer *pb.HeartbeatResponse, epoch uint64, sentAt time.Time) {
	sender := answer.State.GetSender()
	if sender == nil {
		return
	}
	l.step(ctx, now, lease.PromiseResponse{
		From: sender.Id, FromEpoch: lease.Epoch(sender.Epoch), Epoch: lease.Epoch(epoch),
		SentAt: sentAt, Length: time.Duration(answer.PromisedMs) * time.Millisecond,
	})
}

// promise answers a peer's request for a promise with its length in
// milliseconds; 0 is a refusal.
func (l *leaseState) promise(now time.Time, sender *pb.Sender) uint64 {
	actions := l.core.Step(now, lease.PromiseRequest{From: sender.Id, Epoch: lease.Epoch(sender.Epoch)})
	for _, a := range actions {
		if reply, ok := a.(lease.SendPromiseResponse); ok {
			return uint64(reply.Length.Milliseconds())
		}
	}
	return 0
}

func (l *leaseState) retire(now time.Time, r *pb.RetireRequest) *pb.RetireResponse {
	answer := &pb.RetireResponse{Sender: l.plane.sender()}
	event := lease.RetireRequest{From: r.GetSender().GetId(), ID: r.Id, Epoch: lease.Epoch(r.Epoch)}
	for _, a := range l.core.Step(now, event) {
		if reply, ok := a.(lease.SendRetireResponse); ok {
			answer.Granted = reply.Granted
			answer.RemainingMs = uint64((reply.Remaining + time.Millisecond - 1).Milliseconds())
		}
	}
	return answer
}

func (l *leaseState) askRetire(ctx context.Context, a lease.SendRetireRequest) {
	v := l.plane.instances[a.To]
	if v == nil || v.PeerAddress == "" {
		return
	}
	client := l.plane.cfg.Peers.Get(v.PeerAddress)
	request := &pb.RetireRequest{Sender: l.plane.sender(), Id: a.ID, Epoch: uint64(a.Epoch)}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		answer, err := client.Retire(callCtx, request)
		if err != nil {
			return
		}
		l.plane.post(ctx, func(now time.Time) {
			l.step(ctx, now, lease.RetireResponse{
				From: a.To, FromEpoch: lease.Epoch(answer.GetSender().GetEpoch()), ID: a.ID, Epoch: a.Epoch,
				Granted: answer.Granted, Remaining: time.Duration(answer.RemainingMs) * time.Millisecond,
			})
		})
	}()
}

// transact writes to the store. Each call yields exactly one event, since the
// core waits for the outcome of a write before it goes on.
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

func (l *leaseState) readRows(ctx context.Context, a lease.ReadRows) {
	go func() {
		rows, err := l.plane.cfg.Store.ListRows(ctx, a.Prefix)
		l.plane.post(ctx, func(now time.Time) {
			if err != nil {
				l.step(ctx, now, lease.ReadFailed{Op: a.Op})
				return
			}
			l.noteHolders(rows)
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

func (l *leaseState) noteHolders(rows []platform.Row) {
	l.holders = map[string]uint32{}
	for _, r := range rows {
		if r.Key == lease.PoolKey {
			continue
		}
		if record, err := lease.DecodeRecord(r.Value); err == nil {
			l.holders[record.ID] += record.Units
		}
	}
	l.updateMembers()
}

// fleetUnits returns the units of every instance, with this instance's own
// units in force in place of those of its record.
func (l *leaseState) fleetUnits() map[string]uint32 {
	units := map[string]uint32{}
	for id, u := range l.holders {
		units[id] = u
	}
	units[l.plane.cfg.Self.ID] = l.core.Status().Units
	return units
}

// updateMembers tells the rollout which instances have a lease record. Before
// the records were read, as on a start during a store outage, the platform's
// list stands in for them.
func (l *leaseState) updateMembers() {
	ids := []string{l.plane.cfg.Self.ID}
	if l.holders != nil {
		for id := range l.holders {
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
