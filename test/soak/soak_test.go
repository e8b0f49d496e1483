package soak_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/test/soak"
)

// regressions lists the seeds that once violated a guarantee, each with its cause.
// They run with every test run.
var regressions = []struct {
	seed      uint64
	duration  time.Duration
	instances int
	cause     string
}{
	{139, 20 * time.Second, 4, "the soak started an instance twice that was killed while it shut down"},
	{103, 20 * time.Second, 4, "the stand-in's former primary hid commits that it had shown"},
	{200, 9 * time.Second, 24, "listings that failed after an interruption were repeated without a delay"},
}

// shortRun is the duration of the fault phase of TestShortRun.
const shortRun = 8 * time.Second

func TestShortRun(t *testing.T) {
	runSeed(t, 1, shortRun, 4)
}

func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(r.cause, func(t *testing.T) { runSeed(t, r.seed, r.duration, r.instances) })
	}
}

// plannedRun is the duration of the work of TestShortPlannedRun. Stops that begin at its end
// take the grace period more.
const plannedRun = 3 * time.Second

// TestShortPlannedRun guards against statements that planned work cuts off.
func TestShortPlannedRun(t *testing.T) {
	runOptions(t, soak.Options{Seed: 1, Duration: plannedRun, Planned: true})
}

// replicaChangesRun is the duration of the faults of TestShortRunOfReplicaChanges, which ends
// after a promotion that is carried out six seconds late.
const replicaChangesRun = 12 * time.Second

// TestShortRunOfReplicaChanges guards against commits that are lost as a replica joins while the
// primary is replaced late.
func TestShortRunOfReplicaChanges(t *testing.T) {
	runOptions(t, soak.Options{Seed: 4108, Duration: replicaChangesRun, ReplicaChanges: true})
}

// unreachableRun is the duration of the faults of TestShortRunOfUnreachableInstances, two changes
// of primary.
const unreachableRun = 12 * time.Second

// TestShortRunOfUnreachableInstances guards against commits that are lost as a primary is replaced
// while an instance cannot be fenced.
func TestShortRunOfUnreachableInstances(t *testing.T) {
	runOptions(t, soak.Options{Seed: 1, Duration: unreachableRun, UnreachableInstances: true})
}

func runSeed(t *testing.T, seed uint64, duration time.Duration, instances int) {
	runOptions(t, soak.Options{Seed: seed, Duration: duration, Instances: instances})
}

func runOptions(t *testing.T, options soak.Options) {
	g := NewWithT(t)
	directory := t.TempDir()
	binary := filepath.Join(directory, "mulberrygate")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/mulberrysill/mulberrysill/cmd/mulberrygate").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	options.Binaries, options.Directory = []string{binary}, directory
	result, err := soak.Run(t.Context(), options)
	g.Expect(err).NotTo(HaveOccurred())
	for _, line := range append(result.Timeline, result.Summary) {
		t.Log(line)
	}
	if len(result.Violations) > 0 {
		keepLogs(t, directory)
	}
	g.Expect(result.Violations).To(BeEmpty())
	g.Expect(result.Served).To(BeNumerically(">", 100), "too few operations for the checks to be meaningful")
}

// keepLogs copies the logs of a failed run to a directory that outlives the test.
func keepLogs(t *testing.T, directory string) {
	kept, err := os.MkdirTemp("", "mulberrysill-soak-")
	if err == nil {
		err = os.CopyFS(filepath.Join(kept, "logs"), os.DirFS(directory))
	}
	t.Log("logs:", kept, err)
}

// TestPlanLosesOneMemberAtATime guards against plans that lead to false reports of
// violations: a commit needs the acknowledgement of only one replica, so losing two
// members at once may lose acknowledged commits by the rules of the platform.
func TestPlanLosesOneMemberAtATime(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(200) {
		var until time.Duration
		for _, f := range soak.Plan(seed, time.Minute, 4) {
			if f.Kind == soak.MemberKilled {
				g.Expect(f.From).To(BeNumerically(">=", until), "seed %d", seed)
				until = f.Until
			}
		}
	}
}

// TestPlanFollowsFromTheSeed guards against a seed that does not reproduce its
// faults.
func TestPlanFollowsFromTheSeed(t *testing.T) {
	g := NewWithT(t)
	g.Expect(soak.Plan(7, time.Minute, 4)).To(Equal(soak.Plan(7, time.Minute, 4)))
	g.Expect(soak.Plan(7, time.Minute, 4)).NotTo(Equal(soak.Plan(8, time.Minute, 4)))
}

// TestPlansHoldAllKinds guards against a kind of fault that is never drawn, and so
// never tested.
func TestPlansHoldAllKinds(t *testing.T) {
	g := NewWithT(t)
	seen := map[soak.Kind]bool{}
	for seed := range uint64(200) {
		for _, f := range soak.Plan(seed, time.Minute, 4) {
			seen[f.Kind] = true
		}
	}
	g.Expect(seen).To(HaveLen(len(soak.Kinds())))
}

// TestReplicaChangesHoldAllKinds guards against a kind of fault that is never drawn, and against
// a seed that does not reproduce its faults.
func TestReplicaChangesHoldAllKinds(t *testing.T) {
	g := NewWithT(t)
	seen := map[soak.Kind]bool{}
	for seed := range uint64(200) {
		changes := soak.ReplicaChanges(seed, time.Minute, 4)
		g.Expect(changes).To(Equal(soak.ReplicaChanges(seed, time.Minute, 4)))
		for _, f := range changes {
			seen[f.Kind] = true
		}
	}
	g.Expect(seen).To(HaveLen(len(soak.ReplicaKinds())))
}

// TestUnreachableInstancesCoincideWithChanges guards against plans in which no instance is
// unreachable as the primary begins to leave, and against a seed that does not reproduce its
// faults.
func TestUnreachableInstancesCoincideWithChanges(t *testing.T) {
	g := NewWithT(t)
	kinds := map[soak.Kind]bool{}
	for seed := range uint64(100) {
		plan := soak.UnreachableInstances(seed, 20*time.Second, 4)
		g.Expect(plan).To(Equal(soak.UnreachableInstances(seed, 20*time.Second, 4)))
		coincidences := 0
		for _, change := range plan {
			kinds[change.Kind] = true
			for _, f := range plan {
				isHindrance := f.Kind != soak.ReplicaJoins && f.Kind != soak.OrdersLate && f.Kind != soak.PrimaryLeaving
				if change.Kind == soak.PrimaryLeaving && isHindrance && f.From <= change.From && change.From < f.Until {
					coincidences++
				}
			}
		}
		g.Expect(coincidences).To(BeNumerically(">=", 2), "seed %d", seed)
	}
	g.Expect(kinds).To(HaveLen(7))
}

// TestPlannedWorkIsPlanned guards against disruptions among the planned work, around which a
// statement may be cut, and against plans that stop most instances at once or begin without a
// stop.
func TestPlannedWorkIsPlanned(t *testing.T) {
	g := NewWithT(t)
	allowed := []soak.Kind{
		soak.InstanceTerminated, soak.InstanceReloaded, soak.ConfigurationChanged, soak.MemberReplaced, soak.PrimaryReplaced,
	}
	seen, overlaps := map[soak.Kind]bool{}, 0
	for seed := range uint64(200) {
		plan := soak.PlannedWork(seed, 20*time.Second, 4)
		g.Expect(plan).To(Equal(soak.PlannedWork(seed, 20*time.Second, 4)))
		g.Expect(plan[0].Kind).To(Equal(soak.InstanceTerminated), "seed %d", seed)
		for i, f := range plan {
			g.Expect(f.Kind).To(BeElementOf(allowed), "seed %d", seed)
			seen[f.Kind] = true
			stopping := map[int]bool{}
			for _, other := range plan[:i+1] {
				if other.Kind == soak.InstanceTerminated && f.From < other.Until {
					stopping[other.Target] = true
				}
			}
			g.Expect(len(stopping)).To(BeNumerically("<=", 2), "seed %d", seed)
			if len(stopping) == 2 {
				overlaps++
			}
		}
	}
	g.Expect(seen).To(HaveLen(len(allowed)))
	g.Expect(overlaps).To(BeNumerically(">", 0), "stops that overlap")
}
