package catalog

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestConfirmation(t *testing.T) {
	const limit = 5 * time.Second
	// Guards against a daemon in strict mode that serves keys that may have been revoked.
	Convey("A configuration is stale until it is confirmed and when the confirmation is older than the limit", t, func() {
		c := NewConfirmation(limit)
		So(c.IsStale(time.Second), ShouldBeTrue)
		c.Confirm(10 * time.Second)
		So(c.IsStale(10*time.Second), ShouldBeFalse)
		So(c.IsStale(15*time.Second), ShouldBeFalse)
		So(c.IsStale(15*time.Second+1), ShouldBeTrue)
	})
	// Guards against a late answer of one source that hides the newer one of another.
	Convey("An earlier confirmation does not replace a later one, and a later one ends staleness", t, func() {
		c := NewConfirmation(limit)
		c.Confirm(10 * time.Second)
		c.Confirm(8 * time.Second)
		So(c.IsStale(14*time.Second), ShouldBeFalse)
		So(c.IsStale(20*time.Second), ShouldBeTrue)
		c.Confirm(19 * time.Second)
		So(c.IsStale(20*time.Second), ShouldBeFalse)
	})
}
