// Package devstack starts a whole deployment on loopback as separate processes: the
// platform, three database groups and the entry instances. It is a development
// tool; product binaries never import it.
package devstack

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

// membersPerGroup is the size of a database group.
const membersPerGroup = 3

// Deployment describes one of the users' deployments (docs/design.md, section 1).
type Deployment struct {
	Name string
	// Database is the application's database on every group.
	Database string
	Zones    []string
	// Services are the names of the database groups and of their routes.
	Services []string
	// Connections and Slots are those of each member.
	Connections, Slots int
	// ConnectCost is the time that a new connection to a member takes.
	ConnectCost time.Duration
	Workspaces  []Workspace
	// Instances is the number of entry instances.
	Instances int
}

// Workspace is a tenant of a deployment.
type Workspace struct {
	Name   string
	Weight uint32
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
}

// Rates of a large and of a small workspace, in requests per second.
const (
	largeRate = 200
	smallRate = 50
)

func workspaces(large []string, small ...string) []Workspace {
	var list []Workspace
	for _, name := range large {
		list = append(list, Workspace{Name: name, Weight: 4, Rate: largeRate, Burst: largeRate})
	}
	for _, name := range small {
		list = append(list, Workspace{Name: name, Weight: 1, Rate: smallRate, Burst: smallRate})
	}
	return list
}

var deployments = map[string]Deployment{
	"velacruz": {
		Name: "velacruz", Database: "inventario",
		Zones:       []string{"escazu", "heredia", "cartago", "alajuela"},
		Services:    []string{"inventory", "rentals", "customers"},
		Connections: 20, Slots: 3, ConnectCost: 12 * time.Millisecond, Instances: 6,
		Workspaces: workspaces([]string{"centro", "puerto"}, "norte", "sur", "playa", "sierra", "mercado", "jardin"),
	},
	"armacao": {
		Name: "armacao", Database: "oficinas",
		Zones:       []string{"poa-a", "poa-b", "cxs-a", "cwb-a"},
		Services:    []string{"orders", "workshops", "parts"},
		Connections: 30, Slots: 3, ConnectCost: 30 * time.Millisecond, Instances: 6,
		Workspaces: workspaces([]string{"matriz", "porto"}, "serra", "lagoa", "campo", "ponte", "praia", "moinho"),
	},
}

// Find returns the deployment with the name.
func Find(name string) (Deployment, error) {
	d, ok := deployments[name]
	if !ok {
		return d, errors.Newf("deployment %q is neither velacruz nor armacao", name)
	}
	return d, nil
}

// memberName is the name of a group's i-th member, counted from 0.
func memberName(service string, i int) string { return fmt.Sprintf("%s%d", service, i+1) }

// memberZone spreads the members of every group over the zones, and the first
// members, which start as primaries, over different zones.
func (d Deployment) memberZone(service, member int) string {
	return d.Zones[(service+member)%len(d.Zones)]
}

// instanceName is the name of the i-th entry instance, counted from 0.
func instanceName(i int) string { return fmt.Sprintf("entry%d", i+1) }

func (d Deployment) instanceZone(i int) string { return d.Zones[i%len(d.Zones)] }

// readSuffix ends the name of the route that declares its transactions reads.
const readSuffix = "-read"

// spec returns the first bundle. The address function gives each member's client
// address, the keys are the workspaces' verifiers.
func (d Deployment) spec(address func(member string) string, keys map[string]bundle.Key) bundle.Spec {
	spec := bundle.Spec{Version: 1}
	var names []string
	for _, w := range d.Workspaces {
		names = append(names, w.Name)
		spec.Workspaces = append(spec.Workspaces, bundle.Workspace{
			Name: w.Name, Weight: w.Weight, Rate: w.Rate, Burst: w.Burst, Keys: []bundle.Key{keys[w.Name]},
		})
	}
	for _, z := range d.Zones {
		spec.Zones = append(spec.Zones, bundle.Zone{Name: z, InService: true})
	}
	for i, service := range d.Services {
		g := bundle.Group{Name: service}
		for j := range membersPerGroup {
			name := memberName(service, j)
			server := "server-" + name
			spec.BackendServers = append(spec.BackendServers,
				bundle.BackendServer{Name: server, Zone: d.memberZone(i, j), InService: true})
			g.Members = append(g.Members, bundle.Member{
				Name: name, Server: server, Address: address(name), Connections: d.Connections, Slots: d.Slots,
			})
		}
		spec.Groups = append(spec.Groups, g)
		route := bundle.Route{
			Name: service, Group: service, Database: d.Database, Access: bundle.ReadWrite, Workspaces: names,
		}
		read := route
		read.Name, read.Access = service+readSuffix, bundle.ReadOnly
		spec.Routes = append(spec.Routes, route, read)
	}
	return spec
}
