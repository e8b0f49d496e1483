package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/mulberrysill/mulberrysill/core/catalog"
)

// newFleetMember returns an instance that knows a fleet of the given size, with its
// groups of three members each.
func newFleetMember(instances, groups int) *Gateway {
	gw := newTestInstance("entry-000", nil)
	spec := &catalog.Spec{Version: 1}
	var members []Change[Member]
	for n := range groups {
		name := fmt.Sprintf("group-%d", n)
		spec.Groups = append(spec.Groups, catalog.Group{Name: name, MaxConnections: 200})
		for k := range 3 {
			id := fmt.Sprintf("%s-%d", name, k)
			members = append(members, Change[Member]{Key: id, Value: Member{ID: id, Group: name, Zone: fmt.Sprint(k), Slots: 3}})
		}
	}
	gw.installConfiguration(catalog.Entries{Spec: spec})
	gw.peers.mu.Lock()
	for n := 1; n < instances; n++ {
		id := fmt.Sprintf("entry-%03d", n)
		p := gw.peers.upsert(Instance{ID: id, Zone: fmt.Sprint(n % 6), PeerAddress: "127.0.0.1:1", Started: 1})
		p.lastHeard = time.Now().Add(time.Hour)
	}
	gw.peers.mu.Unlock()
	gw.controller.applyMemberChanges(members, true)
	return gw
}

func BenchmarkFleet(b *testing.B) {
	gw := newFleetMember(295, 20)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b.Run("controller-tick", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			gw.controller.updatePools()
		}
	})
	b.Run("exchange-tick", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			gw.peers.exchangeDue(ctx)
		}
	})
	p := gw.pool("group-3")
	b.Run("workspace-owner", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			gw.peers.workspaceOwner(p, "workspace")
		}
	})
	b.Run("local-state", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			gw.peers.localState(nil)
		}
	})
}
