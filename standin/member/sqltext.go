package member

import (
	"strings"
)

type tokenKind int

const (
	tokenWord tokenKind = iota
	tokenQuotedName
	tokenString
	tokenParameter
	tokenOther
)

// token is a lexical token of SQL text. Comments and white space yield no tokens.
type token struct {
	kind       tokenKind
	text       string
	start, end int // byte offsets in the SQL text
}

// tokenize splits SQL text into tokens. An unterminated quotation extends to the end
// of the text; SQLite reports the error when it prepares the statement.
func tokenize(sql string) []token {
	var tokens []token
	for i := 0; i < len(sql); {
		start := i
		c := sql[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f':
			i++
			continue
		case strings.HasPrefix(sql[i:], "--"):
			i = indexFrom(sql, i, "\n")
			continue
		case strings.HasPrefix(sql[i:], "/*"):
			i = indexFrom(sql, i+2, "*/")
			continue
		case c == '\'':
			i = endOfQuote(sql, i)
			tokens = append(tokens, token{tokenString, sql[start:i], start, i})
		case c == '"' || c == '`':
			i = endOfQuote(sql, i)
			tokens = append(tokens, token{tokenQuotedName, sql[start:i], start, i})
		case c == '$' && i+1 < len(sql) && isDigit(sql[i+1]):
			for i++; i < len(sql) && isDigit(sql[i]); i++ {
			}
			tokens = append(tokens, token{tokenParameter, sql[start:i], start, i})
		case isWordByte(c):
			for ; i < len(sql) && isWordByte(sql[i]); i++ {
			}
			tokens = append(tokens, token{tokenWord, sql[start:i], start, i})
		default:
			i++
			tokens = append(tokens, token{tokenOther, sql[start:i], start, i})
		}
	}
	return tokens
}

// indexFrom returns the offset just after the next occurrence of mark at or after
// from, or the length of s if there is none.
func indexFrom(s string, from int, mark string) int {
	if from >= len(s) {
		return len(s)
	}
	n := strings.Index(s[from:], mark)
	if n < 0 {
		return len(s)
	}
	return from + n + len(mark)
}

// endOfQuote returns the offset just after the quotation that starts at i. A doubled
// quotation mark is an escaped one.
func endOfQuote(s string, i int) int {
	quote := s[i]
	for i++; i < len(s); i++ {
		if s[i] != quote {
			continue
		}
		if i+1 < len(s) && s[i+1] == quote {
			i++
			continue
		}
		return i + 1
	}
	return len(s)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordByte(c byte) bool {
	return c == '_' || c == '.' || c >= 0x80 || isDigit(c) || (c|0x20 >= 'a' && c|0x20 <= 'z')
}

// statement is one SQL statement with its tokens.
type statement struct {
	sql    string
	tokens []token
	// verb is the command keyword in upper case. For WITH it is the keyword after
	// the common table expressions.
	verb string
	// maxParameter is the highest parameter number, at most maxBindParameters+1.
	maxParameter int
}

// splitStatements splits SQL text at the semicolons between statements. Empty
// statements are omitted.
func splitStatements(sql string) []statement {
	var list []statement
	var current []token
	flush := func() {
		if len(current) > 0 {
			list = append(list, newStatement(sql, current))
		}
		current = nil
	}
	for _, t := range tokenize(sql) {
		if t.text == ";" && !insideTrigger(current) {
			flush()
			continue
		}
		current = append(current, t)
	}
	flush()
	return list
}

// insideTrigger reports whether the tokens are an incomplete CREATE TRIGGER, whose
// body contains semicolons that do not end the statement.
func insideTrigger(tokens []token) bool {
	if len(tokens) < 3 || !strings.EqualFold(tokens[0].text, "CREATE") {
		return false
	}
	if !strings.EqualFold(tokens[1].text, "TRIGGER") && !strings.EqualFold(tokens[2].text, "TRIGGER") {
		return false
	}
	return !strings.EqualFold(tokens[len(tokens)-1].text, "END")
}

func newStatement(sql string, tokens []token) statement {
	st := statement{sql: sql[tokens[0].start:tokens[len(tokens)-1].end], tokens: tokens}
	st.verb = strings.ToUpper(tokens[0].text)
	if st.verb == "WITH" {
		st.verb = verbAfterWith(tokens)
	}
	for _, t := range tokens {
		if t.kind == tokenParameter {
			n := 0
			for _, c := range t.text[1:] {
				n = min(n*10+int(c-'0'), maxBindParameters+1)
			}
			st.maxParameter = max(st.maxParameter, n)
		}
	}
	return st
}

// maxBindParameters is the maximum number of parameters of a Bind message, which counts
// them in 16 bits.
const maxBindParameters = 65535

// verbAfterWith returns the command keyword after the common table expressions.
func verbAfterWith(tokens []token) string {
	depth := 0
	for _, t := range tokens {
		switch t.text {
		case "(":
			depth++
		case ")":
			depth--
		}
		if depth > 0 || t.kind != tokenWord {
			continue
		}
		switch word := strings.ToUpper(t.text); word {
		case "SELECT", "VALUES", "INSERT", "REPLACE", "UPDATE", "DELETE":
			return word
		}
	}
	return "WITH"
}

// word returns the i-th token in upper case, or "".
func (st statement) word(i int) string {
	if i >= len(st.tokens) {
		return ""
	}
	return strings.ToUpper(st.tokens[i].text)
}

// hasWords reports whether the statement contains the upper-case words as consecutive
// tokens, in any letter case.
func (st statement) hasWords(words ...string) bool {
	for i := range st.tokens {
		n := 0
		for n < len(words) && st.word(i+n) == words[n] {
			n++
		}
		if n == len(words) {
			return true
		}
	}
	return false
}

// isRead reports whether the statement is of a kind that changes no data.
func (st statement) isRead() bool {
	switch st.verb {
	case "SELECT", "VALUES", "EXPLAIN":
		return true
	}
	return false
}

// isSavepoint reports whether the statement creates, releases or rolls back to a
// savepoint.
func (st statement) isSavepoint() bool {
	return st.verb == "SAVEPOINT" || st.verb == "RELEASE" || st.isRollbackTo()
}

func (st statement) isRollbackTo() bool {
	return st.verb == "ROLLBACK" && (st.word(1) == "TO" || st.word(2) == "TO")
}

// endsTransaction reports whether the statement ends a transaction block.
func (st statement) endsTransaction() bool {
	switch st.verb {
	case "COMMIT", "END", "ABORT":
		return true
	}
	return st.verb == "ROLLBACK" && !st.isRollbackTo()
}

// unquote returns the content of a quoted name or string literal, or the text itself
// if it is not quoted.
func unquote(s string) string {
	if len(s) >= 2 && (s[0] == '\'' || s[0] == '"' || s[0] == '`') && s[len(s)-1] == s[0] {
		q := s[:1]
		return strings.ReplaceAll(s[1:len(s)-1], q+q, q)
	}
	return s
}
