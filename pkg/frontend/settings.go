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
	// maxSettings bounds the settings of a session, which are replayed on
	// connections.
	maxSettings = 32
	// settingsMarker is in Conn.SessionState if a session has changed the settings of
	// the connection. A second entry, which starts with settingsMarker, identifies
	// the settings (see settingList.key). Without it the settings are unknown, and
	// the connection needs DISCARD ALL before its next use.
	settingsMarker         = "settings:"
	readOnlySetting        = "default_transaction_read_only"
	sessionCharacteristics = "session characteristics"
	settingsKeyBytes       = 12
)

// settingChange is a SET or RESET of a server setting. It is immutable.
type settingChange struct {
	// name is in lower case. It is empty for RESET ALL.
	name string
	// sql is the statement that sets the value on a server connection. It is empty
	// for RESET.
	sql   string
	value string
	reset bool
	// startup is set if the value comes from the startup packet; RESET restores
	// such values.
	startup bool
}

// settingList holds a session's settings in the order of their first SET.
// session.mu guards it.
type settingList struct {
	changes []*settingChange
	startup []*settingChange
	// key identifies the settings in Conn.SessionState: settingsMarker and a hash. It
	// is empty if there are none.
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

// full reports whether setting the name would exceed maxSettings.
func (l *settingList) full(name string) bool {
	return len(l.changes) >= maxSettings && l.find(name) == nil
}

// apply updates the list by a SET or RESET.
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
	l.updateKey()
}

// enforceAccess makes the server refuse writes on a read-only route, whose reads
// may be routed to the primary.
func (l *settingList) enforceAccess(access bundle.Access) {
	l.startup = slices.DeleteFunc(l.startup, func(c *settingChange) bool { return c.name == readOnlySetting })
	if access == bundle.ReadOnly {
		l.startup = append(l.startup, &settingChange{name: readOnlySetting, sql: startupSetSQL(readOnlySetting, "on"), value: "on", startup: true})
	}
	l.apply(&settingChange{name: readOnlySetting, reset: true})
}

func (l *settingList) updateKey() {
	l.key = ""
	if len(l.changes) > 0 {
		sum := sha256.Sum256([]byte(l.sql()))
		l.key = settingsMarker + hex.EncodeToString(sum[:settingsKeyBytes])
	}
}

// sql returns the statements that set all values.
func (l *settingList) sql() string {
	var b strings.Builder
	for _, c := range l.changes {
		b.WriteString(c.sql)
		// The newline ends a line comment at the end of the statement.
		b.WriteString("\n;")
	}
	return b.String()
}

// needsReplay reports whether the settings must be replayed on a new connection
// with these ParameterStatus values.
func (l *settingList) needsReplay(parameters map[string]string) bool {
	for _, c := range l.changes {
		if !c.startup || !reportedAs(parameters, c) {
			return true
		}
	}
	return false
}

// reportedAs reports whether the ParameterStatus values include the setting with
// its value.
func reportedAs(parameters map[string]string, c *settingChange) bool {
	for name, value := range parameters {
		if strings.EqualFold(name, c.name) {
			return value == c.value
		}
	}
	return false
}

// readsByDefault reports whether transactions are read-only unless they declare
// otherwise. The caller holds mu.
func (s *session) readsByDefault() bool {
	if s.route.Access == bundle.ReadOnly {
		return true
	}
	c := s.settings.find(readOnlySetting)
	return c != nil && isTrue(c.value)
}

// isTrue reports whether the text is a true value of a boolean setting.
func isTrue(value string) bool {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1", "t", "y", "tr", "tru", "ye":
		return true
	}
	return false
}

// applyStartupParameters applies the parameters of the startup packet.
func (s *session) applyStartupParameters(parameters map[string]string) error {
	names := make([]string, 0, len(parameters))
	for name := range parameters {
		names = append(names, name)
	}
	// The order is fixed, so that equal settings have the same key.
	slices.Sort(names)
	for _, name := range names {
		var err *verdict.Error
		switch name {
		case "user", "database", "replication":
		case "options":
			err = s.applyStartupOptions(parameters[name])
		default:
			err = s.applyStartupParameter(name, parameters[name])
		}
		if err != nil {
			return err
		}
	}
	s.settings.apply(&settingChange{reset: true})
	return nil
}

// applyStartupOptions applies the "options" parameter, which consists of
// "-c name=value" and "--name=value". A backslash escapes the next character.
func (s *session) applyStartupOptions(options string) *verdict.Error {
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
		if err := s.applyStartupParameter(strings.ReplaceAll(name, "-", "_"), value); err != nil {
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

func (s *session) applyStartupParameter(name, value string) *verdict.Error {
	lower := strings.ToLower(name)
	if strings.HasPrefix(lower, proxyPrefix) {
		return s.setProxySetting(lower, value)
	}
	if !validName(lower) {
		return verdict.New(verdict.NotRun, verdict.InvalidParameter, "invalid startup parameter name %q", name)
	}
	if len(s.settings.startup) >= maxSettings {
		return errTooManySettings()
	}
	if lower == readOnlySetting && s.route.Access == bundle.ReadOnly {
		if !isTrue(value) {
			return errReadOnlyRoute()
		}
		return nil
	}
	s.addStartupSetting(lower, value)
	return nil
}

func (s *session) addStartupSetting(name, value string) {
	c := &settingChange{name: name, sql: startupSetSQL(name, value), value: value, startup: true}
	s.settings.startup = append(s.settings.startup, c)
}

// startupSetSQL returns the SET statement for a value from the startup packet.
// Unlike other lists, search_path and temp_tablespaces take a quoted string as one
// element, so their values are split.
func startupSetSQL(name, value string) string {
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
		if c := name[i]; c >= 0x80 || c == '$' || !isWordByte(c) {
			return false
		}
	}
	return name != ""
}

func errTooManySettings() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.FeatureNotSupported, "a session keeps at most %d settings", maxSettings)
}

func errReadOnlyRoute() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReadOnlyRoute, "the route is read-only")
}

// parseSet returns the name, in lower case, and the value of a SET, RESET or SHOW.
// Of a list value it returns the first element only.
func parseSet(sql []byte) (name, value string) {
	t := tokenizer{rest: sql}
	verb := t.next()
	word := t.next()
	if isKeyword(verb, "SET") && (isKeyword(word, "SESSION") || isKeyword(word, "LOCAL")) {
		word = t.next()
		switch {
		case isKeyword(word, "CHARACTERISTICS"):
			return sessionCharacteristics, ""
		case isKeyword(word, "AUTHORIZATION"):
			return "session_authorization", unquote(t.next())
		}
	}
	name = strings.ToLower(unquote(word))
	next := t.next()
	switch {
	case name == "time" && isKeyword(next, "ZONE"):
		return "timezone", unquote(t.next())
	case name == "names":
		return "client_encoding", unquote(next)
	case isKeyword(next, "TO") || string(next) == "=":
		return name, unquote(t.next())
	}
	return name, unquote(next)
}

// newSetting returns the change that a SET or RESET makes outside a transaction, or
// an error if the session does not permit it.
func (s *session) newSetting(class statementClass, sql []byte) (*settingChange, *verdict.Error) {
	name, value := parseSet(sql)
	s.mu.Lock()
	defer s.mu.Unlock()
	readRoute := s.route.Access == bundle.ReadOnly
	if readRoute && (class.readWrite || (name == readOnlySetting && !isTrue(value)) || name == "transaction_read_only") {
		return nil, errReadOnlyRoute()
	}
	if class.kind == kindReset {
		if name == "all" {
			name = ""
		}
		return &settingChange{name: name, reset: true}, nil
	}
	if name == sessionCharacteristics {
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

// recordSettings records in state, the session state of the connection, that the
// connection has the session's settings instead of those with the previous key.
// The caller holds mu.
func (s *session) recordSettings(state map[string]struct{}, previous string) {
	delete(state, previous)
	if s.settings.key == "" {
		delete(state, settingsMarker)
		return
	}
	state[settingsMarker] = struct{}{}
	state[s.settings.key] = struct{}{}
}

// markSettingsUnknown records in state that the settings of the connection are
// unknown, by removing their key.
func markSettingsUnknown(state map[string]struct{}, key string) {
	state[settingsMarker] = struct{}{}
	delete(state, key)
}
