package bench

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/standin/target"
)

func startGroup(t *testing.T) *target.Group {
	configs := make([]target.Config, 3)
	for i := range configs {
		configs[i] = target.Config{Name: string(rune('a' + i)), ConnectDelay: -1, ControlAddress: "127.0.0.1:0", Connections: 1000}
	}
	g, err := target.StartGroup(configs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

// one returns the mix on one database, which a bare target can stand in for.
func one(mix Mix) Mix {
	mix.Databases = mix.Databases[:1]
	return mix
}

func TestPlan(t *testing.T) {
	Convey("A plan depends on its seed only, and has the rate it was asked for", t, func() {
		config := PlanConfig{Mix: Silotehnika(), Rate: 1000, Duration: 10 * time.Second, Gateways: 8, RoamingShare: 0.5, Seed: 7}
		plan := Plan(config)
		So(slices.Equal(Plan(config), plan), ShouldBeTrue)
		So(len(plan), ShouldAlmostEqual, 10_000, 500)
		config.Seed = 8
		So(slices.Equal(Plan(config), plan), ShouldBeFalse)
	})
}

func TestClassify(t *testing.T) {
	Convey("Errors are told apart by what they prove", t, func() {
		refused := &pgconn.PgError{Code: "53300", Detail: "outcome=refused not_run=true reason=queue_full retry_after_ms=40"}
		So(classify(refused), ShouldResemble, Result{Outcome: Refused, SQLState: "53300", Reason: "queue_full", RetryAfter: 40 * time.Millisecond})
		unknown := &pgconn.PgError{Code: "08007", Detail: "outcome=unknown reason=target_lost"}
		So(classify(unknown), ShouldResemble, Result{Outcome: Unknown, SQLState: "08007", Reason: "target_lost"})
		So(classify(&pgconn.PgError{Code: "42P01"}).Outcome, ShouldEqual, Failed)
		So(classify(context.DeadlineExceeded).Outcome, ShouldEqual, Unknown)
	})
}

func TestVerify(t *testing.T) {
	Convey("Each broken promise has its own count", t, func() {
		var c Checks
		c.check(&Result{Outcome: Done, MayHaveRun: true}, 1)
		c.check(&Result{Outcome: Refused}, 0)
		c.check(&Result{Outcome: Unknown, MayHaveRun: true}, 1)
		So(c, ShouldResemble, Checks{})
		c.check(&Result{Outcome: Done, MayHaveRun: true}, 0)
		c.check(&Result{Outcome: Refused}, 1)
		c.check(&Result{Outcome: Done, MayHaveRun: true}, 2)
		So(c, ShouldResemble, Checks{Lost: 1, RanAfterRefusal: 1, Duplicated: 1})
	})
}

func TestLoad(t *testing.T) {
	Convey("A load runs against a target and is read back", t, func() {
		g := startGroup(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		address := g.Instances[0].Address().String()
		served := 0.0
		admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			served += 3
			fmt.Fprintf(w, "laburnumrack_served_total{place=%q,role=%q,kind=%q} %v\nother 9\n", "own_domain", "replica", "read", served)
		}))
		defer admin.Close()
		for _, mix := range []Mix{one(Silotehnika()), one(Volta())} {
			report, results, err := MeasureLoad(ctx, LoadConfig{
				Deployment: Deployment{Gateways: []string{address, address}, Admins: []string{strings.TrimPrefix(admin.URL, "http://")}},
				Plan:       PlanConfig{Mix: mix, Rate: 500, Duration: 400 * time.Millisecond, RoamingShare: 0.5, Seed: 1},
			})
			So(err, ShouldBeNil)
			So(report.Tallies, ShouldHaveLength, 1)
			So(report.Tallies[0].Count, ShouldEqual, len(results))
			So(report.Checks.OK(), ShouldBeTrue)
			So(report.Checks.Requests, ShouldBeGreaterThan, 0)
			So(report.ReplicaShare, ShouldEqual, 1)
			var table, svg strings.Builder
			So(report.WriteTable(&table), ShouldBeNil)
			plot := Plot{Title: "a < b", Series: LatencySeries(mix, results)}
			So(plot.WriteSVG(&svg), ShouldBeNil)
			So(svg.String(), ShouldContainSubstring, "a &lt; b")
		}
	})
}

func TestFailoverGap(t *testing.T) {
	Convey("The gap is the longest pause that ends after the fault", t, func() {
		class := &Class{Name: "w", Deadline: time.Second}
		done := func(at, finished int) Result {
			return Result{Outcome: Done, Arrival: &Arrival{Class: class, At: time.Duration(at) * time.Millisecond}, Finished: time.Duration(finished) * time.Millisecond}
		}
		refused := done(150, 151)
		refused.Outcome = Refused
		late := done(120, 400)
		late.Latency = 2 * time.Second
		straggler := done(130, 2000)
		results := []Result{done(0, 1), done(60, 61), done(99, 100), late, refused, straggler, done(398, 401)}
		So(gapOf(results, 110*time.Millisecond, 450*time.Millisecond), ShouldResemble,
			FailoverRound{
				GapMS: 300, Recovered: true, Requests: 4, Refused: 1, Late: 1,
				Slowest: SlowRequest{ID: "000000", AtMS: 120, LatencyMS: 2000, Outcome: Done}})
		So(gapOf(results[:3], 110*time.Millisecond, 450*time.Millisecond).Recovered, ShouldBeFalse)
	})
	Convey("A group is whole when all follow the primary", t, func() {
		g := startGroup(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var controls Controls
		for _, in := range g.Instances {
			controls = append(controls, in.ControlAddress())
		}
		So(controls.waitWhole(ctx), ShouldBeNil)
		address, report, err := controls.primary(ctx)
		So(err, ShouldBeNil)
		So(address, ShouldEqual, controls[0])
		So(report.Status.Target, ShouldEqual, "a")
		_, err = control(ctx, http.MethodPost, address, "/crash")
		So(err, ShouldBeNil)
		_, _, err = controls.primary(ctx)
		So(err, ShouldNotBeNil)
	})
}

func TestCompareAndCost(t *testing.T) {
	Convey("Two ways are measured in turns", t, func() {
		g := startGroup(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		address := g.Instances[0].Address().String()
		deployment := Deployment{Gateways: []string{address}}
		compared, err := Compare(ctx, CompareConfig{A: deployment, B: deployment, Rounds: 2,
			Plan: PlanConfig{Mix: one(Volta()), Rate: 200, Duration: 100 * time.Millisecond, Seed: 3}})
		So(err, ShouldBeNil)
		So(compared.Ratios[0], ShouldResemble, Ratio{Measure: "in time share", A: 1, B: 1, Median: 1, Min: 1, Max: 1})
		cost, err := MeasureCost(ctx, CostConfig{Deployment: deployment, Mix: one(Silotehnika()), Database: "silo1",
			Target: address, Connections: 2, SliceDuration: 20 * time.Millisecond, Rounds: 2})
		So(err, ShouldBeNil)
		So(cost.Paths, ShouldHaveLength, 3)
		for _, way := range cost.Paths {
			So(way.Statements, ShouldBeGreaterThan, 0)
		}
	})
}
