package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// Guards against relayed reads that miss a commit of the session: the receiver may route the
// statement to another group than the sender, and one of them may be of an older build.
func TestRelayedStatementsCarryAllCommitsOfTheSession(t *testing.T) {
	g := NewWithT(t)
	sender := &session{gw: &Gateway{cfg: Config{ID: "a"}}}
	at := func(index uint64) group.Position { return group.Position{Term: 3, Index: index} }
	sender.commits.Record("g1", at(5))
	sender.commits.Record("g2", at(9))
	request := &pb.RunRequest{}
	sender.storeCommits(request, "g1")

	receiver := &session{}
	receiver.loadRelayed(request)
	for name, want := range map[string]group.Position{"g1": at(5), "g2": at(9), "g3": {}} {
		floor, known := receiver.commits.Floor(name)
		g.Expect(known).To(BeTrue(), name)
		g.Expect(floor).To(Equal(want), name)
	}

	g.Expect(request.LastGroup).To(Equal("g1"), "an older receiver needs the group of the statement")
	g.Expect(request.LastIndex).To(BeEquivalentTo(5))

	receiver.loadRelayed(&pb.RunRequest{LastGroup: "g1", LastTerm: 3, LastIndex: 5})
	floor, known := receiver.commits.Floor("g1")
	g.Expect(known).To(BeTrue())
	g.Expect(floor).To(Equal(at(5)))
	_, known = receiver.commits.Floor("g2")
	g.Expect(known).To(BeFalse(), "an older sender has forgotten commits in other groups")

	receiver.loadRelayed(&pb.RunRequest{})
	_, known = receiver.commits.Floor("g1")
	g.Expect(known).To(BeTrue(), "the session has committed nothing")
}
