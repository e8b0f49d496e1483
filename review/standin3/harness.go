//go:build review

// Command standin3 plays the cases of the third independent review: it starts the entry
// daemons as separate processes on loopback, between clients and the project's own stand-ins
// of the store, the members and the promotion service, and checks one rule.
package main

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

// Figures of a small deployment.
const (
	memberCount      = 3
	maxConnections   = 33
	heartbeat        = 1200 * time.Millisecond
	promotionDelay   = 300 * time.Millisecond
	clientsPerDaemon = 4
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(f), file: f, began: time.Now()}, nil
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.write(format, args...)
	fmt.Printf("%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// daemon is one entry daemon.
type daemon struct {
	name, client, readiness, peer string
	config                        string
	peers                         *link
	log                           *os.File
	process                       *exec.Cmd
	exited                        chan struct{}
	expected                      atomic.Bool
	// acknowledged counts the writes that the daemon has acknowledged.
	acknowledged atomic.Uint64
}

func (d *daemon) start() error {
	cmd := exec.Command("target/mulberrygate", "--config", d.config)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MULBERRYSILL_SETTINGS=" + d.config}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	d.process, d.exited = cmd, exited
	return nil
}

// forgetFirstStart renders the settings as for a later start.
func (d *daemon) forgetFirstStart() error {
	settings, err := os.ReadFile(d.config)
	if err != nil {
		return err
	}
	return os.WriteFile(d.config, []byte(strings.Replace(string(settings), "firstStart: true", "firstStart: false", 1)), 0o600)
}

func (d *daemon) signal(s os.Signal) { _ = d.process.Process.Signal(s) }

func (d *daemon) ready() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	r, err := c.Get("http://" + d.readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// world is a deployment.
type world struct {
	rec        *record
	dir        string
	store      *standin.Store
	group      *standin.Group
	promotions *standin.PromotionServer
	orders     *promotionService
	daemons    []*daemon
	stop       chan struct{}
	running    sync.WaitGroup

	mu sync.Mutex
	// states are the members that report themselves; storeDown keeps them from it.
	states    map[*standin.Member]string
	links     map[*standin.Member]*link
	storeDown bool

	ids      atomic.Uint64
	answers  sync.Mutex
	outcomes map[standin.Commit]string
}

func freePorts(n int) ([]string, error) {
	var out []string
	var listeners []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners, out = append(listeners, l), append(out, l.Addr().String())
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return out, nil
}

// options are what the cases have different.
type options struct {
	daemons int
	// links puts links before the daemons' peer ports and the members.
	links          bool
	replicationLag time.Duration
	// promotionDelay is the time from an order's answer until the member leads; 0 answers it
	// when the member leads.
	promotionDelay time.Duration
}

func newWorld(rec *record, o options) (*world, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	group, err := standin.NewGroup("orders", memberCount, maxConnections)
	if err != nil {
		return nil, err
	}
	w := &world{
		rec: rec, dir: dir, store: standin.NewStore(), group: group, promotions: standin.NewPromotionServer(group),
		stop: make(chan struct{}), states: map[*standin.Member]string{}, links: map[*standin.Member]*link{}, outcomes: map[standin.Commit]string{},
	}
	w.promotions.SetDelay(promotionDelay)
	group.ApplyDelay, group.ReplicationLag = 30*time.Millisecond, o.replicationLag
	duty := w.promotions.Listener.Addr().String()
	if o.promotionDelay > 0 {
		w.orders = newPromotionService(rec, group, o.promotionDelay)
		duty = w.orders.Listener.Addr().String()
	}
	var workspaces []standin.Workspace
	for i := range 8 {
		workspaces = append(workspaces, standin.Workspace{Name: fmt.Sprintf("tenant%d", i), Keys: []string{fmt.Sprintf("key%d", i)}, Rate: 500, Burst: 500})
	}
	w.store.PutConfig(standin.Config{Version: 1, Group: group.Name, MaxConnections: maxConnections, Workspaces: workspaces, StatementTimeout: 800 * time.Millisecond})
	for _, m := range group.Members() {
		w.states[m] = "ready"
		if o.links {
			if err := w.addLink(m); err != nil {
				return w, err
			}
		}
	}
	w.report()
	w.spawn(w.heartbeats)
	ports, err := freePorts(3 * o.daemons)
	if err != nil {
		return w, err
	}
	for i := range o.daemons {
		addresses := ports[3*i:]
		d := &daemon{name: fmt.Sprintf("front-%d", i), client: addresses[0], readiness: addresses[1], peer: addresses[2]}
		d.config = filepath.Join(dir, d.name+".yaml")
		settings := fmt.Sprintf(`id: %s
zone: z%d
capacity: 0.4
clientAddress: "%s"
readinessAddress: "%s"
peerAddress: "%s"
storeAddress: "%s"
dutyAddress: "%s"
firstStart: true
revocationBound: 5000ms
gracePeriod: 6s
limitTolerance: { window: 5s, overage: 0.1, slack: 20 }
duties: ["promotion"]
`, d.name, i%4+1, d.client, d.readiness, d.peer, w.store.Address(), duty)
		if o.links {
			if d.peers, err = newLink(d.peer); err != nil {
				return w, err
			}
			settings += fmt.Sprintf("peerAdvertisedAddress: %q\n", d.peers.address())
		}
		if err := os.WriteFile(d.config, []byte(settings), 0o600); err != nil {
			return w, err
		}
		if d.log, err = os.Create(filepath.Join(dir, d.name+".log")); err != nil {
			return w, err
		}
		w.daemons = append(w.daemons, d)
		if err := d.start(); err != nil {
			return w, err
		}
	}
	if !await(10*time.Second, func() bool {
		for _, d := range w.daemons {
			if !d.ready() {
				return false
			}
		}
		return w.store.HasPromotionLeaseHolder()
	}) {
		return w, fmt.Errorf("the daemons are not ready")
	}
	return w, nil
}

// await polls a condition until it holds or the time is over.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

func (w *world) spawn(f func()) {
	w.running.Add(1)
	go func() {
		defer w.running.Done()
		f()
	}()
}

// report writes the entries of all members, unless the store is down.
func (w *world) report() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeDown {
		return
	}
	for m, state := range w.states {
		entry := m.Entry(state)
		if k := w.links[m]; k != nil {
			entry["address"] = k.address()
		}
		w.store.Put("servers", m.ID, entry)
	}
}

// addLink puts a link before a member.
func (w *world) addLink(m *standin.Member) error {
	k, err := newLink(m.Address())
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links[m] = k
	return nil
}

func (w *world) heartbeats() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.report()
		}
	}
}

// setState changes what a member reports, and reports it.
func (w *world) setState(m *standin.Member, state string) {
	w.mu.Lock()
	w.states[m] = state
	w.mu.Unlock()
	w.report()
}

func (w *world) setStoreDown(down bool) {
	w.mu.Lock()
	w.storeDown = down
	w.mu.Unlock()
	w.store.SetDown(down)
	w.rec.say("store down: %v", down)
	if !down {
		w.report()
	}
}

// client is a session of one client.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn, bufio.NewReader(conn)}
	if _, err = fmt.Fprintf(conn, "START %s %s\r\n", database, key); err == nil {
		var line string
		if line, err = c.read(2 * time.Second); err == nil && !strings.HasPrefix(line, "READY") {
			err = fmt.Errorf("%s", line)
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) read(limit time.Duration) (string, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	line, err := c.in.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// query sends one statement and returns the messages of the answer.
func (c *client) query(id, text string) ([]string, error) {
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return nil, err
	}
	var out []string
	for {
		line, err := c.read(3 * time.Second)
		if err != nil {
			return out, err
		}
		out = append(out, line)
		if strings.HasPrefix(line, "READY ") {
			return out, nil
		}
	}
}

// done returns the signature if the answer is a success.
func done(answer []string) (string, bool) {
	for _, line := range answer {
		if signature, ok := strings.CutPrefix(line, "DONE "); ok {
			return signature, true
		}
	}
	return "", false
}

// writeLoop sends single writes of unique data until the load ends.
func (w *world) writeLoop(d *daemon, key string, stop <-chan struct{}, pause time.Duration) {
	var c *client
	defer func() {
		if c != nil {
			_ = c.conn.Close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if c == nil {
			var err error
			if c, err = dial(d.client, standin.StrictDatabase, key); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("w%08d", w.ids.Add(1))
		commit := standin.Commit{Item: "i" + id, Data: "d" + id}
		w.rec.write("sent %s to %s: WRITE %s %s", id, d.name, commit.Item, commit.Data)
		answer, err := c.query(id, "WRITE "+commit.Item+" "+commit.Data)
		outcome := strings.Join(answer, " | ")
		if err != nil {
			outcome += " broken: " + err.Error()
			_ = c.conn.Close()
			c = nil
		} else if signature, ok := done(answer); ok && signature != "-" {
			outcome = "acknowledged " + outcome
			d.acknowledged.Add(1)
		}
		w.rec.write("answered %s: %s", id, outcome)
		w.answers.Lock()
		w.outcomes[commit] = outcome
		w.answers.Unlock()
	}
}

// acknowledged returns the commits for which a client has got a success.
func (w *world) acknowledged() map[standin.Commit]bool {
	w.answers.Lock()
	defer w.answers.Unlock()
	out := map[standin.Commit]bool{}
	for c, outcome := range w.outcomes {
		if strings.HasPrefix(outcome, "acknowledged") {
			out[c] = true
		}
	}
	return out
}

// promised returns the commits whose clients were promised that nothing is kept.
func (w *world) promised() map[standin.Commit]bool {
	w.answers.Lock()
	defer w.answers.Unlock()
	out := map[standin.Commit]bool{}
	for c, outcome := range w.outcomes {
		for _, word := range []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"} {
			if strings.HasPrefix(outcome, "ERR "+word) {
				out[c] = true
			}
		}
	}
	return out
}

// recordRuns writes what the members have run to the record.
func (w *world) recordRuns() {
	for _, e := range w.group.ExecutedStatements() {
		w.rec.write("ran at %s at %.3f: %s", e.Member, e.BeganAt.Sub(w.rec.began).Seconds(), e.Text)
	}
	for _, p := range w.group.Promotions() {
		w.rec.write("promotion at %.3f from %s to %s, which lacked %d commits of the log", p.At.Sub(w.rec.began).Seconds(), p.From, p.To, len(p.Discarded))
	}
}

// killAll ends the daemons.
func (w *world) killAll() {
	for _, d := range w.daemons {
		if d.process != nil {
			d.expected.Store(true)
			_ = d.process.Process.Kill()
			<-d.exited
		}
	}
}

func (w *world) close() {
	close(w.stop)
	w.killAll()
	for _, d := range w.daemons {
		if d.log != nil {
			_ = d.log.Close()
		}
	}
	if w.orders != nil {
		w.orders.CloseClientConnections()
		w.orders.Close()
	}
	w.promotions.CloseClientConnections()
	w.promotions.Close()
	w.store.Close()
	w.group.Close()
	w.running.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// counts returns how often each kind of outcome occurred.
func (w *world) counts() string {
	w.answers.Lock()
	defer w.answers.Unlock()
	n := map[string]int{}
	for _, outcome := range w.outcomes {
		word := strings.TrimPrefix(strings.SplitN(outcome, " ", 3)[0], "ERR")
		if fields := strings.Fields(outcome); len(fields) > 1 && fields[0] == "ERR" {
			word = fields[1]
		}
		n[word]++
	}
	return fmt.Sprint(maps.Collect(maps.All(n)))
}

// lostCommits reports whether a promoted member lacked acknowledged commits.
func (w *world) lostCommits() (bool, error) {
	acknowledged, lost := w.acknowledged(), 0
	for _, p := range w.group.Promotions() {
		n := 0
		for _, c := range p.Discarded {
			if acknowledged[c] {
				n++
				w.rec.write("lost: %s %s was acknowledged and is not in the log of %s", c.Item, c.Data, p.To)
			}
		}
		lost += n
		w.rec.say("promotion at %.3f from %s to %s: the log that was cut had %d commits, %d of them acknowledged", p.At.Sub(w.rec.began).Seconds(), p.From, p.To, len(p.Discarded), n)
	}
	w.rec.say("%d commits acknowledged, %d of them lost; outcomes %s", len(acknowledged), lost, w.counts())
	if len(acknowledged) < 100 {
		return false, fmt.Errorf("too few commits")
	}
	return lost > 0, nil
}

func (w *world) acknowledgedBy(d *daemon) uint64 { return d.acknowledged.Load() }

// leave ends a member that has drained. It is a replica by then.
func (w *world) leave(m *standin.Member) {
	w.mu.Lock()
	delete(w.states, m)
	w.mu.Unlock()
	if w.group.Leave(m) {
		w.store.RemoveMember(m.ID)
		w.rec.say("%s has left", m.ID)
	}
}
