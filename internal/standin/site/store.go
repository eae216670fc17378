// Package site is a stand-in of the users' platform: its object store, the targets
// of database groups on their wire, and the promote call. It serves tests only.
package site

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	kind, name       string
	spec             json.RawMessage
	created, changed uint64
	deleted          bool
}

func (o *object) wire() map[string]any {
	return map[string]any{
		"meta": map[string]any{"name": o.name, "revision": o.changed, "created": o.created, "finalizers": []string{}, "deleting": false},
		"spec": o.spec, "status": nil,
	}
}

// Fault is how the store treats calls.
type Fault int

// The faults of the store.
const (
	Healthy Fault = iota
	// Unavailable answers 503: nothing is done.
	Unavailable
	// Unresponsive takes no call and answers none.
	Unresponsive
	// AnswersLost does what it is told and answers nothing.
	AnswersLost
)

// Store is the object store.
type Store struct {
	Address string

	mu       sync.Mutex
	revision uint64             // guarded by mu
	objects  map[string]*object // guarded by mu; by kind/name, removed ones too
	oldest   uint64             // guarded by mu; history before it is gone
	changed  chan struct{}      // guarded by mu; closed at the next change
	fault    Fault              // guarded by mu
	calls    map[string]int     // guarded by mu
	server   *http.Server
}

// NewStore starts a store on a free port of ip.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), revision: 1, objects: map[string]*object{}, changed: make(chan struct{}), calls: map[string]int{}}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() {
	_ = s.server.Close()
}

// SetFault sets how calls are treated from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// DiscardHistory drops the history: watches from before now get 410.
func (s *Store) DiscardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
	s.wake()
}

// CallCount returns how many calls of a kind, such as "GET servers", were made.
func (s *Store) CallCount(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// Put writes an object as the operator or a target does.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind+"/"+name]; o != nil && !o.deleted {
		s.revision++
		o.deleted, o.changed = true, s.revision
		s.wake()
	}
}

func (s *Store) put(kind, name string, spec json.RawMessage) *object {
	o := s.objects[kind+"/"+name]
	if o != nil && !o.deleted && string(o.spec) == string(spec) {
		return o
	}
	s.revision++
	if o == nil || o.deleted {
		o = &object{kind: kind, name: name, created: s.revision}
		s.objects[kind+"/"+name] = o
	}
	o.spec, o.changed = spec, s.revision
	s.wake()
	return o
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.calls[r.Method+" "+kind]++
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unresponsive:
		<-r.Context().Done()
		return
	}
	status, answer := s.answer(r, kind, name, body)
	if s.silentNow() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) silentNow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault == AnswersLost
}

func (s *Store) answer(r *http.Request, kind, name string, body []byte) (int, any) {
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		return s.watch(r, kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && name == "":
		return http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		if o := s.objects[kind+"/"+name]; o != nil && !o.deleted {
			return http.StatusOK, o.wire()
		}
		return http.StatusNotFound, map[string]string{"error": "not found"}
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		return s.write(r.Method, kind, name, body)
	case r.Method == http.MethodDelete:
		return s.remove(kind, name, r.URL.Query().Get("revision"))
	default:
		return http.StatusMethodNotAllowed, nil
	}
}

func (s *Store) write(method, kind, name string, body []byte) (int, any) {
	var w struct {
		Meta struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return http.StatusBadRequest, map[string]string{"error": err.Error()}
	}
	if method == http.MethodPost {
		name = w.Meta.Name
	}
	o := s.objects[kind+"/"+name]
	exists := o != nil && !o.deleted
	switch {
	case method == http.MethodPost && exists, method == http.MethodPut && exists && w.Meta.Revision != 0 && w.Meta.Revision != o.changed:
		return http.StatusConflict, o.wire()
	case method == http.MethodPut && !exists:
		return http.StatusNotFound, map[string]string{"error": "not found"}
	}
	return http.StatusOK, s.put(kind, name, w.Spec).wire()
}

// remove removes an object if it has the revision, where one is named.
func (s *Store) remove(kind, name, revision string) (int, any) {
	o := s.objects[kind+"/"+name]
	switch {
	case o == nil || o.deleted:
		return http.StatusNotFound, map[string]string{"error": "not found"}
	case revision != "" && revision != strconv.FormatUint(o.changed, 10):
		return http.StatusConflict, o.wire()
	}
	s.revision++
	o.deleted, o.changed = true, s.revision
	s.wake()
	return http.StatusOK, o.wire()
}

// pageSize is small, so that tests meet a second page.
const pageSize = 5

func (s *Store) list(kind, after string) map[string]any {
	var names []string
	for _, o := range s.objects {
		if o.kind == kind && !o.deleted && o.name > after {
			names = append(names, o.name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	if more {
		names = names[:pageSize]
	}
	items := []any{}
	for _, n := range names {
		items = append(items, s.objects[kind+"/"+n].wire())
	}
	return map[string]any{"items": items, "has_more": more, "as_of": s.revision}
}

func (s *Store) watch(r *http.Request, kind string) (int, any) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, gone, changed := s.events(kind, from), s.revision, from < s.oldest, s.changed
		s.mu.Unlock()
		if gone {
			return http.StatusGone, map[string]string{"error": "history is gone"}
		}
		answer := map[string]any{"events": events, "as_of": revision}
		if len(events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}

func (s *Store) events(kind string, from uint64) []any {
	events := []any{}
	for _, o := range s.objects {
		if o.kind == kind && o.changed > from {
			events = append(events, map[string]any{"object": o.wire(), "deleted": o.deleted})
		}
	}
	return events
}
