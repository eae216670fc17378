package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store. A removed object is kept with deleted set, so that
// watches report the removal.
type object struct {
	kind, name        string
	spec, status      json.RawMessage
	created, revision uint64
	deleted           bool
}

func (o *object) wire() map[string]any {
	return map[string]any{
		"meta": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deleting": false},
		"spec": o.spec, "status": o.status,
	}
}

// store is the platform's metadata store. Each daemon gets a listener of its own, so that
// the store can turn single daemons away.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]*object
	changed  chan struct{}
	// fault maps a daemon to how its calls fail: "", "busy", "reset" or "silent".
	fault map[string]string
	// addresses maps a daemon to the addresses by which it gets to the instances, where
	// these differ from their own.
	addresses map[string]map[string]string
}

func newStore() *store {
	return &store{revision: 100, objects: map[string]*object{}, changed: make(chan struct{}), fault: map[string]string{}, addresses: map[string]map[string]string{}}
}

// listen serves the calls of one daemon at a free port of ip.
func (s *store) listen(ip, daemon string) string {
	l, err := net.Listen("tcp4", ip+":0")
	cannotRun(err)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, daemon) }))
	}()
	return l.Addr().String()
}

func (s *store) setFault(daemon, fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault[daemon] = fault
	s.notify()
}

func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	cannotRun(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind+"/"+name]; o != nil && !o.deleted {
		s.revision++
		o.deleted, o.revision = true, s.revision
		s.notify()
	}
}

// write replaces an object; an equal spec changes nothing. s.mu must be held.
func (s *store) write(kind, name string, spec json.RawMessage) *object {
	o := s.objects[kind+"/"+name]
	if o != nil && !o.deleted && string(o.spec) == string(spec) {
		return o
	}
	s.revision++
	if o == nil || o.deleted {
		o = &object{kind: kind, name: name, created: s.revision}
		s.objects[kind+"/"+name] = o
	}
	o.spec, o.revision = spec, s.revision
	s.notify()
	return o
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) faultOf(daemon string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault[daemon]
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, daemon string) {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/api/objects/")
	kind, name, _ := strings.Cut(path, "/")
	name, _ = url.PathUnescape(name)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch s.faultOf(daemon) {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "reset":
		panic(http.ErrAbortHandler)
	case "silent":
		<-r.Context().Done()
		return
	}
	status, answer := s.handle(r, daemon, kind, name, body)
	if s.faultOf(daemon) == "silent" {
		<-r.Context().Done()
		return
	}
	data, err := json.Marshal(answer)
	cannotRun(err)
	s.mu.Lock()
	for own, other := range s.addresses[daemon] {
		data = bytes.ReplaceAll(data, []byte(own), []byte(other))
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) handle(r *http.Request, daemon, kind, name string, body []byte) (int, any) {
	query := r.URL.Query()
	if r.Method == http.MethodGet && query.Has("watch") {
		return s.watch(r, daemon, kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet && name == "" {
		return http.StatusOK, s.list(kind, query.Get("after"))
	}
	var w struct {
		Meta struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.Unmarshal(body, &w); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	if r.Method == http.MethodPost {
		name = w.Meta.Name
	}
	if r.Method == http.MethodDelete {
		w.Meta.Revision, _ = strconv.ParseUint(query.Get("revision"), 10, 64)
	}
	o := s.objects[kind+"/"+name]
	exists := o != nil && !o.deleted
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, o.wire()
	case r.Method == http.MethodPost:
		return http.StatusCreated, s.write(kind, name, w.Spec).wire()
	case !exists:
		return http.StatusNotFound, map[string]string{"error": "not found"}
	case r.Method == http.MethodGet:
		return http.StatusOK, o.wire()
	case w.Meta.Revision != 0 && w.Meta.Revision != o.revision:
		return http.StatusConflict, o.wire()
	case r.Method == http.MethodPut:
		return http.StatusOK, s.write(kind, name, w.Spec).wire()
	case r.Method == http.MethodDelete:
		s.revision++
		o.deleted, o.revision = true, s.revision
		s.notify()
		return http.StatusOK, o.wire()
	}
	return http.StatusMethodNotAllowed, nil
}

// list returns the first page of objects of a kind after a name. s.mu must be held.
func (s *store) list(kind, after string) map[string]any {
	const page = 500
	var names []string
	for _, o := range s.objects {
		if o.kind == kind && !o.deleted && o.name > after {
			names = append(names, o.name)
		}
	}
	sort.Strings(names)
	more := len(names) > page
	if more {
		names = names[:page]
	}
	items := []any{}
	for _, n := range names {
		items = append(items, s.objects[kind+"/"+n].wire())
	}
	return map[string]any{"items": items, "has_more": more, "as_of": s.revision}
}

// watch waits until objects of a kind change after a revision.
func (s *store) watch(r *http.Request, daemon, kind string) (int, any) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		return http.StatusBadRequest, nil
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []any{}
		for _, o := range s.objects {
			if o.kind == kind && o.revision > from {
				events = append(events, map[string]any{"object": o.wire(), "deleted": o.deleted})
			}
		}
		answer := map[string]any{"events": events, "as_of": s.revision}
		changed, fault := s.changed, s.fault[daemon]
		s.mu.Unlock()
		if fault != "" {
			if fault == "silent" {
				<-r.Context().Done()
			}
			return http.StatusServiceUnavailable, nil
		}
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
