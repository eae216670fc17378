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

// memory is a store that also keeps a holder up to date.
type memory struct {
	store.Store
	mu      sync.Mutex
	page    store.Page // guarded by mu
	holder  *configuration.Holder
	failure error // guarded by mu
	// failed is called when a call fails; guarded by mu.
	failed func()
}

// fail makes all calls fail, and calls failed for each.
func (m *memory) fail(err error, failed func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failure, m.failed = err, failed
}

func (m *memory) List(context.Context, ...store.Kind) (store.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failure != nil {
		m.failed()
	}
	page := m.page
	page.Objects = append([]store.Object(nil), m.page.Objects...)
	return page, m.failure
}

func (m *memory) Put(_ context.Context, o store.Object) (store.Object, error) {
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

// noReporter reports nothing.
type noReporter struct{ report.Reporter }

func (noReporter) VMs(context.Context) (report.RowSet[report.VM], error) {
	return report.RowSet[report.VM]{Rows: []report.VM{{Name: "vm-1", State: "live", Reachable: true}}, Missing: []string{"vm-2"}}, nil
}

const bootstrap = "first secret"

// start serves the administration API over m until the test ends.
func start(t *testing.T, m *memory) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hash := sha256.Sum256([]byte(bootstrap))
	server := admin.New(admin.Options{Listener: l, Configuration: m.holder, Executor: command.NewExecutor(m, 1),
		Reporter: noReporter{}, BootstrapHash: hex.EncodeToString(hash[:])})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func run(o Options) (string, error) {
	return runUntil(context.Background(), o)
}

func runUntil(ctx context.Context, o Options) (string, error) {
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
		m := &memory{holder: configuration.NewHolder()}
		address := start(t, m)
		closed, _ := net.Listen("tcp", "127.0.0.1:0")
		_ = closed.Close()
		addresses := []string{closed.Addr().String(), address}
		file := filepath.Join(t.TempDir(), "deployment.lr")
		So(os.WriteFile(file, []byte(deployment), 0o600), ShouldBeNil)
		out, err := run(Options{Addresses: addresses, Secret: bootstrap, File: file})
		So(err, ShouldBeNil)
		So(out, ShouldStartWith, "region/east applied version 1\nservice/s applied version 2\n")
		editor := Options{Addresses: addresses, Secret: "editor secret"}
		viewer := Options{Addresses: addresses, Secret: "viewer secret"}

		Convey("takes the file again without a write", func() {
			editor.File = file
			out, err := run(editor)
			So(err, ShouldBeNil)
			So(strings.Count(out, "unchanged"), ShouldEqual, 5)
			So(m.page.Revision, ShouldEqual, store.Revision(5))
		})
		Convey("shows tables and JSON", func() {
			viewer.Statement = "SHOW SERVICES OF SERVICE s; SHOW VMS"
			out, err := run(viewer)
			So(err, ShouldBeNil)
			So(out, ShouldContainSubstring, "127.0.0.1:6001")
			So(out, ShouldContainSubstring, "no answer from: vm-2")
			viewer.JSON, viewer.Statement = true, "SHOW CALLERS"
			out, err = run(viewer)
			So(err, ShouldBeNil)
			So(out, ShouldContainSubstring, `{"caller": "c", "services": "s", "policy": "", "class": "", "weight": 1, "read_only": false, "version": 3}`)
		})
		Convey("hides secrets from a viewer and refuses changes", func() {
			viewer.Statement = "SHOW CONFIG"
			out, err := run(viewer)
			So(err, ShouldBeNil)
			So(out, ShouldNotContainSubstring, "SCRAM-SHA-256$")
			editor.Statement = "SHOW CONFIG"
			out, _ = run(editor)
			So(out, ShouldContainSubstring, "SCRAM-SHA-256$")
			viewer.Statement = "STOP SERVICE s"
			_, err = run(viewer)
			So(ExitCode(err), ShouldEqual, ExitFailed)
			So(err.Error(), ShouldContainSubstring, "needs the role editor, operator vi has viewer")
			viewer.Secret = "other"
			_, err = run(viewer)
			So(err.Error(), ShouldContainSubstring, "unauthenticated")
		})
		Convey("names the winner to a loser", func() {
			editor.Statement = "STOP SERVICE s IF VERSION 9"
			_, err := run(editor)
			So(ExitCode(err), ShouldEqual, ExitLostRace)
			So(err.Error(), ShouldContainSubstring, "winning version of service/s: 2")
			So(err.Error(), ShouldContainSubstring, "TARGET t AT 127.0.0.1:6001")
		})
		Convey("names faults with exit code 2 and an unknown outcome with 4", func() {
			editor.Statement = "DECLARE CALLER c (SERVICES nothing, PASSWORD 'y'); DRAIN TARGET u"
			_, err := run(editor)
			So(ExitCode(err), ShouldEqual, ExitFaults)
			So(err.Error(), ShouldContainSubstring, `services[0] is "nothing", want a declared service`)
			So(err.Error(), ShouldContainSubstring, `name is "u", want a declared target`)
			editor.Statement = "SHOW TIME SINCE x"
			_, err = run(editor)
			So(ExitCode(err), ShouldEqual, ExitFaults)
			editor.Statement = "STOP SERVICE s"
			ctx, cancel := context.WithCancel(context.Background())
			failures := 0
			m.fail(store.ErrUnavailable, func() {
				if failures++; failures == 2 {
					cancel()
				}
			})
			_, err = runUntil(ctx, editor)
			So(ExitCode(err), ShouldEqual, ExitFailed)
			So(err.Error(), ShouldContainSubstring, "store unavailable")
		})
	})
}

// TestLostAnswerOfServer cuts the connection after the server carried out the
// statements. ctl must send them again and hear that they were applied once.
func TestLostAnswerOfServer(t *testing.T) {
	Convey("A lost answer of the server is settled by sending the request again", t, func() {
		m := &memory{holder: configuration.NewHolder()}
		address := start(t, m)
		requests := 0
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		cutter := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests++
			r.RequestURI, r.URL.Scheme, r.URL.Host = "", "http", address
			answer, err := http.DefaultClient.Do(r)
			if err != nil || (r.Method == http.MethodPost && requests == 2) {
				panic(http.ErrAbortHandler)
			}
			defer answer.Body.Close()
			w.WriteHeader(answer.StatusCode)
			_, _ = io.Copy(w, answer.Body)
		})}
		go func() { _ = cutter.Serve(l) }()
		defer cutter.Close()
		out, err := run(Options{Addresses: []string{l.Addr().String()}, Secret: bootstrap, Statement: "DECLARE READ POLICY p (MAX AGE 2s)"})
		So(err, ShouldBeNil)
		So(out, ShouldEqual, "readpolicy/p applied version 1\n")
		So(requests, ShouldEqual, 3)
		So(m.page.Revision, ShouldEqual, store.Revision(1))
	})
}

// TestUnknownOutcomeIsSettledByName loses every answer until ctl gives up, lets a
// rival replace the object, and sends the command again by its name.
func TestUnknownOutcomeIsSettledByName(t *testing.T) {
	Convey("A command that was applied and replaced is not applied again by its name", t, func() {
		m := &memory{holder: configuration.NewHolder()}
		address := start(t, m)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		posts := 0
		cutter := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			post := r.Method == http.MethodPost
			r.RequestURI, r.URL.Scheme, r.URL.Host = "", "http", address
			answer, err := http.DefaultClient.Do(r)
			if post {
				if posts++; posts == 2 {
					cancel()
				}
			}
			if err != nil || post {
				panic(http.ErrAbortHandler)
			}
			defer answer.Body.Close()
			_, _ = io.Copy(w, answer.Body)
		})}
		go func() { _ = cutter.Serve(l) }()
		defer cutter.Close()
		mine := Options{Addresses: []string{l.Addr().String()}, Secret: bootstrap, Statement: "DECLARE READ POLICY p (MAX AGE 2s)"}
		_, err = runUntil(ctx, mine)
		So(ExitCode(err), ShouldEqual, ExitUnknown)
		_, mine.Batch, _ = strings.Cut(err.Error(), "with the batch name ")
		mine.Addresses = []string{address}
		out, err := run(mine)
		So(err, ShouldBeNil)
		So(out, ShouldEqual, "readpolicy/p applied version 1\n")
		_, err = run(Options{Addresses: mine.Addresses, Secret: bootstrap, Statement: "DECLARE READ POLICY p (MAX AGE 9s)"})
		So(err, ShouldBeNil)
		_, err = run(mine)
		So(ExitCode(err), ShouldEqual, ExitLostRace)
		So(err.Error(), ShouldContainSubstring, "MAX AGE 9s")
		mine.Batch = "x"
		_, err = run(mine)
		So(ExitCode(err), ShouldEqual, ExitFaults)
	})
}

func TestServerRefusesBadRequests(t *testing.T) {
	m := &memory{holder: configuration.NewHolder()}
	address := start(t, m)
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
		r.Header.Set("Authorization", "Bearer "+bootstrap)
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = answer.Body.Close()
		if answer.StatusCode != c.status {
			t.Errorf("%s %s %.60s: status %d, want %d", c.method, c.path, c.body, answer.StatusCode, c.status)
		}
	}
}

func TestCheckFiles(t *testing.T) {
	Convey("Every fault of the files is named with its place", t, func() {
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
