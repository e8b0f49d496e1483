package placement

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ServingScope says for what serving sets of instances are chosen.
type ServingScope uint8

const (
	// ServingByGroup chooses one set of instances for each database group, spread over the
	// availability zones. Each of them connects to all members.
	ServingByGroup ServingScope = iota
	// ServingByMember chooses a set for each member, from the instances of the member's
	// availability zone. Only they hold connections to the member, and the others relay to
	// them. It suits groups whose members accept fewer connections than there are
	// workspaces.
	ServingByMember
)

var servingScopeNames = [...]string{"group", "member"}

// String returns the name used in the settings.
func (s ServingScope) String() string { return servingScopeNames[s] }

// ParseServingScope returns the scope with the name.
func ParseServingScope(name string) (ServingScope, error) {
	i := slices.Index(servingScopeNames[:], name)
	if i < 0 {
		return 0, errors.Newf("unknown serving scope %q", name)
	}
	return ServingScope(i), nil
}
