// Package site is a stand-in of the users' platform for tests: its object store over
// HTTP, database groups whose targets speak the platform's line protocol, the promote
// call, and a client of that protocol.
package site

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store. A removed object is kept with deleted set, so that
// watches report the removal.
type object struct {
	kind, name                  string
	spec                        json.RawMessage
	createRevision, modRevision uint64
	deleted                     bool
}

// toWire returns the JSON form of the object.
func (o *object) toWire() map[string]any {
	return map[string]any{
		"meta": map[string]any{"name": o.name, "revision": o.modRevision, "created": o.createRevision, "finalizers": []string{}, "deleting": false},
		"spec": o.spec, "status": nil,
	}
}

// Fault selects how the store fails calls.
type Fault int

// The faults of the store.
const (
	// Healthy serves every call.
	Healthy Fault = iota
	// Unavailable answers 503 and applies nothing.
	Unavailable
	// Unresponsive applies nothing and sends no answer; the call hangs until the client
	// ends it.
	Unresponsive
	// AnswersLost applies the call and closes the connection without an answer.
	AnswersLost
)

// Store is the object store. All methods may be called from any goroutine.
type Store struct {
	Address string

	mu             sync.Mutex
	revision       uint64                   // guarded by mu
	objects        map[string]*object       // guarded by mu; key is kind/name; includes removed objects
	oldestRevision uint64                   // guarded by mu; watches from an earlier revision get 410
	changed        chan struct{}            // guarded by mu; closed and replaced at each change
	fault          Fault                    // guarded by mu
	callCounts     map[string]int           // guarded by mu; key is method and kind, such as "GET servers"
	lists          map[string]int           // guarded by mu; listings begun, by kind
	delays         map[string]time.Duration // guarded by mu; of the answers to calls, by kind
	era            uint64                   // guarded by mu; announced in every answer
	announcesEra   bool                     // guarded by mu
	copies         []storeCopy              // guarded by mu; by time
	raw            map[string]string        // guarded by mu; specs of PutRaw, by the encoded text that stands for them
	server         *http.Server
}

// NewStore starts an empty store on a free port of ip.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: l.Addr().String(), revision: 1, objects: map[string]*object{}, changed: make(chan struct{}),
		callCounts: map[string]int{}, delays: map[string]time.Duration{}, lists: map[string]int{}, era: 1, raw: map[string]string{},
	}
	s.keepCopy()
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close stops the store and closes its connections.
func (s *Store) Close() {
	_ = s.server.Close()
}

// SetFault sets how later calls fail, and wakes pending watches.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.notifyWatchers()
}

// SetDelay sets how long answers to calls about a kind are delayed.
func (s *Store) SetDelay(kind string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays[kind] = delay
}

// DiscardHistory discards the history: a watch from an earlier revision than the current
// one gets 410.
func (s *Store) DiscardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldestRevision = s.revision
	s.notifyWatchers()
}

// ListCount returns how many listings of a kind were begun.
func (s *Store) ListCount(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists[kind]
}

// CallCount returns how many calls of a method and kind, such as "GET servers", were
// made.
func (s *Store) CallCount(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[name]
}

// Put writes an object in the place of an operator or a target. It panics if spec cannot
// be encoded as JSON.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, data)
}

// PutRaw writes an object in the place of another program, with a spec that need not be JSON
// that can be decoded.
func (s *Store) PutRaw(kind, name, spec string) {
	placeholder := fmt.Sprintf("%q", "raw spec of "+kind+"/"+name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw[placeholder] = spec
	s.putLocked(kind, name, json.RawMessage(placeholder))
}

// writeAnswer encodes an answer, with the specs of PutRaw in it.
func (s *Store) writeAnswer(w io.Writer, answer any) {
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	for placeholder, spec := range s.raw {
		data = bytes.ReplaceAll(data, []byte(placeholder), []byte(spec))
	}
	s.mu.Unlock()
	// A client that has gone needs no answer.
	_, _ = w.Write(data)
}

// Remove removes an object if it exists.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind+"/"+name]; o != nil && !o.deleted {
		s.revision++
		o.deleted, o.modRevision = true, s.revision
		s.notifyWatchers()
	}
}

// putLocked writes an object and returns it. An equal spec changes no revision. The
// caller holds mu.
func (s *Store) putLocked(kind, name string, spec json.RawMessage) *object {
	o := s.objects[kind+"/"+name]
	if o != nil && !o.deleted && string(o.spec) == string(spec) {
		return o
	}
	s.revision++
	if o == nil || o.deleted {
		o = &object{kind: kind, name: name, createRevision: s.revision}
		s.objects[kind+"/"+name] = o
	}
	o.spec, o.modRevision = spec, s.revision
	s.notifyWatchers()
	return o
}

// notifyWatchers wakes all pending watches, after a change of the objects or of the fault.
// The caller holds mu.
func (s *Store) notifyWatchers() {
	s.keepCopy()
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call, subject to the current fault.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.callCounts[r.Method+" "+kind]++
	fault, delay := s.fault, s.delays[kind]
	s.mu.Unlock()
	time.Sleep(delay)
	switch fault {
	case Unavailable:
		s.announceEra(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unresponsive:
		<-r.Context().Done()
		return
	}
	status, answer := s.handle(r, kind, name, body)
	if s.losesAnswers() {
		panic(http.ErrAbortHandler)
	}
	s.announceEra(w.Header())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	s.writeAnswer(w, answer)
}

// losesAnswers reports whether the current fault is AnswersLost.
func (s *Store) losesAnswers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault == AnswersLost
}

// handle runs one call and returns its status and body.
func (s *Store) handle(r *http.Request, kind, name string, body []byte) (int, any) {
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		return s.watch(r, kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && name == "":
		if !r.URL.Query().Has("after") {
			s.lists[kind]++
		}
		return http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		if o := s.objects[kind+"/"+name]; o != nil && !o.deleted {
			return http.StatusOK, o.toWire()
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

// write creates (POST) or replaces (PUT) an object. POST of an existing object is a
// conflict, and so is PUT with a nonzero revision that is not the current one. The
// caller holds mu.
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
	case method == http.MethodPost && exists, method == http.MethodPut && exists && w.Meta.Revision != 0 && w.Meta.Revision != o.modRevision:
		return http.StatusConflict, o.toWire()
	case method == http.MethodPut && !exists:
		return http.StatusNotFound, map[string]string{"error": "not found"}
	}
	return http.StatusOK, s.putLocked(kind, name, w.Spec).toWire()
}

// remove removes an object. A revision that is not empty must be the current one. The
// caller holds mu.
func (s *Store) remove(kind, name, revision string) (int, any) {
	o := s.objects[kind+"/"+name]
	switch {
	case o == nil || o.deleted:
		return http.StatusNotFound, map[string]string{"error": "not found"}
	case revision != "" && revision != strconv.FormatUint(o.modRevision, 10):
		return http.StatusConflict, o.toWire()
	}
	s.revision++
	o.deleted, o.modRevision = true, s.revision
	s.notifyWatchers()
	return http.StatusOK, o.toWire()
}

// pageSize is small, so that tests get more than one page.
const pageSize = 5

// list returns the first page of objects of a kind whose names follow after. The caller
// holds mu.
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
		items = append(items, s.objects[kind+"/"+n].toWire())
	}
	return map[string]any{"items": items, "has_more": more, "as_of": s.revision}
}

// watch waits until objects of a kind change after the given revision, or until wait_ms
// has passed.
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
		events, revision, changed := s.events(kind, from), s.revision, s.changed
		gone := from < s.oldestRevision || from > s.revision
		s.mu.Unlock()
		if gone {
			return http.StatusGone, map[string]string{"error": "the history after the requested revision is not there"}
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

// events returns the objects of a kind that changed after a revision. The caller holds
// mu.
func (s *Store) events(kind string, from uint64) []any {
	events := []any{}
	for _, o := range s.objects {
		if o.kind == kind && o.modRevision > from {
			events = append(events, map[string]any{"object": o.toWire(), "deleted": o.deleted})
		}
	}
	return events
}
