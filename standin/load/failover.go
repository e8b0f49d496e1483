package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/standin/stack"
)

const (
	// failoverRounds is the number of faults of each kind per group: 21 of a kind
	// with three groups. It is also the number of baseline windows.
	failoverRounds = 7
	// minSwitchovers is the number of planned switchovers to reach; maxSwitchovers
	// bounds the zone drains used for them.
	minSwitchovers = 20
	maxSwitchovers = 40
	// writersPerInstance is the number of writers per instance and group; each
	// inserts a row every writeInterval.
	writersPerInstance = 2
	writeInterval      = 20 * time.Millisecond
	// leadTime and settleTime bound the window of a fault: it begins leadTime before
	// the fault and ends settleTime after all instances have written to the new primary.
	leadTime        = 200 * time.Millisecond
	settleTime      = 300 * time.Millisecond
	recoveryTimeout = 15 * time.Second
	rolloutTimeout  = 10 * time.Second
)

// writeGap is the interruption of writes by one primary change.
type writeGap struct {
	// kind is kill, pause, planned, or none for a baseline window.
	kind, group string
	// at is the time of the fault.
	at time.Time
	// fleet is the longest time without an acknowledged write on any instance;
	// worstInstance is the longest such time of a single instance.
	fleet, worstInstance time.Duration
}

// groupWrites records the acknowledged writes of one group; safe for concurrent use.
type groupWrites struct {
	mu sync.Mutex
	// ackTimes holds the times of acknowledgement by instance.
	ackTimes [instanceCount][]time.Time
}

func (w *groupWrites) add(instance int, t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ackTimes[instance] = append(w.ackTimes[instance], t)
}

// allInstancesSince reports whether each instance has acknowledged a write after t.
func (w *groupWrites) allInstancesSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, list := range w.ackTimes {
		if len(list) == 0 || !list[len(list)-1].After(t) {
			return false
		}
	}
	return true
}

// all returns the times of all instances, unordered between instances.
func (w *groupWrites) all() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []time.Time
	for _, list := range w.ackTimes {
		all = append(all, list...)
	}
	return all
}

// gapAround returns the gap in the window from leadTime before the fault until end.
func (w *groupWrites) gapAround(kind, name string, fault, end time.Time) writeGap {
	g := writeGap{kind: kind, group: name, at: fault}
	from := fault.Add(-leadTime)
	g.fleet = longestGap(w.all(), from, end)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, list := range w.ackTimes {
		g.worstInstance = max(g.worstInstance, longestGap(list, from, end))
	}
	return g
}

// failoverExperiment is the experiment M1b: steady writes to all groups during
// failovers and planned switchovers.
type failoverExperiment struct {
	stack         *stack.Stack
	log           logrus.FieldLogger
	seed          uint64
	writesByGroup map[string]*groupWrites

	mu   sync.Mutex
	gaps []writeGap
}

func groupName(i int) string { return fmt.Sprintf("g%d", i+1) }

// runFailover runs M1b. If a fault or a switchover fails, it returns the gaps
// measured until then with the error.
func runFailover(ctx context.Context, s *stack.Stack, d Deployment, seed uint64, log logrus.FieldLogger) (*failoverExperiment, error) {
	f := &failoverExperiment{log: log, stack: s, seed: seed, writesByGroup: map[string]*groupWrites{}}
	writeCtx, stop := context.WithCancel(ctx)
	var writers sync.WaitGroup
	defer func() { stop(); writers.Wait() }()
	for i := range groupCount {
		f.writesByGroup[groupName(i)] = &groupWrites{}
		f.startWriters(writeCtx, &writers, d, groupName(i))
	}
	for name, w := range f.writesByGroup {
		begin := time.Now()
		if err := poll(ctx, recoveryTimeout, "writes to "+name, func() bool { return w.allInstancesSince(begin) }); err != nil {
			return nil, err
		}
	}
	f.measureBaseline(ctx)
	if err := f.injectFaults(ctx); err != nil {
		return f, err
	}
	return f, f.runSwitchovers(ctx, d)
}

// startWriters starts the writers of one group, which run until ctx is done.
func (f *failoverExperiment) startWriters(ctx context.Context, done *sync.WaitGroup, d Deployment, name string) {
	w := f.writesByGroup[name]
	all := d.workspaces()
	for i := range instanceCount {
		for j := range writersPerInstance {
			n := i*writersPerInstance + j
			c := &client{stack: f.stack, workspace: all[n%len(all)].Name, route: name, instance: i, sticky: true}
			done.Go(func() {
				defer c.close()
				ticker := time.NewTicker(writeInterval)
				defer ticker.Stop()
				for ctx.Err() == nil {
					s := c.request(ctx, time.Now(), fmt.Sprintf("INSERT INTO checkout VALUES (%d)", n))
					if s.outcome == served {
						w.add(i, s.end)
					}
					select {
					case <-ticker.C:
					case <-ctx.Done():
					}
				}
			})
		}
	}
}

// measureBaseline records gaps of windows without a fault, of about the length of
// the windows of planned switchovers.
func (f *failoverExperiment) measureBaseline(ctx context.Context) {
	for range failoverRounds {
		begin := time.Now()
		sleep(ctx, time.Second)
		for name, w := range f.writesByGroup {
			f.gaps = append(f.gaps, w.gapAround("none", name, begin.Add(leadTime), time.Now()))
		}
	}
}

// injectFaults alternately kills and pauses the primary of each group. Groups run
// concurrently and independently of each other.
func (f *failoverExperiment) injectFaults(ctx context.Context) error {
	var done sync.WaitGroup
	failures := make([]error, groupCount)
	for i := range groupCount {
		done.Go(func() {
			random := rand.New(rand.NewPCG(f.seed, uint64(i)))
			for round := range 2 * failoverRounds {
				sleep(ctx, time.Duration(200+random.IntN(400))*time.Millisecond)
				kind := "kill"
				if round%2 == 1 {
					kind = "pause"
				}
				if failures[i] = f.injectFault(ctx, kind, groupName(i)); failures[i] != nil {
					return
				}
			}
		})
	}
	done.Wait()
	return errors.Join(failures...)
}

// injectFault kills or pauses the primary, records the write gap, restores the
// member and waits until it has caught up.
func (f *failoverExperiment) injectFault(ctx context.Context, kind, name string) error {
	primary, err := f.awaitAgreedPrimary(ctx, name)
	if err != nil {
		return err
	}
	m := f.stack.Members[primary]
	fault := time.Now()
	if kind == "kill" {
		m.Kill()
	} else if err := m.Pause(); err != nil {
		return err
	}
	err = f.recordGap(ctx, kind, name, primary, fault)
	if kind == "kill" {
		err = errors.CombineErrors(err, m.Start())
	} else {
		err = errors.CombineErrors(err, m.Resume())
	}
	if err != nil {
		return err
	}
	err = poll(ctx, recoveryTimeout, primary+" caught up", func() bool {
		// A restart fails while another process briefly holds the member's port.
		if m.HasExited() && m.Start() != nil {
			return false
		}
		return f.caughtUp(ctx, name, primary)
	})
	return errors.Wrapf(err, "after %s; %s", kind, f.describeGroup(ctx, name))
}

// describeGroup returns the states of the group's members for error messages.
func (f *failoverExperiment) describeGroup(ctx context.Context, name string) string {
	text := "primary " + f.agreedPrimary(ctx, name)
	for j := range membersPerGroup {
		member := fmt.Sprintf("%s-%d", name, j)
		s, err := memberStatus(ctx, f.stack.Members[member])
		if err != nil {
			text += fmt.Sprintf("; %s: %v", member, err)
			continue
		}
		text += fmt.Sprintf("; %s: %s, term %d, promised %d, received %d, log term %d, contact %s",
			member, s.Role, s.CurrentTerm, s.PromisedTerm, s.Received, s.LogTerm, s.PrimaryContact)
	}
	return text
}

// recordGap waits until all instances write to a primary other than the old one and
// records the write gap.
func (f *failoverExperiment) recordGap(ctx context.Context, kind, name, oldPrimary string, fault time.Time) error {
	err := poll(ctx, recoveryTimeout, "a new primary of "+name, func() bool {
		p := f.agreedPrimary(ctx, name)
		return p != "" && p != oldPrimary
	})
	if err != nil {
		return err
	}
	w, changed := f.writesByGroup[name], time.Now()
	if err := poll(ctx, recoveryTimeout, "writes to the new primary of "+name, func() bool { return w.allInstancesSince(changed) }); err != nil {
		return err
	}
	sleep(ctx, settleTime)
	g := w.gapAround(kind, name, fault, time.Now())
	f.log.WithFields(logrus.Fields{"kind": kind, "group": name, "fleet_ms": g.fleet.Milliseconds(), "worst_ms": g.worstInstance.Milliseconds(), "at": fault}).Info("measured write gap")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gaps = append(f.gaps, g)
	return nil
}

// agreedPrimary returns the primary on which all instances agree, or "" if they
// don't or one of them doesn't respond.
func (f *failoverExperiment) agreedPrimary(ctx context.Context, name string) string {
	agreed := ""
	for i, e := range f.stack.Instances {
		p := f.primarySeenBy(ctx, e, name)
		if i > 0 && p != agreed {
			return ""
		}
		agreed = p
	}
	return agreed
}

// primarySeenBy returns the group's primary in the status of one instance, or "".
func (f *failoverExperiment) primarySeenBy(ctx context.Context, e *stack.Instance, name string) string {
	status, err := f.stack.Status(ctx, e)
	if err != nil {
		return ""
	}
	for _, g := range status.Groups {
		if g.Group == name {
			return g.Primary
		}
	}
	return ""
}

// awaitAgreedPrimary waits until all instances agree on the group's primary.
func (f *failoverExperiment) awaitAgreedPrimary(ctx context.Context, name string) (primary string, err error) {
	err = poll(ctx, recoveryTimeout, "one primary of "+name+" on all instances", func() bool {
		primary = f.agreedPrimary(ctx, name)
		return primary != ""
	})
	return primary, err
}

// caughtUp reports whether the member follows the current primary and has received
// its log except for at most maxMissingEntries, so that the next fault hits a group
// that has recovered.
func (f *failoverExperiment) caughtUp(ctx context.Context, name, member string) bool {
	const maxMissingEntries = 100
	primary := f.agreedPrimary(ctx, name)
	if primary == "" || primary == member {
		return false
	}
	memberState, err := memberStatus(ctx, f.stack.Members[member])
	if err != nil {
		return false
	}
	primaryState, err := memberStatus(ctx, f.stack.Members[primary])
	return err == nil && memberState.CurrentTerm == primaryState.CurrentTerm && memberState.Received+maxMissingEntries >= primaryState.Received
}

func memberStatus(ctx context.Context, m *stack.Member) (group.Status, error) {
	var s group.Status
	return s, m.Read(ctx, "status", &s)
}

// runSwitchovers causes planned switchovers: it repeatedly takes the zone with the
// most primaries out of service and puts it back.
func (f *failoverExperiment) runSwitchovers(ctx context.Context, d Deployment) error {
	count := 0
	for round := 0; count < minSwitchovers && round < maxSwitchovers; round++ {
		zone, primaries, err := f.zoneWithMostPrimaries(ctx)
		if err != nil {
			return err
		}
		fault := time.Now()
		if err := setZoneInService(ctx, f.stack, zone, false); err != nil {
			return err
		}
		var done sync.WaitGroup
		failures := make([]error, groupCount)
		for i := range groupCount {
			if old := primaries[groupName(i)]; old != "" {
				count++
				done.Go(func() { failures[i] = f.recordGap(ctx, "planned", groupName(i), old, fault) })
			}
		}
		done.Wait()
		if err := errors.Join(failures...); err != nil {
			return err
		}
		if err := setZoneInService(ctx, f.stack, zone, true); err != nil {
			return err
		}
	}
	return nil
}

// zoneWithMostPrimaries returns the zone with the most primaries and these primaries
// by group.
func (f *failoverExperiment) zoneWithMostPrimaries(ctx context.Context) (string, map[string]string, error) {
	byZone := map[string]map[string]string{}
	busiest := ""
	for i := range groupCount {
		p, err := f.awaitAgreedPrimary(ctx, groupName(i))
		if err != nil {
			return "", nil, err
		}
		zone := f.stack.Members[p].Zone
		if byZone[zone] == nil {
			byZone[zone] = map[string]string{}
		}
		byZone[zone][groupName(i)] = p
		if len(byZone[zone]) > len(byZone[busiest]) {
			busiest = zone
		}
	}
	return busiest, byZone[busiest], nil
}

// setZoneInService publishes a bundle with the zone in or out of service and waits
// until it is active on all instances.
func setZoneInService(ctx context.Context, s *stack.Stack, zone string, inService bool) error {
	return publishAndAwait(ctx, s, func(spec *bundle.Spec) {
		for i := range spec.Zones {
			if spec.Zones[i].Name == zone {
				spec.Zones[i].InService = inService
			}
		}
	})
}

// publishAndAwait publishes the changed bundle and waits until it is active on all
// instances.
func publishAndAwait(ctx context.Context, s *stack.Stack, change func(*bundle.Spec)) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	version, err := s.Publish(ctx, change)
	if err != nil {
		return err
	}
	return s.AwaitActive(ctx, version)
}
