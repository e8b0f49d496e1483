package lease_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mulberrysill/mulberrysill/core/lease"
)

var fleetSizes = []int{3, 7, 30, 100, 300}

// joinedInstance returns an instance that has joined a fleet of the given size and
// holds its units.
func joinedInstance(size int) (*instance, lease.FleetView, time.Time) {
	a := newInstance("a")
	var ids []string
	for i := range size - 1 {
		id := fmt.Sprintf("i%03d", i)
		ids = append(ids, id)
		rec := lease.Record{ID: id, Epoch: epoch(1), Units: lease.TotalUnits / uint32(size)}
		key := lease.HolderKey(id, epoch(1))
		a.rows[key] = lease.Row{Key: key, Value: rec.Encode(), Version: 1}
	}
	f := peers(ids...)
	f.Witnesses = f.Witnesses[:min(lease.MaxWitnesses, len(ids))]
	// The joining instance claims its units from the pool of free units.
	free := lease.Pool{Units: lease.TotalUnits - uint32(size-1)*(lease.TotalUnits/uint32(size))}
	a.rows[lease.PoolKey] = lease.Row{Key: lease.PoolKey, Value: free.Encode(), Version: 1}
	a.step(start, f)
	return a, f, a.run(start, 10*time.Second)
}

// BenchmarkTick measures one iteration of the control loop: a fleet view, a tick,
// and promise responses.
func BenchmarkTick(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			a, f, now := joinedInstance(size)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(lease.TickInterval)
				a.step(now, f)
				a.step(now, lease.Tick{})
				for _, w := range f.Witnesses {
					a.promise(now, w.ID)
				}
			}
			b.ReportMetric(heapOf(func() any { i, _, _ := joinedInstance(size); return i.Lease }), "state-B")
		})
	}
}

// BenchmarkWitness measures how long a witness takes to make one promise to each of
// the holders that name it as a witness.
func BenchmarkWitness(b *testing.B) {
	for _, holders := range []int{1, 5, 50, 500} {
		b.Run(fmt.Sprint(holders), func(b *testing.B) {
			l := lease.New(lease.Config{ID: "w", Epoch: epoch(0)}, start)
			now := start.Add(time.Minute)
			var requests []lease.PromiseRequest
			for i := range holders {
				requests = append(requests, lease.PromiseRequest{From: fmt.Sprint(i), Epoch: epoch(i)})
			}
			for b.Loop() {
				now = now.Add(lease.RenewInterval)
				for _, ev := range requests {
					l.Step(now, ev)
				}
			}
		})
	}
}

// heapOf returns the number of heap bytes retained by the value that build returns.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
