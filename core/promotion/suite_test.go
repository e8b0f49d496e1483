package promotion_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "promotion")
}

// Guards against commits that only a replica acknowledges which responds to no instance and
// is not listed, but still receives from a primary that runs: it cannot be paused.
func TestReplicaThatReceivesWithoutResponding(t *testing.T) {
	lost := 0
	for seed := range uint64(20000) {
		m := newModel(seed, modelRule{})
		m.withDarkReplicas = true
		m.run()
		lost += len(m.violations)
	}
	if lost > 0 {
		t.Errorf("%d of 20000 sequences lose acknowledged commits", lost)
	}
}
