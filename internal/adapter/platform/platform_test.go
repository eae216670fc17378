package platform

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

var key = store.Key{Kind: store.KindDrain, Name: "target:a b/c"}

// newTestClient starts a fake store that handles every call with handler, and returns a
// client of it.
func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	c, err := New(Options{URL: server.URL, CallTimeout: 30 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// abortConnection is a handler that closes the connection without a response.
func abortConnection(w http.ResponseWriter, _ *http.Request) {
	panic(http.ErrAbortHandler)
}

// respondWith returns a handler that responds with a fixed status and body.
func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// storedJSON is the response that contains the object with the key key in version 7.
const storedJSON = `{"kind":"drain","name":"target:a b/c","version":7,"value":{"x":1}}`

func TestCalls(t *testing.T) {
	ctx := context.Background()
	Convey("Put sends the name, the version and the value", t, func() {
		var seen, body string
		c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			seen, body = r.Method+" "+r.URL.EscapedPath()+"?"+r.URL.RawQuery, string(b)
			respondWith(200, storedJSON)(w, r)
		})
		o, err := c.Put(ctx, store.Object{Key: key, Version: 6, Value: []byte(`{"x":1}`)})
		So(err, ShouldBeNil)
		So(o.Version, ShouldEqual, store.Revision(7))
		So(string(o.Value), ShouldEqual, `{"x":1}`)
		So(seen, ShouldEqual, "PUT /objects/drain/target:a%20b%2Fc?version=6")
		So(body, ShouldEqual, `{"x":1}`)
	})
	Convey("Watch returns the events", t, func() {
		var query string
		c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
			query = r.URL.RawQuery
			respondWith(200, `{"revision":9,"objects":[{"kind":"region","name":"e","version":9,"deleted":true}]}`)(w, r)
		})
		page, err := c.Watch(ctx, 8, 1500*time.Millisecond, store.KindRegion, store.KindDrain)
		So(err, ShouldBeNil)
		So(query, ShouldEqual, "from=8&kind=region&kind=drain&wait_ms=1500")
		So(page.Revision, ShouldEqual, store.Revision(9))
		So(page.Objects[0].Deleted, ShouldBeTrue)
	})
	Convey("A conflict error contains the current object, or none if the object does not exist", t, func() {
		var c *store.ConflictError
		_, err := newTestClient(t, respondWith(409, storedJSON)).Put(ctx, store.Object{Key: key})
		So(errors.As(err, &c), ShouldBeTrue)
		So(c.Current.Version, ShouldEqual, store.Revision(7))
		err = newTestClient(t, respondWith(409, `{"version":0}`)).Delete(ctx, key, 3)
		So(errors.As(err, &c), ShouldBeTrue)
		So(c.Current, ShouldResemble, store.Object{Key: key})
	})
}

// TestErrorClassification checks which store error each failure leads to. A change that
// may have taken effect must never be reported as store.ErrUnavailable, because its
// caller would then treat it as not made.
func TestErrorClassification(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	unreachable, err := New(Options{URL: closed.URL})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name         string
		client       *Client
		change, read error
	}{
		{"not connected", unreachable, store.ErrUnavailable, store.ErrUnavailable},
		{"503", newTestClient(t, respondWith(503, "")), store.ErrUnavailable, store.ErrUnavailable},
		{"connection closed without a response", newTestClient(t, abortConnection), store.ErrOutcomeUnknown, store.ErrUnavailable},
		{"500", newTestClient(t, respondWith(500, "")), store.ErrOutcomeUnknown, store.ErrUnavailable},
		{"truncated response body", newTestClient(t, respondWith(200, storedJSON[:20])), store.ErrOutcomeUnknown, store.ErrUnavailable},
		{"response with another object", newTestClient(t, respondWith(200, strings.Replace(storedJSON, "a b", "z", 1))), store.ErrOutcomeUnknown, store.ErrUnavailable},
		{"oversized response body", newTestClient(t, respondWith(200, strings.Repeat(" ", maxObjectBytes+1))), store.ErrOutcomeUnknown, store.ErrUnavailable},
		{"404", newTestClient(t, respondWith(404, "")), nil, store.ErrNotFound},
		{"413", newTestClient(t, respondWith(413, "")), store.ErrTooLarge, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := c.client.Put(context.Background(), store.Object{Key: key, Value: []byte("{}")})
			checkError(t, "put", err, c.change)
			_, err = c.client.Get(context.Background(), key)
			checkError(t, "get", err, c.read)
		})
	}
}

// checkError checks that err is the store error want and no other. A nil want requires an
// error that is none of the store errors.
func checkError(t *testing.T, call string, err, want error) {
	t.Helper()
	if err == nil {
		t.Errorf("%s: no error, want %v", call, want)
	}
	for _, known := range []error{store.ErrUnavailable, store.ErrOutcomeUnknown, store.ErrNotFound, store.ErrTooLarge, store.ErrCompacted} {
		if errors.Is(err, known) != (known == want) {
			t.Errorf("%s: error %v, want %v", call, err, want)
		}
	}
}

func TestCancelledChange(t *testing.T) {
	Convey("A change canceled while the store executes it is unclear, one canceled before is not sent", t, func() {
		arrived := make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		c := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			close(arrived)
			<-r.Context().Done()
		})
		go func() {
			<-arrived
			cancel()
		}()
		_, err := c.Put(ctx, store.Object{Key: key, Value: []byte("{}")})
		So(errors.Is(err, store.ErrOutcomeUnknown), ShouldBeTrue)
		_, err = c.Put(ctx, store.Object{Key: key, Value: []byte("{}")})
		So(errors.Is(err, store.ErrUnavailable), ShouldBeTrue)
		_, err = c.Put(context.Background(), store.Object{Key: key, Value: make([]byte, store.MaxValueBytes+1)})
		So(errors.Is(err, store.ErrTooLarge), ShouldBeTrue)
	})
	Convey("A watch from a compacted revision returns ErrCompacted", t, func() {
		_, err := newTestClient(t, respondWith(410, "")).Watch(context.Background(), 1, time.Second)
		So(errors.Is(err, store.ErrCompacted), ShouldBeTrue)
	})
	Convey("A URL without an http scheme and an IP address is refused", t, func() {
		for _, u := range []string{"", "ftp://127.0.0.1", "http://localhost:1", "127.0.0.1:80", ":"} {
			_, err := New(Options{URL: u})
			So(err, ShouldNotBeNil)
		}
	})
}
