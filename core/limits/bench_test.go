package limits_test

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/core/limits"
)

func peerNames(count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprintf("i%03d", i))
	}
	return names
}

// newBuckets returns the buckets of one of five instances with equal shares.
func newBuckets(count int) (list []*limits.Bucket) {
	for i := range count {
		b := limits.NewBucket(bundle.Limit{Name: fmt.Sprintf("workspace-%d", i), Rate: 100, Burst: 100}, lease.TotalUnits/5, start)
		b.Step(start, limits.SetPeers{Self: "self", Peers: peerNames(4)})
		list = append(list, b)
	}
	return list
}

func BenchmarkTake(b *testing.B) {
	for _, loans := range []int{0, 1, 4, 16} {
		b.Run(fmt.Sprintf("%d-loans", loans), func(b *testing.B) {
			bucket := limits.NewBucket(bundle.Limit{Name: "w", Rate: 1e9, Burst: 1e9}, lease.TotalUnits, start)
			now := start.Add(10 * time.Second)
			deadline := now.Add(time.Hour)
			for id := range loans {
				bucket.Step(now, limits.LoanRequested{From: "b", LoanID: uint64(id), Rate: 1, Burst: 1, Deadline: deadline})
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Nanosecond)
				bucket.Take(now, deadline)
			}
		})
	}
}

// BenchmarkTakeShared measures Take under a mutex for which all CPUs contend.
func BenchmarkTakeShared(b *testing.B) {
	bucket := limits.NewBucket(bundle.Limit{Name: "w", Rate: 1e9, Burst: 1e9}, lease.TotalUnits, start)
	now := start.Add(10 * time.Second)
	deadline := now.Add(time.Hour)
	var mu sync.Mutex
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			mu.Lock()
			bucket.Take(now, deadline)
			mu.Unlock()
		}
	})
}

// BenchmarkControl measures one Tick of every active bucket; idle ones need none.
func BenchmarkControl(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("%d-active-limits", count), func(b *testing.B) {
			list := newBuckets(count)
			now := start.Add(10 * time.Second)
			deadline := now.Add(24 * time.Hour)
			for b.Loop() {
				now = now.Add(limits.TickInterval)
				for _, bucket := range list {
					bucket.Take(now, deadline)
					bucket.Step(now, limits.Tick{Deadline: deadline})
				}
			}
			b.ReportMetric(heapBytes(func() any { return newBuckets(count) }), "state-B")
		})
	}
}

// BenchmarkPeers measures the cost of a membership change for one bucket.
func BenchmarkPeers(b *testing.B) {
	for _, size := range []int{3, 7, 30, 100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			bucket, names := newBuckets(1)[0], peerNames(size)
			i := 0
			for b.Loop() {
				i++
				bucket.Step(start, limits.SetPeers{Self: "self", Peers: names[:size-i%2]})
			}
		})
	}
}

// heapBytes returns the number of heap bytes that the built value occupies.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
