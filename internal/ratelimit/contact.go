package ratelimit

import (
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/peer"
)

// Timing of contacts.
const (
	// contactHold is how long an owner acts after its last contact with another daemon of its
	// failure domain. A successor acts about 200 ms after the owner fell silent, so both act
	// for less than that; with 6 failure domains the tolerance of requirement 6 allows 1.5 s.
	contactHold = time.Second
	// probeAfter is the time without contact after which a daemon with accounts probes
	// others.
	probeAfter = 400 * time.Millisecond
	// probeTimeout limits a probe.
	probeTimeout = 100 * time.Millisecond
	// probeCount is the number of daemons that are probed at once.
	probeCount = 3
	// probeHold is how long the result of a probe without an answer holds.
	probeHold = 250 * time.Millisecond
)

// contact records when this daemon last had contact with its failure domain.
type contact struct {
	mu sync.Mutex
	// at is the time of the last contact.
	at time.Duration // guarded by mu
	// aloneUntil is the time until which the processes of all neighbors count as ended.
	aloneUntil time.Duration // guarded by mu

	// probing holds a value during a probe; failedAt is the end of the last one without an
	// answer, if failed is true.
	probing  chan struct{}
	failedAt time.Duration // guarded by mu
	failed   bool          // guarded by mu
}

// noteContact records a contact with another daemon of the failure domain. If the last one
// is too long ago, another daemon may have acted as owner meanwhile: the accounts start anew,
// and which daemons are down has to be found out again.
func (l *Limiter) noteContact() {
	now := l.options.Now()
	l.contact.mu.Lock()
	lapsed := now-l.contact.at > contactHold && now >= l.contact.aloneUntil
	l.contact.at = max(l.contact.at, now)
	l.contact.mu.Unlock()
	if lapsed {
		l.forgetDown()
		l.owner.reset()
	}
}

// inContact reports whether the last contact is recent and not before since, or no other
// daemon runs in the failure domain.
func (l *Limiter) inContact(since time.Duration) bool {
	now := l.options.Now()
	l.contact.mu.Lock()
	defer l.contact.mu.Unlock()
	return l.contact.at >= since && now-l.contact.at <= contactHold || now < l.contact.aloneUntil
}

// hasContact reports whether this daemon has contact with its failure domain, and had it
// since the given time. It probes other daemons if that is not known. A daemon that takes
// the place of one that went down asks for contact since then: it may be cut off itself.
func (l *Limiter) hasContact(since time.Duration) bool {
	if l.inContact(since) || len(l.options.Network.Neighbors()) == 0 {
		return true
	}
	l.contact.probing <- struct{}{}
	defer func() { <-l.contact.probing }()
	if l.inContact(since) {
		return true
	}
	l.contact.mu.Lock()
	failedBefore := l.contact.failed && l.options.Now()-l.contact.failedAt < probeHold
	l.contact.mu.Unlock()
	return !failedBefore && l.probe()
}

// probe sends a probe to some neighbors and reports whether there is contact. If all of
// them refuse the connection, it probes the others: when no process runs on any other VM,
// none can be another owner.
func (l *Limiter) probe() bool {
	neighbors := l.options.Network.Neighbors()
	rand.Shuffle(len(neighbors), func(i, j int) { neighbors[i], neighbors[j] = neighbors[j], neighbors[i] })
	first := neighbors[:min(probeCount, len(neighbors))]
	answered, refused := l.probeAll(first)
	if !answered && refused {
		answered, refused = l.probeAll(neighbors[len(first):])
	}
	if answered {
		l.noteContact()
	}
	now := l.options.Now()
	l.contact.mu.Lock()
	defer l.contact.mu.Unlock()
	l.contact.failed, l.contact.failedAt = !answered && !refused, now
	if refused {
		l.contact.aloneUntil = now + probeAfter
	}
	return answered || refused
}

// probeAll probes daemons at the same time. It reports whether one answered, and whether all
// of them refused the connection.
func (l *Limiter) probeAll(names []string) (answered, refused bool) {
	results := make(chan error, len(names))
	for _, name := range names {
		go func() {
			_, err := l.call(name, peer.QuotaRequest{Kind: peer.QuotaProbe}, probeTimeout)
			results <- err
		}()
	}
	refused = true
	for range names {
		err := <-results
		if err == nil {
			return true, false
		}
		refused = refused && errors.Is(err, syscall.ECONNREFUSED)
	}
	return false, refused
}

// keepContact probes other daemons if there was no contact for a while and this daemon
// holds accounts, so that an owner which is not asked doesn't count as cut off.
func (l *Limiter) keepContact() {
	now := l.options.Now()
	l.contact.mu.Lock()
	quiet := now - l.contact.at
	l.contact.mu.Unlock()
	if quiet < probeAfter || !l.owner.holdsAccounts() || len(l.options.Network.Neighbors()) == 0 {
		return
	}
	l.contact.probing <- struct{}{}
	defer func() { <-l.contact.probing }()
	l.probe()
}
