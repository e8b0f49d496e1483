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
	// maxConnStatements bounds those on a server connection.
	maxConnStatements = 1000
	canonicalPrefix   = "mulberry_"
	canonicalBytes    = 16
	// absentStatement is never prepared: Close of it succeeds and does nothing.
	absentStatement = "mulberry_absent"
)

// statement is a prepared statement of a session. It is immutable.
type statement struct {
	// canonical is the name on server connections, from the text and the types;
	// empty for the unnamed statement.
	canonical string
	// parse is the encoded Parse message with the canonical name.
	parse []byte
	class statementClass
	// sql is the text, a part of parse.
	sql []byte
	// own is set when the proxy answers the statement itself.
	own *ownCommand
}

// newStatement builds a statement from the part of a Parse body after the name:
// the query and the parameter types. With named false it gets no canonical name.
func newStatement(named bool, definition []byte) *statement {
	st := &statement{}
	if named {
		sum := sha256.Sum256(definition)
		st.canonical = canonicalPrefix + hex.EncodeToString(sum[:canonicalBytes])
	}
	st.parse = appendNamed(make([]byte, 0, headerBytes+len(st.canonical)+1+len(definition)), 'P', st.canonical, definition)
	end := bytes.IndexByte(definition, 0)
	sql := st.parse[len(st.parse)-len(definition):][:end]
	st.class = classify(sql)
	st.own = parseOwn(st.class, sql)
	st.sql = sql
	return st
}

// appendNamed appends a message whose body is a name and further bytes.
func appendNamed(b []byte, kind byte, name string, rest []byte) []byte {
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(4+len(name)+1+len(rest)))
	b = append(b, name...)
	b = append(b, 0)
	return append(b, rest...)
}

// appendBind appends a Bind with another statement name.
func appendBind(b, portal []byte, name string, rest []byte) []byte {
	b = append(b, 'B')
	b = binary.BigEndian.AppendUint32(b, uint32(4+len(portal)+1+len(name)+1+len(rest)))
	b = append(b, portal...)
	b = append(b, 0)
	b = append(b, name...)
	b = append(b, 0)
	return append(b, rest...)
}

// appendTarget appends a Describe or Close of a statement.
func appendTarget(b []byte, kind byte, name string) []byte {
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(4+1+len(name)+1))
	b = append(b, 'S')
	b = append(b, name...)
	return append(b, 0)
}

// cutString splits a body after a zero-terminated string.
func cutString(body []byte) (text, rest []byte, ok bool) {
	i := bytes.IndexByte(body, 0)
	if i < 0 {
		return nil, nil, false
	}
	return body[:i], body[i+1:], true
}

// registry holds a session's prepared statements by name. session.mu guards it,
// because the relay removes statements whose Parse failed.
type registry struct{ byName map[string]*statement }

func (r *registry) get(name []byte) *statement { return r.byName[string(name)] }

func (r *registry) put(name string, st *statement) {
	if r.byName == nil {
		r.byName = map[string]*statement{}
	}
	r.byName[name] = st
}

// remove deletes the name if it still stands for st.
func (r *registry) remove(name string, st *statement) {
	if r.byName[name] == st {
		delete(r.byName, name)
	}
}

// evict chooses a statement to drop from a full connection. Conn.Prepared keeps
// no order, so the choice is random.
func evict(state map[string]struct{}, keep string) string {
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
