package admin

import (
	"context"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/adminapi"
	"github.com/laburnumrack/laburnumrack/internal/command"
	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/report"
	"github.com/laburnumrack/laburnumrack/internal/statement"
)

// admit checks the method, the number of running requests and the bearer secret of a
// request. If ok is false, it has already sent an error response; otherwise the caller
// must call release when the request is done.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, method string) (operator configuration.Operator, release func(), ok bool) {
	if r.Method != method {
		serveNotFound(w, r)
		return operator, nil, false
	}
	select {
	case s.slots <- struct{}{}:
	default:
		writeError(w, http.StatusTooManyRequests, newError(adminapi.CodeBusy, "%d requests are already running, try again", maxRequests))
		return operator, nil, false
	}
	release = func() { <-s.slots }
	operator, known := s.authenticate(r)
	if !known {
		release()
		klog.Warningf("admin: refused %s from %s: bearer secret matches no operator", r.URL.Path, r.RemoteAddr)
		writeError(w, http.StatusUnauthorized, newError(adminapi.CodeUnauthenticated, "the bearer secret matches no operator"))
		return operator, nil, false
	}
	return operator, release, true
}

// serveRevision responds with the current revision of the store.
func (s *Server) serveRevision(w http.ResponseWriter, r *http.Request) {
	_, release, ok := s.admit(w, r, http.MethodGet)
	if !ok {
		return
	}
	defer release()
	revision, err := s.options.Executor.Revision(r.Context())
	if err != nil {
		e := commandError(err)
		writeError(w, httpStatus[e.Code], e)
		return
	}
	writeJSON(w, http.StatusOK, adminapi.Revision{Revision: revision})
}

// serveStatements executes the statements of a request and responds in the requested
// format.
func (s *Server) serveStatements(w http.ResponseWriter, r *http.Request) {
	operator, release, ok := s.admit(w, r, http.MethodPost)
	if !ok {
		return
	}
	defer release()
	var request adminapi.Request
	response := adminapi.Response{}
	if response.Error = readRequest(w, r, &request); response.Error == nil {
		response = s.execute(r.Context(), operator, request)
	}
	status := http.StatusOK
	if response.Error != nil {
		status = httpStatus[response.Error.Code]
		countError(response.Error.Code)
	}
	if request.Format == adminapi.FormatTable {
		writeText(w, status, render(response))
		return
	}
	writeJSON(w, status, response)
}

// execute executes the changes of a request in order, and then its SHOW statements unless
// a change has failed.
func (s *Server) execute(ctx context.Context, operator configuration.Operator, request adminapi.Request) adminapi.Response {
	changes, shows, apiErr := s.splitStatements(operator, request)
	if apiErr != nil {
		return adminapi.Response{Error: apiErr}
	}
	response := adminapi.Response{}
	if len(changes) > 0 {
		response = s.executeChanges(ctx, operator, request, changes)
	}
	for _, show := range shows {
		if response.Error != nil {
			break
		}
		table, err := s.executeShow(ctx, operator, show)
		if err != nil {
			response.Error = err
			break
		}
		response.Tables = append(response.Tables, table)
	}
	return response
}

// splitStatements validates and parses a request and separates its changes from its SHOW
// statements. A change by an operator without the role editor is an error.
func (s *Server) splitStatements(operator configuration.Operator, request adminapi.Request) (changes []statement.Statement, shows []statement.Show, apiErr *adminapi.Error) {
	if request.Format != "" && request.Format != adminapi.FormatJSON && request.Format != adminapi.FormatTable {
		return nil, nil, newError(adminapi.CodeBadRequest, "format is %q, want json or table", request.Format)
	}
	if request.Batch != "" && !command.ValidBatch(request.Batch) {
		return nil, nil, newError(adminapi.CodeBadRequest, "batch is %q, want 1 to %d printable characters without '#' and blanks", request.Batch, command.MaxBatchBytes)
	}
	all, faults := statement.Parse(request.Statements)
	if len(faults) > 0 {
		return nil, nil, syntaxError(faults)
	}
	if len(all) == 0 {
		return nil, nil, newError(adminapi.CodeBadRequest, "the request contains no statement")
	}
	for _, st := range all {
		if !st.Mutates() {
			shows = append(shows, *st.Show)
			continue
		}
		if operator.Role != configuration.RoleEditor {
			return nil, nil, newError(adminapi.CodeForbidden, "line %d: %s needs the role editor, operator %s has %s", st.Position.Line, st.Verb, operator.Name, operator.Role)
		}
		changes = append(changes, st)
	}
	return changes, shows, nil
}

// executeChanges executes the statements that change the configuration. It continues if
// the operator disconnects, so that the outcome of each change becomes known.
func (s *Server) executeChanges(ctx context.Context, operator configuration.Operator, request adminapi.Request, changes []statement.Statement) adminapi.Response {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	batch := command.Batch{Name: request.Batch, AsOf: request.AsOf, Statements: changes}
	if batch.Name == "" {
		batch.Name = uuid.NewString()
	}
	klog.Infof("admin: operator %s runs batch %s of %d statements", operator.Name, batch.Name, len(changes))
	results, err := s.options.Executor.Run(ctx, batch, command.SCRAM{})
	response := adminapi.Response{Batch: batch.Name}
	for _, r := range results {
		response.Results = append(response.Results, resultOf(r))
	}
	if s.options.CatchUp != nil {
		s.options.CatchUp(ctx)
	}
	if err != nil {
		response.Error = commandError(err)
	}
	return response
}

// resultOf returns the API form of the result of a command.
func resultOf(r command.Result) adminapi.Result {
	result := adminapi.Result{Object: r.Key.String(), Result: adminapi.ResultUnchanged, Version: r.Version}
	if r.Changed {
		result.Result = adminapi.ResultApplied
	}
	return result
}

// executeShow returns the table of a SHOW statement.
func (s *Server) executeShow(ctx context.Context, operator configuration.Operator, show statement.Show) (report.Table, *adminapi.Error) {
	if show.Since > 0 && show.Table != statement.ShowTime && show.Table != statement.ShowPromotions {
		return report.Table{}, newError(adminapi.CodeBadRequest, "SINCE is not allowed with SHOW %s, only with SHOW TIME and SHOW PROMOTIONS", show.Table)
	}
	table, err := s.buildTable(ctx, operator, show)
	if err != nil {
		return report.Table{}, newError(adminapi.CodeUnavailable, "SHOW %s: %v", show.Table, err)
	}
	table, err = report.Apply(table, show)
	if err != nil {
		return report.Table{}, newError(adminapi.CodeBadRequest, "%v", err)
	}
	return table, nil
}

// buildTable collects the rows of a SHOW statement.
func (s *Server) buildTable(ctx context.Context, operator configuration.Operator, show statement.Show) (report.Table, error) {
	snapshot := s.options.Configuration.Current()
	reporter := s.options.Reporter
	switch show.Table {
	case statement.ShowHolders:
		return tableBuilder(report.Holders)(reporter.Holders(ctx))
	case statement.ShowReplicas:
		return tableBuilder(report.Replicas)(reporter.Replicas(ctx))
	case statement.ShowTime:
		return tableBuilder(report.ConnectionTimes)(reporter.ConnectionTime(ctx, show.Since))
	case statement.ShowVMs:
		return tableBuilder(report.VMs)(reporter.VMs(ctx))
	case statement.ShowPromotions:
		return tableBuilder(report.Promotions)(reporter.Promotions(ctx, show.Since))
	case statement.ShowServices:
		return report.Services(snapshot), nil
	case statement.ShowCallers:
		return report.Callers(snapshot), nil
	case statement.ShowPolicies:
		return report.Policies(snapshot), nil
	default:
		return report.Config(snapshot, operator.Role == configuration.RoleEditor), nil
	}
}

// tableBuilder returns a function that builds a table from a row set, or returns the
// error of gathering them.
func tableBuilder[T any](build func(report.RowSet[T]) report.Table) func(report.RowSet[T], error) (report.Table, error) {
	return func(g report.RowSet[T], err error) (report.Table, error) {
		if err != nil {
			return report.Table{}, err
		}
		return build(g), nil
	}
}

// render formats a response as text.
func render(r adminapi.Response) string {
	var b strings.Builder
	adminapi.WriteText(&b, r)
	return b.String()
}
