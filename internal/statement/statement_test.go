package statement

import (
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

func TestParseFile(t *testing.T) {
	Convey("A file is parsed into its statements with their positions", t, func() {
		statements, errs := Parse(`-- the deployment
declare region east (failure domain osijek, rijeka);
DECLARE SERVICE s (DATABASE d (TARGET t AT 127.0.0.1:6001 IN osijek SLOTS 3 CONNECTIONS 20)) IF VERSION 0;
DECLARE CALLER c (PASSWORD 'it''s', SERVICES s, "policy", POLICY p, CLASS fan-order, WEIGHT 2, READ ONLY);
;; STOP SERVICE s -- no semicolon at the end`)
		So(errs, ShouldBeEmpty)
		So(statements, ShouldHaveLength, 4)
		So(statements[0].Position, ShouldResemble, Position{2, 1})
		So(statements[1].Declare.Document, ShouldResemble, configuration.Service{Name: "s", Databases: []configuration.Database{{
			Name: "d", Targets: []configuration.Target{{Name: "t", Address: netip.MustParseAddrPort("127.0.0.1:6001"), FailureDomain: "osijek", Slots: 3, Connections: 20}},
		}}})
		So(*statements[1].IfVersion, ShouldEqual, store.Revision(0))
		So(statements[2].Declare.Password, ShouldEqual, "it's")
		So(statements[2].Declare.Document, ShouldResemble, configuration.Caller{
			Name: "c", Services: []string{"s", "policy"}, Policy: "p", Class: "fan-order", Weight: 2, ReadOnly: true})
		So(statements[3].Object, ShouldResemble, &Object{ObjectService, "s"})
	})
	Convey("All errors of a file are reported, and the valid statements are returned", t, func() {
		statements, errs := Parse("SHOW FOO;\nSHOW VMS;\nDRAIN RACK x;\n DECLARE CALLER c (PASSWORD 'a', PASSWORD 'b', WEIGHT 99999999999);\n'open")
		So(statements, ShouldHaveLength, 1)
		So(errs.Error(), ShouldEqual, strings.Join([]string{
			`line 1, column 6: unexpected "FOO", want HOLDERS, REPLICAS, TIME, SERVICES, CALLERS, POLICIES, VMS, PROMOTIONS or CONFIG`,
			`line 3, column 7: unexpected "RACK", want TARGET, VM or SERVICE and a name`,
			`line 4, column 34: PASSWORD or VERIFIER is given twice`,
			`line 4, column 55: number 99999999999 is too large`,
			`line 5, column 1: unterminated text in single quotes`,
		}, "\n"))
	})
}

func TestParseErrorsSayWhatWasExpected(t *testing.T) {
	cases := map[string]string{
		"":                                 "text has 0 statements, want one",
		"FOO":                              `unexpected "FOO", want SHOW, DECLARE,`,
		"SHOW VMS x":                       `column 10: unexpected "x", want the end of the statement`,
		"SHOW VMS IF VERSION 3":            "IF VERSION is not allowed with SHOW",
		"SHOW TIME WHERE x":                `unexpected end of the statement, want ("=" | "!="`,
		"DECLARE READ POLICY p (MAX 2s)":   `unexpected "2s", want "AGE"`,
		"DECLARE SERVICE s ()":             `unexpected ")", want DATABASE name (TARGET ...)`,
		"DECLARE CALLER c ('hunter2')":     "unexpected text in single quotes, want PASSWORD",
		"DECLARE CALLER c (SERVICES 7)":    `unexpected "7", want a name`,
		"DECLARE CALLER c (PASSWORD '')":   "PASSWORD is empty",
		"DECLARE REGION r (FAILURE x)":     `unexpected "x", want "DOMAIN"`,
		"STOP SERVICE s IF VERSION 1e":     `unexpected "e", want the end`,
		"SHOW TIME SINCE 99999999999999h":  "want for example 500ms",
		"DECLARE OPERATOR o (SECRET HASH)": `unexpected ")", want a text in single quotes`,
		"SHOW @":                           `unexpected character "@"`,
		"DECLARE SERVICE s (DATABASE d (TARGET t AT 127.0.0.1 IN x SLOTS 1 CONNECTIONS 2))": `column 44: unexpected "127.0.0.1", want an IP address and a port`,
	}
	for text, want := range cases {
		_, err := ParseOne(text)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %q, want %q", text, err, want)
		}
	}
}

var drawName = rapid.OneOf(rapid.StringMatching(`[A-Za-z_][A-Za-z0-9_-]{0,8}`),
	rapid.SampledFrom([]string{"policy", "READ", "if", "a--b", "10.0.0.1", `q"q`, "", "é"}))

func drawNames(t *rapid.T, label string) []string {
	return rapid.SliceOfN(drawName, 1, 3).Draw(t, label)
}

func drawDuration(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(48*time.Hour)).Draw(t, label))
}

func drawDocument(t *rapid.T) Declare {
	name := drawName.Draw(t, "name")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		target := configuration.Target{Name: drawName.Draw(t, "target"), Address: netip.AddrPortFrom(
			netip.AddrFrom4([4]byte{127, 0, 0, rapid.Byte().Draw(t, "host")}), rapid.Uint16().Draw(t, "port")),
			FailureDomain: drawName.Draw(t, "domain"), Slots: rapid.IntRange(0, 99).Draw(t, "slots"), Connections: 7}
		db := configuration.Database{Name: drawName.Draw(t, "database"), Targets: []configuration.Target{target, target}}
		return Declare{Document: configuration.Service{Name: name, Databases: []configuration.Database{db, db}}}
	case 1:
		return Declare{Document: configuration.ReadPolicy{Name: name, MaxAge: drawDuration(t, "max"),
			DefaultAge: drawDuration(t, "default"), PrimaryOnly: rapid.Bool().Draw(t, "primary")}}
	case 2:
		k := configuration.Caller{Name: name, Services: drawNames(t, "services"), Policy: drawName.Draw(t, "policy"),
			Class: drawName.Draw(t, "class"), Weight: rapid.IntRange(0, 9).Draw(t, "weight"), ReadOnly: rapid.Bool().Draw(t, "read only")}
		password := rapid.String().Draw(t, "password")
		if password == "" {
			k.Verifier = rapid.String().Draw(t, "verifier")
		}
		return Declare{Document: k, Password: password}
	case 3:
		return Declare{Document: configuration.Operator{Name: name, Role: configuration.Role(drawName.Draw(t, "role")), SecretHash: rapid.String().Draw(t, "hash")}}
	default:
		return Declare{Document: configuration.Region{Name: name, FailureDomains: drawNames(t, "domains")}}
	}
}

func drawShow(t *rapid.T) *Show {
	s := &Show{Table: rapid.SampledFrom([]TableName{ShowHolders, ShowReplicas, ShowTime, ShowConfig}).Draw(t, "what"), Since: drawDuration(t, "since")}
	if rapid.Bool().Draw(t, "of") {
		s.Of = &Object{ObjectCaller, drawName.Draw(t, "of name")}
	}
	if rapid.Bool().Draw(t, "by") {
		s.By = []string{"caller", "state"}
	}
	for range rapid.IntRange(0, 3).Draw(t, "conditions") {
		c := Condition{Column: "column", Comparison: rapid.SampledFrom([]Comparison{Equal, NotEqual, Less, LessOrEqual, Greater, GreaterOrEqual}).Draw(t, "op")}
		switch c.Value.Kind = rapid.SampledFrom([]LiteralKind{TextLiteral, NumberLiteral, DurationLiteral}).Draw(t, "literal"); c.Value.Kind {
		case TextLiteral:
			c.Value.Text = rapid.String().Draw(t, "text")
		case NumberLiteral:
			c.Value.Number = rapid.Int64Min(0).Draw(t, "number")
		default:
			c.Value.Duration = drawDuration(t, "duration")
		}
		s.Where = append(s.Where, c)
	}
	return s
}

// TestPrintedStatementParsesToItself checks that parsing the printed form of a random
// statement returns an equal statement.
func TestPrintedStatementParsesToItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Statement{Position: Position{1, 1}}
		switch s.Verb = rapid.SampledFrom([]Verb{VerbShow, VerbDeclare, VerbDrain, VerbDrop, VerbStop}).Draw(t, "verb"); s.Verb {
		case VerbShow:
			s.Show = drawShow(t)
		case VerbDeclare:
			d := drawDocument(t)
			s.Declare = &d
		case VerbDrop:
			s.Object = &Object{ObjectPolicy, drawName.Draw(t, "object")}
		default:
			s.Object = &Object{ObjectService, drawName.Draw(t, "object")}
		}
		if s.Mutates() && rapid.Bool().Draw(t, "if version") {
			version := store.Revision(rapid.Uint64().Draw(t, "version"))
			s.IfVersion = &version
		}
		parsed, err := ParseOne(s.String())
		if err != nil {
			t.Fatalf("%s: %v", s, err)
		}
		if !reflect.DeepEqual(parsed, s) {
			t.Fatalf("%s\nparsed as\n%s", s, parsed)
		}
	})
}

// FuzzParse checks that every statement that Parse accepts is equal to the result of
// parsing its printed form.
func FuzzParse(f *testing.F) {
	f.Add("DECLARE SERVICE s (DATABASE d (TARGET t AT 127.0.0.1:6001 IN x SLOTS 3 CONNECTIONS 20)); STOP SERVICE s IF VERSION 3")
	f.Add("DECLARE CALLER c (PASSWORD 'x', SERVICES a, b, POLICY p, WEIGHT 2, READ ONLY); -- x\nSHOW TIME OF VM \"v\" BY a SINCE 1h WHERE s != 5 AND t > 1ms")
	f.Add("DECLARE READ POLICY p (MAX AGE 2s); DECLARE OPERATOR o (ROLE viewer, SECRET HASH 'x'); DECLARE REGION r (FAILURE DOMAIN a, b); DROP READ POLICY p")
	f.Fuzz(func(t *testing.T, text string) {
		statements, _ := Parse(text)
		for _, s := range statements {
			again, err := ParseOne(s.String())
			if err != nil {
				t.Fatalf("%s: %v", s, err)
			}
			again.Position = s.Position
			if !reflect.DeepEqual(again, s) {
				t.Fatalf("%s\nparsed as\n%s", s, again)
			}
		}
	})
}
