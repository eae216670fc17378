package site

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Access is another address of a store, which can refuse the daemons that use it while
// other daemons are served. All methods may be called from any goroutine.
type Access struct {
	Address string

	store  *Store
	server *http.Server
	mu     sync.Mutex
	// refused is closed when the access begins to refuse calls, and replaced when it
	// serves them again.
	refused chan struct{}
}

// NewAccess serves the store at another free port of ip.
func (s *Store) NewAccess(ip string) (*Access, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	a := &Access{Address: l.Addr().String(), store: s, refused: make(chan struct{})}
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: time.Second}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// Close stops serving and closes the connections.
func (a *Access) Close() {
	_ = a.server.Close()
}

// SetRefused sets whether calls are answered with 503. Calls that are waiting for a change
// get that answer too.
func (a *Access) SetRefused(refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.refused:
		if !refused {
			a.refused = make(chan struct{})
		}
	default:
		if refused {
			close(a.refused)
		}
	}
}

// ServeHTTP serves one call.
func (a *Access) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	refused := a.refused
	a.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	answer := &bufferedAnswer{header: http.Header{}, status: http.StatusOK}
	select {
	case <-refused:
	default:
		go func() {
			select {
			case <-refused:
				cancel()
			case <-ctx.Done():
			}
		}()
		a.store.ServeHTTP(answer, r.WithContext(ctx))
	}
	select {
	case <-refused:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		for name, values := range answer.header {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.status)
		_, _ = w.Write(answer.body.Bytes())
	}
}

// bufferedAnswer keeps an answer until it is known whether it may be sent.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedAnswer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedAnswer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedAnswer) Write(data []byte) (int, error) { return b.body.Write(data) }
