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

// admit answers a request that may not go on, and returns the operator of one that
// may. The caller must call leave then.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, method string) (operator configuration.Operator, leave func(), ok bool) {
	if r.Method != method {
		notFound(w, r)
		return operator, nil, false
	}
	select {
	case s.slots <- struct{}{}:
	default:
		writeError(w, http.StatusTooManyRequests, failed(adminapi.CodeBusy, "%d requests are being worked on, try again", maxRequests))
		return operator, nil, false
	}
	leave = func() { <-s.slots }
	operator, known := s.authenticate(r)
	if !known {
		leave()
		klog.Warningf("admin: refused %s from %s, no operator has the secret", r.URL.Path, r.RemoteAddr)
		writeError(w, http.StatusUnauthorized, failed(adminapi.CodeUnauthenticated, "the bearer secret is that of no operator"))
		return operator, nil, false
	}
	return operator, leave, true
}

func (s *Server) revision(w http.ResponseWriter, r *http.Request) {
	_, leave, ok := s.admit(w, r, http.MethodGet)
	if !ok {
		return
	}
	defer leave()
	revision, err := s.options.Executor.Revision(r.Context())
	if err != nil {
		e := explain(err)
		writeError(w, statusOf[e.Code], e)
		return
	}
	writeJSON(w, http.StatusOK, adminapi.Revision{Revision: revision})
}

func (s *Server) statements(w http.ResponseWriter, r *http.Request) {
	operator, leave, ok := s.admit(w, r, http.MethodPost)
	if !ok {
		return
	}
	defer leave()
	var request adminapi.Request
	response := adminapi.Response{}
	if response.Error = readRequest(w, r, &request); response.Error == nil {
		response = s.carryOut(r.Context(), operator, request)
	}
	status := http.StatusOK
	if response.Error != nil {
		status = statusOf[response.Error.Code]
		countError(response.Error.Code)
	}
	if request.Format == adminapi.FormatTable {
		writeText(w, status, render(response))
		return
	}
	writeJSON(w, status, response)
}

func (s *Server) carryOut(ctx context.Context, operator configuration.Operator, request adminapi.Request) adminapi.Response {
	changes, shows, refused := s.sort(operator, request)
	if refused != nil {
		return adminapi.Response{Error: refused}
	}
	response := adminapi.Response{}
	if len(changes) > 0 {
		response = s.change(ctx, operator, request, changes)
	}
	for _, show := range shows {
		if response.Error != nil {
			break
		}
		table, err := s.show(ctx, operator, show)
		if err != nil {
			response.Error = err
			break
		}
		response.Tables = append(response.Tables, table)
	}
	return response
}

// sort parses a request and tells its changes from its shows.
func (s *Server) sort(operator configuration.Operator, request adminapi.Request) (changes []statement.Statement, shows []statement.Show, refused *adminapi.Error) {
	if request.Format != "" && request.Format != adminapi.FormatJSON && request.Format != adminapi.FormatTable {
		return nil, nil, failed(adminapi.CodeBadRequest, "format is %q, want json or table", request.Format)
	}
	if request.Batch != "" && !command.ValidBatch(request.Batch) {
		return nil, nil, failed(adminapi.CodeBadRequest, "batch is %q, want 1 to %d printable characters without '#' and blanks", request.Batch, command.MaxBatchBytes)
	}
	all, faults := statement.Parse(request.Statements)
	if len(faults) > 0 {
		return nil, nil, syntax(faults)
	}
	if len(all) == 0 {
		return nil, nil, failed(adminapi.CodeBadRequest, "the request holds no statement")
	}
	for _, st := range all {
		if !st.Mutates() {
			shows = append(shows, *st.Show)
			continue
		}
		if operator.Role != configuration.RoleEditor {
			return nil, nil, failed(adminapi.CodeForbidden, "line %d: %s needs the role editor, operator %s has %s", st.Position.Line, st.Verb, operator.Name, operator.Role)
		}
		changes = append(changes, st)
	}
	return changes, shows, nil
}

// change carries out the statements that change something. It goes on when the
// operator hangs up, so that a change is settled.
func (s *Server) change(ctx context.Context, operator configuration.Operator, request adminapi.Request, changes []statement.Statement) adminapi.Response {
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
		response.Error = explain(err)
	}
	return response
}

func resultOf(r command.Result) adminapi.Result {
	result := adminapi.Result{Object: r.Key.String(), Result: adminapi.ResultUnchanged, Version: r.Version}
	if r.Changed {
		result.Result = adminapi.ResultApplied
	}
	return result
}

func (s *Server) show(ctx context.Context, operator configuration.Operator, show statement.Show) (report.Table, *adminapi.Error) {
	if show.Since > 0 && show.Table != statement.ShowTime && show.Table != statement.ShowPromotions {
		return report.Table{}, failed(adminapi.CodeBadRequest, "SINCE stands with SHOW %s, want it only with SHOW TIME and SHOW PROMOTIONS", show.Table)
	}
	table, err := s.table(ctx, operator, show)
	if err != nil {
		return report.Table{}, failed(adminapi.CodeUnavailable, "SHOW %s: %v", show.Table, err)
	}
	table, err = report.Apply(table, show)
	if err != nil {
		return report.Table{}, failed(adminapi.CodeBadRequest, "%v", err)
	}
	return table, nil
}

func (s *Server) table(ctx context.Context, operator configuration.Operator, show statement.Show) (report.Table, error) {
	snapshot := s.options.Configuration.Current()
	reporter := s.options.Reporter
	switch show.Table {
	case statement.ShowHolders:
		return tableOf(report.Holders)(reporter.Holders(ctx))
	case statement.ShowReplicas:
		return tableOf(report.Replicas)(reporter.Replicas(ctx))
	case statement.ShowTime:
		return tableOf(report.ConnectionTimes)(reporter.ConnectionTime(ctx, show.Since))
	case statement.ShowVMs:
		return tableOf(report.VMs)(reporter.VMs(ctx))
	case statement.ShowPromotions:
		return tableOf(report.Promotions)(reporter.Promotions(ctx, show.Since))
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

// tableOf makes a table of rows unless gathering them failed.
func tableOf[T any](build func(report.RowSet[T]) report.Table) func(report.RowSet[T], error) (report.Table, error) {
	return func(g report.RowSet[T], err error) (report.Table, error) {
		if err != nil {
			return report.Table{}, err
		}
		return build(g), nil
	}
}

// render returns a response as text.
func render(r adminapi.Response) string {
	var b strings.Builder
	adminapi.WriteText(&b, r)
	return b.String()
}
