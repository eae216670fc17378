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

// step is what a home does with one exchange.
type step struct {
	outcome outcome.Outcome
	ran     bool
	open    bool // the transaction stays open
	answer  string
	// domain is that of the primary that answered, or of the home to ask.
	domain string
	// noReplica says that the home's failure domain has no replica.
	noReplica bool
}

func elsewhere(domain string) step {
	return step{outcome: outcome.Refuse(outcome.Elsewhere, 0, "elsewhere"), domain: domain}
}

var (
	doneStep    = step{ran: true, answer: "row"}
	unreachable = step{outcome: outcome.Refuse(outcome.HomeUnreachable, 0, "no answer")}
	diedDuring  = step{outcome: outcome.Unclear(outcome.HomeLost, "connection lost"), ran: true}
	diedMidway  = step{outcome: outcome.Unclear(outcome.HomeLost, "connection lost"), ran: true, answer: "ro"}
	noPrimary   = step{outcome: outcome.Refuse(outcome.NoPrimary, 20*time.Millisecond, "no primary")}
	queueFull   = step{outcome: outcome.Refuse(outcome.QueueFull, time.Second, "queue is full")}
)

// world is a set of homes that follow a script; its clock moves by Sleep only.
type world struct {
	now     time.Time
	script  []step
	runs    int
	asked   []string
	headers []wireunit.Header
	open    int
	names   []string
	onSleep func()
}

func (w *world) Homes(string, string) []fleet.VM {
	vms := make([]fleet.VM, len(w.names))
	for i, name := range w.names {
		vms[i] = fleet.VM{Name: name}
	}
	return vms
}

// HomesIn returns one home, named after the failure domain; there is none in nowhere.
func (w *world) HomesIn(failureDomain, _, _ string) []fleet.VM {
	if failureDomain == "nowhere" {
		return nil
	}
	return []fleet.VM{{Name: failureDomain}}
}

type homeOpener struct {
	w    *world
	name string
}

func (h homeOpener) Open(_ context.Context, header wireunit.Header) (wireunit.Unit, outcome.Outcome) {
	h.w.asked = append(h.w.asked, h.name)
	h.w.headers = append(h.w.headers, header)
	h.w.open++
	return &homeUnit{w: h.w}, outcome.Outcome{}
}

type homeUnit struct {
	w        *world
	closed   bool
	canceled bool
}

func (u *homeUnit) Exchange(_ context.Context, _ wireunit.Batch, sink io.Writer) wireunit.Result {
	s := doneStep
	if len(u.w.script) > 0 {
		s, u.w.script = u.w.script[0], u.w.script[1:]
	}
	if s.ran {
		u.w.runs++
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
		u.w.open--
	}
}

func (w *world) entry(tb testing.TB) *Gateway {
	e, err := New(Config{
		Homes:         w,
		OpenerFor:     func(vm fleet.VM) wireunit.Opener { return homeOpener{w: w, name: vm.Name} },
		Configuration: configuration.Static{Snapshot: configuration.Empty()},
		FailureDomain: "osijek",
		Metrics:       metrics.NewSet(),
		Now:           func() time.Time { return w.now },
		Sleep: func(_ context.Context, d time.Duration) error {
			w.now = w.now.Add(d)
			if w.onSleep != nil {
				w.onSleep()
			}
			return nil
		},
	})
	if err != nil {
		tb.Fatal(err)
	}
	return e
}

// request runs one request of one batch.
func (w *world) request(e *Gateway, h wireunit.Header, read bool) (wireunit.Result, string) {
	var sink writer
	h.Service, h.Database = "grain", "bins"
	u, _ := e.Open(context.Background(), h)
	r := u.Exchange(context.Background(), wireunit.Batch{ReadOnly: read}, &sink)
	u.Close()
	return r, sink.text
}

type writer struct{ text string }

func (w *writer) Write(p []byte) (int, error) {
	w.text += string(p)
	return len(p), nil
}

func TestRetries(t *testing.T) {
	Convey("Given two homes", t, func() {
		w := &world{now: time.Unix(1000, 0), names: []string{"a", "b"}}
		e := w.entry(t)

		Convey("a write goes to the next home if the first one is not there", func() {
			w.script = []step{unreachable}
			r, text := w.request(e, wireunit.Header{}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(text, ShouldEqual, "row")
			So(w.asked, ShouldResemble, []string{"a", "b"})
			So(e.meters.retries[outcome.HomeUnreachable].Get(), ShouldEqual, 1)
			So(e.meters.served[placeOwnDomain][1][0].Get(), ShouldEqual, 1)
		})
		Convey("a write whose home dies while it runs is unknown and not run again", func() {
			w.script = []step{diedDuring}
			r, _ := w.request(e, wireunit.Header{}, false)
			So(r.Outcome.Kind, ShouldEqual, outcome.Unknown)
			So(w.runs, ShouldEqual, 1)
			So(e.meters.unknown[outcome.HomeLost].Get(), ShouldEqual, 1)
		})
		Convey("a read is tried again as long as no row has reached the caller", func() {
			w.script = []step{diedDuring}
			r, text := w.request(e, wireunit.Header{}, true)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(text, ShouldEqual, "row")
			w.script = []step{diedMidway}
			r, text = w.request(e, wireunit.Header{}, true)
			So(r.Outcome.Kind, ShouldEqual, outcome.Unknown)
			So(text, ShouldEqual, "ro")
		})
		Convey("a write with a request id is tried again with the same id", func() {
			w.script = []step{diedDuring}
			r, _ := w.request(e, wireunit.Header{RequestID: "order-7"}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(w.headers[1].RequestID, ShouldEqual, "order-7")
			So(w.headers[1].Attempt, ShouldEqual, 1)
		})
		Convey("a final refusal is passed on at once", func() {
			w.script = []step{queueFull}
			r, _ := w.request(e, wireunit.Header{}, true)
			So(r.Outcome.Reason, ShouldEqual, outcome.QueueFull)
			So(w.now, ShouldEqual, time.Unix(1000, 0))
		})
		Convey("a change of primary is waited for, within the deadline only", func() {
			w.script = []step{noPrimary, noPrimary}
			r, _ := w.request(e, wireunit.Header{Remaining: time.Second}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(w.headers[2].Remaining, ShouldBeLessThan, time.Second)
			So(w.headers[2].SessionAge, ShouldEqual, time.Second-w.headers[2].Remaining)
			w.script = []step{noPrimary, noPrimary, noPrimary}
			r, _ = w.request(e, wireunit.Header{Remaining: 30 * time.Millisecond}, false)
			So(r.Outcome.Reason, ShouldEqual, outcome.NoPrimary)
			So(r.Outcome.RetryAfter, ShouldEqual, 20*time.Millisecond)
		})
		Convey("a cancel between two tries ends the request unsent", func() {
			w.script = []step{noPrimary}
			u, _ := e.Open(context.Background(), wireunit.Header{})
			w.onSleep = u.Cancel
			r := u.Exchange(context.Background(), wireunit.Batch{}, io.Discard)
			So(r.Outcome.Reason, ShouldEqual, outcome.Canceled)
			So(w.runs, ShouldEqual, 0)
		})
		Convey("a later batch of a transaction is never tried again", func() {
			w.script = []step{doneStep, noPrimary}
			u, _ := e.Open(context.Background(), wireunit.Header{})
			u.Exchange(context.Background(), wireunit.Batch{}, io.Discard)
			r := u.Exchange(context.Background(), wireunit.Batch{ReadOnly: true}, io.Discard)
			So(r.Outcome.Reason, ShouldEqual, outcome.NoPrimary)
			So(len(w.asked), ShouldEqual, 1)
		})
		Convey("a transaction whose home dies before COMMIT was sent has not run", func() {
			w.script = []step{diedDuring, doneStep, diedDuring}
			u, _ := e.Open(context.Background(), wireunit.Header{})
			r := u.Exchange(context.Background(), wireunit.Batch{NoCommit: true}, io.Discard)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(len(w.asked), ShouldEqual, 2)
			r = u.Exchange(context.Background(), wireunit.Batch{NoCommit: true}, io.Discard)
			So(r.Outcome.Reason, ShouldEqual, outcome.TransactionLost)
			So(r.Outcome.SQLState(), ShouldEqual, "40001")
			So(e.meters.unknown[outcome.HomeLost].Get(), ShouldEqual, 0)
		})
		Convey("a refusal that leaves the transaction open is not tried again elsewhere", func() {
			w.script = []step{{outcome: noPrimary.outcome, open: true}, doneStep}
			u, _ := e.Open(context.Background(), wireunit.Header{})
			So(u.Exchange(context.Background(), wireunit.Batch{}, io.Discard).Outcome.OK(), ShouldBeFalse)
			So(u.Exchange(context.Background(), wireunit.Batch{}, io.Discard).Outcome.OK(), ShouldBeTrue)
			So(len(w.asked), ShouldEqual, 1)
			u.Close()
			So(w.open, ShouldEqual, 0)
		})
		Convey("a unit follows the homes to the failure domain of its target, without a retry", func() {
			w.script = []step{elsewhere("split"), {ran: true, answer: "row", domain: "split"}}
			r, _ := w.request(e, wireunit.Header{}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(w.asked, ShouldResemble, []string{"a", "split"})
			So(w.headers[1].Attempt, ShouldEqual, 0)
			r, _ = w.request(e, wireunit.Header{}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(w.asked[2:], ShouldResemble, []string{"split"})
			r, _ = w.request(e, wireunit.Header{}, true)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(w.asked[3:], ShouldResemble, []string{"a"})
		})
		Convey("reads follow the own home's word for a while, then it is asked again", func() {
			away := elsewhere("split")
			away.noReplica = true
			w.script = []step{away}
			for range 2 {
				r, _ := w.request(e, wireunit.Header{}, true)
				So(r.Outcome.OK(), ShouldBeTrue)
			}
			So(w.asked, ShouldResemble, []string{"a", "split", "split"})
			w.now = w.now.Add(readRouteHold + 1)
			w.request(e, wireunit.Header{}, true)
			So(w.asked[3:], ShouldResemble, []string{"a"})
		})
		Convey("a read that belongs elsewhere takes no other along if there is a replica here", func() {
			w.script = []step{elsewhere("split")}
			for range 2 {
				r, _ := w.request(e, wireunit.Header{}, true)
				So(r.Outcome.OK(), ShouldBeTrue)
			}
			So(w.asked, ShouldResemble, []string{"a", "split", "a"})
		})
		Convey("if the home elsewhere can't be reached, the own home runs the unit itself", func() {
			w.script = []step{elsewhere("split"), unreachable}
			r, _ := w.request(e, wireunit.Header{}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(w.asked, ShouldResemble, []string{"a", "split", "a"})
			So(w.headers[2].Direct, ShouldBeTrue)
		})
		Convey("if there is no home elsewhere, the own home runs the unit itself", func() {
			w.script = []step{elsewhere("nowhere")}
			r, _ := w.request(e, wireunit.Header{}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(w.asked, ShouldResemble, []string{"a", "a"})
			So(w.headers[1].Direct, ShouldBeTrue)
		})
		Convey("homes that point at each other are followed for a few steps only", func() {
			w.script = []step{elsewhere("x"), elsewhere("y"), elsewhere("x"), elsewhere("y"), doneStep}
			r, _ := w.request(e, wireunit.Header{}, false)
			So(r.Outcome.OK(), ShouldBeTrue)
			So(w.headers[4].Direct, ShouldBeTrue)
			So(w.runs, ShouldEqual, 1)
		})
		Convey("the retry budget bounds retries and leaves the first reason", func() {
			spent := false
			for range 50 {
				w.script = []step{unreachable, unreachable}
				r, _ := w.request(e, wireunit.Header{}, false)
				if !r.Outcome.OK() {
					spent = true
					So(r.Outcome.Reason, ShouldEqual, outcome.HomeUnreachable)
				}
			}
			So(spent, ShouldBeTrue)
			So(e.meters.budgetSpent.Get(), ShouldBeGreaterThan, 0)
		})
	})
}

// TestNoDoubleRun drives random scripts: what has no id and is no read runs at
// most once, a refusal says the truth, and no unit stays open.
func TestNoDoubleRun(t *testing.T) {
	steps := []step{doneStep, elsewhere("x"), elsewhere("nowhere"), unreachable, diedDuring, diedMidway, noPrimary, queueFull}
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(1000, 0), names: []string{"a", "b", "c"}}
		e, err := New(Config{
			Homes:         w,
			OpenerFor:     func(vm fleet.VM) wireunit.Opener { return homeOpener{w: w, name: vm.Name} },
			Configuration: configuration.Static{Snapshot: configuration.Empty()},
			Metrics:       metrics.NewSet(),
			Now:           func() time.Time { return w.now },
			Sleep:         func(_ context.Context, d time.Duration) error { w.now = w.now.Add(d); return nil },
			Seed:          rapid.Uint64().Draw(t, "seed"),
		})
		if err != nil {
			t.Fatal(err)
		}
		w.script = rapid.SliceOfN(rapid.SampledFrom(steps), 0, 8).Draw(t, "script")
		described := fmt.Sprint(w.script)
		deadline := time.Duration(rapid.IntRange(0, 500).Draw(t, "deadline")) * time.Millisecond
		r, text := w.request(e, wireunit.Header{Remaining: deadline}, false)
		switch {
		case w.runs > 1:
			t.Fatalf("ran %d times: %s", w.runs, described)
		case r.Outcome.Kind == outcome.Refused && w.runs > 0:
			t.Fatalf("refused but ran: %s", described)
		case r.Outcome.OK() && text != "row":
			t.Fatalf("answer %q: %s", text, described)
		case w.open != 0:
			t.Fatalf("%d units left open: %s", w.open, described)
		}
	})
}

func TestWhereServed(t *testing.T) {
	snapshot, err := configuration.Build(
		configuration.Region{Name: "panonija", FailureDomains: []string{"osijek", "vukovar"}},
		configuration.Region{Name: "jadran", FailureDomains: []string{"split"}})
	if err != nil {
		t.Fatal(err)
	}
	w := &world{}
	e := w.entry(t)
	e.config.Configuration = configuration.Static{Snapshot: snapshot}
	for domain, want := range map[string]place{"osijek": placeOwnDomain, "vukovar": placeOwnRegion, "split": placeOtherRegion} {
		origin := wireunit.Origin{FailureDomain: domain, Region: snapshot.RegionOf(domain)}
		e.meters.ended(e, wireunit.Batch{ReadOnly: true, Auxiliary: true}, wireunit.Result{Origin: origin})
		if e.meters.served[want][0][1].Get() != 0 {
			t.Errorf("%s: a batch without a statement was counted", domain)
		}
		e.meters.ended(e, wireunit.Batch{ReadOnly: true}, wireunit.Result{Origin: origin})
		if e.meters.served[want][0][1].Get() != 1 {
			t.Errorf("%s: not counted as place %d", domain, want)
		}
	}
}

func TestNewRefusesGaps(t *testing.T) {
	if _, err := New(Config{}); err == nil {
		t.Fatal("an empty configuration was accepted")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := sleep(ctx, time.Hour); !errors.Is(err, context.Canceled) {
		t.Fatalf("sleep: %v", err)
	}
}
