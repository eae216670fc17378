package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// start starts a stand-in that is closed at the end of the test.
func start(t *testing.T, config Config) *Platform {
	p, err := Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// call makes a call and returns its status and decoded JSON body, or its error.
func call[T any](p *Platform, method, path, body string) (int, T, error) {
	var decoded T
	request, err := http.NewRequest(method, p.URL()+path, strings.NewReader(body))
	if err != nil {
		return 0, decoded, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, decoded, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err == nil && response.Header.Get("Content-Type") == "application/json" {
		err = json.Unmarshal(content, &decoded)
	}
	return response.StatusCode, decoded, err
}

// TestObjects covers the object service: writes conditional on a version, lost answers,
// watches, outages and limits on values.
func TestObjects(t *testing.T) {
	Convey("Given a platform that keeps two events", t, func() {
		p := start(t, Config{EventsKept: 2})
		put := func(path, body string) (int, object) {
			status, got, err := call[object](p, http.MethodPut, path, body)
			So(err, ShouldBeNil)
			return status, got
		}
		status, first := put("/objects/term/zrnobaza.silo1?version=0", `{"term":1}`)
		So(status, ShouldEqual, http.StatusOK)
		So(first.Version, ShouldEqual, store.Revision(1))

		Convey("a put needs the current version, and a conflict returns the current object", func() {
			status, got := put("/objects/term/zrnobaza.silo1?version=0", `{"term":9}`)
			So(status, ShouldEqual, http.StatusConflict)
			So(string(got.Value), ShouldEqual, `{"term":1}`)
			status, got = put("/objects/term/none?version=7", `{}`)
			So(status, ShouldEqual, http.StatusConflict)
			So(got.Version, ShouldEqual, store.Revision(0))
			status, _ = put("/objects/term/zrnobaza.silo1?version=1", `{"term":2}`)
			So(status, ShouldEqual, http.StatusOK)
		})

		Convey("an answer can be lost after the change was applied", func() {
			p.SetFaults(Faults{LoseNext: 1})
			_, _, err := call[object](p, http.MethodPut, "/objects/term/zrnobaza.silo1?version=1", `{"term":2}`)
			So(err, ShouldNotBeNil)
			_, got, err := call[object](p, http.MethodGet, "/objects/term/zrnobaza.silo1", "")
			So(err, ShouldBeNil)
			So(string(got.Value), ShouldEqual, `{"term":2}`)
			So(p.Counters().Lost, ShouldEqual, uint64(1))
		})

		Convey("a watch waits for an event of its kinds and counts as one call", func() {
			watched := make(chan page, 1)
			go func() {
				_, got, _ := call[page](p, http.MethodGet, "/watch?from=1&wait_ms=60000&kind=term", "")
				watched <- got
			}()
			for p.Counters().Waiting == 0 {
				time.Sleep(time.Millisecond)
			}
			put("/objects/caller/a?version=0", `{}`)
			status, _, err := call[object](p, http.MethodDelete, "/objects/term/zrnobaza.silo1?version=1", "")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
			got := <-watched
			So(got.Revision, ShouldEqual, store.Revision(3))
			So(got.Objects, ShouldResemble, []object{{Kind: "term", Name: "zrnobaza.silo1", Version: 3, Deleted: true}})
			So(p.Counters().Watches, ShouldEqual, uint64(1))
			put("/objects/caller/b?version=0", `{}`)
			status, _, err = call[page](p, http.MethodGet, "/watch?from=1&wait_ms=0", "")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusGone)
		})

		Convey("an outage refuses every call, including a pending watch", func() {
			statuses := make(chan int, 1)
			go func() {
				status, _, _ := call[page](p, http.MethodGet, "/watch?from=1&wait_ms=60000", "")
				statuses <- status
			}()
			for p.Counters().Waiting == 0 {
				time.Sleep(time.Millisecond)
			}
			p.SetFaults(Faults{Outage: OutageUnavailable})
			So(<-statuses, ShouldEqual, http.StatusServiceUnavailable)
			status, _ := put("/objects/term/zrnobaza.silo1?version=1", `{}`)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			p.SetFaults(Faults{})
			So(p.Revision(), ShouldEqual, store.Revision(1))
		})

		Convey("a value must be valid JSON within the size limit", func() {
			status, _ := put("/objects/term/large?version=0", `"`+strings.Repeat("x", store.MaxValueBytes)+`"`)
			So(status, ShouldEqual, http.StatusRequestEntityTooLarge)
			status, _ = put("/objects/term/broken?version=0", `{`)
			So(status, ShouldEqual, http.StatusBadRequest)
		})
	})
}

// TestVMs guards the lag of the VM list: a change is hidden until it is as old as the
// lag.
func TestVMs(t *testing.T) {
	Convey("The VM list shows a change once it is as old as the lag", t, func() {
		p := start(t, Config{VMLag: time.Hour})
		put := func(body string) {
			_, _, err := call[store.VM](p, http.MethodPut, "/vms/e1", body)
			So(err, ShouldBeNil)
		}
		list := func() []store.VM {
			_, got, err := call[vmPage](p, http.MethodGet, "/vms", "")
			So(err, ShouldBeNil)
			return got.VMs
		}
		put(`{"address":"127.0.0.11:7001","failure_domain":"osijek"}`)
		So(list(), ShouldBeEmpty)
		_, _, err := call[Faults](p, http.MethodPut, "/faults", `{"vm_lag_ms":0}`)
		So(err, ShouldBeNil)
		So(list(), ShouldResemble, []store.VM{{Name: "e1", Address: "127.0.0.11:7001", FailureDomain: "osijek", State: store.VMLive}})
		put(`{"address":"127.0.0.11:7001","failure_domain":"osijek","state":"leaving"}`)
		So(list()[0].State, ShouldEqual, store.VMLeaving)
	})
}
