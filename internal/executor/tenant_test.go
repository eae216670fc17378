package executor

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// tenantsOf returns a configuration in which each key belongs to the given tenant.
func tenantsOf(version uint64, owners map[string]string) *catalog.Configuration {
	c := &catalog.Configuration{Version: version, Tenants: map[string]catalog.Tenant{}, Keys: map[catalog.KeyDigest]string{}}
	for key, tenant := range owners {
		c.Tenants[tenant] = catalog.Tenant{Name: tenant, Rate: catalog.Unlimited}
		c.Keys[catalog.DigestKey(key)] = tenant
	}
	return c
}

func TestCheckHeader(t *testing.T) {
	header := func(version uint64, tenant, key string) stmtunit.Header {
		return stmtunit.Header{Version: version, Tenant: tenant, Key: catalog.DigestKey(key)}
	}
	c := tenantsOf(5, map[string]string{"k": "a", "k2": "b"})
	cases := []struct {
		name   string
		c      *catalog.Configuration
		header stmtunit.Header
		want   denial
	}{
		// Guard against units of valid tenants that are refused.
		{"the same version allows it", c, header(5, "a", "k"), denial{}},
		{"a newer version still allows it", c, header(4, "a", "k"), denial{}},
		{"an older version does not know the key yet", c, header(6, "a", "new"), denial{}},
		{"an older version has the key at another tenant", c, header(6, "b", "k"), denial{}},
		{"the route is public", c, stmtunit.Header{Version: 5}, denial{}},
		{"no configuration", nil, header(0, "a", "k"), denial{}},
		{"tenants were removed altogether", &catalog.Configuration{Version: 6}, header(5, "a", "k"), denial{}},
		// Guard against units of revoked keys, which a gateway sends that has no contact to
		// any source of the configuration.
		{"the key was revoked", c, header(4, "a", "old"), keyUnknown},
		{"the key was revoked and the versions are equal", c, header(5, "a", "old"), keyUnknown},
		// Guard against units that run under a tenant that no longer owns the key.
		{"the key moved", c, header(4, "b", "k"), tenantChanged},
		{"the tenant was renamed", c, header(4, "old", "k"), tenantChanged},
	}
	Convey("A home refuses a unit only by a configuration that is not older than the gateway's", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				So(checkHeader(tc.c, tc.header), ShouldResemble, tc.want)
			})
		}
	})
}

func TestTenantAtHome(t *testing.T) {
	route := catalog.Route{Database: "db", Group: "g", Consistency: catalog.Current, StatementTimeout: 2 * time.Second, Objective: 2 * time.Second}
	header := stmtunit.Header{Route: route, Version: 1, Tenant: "a", Key: catalog.DigestKey("k")}
	call := func(id string, k query.Kind) stmtunit.Call {
		return stmtunit.Call{Statement: query.Statement{ID: id, Kind: k, Writes: k == query.Write}}
	}
	newExecutor := func(target *fakeTarget) *Executor {
		e := newTestExecutor(t, target)
		e.Configuration = &catalog.Holder{}
		e.Configuration.Apply(tenantsOf(1, map[string]string{"k": "a"}))
		return e
	}
	received := func(target *fakeTarget, id string) bool {
		_, ok := target.received.Load(id)
		return ok
	}
	revoked := tenantsOf(2, map[string]string{"other": "a"})

	// Guards against refusals at a home whose reason the gateway doesn't learn, or which the
	// log at the home doesn't attribute to the tenant.
	Convey("A refusal has its reason in the reply and the tenant in the log", t, func() {
		target := &fakeTarget{slots: make(chan struct{}, 3), serviceTime: time.Millisecond}
		e := newExecutor(target)
		served := e.Open(header).Run(call("valid", query.Read))
		So(served.Answer.OK(), ShouldBeTrue)
		So(served.Reason, ShouldBeEmpty)
		e.Configuration.Apply(revoked)
		So(e.Open(header).Run(call("refused", query.Read)).Reason, ShouldEqual, "unknown_key")
		late := header
		late.Version, late.Tenant, late.Key = 2, "a", catalog.DigestKey("other")
		c := call("late", query.Write)
		c.Age = 3 * time.Second
		reply := e.Open(late).Run(c)
		So(reply.Answer.Code, ShouldEqual, query.Busy)
		So(reply.Answer.Message, ShouldStartWith, "not run: "+reply.Reason)
		So(reply.Reason, ShouldNotBeEmpty)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var log bytes.Buffer
		So(e.Log.Run(ctx, &log), ShouldBeNil)
		refusals := 0
		for line := range strings.Lines(log.String()) {
			if strings.Contains(line, `"msg":"refused"`) {
				refusals++
				So(line, ShouldContainSubstring, `"tenant":"a"`)
			}
		}
		So(refusals, ShouldEqual, 2)
	})
	// The share of a tenant is in proportion to its declared rate. Guards against the rate of
	// another tenant or version.
	Convey("The rate of a tenant is that of the configuration in force at the home", t, func() {
		e := newExecutor(&fakeTarget{slots: make(chan struct{}, 3), serviceTime: time.Millisecond})
		r := &request{unit: &unit{header: header}}
		So(e.tenantRate(r), ShouldEqual, catalog.Unlimited)
		changed := tenantsOf(2, map[string]string{"k": "a"})
		changed.Tenants["a"] = catalog.Tenant{Name: "a", Rate: 7}
		e.Configuration.Apply(changed)
		So(e.tenantRate(r), ShouldEqual, 7)
		r.unit.header.Tenant = ""
		So(e.tenantRate(r), ShouldEqual, 0)
		e.Configuration = nil
		So(e.tenantRate(r), ShouldEqual, 0)
	})
	// Guards against units of a revoked key that reach a target by way of a gateway with an
	// older configuration.
	Convey("A unit of a revoked key is refused and not sent to a target", t, func() {
		for _, kind := range []query.Kind{query.Write, query.Read} {
			target := &fakeTarget{slots: make(chan struct{}, 3), serviceTime: time.Millisecond}
			e := newExecutor(target)
			So(e.Open(header).Run(call("valid", kind)).Answer.OK(), ShouldBeTrue)
			e.Configuration.Apply(revoked)
			a := e.Open(header).Run(call("revoked", kind)).Answer
			So(a.Code, ShouldEqual, query.Unauthorized)
			So(a.State, ShouldEqual, query.Idle)
			So(received(target, "revoked"), ShouldBeFalse)
		}
	})
	// Guards against a revoked key whose statement waits in a queue and runs afterwards.
	Convey("A statement whose key is revoked while it waits is refused and not sent to a target", t, func() {
		for _, begin := range []*query.Statement{nil, {Kind: query.Begin, Writes: true}} {
			target := &fakeTarget{slots: make(chan struct{}, 1), serviceTime: 150 * time.Millisecond}
			e := newExecutor(target)
			// The gate admits more statements than the target has slots.
			const busy = 5
			done := make(chan stmtunit.Reply, busy)
			for range busy {
				go func() { done <- e.Open(header).Run(call("busy", query.Write)) }()
			}
			time.Sleep(50 * time.Millisecond)
			h := header
			h.Begin = begin
			waiting := make(chan stmtunit.Reply)
			go func() { waiting <- e.Open(h).Run(call("waiting", query.Write)) }()
			time.Sleep(50 * time.Millisecond)
			So(received(target, "waiting"), ShouldBeFalse)
			e.Configuration.Apply(revoked)
			So((<-waiting).Answer.Code, ShouldEqual, query.Unauthorized)
			So(received(target, "waiting"), ShouldBeFalse)
			served := 0
			for range busy {
				if (<-done).Answer.OK() {
					served++
				}
			}
			So(served, ShouldBeGreaterThan, 0)
		}
	})
	// Guards against an open transaction of a revoked key that its gateway does not end.
	Convey("A transaction whose key is revoked is rolled back with its next statement", t, func() {
		for _, kind := range []query.Kind{query.Write, query.Commit} {
			target := &fakeTarget{slots: make(chan struct{}, 3), serviceTime: time.Millisecond}
			e := newExecutor(target)
			h := header
			h.Begin = &query.Statement{ID: "begin", Kind: query.Begin, Writes: true}
			u := e.Open(h)
			So(u.Run(call("1", query.Write)).Answer.OK(), ShouldBeTrue)
			e.Configuration.Apply(revoked)
			a := u.Run(call("2", kind)).Answer
			So(a.Code, ShouldEqual, query.Unauthorized)
			So(a.State == query.Idle, ShouldEqual, kind == query.Commit)
			So(received(target, "2"), ShouldBeFalse)
			So(u.Run(call("3", query.Write)).Answer.Code, ShouldEqual, query.Bad)
		}
	})
	// Guards against callers with a valid key that are told that it is not.
	Convey("A unit whose key has moved is refused as busy, and runs under the new tenant", t, func() {
		target := &fakeTarget{slots: make(chan struct{}, 3), serviceTime: time.Millisecond}
		e := newExecutor(target)
		e.Configuration.Apply(tenantsOf(2, map[string]string{"k": "b"}))
		So(e.Open(header).Run(call("1", query.Write)).Answer.Code, ShouldEqual, query.Busy)
		moved := header
		moved.Tenant, moved.Version = "b", 2
		So(e.Open(moved).Run(call("2", query.Write)).Answer.OK(), ShouldBeTrue)
	})
}
