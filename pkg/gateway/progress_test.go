package gateway

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

// bufferedLog returns a log and a function that returns the lines written since its last call.
func bufferedLog(g *WithT) (*logrus.Entry, func() []map[string]any) {
	out := new(bytes.Buffer)
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{})
	return logrus.NewEntry(log), func() []map[string]any {
		var all []map[string]any
		for decoder := json.NewDecoder(out); decoder.More(); {
			var line map[string]any
			g.Expect(decoder.Decode(&line)).To(Succeed())
			all = append(all, line)
		}
		return all
	}
}

// Guards against statements that are cut off at a stop and that no log line names.
func TestStatementsThatAreCutOffAreLogged(t *testing.T) {
	g := NewWithT(t)
	log, lines := bufferedLog(g)
	now := time.Unix(100, 0)
	gw := &Gateway{log: log, sessions: map[*session]sessionProgress{
		{startup: Startup{Database: "orders"}}: {running, "a1", now.Add(-time.Second)},
		{startup: Startup{Database: "stock"}}:  {answering, "a2", now.Add(-2 * time.Second)},
		{}:                                     {stage: waitsIdle},
		{state: 1}:                             {stage: waitsInTransaction},
	}}
	g.Expect(gw.logUnanswered(now)).To(Equal(2))
	g.Expect(lines()).To(ConsistOf(
		And(HaveKeyWithValue("event", "unanswered"), HaveKeyWithValue("id", "a1"), HaveKeyWithValue("stage", "running"), HaveKeyWithValue("ms", 1000.0), HaveKeyWithValue("database", "orders")),
		And(HaveKeyWithValue("id", "a2"), HaveKeyWithValue("stage", "answering"), HaveKeyWithValue("ms", 2000.0)),
	))
}

// Guards against answers that fail to reach the client and look like answered statements.
func TestAnswersThatCannotBeWrittenAreLogged(t *testing.T) {
	g := NewWithT(t)
	log, lines := bufferedLog(g)
	l := &requestLog{log: log}
	l.writeLine(&requestRecord{id: "a1", member: "m1", undelivered: errors.New("broken pipe")})
	g.Expect(lines()).To(ConsistOf(And(
		HaveKeyWithValue("event", "undelivered"), HaveKeyWithValue("id", "a1"), HaveKeyWithValue("member", "m1"), HaveKeyWithValue("cause", "broken pipe"),
	)))
}
