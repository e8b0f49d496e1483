package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

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
	l.configure([]catalog.Workspace{{Name: "near", Rate: 1, Burst: 10}, {Name: "far", Rate: 1000, Burst: 1000}, {Name: "idle", Rate: 1, Burst: 10}, {Name: "drained", Rate: 1, Burst: 100}}, 7)
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
	l.admit("drained")
	for range 9 {
		l.admit("near")
	}
	l.observe("peer/1", map[string]quota.Report{"near": {Admitted: 5}, "drained": {Admitted: 5}}, quota.Report{}, true)
	l.observe("peer/1", map[string]quota.Report{"near": {Admitted: 8}, "drained": {Admitted: 65}}, quota.Report{}, true)
	g.Expect(lines()).To(ConsistOf(And(
		HaveKeyWithValue("event", "limit"), HaveKeyWithValue("workspace", "near"), HaveKeyWithValue("version", 7.0),
		HaveKeyWithValue("admitted", BeNumerically(">=", 6)), HaveKeyWithValue("byOthers", 3.0), HaveKeyWithValue("rate", 1.0),
		HaveKey("reportAgeMs"), HaveKeyWithValue("instances", BeNumerically("<=", 1)),
	), And(
		HaveKeyWithValue("workspace", "drained"), HaveKeyWithValue("admitted", 1.0), HaveKeyWithValue("refused", 0.0), HaveKeyWithValue("byOthers", 60.0),
	)), "an admission is logged without a refusal")
	g.Expect(lines()).To(BeEmpty(), "nothing was admitted or refused since")
}

// An instance that heard none of the others took itself for the whole fleet, and half of each
// limit for its share, while the others went on.
func TestSilentInstancesKeepTheirPartOfALimit(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	gw := New(Config{ID: "i0", Zone: "z", FirstStart: true, Log: logrus.NewEntry(log)})
	gw.limits.configure([]catalog.Workspace{{Name: "w", Rate: 10, Burst: 10}}, 1)
	for i := 1; i < 10; i++ {
		p := gw.peers.upsert(Instance{ID: fmt.Sprint("i", i), Zone: "z", PeerAddress: "127.0.0.1:1", Started: 1})
		p.addedAt, p.lastHeard = time.Now().Add(-time.Minute), time.Now().Add(-2*peerAliveTimeout)
	}
	gw.peers.localState(nil)
	state := gw.limits.limiters["w"].State(time.Now().Add(time.Hour))
	g.Expect(state.Live).To(Equal(1))
	g.Expect(state.Detached).To(BeTrue())
	g.Expect(state.Share).To(BeNumerically("~", 0.1, 0.001))

	for _, p := range gw.peers.byID {
		p.leaving = true
	}
	gw.peers.localState(nil)
	g.Expect(gw.limits.limiters["w"].State(time.Now().Add(time.Hour)).Share).To(Equal(1.0), "instances that have left need no part")
}
