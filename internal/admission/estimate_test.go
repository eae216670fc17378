package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEstimates(t *testing.T) {
	const light, heavy = 10 * time.Millisecond, 40 * time.Millisecond
	Convey("A kind that is new is taken for one of its class, and soon for what it is", t, func() {
		e := newEstimates(time.Millisecond)
		for i := range 20 {
			e.met(fmt.Sprint("light", i), class{1, time.Second})
			e.observe(fmt.Sprint("light", i), light)
			e.met(fmt.Sprint("heavy", i), class{2, time.Second})
			e.observe(fmt.Sprint("heavy", i), heavy)
		}
		e.met("new", class{2, time.Second})
		So(e.expected("new"), ShouldEqual, heavy)
		e.observe("new", light)
		So(e.expected("new"), ShouldEqual, light)
		So(e.deviation("new"), ShouldEqual, 0)
		e.observe("new", heavy)
		So(e.expected("new"), ShouldEqual, (light+heavy)/2)
		So(e.expected("never met"), ShouldEqual, e.all.mean)
	})
	Convey("Kinds and classes are bounded", t, func() {
		e := newEstimates(time.Millisecond)
		for i := range 2 * maxKinds {
			kind := fmt.Sprint(i)
			e.met(kind, class{i, time.Second})
			e.observe(kind, light)
		}
		So(len(e.kinds), ShouldEqual, maxKinds)
		So(len(e.classes), ShouldBeLessThanOrEqualTo, maxKinds)
	})
}
