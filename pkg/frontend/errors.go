package frontend

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// errEnded ends a session whose client has been told all there is to tell.
var errEnded = errors.New("session ended")

// errDropped says that a message is to be ignored, because the request that it
// belongs to has failed and the Sync is still to come.
var errDropped = errors.New("message dropped")

// notRun returns the *verdict.Error of an error that occurred before anything
// was sent to a server, where an unknown error cannot mean that a request ran.
func notRun(err error) *verdict.Error {
	var v *verdict.Error
	if errors.As(err, &v) {
		return v
	}
	return verdict.New(verdict.NotRun, verdict.NoPrimary, "no server connection").WithCause(err)
}

// errorResponse returns the message that reports e for the request.
func errorResponse(e *verdict.Error, request string) *pgproto3.ErrorResponse {
	severity := "ERROR"
	if e.Fatal {
		severity = "FATAL"
	}
	m := &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: string(e.Code),
		Message: e.Error(),
		Detail:  "verdict: " + e.Verdict.String() + "; request: " + request,
	}
	if e.RetryAfter > 0 {
		m.Hint = "Retry after " + strconv.FormatInt(max(1, e.RetryAfter.Milliseconds()), 10) + " ms."
	}
	return m
}

// fatal reports e as the last message to the client.
func (s *session) fatal(e *verdict.Error) {
	e = e.AsFatal()
	request := s.requestID()
	s.logRefusal(e, request)
	s.lingers.Store(true)
	// The client may not read; the session must end all the same.
	s.out.last.Store(true)
	s.raw.SetWriteDeadline(time.Now().Add(lastMessageTime))
	_ = s.out.send(errorResponse(e, request))
}

// lastMessageTime bounds the write of a session's last message.
const lastMessageTime = time.Second

func (s *session) logRefusal(e *verdict.Error, request string) {
	entry := s.log.WithFields(logrus.Fields{"request": request, "verdict": e.Verdict.String(), "sqlstate": string(e.Code)})
	if cause := e.Unwrap(); cause != nil {
		entry = entry.WithError(cause)
	}
	// Refusals that a client causes by its own load would flood the log.
	if e.Fatal || e.Verdict == verdict.MayHaveRun {
		entry.Info(e.Message)
	} else {
		entry.Debug(e.Message)
	}
}

func (s *session) observe(read bool, began time.Time, v verdict.Verdict) {
	if s.srv.cfg.Metrics == nil {
		return
	}
	class := "write"
	if read {
		class = "read"
	}
	s.srv.cfg.Metrics.Observe(s.identity.tenant, class, time.Since(began), v.String())
}
