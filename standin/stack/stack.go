// Package stack runs a complete deployment on loopback for tests and experiments:
// the platform stand-in in this process, members and instances (mulberrysill
// daemons) as child processes, and links between them that inject faults.
package stack

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/twitchtv/twirp"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	adminpb "github.com/mulberrysill/mulberrysill/rpc/admin"
	"github.com/mulberrysill/mulberrysill/standin/platform"
	"github.com/mulberrysill/mulberrysill/standin/ports"
)

const (
	operatorKeyID = "operator"
	adminToken    = "administration-token-of-a-test-stack"
	pollInterval  = 20 * time.Millisecond
	// stopTimeout is the maximum time for the shutdown of all processes. Those
	// still running after it are killed.
	stopTimeout = 5 * time.Second
)

// Options describe a deployment. Zero values are replaced by defaults modelled on
// the Velacruz deployment.
type Options struct {
	// Binaries is the directory of the binaries mulberrysill and devmember; see
	// Build.
	Binaries string
	// Directory holds settings, secrets and state. The caller removes it.
	Directory string
	Zones     []string
	// Instances is the number of instances. Groups is the number of database groups
	// of three members each.
	Instances, Groups int
	Workspaces        []bundle.Workspace
	// Connections and Slots apply to each member. ConnectCost is the time that a
	// member takes to accept a new connection.
	Connections, Slots int
	ConnectCost        time.Duration
	// OpenRate is the rate limit of each open route in requests/s. Its burst is a
	// fifth of it.
	OpenRate float64
	// ApplyLag is the replication lag of replicas.
	ApplyLag time.Duration
	// NetworkDelay is the one-way delay of every connection to a member.
	NetworkDelay time.Duration
	// Log receives the output of all processes; nil discards it.
	Log io.Writer
}

func (o Options) withDefaults() Options {
	if len(o.Zones) == 0 {
		o.Zones = []string{"escazu", "heredia", "cartago", "alajuela"}
	}
	if o.Instances == 0 {
		o.Instances = 3
	}
	if o.Groups == 0 {
		o.Groups = 1
	}
	if len(o.Workspaces) == 0 {
		o.Workspaces = []bundle.Workspace{{Name: "utileria", Rate: 5000, Burst: 1000}}
	}
	if o.Connections == 0 {
		o.Connections = 20
	}
	if o.Slots == 0 {
		o.Slots = 3
	}
	if o.ConnectCost == 0 {
		o.ConnectCost = 12 * time.Millisecond
	}
	if o.OpenRate == 0 {
		o.OpenRate = 1000
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	return o
}

// Stack is a running deployment.
type Stack struct {
	Platform  *platform.Platform
	Instances []*Instance
	// Members maps names to members: "g1-0" to "g1-2" in the first group. The
	// member with index 0 starts as the primary.
	Members map[string]*Member

	opts            Options
	signingKey      ed25519.PrivateKey
	verificationKey ed25519.PublicKey
	spec            bundle.Spec
	clientKeys      map[string]string
	faultServer     *toxiproxy.ApiServer
}

// Instance is one instance of the deployment: the process of its daemon, its
// addresses and its link to the platform.
type Instance struct {
	*Process
	ID, Zone string
	// ClientAddress, AdminAddress and MetricsAddress are the instance's listen
	// addresses.
	ClientAddress, AdminAddress, MetricsAddress string
	// PlatformLink carries the instance's connections to the platform.
	PlatformLink *Link
	Admin        adminpb.Admin
}

// Member is one member of a database group.
type Member struct {
	*Process
	Name, Zone, Server string
	// ClientLink carries the connections of all instances to this member.
	ClientLink *Link
	// ReplicationLinks holds the links from this member to the group's other members,
	// by their names.
	ReplicationLinks map[string]*Link

	listenAddress, replicationAddress, controlAddress string
}

// Build builds the binaries that Start requires into the directory.
func Build(ctx context.Context, directory string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", directory+"/",
		"github.com/mulberrysill/mulberrysill/cmd/mulberrysill",
		"github.com/mulberrysill/mulberrysill/cmd/devmember")
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "build: %s", out)
}

// Start starts the deployment, publishes the first bundle and waits until it is
// active on every instance. On an error it stops all processes that it started.
func Start(ctx context.Context, opts Options) (*Stack, error) {
	s := &Stack{
		opts: opts.withDefaults(), Members: map[string]*Member{}, clientKeys: map[string]string{}, faultServer: NewFaultServer(),
	}
	err := s.start(ctx)
	if err != nil {
		s.Close()
	}
	return s, err
}

func (s *Stack) start(ctx context.Context) error {
	var err error
	if s.verificationKey, s.signingKey, err = ed25519.GenerateKey(rand.Reader); err != nil {
		return err
	}
	if s.Platform, err = platform.Start(platform.Options{}); err != nil {
		return err
	}
	if err := s.buildSpec(); err != nil {
		return err
	}
	if err := s.startMembers(); err != nil {
		return err
	}
	if err := s.writeSecrets(); err != nil {
		return err
	}
	for i := range s.opts.Instances {
		if err := s.startInstance(i); err != nil {
			return err
		}
	}
	if err := s.awaitAdminAPIs(ctx); err != nil {
		return err
	}
	response, err := s.publish(ctx, s.spec)
	if err != nil {
		return err
	}
	if err := s.AwaitActive(ctx, response.Version); err != nil {
		return err
	}
	return s.checkRunning()
}

// checkRunning returns an error if a process has exited, for example because its
// port was already in use.
func (s *Stack) checkRunning() error {
	for _, m := range s.Members {
		if m.HasExited() {
			return errors.Newf("member %s exited with code %d", m.Name, m.ExitCode())
		}
	}
	for _, e := range s.Instances {
		if e.HasExited() {
			return errors.Newf("instance %s exited with code %d", e.ID, e.ExitCode())
		}
	}
	return nil
}

// buildSpec builds the first bundle. It has three routes per group: read-write
// "<group>", read-only "<group>-ro" and open read-only "<group>-open".
func (s *Stack) buildSpec() error {
	s.spec = bundle.Spec{Version: 1}
	for _, zone := range s.opts.Zones {
		s.spec.Zones = append(s.spec.Zones, bundle.Zone{Name: zone, InService: true})
		s.spec.BackendServers = append(s.spec.BackendServers, bundle.BackendServer{Name: "db-" + zone, Zone: zone, InService: true})
	}
	var names []string
	for _, w := range s.opts.Workspaces {
		key := rand.Text()
		verifier, err := bundle.NewKey("k1", key, []byte(rand.Text()))
		if err != nil {
			return err
		}
		w.Keys = []bundle.Key{verifier}
		s.clientKeys[w.Name] = key
		s.spec.Workspaces = append(s.spec.Workspaces, w)
		names = append(names, w.Name)
	}
	for i := range s.opts.Groups {
		name := fmt.Sprintf("g%d", i+1)
		s.spec.Routes = append(s.spec.Routes,
			bundle.Route{Name: name, Group: name, Database: "app", Access: bundle.ReadWrite, Workspaces: names},
			bundle.Route{Name: name + "-ro", Group: name, Database: "app", Access: bundle.ReadOnly, Workspaces: names},
			bundle.Route{Name: name + "-open", Group: name, Database: "app", Access: bundle.ReadOnly, Open: true, Rate: s.opts.OpenRate, Burst: s.opts.OpenRate / 5})
	}
	return nil
}

// startMembers starts the members of all groups and adds the groups to the bundle.
// The links to a group's members must exist before its members start.
func (s *Stack) startMembers() error {
	for i := range s.opts.Groups {
		g := bundle.Group{Name: fmt.Sprintf("g%d", i+1)}
		for j := range 3 {
			m, err := s.newMember(g.Name, j, s.opts.Zones[(i+j)%len(s.opts.Zones)])
			if err != nil {
				return err
			}
			s.Members[m.Name] = m
			g.Members = append(g.Members, bundle.Member{
				Name: m.Name, Server: m.Server, Address: m.ClientLink.Addr(), Connections: s.opts.Connections, Slots: s.opts.Slots,
			})
		}
		s.spec.Groups = append(s.spec.Groups, g)
		for j := range g.Members {
			if err := s.startMember(g, j); err != nil {
				return err
			}
		}
	}
	return nil
}

// newMember allocates the addresses of a member and starts the link to it.
func (s *Stack) newMember(group string, index int, zone string) (*Member, error) {
	addresses, err := ports.Free(3)
	if err != nil {
		return nil, err
	}
	m := &Member{
		Name: fmt.Sprintf("%s-%d", group, index), Zone: zone, Server: "db-" + zone, ReplicationLinks: map[string]*Link{},
		listenAddress: addresses[0], replicationAddress: addresses[1], controlAddress: addresses[2],
	}
	m.ClientLink, err = NewLink(s.faultServer, m.Name, m.listenAddress)
	return m, err
}

// startMember starts the process of a member and its links to the group's other
// members.
func (s *Stack) startMember(g bundle.Group, index int) error {
	m := s.Members[g.Members[index].Name]
	role := "replica"
	if index == 0 {
		role = "primary"
	}
	directory := filepath.Join(s.opts.Directory, m.Name)
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return err
	}
	args := []string{
		"--group", g.Name, "--name", m.Name, "--role", role, "--directory", directory, "--log-level", "warning",
		"--listen", m.listenAddress, "--replication-listen", m.replicationAddress, "--control-listen", m.controlAddress,
		"--connections", itoa(s.opts.Connections), "--slots", itoa(s.opts.Slots),
		"--connect-cost-ms", itoa(s.opts.ConnectCost.Milliseconds()), "--apply-lag", s.opts.ApplyLag.String(),
		"--network-delay", s.opts.NetworkDelay.String(),
	}
	for _, other := range g.Members {
		if other.Name == m.Name {
			continue
		}
		link, err := NewLink(s.faultServer, m.Name+"-"+other.Name, s.Members[other.Name].replicationAddress)
		if err != nil {
			return err
		}
		m.ReplicationLinks[other.Name] = link
		args = append(args, "--fellow", other.Name+"="+link.Addr())
	}
	var err error
	m.Process, err = StartProcess(s.opts.Log, filepath.Join(s.opts.Binaries, "devmember"), args...)
	return err
}

// Control sends a POST request to the member's control API, for example
// "lose?count=1".
func (m *Member) Control(ctx context.Context, request string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.controlAddress+"/"+request, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrapf(err, "control %s", m.Name)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Newf("control %s: %s: %s", m.Name, request, response.Status)
	}
	return nil
}

// Statements returns the number of data statements that the member has received
// through pooled connections.
func (m *Member) Statements(ctx context.Context) (int, error) {
	var n int
	err := m.Read(ctx, "statements", &n)
	return n, err
}

// Read decodes a JSON document of the member's control API, for example "status",
// into the value that into points to.
func (m *Member) Read(ctx context.Context, path string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.controlAddress+"/"+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrapf(err, "read from %s", m.Name)
	}
	defer response.Body.Close()
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(into), "read %s from %s", path, m.Name)
}

// writeSecrets writes the secret files that all instances share.
func (s *Stack) writeSecrets() error {
	secrets := map[string]string{
		"token.key": strings.Repeat("session-token-key.", 3), "peer.secret": strings.Repeat("peer-secret.", 4), "admin.token": adminToken,
	}
	for name, text := range secrets {
		if err := os.WriteFile(filepath.Join(s.opts.Directory, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// startInstance writes the settings of an instance and starts its process and its
// link to the platform.
func (s *Stack) startInstance(index int) error {
	addresses, err := ports.Free(4)
	if err != nil {
		return err
	}
	e := &Instance{
		ID: fmt.Sprintf("entry-%d", index), Zone: s.opts.Zones[index%len(s.opts.Zones)],
		ClientAddress: addresses[0], AdminAddress: addresses[2], MetricsAddress: addresses[3],
	}
	if e.PlatformLink, err = NewLink(s.faultServer, e.ID+"-store", s.Platform.Addr()); err != nil {
		return err
	}
	settings := map[string]any{
		"id": e.ID, "zone": e.Zone, "clientAddress": e.ClientAddress, "peerAddress": addresses[1],
		"adminAddress": e.AdminAddress, "metricsAddress": e.MetricsAddress, "platformURL": "http://" + e.PlatformLink.Addr(),
		"trustedKeys":         map[string]string{operatorKeyID: base64.StdEncoding.EncodeToString(s.verificationKey)},
		"sessionTokenKeyFile": filepath.Join(s.opts.Directory, "token.key"),
		"peerSecretFile":      filepath.Join(s.opts.Directory, "peer.secret"),
		"adminTokenFile":      filepath.Join(s.opts.Directory, "admin.token"),
	}
	data, err := yaml.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(s.opts.Directory, e.ID+".yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	e.Admin = adminpb.NewAdminProtobufClient("http://"+e.AdminAddress, http.DefaultClient)
	s.Instances = append(s.Instances, e)
	e.Process, err = StartProcess(s.opts.Log, filepath.Join(s.opts.Binaries, "mulberrysill"), "--config", path)
	return err
}

// URL returns the connection string with which a workspace connects to a route
// through an instance. An empty workspace connects without a key, to an open
// route.
func (s *Stack) URL(e *Instance, workspace, route string) string {
	if workspace == "" {
		return fmt.Sprintf("postgres://anonymous@%s/%s?sslmode=disable", e.ClientAddress, route)
	}
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", workspace, s.clientKeys[workspace], e.ClientAddress, route)
}

// Close stops all processes and waits until they have exited.
func (s *Stack) Close() {
	var all []*Process
	for _, e := range s.Instances {
		if e.Process != nil {
			all = append(all, e.Process)
		}
	}
	for _, m := range s.Members {
		if m.Process != nil {
			all = append(all, m.Process)
		}
	}
	for _, p := range all {
		_ = p.Resume() // a paused process does not handle SIGTERM
		_ = p.Terminate()
	}
	deadline := time.After(stopTimeout)
	for _, p := range all {
		select {
		case <-p.Done():
		case <-deadline:
			p.Kill()
			deadline = time.After(0)
		}
	}
	if s.Platform != nil {
		s.Platform.Close()
	}
}

// withToken adds the admin token to the headers of calls with the context.
func withToken(ctx context.Context) (context.Context, error) {
	return twirp.WithHTTPRequestHeaders(ctx, http.Header{"Authorization": []string{"Bearer " + adminToken}})
}
