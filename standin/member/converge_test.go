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

// confirmed waits for a majority of the members to confirm the position.
func confirmed(members []*member.Member, p group.Position) bool {
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

// failover fences two members and promotes the more advanced one.
func failover(members []*member.Member, term uint64, spared int) {
	var best *member.Member
	owner := fmt.Sprintf("owner-%d", term)
	for i, m := range members {
		if i == spared {
			continue
		}
		if _, err := call(control(m), group.FenceSQL(term, owner)); err != nil {
			return
		}
		if best == nil || m.Status().ReceivedPosition().Compare(best.Status().ReceivedPosition()) > 0 {
			best = m
		}
	}
	_, _ = call(control(best), group.PromoteSQL(term, owner))
}

var _ = Describe("a group under changes of primary", func() {
	// Guards against confirmed writes that a change of primary loses, and against
	// members whose contents differ once the group is at rest.
	It("keeps every confirmed write and converges", func() {
		members := startThree(member.Options{ApplyLag: 5 * time.Millisecond})
		exec(connect(members[0]), "CREATE TABLE t (n INTEGER PRIMARY KEY)")
		caughtUp(members[2], group.Position{Index: 2})
		random := rand.New(rand.NewSource(GinkgoRandomSeed()))
		ctx, stop := context.WithCancel(context.Background())
		var kept sync.Map
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
						if err == nil && confirmed(members, p) {
							kept.Store(n, p)
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
		}).WithTimeout(2 * patience).Should(Succeed())
		want := rowSet(members[0])
		for _, m := range members[1:] {
			Expect(rowSet(m)).To(Equal(want), m.Name())
		}
		kept.Range(func(n, p any) bool {
			Expect(want).To(HaveKey(n), "the confirmed write at %v is lost", p)
			return true
		})
	})
})

func rowSet(m *member.Member) map[int64]bool {
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
