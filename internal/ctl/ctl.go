// Package ctl is the operators' command line: it sends statements to the
// administration API of any daemon, and checks statement files.
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

// The exit codes of ctl and check.
const (
	ExitOK = 0
	// ExitFailed says that the request was refused or could not be made; nothing
	// was changed by the statement that failed.
	ExitFailed = 1
	// ExitFaults says that statements or options have faults.
	ExitFaults = 2
	// ExitLostRace says that another command changed the object first.
	ExitLostRace = 3
	// ExitUnknown says that the outcome is not known.
	ExitUnknown = 4
)

// Options set up Run.
type Options struct {
	// Addresses are the IP:port of the administration listeners, tried in turn.
	Addresses []string
	// Secret is the operator's bearer secret.
	Secret string
	// Statement holds the statements to send, unless File is set.
	Statement string
	// File is the path of a statement file; "-" reads standard input.
	File string
	// Batch is the name of an earlier request whose outcome is not known; the same
	// statements sent by that name settle it. Empty makes a new name.
	Batch string
	// JSON asks for JSON instead of tables.
	JSON bool
	// Timeout bounds all of it; zero is DefaultTimeout.
	Timeout time.Duration
	// TLS, if not nil, makes ctl speak TLS.
	TLS *tls.Config
	Out io.Writer
	In  io.Reader
}

// DefaultTimeout bounds a run of ctl.
const DefaultTimeout = 30 * time.Second

// Error is a failed run with its exit code.
type Error struct {
	Code    int
	Message string
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// ExitCode returns the exit code for an error of this package.
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

func failf(code int, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Run sends the statements and writes what came of them to o.Out. The error is an
// *Error.
func Run(ctx context.Context, o Options) error {
	text, err := o.text()
	if err != nil {
		return err
	}
	statements, faults := statement.Parse(text)
	if len(faults) > 0 {
		return failf(ExitFaults, "%s", faults.Error())
	}
	if len(statements) == 0 {
		return failf(ExitFaults, "there is no statement to send")
	}
	if len(o.Addresses) == 0 {
		return failf(ExitFaults, "there is no address of an administration listener, want at least one IP:port")
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
	return o.write(response)
}

func (o Options) text() (string, error) {
	if o.File == "" {
		return o.Statement, nil
	}
	if o.Statement != "" {
		return "", failf(ExitFaults, "a statement and a file are given, want one of them")
	}
	text, err := readFile(o.File, o.In)
	if err != nil {
		return "", failf(ExitFaults, "%v", err)
	}
	return text, nil
}

// readFile reads a bounded statement file; "-" stands for in.
func readFile(path string, in io.Reader) (string, error) {
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return "", fmt.Errorf("statement file: %w", err)
		}
		defer f.Close()
		in = f
	}
	if in == nil {
		return "", errors.New("statement file: there is no standard input")
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
	if changes(statements) {
		batch, revision, err := o.batch(ctx, c)
		if err != nil {
			return adminapi.Response{}, err
		}
		request.Batch, request.AsOf = batch, &revision
	}
	response, err := c.statements(ctx, request)
	if ExitCode(err) == ExitUnknown {
		err = failf(ExitUnknown, "%v; to settle it send the same statements with the batch name %s", err, request.Batch)
	}
	return response, err
}

// batch returns the name of the batch and the revision that the operator saw, which
// is the end of the name: a batch that is sent again by its name carries both.
func (o Options) batch(ctx context.Context, c *client) (string, store.Revision, error) {
	if o.Batch != "" {
		_, end, ok := strings.Cut(o.Batch, "@")
		revision, err := strconv.ParseUint(end, 10, 64)
		if !ok || err != nil {
			return "", 0, failf(ExitFaults, "batch name is %q, want one that ctl has printed", o.Batch)
		}
		return o.Batch, store.Revision(revision), nil
	}
	revision, err := c.revision(ctx)
	if err != nil {
		return "", 0, err
	}
	return fmt.Sprintf("%s@%d", uuid.NewString(), revision), revision, nil
}

func changes(statements []statement.Statement) bool {
	for _, s := range statements {
		if s.Mutates() {
			return true
		}
	}
	return false
}

// write writes a response and returns its error.
func (o Options) write(r adminapi.Response) error {
	var b strings.Builder
	e := r.Error
	r.Error = nil
	if err := o.render(&b, r); err != nil {
		return failf(ExitFailed, "%v", err)
	}
	if _, err := io.WriteString(o.Out, b.String()); err != nil {
		return failf(ExitFailed, "write the answer: %v", err)
	}
	if e == nil {
		return nil
	}
	var message strings.Builder
	adminapi.WriteText(&message, adminapi.Response{Error: e})
	return failf(exitOf(e.Code), "%s", strings.TrimSuffix(message.String(), "\n"))
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

func exitOf(code adminapi.Code) int {
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

// newTransport returns the transport of one run.
func newTransport(o Options) *http.Transport {
	return &http.Transport{TLSClientConfig: o.TLS, MaxResponseHeaderBytes: 64 << 10}
}
