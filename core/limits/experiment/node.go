package experiment

import (
	"slices"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/core/limits"
)

const (
	// peerTimeout is the time without a heartbeat after which a peer no longer counts
	// as live.
	peerTimeout = 1200 * time.Millisecond
	// leaseTickInterval is the interval between two Tick events of the lease.
	leaseTickInterval = 50 * time.Millisecond
	// rpcTimeout is the timeout of a call to a peer.
	rpcTimeout = 200 * time.Millisecond
)

// Node is one process of a simulated instance.
type Node struct {
	fleet *Fleet
	ID    string
	// processKey is the store key of the process's lease row in its first epoch; a row
	// of a later epoch has another key. It identifies the process to the store.
	processKey string
	lease      *lease.Lease
	buckets    map[string]*limits.Bucket
	heartbeats map[string]lastHeartbeat
	// promiseRequestedAt is when each peer was last asked for a promise.
	promiseRequestedAt map[string]time.Time
	// dead is set once the process has ended, killed or after a graceful shutdown.
	dead   bool
	paused bool
	// deferred holds the events that arrived during a pause.
	deferred []func()
	// clockDrift is the fraction by which the clock runs fast (or slow, if negative).
	clockDrift float64
	// waitingRequests holds the callbacks of the requests that wait in a bucket. A
	// request is settled when it is admitted or refused.
	waitingRequests map[requestKey]func(admitted bool)
	// settleScheduled holds the limits with a pending call of settleNow.
	settleScheduled map[string]bool
	// hasLeft is set once the process has ended by a graceful shutdown.
	hasLeft bool
	// lastLenders holds the lenders that were last passed to the buckets.
	lastLenders []string
}

type lastHeartbeat struct {
	at      time.Time
	epoch   lease.Epoch
	leaving bool
}

type requestKey struct {
	limit  string
	ticket uint64
}

// now returns the time of the instance's own clock, which may run fast or slow.
func (n *Node) now() time.Time {
	return simulationStart.Add(time.Duration(float64(n.fleet.Sim.Elapsed()) * (1 + n.clockDrift)))
}

// run executes f, or defers it until the process resumes. A dead process drops it.
// The periodic work of start is skipped during a pause, not deferred.
func (n *Node) run(f func()) {
	switch {
	case n.dead:
	case n.paused:
		n.deferred = append(n.deferred, f)
	default:
		f()
	}
}

// start creates the lease and the buckets and schedules the periodic work,
// of which a standalone instance has none.
func (n *Node) start() {
	s := n.fleet.Sim
	epoch := n.fleet.nextEpoch()
	n.processKey = lease.HolderKey(n.ID, epoch)
	n.lease = lease.New(lease.Config{ID: n.ID, Zone: "z", Epoch: epoch}, n.now())
	for _, l := range n.fleet.Limits {
		n.buckets[l.Name] = limits.NewBucket(l, 0, n.now())
	}
	if n.fleet.Standalone {
		return
	}
	s.Every(s.Between(0, leaseTickInterval), leaseTickInterval, func() bool {
		if !n.paused {
			n.run(n.tickLease)
		}
		return !n.dead
	})
	s.Every(s.Between(0, limits.TickInterval), limits.TickInterval, func() bool {
		if !n.paused {
			n.run(n.tickLimits)
		}
		return !n.dead
	})
	s.Every(s.Between(0, lease.RenewInterval), lease.RenewInterval, func() bool {
		if !n.paused {
			n.run(n.sendHeartbeats)
		}
		return !n.dead
	})
}

func (n *Node) setUnits(units uint32) {
	for _, b := range n.buckets {
		b.Step(n.now(), limits.SetUnits{Units: units})
	}
}

// deadline returns the end of the lease. A standalone instance holds no lease; its
// deadline is always one hour ahead.
func (n *Node) deadline() time.Time {
	if n.fleet.Standalone {
		return n.now().Add(time.Hour)
	}
	return n.lease.Status().Deadline
}

// sendHeartbeats sends a heartbeat to the peers that were not recently asked for a
// promise: such a request also counts as a heartbeat.
func (n *Node) sendHeartbeats() {
	st := n.lease.Status()
	for _, peer := range n.fleet.ids {
		requestedAt, ok := n.promiseRequestedAt[peer]
		if peer != n.ID && (!ok || n.now().Sub(requestedAt) > lease.RenewInterval+leaseTickInterval) {
			n.fleet.send(n, peer, func(p *Node) { p.recordHeartbeat(n.ID, st.Epoch, st.Leaving) })
		}
	}
}

func (n *Node) recordHeartbeat(id string, e lease.Epoch, leaving bool) {
	n.heartbeats[id] = lastHeartbeat{at: n.now(), epoch: e, leaving: leaving}
}

// tickLease passes the current view of the fleet and a Tick to the lease.
func (n *Node) tickLease() {
	view := lease.FleetView{}
	for _, id := range n.livePeers() {
		h := n.heartbeats[id]
		view.Live = append(view.Live, lease.Peer{ID: id, Epoch: h.epoch, Leaving: h.leaving})
		if !h.leaving && len(view.Witnesses) < n.fleet.Witnesses {
			view.Witnesses = append(view.Witnesses, lease.Witness{ID: id, Start: h.epoch.Start()})
		}
	}
	// Simulates the platform's list of the running instances.
	if n.fleet.PlatformListsLive {
		view.Listed = n.fleet.alive()
	}
	n.stepLease(view)
	n.stepLease(lease.Tick{})
	if n.lease.Departed() && !n.hasLeft {
		n.hasLeft, n.dead = true, true
	}
}

// livePeers returns the sorted IDs of the peers with a recent heartbeat.
func (n *Node) livePeers() []string {
	var ids []string
	for id, h := range n.heartbeats {
		if n.now().Sub(h.at) < peerTimeout {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// stepLease passes an event to the lease and executes the resulting actions.
func (n *Node) stepLease(ev lease.Event) {
	for _, a := range n.lease.Step(n.now(), ev) {
		n.executeLeaseAction(a)
	}
}

func (n *Node) executeLeaseAction(a lease.Action) {
	f := n.fleet
	switch a := a.(type) {
	case lease.SetUnits:
		if !n.fleet.SchemeSetsUnits {
			n.setUnits(a.Units)
		}
	case lease.SendPromiseRequest:
		n.promiseRequestedAt[a.To] = n.now()
		st := n.lease.Status()
		f.send(n, a.To, func(p *Node) {
			p.recordHeartbeat(n.ID, st.Epoch, st.Leaving)
			for _, r := range p.lease.Step(p.now(), lease.PromiseRequest{From: n.ID, Epoch: a.Epoch}) {
				reply, epoch, leaving := r.(lease.SendPromiseResponse), p.lease.Status().Epoch, p.lease.Status().Leaving
				f.reply(p, n, func() {
					n.recordHeartbeat(p.ID, epoch, leaving)
					n.stepLease(lease.PromiseResponse{From: p.ID, FromEpoch: epoch, Epoch: a.Epoch, SentAt: a.SentAt, Length: reply.Length})
				})
			}
		})
	case lease.SendRetireRequest:
		f.send(n, a.To, func(p *Node) {
			for _, r := range p.lease.Step(p.now(), lease.RetireRequest{From: n.ID, ID: a.ID, Epoch: a.Epoch}) {
				reply, epoch := r.(lease.SendRetireResponse), p.lease.Status().Epoch
				f.reply(p, n, func() {
					n.stepLease(lease.RetireResponse{From: p.ID, FromEpoch: epoch, ID: a.ID, Epoch: a.Epoch,
						Granted: reply.Granted, Remaining: reply.Remaining})
				})
			}
		})
	// The last callback of Transact and List is called if there is no response.
	case lease.Transact:
		f.Store.Transact(n.processKey, a.Writes, func(rows []lease.Row, ok bool) {
			n.run(func() {
				if ok {
					n.stepLease(lease.TransactDone{Op: a.Op, Rows: rows})
				} else {
					n.stepLease(lease.TransactConflict{Op: a.Op})
				}
			})
		}, func() { n.run(func() { n.stepLease(lease.TransactUnknown{Op: a.Op}) }) })
	case lease.ReadRows:
		f.Store.List(a.Prefix, func(rows []lease.Row) {
			n.run(func() { n.stepLease(lease.Rows{Op: a.Op, Rows: rows}) })
		}, func() { n.run(func() { n.stepLease(lease.ReadFailed{Op: a.Op}) }) })
	}
}

// tickLimits updates the peers of the buckets, lets the buckets handle loans, and
// settles waiting requests. Without loans it only settles waiting requests.
func (n *Node) tickLimits() {
	if !n.fleet.Loans {
		for _, l := range n.fleet.Limits {
			n.settleNow(l)
		}
		return
	}
	deadline, peers := n.lease.Status().Deadline, n.lenders()
	if !slices.Equal(peers, n.lastLenders) {
		n.lastLenders = peers
		for _, b := range n.buckets {
			b.Step(n.now(), limits.SetPeers{Self: n.ID, Peers: peers})
		}
	}
	for _, l := range n.fleet.Limits {
		b := n.buckets[l.Name]
		if !b.IsIdle() {
			n.executeLoanActions(b, b.Step(n.now(), limits.Tick{Deadline: deadline}))
		}
		n.settleNow(l)
	}
}

// lenders returns the live peers that may be asked for loans: those that are not
// leaving.
func (n *Node) lenders() []string {
	return slices.DeleteFunc(n.livePeers(), func(id string) bool { return n.heartbeats[id].leaving })
}

// executeLoanActions sends the requests for loans and passes the responses to the
// bucket.
func (n *Node) executeLoanActions(b *limits.Bucket, actions []limits.Action) {
	f := n.fleet
	for _, a := range actions {
		request, ok := a.(limits.RequestLoan)
		if !ok {
			continue
		}
		epoch := uint64(n.lease.Status().Epoch)
		f.send(n, request.To, func(p *Node) {
			lender := p.buckets[request.Limit]
			for _, g := range lender.Step(p.now(), limits.LoanRequested{
				From: n.ID, FromEpoch: epoch, LoanID: request.LoanID, Rate: request.Rate, Burst: request.Burst,
				Tokens: request.Tokens, Deadline: p.lease.Status().Deadline,
			}) {
				g := g.(limits.GrantLoan)
				f.reply(p, n, func() {
					b.Step(n.now(), limits.LoanResponse{
						From: p.ID, LoanID: g.LoanID, Rate: g.Rate, Burst: g.Burst, Tokens: g.Tokens, Duration: g.Duration,
					})
					n.settleNow(b.Limit())
				})
			}
		})
		// LoanRequestFailed has no effect if the response has already removed the
		// pending request.
		f.Sim.After(rpcTimeout, func() {
			n.run(func() { b.Step(n.now(), limits.LoanRequestFailed{From: request.To, LoanID: request.LoanID}) })
		})
	}
}

// Request takes one token of the limit and calls respond once with the result.
func (n *Node) Request(l bundle.Limit, respond func(admitted bool)) {
	if n.dead {
		respond(false)
		return
	}
	b := n.buckets[l.Name]
	st := n.lease.Status()
	switch d := b.Take(n.now(), n.deadline()); d.Outcome {
	case limits.Admitted:
		n.fleet.onAdmitted(n, l.Name)
		respond(true)
	case limits.Refused:
		respond(false)
	case limits.Waiting:
		n.waitingRequests[requestKey{l.Name, d.Ticket}] = respond
		n.settleLater(l)
		if n.fleet.Loans {
			n.executeLoanActions(b, b.Step(n.now(), limits.Tick{Deadline: st.Deadline}))
		}
	}
}

// settleNow responds to the waiting requests that can be admitted or have waited too
// long.
func (n *Node) settleNow(l bundle.Limit) {
	for _, r := range n.buckets[l.Name].Settle(n.now(), n.deadline()) {
		key := requestKey{l.Name, r.Ticket}
		respond := n.waitingRequests[key]
		delete(n.waitingRequests, key)
		if r.Admitted {
			n.fleet.onAdmitted(n, l.Name)
		}
		respond(r.Admitted)
	}
	n.settleLater(l)
}

// settleLater schedules settleNow for the earliest time at which a waiting request
// can be admitted or refused, unless a call is already scheduled.
func (n *Node) settleLater(l bundle.Limit) {
	at, ok := n.buckets[l.Name].NextSettle(n.now())
	if !ok || n.settleScheduled[l.Name] {
		return
	}
	n.settleScheduled[l.Name] = true
	n.fleet.Sim.After(max(at.Sub(n.now()), time.Millisecond), func() {
		n.run(func() {
			n.settleScheduled[l.Name] = false
			n.settleNow(l)
		})
	})
}
