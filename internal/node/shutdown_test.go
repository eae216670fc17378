package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/acceptloop"
	"github.com/laburnumrack/laburnumrack/internal/membership"
	"github.com/laburnumrack/laburnumrack/internal/standin/site"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// exitTime is how long after its last session a daemon may take to exit.
const exitTime = 300 * time.Millisecond

// Guards against a shutdown that waits for calls in flight: in rolling restarts 25 to 40 of
// 91 daemons had ended their sessions 3 s after SIGTERM and waited for a watch at their relay
// until they were killed at the end of the grace period.
func TestExitWithCallsInFlight(t *testing.T) {
	cases := []struct {
		name string
		// disturb changes the cluster before the shutdown of a daemon.
		disturb func(tc *testCluster)
	}{
		{"all answer", func(*testCluster) {}},
		{"the store is silent", func(tc *testCluster) { tc.store.SetFault(site.Unresponsive) }},
		{"the store refuses calls", func(tc *testCluster) { tc.store.SetFault(site.Unavailable) }},
		{"the relay is silent", func(tc *testCluster) {
			tc.store.Put(string(membership.KindVM), "vm-silent", map[string]any{
				"address": silentListener(tc.t), "failure_domain": "north", "capacity": store.Capacity{Processor: 1, Link: 1000},
			})
			// The daemons learn of the VM within slowWatchWait at the latest, and usually at once.
			time.Sleep(time.Second)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			tc := newTestCluster(t)
			tc.grace = 20 * time.Second
			tc.tenants = map[string][]string{"tenant": {"test"}}
			tc.configure(dbCurrent)
			for _, name := range []string{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5"} {
				tc.nodes = append(tc.nodes, tc.start(name, "north"))
			}
			for _, n := range tc.nodes {
				tc.eventually(10*time.Second, "the daemons know each other", func() bool { return n.Ready() && len(n.members.Registered()) == len(tc.nodes) })
			}
			idle := tc.connect(tc.nodes[0], dbCurrent)
			tc.eventually(5*time.Second, "the daemons serve", func() bool { return idle.Query("READ a").OK() })
			c.disturb(tc)
			// A connection without a first message is no session.
			silent, err := net.Dial("tcp4", tc.nodes[0].settings.CallerAddress.String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = silent.Close() }()
			type end struct {
				took time.Duration
				err  error
			}
			ends := make(chan end)
			for _, n := range tc.nodes {
				go func() {
					started := time.Now()
					err := n.Stop(context.Background())
					ends <- end{time.Since(started), err}
				}()
			}
			for range tc.nodes {
				e := <-ends
				if limit := balancerRemovalTime + leavingTime + exitTime; e.err != nil || e.took > limit {
					t.Errorf("the shutdown took %s, want at most %s; error %v", e.took, limit, e.err)
				}
			}
		})
	}
}

// leavingTime is how long a daemon may take to end its idle sessions and the connections
// without a first message.
const leavingTime = 300 * time.Millisecond

// silentListener returns the address of a listener that accepts connections and sends
// nothing.
func silentListener(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go acceptloop.Run(l, func(c net.Conn) {
		go func() {
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		}()
	})
	return l.Addr().String()
}

// Guards against a shutdown that breaks off statements of sessions that are never idle: each
// lost the one that was at a target when the grace period ended.
func TestExitWithBusySessions(t *testing.T) {
	tc := newTestCluster(t, "north", "north")
	tc.group.StatementTime = 5 * time.Millisecond
	n := tc.nodes[0]
	var lost, ended atomic.Int64
	var wg sync.WaitGroup
	for i := range 6 {
		c := tc.connect(n, dbSession)
		wg.Go(func() {
			for q := 0; ; q++ {
				text := "READ a"
				if q%8 == 0 {
					text = fmt.Sprintf("WRITE a%d %d", i, q)
				}
				r := c.Query(text)
				if r.Completion == "closed" {
					ended.Add(1)
					lost.Add(int64(tc.group.RunCount(r.ID)))
					return
				}
				time.Sleep(time.Duration(1+(i+q)%9) * time.Millisecond)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	started := time.Now()
	err := n.Stop(context.Background())
	took := time.Since(started)
	tc.kill(n) // as the exit of the process does
	wg.Wait()
	if limit := balancerRemovalTime + leavingTime + exitTime; err != nil || took > limit {
		t.Errorf("the shutdown took %s, want at most %s; error %v", took, limit, err)
	}
	if lost.Load() != 0 || ended.Load() != 6 {
		t.Errorf("%d of 6 sessions ended, %d statements that ran were not answered", ended.Load(), lost.Load())
	}
}

// Guards against a shutdown that waits for a transaction whose caller goes on sending
// statements, and breaks one off at the end of the grace period.
func TestExitWithBusyTransactions(t *testing.T) {
	for _, c := range []struct{ name, after, want string }{
		{"ended by its caller", "ROLLBACK", "DONE"},
		{"continued by its caller", "READ a", "ERR"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			tc := newTestCluster(t, "north", "north")
			tc.group.StatementTime = 5 * time.Millisecond
			n := tc.nodes[0]
			session := tc.connect(n, dbCurrent)
			if r := session.Query("BEGIN"); r.Completion == "closed" {
				t.Fatal("the session was not accepted")
			}
			stopped := make(chan error, 1)
			started := time.Now()
			go func() { stopped <- n.Stop(context.Background()) }()
			r := session.Query("READ a")
			for r.OK() && time.Since(started) < tc.grace {
				time.Sleep(5 * time.Millisecond)
				r = session.Query("READ a")
			}
			if r.Code() != "ABORTED" {
				t.Errorf("the transaction ended with %s %s, want ABORTED", r.Completion, r.Code())
			}
			if r = session.Query(c.after); !strings.HasPrefix(r.Completion, c.want) {
				t.Errorf("%s was answered %s, want %s", c.after, r.Completion, c.want)
			}
			if line := session.ReadLine(); line != "closed" {
				t.Errorf("got %s after the end of the transaction, want the end of the session", line)
			}
			err := <-stopped
			limit := time.Duration(transactionShare*float64(tc.grace)) + leavingTime + exitTime
			if took := time.Since(started); err != nil || took > max(limit, balancerRemovalTime+leavingTime+exitTime) {
				t.Errorf("the shutdown took %s; error %v", took, err)
			}
		})
	}
}

// Guards against a bound on the loops that hides which of them did not end.
func TestLoops(t *testing.T) {
	Convey("Loops that don't end in time are named, and those that do are not waited for", t, func() {
		var l loops
		So(l.wait(time.Hour), ShouldBeEmpty)
		release := make(chan struct{})
		l.start("ends", func() {})
		l.start("stays", func() { <-release })
		l.start("stays", func() { <-release })
		So(l.wait(10*time.Millisecond), ShouldResemble, []string{"stays"})
		close(release)
		So(l.wait(time.Hour), ShouldBeEmpty)
	})
}
