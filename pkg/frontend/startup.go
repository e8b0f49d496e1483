package frontend

import (
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// Codes of the first packet, which has no type byte.
const (
	codeSSL    = 80877103
	codeGSS    = 80877104
	codeCancel = 80877102

	protocolMajor = 3
	// maxStartupBytes is the limit of PostgreSQL, without the length field.
	maxStartupBytes = 10_000
	minStartupBytes = 4
	startupLength   = 4
)

// startup runs the exchange up to the end of authentication. It returns nil
// without an error when the connection served a cancel request, and has closed
// the connection whenever it returns no session.
func (s *Server) startup(conn net.Conn) (*session, error) {
	if err := conn.SetDeadline(time.Now().Add(s.cfg.StartupTimeout)); err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "set startup deadline")
	}
	sess := newSession(s, conn)
	message, err := sess.negotiate()
	if err == nil && message != nil {
		err = sess.login(message)
	}
	if err == nil && message != nil {
		err = conn.SetDeadline(time.Time{})
	}
	if err == nil && message != nil {
		return sess, nil
	}
	var refused *verdict.Error
	if errors.As(err, &refused) {
		sess.fatal(refused)
	}
	sess.close()
	return nil, err
}

// negotiate answers SSLRequest and GSSENCRequest and returns the startup
// message, or nil after a cancel request.
func (s *session) negotiate() (*pgproto3.StartupMessage, error) {
	for encrypted := false; ; {
		packet, err := s.startupPacket()
		if err != nil {
			return nil, err
		}
		switch code := binary.BigEndian.Uint32(packet); {
		case code == codeGSS:
			_, err = s.net.Write([]byte{'N'})
		case code == codeSSL && s.srv.cfg.TLS == nil:
			_, err = s.net.Write([]byte{'N'})
		case code == codeSSL && !encrypted:
			encrypted = true
			err = s.startTLS()
		case code == codeCancel:
			return nil, s.receiveCancel(packet)
		case code>>16 == protocolMajor:
			if s.srv.cfg.RequireTLS && !encrypted {
				return nil, verdict.New(verdict.NotRun, verdict.InvalidAuthorization, "this instance requires TLS")
			}
			return s.startupMessage(packet)
		default:
			return nil, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "unsupported startup packet (code %d); protocol 3.0 is supported", code)
		}
		if err != nil {
			return nil, err
		}
	}
}

func (s *session) startupPacket() ([]byte, error) {
	head, err := s.in.take(startupLength)
	if err != nil {
		return nil, err
	}
	n := int64(binary.BigEndian.Uint32(head)) - startupLength
	if n < minStartupBytes || n > maxStartupBytes {
		return nil, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "startup packet of %d bytes; between %d and %d are accepted", n, minStartupBytes, maxStartupBytes)
	}
	return s.in.take(int(n))
}

// startTLS continues on an encrypted connection. Bytes that were received before
// the handshake are refused, because an attacker can have injected them.
func (s *session) startTLS() error {
	if s.in.buffered() > 0 {
		return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "data before the TLS handshake")
	}
	if _, err := s.net.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(s.net, s.srv.cfg.TLS)
	if err := conn.Handshake(); err != nil {
		return errors.Wrap(err, "TLS handshake")
	}
	s.net = conn
	s.in.src = conn
	s.out.conn = conn
	return nil
}

// startupMessage decodes the message and negotiates any minor version down to
// 3.0.
func (s *session) startupMessage(packet []byte) (*pgproto3.StartupMessage, error) {
	minor := binary.BigEndian.Uint32(packet) & 0xffff
	packet = slices.Clone(packet)
	binary.BigEndian.PutUint32(packet, pgproto3.ProtocolVersion30)
	message := &pgproto3.StartupMessage{}
	// Decode needs at least one parameter before the final zero byte.
	if len(packet) < 7 {
		return nil, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "startup packet without a user")
	}
	if err := message.Decode(packet); err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "malformed startup packet").WithCause(err)
	}
	var unknown []string
	for name := range message.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
			delete(message.Parameters, name)
		}
	}
	slices.Sort(unknown)
	if minor > 0 || len(unknown) > 0 {
		answer := &pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: pgproto3.ProtocolVersion30, UnrecognizedOptions: unknown}
		if err := s.out.send(answer); err != nil {
			return nil, err
		}
	}
	return message, nil
}

// login authenticates the client and takes its parameters.
func (s *session) login(message *pgproto3.StartupMessage) error {
	user, database := message.Parameters["user"], message.Parameters["database"]
	if user == "" {
		return verdict.New(verdict.NotRun, verdict.InvalidAuthorization, "no user in the startup packet")
	}
	if database == "" {
		database = user
	}
	if v := message.Parameters["replication"]; v != "" && v != "off" && v != "false" && v != "no" && v != "0" {
		return verdict.New(verdict.NotRun, verdict.FeatureNotSupported, "replication connections are not supported")
	}
	b := s.srv.cfg.Policy.Bundle()
	if b == nil {
		return verdict.New(verdict.NotRun, verdict.NoPrimary, "the instance has no bundle yet")
	}
	id, err := s.authenticate(b, user, database)
	if err != nil {
		return err
	}
	s.identity = id
	s.user = user
	s.log = s.srv.log.WithField("workspace", id.tenant)
	if err := s.adopt(b); err != nil {
		return err
	}
	if err := s.srv.cfg.Policy.Serving(); err != nil {
		return notRun(err)
	}
	return s.startupSettings(message.Parameters)
}

// defaultParameters are shown to the first clients of a group, before a server
// connection has reported its own.
var defaultParameters = map[string]string{
	"server_version": "16.0", "server_encoding": "UTF8", "client_encoding": "UTF8",
	"DateStyle": "ISO, MDY", "IntervalStyle": "postgres", "TimeZone": "UTC",
	"integer_datetimes": "on", "standard_conforming_strings": "on",
}

// welcome reports the parameters and the cancel key and asks for requests.
func (s *session) welcome() error {
	s.out.mu.Lock()
	defer s.out.mu.Unlock()
	s.out.append(&pgproto3.AuthenticationOk{})
	for name, value := range s.shownParameters() {
		s.out.append(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
	s.out.append(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret[:]})
	s.out.append(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
	return s.out.flush()
}

func (s *session) shownParameters() map[string]string {
	shown := map[string]string{}
	add := func(values map[string]string) {
		for name, value := range values {
			if !strings.HasPrefix(name, ownPrefix) {
				shown[name] = value
			}
		}
	}
	add(defaultParameters)
	if seen, ok := s.srv.parameters.Load(s.route.Group); ok {
		add(seen.(map[string]string))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range shown {
		if c := s.settings.find(strings.ToLower(name)); c != nil {
			shown[name] = c.value
		}
	}
	shown["application_name"] = ""
	if c := s.settings.find("application_name"); c != nil {
		shown["application_name"] = c.value
	}
	shown["session_authorization"] = s.user
	shown["is_superuser"] = "off"
	shown["default_transaction_read_only"] = "off"
	if s.readsByDefault() {
		shown["default_transaction_read_only"] = "on"
	}
	return shown
}

// lingerTime bounds the wait for a client to read its last message.
const lingerTime = 500 * time.Millisecond

// close ends the client's connection. The client's unread bytes are discarded
// first, because closing with unread bytes makes the kernel reset the
// connection, and the client can lose its last message.
func (s *session) close() {
	if s.lingers.Load() {
		if c, ok := s.net.(interface{ CloseWrite() error }); ok && c.CloseWrite() == nil {
			s.raw.SetDeadline(time.Now().Add(lingerTime))
			_, _ = io.Copy(io.Discard, s.raw)
		}
	}
	s.net.Close()
	s.raw.Close()
}
