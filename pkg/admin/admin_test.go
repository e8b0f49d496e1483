package admin_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/pkg/admin"
	"github.com/mulberrysill/mulberrysill/pkg/platform"
	pb "github.com/mulberrysill/mulberrysill/rpc/admin"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pkg/admin")
}

// memoryStore is a store whose next writes can fail before or after they take effect.
type memoryStore struct {
	sync.Mutex
	row     platform.Row
	objects map[string][]byte
	// lose makes that many writes answer with an error after they took effect,
	// refuse makes that many fail without effect.
	lose, refuse int
	beforeWrite  func()
}

func (s *memoryStore) GetRow(context.Context, string) (platform.Row, error) {
	s.Lock()
	defer s.Unlock()
	return s.row, nil
}

func (s *memoryStore) Transact(_ context.Context, w ...platform.Write) ([]platform.Row, error) {
	if f := s.beforeWrite; f != nil {
		s.beforeWrite = nil
		f()
	}
	s.Lock()
	defer s.Unlock()
	switch {
	case s.refuse > 0:
		s.refuse--
		return nil, errors.New("store is down")
	case w[0].ExpectedVersion != s.row.Version:
		return nil, platform.ErrConflict
	}
	s.row = platform.Row{Key: w[0].Key, Value: w[0].Value, Version: s.row.Version + 1}
	if s.lose > 0 {
		s.lose--
		return nil, errors.New("answer lost")
	}
	return []platform.Row{s.row}, nil
}

func (s *memoryStore) PutObject(_ context.Context, data []byte) (string, error) {
	s.Lock()
	defer s.Unlock()
	s.objects[bundle.Digest(data)] = data
	return bundle.Digest(data), nil
}

func (s *memoryStore) GetObject(_ context.Context, digest string) ([]byte, error) {
	s.Lock()
	defer s.Unlock()
	if data, ok := s.objects[digest]; ok {
		return data, nil
	}
	return nil, platform.ErrNotFound
}

type source struct{ signed []byte }

func (s source) InstanceStatus(context.Context) (*pb.InstanceStatus, error) {
	return &pb.InstanceStatus{Id: "i1"}, nil
}
func (s source) FleetStatus(context.Context) (*pb.FleetStatusResponse, error) {
	return nil, errors.New("not started")
}
func (s source) SignedBundle(context.Context) ([]byte, error) { return s.signed, nil }

type bearer struct{ token string }

func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	if b.token != "" {
		r.Header.Set("Authorization", "Bearer "+b.token)
	}
	return http.DefaultTransport.RoundTrip(r)
}

var _ = Describe("administration API", func() {
	const token = "0123456789abcdef"
	var (
		store           *memoryStore
		api             pb.Admin
		url             string
		public          ed25519.PublicKey
		private, rogue  ed25519.PrivateKey
		ctx             = context.Background()
		signed          func(version, parent uint64, rate float64) []byte
		publish         func(signed []byte, id string) (*pb.PublishResponse, error)
		headVersion     func() uint64
		code            func(err error) twirp.ErrorCode
		newClient       func(token string) pb.Admin
		signedWithRogue func() []byte
	)
	BeforeEach(func() {
		public, private, _ = ed25519.GenerateKey(nil)
		_, rogue, _ = ed25519.GenerateKey(nil)
		store = &memoryStore{objects: map[string][]byte{}}
		server := admin.NewServer(store, source{}, map[string]ed25519.PublicKey{"ana": public})
		hs := httptest.NewServer(admin.Handler(server, token))
		DeferCleanup(hs.Close)
		url = hs.URL
		newClient = func(token string) pb.Admin {
			return pb.NewAdminProtobufClient(url, &http.Client{Transport: bearer{token}})
		}
		api = newClient(token)
		content := func(version, parent uint64, rate float64) []byte {
			return fmt.Appendf(nil, "version: %d\nparent: %d\nworkspaces:\n  - {name: north, rate: %g, burst: 5, keys: []}\n", version, parent, rate)
		}
		signed = func(version, parent uint64, rate float64) []byte {
			b, err := bundle.Sign(content(version, parent, rate), "ana", private)
			Expect(err).NotTo(HaveOccurred())
			return b
		}
		signedWithRogue = func() []byte {
			b, err := bundle.Sign(content(1, 0, 1), "ana", rogue)
			Expect(err).NotTo(HaveOccurred())
			return b
		}
		publish = func(signed []byte, id string) (*pb.PublishResponse, error) {
			return api.Publish(ctx, &pb.PublishRequest{Signed: signed, PublishId: id})
		}
		headVersion = func() uint64 {
			h, err := bundle.ParseHead(store.row.Value)
			Expect(err).NotTo(HaveOccurred())
			return h.Version
		}
		code = func(err error) twirp.ErrorCode {
			var t twirp.Error
			Expect(errors.As(err, &t)).To(BeTrue(), "%v", err)
			return t.Code()
		}
	})

	It("refuses callers without the token", func() { // guards against unauthenticated publishing
		for _, wrong := range []string{"", "0123456789abcdeF", token + "x"} {
			_, err := newClient(wrong).Status(ctx, &pb.StatusRequest{})
			Expect(code(err)).To(Equal(twirp.Unauthenticated))
		}
		st, err := api.Status(ctx, &pb.StatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Id).To(Equal("i1"))
		_, err = api.FleetStatus(ctx, &pb.StatusRequest{})
		Expect(code(err)).To(Equal(twirp.Unavailable))
		_, err = api.GetBundle(ctx, &pb.GetBundleRequest{})
		Expect(code(err)).To(Equal(twirp.NotFound))
	})

	It("moves the head on and stores the exact bytes", func() { // guards against a head without its object
		s := signed(1, 0, 10)
		resp, err := publish(s, "p1")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Conflict).To(BeFalse())
		Expect(resp.Digest).To(Equal(bundle.Digest(s)))
		Expect(store.objects[resp.Digest]).To(Equal(s))
		h, err := bundle.ParseHead(store.row.Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(h).To(Equal(bundle.Head{Version: 1, Digest: resp.Digest, Publisher: "ana", PublishID: "p1"}))
	})

	It("refuses a bundle that is unsigned, untrusted or invalid and changes nothing", func() { // guards against bundles that no instance would take up
		_, err := publish([]byte("version: 1"), "p1")
		Expect(code(err)).To(Equal(twirp.InvalidArgument))
		_, err = publish(signedWithRogue(), "p1")
		Expect(code(err)).To(Equal(twirp.PermissionDenied))
		_, err = publish(signed(1, 0, 10), "")
		Expect(code(err)).To(Equal(twirp.InvalidArgument))
		Expect(headVersion()).To(BeZero())
		Expect(store.objects).To(BeEmpty())
	})

	It("tells the loser who won and what differs", func() { // guards against silently overwritten bundles
		_, err := publish(signed(1, 0, 10), "p1")
		Expect(err).NotTo(HaveOccurred())
		mine := signed(2, 1, 30)
		store.beforeWrite = func() {
			_, err := publish(signed(3, 1, 20), "p2")
			Expect(err).NotTo(HaveOccurred())
		}
		resp, err := publish(mine, "p3")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Conflict).To(BeTrue())
		Expect(resp.Winner).To(Equal("ana"))
		Expect(resp.WinnerVersion).To(BeEquivalentTo(3))
		Expect(resp.Differences).To(Equal([]string{"workspace north: rate 20 requests/s -> 30 requests/s"}))
		Expect(headVersion()).To(BeEquivalentTo(3))
	})

	It("resolves a lost answer by reading back", func() { // guards against a conflict with oneself
		store.lose = 1
		resp, err := publish(signed(1, 0, 10), "p1")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Conflict).To(BeFalse())
		Expect(store.row.Version).To(BeEquivalentTo(1))
	})

	It("knows its bundle when another was built on it before the answer was resolved", func() { // guards against a conflict with one's own successor
		mine := signed(1, 0, 10)
		_, err := publish(mine, "p1")
		Expect(err).NotTo(HaveOccurred())
		_, err = publish(signed(2, 1, 20), "p2")
		Expect(err).NotTo(HaveOccurred())
		resp, err := publish(mine, "p1")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Conflict).To(BeFalse())
		Expect(headVersion()).To(BeEquivalentTo(2))
	})

	It("writes again when the head has not moved, and reports an outage as unknown", func() { // guards against lost publishes and false success
		store.refuse = 2
		_, err := publish(signed(1, 0, 10), "p1")
		Expect(err).NotTo(HaveOccurred())
		Expect(headVersion()).To(BeEquivalentTo(1))
		store.refuse = 100
		_, err = publish(signed(2, 1, 10), "p2")
		Expect(code(err)).To(Equal(twirp.Unavailable))
		Expect(headVersion()).To(BeEquivalentTo(1))
	})

	It("lets a caller repeat a publish, but not another's with the same bytes", func() { // guards against both a false conflict and a false success
		s := signed(1, 0, 10)
		for range 2 {
			resp, err := publish(s, "p1")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Conflict).To(BeFalse())
		}
		resp, err := publish(s, "p2")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Conflict).To(BeTrue())
	})

	It("reads a token file and refuses a short token", func() { // guards against an empty token that admits everyone
		path := filepath.Join(GinkgoT().TempDir(), "token")
		Expect(os.WriteFile(path, []byte(token+"\n"), 0o600)).To(Succeed())
		Expect(admin.ReadToken(path)).To(Equal(token))
		Expect(os.WriteFile(path, []byte("\n"), 0o600)).To(Succeed())
		_, err := admin.ReadToken(path)
		Expect(err).To(HaveOccurred())
	})
})
