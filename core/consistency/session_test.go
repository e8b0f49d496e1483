package consistency_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
)

// Guards against sessions that forget a commit: after writes to another group, after more
// groups than are remembered, on the way to another instance, or because the position of an
// older commit arrives later. The session may not know of a commit, but must say so.
func TestSessionForgetsNoCommitUnnoticed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var session consistency.SessionCommits
		highest := map[string]group.Position{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "moves") == 0 {
				session = consistency.RestoreSessionCommits(session.All())
			}
			name := fmt.Sprintf("g%d", rapid.IntRange(0, consistency.MaxSessionGroups+3).Draw(t, "group"))
			at := group.Position{Term: rapid.Uint64Range(1, 3).Draw(t, "term"), Index: rapid.Uint64Range(1, 50).Draw(t, "index")}
			session.Record(name, at)
			if at.Compare(highest[name]) > 0 {
				highest[name] = at
			}
			if floor, known := session.Floor(name); known && floor.Compare(at) < 0 {
				t.Fatalf("the commit %s in %s is forgotten at once", at, name)
			}
		}
		for name, at := range highest {
			if floor, known := session.Floor(name); known && floor != at {
				t.Fatalf("reads of %s need %s, not %s", name, at, floor)
			}
		}
		commits, incomplete := session.All()
		if incomplete != (len(highest) > consistency.MaxSessionGroups) {
			t.Fatalf("commits in %d groups, incomplete: %v", len(highest), incomplete)
		}
		if len(commits) > consistency.MaxSessionGroups {
			t.Fatalf("%d groups are remembered", len(commits))
		}
	})
}

func TestSessionWithoutCommitsNeedsNoFloor(t *testing.T) {
	g := NewWithT(t)
	var session consistency.SessionCommits
	floor, known := session.Floor("g")
	g.Expect(known).To(BeTrue())
	g.Expect(floor.IsZero()).To(BeTrue())
}
