package backend

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// scramMechanism is the only SASL mechanism that is supported towards members.
const scramMechanism = "SCRAM-SHA-256"

// serverConn is an authenticated connection to a member. It is not safe for concurrent
// use.
type serverConn struct {
	conn     *guardedConn
	frontend *pgproto3.Frontend
	params   map[string]string
	pid      uint32
	secret   []byte
}

// ServerError is an ErrorResponse from a member. It is immutable.
type ServerError struct {
	Code, Message, Detail string
}

// Error returns the SQLSTATE and the message.
func (e *ServerError) Error() string { return e.Code + ": " + e.Message }

func newServerError(m *pgproto3.ErrorResponse) *ServerError {
	return &ServerError{Code: m.Code, Message: m.Message, Detail: m.Detail}
}

// connect opens and authenticates a connection. The context bounds both.
func connect(ctx context.Context, cfg *Config, address string, params map[string]string) (*serverConn, error) {
	socket, err := cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	conn := &guardedConn{Conn: socket}
	c := &serverConn{conn: conn, frontend: pgproto3.NewFrontend(conn, conn), params: map[string]string{}}
	all := map[string]string{"user": cfg.User}
	maps.Copy(all, params)
	err = c.withContext(ctx, func() error { return c.startup(cfg, all) })
	if err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "start a connection to %s", address)
	}
	return c, nil
}

// withContext runs f and interrupts its reads and writes when the context ends. The
// connection must be closed after an interruption.
func (c *serverConn) withContext(ctx context.Context, f func() error) error {
	if deadline, ok := ctx.Deadline(); ok {
		c.conn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { c.conn.SetDeadline(time.Unix(1, 0)) })
	err := f()
	if !stop() {
		return errors.CombineErrors(ctx.Err(), err)
	}
	if err == nil {
		err = c.conn.SetDeadline(time.Time{})
	}
	return err
}

// startup performs the start-up exchange until the member is ready for queries.
func (c *serverConn) startup(cfg *Config, params map[string]string) error {
	c.frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: params})
	if err := c.frontend.Flush(); err != nil {
		return err
	}
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.AuthenticationOk, *pgproto3.NoticeResponse, *pgproto3.NegotiateProtocolVersion:
		case *pgproto3.AuthenticationCleartextPassword:
			c.frontend.Send(&pgproto3.PasswordMessage{Password: cfg.Password})
			err = c.frontend.Flush()
		case *pgproto3.AuthenticationSASL:
			err = c.authenticate(cfg)
		case *pgproto3.ParameterStatus:
			c.params[m.Name] = m.Value
		case *pgproto3.BackendKeyData:
			c.pid, c.secret = m.ProcessID, append([]byte(nil), m.SecretKey...)
		case *pgproto3.ReadyForQuery:
			return nil
		case *pgproto3.ErrorResponse:
			return newServerError(m)
		default:
			return errors.Newf("unexpected %T during start-up", msg)
		}
		if err != nil {
			return err
		}
	}
}

// authenticate performs a SCRAM-SHA-256 exchange, in which both sides prove that they
// know the password.
func (c *serverConn) authenticate(cfg *Config) error {
	client, err := scram.SHA256.NewClient(cfg.User, cfg.Password, "")
	if err != nil {
		return err
	}
	conversation := client.NewConversation()
	first, err := conversation.Step("")
	if err != nil {
		return err
	}
	c.frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte(first)})
	for {
		if err := c.frontend.Flush(); err != nil {
			return err
		}
		msg, err := c.frontend.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.AuthenticationSASLContinue:
			response, err := conversation.Step(string(m.Data))
			if err != nil {
				return err
			}
			c.frontend.Send(&pgproto3.SASLResponse{Data: []byte(response)})
		case *pgproto3.AuthenticationSASLFinal:
			_, err := conversation.Step(string(m.Data))
			return err
		case *pgproto3.ErrorResponse:
			return newServerError(m)
		default:
			return errors.Newf("unexpected %T during authentication", msg)
		}
	}
}

// controlCall executes a control call and returns its status row. The connection must
// be closed if reusable is false.
func (c *serverConn) controlCall(sql string) (s group.Status, reusable bool, err error) {
	c.frontend.SendQuery(&pgproto3.Query{String: sql})
	if err := c.frontend.Flush(); err != nil {
		return s, false, err
	}
	var callErr error
	rows := 0
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			return s, false, err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			rows++
			if s, err = group.ParseStatus(m.Values); err != nil {
				return s, false, err
			}
		case *pgproto3.ErrorResponse:
			callErr = newServerError(m)
		case *pgproto3.ReadyForQuery:
			if callErr == nil && rows != 1 {
				callErr = errors.Newf("control call returned %d rows, want 1", rows)
			}
			return s, true, callErr
		}
	}
}

// terminate sends a Terminate message and closes the connection. Errors are ignored.
func (c *serverConn) terminate() {
	c.conn.SetDeadline(time.Now().Add(time.Millisecond))
	c.frontend.Send(&pgproto3.Terminate{})
	_ = c.frontend.Flush()
	c.conn.Close()
}
