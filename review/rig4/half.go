//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case of half a transaction.
const (
	// transactionCallers callers run callerTransactions transactions each. With trouble
	// burstCallers more callers write large items at the same time, without transactions.
	transactionCallers, callerTransactions, burstCallers = 4, 5, 56
	// A caller sends a large statement in parts, as its own link lets it: 60 callers together
	// stay below the 1,000 Mbit/s of the machine.
	partBytes, partInterval = 64 << 10, 40 * time.Millisecond
	// rowBytes is the size of a large item, just below that of the largest message.
	rowBytes = 1<<20 - 200
)

// promises are the answers by which nothing of the caller's attempt is kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "BEHIND": true, "READONLY": true, "WRONGNODE": true, "TOOMANY": true}

// halfTransaction plays callers that write a small and a large item in one transaction. Every
// other one sends its four statements without waiting for the answers in between.
func halfTransaction(w *world, trouble bool) (bool, error) {
	w.group.StatementTime = 8 * time.Millisecond
	d, err := w.start("front-osijek-1", "osijek")
	if err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond)
	stop := make(chan struct{})
	var burst sync.WaitGroup
	if trouble {
		for i := range burstCallers {
			burst.Go(func() { w.largeWriter(d, i, stop) })
		}
		time.Sleep(time.Second)
	}
	var refused, committed, torn, closed atomic.Int64
	var group sync.WaitGroup
	for i := range transactionCallers {
		group.Go(func() {
			for n := range callerTransactions {
				small, large := fmt.Sprintf("small%d-%d", i, n), fmt.Sprintf("large%d-%d", i, n)
				answers, err := w.sendTransaction(d, i%2 == 0, small, large)
				if err != nil {
					closed.Add(1)
					w.note("transaction %d-%d: %v", i, n, err)
					continue
				}
				promised := false
				for _, a := range answers {
					f := strings.Fields(a)
					promised = promised || len(f) > 1 && f[0] == "ERR" && promises[f[1]]
				}
				kept, keptLarge := len(w.group.Commits(small)) > 0, len(w.group.Commits(large)) > 0
				switch {
				case promised && (kept || keptLarge):
					torn.Add(1)
				case promised:
					refused.Add(1)
				case kept && keptLarge:
					committed.Add(1)
				}
				w.note("transaction %d-%d: answers %.60q; in the primary's log: small write %t, large write %t", i, n, answers, kept, keptLarge)
			}
		})
	}
	group.Wait()
	close(stop)
	burst.Wait()
	w.note("committed %d, refused and nothing kept %d, refused and a write kept %d, ended without an answer %d", committed.Load(), refused.Load(), torn.Load(), closed.Load())
	return torn.Load() > 0, nil
}

// sendTransaction runs one transaction and returns the ends of the answers to its four
// statements. With pipelined it sends all of them before it reads the answers.
func (w *world) sendTransaction(d *daemon, pipelined bool, small, large string) ([]string, error) {
	c, err := dialCaller(d.callers(), "fan-orders")
	if err != nil {
		return nil, err
	}
	defer c.close()
	// next lets the sender go on, when an answer has come or at once.
	next := make(chan struct{}, 4)
	sent := make(chan error, 1)
	go func() { sent <- c.sendStatements(next, small, large) }()
	var answers []string
	for len(answers) < 4 {
		if len(answers) == 0 || !pipelined {
			next <- struct{}{}
		}
		if pipelined && len(answers) == 0 {
			for range 3 {
				next <- struct{}{}
			}
		}
		result, err := c.answer()
		if err != nil {
			return answers, fmt.Errorf("connection ended after the answers %q: %w", answers, err)
		}
		answers = append(answers, result)
	}
	return answers, <-sent
}

// sendStatements sends the four statements, the large one in parts, each when next allows it.
func (c *caller) sendStatements(next chan struct{}, small, large string) error {
	for n, text := range []string{"BEGIN", "WRITE " + small + " x", "WRITE " + large + " ", "COMMIT"} {
		<-next
		if _, err := fmt.Fprintf(c.conn, "QUERY %s-%d %s", small, n+1, text); err != nil {
			return err
		}
		if n == 2 {
			if err := c.sendLarge(); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprint(c.conn, "\r\n"); err != nil {
			return err
		}
	}
	return nil
}

// largeWriter plays a session that writes large items until stop is closed.
func (w *world) largeWriter(d *daemon, i int, stop chan struct{}) {
	c, err := dialCaller(d.callers(), "fan-orders")
	if err != nil {
		w.note("large writer %d: %v", i, err)
		return
	}
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("large%d-%d", i, n)
		if _, err := fmt.Fprintf(c.conn, "QUERY %s WRITE bulk%d ", id, i); err != nil {
			return
		}
		if err := c.sendLarge(); err != nil {
			return
		}
		if _, err := fmt.Fprint(c.conn, "\r\n"); err != nil {
			return
		}
		if _, err := c.answer(); err != nil {
			w.note("large writer %d: %v", i, err)
			return
		}
	}
}

// sendLarge sends the data of a large item in parts.
func (c *caller) sendLarge() error {
	data := []byte(strings.Repeat("y", partBytes))
	for range rowBytes / partBytes {
		if _, err := c.conn.Write(data); err != nil {
			return err
		}
		time.Sleep(partInterval)
	}
	return nil
}
