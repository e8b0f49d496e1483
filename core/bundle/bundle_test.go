package bundle_test

import (
	"crypto/ed25519"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

func TestBundle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "core/bundle")
}

const text = `version: 2
parent: 1
workspaces:
  - name: north
    rate: 100
    burst: 50
    keys: []
routes:
  - name: shop
    group: orders
    database: shop
    access: read-write
    workspaces: [north]
    maxAge: 250ms
zones:
  - {name: z1, inService: true}
backendServers:
  - {name: s1, zone: z1, inService: true}
groups:
  - name: orders
    members:
      - {name: m1, server: s1, address: "127.0.0.1:5432", connections: 20, slots: 3}
`

func spec() bundle.Spec {
	s, err := bundle.Decode([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return s
}

var _ = Describe("signed bundle", func() {
	public, private, _ := ed25519.GenerateKey(nil)
	trusted := map[string]ed25519.PublicKey{"ops": public}

	// Guards against an envelope that alters the content.
	It("opens what was signed", func() {
		signed, err := bundle.Sign([]byte(text), "ops", private)
		Expect(err).NotTo(HaveOccurred())
		got, digest, err := bundle.Open(signed, trusted)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(spec()))
		Expect(digest).To(Equal(bundle.Digest(signed)))
		content, keyID, err := bundle.Inspect(signed)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(Equal(text))
		Expect(keyID).To(Equal("ops"))
	})

	// Guards against accepting unsigned content.
	It("refuses changed, truncated or extended bytes", func() {
		signed, err := bundle.Sign([]byte(text), "ops", private)
		Expect(err).NotTo(HaveOccurred())
		for i := range signed {
			changed := append([]byte(nil), signed...)
			changed[i] ^= 1
			_, _, err := bundle.Open(changed, trusted)
			Expect(err).To(HaveOccurred(), "byte %d", i)
			_, _, err = bundle.Open(signed[:i], trusted)
			Expect(err).To(HaveOccurred(), "truncated to %d bytes", i)
		}
		_, _, err = bundle.Open(append(signed, signed...), trusted)
		Expect(err).To(MatchError(bundle.ErrMalformed))
	})

	// Guards against untrusted publishers and excessive memory use.
	It("refuses another key, another key ID, and oversized bundles", func() {
		_, other, _ := ed25519.GenerateKey(nil)
		signed, _ := bundle.Sign([]byte(text), "ops", other)
		_, _, err := bundle.Open(signed, trusted)
		Expect(err).To(MatchError(bundle.ErrSignature))
		signed, _ = bundle.Sign([]byte(text), "else", private)
		_, _, err = bundle.Open(signed, trusted)
		Expect(err).To(MatchError(bundle.ErrUntrusted))
		_, _, err = bundle.Open(make([]byte, bundle.MaxSignedBytes+1), trusted)
		Expect(err).To(MatchError(bundle.ErrTooLarge))
	})

	// Guards against typing errors that are silently ignored.
	DescribeTable("refuses YAML that is not exactly one bundle",
		func(old, new, message string) {
			_, err := bundle.Decode([]byte(strings.Replace(text, old, new, 1)))
			Expect(err).To(MatchError(bundle.ErrMalformed))
			Expect(err.Error()).To(ContainSubstring(message))
		},
		Entry("unknown field, with its line and column", "    burst: 50", "    brust: 50", "[6:5]"),
		Entry("duplicate field", "parent: 1", "version: 3", "[2:1]"),
		Entry("wrong type", "rate: 100", "rate: [1]", "[5:"),
		Entry("second document", "version: 2", "version: 1\n---\nversion: 2", "more than one"),
		Entry("empty input", text, "", "empty"),
	)

	// Guards against bundles that change when they are encoded again.
	It("decodes what it encoded", func() {
		data, err := bundle.Encode(spec())
		Expect(err).NotTo(HaveOccurred())
		again, err := bundle.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(bundle.Diff(spec(), again)).To(BeEmpty())
		Expect(again.Routes[0].MaxAge).To(Equal(bundle.Duration(250 * time.Millisecond)))
	})
})

// Guards against changes that an operator cannot see in a conflict.
var _ = It("describes each difference between two bundles", func() {
	a, b := spec(), spec()
	a.Workspaces[0].Keys = []bundle.Key{{ID: "k1"}, {ID: "k2", Salt: "x"}}
	b.Workspaces[0].Keys = []bundle.Key{{ID: "k2", Salt: "y"}, {ID: "k3"}}
	b.Workspaces[0].Rate = 200
	b.Zones[0].InService = false
	b.Groups[0].Members[0].Slots = 4
	b.Routes = nil
	b.Workspaces = append(b.Workspaces, bundle.Workspace{Name: "south"})
	Expect(bundle.Diff(a, a)).To(BeEmpty())
	Expect(bundle.Diff(a, b)).To(ConsistOf(
		"workspace north: rate 100 requests/s -> 200 requests/s",
		"key k1 of workspace north: removed", "key k3 of workspace north: added",
		MatchRegexp("^key k2 of workspace north: verifier [0-9a-f]{12} -> [0-9a-f]{12}$"),
		"workspace south: added", "route shop: removed",
		"availability zone z1: in service true -> false",
		"member m1 of group orders: slots 3 -> 4",
	))
})

func version(v, parent uint64) bundle.Spec { return bundle.Spec{Version: v, Parent: parent} }

func head(v uint64) bundle.Head { return bundle.Head{Version: v, Digest: fmt.Sprint("d", v)} }

var _ = Describe("rollout", func() {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	var t *bundle.Rollout
	BeforeEach(func() {
		t = bundle.NewRollout("a")
		t.SetInstances([]string{"a", "b", "c"})
		Expect(t.ObserveStoreHead(head(1), at(0))).To(Succeed())
		Expect(t.Apply(version(1, 0), "d1")).To(Succeed())
	})

	// Guards against a revoked key that becomes valid again.
	It("never returns to an older version", func() {
		Expect(t.Apply(version(3, 2), "d3")).To(Succeed())
		Expect(t.Apply(version(2, 1), "d2")).To(MatchError(bundle.ErrStale))
		Expect(t.ObserveStoreHead(head(2), at(1))).To(MatchError(bundle.ErrStale))
		Expect(t.Active().Spec.Version).To(BeEquivalentTo(3))
		Expect(t.ObservePeerHead("b", head(5), at(1))).To(Succeed())
		Expect(t.Apply(version(4, 3), "d4")).To(MatchError(bundle.ErrStale))
	})

	// Guards against bundles whose publish lost the compare-and-set.
	It("refuses forks", func() {
		Expect(t.Apply(version(3, 2), "d3")).To(Succeed())
		Expect(t.Apply(version(4, 2), "d4")).To(MatchError(bundle.ErrFork))
		Expect(t.Apply(version(3, 2), "other")).To(MatchError(bundle.ErrFork))
		Expect(t.ObservePeerHead("b", bundle.Head{Version: 3, Digest: "other"}, at(1))).To(MatchError(bundle.ErrFork))
	})

	// Guards against an outage caused by an invalid bundle.
	It("refuses an invalid bundle as a whole and stays current", func() {
		Expect(t.ObserveStoreHead(head(2), at(3))).To(Succeed())
		wanted, ok := t.Wanted()
		Expect(ok).To(BeTrue())
		Expect(wanted.Digest).To(Equal("d2"))
		bad := version(2, 1)
		bad.Routes = []bundle.Route{{Name: "x", Group: "absent", Access: bundle.ReadOnly}}
		Expect(t.Apply(bad, "d2")).NotTo(Succeed())
		_, ok = t.Wanted()
		Expect(ok).To(BeFalse())
		Expect(t.Active().Spec.Version).To(BeEquivalentTo(1))
		Expect(t.Current(at(6))).To(BeTrue())
	})

	// Guards against slow answers that extend the period.
	It("is current for 4 s after its own read, counted from the request", func() {
		Expect(t.Current(at(3.9))).To(BeTrue())
		Expect(t.Current(at(4))).To(BeFalse())
	})

	// Guards against a partitioned minority that stays current.
	It("is current by contact with a majority of the instances with a lease record", func() {
		t.SetInstances([]string{"a", "b", "c", "d"})
		Expect(t.ObservePeerHead("b", head(1), at(9))).To(Succeed())
		Expect(t.ObservePeerHead("stranger", head(1), at(9))).To(Succeed())
		Expect(t.Current(at(10))).To(BeFalse())
		Expect(t.ObservePeerHead("c", head(1), at(9))).To(Succeed())
		Expect(t.Current(at(10))).To(BeTrue())
	})

	// Guards against accepting keys that a known bundle revokes.
	It("does not count a contact that reports a new version until that version is active", func() {
		Expect(t.ObserveStoreHead(head(2), at(3))).To(Succeed())
		Expect(t.ObservePeerHead("b", head(1), at(3))).To(Succeed())
		Expect(t.Current(at(3.5))).To(BeTrue(), "the earlier read still counts while the bundle is fetched")
		Expect(t.Current(at(4.5))).To(BeFalse())
		Expect(t.Apply(version(2, 1), "d2")).To(Succeed())
		Expect(t.Current(at(4.5))).To(BeTrue())
	})

	// Guards against overload of the store.
	It("bounds the rate of head reads of the whole fleet", func() {
		Expect(bundle.HeadReadInterval(7)).To(Equal(time.Second))
		Expect(bundle.HeadReadInterval(4100)).To(Equal(205 * time.Second))
	})
})

// Guards against an instance that stays current with an old bundle after a
// majority has activated a newer one, for any order of exchanges and with
// fetches that fail to happen.
func TestAcceptedBundleProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e"}[:rapid.IntRange(2, 5).Draw(t, "instances")]
		now, published, accepted := time.Unix(1000, 0), head(1), time.Time{}
		all := map[string]*bundle.Rollout{}
		for _, n := range names {
			all[n] = bundle.NewRollout(n)
			all[n].SetInstances(names)
			_ = all[n].ObserveStoreHead(published, now)
			_ = all[n].Apply(version(1, 0), "d1")
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			a, b := all[rapid.SampledFrom(names).Draw(t, "a")], rapid.SampledFrom(names).Draw(t, "b")
			switch rapid.SampledFrom([]string{"wait", "publish", "read", "exchange", "exchange", "fetch", "fetch"}).Draw(t, "step") {
			case "wait":
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			case "publish":
				published = head(2)
			case "read":
				_ = a.ObserveStoreHead(published, now)
			case "exchange":
				_ = a.ObservePeerHead(b, all[b].Newest(), now)
			case "fetch":
				if h, ok := a.Wanted(); ok {
					_ = a.Apply(version(h.Version, h.Version-1), h.Digest)
				}
			}
			versions := map[string]uint64{}
			for n, s := range all {
				versions[n] = s.Active().Spec.Version
			}
			if accepted.IsZero() && bundle.Accepted(2, versions) {
				accepted = now
			}
			for n, s := range all {
				if !accepted.IsZero() && now.Sub(accepted) >= bundle.ContactTTL && s.Current(now) && versions[n] < 2 {
					t.Fatalf("%s is current on version 1", n)
				}
			}
		}
	})
}
