package member

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// executeSet runs SET, including SET TRANSACTION and SET SESSION CHARACTERISTICS.
func (s *session) executeSet(st statement) error {
	words := st.tokens[1:]
	local := false
	if len(words) > 0 {
		switch strings.ToUpper(words[0].text) {
		case "LOCAL":
			local, words = true, words[1:]
		case "SESSION":
			if st.hasWords("CHARACTERISTICS") {
				return s.setCharacteristics(st)
			}
			words = words[1:]
		case "TRANSACTION":
			s.setModes(st)
			return nil
		}
	}
	if len(words) >= 3 && strings.EqualFold(words[0].text, "TIME") && strings.EqualFold(words[1].text, "ZONE") {
		s.setParameter("timezone", valueText(st, words[2:]), local)
		return nil
	}
	if len(words) < 3 || (words[1].text != "=" && !strings.EqualFold(words[1].text, "TO")) {
		return newError(codeSyntaxError, "syntax error in SET")
	}
	name, value := unquote(words[0].text), valueText(st, words[2:])
	if strings.EqualFold(value, "DEFAULT") {
		value = s.settings.initial[strings.ToLower(name)]
	}
	s.setParameter(name, value, local)
	return nil
}

func (s *session) setCharacteristics(st statement) error {
	switch {
	case st.hasWords("READ", "ONLY"):
		s.setParameter("default_transaction_read_only", "on", false)
	case st.hasWords("READ", "WRITE"):
		s.setParameter("default_transaction_read_only", "off", false)
	}
	return nil
}

// valueText returns the value of a SET statement: the unquoted text of a single token,
// or the source text of several.
func valueText(st statement, words []token) string {
	if len(words) == 1 {
		return unquote(words[0].text)
	}
	from := st.tokens[0].start
	return st.sql[words[0].start-from : words[len(words)-1].end-from]
}

func (s *session) setParameter(name, value string, local bool) {
	before := s.settings.value(name)
	s.settings.set(name, value, s.tx.explicit, local)
	if reported := reportedName(name); reported != "" && s.settings.value(name) != before {
		s.backend.Send(&pgproto3.ParameterStatus{Name: reported, Value: s.settings.value(name)})
	}
}

// reportSettings sends the reported parameters that differ from before to the client.
func (s *session) reportSettings(before map[string]string) {
	for _, name := range reportedParameters {
		if now := s.settings.value(name); before[strings.ToLower(name)] != now {
			s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: now})
		}
	}
}

func (s *session) executeReset(st statement) error {
	if st.word(1) == "ALL" {
		before := s.settings.current
		s.settings.resetAll()
		s.reportSettings(before)
		return nil
	}
	if len(st.tokens) < 2 {
		return newError(codeSyntaxError, "syntax error in RESET")
	}
	name := unquote(st.tokens[1].text)
	s.setParameter(name, s.settings.initial[strings.ToLower(name)], false)
	return nil
}

// showName returns the parameter that SHOW reads, which is also its column name.
func showName(st statement) string {
	if st.hasWords("TRANSACTION", "ISOLATION", "LEVEL") {
		return "transaction_isolation"
	}
	if len(st.tokens) < 2 {
		return ""
	}
	return strings.ToLower(unquote(st.tokens[1].text))
}

func (s *session) executeShow(st statement, sink *rowSink) error {
	name := showName(st)
	value, known := s.settings.current[name]
	switch name {
	case "transaction_read_only":
		known, value = true, "off"
		if s.tx.readOnly || (!s.tx.explicit && s.settings.isOn("default_transaction_read_only")) || !s.m.acceptsWrites() {
			value = "on"
		}
	case "transaction_isolation":
		known, value = true, "read committed"
		if s.tx.aboveReadCommitted {
			value = "serializable"
		}
	}
	if !known {
		return newError(codeUndefinedObject, "unrecognized configuration parameter %q", name)
	}
	sink.sendDescription(s, []pgproto3.FieldDescription{fieldDescription(name, oidText, formatText)})
	return sink.writeRow([][]byte{[]byte(value)})
}

func (s *session) executeDiscard(st statement) error {
	if st.word(1) != "ALL" {
		return nil
	}
	if s.tx.explicit {
		return newError(codeActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
	}
	before := s.settings.current
	s.settings.resetAll()
	s.reportSettings(before)
	clear(s.prepared)
	clear(s.portals)
	return nil
}

func (s *session) executeDeallocate(st statement) error {
	i := 1
	if st.word(i) == "PREPARE" {
		i++
	}
	if st.word(i) == "ALL" {
		clear(s.prepared)
		return nil
	}
	if i >= len(st.tokens) {
		return newError(codeSyntaxError, "syntax error in DEALLOCATE")
	}
	name := unquote(st.tokens[i].text)
	if s.prepared[name] == nil {
		return newError(codeInvalidStatement, "prepared statement %q does not exist", name)
	}
	delete(s.prepared, name)
	return nil
}

// statusFields describes the columns of a status row.
func statusFields() []pgproto3.FieldDescription {
	var fields []pgproto3.FieldDescription
	for _, name := range group.StatusColumns {
		fields = append(fields, fieldDescription(name, oidText, formatText))
	}
	return fields
}
