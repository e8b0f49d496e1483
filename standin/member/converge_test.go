package member_test

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/standin/member"
)

// confirmedByMajority reports whether a majority of the members confirms the position
// within 300 ms.
func confirmedByMajority(members []*member.Member, p group.Position) bool {
	deadline := time.Now().Add(300 * time.Millisecond)
	for time.Now().Before(deadline) {
		n := 0
		for _, m := range members {
			if m.Status().Confirms(p) {
				n++
			}
		}
		if n >= group.Majority(len(members)) {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// failover fences all members except the one with index skipped, and promotes the one
// among them that has received the most. It gives up if a member rejects the term.
func failover(members []*member.Member, term uint64, skipped int) {
	var best *member.Member
	owner := fmt.Sprintf("owner-%d", term)
	for i, m := range members {
		if i == skipped {
			continue
		}
		if _, err := call(connectControl(m), group.FenceSQL(term, owner)); err != nil {
			return
		}
		if best == nil || m.Status().ReceivedPosition().Compare(best.Status().ReceivedPosition()) > 0 {
			best = m
		}
	}
	_, _ = call(connectControl(best), group.PromoteSQL(term, owner))
}

var _ = Describe("a group during failovers", func() {
	// Guards against a failover that loses writes which a majority has confirmed, and
	// against members whose data differ after replication has caught up. The test
	// repeats failovers under load while it cuts random replication links.
	It("keeps every confirmed write and converges", func() {
		members := startGroupOfThree(member.Options{ApplyLag: 5 * time.Millisecond})
		exec(connect(members[0]), "CREATE TABLE t (n INTEGER PRIMARY KEY)")
		expectApplied(members[2], group.Position{Index: 2})
		random := rand.New(rand.NewSource(GinkgoRandomSeed()))
		ctx, stop := context.WithCancel(context.Background())
		var confirmedWrites sync.Map
		var next, acknowledged atomic.Int64
		var writers sync.WaitGroup
		for w := range 4 {
			writers.Go(func() {
				for i := w; ctx.Err() == nil; i++ {
					target := members[i%len(members)]
					conn, err := pgx.Connect(ctx, "postgres://app@"+target.Addr()+"/d?sslmode=disable")
					if err != nil {
						continue
					}
					for range 20 {
						n := next.Add(1)
						if _, err := conn.Exec(ctx, "INSERT INTO t VALUES ($1)", n); err != nil {
							break
						}
						p, err := group.ParsePosition(conn.PgConn().ParameterStatus(group.ParamPosition))
						if err == nil && confirmedByMajority(members, p) {
							confirmedWrites.Store(n, p)
							acknowledged.Add(1)
						}
					}
					_ = conn.Close(context.Background())
				}
			})
		}
		for term := uint64(2); term < 10; term++ {
			time.Sleep(200 * time.Millisecond)
			a, b := members[random.Intn(3)], members[random.Intn(3)]
			a.CutReplication(b.Name())
			time.Sleep(50 * time.Millisecond)
			failover(members, term, random.Intn(3))
			a.RestoreReplication(b.Name())
		}
		time.Sleep(200 * time.Millisecond)
		stop()
		writers.Wait()
		Expect(acknowledged.Load()).To(BeNumerically(">", 100))
		Eventually(func(g Gomega) {
			first := members[0].Status()
			for _, m := range members {
				s := m.Status()
				g.Expect([]uint64{s.CurrentTerm, s.Received, s.Applied}).
					To(Equal([]uint64{first.CurrentTerm, first.Received, first.Received}))
			}
		}).WithTimeout(2 * maxWait).Should(Succeed())
		want := readRowSet(members[0])
		for _, m := range members[1:] {
			Expect(readRowSet(m)).To(Equal(want), m.Name())
		}
		confirmedWrites.Range(func(n, p any) bool {
			Expect(want).To(HaveKey(n), "the confirmed write at %v is lost", p)
			return true
		})
	})
})

func readRowSet(m *member.Member) map[int64]bool {
	rows, err := connect(m).Query(testContext(), "SELECT n FROM t")
	Expect(err).NotTo(HaveOccurred())
	set := map[int64]bool{}
	for rows.Next() {
		var n int64
		Expect(rows.Scan(&n)).To(Succeed())
		set[n] = true
	}
	Expect(rows.Err()).NotTo(HaveOccurred())
	return set
}
