package member_test

import (
	"context"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/mulberrysill/mulberrysill/standin/member"
)

// benchmarkMember runs the statement on several concurrent connections to a primary
// with two replicas.
func benchmarkMember(b *testing.B, connections int, sql string) {
	members, err := member.StartGroup("m", 3, member.Options{Group: "g", ConnectCost: -1})
	if err != nil {
		b.Fatal(err)
	}
	defer member.CloseAll(members)
	ctx := context.Background()
	var conns []*pgx.Conn
	for range connections {
		conn, err := pgx.Connect(ctx, "postgres://app@"+members[0].Addr()+"/d?sslmode=disable")
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = conn.Close(ctx) }()
		conns = append(conns, conn)
	}
	if _, err := conns[0].Exec(ctx, "CREATE TABLE t (n INTEGER PRIMARY KEY, k INTEGER)"); err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	var work sync.WaitGroup
	for i, conn := range conns {
		work.Go(func() {
			for n := i; n < b.N; n += connections {
				if _, err := conn.Exec(ctx, sql, n); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	work.Wait()
}

func BenchmarkInsert(b *testing.B) { benchmarkMember(b, 6, "INSERT INTO t VALUES ($1, 1)") }
func BenchmarkSelect(b *testing.B) { benchmarkMember(b, 6, "SELECT k FROM t WHERE n = $1") }
