package member

import (
	"context"
	"database/sql/driver"
	"io"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// copyCommand is a parsed COPY statement.
type copyCommand struct {
	fromStdin bool
	// table is the table's name as written, with quotation marks. columns is empty
	// if the statement names none, which means all columns.
	table   string
	columns []string
}

// parseCopy parses COPY table [(columns)] FROM STDIN and TO STDOUT.
func parseCopy(st statement) (copyCommand, error) {
	var c copyCommand
	for _, word := range []string{"CSV", "BINARY"} {
		if st.hasWords(word) {
			return c, newError(codeNotSupported, "COPY supports the text format only")
		}
	}
	words := st.tokens[1:]
	if len(words) > 0 {
		c.table, words = words[0].text, words[1:]
	}
	if len(words) > 0 && words[0].text == "(" {
		for words = words[1:]; len(words) > 0 && words[0].text != ")"; words = words[1:] {
			if words[0].text != "," {
				c.columns = append(c.columns, words[0].text)
			}
		}
		words = words[min(1, len(words)):]
	}
	if len(words) >= 2 {
		direction := strings.ToUpper(words[0].text + " " + words[1].text)
		c.fromStdin = direction == "FROM STDIN"
		if c.fromStdin || direction == "TO STDOUT" {
			return c, nil
		}
	}
	return c, newError(codeSyntaxError, "COPY requires FROM STDIN or TO STDOUT")
}

func (c copyCommand) selectSQL() string {
	columns := "*"
	if len(c.columns) > 0 {
		columns = strings.Join(c.columns, ", ")
	}
	return "SELECT " + columns + " FROM " + c.table
}

func (s *session) copy(ctx context.Context, st statement) (string, error) {
	c, err := parseCopy(st)
	if err != nil {
		return "", err
	}
	info, err := s.db.conn.ColumnInfo(c.selectSQL())
	if err != nil {
		return "", err
	}
	if !c.fromStdin {
		return s.copyOut(ctx, c)
	}
	// The rows become INSERT statements, so the transaction must allow those.
	if err := s.prepareTransaction(ctx, statement{verb: "INSERT"}); err != nil {
		return "", err
	}
	s.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, len(info))})
	if err := s.flush(); err != nil {
		return "", err
	}
	data, err := s.receiveCopy()
	if err != nil {
		return "", err
	}
	return s.copyIn(ctx, c, len(info), data)
}

// receiveCopy receives the data of COPY FROM STDIN until its end.
func (s *session) receiveCopy() (string, error) {
	var data strings.Builder
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			return "", &connectionError{err}
		}
		switch msg := msg.(type) {
		case *pgproto3.CopyData:
			data.Write(msg.Data)
		case *pgproto3.CopyDone:
			return data.String(), nil
		case *pgproto3.CopyFail:
			return "", newError(codeQueryCanceled, "COPY from stdin failed: %s", msg.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return "", &connectionError{newError(codeProtocolViolation, "unexpected message during COPY")}
		}
	}
}

// copyIn inserts the rows, each with a logged INSERT statement. width is the number of
// columns.
func (s *session) copyIn(ctx context.Context, c copyCommand, width int, data string) (string, error) {
	release, err := s.acquireSlot(ctx)
	if err != nil {
		return "", err
	}
	defer release()
	insert := "INSERT INTO " + c.table
	if len(c.columns) > 0 {
		insert += " (" + strings.Join(c.columns, ", ") + ")"
	}
	placeholders := make([]string, width)
	for i := range placeholders {
		placeholders[i] = "$" + strconv.Itoa(i+1)
	}
	insert += " VALUES (" + strings.Join(placeholders, ", ") + ")"
	rows := 0
	for line := range strings.Lines(data) {
		line = strings.TrimSuffix(line, "\n")
		if line == `\.` {
			break
		}
		args := parseCopyLine(line)
		if len(args) != width {
			return "", newError(codeBadCopyFormat, "row %d has %d columns, want %d", rows+1, len(args), width)
		}
		if err := s.db.exec(ctx, insert, args...); err != nil {
			return "", err
		}
		if _, err := s.recordChanges(statement{sql: insert}, args); err != nil {
			return "", err
		}
		rows++
	}
	return "COPY " + strconv.Itoa(rows), nil
}

func (s *session) copyOut(ctx context.Context, c copyCommand) (string, error) {
	if err := s.prepareTransaction(ctx, statement{verb: "SELECT"}); err != nil {
		return "", err
	}
	release, err := s.acquireSlot(ctx)
	if err != nil {
		return "", err
	}
	defer release()
	rows, err := s.db.query(ctx, c.selectSQL(), nil)
	if err != nil {
		return "", err
	}
	defer rows.close()
	s.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, len(rows.Columns()))})
	fields := fieldsOf(rows, nil)
	for n := 0; ; n++ {
		row, err := rows.next()
		if err == io.EOF {
			return "COPY " + strconv.Itoa(n), s.send(&pgproto3.CopyDone{})
		}
		if err != nil {
			return "", err
		}
		values := make([][]byte, len(row))
		for i, v := range row {
			if values[i], err = encodeValue(v, fields[i].DataTypeOID, formatText); err != nil {
				return "", err
			}
		}
		if err := s.send(&pgproto3.CopyData{Data: copyLine(values)}); err != nil {
			return "", err
		}
	}
}

var copyEscapes = strings.NewReplacer(`\`, `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`)

// copyLine encodes a row in COPY's text format.
func copyLine(values [][]byte) []byte {
	parts := make([]string, len(values))
	for i, v := range values {
		parts[i] = `\N`
		if v != nil {
			parts[i] = copyEscapes.Replace(string(v))
		}
	}
	return []byte(strings.Join(parts, "\t") + "\n")
}

// parseCopyLine decodes a row in COPY's text format.
func parseCopyLine(line string) []driver.Value {
	var values []driver.Value
	for _, part := range strings.Split(line, "\t") {
		if part == `\N` {
			values = append(values, nil)
			continue
		}
		values = append(values, unescapeCopy(part))
	}
	return values
}

func unescapeCopy(s string) string {
	if !strings.Contains(s, `\`) {
		return s
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] != '\\' || i+1 == len(s) {
			b.WriteByte(s[i])
			continue
		}
		i++
		switch s[i] {
		case 't':
			b.WriteByte('\t')
		case 'n':
			b.WriteByte('\n')
		case 'r':
			b.WriteByte('\r')
		default:
			b.WriteByte(s[i])
		}
	}
	return b.String()
}
