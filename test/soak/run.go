package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

const (
	workerCount, hotClientCount = 8, 3
	// startupTimeout is the time within which all instances must serve after their
	// start.
	startupTimeout = 15 * time.Second
	// recoveryTimeout is the platform's limit for serving again after the last
	// fault.
	recoveryTimeout = 15 * time.Second
	// maxResidentBytes is far above the 20 MB that an instance needs for a few
	// clients.
	maxResidentBytes = 100 << 20
	// quotaWindow is the platform's window for checking rates. quotaLimit includes
	// the platform's tolerance of a tenth plus 20 operations.
	quotaWindow = 5 * time.Second
	quotaLimit  = (smallRate*5+smallBurst)*11/10 + 20
	// configBound is the time within which a configuration must be in force.
	configBound = 3 * time.Second
	// maxCallsPerSecond limits the calls of an instance to the store: each of its watches
	// retries after 100 ms at first.
	maxCallsPerSecond = 40
	// maxViolations limits the violations that a run reports.
	maxViolations = 20
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Duration is the time during which faults are started.
	Duration time.Duration
	// Instances is the number of instances; 0 means 4.
	Instances int
	// Binaries are the paths of builds of mulberrygate, which the instances run in turn.
	Binaries []string
	// Planned restricts the faults to planned work, and checks that it cuts no statement.
	Planned bool
	// ReplicaChanges draws the faults with ReplicaChanges instead of Plan.
	ReplicaChanges bool
	// UnreachableInstances draws the faults with UnreachableInstances instead of Plan.
	UnreachableInstances bool
	// Directory receives the settings and logs.
	Directory string
}

// Result is the outcome of a run.
type Result struct {
	// Violations lists the violated guarantees in order of time.
	Violations []string
	// Timeline lists the faults as injected.
	Timeline       []string
	Served, Failed int
	// Lost is the number of acknowledged commits that were lost.
	Lost int
	// Summary holds the counts of a run with planned work only.
	Summary string
}

type run struct {
	options Options
	cluster *cluster
	started time.Time
	// faultedResources holds the resources that a fault is changing (see
	// Fault.resource).
	faultedResources sync.Map

	mu           sync.Mutex
	result       Result
	stop         bool                    // guarded by mu
	paused       map[string]time.Time    // guarded by mu: start of the current pause
	resumed      map[string]time.Time    // guarded by mu: end of the last pause
	terminated   map[*instance]time.Time // guarded by mu: when it was last sent SIGTERM
	revoked      time.Time               // guarded by mu: start of the revocation, zero while the key is valid
	hotReadTimes []time.Time             // guarded by mu
	// disruptions and restorations are the times of the faults that matter for the usage
	// reports; guarded by mu.
	disruptions  []disruption
	restorations []time.Time
}

func newRun(o Options) *run {
	return &run{options: o, paused: map[string]time.Time{}, resumed: map[string]time.Time{}, terminated: map[*instance]time.Time{}}
}

// Run executes the plan of one seed. It returns an error if the run could not be
// completed; violations are part of the result.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.Instances == 0 {
		o.Instances = defaultInstances
	}
	if o.Planned {
		return runPlanned(ctx, o)
	}
	r := newRun(o)
	var err error
	duty, scope := drawUsageDuty(o.Seed), drawServingScope(o.Seed)
	r.result.Timeline = append(r.result.Timeline, "serving scope: "+scope.String())
	plan := Plan
	settings := clusterSettings{
		duty: duty, scope: scope, gracePeriod: gracePeriod, maxConnections: maxConnections,
		workspaces: []standin.Workspace{
			{Name: "coop", Keys: []string{stableKey, revocableKey}, Rate: 10000, Burst: 10000},
			{Name: "small", Keys: []string{smallKey}, Rate: smallRate, Burst: smallBurst},
		},
	}
	if o.ReplicaChanges || o.UnreachableInstances {
		plan, settings.replicationLag, settings.promotionDelay = ReplicaChanges, replicationLag, promotionDelay
	}
	if o.UnreachableInstances {
		plan = UnreachableInstances
	}
	r.cluster, err = startCluster(o.Directory, o.Binaries, o.Instances, settings)
	if r.cluster != nil {
		defer r.cluster.close()
	}
	if err != nil {
		return r.result, err
	}
	if !r.awaitServing(startupTimeout) {
		return r.result, errors.New("the instances do not serve requests after their start; see the logs in " + o.Directory)
	}
	r.started = time.Now()
	var clients sync.WaitGroup
	all := make([]*worker, workerCount)
	for i := range all {
		all[i] = newWorker(r, i)
		clients.Go(all[i].runSessions)
	}
	for i := range hotClientCount {
		clients.Go(func() { r.runHotClient(i) })
	}
	clients.Go(r.probeRevokedKey)
	var watch sync.WaitGroup
	watch.Go(r.watchProcesses)
	watch.Go(r.watchStore)
	err = r.inject(ctx, plan(o.Seed, o.Duration, o.Instances))
	if err == nil && !r.awaitServing(recoveryTimeout) {
		r.reportViolation("not all instances serve requests %s after the last fault", recoveryTimeout)
	}
	if err == nil {
		r.checkConfiguration()
	}
	if err == nil && duty.expected {
		time.Sleep(calmTime)
	}
	r.mu.Lock()
	r.stop = true
	r.mu.Unlock()
	clients.Wait()
	watch.Wait()
	r.checkWrites(all)
	if err == nil {
		r.checkUsage(duty)
	}
	if n := r.cluster.promotions.SharedTokens(); n > 0 {
		r.reportViolation("%d promotions or usage reports were sent with a token of another holder", n)
	}
	r.checkQuota()
	r.checkLogs()
	return r.result, err
}

func (r *run) stopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stop
}

// reportViolation records the violation of a guarantee.
func (r *run) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.result.Violations) < maxViolations {
		at := time.Since(r.started).Seconds()
		r.result.Violations = append(r.result.Violations, fmt.Sprintf("%6.2f s  ", at)+fmt.Sprintf(format, args...))
	}
}

// inject starts and ends the faults of the plan at their times. It skips a fault
// whose resource is still affected by an earlier fault, for example an instance that
// is still shutting down.
func (r *run) inject(ctx context.Context, plan []Fault) error {
	var running sync.WaitGroup
	defer running.Wait()
	for _, f := range plan {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(f.From - time.Since(r.started)):
		}
		if _, busy := r.faultedResources.LoadOrStore(f.resource(), true); busy {
			r.recordFault(f, "skipped", nil)
			continue
		}
		end, err := r.startFault(f)
		r.recordFault(f, "started", err)
		running.Go(func() {
			defer r.faultedResources.Delete(f.resource())
			time.Sleep(f.Until - time.Since(r.started))
			r.recordFault(f, "ended", end())
			r.recordDisruption(f)
		})
	}
	return nil
}

func (r *run) recordFault(f Fault, what string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%6.2f s  %s %d %s", time.Since(r.started).Seconds(), f.Kind, f.Target, what)
	if err != nil {
		line += ": " + err.Error()
	}
	r.result.Timeline = append(r.result.Timeline, line)
}

func (r *run) recordPause(name string, paused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if paused {
		r.paused[name] = time.Now()
	} else {
		delete(r.paused, name)
		r.resumed[name] = time.Now()
	}
}

// wasPaused reports whether the instance was paused at any time after since.
func (r *run) wasPaused(name string, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, now := r.paused[name]
	return now || r.resumed[name].After(since)
}

func (r *run) setRevokedAt(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revoked = at
}

func (r *run) revokedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revoked
}

func (r *run) recordTermination(in *instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.terminated[in] = time.Now()
}

// terminatedAt returns when the instance was last sent SIGTERM; zero if never.
func (r *run) terminatedAt(in *instance) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.terminated[in]
}

func (r *run) setExitExpected(in *instance, expected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	in.exitExpected = expected
}

// awaitServing waits until each instance has executed a write.
func (r *run) awaitServing(bound time.Duration) bool {
	deadline := time.Now().Add(bound)
	id := idSource{prefix: "serving" + strconv.FormatInt(time.Now().UnixNano(), 36)}
	for _, in := range r.cluster.instances {
		for !r.serves(in, &id) {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(thinkTime)
		}
	}
	return true
}

func (r *run) serves(in *instance, id *idSource) bool {
	s, _ := openSession(in, standin.StrictDatabase, stableKey, id)
	if s == nil {
		return false
	}
	defer s.close()
	return s.query("WRITE serving "+id.next()).outcome == done
}

// runHotClient sends reads far above the rate limit of the workspace small.
func (r *run) runHotClient(n int) {
	id := idSource{prefix: fmt.Sprintf("hot%d", n)}
	for i := n; !r.stopping(); i++ {
		s, _ := openSession(r.cluster.instances[i%len(r.cluster.instances)], standin.StrictDatabase, smallKey, &id)
		if s == nil {
			time.Sleep(thinkTime)
			continue
		}
		for range 10 * operationsPerSession {
			a := s.query("READ hot")
			if a.outcome == done {
				r.mu.Lock()
				r.hotReadTimes = append(r.hotReadTimes, time.Now())
				r.mu.Unlock()
			}
			if a.outcome == inDoubt || r.stopping() {
				break
			}
			time.Sleep(thinkTime / 4)
		}
		s.close()
	}
}

// probeRevokedKey uses the key that is revoked from time to time, on open sessions
// and on new ones.
func (r *run) probeRevokedKey() {
	id := idSource{prefix: "probe"}
	sessions := make([]*session, len(r.cluster.instances))
	for i := 0; !r.stopping(); i = (i + 1) % len(sessions) {
		if sessions[i] == nil {
			sessions[i], _ = openSession(r.cluster.instances[i], standin.BoundedDatabase, revocableKey, &id)
		}
		if s := sessions[i]; s != nil {
			started, since := time.Now(), r.revokedAt()
			a := s.query("READ probe")
			if a.outcome == done && !since.IsZero() && r.revokedAt() == since && started.Sub(since) > revocationBound {
				r.reportViolation("%s: a key still works %s after its revocation", s.instance.name, started.Sub(since))
			}
			if a.outcome != done {
				s.close()
				sessions[i] = nil
			}
		}
		time.Sleep(thinkTime)
	}
}

// watchProcesses reports processes that exit unexpectedly or use too much memory.
func (r *run) watchProcesses() {
	reported := map[*instance]bool{}
	for !r.stopping() {
		for _, in := range r.cluster.instances {
			r.mu.Lock()
			expected := in.exitExpected
			r.mu.Unlock()
			if reported[in] || expected {
				continue
			}
			if in.HasExited() {
				reported[in] = true
				r.reportViolation("%s exited unexpectedly, exit code %d", in.name, in.ExitCode())
			} else if bytes := residentBytes(in.PID()); bytes > maxResidentBytes {
				reported[in] = true
				r.reportViolation("%s uses %d MB of resident memory", in.name, bytes>>20)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// watchStore copies the store, writes to it as other programs do, and reports storms of
// calls.
func (r *run) watchStore() {
	store := r.cluster.store
	limit := maxCallsPerSecond * len(r.cluster.instances)
	for reported := false; !r.stopping(); {
		started, before := time.Now(), store.Calls()
		for time.Since(started) < time.Second {
			r.cluster.copies.add(store)
			store.Put("other", "row", started.UnixNano())
			time.Sleep(copyInterval)
		}
		if n := store.Calls() - before; n > limit && !reported {
			reported = true
			r.reportViolation("%d calls to the store in a second, limit %d", n, limit)
		}
	}
}

// checkConfiguration checks that a configuration is in force on all instances in time.
func (r *run) checkConfiguration() {
	r.cluster.publishKey(lastKey)
	deadline := time.Now().Add(configBound)
	id := idSource{prefix: "config"}
	for _, in := range r.cluster.instances {
		for {
			s, a := openSession(in, standin.BoundedDatabase, lastKey, &id)
			if s != nil {
				s.close()
				break
			}
			if time.Now().After(deadline) {
				r.reportViolation("%s: a configuration is not in force after %s: %s", in.name, configBound, a.text)
				break
			}
			time.Sleep(thinkTime)
		}
	}
}

// checkWrites compares the responses that clients received with the commits that the
// group holds.
func (r *run) checkWrites(all []*worker) {
	outcome := r.groupOutcome()
	r.result.Summary = outcome.summary()
	for _, w := range all {
		r.result.Served += w.served
		r.result.Failed += w.failed
		r.compareWrites(w.writes, outcome)
	}
}

// compareWrites compares the writes of one client with the commits of the group.
func (r *run) compareWrites(writes map[standin.Commit]write, group groupOutcome) {
	committed := group.committed
	for c, x := range writes {
		n := committed[c]
		switch {
		case n > 1:
			r.reportViolation("%s: %v was committed %d times", x.instance, c, n)
		case x.outcome == done && n == 0:
			p := group.discardedBy[c]
			r.result.Lost++
			r.reportViolation("%s: %v was acknowledged but is lost: %s was promoted in place of %s without it", x.instance, c, p.To, p.From)
		case x.outcome == notApplied && n > 0:
			r.reportViolation("%s: %v was committed, but its client received an error that excludes it", x.instance, c)
		case x.other != nil && committed[*x.other] != n:
			r.reportViolation("%s: partial transaction: %v was committed %d times and %v %d times", x.instance, c, n, *x.other, committed[*x.other])
		}
	}
}

// checkQuota checks the rate of the workspace small in every window.
func (r *run) checkQuota() {
	first := 0
	for i, at := range r.hotReadTimes {
		for at.Sub(r.hotReadTimes[first]) > quotaWindow {
			first++
		}
		if n := i - first + 1; n > quotaLimit {
			r.reportViolation("%d operations of the workspace small in %s, limit %d", n, quotaWindow, quotaLimit)
			return
		}
	}
}

// checkLogs checks that no instance has logged a client key.
func (r *run) checkLogs() {
	for _, in := range r.cluster.instances {
		log := r.readLog(in)
		if log == "" {
			r.reportViolation("the log of %s is empty", in.name)
		}
		for _, key := range []string{stableKey, revocableKey, smallKey, lastKey} {
			if strings.Contains(log, key) {
				r.reportViolation("the log of %s contains the key %q", in.name, key)
			}
		}
	}
}

// residentPages returns the number of resident pages of a process.
func residentPages(pid int) int64 {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	if err != nil {
		return 0 // the process has exited
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages
}
