// Package load drives the deployments of docs/design.md, section 1, with client
// traffic and faults and measures M1 to M4. It is a development tool; product
// binaries never import it.
package load

import (
	"context"
	"io"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/standin/stack"
)

// Sizes that both deployments have in common.
const (
	instances       = 6
	groups          = 3
	membersPerGroup = 3
	slotsPerMember  = 3
	applyLag        = 100 * time.Millisecond
	// networkDelay is the one-way delay of connections to members.
	networkDelay = time.Millisecond
	startTimeout = 60 * time.Second
	// unlimited is a rate in requests/s that no load here reaches.
	unlimited = 1_000_000
)

// Deployment is one of the users' deployments.
type Deployment struct {
	Name, Title string
	Zones       []string
	Connections int
	ConnectCost time.Duration
	// Large and Small are the names of its workspaces.
	Large, Small []string
}

// Deployments are the two deployments that are measured.
var Deployments = []Deployment{
	{
		Name: "velacruz", Title: "Velacruz", Zones: []string{"escazu", "heredia", "cartago", "alajuela"},
		Connections: 20, ConnectCost: 12 * time.Millisecond,
		Large: []string{"central", "norte"}, Small: []string{"museo", "teatro", "feria", "sierra", "mercado", "jardin"},
	},
	{
		Name: "armacao", Title: "Armação Verde", Zones: []string{"poa-a", "poa-b", "cxs-a", "cwb-a"},
		Connections: 30, ConnectCost: 30 * time.Millisecond,
		Large: []string{"matriz", "porto"}, Small: []string{"serra", "lagoa", "campo", "ponte", "praia", "moinho"},
	},
}

// largeWeight is the weight of a large workspace; that of a small one is 1.
const largeWeight = 4

// workspaces returns the workspaces with unlimited rates.
func (d Deployment) workspaces() []bundle.Workspace {
	var list []bundle.Workspace
	for _, name := range d.Large {
		list = append(list, bundle.Workspace{Name: name, Weight: largeWeight, Rate: unlimited, Burst: unlimited})
	}
	for _, name := range d.Small {
		list = append(list, bundle.Workspace{Name: name, Weight: 1, Rate: unlimited, Burst: unlimited})
	}
	return list
}

// shares divides a total between the workspaces by weight.
func (d Deployment) shares(total float64) map[string]float64 {
	sum, shares := 0.0, map[string]float64{}
	for _, w := range d.workspaces() {
		sum += float64(w.Weight)
	}
	for _, w := range d.workspaces() {
		shares[w.Name] = total * float64(w.Weight) / sum
	}
	return shares
}

// start starts the deployment; the caller calls the returned function at the end.
func (d Deployment) start(ctx context.Context, binaries string, log io.Writer) (*stack.Stack, func(), error) {
	directory, err := os.MkdirTemp("", "devload-")
	if err != nil {
		return nil, nil, errors.Wrap(err, "directory of the deployment")
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	remove := func() { _ = os.RemoveAll(directory) }
	s, err := stack.Start(ctx, stack.Options{
		Binaries: binaries, Directory: directory, Zones: d.Zones, Entries: instances, Groups: groups,
		Workspaces: d.workspaces(), Connections: d.Connections, Slots: slotsPerMember, ConnectCost: d.ConnectCost,
		ApplyLag: applyLag, NetworkDelay: networkDelay, Log: log,
	})
	if err != nil {
		remove()
		return nil, nil, errors.Wrapf(err, "start %s", d.Name)
	}
	stop := func() { s.Close(); remove() }
	if err := s.AwaitLeases(ctx); err != nil {
		stop()
		return nil, nil, err
	}
	return s, stop, nil
}

// Select returns the deployments with the names, all without names. It fails if
// a deployment or an experiment does not exist.
func Select(names, experiments []string) ([]Deployment, error) {
	for _, e := range experiments {
		if !slices.Contains(Experiments, e) {
			return nil, errors.Newf("experiment %q does not exist", e)
		}
	}
	if len(names) == 0 {
		return Deployments, nil
	}
	var list []Deployment
	for _, name := range names {
		i := slices.IndexFunc(Deployments, func(d Deployment) bool { return d.Name == name })
		if i < 0 {
			return nil, errors.Newf("deployment %q is neither velacruz nor armacao", name)
		}
		list = append(list, Deployments[i])
	}
	return list, nil
}
