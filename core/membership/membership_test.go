package membership_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mulberrysill/mulberrysill/core/membership"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var start = time.Unix(1_700_000_000, 0)

func makeInstances(count, zones int) []membership.Instance {
	var list []membership.Instance
	for i := range count {
		list = append(list, membership.Instance{ID: fmt.Sprintf("i%05d", i), Zone: fmt.Sprintf("z%d", i%zones)})
	}
	return list
}

func groupNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("group-%d", i))
	}
	return names
}

func states(v *membership.View) string {
	out := ""
	for _, i := range v.Instances() {
		out += fmt.Sprintf("%s:%s ", i.ID, i.State)
	}
	return out
}

var _ = Describe("A view", func() {
	It("goes from alive to suspect, dead and forgotten without heartbeats", func() {
		v := membership.NewView("a")
		v.Step(start, membership.Heartbeat{From: "b", Epoch: 1})
		at := func(d time.Duration) string { v.Step(start.Add(d), membership.Tick{}); return states(v) }
		Expect(at(1200 * time.Millisecond)).To(Equal("b:alive "))
		Expect(at(1201 * time.Millisecond)).To(Equal("b:suspect "))
		Expect(at(3001 * time.Millisecond)).To(Equal("b:dead "))
		Expect(at(61 * time.Second)).To(Equal(""))
	})

	It("prefers what an instance reports about itself to an outdated list", func() {
		// Guards against an outdated list that makes a dead instance alive again or a
		// leaving one available for new requests.
		v := membership.NewView("a")
		v.Step(start, membership.Heartbeat{From: "b", Epoch: 2, Leaving: true})
		lagging := membership.Listed{Instances: []membership.ListedInstance{{ID: "b", Epoch: 1}, {ID: "c", Epoch: 1}}}
		v.Step(start, lagging)
		Expect(states(v)).To(Equal("b:leaving c:alive "))
		v.Step(start.Add(4*time.Second), lagging)
		Expect(states(v)).To(Equal("b:dead c:alive "))
		v.Step(start.Add(4*time.Second), membership.Heartbeat{From: "b", Epoch: 1})
		Expect(states(v)).To(Equal("b:dead c:alive "))
		v.Step(start.Add(4*time.Second), membership.Heartbeat{From: "b", Epoch: 3})
		Expect(states(v)).To(Equal("b:alive c:alive "))
	})
})

var _ = Describe("Rendezvous hashing", func() {
	It("spreads witnesses over zones and leaves out the instance itself", func() {
		// Guards against losing a majority of the witnesses with one zone.
		for _, self := range makeInstances(20, 4) {
			zones := map[string]int{}
			for _, w := range membership.Witnesses(self.ID, makeInstances(20, 4)) {
				Expect(w.ID).NotTo(Equal(self.ID))
				zones[w.Zone]++
			}
			Expect(zones).To(HaveLen(4))
			for _, n := range zones {
				Expect(n).To(BeNumerically("<=", 2))
			}
		}
	})

	DescribeTable("updates to the same sets as a new table, and recomputes few groups", func(zones, most int) {
		// Guards against incremental updates whose result differs between instances,
		// and against recomputing all sets when one instance changes.
		groups := groupNames(500)
		table := membership.NewServingTable(groups, 5)
		instances := makeInstances(60, zones)
		table.Update(instances)
		for step := range 30 {
			gone := step * 7 % 60
			if instances[gone].State == membership.Dead {
				instances[gone].State = membership.Alive
			} else {
				instances[gone].State = membership.Dead
			}
			Expect(table.Update(instances)).To(BeNumerically("<=", most))
			fresh := membership.NewServingTable(groups, 5)
			fresh.Update(instances)
			for _, g := range groups {
				Expect(table.ServingSet(g)).To(Equal(fresh.ServingSet(g)))
				Expect(table.Rank(g, table.ServingSet(g)[3])).To(Equal(3))
			}
		}
	},
		Entry("more zones than instances in a set", 6, 150),
		// If a set has several instances of one zone, any added instance may change it.
		Entry("fewer zones than instances in a set", 3, 500),
	)

	It("gives an instance a share of the groups in proportion to its weight", func() {
		instances := makeInstances(10, 1)
		instances[0].Weight = 3
		table := membership.NewServingTable(groupNames(4000), 1)
		table.Update(instances)
		first := 0
		for _, g := range groupNames(4000) {
			if table.Rank(g, "i00000") == 0 {
				first++
			}
		}
		Expect(float64(first) / 4000).To(BeNumerically("~", 3.0/12, 0.03))
	})
})

var sizes = []struct{ instances, groups int }{{10, 30}, {100, 300}, {1000, 3000}, {4100, 13000}}

func BenchmarkTable(b *testing.B) {
	for _, s := range sizes {
		list, groups := makeInstances(s.instances, 17), groupNames(s.groups)
		b.Run(fmt.Sprintf("build/%d-instances-%d-groups", s.instances, s.groups), func(b *testing.B) {
			var table *membership.ServingTable
			for b.Loop() {
				table = membership.NewServingTable(groups, 5)
				table.Update(list)
			}
			b.ReportMetric(heapOf(func() any { t := membership.NewServingTable(groups, 5); t.Update(list); return t }), "state-B")
			runtime.KeepAlive(table)
		})
		b.Run(fmt.Sprintf("change/%d-instances-%d-groups", s.instances, s.groups), func(b *testing.B) {
			table := membership.NewServingTable(groups, 5)
			table.Update(list)
			i := 0
			for b.Loop() {
				next := append([]membership.Instance(nil), list...)
				next[i%len(next)].State = membership.Dead
				table.Update(next)
				i++
			}
		})
	}
}

func BenchmarkView(b *testing.B) {
	for _, s := range sizes {
		var listed membership.Listed
		for _, i := range makeInstances(s.instances, 17) {
			listed.Instances = append(listed.Instances, membership.ListedInstance{ID: i.ID, Zone: i.Zone, Epoch: 1})
		}
		b.Run(fmt.Sprintf("tick/%d-instances", s.instances), func(b *testing.B) {
			v := membership.NewView("i00000")
			v.Step(start, listed)
			for b.Loop() {
				v.Step(start, membership.Tick{})
			}
			b.ReportMetric(heapOf(func() any { v := membership.NewView("i00000"); v.Step(start, listed); v.Instances(); return v }), "state-B")
		})
	}
}

// heapOf returns the bytes of live heap that the value holds.
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
