//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

func init() { cases["burst"] = burst }

const (
	// memoryLimit is `memoryMb` of the site, in bytes.
	memoryLimit = 284 << 20
	// usualSessions is the number of sessions at one instance: 292 at 7 machines.
	usualSessions = 42
	// burstFactor and burstLength are those of the site's troubles.
	burstFactor = 1.7
	// burstSessions is usualSessions times burstFactor.
	burstSessions = 71
	burstLength   = 3 * time.Second
	bursts        = 4
	// writeBytes is the size of the data of a write. A message has 1 MiB at most.
	writeBytes = 500_000
	// betweenBursts is the time from the end of a burst to the next one, and restartDelay
	// that from the end of a process to its restart.
	betweenBursts = 8 * time.Second
	restartDelay  = time.Second
	// memoryInterval is the time between two looks at the memory of a process.
	memoryInterval = 10 * time.Millisecond
)

// burst lets many users come at once who write large items. The platform ends a process that
// exceeds its memory.
func burst(e *environment) (bool, error) {
	group, err := standin.NewGroup("first", 3, 33)
	if err != nil {
		return false, err
	}
	group.StatementTime, group.OpenTime, group.ApplyDelay = 8*time.Millisecond, 12*time.Millisecond, 60*time.Millisecond
	d := &deployment{store: standin.NewStore(), promotions: standin.NewPromotionServer(group), groups: []*standin.Group{group}}
	config := standin.Config{Version: 10, Group: group.Name, MaxConnections: 33}
	for i := range tenants {
		config.Workspaces = append(config.Workspaces, standin.Workspace{Name: fmt.Sprintf("tenant%d", i), Keys: []string{fmt.Sprintf("key%d", i)}, Rate: 2000, Burst: 2000})
	}
	d.store.PutConfig(config)
	d.registerMembers()
	instances, err := e.startInstances(d, 3)
	if err != nil {
		return false, err
	}
	if err := awaitServing(instances, standin.StrictDatabase, "key0"); err != nil {
		return false, err
	}
	m := &memoryWatch{e: e, ends: make([]int, len(instances)), peaks: make([]int64, len(instances))}
	stop := make(chan struct{})
	var watches sync.WaitGroup
	for i, in := range instances {
		// After the first start the whole system no longer starts for the first time.
		in.settings["firstStart"] = false
		if err := in.writeSettings(); err != nil {
			return false, err
		}
		watches.Go(func() { m.watch(i, in, stop) })
	}
	w := &writers{e: e, data: strings.Repeat("x", writeBytes), group: group}
	usual := make(chan struct{})
	for _, in := range instances {
		w.start(in, 0, usualSessions, usual)
	}
	time.Sleep(betweenBursts)
	for n := range bursts {
		over := make(chan struct{})
		if e.trouble {
			e.notef("burst %d: %.1f times the sessions for %s", n+1, burstFactor, burstLength)
			for _, in := range instances {
				w.start(in, usualSessions, burstSessions-usualSessions, over)
			}
		}
		time.Sleep(burstLength)
		close(over)
		e.notef("end of burst %d", n+1)
		time.Sleep(betweenBursts)
	}
	close(usual)
	w.wait.Wait()
	close(stop)
	watches.Wait()
	often := 0
	for i, in := range instances {
		text := fmt.Sprintf("%s: peak of resident memory %d MB, ended %d times for exceeding %d MB", in.name, m.peaks[i]>>20, m.ends[i], memoryLimit>>20)
		e.notef("%s", text)
		fmt.Println(text)
		if m.ends[i] >= 3 {
			often++
		}
	}
	text := fmt.Sprintf("%d writes acknowledged, %d refused, %d without a complete answer", w.acknowledged.Load(), w.refused.Load(), w.unanswered.Load())
	e.notef("%s", text)
	fmt.Println(text)
	return often >= 2, nil
}

// writers are the clients' sessions.
type writers struct {
	e                                 *environment
	data                              string
	group                             *standin.Group
	wait                              sync.WaitGroup
	acknowledged, refused, unanswered atomic.Int64
}

// start opens sessions at an instance that write one item after another until the end.
func (w *writers) start(in *instance, first, count int, end <-chan struct{}) {
	for i := first; i < first+count; i++ {
		w.wait.Go(func() {
			for n := 0; ; n++ {
				c, err := dial(in.address, standin.StrictDatabase, fmt.Sprintf("key%d", i%tenants))
				for err == nil {
					select {
					case <-end:
						c.close()
						return
					default:
					}
					n++
					id := fmt.Sprintf("%s-%d-%d", in.name, i, n)
					a := c.query(id, "WRITE item"+strconv.Itoa(i)+" "+w.data)
					w.e.notef("%s to %s: WRITE of %d bytes: %s", id, in.name, len(w.data), a)
					switch {
					case a.done():
						w.acknowledged.Add(1)
					case a.err != nil:
						w.unanswered.Add(1)
					default:
						w.refused.Add(1)
					}
					if a.err != nil {
						c.close()
						break
					}
				}
				select {
				case <-end:
					return
				case <-time.After(200 * time.Millisecond):
				}
			}
		})
	}
}

// memoryWatch does what the platform does with a process that exceeds its memory.
type memoryWatch struct {
	e     *environment
	ends  []int
	peaks []int64
}

func (m *memoryWatch) watch(i int, in *instance, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryInterval):
		}
		bytes := residentBytes(in.PID())
		m.peaks[i] = max(m.peaks[i], bytes)
		if bytes <= memoryLimit {
			continue
		}
		m.ends[i]++
		m.e.notef("%s has %d MB of resident memory, over %d MB: the platform kills it", in.name, bytes>>20, memoryLimit>>20)
		in.Kill()
		time.Sleep(restartDelay)
		if err := in.Start(); err != nil {
			m.e.notef("cannot restart %s: %v", in.name, err)
			return
		}
		m.e.notef("%s has been started again", in.name)
	}
}

// residentBytes returns the resident memory of a process, or 0 if it has ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
