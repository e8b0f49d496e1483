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
	// readSessions per instance; each uses one group.
	readSessions = 24
	// readsPerWrite read-only transactions follow each write.
	readsPerWrite = 9
	// minThink and maxThink bound the time that a session thinks before a request.
	minThink, maxThink = 50 * time.Millisecond, 150 * time.Millisecond
	readPhase          = 6 * time.Second
	readTarget         = 0.9
)

// readStats are the results of sessions that write and read back.
type readStats struct {
	mu                            sync.Mutex
	reads, writes, failed, broken int
	readTimes                     []time.Duration
}

// measureReads measures M1a.
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
	r.results.add(row{
		measure: "M1a", what: "reads served by replicas at 100 ms lag", target: "over 90%",
		measured: fmt.Sprintf("%s of %d reads; p99 %s; %d failed", percent(replicas, all), declared.reads,
			ms(percentile(declared.readTimes, 0.99)), declared.failed),
		baseline: fmt.Sprintf("not declared: %s; p99 %s; %d failed", percent(baseReplicas, baseAll),
			ms(percentile(plain.readTimes, 0.99)), plain.failed),
		met: met(share > readTarget && declared.broken == 0),
	}, row{
		measure: "M1a", what: "reads that missed the session's own write", target: "0",
		measured: percent(declared.broken, declared.reads), baseline: percent(plain.broken, plain.reads),
		met: met(declared.broken == 0),
	})
	return nil
}

// runReads runs the sessions once and returns the SELECTs that replicas and all
// members have run.
func (r *run) runReads(ctx context.Context, declared bool) (*readStats, int, int, error) {
	replicasBefore, allBefore, err := r.countSelects(ctx)
	if err != nil {
		return nil, 0, 0, err
	}
	stats, done := &readStats{}, sync.WaitGroup{}
	sessionCtx, stop := context.WithTimeout(ctx, readPhase)
	defer stop()
	workspaces := r.d.workspaces()
	for n := range instances * readSessions {
		c := &client{
			stack: r.stack, workspace: workspaces[n%len(workspaces)].Name, route: groupName(n % groups),
			instance: n % instances, sticky: true,
		}
		id := n
		if !declared {
			id += instances * readSessions
		}
		done.Go(func() { stats.session(sessionCtx, c, rand.New(rand.NewPCG(r.opts.Seed, uint64(n))), id, declared) })
	}
	done.Wait()
	replicas, all, err := r.countSelects(ctx)
	return stats, replicas - replicasBefore, all - allBefore, err
}

// session writes its row and reads it back until the context ends.
func (s *readStats) session(ctx context.Context, c *client, random *rand.Rand, id int, declared bool) {
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
		s.note(&s.writes, err)
		for i := 0; err == nil && i < readsPerWrite && ctx.Err() == nil; i++ {
			think()
			s.read(ctx, c, id, value, declared)
		}
	}
}

// read runs one read-only transaction, or one plain SELECT, and checks the value.
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
	s.note(&s.reads, err)
	if err != nil {
		_ = c.connect(ctx)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readTimes = append(s.readTimes, time.Since(begin))
	if got != strconv.Itoa(value) {
		s.broken++
	}
}

func (s *readStats) note(counter *int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	if err != nil {
		s.failed++
	}
}

// countSelects returns the SELECTs that members have run, by their present role.
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
