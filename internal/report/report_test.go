package report

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/statement"
)

// show parses a SHOW statement.
func show(text string) statement.Show {
	s, err := statement.ParseOne(text)
	if err != nil {
		panic(err)
	}
	return *s.Show
}

// TestApply guards against wrong filtering, grouping or formatting of a table.
func TestApply(t *testing.T) {
	times := ConnectionTimes(RowSet[ConnectionTime]{Missing: []string{"vm-9"}, Rows: []ConnectionTime{
		{Service: "s", State: "idle", Caller: "a", Spent: 2 * time.Second},
		{Service: "s", State: "working", Caller: "a", Spent: time.Second},
		{Service: "s", State: "idle", Caller: "b", Spent: 5 * time.Second},
		{Service: "t", State: "idle", Caller: "a", Spent: 7 * time.Second},
	}})
	Convey("Apply filters and groups rows", t, func() {
		got, err := Apply(times, show("SHOW TIME OF SERVICE s BY caller WHERE state = idle"))
		So(err, ShouldBeNil)
		var b strings.Builder
		So(got.WriteText(&b), ShouldBeNil)
		So(b.String(), ShouldEqual, "CALLER  ROWS  SPENT\na       1     2s\nb       1     5s\n(2 rows)\nno answer from: vm-9\n")

		got, err = Apply(times, show("SHOW TIME BY Caller, state WHERE spent >= 2s"))
		So(err, ShouldBeNil)
		b.Reset()
		So(got.WriteJSON(&b), ShouldBeNil)
		So(b.String(), ShouldEqual, "[\n  {\"caller\": \"a\", \"state\": \"idle\", \"rows\": 2, \"spent\": 9000000000},\n  {\"caller\": \"b\", \"state\": \"idle\", \"rows\": 1, \"spent\": 5000000000}\n]\n")
	})
	Convey("Errors name the column or value that does not fit the table", t, func() {
		for text, want := range map[string]string{
			"SHOW TIME OF VM x":            "has no VM, want one of service",
			"SHOW TIME BY colour":          `no column "colour"`,
			"SHOW TIME BY caller, caller":  "is listed twice",
			"SHOW TIME WHERE spent > 5":    "column spent holds a duration",
			"SHOW TIME WHERE vm = 'x'":     `no column "vm"`,
			"SHOW TIME WHERE spent = 'x'":  "holds a duration",
			"SHOW TIME WHERE caller = 'x'": "",
		} {
			_, err := Apply(times, show(text))
			if want == "" {
				So(err, ShouldBeNil)
				continue
			}
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, want)
		}
	})
	Convey("An unknown age is greater than every duration", t, func() {
		replicas := Replicas(RowSet[Replica]{Rows: []Replica{{Target: "t1"}, {Target: "t2", AgeKnown: true, Age: time.Second, Drained: true}}})
		got, _ := Apply(replicas, show("SHOW REPLICAS WHERE age > 5s"))
		So(got.Rows, ShouldHaveLength, 1)
		So(got.Rows[0][3].String(), ShouldEqual, "t1")
		got, _ = Apply(replicas, show("SHOW REPLICAS WHERE age <= 5s AND drained = true"))
		So(got.Rows, ShouldHaveLength, 1)

		Convey("and a table is unchanged after encoding and decoding as JSON", func() {
			b, err := json.Marshal(replicas)
			So(err, ShouldBeNil)
			var decoded Table
			So(json.Unmarshal(b, &decoded), ShouldBeNil)
			So(decoded, ShouldResemble, replicas)
		})
	})
}

// TestConfigNamesFaults guards against SHOW CONFIG output that lacks the fault of a
// reference to an undeclared object, or that contains a secret.
func TestConfigNamesFaults(t *testing.T) {
	Convey("SHOW CONFIG names an undeclared reference and hides secrets", t, func() {
		verifier := "SCRAM-SHA-256$4096:c2FsdHNhbHQ=$AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
		s, err := configuration.Build(configuration.Caller{Name: "c", Verifier: verifier, Services: []string{"gone"}, CommandID: "b#1"})
		So(err, ShouldBeNil)
		var b strings.Builder
		So(Config(s, false).WriteJSON(&b), ShouldBeNil)
		So(b.String(), ShouldContainSubstring, "want a declared service")
		So(b.String(), ShouldContainSubstring, `"command": "b#1"`)
		So(b.String(), ShouldNotContainSubstring, "c2FsdHNhbHQ")
	})
}
