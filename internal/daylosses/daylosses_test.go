package daylosses

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/logread"
)

const dayLog = `  -1.0 a {"time":"2026-05-24T20:02:40Z","msg":"started","vm":"a"}
  1.2 a {"time":"2026-05-24T20:02:42.2Z","msg":"refused","vm":"a","group":"g","reason":"no_primary","tries":0,"waited_ms":20}
  1.4 a {"time":"2026-05-24T20:02:42.4Z","msg":"refused","vm":"a","group":"g","reason":"no_primary","tries":1,"waited_ms":40,"omitted_before":3}
  1.5 b {"time":"2026-05-24T20:02:42.5Z","msg":"unknown","vm":"b","group":"h","reason":"answer_lost","tries":1,"waited_ms":5}
  1.6 b {"time":"2026-05-24T20:02:42.6Z","msg":"served","vm":"b","group":"h"}
not a line of an event log
  3.1 b {"time":"2026-05-24T20:02:44.1Z","msg":"timeout","vm":"b","group":"h"}`

func TestCollect(t *testing.T) {
	Convey("Given the log of a day", t, func() {
		lines, err := logread.Read(strings.NewReader(dayLog))
		So(err, ShouldBeNil)
		losses := Collect(lines, 2*time.Second)
		Convey("losses are counted by window, cause and place, those left out of the log included", func() {
			So(losses, ShouldHaveLength, 3)
			So(losses[0].Requests, ShouldEqual, 5)
			So(losses[0].Tries, ShouldEqual, 1)
			So(losses[0].MeanWaited(), ShouldEqual, 30*time.Millisecond)
			So(losses[1].Reason, ShouldEqual, "answer_lost")
			So(losses[2].Window, ShouldEqual, 4*time.Second)
		})
		Convey("the table has the greatest losses of each window and counts the rest", func() {
			var out strings.Builder
			So(Write(&out, losses, 2*time.Second, 1), ShouldBeNil)
			rows := strings.Split(strings.TrimSpace(out.String()), "\n")
			So(rows, ShouldHaveLength, 4)
			So(strings.Fields(rows[1]), ShouldResemble, []string{"0", "5", "refused", "no_primary", "g", "a", "1", "30ms"})
			So(strings.Fields(rows[2]), ShouldResemble, []string{"0", "1", "other"})
			So(strings.Fields(rows[3])[:4], ShouldResemble, []string{"2", "1", "timeout", "-"})
		})
	})
	Convey("A log without losses gives an empty table", t, func() {
		So(Collect(nil, time.Second), ShouldBeEmpty)
	})
}
