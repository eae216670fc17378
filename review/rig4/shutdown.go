//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of a shutdown.
const (
	// pipelineCallers callers keep pipelineDepth statements outstanding each.
	pipelineCallers, pipelineDepth = 6, 4
	// grace and lossSlack are the bounds grace_s and loss_slack_ms.
	grace, lossSlack = 6 * time.Second, 200 * time.Millisecond
	// calmTime is how long the callers go on without a shutdown.
	calmTime = 8 * time.Second
)

// sentStatement is a statement without an answer.
type sentStatement struct {
	id string
	at time.Time
}

// pipelinedShutdown plays callers that send statements before the answers to earlier ones have
// come, at a daemon that gets SIGTERM.
func pipelinedShutdown(w *world, trouble bool) (bool, error) {
	w.group.StatementTime = 24 * time.Millisecond
	d, err := w.start("front-osijek-1", "osijek")
	if err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond)
	stop := make(chan struct{})
	var mu sync.Mutex
	var lost []sentStatement
	answered := 0
	var callers sync.WaitGroup
	for i := range pipelineCallers {
		callers.Go(func() {
			left, n, err := w.pipeline(d, i, stop)
			ended := time.Now()
			w.note("session %d: %d statements answered, %d without an answer when it ended (%v)", i, n, len(left), err)
			// A target that has a statement finishes it.
			time.Sleep(time.Second)
			mu.Lock()
			defer mu.Unlock()
			answered += n
			for _, s := range left {
				ran := w.group.RunCount(s.id)
				w.note("statement %s: sent %s before the end of its connection, no answer; run by a target %d times", s.id, ended.Sub(s.at).Round(time.Millisecond), ran)
				if ran > 0 || ended.Sub(s.at) > lossSlack {
					lost = append(lost, s)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.note("SIGTERM")
		terminated := time.Now()
		d.signal(syscall.SIGTERM)
		_, exited := d.process()
		select {
		case <-exited:
			w.note("the process ended %s after SIGTERM", time.Since(terminated).Round(time.Millisecond))
		case <-time.After(grace):
			w.note("SIGKILL after the grace period")
			d.kill()
		}
	} else {
		time.Sleep(calmTime)
	}
	close(stop)
	callers.Wait()
	w.note("statements answered %d, read or run and never answered %d", answered, len(lost))
	return len(lost) > 0, nil
}

// pipeline plays one session until stop is closed or the connection ends, and returns the
// statements that are left without an answer and the number of those answered.
func (w *world) pipeline(d *daemon, i int, stop chan struct{}) (left []sentStatement, answered int, err error) {
	c, err := dialCaller(d.callers(), "shift-logs")
	if err != nil {
		return nil, 0, err
	}
	defer c.close()
	stopping := false
	for n := 0; ; {
		for !stopping && len(left) < pipelineDepth {
			select {
			case <-stop:
				stopping = true
				continue
			default:
			}
			text := fmt.Sprintf("READ item%d", i)
			if n%4 == 0 {
				text = fmt.Sprintf("WRITE item%d-%d x", i, n)
			}
			s := sentStatement{id: fmt.Sprintf("p%d-%d", i, n), at: time.Now()}
			if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", s.id, text); err != nil {
				return left, answered, err
			}
			left = append(left, s)
			n++
		}
		if len(left) == 0 {
			return nil, answered, nil
		}
		result, err := c.answer()
		if err != nil {
			return left, answered, err
		}
		if strings.HasPrefix(result, "ERR") {
			w.note("statement %s: %.60q", left[0].id, result)
		}
		left, answered = left[1:], answered+1
	}
}
