package experiment

import (
	"slices"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/core/limits"
)

const (
	// aliveFor is the time after its last heartbeat for which a peer is live.
	aliveFor = 1200 * time.Millisecond
	// leaseTick is the period of the control loop.
	leaseTick = 50 * time.Millisecond
	// rpcTimeout is the time after which a call to a peer has failed.
	rpcTimeout = 200 * time.Millisecond
)

// Node is one simulated instance.
type Node struct {
	fleet *Fleet
	ID    string
	// process is the key of the first row of the process.
	process string
	lease   *lease.Lease
	buckets map[string]*limits.Bucket
	heard   map[string]heardFrom
	asked   map[string]time.Time
	dead    bool
	paused  bool
	inbox   []func()
	drift   float64
	waiting map[waitKey]func(admitted bool)
	settle  map[string]bool
	left    bool
	known   []string
}

type heardFrom struct {
	at      time.Time
	epoch   lease.Epoch
	leaving bool
}

type waitKey struct {
	limit  string
	ticket uint64
}

// now reads the instance's own clock, which may run fast or slow.
func (n *Node) now() time.Time {
	return epochStart.Add(time.Duration(float64(n.fleet.Sim.Elapsed()) * (1 + n.drift)))
}

// run executes f, after the end of a pause.
func (n *Node) run(f func()) {
	switch {
	case n.dead:
	case n.paused:
		n.inbox = append(n.inbox, f)
	default:
		f()
	}
}

func (n *Node) start() {
	s := n.fleet.Sim
	epoch := n.fleet.nextEpoch()
	n.process = lease.HolderKey(n.ID, epoch)
	n.lease = lease.New(lease.Config{ID: n.ID, Zone: "z", Epoch: epoch}, n.now())
	for _, l := range n.fleet.Limits {
		n.buckets[l.Name] = limits.NewBucket(l, 0, n.now())
	}
	if n.fleet.Detached {
		return
	}
	s.Every(s.Between(0, leaseTick), leaseTick, func() bool {
		if !n.paused {
			n.run(n.tickLease)
		}
		return !n.dead
	})
	s.Every(s.Between(0, limits.TickEvery), limits.TickEvery, func() bool {
		if !n.paused {
			n.run(n.tickLimits)
		}
		return !n.dead
	})
	s.Every(s.Between(0, lease.RenewInterval), lease.RenewInterval, func() bool {
		if !n.paused {
			n.run(n.heartbeat)
		}
		return !n.dead
	})
}

func (n *Node) setUnits(units uint32) {
	for _, b := range n.buckets {
		b.Step(n.now(), limits.SetUnits{Units: units})
	}
}

// deadline is the end of the lease; a detached instance has one without end.
func (n *Node) deadline() time.Time {
	if n.fleet.Detached {
		return n.now().Add(time.Hour)
	}
	return n.lease.Status().Deadline
}

// heartbeat goes to the fellow instances that were not just asked for a promise:
// such a request is a heartbeat itself.
func (n *Node) heartbeat() {
	st := n.lease.Status()
	for _, peer := range n.fleet.order {
		asked, ok := n.asked[peer]
		if peer != n.ID && (!ok || n.now().Sub(asked) > lease.RenewInterval+leaseTick) {
			n.fleet.send(n, peer, func(p *Node) { p.hear(n.ID, st.Epoch, st.Leaving) })
		}
	}
}

func (n *Node) hear(id string, e lease.Epoch, leaving bool) {
	n.heard[id] = heardFrom{at: n.now(), epoch: e, leaving: leaving}
}

func (n *Node) tickLease() {
	f := lease.FleetView{}
	for _, id := range n.peers() {
		h := n.heard[id]
		f.Live = append(f.Live, lease.Peer{ID: id, Epoch: h.epoch, Leaving: h.leaving})
		if !h.leaving && len(f.Witnesses) < n.fleet.Witnesses {
			f.Witnesses = append(f.Witnesses, lease.Witness{ID: id, Start: h.epoch.Start()})
		}
	}
	if n.fleet.ListAbsent {
		f.Listed = n.fleet.alive()
	}
	n.step(f)
	n.step(lease.Tick{})
	if n.lease.Departed() && !n.left {
		n.left, n.dead = true, true
	}
}

// peers returns the fellow instances heard of lately, in order.
func (n *Node) peers() []string {
	var ids []string
	for id, h := range n.heard {
		if n.now().Sub(h.at) < aliveFor {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) step(ev lease.Event) {
	for _, a := range n.lease.Step(n.now(), ev) {
		n.act(a)
	}
}

func (n *Node) act(a lease.Action) {
	f := n.fleet
	switch a := a.(type) {
	case lease.SetUnits:
		if !n.fleet.OwnUnits {
			n.setUnits(a.Units)
		}
	case lease.SendPromiseRequest:
		n.asked[a.To] = n.now()
		st := n.lease.Status()
		f.send(n, a.To, func(p *Node) {
			p.hear(n.ID, st.Epoch, st.Leaving)
			for _, r := range p.lease.Step(p.now(), lease.PromiseRequest{From: n.ID, Epoch: a.Epoch}) {
				reply, epoch, leaving := r.(lease.SendPromiseResponse), p.lease.Status().Epoch, p.lease.Status().Leaving
				f.reply(p, n, func() {
					n.hear(p.ID, epoch, leaving)
					n.step(lease.PromiseResponse{From: p.ID, FromEpoch: epoch, Epoch: a.Epoch, SentAt: a.SentAt, Length: reply.Length})
				})
			}
		})
	case lease.SendRetireRequest:
		f.send(n, a.To, func(p *Node) {
			for _, r := range p.lease.Step(p.now(), lease.RetireRequest{From: n.ID, ID: a.ID, Epoch: a.Epoch}) {
				reply, epoch := r.(lease.SendRetireResponse), p.lease.Status().Epoch
				f.reply(p, n, func() {
					n.step(lease.RetireResponse{From: p.ID, FromEpoch: epoch, ID: a.ID, Epoch: a.Epoch,
						Granted: reply.Granted, Remaining: reply.Remaining})
				})
			}
		})
	case lease.Transact:
		f.Store.Transact(n.process, a.Writes, func(rows []lease.Row, ok bool) {
			n.run(func() {
				if ok {
					n.step(lease.TransactDone{Op: a.Op, Rows: rows})
				} else {
					n.step(lease.TransactConflict{Op: a.Op})
				}
			})
		}, func() { n.run(func() { n.step(lease.TransactUnknown{Op: a.Op}) }) })
	case lease.ReadRows:
		f.Store.List(a.Prefix, func(rows []lease.Row) {
			n.run(func() { n.step(lease.Rows{Op: a.Op, Rows: rows}) })
		}, func() { n.run(func() { n.step(lease.ReadFailed{Op: a.Op}) }) })
	}
}

func (n *Node) tickLimits() {
	if !n.fleet.Loans {
		for _, l := range n.fleet.Limits {
			n.settleNow(l)
		}
		return
	}
	deadline, peers := n.lease.Status().Deadline, n.lenders()
	if !slices.Equal(peers, n.known) {
		n.known = peers
		for _, b := range n.buckets {
			b.Step(n.now(), limits.SetPeers{Self: n.ID, Peers: peers})
		}
	}
	for _, l := range n.fleet.Limits {
		b := n.buckets[l.Name]
		if !b.Idle() {
			n.actLimits(b, b.Step(n.now(), limits.Tick{Deadline: deadline}))
		}
		n.settleNow(l)
	}
}

func (n *Node) lenders() []string {
	return slices.DeleteFunc(n.peers(), func(id string) bool { return n.heard[id].leaving })
}

func (n *Node) actLimits(b *limits.Bucket, actions []limits.Action) {
	f := n.fleet
	for _, a := range actions {
		ask, ok := a.(limits.Borrow)
		if !ok {
			continue
		}
		epoch := uint64(n.lease.Status().Epoch)
		f.send(n, ask.To, func(p *Node) {
			lender := p.buckets[ask.Limit]
			for _, g := range lender.Step(p.now(), limits.BorrowAsked{
				From: n.ID, FromEpoch: epoch, LoanID: ask.LoanID, Rate: ask.Rate, Burst: ask.Burst,
				Tokens: ask.Tokens, Deadline: p.lease.Status().Deadline,
			}) {
				g := g.(limits.Grant)
				f.reply(p, n, func() {
					b.Step(n.now(), limits.LoanAnswer{
						From: p.ID, LoanID: g.LoanID, Rate: g.Rate, Burst: g.Burst, Tokens: g.Tokens, Length: g.Length,
					})
					n.settleNow(b.Limit())
				})
			}
		})
		f.Sim.After(rpcTimeout, func() {
			n.run(func() { b.Step(n.now(), limits.LoanFailed{From: ask.To, LoanID: ask.LoanID}) })
		})
	}
}

// Request asks for one token of the limit; answer is called once.
func (n *Node) Request(l bundle.Limit, answer func(admitted bool)) {
	if n.dead {
		answer(false)
		return
	}
	b := n.buckets[l.Name]
	st := n.lease.Status()
	switch d := b.Take(n.now(), n.deadline()); d.Outcome {
	case limits.Admitted:
		n.fleet.admitted(n, l.Name)
		answer(true)
	case limits.Refused:
		answer(false)
	case limits.Waiting:
		n.waiting[waitKey{l.Name, d.Ticket}] = answer
		n.settleLater(l)
		if n.fleet.Loans {
			n.actLimits(b, b.Step(n.now(), limits.Tick{Deadline: st.Deadline}))
		}
	}
}

// settleNow ends the waits that can end.
func (n *Node) settleNow(l bundle.Limit) {
	for _, r := range n.buckets[l.Name].Settle(n.now(), n.deadline()) {
		key := waitKey{l.Name, r.Ticket}
		answer := n.waiting[key]
		delete(n.waiting, key)
		if r.Admitted {
			n.fleet.admitted(n, l.Name)
		}
		answer(r.Admitted)
	}
	n.settleLater(l)
}

func (n *Node) settleLater(l bundle.Limit) {
	at, ok := n.buckets[l.Name].NextSettle(n.now())
	if !ok || n.settle[l.Name] {
		return
	}
	n.settle[l.Name] = true
	n.fleet.Sim.After(max(at.Sub(n.now()), time.Millisecond), func() {
		n.run(func() {
			n.settle[l.Name] = false
			n.settleNow(l)
		})
	})
}
