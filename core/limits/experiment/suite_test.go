package experiment

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// defaultCases is the number of fleets that rapid tries; its own default of 100
// takes 3 minutes with the race detector. -rapid.checks sets another number.
const defaultCases = "30"

func TestExperiment(t *testing.T) {
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		_ = checks.Value.Set(defaultCases)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "limits experiment")
}
