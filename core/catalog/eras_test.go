package catalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/revision"
)

// entriesAt returns entries of a configuration version with some zones out of service.
func entriesAt(version uint64, at revision.Revision, zones ...string) catalog.Entries {
	e := catalog.Entries{Spec: &catalog.Spec{Version: version}, ZonesOut: map[string]bool{}, Revision: at}
	for _, z := range zones {
		e.ZonesOut[z] = true
	}
	return e
}

var _ = Describe("entries of a restored store", func() {
	first, second := func(v uint64) revision.Revision { return revision.New(0, v) }, func(v uint64) revision.Revision { return revision.New(1, v) }
	DescribeTable("are merged into those in use",
		func(inUse, next catalog.Entries, settled bool, version int, at revision.Revision, out, in []string) {
			merged, _ := inUse.Merge(next, settled)
			Expect(merged.Version()).To(Equal(uint64(version)))
			Expect(merged.Revision).To(Equal(at))
			for _, z := range out {
				Expect(merged.IsOutOfService(z)).To(BeTrue(), z)
			}
			for _, z := range in {
				Expect(merged.IsOutOfService(z)).To(BeFalse(), z)
			}
		},
		Entry("a later revision of the same era counts", entriesAt(8, first(20), "a"), entriesAt(11, first(21), "b"), true, 11, first(21), []string{"b"}, []string{"a"}),
		Entry("an earlier one does not", entriesAt(11, first(21), "b"), entriesAt(8, first(20), "a"), true, 11, first(21), []string{"b"}, []string{"a"}),
		Entry("a lower revision of the next era counts", entriesAt(11, first(21)), entriesAt(14, second(19)), false, 14, second(19), nil, []string{"a"}),
		Entry("an older configuration does not come back", entriesAt(11, first(21)), entriesAt(8, second(18)), false, 11, second(18), nil, nil),
		Entry("nor once the era is settled", entriesAt(11, second(18)), entriesAt(8, second(30)), true, 11, second(30), nil, nil),
		Entry("a zone that was taken out stays out at first", entriesAt(11, first(21), "a"), entriesAt(11, second(18)), false, 11, second(18), []string{"a"}, nil),
		Entry("a zone that a peer of the former era knows is held, too", entriesAt(8, second(18)), entriesAt(11, first(21), "a"), false, 11, second(18), []string{"a"}, nil),
		Entry("but not once the era is settled", entriesAt(8, second(18)), entriesAt(11, first(21), "a"), true, 11, second(18), nil, []string{"a"}),
		Entry("a zone whose entry is back counts until it is removed", entriesAt(11, first(21)), entriesAt(11, second(18), "a"), true, 11, second(18), []string{"a"}, nil),
	)
	It("release held zones when the era is settled", func() {
		held, changed := entriesAt(11, first(21), "a").Merge(entriesAt(11, second(18)), false)
		Expect(changed).To(BeTrue())
		Expect(held.HeldZones).To(HaveKey("a"))
		released, changed := held.Merge(held, true)
		Expect(changed).To(BeTrue())
		Expect(released.IsOutOfService("a")).To(BeFalse())
		_, changed = released.Merge(released, true)
		Expect(changed).To(BeFalse())
	})

	It("show whether the configuration was written in the era", func() {
		var l catalog.WriteLog
		l.Observe(8, first(20), true)
		Expect(l.WrittenIn(0)).To(BeFalse())
		l.Observe(11, first(21), false)
		Expect(l.WrittenIn(0)).To(BeTrue())
		l.Observe(8, second(20), true)
		Expect(l.WrittenIn(1)).To(BeFalse(), "the copy lacks the newest configuration")
		l.Observe(8, second(22), false)
		Expect(l.WrittenIn(1)).To(BeFalse(), "the operators have not written all of them again")
		l.Observe(11, second(23), false)
		Expect(l.WrittenIn(1)).To(BeTrue())
		l.Observe(11, revision.New(2, 23), true)
		Expect(l.WrittenIn(2)).To(BeFalse(), "the copy may be complete or not")
		l.Observe(11, revision.New(3, 21), true)
		Expect(l.WrittenIn(3)).To(BeFalse(), "the copy may be of the first era")
	})
	It("show by a moved entry that the first restoration was followed by a write", func() {
		var l catalog.WriteLog
		l.Observe(11, first(21), false)
		l.Observe(11, second(20), true)
		Expect(l.WrittenIn(1)).To(BeTrue(), "a copy keeps the versions of its rows")
	})
})

var _ = Describe("eras", func() {
	It("settle some time after they have become known to any process", func() {
		var e revision.Eras
		Expect(e.SettledAt()).To(BeNumerically("<", 0), "the first era")
		Expect(e.Observe(0, time.Second)).To(BeFalse())
		Expect(e.Observe(1, 10*time.Second)).To(BeTrue())
		Expect(e.Observe(1, 11*time.Second)).To(BeFalse())
		Expect(e.SettledAt()).To(Equal(10*time.Second + revision.SettleTime))
		e.KnownElsewhere(1, 9*time.Second)
		e.KnownElsewhere(0, time.Second)
		Expect(e.SettledAt()).To(Equal(9*time.Second + revision.SettleTime))
		_, age := e.KnownFor(12 * time.Second)
		Expect(age).To(Equal(3 * time.Second))
	})
	It("order revisions before versions do", func() {
		Expect(revision.New(1, 5)).To(BeNumerically(">", revision.New(0, 1<<40)))
		Expect(revision.New(3, 7).Era()).To(Equal(uint64(3)))
		Expect(revision.New(3, 7).Version()).To(Equal(uint64(7)))
	})
})
