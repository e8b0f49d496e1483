package frontend

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	// maxStatements bounds the prepared statements of a session.
	maxStatements = 1000
	// maxConnStatements bounds the session state on a server connection, which is
	// mostly prepared statements.
	maxConnStatements = 1000
	canonicalPrefix   = "mulberry_"
	canonicalBytes    = 16
	// nonexistentStatement is never prepared, so that Close of it succeeds without
	// an effect.
	nonexistentStatement = "mulberry_absent"
)

// statement is a prepared statement of a session. It is immutable.
type statement struct {
	// canonical is the name on server connections, a hash of the text and the
	// parameter types. It is empty for the unnamed statement.
	canonical string
	// parse is the encoded Parse message with the canonical name.
	parse []byte
	class statementClass
	// sql is the statement's text, a slice of parse.
	sql []byte
	// proxyCommand is set if the proxy executes the statement itself.
	proxyCommand *proxyCommand
}

// newStatement returns the statement that a Parse defines. The definition is the
// part of the message body after the name: the query and the parameter types. If
// named is false, the statement gets no canonical name.
func newStatement(named bool, definition []byte) *statement {
	st := &statement{}
	if named {
		sum := sha256.Sum256(definition)
		st.canonical = canonicalPrefix + hex.EncodeToString(sum[:canonicalBytes])
	}
	st.parse = appendNamedMessage(make([]byte, 0, headerBytes+len(st.canonical)+1+len(definition)), 'P', st.canonical, definition)
	end := bytes.IndexByte(definition, 0)
	sql := st.parse[len(st.parse)-len(definition):][:end]
	st.class = classify(sql)
	st.proxyCommand = parseProxyCommand(st.class, sql)
	st.sql = sql
	return st
}

// appendNamedMessage appends a message whose body is a name followed by rest.
func appendNamedMessage(b []byte, kind byte, name string, rest []byte) []byte {
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(4+len(name)+1+len(rest)))
	b = append(b, name...)
	b = append(b, 0)
	return append(b, rest...)
}

// appendBind appends a Bind of the portal to the statement with the name.
func appendBind(b, portal []byte, name string, rest []byte) []byte {
	b = append(b, 'B')
	b = binary.BigEndian.AppendUint32(b, uint32(4+len(portal)+1+len(name)+1+len(rest)))
	b = append(b, portal...)
	b = append(b, 0)
	b = append(b, name...)
	b = append(b, 0)
	return append(b, rest...)
}

// appendStatementTarget appends a Describe or Close of a statement.
func appendStatementTarget(b []byte, kind byte, name string) []byte {
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(4+1+len(name)+1))
	b = append(b, 'S')
	b = append(b, name...)
	return append(b, 0)
}

// cutCString splits a body after its first zero-terminated string.
func cutCString(body []byte) (text, rest []byte, ok bool) {
	i := bytes.IndexByte(body, 0)
	if i < 0 {
		return nil, nil, false
	}
	return body[:i], body[i+1:], true
}

// statementRegistry holds the prepared statements of a session by name. It is
// guarded by session.mu, because the relay removes statements whose Parse failed.
type statementRegistry struct{ byName map[string]*statement }

func (r *statementRegistry) get(name []byte) *statement { return r.byName[string(name)] }

func (r *statementRegistry) put(name string, st *statement) {
	if r.byName == nil {
		r.byName = map[string]*statement{}
	}
	r.byName[name] = st
}

// remove deletes the name if it still refers to st.
func (r *statementRegistry) remove(name string, st *statement) {
	if r.byName[name] == st {
		delete(r.byName, name)
	}
}

// evictionCandidate returns the name of a statement to close on a connection that
// has reached its limit, or "". The set keeps no order of use, so the choice is
// arbitrary.
func evictionCandidate(state map[string]struct{}, keep string) string {
	if len(state) < maxConnStatements {
		return ""
	}
	for name := range state {
		if name != keep && len(name) > len(canonicalPrefix) && name[:len(canonicalPrefix)] == canonicalPrefix {
			return name
		}
	}
	return ""
}
