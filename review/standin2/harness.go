//go:build review

// Command standin2 runs the cases of the second review that cannot be put as a day of the
// bench. Each case starts mulberrygate processes as the deploy file does, with clients and
// the project's stand-ins of the platform around them.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/mulberrysill/mulberrysill/platform/standin"
	"github.com/mulberrysill/mulberrysill/standin/ports"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

func main() {
	gate := flag.String("gate", "target/mulberrygate", "mulberrygate, as the deploy file builds it")
	record := flag.String("record", "record.txt", "file that receives what was sent, answered and run")
	flag.Parse()
	run, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "usage: standin2 [--gate FILE] [--record FILE] CASE\n")
		os.Exit(cannotRun)
	}
	e, err := newEnvironment(*gate, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(cannotRun)
	}
	time.AfterFunc(maxRunTime, func() { e.finish(cannotRun, "the case did not end in time") })
	broken, err := run(e)
	switch {
	case err != nil:
		e.finish(cannotRun, "cannot run: "+err.Error())
	case broken:
		e.finish(ruleBroken, "the rule was broken")
	default:
		e.finish(ruleHeld, "the rule held")
	}
}

// cases holds the cases by name.
var cases = map[string]func(*environment) (broken bool, err error){}

// environment is what a case runs in.
type environment struct {
	gate, directory string
	// trouble is false if the case is to run without its disruption.
	trouble bool
	started time.Time

	mu        sync.Mutex
	record    *bufio.Writer // guarded by mu
	file      *os.File
	instances []*instance // guarded by mu
	ended     bool        // guarded by mu
}

func newEnvironment(gate, record string) (*environment, error) {
	path, err := filepath.Abs(gate)
	if err != nil {
		return nil, err
	}
	if _, err = os.Stat(path); err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &environment{
		gate: path, directory: directory, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), file: file, record: bufio.NewWriter(file),
	}, nil
}

// notef writes a line with the time into the record.
func (e *environment) notef(format string, args ...any) { e.noteAt(time.Now(), format, args...) }

func (e *environment) noteAt(at time.Time, format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ended {
		fmt.Fprintf(e.record, "%8.3f  %s\n", at.Sub(e.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// finish ends all processes, closes the record and exits.
func (e *environment) finish(code int, result string) {
	e.notef("%s (exit code %d)", result, code)
	e.mu.Lock()
	e.ended = true
	instances := e.instances
	_ = e.record.Flush()
	_ = e.file.Close()
	e.mu.Unlock()
	for _, in := range instances {
		in.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.directory)
	} else {
		fmt.Println(e.directory)
	}
	fmt.Println(result)
	os.Exit(code)
}

// instance is a mulberrygate process.
type instance struct {
	*process
	name, zone, address, readiness string
	// store is the instance's link to the store, and peers that of the others to it.
	store, peers *cutLink
	settings     map[string]any
	path         string
}

// deployment is what the instances of a case share.
type deployment struct {
	store      *standin.Store
	promotions *standin.PromotionServer
	groups     []*standin.Group
}

// startInstances starts instances with the settings of a small deployment.
func (e *environment) startInstances(d *deployment, count int) ([]*instance, error) {
	var all []*instance
	for i := range count {
		addresses, err := ports.Free(3)
		if err != nil {
			return nil, err
		}
		in := &instance{name: fmt.Sprintf("gate-%d", i), zone: fmt.Sprintf("z%d", i+1), address: addresses[0], readiness: addresses[1]}
		if in.store, err = newCutLink(d.store.Address()); err != nil {
			return nil, err
		}
		if in.peers, err = newCutLink(addresses[2]); err != nil {
			return nil, err
		}
		in.settings = map[string]any{
			"id": in.name, "zone": in.zone, "capacity": 0.4, "clientAddress": in.address, "readinessAddress": in.readiness,
			"peerAddress": addresses[2], "peerAdvertisedAddress": in.peers.Addr(),
			"storeAddress": in.store.Addr(), "dutyAddress": d.promotions.Listener.Addr().String(), "firstStart": true,
			"revocationBound": "5000ms", "gracePeriod": "6s", "duties": []string{"promotion"},
			"limitTolerance": map[string]any{"window": "5s", "overage": 0.1, "slack": 20},
		}
		in.path = filepath.Join(e.directory, in.name+".yaml")
		if err = in.writeSettings(); err != nil {
			return nil, err
		}
		log, err := os.Create(filepath.Join(e.directory, in.name+".log"))
		if err != nil {
			return nil, err
		}
		if in.process, err = startProcess(log, e.gate, "--config", in.path); err != nil {
			return nil, err
		}
		e.mu.Lock()
		e.instances = append(e.instances, in)
		e.mu.Unlock()
		all = append(all, in)
	}
	return all, nil
}

func (in *instance) writeSettings() error {
	data, err := yaml.Marshal(in.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(in.path, data, 0o600)
}

// registerMembers writes the entries of all members, each in a zone of its own, and goes on
// writing them at the interval of heartbeats.
func (d *deployment) registerMembers() {
	for _, g := range d.groups {
		for i, m := range g.Members() {
			entry := m.Entry("ready")
			entry["zone"] = fmt.Sprintf("z%d", i+1)
			d.store.Put("servers", m.ID, entry)
		}
	}
}

// awaitServing waits until each instance has run a write of the database.
func awaitServing(instances []*instance, database, key string) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, in := range instances {
		for n := 0; ; n++ {
			if time.Now().After(deadline) {
				return errors.Newf("%s does not serve", in.name)
			}
			if c, err := dial(in.address, database, key); err == nil {
				a := c.query(fmt.Sprintf("serving-%s-%d", in.name, n), "WRITE serving x")
				c.close()
				if a.done() {
					break
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// client is a client's session.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// answer is the answer to a statement. code is the error code, or "" after a success; err is
// set if there was no complete answer.
type answer struct {
	rows            []string
	signature, code string
	text, state     string
	err             error
}

func (a answer) done() bool { return a.err == nil && a.code == "" }

func (a answer) String() string {
	switch {
	case a.err != nil:
		return "no complete answer"
	case a.code != "":
		return "ERR " + a.code + " " + a.text
	default:
		return strings.TrimSpace("DONE " + a.signature + " " + strings.Join(a.rows, ","))
	}
}

const (
	// startTimeout is how long a client waits for READY after START.
	startTimeout = 2 * time.Second
	// answerTimeout is how long a client waits for an answer.
	answerTimeout = 3 * time.Second
)

func dial(address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, startTimeout)
	if err != nil {
		return nil, err
	}
	c := &client{conn, bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(startTimeout))
	fmt.Fprintf(conn, "START %s %s\r\n", database, key)
	line, err := c.line()
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = errors.New(line)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

func (c *client) line() (string, error) {
	line, err := c.in.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// query sends a statement and reads its answer.
func (c *client) query(id, text string) answer {
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	var a answer
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{err: err}
	}
	for {
		line, err := c.line()
		if err != nil {
			return answer{err: err}
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.signature = rest
		case "ERR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}
