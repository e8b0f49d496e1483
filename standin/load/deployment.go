// Package load runs the deployments of docs/design.md, section 1, with client
// traffic and faults and measures the targets M1 to M4: M1a reads served by
// replicas, M1b write gaps during primary changes, M2 fairness between workspaces,
// M3 rate limits, and M4 loss of an availability zone. It is a development tool;
// product binaries never import it.
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

// Parameters that both deployments share.
const (
	instanceCount   = 6
	groupCount      = 3
	membersPerGroup = 3
	slotsPerMember  = 3
	applyLag        = 100 * time.Millisecond
	// networkDelay is the one-way network delay between instances and members.
	networkDelay = time.Millisecond
	startTimeout = 60 * time.Second
	// unlimitedRate, in requests/s, is above the rate of every experiment.
	unlimitedRate = 1_000_000
)

// Deployment describes one of the measured deployments.
type Deployment struct {
	Name, Title string
	Zones       []string
	// Connections is the number of connections that a member accepts.
	Connections int
	// ConnectCost is the time that a member needs for a new connection.
	ConnectCost time.Duration
	// Large and Small are the names of the workspaces of weight largeWeight and 1.
	Large, Small []string
}

// Deployments lists all deployments.
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

// largeWeight is the scheduling weight of a large workspace; small ones have 1.
const largeWeight = 4

// workspaces returns the workspaces, the large ones first, without effective rate
// limits.
func (d Deployment) workspaces() []bundle.Workspace {
	var list []bundle.Workspace
	for _, name := range d.Large {
		list = append(list, bundle.Workspace{Name: name, Weight: largeWeight, Rate: unlimitedRate, Burst: unlimitedRate})
	}
	for _, name := range d.Small {
		list = append(list, bundle.Workspace{Name: name, Weight: 1, Rate: unlimitedRate, Burst: unlimitedRate})
	}
	return list
}

// sharesByWeight divides the total between the workspaces in proportion to their
// weights.
func (d Deployment) sharesByWeight(total float64) map[string]float64 {
	sum, shares := 0.0, map[string]float64{}
	for _, w := range d.workspaces() {
		sum += float64(w.Weight)
	}
	for _, w := range d.workspaces() {
		shares[w.Name] = total * float64(w.Weight) / sum
	}
	return shares
}

// start starts the deployment and waits for its leases. The returned function stops
// it and removes its files.
func (d Deployment) start(ctx context.Context, binaries string, log io.Writer) (*stack.Stack, func(), error) {
	directory, err := os.MkdirTemp("", "devload-")
	if err != nil {
		return nil, nil, errors.Wrap(err, "create deployment directory")
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	remove := func() { _ = os.RemoveAll(directory) }
	s, err := stack.Start(ctx, stack.Options{
		Binaries: binaries, Directory: directory, Zones: d.Zones, Instances: instanceCount, Groups: groupCount,
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

// Select returns the named deployments, or all of them if there are no names. It
// fails if a deployment or an experiment doesn't exist.
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
