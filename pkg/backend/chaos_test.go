package backend_test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	"github.com/mulberrysill/mulberrysill/pkg/backend"
)

// changePrimary cuts the primary off, fences the other two members, and promotes
// the one with the most advanced log. The cut heals after the promotion.
func (b *bench) changePrimary(term uint64) {
	old := b.view.Primary
	b.cut(old)
	time.Sleep(20 * time.Millisecond)
	b.change(func(v *backend.View) { v.Primary = "" })
	var best group.Status
	for _, m := range b.members {
		if m.Name() == old {
			continue
		}
		s, err := b.Fence(within(5*time.Second), m.Name(), term, "i1")
		Expect(err).NotTo(HaveOccurred())
		if best.Member == "" || s.ReceivedPosition().Compare(best.ReceivedPosition()) > 0 {
			best = s
		}
	}
	b.promote(best.Member, term)
	for _, m := range b.members {
		for _, f := range b.members {
			m.RestoreReplication(f.Name())
		}
	}
}

// ledger records what sessions were told about their writes.
type ledger struct {
	mu          sync.Mutex
	acked, gone []string
	unknown     int
}

func (l *ledger) record(id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.acked = append(l.acked, id)
	case verdict.FromError(err).Verdict == verdict.NotRun:
		l.gone = append(l.gone, id)
	default:
		l.unknown++
	}
}

// session writes and reads back its own writes until the time is over.
func (b *bench) session(name string, until time.Time, l *ledger) {
	defer GinkgoRecover()
	for i := 0; time.Now().Before(until); i++ {
		id := fmt.Sprintf("%s-%d", name, i)
		c := b.acquire(write(name))
		_, p, err := query(c, "INSERT INTO payments VALUES ('"+id+"')")
		c.Release(err == nil)
		if err != nil {
			continue
		}
		err = b.Confirm(within(5*time.Second), p)
		l.record(id, err)
		if err != nil {
			continue
		}
		for range 3 {
			r := read(name, p)
			r.ReadWait = 20 * time.Millisecond
			c := b.acquire(r)
			seen, _, err := query(c, "SELECT count(*) FROM payments WHERE id = '"+id+"'")
			c.Release(err == nil)
			if err == nil {
				Expect(seen).To(Equal("1"), "write %s at %s read on %s", id, p, c.Member())
			}
		}
	}
}

var _ = Describe("sessions across changes of primary", func() {
	It("read their writes, and are told the truth: lost, stale or doubled payments", func() {
		b := newBench(noCost, nil)
		p := b.run("CREATE TABLE payments (id TEXT)")
		Expect(b.Confirm(within(time.Second), p)).To(Succeed())
		b.replicated(p)
		l := &ledger{}
		until := time.Now().Add(4 * time.Second)
		var sessions sync.WaitGroup
		for i := range 8 {
			sessions.Go(func() { b.session(fmt.Sprintf("w%d", i), until, l) })
		}
		for term := uint64(2); time.Now().Before(until); term++ {
			time.Sleep(250 * time.Millisecond)
			b.changePrimary(term)
		}
		sessions.Wait()
		c := b.acquire(write("check"))
		defer c.Release(false)
		for _, id := range l.acked {
			Expect(query(c, "SELECT count(*) FROM payments WHERE id = '"+id+"'")).To(Equal("1"), id)
		}
		for _, id := range l.gone {
			Expect(query(c, "SELECT count(*) FROM payments WHERE id = '"+id+"'")).To(Equal("0"), id)
		}
		GinkgoWriter.Printf("%d acknowledged, %d not run, %d unknown, term %d\n",
			len(l.acked), len(l.gone), l.unknown, b.view.Term)
		Expect(len(l.acked)).To(BeNumerically(">", 100))
	})
})
