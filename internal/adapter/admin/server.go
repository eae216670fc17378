// Package admin serves the administration API over HTTP.
//
// It has a separate listener, which callers do not use. An operator authenticates with a
// bearer secret; a viewer may only run SHOW statements. Health, readiness and metrics are
// served without authentication.
package admin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/adminapi"
	"github.com/laburnumrack/laburnumrack/internal/command"
	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/report"
)

// Limits of the HTTP server.
const (
	requestTimeout    = 30 * time.Second
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// maxRequests is the maximum number of requests that are executed at once.
	maxRequests = 16
)

// Options configures a Server.
type Options struct {
	// Listener accepts the connections of operators. The server closes it.
	Listener net.Listener
	// TLS enables TLS; nil serves plain HTTP.
	TLS *tls.Config
	// Configuration provides the operators and the declared objects.
	Configuration configuration.Source
	// Executor executes the statements that change the configuration.
	Executor *command.Executor
	// Reporter provides the status of the fleet for SHOW statements.
	Reporter report.Reporter
	// BootstrapHash is the hex SHA-256 of a secret that authenticates an operator with
	// the role editor, for a deployment that has no operators yet; empty disables it.
	BootstrapHash string
	// CatchUp updates this daemon's configuration at once, so that an operator sees a
	// change here immediately after making it; nil leaves the update to the distribution.
	CatchUp func(ctx context.Context)
	// Ready returns nil if the daemon serves callers, otherwise the reason why not; nil
	// means always ready.
	Ready func() error
}

// Server implements the handlers of the administration API. It is safe for concurrent
// use.
type Server struct {
	options Options
	// slots limits the requests that are executed at once to maxRequests.
	slots chan struct{}
}

// New returns an HTTP server for the administration API, to be started by a kratos
// application.
func New(o Options) *khttp.Server {
	s := &Server{options: o, slots: make(chan struct{}, maxRequests)}
	notFoundHandler := http.HandlerFunc(serveNotFound)
	options := []khttp.ServerOption{
		khttp.Listener(o.Listener),
		khttp.Timeout(requestTimeout),
		khttp.NotFoundHandler(notFoundHandler),
		khttp.MethodNotAllowedHandler(notFoundHandler),
	}
	if o.TLS != nil {
		options = append(options, khttp.TLSConfig(o.TLS))
	}
	server := khttp.NewServer(options...)
	server.ReadHeaderTimeout = readHeaderTimeout
	server.ReadTimeout = readTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeaderBytes
	server.HandleFunc(adminapi.PathStatements, s.serveStatements)
	server.HandleFunc(adminapi.PathRevision, s.serveRevision)
	server.HandleFunc(adminapi.PathHealth, serveHealth)
	server.HandleFunc(adminapi.PathReady, s.serveReady)
	server.HandleFunc(adminapi.PathMetrics, serveMetrics)
	return server
}

// serveHealth responds that the process is alive.
func serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

// serveReady responds whether the daemon serves callers.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.options.Ready == nil {
		writeText(w, http.StatusOK, "ready\n")
		return
	}
	if err := s.options.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, "not ready: "+err.Error()+"\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

func serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, true)
}

func serveNotFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, http.StatusNotFound, newError(adminapi.CodeBadRequest, "no such path or method: %s %s", r.Method, r.URL.Path))
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	if _, err := w.Write([]byte(text)); err != nil {
		klog.V(1).Infof("admin: write response: %v", err)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		klog.Errorf("admin: encode response: %v", err)
		status, body = http.StatusInternalServerError, []byte(`{"error":{"code":"internal","message":"the answer could not be encoded"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(append(body, '\n')); err != nil {
		klog.V(1).Infof("admin: write response: %v", err)
	}
}

// writeError counts an error and responds with it.
func writeError(w http.ResponseWriter, status int, e *adminapi.Error) {
	countError(e.Code)
	writeJSON(w, status, adminapi.Response{Error: e})
}

// readRequest decodes the JSON body of a request of at most adminapi.MaxRequestBytes.
func readRequest(w http.ResponseWriter, r *http.Request, into any) *adminapi.Error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, adminapi.MaxRequestBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newError(adminapi.CodeTooLarge, "the request exceeds %d bytes", adminapi.MaxRequestBytes)
	}
	if err != nil {
		return newError(adminapi.CodeBadRequest, "the request is not valid JSON of the expected form: %v", err)
	}
	return nil
}
