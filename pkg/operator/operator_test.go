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

// fleet is an administration API with one instance in it.
type fleet struct {
	pb.Admin
	head     atomic.Uint64
	accepted atomic.Bool
	signed   []byte
	ids      []string
	lose     int // publishes whose answer is lost
}

func (f *fleet) Publish(_ context.Context, r *pb.PublishRequest) (*pb.PublishResponse, error) {
	f.ids = append(f.ids, r.PublishId)
	if f.lose > 0 {
		f.lose--
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

func (f *fleet) FleetStatus(context.Context, *pb.StatusRequest) (*pb.FleetStatusResponse, error) {
	st := &pb.FleetStatusResponse{HeadVersion: f.head.Load(), Accepted: f.accepted.Load(),
		Instances: []*pb.InstanceTakeUp{{Id: "i1", BundleVersion: f.head.Load()}, {Id: "i2"}}}
	return st, nil
}

func (f *fleet) GetBundle(context.Context, *pb.GetBundleRequest) (*pb.GetBundleResponse, error) {
	return &pb.GetBundleResponse{Signed: f.signed}, nil
}

var _ = Describe("mulberryctl", func() {
	const token = "0123456789abcdef"
	var (
		dir    string
		f      *fleet
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
		f = &fleet{}
		f.accepted.Store(true)
		hs := httptest.NewServer(admin.Handler(f, token))
		DeferCleanup(hs.Close)
		remote = []string{"--server", hs.URL, "--token-file", write("token", token)}
	})
	with := func(args ...string) []string { return append(args, remote...) }

	It("prints a key that its verifier accepts", func() { // guards against keys that no client can use
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

	It("signs with a private file that it never replaces", func() { // guards against a lost or readable signing key
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

	It("does not print a private key from a broken file", func() { // guards against secrets in error messages
		y := write("b.yaml", "version: 1\nparent: 0\n")
		code, _, errOut := run("bundle", "sign", y, "--key", write("bad.key", "id: ana\nprivatKey: c2VjcmV0\n"), "--out", path("x"))
		Expect(code).To(Equal(operator.ExitFailure))
		Expect(errOut).NotTo(ContainSubstring("c2VjcmV0"))
	})

	DescribeTable("exits with 2 on wrong usage", // guards against scripts that take a typing error for a failure
		func(args ...string) {
			code, _, errOut := run(args...)
			Expect(code).To(Equal(operator.ExitUsage), errOut)
		},
		Entry(nil, "bundle", "sign", "x"), Entry(nil, "bundle", "publish"), Entry(nil, "bundle"), Entry(nil, "bundle", "absent"),
		Entry(nil, "absent"), Entry(nil, "fleet", "status", "--absent"), Entry(nil, "fleet", "status"), Entry(nil, "key", "new"),
	)

	It("names line and column of a fault", func() { // guards against bundles that cannot be repaired
		code, _, errOut := run("bundle", "validate", write("b.yaml", "version: 1\nparrent: 0\n"))
		Expect(code).To(Equal(operator.ExitFailure))
		Expect(errOut).To(ContainSubstring("[2:1]"))
		code, _, errOut = run("bundle", "validate", write("b.yaml", "version: 1\nroutes: [{name: r, group: g, access: read}]\n"))
		Expect(code).To(Equal(operator.ExitFailure))
		Expect(errOut).To(ContainSubstring(`routes[0].group: "g" does not exist`))
	})

	It("publishes, waits and lists who lacks the bundle", func() { // guards against a publish that reports success too early
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

	It("exits with 3 on a conflict and shows the winner", func() { // guards against an operator who overwrites another
		ok("signing-key", "new", "--id", "ana", "--out", path("ana.key"))
		f.head.Store(7)
		code, out, _ := run(with("bundle", "publish", sign(2, 1))...)
		Expect(code).To(Equal(operator.ExitConflict))
		Expect(out).To(And(ContainSubstring(`version 7 by "bo"`), ContainSubstring("zone z: added")))
	})

	It("repeats a publish under one identity, on the next instance if need be", func() { // guards against a conflict with oneself
		ok("signing-key", "new", "--id", "ana", "--out", path("ana.key"))
		f.lose = 2
		ok(with("bundle", "publish", sign(1, 0), "--server", "http://127.0.0.1:1")...)
		Expect(f.ids).To(HaveLen(3))
		Expect(f.ids).To(HaveEach(f.ids[0]))
	})

	It("documents examples and exit codes on every command", func() { // guards against undocumented commands
		for _, c := range []string{"key new", "signing-key new", "bundle validate", "bundle sign", "bundle diff", "bundle publish", "bundle show", "fleet status"} {
			help := ok(append(strings.Fields(c), "--help")...)
			Expect(help).To(And(ContainSubstring("Examples:\n  mulberryctl "+c), ContainSubstring("3  conflict")), c)
		}
	})
})
