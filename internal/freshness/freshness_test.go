package freshness

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

func at(i int) Sample {
	return Sample{At: time.Duration(i) * 100 * time.Millisecond, Position: position.Position{Term: 1, Index: uint64(i)}}
}

func TestRecord(t *testing.T) {
	Convey("The oldest fact that is not too old is used", t, func() {
		var r History
		_, ok := r.OldestSince(0)
		So(ok, ShouldBeFalse)
		for i := 1; i <= 10; i++ {
			r.Add(at(i))
		}
		f, ok := r.OldestSince(450 * time.Millisecond)
		So(ok, ShouldBeTrue)
		So(f, ShouldResemble, at(5))
		f, _ = r.OldestSince(500 * time.Millisecond)
		So(f, ShouldResemble, at(5))
		_, ok = r.OldestSince(1001 * time.Millisecond)
		So(ok, ShouldBeFalse)
	})
	Convey("A fact that comes late or close to another is left out, and memory is bounded", t, func() {
		var r History
		r.Add(at(10))
		r.Add(at(9))
		r.Add(Sample{At: at(10).At + time.Millisecond})
		So(r.facts, ShouldHaveLength, 1)
		for i := 11; i < 2000; i++ {
			r.Add(at(i))
		}
		So(len(r.facts), ShouldBeLessThanOrEqualTo, maxFacts)
		newest, ok := r.NewestTime()
		So(ok, ShouldBeTrue)
		So(newest, ShouldEqual, at(1999).At)
	})
}
