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

// memoryStore is an in-memory store with injected write failures.
type memoryStore struct {
	sync.Mutex
	row     platform.Row
	objects map[string][]byte
	// dropResponses is the number of writes that take effect but return an error;
	// failWrites is the number of writes that fail without effect.
	dropResponses, failWrites int
	// beforeWrite, if set, is called once before the next write.
	beforeWrite func()
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
	case s.failWrites > 0:
		s.failWrites--
		return nil, errors.New("store is down")
	case w[0].ExpectedVersion != s.row.Version:
		return nil, platform.ErrConflict
	}
	s.row = platform.Row{Key: w[0].Key, Value: w[0].Value, Version: s.row.Version + 1}
	if s.dropResponses > 0 {
		s.dropResponses--
		return nil, errors.New("response dropped")
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

type fakeSource struct{ signed []byte }

func (s fakeSource) InstanceStatus(context.Context) (*pb.InstanceStatus, error) {
	return &pb.InstanceStatus{Id: "i1"}, nil
}
func (s fakeSource) FleetStatus(context.Context) (*pb.FleetStatusResponse, error) {
	return nil, errors.New("not started")
}
func (s fakeSource) SignedBundle(context.Context) ([]byte, error) { return s.signed, nil }

// bearerTransport adds the token, if there is one, to each request.
type bearerTransport struct{ token string }

func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if b.token != "" {
		r.Header.Set("Authorization", "Bearer "+b.token)
	}
	return http.DefaultTransport.RoundTrip(r)
}

var _ = Describe("administration API", func() {
	const token = "0123456789abcdef"
	var (
		store              *memoryStore
		api                pb.Admin
		url                string
		public             ed25519.PublicKey
		private, untrusted ed25519.PrivateKey
		ctx                = context.Background()
		signed             func(version, parent uint64, rate float64) []byte
		publish            func(signed []byte, id string) (*pb.PublishResponse, error)
		headVersion        func() uint64
		code               func(err error) twirp.ErrorCode
		newClient          func(token string) pb.Admin
		signedByUntrusted  func() []byte
	)
	BeforeEach(func() {
		public, private, _ = ed25519.GenerateKey(nil)
		_, untrusted, _ = ed25519.GenerateKey(nil)
		store = &memoryStore{objects: map[string][]byte{}}
		server := admin.NewServer(store, fakeSource{}, map[string]ed25519.PublicKey{"ana": public})
		hs := httptest.NewServer(admin.Handler(server, token))
		DeferCleanup(hs.Close)
		url = hs.URL
		newClient = func(token string) pb.Admin {
			return pb.NewAdminProtobufClient(url, &http.Client{Transport: bearerTransport{token}})
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
		signedByUntrusted = func() []byte {
			b, err := bundle.Sign(content(1, 0, 1), "ana", untrusted)
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

	// Guards against unauthenticated access to the API.
	It("rejects callers without the right token", func() {
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

	// Guards against a head that names a bundle missing from the object store.
	It("advances the head and stores the exact bytes of the bundle", func() {
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

	// Guards against publishing a bundle that every instance would reject.
	It("rejects an unsigned or untrusted bundle and a missing publish id, and changes nothing", func() {
		_, err := publish([]byte("version: 1"), "p1")
		Expect(code(err)).To(Equal(twirp.InvalidArgument))
		_, err = publish(signedByUntrusted(), "p1")
		Expect(code(err)).To(Equal(twirp.PermissionDenied))
		_, err = publish(signed(1, 0, 10), "")
		Expect(code(err)).To(Equal(twirp.InvalidArgument))
		Expect(headVersion()).To(BeZero())
		Expect(store.objects).To(BeEmpty())
	})

	// Guards against silently overwriting a bundle that another operator published on
	// the same parent.
	It("reports the winner and the differences on a conflict", func() {
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

	// Guards against reporting a conflict of a publish with itself after the response
	// to its write was lost.
	It("resolves a lost response by reading the head", func() {
		store.dropResponses = 1
		resp, err := publish(signed(1, 0, 10), "p1")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Conflict).To(BeFalse())
		Expect(store.row.Version).To(BeEquivalentTo(1))
	})

	// Guards against reporting a conflict of a publish with its own successor: by the
	// time of the retry, another bundle has been published on top of it.
	It("recognizes its bundle as the parent of the current head", func() {
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

	// Guards against losing a publish after a transient store failure, and against
	// reporting success during an outage.
	It("retries when the head is unchanged, and reports an outage as unavailable", func() {
		store.failWrites = 2
		_, err := publish(signed(1, 0, 10), "p1")
		Expect(err).NotTo(HaveOccurred())
		Expect(headVersion()).To(BeEquivalentTo(1))
		store.failWrites = 100
		_, err = publish(signed(2, 1, 10), "p2")
		Expect(code(err)).To(Equal(twirp.Unavailable))
		Expect(headVersion()).To(BeEquivalentTo(1))
	})

	// Guards against a false conflict on a retry under the same publish id, and against
	// a false success for another publish of the same bytes.
	It("accepts a retry, but not the same bytes under another publish id", func() {
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

	// Guards against an empty token file, with which every caller would be admitted.
	It("reads a token file and rejects a short token", func() {
		path := filepath.Join(GinkgoT().TempDir(), "token")
		Expect(os.WriteFile(path, []byte(token+"\n"), 0o600)).To(Succeed())
		Expect(admin.ReadToken(path)).To(Equal(token))
		Expect(os.WriteFile(path, []byte("\n"), 0o600)).To(Succeed())
		_, err := admin.ReadToken(path)
		Expect(err).To(HaveOccurred())
	})
})
