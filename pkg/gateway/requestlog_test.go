package gateway

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/quota"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// Without the state of the limit, the log cannot distinguish a workspace over
// its rate from an instance whose share of the rate is too small.
func TestOverRateRefusalLogsTheLimitState(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	l := &requestLog{log: logrus.NewEntry(log)}
	limiter := quota.New(quota.Limit{Rate: 10, Burst: 10}, 0, time.Unix(0, 0))
	limiter.SetInstances(4, 4)
	state := limiter.State(time.Unix(0, 0))
	l.writeLine(&requestRecord{id: "a1", limit: &state, err: notRun(verdict.RateLimitExceeded, "workspace coop is over its rate")})
	var line map[string]any
	g.Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
	g.Expect(line).To(HaveKeyWithValue("limitLevel", 0.0))
	g.Expect(line).To(HaveKeyWithValue("limitCredit", 0.0))
	g.Expect(line).To(HaveKeyWithValue("limitShare", 0.25))
	g.Expect(line).To(HaveKeyWithValue("instances", 4.0))
}
