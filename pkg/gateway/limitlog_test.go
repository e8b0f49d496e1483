package gateway

import (
	"bytes"
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/quota"
)

// Without a line on admissions, the logs of a workspace that got more than its limit name
// only the instances that refused.
func TestAdmissionsNearALimitAreLogged(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	l := newLimits(true, quota.Tolerance{})
	l.configure([]catalog.Workspace{{Name: "near", Rate: 1, Burst: 10}, {Name: "far", Rate: 1000, Burst: 1000}, {Name: "idle", Rate: 1, Burst: 10}}, 7)
	gw := &Gateway{limits: l, log: logrus.NewEntry(log)}
	lines := func() []map[string]any {
		out.Reset()
		gw.logLimits()
		var all []map[string]any
		for _, text := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
			if len(text) > 0 {
				var line map[string]any
				g.Expect(json.Unmarshal(text, &line)).To(Succeed())
				all = append(all, line)
			}
		}
		return all
	}
	l.admit("far")
	for range 9 {
		l.admit("near")
	}
	l.observe("peer/1", map[string]quota.Report{"near": {Admitted: 5}}, quota.Report{}, true)
	l.observe("peer/1", map[string]quota.Report{"near": {Admitted: 8}}, quota.Report{}, true)
	g.Expect(lines()).To(ConsistOf(And(
		HaveKeyWithValue("event", "limit"), HaveKeyWithValue("workspace", "near"), HaveKeyWithValue("version", 7.0),
		HaveKeyWithValue("admitted", BeNumerically(">=", 6)), HaveKeyWithValue("byOthers", 3.0), HaveKeyWithValue("rate", 1.0),
		HaveKey("reportAgeMs"), HaveKeyWithValue("instances", BeNumerically("<=", 1)),
	)))
	g.Expect(lines()).To(BeEmpty(), "nothing was admitted or refused since")
}
