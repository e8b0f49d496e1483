package frontend

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

const (
	// maxSettings bounds what is replayed on a connection.
	maxSettings = 32
	// settingsMark is in Conn.Prepared when the connection has settings other
	// than its own; settingsMark and a key say which. Without a key they are
	// not known, and the connection needs DISCARD ALL.
	settingsMark     = "settings:"
	readOnlySetting  = "default_transaction_read_only"
	characteristics  = "session characteristics"
	settingsKeyBytes = 12
)

// settingChange is a SET or RESET of a server setting. It is immutable.
type settingChange struct {
	// name is in lower case; empty for RESET ALL.
	name string
	// sql sets the value on a server connection; empty for RESET.
	sql   string
	value string
	reset bool
	// startup marks a value of the startup packet, to which RESET returns.
	startup bool
}

// settingList holds a session's settings in the order of their first SET.
// session.mu guards it.
type settingList struct {
	changes []*settingChange
	startup []*settingChange
	// key identifies the settings on a connection; empty without settings.
	key string
}

func (l *settingList) find(name string) *settingChange {
	for _, c := range l.changes {
		if c.name == name {
			return c
		}
	}
	return nil
}

// full reports whether a new name would exceed the bound.
func (l *settingList) full(name string) bool {
	return len(l.changes) >= maxSettings && l.find(name) == nil
}

func (l *settingList) apply(c *settingChange) {
	switch {
	case c.reset && c.name == "":
		l.changes = slices.Clone(l.startup)
	case c.reset:
		l.changes = slices.DeleteFunc(l.changes, func(have *settingChange) bool { return have.name == c.name })
		for _, original := range l.startup {
			if original.name == c.name {
				l.changes = append(l.changes, original)
			}
		}
	default:
		if i := slices.IndexFunc(l.changes, func(have *settingChange) bool { return have.name == c.name }); i >= 0 {
			l.changes[i] = c
		} else {
			l.changes = append(l.changes, c)
		}
	}
	l.rekey()
}

// enforceAccess makes the server refuse writes on a read route, where a read can
// go to the primary.
func (l *settingList) enforceAccess(access bundle.Access) {
	l.startup = slices.DeleteFunc(l.startup, func(c *settingChange) bool { return c.name == readOnlySetting })
	if access == bundle.ReadOnly {
		l.startup = append(l.startup, &settingChange{name: readOnlySetting, sql: setSQL(readOnlySetting, "on"), value: "on", startup: true})
	}
	l.apply(&settingChange{name: readOnlySetting, reset: true})
}

func (l *settingList) rekey() {
	l.key = ""
	if len(l.changes) > 0 {
		sum := sha256.Sum256([]byte(l.sql()))
		l.key = settingsMark + hex.EncodeToString(sum[:settingsKeyBytes])
	}
}

// sql returns statements that set all values.
func (l *settingList) sql() string {
	var b strings.Builder
	for _, c := range l.changes {
		b.WriteString(c.sql)
		// A statement can end in a line comment.
		b.WriteString("\n;")
	}
	return b.String()
}

// needed reports whether a fresh connection with these ParameterStatus values
// differs from the settings.
func (l *settingList) needed(parameters map[string]string) bool {
	for _, c := range l.changes {
		if !c.startup || !reported(parameters, c) {
			return true
		}
	}
	return false
}

func reported(parameters map[string]string, c *settingChange) bool {
	for name, value := range parameters {
		if strings.EqualFold(name, c.name) {
			return value == c.value
		}
	}
	return false
}

// readsByDefault reports whether transactions are reads unless they say
// otherwise. The caller holds mu.
func (s *session) readsByDefault() bool {
	if s.route.Access == bundle.ReadOnly {
		return true
	}
	c := s.settings.find(readOnlySetting)
	return c != nil && truth(c.value)
}

func truth(value string) bool {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1", "t", "y", "tr", "tru", "ye":
		return true
	}
	return false
}

// startupSettings takes the parameters of the startup packet.
func (s *session) startupSettings(parameters map[string]string) error {
	names := make([]string, 0, len(parameters))
	for name := range parameters {
		names = append(names, name)
	}
	// Map order is random; equal settings need an equal key.
	slices.Sort(names)
	for _, name := range names {
		var err *verdict.Error
		switch name {
		case "user", "database", "replication":
		case "options":
			err = s.startupOptions(parameters[name])
		default:
			err = s.startupParameter(name, parameters[name])
		}
		if err != nil {
			return err
		}
	}
	s.settings.apply(&settingChange{reset: true})
	return nil
}

// startupOptions takes "-c name=value" and "--name=value"; a backslash escapes
// the character after it.
func (s *session) startupOptions(options string) *verdict.Error {
	words := splitOptions(options)
	for len(words) > 0 {
		word := words[0]
		words = words[1:]
		switch {
		case word == "-c" && len(words) > 0:
			word, words = words[0], words[1:]
		case strings.HasPrefix(word, "--"):
			word = word[2:]
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		default:
			return verdict.New(verdict.NotRun, verdict.InvalidParameter, "unsupported startup option %q", word)
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return verdict.New(verdict.NotRun, verdict.InvalidParameter, "startup option %q has no value", word)
		}
		if err := s.startupParameter(strings.ReplaceAll(name, "-", "_"), value); err != nil {
			return err
		}
	}
	return nil
}

func splitOptions(options string) []string {
	var words []string
	var word []byte
	started := false
	for i := 0; i < len(options); i++ {
		switch c := options[i]; {
		case c == '\\' && i+1 < len(options):
			i++
			word, started = append(word, options[i]), true
		case c == ' ' || c == '\t' || c == '\n':
			if started {
				words = append(words, string(word))
			}
			word, started = word[:0], false
		default:
			word, started = append(word, c), true
		}
	}
	if started {
		words = append(words, string(word))
	}
	return words
}

func (s *session) startupParameter(name, value string) *verdict.Error {
	lower := strings.ToLower(name)
	if strings.HasPrefix(lower, ownPrefix) {
		return s.setOwn(lower, value)
	}
	if !validName(lower) {
		return verdict.New(verdict.NotRun, verdict.InvalidParameter, "invalid startup parameter name %q", name)
	}
	if len(s.settings.startup) >= maxSettings {
		return errTooManySettings()
	}
	if lower == readOnlySetting && s.route.Access == bundle.ReadOnly {
		if !truth(value) {
			return errReadRoute()
		}
		return nil
	}
	s.startupSetting(lower, value)
	return nil
}

func (s *session) startupSetting(name, value string) {
	c := &settingChange{name: name, sql: setSQL(name, value), value: value, startup: true}
	s.settings.startup = append(s.settings.startup, c)
}

// setSQL sets a value that came in a startup packet. Unlike other lists,
// search_path takes a quoted string as one element, so it is split.
func setSQL(name, value string) string {
	literal := quoteLiteral(value)
	if name == "search_path" || name == "temp_tablespaces" {
		var elements []string
		t := tokenizer{rest: []byte(value)}
		for token := t.next(); token != nil; token = t.next() {
			if element := unquote(token); element != "," && token[0] == '"' {
				elements = append(elements, quoteIdentifier(element))
			} else if element != "," {
				elements = append(elements, quoteIdentifier(strings.ToLower(element)))
			}
		}
		if len(elements) > 0 {
			literal = strings.Join(elements, ", ")
		}
	}
	return "SET " + name + " = " + literal
}

func validName(name string) bool {
	for i := range len(name) {
		if c := name[i]; c >= 0x80 || c == '$' || !wordByte(c) {
			return false
		}
	}
	return name != ""
}

func errTooManySettings() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.FeatureNotSupported, "a session keeps at most %d settings", maxSettings)
}

func errReadRoute() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReadOnlyRoute, "the route admits only reads")
}

// parseSet reads SET, RESET and SHOW. The name is in lower case. A value with
// several elements has only the first.
func parseSet(sql []byte) (name, value string) {
	t := tokenizer{rest: sql}
	verb := t.next()
	word := t.next()
	if is(verb, "SET") && (is(word, "SESSION") || is(word, "LOCAL")) {
		word = t.next()
		switch {
		case is(word, "CHARACTERISTICS"):
			return characteristics, ""
		case is(word, "AUTHORIZATION"):
			return "session_authorization", unquote(t.next())
		}
	}
	name = strings.ToLower(unquote(word))
	next := t.next()
	switch {
	case name == "time" && is(next, "ZONE"):
		return "timezone", unquote(t.next())
	case name == "names":
		return "client_encoding", unquote(next)
	case is(next, "TO") || string(next) == "=":
		return name, unquote(t.next())
	}
	return name, unquote(next)
}

// newSetting returns the change that a SET or RESET outside a transaction makes,
// or a refusal.
func (s *session) newSetting(class statementClass, sql []byte) (*settingChange, *verdict.Error) {
	name, value := parseSet(sql)
	s.mu.Lock()
	defer s.mu.Unlock()
	readRoute := s.route.Access == bundle.ReadOnly
	if readRoute && (class.readWrite || (name == readOnlySetting && !truth(value)) || name == "transaction_read_only") {
		return nil, errReadRoute()
	}
	if class.kind == kindReset {
		if name == "all" {
			name = ""
		}
		return &settingChange{name: name, reset: true}, nil
	}
	if name == characteristics {
		switch {
		case class.readOnly:
			name, value = readOnlySetting, "on"
		case class.readWrite:
			name, value = readOnlySetting, "off"
		}
	}
	if s.settings.full(name) {
		return nil, errTooManySettings()
	}
	text := strings.TrimRight(string(sql), "; \t\r\n")
	return &settingChange{name: name, sql: text, value: value}, nil
}

// markSettings records on the connection that it has the session's settings.
// The caller holds mu.
func (s *session) markSettings(state map[string]struct{}, previous string) {
	delete(state, previous)
	if s.settings.key == "" {
		delete(state, settingsMark)
		return
	}
	state[settingsMark] = struct{}{}
	state[s.settings.key] = struct{}{}
}

// markUnknown records that the connection's settings are not known.
func markUnknown(state map[string]struct{}, key string) {
	state[settingsMark] = struct{}{}
	delete(state, key)
}
