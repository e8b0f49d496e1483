package platform_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	client "github.com/mulberrysill/mulberrysill/pkg/platform"
	"github.com/mulberrysill/mulberrysill/standin/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

var _ = Describe("platform", func() {
	var p *platform.Platform
	var c *client.Client
	ctx := context.Background()

	start := func(opts platform.Options) {
		var err error
		p, err = platform.Start(opts)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		c = client.NewClient(p.URL(), 300*time.Millisecond)
	}
	BeforeEach(func() { start(platform.Options{}) })

	control := func(path string) int {
		GinkgoHelper()
		r, err := http.Post(p.URL()+"/control/"+path, "", nil)
		Expect(err).NotTo(HaveOccurred())
		_ = r.Body.Close()
		return r.StatusCode
	}

	// Guards against a write with a stale expected version that succeeds, and
	// against a row that reuses a version after it was removed and created again.
	It("writes a row only if it has the expected version", func() {
		rows, err := c.Transact(ctx, client.Write{Key: "k", Value: []byte("1")})
		Expect(err).NotTo(HaveOccurred())
		first := rows[0].Version
		_, err = c.Transact(ctx, client.Write{Key: "k", Value: []byte("2")})
		Expect(errors.Is(err, client.ErrConflict)).To(BeTrue(), "%v", err)
		_, err = c.Transact(ctx, client.Write{Key: "k", ExpectedVersion: first, Remove: true})
		Expect(err).NotTo(HaveOccurred())
		rows, err = c.Transact(ctx, client.Write{Key: "k", Value: []byte("3")})
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0].Version).To(BeNumerically(">", first))
		Expect(c.GetRow(ctx, "k")).To(Equal(rows[0]))
	})

	// Guards against a transaction that is applied partially.
	It("applies all writes of a transaction or none", func() {
		_, err := c.Transact(ctx, client.Write{Key: "a/1", Value: []byte("x")}, client.Write{Key: "a/2", ExpectedVersion: 9})
		Expect(errors.Is(err, client.ErrConflict)).To(BeTrue())
		Expect(c.ListRows(ctx, "a/")).To(BeEmpty())
		_, err = c.Transact(ctx, client.Write{Key: "a/2"}, client.Write{Key: "a/1"}, client.Write{Key: "b"})
		Expect(err).NotTo(HaveOccurred())
		rows, err := c.ListRows(ctx, "a/")
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveExactElements(HaveField("Key", "a/1"), HaveField("Key", "a/2")))
	})

	It("stores objects under their digest", func() {
		digest, err := c.PutObject(ctx, []byte("abc"))
		Expect(err).NotTo(HaveOccurred())
		Expect(digest).To(Equal("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"))
		Expect(c.GetObject(ctx, digest)).To(Equal([]byte("abc")))
		_, err = c.GetObject(ctx, "00")
		Expect(errors.Is(err, client.ErrNotFound)).To(BeTrue())
	})

	// Guards against a dropped response that the client reports as a conflict,
	// which would mean that the write was not applied.
	It("drops the response after the write is applied", func() {
		p.DropResponses(1)
		Expect(c.GetRow(ctx, "k")).To(HaveField("Version", BeZero()))
		_, err := c.Transact(ctx, client.Write{Key: "k", Value: []byte("1")})
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, client.ErrConflict)).To(BeFalse())
		Expect(c.GetRow(ctx, "k")).To(HaveField("Value", []byte("1")))
	})

	// Guards against an outage that serves calls or does not end, and against a
	// write that is applied although the client's call timed out.
	It("fails or hangs in an outage and recovers", func() {
		p.SetOutage(platform.ErrorOutage)
		_, err := c.GetRow(ctx, "k")
		Expect(err).To(MatchError(ContainSubstring("the platform is down")))
		Expect(control("outage?mode=hang")).To(Equal(http.StatusNoContent))
		begin := time.Now()
		_, err = c.Transact(ctx, client.Write{Key: "k"})
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue(), "%v", err)
		Expect(time.Since(begin)).To(BeNumerically(">=", 300*time.Millisecond))
		result := make(chan error, 1)
		go func() { _, err := c.GetRow(ctx, "k"); result <- err }()
		time.Sleep(50 * time.Millisecond)
		Expect(control("outage?mode=none")).To(Equal(http.StatusNoContent))
		Eventually(result).Should(Receive(BeNil()))
		Expect(c.GetRow(ctx, "k")).To(HaveField("Version", BeZero()))
	})

	It("delays calls by the configured slowness", func() {
		Expect(control("slowness?ms=100")).To(Equal(http.StatusNoContent))
		begin := time.Now()
		_, err := c.GetRow(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(begin)).To(BeNumerically(">=", 100*time.Millisecond))
	})

	// Guards against production code that relies on higher rates than the platform
	// serves.
	It("limits the rates", func() {
		start(platform.Options{WritesPerSecond: 10})
		refused := 0
		for i := range 200 {
			if _, err := c.PutObject(ctx, []byte{byte(i)}); err != nil {
				Expect(err).To(MatchError(ContainSubstring("more than 10 writes/s")))
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 50))
		Expect(p.Stats().Writes).To(Equal(200))
	})

	// Guards against an instance list that shows changes earlier than the real
	// platform does.
	It("shows the instance list after the lag", func() {
		Expect(control("lag?ms=150")).To(Equal(http.StatusNoContent))
		Expect(c.Register(ctx, client.Instance{ID: "i1", Zone: "escazu", Epoch: 3})).To(Succeed())
		Expect(c.Instances(ctx)).To(BeEmpty())
		Eventually(func() ([]client.Instance, error) { return c.Instances(ctx) }).
			Should(Equal([]client.Instance{{ID: "i1", Zone: "escazu", Epoch: 3}}))
		Expect(control("remove?instance=i1")).To(Equal(http.StatusNoContent))
		Expect(c.Instances(ctx)).To(HaveLen(1))
		Eventually(func() ([]client.Instance, error) { return c.Instances(ctx) }).Should(BeEmpty())
	})

	It("rejects malformed control calls and counts calls", func() {
		for _, path := range []string{"outage?mode=x", "lose?count=-1", "lag?ms=", "remove"} {
			Expect(control(path)).To(Equal(http.StatusBadRequest), path)
		}
		_, _ = c.GetRow(ctx, "k")
		r, err := http.Get(p.URL() + "/control/stats")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = r.Body.Close() }()
		var stats platform.Stats
		Expect(json.NewDecoder(r.Body).Decode(&stats)).To(Succeed())
		Expect(stats).To(Equal(platform.Stats{Reads: 1}))
	})
})
