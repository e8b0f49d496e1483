package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberrysill/mulberrysill/core/membership"
)

type change = membership.ListingChange[int]

// A response of the store may carry any number of changes. How they are divided into
// responses must not matter.
func TestListingDoesNotDependOnBatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) change {
			return change{Key: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), Value: rapid.IntRange(0, 9).Draw(t, "value"), Absent: rapid.Bool().Draw(t, "absent")}
		}), 0, 30).Draw(t, "changes")
		single, batched := membership.NewListing[int](nil), membership.NewListing[int](nil)
		for i := range changes {
			single.Apply(start, changes[i:i+1], false)
		}
		for rest := changes; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "batch")
			batched.Apply(start, rest[:n], false)
			rest = rest[n:]
		}
		g := NewWithT(t)
		g.Expect(batched.Entries()).To(Equal(single.Entries()))
		g.Expect(batched.UnlistedSince()).To(Equal(single.UnlistedSince()))
		last := map[string]bool{}
		for _, c := range changes {
			last[c.Key] = c.Absent
		}
		for key := range single.Entries() {
			_, unlisted := single.UnlistedSince()[key]
			g.Expect(unlisted).To(Equal(last[key]), "the last change of an entry decides")
		}
	})
}

func TestListingOfSingleBatches(t *testing.T) {
	put := func(key string) change { return change{Key: key, Value: 1} }
	absent := func(key string) change { return change{Key: key, Absent: true} }
	for name, c := range map[string]struct {
		batch    []change
		complete bool
		unlisted []string
	}{
		"removal and return":               {[]change{absent("a"), put("a")}, false, nil},
		"return and removal":               {[]change{put("a"), absent("a")}, false, []string{"a"}},
		"removal twice":                    {[]change{absent("a"), absent("a")}, false, []string{"a"}},
		"removal twice, then return":       {[]change{absent("a"), absent("a"), put("a")}, false, nil},
		"all removed, then all return":     {[]change{absent("a"), absent("b"), put("a"), put("b")}, false, nil},
		"complete list without an entry":   {[]change{put("a")}, true, []string{"b"}},
		"complete list with a bad entry":   {[]change{put("a"), absent("b")}, true, []string{"b"}},
		"complete and empty":               {nil, true, []string{"a", "b"}},
		"removal of an unknown entry":      {[]change{absent("x")}, false, nil},
		"unknown entry listed and removed": {[]change{put("x"), absent("x")}, false, []string{"x"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := membership.NewListing[int](nil)
			l.Apply(start, []change{put("a"), put("b")}, true)
			l.Apply(start.Add(time.Second), c.batch, c.complete)
			var unlisted []string
			for key, since := range l.UnlistedSince() {
				g.Expect(since).To(Equal(start.Add(time.Second)))
				unlisted = append(unlisted, key)
			}
			slices.Sort(unlisted)
			g.Expect(unlisted).To(Equal(c.unlisted))
		})
	}
}

// An entry stays known while it may come back, counted from its first removal.
func TestListingForgetsEntriesThatStayAway(t *testing.T) {
	g := NewWithT(t)
	l := membership.NewListing[int](nil)
	l.Apply(start, []change{{Key: "a"}, {Key: "b"}}, true)
	l.Apply(start, []change{{Key: "a", Absent: true}}, false)
	l.Apply(start.Add(8*time.Second), []change{{Key: "a", Absent: true}}, false)
	l.Forget(start.Add(10*time.Second), 10*time.Second)
	g.Expect(l.Entries()).To(HaveKey("a"))
	l.Forget(start.Add(10*time.Second+1), 10*time.Second)
	g.Expect(l.Entries()).To(And(Not(HaveKey("a")), HaveKey("b")))
}
