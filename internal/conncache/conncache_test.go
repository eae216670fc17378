package conncache

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// conns returns connections in a state.
func conns(state State, tenants ...string) []Connection {
	var out []Connection
	for i, tenant := range tenants {
		out = append(out, Connection{Tenant: tenant, State: state, UsedAt: time.Duration(i)})
	}
	return out
}

// demandOf returns a demand of the given numbers of requests.
func demandOf(requests map[string]int) *Demand {
	d := &Demand{}
	for tenant, n := range requests {
		for range n {
			d.Record(tenant, 0)
		}
	}
	return d
}

// Guards against a connection that is closed while it is in use or while there is room for
// another one, and against the loss of a tenant's only connection for one that has two.
func TestDecide(t *testing.T) {
	demand := demandOf(map[string]int{"small": 1, "middle": 5, "large": 50})
	cases := []struct {
		name  string
		view  View
		want  Action
		close int
	}{
		{"room", View{Limit: 3, Connections: conns(Idle, "small", "middle")}, Open, 0},
		{"a full target", View{Limit: 3, Full: true, Connections: conns(Idle, "small", "middle")}, Evict, 0},
		{"a full target and nothing idle", View{Limit: 3, Full: true, Connections: conns(InUse, "small")}, Wait, 0},
		{"the least demand", View{Limit: 3, Connections: conns(Idle, "large", "small", "middle")}, Evict, 1},
		{"a second idle connection before the least demand", View{Limit: 3, Connections: conns(Idle, "large", "small", "large")}, Evict, 2},
		{"the least demand for each connection", View{Limit: 3, Connections: append(conns(Idle, "middle", "large"), conns(InUse, "middle", "middle", "middle")...)}, Evict, 0},
		{"none in use, held or opening", View{Limit: 3, Connections: append(append(conns(InUse, "small"), conns(Held, "small")...), conns(Opening, "small")...)}, Wait, 0},
	}
	Convey("A request without a connection of its tenant", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				c.view.Demand = demand
				d := Decide(c.view)
				So(d.Action, ShouldEqual, c.want)
				So(d.Victim, ShouldEqual, c.close)
			})
		}
	})
}

// Guards against a tenant that keeps all connections while others wait, and against two
// tenants that close connections for each other in turn.
func TestYields(t *testing.T) {
	const openTime = 10 * time.Millisecond
	view := func(connections []Connection, waiting ...string) View {
		return View{Limit: 4, Connections: connections, Waiting: waiting, OpenTime: openTime, Demand: &Demand{}}
	}
	Convey("A tenant over its share yields at once", t, func() {
		So(Yields(view(conns(InUse, "a", "a", "a", "a"), "a", "b"), "a", "b", time.Second, 0), ShouldBeTrue)
	})
	Convey("A tenant within its share yields to a request that has waited longer by two openings", t, func() {
		v := view(conns(InUse, "a", "c", "d", "e"), "a", "b")
		So(Yields(v, "a", "b", 0, 2*openTime), ShouldBeFalse)
		So(Yields(v, "a", "b", 0, 2*openTime+1), ShouldBeTrue)
	})
	Convey("A tenant over its share does not yield to one that would then have as many", t, func() {
		v := View{Limit: 3, Connections: conns(InUse, "a", "a", "b"), Waiting: []string{"a", "b"}, OpenTime: openTime, Demand: &Demand{}}
		So(OverShare(v, "a"), ShouldBeTrue)
		So(Yields(v, "a", "b", 0, 0), ShouldBeFalse)
	})
	Convey("A tenant that nobody else waits beside may have all", t, func() {
		So(OverShare(view(conns(InUse, "a", "a", "a", "a"), "a"), "a"), ShouldBeFalse)
	})
}

// Guards against connections that stay idle at a home while the target has no room for
// those of another.
func TestRelease(t *testing.T) {
	demand := demandOf(map[string]int{"small": 1, "middle": 5, "large": 50})
	Convey("The second connections of tenants are closed first, those used last are kept", t, func() {
		v := View{Limit: 9, Connections: conns(Idle, "large", "small", "large", "middle", "middle"), Demand: demand}
		So(Release(v, 1), ShouldResemble, []int{3, 0})
	})
	Convey("After them, a quarter is closed, of the tenants with the least demand", t, func() {
		v := View{Limit: 9, Connections: conns(Idle, "large", "small", "middle"), Demand: demand}
		So(Release(v, 1), ShouldResemble, []int{1})
	})
	Convey("The connections to keep and those in use stay", t, func() {
		So(Release(View{Connections: conns(Idle, "large"), Demand: demand}, 1), ShouldBeEmpty)
		So(Release(View{Connections: conns(InUse, "large", "small"), Demand: demand}, 0), ShouldBeEmpty)
	})
}

// Guards against a demand that grows without bound with the number of tenants, and one that
// remembers a tenant's old load.
func TestDemand(t *testing.T) {
	Convey("A request counts half after the half-life", t, func() {
		d := demandOf(map[string]int{"a": 4})
		So(d.Of("a", halfLife), ShouldAlmostEqual, 2)
		So(d.Of("unknown", 0), ShouldEqual, 0)
	})
	Convey("Tenants without requests are forgotten", t, func() {
		d := demandOf(map[string]int{"a": 4, "b": 1})
		d.Record("c", 20*halfLife)
		So(d.tenants, ShouldHaveLength, 1)
	})
}
