package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// step scripts the result of one exchange at a home.
type step struct {
	outcome outcome.Outcome
	ran     bool // the batch was executed
	open    bool // the transaction stays open
	answer  string
	// domain is the failure domain of the primary that answered or, for a redirect, of
	// the home to ask instead. If empty, a replica in osijek answers.
	domain string
	// noReplica is set if the failure domain of the home has no replica.
	noReplica bool
}

// redirectTo returns a step in which the home redirects the unit to a failure domain.
func redirectTo(domain string) step {
	return step{outcome: outcome.Refuse(outcome.Elsewhere, 0, "elsewhere"), domain: domain}
}

var (
	doneStep      = step{ran: true, answer: "row"}
	unreachable   = step{outcome: outcome.Refuse(outcome.HomeUnreachable, 0, "no answer")}
	lostDuring    = step{outcome: outcome.UnknownOutcome(outcome.HomeLost, "connection lost"), ran: true}
	lostMidAnswer = step{outcome: outcome.UnknownOutcome(outcome.HomeLost, "connection lost"), ran: true, answer: "ro"}
	noPrimary     = step{outcome: outcome.Refuse(outcome.NoPrimary, 20*time.Millisecond, "no primary")}
	queueFull     = step{outcome: outcome.Refuse(outcome.QueueFull, time.Second, "queue is full")}
)

// scriptedHomes is a HomeFinder whose homes follow a script. Its clock advances only
// when the gateway sleeps.
type scriptedHomes struct {
	now     time.Time
	script  []step
	runs    int               // batches executed
	opened  []string          // names of the homes at which units were opened, in order
	headers []wireunit.Header // headers of these units
	open    int               // units not closed yet
	names   []string          // homes in the own failure domain
	onSleep func()
}

func (s *scriptedHomes) Homes(string, string) []fleet.VM {
	vms := make([]fleet.VM, len(s.names))
	for i, name := range s.names {
		vms[i] = fleet.VM{Name: name}
	}
	return vms
}

// HomesIn returns one home, named after the failure domain; the failure domain nowhere
// has none.
func (s *scriptedHomes) HomesIn(failureDomain, _, _ string) []fleet.VM {
	if failureDomain == "nowhere" {
		return nil
	}
	return []fleet.VM{{Name: failureDomain}}
}

// homeOpener opens units at one of the scripted homes.
type homeOpener struct {
	homes *scriptedHomes
	name  string
}

func (h homeOpener) Open(_ context.Context, header wireunit.Header) (wireunit.Unit, outcome.Outcome) {
	h.homes.opened = append(h.homes.opened, h.name)
	h.homes.headers = append(h.homes.headers, header)
	h.homes.open++
	return &homeUnit{homes: h.homes}, outcome.Outcome{}
}

type homeUnit struct {
	homes    *scriptedHomes
	closed   bool
	canceled bool
}

func (u *homeUnit) Exchange(_ context.Context, _ wireunit.Batch, sink io.Writer) wireunit.Result {
	s := doneStep
	if len(u.homes.script) > 0 {
		s, u.homes.script = u.homes.script[0], u.homes.script[1:]
	}
	if s.ran {
		u.homes.runs++
	}
	_, _ = io.WriteString(sink, s.answer)
	r := wireunit.Result{Outcome: s.outcome, Origin: wireunit.Origin{FailureDomain: "osijek", Replica: true}}
	if s.domain != "" {
		r.Origin = wireunit.Origin{FailureDomain: s.domain}
	}
	r.NoReplicaHere = s.noReplica
	r.Status = wireunit.TxIdle
	if s.open {
		r.Status = wireunit.TxOpen
	}
	return r
}

func (u *homeUnit) Cancel() { u.canceled = true }

func (u *homeUnit) Close() {
	if !u.closed {
		u.closed = true
		u.homes.open--
	}
}

// newGateway returns a Gateway in the failure domain osijek that uses the scripted homes.
func (s *scriptedHomes) newGateway(tb testing.TB) *Gateway {
	g, err := New(Config{
		Homes:         s,
		OpenerFor:     func(vm fleet.VM) wireunit.Opener { return homeOpener{homes: s, name: vm.Name} },
		Configuration: configuration.Static{Snapshot: configuration.Empty()},
		FailureDomain: "osijek",
		Metrics:       metrics.NewSet(),
		Now:           func() time.Time { return s.now },
		Sleep: func(_ context.Context, d time.Duration) error {
			s.now = s.now.Add(d)
			if s.onSleep != nil {
				s.onSleep()
			}
			return nil
		},
	})
	if err != nil {
		tb.Fatal(err)
	}
	return g
}

// request runs a request of one batch and returns its result and answer.
func (s *scriptedHomes) request(g *Gateway, h wireunit.Header, read bool) (wireunit.Result, string) {
	var sink stringSink
	h.Service, h.Database = "grain", "bins"
	u, _ := g.Open(context.Background(), h)
	r := u.Exchange(context.Background(), wireunit.Batch{ReadOnly: read}, &sink)
	u.Close()
	return r, sink.text
}

// stringSink collects what is written to it.
type stringSink struct{ text string }

func (s *stringSink) Write(p []byte) (int, error) {
	s.text += string(p)
	return len(p), nil
}

// TestRetries guards against retries that run a write twice or exceed the deadline or the
// retry budget, and against units that are sent to the wrong home after a redirect.
func TestRetries(t *testing.T) {
	Convey("Given two homes", t, func() {
		s := &scriptedHomes{now: time.Unix(1000, 0), names: []string{"a", "b"}}
		g := s.newGateway(t)

		Convey("a write is retried at the next home if the first one is unreachable", func() {
			s.script = []step{unreachable}
			r, text := s.request(g, wireunit.Header{}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(text, ShouldEqual, "row")
			So(s.opened, ShouldResemble, []string{"a", "b"})
			So(g.counters.retries[outcome.HomeUnreachable].Get(), ShouldEqual, 1)
			So(g.counters.served[localityOwnDomain][1][0].Get(), ShouldEqual, 1)
		})
		Convey("a write whose home is lost while it runs is unknown and is not retried", func() {
			s.script = []step{lostDuring}
			r, _ := s.request(g, wireunit.Header{}, false)
			So(r.Outcome.Kind, ShouldEqual, outcome.Unknown)
			So(s.runs, ShouldEqual, 1)
			So(g.counters.unknown[outcome.HomeLost].Get(), ShouldEqual, 1)
		})
		Convey("a read is retried as long as no row has reached the caller", func() {
			s.script = []step{lostDuring}
			r, text := s.request(g, wireunit.Header{}, true)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(text, ShouldEqual, "row")
			s.script = []step{lostMidAnswer}
			r, text = s.request(g, wireunit.Header{}, true)
			So(r.Outcome.Kind, ShouldEqual, outcome.Unknown)
			So(text, ShouldEqual, "ro")
		})
		Convey("a write with a request id is retried with the same id", func() {
			s.script = []step{lostDuring}
			r, _ := s.request(g, wireunit.Header{RequestID: "order-7"}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(s.headers[1].RequestID, ShouldEqual, "order-7")
			So(s.headers[1].Attempt, ShouldEqual, 1)
		})
		Convey("a final refusal is returned without a retry", func() {
			s.script = []step{queueFull}
			r, _ := s.request(g, wireunit.Header{}, true)
			So(r.Outcome.Reason, ShouldEqual, outcome.QueueFull)
			So(s.now, ShouldEqual, time.Unix(1000, 0))
		})
		Convey("a request waits for a change of primary until its deadline", func() {
			s.script = []step{noPrimary, noPrimary}
			r, _ := s.request(g, wireunit.Header{Remaining: time.Second}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(s.headers[2].Remaining, ShouldBeLessThan, time.Second)
			So(s.headers[2].SessionAge, ShouldEqual, time.Second-s.headers[2].Remaining)
			s.script = []step{noPrimary, noPrimary, noPrimary}
			r, _ = s.request(g, wireunit.Header{Remaining: 30 * time.Millisecond}, false)
			So(r.Outcome.Reason, ShouldEqual, outcome.NoPrimary)
			So(r.Outcome.RetryAfter, ShouldEqual, 20*time.Millisecond)
		})
		Convey("a request canceled between two attempts is not sent", func() {
			s.script = []step{noPrimary}
			u, _ := g.Open(context.Background(), wireunit.Header{})
			s.onSleep = u.Cancel
			r := u.Exchange(context.Background(), wireunit.Batch{}, io.Discard)
			So(r.Outcome.Reason, ShouldEqual, outcome.Canceled)
			So(s.runs, ShouldEqual, 0)
		})
		Convey("a later batch of a transaction is never retried", func() {
			s.script = []step{doneStep, noPrimary}
			u, _ := g.Open(context.Background(), wireunit.Header{})
			u.Exchange(context.Background(), wireunit.Batch{}, io.Discard)
			r := u.Exchange(context.Background(), wireunit.Batch{ReadOnly: true}, io.Discard)
			So(r.Outcome.Reason, ShouldEqual, outcome.NoPrimary)
			So(len(s.opened), ShouldEqual, 1)
		})
		Convey("a transaction whose home is lost before COMMIT was sent is rolled back", func() {
			s.script = []step{lostDuring, doneStep, lostDuring}
			u, _ := g.Open(context.Background(), wireunit.Header{})
			r := u.Exchange(context.Background(), wireunit.Batch{NoCommit: true}, io.Discard)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(len(s.opened), ShouldEqual, 2)
			r = u.Exchange(context.Background(), wireunit.Batch{NoCommit: true}, io.Discard)
			So(r.Outcome.Reason, ShouldEqual, outcome.TransactionLost)
			So(r.Outcome.SQLState(), ShouldEqual, "40001")
			So(g.counters.unknown[outcome.HomeLost].Get(), ShouldEqual, 0)
		})
		Convey("a refusal that leaves the transaction open is not retried at another home", func() {
			s.script = []step{{outcome: noPrimary.outcome, open: true}, doneStep}
			u, _ := g.Open(context.Background(), wireunit.Header{})
			So(u.Exchange(context.Background(), wireunit.Batch{}, io.Discard).Outcome.OK(), ShouldBeFalse)
			So(u.Exchange(context.Background(), wireunit.Batch{}, io.Discard).Outcome.OK(), ShouldBeTrue)
			So(len(s.opened), ShouldEqual, 1)
			u.Close()
			So(s.open, ShouldEqual, 0)
		})
		Convey("a unit is redirected to the failure domain of its target without a retry", func() {
			s.script = []step{redirectTo("split"), {ran: true, answer: "row", domain: "split"}}
			r, _ := s.request(g, wireunit.Header{}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(s.opened, ShouldResemble, []string{"a", "split"})
			So(s.headers[1].Attempt, ShouldEqual, 0)
			r, _ = s.request(g, wireunit.Header{}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(s.opened[2:], ShouldResemble, []string{"split"})
			r, _ = s.request(g, wireunit.Header{}, true)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(s.opened[3:], ShouldResemble, []string{"a"})
		})
		Convey("reads go to the redirected failure domain for readRouteTTL, then to the local home again", func() {
			redirect := redirectTo("split")
			redirect.noReplica = true
			s.script = []step{redirect}
			for range 2 {
				r, _ := s.request(g, wireunit.Header{}, true)
				So(r.Outcome.OK(), ShouldBeTrue)
			}
			So(s.opened, ShouldResemble, []string{"a", "split", "split"})
			s.now = s.now.Add(readRouteTTL + 1)
			s.request(g, wireunit.Header{}, true)
			So(s.opened[3:], ShouldResemble, []string{"a"})
		})
		Convey("a redirect of one read does not apply to other reads if the local failure domain has a replica", func() {
			s.script = []step{redirectTo("split")}
			for range 2 {
				r, _ := s.request(g, wireunit.Header{}, true)
				So(r.Outcome.OK(), ShouldBeTrue)
			}
			So(s.opened, ShouldResemble, []string{"a", "split", "a"})
		})
		Convey("the local home runs the unit if the home in the other failure domain is unreachable", func() {
			s.script = []step{redirectTo("split"), unreachable}
			r, _ := s.request(g, wireunit.Header{}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(s.opened, ShouldResemble, []string{"a", "split", "a"})
			So(s.headers[2].Direct, ShouldBeTrue)
		})
		Convey("the local home runs the unit if the other failure domain has no home", func() {
			s.script = []step{redirectTo("nowhere")}
			r, _ := s.request(g, wireunit.Header{}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(s.opened, ShouldResemble, []string{"a", "a"})
			So(s.headers[1].Direct, ShouldBeTrue)
		})
		Convey("the local home runs the unit after maxForwards redirects between two homes", func() {
			s.script = []step{redirectTo("x"), redirectTo("y"), redirectTo("x"), redirectTo("y"), doneStep}
			r, _ := s.request(g, wireunit.Header{}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(s.headers[4].Direct, ShouldBeTrue)
			So(s.runs, ShouldEqual, 1)
		})
		Convey("the retry budget bounds retries and keeps the reason of the refusal", func() {
			spent := false
			for range 50 {
				s.script = []step{unreachable, unreachable}
				r, _ := s.request(g, wireunit.Header{}, false)
				if !r.Outcome.OK() {
					spent = true
					So(r.Outcome.Reason, ShouldEqual, outcome.HomeUnreachable)
				}
			}
			So(spent, ShouldBeTrue)
			So(g.counters.budgetSpent.Get(), ShouldBeGreaterThan, 0)
		})
	})
}

// TestNoDoubleRun runs a write without a request id against random scripts of the homes.
// It guards against retries that run the write twice, refusals of a write that ran, and
// units that stay open at a home.
func TestNoDoubleRun(t *testing.T) {
	steps := []step{doneStep, redirectTo("x"), redirectTo("nowhere"), unreachable, lostDuring, lostMidAnswer, noPrimary, queueFull}
	rapid.Check(t, func(t *rapid.T) {
		s := &scriptedHomes{now: time.Unix(1000, 0), names: []string{"a", "b", "c"}}
		g, err := New(Config{
			Homes:         s,
			OpenerFor:     func(vm fleet.VM) wireunit.Opener { return homeOpener{homes: s, name: vm.Name} },
			Configuration: configuration.Static{Snapshot: configuration.Empty()},
			Metrics:       metrics.NewSet(),
			Now:           func() time.Time { return s.now },
			Sleep:         func(_ context.Context, d time.Duration) error { s.now = s.now.Add(d); return nil },
			Seed:          rapid.Uint64().Draw(t, "seed"),
		})
		if err != nil {
			t.Fatal(err)
		}
		s.script = rapid.SliceOfN(rapid.SampledFrom(steps), 0, 8).Draw(t, "script")
		described := fmt.Sprint(s.script)
		deadline := time.Duration(rapid.IntRange(0, 500).Draw(t, "deadline")) * time.Millisecond
		r, text := s.request(g, wireunit.Header{Remaining: deadline}, false)
		switch {
		case s.runs > 1:
			t.Fatalf("ran %d times: %s", s.runs, described)
		case r.Outcome.Kind == outcome.Refused && s.runs > 0:
			t.Fatalf("refused but ran: %s", described)
		case r.Outcome.OK() && text != "row":
			t.Fatalf("answer %q: %s", text, described)
		case s.open != 0:
			t.Fatalf("%d units left open: %s", s.open, described)
		}
	})
}

// TestWhereServed checks the locality under which served batches are counted, and that
// auxiliary batches, which carry no statement, are not counted.
func TestWhereServed(t *testing.T) {
	snapshot, err := configuration.Build(
		configuration.Region{Name: "panonija", FailureDomains: []string{"osijek", "vukovar"}},
		configuration.Region{Name: "jadran", FailureDomains: []string{"split"}})
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedHomes{}
	g := s.newGateway(t)
	g.config.Configuration = configuration.Static{Snapshot: snapshot}
	for domain, want := range map[string]locality{"osijek": localityOwnDomain, "vukovar": localityOwnRegion, "split": localityOtherRegion} {
		origin := wireunit.Origin{FailureDomain: domain, Region: snapshot.RegionOf(domain)}
		g.counters.recordResult(g, wireunit.Batch{ReadOnly: true, Auxiliary: true}, wireunit.Result{Origin: origin})
		if g.counters.served[want][0][1].Get() != 0 {
			t.Errorf("%s: a batch without a statement was counted", domain)
		}
		g.counters.recordResult(g, wireunit.Batch{ReadOnly: true}, wireunit.Result{Origin: origin})
		if g.counters.served[want][0][1].Get() != 1 {
			t.Errorf("%s: not counted as locality %d", domain, want)
		}
	}
}

// TestNewRejectsEmptyConfig also checks that sleep returns when its context ends.
func TestNewRejectsEmptyConfig(t *testing.T) {
	if _, err := New(Config{}); err == nil {
		t.Fatal("New accepted an empty Config")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := sleep(ctx, time.Hour); !errors.Is(err, context.Canceled) {
		t.Fatalf("sleep: %v", err)
	}
}
