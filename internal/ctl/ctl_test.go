package ctl

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/adapter/admin"
	"github.com/laburnumrack/laburnumrack/internal/command"
	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/report"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// memoryStore is an in-memory store that also updates a configuration.Holder.
type memoryStore struct {
	store.Store
	mu      sync.Mutex
	page    store.Page // guarded by mu
	holder  *configuration.Holder
	failure error // guarded by mu
	// onFailure is called when List fails; guarded by mu.
	onFailure func()
}

// failCalls makes List and Put return err. List calls onFailure each time.
func (m *memoryStore) failCalls(err error, onFailure func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failure, m.onFailure = err, onFailure
}

func (m *memoryStore) List(context.Context, ...store.Kind) (store.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failure != nil {
		m.onFailure()
	}
	page := m.page
	page.Objects = append([]store.Object(nil), m.page.Objects...)
	return page, m.failure
}

func (m *memoryStore) Put(_ context.Context, o store.Object) (store.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failure != nil {
		return store.Object{}, m.failure
	}
	var kept []store.Object
	for _, old := range m.page.Objects {
		if old.Key != o.Key {
			kept = append(kept, old)
		} else if old.Version != o.Version {
			return store.Object{}, &store.ConflictError{Key: o.Key, Current: old}
		}
	}
	m.page.Revision++
	o.Version = m.page.Revision
	m.page.Objects = append(kept, o)
	m.holder.Replace(m.page)
	return o, nil
}

// stubReporter implements only VMs.
type stubReporter struct{ report.Reporter }

func (stubReporter) VMs(context.Context) (report.RowSet[report.VM], error) {
	return report.RowSet[report.VM]{Rows: []report.VM{{Name: "vm-1", State: "live", Reachable: true}}, Missing: []string{"vm-2"}}, nil
}

const bootstrapSecret = "first secret"

// startServer serves the administration API with m as its store until the test ends, and
// returns its address.
func startServer(t *testing.T, m *memoryStore) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hash := sha256.Sum256([]byte(bootstrapSecret))
	server := admin.New(admin.Options{Listener: l, Configuration: m.holder, Executor: command.NewExecutor(m, 1),
		Reporter: stubReporter{}, BootstrapHash: hex.EncodeToString(hash[:])})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func runCtl(o Options) (string, error) {
	return runCtlContext(context.Background(), o)
}

func runCtlContext(ctx context.Context, o Options) (string, error) {
	var b strings.Builder
	o.Out = &b
	err := Run(ctx, o)
	return b.String(), err
}

const deployment = `DECLARE REGION east (FAILURE DOMAIN osijek);
DECLARE SERVICE s (DATABASE d (TARGET t AT 127.0.0.1:6001 IN osijek SLOTS 3 CONNECTIONS 20));
DECLARE CALLER c (PASSWORD 'x', SERVICES s);
DECLARE OPERATOR ed (ROLE editor, SECRET 'editor secret');
DECLARE OPERATOR vi (ROLE viewer, SECRET 'viewer secret');
`

func TestCtlAgainstServer(t *testing.T) {
	Convey("A server without operators", t, func() {
		m := &memoryStore{holder: configuration.NewHolder()}
		address := startServer(t, m)
		closed, _ := net.Listen("tcp", "127.0.0.1:0")
		_ = closed.Close()
		addresses := []string{closed.Addr().String(), address}
		file := filepath.Join(t.TempDir(), "deployment.lr")
		So(os.WriteFile(file, []byte(deployment), 0o600), ShouldBeNil)
		out, err := runCtl(Options{Addresses: addresses, Secret: bootstrapSecret, File: file})
		So(err, ShouldBeNil)
		So(out, ShouldStartWith, "region/east applied version 1\nservice/s applied version 2\n")
		editor := Options{Addresses: addresses, Secret: "editor secret"}
		viewer := Options{Addresses: addresses, Secret: "viewer secret"}

		Convey("accepts the same file again without a write", func() {
			editor.File = file
			out, err := runCtl(editor)
			So(err, ShouldBeNil)
			So(strings.Count(out, "unchanged"), ShouldEqual, 5)
			So(m.page.Revision, ShouldEqual, store.Revision(5))
		})
		Convey("shows tables and JSON", func() {
			viewer.Statement = "SHOW SERVICES OF SERVICE s; SHOW VMS"
			out, err := runCtl(viewer)
			So(err, ShouldBeNil)
			So(out, ShouldContainSubstring, "127.0.0.1:6001")
			So(out, ShouldContainSubstring, "no answer from: vm-2")
			viewer.JSON, viewer.Statement = true, "SHOW CALLERS"
			out, err = runCtl(viewer)
			So(err, ShouldBeNil)
			So(out, ShouldContainSubstring, `{"caller": "c", "services": "s", "policy": "", "class": "", "weight": 1, "read_only": false, "version": 3}`)
		})
		Convey("hides secrets from a viewer and refuses changes", func() {
			viewer.Statement = "SHOW CONFIG"
			out, err := runCtl(viewer)
			So(err, ShouldBeNil)
			So(out, ShouldNotContainSubstring, "SCRAM-SHA-256$")
			editor.Statement = "SHOW CONFIG"
			out, _ = runCtl(editor)
			So(out, ShouldContainSubstring, "SCRAM-SHA-256$")
			viewer.Statement = "STOP SERVICE s"
			_, err = runCtl(viewer)
			So(ExitCode(err), ShouldEqual, ExitFailed)
			So(err.Error(), ShouldContainSubstring, "needs the role editor, operator vi has viewer")
			viewer.Secret = "other"
			_, err = runCtl(viewer)
			So(err.Error(), ShouldContainSubstring, "unauthenticated")
		})
		Convey("reports the winning version to a command that lost a race", func() {
			editor.Statement = "STOP SERVICE s IF VERSION 9"
			_, err := runCtl(editor)
			So(ExitCode(err), ShouldEqual, ExitLostRace)
			So(err.Error(), ShouldContainSubstring, "winning version of service/s: 2")
			So(err.Error(), ShouldContainSubstring, "TARGET t AT 127.0.0.1:6001")
		})
		Convey("reports faults with exit code 2 and an unavailable store with exit code 1", func() {
			editor.Statement = "DECLARE CALLER c (SERVICES nothing, PASSWORD 'y'); DRAIN TARGET u"
			_, err := runCtl(editor)
			So(ExitCode(err), ShouldEqual, ExitFaults)
			So(err.Error(), ShouldContainSubstring, `services[0] is "nothing", want a declared service`)
			So(err.Error(), ShouldContainSubstring, `name is "u", want a declared target`)
			editor.Statement = "SHOW TIME SINCE x"
			_, err = runCtl(editor)
			So(ExitCode(err), ShouldEqual, ExitFaults)
			editor.Statement = "STOP SERVICE s"
			ctx, cancel := context.WithCancel(context.Background())
			failures := 0
			m.failCalls(store.ErrUnavailable, func() {
				if failures++; failures == 2 {
					cancel()
				}
			})
			_, err = runCtlContext(ctx, editor)
			So(ExitCode(err), ShouldEqual, ExitFailed)
			So(err.Error(), ShouldContainSubstring, "store unavailable")
		})
	})
}

// TestLostAnswerOfServer guards against statements that are applied twice when a response
// is lost. A proxy closes the connection after the server has executed the statements; ctl
// must send them again and report that they were applied once.
func TestLostAnswerOfServer(t *testing.T) {
	Convey("A request whose response was lost is sent again and applied once", t, func() {
		m := &memoryStore{holder: configuration.NewHolder()}
		address := startServer(t, m)
		requests := 0
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		proxy := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests++
			r.RequestURI, r.URL.Scheme, r.URL.Host = "", "http", address
			response, err := http.DefaultClient.Do(r)
			if err != nil || (r.Method == http.MethodPost && requests == 2) {
				panic(http.ErrAbortHandler)
			}
			defer response.Body.Close()
			w.WriteHeader(response.StatusCode)
			_, _ = io.Copy(w, response.Body)
		})}
		go func() { _ = proxy.Serve(l) }()
		defer proxy.Close()
		out, err := runCtl(Options{Addresses: []string{l.Addr().String()}, Secret: bootstrapSecret, Statement: "DECLARE READ POLICY p (MAX AGE 2s)"})
		So(err, ShouldBeNil)
		So(out, ShouldEqual, "readpolicy/p applied version 1\n")
		So(requests, ShouldEqual, 3)
		So(m.page.Revision, ShouldEqual, store.Revision(1))
	})
}

// TestUnknownOutcomeIsSettledByName guards against a retry by batch name that overwrites a
// later change. A proxy drops every response until ctl ends with an unknown outcome. The
// retry by name reports the change as applied; after another command has replaced the
// object, the same retry must lose the race.
func TestUnknownOutcomeIsSettledByName(t *testing.T) {
	Convey("A retry by batch name does not apply a command again after another one replaced its change", t, func() {
		m := &memoryStore{holder: configuration.NewHolder()}
		address := startServer(t, m)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		posts := 0
		proxy := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			post := r.Method == http.MethodPost
			r.RequestURI, r.URL.Scheme, r.URL.Host = "", "http", address
			response, err := http.DefaultClient.Do(r)
			if post {
				if posts++; posts == 2 {
					cancel()
				}
			}
			if err != nil || post {
				panic(http.ErrAbortHandler)
			}
			defer response.Body.Close()
			_, _ = io.Copy(w, response.Body)
		})}
		go func() { _ = proxy.Serve(l) }()
		defer proxy.Close()
		options := Options{Addresses: []string{l.Addr().String()}, Secret: bootstrapSecret, Statement: "DECLARE READ POLICY p (MAX AGE 2s)"}
		_, err = runCtlContext(ctx, options)
		So(ExitCode(err), ShouldEqual, ExitUnknown)
		_, options.Batch, _ = strings.Cut(err.Error(), "with the batch name ")
		options.Addresses = []string{address}
		out, err := runCtl(options)
		So(err, ShouldBeNil)
		So(out, ShouldEqual, "readpolicy/p applied version 1\n")
		_, err = runCtl(Options{Addresses: options.Addresses, Secret: bootstrapSecret, Statement: "DECLARE READ POLICY p (MAX AGE 9s)"})
		So(err, ShouldBeNil)
		_, err = runCtl(options)
		So(ExitCode(err), ShouldEqual, ExitLostRace)
		So(err.Error(), ShouldContainSubstring, "MAX AGE 9s")
		options.Batch = "x"
		_, err = runCtl(options)
		So(ExitCode(err), ShouldEqual, ExitFaults)
	})
}

func TestServerRefusesBadRequests(t *testing.T) {
	m := &memoryStore{holder: configuration.NewHolder()}
	address := startServer(t, m)
	cases := []struct {
		method, path, body string
		status             int
	}{
		{"POST", "/v1/statements", "{", 400},
		{"POST", "/v1/statements", `{"statements":"SHOW VMS","other":1}`, 400},
		{"POST", "/v1/statements", `{"statements":"SHOW VMS","format":"xml"}`, 400},
		{"POST", "/v1/statements", `{"statements":"SHOW VMS","batch":"a#b"}`, 400},
		{"POST", "/v1/statements", `{"statements":""}`, 400},
		{"POST", "/v1/statements", `{"statements":"SHOW VMS BY x"}`, 400},
		{"POST", "/v1/statements", `{"statements":"SHOW VMS SINCE 5s"}`, 400},
		{"POST", "/v1/statements", `{"statements":"SHOW"}`, 422},
		{"POST", "/v1/statements", `{"statements":"` + strings.Repeat(" ", 6<<20) + `"}`, 413},
		{"POST", "/v1/statements", `{"statements":"SHOW VMS","format":"table"}`, 200},
		{"GET", "/v1/statements", "", 404},
		{"GET", "/debug/pprof/", "", 404},
		{"GET", "/healthz", "", 200},
		{"GET", "/readyz", "", 200},
		{"GET", "/metrics", "", 200},
	}
	for _, c := range cases {
		r, _ := http.NewRequest(c.method, "http://"+address+c.path, strings.NewReader(c.body))
		r.Header.Set("Authorization", "Bearer "+bootstrapSecret)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != c.status {
			t.Errorf("%s %s %.60s: status %d, want %d", c.method, c.path, c.body, response.StatusCode, c.status)
		}
	}
}

func TestCheckFiles(t *testing.T) {
	Convey("Every fault of the files is reported with file, line and column", t, func() {
		dir := t.TempDir()
		good, bad := filepath.Join(dir, "good.lr"), filepath.Join(dir, "bad.lr")
		So(os.WriteFile(good, []byte(deployment), 0o600), ShouldBeNil)
		So(os.WriteFile(bad, []byte("DECLARE FOO;\n DECLARE READ POLICY p (MAX AGE 1s, DEFAULT AGE 2s);\nDROP SERVICE s;"), 0o600), ShouldBeNil)
		So(CheckFiles([]string{good}, nil), ShouldBeNil)
		err := CheckFiles([]string{good, bad, "/nonexistent"}, nil)
		So(ExitCode(err), ShouldEqual, ExitFaults)
		lines := strings.Split(err.Error(), "\n")
		So(lines, ShouldHaveLength, 4)
		So(lines[0], ShouldStartWith, bad+":1:9: unexpected \"FOO\"")
		So(lines[1], ShouldStartWith, "statement file: open /nonexistent")
		So(lines[2], ShouldEqual, bad+`:2:2: readpolicy/p: default_age is "2s", want at most the max_age of 1s`)
		So(lines[3], ShouldEqual, bad+`:3:1: service/s: name is "s", want to be kept, because caller c uses it`)
	})
}
