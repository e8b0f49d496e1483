package lease_test

import (
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/lease"
)

// restore replaces the rows of a store by a copy. All instances of the test share the map.
func restore(rows, older map[string]lease.Row) {
	clear(rows)
	maps.Copy(rows, older)
}

// The copy lacks a claim. The units are free in it and are claimed again, while their first
// holder, which reads the store every 5 s, goes on using them.
func TestRestoredStoreGivesUnitsOnlyOnce(t *testing.T) {
	g := NewWithT(t)
	a, b := newInstance("a"), newInstance("b")
	older := maps.Clone(a.rows)
	now := a.run(start, time.Second)
	g.Expect(a.units).To(Equal(uint32(lease.TotalUnits)))
	restore(a.rows, older)
	b.rows = a.rows
	b.step(now, peers("a"))
	for range 100 {
		now = a.run(now, lease.TickInterval)
		b.step(now, lease.Tick{})
		g.Expect(a.units + b.units).To(BeNumerically("<=", lease.TotalUnits))
	}
}

// A lower version of the pool's row is taken for an old read, also if the store was
// restored. Free units then stay unused until the row's versions have passed the old one.
func TestPoolOfARestoredStoreIsUsed(t *testing.T) {
	g := NewWithT(t)
	a := newInstance("a")
	a.rows[lease.PoolKey] = lease.Row{Key: lease.PoolKey, Value: lease.Pool{Units: lease.TotalUnits}.Encode(), Version: 3}
	older := maps.Clone(a.rows)
	a.rows[lease.PoolKey] = lease.Row{Key: lease.PoolKey, Value: lease.Pool{}.Encode(), Version: 9}
	now := a.run(start, time.Second)
	g.Expect(a.units).To(BeZero(), "others hold all units")
	restore(a.rows, older)
	a.run(now, 10*time.Second)
	g.Expect(a.units).To(Equal(uint32(lease.TotalUnits)))
}
