package frontend

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

const (
	scramMechanism = "SCRAM-SHA-256"
	// maxAuthBytes bounds the messages of clients during authentication.
	maxAuthBytes = 4 << 10
	// mockIterations and mockSaltBytes are sent to unknown users if the bundle has
	// no keys at all.
	mockIterations = 4096
	mockSaltBytes  = 16
)

// identity is what a client authenticated as, and its route. It is immutable.
type identity struct {
	// tenant is the name under which the client's requests are limited, queued and
	// isolated: the workspace, or the name of the limit on an open route.
	tenant    string
	workspace string
	keyID     string
	storedKey []byte
	route     string
	open      bool
}

// checkAccess returns nil, or a fatal *verdict.Error if the bundle no longer grants
// the identity access to its route.
func (id *identity) checkAccess(b *bundle.Compiled) *verdict.Error {
	if b == nil {
		return nil
	}
	r := b.Route(id.route)
	if r == nil || r.Open != id.open || !r.Allows(id.workspace) {
		return verdict.New(verdict.NotRun, verdict.InvalidAuthorization, "route %q is no longer available to this client", id.route).AsFatal()
	}
	if id.open {
		return nil
	}
	v := b.Verifier(id.workspace, id.keyID)
	if v == nil || !bytes.Equal(v.StoredKey, id.storedKey) {
		return verdict.New(verdict.NotRun, verdict.InvalidAuthorization, "the key was revoked").AsFatal()
	}
	return nil
}

// authenticate verifies the user's key, except on an open route. Errors about the
// route are reported only to clients with a valid key.
func (s *session) authenticate(b *bundle.Compiled, user, database string) (identity, error) {
	r := b.Route(database)
	if r != nil && r.Open {
		return identity{tenant: bundle.OpenLimitPrefix + r.Name, route: r.Name, open: true}, nil
	}
	workspace, keyID, _ := strings.Cut(user, ".")
	// The mock is always computed, so that the response time does not reveal whether
	// the user exists.
	mock := s.srv.mockVerifier(b, user)
	v := b.Verifier(workspace, keyID)
	known := v != nil
	if !known {
		v = mock
	}
	if err := s.runSCRAM(v, known); err != nil {
		return identity{}, err
	}
	if r == nil || !r.Allows(workspace) {
		return identity{}, verdict.New(verdict.NotRun, verdict.NoSuchRoute, "there is no route %q for workspace %q", database, workspace)
	}
	return identity{tenant: workspace, workspace: workspace, keyID: v.KeyID, storedKey: v.StoredKey, route: r.Name}, nil
}

// runSCRAM runs the SCRAM exchange with the verifier. If known is false, it sends
// the same messages and fails at the last step, as for a wrong key.
func (s *session) runSCRAM(v *bundle.Verifier, known bool) error {
	if err := s.out.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}); err != nil {
		return err
	}
	var first pgproto3.SASLInitialResponse
	if err := s.receiveAuthMessage(&first); err != nil {
		return err
	}
	if first.AuthMechanism != scramMechanism {
		return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "unsupported SASL mechanism; only %s is supported", scramMechanism)
	}
	exchange, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(v.Salt), Iters: v.Iterations},
			StoredKey:  v.StoredKey, ServerKey: v.ServerKey,
		}, nil
	})
	if err != nil {
		return errors.Wrap(err, "start SCRAM")
	}
	conversation := exchange.NewConversation()
	answer, err := conversation.Step(string(first.Data))
	if err != nil {
		// The library's error quotes the message, which may contain a password.
		return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "malformed SCRAM message")
	}
	if err := s.out.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)}); err != nil {
		return err
	}
	var second pgproto3.SASLResponse
	if err := s.receiveAuthMessage(&second); err != nil {
		return err
	}
	answer, err = conversation.Step(string(second.Data))
	if err != nil || !conversation.Valid() || !known {
		return verdict.New(verdict.NotRun, verdict.AuthenticationFailed, "authentication failed")
	}
	return s.out.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
}

// receiveAuthMessage reads one message of the authentication exchange into m.
func (s *session) receiveAuthMessage(m pgproto3.FrontendMessage) error {
	limit := s.in.maxBytes
	s.in.maxBytes = maxAuthBytes
	defer func() { s.in.maxBytes = limit }()
	f, err := s.in.next()
	if errors.Is(err, errMessageLength) {
		return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "authentication message length out of bounds")
	}
	if err != nil {
		return err
	}
	if f.kind() != 'p' {
		return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "expected an authentication message")
	}
	if err := m.Decode(bytes.Clone(f.body())); err != nil {
		return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "malformed authentication message").WithCause(err)
	}
	return nil
}

// mockVerifier returns a verifier for an unknown user. It is the same for each
// attempt and looks like a real one, so that the exchange does not reveal which
// users exist.
func (s *Server) mockVerifier(b *bundle.Compiled, user string) *bundle.Verifier {
	v := &bundle.Verifier{Iterations: mockIterations, StoredKey: s.mockBytes("stored", user), ServerKey: s.mockBytes("server", user)}
	saltBytes := mockSaltBytes
	if template := templateVerifier(b, binary.BigEndian.Uint32(s.mockBytes("model", user))); template != nil {
		v.Iterations, saltBytes = template.Iterations, len(template.Salt)
	}
	salt := s.mockBytes("salt", user)
	for len(salt) < saltBytes {
		salt = append(salt, s.mockBytes("salt", user+string(salt))...)
	}
	v.Salt = salt[:saltBytes]
	return v
}

// mockBytes derives pseudorandom bytes for the user from the mock secret.
func (s *Server) mockBytes(purpose, user string) []byte {
	mac := hmac.New(sha256.New, s.cfg.MockSecret)
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write([]byte(user))
	return mac.Sum(nil)
}

// templateVerifier returns a real key whose salt length and iteration count the
// mock uses, or nil if there is none. The number n selects the workspace.
func templateVerifier(b *bundle.Compiled, n uint32) *bundle.Verifier {
	if len(b.Spec.Workspaces) == 0 {
		return nil
	}
	return b.Verifier(b.Spec.Workspaces[int(n)%len(b.Spec.Workspaces)].Name, "")
}
