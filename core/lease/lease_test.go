package lease_test

import (
	"testing"
	"time"

	"github.com/mulberrysill/mulberrysill/core/lease"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

var start = time.Unix(1_700_000_000, 0)

func epoch(ms int) lease.Epoch {
	return lease.NewEpoch(start.Add(time.Duration(ms) * time.Millisecond))
}

// instance runs one lease against a simulated store.
type instance struct {
	*lease.Lease
	rows map[string]lease.Row
	// storeAnswers is false during a store outage: reads fail, and the outcome of
	// writes is unknown.
	storeAnswers bool
	units        uint32
	// timesEmptied counts how often all units were taken out of use.
	timesEmptied    int
	promiseRequests []lease.SendPromiseRequest
	retireRequests  []lease.SendRetireRequest
	// lostOps are the writes with an unknown outcome.
	lostOps []uint64
}

func newInstance(id string) *instance {
	l := lease.New(lease.Config{ID: id, Zone: "z", Epoch: epoch(0)}, start)
	return &instance{Lease: l, rows: map[string]lease.Row{}, storeAnswers: true}
}

func (i *instance) step(now time.Time, ev lease.Event) {
	for _, a := range i.Step(now, ev) {
		i.execute(now, a)
	}
}

func (i *instance) execute(now time.Time, a lease.Action) {
	switch a := a.(type) {
	case lease.SetUnits:
		i.units = a.Units
		if a.Units == 0 {
			i.timesEmptied++
		}
	case lease.SendPromiseRequest:
		i.promiseRequests = append(i.promiseRequests, a)
	case lease.SendRetireRequest:
		i.retireRequests = append(i.retireRequests, a)
	case lease.ReadRows:
		if !i.storeAnswers {
			i.step(now, lease.ReadFailed{Op: a.Op})
			return
		}
		ev := lease.Rows{Op: a.Op}
		for _, r := range i.rows {
			ev.Rows = append(ev.Rows, r)
		}
		i.step(now, ev)
	case lease.Transact:
		i.transact(now, a)
	}
}

func (i *instance) transact(now time.Time, a lease.Transact) {
	if !i.storeAnswers {
		i.lostOps = append(i.lostOps, a.Op)
		i.step(now, lease.TransactUnknown{Op: a.Op})
		return
	}
	var done []lease.Row
	for _, w := range a.Writes {
		if i.rows[w.Key].Version != w.Expected {
			i.step(now, lease.TransactConflict{Op: a.Op})
			return
		}
	}
	for _, w := range a.Writes {
		if w.Remove {
			delete(i.rows, w.Key)
			continue
		}
		i.rows[w.Key] = lease.Row{Key: w.Key, Value: w.Value, Version: w.Expected + 1}
		done = append(done, i.rows[w.Key])
	}
	i.step(now, lease.TransactDone{Op: a.Op, Rows: done})
}

// run sends ticks for the duration and returns the time at its end.
func (i *instance) run(from time.Time, d time.Duration) time.Time {
	for t := from; t.Before(from.Add(d)); t = t.Add(lease.TickInterval) {
		i.step(t, lease.Tick{})
	}
	return from.Add(d)
}

// promise answers the outstanding promise requests to the given witnesses with a
// promise, and discards the other requests.
func (i *instance) promise(now time.Time, from ...string) {
	for _, a := range i.promiseRequests {
		for _, id := range from {
			if a.To == id {
				i.step(now, lease.PromiseResponse{From: id, FromEpoch: epoch(1), Epoch: a.Epoch, SentAt: a.SentAt, Length: lease.TTL})
			}
		}
	}
	i.promiseRequests = nil
}

// peers returns a fleet view in which the peers are live and preferred witnesses.
func peers(ids ...string) (f lease.FleetView) {
	for _, id := range ids {
		f.Live = append(f.Live, lease.Peer{ID: id, Epoch: epoch(1)})
		f.Witnesses = append(f.Witnesses, lease.Witness{ID: id, Start: epoch(1).Start()})
	}
	return f
}

var _ = Describe("A holder", func() {
	It("is renewed by a majority of its witnesses, counted from the sending of the request", func() {
		// Guards against a deadline counted from the response, and against renewal by
		// a minority.
		a := newInstance("a")
		a.step(start, peers("b", "c", "d"))
		now := a.run(start, 600*time.Millisecond)
		a.storeAnswers = false
		Expect(a.promiseRequests).NotTo(BeEmpty())
		sent := a.promiseRequests[len(a.promiseRequests)-1].SentAt
		before := a.Status().Deadline
		a.promiseRequests = a.promiseRequests[len(a.promiseRequests)-3:]
		requests := a.promiseRequests
		a.promise(now, "b")
		Expect(a.Status().Deadline).To(Equal(before))
		a.promiseRequests = requests
		a.promise(now.Add(time.Second), "c")
		Expect(a.Status().Deadline).To(Equal(sent.Add(2700 * time.Millisecond)))
	})

	It("renews in the store if no majority answers, and expires without either", func() {
		a := newInstance("a")
		a.step(start, peers("b", "c", "d"))
		now := a.run(start, 10*time.Second)
		Expect(a.Valid(now)).To(BeTrue())
		a.storeAnswers = false
		now = a.run(now, 4*time.Second)
		Expect(a.Valid(now)).To(BeFalse())
		Expect(a.Status().Units).To(Equal(a.units))
		// The epoch was not retired, so it can be renewed again.
		a.promiseRequests = nil
		now = a.run(now, time.Second)
		a.promise(now, "b", "c")
		Expect(a.Valid(now)).To(BeTrue())
	})

	It("joins again with a new epoch once its row is gone", func() {
		// Guards against a retired holder that continues with its old epoch.
		a := newInstance("a")
		now := a.run(start, time.Second)
		old := a.Status().Epoch
		Expect(a.units).To(BeEquivalentTo(lease.TotalUnits))
		clear(a.rows)
		a.rows[lease.PoolKey] = lease.Row{Key: lease.PoolKey, Value: lease.Pool{Units: 7}.Encode(), Version: 9}
		now = a.run(now, 6*time.Second)
		Expect(a.Status().Epoch).To(BeNumerically(">", old))
		Expect(a.units).To(BeEquivalentTo(7))
		// The token buckets were emptied, so no token of the old epoch is left.
		Expect(a.timesEmptied).To(Equal(1))
		Expect(a.Valid(now)).To(BeTrue())
	})

	It("ignores promises from another process of a witness", func() {
		// Guards against a restarted witness that has lost its record of a retirement.
		a := newInstance("a")
		a.step(start, peers("b", "c", "d"))
		now := a.run(start, 600*time.Millisecond)
		a.storeAnswers = false
		before := a.Status().Deadline
		for _, request := range a.promiseRequests {
			a.step(now.Add(time.Second), lease.PromiseResponse{From: request.To, FromEpoch: epoch(2), Epoch: request.Epoch, SentAt: request.SentAt, Length: lease.TTL})
		}
		Expect(a.Status().Deadline).To(Equal(before))
	})

	It("needs a majority of both sets while a change of witnesses is unresolved", func() {
		// Guards against a renewal by witnesses that a reclaimer does not ask, because
		// it sees the other version of the row.
		a := newInstance("a")
		a.step(start, peers("b", "c", "d"))
		now := a.run(start, 600*time.Millisecond)
		a.storeAnswers = false
		a.step(now, peers("e", "f", "g"))
		Expect(a.lostOps).NotTo(BeEmpty())
		before := a.Status().Deadline
		now = a.run(now, time.Second)
		requests := a.promiseRequests
		a.promise(now, "b", "c", "d")
		Expect(a.Status().Deadline).To(Equal(before))
		a.promiseRequests = requests
		a.promise(now, "e", "f")
		Expect(a.Status().Deadline).To(BeTemporally(">", before))
	})

	It("replaces a refused epoch, is not renewed meanwhile, and never reuses an epoch", func() {
		// Guards against two rows that hold the same units, and against an epoch that
		// is used again after its retirement (rapid seed 147 of the fleet test).
		a := newInstance("a")
		a.step(start, peers("b", "c", "d"))
		now := start
		for now.Before(start.Add(7 * time.Second)) {
			now = a.run(now, 100*time.Millisecond)
			a.storeAnswers = now.Before(start.Add(6 * time.Second))
			for _, request := range a.promiseRequests {
				a.step(now, lease.PromiseResponse{From: request.To, FromEpoch: epoch(1), Epoch: request.Epoch, SentAt: request.SentAt})
			}
			a.promiseRequests = nil
		}
		Expect(a.lostOps).NotTo(BeEmpty())
		a.run(now, 2*time.Second)
		Expect(a.promiseRequests).To(BeEmpty())
		clear(a.rows)
		a.storeAnswers = true
		a.run(now.Add(2*time.Second), 10*time.Second)
		Expect(a.Status().Epoch).To(Equal(epoch(0) + 2))
	})

	It("lowers its units before the write, and keeps them low while the outcome is unknown", func() {
		// Guards against units that are used by their old and their new holder at once.
		a := newInstance("a")
		now := a.run(start, time.Second)
		a.step(now, peers("b"))
		Expect(a.units).To(BeEquivalentTo(lease.TotalUnits / 2))
		Expect(string(a.rows[lease.PoolKey].Value)).To(ContainSubstring(`"units":0`))
		now = a.run(now, lease.LoanDrainTime-lease.TickInterval)
		a.storeAnswers = false
		a.step(now.Add(lease.TickInterval), lease.Tick{})
		Expect(a.lostOps).NotTo(BeEmpty())
		now = a.run(now, time.Minute)
		Expect(a.units).To(BeEquivalentTo(lease.TotalUnits / 2))
		a.storeAnswers = true
		a.run(now, 10*time.Second)
		Expect(string(a.rows[lease.PoolKey].Value)).To(ContainSubstring(`"units":32768`))
	})

	It("returns its units to the pool when it leaves, after its loans have ended", func() {
		a := newInstance("a")
		now := a.run(start, time.Second)
		a.step(now, lease.Leave{})
		Expect(a.units).To(BeZero())
		a.run(now, lease.LoanDrainTime)
		Expect(a.Departed()).To(BeFalse())
		a.run(now.Add(lease.LoanDrainTime), time.Second)
		Expect(a.Departed()).To(BeTrue())
		Expect(a.rows).To(HaveLen(1))
		Expect(string(a.rows[lease.PoolKey].Value)).To(ContainSubstring(`"units":65536`))
	})
})

var _ = Describe("A witness", func() {
	respond := func(l *lease.Lease, now time.Time, ev lease.Event) lease.Action { return l.Step(now, ev)[0] }
	promise := lease.PromiseRequest{From: "h", Epoch: 7}
	retire := lease.RetireRequest{From: "r", ID: "h", Epoch: 7}

	It("neither promises nor grants for 3 s plus drift after its start", func() {
		// Guards against a restarted witness that grants retirement although its
		// earlier process made a promise.
		l := lease.New(lease.Config{ID: "w", Epoch: epoch(0)}, start)
		now := start.Add(3299 * time.Millisecond)
		Expect(respond(l, now, promise).(lease.SendPromiseResponse).Length).To(BeZero())
		Expect(respond(l, now, retire).(lease.SendRetireResponse).Granted).To(BeFalse())
		now = start.Add(3300 * time.Millisecond)
		Expect(respond(l, now, promise).(lease.SendPromiseResponse).Length).To(Equal(lease.TTL))
	})

	It("refuses retirement while a promise is valid, and never promises after a grant", func() {
		l := lease.New(lease.Config{ID: "w", Epoch: epoch(0)}, start)
		now := start.Add(time.Minute)
		respond(l, now, promise)
		refused := respond(l, now.Add(2*time.Second), retire).(lease.SendRetireResponse)
		Expect(refused.Granted).To(BeFalse())
		Expect(refused.Remaining).To(Equal(time.Second))
		Expect(respond(l, now.Add(3*time.Second), retire).(lease.SendRetireResponse).Granted).To(BeTrue())
		Expect(respond(l, now.Add(time.Hour), promise).(lease.SendPromiseResponse).Length).To(BeZero())
	})
})

var _ = Describe("A reclaimer", func() {
	const key = "lease/holder/h/1"
	addDeadHolder := func(a *instance) {
		rec := lease.Record{ID: "h", Epoch: 1, Units: 100}
		for _, id := range []string{"b", "c", "d"} {
			rec.Witnesses = append(rec.Witnesses, lease.Witness{ID: id, Start: epoch(1).Start()})
		}
		a.rows[key] = lease.Row{Key: key, Value: rec.Encode(), Version: 4}
		a.rows[lease.PoolKey] = lease.Row{Key: lease.PoolKey, Value: lease.Pool{Units: lease.TotalUnits - 100}.Encode(), Version: 1}
	}
	grant := func(from string, process int) lease.RetireResponse {
		return lease.RetireResponse{From: from, FromEpoch: epoch(process), ID: "h", Epoch: 1, Granted: true}
	}

	It("removes a row only after 3 s without change and grants from a majority of its witnesses", func() {
		// Guards against the removal of a lease that is still being renewed.
		a := newInstance("a")
		addDeadHolder(a)
		now := a.run(start, 3*time.Second)
		Expect(a.retireRequests).To(BeEmpty())
		now = a.run(now, 2*time.Second)
		Expect(a.retireRequests).NotTo(BeEmpty())
		a.step(now, grant("b", 1))
		a.step(now, grant("x", 1))
		// A grant from a process older than the recorded one does not count.
		a.step(now, grant("c", 0))
		now = a.run(now, time.Second)
		Expect(a.rows).To(HaveKey(key))
		a.step(now, grant("d", 2))
		a.run(now, 3*time.Second)
		Expect(a.rows).NotTo(HaveKey(key))
		Expect(a.units).To(BeEquivalentTo(lease.TotalUnits))
	})

	It("restarts when the holder renews in the store", func() {
		a := newInstance("a")
		addDeadHolder(a)
		now := start
		for version := uint64(5); version < 10; version++ {
			now = a.run(now, 2*time.Second)
			row := a.rows[key]
			row.Version = version
			a.rows[key] = row
		}
		Expect(a.retireRequests).To(BeEmpty())
	})
})
