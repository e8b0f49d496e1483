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

// bench is a group of three stand-in members, m1 the primary of term 1, and one
// instance in the zone of m1 and m2.
type bench struct {
	*backend.Group
	members []*member.Member
	view    backend.View
	probes  *probes
}

// probes counts the results of probes per member.
type probes struct {
	mu               sync.Mutex
	answered, failed map[string]int
}

func (p *probes) OnStatus(_, member string, _ group.Status, _, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered[member]++
}

func (p *probes) OnProbeFailure(_, member string, _ error, _, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed[member]++
}

func (p *probes) failures(member string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failed[member]
}

func newBench(options member.Options, change func(*backend.Config)) *bench {
	options.Group, options.Record = "orders", true
	members, err := member.StartGroup("m", 3, options)
	Expect(err).NotTo(HaveOccurred())
	b := &bench{members: members, probes: &probes{answered: map[string]int{}, failed: map[string]int{}}}
	cfg := backend.Config{Group: "orders", Zone: "z1", Databases: []string{database}, Events: b.probes}
	b.view = backend.View{
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
	b.Group, err = backend.NewGroup(cfg)
	Expect(err).NotTo(HaveOccurred())
	b.Start()
	b.SetView(b.view)
	DeferCleanup(func() {
		b.Close()
		member.CloseAll(members)
	})
	return b
}

// change sets a view that differs from the present one.
func (b *bench) change(f func(*backend.View)) {
	v := b.view
	v.InService, v.Budget = map[string]bool{}, map[string]int{}
	for name := range b.view.InService {
		v.InService[name], v.Budget[name] = b.view.InService[name], b.view.Budget[name]
	}
	f(&v)
	b.view = v
	b.SetView(v)
}

// promote makes the member the primary of the term and sets the view.
func (b *bench) promote(to string, term uint64, fence ...string) {
	ctx := within(5 * time.Second)
	for _, name := range fence {
		_, err := b.Fence(ctx, name, term, "i1")
		Expect(err).NotTo(HaveOccurred())
	}
	s, err := b.Promote(ctx, to, term, "i1")
	Expect(err).NotTo(HaveOccurred())
	b.change(func(v *backend.View) {
		v.Primary, v.Term, v.TermStart, v.PreviousTerm = to, s.CurrentTerm, s.TermStart, s.PreviousTerm
	})
}

// replicated waits until both replicas have received p.
func (b *bench) replicated(p group.Position) {
	GinkgoHelper()
	for _, name := range []string{"m2", "m3"} {
		s, err := b.Wait(within(5*time.Second), name, p, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Confirms(p)).To(BeTrue())
	}
}

func (b *bench) cut(name string) {
	for _, m := range b.members {
		for _, f := range b.members {
			if m != f && (m.Name() == name || f.Name() == name) {
				m.CutReplication(f.Name())
			}
		}
	}
}

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

func write(workspace string) backend.Request {
	return backend.Request{Workspace: workspace, Database: database}
}

func read(workspace string, floor group.Position) backend.Request {
	return backend.Request{Workspace: workspace, Database: database, Read: true, Floor: floor, ReadWait: time.Second}
}

func (b *bench) acquire(r backend.Request) *backend.Conn {
	GinkgoHelper()
	c, err := b.Acquire(within(5*time.Second), r)
	Expect(err).NotTo(HaveOccurred())
	return c
}

// query runs a statement and returns its first value and the reported position.
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

// run runs one write and returns its position, without waiting for a majority.
func (b *bench) run(sql string) group.Position {
	GinkgoHelper()
	c := b.acquire(write("loja"))
	defer c.Release(true)
	_, p, err := query(c, sql)
	Expect(err).NotTo(HaveOccurred())
	return p
}

func haveVerdict(v verdict.Verdict, code verdict.Code) OmegaMatcher {
	return WithTransform(func(err error) *verdict.Error { return verdict.FromError(err) },
		And(HaveField("Verdict", v), HaveField("Code", code)))
}
