package member_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/standin/member"
)

var _ = Describe("database group contract", func() {
	// Guards against replicas that lack schema or data changes, and against a reported
	// position that is not that of the commit's entry.
	It("replicates what a transaction changed", func() {
		members := startGroupOfThree(member.Options{})
		c := connect(members[0])
		exec(c, "CREATE TABLE stock (sku TEXT PRIMARY KEY, n INTEGER)")
		exec(c, "INSERT INTO stock VALUES ($1, $2)", "chain", 7)
		p := position(c)
		Expect(p).To(Equal(group.Position{Term: 1, Index: 3}))
		for _, m := range members {
			expectApplied(m, p)
			Expect(count(connect(m), "stock")).To(Equal(1))
			s := mustCall(connectControl(m), group.WaitSQL(p, maxWait))
			Expect(s.Confirms(p)).To(BeTrue(), "%+v", s)
			Expect(s.TermStart).To(BeEquivalentTo(1))
		}
	})

	// Guards against a position report for a transaction that changed nothing: a relay
	// would wait for an entry that never arrives.
	It("appends no entry for a transaction without changes", func() {
		m := startPrimary(member.Options{})
		c := connect(m)
		exec(c, "CREATE TABLE t (n INTEGER)")
		before := m.Status().Received
		exec(c, "UPDATE t SET n = 1")
		exec(c, "BEGIN")
		exec(c, "INSERT INTO t VALUES (1)")
		exec(c, "ROLLBACK")
		Expect(m.Status().Received).To(Equal(before))
	})

	// Guards against two instances that both get the promise of the same term.
	It("promises a term to one owner", func() {
		m := startPrimary(member.Options{})
		c := connectControl(m)
		s := mustCall(c, group.FenceSQL(5, "x's"))
		Expect(s.PromisedTerm).To(BeEquivalentTo(5))
		Expect(s.PromisedOwner).To(Equal("x's"))
		mustCall(c, group.FenceSQL(5, "x's"))
		for _, sql := range []string{
			group.FenceSQL(5, "y"), group.FenceSQL(4, "x's"), group.PromoteSQL(5, "y"), group.PromoteSQL(6, "x's"),
		} {
			_, err := call(c, sql)
			Expect(sqlState(err)).To(Equal("55000"), sql)
			Expect(err.(*pgconn.PgError).Detail).To(Equal("5"))
		}
	})

	// Guards against a replaced primary that still acknowledges commits.
	It("fails commits on a fenced primary and rolls back", func() {
		m := startPrimary(member.Options{})
		c := connect(m)
		exec(c, "CREATE TABLE t (n INTEGER)")
		exec(c, "BEGIN")
		exec(c, "INSERT INTO t VALUES (1)")
		mustCall(connectControl(m), group.FenceSQL(2, "x"))
		_, err := c.Exec(testContext(), "COMMIT")
		Expect(sqlState(err)).To(Equal("25006"))
		Expect(c.PgConn().TxStatus()).To(Equal(byte('I')))
		Expect(count(c, "t")).To(Equal(0))
		_, err = c.Exec(testContext(), "INSERT INTO t VALUES (2)")
		Expect(sqlState(err)).To(Equal("25006"))
	})

	It("rejects writes on a replica", func() {
		members := startGroupOfThree(member.Options{})
		_, err := connect(members[1]).Exec(testContext(), "CREATE TABLE t (n INTEGER)")
		Expect(sqlState(err)).To(Equal("25006"))
	})

	// Guards against a replaced primary that keeps entries which the new primary does
	// not have, against open connections that still read them after the change of term,
	// and against an incarnation that does not change with the loss.
	It("discards the entries that a new primary does not have", func() {
		members := startGroupOfThree(member.Options{})
		old, next := members[0], members[1]
		c := connect(old)
		exec(c, "CREATE TABLE t (n INTEGER)")
		expectApplied(next, position(c))
		expectApplied(members[2], position(c))
		old.CutReplication("m2")
		old.CutReplication("m3")
		exec(c, "INSERT INTO t VALUES (1)")
		lost := position(c)
		oldIncarnation := old.Status().Incarnation
		for _, m := range members[1:] {
			mustCall(connectControl(m), group.FenceSQL(2, "x"))
		}
		s := mustCall(connectControl(next), group.PromoteSQL(2, "x"))
		Expect(s.TermStart).To(Equal(lost.Index))
		Expect(s.PreviousTerm).To(BeEquivalentTo(1))
		Expect(s.Confirms(group.Position{Term: 2, Index: s.TermStart})).To(BeTrue())
		// A repeated call has the same result, as the first response may be lost.
		Expect(mustCall(connectControl(next), group.PromoteSQL(2, "x")).Received).To(Equal(s.Received))
		exec(connect(next), "INSERT INTO t VALUES (2), (3)")
		old.RestoreReplication("m2")
		old.RestoreReplication("m3")
		expectApplied(members[2], lost)
		Eventually(func() group.Status { return old.Status() }).WithTimeout(maxWait).Should(And(
			HaveField("Role", group.Replica), HaveField("CurrentTerm", BeEquivalentTo(2)),
			HaveField("Applied", Equal(next.Status().Applied))))
		Expect(old.Status().Incarnation).To(BeNumerically(">", oldIncarnation))
		Expect(c.Ping(testContext())).NotTo(Succeed())
		var values []int64
		Expect(connect(old).QueryRow(testContext(), "SELECT sum(n), count(*) FROM t").Scan(new(int64), new(int64))).To(Succeed())
		rows, err := connect(old).Query(testContext(), "SELECT n FROM t ORDER BY n")
		Expect(err).NotTo(HaveOccurred())
		for rows.Next() {
			var n int64
			Expect(rows.Scan(&n)).To(Succeed())
			values = append(values, n)
		}
		Expect(values).To(Equal([]int64{2, 3}))
	})

	// Guards against a member that confirms a position after it promised a higher term,
	// and against a wait that delays the report of the promise.
	It("ends a wait when a higher term is promised", func() {
		members := startGroupOfThree(member.Options{})
		c := connect(members[0])
		exec(c, "CREATE TABLE t (n INTEGER)")
		p := position(c)
		expectApplied(members[1], p)
		waiting := make(chan group.Status)
		conn, other := connectControl(members[1]), connectControl(members[1])
		start := time.Now()
		go func() {
			defer GinkgoRecover()
			waiting <- mustCall(conn, group.WaitSQL(group.Position{Term: 1, Index: p.Index + 1}, 10*time.Second))
		}()
		time.Sleep(50 * time.Millisecond)
		mustCall(other, group.FenceSQL(9, "x"))
		s := <-waiting
		Expect(s.PromisedTerm).To(BeEquivalentTo(9))
		Expect(s.Confirms(p)).To(BeFalse())
		Expect(time.Since(start)).To(BeNumerically("<", maxWait))
		// The fenced member accepts no more entries from the primary of term 1.
		exec(c, "INSERT INTO t VALUES (1)")
		expectApplied(members[2], position(c))
		Expect(members[1].Status().Received).To(Equal(p.Index))
		Eventually(func() time.Duration { return members[1].Status().PrimaryContact }).
			WithTimeout(maxWait).Should(BeNumerically(">", 500*time.Millisecond))
	})

	// Guards against a lag that delays the receipt of entries, on which the confirmation
	// of commits depends, and against a promotion that loses unapplied entries.
	It("applies entries after the lag, but receives them at once and applies all of them on promotion", func() {
		members := startGroupOfThree(member.Options{ApplyLag: time.Hour})
		c := connect(members[0])
		exec(c, "CREATE TABLE t (n INTEGER)")
		p := position(c)
		s := mustCall(connectControl(members[1]), group.WaitSQL(p, maxWait))
		Expect(s.Confirms(p)).To(BeTrue())
		Expect(s.Applied).To(BeZero())
		for _, m := range members[1:] {
			mustCall(connectControl(m), group.FenceSQL(2, "x"))
		}
		s = mustCall(connectControl(members[1]), group.PromoteSQL(2, "x"))
		Expect(s.Applied).To(Equal(p.Index + 1))
		Expect(count(connect(members[1]), "t")).To(BeZero())
		members[2].SetLag(0)
		expectApplied(members[2], group.Position{Index: p.Index + 1})
	})

	// Guards against a slow statement that delays every replica by its duration again.
	It("does not repeat the sleep of a replicated statement", func() {
		members := startGroupOfThree(member.Options{})
		c := connect(members[0])
		exec(c, "CREATE TABLE t (n INTEGER)")
		exec(c, "INSERT INTO t VALUES (sleep_ms(400))")
		committed := time.Now()
		expectApplied(members[1], position(c))
		Expect(time.Since(committed)).To(BeNumerically("<", 300*time.Millisecond))
	})

	// Guards against a restart that loses the promise or the log.
	It("keeps promise and log over a restart and changes its incarnation", func() {
		dir := GinkgoT().TempDir()
		m := startPrimary(member.Options{Directory: dir})
		c := connect(m)
		exec(c, "CREATE TABLE t (n INTEGER)")
		for i := range 10 {
			exec(c, "INSERT INTO t VALUES ($1)", i)
		}
		mustCall(connectControl(m), group.FenceSQL(4, "x"))
		before := m.Status()
		m.Close()
		after := startPrimary(member.Options{Directory: dir})
		s := after.Status()
		Expect(s.Incarnation).NotTo(Equal(before.Incarnation))
		s.Incarnation = before.Incarnation
		Expect(s).To(Equal(before))
		Expect(count(connect(after), "t")).To(Equal(10))
	})

	// Guards against control calls that queue behind statements: a busy primary would
	// appear to be down.
	It("executes control calls while all slots and connections are in use", func() {
		m := startPrimary(member.Options{Slots: 1, MaxConnections: 2})
		busy, queued := connect(m), connect(m)
		done := make(chan error, 2)
		go func() { _, err := busy.Exec(testContext(), "SELECT sleep_ms(600)"); done <- err }()
		time.Sleep(50 * time.Millisecond)
		start := time.Now()
		go func() { _, err := queued.Exec(testContext(), "SELECT 1"); done <- err }()
		conn := connectControl(m)
		mustCall(conn, group.StatusSQL())
		Expect(time.Since(start)).To(BeNumerically("<", 300*time.Millisecond))
		_, err := pgconn.Connect(testContext(), "postgres://app@"+m.Addr()+"/x?sslmode=disable")
		Expect(fmt.Sprint(err)).To(ContainSubstring("53300"))
		Expect(<-done).To(Succeed())
		Expect(<-done).To(Succeed())
		Expect(time.Since(start)).To(BeNumerically(">", 400*time.Millisecond), "the second statement did not wait for the slot")
	})

	// Guards against clients that fence or promote a member through their connections.
	It("accepts control calls on control connections only", func() {
		m := startPrimary(member.Options{})
		_, err := connect(m).Exec(testContext(), group.FenceSQL(7, "x"))
		Expect(sqlState(err)).To(Equal("42501"))
		_, err = call(connectControl(m), "SELECT 1")
		Expect(sqlState(err)).To(Equal("42501"))
	})
})
