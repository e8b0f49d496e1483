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
	// Guards against replicas that miss schema or data, and against a position
	// report that names another entry than the commit's.
	It("replicates what a transaction changed", func() {
		members := startThree(member.Options{})
		c := connect(members[0])
		exec(c, "CREATE TABLE stock (sku TEXT PRIMARY KEY, n INTEGER)")
		exec(c, "INSERT INTO stock VALUES ($1, $2)", "chain", 7)
		p := position(c)
		Expect(p).To(Equal(group.Position{Term: 1, Index: 3}))
		for _, m := range members {
			caughtUp(m, p)
			Expect(count(connect(m), "stock")).To(Equal(1))
			s := mustCall(control(m), group.WaitSQL(p, patience))
			Expect(s.Confirms(p)).To(BeTrue(), "%+v", s)
			Expect(s.TermStart).To(BeEquivalentTo(1))
		}
	})

	// Guards against a position for a transaction that changed nothing: a relay
	// would wait for an entry that never comes.
	It("makes no entry for a transaction without changes", func() {
		m := startOne(member.Options{})
		c := connect(m)
		exec(c, "CREATE TABLE t (n INTEGER)")
		before := m.Status().Received
		exec(c, "UPDATE t SET n = 1")
		exec(c, "BEGIN")
		exec(c, "INSERT INTO t VALUES (1)")
		exec(c, "ROLLBACK")
		Expect(m.Status().Received).To(Equal(before))
	})

	// Guards against two instances promising themselves the same term.
	It("promises a term to one owner", func() {
		m := startOne(member.Options{})
		c := control(m)
		s := mustCall(c, group.FenceSQL(5, "x's"))
		Expect(s.PromisedTerm).To(BeEquivalentTo(5))
		Expect(s.PromisedOwner).To(Equal("x's"))
		mustCall(c, group.FenceSQL(5, "x's"))
		for _, sql := range []string{
			group.FenceSQL(5, "y"), group.FenceSQL(4, "x's"), group.PromoteSQL(5, "y"), group.PromoteSQL(6, "x's"),
		} {
			_, err := call(c, sql)
			Expect(code(err)).To(Equal("55000"), sql)
			Expect(err.(*pgconn.PgError).Detail).To(Equal("5"))
		}
	})

	// Guards against an acknowledgement by a primary that has been replaced.
	It("fails commits on a fenced primary and rolls back", func() {
		m := startOne(member.Options{})
		c := connect(m)
		exec(c, "CREATE TABLE t (n INTEGER)")
		exec(c, "BEGIN")
		exec(c, "INSERT INTO t VALUES (1)")
		mustCall(control(m), group.FenceSQL(2, "x"))
		_, err := c.Exec(testContext(), "COMMIT")
		Expect(code(err)).To(Equal("25006"))
		Expect(c.PgConn().TxStatus()).To(Equal(byte('I')))
		Expect(count(c, "t")).To(Equal(0))
		_, err = c.Exec(testContext(), "INSERT INTO t VALUES (2)")
		Expect(code(err)).To(Equal("25006"))
	})

	It("refuses writes on a replica", func() {
		members := startThree(member.Options{})
		_, err := connect(members[1]).Exec(testContext(), "CREATE TABLE t (n INTEGER)")
		Expect(code(err)).To(Equal("25006"))
	})

	// Guards against entries of a replaced primary that survive on it, against a
	// reader that sees them after the change of term, and against an incarnation
	// that does not tell of the loss.
	It("discards the entries that a new primary does not have", func() {
		members := startThree(member.Options{})
		old, next := members[0], members[1]
		c := connect(old)
		exec(c, "CREATE TABLE t (n INTEGER)")
		caughtUp(next, position(c))
		caughtUp(members[2], position(c))
		old.CutReplication("m2")
		old.CutReplication("m3")
		exec(c, "INSERT INTO t VALUES (1)")
		lost := position(c)
		oldIncarnation := old.Status().Incarnation
		for _, m := range members[1:] {
			mustCall(control(m), group.FenceSQL(2, "x"))
		}
		s := mustCall(control(next), group.PromoteSQL(2, "x"))
		Expect(s.TermStart).To(Equal(lost.Index))
		Expect(s.PreviousTerm).To(BeEquivalentTo(1))
		Expect(s.Confirms(group.Position{Term: 2, Index: s.TermStart})).To(BeTrue())
		// A repeated call has the same result, as the first answer may be lost.
		Expect(mustCall(control(next), group.PromoteSQL(2, "x")).Received).To(Equal(s.Received))
		exec(connect(next), "INSERT INTO t VALUES (2), (3)")
		old.RestoreReplication("m2")
		old.RestoreReplication("m3")
		caughtUp(members[2], lost)
		Eventually(func() group.Status { return old.Status() }).WithTimeout(patience).Should(And(
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

	// Guards against a confirmation by a member that has promised a later term,
	// and against a wait that hides the promise.
	It("ends a wait when a higher term is promised", func() {
		members := startThree(member.Options{})
		c := connect(members[0])
		exec(c, "CREATE TABLE t (n INTEGER)")
		p := position(c)
		caughtUp(members[1], p)
		waiting := make(chan group.Status)
		conn, other := control(members[1]), control(members[1])
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
		Expect(time.Since(start)).To(BeNumerically("<", patience))
		// The fenced member takes nothing more from the primary of term 1.
		exec(c, "INSERT INTO t VALUES (1)")
		caughtUp(members[2], position(c))
		Expect(members[1].Status().Received).To(Equal(p.Index))
		Eventually(func() time.Duration { return members[1].Status().PrimaryContact }).
			WithTimeout(patience).Should(BeNumerically(">", 500*time.Millisecond))
	})

	// Guards against a lag that delays receiving, which confirms commits, and
	// against a promotion that loses received entries that are not applied yet.
	It("applies after the lag, but receives at once and promotes with everything", func() {
		members := startThree(member.Options{ApplyLag: time.Hour})
		c := connect(members[0])
		exec(c, "CREATE TABLE t (n INTEGER)")
		p := position(c)
		s := mustCall(control(members[1]), group.WaitSQL(p, patience))
		Expect(s.Confirms(p)).To(BeTrue())
		Expect(s.Applied).To(BeZero())
		for _, m := range members[1:] {
			mustCall(control(m), group.FenceSQL(2, "x"))
		}
		s = mustCall(control(members[1]), group.PromoteSQL(2, "x"))
		Expect(s.Applied).To(Equal(p.Index + 1))
		Expect(count(connect(members[1]), "t")).To(BeZero())
		members[2].SetLag(0)
		caughtUp(members[2], group.Position{Index: p.Index + 1})
	})

	// Guards against a slow statement that holds up every replica once more.
	It("does not repeat the sleep of a replicated statement", func() {
		members := startThree(member.Options{})
		c := connect(members[0])
		exec(c, "CREATE TABLE t (n INTEGER)")
		exec(c, "INSERT INTO t VALUES (sleep_ms(400))")
		committed := time.Now()
		caughtUp(members[1], position(c))
		Expect(time.Since(committed)).To(BeNumerically("<", 300*time.Millisecond))
	})

	// Guards against a promise or a log that a restart forgets.
	It("keeps promise and log over a restart and changes its incarnation", func() {
		dir := GinkgoT().TempDir()
		m := startOne(member.Options{Directory: dir})
		c := connect(m)
		exec(c, "CREATE TABLE t (n INTEGER)")
		for i := range 10 {
			exec(c, "INSERT INTO t VALUES ($1)", i)
		}
		mustCall(control(m), group.FenceSQL(4, "x"))
		before := m.Status()
		m.Close()
		after := startOne(member.Options{Directory: dir})
		s := after.Status()
		Expect(s.Incarnation).NotTo(Equal(before.Incarnation))
		s.Incarnation = before.Incarnation
		Expect(s).To(Equal(before))
		Expect(count(connect(after), "t")).To(Equal(10))
	})

	// Guards against a control call that waits behind statements: a busy primary
	// would look dead.
	It("answers control calls while slots and connections are used up", func() {
		m := startOne(member.Options{Slots: 1, MaxConnections: 2})
		busy, queued := connect(m), connect(m)
		done := make(chan error, 2)
		go func() { _, err := busy.Exec(testContext(), "SELECT sleep_ms(600)"); done <- err }()
		time.Sleep(50 * time.Millisecond)
		start := time.Now()
		go func() { _, err := queued.Exec(testContext(), "SELECT 1"); done <- err }()
		conn := control(m)
		mustCall(conn, group.StatusSQL())
		Expect(time.Since(start)).To(BeNumerically("<", 300*time.Millisecond))
		_, err := pgconn.Connect(testContext(), "postgres://app@"+m.Addr()+"/x?sslmode=disable")
		Expect(fmt.Sprint(err)).To(ContainSubstring("53300"))
		Expect(<-done).To(Succeed())
		Expect(<-done).To(Succeed())
		Expect(time.Since(start)).To(BeNumerically(">", 400*time.Millisecond), "the second statement did not wait for the slot")
	})

	// Guards against clients that fence or promote through a pooled connection.
	It("takes control calls on control connections only", func() {
		m := startOne(member.Options{})
		_, err := connect(m).Exec(testContext(), group.FenceSQL(7, "x"))
		Expect(code(err)).To(Equal("42501"))
		_, err = call(control(m), "SELECT 1")
		Expect(code(err)).To(Equal("42501"))
	})
})
