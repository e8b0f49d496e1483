package backend

import (
	"context"
	"maps"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// scramMechanism is the only SASL mechanism that is used towards members.
const scramMechanism = "SCRAM-SHA-256"

// wire is an authenticated connection to a member. One goroutine uses it at a time.
type wire struct {
	conn   net.Conn
	fe     *pgproto3.Frontend
	params map[string]string
	pid    uint32
	secret []byte
}

// ServerError is an ErrorResponse of a member. It is a value and may be shared.
type ServerError struct {
	Code, Message, Detail string
}

// Error returns the SQLSTATE and the message.
func (e *ServerError) Error() string { return e.Code + ": " + e.Message }

func serverError(m *pgproto3.ErrorResponse) *ServerError {
	return &ServerError{Code: m.Code, Message: m.Message, Detail: m.Detail}
}

// connect opens and authenticates a connection. The context bounds the whole.
func connect(ctx context.Context, cfg *Config, address string, params map[string]string) (*wire, error) {
	conn, err := cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	w := &wire{conn: conn, fe: pgproto3.NewFrontend(conn, conn), params: map[string]string{}}
	all := map[string]string{"user": cfg.User}
	maps.Copy(all, params)
	err = w.within(ctx, func() error { return w.startup(cfg, all) })
	if err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "start a connection to %s", address)
	}
	return w, nil
}

// within runs f and interrupts its reads and writes when the context ends. After
// an interruption the connection must be closed.
func (w *wire) within(ctx context.Context, f func() error) error {
	if deadline, ok := ctx.Deadline(); ok {
		w.conn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { w.conn.SetDeadline(time.Unix(1, 0)) })
	err := f()
	if !stop() {
		return errors.CombineErrors(ctx.Err(), err)
	}
	if err == nil {
		err = w.conn.SetDeadline(time.Time{})
	}
	return err
}

func (w *wire) startup(cfg *Config, params map[string]string) error {
	w.fe.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: params})
	if err := w.fe.Flush(); err != nil {
		return err
	}
	for {
		msg, err := w.fe.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.AuthenticationOk, *pgproto3.NoticeResponse, *pgproto3.NegotiateProtocolVersion:
		case *pgproto3.AuthenticationCleartextPassword:
			w.fe.Send(&pgproto3.PasswordMessage{Password: cfg.Password})
			err = w.fe.Flush()
		case *pgproto3.AuthenticationSASL:
			err = w.authenticate(cfg)
		case *pgproto3.ParameterStatus:
			w.params[m.Name] = m.Value
		case *pgproto3.BackendKeyData:
			w.pid, w.secret = m.ProcessID, append([]byte(nil), m.SecretKey...)
		case *pgproto3.ReadyForQuery:
			return nil
		case *pgproto3.ErrorResponse:
			return serverError(m)
		default:
			return errors.Newf("unexpected %T during start-up", msg)
		}
		if err != nil {
			return err
		}
	}
}

// authenticate proves the instance's password by SCRAM-SHA-256 and checks that
// the member knows it too.
func (w *wire) authenticate(cfg *Config) error {
	client, err := scram.SHA256.NewClient(cfg.User, cfg.Password, "")
	if err != nil {
		return err
	}
	conversation := client.NewConversation()
	first, err := conversation.Step("")
	if err != nil {
		return err
	}
	w.fe.Send(&pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte(first)})
	for {
		if err := w.fe.Flush(); err != nil {
			return err
		}
		msg, err := w.fe.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.AuthenticationSASLContinue:
			answer, err := conversation.Step(string(m.Data))
			if err != nil {
				return err
			}
			w.fe.Send(&pgproto3.SASLResponse{Data: []byte(answer)})
		case *pgproto3.AuthenticationSASLFinal:
			_, err := conversation.Step(string(m.Data))
			return err
		case *pgproto3.ErrorResponse:
			return serverError(m)
		default:
			return errors.Newf("unexpected %T during authentication", msg)
		}
	}
}

// call runs a control call and returns its status row. reusable is false when
// the connection must be closed.
func (w *wire) call(sql string) (s group.Status, reusable bool, err error) {
	w.fe.SendQuery(&pgproto3.Query{String: sql})
	if err := w.fe.Flush(); err != nil {
		return s, false, err
	}
	var failed error
	rows := 0
	for {
		msg, err := w.fe.Receive()
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
			failed = serverError(m)
		case *pgproto3.ReadyForQuery:
			if failed == nil && rows != 1 {
				failed = errors.Newf("control call returned %d rows, want 1", rows)
			}
			return s, true, failed
		}
	}
}

// terminate closes the connection politely; errors do not matter any more.
func (w *wire) terminate() {
	w.conn.SetDeadline(time.Now().Add(time.Millisecond))
	w.fe.Send(&pgproto3.Terminate{})
	_ = w.fe.Flush()
	w.conn.Close()
}
