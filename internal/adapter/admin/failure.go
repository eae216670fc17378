package admin

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/adminapi"
	"github.com/laburnumrack/laburnumrack/internal/command"
	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/statement"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// newError returns an API error with a formatted message.
func newError(code adminapi.Code, format string, args ...any) *adminapi.Error {
	return &adminapi.Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

func countError(code adminapi.Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_admin_errors_total{code=%q}`, code)).Inc()
}

// httpStatus maps the codes of API errors to HTTP status codes.
var httpStatus = map[adminapi.Code]int{
	adminapi.CodeBadRequest:      http.StatusBadRequest,
	adminapi.CodeFaults:          http.StatusUnprocessableEntity,
	adminapi.CodeUnauthenticated: http.StatusUnauthorized,
	adminapi.CodeForbidden:       http.StatusForbidden,
	adminapi.CodeLostRace:        http.StatusConflict,
	adminapi.CodeUnknown:         http.StatusGatewayTimeout,
	adminapi.CodeUnavailable:     http.StatusServiceUnavailable,
	adminapi.CodeBusy:            http.StatusTooManyRequests,
	adminapi.CodeTooLarge:        http.StatusRequestEntityTooLarge,
	adminapi.CodeInternal:        http.StatusInternalServerError,
}

// commandError converts the error of a command to an API error.
func commandError(err error) *adminapi.Error {
	var lost *command.LostRaceError
	var batch command.BatchError
	var faults configuration.FieldErrors
	switch {
	case errors.As(err, &lost):
		e := newError(adminapi.CodeLostRace, "%v", err)
		e.Winner = winnerOf(lost)
		return e
	case errors.As(err, &batch), errors.As(err, &faults):
		e := newError(adminapi.CodeFaults, "the statements have faults; nothing was changed by them")
		e.Faults = faultsOf(err)
		return e
	case errors.Is(err, command.ErrOutcomeUnknown), errors.Is(err, store.ErrOutcomeUnknown):
		return newError(adminapi.CodeUnknown, "%v", err)
	case errors.Is(err, store.ErrUnavailable):
		return newError(adminapi.CodeUnavailable, "%v", err)
	default:
		return newError(adminapi.CodeInternal, "%v", err)
	}
}

// winnerOf describes the version that won the race: the command that wrote it and the
// statements that declare it.
func winnerOf(lost *command.LostRaceError) *adminapi.Winner {
	w := &adminapi.Winner{Object: lost.Key.String(), Version: lost.Winner.Version}
	if d, err := configuration.Decode(lost.Winner); err == nil {
		w.Command = d.Command()
	}
	for _, s := range lost.WinningStatements() {
		w.Statements = append(w.Statements, s.String())
	}
	return w
}

// faultsOf returns every fault in err with the position of its statement.
func faultsOf(err error) []adminapi.Fault {
	var batch command.BatchError
	if !errors.As(err, &batch) {
		var one *command.StatementError
		if !errors.As(err, &one) {
			return []adminapi.Fault{{Message: err.Error()}}
		}
		batch = command.BatchError{one}
	}
	var all []adminapi.Fault
	for _, s := range batch {
		all = append(all, statementFaults(s)...)
	}
	return all
}

// statementFaults returns the faults of one statement.
func statementFaults(s *command.StatementError) []adminapi.Fault {
	var faults configuration.FieldErrors
	if !errors.As(s.Err, &faults) {
		return []adminapi.Fault{{Position: s.Position, Message: s.Err.Error()}}
	}
	var all []adminapi.Fault
	for _, f := range faults {
		all = append(all, adminapi.Fault{Position: s.Position, Message: f.Error()})
	}
	return all
}

// syntaxError returns the API error for statements that do not parse.
func syntaxError(errs statement.Errors) *adminapi.Error {
	e := newError(adminapi.CodeFaults, "the statements have faults; nothing was changed")
	for _, f := range errs {
		e.Faults = append(e.Faults, adminapi.Fault{Position: f.Position, Message: f.Message})
	}
	return e
}
