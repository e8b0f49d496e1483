package backend_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	"github.com/mulberrysill/mulberrysill/pkg/backend"
	"github.com/mulberrysill/mulberrysill/standin/member"
)

func TestBackend(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(5 * time.Second)
	RunSpecs(t, "backend")
}

const database = "shop"

// testGroup is a group of three simulated members, with m1 as the primary of term 1.
// The instance is in the availability zone of m1 and m2.
type testGroup struct {
	*backend.Group
	members []*member.Member
	view    backend.View
	probes  *probeCounter
}

// probeCounter counts the results of probes by member.
type probeCounter struct {
	mu               sync.Mutex
	answered, failed map[string]int
}

func (p *probeCounter) OnStatus(_, member string, _ group.Status, _, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered[member]++
}

func (p *probeCounter) OnProbeFailure(_, member string, _ error, _, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed[member]++
}

func (p *probeCounter) failures(member string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failed[member]
}

func newTestGroup(options member.Options, change func(*backend.Config)) *testGroup {
	options.Group, options.RecordTraffic = "orders", true
	members, err := member.StartGroup("m", 3, options)
	Expect(err).NotTo(HaveOccurred())
	tg := &testGroup{members: members, probes: &probeCounter{answered: map[string]int{}, failed: map[string]int{}}}
	cfg := backend.Config{Group: "orders", Zone: "z1", Databases: []string{database}, Events: tg.probes}
	tg.view = backend.View{
		Primary: "m1", Term: 1, TermStart: 1,
		InService: map[string]bool{"m1": true, "m2": true, "m3": true},
		Budget:    map[string]int{"m1": 3, "m2": 3, "m3": 3},
	}
	for i, m := range members {
		cfg.Members = append(cfg.Members, backend.Member{Name: m.Name(), Address: m.Addr(), Zone: []string{"z1", "z1", "z2"}[i]})
	}
	if change != nil {
		change(&cfg)
	}
	tg.Group, err = backend.NewGroup(cfg)
	Expect(err).NotTo(HaveOccurred())
	tg.Start()
	tg.SetView(tg.view)
	DeferCleanup(func() {
		tg.Close()
		member.CloseAll(members)
	})
	return tg
}

// changeView sets a changed copy of the current view.
func (tg *testGroup) changeView(f func(*backend.View)) {
	v := tg.view
	v.InService, v.Budget = map[string]bool{}, map[string]int{}
	for name := range tg.view.InService {
		v.InService[name], v.Budget[name] = tg.view.InService[name], tg.view.Budget[name]
	}
	f(&v)
	tg.view = v
	tg.SetView(v)
}

// promote fences the listed members, makes the member the primary of the term, and sets
// the view accordingly.
func (tg *testGroup) promote(to string, term uint64, fence ...string) {
	ctx := timeoutContext(5 * time.Second)
	for _, name := range fence {
		_, err := tg.Fence(ctx, name, term, "i1")
		Expect(err).NotTo(HaveOccurred())
	}
	s, err := tg.Promote(ctx, to, term, "i1")
	Expect(err).NotTo(HaveOccurred())
	tg.changeView(func(v *backend.View) {
		v.Primary, v.Term, v.TermStart, v.PreviousTerm = to, s.CurrentTerm, s.TermStart, s.PreviousTerm
	})
}

// awaitReplication waits until both replicas have received p.
func (tg *testGroup) awaitReplication(p group.Position) {
	GinkgoHelper()
	for _, name := range []string{"m2", "m3"} {
		s, err := tg.AwaitPosition(timeoutContext(5*time.Second), name, p, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Confirms(p)).To(BeTrue())
	}
}

// cutReplication stops replication between the member and all others.
func (tg *testGroup) cutReplication(name string) {
	for _, m := range tg.members {
		for _, f := range tg.members {
			if m != f && (m.Name() == name || f.Name() == name) {
				m.CutReplication(f.Name())
			}
		}
	}
}

// timeoutContext returns a context that ends after d.
func timeoutContext(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

func writeRequest(workspace string) backend.Request {
	return backend.Request{Workspace: workspace, Database: database}
}

func readRequest(workspace string, floor group.Position) backend.Request {
	return backend.Request{Workspace: workspace, Database: database, Read: true, Floor: floor, ReadWait: time.Second}
}

func (tg *testGroup) acquire(r backend.Request) *backend.Conn {
	GinkgoHelper()
	c, err := tg.Acquire(timeoutContext(5*time.Second), r)
	Expect(err).NotTo(HaveOccurred())
	return c
}

// query executes a statement and returns its first value and the reported position.
func query(c *backend.Conn, sql string) (value string, p group.Position, err error) {
	fe := c.Frontend()
	c.NetConn().SetDeadline(time.Now().Add(5 * time.Second))
	fe.SendQuery(&pgproto3.Query{String: sql})
	if err := fe.Flush(); err != nil {
		return "", p, err
	}
	for {
		msg, failed := fe.Receive()
		if failed != nil {
			return value, p, failed
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			value = string(m.Values[0])
		case *pgproto3.ParameterStatus:
			if m.Name == group.ParamPosition {
				p, err = group.ParsePosition(m.Value)
			}
		case *pgproto3.ErrorResponse:
			err = errors.New(m.Code + " " + m.Message)
		case *pgproto3.ReadyForQuery:
			return value, p, err
		}
	}
}

// execWrite executes a write and returns its position, without waiting for a majority.
func (tg *testGroup) execWrite(sql string) group.Position {
	GinkgoHelper()
	c := tg.acquire(writeRequest("loja"))
	defer c.Release(true)
	_, p, err := query(c, sql)
	Expect(err).NotTo(HaveOccurred())
	return p
}

func haveVerdict(v verdict.Verdict, code verdict.Code) OmegaMatcher {
	return WithTransform(func(err error) *verdict.Error { return verdict.FromError(err) },
		And(HaveField("Verdict", v), HaveField("Code", code)))
}
