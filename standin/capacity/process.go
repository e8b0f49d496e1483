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
	// clockTicks is the unit of processor time in /proc, 1/100 s on Linux.
	clockTicks = 100
	// settle is the time after a change of load before a reading.
	settle = 2 * time.Second
	// idleWindow is the time over which the control cost is read.
	idleWindow = 10 * time.Second
)

// usage is what the kernel reports of a process.
type usage struct {
	cpu time.Duration
	// resident is in bytes.
	resident float64
}

func usageOf(pid int) (usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "processor time")
	}
	text := string(data)
	// The name in parentheses may hold spaces; fields 14, 15 and 24 follow it.
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	if len(fields) < 22 {
		return usage{}, errors.Newf("unexpected /proc/%d/stat", pid)
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	pages, err3 := strconv.ParseInt(fields[21], 10, 64)
	if err := errors.CombineErrors(errors.CombineErrors(err1, err2), err3); err != nil {
		return usage{}, err
	}
	return usage{
		cpu:      time.Duration(user+system) * time.Second / clockTicks,
		resident: float64(pages) * float64(os.Getpagesize()),
	}, nil
}

// controlSeries measures an entry daemon without clients, by groups served.
func controlSeries(ctx context.Context, binaries, directory string) ([]Series, error) {
	cpu := Series{Name: "control, idle daemon, 6 instances", Size: "group served", Unit: "% of a core"}
	memory := Series{Name: "resident memory, idle daemon", Size: "group served", Unit: "bytes"}
	for _, groups := range []int{1, 2, 4, 8} {
		u, err := idleUsage(ctx, stack.Options{
			Binaries: binaries, Directory: fmt.Sprintf("%s/control-%d", directory, groups), Entries: 6, Groups: groups,
		})
		if err != nil {
			return nil, err
		}
		cpu.Points = append(cpu.Points, Point{float64(groups), 100 * u.cpu.Seconds() / idleWindow.Seconds()})
		memory.Points = append(memory.Points, Point{float64(groups), u.resident})
	}
	return []Series{cpu, memory}, nil
}

func idleUsage(ctx context.Context, opts stack.Options) (usage, error) {
	s, err := startStack(ctx, opts)
	if err != nil {
		return usage{}, err
	}
	defer s.Close()
	time.Sleep(settle)
	pid := s.Entries[0].PID()
	before, err := usageOf(pid)
	if err != nil {
		return usage{}, err
	}
	time.Sleep(idleWindow)
	after, err := usageOf(pid)
	after.cpu -= before.cpu
	return after, err
}

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

// clientSeries measures the resident memory of a daemon by idle clients. They
// use an open route, so that authentication does not dominate the run.
func clientSeries(ctx context.Context, binaries, directory string) ([]Series, error) {
	memory := Series{Name: "resident memory", Size: "idle client", Unit: "bytes"}
	s, err := startStack(ctx, stack.Options{Binaries: binaries, Directory: directory + "/clients", Entries: 2})
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
			c, err := pgconn.Connect(ctx, s.URL(s.Entries[0], "", "g1-open"))
			if err != nil {
				return nil, errors.Wrapf(err, "client %d", len(conns))
			}
			h, err := c.Hijack()
			if err != nil {
				return nil, err
			}
			conns = append(conns, h.Conn)
		}
		time.Sleep(settle)
		u, err := usageOf(s.Entries[0].PID())
		if err != nil {
			return nil, err
		}
		memory.Points = append(memory.Points, Point{float64(n), u.resident})
	}
	return []Series{memory}, nil
}

// statementSeries measures the processor time of a daemon by statements relayed.
func statementSeries(ctx context.Context, binaries, directory string) ([]Series, error) {
	cpu := Series{Name: "processor time of the relay", Size: "one-row read", Unit: "µs"}
	s, err := startStack(ctx, stack.Options{
		Binaries: binaries, Directory: directory + "/statements", Entries: 2, ConnectCost: time.Millisecond, OpenRate: 1e6,
	})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	const clients = 8
	for _, n := range []int{5000, 10000, 20000, 40000} {
		before, err := usageOf(s.Entries[0].PID())
		if err != nil {
			return nil, err
		}
		if err := runStatements(ctx, s, clients, n); err != nil {
			return nil, err
		}
		after, err := usageOf(s.Entries[0].PID())
		if err != nil {
			return nil, err
		}
		cpu.Points = append(cpu.Points, Point{float64(n), float64((after.cpu - before.cpu).Microseconds())})
	}
	return []Series{cpu}, nil
}

func runStatements(ctx context.Context, s *stack.Stack, clients, n int) error {
	var wg sync.WaitGroup
	var failed atomic.Pointer[error]
	for range clients {
		wg.Go(func() {
			c, err := pgconn.Connect(ctx, s.URL(s.Entries[0], "", "g1-open"))
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
