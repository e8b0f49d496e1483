package frontend

import (
	"bytes"
	"strings"
)

// statementKind classifies a statement by its effect on the transaction and the
// session, which follows from its first keywords. The rest of the SQL is not
// interpreted.
type statementKind uint8

const (
	kindOther statementKind = iota
	// kindUnknown is text that may contain several statements.
	kindUnknown
	kindEmpty
	kindBegin
	// kindCommit includes END and PREPARE TRANSACTION.
	kindCommit
	// kindRollback includes ABORT, but not ROLLBACK TO.
	kindRollback
	kindSet
	kindReset
	kindShow
	kindDeallocate
	kindDiscard
	kindListen
)

// statementClass is the class of a statement.
type statementClass struct {
	kind statementKind
	// readOnly or readWrite is set if the statement declares this access mode.
	readOnly, readWrite bool
	// chain is set if a COMMIT or ROLLBACK starts the next transaction (AND CHAIN).
	chain bool
}

// classify classifies SQL text by its first keywords. Text that continues after a
// semicolon may contain several statements and is kindUnknown.
func classify(sql []byte) statementClass {
	if i := bytes.IndexByte(sql, ';'); i >= 0 && len(bytes.TrimLeft(sql[i:], "; \t\r\n")) > 0 {
		return statementClass{kind: kindUnknown}
	}
	t := tokenizer{rest: sql}
	first := t.next()
	switch {
	case len(first) == 0:
		return statementClass{kind: kindEmpty}
	case isKeyword(first, "BEGIN"):
		return beginClass(t)
	case isKeyword(first, "START"):
		if isKeyword(t.next(), "TRANSACTION") {
			return beginClass(t)
		}
	case isKeyword(first, "COMMIT"), isKeyword(first, "END"):
		return endClass(t, kindCommit)
	case isKeyword(first, "ROLLBACK"), isKeyword(first, "ABORT"):
		return endClass(t, kindRollback)
	case isKeyword(first, "PREPARE"):
		if isKeyword(t.next(), "TRANSACTION") {
			return statementClass{kind: kindCommit}
		}
	case isKeyword(first, "SET"):
		return setClass(t)
	case isKeyword(first, "RESET"):
		return statementClass{kind: kindReset}
	case isKeyword(first, "SHOW"):
		return statementClass{kind: kindShow}
	case isKeyword(first, "DEALLOCATE"):
		return statementClass{kind: kindDeallocate}
	case isKeyword(first, "LISTEN"):
		return statementClass{kind: kindListen}
	case isKeyword(first, "DISCARD"):
		return statementClass{kind: kindDiscard}
	}
	return statementClass{kind: kindOther}
}

// mayDisableReadOnly reports whether a statement other than SET may turn off the
// read-only mode that a read-only route sets on its connections. It only searches
// the text, so it also returns true for text that merely mentions the mode.
func mayDisableReadOnly(class statementClass, sql []byte) bool {
	if class.kind == kindShow || class.kind == kindSet {
		return false
	}
	return containsFold(sql, "transaction_read_only") || (class.kind == kindUnknown && containsFold(sql, "write"))
}

// containsFold reports whether sql contains the word, which is in lower case,
// ignoring case. It does not allocate.
func containsFold(sql []byte, word string) bool {
	for i := 0; i+len(word) <= len(sql); i++ {
		if sql[i]|0x20 == word[0] && isKeyword(sql[i:i+len(word)], word) {
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

// endClass classifies COMMIT and ROLLBACK; t is positioned after the first keyword.
func endClass(t tokenizer, kind statementKind) statementClass {
	c := statementClass{kind: kind}
	word := t.next()
	if isKeyword(word, "WORK") || isKeyword(word, "TRANSACTION") {
		word = t.next()
	}
	switch {
	case isKeyword(word, "TO"):
		return statementClass{kind: kindOther}
	case isKeyword(word, "PREPARED"):
		// COMMIT PREPARED and ROLLBACK PREPARED run outside a transaction.
		return statementClass{kind: kindOther}
	case isKeyword(word, "AND"):
		c.chain = !isKeyword(t.next(), "NO")
	}
	return c
}

// setClass classifies SET: session settings are kindSet, and forms that last only
// until the end of the transaction are kindOther.
func setClass(t tokenizer) statementClass {
	word := t.next()
	if isKeyword(word, "TRANSACTION") || isKeyword(word, "LOCAL") || isKeyword(word, "CONSTRAINTS") {
		c := statementClass{kind: kindOther}
		name := t
		if isKeyword(word, "LOCAL") && isKeyword(name.next(), "transaction_read_only") {
			name.next()
			c.readWrite = !isTrue(unquote(name.next()))
			return c
		}
		c.readOnly, c.readWrite = accessMode(t)
		return c
	}
	c := statementClass{kind: kindSet}
	if isKeyword(word, "SESSION") && isKeyword(t.next(), "CHARACTERISTICS") {
		c.readOnly, c.readWrite = accessMode(t)
	}
	return c
}

// accessMode finds READ ONLY or READ WRITE in a list of transaction modes; the last
// one counts.
func accessMode(t tokenizer) (readOnly, readWrite bool) {
	for {
		word := t.next()
		if len(word) == 0 {
			return readOnly, readWrite
		}
		if !isKeyword(word, "READ") {
			continue
		}
		switch mode := t.next(); {
		case isKeyword(mode, "ONLY"):
			readOnly, readWrite = true, false
		case isKeyword(mode, "WRITE"):
			readOnly, readWrite = false, true
		}
	}
}

// isKeyword reports whether a token is the keyword, ignoring case.
func isKeyword(word []byte, keyword string) bool {
	return len(word) == len(keyword) && strings.EqualFold(string(word), keyword)
}

// tokenizer splits SQL into words, quoted strings and single characters, and
// skips white space and comments. It does not allocate.
type tokenizer struct{ rest []byte }

// next returns the next token, or nil at the end of the statement.
func (t *tokenizer) next() []byte {
	t.skipBlanks()
	if len(t.rest) == 0 {
		return nil
	}
	n := 1
	switch c := t.rest[0]; {
	case isWordByte(c):
		for n < len(t.rest) && isWordByte(t.rest[n]) {
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

func (t *tokenizer) skipBlanks() {
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

// commentLength returns the length of a block comment, which may be nested.
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

// quotedLength returns the length of a quoted token, in which a doubled quote stands
// for the quote itself.
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

func isWordByte(c byte) bool {
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

// quoteLiteral returns the value as an SQL string literal.
func quoteLiteral(value string) string {
	quoted := "'" + strings.ReplaceAll(value, "'", "''") + "'"
	if strings.Contains(value, `\`) {
		return " E" + strings.ReplaceAll(quoted, `\`, `\\`)
	}
	return quoted
}

// quoteIdentifier returns the name as a quoted SQL identifier.
func quoteIdentifier(name string) string {
	return `"` + strings.ReplaceAll(name, `"`, `""`) + `"`
}
