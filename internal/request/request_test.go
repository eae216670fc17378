package request

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

func TestClassify(t *testing.T) {
	for sql, want := range map[string][]Kind{
		"":                          {Empty},
		" ; -- nothing\n;":          {Empty},
		"SELECT 1":                  {Read},
		"select count(*) from bins": {Read},
		"/* delete */ select 'insert into t', \"update\" from t -- drop": {Read},
		"select $$delete; from$$, $a$;$a$, E'\\';', 1e5, $1":             {Read},
		"select * from a where x in (select y from b) and (z or w)":      {Read},
		"with a as (select 1) select * from a":                           {Read},
		"values (1), (2)":                                                {Read},
		"(select 1) union (select 2)":                                    {Read},
		"select pg_catalog.lower(a) from t":                              {Read},
		"select 1; select 2":                                             {Read, Read},
		"explain select 1":                                               {Read},
		"explain analyze insert into t values (1)":                       {Other},
		"explain (analyze) select 1":                                     {Other},
		"select * from t for update":                                     {Other},
		"select * from t for no key update":                              {Other},
		"select * from t for share":                                      {Other},
		"select * into x from t":                                         {Other},
		"with a as (insert into t values (1) returning 1) select 1":      {Other},
		"with a as (delete from t returning 1) select 1":                 {Other},
		"select nextval('s')":                                            {Other},
		"select book_duct(1)":                                            {Other},
		"select mine.lower(a) from t":                                    {Other},
		"select \"lower\"(a) from t":                                     {Other},
		"select U&'\\0061' from t":                                       {Read},
		"select E'a'\n -- c\n '\\'; delete from t --'":                   {Read},
		"select 'a' 'b'; select 'a'\n'\\'; delete from t":                {Read, Read, Write},
		"select 'unterminated":                                           {Other},
		"select 1 /* unterminated":                                       {Other},
		"select 1 /* a /* nested */ b */ ; delete from t":                {Read, Write},
		"insert into t values (';')":                                     {Write},
		"do $$begin delete from t; end$$":                                {Other},
		"call f()":                                                       {Other},
		"begin":                                                          {Begin},
		"BEGIN ISOLATION LEVEL SERIALIZABLE, READ ONLY":                  {BeginReadOnly},
		"start transaction read only":                                    {BeginReadOnly},
		"commit":                                                         {Commit},
		"end":                                                            {Commit},
		"abort":                                                          {Rollback},
		"rollback to savepoint a":                                        {Savepoint},
		"savepoint a":                                                    {Savepoint},
		"commit and chain":                                               {Unsupported},
		"commit and no chain":                                            {Commit},
		"commit prepared 'x'":                                            {Unsupported},
		"prepare transaction 'x'":                                        {Unsupported},
		"prepare p as select 1":                                          {Unsupported},
		"execute p":                                                      {Unsupported},
		"copy t to stdout":                                               {Unsupported},
		"listen a":                                                       {Unsupported},
		"notify a":                                                       {Unsupported},
		"declare c cursor with hold for select 1":                        {Unsupported},
		"declare c cursor for select 1":                                  {Other},
		"create temp table t()":                                          {Unsupported},
		"create or replace temporary view v as select 1":                 {Unsupported},
		"create table temp()":                                            {Write},
		"select * into temp x from t":                                    {Unsupported},
		"select pg_advisory_lock(1)":                                     {Unsupported},
		"select PG_TRY_ADVISORY_LOCK(1)":                                 {Unsupported},
		"select \"pg_advisory_lock\"(1)":                                 {Unsupported},
		"select pg_advisory_xact_lock(1)":                                {Other},
		"select set_config('a', 'b', false)":                             {Unsupported},
		"select laburnumrack_fence(3)":                                   {Unsupported},
		"insert into t select laburnumrack_promote(3)":                   {Unsupported},
		"set a = 1":                                                      {Set},
		"set session a to 'b'":                                           {Set},
		"set local a = 1":                                                {Other},
		"set local laburnumrack.request_id = 'x'":                        {Unsupported},
		"set local standard_conforming_strings = off":                    {Unsupported},
		"set transaction isolation level serializable":                   {Other},
		"set session characteristics as transaction read only":           {Unsupported},
		"set session authorization bob":                                  {Unsupported},
		"set role bob":                                                   {Set},
		"reset all":                                                      {Reset},
		"show laburnumrack.session":                                      {Show},
		"deallocate all":                                                 {Deallocate},
		"discard all":                                                    {DiscardAll},
		"discard temp":                                                   {Unsupported},
		"begin; insert into t values (1); commit":                        {Begin, Write, Commit},
	} {
		got := Classify(sql)
		kinds := make([]Kind, len(got))
		for i, s := range got {
			kinds[i] = s.Kind
		}
		if len(kinds) != len(want) {
			t.Errorf("%q: kinds %v, want %v", sql, kinds, want)
			continue
		}
		for i := range want {
			if kinds[i] != want[i] {
				t.Errorf("%q: kinds %v, want %v", sql, kinds, want)
			}
		}
	}
}

func TestSetValues(t *testing.T) {
	for sql, want := range map[string]Statement{
		"SET LaburnumRack.Request_ID TO 'a''b'": {Kind: Set, Name: "laburnumrack.request_id", Value: "a'b"},
		"set datestyle = iso, mdy":              {Kind: Set, Name: "datestyle", Value: "iso,mdy"},
		"set time zone 'UTC'":                   {Kind: Set, Name: "timezone", Value: "UTC"},
		"set extra_float_digits = 3":            {Kind: Set, Name: "extra_float_digits", Value: "3"},
		"set a = default":                       {Kind: Reset, Name: "a"},
		"show time zone":                        {Kind: Show, Name: "timezone"},
		"deallocate prepare \"P\"":              {Kind: Deallocate, Name: "P"},
	} {
		got := Classify(sql)[0]
		got.Text = ""
		if got != want {
			t.Errorf("%q: %+v, want %+v", sql, got, want)
		}
	}
}

func TestParameters(t *testing.T) {
	for _, bad := range []string{"soon", "-1s", "25h", "1"} {
		_, err := ParseDeadline(bad)
		var e *ParameterError
		if !errors.As(err, &e) || !strings.Contains(err.Error(), bad) || !strings.Contains(err.Error(), "800ms") {
			t.Errorf("deadline %q: error %v does not name both the value and the accepted values", bad, err)
		}
	}
	if d, err := ParseDeadline("800ms"); err != nil || d != 800*time.Millisecond {
		t.Errorf("deadline 800ms: %v, %v", d, err)
	}
	for _, bad := range []string{"a\x00b", strings.Repeat("x", MaxRequestIDBytes+1), "\xff", "a\nb"} {
		if _, err := ParseRequestID(bad); err == nil {
			t.Errorf("request id %q was accepted", bad)
		}
	}
}

// TestDecide checks Decide over random attempts. It guards against a retry that could
// run a write twice, that exceeds the deadline or the attempt limit, or that follows
// a refusal which another attempt can't change.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			Outcome: outcome.Outcome{
				Kind:       outcome.Kind(rapid.IntRange(0, 2).Draw(t, "kind")),
				Reason:     rapid.SampledFrom(outcome.Reasons()).Draw(t, "reason"),
				RetryAfter: time.Duration(rapid.IntRange(0, 3000).Draw(t, "retryAfter")) * time.Millisecond,
			},
			Number:       rapid.IntRange(0, MaxAttempts+1).Draw(t, "number"),
			Elapsed:      time.Duration(rapid.IntRange(0, 6000).Draw(t, "elapsed")) * time.Millisecond,
			Remaining:    time.Duration(rapid.IntRange(-10, 3000).Draw(t, "remaining")) * time.Millisecond,
			NoDeadline:   rapid.Bool().Draw(t, "noDeadline"),
			Read:         rapid.Bool().Draw(t, "read"),
			RequestID:    rapid.Bool().Draw(t, "requestID"),
			Begun:        rapid.Bool().Draw(t, "begun"),
			UntriedHomes: rapid.IntRange(0, 3).Draw(t, "homes"),
		}
		seed := rapid.Uint64().Draw(t, "seed")
		d := Decide(a, rand.New(rand.NewPCG(seed, 0)))
		if d != Decide(a, rand.New(rand.NewPCG(seed, 0))) {
			t.Fatal("two decisions differ for the same seed")
		}
		if !d.Retry {
			return
		}
		switch {
		case a.Outcome.OK(), a.Begun, a.Number+1 >= MaxAttempts:
			t.Fatalf("retried a request that is done, begun or out of attempts: %+v", a)
		case a.Outcome.Kind == outcome.Unknown && !a.Read && !a.RequestID:
			t.Fatalf("retried a write without a request id that may have run: %+v", a)
		case !a.NoDeadline && d.After >= a.Remaining:
			t.Fatalf("retried past the deadline: %+v", a)
		case a.NoDeadline && a.Elapsed+d.After > MaxTotal:
			t.Fatalf("retried after MaxTotal: %+v", a)
		case d.After < a.Outcome.RetryAfter && !d.NextHome:
			t.Fatalf("retried before RetryAfter at the same home: %+v", a)
		case d.NextHome && a.UntriedHomes == 0:
			t.Fatalf("selected another home, but none is left: %+v", a)
		}
		switch a.Outcome.Reason {
		case outcome.QueueFull, outcome.TooLate, outcome.DeadlinePassed, outcome.CallerDenied:
			if a.Outcome.Kind == outcome.Refused {
				t.Fatalf("retried a final refusal: %+v", a)
			}
		}
	})
}

func TestDecideWithoutDeadline(t *testing.T) {
	for elapsed, want := range map[time.Duration]bool{0: true, MaxTotal: false} {
		a := Attempt{Outcome: outcome.Refuse(outcome.NoPrimary, 0, ""), NoDeadline: true, Elapsed: elapsed}
		if got := Decide(a, rand.New(rand.NewPCG(1, 0))).Retry; got != want {
			t.Errorf("after %v: retry %v, want %v", elapsed, got, want)
		}
	}
}

func FuzzClassify(f *testing.F) {
	f.Add("select E'\\'' from \"a\"\"b\"; /* x */ set a.b = $$c$$")
	f.Fuzz(func(t *testing.T, sql string) {
		for _, s := range Classify(sql) {
			if s.Start > len(sql) {
				t.Fatalf("%q: statement starts at %d", sql, s.Start)
			}
		}
	})
}
