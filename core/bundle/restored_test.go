package bundle_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

// The head of a restored store names an older bundle than the accepted one. An instance
// that started before the operators had published it again took the store's word, and
// accepted keys that the accepted bundle has withdrawn until a peer told it better.
func TestStartingInstanceDoesNotTrustARestoredHead(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	starting := bundle.NewRollout("c")
	starting.SetInstances([]string{"a", "b", "c"})
	g.Expect(starting.ObserveRestoredHead(head(2))).To(Succeed()) // a and b have accepted 3
	g.Expect(starting.Apply(version(2, 1), "d2")).To(Succeed())
	g.Expect(starting.Current(now.Add(time.Millisecond))).To(BeFalse())
	for _, peer := range []string{"a", "b"} {
		g.Expect(starting.ObservePeerHead(peer, head(3), now)).To(Succeed())
	}
	g.Expect(starting.Current(now.Add(time.Millisecond))).To(BeFalse(), "the bundle of the peers is not active yet")
	g.Expect(starting.Apply(version(3, 2), "d3")).To(Succeed())
	g.Expect(starting.Current(now.Add(time.Millisecond))).To(BeTrue())
}

// An instance that has the accepted bundle keeps it, stays current by its peers alone, and
// takes part when the operators publish the same bundle again.
func TestRestoredHeadTakesBackNoBundle(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	a := bundle.NewRollout("a")
	a.SetInstances([]string{"a", "b", "c"})
	g.Expect(a.ObserveStoreHead(head(3), now)).To(Succeed())
	g.Expect(a.Apply(version(3, 2), "d3")).To(Succeed())
	later := now.Add(bundle.ContactTTL)
	g.Expect(a.ObserveStoreHead(head(2), later)).To(MatchError(bundle.ErrStale))
	g.Expect(a.Newest()).To(Equal(head(3)))
	g.Expect(a.Current(later)).To(BeFalse(), "the restored head confirms nothing")
	g.Expect(a.ObservePeerHead("b", head(3), later)).To(Succeed())
	g.Expect(a.Current(later)).To(BeTrue())
	g.Expect(a.ObserveStoreHead(head(3), later)).To(Succeed())
}
