package entry_test

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/pkg/config"
	"github.com/mulberrysill/mulberrysill/pkg/entry"
	"github.com/mulberrysill/mulberrysill/pkg/logging"
	adminpb "github.com/mulberrysill/mulberrysill/rpc/admin"
	"github.com/mulberrysill/mulberrysill/standin/member"
	"github.com/mulberrysill/mulberrysill/standin/platform"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

func must[T any](v T, err error) T {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	return v
}

var _ = Describe("entry daemon, end to end", func() {
	// Guards against packages that pass their own tests but fail when assembled:
	// a bundle is published through the administration API, and a row written
	// through one instance is read through another.
	It("serves a write and reads it back on another instance", func(ctx SpecContext) {
		dir := GinkgoT().TempDir()
		store := must(platform.Start(platform.Options{}))
		DeferCleanup(store.Close)

		spec := bundle.Spec{Version: 1}
		key := "a-key-of-the-workspace-utileria"
		verifier := must(bundle.NewKey("k1", key, []byte("0123456789abcdef")))
		spec.Workspaces = []bundle.Workspace{{Name: "utileria", Rate: 1000, Burst: 200, Keys: []bundle.Key{verifier}}}
		spec.Routes = []bundle.Route{{Name: "inventario", Group: "g1", Database: "inventario", Access: bundle.ReadWrite, Workspaces: []string{"utileria"}}}
		g := bundle.Group{Name: "g1"}
		members := map[string]*member.Member{}
		for i, zone := range []string{"escazu", "heredia", "cartago"} {
			spec.Zones = append(spec.Zones, bundle.Zone{Name: zone, InService: true})
			spec.BackendServers = append(spec.BackendServers, bundle.BackendServer{Name: "db-" + zone, Zone: zone, InService: true})
			role := group.Replica
			if i == 0 {
				role = group.Primary
			}
			name := fmt.Sprintf("g1-%d", i)
			members[name] = must(member.Start(member.Options{Group: "g1", Name: name, Role: role}))
			DeferCleanup(members[name].Close)
			g.Members = append(g.Members, bundle.Member{Name: name, Server: "db-" + zone, Address: members[name].Addr(), Connections: 20, Slots: 3})
		}
		addresses := map[string]string{}
		for name, m := range members {
			addresses[name] = m.ReplicationAddr()
		}
		for name, m := range members {
			others := maps.Clone(addresses)
			delete(others, name)
			m.SetPeers(others)
		}
		spec.Groups = []bundle.Group{g}

		public, private, err := ed25519.GenerateKey(rand.Reader)
		Expect(err).NotTo(HaveOccurred())
		secret := filepath.Join(dir, "secret")
		Expect(os.WriteFile(secret, []byte(strings.Repeat("s", 40)), 0o600)).To(Succeed())
		daemons := []*entry.Daemon{}
		runCtx, stop := context.WithCancel(context.Background())
		done := sync.WaitGroup{}
		for i := range 2 {
			settings := must(config.Parse("test", []byte(fmt.Sprintf(`id: entry-%d
zone: escazu
clientAddress: 127.0.0.1:0
peerAddress: 127.0.0.1:0
adminAddress: 127.0.0.1:0
metricsAddress: 127.0.0.1:0
platformURL: %s
trustedKeys: {ana: %s}
sessionTokenKeyFile: %s
peerSecretFile: %s
adminTokenFile: %s
`, i, store.URL(), base64.StdEncoding.EncodeToString(public), secret, secret, secret))))
			log := must(logging.New(GinkgoWriter, "debug", settings.ID, settings.Zone))
			d := must(entry.New(settings, config.Secrets{
				SessionTokenKey: []byte(strings.Repeat("s", 40)), PeerSecret: []byte(strings.Repeat("p", 40)),
				AdminToken: "token", TrustedKeys: map[string]ed25519.PublicKey{"ana": public},
			}, log))
			daemons = append(daemons, d)
			done.Add(1)
			go func() {
				defer GinkgoRecover()
				defer done.Done()
				Expect(d.Run(runCtx)).To(Succeed())
			}()
		}
		DeferCleanup(func() { stop(); done.Wait() })

		signed := must(bundle.Sign(must(yaml.Marshal(spec)), "ana", private))
		api := adminpb.NewAdminProtobufClient("http://"+daemons[0].AdminAddress(), http.DefaultClient)
		header := http.Header{"Authorization": []string{"Bearer token"}}
		adminCtx := must(twirp.WithHTTPRequestHeaders(ctx, header))
		response := must(api.Publish(adminCtx, &adminpb.PublishRequest{Signed: signed, PublishId: "p1"}))
		Expect(response.Conflict).To(BeFalse())
		Eventually(func(g Gomega) {
			s, err := api.FleetStatus(adminCtx, &adminpb.StatusRequest{})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Accepted).To(BeTrue())
		}).WithTimeout(10 * time.Second).Should(Succeed())

		connect := func(d *entry.Daemon) *pgx.Conn {
			url := fmt.Sprintf("postgres://utileria:%s@%s/inventario?sslmode=disable", key, d.ClientAddress())
			var conn *pgx.Conn
			Eventually(func(g Gomega) {
				c, err := pgx.Connect(ctx, url)
				g.Expect(err).NotTo(HaveOccurred())
				_, err = c.Exec(ctx, "SELECT 1")
				g.Expect(err).NotTo(HaveOccurred())
				conn = c
			}).WithTimeout(10 * time.Second).Should(Succeed())
			return conn
		}
		a := connect(daemons[0])
		must(a.Exec(ctx, "CREATE TABLE item (id int primary key, name text)"))
		must(a.Exec(ctx, "INSERT INTO item VALUES ($1, $2)", 1, "armoire"))
		b := connect(daemons[1])
		tx := must(b.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly}))
		var name string
		Expect(tx.QueryRow(ctx, "SELECT name FROM item WHERE id = $1", 1).Scan(&name)).To(Succeed())
		Expect(name).To(Equal("armoire"))
		Expect(tx.Commit(ctx)).To(Succeed())
	}, SpecTimeout(60*time.Second))
})
