package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/revision"
	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// ordersSpec returns a configuration with one route for the database orders.
func ordersSpec(version uint64, change func(*catalog.Route, *catalog.Workspace)) *catalog.Spec {
	route := catalog.Route{Name: "r", Database: "orders", Group: "first", StatementTimeout: time.Second}
	workspace := catalog.Workspace{Name: "coop", Keys: []string{"k"}, Rate: 10, Burst: 10}
	if change != nil {
		change(&route, &workspace)
	}
	return &catalog.Spec{
		Version: version, Routes: []catalog.Route{route}, Workspaces: []catalog.Workspace{workspace},
		Groups: []catalog.Group{{Name: "first", MaxConnections: 10}, {Name: "second", MaxConnections: 10}},
	}
}

func instanceWithSpec(spec *catalog.Spec) *Gateway {
	gw := newTestInstance("a", nil)
	gw.installConfiguration(catalog.Entries{Revision: revision.New(0, spec.Version), Spec: spec})
	gw.configLease = catalog.Lease{MaxAge: time.Minute}
	gw.confirmConfig(bootTime())
	return gw
}

// directCalls is a peer whose calls of Run reach another instance of the test.
type directCalls struct {
	pb.Gate
	to       *Gateway
	request  *pb.RunRequest
	response *pb.RunResponse
}

func (d *directCalls) Run(ctx context.Context, r *pb.RunRequest) (*pb.RunResponse, error) {
	response, err := d.to.peers.Run(ctx, r)
	d.request, d.response = r, response
	return response, err
}

// relayTo relays a write of the sender's client to the receiver, outside a transaction or as
// the first statement of one.
func relayTo(sender, receiver *Gateway, inTransaction bool) (*directCalls, statement.State, error) {
	route, workspace, err := sender.authorize(Startup{Database: "orders", Key: "k"})
	if err != nil {
		return nil, 0, err
	}
	calls := &directCalls{to: receiver}
	to := &peer{Instance: Instance{ID: "b"}, client: calls}
	p := newPool(route.Group, "z1", nil, sender.peers, func(poolEvent) {})
	s := &session{gw: sender, startup: Startup{Database: "orders", Key: "k"}}
	write := statement.Statement{ID: "i", Kind: statement.Write, Text: "WRITE a b", Argument: "a b"}
	rec := &requestRecord{started: time.Now()}
	if inTransaction {
		s.state = statement.InTransaction
		s.tx = &transaction{route: route, workspace: workspace, pool: p, peer: to, relayID: 1}
		_, err = s.relayInTransaction(context.Background(), write, true, rec)
	} else {
		_, err = s.relaySingle(context.Background(), to, &operation{
			Statement: write, route: route, workspace: workspace, pool: p, deadline: time.Now().Add(time.Second), rec: rec,
		}, false)
	}
	return calls, s.state, err
}

// Guards against a statement that an instance with an older configuration runs at the former
// group of its route, or under former limits, after the sender has decided by a newer one.
func TestRelayedStatementIsNotRunUnderAnOlderDecision(t *testing.T) {
	g := NewWithT(t)
	changes := map[string]func(*catalog.Route, *catalog.Workspace){
		"group":       func(r *catalog.Route, _ *catalog.Workspace) { r.Group = "second" },
		"consistency": func(r *catalog.Route, _ *catalog.Workspace) { r.Consistency = catalog.BoundedStaleness },
		"staleness":   func(r *catalog.Route, _ *catalog.Workspace) { r.MaxStaleness = time.Second },
		"priority":    func(r *catalog.Route, _ *catalog.Workspace) { r.Priority = 1 },
		"timeout":     func(r *catalog.Route, _ *catalog.Workspace) { r.StatementTimeout = 2 * time.Second },
		"open":        func(r *catalog.Route, _ *catalog.Workspace) { r.Open = true },
		"workspace":   func(_ *catalog.Route, w *catalog.Workspace) { w.Name = "welder" },
		"rate":        func(_ *catalog.Route, w *catalog.Workspace) { w.Rate = 5 },
		"burst":       func(_ *catalog.Route, w *catalog.Workspace) { w.Burst = 5 },
	}
	for name, change := range changes {
		receiver := instanceWithSpec(ordersSpec(10, nil))
		sender := instanceWithSpec(ordersSpec(20, change))
		for _, inTransaction := range []bool{false, true} {
			calls, state, err := relayTo(sender, receiver, inTransaction)
			g.Expect(verdict.Code(calls.response.Code)).To(Equal(verdict.NoSuchRoute), "%s, in transaction: %v", name, inTransaction)
			g.Expect(err).To(MatchError(errNotRunAtPeer), "%s, in transaction: %v", name, inTransaction)
			want := statement.Idle
			if inTransaction {
				want = statement.InTransaction
			}
			g.Expect(state).To(Equal(want), name)
		}
	}
}

// Guards against statements that are refused although both instances decide alike, for
// example while a change of another route reaches one instance after the other.
func TestRelayedStatementIsRunIfBothInstancesDecideAlike(t *testing.T) {
	g := NewWithT(t)
	moved := func(r *catalog.Route, _ *catalog.Workspace) { r.Group = "second" }
	for _, c := range []struct{ sender, receiver *catalog.Spec }{
		{ordersSpec(20, nil), ordersSpec(10, nil)},
		{ordersSpec(20, moved), ordersSpec(20, moved)},
		{ordersSpec(10, nil), ordersSpec(20, moved)},
	} {
		sender, receiver := instanceWithSpec(c.sender), instanceWithSpec(c.receiver)
		for _, inTransaction := range []bool{false, true} {
			calls, _, _ := relayTo(sender, receiver, inTransaction)
			request := calls.request
			g.Expect(request.ConfigVersion).To(Equal(c.sender.Version))
			g.Expect(receiver.checkDecision(request)).To(Succeed())
			g.Expect(receiver.checkDecision(&pb.RunRequest{Database: request.Database, Key: request.Key})).To(Succeed(), "an older build")
		}
	}
}
