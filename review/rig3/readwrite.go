//go:build review

package main

import (
	"fmt"
	"time"
)

// playReadWrite plays callers that write in a transaction which they began with BEGIN READ, and
// in trouble the crash of a replica, so that such transactions run at the primary. No process may
// end by itself three times on two machines.
func playReadWrite(w *world) int {
	near := w.instance("vukovar")
	seed, err := open(w.daemons[0].front, "logs")
	if err != nil {
		return cantRun
	}
	for n := range 5 {
		if a := seed.query(fmt.Sprintf("WRITE log%d first", n)); !a.ok() {
			w.say("the first writes fail: %s", a.end)
			return cantRun
		}
	}
	seed.close()
	// The sample positions of the daemons get older than these writes.
	time.Sleep(3 * time.Second)
	codes := map[string]int{}
	for outage := range 3 {
		if w.trouble {
			near.crash()
			w.say("the replica %s crashes", near.id)
		}
		began := time.Now()
		for n := 0; time.Since(began) < 5900*time.Millisecond; n++ {
			for _, d := range w.daemons {
				code := w.readThenWrite(d, fmt.Sprintf("log%d", n%5))
				codes[code]++
			}
			time.Sleep(400 * time.Millisecond)
		}
		if w.trouble {
			near.restart()
			w.say("%s is back after 5.9 s", near.id)
		}
		w.say("outage %d: ends of the transactions so far %v", outage+1, codes)
		time.Sleep(6 * time.Second)
	}
	return w.judgeEnds()
}

// readThenWrite runs one transaction at a daemon and returns how it ended.
func (w *world) readThenWrite(d *daemon, item string) string {
	c, err := open(d.front, "logs")
	if err != nil {
		return "no session"
	}
	defer c.close()
	for _, text := range []string{"BEGIN READ", "READ " + item, "WRITE " + item + " next", "COMMIT"} {
		id := newID()
		w.logf("sent %s %s to %s", id, text, d.name)
		a := c.queryWithID(id, text)
		w.logf("answered %s %s %s", id, a.end, a.state)
		switch {
		case a.end == noAnswer:
			return text + ": no answer"
		case a.code() != "":
			c.query("ROLLBACK")
			return text + ": " + a.code()
		}
	}
	return "committed"
}
