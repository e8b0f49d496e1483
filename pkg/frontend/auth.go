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
	mechanism = "SCRAM-SHA-256"
	// maxAuthBytes bounds messages of clients that have not authenticated.
	maxAuthBytes = 4 << 10
	// mockIterations and mockSaltBytes are shown when the bundle has no key at all.
	mockIterations = 4096
	mockSaltBytes  = 16
)

// identity is what a session proved at startup. It does not change.
type identity struct {
	// tenant is the workspace, or the limit's name on an open route.
	tenant    string
	workspace string
	keyID     string
	storedKey []byte
	route     string
	open      bool
}

// check returns nil, or a fatal *verdict.Error when the bundle no longer admits
// the identity.
func (id *identity) check(b *bundle.Compiled) *verdict.Error {
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

// authenticate proves the user's key, except on an open route. What is wrong
// with the route is told only to clients with a valid key.
func (s *session) authenticate(b *bundle.Compiled, user, database string) (identity, error) {
	r := b.Route(database)
	if r != nil && r.Open {
		return identity{tenant: bundle.OpenLimitPrefix + r.Name, route: r.Name, open: true}, nil
	}
	workspace, keyID, _ := strings.Cut(user, ".")
	// The mock is always computed, so that the time does not tell users apart.
	mock := s.srv.mockVerifier(b, user)
	v := b.Verifier(workspace, keyID)
	known := v != nil
	if !known {
		v = mock
	}
	if err := s.scram(v, known); err != nil {
		return identity{}, err
	}
	if r == nil || !r.Allows(workspace) {
		return identity{}, verdict.New(verdict.NotRun, verdict.NoSuchRoute, "there is no route %q for workspace %q", database, workspace)
	}
	return identity{tenant: workspace, workspace: workspace, keyID: v.KeyID, storedKey: v.StoredKey, route: r.Name}, nil
}

// scram runs the exchange with the verifier. With known false it runs to the
// same end with the same messages, and fails.
func (s *session) scram(v *bundle.Verifier, known bool) error {
	if err := s.out.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}}); err != nil {
		return err
	}
	var first pgproto3.SASLInitialResponse
	if err := s.receiveAuth(&first); err != nil {
		return err
	}
	if first.AuthMechanism != mechanism {
		return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "only %s is offered", mechanism)
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
		// The library's error quotes the message, which may hold a password.
		return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "malformed SCRAM message")
	}
	if err := s.out.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)}); err != nil {
		return err
	}
	var second pgproto3.SASLResponse
	if err := s.receiveAuth(&second); err != nil {
		return err
	}
	answer, err = conversation.Step(string(second.Data))
	if err != nil || !conversation.Valid() || !known {
		return verdict.New(verdict.NotRun, verdict.AuthenticationFailed, "authentication failed")
	}
	return s.out.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
}

func (s *session) receiveAuth(m pgproto3.FrontendMessage) error {
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

// mockVerifier returns a verifier for an unknown user. It is the same at each
// attempt and has the shape of a real one, so that answers do not reveal which
// users exist.
func (s *Server) mockVerifier(b *bundle.Compiled, user string) *bundle.Verifier {
	v := &bundle.Verifier{Iterations: mockIterations, StoredKey: s.mockBytes("stored", user), ServerKey: s.mockBytes("server", user)}
	saltBytes := mockSaltBytes
	if model := modelVerifier(b, binary.BigEndian.Uint32(s.mockBytes("model", user))); model != nil {
		v.Iterations, saltBytes = model.Iterations, len(model.Salt)
	}
	salt := s.mockBytes("salt", user)
	for len(salt) < saltBytes {
		salt = append(salt, s.mockBytes("salt", user+string(salt))...)
	}
	v.Salt = salt[:saltBytes]
	return v
}

func (s *Server) mockBytes(purpose, user string) []byte {
	mac := hmac.New(sha256.New, s.cfg.MockSecret)
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write([]byte(user))
	return mac.Sum(nil)
}

// modelVerifier chooses a real key whose salt length and iterations the mock
// takes over.
func modelVerifier(b *bundle.Compiled, n uint32) *bundle.Verifier {
	if len(b.Spec.Workspaces) == 0 {
		return nil
	}
	return b.Verifier(b.Spec.Workspaces[int(n)%len(b.Spec.Workspaces)].Name, "")
}
