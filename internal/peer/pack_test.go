package peer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// targetPage returns a response with the entries of n targets.
func targetPage(n int, revision store.Revision) WatchResponse {
	w := WatchResponse{Current: true, Complete: true, Page: store.Page{Era: store.UnannouncedEra, Revision: revision}}
	for i := range n {
		w.Page.Objects = append(w.Page.Objects, store.Object{
			Key: store.Key{Kind: "things", Name: fmt.Sprintf("i-%010x", i*7919)}, Version: revision,
			Value: fmt.Appendf(nil, `{"group":"g%d","address":"10.%d.64.%d:8080","domain":"osijek","version":"v1","slots":5,"state":"ready","warm_up_left":0,"primary":false,"heartbeat":4}`, i/3, i%6, i%250),
		})
	}
	return w
}

// Guards against relays that fill their links: on 96 VMs, a relay with a link of 10 Mbit/s
// sent pages of 0.5 MB to each of 15 followers, and its heartbeats were late for seconds.
func TestPackedPages(t *testing.T) {
	Convey("A large page is sent compressed and restored unchanged", t, func() {
		var cache packCache
		w := targetPage(750, 9)
		want := append([]store.Object{}, w.Page.Objects...)
		plain, err := encoding.Marshal(w)
		So(err, ShouldBeNil)
		cache.pack(WatchRequest{Kind: "things"}, &w)
		packed, err := encoding.Marshal(w)
		So(err, ShouldBeNil)
		So(len(packed), ShouldBeLessThan, len(plain)/4)
		So(w.unpack(), ShouldBeNil)
		So(w.Page.Objects, ShouldResemble, want)
	})
	Convey("A page is compressed once for all followers, and anew at the next revision", t, func() {
		var cache packCache
		first, second, later := targetPage(100, 9), targetPage(100, 9), targetPage(100, 10)
		cache.pack(WatchRequest{Kind: "things", From: 1}, &first)
		cache.pack(WatchRequest{Kind: "things", From: 2}, &second)
		So(&first.Packed[0] == &second.Packed[0], ShouldBeTrue)
		cache.pack(WatchRequest{Kind: "things"}, &later)
		So(&first.Packed[0] == &later.Packed[0], ShouldBeFalse)
	})
	Convey("A small page is sent as it is", t, func() {
		var cache packCache
		w := targetPage(3, 9)
		cache.pack(WatchRequest{Kind: "things"}, &w)
		So(w.Packed, ShouldBeNil)
		So(w.Page.Objects, ShouldHaveLength, 3)
	})
	Convey("Damaged and oversized pages are errors", t, func() {
		w := WatchResponse{Packed: []byte("not compressed")}
		So(w.unpack(), ShouldNotBeNil)
		var large bytes.Buffer
		f, err := flate.NewWriter(&large, flate.BestSpeed)
		So(err, ShouldBeNil)
		zeros := make([]byte, 1<<20)
		for range maxUnpackedBytes/len(zeros) + 1 {
			_, err = f.Write(zeros)
			So(err, ShouldBeNil)
		}
		So(f.Close(), ShouldBeNil)
		w = WatchResponse{Packed: large.Bytes()}
		So(w.unpack(), ShouldEqual, errPageTooLarge)
	})
}
