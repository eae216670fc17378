package peer

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
)

// pageLinkShare is the share of a VM's link that the large pages of a relay take up. The rest
// stays free for units, statuses and intents, which pass over the same link.
const pageLinkShare = 0.75

// pagePacer sends the large pages of a relay one after the other at a share of its link.
// Pages that are sent to many followers at once would fill the send windows of all these
// connections, and other calls would wait behind them: 0.8 s for 15 followers and windows of
// 64 KB on 10 Mbit/s. It is safe for concurrent use.
type pagePacer struct {
	mu sync.Mutex
	// freeAt is when the pages that were admitted so far will have been sent, since boot.
	freeAt time.Duration // guarded by mu
}

// maxPageDelay bounds the wait of a page. A follower gives up a watch watchTimeoutMargin after
// its wait; a page that comes later would be asked for again while it is still sent.
const maxPageDelay = 3 * time.Second

// reserve admits a page of size bytes on a link of linkMbps Mbit/s and returns how long to
// wait before it is sent. It reports false, and admits nothing, if that is longer than
// maxPageDelay. Without a declared link, given as 0, pages are not delayed.
func (p *pagePacer) reserve(now time.Duration, size int, linkMbps float64) (delay time.Duration, ok bool) {
	if size == 0 || linkMbps <= 0 {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	start := max(now, p.freeAt)
	if start-now > maxPageDelay {
		return 0, false
	}
	seconds := float64(size) * 8 / (linkMbps * 1e6 * pageLinkShare)
	p.freeAt = start + time.Duration(seconds*float64(time.Second))
	return start - now, true
}

// pacePage waits until the packed page of an answer may be sent, or the connection ends, and
// reports whether there was anything to wait for. It reports false for ok if the page can't be
// sent before the follower gives it up.
func (c *serverConn) pacePage(page []byte) (waited, ok bool) {
	delay, ok := c.server.pages.reserve(boottime.Now(), len(page), c.server.LinkMbps)
	if !ok {
		metrics.GetOrCreateCounter(`laburnumrack_relay_pages_total{result="refused"}`).Inc()
		return false, false
	}
	if delay <= 0 {
		return false, true
	}
	metrics.GetOrCreateCounter(`laburnumrack_relay_pages_total{result="delayed"}`).Inc()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.done:
	}
	return true, true
}
