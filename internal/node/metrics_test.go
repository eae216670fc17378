package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// readMetrics returns the lines of the laburnumrack_ metrics of a daemon.
func readMetrics(address string) []string {
	r, err := http.Get("http://" + address + "/metrics")
	So(err, ShouldBeNil)
	defer func() { _ = r.Body.Close() }()
	So(r.StatusCode, ShouldEqual, http.StatusOK)
	body, err := io.ReadAll(r.Body)
	So(err, ShouldBeNil)
	var lines []string
	for _, line := range strings.Split(string(body), "\n") {
		if strings.HasPrefix(line, "laburnumrack_") {
			lines = append(lines, line)
		}
	}
	return lines
}

func TestMetrics(t *testing.T) {
	Convey("Metrics distinguish requests by consistency and outcome, and their number grows with neither callers nor databases", t, func() {
		tc := newTestCluster(t)
		tc.metricsListen = fmt.Sprintf("127.0.0.1:%d", freePorts(t, "127.0.0.1", 1)[0])
		n := tc.start("vm-0", "north")
		tc.eventually(5*time.Second, "the daemon is ready", n.Ready)
		serve := func(database string) {
			c := tc.connect(n, database)
			So(c.Query("WRITE a 1").OK(), ShouldBeTrue)
			So(c.Query("READ a").OK(), ShouldBeTrue)
		}
		serve(dbCurrent)
		serve(dbSession)
		first := readMetrics(tc.metricsListen)
		text := strings.Join(first, "\n")
		for _, series := range []string{
			`laburnumrack_statement_seconds_count{consistency="current",kind="write",code="ok"}`,
			`laburnumrack_statement_seconds_bucket{consistency="session",kind="read",code="ok",vmrange=`,
			`laburnumrack_queue_seconds_count{consistency="current",outcome="acquired"}`,
			`laburnumrack_target_seconds_count{consistency="current",outcome="answered"}`,
			`laburnumrack_store_calls_total{`,
		} {
			So(text, ShouldContainSubstring, series)
		}
		names := []string{dbCurrent, dbSession}
		for i := range 20 {
			names = append(names, fmt.Sprintf("one_more_%d", i))
		}
		tc.configure(names...)
		tc.eventually(5*time.Second, "the configuration is in force", func() bool {
			c := n.configuration.Current()
			return c != nil && len(c.Routes) == len(names)
		})
		for _, name := range names[2:] {
			serve(name)
		}
		text = strings.Join(readMetrics(tc.metricsListen), "\n")
		So(text, ShouldNotContainSubstring, "one_more_")
		So(strings.Count(text, "laburnumrack_statement_seconds_count{"), ShouldBeLessThanOrEqualTo, maxStatementSeries)
	})
}

// maxStatementSeries is the number of consistencies times kinds times codes.
const maxStatementSeries = 3 * 7 * 14
