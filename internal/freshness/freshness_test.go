package freshness

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// sample returns a sample at i*100 ms with log index i.
func sample(i int) Sample {
	return Sample{At: time.Duration(i) * 100 * time.Millisecond, Position: position.Position{Term: 1, Index: uint64(i)}}
}

func TestRecord(t *testing.T) {
	Convey("The oldest sample within the bound is returned", t, func() {
		var h History
		_, ok := h.OldestSince(0)
		So(ok, ShouldBeFalse)
		for i := 1; i <= 10; i++ {
			h.Add(sample(i))
		}
		s, ok := h.OldestSince(450 * time.Millisecond)
		So(ok, ShouldBeTrue)
		So(s, ShouldResemble, sample(5))
		s, _ = h.OldestSince(500 * time.Millisecond)
		So(s, ShouldResemble, sample(5))
		_, ok = h.OldestSince(1001 * time.Millisecond)
		So(ok, ShouldBeFalse)
	})
	Convey("A sample that is late or too close to the previous one is dropped, and memory is bounded", t, func() {
		var h History
		h.Add(sample(10))
		h.Add(sample(9))
		h.Add(Sample{At: sample(10).At + time.Millisecond})
		So(h.samples, ShouldHaveLength, 1)
		for i := 11; i < 2000; i++ {
			h.Add(sample(i))
		}
		So(len(h.samples), ShouldBeLessThanOrEqualTo, maxSamples)
		newest, ok := h.Newest()
		So(ok, ShouldBeTrue)
		So(newest, ShouldResemble, sample(1999))
	})
}
