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
	// failoverRounds per group give 21 faults of each kind over three groups.
	failoverRounds = 7
	minSwitchovers = 20
	maxSwitchovers = 40
	// writersPerInstance write to each group, one insert per writeInterval.
	writersPerInstance = 2
	writeInterval      = 20 * time.Millisecond
	// leadTime of steady writes precedes a fault and belongs to its window;
	// settleTime follows the first writes on the new primary.
	leadTime      = 200 * time.Millisecond
	settleTime    = 300 * time.Millisecond
	recoveryLimit = 15 * time.Second
	rolloutLimit  = 10 * time.Second
)

// gap is the effect of one change of primary.
type gap struct {
	kind, group string
	at          time.Time
	// fleet is the longest time in which no instance acknowledged a write,
	// worst the longest on any one instance.
	fleet, worst time.Duration
}

// writes are the acknowledged writes of one group.
type writes struct {
	mu sync.Mutex
	// acked are the times by instance.
	acked [instances][]time.Time
}

func (w *writes) add(instance int, t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acked[instance] = append(w.acked[instance], t)
}

// since reports whether every instance acknowledged a write after t.
func (w *writes) since(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, list := range w.acked {
		if len(list) == 0 || !list[len(list)-1].After(t) {
			return false
		}
	}
	return true
}

func (w *writes) all() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []time.Time
	for _, list := range w.acked {
		all = append(all, list...)
	}
	return all
}

// gap measures the window around a change of primary.
func (w *writes) gap(kind, name string, fault, end time.Time) gap {
	g := gap{kind: kind, group: name, at: fault}
	from := fault.Add(-leadTime)
	g.fleet = longestGap(w.all(), from, end)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, list := range w.acked {
		g.worst = max(g.worst, longestGap(list, from, end))
	}
	return g
}

// failover is the experiment of M1b.
type failover struct {
	stack   *stack.Stack
	log     logrus.FieldLogger
	seed    uint64
	byGroup map[string]*writes

	mu   sync.Mutex
	gaps []gap
}

func groupName(i int) string { return fmt.Sprintf("g%d", i+1) }

func runFailover(ctx context.Context, s *stack.Stack, d Deployment, seed uint64, log logrus.FieldLogger) (*failover, error) {
	f := &failover{log: log, stack: s, seed: seed, byGroup: map[string]*writes{}}
	writeCtx, stop := context.WithCancel(ctx)
	var writers sync.WaitGroup
	defer func() { stop(); writers.Wait() }()
	for i := range groups {
		f.byGroup[groupName(i)] = &writes{}
		f.startWriters(writeCtx, &writers, d, groupName(i))
	}
	for name, w := range f.byGroup {
		begin := time.Now()
		if err := poll(ctx, recoveryLimit, "writes to "+name, func() bool { return w.since(begin) }); err != nil {
			return nil, err
		}
	}
	f.measureBaseline(ctx)
	if err := f.faultGroups(ctx); err != nil {
		return f, err
	}
	return f, f.switchZones(ctx, d)
}

func (f *failover) startWriters(ctx context.Context, done *sync.WaitGroup, d Deployment, name string) {
	w := f.byGroup[name]
	all := d.workspaces()
	for i := range instances {
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

// measureBaseline measures windows without a fault, as long as those of a planned
// change.
func (f *failover) measureBaseline(ctx context.Context) {
	for range failoverRounds {
		begin := time.Now()
		sleep(ctx, time.Second)
		for name, w := range f.byGroup {
			f.gaps = append(f.gaps, w.gap("none", name, begin.Add(leadTime), time.Now()))
		}
	}
}

// faultGroups kills and pauses primaries, in all groups independently.
func (f *failover) faultGroups(ctx context.Context) error {
	var done sync.WaitGroup
	failures := make([]error, groups)
	for i := range groups {
		done.Go(func() {
			random := rand.New(rand.NewPCG(f.seed, uint64(i)))
			for round := range 2 * failoverRounds {
				sleep(ctx, time.Duration(200+random.IntN(400))*time.Millisecond)
				kind := "kill"
				if round%2 == 1 {
					kind = "pause"
				}
				if failures[i] = f.faultPrimary(ctx, kind, groupName(i)); failures[i] != nil {
					return
				}
			}
		})
	}
	done.Wait()
	return errors.Join(failures...)
}

// faultPrimary injects one fault, measures the gap and repairs the member.
func (f *failover) faultPrimary(ctx context.Context, kind, name string) error {
	primary, err := f.agreedPrimary(ctx, name)
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
	err = f.measure(ctx, kind, name, primary, fault)
	if kind == "kill" {
		err = errors.CombineErrors(err, m.Start())
	} else {
		err = errors.CombineErrors(err, m.Resume())
	}
	if err != nil {
		return err
	}
	err = poll(ctx, recoveryLimit, primary+" caught up", func() bool {
		// Another process may have taken the port of a killed member for a moment.
		if m.HasEnded() && m.Start() != nil {
			return false
		}
		return f.caughtUp(ctx, name, primary)
	})
	return errors.Wrapf(err, "after %s; %s", kind, f.describe(ctx, name))
}

// describe returns the state of the group's members, for errors.
func (f *failover) describe(ctx context.Context, name string) string {
	text := "primary " + f.primary(ctx, name)
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

// measure waits until every instance writes to another primary, and notes the gap.
func (f *failover) measure(ctx context.Context, kind, name, old string, fault time.Time) error {
	err := poll(ctx, recoveryLimit, "a new primary of "+name, func() bool {
		p := f.primary(ctx, name)
		return p != "" && p != old
	})
	if err != nil {
		return err
	}
	w, changed := f.byGroup[name], time.Now()
	if err := poll(ctx, recoveryLimit, "writes to the new primary of "+name, func() bool { return w.since(changed) }); err != nil {
		return err
	}
	sleep(ctx, settleTime)
	g := w.gap(kind, name, fault, time.Now())
	f.log.WithFields(logrus.Fields{"kind": kind, "group": name, "fleet_ms": g.fleet.Milliseconds(), "worst_ms": g.worst.Milliseconds(), "at": fault}).Info("gap")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gaps = append(f.gaps, g)
	return nil
}

// primary returns the primary on which all instances agree, or "".
func (f *failover) primary(ctx context.Context, name string) string {
	agreed := ""
	for i, e := range f.stack.Entries {
		p := f.primaryOn(ctx, e, name)
		if i > 0 && p != agreed {
			return ""
		}
		agreed = p
	}
	return agreed
}

func (f *failover) primaryOn(ctx context.Context, e *stack.Entry, name string) string {
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

func (f *failover) agreedPrimary(ctx context.Context, name string) (primary string, err error) {
	err = poll(ctx, recoveryLimit, "one primary of "+name+" on all instances", func() bool {
		primary = f.primary(ctx, name)
		return primary != ""
	})
	return primary, err
}

// caughtUp reports whether the member follows the present primary and has
// received almost all of its log, so that the next fault finds a whole group.
func (f *failover) caughtUp(ctx context.Context, name, member string) bool {
	const fewEntries = 100
	primary := f.primary(ctx, name)
	if primary == "" || primary == member {
		return false
	}
	own, err := memberStatus(ctx, f.stack.Members[member])
	if err != nil {
		return false
	}
	head, err := memberStatus(ctx, f.stack.Members[primary])
	return err == nil && own.CurrentTerm == head.CurrentTerm && own.Received+fewEntries >= head.Received
}

func memberStatus(ctx context.Context, m *stack.Member) (group.Status, error) {
	var s group.Status
	return s, m.Read(ctx, "status", &s)
}

// switchZones takes the zone of primaries out of service and back in.
func (f *failover) switchZones(ctx context.Context, d Deployment) error {
	count := 0
	for round := 0; count < minSwitchovers && round < maxSwitchovers; round++ {
		zone, primaries, err := f.busiestZone(ctx)
		if err != nil {
			return err
		}
		fault := time.Now()
		if err := setZone(ctx, f.stack, zone, false); err != nil {
			return err
		}
		var done sync.WaitGroup
		failures := make([]error, groups)
		for i := range groups {
			if old := primaries[groupName(i)]; old != "" {
				count++
				done.Go(func() { failures[i] = f.measure(ctx, "planned", groupName(i), old, fault) })
			}
		}
		done.Wait()
		if err := errors.Join(failures...); err != nil {
			return err
		}
		if err := setZone(ctx, f.stack, zone, true); err != nil {
			return err
		}
	}
	return nil
}

// busiestZone returns the zone with the most primaries, and those by group.
func (f *failover) busiestZone(ctx context.Context) (string, map[string]string, error) {
	byZone := map[string]map[string]string{}
	busiest := ""
	for i := range groups {
		p, err := f.agreedPrimary(ctx, groupName(i))
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

// setZone publishes a bundle with the zone in or out of service and waits until
// it is in force everywhere.
func setZone(ctx context.Context, s *stack.Stack, zone string, inService bool) error {
	return publish(ctx, s, func(spec *bundle.Spec) {
		for i := range spec.Zones {
			if spec.Zones[i].Name == zone {
				spec.Zones[i].InService = inService
			}
		}
	})
}

func publish(ctx context.Context, s *stack.Stack, change func(*bundle.Spec)) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutLimit)
	defer cancel()
	version, err := s.Publish(ctx, change)
	if err != nil {
		return err
	}
	return s.AwaitInForce(ctx, version)
}
