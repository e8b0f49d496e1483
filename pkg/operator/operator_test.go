package operator_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/goccy/go-yaml"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"
	"github.com/xdg-go/scram"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/pkg/admin"
	"github.com/mulberrysill/mulberrysill/pkg/operator"
	pb "github.com/mulberrysill/mulberrysill/rpc/admin"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pkg/operator")
}

// fakeFleet is the administration API of one instance of a fleet of two, i1 and i2.
// i2 never activates a bundle.
type fakeFleet struct {
	pb.Admin
	head          atomic.Uint64
	accepted      atomic.Bool
	signed        []byte
	publishIDs    []string
	failPublishes int // number of publishes that fail without effect, outcome unknown to the caller
}

func (f *fakeFleet) Publish(_ context.Context, r *pb.PublishRequest) (*pb.PublishResponse, error) {
	f.publishIDs = append(f.publishIDs, r.PublishId)
	if f.failPublishes > 0 {
		f.failPublishes--
		return nil, twirp.Unavailable.Error("outcome unknown")
	}
	content, _, err := bundle.Inspect(r.Signed)
	if err != nil {
		return nil, twirp.InvalidArgumentError("signed", err.Error())
	}
	spec, _ := bundle.Decode(content)
	if spec.Parent != f.head.Load() {
		return &pb.PublishResponse{Conflict: true, Winner: "bo", WinnerVersion: f.head.Load(), Differences: []string{"zone z: added"}}, nil
	}
	f.head.Store(spec.Version)
	f.signed = r.Signed
	return &pb.PublishResponse{Version: spec.Version, Digest: bundle.Digest(r.Signed)}, nil
}

func (f *fakeFleet) FleetStatus(context.Context, *pb.StatusRequest) (*pb.FleetStatusResponse, error) {
	st := &pb.FleetStatusResponse{HeadVersion: f.head.Load(), Accepted: f.accepted.Load(),
		Instances: []*pb.InstanceTakeUp{{Id: "i1", BundleVersion: f.head.Load()}, {Id: "i2"}}}
	return st, nil
}

func (f *fakeFleet) GetBundle(context.Context, *pb.GetBundleRequest) (*pb.GetBundleResponse, error) {
	return &pb.GetBundleResponse{Signed: f.signed}, nil
}

var _ = Describe("mulberryctl", func() {
	const token = "0123456789abcdef"
	var (
		dir    string
		f      *fakeFleet
		remote []string
	)
	path := func(name string) string { return filepath.Join(dir, name) }
	run := func(args ...string) (code int, out, errOut string) {
		var o, e bytes.Buffer
		code = operator.Run(context.Background(), args, &o, &e)
		return code, o.String(), e.String()
	}
	ok := func(args ...string) string {
		code, out, errOut := run(args...)
		Expect(code).To(Equal(operator.ExitOK), errOut)
		return out
	}
	write := func(name, text string) string {
		Expect(os.WriteFile(path(name), []byte(text), 0o600)).To(Succeed())
		return path(name)
	}
	sign := func(version, parent int) string {
		y := write("b.yaml", fmt.Sprintf("version: %d\nparent: %d\n", version, parent))
		ok("bundle", "sign", y, "--key", path("ana.key"), "--out", path("b.signed"))
		return path("b.signed")
	}
	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		f = &fakeFleet{}
		f.accepted.Store(true)
		hs := httptest.NewServer(admin.Handler(f, token))
		DeferCleanup(hs.Close)
		remote = []string{"--server", hs.URL, "--token-file", write("token", token)}
	})
	with := func(args ...string) []string { return append(args, remote...) }

	// Guards against client keys that fail authentication with their own verifier.
	It("prints a key that authenticates with its verifier", func() {
		out := ok("key", "new", "--workspace", "north", "--id", "k1")
		key := regexp.MustCompile(`(?m)^# ([\w-]{32})$`).FindStringSubmatch(out)
		Expect(key).To(HaveLen(2), out)
		var keys []bundle.Key
		Expect(yaml.Unmarshal([]byte(out), &keys)).To(Succeed())
		c, err := bundle.Compile(bundle.Spec{Version: 1, Workspaces: []bundle.Workspace{{Name: "north", Rate: 1, Burst: 1, Keys: keys}}}, "")
		Expect(err).NotTo(HaveOccurred())
		v := c.Verifier("north", "k1")
		server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
			return scram.StoredCredentials{KeyFactors: scram.KeyFactors{Salt: string(v.Salt), Iters: v.Iterations}, StoredKey: v.StoredKey, ServerKey: v.ServerKey}, nil
		})
		Expect(err).NotTo(HaveOccurred())
		client, err := scram.SHA256.NewClient("north", key[1], "")
		Expect(err).NotTo(HaveOccurred())
		cc, sc, msg := client.NewConversation(), server.NewConversation(), ""
		for range 2 {
			msg, err = cc.Step(msg)
			Expect(err).NotTo(HaveOccurred())
			msg, err = sc.Step(msg)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(sc.Valid()).To(BeTrue())
		Expect(ok("key", "new", "--workspace", "north", "--id", "k1")).NotTo(Equal(out))
	})

	// Guards against overwriting a signing key and against a key file that other users
	// can read.
	It("creates a private signing key file, never replaces it and signs with it", func() {
		public := ok("signing-key", "new", "--id", "ana", "--out", path("ana.key"))
		info, err := os.Stat(path("ana.key"))
		Expect(err).NotTo(HaveOccurred())
		Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)))
		code, _, _ := run("signing-key", "new", "--id", "ana", "--out", path("ana.key"))
		Expect(code).To(Equal(operator.ExitFailure))
		signed, err := os.ReadFile(sign(1, 0))
		Expect(err).NotTo(HaveOccurred())
		var keys []operator.TrustedKey
		Expect(yaml.Unmarshal([]byte(public), &keys)).To(Succeed())
		raw, err := base64.StdEncoding.DecodeString(keys[0].PublicKey)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = bundle.Open(signed, map[string]ed25519.PublicKey{"ana": raw})
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against secrets in error messages.
	It("does not print the private key of a malformed file", func() {
		y := write("b.yaml", "version: 1\nparent: 0\n")
		code, _, errOut := run("bundle", "sign", y, "--key", write("bad.key", "id: ana\nprivatKey: c2VjcmV0\n"), "--out", path("x"))
		Expect(code).To(Equal(operator.ExitFailure))
		Expect(errOut).NotTo(ContainSubstring("c2VjcmV0"))
	})

	// Guards against scripts that can't tell a usage error from a failure.
	DescribeTable("exits with 2 on wrong usage",
		func(args ...string) {
			code, _, errOut := run(args...)
			Expect(code).To(Equal(operator.ExitUsage), errOut)
		},
		Entry(nil, "bundle", "sign", "x"), Entry(nil, "bundle", "publish"), Entry(nil, "bundle"), Entry(nil, "bundle", "absent"),
		Entry(nil, "absent"), Entry(nil, "fleet", "status", "--absent"), Entry(nil, "fleet", "status"), Entry(nil, "key", "new"),
	)

	// Guards against error messages that don't locate the error in the bundle.
	It("reports line and column, or the path, of an error", func() {
		code, _, errOut := run("bundle", "validate", write("b.yaml", "version: 1\nparrent: 0\n"))
		Expect(code).To(Equal(operator.ExitFailure))
		Expect(errOut).To(ContainSubstring("[2:1]"))
		code, _, errOut = run("bundle", "validate", write("b.yaml", "version: 1\nroutes: [{name: r, group: g, access: read}]\n"))
		Expect(code).To(Equal(operator.ExitFailure))
		Expect(errOut).To(ContainSubstring(`routes[0].group: "g" does not exist`))
	})

	// Guards against reporting success before the fleet has accepted the bundle.
	It("publishes, waits for acceptance and lists the instances without the bundle", func() {
		ok("signing-key", "new", "--id", "ana", "--out", path("ana.key"))
		Expect(ok(with("bundle", "publish", sign(1, 0))...)).To(And(ContainSubstring("version 1 is published"), ContainSubstring("lacking it: i2")))
		Expect(ok(with("bundle", "show")...)).To(ContainSubstring("# signed by ana\nversion: 1"))
		Expect(ok(with("bundle", "diff", write("c.yaml", "version: 2\nparent: 1\nzones: [{name: z1}]\n"))...)).To(Equal("availability zone z1: added\n"))
		f.accepted.Store(false)
		code, out, _ := run(with("bundle", "publish", sign(2, 1), "--timeout", "300ms")...)
		Expect(code).To(Equal(operator.ExitNotAccepted))
		Expect(out).To(ContainSubstring("lacking it: i2"))
		code, _, _ = run(with("fleet", "status", "--wait", "--timeout", "300ms")...)
		Expect(code).To(Equal(operator.ExitNotAccepted))
		Expect(ok(with("fleet", "status")...)).To(ContainSubstring("not accepted"))
	})

	// Guards against an operator overwriting another operator's bundle.
	It("exits with 3 on a conflict and shows the winner", func() {
		ok("signing-key", "new", "--id", "ana", "--out", path("ana.key"))
		f.head.Store(7)
		code, out, _ := run(with("bundle", "publish", sign(2, 1))...)
		Expect(code).To(Equal(operator.ExitConflict))
		Expect(out).To(And(ContainSubstring(`version 7 by "bo"`), ContainSubstring("zone z: added")))
	})

	// Guards against a conflict of a publish with its own earlier attempt.
	It("retries a publish under the same publish id, on another instance if needed", func() {
		ok("signing-key", "new", "--id", "ana", "--out", path("ana.key"))
		f.failPublishes = 2
		ok(with("bundle", "publish", sign(1, 0), "--server", "http://127.0.0.1:1")...)
		Expect(f.publishIDs).To(HaveLen(3))
		Expect(f.publishIDs).To(HaveEach(f.publishIDs[0]))
	})

	It("documents examples and exit codes of every command", func() {
		for _, c := range []string{"key new", "signing-key new", "bundle validate", "bundle sign", "bundle diff", "bundle publish", "bundle show", "fleet status"} {
			help := ok(append(strings.Fields(c), "--help")...)
			Expect(help).To(And(ContainSubstring("Examples:\n  mulberryctl "+c), ContainSubstring("3  conflict")), c)
		}
	})
})
