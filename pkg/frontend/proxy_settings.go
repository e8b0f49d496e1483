package frontend

import (
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// The settings of the proxy, whose SET, RESET and SHOW are not forwarded.
const (
	proxyPrefix      = "mulberry."
	settingToken     = proxyPrefix + "token"
	settingMaxAge    = proxyPrefix + "max_age"
	settingRequestID = proxyPrefix + "request_id"
	settingReadWait  = proxyPrefix + "read_wait"

	maxRequestIDBytes = 128
	// maxReadWait is the longest time for which a write is held; a read gains
	// nothing from waiting longer.
	maxReadWait = 8 * time.Second
	maxMaxAge   = time.Hour
	textOID     = 25
)

// proxySettings holds the proxy settings of a session. Where a duration is nil, the
// value of the route applies. Only the client goroutine changes the settings. The
// relay reads requestID, which is guarded by session.mu.
type proxySettings struct {
	requestID string
	token     string
	maxAge    *time.Duration
	readWait  *time.Duration
}

// setProxySetting sets one of the proxy's settings.
func (s *session) setProxySetting(name, value string) *verdict.Error {
	switch name {
	case settingToken:
		return s.setToken(value)
	case settingRequestID:
		if !validRequestID(value) {
			return errInvalidValue(name, "must be 1 to 128 printable ASCII characters without spaces")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.proxySettings.requestID = value
		return nil
	case settingMaxAge:
		d, ok := parseDuration(value, maxMaxAge)
		if !ok {
			return errInvalidValue(name, "must be a duration such as '250ms', up to 1h")
		}
		s.proxySettings.maxAge = &d
		return nil
	case settingReadWait:
		d, ok := parseDuration(value, maxReadWait)
		if !ok {
			return errInvalidValue(name, "must be a duration such as '25ms', up to 8s")
		}
		s.proxySettings.readWait = &d
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.InvalidParameter, "unknown setting %q", name)
}

func (s *session) setToken(value string) *verdict.Error {
	if s.srv.cfg.Tokens == nil {
		return errInvalidValue(settingToken, "session tokens are not configured")
	}
	p, err := s.srv.cfg.Tokens.Verify(value, s.route.Group, s.identity.tenant)
	if err != nil {
		return errInvalidValue(settingToken, "not a valid token of this workspace and group")
	}
	s.proxySettings.token = value
	s.raiseFloor(p)
	return nil
}

// raiseFloor raises the floor to p. It never lowers the floor.
func (s *session) raiseFloor(p group.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.floor.Compare(p) < 0 {
		s.floor = p
	}
}

func (s *session) resetProxySetting(name string) *verdict.Error {
	switch name {
	case settingToken:
		// The floor is kept, so that the session never reads an older state.
		s.proxySettings.token = ""
	case settingRequestID:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.proxySettings.requestID = ""
	case settingMaxAge:
		s.proxySettings.maxAge = nil
	case settingReadWait:
		s.proxySettings.readWait = nil
	default:
		return verdict.New(verdict.NotRun, verdict.InvalidParameter, "unknown setting %q", name)
	}
	return nil
}

func (s *session) showProxySetting(name string) (string, *verdict.Error) {
	switch name {
	case settingToken:
		return s.currentToken(), nil
	case settingRequestID:
		return s.proxySettings.requestID, nil
	case settingMaxAge:
		return s.maxAge().String(), nil
	case settingReadWait:
		return s.readWait().String(), nil
	}
	return "", verdict.New(verdict.NotRun, verdict.InvalidParameter, "unknown setting %q", name)
}

// currentToken returns a token for the session's floor. Without a floor, it is the
// token that the client set.
func (s *session) currentToken() string {
	s.mu.Lock()
	floor := s.floor
	s.mu.Unlock()
	if s.srv.cfg.Tokens == nil || floor.IsZero() {
		return s.proxySettings.token
	}
	return s.srv.cfg.Tokens.Sign(s.route.Group, s.identity.tenant, floor)
}

func (s *session) maxAge() time.Duration {
	if s.proxySettings.maxAge != nil {
		return *s.proxySettings.maxAge
	}
	return time.Duration(s.route.MaxAge)
}

func (s *session) readWait() time.Duration {
	if s.proxySettings.readWait != nil {
		return *s.proxySettings.readWait
	}
	return time.Duration(s.route.ReadWait)
}

func errInvalidValue(name, why string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.InvalidParameter, "invalid value of %s: %s", name, why)
}

func validRequestID(value string) bool {
	for i := range len(value) {
		if value[i] <= ' ' || value[i] > '~' {
			return false
		}
	}
	return value != "" && len(value) <= maxRequestIDBytes
}

// parseDuration parses a Go duration or a number of milliseconds.
func parseDuration(value string, longest time.Duration) (time.Duration, bool) {
	value = strings.TrimSpace(value)
	if ms, err := strconv.ParseUint(value, 10, 32); err == nil {
		value = strconv.FormatUint(ms, 10) + "ms"
	}
	d, err := time.ParseDuration(value)
	return d, err == nil && d >= 0 && d <= longest
}

// proxyCommand is a SET, RESET or SHOW of one of the proxy's settings.
type proxyCommand struct {
	kind        statementKind
	name, value string
}

// parseProxyCommand returns the command, or nil if the statement is for the server.
func parseProxyCommand(class statementClass, sql []byte) *proxyCommand {
	if class.kind != kindSet && class.kind != kindReset && class.kind != kindShow {
		return nil
	}
	name, value := parseSet(sql)
	if !strings.HasPrefix(name, proxyPrefix) {
		return nil
	}
	c := &proxyCommand{kind: class.kind, name: name, value: value}
	if class.kind == kindSet && strings.EqualFold(value, "default") {
		c.kind = kindReset
	}
	return c
}

// run executes the command and returns its row, if any, and command tag.
func (c *proxyCommand) run(s *session) (row pgproto3.BackendMessage, tag string, err *verdict.Error) {
	switch c.kind {
	case kindSet:
		return nil, "SET", s.setProxySetting(c.name, c.value)
	case kindReset:
		return nil, "RESET", s.resetProxySetting(c.name)
	}
	value, err := s.showProxySetting(c.name)
	return &pgproto3.DataRow{Values: [][]byte{[]byte(value)}}, "SHOW", err
}

// describe returns the answer to a Describe of the command.
func (c *proxyCommand) describe() pgproto3.BackendMessage {
	if c.kind != kindShow {
		return &pgproto3.NoData{}
	}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(c.name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}
