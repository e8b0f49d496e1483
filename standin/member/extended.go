package member

import (
	"database/sql/driver"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a prepared statement.
type prepared struct {
	// empty is true for a statement without text.
	empty  bool
	st     statement
	types  []uint32
	fields []pgproto3.FieldDescription
}

// portal is a prepared statement with its parameters.
type portal struct {
	of     *prepared
	args   []driver.Value
	fields []pgproto3.FieldDescription
	// ran is true once the statement ran; rest are the rows not sent yet.
	ran  bool
	tag  string
	rest [][][]byte
}

// extended handles a message of the extended protocol.
func (s *session) extended(msg pgproto3.FrontendMessage) error {
	if _, ok := msg.(*pgproto3.Sync); ok {
		return s.sync()
	}
	if s.skipping {
		return nil
	}
	err := s.extendedMessage(msg)
	if err == nil {
		return nil
	}
	if err := s.fail(err); err != nil {
		return err
	}
	s.skipping = true
	return s.flush()
}

func (s *session) extendedMessage(msg pgproto3.FrontendMessage) error {
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
		// The rest of a COPY that failed.
		return nil
	}
	return newError(codeProtocolViolation, "message %T is not expected", msg)
}

// sync ends a pipeline and commits its implicit transaction.
func (s *session) sync() error {
	s.skipping = false
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
	return s.ready()
}

func (s *session) parse(msg *pgproto3.Parse) error {
	if msg.Name != "" && s.prepared[msg.Name] != nil {
		return newError(codeDuplicateStatement, "prepared statement %q already exists", msg.Name)
	}
	list := splitStatements(msg.Query)
	p := &prepared{}
	switch {
	case len(list) > 1:
		return newError(codeSyntaxError, "cannot insert multiple commands into a prepared statement")
	case len(list) == 0:
		p.empty = true
	default:
		p.st = list[0]
	}
	if p.st.params > maxParameters {
		return newError(codeSyntaxError, "there are more than %d parameters", maxParameters)
	}
	if s.tx.failed && !p.empty && !p.st.endsTransaction() && !p.st.isRollbackTo() {
		return newError(codeFailedTransaction,
			"current transaction is aborted, commands ignored until end of transaction block")
	}
	p.types = make([]uint32, max(p.st.params, len(msg.ParameterOIDs)))
	copy(p.types, msg.ParameterOIDs)
	if !p.empty {
		fields, err := s.describe(p.st)
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
	if len(msg.Parameters) != len(p.types) {
		return newError(codeProtocolViolation, "bind message supplies %d parameters, but the statement requires %d",
			len(msg.Parameters), len(p.types))
	}
	result := &portal{of: p}
	for i, data := range msg.Parameters {
		v, err := decodeParameter(data, p.types[i], formatAt(msg.ParameterFormatCodes, i))
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

// formatAt returns the format of the i-th value: no code means text for all, one
// code applies to all.
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
		s.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.types})
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
	if p.of.empty {
		return s.send(&pgproto3.EmptyQueryResponse{})
	}
	if p.ran && len(p.rest) == 0 && len(p.fields) == 0 {
		return newError(codeNotInState, "portal %q cannot be run", msg.Portal)
	}
	if !p.ran {
		if err := s.runPortal(p, msg.MaxRows > 0); err != nil {
			return err
		}
	}
	if msg.MaxRows == 0 && len(p.rest) == 0 {
		return s.send(&pgproto3.CommandComplete{CommandTag: []byte(p.tag)})
	}
	return s.sendRest(p, int(msg.MaxRows))
}

// runPortal runs the statement. If the client wants the rows in parts, they are
// kept, so that no SQLite statement stays open between messages.
func (s *session) runPortal(p *portal, keep bool) error {
	sink := &rowSink{fields: p.fields, known: true}
	sink.take = func(values [][]byte) error {
		if keep {
			p.rest = append(p.rest, values)
			return nil
		}
		return s.send(&pgproto3.DataRow{Values: values})
	}
	tag, err := s.execute(p.of.st, p.args, sink)
	if err != nil {
		return err
	}
	p.ran, p.tag = true, tag
	return nil
}

// sendRest sends up to limit of the kept rows; 0 means all.
func (s *session) sendRest(p *portal, limit int) error {
	n := len(p.rest)
	if limit > 0 {
		n = min(n, limit)
	}
	for _, row := range p.rest[:n] {
		if err := s.send(&pgproto3.DataRow{Values: row}); err != nil {
			return err
		}
	}
	p.rest = p.rest[n:]
	if limit > 0 && n == limit {
		return s.send(&pgproto3.PortalSuspended{})
	}
	tag := p.tag
	if p.of.st.isRead() {
		tag = "SELECT " + strconv.Itoa(n)
	}
	return s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}
