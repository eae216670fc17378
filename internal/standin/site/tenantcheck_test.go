package site

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// checkedGroup is a group with one target, and a check of its tenants that allows no older
// version.
type checkedGroup struct {
	*TenantCheck
	group *Group
}

// newCheckedGroup starts a store and a group.
func newCheckedGroup(t *testing.T, limit time.Duration) checkedGroup {
	t.Helper()
	store, err := NewStore("127.0.0.1")
	So(err, ShouldBeNil)
	t.Cleanup(store.Close)
	g, err := NewGroup("grp", "127.0.0.1", []string{"north"}, 4, store)
	So(err, ShouldBeNil)
	t.Cleanup(g.Close)
	return checkedGroup{NewTenantCheck(store, limit, time.Second), g}
}

// run sends statements to the target as a daemon does that takes a caller with a key for
// one of a tenant.
func (c checkedGroup) run(tenant, key string, statements ...string) {
	conn, err := c.Connect(c.group.Targets[0].Address, "grp", key)
	So(err, ShouldBeNil)
	conn.Close()
	as, err := ConnectWithKey(c.group.Targets[0].Address, "grp", tenant)
	So(err, ShouldBeNil)
	defer as.Close()
	as.onSend = conn.onSend
	for _, s := range statements {
		as.Query(s)
	}
}

// declare declares the owner of the only key; an empty owner removes it.
func (c checkedGroup) declare(version int, owner string) {
	configuration := Configuration{Version: version, Routes: []Route{{Database: "grp", Type: "primary", Group: "grp"}}, Tenants: []Tenant{{Name: "other"}}}
	if owner != "" {
		configuration.Tenants = append(configuration.Tenants, Tenant{Name: owner, Keys: []string{"key"}})
	}
	c.Declare(configuration)
}

// Guards against a check that passes because it sees nothing.
func TestTenantCheck(t *testing.T) {
	Convey("A statement under the owner of the key is right, any other tenant is wrong", t, func() {
		c := newCheckedGroup(t, 0)
		c.declare(1, "a")
		c.run("a", "key", "WRITE k 1", "READ k")
		So(c.WrongTenants(c.group), ShouldBeEmpty)
		c.run("other", "key", "READ k")
		c.run(NoTenant, "key", "READ k")
		c.run("a", "unknown", "READ k")
		So(c.WrongTenants(c.group), ShouldHaveLength, 3)
	})
	Convey("A run with a removed key is wrong once the older version must not be applied", t, func() {
		c := newCheckedGroup(t, 50*time.Millisecond)
		c.declare(1, "a")
		c.declare(2, "")
		c.run("a", "key", "READ k")
		So(c.WrongTenants(c.group), ShouldBeEmpty)
		time.Sleep(60 * time.Millisecond)
		c.run("a", "key", "READ k")
		So(c.WrongTenants(c.group), ShouldHaveLength, 1)
	})
	Convey("A statement that was sent before the removal is wrong if it runs too late", t, func() {
		c := newCheckedGroup(t, time.Minute)
		c.revocation = 50 * time.Millisecond
		c.declare(1, "a")
		queued, err := ConnectWithKey(c.group.Targets[0].Address, "grp", "a")
		So(err, ShouldBeNil)
		defer queued.Close()
		sent := time.Now()
		queued.onSend = func(id string, _, _ time.Time) {
			c.sent[id] = sentStatement{database: "grp", key: "key", unit: sent, at: sent}
		}
		c.declare(2, "")
		So(queued.Query("READ k").OK(), ShouldBeTrue)
		So(c.WrongTenants(c.group), ShouldBeEmpty)
		time.Sleep(60 * time.Millisecond)
		So(queued.Query("READ k").OK(), ShouldBeTrue)
		So(c.WrongTenants(c.group), ShouldHaveLength, 1)
	})
	Convey("A transaction keeps its tenant when the key moves, a later unit does not", t, func() {
		c := newCheckedGroup(t, 0)
		c.declare(1, "a")
		conn, err := c.Connect(c.group.Targets[0].Address, "grp", "key")
		So(err, ShouldBeNil)
		conn.Close()
		as, err := ConnectWithKey(c.group.Targets[0].Address, "grp", "a")
		So(err, ShouldBeNil)
		defer as.Close()
		as.onSend = conn.onSend
		as.Query("BEGIN")
		So(as.Query("WRITE k 1").State, ShouldEqual, "T")
		c.Declare(Configuration{Version: 2, Routes: []Route{{Database: "grp", Type: "primary", Group: "grp"}},
			Tenants: []Tenant{{Name: "a"}, {Name: "b", Keys: []string{"key"}}}})
		So(as.Query("WRITE k 2").State, ShouldEqual, "T")
		So(as.Query("COMMIT").OK(), ShouldBeTrue)
		So(c.WrongTenants(c.group), ShouldBeEmpty)
		So(as.Query("READ k").OK(), ShouldBeTrue)
		So(c.WrongTenants(c.group), ShouldHaveLength, 1)
	})
	Convey("Callers of public routes and without tenants run as nobody's tenant", t, func() {
		c := newCheckedGroup(t, 0)
		c.Declare(Configuration{Version: 1, Routes: []Route{{Database: "grp", Type: "primary", Group: "grp", Public: true}}, Tenants: []Tenant{{Name: "a"}}})
		c.run(NoTenant, "no-key", "READ k")
		c.Declare(Configuration{Version: 2, Routes: []Route{{Database: "grp", Type: "primary", Group: "grp"}}})
		c.run(NoTenant, "no-key", "READ k")
		So(c.WrongTenants(c.group), ShouldBeEmpty)
		c.run("a", "no-key", "READ k")
		So(c.WrongTenants(c.group), ShouldHaveLength, 1)
	})
}

// Guards against a check of limits that counts too little, or holds a new limit against
// operations that an older one allowed.
func TestHighestUse(t *testing.T) {
	bounds := TenantBounds{QuotaWindow: 100 * time.Millisecond}
	declare := func(c checkedGroup, version int, limit *Limit) {
		c.Declare(Configuration{Version: version, Tenants: []Tenant{{Name: "a", Limit: limit}}})
	}
	Convey("A window counts each transaction once and no other tenant", t, func() {
		c := newCheckedGroup(t, 0)
		declare(c, 1, &Limit{Rate: 10, Burst: 1})
		c.run("a", "key", "READ k", "BEGIN", "WRITE k 1", "WRITE k 2", "COMMIT")
		c.run("other", "key", "READ k")
		use := c.HighestUse(c.group, "a", bounds)
		So(use.Ran, ShouldEqual, 2)
		So(use.Allowed, ShouldEqual, 2)
		So(use.Exceeded(), ShouldBeFalse)
		c.run("a", "key", "READ k")
		So(c.HighestUse(c.group, "a", bounds).Exceeded(), ShouldBeTrue)
	})
	Convey("Operations in different windows are not added up", t, func() {
		c := newCheckedGroup(t, 0)
		declare(c, 1, &Limit{Rate: 10, Burst: 1})
		for range 2 {
			c.run("a", "key", "READ k", "READ k")
			time.Sleep(bounds.QuotaWindow)
		}
		So(c.HighestUse(c.group, "a", bounds).Exceeded(), ShouldBeFalse)
	})
	Convey("A lowered limit holds once the older version must not be applied", t, func() {
		c := newCheckedGroup(t, 30*time.Millisecond)
		declare(c, 1, &Limit{Rate: 100})
		declare(c, 2, &Limit{Rate: 10})
		c.run("a", "key", "READ k", "READ k")
		So(c.HighestUse(c.group, "a", bounds).Exceeded(), ShouldBeFalse)
		time.Sleep(2 * bounds.QuotaWindow)
		c.run("a", "key", "READ k", "READ k")
		So(c.HighestUse(c.group, "a", bounds).Exceeded(), ShouldBeTrue)
	})
	Convey("A tenant without a limit never exceeds it", t, func() {
		c := newCheckedGroup(t, 0)
		declare(c, 1, nil)
		c.run("a", "key", "READ k", "READ k")
		So(c.HighestUse(c.group, "a", bounds).Exceeded(), ShouldBeFalse)
	})
}

// Guards against connections that are counted under no tenant or stay counted as open.
func TestConnectionCounts(t *testing.T) {
	Convey("Connections are counted by tenant, and those over the limit apart", t, func() {
		c := newCheckedGroup(t, 0)
		var open []*Caller
		for _, tenant := range []string{"a", "a", "b", NoTenant} {
			conn, err := ConnectWithKey(c.group.Targets[0].Address, "grp", tenant)
			So(err, ShouldBeNil)
			open = append(open, conn)
		}
		So(c.group.OpenedConnections(), ShouldResemble, map[string]int{"a": 2, "b": 1, NoTenant: 1})
		over, err := ConnectWithKey(c.group.Targets[0].Address, "grp", "a")
		if err == nil {
			So(over.Refused, ShouldEqual, Closed)
		}
		So(c.group.RefusedConnections(), ShouldEqual, 1)
		So(c.group.OpenedConnections()["a"], ShouldEqual, 2)
		for _, conn := range open {
			conn.Close()
		}
		for end := time.Now().Add(2 * time.Second); c.group.OpenConnections("a") > 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		So(c.group.OpenConnections("a"), ShouldEqual, 0)
	})
}

// Guards against an access that refuses new calls only: a watch that was waiting would
// deliver the change that the daemon must not get.
func TestAccessRefusesWaitingCalls(t *testing.T) {
	Convey("A watch that waits when the access begins to refuse gets no change, and the store still serves others", t, func() {
		store, err := NewStore("127.0.0.1")
		So(err, ShouldBeNil)
		t.Cleanup(store.Close)
		access, err := store.NewAccess("127.0.0.1")
		So(err, ShouldBeNil)
		t.Cleanup(access.Close)
		get := func(address, query string) (int, []byte) {
			r, err := http.Get("http://" + address + "/api/objects/things" + query)
			So(err, ShouldBeNil)
			defer func() { _ = r.Body.Close() }()
			body, err := io.ReadAll(r.Body)
			So(err, ShouldBeNil)
			return r.StatusCode, body
		}
		status, _ := get(access.Address, "")
		So(status, ShouldEqual, http.StatusOK)
		waiting := make(chan int)
		go func() {
			r, err := http.Get("http://" + access.Address + "/api/objects/things?watch=1&wait_ms=5000")
			if err != nil {
				waiting <- 0
				return
			}
			_ = r.Body.Close()
			waiting <- r.StatusCode
		}()
		time.Sleep(50 * time.Millisecond)
		access.SetRefused(true)
		store.Put("things", "a", json.RawMessage(`{}`))
		So(<-waiting, ShouldEqual, http.StatusServiceUnavailable)
		status, _ = get(access.Address, "")
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		status, _ = get(store.Address, "")
		So(status, ShouldEqual, http.StatusOK)
		access.SetRefused(false)
		status, body := get(access.Address, "")
		So(status, ShouldEqual, http.StatusOK)
		So(string(body), ShouldContainSubstring, `"a"`)
	})
}
