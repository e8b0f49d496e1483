package member

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"modernc.org/sqlite"
	sqlite3 "modernc.org/sqlite/lib"
)

// SQLSTATE codes that the member sends.
const (
	codeProtocolViolation   = "08P01"
	codeNotSupported        = "0A000"
	codeInvalidParameter    = "22023"
	codeInvalidText         = "22P02"
	codeBadCopyFormat       = "22P04"
	codeNotNullViolation    = "23502"
	codeForeignKeyViolation = "23503"
	codeUniqueViolation     = "23505"
	codeCheckViolation      = "23514"
	codeActiveTransaction   = "25001"
	codeReadOnlyTransaction = "25006"
	codeNoTransaction       = "25P01"
	codeFailedTransaction   = "25P02"
	codeInvalidStatement    = "26000"
	codeInvalidCursor       = "34000"
	codeSerialization       = "40001"
	codeInsufficientRights  = "42501"
	codeSyntaxError         = "42601"
	codeUndefinedColumn     = "42703"
	codeUndefinedObject     = "42704"
	codeDuplicateStatement  = "42P05"
	codeUndefinedTable      = "42P01"
	codeUndefinedFunction   = "42883"
	codeTooManyConnections  = "53300"
	codeNotInState          = "55000"
	codeQueryCanceled       = "57014"
	codeCannotConnectNow    = "57P03"
	codeInternal            = "XX000"
)

// pgError is an error that is sent to the client as an ErrorResponse.
type pgError struct {
	severity string
	code     string
	message  string
	detail   string
}

func (e *pgError) Error() string { return e.code + ": " + e.message }

func (e *pgError) response() *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: e.severity, SeverityUnlocalized: e.severity, Code: e.code, Message: e.message, Detail: e.detail,
	}
}

func newError(code, format string, args ...any) *pgError {
	return &pgError{severity: "ERROR", code: code, message: fmt.Sprintf(format, args...)}
}

func fatalError(code, format string, args ...any) *pgError {
	return &pgError{severity: "FATAL", code: code, message: fmt.Sprintf(format, args...)}
}

// asPGError converts any error into a pgError. SQLite errors get the matching
// SQLSTATE, and context errors that of a cancelled statement.
func asPGError(err error) *pgError {
	var pgErr *pgError
	if errors.As(err, &pgErr) {
		return pgErr
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return newError(codeQueryCanceled, "canceling statement due to user request")
	}
	var sqliteErr *sqlite.Error
	if !errors.As(err, &sqliteErr) {
		return newError(codeInternal, "%s", err.Error())
	}
	return newError(sqlStateOf(sqliteErr), "%s", sqliteErr.Error())
}

func sqlStateOf(err *sqlite.Error) string {
	switch err.Code() {
	case sqlite3.SQLITE_CONSTRAINT_UNIQUE, sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY, sqlite3.SQLITE_CONSTRAINT_ROWID:
		return codeUniqueViolation
	case sqlite3.SQLITE_CONSTRAINT_NOTNULL:
		return codeNotNullViolation
	case sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY:
		return codeForeignKeyViolation
	case sqlite3.SQLITE_CONSTRAINT_CHECK:
		return codeCheckViolation
	}
	switch err.Code() & 0xff {
	case sqlite3.SQLITE_READONLY:
		return codeReadOnlyTransaction
	case sqlite3.SQLITE_INTERRUPT:
		return codeQueryCanceled
	case sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED:
		return codeSerialization
	}
	texts := []struct{ part, code string }{
		{"no such table", codeUndefinedTable},
		{"no such column", codeUndefinedColumn},
		{"no such function", codeUndefinedFunction},
		{"has no column named", codeUndefinedColumn},
		{"syntax error", codeSyntaxError},
		{"incomplete input", codeSyntaxError},
		{"unrecognized token", codeSyntaxError},
	}
	for _, t := range texts {
		if strings.Contains(err.Error(), t.part) {
			return t.code
		}
	}
	return codeInternal
}
