package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/revision"
)

// Guards against refusing statements for a group that a configuration has just added, since
// its pool is made a moment later.
func TestStatementsWaitForThePoolOfANewGroup(t *testing.T) {
	g := NewWithT(t)
	gw := newTestInstance("a", nil)
	gw.configLease = catalog.Lease{MaxAge: time.Minute}
	gw.installConfiguration(catalog.Entries{Revision: revision.New(0, 1), Spec: &catalog.Spec{
		Version: 1, Groups: []catalog.Group{{Name: "g", MaxConnections: 10}},
		Routes: []catalog.Route{{Database: "orders", Group: "g"}}, Workspaces: []catalog.Workspace{{Name: "coop", Keys: []string{"k"}}},
	}})
	gw.confirmConfig(bootTime())
	gw.controller.applyMemberChanges([]Change[Member]{{Key: "m", Value: Member{ID: "m", Group: "g", Address: "127.0.0.1:1"}, Revision: 1}}, true)
	gw.poolsMu.Lock()
	gw.pools = map[string]*pool{}
	gw.poolsMu.Unlock()
	time.AfterFunc(10*time.Millisecond, gw.controller.runCalls)
	s := &session{gw: gw, startup: Startup{Database: "orders", Key: "k"}}
	_, _, p, err := s.resolveRoute(&requestRecord{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p).NotTo(BeNil())
}
