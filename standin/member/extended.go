package member

import (
	"database/sql/driver"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedStatement is a statement that a Parse message has prepared.
type preparedStatement struct {
	// empty is true for an empty query string.
	empty          bool
	statement      statement
	parameterTypes []uint32
	fields         []pgproto3.FieldDescription
}

// portal is a prepared statement that is bound to parameter values.
type portal struct {
	prepared *preparedStatement
	args     []driver.Value
	fields   []pgproto3.FieldDescription
	// executed is true once the statement has run. unsentRows are the rows that the
	// client has not fetched yet.
	executed   bool
	tag        string
	unsentRows [][][]byte
}

// handleExtended handles a message of the extended query protocol.
func (s *session) handleExtended(msg pgproto3.FrontendMessage) error {
	if _, ok := msg.(*pgproto3.Sync); ok {
		return s.sync()
	}
	if s.skippingToSync {
		return nil
	}
	err := s.handleExtendedMessage(msg)
	if err == nil {
		return nil
	}
	if err := s.fail(err); err != nil {
		return err
	}
	s.skippingToSync = true
	return s.flush()
}

func (s *session) handleExtendedMessage(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(msg)
	case *pgproto3.Bind:
		return s.bind(msg)
	case *pgproto3.Describe:
		return s.describeMessage(msg)
	case *pgproto3.Execute:
		return s.executePortal(msg)
	case *pgproto3.Close:
		if msg.ObjectType == 'S' {
			delete(s.prepared, msg.Name)
		} else {
			delete(s.portals, msg.Name)
		}
		return s.send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Remaining messages of a failed COPY are ignored.
		return nil
	}
	return newError(codeProtocolViolation, "message %T is not expected", msg)
}

// sync handles a Sync message: it commits the implicit transaction of the pipeline.
func (s *session) sync() error {
	s.skippingToSync = false
	if !s.tx.explicit {
		position, err := s.commit()
		if err != nil {
			if err := s.fail(err); err != nil {
				return err
			}
		}
		if err := s.reportPosition(position); err != nil {
			return err
		}
	}
	return s.sendReady()
}

func (s *session) parse(msg *pgproto3.Parse) error {
	if msg.Name != "" && s.prepared[msg.Name] != nil {
		return newError(codeDuplicateStatement, "prepared statement %q already exists", msg.Name)
	}
	list := splitStatements(msg.Query)
	p := &preparedStatement{}
	switch {
	case len(list) > 1:
		return newError(codeSyntaxError, "cannot insert multiple commands into a prepared statement")
	case len(list) == 0:
		p.empty = true
	default:
		p.statement = list[0]
	}
	if p.statement.maxParameter > maxBindParameters {
		return newError(codeSyntaxError, "there are more than %d parameters", maxBindParameters)
	}
	if s.tx.failed && !p.empty && !p.statement.endsTransaction() && !p.statement.isRollbackTo() {
		return newError(codeFailedTransaction,
			"current transaction is aborted, commands ignored until end of transaction block")
	}
	p.parameterTypes = make([]uint32, max(p.statement.maxParameter, len(msg.ParameterOIDs)))
	copy(p.parameterTypes, msg.ParameterOIDs)
	if !p.empty {
		fields, err := s.describeStatement(p.statement)
		if err != nil {
			return err
		}
		p.fields = fields
	}
	s.prepared[msg.Name] = p
	return s.send(&pgproto3.ParseComplete{})
}

func (s *session) bind(msg *pgproto3.Bind) error {
	p := s.prepared[msg.PreparedStatement]
	if p == nil {
		return newError(codeInvalidStatement, "prepared statement %q does not exist", msg.PreparedStatement)
	}
	if len(msg.Parameters) != len(p.parameterTypes) {
		return newError(codeProtocolViolation, "bind message supplies %d parameters, but the statement requires %d",
			len(msg.Parameters), len(p.parameterTypes))
	}
	result := &portal{prepared: p}
	for i, data := range msg.Parameters {
		v, err := decodeParameter(data, p.parameterTypes[i], formatAt(msg.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		result.args = append(result.args, v)
	}
	for i, f := range p.fields {
		f.Format = formatAt(msg.ResultFormatCodes, i)
		result.fields = append(result.fields, f)
	}
	s.portals[msg.DestinationPortal] = result
	return s.send(&pgproto3.BindComplete{})
}

// formatAt returns the format of the i-th value. Without codes, all values have text
// format; a single code applies to all values.
func formatAt(codes []int16, i int) int16 {
	switch {
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return formatText
}

func (s *session) describeMessage(msg *pgproto3.Describe) error {
	var fields []pgproto3.FieldDescription
	if msg.ObjectType == 'S' {
		p := s.prepared[msg.Name]
		if p == nil {
			return newError(codeInvalidStatement, "prepared statement %q does not exist", msg.Name)
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.parameterTypes})
		fields = p.fields
	} else {
		p := s.portals[msg.Name]
		if p == nil {
			return newError(codeInvalidCursor, "portal %q does not exist", msg.Name)
		}
		fields = p.fields
	}
	if len(fields) == 0 {
		return s.send(&pgproto3.NoData{})
	}
	return s.send(&pgproto3.RowDescription{Fields: fields})
}

func (s *session) executePortal(msg *pgproto3.Execute) error {
	p := s.portals[msg.Portal]
	if p == nil {
		return newError(codeInvalidCursor, "portal %q does not exist", msg.Portal)
	}
	if p.prepared.empty {
		return s.send(&pgproto3.EmptyQueryResponse{})
	}
	if p.executed && len(p.unsentRows) == 0 && len(p.fields) == 0 {
		return newError(codeNotInState, "portal %q cannot be run", msg.Portal)
	}
	if !p.executed {
		if err := s.runPortal(p, msg.MaxRows > 0); err != nil {
			return err
		}
	}
	if msg.MaxRows == 0 && len(p.unsentRows) == 0 {
		return s.send(&pgproto3.CommandComplete{CommandTag: []byte(p.tag)})
	}
	return s.sendUnsentRows(p, int(msg.MaxRows))
}

// runPortal runs the statement. If the client limits the number of rows, all rows are
// kept in memory, so that no SQLite statement stays open between messages.
func (s *session) runPortal(p *portal, keep bool) error {
	sink := &rowSink{fields: p.fields, described: true}
	sink.writeRow = func(values [][]byte) error {
		if keep {
			p.unsentRows = append(p.unsentRows, values)
			return nil
		}
		return s.send(&pgproto3.DataRow{Values: values})
	}
	tag, err := s.execute(p.prepared.statement, p.args, sink)
	if err != nil {
		return err
	}
	p.executed, p.tag = true, tag
	return nil
}

// sendUnsentRows sends up to limit of the unsent rows; 0 means all.
func (s *session) sendUnsentRows(p *portal, limit int) error {
	n := len(p.unsentRows)
	if limit > 0 {
		n = min(n, limit)
	}
	for _, row := range p.unsentRows[:n] {
		if err := s.send(&pgproto3.DataRow{Values: row}); err != nil {
			return err
		}
	}
	p.unsentRows = p.unsentRows[n:]
	if limit > 0 && n == limit {
		return s.send(&pgproto3.PortalSuspended{})
	}
	tag := p.tag
	if p.prepared.statement.isRead() {
		tag = "SELECT " + strconv.Itoa(n)
	}
	return s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}
