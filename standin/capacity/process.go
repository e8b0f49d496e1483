package capacity

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/mulberrysill/mulberrysill/standin/stack"
)

const (
	// clockTicksPerSecond is the resolution of processor times in /proc on Linux.
	clockTicksPerSecond = 100
	// settleTime is the wait between a change of the load and the first reading.
	settleTime = 2 * time.Second
	// idleWindow is the period over which the processor time of an idle daemon is
	// measured.
	idleWindow = 10 * time.Second
)

// usage is the resource usage of a process as reported by the kernel.
type usage struct {
	// cpu is the user and system time since the start of the process.
	cpu time.Duration
	// resident is the resident memory in bytes.
	resident float64
}

// readUsage reads the usage of a process from /proc.
func readUsage(pid int) (usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "read process statistics")
	}
	text := string(data)
	// The command name in parentheses may contain spaces, so the fields are
	// counted from behind it: utime (14), stime (15) and rss (24).
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	if len(fields) < 22 {
		return usage{}, errors.Newf("unexpected format of /proc/%d/stat", pid)
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	pages, err3 := strconv.ParseInt(fields[21], 10, 64)
	if err := errors.CombineErrors(errors.CombineErrors(err1, err2), err3); err != nil {
		return usage{}, err
	}
	return usage{
		cpu:      time.Duration(user+system) * time.Second / clockTicksPerSecond,
		resident: float64(pages) * float64(os.Getpagesize()),
	}, nil
}

// controlSeries measures the processor time and resident memory of a mulberrysill
// daemon without clients, by number of groups. The processor time is the cost of
// probes, leases and heartbeats.
func controlSeries(ctx context.Context, binaries, directory string) ([]Series, error) {
	cpu := Series{Name: "control, idle daemon, 6 instances", Size: "group served", Unit: "% of a core"}
	memory := Series{Name: "resident memory, idle daemon", Size: "group served", Unit: "bytes"}
	for _, groups := range []int{1, 2, 4, 8} {
		u, err := measureIdleUsage(ctx, stack.Options{
			Binaries: binaries, Directory: fmt.Sprintf("%s/control-%d", directory, groups), Instances: 6, Groups: groups,
		})
		if err != nil {
			return nil, err
		}
		cpu.Points = append(cpu.Points, Point{float64(groups), 100 * u.cpu.Seconds() / idleWindow.Seconds()})
		memory.Points = append(memory.Points, Point{float64(groups), u.resident})
	}
	return []Series{cpu, memory}, nil
}

// measureIdleUsage starts a deployment and returns the usage of its first instance's
// daemon: processor time over idleWindow, and resident memory at its end.
func measureIdleUsage(ctx context.Context, opts stack.Options) (usage, error) {
	s, err := startStack(ctx, opts)
	if err != nil {
		return usage{}, err
	}
	defer s.Close()
	time.Sleep(settleTime)
	pid := s.Instances[0].PID()
	before, err := readUsage(pid)
	if err != nil {
		return usage{}, err
	}
	time.Sleep(idleWindow)
	after, err := readUsage(pid)
	after.cpu -= before.cpu
	return after, err
}

// startStack starts a deployment and waits until its instances hold their leases.
func startStack(ctx context.Context, opts stack.Options) (*stack.Stack, error) {
	if err := os.MkdirAll(opts.Directory, 0o700); err != nil {
		return nil, err
	}
	s, err := stack.Start(ctx, opts)
	if err != nil {
		return nil, err
	}
	return s, s.AwaitLeases(ctx)
}

// clientSeries measures the resident memory of a daemon by number of idle client
// connections. They use an open route, since authentication would take most of the
// run.
func clientSeries(ctx context.Context, binaries, directory string) ([]Series, error) {
	memory := Series{Name: "resident memory", Size: "idle client", Unit: "bytes"}
	s, err := startStack(ctx, stack.Options{Binaries: binaries, Directory: directory + "/clients", Instances: 2})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for _, n := range []int{0, 1000, 2500, 5000, 9500} {
		for len(conns) < n {
			c, err := pgconn.Connect(ctx, s.URL(s.Instances[0], "", "g1-open"))
			if err != nil {
				return nil, errors.Wrapf(err, "client %d", len(conns))
			}
			h, err := c.Hijack()
			if err != nil {
				return nil, err
			}
			conns = append(conns, h.Conn)
		}
		time.Sleep(settleTime)
		u, err := readUsage(s.Instances[0].PID())
		if err != nil {
			return nil, err
		}
		memory.Points = append(memory.Points, Point{float64(n), u.resident})
	}
	return []Series{memory}, nil
}

// statementSeries measures the processor time of a daemon by number of relayed
// statements.
func statementSeries(ctx context.Context, binaries, directory string) ([]Series, error) {
	cpu := Series{Name: "processor time of the relay", Size: "one-row read", Unit: "µs"}
	s, err := startStack(ctx, stack.Options{
		Binaries: binaries, Directory: directory + "/statements", Instances: 2, ConnectCost: time.Millisecond, OpenRate: 1e6,
	})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	const clients = 8
	for _, n := range []int{5000, 10000, 20000, 40000} {
		before, err := readUsage(s.Instances[0].PID())
		if err != nil {
			return nil, err
		}
		if err := runStatements(ctx, s, clients, n); err != nil {
			return nil, err
		}
		after, err := readUsage(s.Instances[0].PID())
		if err != nil {
			return nil, err
		}
		cpu.Points = append(cpu.Points, Point{float64(n), float64((after.cpu - before.cpu).Microseconds())})
	}
	return []Series{cpu}, nil
}

// runStatements runs n statements, divided between concurrent clients, and returns
// the error of a client that failed, if any.
func runStatements(ctx context.Context, s *stack.Stack, clients, n int) error {
	var wg sync.WaitGroup
	var failed atomic.Pointer[error]
	for range clients {
		wg.Go(func() {
			c, err := pgconn.Connect(ctx, s.URL(s.Instances[0], "", "g1-open"))
			for i := 0; err == nil && i < n/clients; i++ {
				err = c.ExecParams(ctx, "SELECT 1", nil, nil, nil, nil).Read().Err
			}
			if err != nil {
				failed.Store(&err)
				return
			}
			_ = c.Close(ctx)
		})
	}
	wg.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}
