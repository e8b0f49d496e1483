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

// failOver disconnects the primary from replication, fences the other two members,
// promotes the one with the most advanced log, and reconnects the old primary.
func (tg *testGroup) failOver(term uint64) {
	old := tg.view.Primary
	tg.cutReplication(old)
	time.Sleep(20 * time.Millisecond)
	tg.changeView(func(v *backend.View) { v.Primary = "" })
	var best group.Status
	for _, m := range tg.members {
		if m.Name() == old {
			continue
		}
		s, err := tg.Fence(timeoutContext(5*time.Second), m.Name(), term, "i1")
		Expect(err).NotTo(HaveOccurred())
		if best.Member == "" || s.ReceivedPosition().Compare(best.ReceivedPosition()) > 0 {
			best = s
		}
	}
	tg.promote(best.Member, term)
	for _, m := range tg.members {
		for _, f := range tg.members {
			m.RestoreReplication(f.Name())
		}
	}
}

// outcomeLog records the outcomes of writes as reported to the sessions.
type outcomeLog struct {
	mu                   sync.Mutex
	acknowledged, notRun []string
	unknown              int
}

func (l *outcomeLog) record(id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.acknowledged = append(l.acknowledged, id)
	case verdict.FromError(err).Verdict == verdict.NotRun:
		l.notRun = append(l.notRun, id)
	default:
		l.unknown++
	}
}

// runSession repeatedly writes a row and reads it back until the given time.
func (tg *testGroup) runSession(name string, until time.Time, l *outcomeLog) {
	defer GinkgoRecover()
	for i := 0; time.Now().Before(until); i++ {
		id := fmt.Sprintf("%s-%d", name, i)
		c := tg.acquire(writeRequest(name))
		_, p, err := query(c, "INSERT INTO payments VALUES ('"+id+"')")
		c.Release(err == nil)
		if err != nil {
			continue
		}
		err = tg.Confirm(timeoutContext(5*time.Second), p)
		l.record(id, err)
		if err != nil {
			continue
		}
		for range 3 {
			r := readRequest(name, p)
			r.ReadWait = 20 * time.Millisecond
			c := tg.acquire(r)
			seen, _, err := query(c, "SELECT count(*) FROM payments WHERE id = '"+id+"'")
			c.Release(err == nil)
			if err == nil {
				Expect(seen).To(Equal("1"), "write %s at %s, read on %s", id, p, c.Member())
			}
		}
	}
}

var _ = Describe("sessions during failovers", func() {
	It("read their own writes and get correct outcomes, so that no payment is lost, stale or doubled", func() {
		tg := newTestGroup(noConnectCost, nil)
		p := tg.execWrite("CREATE TABLE payments (id TEXT)")
		Expect(tg.Confirm(timeoutContext(time.Second), p)).To(Succeed())
		tg.awaitReplication(p)
		l := &outcomeLog{}
		until := time.Now().Add(4 * time.Second)
		var sessions sync.WaitGroup
		for i := range 8 {
			sessions.Go(func() { tg.runSession(fmt.Sprintf("w%d", i), until, l) })
		}
		for term := uint64(2); time.Now().Before(until); term++ {
			time.Sleep(250 * time.Millisecond)
			tg.failOver(term)
		}
		sessions.Wait()
		c := tg.acquire(writeRequest("check"))
		defer c.Release(false)
		for _, id := range l.acknowledged {
			Expect(query(c, "SELECT count(*) FROM payments WHERE id = '"+id+"'")).To(Equal("1"), id)
		}
		for _, id := range l.notRun {
			Expect(query(c, "SELECT count(*) FROM payments WHERE id = '"+id+"'")).To(Equal("0"), id)
		}
		GinkgoWriter.Printf("%d acknowledged, %d not run, %d unknown, term %d\n",
			len(l.acknowledged), len(l.notRun), l.unknown, tg.view.Term)
		Expect(len(l.acknowledged)).To(BeNumerically(">", 100))
	})
})
