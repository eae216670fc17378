package peer

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// quotaStub grants every operation after a delay.
type quotaStub struct {
	delay   time.Duration
	handled atomic.Int64
}

func (q *quotaStub) HandleQuota(from string, r QuotaRequest) QuotaResponse {
	time.Sleep(q.delay)
	q.handled.Add(1)
	return QuotaResponse{Owner: from == "entry", Granted: r.Count, RetryAfter: uint64(len(r.Tenant))}
}

func TestQuotaFrames(t *testing.T) {
	admit := QuotaRequest{Kind: QuotaAdmit, Tenant: "t", Rate: 0.5, Burst: 3, Version: 7, Count: 2}
	Convey("A request is answered with the sender's name known", t, func() {
		c, _ := startServer(t, &Server{Name: "home", Opener: &echoHome{}, Quotas: &quotaStub{}}, "home")
		answer, err := c.Quota(admit, time.Second)
		So(err, ShouldBeNil)
		So(answer, ShouldResemble, QuotaResponse{Owner: true, Granted: 2, RetryAfter: 1})
	})
	Convey("A daemon without the frames is not asked, and its units work (guards against waits for daemons of an earlier release)", t, func() {
		c, _ := startServer(t, &Server{Name: "home", Opener: &echoHome{}}, "home")
		start := time.Now()
		_, err := c.Quota(admit, time.Second)
		So(errors.Is(err, ErrNoQuota), ShouldBeTrue)
		So(time.Since(start), ShouldBeLessThan, 500*time.Millisecond)
	})
	Convey("A late answer is dropped, and the next request gets its own (guards against an answer that is taken for another)", t, func() {
		stub := &quotaStub{delay: 100 * time.Millisecond}
		c, _ := startServer(t, &Server{Name: "home", Opener: &echoHome{}, Quotas: stub}, "home")
		_, err := c.Quota(admit, 20*time.Millisecond)
		So(errors.Is(err, ErrQuotaSilent), ShouldBeTrue)
		second := admit
		second.Count = 5
		answer, err := c.Quota(second, time.Second)
		So(err, ShouldBeNil)
		So(answer.Granted, ShouldEqual, 5)
	})
	Convey("An answer that comes twice is delivered once, and one for no request is ignored (guards against a duplicate that is taken for the answer to the next request)", t, func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			frames := newFrameConn(conn)
			var h hello
			if frames.read(&h) != nil || frames.write(hello{Version: Version, Name: "home", Quota: true}) != nil {
				return
			}
			for {
				var r request
				if frames.read(&r) != nil {
					return
				}
				answer := response{Unit: r.Unit, Quota: &QuotaResponse{Owner: true, Granted: r.Quota.Count}}
				stray := response{Unit: r.Unit + 1000, Quota: &QuotaResponse{Granted: 99}}
				for _, frame := range []response{stray, answer, answer} {
					if frames.write(frame) != nil {
						return
					}
				}
			}
		}()
		c := NewClient(Identity{Name: "entry"}, "home", l.Addr().String(), &recordingObserver{})
		defer c.Close()
		for count := range uint64(50) {
			r := admit
			r.Count = count
			answer, err := c.Quota(r, time.Second)
			So(err, ShouldBeNil)
			So(answer.Granted, ShouldEqual, count)
		}
	})
	Convey("A silent daemon counts as lost although each request ends before (guards against a silent owner that is asked again for ever)", t, func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			frames := newFrameConn(conn)
			var h hello
			if frames.read(&h) == nil {
				_ = frames.write(hello{Version: Version, Name: "home", Quota: true})
			}
			time.Sleep(5 * time.Second)
			_ = conn.Close()
		}()
		observer := &recordingObserver{}
		c := NewClient(Identity{Name: "entry"}, "home", l.Addr().String(), observer)
		defer c.Close()
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
			if _, err = c.Quota(admit, 50*time.Millisecond); err == nil {
				break
			}
			if lost, _ := observer.counts(); lost > 0 {
				break
			}
		}
		lost, _ := observer.counts()
		So(lost, ShouldBeGreaterThan, 0)
	})
	Convey("A refused connection is reported at once as such", t, func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := l.Addr().String()
		So(l.Close(), ShouldBeNil)
		start := time.Now()
		_, err = NewClient(Identity{Name: "entry"}, "home", address, &recordingObserver{}).Quota(admit, time.Second)
		So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeTrue)
		So(time.Since(start), ShouldBeLessThan, 500*time.Millisecond)
	})
}
