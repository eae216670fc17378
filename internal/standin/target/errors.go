package target

import (
	"context"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/laburnumrack/laburnumrack/internal/target"
)

// SQLSTATE codes returned by the stand-in, in addition to those of internal/target.
const (
	codeSyntax             = "42601"
	codeUndefinedTable     = "42P01"
	codeUndefinedColumn    = "42703"
	codeUndefinedFunction  = "42883"
	codeInvalidText        = "22P02"
	codeNumericOutOfRange  = "22003"
	codeFailedTx           = "25P02"
	codeActiveTx           = "25001"
	codeCanceled           = "57014"
	codeTerminated         = "57P01"
	codeDeadlock           = "40P01"
	codePrerequisite       = "55000"
	codeUndefinedStatement = "26000"
	codeUndefinedPortal    = "34000"
	codeDuplicateStatement = "42P05"
	codeUnsupported        = "0A000"
	codeProtocolViolation  = "08P01"
	codeInvalidParameter   = "22023"
)

// sqlError is an error with a SQLSTATE code.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string {
	return e.message + " (" + e.code + ")"
}

func sqlErrorf(code, format string, args ...any) error {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

var errDown = sqlErrorf(codeTerminated, "target is down")

func fencedError(format string, args ...any) error {
	return sqlErrorf(target.SQLStateFenced, format, args...)
}

// errorResponse converts an error to an ErrorResponse message. Errors without a SQLSTATE
// are reported as query_canceled (57014) if the context was canceled, and otherwise as
// internal_error (XX000).
func errorResponse(err error, severity string) *pgproto3.ErrorResponse {
	var sql *sqlError
	switch {
	case errors.As(err, &sql):
		return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: sql.code, Message: sql.message}
	case errors.Is(err, context.Canceled):
		return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: codeCanceled, Message: "canceling statement due to user request"}
	default:
		return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: "XX000", Message: err.Error()}
	}
}
