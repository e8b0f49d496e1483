package member

import (
	"context"
	"database/sql/driver"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// connectionError is a failure of the client connection. It ends the session.
type connectionError struct{ cause error }

func (e *connectionError) Error() string { return "client connection: " + e.cause.Error() }
func (e *connectionError) Unwrap() error { return e.cause }

// endsSession reports whether the client cannot receive a response after the error.
func endsSession(err error) bool {
	var connection *connectionError
	return errors.As(err, &connection) || errors.Is(err, errConnectionDropped)
}

// rowSink encodes the rows of a statement and passes them on.
type rowSink struct {
	// fields describes the columns. described is true if the client has their
	// description; otherwise the sink derives it from the first row and sends it.
	fields    []pgproto3.FieldDescription
	described bool
	// writeRow receives each row, encoded in the formats of fields.
	writeRow func(values [][]byte) error
	rows     int64
}

// execute runs one statement and returns its command tag.
func (s *session) execute(st statement, args []driver.Value, sink *rowSink) (string, error) {
	if s.tx.failed && !st.endsTransaction() && !st.isRollbackTo() {
		return "", newError(codeFailedTransaction,
			"current transaction is aborted, commands ignored until end of transaction block")
	}
	if tag, done, err := s.executeSessionCommand(st, sink); done {
		return tag, err
	}
	if s.control {
		return "", newError(codeInsufficientRights, "a control connection takes mulberry calls only")
	}
	s.m.faults.countStatement()
	ctx, end := s.beginStatement()
	defer end()
	if st.verb == "COPY" {
		return s.copy(ctx, st)
	}
	return s.executeData(ctx, st, args, sink)
}

// executeSessionCommand runs the statements that are not passed to SQLite, and
// rejects those that are not supported. It returns false if st is neither.
func (s *session) executeSessionCommand(st statement, sink *rowSink) (string, bool, error) {
	if controlCallPattern.MatchString(st.sql) {
		return s.executeCall(st, sink)
	}
	switch st.verb {
	case "BEGIN", "START":
		s.begin(st)
		return st.verbTag(), true, nil
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		if st.isRollbackTo() {
			return "", false, nil
		}
		tag, err := s.endBlock(st)
		return tag, true, err
	case "SET":
		return "SET", true, s.executeSet(st)
	case "RESET":
		return "RESET", true, s.executeReset(st)
	case "SHOW":
		return "SHOW", true, s.executeShow(st, sink)
	case "DISCARD":
		return "DISCARD ALL", true, s.executeDiscard(st)
	case "DEALLOCATE":
		return "DEALLOCATE", true, s.executeDeallocate(st)
	case "PRAGMA", "ATTACH", "DETACH", "VACUUM", "REINDEX", "ANALYZE":
		return "", true, newError(codeNotSupported, "%s is not supported", st.verb)
	case "CREATE":
		if st.word(1) == "TEMP" || st.word(1) == "TEMPORARY" {
			return "", true, newError(codeNotSupported, "temporary objects are not supported")
		}
	}
	return "", false, nil
}

// executeCall runs a control call. Client connections carry the SQL of arbitrary
// clients, so they must not be able to fence or promote the member.
func (s *session) executeCall(st statement, sink *rowSink) (string, bool, error) {
	if !s.control {
		return "", true, newError(codeInsufficientRights, "mulberry calls need a control connection")
	}
	ctx, end := s.beginStatement()
	defer end()
	status, _, err := s.m.executeControlCall(ctx, st.sql)
	if err != nil {
		return "", true, err
	}
	sink.sendDescription(s, statusFields())
	return "SELECT 1", true, sink.writeRow(status.Row())
}

// executeData runs a statement in SQLite. It takes the write lock before a slot.
// Otherwise the statements that wait for the lock could occupy all slots, and the
// lock's holder could never finish.
func (s *session) executeData(ctx context.Context, st statement, args []driver.Value, sink *rowSink) (string, error) {
	if err := s.prepareTransaction(ctx, st); err != nil {
		return "", err
	}
	release, err := s.acquireSlot(ctx)
	if err != nil {
		return "", err
	}
	defer release()
	rows, err := s.db.query(ctx, st.sql, args)
	if err != nil {
		return "", err
	}
	if st.verb == "SELECT" {
		s.m.selects.Add(1)
	}
	hasRows := len(rows.Columns()) > 0
	err = sink.writeAll(s, rows)
	rows.close()
	if err != nil {
		return "", err
	}
	changed, err := s.recordChanges(st, args)
	if err != nil {
		return "", err
	}
	if st.isRollbackTo() {
		s.tx.failed = false
	}
	if hasRows {
		changed = sink.rows
	}
	return st.tag(changed), nil
}

// writeAll writes all rows of the result.
func (k *rowSink) writeAll(s *session, rows *resultRows) error {
	columns := rows.Columns()
	if len(columns) == 0 {
		return nil
	}
	for {
		row, err := rows.next()
		if err == io.EOF {
			k.sendDescription(s, fieldsOf(rows, nil))
			return nil
		}
		if err != nil {
			return err
		}
		k.sendDescription(s, fieldsOf(rows, row))
		if err := k.writeValues(row); err != nil {
			return err
		}
	}
}

// sendDescription sends the description of the columns unless the client has it.
func (k *rowSink) sendDescription(s *session, fields []pgproto3.FieldDescription) {
	if k.described {
		return
	}
	k.described = true
	k.fields = fields
	s.backend.Send(&pgproto3.RowDescription{Fields: fields})
}

func (k *rowSink) writeValues(row []driver.Value) error {
	if len(k.fields) != len(row) {
		return newError(codeNotSupported, "cached plan must not change result type")
	}
	values := make([][]byte, len(row))
	for i, v := range row {
		var err error
		if values[i], err = encodeValue(v, k.fields[i].DataTypeOID, k.fields[i].Format); err != nil {
			return err
		}
	}
	k.rows++
	return k.writeRow(values)
}

// fieldsOf describes the columns of a running statement. The type of an expression is
// that of its value in the first row.
func fieldsOf(rows *resultRows, first []driver.Value) []pgproto3.FieldDescription {
	typed := rows.Rows.(driver.RowsColumnTypeDatabaseTypeName)
	var fields []pgproto3.FieldDescription
	for i, name := range rows.Columns() {
		oid := oidOfDeclared(typed.ColumnTypeDatabaseTypeName(i))
		switch {
		case oid != oidUnspecified:
		case first != nil:
			oid = oidOfValue(first[i])
		default:
			oid = oidOfExpression(name)
		}
		fields = append(fields, fieldDescription(name, oid, formatText))
	}
	return fields
}

// describeStatement describes the columns of a statement without running it. The
// result is empty if the statement returns no rows.
func (s *session) describeStatement(st statement) ([]pgproto3.FieldDescription, error) {
	if controlCallPattern.MatchString(st.sql) {
		return statusFields(), nil
	}
	switch st.verb {
	case "SHOW":
		return []pgproto3.FieldDescription{fieldDescription(showName(st), oidText, formatText)}, nil
	case "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SAVEPOINT", "RELEASE", "SET", "RESET",
		"DISCARD", "DEALLOCATE", "COPY", "PRAGMA", "ATTACH", "DETACH", "VACUUM", "REINDEX", "ANALYZE":
		return nil, nil
	}
	if s.control {
		return nil, newError(codeInsufficientRights, "a control connection takes mulberry calls only")
	}
	info, err := s.db.conn.ColumnInfo(st.sql)
	if err != nil {
		return nil, err
	}
	var fields []pgproto3.FieldDescription
	for _, c := range info {
		oid := oidOfDeclared(c.DeclType)
		if oid == oidUnspecified {
			oid = oidOfExpression(c.Name)
		}
		fields = append(fields, fieldDescription(c.Name, oid, formatText))
	}
	return fields, nil
}

// verbTag returns the command tag of BEGIN, START, COMMIT or another transaction
// command.
func (st statement) verbTag() string {
	if st.verb == "START" {
		return "START TRANSACTION"
	}
	return st.verb
}

// tag returns the command tag of a statement that SQLite ran. rows is the number of
// rows that it returned or changed.
func (st statement) tag(rows int64) string {
	n := strconv.FormatInt(rows, 10)
	switch st.verb {
	case "SELECT", "VALUES":
		return "SELECT " + n
	case "INSERT", "REPLACE":
		return "INSERT 0 " + n
	case "UPDATE", "DELETE":
		return st.verb + " " + n
	case "CREATE", "DROP", "ALTER":
		for _, t := range st.tokens[1:] {
			switch object := strings.ToUpper(t.text); object {
			case "TABLE", "INDEX", "VIEW", "TRIGGER":
				return st.verb + " " + object
			}
		}
	}
	return st.verb
}

// fail sends an error to the client and aborts the transaction. It returns the error
// if it ends the session.
func (s *session) fail(err error) error {
	if endsSession(err) || s.ctx.Err() != nil {
		return err
	}
	if s.tx.explicit {
		s.tx.failed = true
	} else {
		s.rollback()
	}
	s.backend.Send(asPGError(err).response())
	return nil
}

func (s *session) warn(code, message string) {
	s.backend.Send(&pgproto3.NoticeResponse{
		Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: code, Message: message,
	})
}

// simpleQuery handles a Query message. Its statements run in one implicit transaction
// unless they contain transaction commands.
func (s *session) simpleQuery(text string) error {
	list := splitStatements(text)
	if len(list) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	delete(s.prepared, "")
	delete(s.portals, "")
	for i, st := range list {
		if err := s.simpleStatement(st, i == len(list)-1); err != nil {
			if err := s.fail(err); err != nil {
				return err
			}
			break
		}
	}
	return s.sendReady()
}

func (s *session) simpleStatement(st statement, last bool) error {
	sink := &rowSink{writeRow: func(values [][]byte) error {
		return s.send(&pgproto3.DataRow{Values: values})
	}}
	tag, err := s.execute(st, nil, sink)
	if err != nil {
		return err
	}
	if last && !s.tx.explicit {
		position, err := s.commit()
		if err != nil {
			return err
		}
		if err := s.reportPosition(position); err != nil {
			return err
		}
	}
	return s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}
