package devstack

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/standin/ports"
)

// operatorID is the ID of the operator key that signs the first bundle.
const operatorID = "devstack"

// secretBytes is the size of generated secrets and client keys.
const secretBytes = 32

// portsPerMember and portsPerInstance are the numbers of listen addresses of a
// process.
const (
	portsPerMember   = 3
	portsPerInstance = 4
)

// layout holds the addresses, keys and file paths of a stack.
type layout struct {
	deployment      Deployment
	opts            Options
	directory       string
	platformAddress string
	members         []memberSettings
	instances       []instanceSettings
	// clientKeys maps workspaces to their client keys in plain text.
	clientKeys   map[string]string
	signedBundle string
	adminToken   string
}

// newLayout allocates the addresses and writes all files into the directory.
func newLayout(d Deployment, opts Options, directory string) (*layout, error) {
	l := &layout{deployment: d, opts: opts, directory: directory, clientKeys: map[string]string{}}
	count := 1 + len(d.Services)*membersPerGroup*portsPerMember + d.Instances*portsPerInstance
	addresses, err := ports.Free(count)
	if err != nil {
		return nil, err
	}
	next := func() string {
		a := addresses[0]
		addresses = addresses[1:]
		return a
	}
	l.platformAddress = next()
	l.addMembers(next)
	if err := l.writeBundleAndInstances(next); err != nil {
		return nil, err
	}
	for _, m := range l.members {
		if err := writeTemplate(l.path(m.Name+".yaml"), memberTemplate, m); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *layout) path(name string) string { return filepath.Join(l.directory, name) }

// addMembers adds the settings of all members. Each call of next returns an unused
// address.
func (l *layout) addMembers(next func() string) {
	d := l.deployment
	for _, service := range d.Services {
		first := len(l.members)
		for j := range membersPerGroup {
			role := group.Replica
			if j == 0 {
				role = group.Primary
			}
			name := memberName(service, j)
			l.members = append(l.members, memberSettings{
				Listen: next(), ReplicationListen: next(), ControlListen: next(),
				Group: service, Name: name, Role: string(role), Directory: l.path("data-" + name),
				Connections: d.Connections, Slots: d.Slots, ConnectCostMS: d.ConnectCost.Milliseconds(),
				ApplyLag: l.opts.ApplyLag.String(), NetworkDelay: l.opts.NetworkDelay.String(),
				Peers: map[string]string{},
			})
		}
		for i := first; i < len(l.members); i++ {
			for j := first; j < len(l.members); j++ {
				if i != j {
					l.members[i].Peers[l.members[j].Name] = l.members[j].ReplicationListen
				}
			}
		}
	}
}

// writeBundleAndInstances writes the first bundle, the secret files and the
// settings files of the instances.
func (l *layout) writeBundleAndInstances(next func() string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate operator key")
	}
	if err := l.writeBundle(private); err != nil {
		return err
	}
	secrets := map[string]string{}
	for _, name := range []string{"session-token.key", "peer.secret", "admin.token"} {
		secret := newSecret()
		if err := os.WriteFile(l.path(name), []byte(secret+"\n"), privateFileMode); err != nil {
			return errors.Wrap(err, "write secret file")
		}
		secrets[name] = secret
	}
	l.adminToken = secrets["admin.token"]
	// With the private key an operator can publish further bundles to this stack.
	key := base64.StdEncoding.EncodeToString(private.Seed()) + "\n"
	if err := os.WriteFile(l.path("operator.key"), []byte(key), privateFileMode); err != nil {
		return errors.Wrap(err, "write operator key")
	}
	for i := range l.deployment.Instances {
		e := instanceSettings{
			ID: instanceName(i), Zone: l.deployment.instanceZone(i),
			ClientAddress: next(), PeerAddress: next(), AdminAddress: next(), MetricsAddress: next(),
			PlatformURL: "http://" + l.platformAddress,
			OperatorID:  operatorID, OperatorKey: base64.StdEncoding.EncodeToString(public),
			SessionTokenKeyFile: l.path("session-token.key"), PeerSecretFile: l.path("peer.secret"),
			AdminTokenFile: l.path("admin.token"),
		}
		l.instances = append(l.instances, e)
		if err := writeTemplate(l.path(e.ID+".yaml"), instanceTemplate, e); err != nil {
			return err
		}
	}
	return nil
}

// newSecret returns a random secret as hexadecimal text.
func newSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// writeBundle writes the first bundle, unsigned and signed, and the workspaces'
// client keys. The bundle holds only verifiers of these keys.
func (l *layout) writeBundle(private ed25519.PrivateKey) error {
	verifiers := map[string]bundle.Key{}
	for _, w := range l.deployment.Workspaces {
		l.clientKeys[w.Name] = newSecret()
		salt := make([]byte, 16)
		_, _ = rand.Read(salt)
		verifier, err := bundle.NewKey("k1", l.clientKeys[w.Name], salt)
		if err != nil {
			return err
		}
		verifiers[w.Name] = verifier
	}
	addresses := map[string]string{}
	for _, m := range l.members {
		addresses[m.Name] = m.Listen
	}
	spec := l.deployment.spec(func(member string) string { return addresses[member] }, verifiers)
	if _, err := bundle.Compile(spec, ""); err != nil {
		return errors.Wrap(err, "compile the first bundle")
	}
	data, err := yaml.Marshal(spec)
	if err != nil {
		return errors.Wrap(err, "encode bundle")
	}
	signed, err := bundle.Sign(data, operatorID, private)
	if err != nil {
		return err
	}
	l.signedBundle = l.path("bundle.signed")
	keys, err := yaml.Marshal(l.clientKeys)
	if err != nil {
		return errors.Wrap(err, "encode client keys")
	}
	for name, content := range map[string][]byte{"bundle.yaml": data, "bundle.signed": signed, "keys.yaml": keys} {
		if err := os.WriteFile(l.path(name), content, privateFileMode); err != nil {
			return errors.Wrap(err, "write bundle or client keys")
		}
	}
	return nil
}

// url returns the connection string with which a workspace connects to a route
// through an instance.
func (l *layout) url(instance instanceSettings, workspace, route string) string {
	return "postgres://" + workspace + ":" + l.clientKeys[workspace] + "@" + instance.ClientAddress + "/" + route +
		"?sslmode=disable"
}

// Options are the settings of a run that the deployment does not determine.
type Options struct {
	// BinDir is the directory of the binaries.
	BinDir string
	// Directory holds settings, logs and data; empty means a temporary directory
	// that is removed when Run returns.
	Directory string
	// ApplyLag is the delay after which replicas apply log entries.
	ApplyLag time.Duration
	// NetworkDelay is the one-way network delay of connections to members.
	NetworkDelay time.Duration
}

// Defaults of Options. The network delay is the one-way latency of 1 ms between
// availability zones.
const (
	DefaultApplyLag     = 5 * time.Millisecond
	DefaultNetworkDelay = time.Millisecond
)
