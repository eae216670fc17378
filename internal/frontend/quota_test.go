package frontend

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/query"
	"github.com/laburnumrack/laburnumrack/internal/requestmetrics"
	"github.com/laburnumrack/laburnumrack/internal/stmtunit"
)

// fakeQuota admits a number of operations and records the tenants and versions.
type fakeQuota struct {
	left     int
	tenants  []string
	versions []uint64
}

func (q *fakeQuota) Admit(t catalog.Tenant, version uint64) (time.Duration, string, bool) {
	q.tenants, q.versions = append(q.tenants, t.Name), append(q.versions, version)
	q.left--
	return 1500*time.Millisecond + time.Microsecond, "rate_limit", q.left >= 0
}

func TestQuota(t *testing.T) {
	conf := tenantConfiguration(3, map[string][]string{"limited": {"k"}, "free": {"f"}})
	conf.Tenants["limited"] = catalog.Tenant{Name: "limited", Rate: 5, Burst: 5}
	newSession := func(q *fakeQuota, database, key string) (*Session, *fakeHome, *metrics.Set) {
		a := newAccessTest(conf)
		set := metrics.NewSet()
		a.server.Quota, a.server.Tenants = q, requestmetrics.NewTenants(set)
		return a.server.newSession(database, catalog.DigestKey(key)), a.home, set
	}
	// Guards against transactions that cost one operation per statement, and against local
	// statements that cost any.
	Convey("A single statement and a transaction each cost one operation, local statements none", t, func() {
		q := &fakeQuota{left: 100}
		s, _, _ := newSession(q, "db", "k")
		for _, k := range []query.Kind{query.Set, query.Begin, query.Set} {
			So(runStatement(s, k, "").OK(), ShouldBeTrue)
		}
		So(q.tenants, ShouldBeEmpty)
		for _, k := range []query.Kind{query.Write, query.Read, query.Commit} {
			So(runStatement(s, k, "x").OK(), ShouldBeTrue)
		}
		So(q.tenants, ShouldResemble, []string{"limited"})
		runStatement(s, query.Write, "w")
		runStatement(s, query.Begin, "")
		So(runStatement(s, query.Commit, "COMMIT").OK(), ShouldBeTrue)
		runStatement(s, query.Begin, "")
		runStatement(s, query.Rollback, "ROLLBACK")
		So(len(q.tenants), ShouldEqual, 3)
		So(q.versions[2], ShouldEqual, 3)
	})
	// Guards against an operation that is charged again for each home that is tried.
	Convey("A statement that is retried at another home costs one operation", t, func() {
		q := &fakeQuota{left: 100}
		a := newAccessTest(conf)
		first := &fakeHome{outcomes: map[string]stmtunit.Outcome{"w": stmtunit.NotRun}}
		a.server.Homes, a.server.Quota = fakeHomeFinder{own: []*fakeHome{first, a.home}}, q
		s := a.server.newSession("db", catalog.DigestKey("k"))
		So(runStatement(s, query.Write, "w").OK(), ShouldBeTrue)
		So(len(q.tenants), ShouldEqual, 1)
	})
	// Guards against limits that are applied to tenants or callers without one.
	Convey("Tenants without a limit and public routes are not limited", t, func() {
		q := &fakeQuota{}
		free, _, _ := newSession(q, "db", "f")
		public, _, _ := newSession(q, "open", "k")
		So(runStatement(free, query.Write, "w").OK(), ShouldBeTrue)
		So(runStatement(public, query.Write, "w").OK(), ShouldBeTrue)
		So(q.tenants, ShouldBeEmpty)
	})
	// Guards against refused operations that reach a home, and against refusals that tell
	// the caller a wrong transaction state or no time to retry.
	Convey("An operation over the limit is refused before a unit is opened", t, func() {
		s, h, set := newSession(&fakeQuota{}, "db", "k")
		answer := runStatement(s, query.Write, "w")
		So(answer.Code, ShouldEqual, query.TooManyConnections)
		So(answer.Message, ShouldEqual, "not run: rate_limit retry_after_ms=1501")
		So(answer.State, ShouldEqual, query.Idle)

		runStatement(s, query.Begin, "")
		answer = runStatement(s, query.Read, "r")
		So(answer.Code, ShouldEqual, query.TooManyConnections)
		So(answer.State, ShouldEqual, query.Failed)
		So(runStatement(s, query.Read, "r").Code, ShouldEqual, query.Bad)
		So(runStatement(s, query.Rollback, "ROLLBACK").State, ShouldEqual, query.Idle)

		runStatement(s, query.Begin, "")
		answer = runStatement(s, query.Commit, "COMMIT")
		So(answer.Code, ShouldEqual, query.TooManyConnections)
		So(answer.State, ShouldEqual, query.Idle)

		So(h.headers, ShouldBeEmpty)
		So(set.GetOrCreateCounter(`laburnumrack_tenant_operations_total{tenant="limited"}`).Get(), ShouldEqual, 3)
		So(set.GetOrCreateCounter(`laburnumrack_tenant_refusals_total{tenant="limited",reason="rate_limit"}`).Get(), ShouldEqual, 3)
	})
	// Guards against operators who cannot see that a tenant is refused for other reasons.
	Convey("Refusals by homes are counted with the tenant", t, func() {
		s, h, set := newSession(&fakeQuota{left: 9}, "db", "k")
		h.cutOff = true
		So(runStatement(s, query.Write, "w").Code, ShouldEqual, query.Busy)
		So(set.GetOrCreateCounter(`laburnumrack_tenant_refusals_total{tenant="limited",reason="busy"}`).Get(), ShouldEqual, 1)
	})
	// Guards against operators who see that a tenant is refused but not why.
	Convey("Refusals by homes are counted with their reason", t, func() {
		s, h, set := newSession(&fakeQuota{left: 9}, "db", "k")
		h.refusal = "over_share"
		runStatement(s, query.Write, "w")
		runStatement(s, query.Begin, "")
		runStatement(s, query.Read, "r")
		So(set.GetOrCreateCounter(`laburnumrack_tenant_refusals_total{tenant="limited",reason="over_share"}`).Get(), ShouldEqual, 2)
		So(set.GetOrCreateCounter(`laburnumrack_tenant_refusals_total{tenant="limited",reason="busy"}`).Get(), ShouldEqual, 0)
	})
	// Guards against refusals that operators cannot attribute to a tenant.
	Convey("The log of a refusal names the tenant", t, func() {
		a := newAccessTest(conf)
		a.server.Quota = &fakeQuota{}
		runStatement(a.server.newSession("db", catalog.DigestKey("k")), query.Write, "w")
		So(a.written(), ShouldContainSubstring, `"tenant":"limited"`)
	})
}

func TestStrictRevocation(t *testing.T) {
	conf := tenantConfiguration(1, map[string][]string{"a": {"k"}})
	stale := func() *catalog.Confirmation { return catalog.NewConfirmation(time.Minute) }
	fresh := func() *catalog.Confirmation {
		c := catalog.NewConfirmation(time.Minute)
		c.Confirm(boottime.Now())
		return c
	}
	// Guards against a daemon in strict mode that serves keys by a configuration that nobody
	// confirms.
	Convey("With a stale configuration new sessions with keys are refused, and public routes served", t, func() {
		a := newAccessTest(conf)
		a.server.Confirmation = stale()
		for _, key := range []string{"k", "unknown"} {
			conn, code := a.connect("db", key)
			So(code, ShouldEqual, query.Busy)
			So(conn.isClosedWithin(time.Second), ShouldBeTrue)
		}
		public, code := a.connect("open", "")
		So(code, ShouldEqual, query.OK)
		So(public.query(t, query.Write, "w").OK(), ShouldBeTrue)
	})
	Convey("With a stale configuration statements of open sessions are refused until it is confirmed", t, func() {
		a := newAccessTest(conf)
		a.server.Confirmation = fresh()
		s := a.server.newSession("db", catalog.DigestKey("k"))
		So(runStatement(s, query.Write, "w").OK(), ShouldBeTrue)
		s.confirmation = stale()
		for _, k := range []query.Kind{query.Write, query.Read, query.Begin} {
			answer := runStatement(s, k, "x")
			So(answer.Code, ShouldEqual, query.Busy)
			So(answer.Message, ShouldEqual, "not run: configuration_stale")
			So(answer.State, ShouldEqual, query.Idle)
		}
		So(runStatement(s, query.Set, "x").OK(), ShouldBeTrue)
		s.confirmation.Confirm(boottime.Now())
		So(runStatement(s, query.Write, "w").OK(), ShouldBeTrue)
	})
	// Guards against a transaction that commits under a key that may have been revoked.
	Convey("With a stale configuration an open transaction is rolled back", t, func() {
		for _, k := range []query.Kind{query.Write, query.Commit} {
			a := newAccessTest(conf)
			a.server.Confirmation = fresh()
			s := a.server.newSession("db", catalog.DigestKey("k"))
			runStatement(s, query.Begin, "")
			runStatement(s, query.Write, "1")
			s.confirmation = stale()
			answer := runStatement(s, k, "2")
			So(answer.Code, ShouldEqual, query.Aborted)
			So(answer.State == query.Idle, ShouldEqual, k == query.Commit)
			So(a.home.units(), ShouldEqual, 0)
			So(a.home.calls, ShouldResemble, []string{"1"})
		}
	})
	// Guards against a daemon that refuses callers without strict mode, or in a deployment
	// without tenants.
	Convey("Without strict mode or without tenants nothing is refused", t, func() {
		a := newAccessTest(conf)
		So(runStatement(a.server.newSession("db", catalog.DigestKey("k")), query.Write, "w").OK(), ShouldBeTrue)
		a = newAccessTest(&catalog.Configuration{Version: 1, Routes: conf.Routes})
		a.server.Confirmation = stale()
		So(runStatement(a.server.newSession("db", catalog.KeyDigest{}), query.Write, "w").OK(), ShouldBeTrue)
	})
}
