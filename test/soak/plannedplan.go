package soak

import (
	"math/rand/v2"
	"time"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

const (
	// plannedGracePeriod is the grace period of the instances in runs with planned work
	// only.
	plannedGracePeriod = 6 * time.Second
	// maxTerminated limits the instances that stop at the same time.
	maxTerminated = 2
	// minMemberDrain leaves the open transactions of a member time to end, and
	// maxMemberDrain limits the time for which it is drained.
	minMemberDrain, maxMemberDrain = 3 * time.Second, 6 * time.Second
	// memberRestartTime is the time for which a replaced member is away.
	memberRestartTime = 300 * time.Millisecond
)

// plannedKinds lists the kinds of planned work, more frequent ones several times.
var plannedKinds = []Kind{
	InstanceTerminated, InstanceTerminated, InstanceTerminated, InstanceReloaded,
	ConfigurationChanged, ConfigurationChanged, MemberReplaced, PrimaryReplaced,
}

// PlannedWork draws planned work that starts within the given time, beginning with the stop of
// an instance. Two instances stop at the same time at most, and one member is replaced at a
// time.
func PlannedWork(seed uint64, within time.Duration, instances int) []Fault {
	rng := rand.New(rand.NewPCG(seed, seed+4))
	var plan []Fault
	for at := time.Duration(0); at < within; at += upTo(rng, maxFaultInterval) {
		f := Fault{Kind: plannedKinds[rng.IntN(len(plannedKinds))], From: at, Until: at, Target: rng.IntN(instances)}
		if len(plan) == 0 {
			f.Kind = InstanceTerminated
		}
		switch f.Kind {
		case InstanceTerminated:
			f.Until += plannedGracePeriod + upTo(rng, maxFaultInterval)
		case MemberReplaced, PrimaryReplaced:
			f.Until += minMemberDrain + upTo(rng, maxMemberDrain-minMemberDrain)
		}
		if !overlapsOnResource(plan, f) && !(f.Kind == InstanceTerminated && countTerminated(plan, at) == maxTerminated) {
			plan = append(plan, f)
		}
	}
	return plan
}

// countTerminated returns the number of instances that stop at the time.
func countTerminated(plan []Fault, at time.Duration) int {
	n := 0
	for _, f := range plan {
		if f.Kind == InstanceTerminated && f.From <= at && at < f.Until {
			n++
		}
	}
	return n
}

// changeUnusedConfiguration publishes a configuration in which something differs that no
// client of the run uses, or the statement timeout. The number selects the change.
func (s *cluster) changeUnusedConfiguration(n int) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.config.Version++
	switch n % 3 {
	case 0:
		s.config.HasUnusedRoute = !s.config.HasUnusedRoute
	case 1:
		s.config.StatementTimeout = 3*time.Second + time.Duration(s.config.Version%2)*500*time.Millisecond
	case 2:
		w := &s.config.Workspaces[0]
		if len(w.Keys) == 1 {
			w.Keys = append(w.Keys, revocableKey)
		} else {
			w.Keys = w.Keys[:1]
		}
	}
	s.store.PutConfig(s.config)
}

// replaceMember drains the member and returns the function that restarts it, unless it is still
// the primary.
func (s *cluster) replaceMember(m *standin.Member) (end func() error, err error) {
	s.registerMember(m, "draining")
	return func() error {
		defer s.registerMember(m, "ready")
		if s.group.Primary() == m {
			return nil
		}
		s.store.RemoveMember(m.ID)
		time.Sleep(memberRestartTime)
		m.Kill()
		time.Sleep(memberRestartTime)
		return m.Restart()
	}, nil
}
