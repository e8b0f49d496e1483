package gateway

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/revision"
	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// sentStatements is a connection to a member that records what is sent and gives no answer.
type sentStatements struct {
	MemberConn
	texts []string
}

func (c *sentStatements) Send(_ time.Time, statements ...statement.Statement) error {
	for i := range statements {
		c.texts = append(c.texts, statements[i].Text)
	}
	return errors.New("closed")
}

// Guards against statements that are sent for a workspace which has lost the client's key
// while they waited for a connection.
func TestNothingIsSentForAWorkspaceThatLostTheKey(t *testing.T) {
	g := NewWithT(t)
	gw := newTestInstance("a", nil)
	version := uint64(0)
	hold := func(holder, other string) {
		version++
		gw.installConfiguration(catalog.Entries{Revision: revision.New(0, version), Spec: &catalog.Spec{
			Version: version, Groups: []catalog.Group{{Name: "g", MaxConnections: 10}},
			Routes:     []catalog.Route{{Database: "orders", Group: "g"}, {Database: "public", Group: "g", Open: true}},
			Workspaces: []catalog.Workspace{{Name: holder, Keys: []string{"k"}}, {Name: other, Keys: []string{"k2"}}},
		}})
		gw.configLease = catalog.Lease{MaxAge: time.Minute}
		gw.confirmConfig(bootTime())
	}
	p := newPool("g", "z1", nil, gw.peers, func(poolEvent) {})
	send := func(database, workspace string) ([]string, bool, error) {
		c := &sentStatements{}
		conn := &pooledConn{MemberConn: c, member: &poolMember{}, workspace: workspace}
		s := &session{gw: gw, startup: Startup{Database: database, Key: "k"}}
		_, sent, err := s.send(conn, p, statement.Statement{Kind: statement.Write, Text: "WRITE a b"}, time.Now().Add(time.Second))
		return c.texts, sent, err
	}
	for _, database := range []string{"orders", "public"} {
		hold("coop", "welder")
		texts, sent, _ := send(database, "coop")
		g.Expect(texts).To(ConsistOf("WRITE a b"))
		g.Expect(sent).To(BeTrue())

		hold("welder", "coop")
		texts, sent, err := send(database, "coop")
		g.Expect(texts).To(BeEmpty(), database)
		g.Expect(sent).To(BeFalse())
		g.Expect(verdict.FromError(err).Code).To(Equal(verdict.TransactionAborted))
		g.Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
	}
}
