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

// What the peers send, how many there are at each daemon, and how long they stay.
const (
	statementBytes = 1_000_000
	peersPerDaemon = 170
	peersStay      = 6 * time.Second
	bombRounds     = 6
)

// playUnfinished plays peers that send a statement within the size limit and, in trouble, leave
// its last byte out for some seconds. No process may end by itself three times on two machines.
func playUnfinished(w *world) int {
	text := []byte("WRITE fan " + strings.Repeat("w", statementBytes))
	var mu sync.Mutex
	results := map[string]int{}
	for round := range bombRounds {
		var daemons sync.WaitGroup
		for _, d := range w.daemons {
			daemons.Go(func() {
				var conns []net.Conn
				for range peersPerDaemon {
					conn, result := w.sendLarge(d, text)
					mu.Lock()
					results[result]++
					mu.Unlock()
					if conn != nil {
						conns = append(conns, conn)
					}
				}
				time.Sleep(peersStay)
				for _, c := range conns {
					_ = c.Close()
				}
			})
		}
		daemons.Wait()
		w.say("round %d: ends of the statements so far %v", round+1, results)
		time.Sleep(3 * time.Second)
	}
	return w.judgeEnds()
}

// sendLarge opens a session and sends one statement, all of it and reads the answer, or in
// trouble all but its last byte. It returns the open connection and how that ended.
func (w *world) sendLarge(d *daemon, text []byte) (net.Conn, string) {
	conn, err := net.DialTimeout("tcp4", d.front, 2*time.Second)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return nil, "no connection"
	}
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	in := bufio.NewReader(conn)
	fmt.Fprint(conn, "START orders u1\r\n")
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		_ = conn.Close()
		return nil, "no session"
	}
	id := newID()
	w.logf("sent %s WRITE of %d bytes to %s", id, len(text), d.name)
	fmt.Fprintf(conn, "QUERY %s ", id)
	end := "\r\n"
	if w.trouble {
		end = "\r"
	}
	if _, err := conn.Write(append(text[:len(text):len(text)], end...)); err != nil {
		_ = conn.Close()
		return nil, "broken off"
	}
	if w.trouble {
		return conn, "unfinished"
	}
	result := noAnswer
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			_ = conn.Close()
			return nil, result
		}
		word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if word == "READY" {
			w.logf("answered %s %s", id, result)
			return conn, result
		}
		result = word
	}
}
