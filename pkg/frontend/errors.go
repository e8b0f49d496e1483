package frontend

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// errSessionEnded ends a session without a further message to the client.
var errSessionEnded = errors.New("session ended")

// errMessageIgnored reports that a message is ignored, because its request has
// failed and the next Sync was not received yet.
var errMessageIgnored = errors.New("message ignored until Sync")

// notRun converts an error that occurred before anything was sent to a server.
// An error without a verdict becomes one with the verdict NotRun.
func notRun(err error) *verdict.Error {
	var v *verdict.Error
	if errors.As(err, &v) {
		return v
	}
	return verdict.New(verdict.NotRun, verdict.NoPrimary, "no server connection").WithCause(err)
}

// errorResponse returns the ErrorResponse that reports e for the request ID.
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
	s.lingerOnClose.Store(true)
	// The write must not block the end of the session if the client does not read.
	s.out.lastDeadlineSet.Store(true)
	s.rawConn.SetWriteDeadline(time.Now().Add(lastMessageTimeout))
	_ = s.out.send(errorResponse(e, request))
}

// lastMessageTimeout bounds the write of a session's last message.
const lastMessageTimeout = time.Second

// logRefusal logs an error that is reported to the client.
func (s *session) logRefusal(e *verdict.Error, request string) {
	entry := s.log.WithFields(logrus.Fields{"request": request, "verdict": e.Verdict.String(), "sqlstate": string(e.Code)})
	if cause := e.Unwrap(); cause != nil {
		entry = entry.WithError(cause)
	}
	// Other refusals are logged at the debug level, because a client that exceeds
	// its limits would flood the log.
	if e.Fatal || e.Verdict == verdict.MayHaveRun {
		entry.Info(e.Message)
	} else {
		entry.Debug(e.Message)
	}
}

// observe reports a finished request to the metrics.
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
