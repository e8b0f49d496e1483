package frontend

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// script is a client and a server that exchange single messages through a
// frontend. It produces message sequences that the member stand-in does not.
type script struct {
	st         *stack
	client     *pgproto3.Frontend
	server     *pgproto3.Backend
	serverConn net.Conn
}

func startScript() *script {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	proxySide, err := net.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	serverSide, err := listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { serverSide.Close() })
	st := startFrontend([]string{"server"}, func(c *Config) { c.StallTimeout = 2 * time.Second })
	conn := &testConn{g: st.group, conn: proxySide, fe: pgproto3.NewFrontend(proxySide, proxySide), address: "server", prepared: map[string]struct{}{}}
	st.group.idle["server"] = []*testConn{conn}
	client := login(GinkgoT(), st.address)
	Expect(client.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	return &script{st: st, client: pgproto3.NewFrontend(client, client), server: pgproto3.NewBackend(serverSide, serverSide), serverConn: serverSide}
}

// sendToServer sends messages from the client and waits until the server has
// received them.
func (s *script) sendToServer(messages ...pgproto3.FrontendMessage) {
	GinkgoHelper()
	for _, m := range messages {
		s.client.Send(m)
	}
	Expect(s.client.Flush()).To(Succeed())
	for range messages {
		_, err := s.server.Receive()
		Expect(err).NotTo(HaveOccurred())
	}
}

// reply sends messages from the server.
func (s *script) reply(messages ...pgproto3.BackendMessage) {
	GinkgoHelper()
	for _, m := range messages {
		s.server.Send(m)
	}
	Expect(s.server.Flush()).To(Succeed())
}

// receiveSummary receives n messages at the client, or fewer at the end of the
// connection. It returns a word for each: usually its type, and for errors the
// severity, code and verdict.
func (s *script) receiveSummary(n int) string {
	GinkgoHelper()
	var names []string
	for range n {
		m, err := s.client.Receive()
		if err != nil {
			return strings.Join(append(names, "end"), " ")
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			names = append(names, m.Severity+m.Code)
			if m.Detail != "" {
				names = append(names, strings.Split(m.Detail, ";")[0])
			}
		case *pgproto3.CommandComplete:
			names = append(names, string(m.CommandTag))
		case *pgproto3.ReadyForQuery:
			names = append(names, string(m.TxStatus))
		case *pgproto3.ParameterStatus:
			names = append(names, m.Name)
		default:
			names = append(names, strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3."))
		}
	}
	return strings.Join(names, " ")
}

var (
	insert   = &pgproto3.Query{String: "INSERT INTO t VALUES (1)"}
	done     = &pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}
	position = &pgproto3.ParameterStatus{Name: group.ParamPosition, Value: "3:7"}
	idle     = &pgproto3.ReadyForQuery{TxStatus: statusIdle}
	execute  = []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "INSERT INTO t VALUES (1)"}, &pgproto3.Bind{}, &pgproto3.Execute{}}
)

var _ = Describe("order of messages", func() {
	It("holds an answer if the commit position follows it", func() {
		s := startScript()
		release := make(chan struct{})
		s.st.group.confirm = func(context.Context, group.Position) error { <-release; return nil }
		s.sendToServer(insert)
		s.reply(done, position, idle)
		answered := make(chan string, 1)
		go func() { defer GinkgoRecover(); answered <- s.receiveSummary(3) }()
		Consistently(answered).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
		close(release)
		Eventually(answered).Should(Receive(Equal("mulberry.token INSERT 0 1 I")))
	})

	It("acknowledges a confirmed commit whose connection is lost", func() {
		s := startScript()
		s.sendToServer(insert)
		s.reply(position, done)
		Expect(s.receiveSummary(1)).To(Equal("mulberry.token"))
		s.serverConn.Close()
		Expect(s.receiveSummary(2)).To(Equal("INSERT 0 1 I"))
	})

	// Guards against SQLSTATEs of a failing server that drivers interpret as "not
	// run".
	It("does not forward a server's FATAL error", func() {
		s := startScript()
		s.sendToServer(insert)
		s.reply(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01"})
		Expect(s.receiveSummary(2)).To(Equal("FATAL08007 verdict: may have run end"))
	})

	It("reports a commit that a fenced primary refused as not run", func() {
		s := startScript()
		s.sendToServer(insert)
		s.reply(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "25006"}, idle)
		Expect(s.receiveSummary(2)).To(Equal("ERROR57P03 verdict: not run I"))
	})

	// Guards against "not run" for the commit of a transaction that was declared
	// read-only and made writable afterwards.
	DescribeTable("states the outcome of a read transaction's commit", func(sql, want string) {
		s := startScript()
		for _, q := range []string{"BEGIN READ ONLY", sql} {
			s.sendToServer(&pgproto3.Query{String: q})
			s.reply(done, &pgproto3.ReadyForQuery{TxStatus: statusInTx})
			Expect(s.receiveSummary(2)).To(Equal("INSERT 0 1 T"))
		}
		s.sendToServer(&pgproto3.Query{String: "COMMIT"})
		s.serverConn.Close()
		Expect(s.receiveSummary(2)).To(Equal(want))
	},
		Entry(nil, "SELECT 1", "FATAL08006 verdict: not run end"),
		Entry(nil, "SET TRANSACTION READ WRITE", "FATAL08007 verdict: may have run end"),
		Entry(nil, "SET transaction_read_only = off; SELECT 1", "FATAL08007 verdict: may have run end"),
	)

	// Guards against "not run" for requests that the server may still execute.
	It("does not apply a verdict to later requests of a pipeline", func() {
		s := startScript()
		s.st.group.confirm = func(context.Context, group.Position) error {
			return verdict.New(verdict.NotRun, verdict.NoPrimary, "discarded")
		}
		s.sendToServer(insert, insert)
		s.reply(position, done, idle)
		Expect(s.receiveSummary(2)).To(Equal("FATAL08007 verdict: may have run end"))
	})

	It("answers Flush without Sync", func() {
		s := startScript()
		s.sendToServer(append(execute, &pgproto3.Flush{})...)
		s.reply(&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, done)
		Expect(s.receiveSummary(3)).To(Equal("ParseComplete BindComplete INSERT 0 1"))
		s.sendToServer(&pgproto3.Sync{})
		s.reply(position, idle)
		Expect(s.receiveSummary(2)).To(Equal("mulberry.token I"))
		s.st.awaitRelease()
	})

	It("tracks COPY in the extended protocol, during which Sync is ignored", func() {
		s := startScript()
		s.sendToServer(append(execute, &pgproto3.Sync{})...)
		s.reply(&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, &pgproto3.CopyInResponse{})
		Expect(s.receiveSummary(3)).To(Equal("ParseComplete BindComplete CopyInResponse"))
		s.sendToServer(&pgproto3.CopyData{Data: []byte("1\n")}, &pgproto3.CopyDone{}, &pgproto3.Sync{})
		s.reply(done, idle)
		Expect(s.receiveSummary(2)).To(Equal("INSERT 0 1 I"))
		s.st.awaitRelease()
	})

	It("ignores messages after an error of the proxy up to the Sync", func() {
		s := startScript()
		s.st.policy.refusal.Store(verdict.New(verdict.NotRun, verdict.RateLimitExceeded, "over the rate"))
		s.client.Send(execute[0])
		Expect(s.client.Flush()).To(Succeed())
		Expect(s.receiveSummary(1)).To(Equal("ERROR53400 verdict: not run"))
		s.st.policy.refusal.Store(nil)
		s.client.Send(insert)
		s.client.Send(&pgproto3.Sync{})
		Expect(s.client.Flush()).To(Succeed())
		Expect(s.receiveSummary(1)).To(Equal("I"))
		s.sendToServer(insert)
		s.reply(done, idle)
		Expect(s.receiveSummary(2)).To(Equal("INSERT 0 1 I"))
	})

	// Guards against a client that makes the proxy buffer answers without bound.
	It("blocks the server while the client does not read, up to the stall timeout", func() {
		s, began := startScript(), time.Now()
		s.sendToServer(insert)
		row, err := (&pgproto3.DataRow{Values: [][]byte{make([]byte, 8<<10)}}).Encode(nil)
		Expect(err).NotTo(HaveOccurred())
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		sent := 0
		Expect(s.serverConn.SetWriteDeadline(time.Now().Add(time.Second))).To(Succeed())
		for err = nil; err == nil && sent < 1<<30; sent += len(row) {
			_, err = s.serverConn.Write(row)
		}
		Expect(err).To(HaveOccurred(), "the server wrote %d bytes", sent)
		runtime.GC()
		runtime.ReadMemStats(&after)
		Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 1<<20))
		attached, _ := s.st.group.counts()
		Expect(attached).To(Equal(1))
		s.st.awaitRelease()
		Expect(time.Since(began)).To(BeNumerically(">", 2*time.Second))
	})
})

// Guards against messages that crash the daemon or leave a connection attached.
var _ = It("survives arbitrary messages", func() {
	st := startStack(nil)
	st.exec(st.connect("loja", "orders"), "SELECT 1")
	seed := GinkgoRandomSeed()
	random := rand.New(rand.NewPCG(uint64(seed), 0))
	pieces := []string{"", "\x00", "S", "P", "a\x00", "SELECT 1\x00", "BEGIN\x00", "COPY t FROM STDIN\x00", "SET mulberry.max_age = 1\x00",
		"SET x.y = 1\x00", "DEALLOCATE a\x00", "SHOW mulberry.token\x00", "\x00\x00", "\x00\x00\x00\x00", "\x00\x01", "COMMIT\x00", "INSERT INTO t (id) VALUES (1)\x00", "'", "/*"}
	var all sync.WaitGroup
	for range 200 {
		client := login(GinkgoT(), st.address)
		var stream []byte
		for range 1 + random.IntN(20) {
			body := ""
			for range random.IntN(5) {
				body += pieces[random.IntN(len(pieces))]
			}
			stream = append(stream, "QPBDECSHFdcfX!"[random.IntN(14)])
			stream = binary.BigEndian.AppendUint32(stream, uint32(len(body)+4))
			stream = append(stream, body...)
		}
		all.Go(func() {
			_, _ = client.Write(stream)
			_ = client.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			_, _ = io.Copy(io.Discard, client)
			client.Close()
		})
	}
	all.Wait()
	Eventually(st.server.SessionCount).WithTimeout(10*time.Second).Should(Equal(2), "seed %d", seed)
	st.awaitRelease()
	Expect(queryInt(st.connect("loja", "orders"), "SELECT 1")).To(Equal(1))
})
