package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

const (
	// plannedWorkspaces is the number of workspaces, far above the connections that an
	// instance may open to a member.
	plannedWorkspaces = 40
	// lossSlack is the platform's limit: within it after a statement was sent, its connection
	// may end without an answer if no member has the statement.
	lossSlack = 200 * time.Millisecond
	// lateSend is the time after SIGTERM from which on a statement must be answered even if its
	// member is at work in the last sixth of the grace period.
	lateSend = 3 * time.Second
	// minStall is the delay from which on the soak counts as stalled.
	minStall = 100 * time.Millisecond
	// One statement in slowShare takes up to maxSlowTime at its member, the others up to
	// maxFastTime.
	slowShare, maxFastTime, maxSlowTime = 8, 10 * time.Millisecond, 300 * time.Millisecond
)

// plannedRun is a run with planned work only. It records the statements that clients have
// sent.
type plannedRun struct {
	*run
	mu                      sync.Mutex
	sent, answered          int            // guarded by mu
	refused                 map[string]int // guarded by mu, by error code
	withoutAnswer, timedOut []cutStatement // guarded by mu
	stalls                  []stall        // guarded by mu
}

// stall is a time for which the soak itself, and so its clients and stand-ins, did not run.
type stall struct{ from, until time.Time }

// cutStatement is a statement that was sent completely, and whose connection ended without a
// complete answer.
type cutStatement struct {
	id, text, cause string
	instance        *instance
	sentAt, endedAt time.Time
	// terminatedAt is when its instance was last sent SIGTERM; zero if never.
	terminatedAt time.Time
}

func runPlanned(ctx context.Context, o Options) (Result, error) {
	r := &plannedRun{run: newRun(o), refused: map[string]int{}}
	rng := rand.New(rand.NewPCG(o.Seed, o.Seed+5))
	settings := clusterSettings{
		scope: drawServingScope(o.Seed), gracePeriod: plannedGracePeriod,
		maxConnections: []int{8, 12, 20}[rng.IntN(3)],
		workspaces:     []standin.Workspace{{Name: "coop", Keys: []string{stableKey}, Rate: 10000, Burst: 10000}},
	}
	for i := range plannedWorkspaces {
		settings.workspaces = append(settings.workspaces, standin.Workspace{
			Name: fmt.Sprintf("w%d", i), Keys: []string{fmt.Sprintf("%s%d", stableKey, i)}, Rate: 10000, Burst: 10000,
		})
	}
	r.result.Timeline = append(r.result.Timeline, fmt.Sprintf("serving scope: %s, %d connections per member", settings.scope, settings.maxConnections))
	var err error
	r.cluster, err = startCluster(o.Directory, o.Binaries, o.Instances, settings)
	if r.cluster != nil {
		defer r.cluster.close()
	}
	if err != nil {
		return r.result, err
	}
	r.cluster.group.Write(standin.Commit{Item: largeItem, Data: strings.Repeat("x", largeBytes)})
	if !r.awaitServing(startupTimeout) {
		return r.result, errors.New("the instances do not serve requests after their start; see the logs in " + o.Directory)
	}
	r.cluster.group.SetStatementTime(drawStatementTime)
	r.started = time.Now()
	var clients, watch sync.WaitGroup
	var all []*plannedClient
	for _, k := range clientKinds {
		for range k.count {
			c := newPlannedClient(r, len(all), k)
			all = append(all, c)
			clients.Go(c.runSessions)
		}
	}
	watch.Go(r.watchProcesses)
	watch.Go(r.watchStalls)
	err = r.inject(ctx, PlannedWork(o.Seed, o.Duration, o.Instances))
	if err == nil && !r.awaitServing(recoveryTimeout) {
		r.reportViolation("not all instances serve requests %s after the last work", recoveryTimeout)
	}
	r.run.mu.Lock()
	r.stop = true
	r.run.mu.Unlock()
	clients.Wait()
	watch.Wait()
	outcome := r.groupOutcome()
	for _, c := range all {
		r.compareWrites(c.writes, outcome)
	}
	withoutAnswer := r.checkAnswers()
	r.checkLogs()
	r.result.Served, r.result.Failed = r.answered, r.sent-r.answered
	r.result.Summary = r.summary(withoutAnswer)
	return r.result, err
}

// drawStatementTime returns the time of a statement at a member: a few milliseconds for most,
// and up to a few hundred for some. It need not follow from the seed, which does not determine
// the order of the statements.
func drawStatementTime() time.Duration {
	if rand.IntN(slowShare) == 0 {
		return rand.N(maxSlowTime)
	}
	return rand.N(maxFastTime)
}

// record records the response to a statement.
func (r *plannedRun) record(c cutStatement, a response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case a.state != "" && a.code == "":
		r.answered++
	case a.code != "":
		code := a.code
		if strings.Contains(a.text, "shutting down") {
			code += " at a stop"
		}
		r.refused[code]++
	case a.timedOut:
		r.timedOut = append(r.timedOut, c)
	case !a.sent:
		return
	default:
		r.withoutAnswer = append(r.withoutAnswer, c)
	}
	r.sent++
}

// watchStalls records stalls of the soak.
func (r *plannedRun) watchStalls() {
	for !r.stopping() {
		from := time.Now()
		time.Sleep(thinkTime)
		if until := time.Now(); until.Sub(from) > thinkTime+minStall {
			r.mu.Lock()
			r.stalls = append(r.stalls, stall{from, until})
			r.mu.Unlock()
		}
	}
}

// hasStalled reports whether the soak stalled between the times, so that what it measured then
// says nothing about the instances.
func (r *plannedRun) hasStalled(from, until time.Time) bool {
	return slices.ContainsFunc(r.stalls, func(s stall) bool { return s.from.Before(until) && from.Before(s.until) })
}

// Why a statement may have no answer.
const (
	notRead        = "not passed on and closed in time"
	inLastSixth    = "at work in the last sixth of the grace period"
	duringStall    = "not passed on, closed during a stall of the soak"
	mustBeAnswered = "violations"
)

// classify says why the statement may have no answer.
func (r *plannedRun) classify(c cutStatement, at standin.Arrival, arrived bool) string {
	took := c.endedAt.Sub(c.sentAt)
	switch {
	case !arrived && took <= lossSlack:
		return notRead
	case !arrived && r.hasStalled(c.sentAt, c.endedAt):
		return duringStall
	case arrived && !c.terminatedAt.IsZero() && c.sentAt.Sub(c.terminatedAt) <= lateSend &&
		(at.EndedAt.IsZero() || at.EndedAt.Sub(c.terminatedAt) >= plannedGracePeriod*5/6):
		return inLastSixth
	default:
		return mustBeAnswered
	}
}

// checkAnswers reports the statements without an answer that an instance had to answer. It
// returns the number of the others by the reason.
func (r *plannedRun) checkAnswers() map[string]int {
	for _, c := range r.timedOut {
		if !r.hasStalled(c.sentAt, c.endedAt) {
			r.reportViolation("%s: no response to %s %q within %s", c.instance.name, c.id, c.text, statementTimeout)
		}
	}
	counts, arrivals := map[string]int{}, r.cluster.group.Arrivals()
	for _, c := range r.withoutAnswer {
		at, arrived := arrivals[c.id]
		class := r.classify(c, at, arrived)
		if counts[class]++; class != mustBeAnswered {
			continue
		}
		afterSent := func(t time.Time) float64 { return t.Sub(c.sentAt).Seconds() }
		where := "at no member"
		if arrived {
			where = fmt.Sprintf("at %s from %.3f to %.3f s", at.Member, afterSent(at.At), afterSent(at.EndedAt))
		}
		r.reportViolation("%s: no answer to %s %.40q, sent %.3f s after the last SIGTERM, %s, connection ended at %.3f s: %s%s",
			c.instance.name, c.id, c.text, -afterSent(c.terminatedAt), where, afterSent(c.endedAt), c.cause, r.logLines(c.id))
	}
	return counts
}

// logLines returns the lines of the instances' logs that name the statement.
func (r *plannedRun) logLines(id string) string {
	var found strings.Builder
	for _, in := range r.cluster.instances {
		for line := range strings.Lines(r.readLog(in)) {
			if strings.Contains(line, `"id":"`+id+`"`) {
				found.WriteString("\n    " + in.name + ": " + strings.TrimSpace(line))
			}
		}
	}
	return found.String()
}

// summary returns the counts of the run. The instances log only some of the statements that
// are answered.
func (r *plannedRun) summary(withoutAnswer map[string]int) string {
	logged, relayed := 0, 0
	for _, in := range r.cluster.instances {
		for line := range strings.Lines(r.readLog(in)) {
			var entry struct{ Event, Relay string }
			if json.Unmarshal([]byte(line), &entry) != nil || entry.Event != "statement" || strings.Contains(entry.Relay, "/") {
				continue // another line, or that of the instance that ran a relayed statement
			}
			logged++
			if entry.Relay != "" {
				relayed++
			}
		}
	}
	longest := time.Duration(0)
	for _, s := range r.stalls {
		longest = max(longest, s.until.Sub(s.from))
	}
	return fmt.Sprintf("%d statements, %d answered, %d of %d logged ones relayed; refused: %s; without an answer: %s; not answered in time: %d; %d stalls of the soak, the longest %s",
		r.sent, r.answered, relayed, logged, formatCounts(r.refused), formatCounts(withoutAnswer), len(r.timedOut), len(r.stalls), longest.Round(time.Millisecond))
}

func formatCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return cmp.Or(strings.Join(parts, ", "), "none")
}
