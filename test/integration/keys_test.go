package integration_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/standin/member"
	"github.com/mulberrysill/mulberrysill/standin/stack"
)

// withUser returns the connection string for another user and password.
func withUser(text string, user *url.Userinfo) string {
	GinkgoHelper()
	u, err := url.Parse(text)
	Expect(err).NotTo(HaveOccurred())
	u.User = user
	return u.String()
}

// keyOf returns the key in a connection string.
func keyOf(text string) string {
	GinkgoHelper()
	u, err := url.Parse(text)
	Expect(err).NotTo(HaveOccurred())
	key, _ := u.User.Password()
	Expect(key).NotTo(BeEmpty())
	return key
}

var _ = Describe("keys, routes and responses", Ordered, func() {
	var s *stack.Stack
	var entry *stack.Instance
	var members []*member.Member // of the group "recorded"; they run in this process
	var log *gbytes.Buffer

	BeforeAll(func(ctx SpecContext) {
		log = gbytes.NewBuffer()
		s = startStack(ctx, stack.Options{Instances: 3, Log: log, Workspaces: []bundle.Workspace{
			{Name: "utileria", Rate: 5000, Burst: 1000}, {Name: "taller", Rate: 5000, Burst: 1000},
		}})
		entry = s.Instances[0]
		var err error
		members, err = member.StartGroup("recorded-", 3, member.Options{Group: "recorded", RecordTraffic: true})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { member.CloseAll(members) })
		_, err = s.Publish(ctx, func(spec *bundle.Spec) {
			g := bundle.Group{Name: "recorded"}
			for i, m := range members {
				g.Members = append(g.Members, bundle.Member{
					Name: m.Status().Member, Server: spec.BackendServers[i].Name, Address: m.Addr(), Connections: 20, Slots: 3,
				})
			}
			spec.Groups = append(spec.Groups, g)
			spec.Routes = append(spec.Routes,
				bundle.Route{Name: "own", Group: "recorded", Database: "app", Access: bundle.ReadWrite, Workspaces: []string{"taller"}},
				bundle.Route{Name: "catalogue", Group: "recorded", Database: "app", Access: bundle.ReadOnly, Open: true, Rate: 1000, Burst: 200})
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.AwaitActive(ctx, s.Spec().Version)).To(Succeed())
		owner := connect(ctx, s.URL(entry, "taller", "own"))
		Eventually(func() error {
			_, err := exec(ctx, owner, "CREATE TABLE IF NOT EXISTS stock (n int)")
			return err
		}).WithTimeout(10 * time.Second).Should(Succeed())
	})

	expectRejected := func(ctx context.Context, text, code string) {
		GinkgoHelper()
		_, err := pgconn.Connect(ctx, text)
		Expect(err).To(HaveOccurred())
		Expect(sqlState(err)).To(Equal(code), "%v", err)
		Expect(outcome(err)).To(Equal("not run"))
	}

	// Guards against requests that run for a workspace without its key.
	It("rejects a wrong key, another workspace's key and another workspace's route (P4)", func(ctx SpecContext) {
		text := s.URL(entry, "utileria", "g1")
		expectRejected(ctx, withUser(text, url.UserPassword("utileria", "wrong")), "28P01")
		expectRejected(ctx, withUser(text, url.UserPassword("utileria", keyOf(s.URL(entry, "taller", "g1")))), "28P01")
		expectRejected(ctx, withUser(text, url.UserPassword("nobody", keyOf(text))), "28P01")
		expectRejected(ctx, s.URL(entry, "utileria", "own"), "3D000")
		expectRejected(ctx, s.URL(entry, "utileria", "nowhere"), "3D000")
		mustExec(ctx, connect(ctx, s.URL(entry, "taller", "own")), "SELECT 1")
	}, SpecTimeout(time.Minute))

	// Guards against an open route that requires a key, or that permits writes
	// or access to other routes.
	It("serves reads and nothing else on an open route (P4)", func(ctx SpecContext) {
		conn := connect(ctx, s.URL(entry, "", "catalogue"))
		mustExec(ctx, conn, "SELECT count(*) FROM stock")
		for _, sql := range []string{
			"INSERT INTO stock VALUES (1)",
			"BEGIN READ WRITE; INSERT INTO stock VALUES (2); COMMIT",
			"SET default_transaction_read_only = off; INSERT INTO stock VALUES (3)",
		} {
			other := connect(ctx, s.URL(entry, "", "catalogue"))
			_, err := exec(ctx, other, sql)
			Expect(sqlState(err)).To(Equal("25006"), "%s: %v", sql, err)
		}
		owner := connect(ctx, s.URL(entry, "taller", "own"))
		Expect(mustExec(ctx, owner, "SELECT count(*) FROM stock")).To(Equal([][]string{{"0"}}))
		_, err := pgconn.Connect(ctx, s.URL(entry, "", "own"))
		Expect(err).To(HaveOccurred())
	}, SpecTimeout(time.Minute))

	// Guards against responses that reach the wrong client or arrive in the wrong
	// order while clients on the same member connections cancel and disconnect.
	It("delivers every large response and pipeline completely (P9)", func(ctx SpecContext) {
		const clients, rounds, rows, requests = 6, 5, 3000, 40
		runCtx, stop := context.WithCancel(ctx)
		var disconnecting, done sync.WaitGroup
		large := func(mark int) string {
			return fmt.Sprintf("WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM c WHERE x < %d) SELECT x, printf('%%0200d', x + %d) FROM c", rows, mark)
		}
		for i := range 3 {
			disconnecting.Go(func() {
				for n := 0; runCtx.Err() == nil; n++ {
					// The deadline disconnects the client in the middle of a response.
					cutCtx, cancel := context.WithTimeout(runCtx, time.Duration(5+n%20)*time.Millisecond)
					if conn, err := pgconn.Connect(runCtx, s.URL(entry, "taller", "own")); err == nil {
						_, _ = exec(cutCtx, conn, large(-i))
						_ = conn.Close(ctx)
					}
					cancel()
				}
			})
		}
		failures := make([]error, clients)
		for i := range clients {
			conn := connect(ctx, s.URL(entry, "taller", "own"))
			done.Go(func() {
				for n := 0; n < rounds && failures[i] == nil; n++ {
					mark := (i+1)*1_000_000 + n*10_000
					if failures[i] = checkLarge(ctx, conn, large(mark), mark, rows); failures[i] == nil {
						failures[i] = checkPipeline(ctx, conn, mark, requests)
					}
				}
			})
		}
		done.Wait()
		stop()
		disconnecting.Wait()
		Expect(failures).To(HaveEach(BeNil()))
	}, SpecTimeout(time.Minute))

	// Guards against keys, or credentials derived from them, in traffic to members
	// or in logs. This spec runs last, after all kinds of traffic.
	It("sends no key to a member and writes none to the logs (P5)", func(ctx SpecContext) {
		var secrets [][]byte
		for _, w := range s.Spec().Workspaces {
			secrets = append(secrets, []byte(keyOf(s.URL(entry, w.Name, "g1"))))
			for _, k := range w.Keys {
				for _, text := range []string{k.StoredKey, k.ServerKey} {
					raw, err := base64.StdEncoding.DecodeString(text)
					Expect(err).NotTo(HaveOccurred())
					secrets = append(secrets, []byte(text), raw)
				}
			}
		}
		check := func(what string, data []byte) {
			GinkgoHelper()
			for _, secret := range secrets {
				Expect(bytes.Contains(data, secret)).To(BeFalse(), what)
			}
		}
		for _, m := range members {
			for _, data := range m.ReceivedBytes() {
				check("bytes to "+m.Status().Member, data)
			}
			for _, parameters := range m.StartupParameters() {
				Expect(parameters["user"]).NotTo(BeElementOf("utileria", "taller"))
			}
		}
		Expect(bytes.Join(members[0].ReceivedBytes(), nil)).To(ContainSubstring("CREATE TABLE IF NOT EXISTS stock"), "traffic to members is recorded")
		Expect(log.Contents()).NotTo(BeEmpty())
		check("logs", log.Contents())
	}, SpecTimeout(time.Minute))
})

// checkLarge compares a large response with the expected rows.
func checkLarge(ctx context.Context, conn *pgconn.PgConn, sql string, mark, rows int) error {
	got, err := exec(ctx, conn, sql)
	if err != nil {
		return err
	}
	if len(got) != rows {
		return fmt.Errorf("%d rows instead of %d", len(got), rows)
	}
	for i, row := range got {
		if want := fmt.Sprintf("%0200d", i+1+mark); row[0] != fmt.Sprint(i+1) || row[1] != want {
			return fmt.Errorf("row %d is %v instead of %s", i+1, row, want)
		}
	}
	return nil
}

// checkPipeline sends pipelined requests and checks each response.
func checkPipeline(ctx context.Context, conn *pgconn.PgConn, mark, requests int) error {
	pipeline := conn.StartPipeline(ctx)
	for i := range requests {
		pipeline.SendQueryParams("SELECT $1", [][]byte{fmt.Append(nil, mark+i)}, nil, nil, nil)
		if err := pipeline.Sync(); err != nil {
			return err
		}
	}
	for i := range requests {
		result, err := pipeline.GetResults()
		if err != nil {
			return err
		}
		reader, ok := result.(*pgconn.ResultReader)
		if !ok {
			return fmt.Errorf("response %d is %T", i, result)
		}
		read := reader.Read()
		if read.Err != nil {
			return read.Err
		}
		if len(read.Rows) != 1 || string(read.Rows[0][0]) != fmt.Sprint(mark+i) {
			return fmt.Errorf("response %d is %q instead of %d", i, read.Rows, mark+i)
		}
		if result, err = pipeline.GetResults(); err != nil {
			return err
		}
		if _, ok := result.(*pgconn.PipelineSync); !ok {
			return fmt.Errorf("end of response %d is %T", i, result)
		}
	}
	return pipeline.Close()
}
