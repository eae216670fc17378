// Package ctl implements the ctl and check commands for operators: it sends statements to
// the administration API of any daemon, and validates statement files.
package ctl

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/laburnumrack/laburnumrack/internal/adminapi"
	"github.com/laburnumrack/laburnumrack/internal/report"
	"github.com/laburnumrack/laburnumrack/internal/statement"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Exit codes of the ctl and check commands.
const (
	ExitOK = 0
	// ExitFailed reports that the request was rejected or could not be sent. The statement
	// that failed changed nothing.
	ExitFailed = 1
	// ExitFaults reports that statements or options are invalid.
	ExitFaults = 2
	// ExitLostRace reports that another command changed the object first.
	ExitLostRace = 3
	// ExitUnknown reports that the outcome is unknown.
	ExitUnknown = 4
)

// Options configure Run.
type Options struct {
	// Addresses are the administration addresses (IP:port), tried in turn.
	Addresses []string
	// Secret is the secret of the operator, sent as a bearer token.
	Secret string
	// Statement holds the statements to send, unless File is set.
	Statement string
	// File is the path of a statement file; "-" reads standard input.
	File string
	// Batch is the name of an earlier request whose outcome is unknown. Sending the same
	// statements with that name determines the outcome. If it is empty, Run makes a new
	// name.
	Batch string
	// JSON selects JSON instead of tables.
	JSON bool
	// Timeout limits the whole run; zero means DefaultTimeout.
	Timeout time.Duration
	// TLS, if not nil, enables TLS with this configuration.
	TLS *tls.Config
	// Out receives the results, and In is the standard input for File "-".
	Out io.Writer
	In  io.Reader
}

// DefaultTimeout is the limit of a run without Options.Timeout.
const DefaultTimeout = 30 * time.Second

// Error is the error of a failed run with its exit code.
type Error struct {
	Code    int
	Message string
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// ExitCode returns the exit code for err: that of an *Error, ExitOK for nil, and ExitFailed
// for any other error.
func ExitCode(err error) int {
	var e *Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.Code
	default:
		return ExitFailed
	}
}

func errorf(code int, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Run sends the statements and writes their results and tables to o.Out. The error is an
// *Error.
func Run(ctx context.Context, o Options) error {
	text, err := o.statementText()
	if err != nil {
		return err
	}
	statements, faults := statement.Parse(text)
	if len(faults) > 0 {
		return errorf(ExitFaults, "%s", faults.Error())
	}
	if len(statements) == 0 {
		return errorf(ExitFaults, "no statement to send")
	}
	if len(o.Addresses) == 0 {
		return errorf(ExitFaults, "no administration address is given, want at least one IP:port")
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	response, err := o.send(ctx, text, statements)
	if err != nil {
		return err
	}
	return o.writeResponse(response)
}

func (o Options) statementText() (string, error) {
	if o.File == "" {
		return o.Statement, nil
	}
	if o.Statement != "" {
		return "", errorf(ExitFaults, "both a statement and a file are given, want only one")
	}
	text, err := readStatementFile(o.File, o.In)
	if err != nil {
		return "", errorf(ExitFaults, "%v", err)
	}
	return text, nil
}

// readStatementFile returns the content of a statement file, cut one byte after
// statement.MaxTextBytes so that the parser rejects a longer one. The path "-" reads from
// in.
func readStatementFile(path string, in io.Reader) (string, error) {
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return "", fmt.Errorf("statement file: %w", err)
		}
		defer f.Close()
		in = f
	}
	if in == nil {
		return "", errors.New("statement file -: no standard input is available")
	}
	b, err := io.ReadAll(io.LimitReader(in, statement.MaxTextBytes+1))
	if err != nil {
		return "", fmt.Errorf("statement file %s: %w", path, err)
	}
	return string(b), nil
}

func (o Options) send(ctx context.Context, text string, statements []statement.Statement) (adminapi.Response, error) {
	request := adminapi.Request{Statements: text}
	c := newClient(o)
	defer c.close()
	if hasChanges(statements) {
		batch, revision, err := o.batchName(ctx, c)
		if err != nil {
			return adminapi.Response{}, err
		}
		request.Batch, request.AsOf = batch, &revision
	}
	response, err := c.statements(ctx, request)
	if ExitCode(err) == ExitUnknown {
		err = errorf(ExitUnknown, "%v; to determine the outcome, send the same statements with the batch name %s", err, request.Batch)
	}
	return response, err
}

// batchName returns the name of the batch and the revision that the operator has seen. The
// name ends with the revision, so that a retry by name carries both.
func (o Options) batchName(ctx context.Context, c *client) (string, store.Revision, error) {
	if o.Batch != "" {
		_, end, ok := strings.Cut(o.Batch, "@")
		revision, err := strconv.ParseUint(end, 10, 64)
		if !ok || err != nil {
			return "", 0, errorf(ExitFaults, "batch name is %q, want a name that an earlier ctl command printed", o.Batch)
		}
		return o.Batch, store.Revision(revision), nil
	}
	revision, err := c.revision(ctx)
	if err != nil {
		return "", 0, err
	}
	return fmt.Sprintf("%s@%d", uuid.NewString(), revision), revision, nil
}

func hasChanges(statements []statement.Statement) bool {
	for _, s := range statements {
		if s.Mutates() {
			return true
		}
	}
	return false
}

// writeResponse writes a response to o.Out and returns the error that the response holds
// as an *Error.
func (o Options) writeResponse(r adminapi.Response) error {
	var b strings.Builder
	e := r.Error
	r.Error = nil
	if err := o.render(&b, r); err != nil {
		return errorf(ExitFailed, "%v", err)
	}
	if _, err := io.WriteString(o.Out, b.String()); err != nil {
		return errorf(ExitFailed, "write the response: %v", err)
	}
	if e == nil {
		return nil
	}
	var message strings.Builder
	adminapi.WriteText(&message, adminapi.Response{Error: e})
	return errorf(exitCodeOf(e.Code), "%s", strings.TrimSuffix(message.String(), "\n"))
}

func (o Options) render(b *strings.Builder, r adminapi.Response) error {
	if !o.JSON {
		adminapi.WriteText(b, r)
		return nil
	}
	if len(r.Results) > 0 {
		if err := resultTable(r.Results).WriteJSON(b); err != nil {
			return err
		}
	}
	for _, t := range r.Tables {
		if err := t.WriteJSON(b); err != nil {
			return err
		}
	}
	return nil
}

func resultTable(results []adminapi.Result) report.Table {
	t := report.Table{Columns: []report.Column{{Name: "object", Kind: report.TextKind},
		{Name: "result", Kind: report.TextKind}, {Name: "version", Kind: report.NumberKind}}}
	for _, r := range results {
		t.Rows = append(t.Rows, []report.Value{report.Text(r.Object), report.Text(r.Result), report.Number(r.Version)})
	}
	return t
}

func exitCodeOf(code adminapi.Code) int {
	switch code {
	case adminapi.CodeFaults, adminapi.CodeBadRequest, adminapi.CodeTooLarge:
		return ExitFaults
	case adminapi.CodeLostRace:
		return ExitLostRace
	case adminapi.CodeUnknown:
		return ExitUnknown
	default:
		return ExitFailed
	}
}

// newTransport returns the HTTP transport of one run.
func newTransport(o Options) *http.Transport {
	return &http.Transport{TLSClientConfig: o.TLS, MaxResponseHeaderBytes: 64 << 10}
}
