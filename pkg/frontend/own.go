package frontend

import (
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// The settings that the proxy itself answers.
const (
	ownPrefix        = "mulberry."
	settingToken     = ownPrefix + "token"
	settingMaxAge    = ownPrefix + "max_age"
	settingRequestID = ownPrefix + "request_id"
	settingReadWait  = ownPrefix + "read_wait"

	maxRequestID = 128
	// maxReadWait is the longest time that a write is held; a read gains
	// nothing from waiting longer.
	maxReadWait = 8 * time.Second
	maxMaxAge   = time.Hour
	textOID     = 25
)

// ownSettings are the session's values; nil means the route's. Only the client
// goroutine changes them, with session.mu held.
type ownSettings struct {
	requestID string
	token     string
	maxAge    *time.Duration
	readWait  *time.Duration
}

// setOwn sets one of the proxy's settings.
func (s *session) setOwn(name, value string) *verdict.Error {
	switch name {
	case settingToken:
		return s.setToken(value)
	case settingRequestID:
		if !validRequestID(value) {
			return badValue(name, "must be 1 to 128 printable ASCII characters without spaces")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.own.requestID = value
		return nil
	case settingMaxAge:
		d, ok := parseDuration(value, maxMaxAge)
		if !ok {
			return badValue(name, "must be a duration such as '250ms', up to 1h")
		}
		s.own.maxAge = &d
		return nil
	case settingReadWait:
		d, ok := parseDuration(value, maxReadWait)
		if !ok {
			return badValue(name, "must be a duration such as '25ms', up to 8s")
		}
		s.own.readWait = &d
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.InvalidParameter, "unknown setting %q", name)
}

func (s *session) setToken(value string) *verdict.Error {
	if s.srv.cfg.Tokens == nil {
		return badValue(settingToken, "session tokens are not configured")
	}
	p, err := s.srv.cfg.Tokens.Verify(value, s.route.Group, s.identity.tenant)
	if err != nil {
		return badValue(settingToken, "not a valid token of this workspace and group")
	}
	s.own.token = value
	s.raiseFloor(p)
	return nil
}

// raiseFloor never lowers the floor.
func (s *session) raiseFloor(p group.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.floor.Compare(p) < 0 {
		s.floor = p
	}
}

func (s *session) resetOwn(name string) *verdict.Error {
	switch name {
	case settingToken:
		// The floor stays: a session never reads further back.
		s.own.token = ""
	case settingRequestID:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.own.requestID = ""
	case settingMaxAge:
		s.own.maxAge = nil
	case settingReadWait:
		s.own.readWait = nil
	default:
		return verdict.New(verdict.NotRun, verdict.InvalidParameter, "unknown setting %q", name)
	}
	return nil
}

func (s *session) showOwn(name string) (string, *verdict.Error) {
	switch name {
	case settingToken:
		return s.currentToken(), nil
	case settingRequestID:
		return s.own.requestID, nil
	case settingMaxAge:
		return s.maxAge().String(), nil
	case settingReadWait:
		return s.readWait().String(), nil
	}
	return "", verdict.New(verdict.NotRun, verdict.InvalidParameter, "unknown setting %q", name)
}

// currentToken returns a token for the session's floor.
func (s *session) currentToken() string {
	s.mu.Lock()
	floor := s.floor
	s.mu.Unlock()
	if s.srv.cfg.Tokens == nil || floor.IsZero() {
		return s.own.token
	}
	return s.srv.cfg.Tokens.Sign(s.route.Group, s.identity.tenant, floor)
}

func (s *session) maxAge() time.Duration {
	if s.own.maxAge != nil {
		return *s.own.maxAge
	}
	return time.Duration(s.route.MaxAge)
}

func (s *session) readWait() time.Duration {
	if s.own.readWait != nil {
		return *s.own.readWait
	}
	return time.Duration(s.route.ReadWait)
}

func badValue(name, why string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.InvalidParameter, "invalid value of %s: %s", name, why)
}

func validRequestID(value string) bool {
	for i := range len(value) {
		if value[i] <= ' ' || value[i] > '~' {
			return false
		}
	}
	return value != "" && len(value) <= maxRequestID
}

// parseDuration takes a Go duration or a number of milliseconds.
func parseDuration(value string, longest time.Duration) (time.Duration, bool) {
	value = strings.TrimSpace(value)
	if ms, err := strconv.ParseUint(value, 10, 32); err == nil {
		value = strconv.FormatUint(ms, 10) + "ms"
	}
	d, err := time.ParseDuration(value)
	return d, err == nil && d >= 0 && d <= longest
}

// ownCommand is a SET, RESET or SHOW of one of the proxy's settings.
type ownCommand struct {
	kind        statementKind
	name, value string
}

// parseOwn returns the command, or nil when the server answers the statement.
func parseOwn(class statementClass, sql []byte) *ownCommand {
	if class.kind != kindSet && class.kind != kindReset && class.kind != kindShow {
		return nil
	}
	name, value := parseSet(sql)
	if !strings.HasPrefix(name, ownPrefix) {
		return nil
	}
	c := &ownCommand{kind: class.kind, name: name, value: value}
	if class.kind == kindSet && strings.EqualFold(value, "default") {
		c.kind = kindReset
	}
	return c
}

// run executes the command and returns its answer.
func (c *ownCommand) run(s *session) (row pgproto3.BackendMessage, tag string, err *verdict.Error) {
	switch c.kind {
	case kindSet:
		return nil, "SET", s.setOwn(c.name, c.value)
	case kindReset:
		return nil, "RESET", s.resetOwn(c.name)
	}
	value, err := s.showOwn(c.name)
	return &pgproto3.DataRow{Values: [][]byte{[]byte(value)}}, "SHOW", err
}

// describe returns the description of the command's rows.
func (c *ownCommand) describe() pgproto3.BackendMessage {
	if c.kind != kindShow {
		return &pgproto3.NoData{}
	}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(c.name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}
