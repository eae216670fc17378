package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/statement"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// fault is the failure injected into one call to the store.
type fault int

const (
	none fault = iota
	unavailable
	lostBefore  // the call is not executed, and its response is lost
	lostAfter   // the call is executed, and its response is lost
	lostDelayed // the response is lost, and the call is executed before the next one
	faultCount
)

// fakeStore is an in-memory store. Before each call it runs delayed calls and the
// before hook, and script selects the fault of the call.
type fakeStore struct {
	store.Store
	revision store.Revision
	objects  map[store.Key]store.Object
	// writes counts the changes by the command id that they carry.
	writes  map[string]int
	calls   int
	script  func(call int) fault
	before  func(call int)
	delayed []func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[store.Key]store.Object{}, writes: map[string]int{},
		script: func(int) fault { return none }, before: func(int) {}}
}

// call executes do as the next call, with the fault that the script selects.
func (f *fakeStore) call(do func() error) error {
	for _, execute := range f.delayed {
		execute()
	}
	f.delayed = nil
	f.calls++
	f.before(f.calls)
	switch f.script(f.calls) {
	case unavailable:
		return store.ErrUnavailable
	case lostBefore:
		return store.ErrOutcomeUnknown
	case lostAfter:
		_ = do()
		return store.ErrOutcomeUnknown
	case lostDelayed:
		f.delayed = append(f.delayed, func() { _ = do() })
		return store.ErrOutcomeUnknown
	default:
		return do()
	}
}

func (f *fakeStore) put(o store.Object) (store.Object, error) {
	if current := f.objects[o.Key]; current.Version != o.Version {
		return store.Object{}, &store.ConflictError{Key: o.Key, Current: current}
	}
	f.revision++
	o.Version = f.revision
	f.objects[o.Key] = o
	f.writes[commandIDOf(o.Value)]++
	return o, nil
}

func (f *fakeStore) Put(_ context.Context, o store.Object) (written store.Object, err error) {
	err = f.call(func() (err error) {
		written, err = f.put(o)
		return err
	})
	return written, err
}

func (f *fakeStore) Delete(_ context.Context, k store.Key, version store.Revision) error {
	return f.call(func() error {
		current, ok := f.objects[k]
		if !ok {
			return store.ErrNotFound
		}
		if current.Version != version {
			return &store.ConflictError{Key: k, Current: current}
		}
		f.revision++
		delete(f.objects, k)
		return nil
	})
}

func (f *fakeStore) Get(_ context.Context, k store.Key) (o store.Object, err error) {
	err = f.call(func() error {
		current, ok := f.objects[k]
		if !ok {
			return store.ErrNotFound
		}
		o = current
		return nil
	})
	if errors.Is(err, store.ErrOutcomeUnknown) {
		err = store.ErrUnavailable
	}
	return o, err
}

func (f *fakeStore) List(context.Context, ...store.Kind) (page store.Page, err error) {
	err = f.call(func() error {
		page = store.Page{Revision: f.revision}
		for _, o := range f.objects {
			page.Objects = append(page.Objects, o)
		}
		return nil
	})
	return page, err
}

func parse(t testing.TB, text string) []statement.Statement {
	all, errs := statement.Parse(text)
	if err := errs.Err(); err != nil {
		t.Fatal(err)
	}
	return all
}

func policyBatch(t testing.TB, name, age string) Batch {
	return Batch{Name: name, Statements: parse(t, "DECLARE READ POLICY p (MAX AGE "+age+")")}
}

// TestEveryFaultAndRaceOfOneCommand guards against a command that is applied twice or
// whose reported outcome is wrong. It runs one command with every combination of
// faults at its first calls to the store, and with a competing command that writes the
// object before any one of these calls. The sender repeats the command up to 3 times
// while its outcome is unknown. The command must be applied exactly once if it reports
// success, never if it reports that it was not applied, and at most once otherwise.
func TestEveryFaultAndRaceOfOneCommand(t *testing.T) {
	const depth = 5
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	synctest.Test(t, func(t *testing.T) {
		old, mine := policyBatch(t, "old", "1s"), policyBatch(t, "mine", "2s")
		cases := 0
		for _, exists := range []bool{false, true} {
			for rival := range depth + 1 {
				script := make([]fault, depth)
				for next := true; next; next = nextScript(script) {
					f := newFakeStore()
					if exists {
						_, _ = NewExecutor(f, 1).Run(t.Context(), old, SCRAM{})
					}
					runWithFaults(t, f, mine, rival, script)
					cases++
				}
			}
		}
		t.Logf("%d cases", cases)
	})
}

// nextScript changes script to the next combination of faults. It returns false after
// the last one.
func nextScript(script []fault) bool {
	for i := range script {
		script[i]++
		if script[i] < faultCount {
			return true
		}
		script[i] = none
	}
	return false
}

// runWithFaults runs batch b against f with the faults of script. A competing command
// writes the object before the call with number rival; 0 means that there is none.
func runWithFaults(t *testing.T, f *fakeStore, b Batch, rival int, script []fault) {
	e := NewExecutor(f, 1)
	start := f.calls
	f.script = func(call int) fault {
		if i := call - start - 1; i < len(script) {
			return script[i]
		}
		return none
	}
	f.before = func(call int) {
		if call-start == rival {
			key := configuration.ReadPolicy{Name: "p"}.Key()
			value, _ := configuration.Encode(configuration.ReadPolicy{Name: "p", MaxAge: 3 * time.Second, CommandID: "rival#1"})
			_, _ = f.put(store.Object{Key: key, Version: f.objects[key].Version, Value: value})
		}
	}
	asOf := f.revision
	b.AsOf = &asOf
	_, err := e.Run(t.Context(), b, SCRAM{})
	for resend := 0; errors.Is(err, ErrOutcomeUnknown) && resend < 3; resend++ {
		_, err = e.Run(t.Context(), b, SCRAM{})
	}
	for _, execute := range f.delayed {
		execute()
	}
	wrote := f.writes["mine#1"]
	var lost *LostRaceError
	wrong := wrote > 1 || (err == nil && wrote != 1) || (err != nil && NotApplied(err) && wrote != 0)
	if wrong || (rival == 0 && errors.As(err, &lost)) {
		t.Fatalf("revision %d, competing command before call %d, faults %v: wrote %d times, returned %v", asOf, rival, script, wrote, err)
	}
}

func TestLostRaceShowsWinner(t *testing.T) {
	Convey("Of two conflicting commands one wins, and the error of the other holds the winning version", t, func() {
		f := newFakeStore()
		e := NewExecutor(f, 1)
		f.before = func(call int) {
			if call == 2 {
				f.before = func(int) {}
				_, err := NewExecutor(f, 2).Run(context.Background(), policyBatch(t, "rival", "3s"), SCRAM{})
				So(err, ShouldBeNil)
			}
		}
		_, err := e.Run(context.Background(), policyBatch(t, "mine", "2s"), SCRAM{})
		var lost *LostRaceError
		So(errors.As(err, &lost), ShouldBeTrue)
		So(NotApplied(err), ShouldBeTrue)
		So(lost.Winner.Version, ShouldEqual, store.Revision(1))
		So(lost.WinningStatements()[0].String(), ShouldEqual, "DECLARE READ POLICY p (MAX AGE 3s);")
	})
}

// TestRepeatedCommandLeavesLaterOneAlone guards against a retry that overwrites a later
// command. The retried command was applied before, and another batch then replaced its
// version, so the object no longer carries its id. AsOf reveals the later change.
func TestRepeatedCommandLeavesLaterOneAlone(t *testing.T) {
	Convey("A command that is retried after it was applied and its version replaced changes nothing", t, func() {
		ctx := context.Background()
		f := newFakeStore()
		e := NewExecutor(f, 1)
		_, err := e.Run(ctx, policyBatch(t, "old", "1s"), SCRAM{})
		So(err, ShouldBeNil)
		mine := policyBatch(t, "mine", "2s")
		asOf, err := e.Revision(ctx)
		So(err, ShouldBeNil)
		mine.AsOf = &asOf
		_, err = e.Run(ctx, mine, SCRAM{})
		So(err, ShouldBeNil)
		results, err := e.Run(ctx, mine, SCRAM{})
		So(err, ShouldBeNil)
		So(results[0].Version, ShouldEqual, store.Revision(2))
		_, err = e.Run(ctx, policyBatch(t, "rival", "3s"), SCRAM{})
		So(err, ShouldBeNil)
		_, err = e.Run(ctx, mine, SCRAM{})
		var lost *LostRaceError
		So(errors.As(err, &lost), ShouldBeTrue)
		So(NotApplied(err), ShouldBeFalse)
		So(f.writes, ShouldResemble, map[string]int{"old#1": 1, "mine#1": 1, "rival#1": 1})
	})
}

// TestReusedBatchNameIsRefused guards against a new command that is taken as a retry,
// and so never applied, because its batch has the name of an earlier one.
func TestReusedBatchNameIsRefused(t *testing.T) {
	Convey("A batch name that was used for another command is rejected", t, func() {
		ctx := context.Background()
		e := NewExecutor(newFakeStore(), 1)
		_, err := e.Run(ctx, policyBatch(t, "a", "1s"), SCRAM{})
		So(err, ShouldBeNil)
		_, err = e.Run(ctx, policyBatch(t, "a", "2s"), SCRAM{})
		So(err, ShouldNotBeNil)
		_, err = e.Run(ctx, Batch{Name: "a", Statements: parse(t, "DROP READ POLICY p")}, SCRAM{})
		So(err.Error(), ShouldContainSubstring, "not used for another command")
	})
}

const deployment = `
DECLARE REGION east (FAILURE DOMAIN osijek);
DECLARE SERVICE s (DATABASE d (TARGET t AT 127.0.0.1:6001 IN osijek SLOTS 3 CONNECTIONS 20));
DECLARE READ POLICY p (MAX AGE 2s);
DECLARE CALLER c (PASSWORD 'it''s', SERVICES s, POLICY p);
DECLARE OPERATOR o (ROLE editor, SECRET 'x');
DRAIN TARGET t;
DRAIN SERVICE s;
`

// changed returns the number of results that changed an object.
func changed(results []Result) int {
	n := 0
	for _, r := range results {
		if r.Changed {
			n++
		}
	}
	return n
}

// TestFileIsIdempotent guards against a repeated file that writes again, for example
// because a password gets a new verifier with another salt.
func TestFileIsIdempotent(t *testing.T) {
	ctx := context.Background()
	Convey("Applying a file again writes nothing, even if it declares a password", t, func() {
		f := newFakeStore()
		e := NewExecutor(f, 1)
		results, err := e.Run(ctx, Batch{Name: "a", Statements: parse(t, deployment)}, SCRAM{})
		So(err, ShouldBeNil)
		So(changed(results), ShouldEqual, 7)
		before := f.revision
		results, err = e.Run(ctx, Batch{Name: "b", Statements: parse(t, deployment)}, SCRAM{})
		So(err, ShouldBeNil)
		So(changed(results), ShouldEqual, 0)
		So(f.revision, ShouldEqual, before)

		Convey("and the exported statements recreate the configuration", func() {
			page, _ := f.List(ctx)
			s, _ := configuration.Empty().Replace(page)
			So(s.Rejected, ShouldBeEmpty)
			g := newFakeStore()
			_, err := NewExecutor(g, 1).Run(ctx, Batch{Name: "c", Statements: Export(s)}, SCRAM{})
			So(err, ShouldBeNil)
			page, _ = g.List(ctx)
			copied, _ := configuration.Empty().Replace(page)
			So(texts(Export(copied)), ShouldResemble, texts(Export(s)))
		})
		Convey("and only valid state transitions are accepted", func() {
			run := func(text string) error {
				_, err := e.Run(ctx, Batch{Name: fmt.Sprint("x", f.revision), Statements: parse(t, text)}, SCRAM{})
				return err
			}
			So(run("STOP SERVICE s"), ShouldBeNil)
			So(run("UNDRAIN SERVICE s"), ShouldNotBeNil)
			So(run("START SERVICE s"), ShouldBeNil)
			So(run("UNDRAIN TARGET t; DROP CALLER c; DROP SERVICE s; DROP REGION east"), ShouldBeNil)
			So(run("DROP READ POLICY p IF VERSION 1"), ShouldNotBeNil)
			So(f.objects, ShouldHaveLength, 2)
		})
	})
	Convey("All errors of a file are reported, and nothing is written", t, func() {
		f := newFakeStore()
		_, err := NewExecutor(f, 1).Run(ctx, Batch{Name: "a", Statements: parse(t, strings.NewReplacer("SLOTS 3", "SLOTS 0", "POLICY p (MAX AGE 2s)", "POLICY q ()", "TARGET t;", "TARGET u;").Replace(deployment))}, SCRAM{})
		var errs BatchError
		So(errors.As(err, &errs), ShouldBeTrue)
		var lines []int
		for _, stmtErr := range errs {
			lines = append(lines, stmtErr.Position.Line)
		}
		So(lines, ShouldResemble, []int{3, 5, 7, 8})
		So(f.objects, ShouldBeEmpty)
	})
}

func texts(all []statement.Statement) []string {
	var out []string
	for _, s := range all {
		out = append(out, s.String())
	}
	return out
}

func TestSCRAM(t *testing.T) {
	Convey("A verifier matches only the password it was derived from", t, func() {
		v, err := SCRAM{}.Verifier("c", "secret")
		So(err, ShouldBeNil)
		_, err = configuration.ParseVerifier(v)
		So(err, ShouldBeNil)
		So(SCRAM{}.Matches(v, "secret"), ShouldBeTrue)
		So(SCRAM{}.Matches(v, "Secret"), ShouldBeFalse)
		So(SCRAM{}.Matches("x", "secret"), ShouldBeFalse)
	})
}
