//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// The report that callers read, and how they read it.
const (
	reportRows     = 6_000
	reportRowBytes = 1_000
	// slowPause is how long a caller in trouble does not read after the first bytes.
	slowPause = 6 * time.Second
	// callersPerDaemon come one after the other; the sheet has about 292 sessions on 8
	// machines, 37 on each.
	callersPerDaemon = 24
	callerGap        = 80 * time.Millisecond
	readRounds       = 6
)

// playLargeRows plays callers that read a report of 6 MB, and in trouble stop reading for some
// seconds in the middle of it. No process may end by itself three times on two machines.
func playLargeRows(w *world) int {
	row := strings.Repeat("r", reportRowBytes)
	w.db.mu.Lock()
	w.db.rows = func(item string) []string {
		if item != "report" {
			return nil
		}
		rows := make([]string, reportRows)
		for i := range rows {
			rows[i] = row
		}
		return rows
	}
	w.db.mu.Unlock()
	var mu sync.Mutex
	results := map[string]int{}
	for round := range readRounds {
		var callers sync.WaitGroup
		for _, d := range w.daemons {
			for n := range callersPerDaemon {
				callers.Go(func() {
					time.Sleep(time.Duration(n) * callerGap)
					result := w.readReport(d)
					mu.Lock()
					results[result]++
					mu.Unlock()
				})
			}
		}
		callers.Wait()
		w.say("round %d: answers so far %v", round+1, results)
		time.Sleep(2 * time.Second)
	}
	return w.judgeEnds()
}

// readReport reads the report once at a daemon and returns how that ended.
func (w *world) readReport(d *daemon) string {
	conn, err := net.DialTimeout("tcp4", d.front, 2*time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2*clientTimeout + slowPause))
	in := bufio.NewReader(conn)
	fmt.Fprint(conn, "START readings u1\r\n")
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		return "no session"
	}
	id := newID()
	w.logf("sent %s READ report to %s", id, d.name)
	fmt.Fprintf(conn, "QUERY %s READ report\r\n", id)
	rows, end := 0, noAnswer
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			end = noAnswer
			break
		}
		word, _, _ := strings.Cut(line, " ")
		if word == "ROW" {
			rows++
			if rows == 1 && w.trouble {
				time.Sleep(slowPause)
			}
			continue
		}
		if word == "READY" {
			break
		}
		end = word
	}
	w.logf("answered %s: %d rows, %s", id, rows, end)
	return end
}

// judgeEnds judges the rule on processes that end by themselves: three times in the day on a
// tenth of the machines in use, two at least.
func (w *world) judgeEnds() int {
	machines := 0
	for _, d := range w.daemons {
		d.mu.Lock()
		w.say("%s: its process ended by itself %d times, %d MB at most", d.name, d.ends, d.peakMB)
		if d.ends >= 3 {
			machines++
		}
		d.mu.Unlock()
	}
	if machines >= max(2, (len(w.daemons)+9)/10) {
		w.say("Fault: broken on %d machines", machines)
		return broken
	}
	w.say("Fault: held")
	return held
}
