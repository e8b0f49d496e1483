package frontend

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

// scriptedServer answers each Query and Sync with the same bytes. It does not
// allocate.
func scriptedServer(b *testing.B, answer []byte) net.Conn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		in := newFrameReader(conn, 1<<20)
		for {
			f, err := in.next()
			if err != nil {
				return
			}
			if k := f.kind(); k != 'Q' && k != 'S' {
				continue
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
		}
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	return conn
}

// singleGroup always returns the same connection.
type singleGroup struct {
	testGroup
	conn *singleConn
}

func (g *singleGroup) Acquire(context.Context, Request) (Conn, error) { return g.conn, nil }

type singleConn struct{ testConn }

func (c *singleConn) Release(bool) {}

// dialThroughProxy returns a client connection that leads through a frontend to
// the server.
func dialThroughProxy(b *testing.B, server net.Conn) net.Conn {
	b.Helper()
	conn := &singleConn{testConn{conn: server, fe: pgproto3.NewFrontend(server, server), prepared: map[string]struct{}{}}}
	policy := &testPolicy{group: &singleGroup{conn: conn}}
	compiled, err := bundle.Compile(testSpec(), "digest")
	if err != nil {
		b.Fatal(err)
	}
	policy.bundle.Store(compiled)
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	frontend, err := New(Config{Instance: "i1", Policy: policy, Log: silent})
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go frontend.Serve(listener)
	b.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = frontend.Drain(ctx)
	})
	return login(b, listener.Addr().String())
}

// testReporter is the common part of testing.TB and GinkgoT.
type testReporter interface {
	Fatal(...any)
	Cleanup(func())
}

// login starts a session on the open route.
func login(b testReporter, address string) net.Conn {
	client, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { client.Close() })
	if _, err := client.Write(packet(3<<16, "user", "nobody", "database", "catalog")); err != nil {
		b.Fatal(err)
	}
	in := newFrameReader(client, 1<<20)
	awaitReady(b, &in)
	return client
}

func awaitReady(b testReporter, in *frameReader) {
	for {
		f, err := in.next()
		if err != nil {
			b.Fatal(err)
		}
		if f.kind() == 'Z' {
			return
		}
	}
}

func encode(b testReporter, messages ...pgproto3.Message) []byte {
	var bytes []byte
	for _, m := range messages {
		var err error
		if bytes, err = m.Encode(bytes); err != nil {
			b.Fatal(err)
		}
	}
	return bytes
}

func rowsAnswer(b testing.TB, n int) []byte {
	messages := []pgproto3.Message{&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v")}}}}
	for range n {
		messages = append(messages, &pgproto3.DataRow{Values: [][]byte{make([]byte, 100)}})
	}
	return encode(b, append(messages, &pgproto3.CommandComplete{CommandTag: []byte("SELECT")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})...)
}

// BenchmarkRequest measures a request for one row, directly and through the frontend.
// The difference is the latency that the frontend adds.
func BenchmarkRequest(b *testing.B) {
	query := encode(b, &pgproto3.Query{String: "SELECT v FROM t WHERE id = 1"})
	for _, through := range []bool{false, true} {
		b.Run(fmt.Sprintf("proxy=%v", through), func(b *testing.B) {
			conn := scriptedServer(b, rowsAnswer(b, 1))
			if through {
				conn = dialThroughProxy(b, conn)
			}
			in := newFrameReader(conn, 1<<20)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(query); err != nil {
					b.Fatal(err)
				}
				awaitReady(b, &in)
			}
		})
	}
}

// BenchmarkRows measures the messages from the server to the client, in answers of
// 10,000 rows of 100 bytes. One operation is one row.
func BenchmarkRows(b *testing.B) {
	const rows = 10_000
	query := encode(b, &pgproto3.Query{String: "SELECT v FROM t"})
	conn := dialThroughProxy(b, scriptedServer(b, rowsAnswer(b, rows)))
	in := newFrameReader(conn, 1<<20)
	b.ReportAllocs()
	b.SetBytes(100)
	b.ResetTimer()
	for n := 0; n < b.N; n += rows {
		if _, err := conn.Write(query); err != nil {
			b.Fatal(err)
		}
		awaitReady(b, &in)
	}
}

// BenchmarkBind measures the messages from the client to the server, in
// pipelines of 300 messages (Bind, Describe, Execute). One operation is one message.
func BenchmarkBind(b *testing.B) {
	const messages = 300
	var pipeline []byte
	for range messages / 3 {
		pipeline = append(pipeline, encode(b, &pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("12345678")}},
			&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{})...)
	}
	pipeline = append(pipeline, encode(b, &pgproto3.Sync{})...)
	var answers []pgproto3.Message
	for range messages / 3 {
		answers = append(answers, &pgproto3.BindComplete{}, &pgproto3.NoData{}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")})
	}
	conn := dialThroughProxy(b, scriptedServer(b, encode(b, append(answers, &pgproto3.ReadyForQuery{TxStatus: 'I'})...)))
	in := newFrameReader(conn, 1<<20)
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += messages {
		if _, err := conn.Write(pipeline); err != nil {
			b.Fatal(err)
		}
		awaitReady(b, &in)
	}
}

// BenchmarkCopyIn measures CopyData messages of 1 KB from the client.
func BenchmarkCopyIn(b *testing.B) {
	server := scriptedServer(b, encode(b, &pgproto3.CopyInResponse{}))
	conn := dialThroughProxy(b, server)
	data := binary.BigEndian.AppendUint32([]byte{'d'}, 4+1024)
	data = append(data, make([]byte, 1024)...)
	if _, err := conn.Write(encode(b, &pgproto3.Query{String: "COPY t FROM STDIN"})); err != nil {
		b.Fatal(err)
	}
	in := newFrameReader(conn, 1<<20)
	if _, err := in.next(); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.SetBytes(1024)
	for b.Loop() {
		if _, err := conn.Write(data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIdleMemory reports the heap and stack memory, in bytes, of an idle
// session that has run a request.
func BenchmarkIdleMemory(b *testing.B) {
	const sessions = 2000
	query := encode(b, &pgproto3.Query{String: "SELECT 1"})
	first := dialThroughProxy(b, scriptedServer(b, rowsAnswer(b, 1)))
	address := first.RemoteAddr().String()
	for b.Loop() {
		before := usedMemory()
		clients := make([]net.Conn, sessions)
		for i := range clients {
			clients[i] = login(b, address)
			if _, err := clients[i].Write(query); err != nil {
				b.Fatal(err)
			}
			in := newFrameReader(clients[i], 1<<20)
			awaitReady(b, &in)
		}
		after := usedMemory()
		b.ReportMetric(float64(after-before)/sessions, "B/session")
		for _, c := range clients {
			c.Close()
		}
	}
}

func usedMemory() uint64 {
	// Each garbage collection shrinks goroutine stacks by one step.
	for range 5 {
		runtime.GC()
		time.Sleep(20 * time.Millisecond)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
