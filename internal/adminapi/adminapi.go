// Package adminapi defines the messages of the HTTP administration API, which the server
// in adapter/admin and the client in ctl share. Requests and responses are JSON. A request
// carries the secret of the operator as a bearer token.
package adminapi

import (
	"github.com/laburnumrack/laburnumrack/internal/report"
	"github.com/laburnumrack/laburnumrack/internal/statement"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Paths of the API.
const (
	// PathStatements accepts a Request by POST and returns a Response.
	PathStatements = "/v1/statements"
	// PathRevision returns a Revision for a GET.
	PathRevision = "/v1/revision"
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathMetrics  = "/metrics"
)

// MaxRequestBytes is the largest body of a request, in bytes.
const MaxRequestBytes = 5 << 20

// Format selects the encoding of a response.
type Format string

// Formats of a response.
const (
	FormatJSON  Format = "json"
	FormatTable Format = "table"
)

// Request asks the server to execute statements. The server executes the statements that
// change the configuration first, in order, and then the SHOW statements.
type Request struct {
	Statements string `json:"statements"`
	Format     Format `json:"format,omitempty"`
	// Batch identifies the request. A retry carries the same name, so that its commands
	// are applied only once. If it is empty, the server chooses a name.
	Batch string `json:"batch,omitempty"`
	// AsOf is the revision that the operator has seen, as returned by PathRevision. An
	// object that another command changed after it is not overwritten. Nil omits this
	// check.
	AsOf *store.Revision `json:"as_of,omitempty"`
}

// Revision holds the current revision of the store.
type Revision struct {
	Revision store.Revision `json:"revision"`
}

// Response is the reply to a Request.
type Response struct {
	Batch   string         `json:"batch,omitempty"`
	Results []Result       `json:"results,omitempty"`
	Tables  []report.Table `json:"tables,omitempty"`
	// Error is nil if every statement was executed. Otherwise Results holds the results
	// of the statements that were executed before the error.
	Error *Error `json:"error,omitempty"`
}

// Result is the outcome of one statement that changes the configuration. Version is the
// version of the object after the statement.
type Result struct {
	Object  string         `json:"object"`
	Result  string         `json:"result"`
	Version store.Revision `json:"version"`
}

// Values of Result.Result.
const (
	ResultApplied   = "applied"
	ResultUnchanged = "unchanged"
)

// Code classifies an Error.
type Code string

// Codes of errors.
const (
	// CodeBadRequest reports that the request is malformed.
	CodeBadRequest Code = "bad_request"
	// CodeFaults reports that statements are invalid. Nothing was changed.
	CodeFaults Code = "faults"
	// CodeUnauthenticated reports that the bearer token belongs to no operator.
	CodeUnauthenticated Code = "unauthenticated"
	// CodeForbidden reports that the role of the operator does not permit the statement.
	CodeForbidden Code = "forbidden"
	// CodeLostRace reports that another command changed the object first.
	CodeLostRace Code = "lost_race"
	// CodeUnknown reports that the outcome is unknown. A retry of the request
	// determines it.
	CodeUnknown Code = "outcome_unknown"
	// CodeUnavailable reports that the store did not accept the command. A retry of the
	// request at this or another server is safe.
	CodeUnavailable Code = "unavailable"
	// CodeBusy reports that the server has too many requests. Nothing was executed.
	CodeBusy Code = "busy"
	// CodeTooLarge reports that the body of the request exceeds MaxRequestBytes.
	CodeTooLarge Code = "too_large"
	// CodeInternal reports an internal error of the server.
	CodeInternal Code = "internal"
)

// Error is the reason why a request was not executed in full.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Faults lists every fault of the statements, for CodeFaults.
	Faults []Fault `json:"faults,omitempty"`
	// Winner is the version of the other command, for CodeLostRace.
	Winner *Winner `json:"winner,omitempty"`
}

// Fault is one fault of a statement, with its line and column.
type Fault struct {
	statement.Position
	Message string `json:"message"`
}

// Winner is the version of an object that another command wrote first. Version is zero if
// the object does not exist.
type Winner struct {
	Object     string         `json:"object"`
	Version    store.Revision `json:"version"`
	Command    string         `json:"command,omitempty"`
	Statements []string       `json:"statements,omitempty"`
}
