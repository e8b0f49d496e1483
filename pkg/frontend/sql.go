package frontend

import (
	"bytes"
	"strings"
)

// statementKind is what the first keywords of a statement say about its effect
// on the transaction and the session. The rest of the SQL is never interpreted.
type statementKind uint8

const (
	kindOther statementKind = iota
	kindUnknown
	kindEmpty
	kindBegin
	kindEnd
	kindRollback
	kindSet
	kindReset
	kindShow
	kindDeallocate
	kindDiscard
	kindListen
)

// statementClass describes a statement for the relay.
type statementClass struct {
	kind statementKind
	// readOnly and readWrite are access modes that the statement declares.
	readOnly, readWrite bool
	// chain says that a COMMIT or ROLLBACK starts the next transaction.
	chain bool
}

// classify reads the first keywords. Text with a semicolon before further text
// may hold several statements and is kindUnknown.
func classify(sql []byte) statementClass {
	if i := bytes.IndexByte(sql, ';'); i >= 0 && len(bytes.TrimLeft(sql[i:], "; \t\r\n")) > 0 {
		return statementClass{kind: kindUnknown}
	}
	t := tokenizer{rest: sql}
	first := t.next()
	switch {
	case len(first) == 0:
		return statementClass{kind: kindEmpty}
	case is(first, "BEGIN"):
		return beginClass(t)
	case is(first, "START"):
		if is(t.next(), "TRANSACTION") {
			return beginClass(t)
		}
	case is(first, "COMMIT"), is(first, "END"):
		return endClass(t, kindEnd)
	case is(first, "ROLLBACK"), is(first, "ABORT"):
		return endClass(t, kindRollback)
	case is(first, "PREPARE"):
		if is(t.next(), "TRANSACTION") {
			return statementClass{kind: kindEnd}
		}
	case is(first, "SET"):
		return setClass(t)
	case is(first, "RESET"):
		return statementClass{kind: kindReset}
	case is(first, "SHOW"):
		return statementClass{kind: kindShow}
	case is(first, "DEALLOCATE"):
		return statementClass{kind: kindDeallocate}
	case is(first, "LISTEN"):
		return statementClass{kind: kindListen}
	case is(first, "DISCARD"):
		return statementClass{kind: kindDiscard}
	}
	return statementClass{kind: kindOther}
}

// mayAllowWrites reports whether text that is not classified word by word can
// turn off the read-only mode that a read route sets on its connections. Text
// that only mentions the mode counts as well.
func mayAllowWrites(class statementClass, sql []byte) bool {
	if class.kind == kindShow || class.kind == kindSet {
		return false
	}
	return containsFold(sql, "transaction_read_only") || (class.kind == kindUnknown && containsFold(sql, "write"))
}

// containsFold looks for a word in lower case, in any case and without a copy.
func containsFold(sql []byte, word string) bool {
	for i := 0; i+len(word) <= len(sql); i++ {
		if sql[i]|0x20 == word[0] && is(sql[i:i+len(word)], word) {
			return true
		}
	}
	return false
}

func beginClass(t tokenizer) statementClass {
	c := statementClass{kind: kindBegin}
	c.readOnly, c.readWrite = accessMode(t)
	return c
}

func endClass(t tokenizer, kind statementKind) statementClass {
	c := statementClass{kind: kind}
	word := t.next()
	if is(word, "WORK") || is(word, "TRANSACTION") {
		word = t.next()
	}
	switch {
	case is(word, "TO"):
		return statementClass{kind: kindOther}
	case is(word, "PREPARED"):
		// COMMIT PREPARED and ROLLBACK PREPARED run outside a transaction.
		return statementClass{kind: kindOther}
	case is(word, "AND"):
		c.chain = !is(t.next(), "NO")
	}
	return c
}

// setClass tells session settings from the forms that end with the transaction.
func setClass(t tokenizer) statementClass {
	word := t.next()
	if is(word, "TRANSACTION") || is(word, "LOCAL") || is(word, "CONSTRAINTS") {
		c := statementClass{kind: kindOther}
		name := t
		if is(word, "LOCAL") && is(name.next(), "transaction_read_only") {
			name.next()
			c.readWrite = !truth(unquote(name.next()))
			return c
		}
		c.readOnly, c.readWrite = accessMode(t)
		return c
	}
	c := statementClass{kind: kindSet}
	if is(word, "SESSION") && is(t.next(), "CHARACTERISTICS") {
		c.readOnly, c.readWrite = accessMode(t)
	}
	return c
}

// accessMode finds READ ONLY or READ WRITE in a list of transaction modes.
func accessMode(t tokenizer) (readOnly, readWrite bool) {
	for {
		word := t.next()
		if len(word) == 0 {
			return readOnly, readWrite
		}
		if !is(word, "READ") {
			continue
		}
		switch mode := t.next(); {
		case is(mode, "ONLY"):
			readOnly, readWrite = true, false
		case is(mode, "WRITE"):
			readOnly, readWrite = false, true
		}
	}
}

func is(word []byte, keyword string) bool {
	return len(word) == len(keyword) && strings.EqualFold(string(word), keyword)
}

// tokenizer splits SQL into words, quoted strings and single characters, and
// skips white space and comments. It does not allocate.
type tokenizer struct{ rest []byte }

// next returns the next token, or nil at the end.
func (t *tokenizer) next() []byte {
	t.skip()
	if len(t.rest) == 0 {
		return nil
	}
	n := 1
	switch c := t.rest[0]; {
	case wordByte(c):
		for n < len(t.rest) && wordByte(t.rest[n]) {
			n++
		}
	case c == '\'' || c == '"':
		n = quotedLength(t.rest, c)
	case c == ';':
		t.rest = nil
		return nil
	}
	token := t.rest[:n]
	t.rest = t.rest[n:]
	return token
}

func (t *tokenizer) skip() {
	for len(t.rest) > 0 {
		switch c := t.rest[0]; {
		case c == ' ' || c == '\t' || c == '\r' || c == '\n' || c == '\f':
			t.rest = t.rest[1:]
		case bytes.HasPrefix(t.rest, []byte("--")):
			i := bytes.IndexByte(t.rest, '\n')
			if i < 0 {
				i = len(t.rest) - 1
			}
			t.rest = t.rest[i+1:]
		case bytes.HasPrefix(t.rest, []byte("/*")):
			t.rest = t.rest[commentLength(t.rest):]
		default:
			return
		}
	}
}

// commentLength returns the length of a block comment; they nest.
func commentLength(b []byte) int {
	depth := 0
	for i := 0; i+1 < len(b); i++ {
		switch {
		case b[i] == '/' && b[i+1] == '*':
			depth++
			i++
		case b[i] == '*' && b[i+1] == '/':
			depth--
			i++
			if depth == 0 {
				return i + 1
			}
		}
	}
	return len(b)
}

// quotedLength returns the length of a quoted token; a doubled quote stays inside.
func quotedLength(b []byte, quote byte) int {
	for i := 1; i < len(b); i++ {
		if b[i] != quote {
			continue
		}
		if i+1 < len(b) && b[i+1] == quote {
			i++
			continue
		}
		return i + 1
	}
	return len(b)
}

func wordByte(c byte) bool {
	return c == '_' || c == '.' || c == '$' || c >= 0x80 ||
		('0' <= c && c <= '9') || ('a' <= c && c <= 'z') || ('A' <= c && c <= 'Z')
}

// unquote returns the value of a word, a quoted string or a quoted identifier.
func unquote(token []byte) string {
	if len(token) >= 2 && (token[0] == '\'' || token[0] == '"') && token[len(token)-1] == token[0] {
		quote := string(token[:1])
		return strings.ReplaceAll(string(token[1:len(token)-1]), quote+quote, quote)
	}
	return string(token)
}

// quoteLiteral returns the SQL string literal of a value.
func quoteLiteral(value string) string {
	quoted := "'" + strings.ReplaceAll(value, "'", "''") + "'"
	if strings.Contains(value, `\`) {
		return " E" + strings.ReplaceAll(quoted, `\`, `\\`)
	}
	return quoted
}

// quoteIdentifier returns the SQL identifier of a name.
func quoteIdentifier(name string) string {
	return `"` + strings.ReplaceAll(name, `"`, `""`) + `"`
}
