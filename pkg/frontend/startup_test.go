package frontend

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"io"
	"math/big"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

var _ = Describe("startup", func() {
	DescribeTable("admits", func(user, database string) {
		st := startFrontend(nil, nil)
		st.connect(user, database)
	},
		Entry("a workspace", "loja", "orders"),
		Entry("a workspace and key", "loja.k2", "orders"),
		Entry("anyone on an open route", "nobody", "catalog"),
	)

	// Guards against errors that reveal which workspaces, keys or routes exist.
	It("returns the same error for every failed authentication", func() {
		st := startFrontend(nil, nil)
		var messages []string
		for _, user := range []string{"loja", "loja.k3", "nobody", "nobody.k1"} {
			for _, route := range []string{"orders", "missing"} {
				_, err := st.tryConnect(strings.Replace(st.url(user, route, ""), password, "wrong", 1))
				e := pgError(err)
				Expect(e.Code).To(Equal("28P01"))
				messages = append(messages, e.Message)
			}
		}
		Expect(messages).To(HaveEach(messages[0]))
		for _, route := range []string{"missing", "reports"} {
			_, err := st.tryConnect(st.url("oficina", route, ""))
			Expect(pgError(err).Code).To(Equal("3D000"))
		}
	})

	It("sends unknown users a stable salt and iteration count like those of a real key", func() {
		st := startFrontend(nil, nil)
		b := st.policy.Bundle()
		first, second := st.server.mockVerifier(b, "nobody"), st.server.mockVerifier(b, "nobody")
		Expect(first).To(Equal(second))
		Expect(first.Iterations).To(Equal(4096))
		Expect(first.Salt).To(HaveLen(len(b.Verifier("loja", "").Salt)))
		Expect(st.server.mockVerifier(b, "other").Salt).NotTo(Equal(first.Salt))
	})

	It("rejects invalid settings with 22023", func() {
		st := startFrontend(nil, nil)
		for _, option := range []string{"mulberry.token=forged", "mulberry.max_age=soon", "mulberry.read_wait=-1s", "mulberry.request_id=a%20b", "mulberry.other=1"} {
			_, err := st.tryConnect(st.url("loja", "orders", "&"+option))
			Expect(pgError(err).Code).To(Equal("22023"), option)
		}
	})

	// Guards against logged keys, including those that a client sends in clear text.
	It("logs failed logins without keys", func() {
		log := gbytes.NewBuffer()
		st := startFrontend(nil, func(c *Config) { c.Log.SetOutput(log); c.Log.SetLevel(logrus.TraceLevel) })
		_, err := st.tryConnect(strings.Replace(st.url("loja", "orders", "&mulberry.request_id=pedido-1"), password, "wrong-key", 1))
		Expect(err).To(HaveOccurred())
		conn := dial(st)
		_, err = conn.Write(append(packet(3<<16, "user", "loja", "database", "orders"),
			encode(GinkgoT(), &pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte("wrong-key")})...))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		// The two connections are served by separate goroutines, so their log lines
		// may interleave.
		text := func() string { return string(log.Contents()) }
		Eventually(func() int { return strings.Count(text(), "startup failed") }).Should(Equal(2))
		Expect(text()).To(And(ContainSubstring("28P01"), ContainSubstring("08P01")))
		Expect(string(log.Contents())).To(And(ContainSubstring("not run"), ContainSubstring("instance=i1")))
		Expect(string(log.Contents())).NotTo(ContainSubstring("wrong-key"))
	})

	It("rejects clients before the first bundle", func() {
		st := startFrontend(nil, nil)
		st.policy.bundle.Store(nil)
		_, err := st.tryConnect(st.url("loja", "orders", ""))
		Expect(pgError(err).Code).To(Equal("57P03"))
	})

	It("encrypts when the client asks for it", func() {
		st := startFrontend(nil, func(c *Config) { c.TLS, c.RequireTLS = serverTLS(), true })
		_, err := st.tryConnect(strings.Replace(st.url("loja", "orders", ""), "sslmode=disable", "sslmode=require", 1))
		Expect(err).NotTo(HaveOccurred())
		_, err = st.tryConnect(st.url("loja", "orders", ""))
		Expect(pgError(err).Code).To(Equal("28000"))
	})

	// Guards against treating bytes that an attacker injected before the handshake
	// as sent by the client.
	It("rejects data before the TLS handshake", func() {
		st := startFrontend(nil, func(c *Config) { c.TLS = serverTLS() })
		conn := dial(st)
		_, err := conn.Write(append(packet(codeSSL), "injected"...))
		Expect(err).NotTo(HaveOccurred())
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(ContainSubstring("08P01"))
	})

	It("declines GSS encryption and continues without it", func() {
		st := startFrontend(nil, nil)
		conn := dial(st)
		_, err := conn.Write(packet(codeGSS))
		Expect(err).NotTo(HaveOccurred())
		answer := make([]byte, 1)
		_, err = io.ReadFull(conn, answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal([]byte("N")))
		_, err = conn.Write(packet(3<<16|2, "user", "nobody", "database", "catalog", "_pq_.feature", "on"))
		Expect(err).NotTo(HaveOccurred())
		fe := pgproto3.NewFrontend(conn, conn)
		m, err := fe.Receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(m).To(Equal(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 3 << 16, UnrecognizedOptions: []string{"_pq_.feature"}}))
		m, err = fe.Receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(m).To(BeAssignableToTypeOf(&pgproto3.AuthenticationOk{}))
	})

	// Guards against clients that occupy memory or a goroutine before they have
	// authenticated.
	DescribeTable("ends malformed and slow startups", func(bytes []byte, code string) {
		st := startFrontend(nil, func(c *Config) { c.StartupTimeout = 200 * time.Millisecond })
		conn := dial(st)
		_, err := conn.Write(bytes)
		Expect(err).NotTo(HaveOccurred())
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(ContainSubstring(code))
		if code == "" {
			Expect(answer).To(BeEmpty())
		}
	},
		Entry("too long", binary.BigEndian.AppendUint32(nil, 20_000), "08P01"),
		Entry("too short", []byte{0, 0, 0, 5, 0}, "08P01"),
		Entry("old protocol", packet(2<<16, "user", "loja"), "08P01"),
		Entry("no parameters", packet(3<<16), "08P01"),
		Entry("no user", packet(3<<16, "database", "orders"), "28000"),
		Entry("slow", []byte{0, 0}, ""),
		Entry("replication", packet(3<<16, "user", "nobody", "database", "catalog", "replication", "database"), "0A000"),
	)

	It("rejects messages of invalid length, unknown type or malformed content", func() {
		st := startFrontend(nil, nil)
		for _, message := range [][]byte{{'Q', 0x7f, 0xff, 0xff, 0xff}, {'Q', 0, 0, 0, 1}, {'!', 0, 0, 0, 4}, {'Q', 0, 0, 0, 5, 'x'}} {
			conn := st.connect("loja", "orders").PgConn().Conn()
			_, err := conn.Write(message)
			Expect(err).NotTo(HaveOccurred())
			answer, _ := io.ReadAll(conn)
			Expect(string(answer)).To(ContainSubstring("08P01"))
		}
	})

	It("forwards cancel requests for sessions of other instances", func() {
		forwarded := make(chan uint32, 1)
		st := startFrontend(nil, func(c *Config) {
			c.ForwardCancel = func(pid uint32, _ []byte) { forwarded <- pid }
		})
		cancel, err := (&pgproto3.CancelRequest{ProcessID: 77, SecretKey: []byte("1234")}).Encode(nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = dial(st).Write(cancel)
		Expect(err).NotTo(HaveOccurred())
		Eventually(forwarded).Should(Receive(Equal(uint32(77))))
	})
})

var _ = Describe("key revocation", func() {
	// Guards against clients that continue with a revoked key.
	It("ends idle sessions and open transactions", func() {
		st := startStack(nil)
		idle, open, other := st.connect("loja.k1", "orders"), st.connect("loja.k1", "orders"), st.connect("loja.k2", "orders")
		st.exec(open, "BEGIN")
		st.exec(open, "INSERT INTO t (id) VALUES (1)")
		st.policy.apply(revokeFirstKey)
		st.server.RevalidateSessions()
		// The connection that created the table also authenticated with the first key.
		Eventually(st.server.SessionCount).WithTimeout(5 * time.Second).Should(Equal(1))
		for _, conn := range []interface {
			Read([]byte) (int, error)
		}{idle.PgConn().Conn(), open.PgConn().Conn()} {
			b := make([]byte, 1024)
			n, err := conn.Read(b)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(b[:n])).To(And(ContainSubstring("28000"), ContainSubstring("(not run)")))
		}
		Expect(queryInt(other, "SELECT count(*) FROM t")).To(BeZero())
		_, err := st.tryConnect(st.url("loja.k1", "orders", ""))
		Expect(pgError(err).Code).To(Equal("28P01"))
	})

	It("checks the key at the start of each request", func() {
		st := startStack(nil)
		conn := st.connect("loja.k1", "orders")
		st.policy.apply(revokeFirstKey)
		_, err := conn.Exec(testContext(), "INSERT INTO t (id) VALUES (1)")
		Expect(pgError(err).Code).To(Equal("28000"))
		Expect(queryInt(st.connect("loja.k2", "orders"), "SELECT count(*) FROM t")).To(BeZero())
	})

	It("lets a running statement finish within the grace period and cancels it afterwards", func() {
		st := startStack(nil)
		run := func(ms string) (chan error, time.Time) {
			conn := st.connect("loja.k1", "orders")
			done := make(chan error, 1)
			go func() {
				_, err := conn.Exec(testContext(), "INSERT INTO t (v) SELECT sleep_ms("+ms+")")
				done <- err
			}()
			Eventually(st.server.runningRequests).Should(Equal(1))
			return done, time.Now()
		}
		short, _ := run("300")
		st.policy.apply(revokeFirstKey)
		st.server.RevalidateSessions()
		Eventually(short).Should(Receive(BeNil()))
		st.policy.apply(nil)
		long, began := run("8000")
		st.policy.apply(revokeFirstKey)
		st.server.RevalidateSessions()
		var err error
		Eventually(long).WithTimeout(7 * time.Second).Should(Receive(&err))
		Expect(err).To(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("~", revocationGrace, time.Second))
		st.awaitRelease()
	})
})

var _ = Describe("drain", func() {
	// Guards against a shutdown that interrupts a transaction.
	It("ends idle sessions and lets transactions finish", func() {
		st := startStack(nil)
		idle, open := st.connect("loja", "orders"), st.connect("loja", "orders")
		st.exec(open, "BEGIN")
		st.exec(open, "INSERT INTO t (id) VALUES (1)")
		drained := make(chan error, 1)
		go func() { drained <- st.server.Drain(testContext()) }()
		b := make([]byte, 1024)
		n, err := idle.PgConn().Conn().Read(b)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b[:n])).To(And(ContainSubstring("57P01"), ContainSubstring("(not run)")))
		Consistently(drained).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		st.exec(open, "INSERT INTO t (id) VALUES (2)")
		st.exec(open, "COMMIT")
		Eventually(drained).Should(Receive(BeNil()))
		_, err = net.Dial("tcp", st.address)
		Expect(err).To(HaveOccurred())
		st.awaitRelease()
	})
})

func revokeFirstKey(spec *bundle.Spec) {
	spec.Version = 2
	spec.Workspaces[0].Keys = spec.Workspaces[0].Keys[1:]
}

func dial(st *stack) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", st.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	return conn
}

// packet returns a startup packet with a request code and parameters.
func packet(code uint32, parameters ...string) []byte {
	body := binary.BigEndian.AppendUint32(nil, code)
	for _, p := range parameters {
		body = append(append(body, p...), 0)
	}
	if code>>16 <= 3 {
		body = append(body, 0)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

func serverTLS() *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}
