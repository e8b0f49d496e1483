package capacity

import (
	"crypto/ed25519"
	"crypto/rand"
	"fmt"
	"runtime"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/failover"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/core/limits"
)

// timedRounds is the number of repetitions over which the time of a step is averaged.
const timedRounds = 20

// heapGrowth calls build and returns its result with the growth in bytes of the live
// heap, measured after garbage collections.
func heapGrowth[T any](build func() T) (T, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return v, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// averageMicros calls a function n times and returns the average duration of a call in
// microseconds.
func averageMicros(n int, call func()) float64 {
	start := time.Now()
	for range n {
		call()
	}
	return float64(time.Since(start).Microseconds()) / float64(n)
}

// failoverSeries measures the failover state machines of one daemon by number of
// groups: heap size, and the time in which all groups process one round of status
// responses from three members and a tick.
func failoverSeries() []Series {
	memory := Series{Name: "failover state", Size: "group served", Unit: "bytes"}
	step := Series{Name: "one round of probes, all groups", Size: "group served", Unit: "µs"}
	for _, n := range []int{100, 1000, 4000, 13000} {
		now := time.Now()
		machines, bytes := heapGrowth(func() []*failover.Machine {
			list := make([]*failover.Machine, n)
			for i := range list {
				list[i] = newFailoverMachine(now)
			}
			return list
		})
		memory.Points = append(memory.Points, Point{float64(n), bytes})
		us := averageMicros(timedRounds, func() {
			now = now.Add(100 * time.Millisecond)
			for _, m := range machines {
				probeRound(m, now)
			}
		})
		step.Points = append(step.Points, Point{float64(n), us})
		runtime.KeepAlive(machines)
	}
	return []Series{memory, step}
}

var memberNames = []string{"m0", "m1", "m2"}

// newFailoverMachine returns the state machine of a group of three members after one
// round of status responses.
func newFailoverMachine(now time.Time) *failover.Machine {
	m := failover.New(failover.Config{Instance: "entry-0", Owner: "entry-0/1"})
	placement := failover.Placement{Serving: []string{"entry-0", "entry-1", "entry-2"}}
	for _, name := range memberNames {
		placement.Members = append(placement.Members, failover.MemberPlacement{Name: name, InService: true})
	}
	m.Step(now, placement)
	probeRound(m, now)
	return m
}

// probeRound delivers one status response per member, then a tick.
func probeRound(m *failover.Machine, now time.Time) {
	for i, name := range memberNames {
		s := group.Status{
			Member: name, Group: "g", Role: group.Replica, PromisedTerm: 1, CurrentTerm: 1, LogTerm: 1, AppliedTerm: 1,
			Received: 100, Applied: 100, TermStart: 1, Incarnation: 1,
		}
		if i == 0 {
			s.Role = group.Primary
		}
		m.Step(now, failover.StatusReceived{Status: s, RequestedAt: now})
	}
	m.Step(now, failover.Tick{})
}

// limitSeries measures the token buckets of one daemon by number of limits: heap
// size, and the time of one request and one tick on every bucket.
func limitSeries() []Series {
	memory := Series{Name: "token buckets", Size: "limit", Unit: "bytes"}
	step := Series{Name: "one tick of all active buckets", Size: "limit", Unit: "µs"}
	for _, n := range []int{8, 100, 1000, 10000} {
		now := time.Now()
		buckets, bytes := heapGrowth(func() []*limits.Bucket {
			list := make([]*limits.Bucket, n)
			for i := range list {
				list[i] = limits.NewBucket(bundle.Limit{Name: fmt.Sprint(i), Rate: 100, Burst: 50}, lease.TotalUnits/6, now)
				list[i].Step(now, limits.SetPeers{Self: "a", Peers: []string{"b", "c", "d", "e", "f"}})
			}
			return list
		})
		memory.Points = append(memory.Points, Point{float64(n), bytes})
		us := averageMicros(timedRounds, func() {
			now = now.Add(limits.TickInterval)
			deadline := now.Add(time.Second)
			for _, b := range buckets {
				b.Take(now, deadline)
				b.Step(now, limits.Tick{Deadline: deadline})
			}
		})
		step.Points = append(step.Points, Point{float64(n), us})
		runtime.KeepAlive(buckets)
	}
	return []Series{memory, step}
}

// leaseSeries measures one daemon's read of all lease records by number of
// instances: heap size, processing time and bytes read.
func leaseSeries() []Series {
	memory := Series{Name: "lease records known", Size: "instance in the cell", Unit: "bytes"}
	step := Series{Name: "one read of the lease records", Size: "instance in the cell", Unit: "µs"}
	wire := Series{Name: "size of that read", Size: "instance in the cell", Unit: "bytes"}
	for _, n := range []int{10, 100, 1000, 4100} {
		now := time.Now()
		var rows []lease.Row
		total := 0
		for i := range n {
			epoch := lease.NewEpoch(now)
			id := fmt.Sprintf("entry-%04d", i)
			record := lease.Record{ID: id, Zone: "zone-a", Epoch: epoch, Renewals: 3, Units: 1}
			for w := range lease.MaxWitnesses {
				record.Witnesses = append(record.Witnesses, lease.Witness{ID: fmt.Sprintf("entry-%04d", w), Start: epoch.Start()})
			}
			row := lease.Row{Key: lease.HolderKey(id, epoch), Value: record.Encode(), Version: 1}
			rows = append(rows, row)
			total += len(row.Key) + len(row.Value)
		}
		l, bytes := heapGrowth(func() *lease.Lease {
			l := lease.New(lease.Config{ID: "self", Zone: "zone-a", Epoch: lease.NewEpoch(now)}, now)
			readLease(l, now, rows)
			return l
		})
		memory.Points = append(memory.Points, Point{float64(n), bytes})
		wire.Points = append(wire.Points, Point{float64(n), float64(total)})
		us := averageMicros(timedRounds, func() {
			now = now.Add(10 * time.Second)
			readLease(l, now, rows)
		})
		step.Points = append(step.Points, Point{float64(n), us})
	}
	return []Series{memory, step, wire}
}

// readLease advances the lease with a tick. It answers a read request with the
// rows and fails a transaction with a conflict.
func readLease(l *lease.Lease, now time.Time, rows []lease.Row) {
	for _, a := range l.Step(now, lease.Tick{}) {
		switch a := a.(type) {
		case lease.ReadRows:
			l.Step(now, lease.Rows{Op: a.Op, Rows: rows})
		case lease.Transact:
			l.Step(now, lease.TransactConflict{Op: a.Op})
		}
	}
}

// bundleSeries measures a bundle by number of groups, with one workspace and one
// route per group: size of the signed bundle, time to verify and compile it, and
// heap size of the compiled form.
func bundleSeries() ([]Series, error) {
	size := Series{Name: "signed bundle", Size: "database group", Unit: "bytes"}
	open := Series{Name: "verify and validate a bundle", Size: "database group", Unit: "µs"}
	memory := Series{Name: "bundle in force", Size: "database group", Unit: "bytes"}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	trusted := map[string]ed25519.PublicKey{"op": public}
	for _, n := range []int{10, 100, 1000, 4000} {
		data, err := yaml.Marshal(generateSpec(n))
		if err != nil {
			return nil, err
		}
		signed, err := bundle.Sign(data, "op", private)
		if err != nil {
			return nil, err
		}
		size.Points = append(size.Points, Point{float64(n), float64(len(signed))})
		var failed error
		us := averageMicros(1, func() {
			spec, digest, err := bundle.Open(signed, trusted)
			if err == nil {
				_, err = bundle.Compile(spec, digest)
			}
			failed = err
		})
		if failed != nil {
			return nil, failed
		}
		open.Points = append(open.Points, Point{float64(n), us})
		compiled, bytes := heapGrowth(func() *bundle.Compiled {
			spec, digest, _ := bundle.Open(signed, trusted)
			c, _ := bundle.Compile(spec, digest)
			return c
		})
		memory.Points = append(memory.Points, Point{float64(n), bytes})
		runtime.KeepAlive(compiled)
	}
	return []Series{size, open, memory}, nil
}

// generateSpec returns a bundle of n groups of three members, each with a route and a
// workspace of its own.
func generateSpec(n int) bundle.Spec {
	spec := bundle.Spec{Version: 1, Zones: []bundle.Zone{{Name: "zone-a", InService: true}}}
	spec.BackendServers = []bundle.BackendServer{{Name: "db-a", Zone: "zone-a", InService: true}}
	key, _ := bundle.NewKey("k1", "key", []byte("0123456789abcdef"))
	for i := range n {
		name := fmt.Sprintf("group-%05d", i)
		workspace := fmt.Sprintf("workspace-%05d", i)
		spec.Workspaces = append(spec.Workspaces, bundle.Workspace{Name: workspace, Rate: 100, Burst: 50, Keys: []bundle.Key{key}})
		spec.Routes = append(spec.Routes, bundle.Route{
			Name: name, Group: name, Database: "app", Access: bundle.ReadWrite, Workspaces: []string{workspace},
		})
		g := bundle.Group{Name: name}
		for _, m := range memberNames {
			g.Members = append(g.Members, bundle.Member{Name: name + m, Server: "db-a", Address: "10.0.0.1:5432", Connections: 20, Slots: 3})
		}
		spec.Groups = append(spec.Groups, g)
	}
	return spec
}
