package config_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/pkg/config"
)

const gateSettings = `id: entry1
zone: escazu
clientAddress: "10.1.0.26:8465"
readinessAddress: "10.1.0.26:8460"
peerAddress: "10.1.0.26:7560"
storeAddress: "10.200.1.7:8466"
dutyAddress: "10.200.0.2:8466"
revocationBound: 5000ms
gracePeriod: 6s
`

func TestGateSettings(t *testing.T) {
	g := NewWithT(t)
	s, err := config.ParseGate("gate.yaml", []byte(gateSettings))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(time.Duration(s.RevocationBound)).To(Equal(5 * time.Second))
	g.Expect(s.MetricsAddress).To(BeEmpty())
}

// Deployments that name no duties must be understood as before, also if the template
// renders the list as null.
func TestGateUsageReports(t *testing.T) {
	g := NewWithT(t)
	for _, duties := range []string{"", "duties:\n", "duties: null\n", "duties: []\n"} {
		s, err := config.ParseGate("gate.yaml", []byte(gateSettings+duties))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Duties).To(BeEmpty())
		g.Expect(s.UsageReports).To(Equal(config.UsageReports{}))
	}
	s, err := config.ParseGate("gate.yaml", []byte(gateSettings+"duties: [\"first\",\"second\"]\nusageReports: { window: 5s, lateness: 10s, tolerance: 0.05 }\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Duties).To(Equal([]string{"first", "second"}))
	g.Expect(s.UsageReports).To(Equal(config.UsageReports{Window: config.Duration(5 * time.Second), Lateness: config.Duration(10 * time.Second), Tolerance: 0.05}))
	_, err = config.ParseGate("gate.yaml", []byte(gateSettings+"usageReports: { window: 10ms, lateness: 1s, tolerance: 2 }\n"))
	g.Expect(err).To(MatchError(And(
		ContainSubstring("usageReports.window: must be 0, or whole milliseconds between 1s and 5s"),
		ContainSubstring("usageReports.lateness: must be between 5s and 24h0m0s"), ContainSubstring("usageReports.tolerance: must be between 0 and 1"),
	)))
	// Gatherers would forget counts of longer windows before those are given up.
	_, err = config.ParseGate("gate.yaml", []byte(gateSettings+"usageReports: { window: 5001ms, lateness: 10s, tolerance: 0.05 }\n"))
	g.Expect(err).To(MatchError(ContainSubstring("usageReports.window: must be 0, or whole milliseconds between 1s and 5s")))
}

// All invalid fields are reported at once with their lines.
func TestGateSettingsFaults(t *testing.T) {
	g := NewWithT(t)
	_, err := config.ParseGate("gate.yaml", []byte("id: \"\"\nzone: z\nclientAddress: here\nrevocationBound: 1s\n"))
	g.Expect(err).To(MatchError(And(
		ContainSubstring("gate.yaml:1: id: must not be empty"), ContainSubstring("gate.yaml:3: clientAddress"),
		ContainSubstring("gate.yaml:4: revocationBound"), ContainSubstring("storeAddress"),
	)))
	_, err = config.ParseGate("gate.yaml", []byte("idd: x\n"))
	g.Expect(err).To(MatchError(ContainSubstring("idd")))
}
