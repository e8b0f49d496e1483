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
	workers, hotClients = 8, 3
	// startupBound is the time in which all instances must serve at the start.
	startupBound = 15 * time.Second
	// recoveryBound is the platform's bound on serving again after the last fault.
	recoveryBound = 15 * time.Second
	// memoryBound is far above the 20 MB that an instance takes with few clients.
	memoryBound = 100 << 20
	// quotaWindow, and a tenth and 20 operations of tolerance, are the platform's.
	quotaWindow = 5 * time.Second
	quotaMost   = (smallRate*5+smallBurst)*11/10 + 20
	// maxReports bounds the broken promises that a run lists.
	maxReports = 20
)

// Options of a run.
type Options struct {
	Seed uint64
	// Duration is the time in which faults begin.
	Duration time.Duration
	// Binary is the mulberrygate program, and Directory takes settings and logs.
	Binary, Directory string
}

// Result is the outcome of a run.
type Result struct {
	// Broken are the promises that were broken, in order of time.
	Broken []string
	// Timeline lists the faults as injected.
	Timeline       []string
	Served, Failed int
}

type run struct {
	options Options
	system  *system
	started time.Time
	// busy holds what a fault is changing, by Fault.touches.
	busy sync.Map

	mu        sync.Mutex
	result    Result
	stop      bool                 // guarded by mu
	paused    map[string]time.Time // guarded by mu: start of the present pause
	resumed   map[string]time.Time // guarded by mu: end of the last pause
	withdrawn time.Time            // guarded by mu: zero while the key is valid
	hotTimes  []time.Time          // guarded by mu
}

// Run plays one seed. An error says that the run itself could not be played.
func Run(ctx context.Context, o Options) (Result, error) {
	r := &run{options: o, paused: map[string]time.Time{}, resumed: map[string]time.Time{}}
	var err error
	r.system, err = startSystem(o.Directory, o.Binary)
	if r.system != nil {
		defer r.system.close()
	}
	if err != nil {
		return r.result, err
	}
	if !r.awaitServing(startupBound) {
		return r.result, errors.New("the instances do not serve; see the logs in " + o.Directory)
	}
	r.started = time.Now()
	var clients sync.WaitGroup
	all := make([]*worker, workers)
	for i := range all {
		all[i] = newWorker(r, i)
		clients.Go(all[i].work)
	}
	for i := range hotClients {
		clients.Go(func() { r.workHot(i) })
	}
	clients.Go(r.probeWithdrawn)
	var watch sync.WaitGroup
	watch.Go(r.watchProcesses)
	err = r.inject(ctx, Plan(o.Seed, o.Duration))
	if err == nil && !r.awaitServing(recoveryBound) {
		r.broken("not all instances serve %s after the last fault", recoveryBound)
	}
	r.mu.Lock()
	r.stop = true
	r.mu.Unlock()
	clients.Wait()
	watch.Wait()
	r.checkWrites(all)
	r.checkQuota()
	r.checkLogs()
	return r.result, err
}

func (r *run) stopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stop
}

// broken notes a broken promise.
func (r *run) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.result.Broken) < maxReports {
		at := time.Since(r.started).Seconds()
		r.result.Broken = append(r.result.Broken, fmt.Sprintf("%6.2f s  ", at)+fmt.Sprintf(format, args...))
	}
}

// inject begins and ends the faults of the plan at their times. A fault whose
// target has not come back from the one before, as an instance that takes its time
// to shut down, is left out.
func (r *run) inject(ctx context.Context, plan []Fault) error {
	var running sync.WaitGroup
	defer running.Wait()
	for _, f := range plan {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(f.From - time.Since(r.started)):
		}
		if _, busy := r.busy.LoadOrStore(f.touches(), true); busy {
			r.noteFault(f, "is left out", nil)
			continue
		}
		end, err := r.begin(f)
		r.noteFault(f, "begins", err)
		running.Go(func() {
			defer r.busy.Delete(f.touches())
			time.Sleep(f.Until - time.Since(r.started))
			r.noteFault(f, "ends", end())
		})
	}
	return nil
}

func (r *run) noteFault(f Fault, what string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%6.2f s  %s %d %s", time.Since(r.started).Seconds(), f.Kind, f.Target, what)
	if err != nil {
		line += ": " + err.Error()
	}
	r.result.Timeline = append(r.result.Timeline, line)
}

func (r *run) notePause(name string, paused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if paused {
		r.paused[name] = time.Now()
	} else {
		delete(r.paused, name)
		r.resumed[name] = time.Now()
	}
}

// wasPaused reports whether the instance was paused at some time since then.
func (r *run) wasPaused(name string, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, now := r.paused[name]
	return now || r.resumed[name].After(since)
}

func (r *run) noteWithdrawn(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawn = at
}

func (r *run) withdrawnSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.withdrawn
}

func (r *run) expectEnd(in *instance, expected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	in.expectedEnd = expected
}

// awaitServing waits until each instance has run a write.
func (r *run) awaitServing(bound time.Duration) bool {
	deadline := time.Now().Add(bound)
	id := idSource{prefix: "serving" + strconv.FormatInt(time.Now().UnixNano(), 36)}
	for _, in := range r.system.instances {
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
	s, _ := open(in, standin.StrictDatabase, stableKey, id)
	if s == nil {
		return false
	}
	defer s.close()
	return s.query("WRITE serving "+id.next()).outcome == done
}

// workHot reads far above the small workspace's rate.
func (r *run) workHot(n int) {
	id := idSource{prefix: fmt.Sprintf("hot%d", n)}
	for i := n; !r.stopping(); i++ {
		s, _ := open(r.system.instances[i%instances], standin.StrictDatabase, smallKey, &id)
		if s == nil {
			time.Sleep(thinkTime)
			continue
		}
		for range 10 * operationsPerSession {
			a := s.query("READ hot")
			if a.outcome == done {
				r.mu.Lock()
				r.hotTimes = append(r.hotTimes, time.Now())
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

// probeWithdrawn uses the key that is withdrawn at times, on open sessions and
// on new ones.
func (r *run) probeWithdrawn() {
	id := idSource{prefix: "probe"}
	sessions := make([]*session, instances)
	for i := 0; !r.stopping(); i = (i + 1) % instances {
		if sessions[i] == nil {
			sessions[i], _ = open(r.system.instances[i], standin.BoundedDatabase, withdrawnKey, &id)
		}
		if s := sessions[i]; s != nil {
			started, since := time.Now(), r.withdrawnSince()
			a := s.query("READ probe")
			if a.outcome == done && !since.IsZero() && r.withdrawnSince() == since && started.Sub(since) > revocationBound {
				r.broken("%s: a key that was withdrawn %s before still works", s.at.name, started.Sub(since))
			}
			if a.outcome != done {
				s.close()
				sessions[i] = nil
			}
		}
		time.Sleep(thinkTime)
	}
}

// watchProcesses notes processes that end by themselves or take too much memory.
func (r *run) watchProcesses() {
	reported := map[*instance]bool{}
	for !r.stopping() {
		for _, in := range r.system.instances {
			r.mu.Lock()
			expected := in.expectedEnd
			r.mu.Unlock()
			if reported[in] || expected {
				continue
			}
			if in.HasEnded() {
				reported[in] = true
				r.broken("%s has ended by itself, exit code %d", in.name, in.ExitCode())
			} else if bytes := residentBytes(in.PID()); bytes > memoryBound {
				reported[in] = true
				r.broken("%s takes %d MB", in.name, bytes>>20)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkWrites compares what clients were told with what the group holds.
func (r *run) checkWrites(all []*worker) {
	held := r.system.group.CountCommits()
	for _, w := range all {
		r.result.Served += w.served
		r.result.Failed += w.failed
		for c, x := range w.writes {
			n := held[c]
			switch {
			case n > 1:
				r.broken("%s: %v is kept %d times", x.at, c, n)
			case x.outcome == done && n == 0:
				r.broken("%s: %v was acknowledged and is lost", x.at, c)
			case x.outcome == notKept && n > 0:
				r.broken("%s: %v is kept, but its client was told that it is not", x.at, c)
			case x.other != nil && held[*x.other] != n:
				r.broken("%s: of a transaction %v is kept %d times and %v %d times", x.at, c, n, *x.other, held[*x.other])
			}
		}
	}
}

func (r *run) checkQuota() {
	first := 0
	for i, at := range r.hotTimes {
		for at.Sub(r.hotTimes[first]) > quotaWindow {
			first++
		}
		if n := i - first + 1; n > quotaMost {
			r.broken("%d operations of the small workspace in %s, at most %d are tolerated", n, quotaWindow, quotaMost)
			return
		}
	}
}

// checkLogs looks for keys in the logs of all instances.
func (r *run) checkLogs() {
	for _, in := range r.system.instances {
		log := r.log(in)
		if log == "" {
			r.broken("%s has written no log", in.name)
		}
		for _, key := range []string{stableKey, withdrawnKey, smallKey} {
			if strings.Contains(log, key) {
				r.broken("the log of %s holds the key %q", in.name, key)
			}
		}
	}
}

// statm returns the resident pages of a process.
func statm(pid int) int64 {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	if err != nil {
		return 0 // the process has ended
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages
}
