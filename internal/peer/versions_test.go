package peer

import (
	"bytes"
	"encoding/hex"
	"flag"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/wirecompat"
)

// goldenRelease is set before a release:
// go test ./internal/peer -run TestGoldenFrames -golden.release=COMMIT.
var goldenRelease = flag.String("golden.release", "", "release for which TestGoldenFrames writes golden files from this source")

// frameCodec writes frames as hexadecimal digits.
var frameCodec = wirecompat.Codec{
	Extension: ".hex",
	Marshal: func(frame any) ([]byte, error) {
		data, err := encoding.Marshal(frame)
		return []byte(hex.EncodeToString(data) + "\n"), err
	},
	Unmarshal: func(text []byte, frame any) error {
		data, err := hex.DecodeString(string(bytes.TrimSpace(text)))
		if err != nil {
			return err
		}
		return decoding.Unmarshal(data, frame)
	},
}

// goldenFrames are the frames between daemons, by the name of their golden file. A request or
// response has one content at a time, but frames with all of them cover every field.
var goldenFrames = map[string]func() any{
	"hello":    func() any { return new(hello) },
	"request":  func() any { return new(request) },
	"response": func() any { return new(response) },
}

// Guards against a change of the frames that daemons of an earlier release can't read, or
// whose frames this one reads in part: a field that is renumbered, renamed, gone or of another
// type.
func TestGoldenFrames(t *testing.T) {
	wirecompat.Check(t, frameCodec, goldenFrames, *goldenRelease)
}

// Guards against a later release whose added fields an earlier one rejects.
func TestAddedFields(t *testing.T) {
	Convey("A frame with fields that this release does not know is read without them", t, func() {
		for _, construct := range goldenFrames {
			frame := construct()
			wirecompat.Fill(frame)
			known, later := frameCodec.Generic(t, frame), frameCodec.Generic(t, frame).(map[any]any)
			later[uint64(9999)] = map[any]any{"a": []any{1, "b"}}
			data, err := encoding.Marshal(later)
			So(err, ShouldBeNil)
			read := construct()
			So(decoding.Unmarshal(data, read), ShouldBeNil)
			So(wirecompat.Missing(known, frameCodec.Generic(t, read)), ShouldBeEmpty)
		}
	})
}

// Guards against a request of a later release that an earlier one drops: its sender waited for
// the time-out of the call.
func TestUnknownRequest(t *testing.T) {
	Convey("A request that the peer does not know fails at once, is counted, and leaves the connection usable", t, func() {
		before := unknownFrames("request").Get()
		c, _ := startServer(t, &Server{Name: "home"}, "home")
		conn, err := c.connect()
		So(err, ShouldBeNil)
		started := time.Now()
		_, sent, err := conn.roundTrip(request{Unit: conn.lastID.Add(1)}, time.Hour)
		So(sent, ShouldBeTrue)
		So(err, ShouldEqual, errUnknown)
		So(time.Since(started), ShouldBeLessThan, time.Minute)
		So(unknownFrames("request").Get(), ShouldEqual, before+1)
		So(c.IsReachable(), ShouldBeTrue)
	})
}
