package experiment

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// defaultFleetCount is the number of random fleets that rapid checks, unless
// -rapid.checks sets another one. The default of rapid, 100, takes 3 minutes with the
// race detector.
const defaultFleetCount = "30"

func TestExperiment(t *testing.T) {
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		_ = checks.Value.Set(defaultFleetCount)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "limits experiment")
}
