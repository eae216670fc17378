//go:build review

package main

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

// storeObject is one object of the store; a removed one stays as a tombstone for watches.
type storeObject struct {
	kind, name       string
	spec             json.RawMessage
	created, changed uint64
	deleted          bool
}

func (o *storeObject) wire() map[string]any {
	return map[string]any{
		"meta": map[string]any{"name": o.name, "revision": o.changed, "created": o.created, "finalizers": []string{}, "deleting": false},
		"spec": o.spec, "status": nil,
	}
}

// objectStore is the platform's object store, linearizable and without faults of its own.
type objectStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]*storeObject
	changed  chan struct{}
	down     bool // answers 503
	silent   bool // answers nothing
}

// storePage is the number of objects of one page of a listing.
const storePage = 500

func newObjectStore(address string) (*objectStore, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &objectStore{revision: 1, objects: map[string]*storeObject{}, changed: make(chan struct{})}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

// put writes an object for the operator or an instance.
func (s *objectStore) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, data)
}

// remove removes an object if there is one, and reports whether there was.
func (s *objectStore) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind+"/"+name]
	if o == nil || o.deleted {
		return false
	}
	s.revision++
	o.deleted, o.changed = true, s.revision
	s.wakeLocked()
	return true
}

func (s *objectStore) putLocked(kind, name string, spec json.RawMessage) *storeObject {
	o := s.objects[kind+"/"+name]
	if o != nil && !o.deleted && string(o.spec) == string(spec) {
		return o
	}
	s.revision++
	if o == nil || o.deleted {
		o = &storeObject{kind: kind, name: name, created: s.revision}
		s.objects[kind+"/"+name] = o
	}
	o.spec, o.changed = spec, s.revision
	s.wakeLocked()
	return o
}

func (s *objectStore) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	kind, name, _ := strings.Cut(path, "/")
	if !ok || kind == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	down, silent := s.down, s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, answer := s.call(r, kind, name)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *objectStore) call(r *http.Request, kind, name string) (int, any) {
	switch r.Method {
	case http.MethodGet:
		if name != "" {
			return s.get(kind, name)
		}
		if r.URL.Query().Get("watch") != "" {
			return s.watch(r, kind)
		}
		return s.list(kind, r.URL.Query().Get("after"))
	case http.MethodPost, http.MethodPut:
		return s.write(r, kind, name)
	case http.MethodDelete:
		return s.delete(kind, name, r.URL.Query().Get("revision"))
	}
	return http.StatusMethodNotAllowed, nil
}

func (s *objectStore) get(kind, name string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind+"/"+name]
	if o == nil || o.deleted {
		return http.StatusNotFound, map[string]string{"error": "not found"}
	}
	return http.StatusOK, o.wire()
}

func (s *objectStore) list(kind, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, o := range s.objects {
		if o.kind == kind && !o.deleted && o.name > after {
			names = append(names, o.name)
		}
	}
	sort.Strings(names)
	more := len(names) > storePage
	if more {
		names = names[:storePage]
	}
	items := []any{}
	for _, n := range names {
		items = append(items, s.objects[kind+"/"+n].wire())
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "as_of": s.revision}
}

func (s *objectStore) watch(r *http.Request, kind string) (int, any) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var changes []*storeObject
		for _, o := range s.objects {
			if o.kind == kind && o.changed > from {
				changes = append(changes, o)
			}
		}
		sort.Slice(changes, func(i, j int) bool { return changes[i].changed < changes[j].changed })
		events := []any{}
		for _, o := range changes {
			events = append(events, map[string]any{"object": o.wire(), "deleted": o.deleted})
		}
		answer, changed := map[string]any{"events": events, "as_of": s.revision}, s.changed
		s.mu.Unlock()
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

func (s *objectStore) write(r *http.Request, kind, name string) (int, any) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	var body struct {
		Meta struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	if json.Unmarshal(data, &body) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = body.Meta.Name
	}
	o := s.objects[kind+"/"+name]
	exists := o != nil && !o.deleted
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, o.wire()
	case r.Method == http.MethodPost:
		return http.StatusCreated, s.putLocked(kind, name, body.Spec).wire()
	case !exists:
		return http.StatusNotFound, map[string]string{"error": "not found"}
	case body.Meta.Revision != 0 && body.Meta.Revision != o.changed:
		return http.StatusConflict, o.wire()
	}
	return http.StatusOK, s.putLocked(kind, name, body.Spec).wire()
}

func (s *objectStore) delete(kind, name, revision string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind+"/"+name]
	switch {
	case o == nil || o.deleted:
		return http.StatusNotFound, map[string]string{"error": "not found"}
	case revision != "" && revision != strconv.FormatUint(o.changed, 10):
		return http.StatusConflict, o.wire()
	}
	s.revision++
	o.deleted, o.changed = true, s.revision
	s.wakeLocked()
	return http.StatusOK, o.wire()
}
