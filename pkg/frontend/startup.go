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

// Request codes of the first packet, which has no type byte.
const (
	codeSSL    = 80877103
	codeGSS    = 80877104
	codeCancel = 80877102

	protocolMajor = 3
	// maxStartupBytes is PostgreSQL's limit of a startup packet, without the length
	// field.
	maxStartupBytes    = 10_000
	minStartupBytes    = 4
	startupLengthBytes = 4
)

// startup runs the exchange from the first packet to the end of authentication. It
// returns nil without an error if the connection carried a cancel request. Whenever
// it returns no session, it has closed the connection.
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
		packet, err := s.readStartupPacket()
		if err != nil {
			return nil, err
		}
		switch code := binary.BigEndian.Uint32(packet); {
		case code == codeGSS:
			_, err = s.conn.Write([]byte{'N'})
		case code == codeSSL && s.srv.cfg.TLS == nil:
			_, err = s.conn.Write([]byte{'N'})
		case code == codeSSL && !encrypted:
			encrypted = true
			err = s.startTLS()
		case code == codeCancel:
			return nil, s.receiveCancel(packet)
		case code>>16 == protocolMajor:
			if s.srv.cfg.RequireTLS && !encrypted {
				return nil, verdict.New(verdict.NotRun, verdict.InvalidAuthorization, "this instance requires TLS")
			}
			return s.decodeStartupMessage(packet)
		default:
			return nil, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "unsupported startup packet (code %d); protocol 3.0 is supported", code)
		}
		if err != nil {
			return nil, err
		}
	}
}

func (s *session) readStartupPacket() ([]byte, error) {
	head, err := s.in.take(startupLengthBytes)
	if err != nil {
		return nil, err
	}
	n := int64(binary.BigEndian.Uint32(head)) - startupLengthBytes
	if n < minStartupBytes || n > maxStartupBytes {
		return nil, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "startup packet of %d bytes; between %d and %d are accepted", n, minStartupBytes, maxStartupBytes)
	}
	return s.in.take(int(n))
}

// startTLS performs the TLS handshake and continues on the encrypted connection.
// It rejects data that was received before the handshake, because an attacker may
// have injected it.
func (s *session) startTLS() error {
	if s.in.buffered() > 0 {
		return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "data received before the TLS handshake")
	}
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(s.conn, s.srv.cfg.TLS)
	if err := conn.Handshake(); err != nil {
		return errors.Wrap(err, "TLS handshake")
	}
	s.conn = conn
	s.in.src = conn
	s.out.conn = conn
	return nil
}

// decodeStartupMessage decodes the startup message and negotiates any higher minor
// version down to 3.0.
func (s *session) decodeStartupMessage(packet []byte) (*pgproto3.StartupMessage, error) {
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

// login authenticates the client and applies its startup parameters.
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
	if err := s.applyBundle(b); err != nil {
		return err
	}
	if err := s.srv.cfg.Policy.CheckServing(); err != nil {
		return notRun(err)
	}
	return s.applyStartupParameters(message.Parameters)
}

// defaultParameters are reported to clients of a group until a server connection
// of the group has reported its parameters.
var defaultParameters = map[string]string{
	"server_version": "16.0", "server_encoding": "UTF8", "client_encoding": "UTF8",
	"DateStyle": "ISO, MDY", "IntervalStyle": "postgres", "TimeZone": "UTC",
	"integer_datetimes": "on", "standard_conforming_strings": "on",
}

// completeStartup completes startup: it sends the parameters, the cancel key and
// ReadyForQuery.
func (s *session) completeStartup() error {
	s.out.mu.Lock()
	defer s.out.mu.Unlock()
	s.out.append(&pgproto3.AuthenticationOk{})
	for name, value := range s.reportedParameters() {
		s.out.append(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
	s.out.append(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret[:]})
	s.out.append(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
	return s.out.flush()
}

// reportedParameters returns the ParameterStatus values that are sent at startup.
func (s *session) reportedParameters() map[string]string {
	shown := map[string]string{}
	add := func(values map[string]string) {
		for name, value := range values {
			if !strings.HasPrefix(name, proxyPrefix) {
				shown[name] = value
			}
		}
	}
	add(defaultParameters)
	if seen, ok := s.srv.groupParameters.Load(s.route.Group); ok {
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

// lingerTimeout bounds the wait for a client to read its last message.
const lingerTimeout = 500 * time.Millisecond

// close closes the client's connection. After a last message, it first reads and
// discards what the client has sent: closing a socket with unread data makes the
// kernel reset the connection, and the client could lose the last message.
func (s *session) close() {
	if s.lingerOnClose.Load() {
		if c, ok := s.conn.(interface{ CloseWrite() error }); ok && c.CloseWrite() == nil {
			s.rawConn.SetDeadline(time.Now().Add(lingerTimeout))
			_, _ = io.Copy(io.Discard, s.rawConn)
		}
	}
	s.conn.Close()
	s.rawConn.Close()
}
