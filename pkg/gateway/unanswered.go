package gateway

import (
	"maps"

	"github.com/mulberrysill/mulberrysill/core/revision"
)

// unansweredOrders holds, by member, the newest fencing token of its promotions that were
// ordered without an answer. The platform may carry them out at any time until it has seen a
// newer token for the group. It accepts equal tokens, so that an answer to a repeated order
// ends only orders with older ones.
type unansweredOrders map[string]revision.Revision

// add records an order without an answer. Copies of the map are not affected.
func (o *unansweredOrders) add(member string, token revision.Revision) {
	out := maps.Clone(*o)
	if out == nil {
		out = unansweredOrders{}
	}
	out[member] = max(out[member], token)
	*o = out
}

// void removes the orders that the platform refuses since it has accepted the token.
func (o *unansweredOrders) void(token revision.Revision) {
	out := maps.Clone(*o)
	maps.DeleteFunc(out, func(_ string, ordered revision.Revision) bool { return ordered < token })
	*o = out
}

// newest returns the newest token of an order without an answer, or 0 if there is none.
func (o unansweredOrders) newest() revision.Revision {
	return o.newestFor(func(string) bool { return true })
}

// newestFor is newest for the orders of the accepted members.
func (o unansweredOrders) newestFor(accept func(member string) bool) revision.Revision {
	var out revision.Revision
	for member, token := range o {
		if accept(member) {
			out = max(out, token)
		}
	}
	return out
}

// except accepts all members but one.
func except(member string) func(string) bool {
	return func(other string) bool { return other != member }
}
