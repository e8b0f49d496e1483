package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/mulberrysill/mulberrysill/core/placement"
	"github.com/mulberrysill/mulberrysill/platform"
	"github.com/mulberrysill/mulberrysill/platform/standin"
	"github.com/mulberrysill/mulberrysill/standin/ports"
	"github.com/mulberrysill/mulberrysill/standin/stack"
)

const (
	// defaultInstances is the usual number of instances.
	defaultInstances, memberCount = 4, 3
	// zoneCount is the number of availability zones over which more instances are spread.
	zoneCount = 3
	// copyInterval is the interval at which the store is copied.
	copyInterval = 200 * time.Millisecond
	// maxConnections limits the connections to a member, as in the Armação deployment.
	maxConnections = 60
	// revocationBound is the time within which a revoked key must stop working.
	revocationBound = 5 * time.Second
	// gracePeriod is the time within which an instance must end after SIGTERM.
	gracePeriod = 4 * time.Second
	// replicaLag is the delay after which replicas show a commit.
	replicaLag = 30 * time.Millisecond

	stableKey, revocableKey, smallKey, lastKey = "Zq7stable", "Zq7withdrawn", "Zq7small", "Zq7last"
	smallRate, smallBurst                      = 40, 40
)

// instance is a mulberrygate process.
type instance struct {
	*stack.Process
	name, zone, address, readiness string
	peers, store                   *stack.Link
	// exitExpected is set while the soak itself stops the process.
	exitExpected bool
}

// cluster holds the processes, stand-ins and proxies of a run.
type cluster struct {
	directory  string
	store      *standin.Store
	group      *standin.Group
	promotions *standin.PromotionServer
	settings   clusterSettings
	links      []*stack.Link
	instances  []*instance
	copies     copies
	// configMu is held while a configuration is written.
	configMu sync.Mutex
	config   standin.Config // guarded by configMu
}

// clusterSettings are the settings of a run's instances and configuration.
type clusterSettings struct {
	duty           usageDuty
	scope          placement.ServingScope
	gracePeriod    time.Duration
	replicationLag time.Duration
	promotionDelay time.Duration
	maxConnections int
	workspaces     []standin.Workspace
}

// copies holds the copies of the store of the last seconds.
type copies struct {
	mu   sync.Mutex
	list []storeCopy // guarded by mu
}

type storeCopy struct {
	at time.Time
	standin.Copy
}

// add adds a copy and drops those that are too old for any fault.
func (c *copies) add(s *standin.Store) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, storeCopy{time.Now(), s.Copy()})
	for len(c.list) > 1 && time.Since(c.list[1].at) > maxCopyAge {
		c.list = c.list[1:]
	}
}

// before returns the last copy made before the time, or the oldest one.
func (c *copies) before(at time.Time) standin.Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := len(c.list) - 1
	for i > 0 && c.list[i].at.After(at) {
		i--
	}
	return c.list[i].Copy
}

func startCluster(directory string, binaries []string, instances int, settings clusterSettings) (*cluster, error) {
	group, err := standin.NewGroup("orders", memberCount, settings.maxConnections)
	if err != nil {
		return nil, err
	}
	group.ApplyDelay, group.ReplicationLag = replicaLag, settings.replicationLag
	s := &cluster{directory: directory, store: standin.NewStore(), group: group, promotions: standin.NewPromotionServer(group), settings: settings}
	s.promotions.SetDelay(settings.promotionDelay)
	s.promotions.Usage.SetFencing(settings.duty.fencing)
	s.config = standin.Config{Version: 1, Group: group.Name, MaxConnections: settings.maxConnections, Workspaces: settings.workspaces}
	s.store.PutConfig(s.config)
	s.copies.add(s.store)
	server := stack.NewFaultServer()
	for _, m := range group.Members() {
		link, err := stack.NewLink(server, m.ID, m.Address())
		if err != nil {
			return s, err
		}
		s.links = append(s.links, link)
	}
	s.registerMembers()
	for i := range instances {
		name := fmt.Sprintf("gate-%d", i)
		addresses, err := ports.Free(3)
		if err != nil {
			return s, err
		}
		in := &instance{name: name, zone: "z1", address: addresses[0], readiness: addresses[1]}
		if instances > defaultInstances {
			in.zone = fmt.Sprintf("z%d", i%zoneCount+1)
		}
		in.peers, err = stack.NewLink(server, name+"-peers", addresses[2])
		if err != nil {
			return s, err
		}
		if in.store, err = stack.NewLink(server, name+"-store", s.store.Address()); err != nil {
			return s, err
		}
		s.instances = append(s.instances, in)
		if err := s.startInstance(in, addresses[2], binaries[i%len(binaries)]); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *cluster) startInstance(in *instance, peerAddress, binary string) error {
	values := map[string]any{
		"id": in.name, "zone": in.zone, "clientAddress": in.address, "readinessAddress": in.readiness,
		"peerAddress": peerAddress, "peerAdvertisedAddress": in.peers.Addr(), "storeAddress": in.store.Addr(),
		"dutyAddress": s.promotions.Listener.Addr().String(), "firstStart": true,
		"revocationBound": revocationBound.String(), "gracePeriod": s.settings.gracePeriod.String(),
	}
	if s.settings.duty.expected {
		values["duties"] = []string{platform.UsageDuty}
		values["usageReports"] = map[string]any{"window": usageWindow.String(), "lateness": "10s", "tolerance": usageTolerance}
	}
	if s.settings.scope != placement.ServingByGroup {
		values["servingScope"] = s.settings.scope.String()
	}
	settings, err := yaml.Marshal(values)
	if err != nil {
		return err
	}
	path := filepath.Join(s.directory, in.name+".yaml")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.directory, in.name+".log"))
	if err != nil {
		return errors.Wrap(err, "create log file")
	}
	in.Process, err = stack.StartProcess(log, binary, "--config", path)
	return err
}

// registerMembers writes the members' entries into the store as their heartbeats
// do, but with the addresses of their links.
func (s *cluster) registerMembers() {
	for _, m := range s.group.Members() {
		s.registerMember(m, "ready")
	}
}

func (s *cluster) registerMember(m *standin.Member, state string) {
	entry := m.Entry(state)
	if i := slices.Index(s.group.Members(), m); i >= 0 && i < len(s.links) {
		entry["address"] = s.links[i].Addr() // members that join have no link
	}
	s.store.Put("servers", m.ID, entry)
}

// expireMembers removes the members' entries and writes them again, as the store does
// when it could renew no entry during an outage. The next response of the table's feed
// holds the removals and the returns.
func (s *cluster) expireMembers() {
	for _, m := range s.group.Members() {
		s.store.Put("servers", m.ID, nil)
	}
	s.registerMembers()
}

// publishKeys writes a configuration with or without the revocable key.
func (s *cluster) publishKeys(revoked bool) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.config.Version++
	s.config.Workspaces[0].Keys = []string{stableKey, revocableKey}
	if revoked {
		s.config.Workspaces[0].Keys = []string{stableKey}
	}
	s.store.PutConfig(s.config)
}

// publishKey writes a configuration with one more key.
func (s *cluster) publishKey(key string) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.config.Version++
	s.config.Workspaces[0].Keys = append(s.config.Workspaces[0].Keys, key)
	s.store.PutConfig(s.config)
}

// rewrite writes again what the operators and the members have written, as they do after
// the store was restored.
func (s *cluster) rewrite() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.store.PutConfig(s.config)
	s.registerMembers()
}

func (s *cluster) close() {
	for _, in := range s.instances {
		if in.Process != nil {
			in.exitExpected = true
			in.Kill()
		}
	}
	for _, l := range s.links {
		l.Disconnect()
	}
	for _, in := range s.instances {
		in.peers.Disconnect()
		in.store.Disconnect()
	}
	s.promotions.Close()
	s.store.Close()
	s.group.Close()
}
