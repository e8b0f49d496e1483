package member

import (
	"maps"
	"slices"
	"strings"
)

// reportedParameters are the parameters whose values and changes are sent to clients.
var reportedParameters = []string{
	"server_version", "server_encoding", "client_encoding", "application_name", "DateStyle", "IntervalStyle",
	"TimeZone", "integer_datetimes", "standard_conforming_strings", "is_superuser", "session_authorization",
	"default_transaction_read_only", "in_hot_standby", "search_path",
}

var defaultSettings = map[string]string{
	"server_version": "17.0", "server_encoding": "UTF8", "client_encoding": "UTF8", "application_name": "",
	"datestyle": "ISO, MDY", "intervalstyle": "postgres", "timezone": "UTC", "integer_datetimes": "on",
	"standard_conforming_strings": "on", "is_superuser": "off", "session_authorization": "",
	"default_transaction_read_only": "off", "in_hot_standby": "off", "search_path": "public",
	"default_transaction_isolation": "read committed", "statement_timeout": "0",
}

// settings holds the session's parameters by lower-case name.
type settings struct {
	initial, current map[string]string
	// saved is the copy of current that a rollback restores, or nil if the
	// transaction has set nothing. local lists the parameters set by SET LOCAL.
	saved map[string]string
	local []string
}

// newSettings returns the settings of a new session, with the startup parameters as
// its initial values.
func newSettings(startup map[string]string) settings {
	initial := maps.Clone(defaultSettings)
	initial["session_authorization"] = startup["user"]
	for name, value := range startup {
		switch name {
		case "user", "database", "replication":
		case "options":
			maps.Copy(initial, parseOptions(value))
		default:
			initial[strings.ToLower(name)] = value
		}
	}
	return settings{initial: initial, current: maps.Clone(initial)}
}

// parseOptions parses the startup parameter options: "-c name=value" and
// "--name=value" separated by spaces. A backslash escapes the next character.
func parseOptions(text string) map[string]string {
	var words []string
	var word strings.Builder
	for i := 0; i < len(text); i++ {
		switch {
		case text[i] == '\\' && i+1 < len(text):
			i++
			word.WriteByte(text[i])
		case text[i] == ' ':
			words = append(words, word.String())
			word.Reset()
		default:
			word.WriteByte(text[i])
		}
	}
	words = append(words, word.String())
	options := map[string]string{}
	for _, w := range words {
		w = strings.TrimPrefix(strings.TrimPrefix(w, "--"), "-c")
		if name, value, ok := strings.Cut(w, "="); ok {
			options[strings.ToLower(strings.ReplaceAll(name, "-", "_"))] = value
		}
	}
	return options
}

func (s *settings) value(name string) string { return s.current[strings.ToLower(name)] }

// set changes a parameter. A rollback of the transaction block undoes the change; a
// commit undoes it too if it is local. A local change outside a block has no effect.
func (s *settings) set(name, value string, inBlock, local bool) {
	name = strings.ToLower(name)
	if local && !inBlock {
		return
	}
	if inBlock && s.saved == nil {
		s.saved = maps.Clone(s.current)
	}
	if local && !slices.Contains(s.local, name) {
		s.local = append(s.local, name)
	}
	s.current[name] = value
}

// endTransaction undoes all changes of a transaction, or only the local ones if it was
// committed.
func (s *settings) endTransaction(committed bool) {
	if s.saved == nil {
		return
	}
	if !committed {
		s.current = s.saved
	}
	for _, name := range s.local {
		if old, ok := s.saved[name]; ok {
			s.current[name] = old
		} else {
			delete(s.current, name)
		}
	}
	s.saved, s.local = nil, nil
}

func (s *settings) resetAll() { s.current = maps.Clone(s.initial) }

// isOn reports whether a boolean parameter is true.
func (s *settings) isOn(name string) bool {
	switch strings.ToLower(s.value(name)) {
	case "on", "true", "yes", "1", "t", "y":
		return true
	}
	return false
}

// reportedName returns the spelling under which a parameter is reported, or "" if it
// is not reported.
func reportedName(name string) string {
	for _, r := range reportedParameters {
		if strings.EqualFold(r, name) {
			return r
		}
	}
	return ""
}
