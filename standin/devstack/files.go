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

// operatorID names the operator's key that signs the first bundle.
const operatorID = "devstack"

// secretBytes is the size of generated secrets and keys.
const secretBytes = 32

// portsPerMember and portsPerInstance are the listeners of each process.
const (
	portsPerMember   = 3
	portsPerInstance = 4
)

// layout holds the addresses, keys and files of a stack.
type layout struct {
	deployment Deployment
	opts       Options
	directory  string
	platform   string
	members    []memberSettings
	entries    []entrySettings
	// keys are the workspaces' keys in plain text.
	keys         map[string]string
	signedBundle string
	adminToken   string
}

// newLayout chooses addresses and writes all files into the directory.
func newLayout(d Deployment, opts Options, directory string) (*layout, error) {
	l := &layout{deployment: d, opts: opts, directory: directory, keys: map[string]string{}}
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
	l.platform = next()
	l.placeMembers(next)
	if err := l.writeBundleAndEntries(next); err != nil {
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

func (l *layout) placeMembers(next func() string) {
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
				Fellows: map[string]string{},
			})
		}
		for i := first; i < len(l.members); i++ {
			for j := first; j < len(l.members); j++ {
				if i != j {
					l.members[i].Fellows[l.members[j].Name] = l.members[j].ReplicationListen
				}
			}
		}
	}
}

func (l *layout) writeBundleAndEntries(next func() string) error {
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
		if err := os.WriteFile(l.path(name), []byte(secret+"\n"), privateFile); err != nil {
			return errors.Wrap(err, "write secret")
		}
		secrets[name] = secret
	}
	l.adminToken = secrets["admin.token"]
	// The private key lets an operator publish further bundles to this stack.
	key := base64.StdEncoding.EncodeToString(private.Seed()) + "\n"
	if err := os.WriteFile(l.path("operator.key"), []byte(key), privateFile); err != nil {
		return errors.Wrap(err, "write operator key")
	}
	for i := range l.deployment.Instances {
		e := entrySettings{
			ID: instanceName(i), Zone: l.deployment.instanceZone(i),
			ClientAddress: next(), PeerAddress: next(), AdminAddress: next(), MetricsAddress: next(),
			PlatformURL: "http://" + l.platform,
			OperatorID:  operatorID, OperatorKey: base64.StdEncoding.EncodeToString(public),
			SessionTokenKeyFile: l.path("session-token.key"), PeerSecretFile: l.path("peer.secret"),
			AdminTokenFile: l.path("admin.token"),
		}
		l.entries = append(l.entries, e)
		if err := writeTemplate(l.path(e.ID+".yaml"), entryTemplate, e); err != nil {
			return err
		}
	}
	return nil
}

// newSecret returns a random secret as text.
func newSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// writeBundle writes the first bundle, in plain and in signed form, and the
// workspaces' keys, which are stored nowhere else.
func (l *layout) writeBundle(private ed25519.PrivateKey) error {
	verifiers := map[string]bundle.Key{}
	for _, w := range l.deployment.Workspaces {
		l.keys[w.Name] = newSecret()
		salt := make([]byte, 16)
		_, _ = rand.Read(salt)
		verifier, err := bundle.NewKey("k1", l.keys[w.Name], salt)
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
		return errors.Wrap(err, "first bundle")
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
	keys, err := yaml.Marshal(l.keys)
	if err != nil {
		return errors.Wrap(err, "encode keys")
	}
	for name, content := range map[string][]byte{"bundle.yaml": data, "bundle.signed": signed, "keys.yaml": keys} {
		if err := os.WriteFile(l.path(name), content, privateFile); err != nil {
			return errors.Wrap(err, "write bundle")
		}
	}
	return nil
}

// url returns the address of a route on an instance for a workspace.
func (l *layout) url(entry entrySettings, workspace, route string) string {
	return "postgres://" + workspace + ":" + l.keys[workspace] + "@" + entry.ClientAddress + "/" + route +
		"?sslmode=disable"
}

// Options change what a deployment does not fix.
type Options struct {
	// BinDir holds the binaries.
	BinDir string
	// Directory receives settings, logs and data; empty means a temporary one
	// that is removed at the end.
	Directory string
	// ApplyLag is the age at which replicas apply entries.
	ApplyLag time.Duration
	// NetworkDelay is the one-way delay of connections to members.
	NetworkDelay time.Duration
}

// Defaults of Options: the one-way latency between availability zones is 1 ms.
const (
	DefaultApplyLag     = 5 * time.Millisecond
	DefaultNetworkDelay = time.Millisecond
)
