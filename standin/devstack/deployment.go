// Package devstack starts a complete deployment on loopback as separate processes:
// the platform, three database groups and the instances. It is a development tool;
// production binaries do not import it.
package devstack

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

// membersPerGroup is the number of members of each database group.
const membersPerGroup = 3

// Deployment describes a user's deployment (see docs/design.md, section 1).
type Deployment struct {
	Name string
	// Database is the name of the application's database in every group.
	Database string
	Zones    []string
	// Services are the names of the application's services. Each has a database
	// group and a route of the same name.
	Services []string
	// Connections and Slots apply to each member.
	Connections, Slots int
	// ConnectCost is the time that a member takes to accept a new connection.
	ConnectCost time.Duration
	Workspaces  []Workspace
	// Instances is the number of instances.
	Instances int
}

// Workspace is a workspace (customer) of a deployment.
type Workspace struct {
	Name   string
	Weight uint32
	// Rate is the rate limit in requests per second, Burst is in requests.
	Rate, Burst float64
}

// Rate limits of large and small workspaces, in requests per second.
const (
	largeRate = 200
	smallRate = 50
)

// workspaces returns large workspaces with weight 4 and small ones with weight 1.
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

// FindDeployment returns the deployment with the given name.
func FindDeployment(name string) (Deployment, error) {
	d, ok := deployments[name]
	if !ok {
		return d, errors.Newf("unknown deployment %q: want velacruz or armacao", name)
	}
	return d, nil
}

// memberName returns the name of a group's member with index i, starting at 0.
func memberName(service string, i int) string { return fmt.Sprintf("%s%d", service, i+1) }

// memberZone returns the zone of a member, given the indexes of its service and of
// the member. It places the members of a group in different zones, and likewise
// the first members of the groups, which start as primaries.
func (d Deployment) memberZone(serviceIndex, memberIndex int) string {
	return d.Zones[(serviceIndex+memberIndex)%len(d.Zones)]
}

// instanceName returns the ID of the instance with index i, starting at 0.
func instanceName(i int) string { return fmt.Sprintf("entry%d", i+1) }

func (d Deployment) instanceZone(i int) string { return d.Zones[i%len(d.Zones)] }

// readRouteSuffix is the suffix of the names of read-only routes.
const readRouteSuffix = "-read"

// spec returns the first bundle. address returns the client address of a member;
// keys maps workspaces to the verifiers of their keys.
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
		read.Name, read.Access = service+readRouteSuffix, bundle.ReadOnly
		spec.Routes = append(spec.Routes, route, read)
	}
	return spec
}
