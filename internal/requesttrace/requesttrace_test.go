package requesttrace

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const vmA = `  8.1 a {"time":"2026-05-24T20:02:43.5Z","msg":"leader_lost","vm":"a","group":"g"}
  8.2 a {"time":"2026-05-24T20:02:43.6Z","msg":"refused","vm":"a","request":"x","group":"g","reason":"no_primary"}
no object here
  8.3 a {"time":"2026-05-24T20:02:43.7Z","msg":"refused","vm":"a","request":"y","group":"g"}
  9.9 a {"time":"2026-05-24T20:02:49.7Z","msg":"leader_found","vm":"a","group":"g"}
  broken {"time":`

const vmB = `{"time":"2026-05-24T20:02:43.4Z","msg":"promotion_begins","vm":"b","group":"g"}
{"time":"2026-05-24T20:02:43.4Z","msg":"promotion_begins","vm":"b","group":"other"}
{"time":"2026-05-24T20:02:43.4Z","msg":"store_lost","vm":"b"}`

func TestWrite(t *testing.T) {
	Convey("The trace has the lines of the request and the state changes of its group, ordered by time", t, func() {
		var out bytes.Buffer
		So(Write(&out, "x", strings.NewReader(vmA), strings.NewReader(vmB)), ShouldBeNil)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		So(lines, ShouldHaveLength, 3)
		So(lines[0], ShouldContainSubstring, "promotion_begins")
		So(lines[1], ShouldContainSubstring, "leader_lost")
		So(lines[2], ShouldContainSubstring, "no_primary")
	})
	Convey("A request that no line mentions is an error", t, func() {
		So(errors.Is(Write(&bytes.Buffer{}, "z", strings.NewReader(vmA)), ErrNotFound), ShouldBeTrue)
	})
}
