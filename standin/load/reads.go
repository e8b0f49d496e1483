package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

const (
	// readSessions is the number of sessions per instance; each uses one group.
	readSessions = 24
	// readsPerWrite is the number of reads after each write of a session.
	readsPerWrite = 9
	// minThink and maxThink bound the random think time before a request.
	minThink, maxThink = 50 * time.Millisecond, 150 * time.Millisecond
	readDuration       = 6 * time.Second
	replicaReadTarget  = 0.9
)

// readStats holds the results of sessions that write a row and read it back; safe
// for concurrent use. A violation is a read that missed the session's own write.
type readStats struct {
	mu                                sync.Mutex
	reads, writes, failed, violations int
	readTimes                         []time.Duration
}

// measureReads measures M1a: the fraction of reads that replicas serve if they are
// declared as reads, that is, in read-only transactions. The baseline runs the same
// SELECTs undeclared.
func (r *run) measureReads(ctx context.Context) error {
	declared, replicas, all, err := r.runReads(ctx, true)
	if err != nil {
		return err
	}
	plain, baseReplicas, baseAll, err := r.runReads(ctx, false)
	if err != nil {
		return err
	}
	share := float64(replicas) / float64(max(all, 1))
	r.results.add(resultRow{
		measure: "M1a", description: "reads served by replicas at 100 ms lag", target: "over 90%",
		measured: fmt.Sprintf("%s of %d reads; p99 %s; %d failed", formatPercent(replicas, all), declared.reads,
			ms(percentile(declared.readTimes, 0.99)), declared.failed),
		baseline: fmt.Sprintf("not declared: %s; p99 %s; %d failed", formatPercent(baseReplicas, baseAll),
			ms(percentile(plain.readTimes, 0.99)), plain.failed),
		met: targetMet(share > replicaReadTarget && declared.violations == 0),
	}, resultRow{
		measure: "M1a", description: "reads that missed the session's own write", target: "0",
		measured: formatPercent(declared.violations, declared.reads), baseline: formatPercent(plain.violations, plain.reads),
		met: targetMet(declared.violations == 0),
	})
	return nil
}

// runReads runs the sessions once and returns their results with the numbers of
// SELECTs run meanwhile by replicas and by all members.
func (r *run) runReads(ctx context.Context, declared bool) (*readStats, int, int, error) {
	replicasBefore, allBefore, err := r.countSelects(ctx)
	if err != nil {
		return nil, 0, 0, err
	}
	stats, done := &readStats{}, sync.WaitGroup{}
	sessionCtx, stop := context.WithTimeout(ctx, readDuration)
	defer stop()
	workspaces := r.deployment.workspaces()
	for n := range instanceCount * readSessions {
		c := &client{
			stack: r.stack, workspace: workspaces[n%len(workspaces)].Name, route: groupName(n % groupCount),
			instance: n % instanceCount, sticky: true,
		}
		id := n
		if !declared {
			id += instanceCount * readSessions
		}
		done.Go(func() { stats.runSession(sessionCtx, c, rand.New(rand.NewPCG(r.opts.Seed, uint64(n))), id, declared) })
	}
	done.Wait()
	replicas, all, err := r.countSelects(ctx)
	return stats, replicas - replicasBefore, all - allBefore, err
}

// runSession inserts a row, then updates it and reads it back until ctx is done.
func (s *readStats) runSession(ctx context.Context, c *client, random *rand.Rand, id int, declared bool) {
	defer c.close()
	think := func() { sleep(ctx, minThink+time.Duration(random.Int64N(int64(maxThink-minThink)))) }
	if c.connect(ctx) != nil {
		return
	}
	if _, err := c.query(ctx, fmt.Sprintf("INSERT INTO item VALUES (%d, 0)", id)); err != nil {
		return
	}
	for value := 1; ctx.Err() == nil; value++ {
		think()
		_, err := c.query(ctx, fmt.Sprintf("UPDATE item SET value = %d WHERE id = %d", value, id))
		s.countResult(&s.writes, err)
		for i := 0; err == nil && i < readsPerWrite && ctx.Err() == nil; i++ {
			think()
			s.read(ctx, c, id, value, declared)
		}
	}
}

// read reads the row in a read-only transaction, or by a plain SELECT if declared is
// false, and checks its value.
func (s *readStats) read(ctx context.Context, c *client, id, value int, declared bool) {
	begin := time.Now()
	var err error
	if declared {
		_, err = c.query(ctx, "BEGIN READ ONLY")
	}
	got := ""
	if err == nil {
		got, err = c.query(ctx, fmt.Sprintf("SELECT value FROM item WHERE id = %d", id))
	}
	if declared && err == nil {
		_, err = c.query(ctx, "COMMIT")
	}
	s.countResult(&s.reads, err)
	if err != nil {
		_ = c.connect(ctx)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readTimes = append(s.readTimes, time.Since(begin))
	if got != strconv.Itoa(value) {
		s.violations++
	}
}

// countResult counts a request in the counter, and in failed if it has an error.
func (s *readStats) countResult(counter *int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	if err != nil {
		s.failed++
	}
}

// countSelects returns the numbers of SELECTs run so far by the members that are
// replicas now and by all members.
func (r *run) countSelects(ctx context.Context) (replicas, all int, err error) {
	for _, m := range r.stack.Members {
		var c struct{ Selects int }
		if err := m.Read(ctx, "counters", &c); err != nil {
			return 0, 0, err
		}
		status, err := memberStatus(ctx, m)
		if err != nil {
			return 0, 0, err
		}
		all += c.Selects
		if status.Role == "replica" {
			replicas += c.Selects
		}
	}
	return replicas, all, nil
}
