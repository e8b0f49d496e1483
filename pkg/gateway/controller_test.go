package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/revision"
)

func listed(id string) Change[Member] {
	return Change[Member]{Key: id, Value: Member{ID: id, Group: "g", Address: "127.0.0.1:1"}}
}
func removed(id string) Change[Member] { return Change[Member]{Key: id, Removed: true} }

// After a store outage, one response of the table's feed held the removals of all
// members followed by their return. The members were dropped for good, since their
// entries did not change again.
func TestMemberRemovedAndListedInOneBatchStays(t *testing.T) {
	g := NewWithT(t)
	c := newTestInstance("a", nil).controller
	c.applyMemberChanges([]Change[Member]{listed("m1"), listed("m2")}, true)
	c.applyMemberChanges([]Change[Member]{removed("m1"), removed("m2"), listed("m1"), listed("m2")}, false)
	g.Expect(c.members.UnlistedSince()).To(BeEmpty())
	c.applyMemberChanges([]Change[Member]{listed("m1"), removed("m1")}, false)
	g.Expect(c.members.UnlistedSince()).To(HaveKey("m1"))
}

// Another writer left an entry with an absurd sequence under a member's key. The member's own
// entries, that it is draining among them, were taken for older ones until the restart.
func TestCorrectedEntryReplacesAnOddOne(t *testing.T) {
	g := NewWithT(t)
	c := newTestInstance("a", nil).controller
	entry := func(version, sequence uint64, draining bool) []Change[Member] {
		return []Change[Member]{{
			Key: "m1", Revision: revision.New(0, version),
			Value: Member{ID: "m1", Group: "g", Address: "127.0.0.1:1", StartedMs: 5, Sequence: sequence, Draining: draining},
		}}
	}
	c.applyMembers(entry(3, 1<<40, false), true, revision.New(0, 3))
	c.applyMembers(entry(4, 8, true), false, revision.New(0, 4))
	g.Expect(c.members.Entries()["m1"].Draining).To(BeTrue())
	c.applyMembers(entry(3, 1<<40, false), true, 0)
	g.Expect(c.members.Entries()["m1"].Draining).To(BeTrue(), "a late answer of the store is older")
}

// Calls that found the queue full were passed on by goroutines of their own, and changes
// of a table were applied in another order than the store gave them.
func TestControllerExecutesCallsInOrder(t *testing.T) {
	g := NewWithT(t)
	c := newTestInstance("a", nil).controller
	const calls = 2000
	var order, want []int
	done := make(chan struct{})
	for i := range calls {
		want = append(want, i)
		c.enqueue(func() {
			order = append(order, i)
			if len(order) == calls {
				close(done)
			}
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.run(ctx)
	<-done
	g.Expect(order).To(Equal(want))
}

// A group without a usable member is reported once, and its members are listed again at
// a bounded rate until one is usable.
func TestGroupWithoutUsableMemberIsListedAgain(t *testing.T) {
	g := NewWithT(t)
	gw := newTestInstance("a", nil)
	gw.peers.noteListing() // a small fleet
	hook := logtest.NewLocal(gw.log.Logger)
	gw.log.Logger.SetLevel(logrus.ErrorLevel)
	gw.log.Logger.SetOutput(io.Discard)
	gw.installConfiguration(catalog.Entries{Spec: &catalog.Spec{Version: 1, Groups: []catalog.Group{{Name: "g", MaxConnections: 10}}}})
	c := gw.controller
	c.applyMemberChanges([]Change[Member]{listed("m1")}, true)
	now := time.Now()
	c.reportUnusableGroups(now)
	g.Expect(gw.relistMembers.Load()).To(BeFalse())
	c.applyMemberChanges([]Change[Member]{removed("m1")}, false)
	c.reportUnusableGroups(now.Add(unlistedGrace))
	c.reportUnusableGroups(now.Add(unlistedGrace + time.Second))
	g.Expect(gw.relistMembers.Load()).To(BeFalse(), "an expired entry may still return")
	lists := 0
	for at := 2 * unlistedGrace; at < 2*unlistedGrace+2*relistInterval; at += controlInterval {
		c.reportUnusableGroups(now.Add(at))
		if gw.relistMembers.Swap(false) {
			lists++
		}
	}
	g.Expect(lists).To(Equal(2))
	g.Expect(hook.AllEntries()).To(HaveLen(1))
	g.Expect(hook.LastEntry().Data).To(HaveKeyWithValue("members", ConsistOf(ContainSubstring("m1 unlisted="))))
	c.applyMemberChanges([]Change[Member]{listed("m1")}, true)
	c.reportUnusableGroups(now.Add(time.Minute))
	g.Expect(gw.relistMembers.Load()).To(BeFalse())
}
