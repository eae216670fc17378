package peer

import (
	"sync"
	"time"

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

// reserve admits a page of size bytes on a link of linkMbps Mbit/s and returns how long to
// wait before it is sent. Without a declared link, given as 0, pages are not delayed.
func (p *pagePacer) reserve(now time.Duration, size int, linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	start := max(now, p.freeAt)
	seconds := float64(size) * 8 / (linkMbps * 1e6 * pageLinkShare)
	p.freeAt = start + time.Duration(seconds*float64(time.Second))
	return start - now
}

// pacePage waits until a packed page may be sent, or the connection ends, and reports whether
// there was anything to wait for.
func (c *serverConn) pacePage(page []byte) bool {
	delay := c.server.pages.reserve(boottime.Now(), len(page), c.server.LinkMbps)
	if delay <= 0 {
		return false
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.done:
	}
	return true
}
