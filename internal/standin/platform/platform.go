// Package platform is an in-memory stand-in for the platform in tests and benchmarks:
// its object service and its VM list, which shows changes late, over HTTP as
// docs/DESIGN.md describes.
//
// It also serves control calls, which faults do not affect: PUT and DELETE /vms/{name}
// change the VM list, GET and PUT /faults read and set the faults, GET /counters returns
// how often the service was called.
package platform

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// DefaultEventsKept is the default length of the event history that a watch can start
// in.
const DefaultEventsKept = 10_000

// Config configures a stand-in.
type Config struct {
	// Address is the IP:port of the listener; port 0 selects a free port. Empty means
	// 127.0.0.1:0.
	Address string
	// EventsKept bounds the event history; zero means DefaultEventsKept.
	EventsKept int
	// VMLag is the age that a change of the VM list must reach before the list shows it.
	VMLag time.Duration
	// Seed seeds the faults that occur with a probability.
	Seed uint64
}

// Platform is a running stand-in. All methods may be called from any goroutine.
type Platform struct {
	address string
	server  *http.Server
	objects *objects
	vms     *vmList
	faults  *faults
	calls   *callCounters
}

// Start starts a stand-in. It returns an error if it cannot listen on the address.
func Start(config Config) (*Platform, error) {
	if config.Address == "" {
		config.Address = "127.0.0.1:0"
	}
	if config.EventsKept == 0 {
		config.EventsKept = DefaultEventsKept
	}
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, fmt.Errorf("start platform stand-in: %w", err)
	}
	p := &Platform{
		address: listener.Addr().String(),
		objects: newObjects(config.EventsKept),
		vms:     &vmList{lag: config.VMLag},
		faults:  newFaults(config.Seed),
		calls:   &callCounters{},
	}
	p.server = &http.Server{Handler: p.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Address returns the IP:port of the listener.
func (p *Platform) Address() string {
	return p.address
}

// URL returns the base URL of the service.
func (p *Platform) URL() string {
	return "http://" + p.address
}

// Close stops the stand-in and closes its connections.
func (p *Platform) Close() {
	_ = p.server.Close()
}

// Revision returns the revision of the last change.
func (p *Platform) Revision() store.Revision {
	return p.objects.current()
}

// Counters holds how often each call was made. A watch counts once, however long it
// waits.
type Counters struct {
	Gets    uint64 `json:"gets"`
	Lists   uint64 `json:"lists"`
	Puts    uint64 `json:"puts"`
	Deletes uint64 `json:"deletes"`
	Watches uint64 `json:"watches"`
	VMs     uint64 `json:"vms"`
	// Refused counts the calls that an outage answered with 503 or left unanswered.
	Refused uint64 `json:"refused"`
	// Lost counts the applied changes whose answer was lost.
	Lost uint64 `json:"lost"`
	// Waiting is the number of watches in progress.
	Waiting int64 `json:"waiting"`
	// BytesIn counts the bytes of valid values in PUT bodies, BytesOut the bytes of JSON
	// answers.
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

// callCounters guards the counters.
type callCounters struct {
	mu       sync.Mutex
	counters Counters
}

// add changes the counters with a function.
func (c *callCounters) add(change func(*Counters)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counters)
}

// Counters returns the counters as they are now.
func (p *Platform) Counters() Counters {
	p.calls.mu.Lock()
	defer p.calls.mu.Unlock()
	return p.calls.counters
}
