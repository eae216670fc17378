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

func failed(code adminapi.Code, format string, args ...any) *adminapi.Error {
	return &adminapi.Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

func countError(code adminapi.Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_admin_errors_total{code=%q}`, code)).Inc()
}

var statusOf = map[adminapi.Code]int{
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

// explain returns the message for an error of a command.
func explain(err error) *adminapi.Error {
	var lost *command.LostRaceError
	var batch command.BatchError
	var faults configuration.FieldErrors
	switch {
	case errors.As(err, &lost):
		e := failed(adminapi.CodeLostRace, "%v", err)
		e.Winner = winner(lost)
		return e
	case errors.As(err, &batch), errors.As(err, &faults):
		e := failed(adminapi.CodeFaults, "the statements have faults; nothing was changed by them")
		e.Faults = faultsOf(err)
		return e
	case errors.Is(err, command.ErrOutcomeUnknown), errors.Is(err, store.ErrUnclear):
		return failed(adminapi.CodeUnknown, "%v", err)
	case errors.Is(err, store.ErrUnavailable):
		return failed(adminapi.CodeUnavailable, "%v", err)
	default:
		return failed(adminapi.CodeInternal, "%v", err)
	}
}

func winner(lost *command.LostRaceError) *adminapi.Winner {
	w := &adminapi.Winner{Object: lost.Key.String(), Version: lost.Winner.Version}
	if d, err := configuration.Decode(lost.Winner); err == nil {
		w.Command = d.Command()
	}
	for _, s := range lost.WinningStatements() {
		w.Statements = append(w.Statements, s.String())
	}
	return w
}

// faultsOf names every fault with the place of its statement.
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

// syntax returns the message for a text that does not parse.
func syntax(errs statement.Errors) *adminapi.Error {
	e := failed(adminapi.CodeFaults, "the statements have faults; nothing was changed")
	for _, f := range errs {
		e.Faults = append(e.Faults, adminapi.Fault{Position: f.Position, Message: f.Message})
	}
	return e
}
