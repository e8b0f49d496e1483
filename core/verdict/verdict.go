// Package verdict defines the errors that are reported to clients. Each of them
// states whether the request may have run on a backend server.
package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict states what is known about the execution of a request.
type Verdict uint8

// The verdicts. Only NotRun makes a retry safe for every request.
const (
	// NotRun means that the request has had no effect and will have none.
	NotRun Verdict = iota
	// Ran means that the request has taken effect.
	Ran
	// MayHaveRun means that the request may have taken effect.
	MayHaveRun
)

// String returns the verdict as it appears in error texts and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "may have run"
	}
}

// Code is a five-character SQLSTATE.
type Code string

// The SQLSTATEs that the proxy itself raises. Drivers retry a request after
// ShuttingDown and NoPrimary on their own, so both are only raised with the
// verdict NotRun.
const (
	AuthenticationFailed Code = "28P01"
	InvalidAuthorization Code = "28000"
	NoSuchRoute          Code = "3D000"
	ProtocolViolation    Code = "08P01"
	InvalidParameter     Code = "22023"
	FeatureNotSupported  Code = "0A000"
	ReadOnlyRoute        Code = "25006"
	QueueFull            Code = "53300"
	RateLimitExceeded    Code = "53400"
	ShuttingDown         Code = "57P01"
	NoPrimary            Code = "57P03"
	Cancelled            Code = "57014"
	ConnectionFailure    Code = "08006"
	OutcomeUnknown       Code = "08007"
	MessageTooLarge      Code = "54000"
	NoSuchStatement      Code = "26000"
	TransactionAborted   Code = "40000"
	StatementFailed      Code = "XX000"
	ReplicaBehind        Code = "55000"
)

// Error is an error that is reported to a client.
type Error struct {
	Verdict Verdict
	Code    Code
	Message string
	// RetryAfter is the least time after which a retry can succeed; 0 if unknown.
	RetryAfter time.Duration
	// Fatal is set if the client's connection is closed after the error.
	Fatal bool
	cause error
}

// New returns an error with the verdict, code and formatted message.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Error returns the message followed by the verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s)", e.Message, e.Verdict)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// WithCause returns a copy of the error that wraps the cause.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.cause = cause
	return &c
}

// WithRetryAfter returns a copy of the error with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// AsFatal returns a copy of the error with Fatal set.
func (e *Error) AsFatal() *Error {
	c := *e
	c.Fatal = true
	return &c
}

// FromError returns the first Error in the chain of err. If there is none, it returns a
// fatal MayHaveRun error that wraps err, because nothing is known about the
// execution of the request.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, OutcomeUnknown, "%v", err).WithCause(err).AsFatal()
}
