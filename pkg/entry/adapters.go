package entry

import (
	"context"

	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/pkg/backend"
	"github.com/mulberrysill/mulberrysill/pkg/control"
	"github.com/mulberrysill/mulberrysill/pkg/frontend"
)

// policyAdapter implements frontend.Policy on top of the control plane.
type policyAdapter struct{ *control.Plane }

// Group implements frontend.Policy.
func (p policyAdapter) Group(name string) (frontend.Group, bool) {
	g, ok := p.Backend(name)
	if !ok {
		return nil, false
	}
	return groupAdapter{g}, true
}

// groupAdapter implements frontend.Group on top of a backend.Group.
type groupAdapter struct{ *backend.Group }

// Acquire implements frontend.Group.
func (g groupAdapter) Acquire(ctx context.Context, r frontend.Request) (frontend.Conn, error) {
	conn, err := g.Group.Acquire(ctx, backend.Request{
		Workspace: r.Workspace, Weight: r.Weight, Database: r.Database, Read: r.Read,
		Floor: r.Floor, MaxAge: r.MaxAge, ReadWait: r.ReadWait,
	})
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// tokenCodec signs and verifies session tokens with the key that all instances
// share, so that a token issued by one instance is valid on any other.
type tokenCodec struct{ key []byte }

// Sign implements frontend.TokenCodec.
func (c tokenCodec) Sign(groupName, workspace string, p group.Position) string {
	return consistency.Sign(c.key, consistency.Token{Group: groupName, Workspace: workspace, Position: p})
}

// Verify implements frontend.TokenCodec.
func (c tokenCodec) Verify(token, groupName, workspace string) (group.Position, error) {
	t, err := consistency.Verify(c.key, token, groupName, workspace)
	return t.Position, err
}
