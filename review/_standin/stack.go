package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mulberrysill/mulberrysill/platform/standin"
	"github.com/mulberrysill/mulberrysill/standin/ports"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
	// off suppresses the record of sessions that only load the services.
	off bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	if r.off {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// gate is a mulberrygate process.
type gate struct {
	id, front, readiness, peer, path string
	cmd                              *exec.Cmd
	exited                           chan struct{}
}

// deployment is a small deployment on loopback: the store, the promotion service and the
// members are stand-ins in this process, the entry daemons are processes.
type deployment struct {
	rec        *record
	dir        string
	store      *standin.Store
	promotions *httptest.Server
	groups     []*group
	gates      []*gate
	version    int
	tenants    []tenant
	sequence   atomic.Int64
	// beatMu guards the members' fields lastBeat and expired.
	beatMu    sync.Mutex
	stop      chan struct{}
	closeOnce sync.Once
}

type tenant struct {
	name string
	keys []string
}

type route struct {
	host, kind, service string
	timeoutMs, targetMs int
	stalenessMs         int
}

const tenantName, tenantKey = "nypu920", "u6wsjnbanfqasnmgkcuy"

var zones = []string{"poa-a", "poa-b", "cxs-a", "cwb-a"}

func newDeployment(rec *record, groupNames ...string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, store: standin.NewStore(), tenants: []tenant{{tenantName, []string{tenantKey}}}, stop: make(chan struct{})}
	for _, name := range groupNames {
		g, err := newGroup(name, zones[:3], rec)
		if err != nil {
			return nil, err
		}
		d.groups = append(d.groups, g)
	}
	d.promotions = httptest.NewServer(http.HandlerFunc(d.servePromotion))
	go d.heartbeats()
	current.Store(d)
	return d, nil
}

// current is the deployment of the case that is played.
var current atomic.Pointer[deployment]

// closeCurrent ends what the case has started.
func closeCurrent() {
	if d := current.Load(); d != nil {
		d.close()
	}
}

// servePromotion serves POST /promotion with fences.
func (d *deployment) servePromotion(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get(wire.FenceToken), 10, 64)
	if err != nil || r.URL.Path != "/promotion" || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, g := range d.groups {
		if g.name != body.Service {
			continue
		}
		accepted := g.promote(body.ID, token)
		d.rec.printf("platform: %s orders the promotion of %s with token %d: accepted %v", r.Header.Get(wire.DutyHolder), body.ID, token, accepted)
		if accepted {
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// heartbeats writes the members' entries every 1,200 ms, and removes those that have expired, as members and the store do.
func (d *deployment) heartbeats() {
	beats := time.NewTicker(heartbeat)
	defer beats.Stop()
	checks := time.NewTicker(heartbeat / 12)
	defer checks.Stop()
	d.beat()
	for {
		select {
		case <-d.stop:
			return
		case <-beats.C:
			d.beat()
		case <-checks.C:
			d.expire()
		}
	}
}

// beat writes the entries of all members that run.
func (d *deployment) beat() {
	sequence := int(d.sequence.Add(1))
	d.beatMu.Lock()
	defer d.beatMu.Unlock()
	for _, g := range d.groups {
		for _, m := range g.members {
			if !m.isCrashed() {
				m.lastBeat = time.Now()
				d.store.Put("servers", m.id, m.entry(sequence))
			}
		}
	}
}

// expire removes the entries of members that have been silent for three heartbeats.
func (d *deployment) expire() {
	d.beatMu.Lock()
	defer d.beatMu.Unlock()
	for _, g := range d.groups {
		for _, m := range g.members {
			if m.isCrashed() && !m.expired && time.Since(m.lastBeat) >= entryTTL {
				m.expired = true
				d.rec.printf("store: the entry of %s expires", m.id)
				d.store.Put("servers", m.id, nil)
			}
		}
	}
}

const (
	// heartbeat is heartbeatMs, and entryTTL three heartbeats.
	heartbeat = 1200 * time.Millisecond
	entryTTL  = 3 * heartbeat
)

// putConfig writes the next version of the configuration.
func (d *deployment) putConfig(routes ...route) {
	d.version += 3
	var rs, services, tenants []map[string]any
	for _, t := range d.tenants {
		tenants = append(tenants, map[string]any{"name": t.name, wire.Keys: t.keys, "priority": 1, "ratePerS": 400, "burst": 400})
	}
	for _, r := range routes {
		entry := map[string]any{
			"name": "r-" + r.host + "-" + r.service, "host": r.host, "kind": r.kind, "timeoutMs": r.timeoutMs, "targetLatencyMs": r.targetMs,
			"priority": 1, "service": r.service, "maxAttempts": 2, "public": false,
		}
		if r.stalenessMs > 0 {
			entry[wire.Staleness] = r.stalenessMs
		}
		rs = append(rs, entry)
	}
	for _, g := range d.groups {
		services = append(services, map[string]any{"name": g.name, "maxConns": 33, "coldPerS": 0.0, wire.SyncReplicas: 1})
	}
	d.store.Put("op", "config", map[string]any{
		"version": d.version, "routes": rs, "services": services, "limits": map[string]any{"txIdleMs": 3000},
		"tenants": tenants,
	})
	d.rec.printf("operator: configuration %d acknowledged, routes %+v, tenants %+v", d.version, routes, d.tenants)
}

// startGates starts n entry daemons with the command of the deploy file and waits until
// all are ready.
func (d *deployment) startGates(n int) error {
	for i := range n {
		addresses, err := ports.Free(4)
		if err != nil {
			return err
		}
		g := &gate{id: fmt.Sprintf("front-%s-%d", zones[i%4], i/4+1), front: addresses[0], readiness: addresses[1], peer: addresses[2]}
		g.path = filepath.Join(d.dir, g.id+".yaml")
		settings := fmt.Sprintf("id: %q\nzone: %q\ncapacity: 0.4\nclientAddress: %q\nreadinessAddress: %q\npeerAddress: %q\nmetricsAddress: %q\n"+
			"storeAddress: %q\ndutyAddress: %q\nfirstStart: true\nrevocationBound: 5000ms\ngracePeriod: 6s\n"+
			"limitTolerance: { window: 5s, overage: 0.1, slack: 20 }\nduties: [\"promotion\"]\n",
			g.id, zones[i%4], g.front, g.readiness, g.peer, addresses[3], d.store.Address(), d.promotions.Listener.Addr().String())
		if err := os.WriteFile(g.path, []byte(settings), 0o600); err != nil {
			return err
		}
		d.gates = append(d.gates, g)
		if err := d.startGate(g); err != nil {
			return err
		}
	}
	for _, g := range d.gates {
		if err := g.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startGate(g *gate) error {
	log, err := os.Create(filepath.Join(d.dir, g.id+".log"))
	if err != nil {
		return err
	}
	g.cmd = exec.Command("target/mulberrygate", "--config", g.path)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	d.rec.printf("%s started as process %d", g.id, g.cmd.Process.Pid)
	exited := make(chan struct{})
	g.exited = exited
	go func() {
		_ = g.cmd.Wait()
		d.rec.printf("%s ended: %s", g.id, g.cmd.ProcessState)
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (g *gate) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, err := http.Get("http://" + g.readiness + "/readiness")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready in time", g.id)
}

func (d *deployment) signal(g *gate, s syscall.Signal) {
	d.rec.printf("%s gets signal %d (%s)", g.id, int(s), s)
	_ = g.cmd.Process.Signal(s)
}

// close ends all processes and stand-ins.
func (d *deployment) close() { d.closeOnce.Do(d.closeAll) }

func (d *deployment) closeAll() {
	close(d.stop)
	for _, g := range d.gates {
		if g.cmd != nil && g.cmd.Process != nil {
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
	for _, g := range d.groups {
		g.close()
	}
	d.promotions.Close()
	d.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}
