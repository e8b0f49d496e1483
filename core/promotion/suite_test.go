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

// modelSeeds is the number of sequences of the model that a test runs.
const modelSeeds = 20000

// The events that the tests of the model draw.
var (
	silentInstances  = modelDraws{silence: true}
	unseenReplicas   = modelDraws{churn: true, unseen: true, steps: longModelSteps}
	replacedReplicas = modelDraws{churn: true, silence: true, steps: shortModelSteps}
	darkReplicas     = modelDraws{silence: true, dark: true}
	// unreachableInstances reach the primary although the promoter does not reach them.
	unreachableInstances = modelDraws{churn: true, unseen: true, silence: true, hidden: true, steps: shortModelSteps}
	returningPrimary     = modelDraws{churn: true, unseen: true, silence: true, hidden: true, prompt: true, steps: shortModelSteps}
)

// countLosses returns the number of sequences that lose acknowledged commits.
func countLosses(rule modelRule, draws modelDraws) int {
	lost := 0
	for seed := range uint64(modelSeeds) {
		m := newModel(seed, rule, draws)
		m.run()
		lost += len(m.violations)
	}
	return lost
}

// Guards against commits that only a replica acknowledges which responds to no instance and
// is not listed, but still receives from a primary that runs: it cannot be paused.
func TestReplicaThatReceivesWithoutResponding(t *testing.T) {
	if lost := countLosses(modelRule{}, darkReplicas); lost > 0 {
		t.Errorf("%d of %d sequences lose acknowledged commits", lost, modelSeeds)
	}
}

// Guards against commits that pass through an instance which the promoter cannot reach, and so
// cannot fence, while replicas that the promoter does not know acknowledge them.
func TestUnseenReplicaBehindAnUnreachableInstance(t *testing.T) {
	if lost := countLosses(modelRule{}, unreachableInstances); lost > 0 {
		t.Errorf("%d of %d sequences lose acknowledged commits", lost, modelSeeds)
	}
}

// Guards against replicas that join and receive nothing until they count like the others,
// while an instance that knows of more commits is silent.
func TestReplicasThatSettleWithoutReceiving(t *testing.T) {
	draws := replacedReplicas
	draws.steps = longModelSteps
	if lost := countLosses(modelRule{}, draws); lost > 0 {
		t.Errorf("%d of %d sequences lose acknowledged commits", lost, modelSeeds)
	}
}
