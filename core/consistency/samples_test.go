package consistency_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
)

var _ = Describe("the log of a primary's positions", func() {
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	position := func(term, index uint64) group.Position { return group.Position{Term: term, Index: index} }

	It("returns the oldest position that is recent enough, so that replicas can serve the read", func() {
		var l consistency.PrimaryPositionLog
		l.Observe(at(0), position(1, 10))
		l.Observe(at(500), position(1, 20))
		l.Observe(at(1000), position(1, 30))
		floor, ok := l.FloorSince(at(400))
		Expect(ok).To(BeTrue())
		Expect(floor).To(Equal(position(1, 20)))
	})
	It("returns no position if none is recent enough: a stale read", func() {
		var l consistency.PrimaryPositionLog
		l.Observe(at(0), position(1, 10))
		_, ok := l.FloorSince(at(1))
		Expect(ok).To(BeFalse())
	})
	It("ignores a position below the last one: the answer of a replaced primary", func() {
		var l consistency.PrimaryPositionLog
		l.Observe(at(0), position(2, 10))
		l.Observe(at(500), position(1, 90))
		_, ok := l.FloorSince(at(400))
		Expect(ok).To(BeFalse())
	})
	It("stays bounded with many positions and still covers seconds", func() {
		var l consistency.PrimaryPositionLog
		for i := range 4000 {
			l.Observe(at(i), position(1, uint64(i)))
		}
		floor, ok := l.FloorSince(at(2000))
		Expect(ok).To(BeTrue())
		Expect(floor.Index).To(BeNumerically("<", 2100))
		Expect(floor.Index).To(BeNumerically(">=", 2000))
	})
})
