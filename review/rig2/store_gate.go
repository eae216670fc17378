//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/standin/site"
)

// storeGate is the address of the store that the daemons use. It can lose the answers to writes
// and apply them late.
type storeGate struct {
	addr   string
	store  *site.Store
	log    *recorder
	server *http.Server

	mu sync.Mutex
	// intercept, if not nil, is asked about each write of the object of the promotion duty.
	intercept func(w *dutyWrite) fate
}

// dutyWrite is a write of the object of the promotion duty.
type dutyWrite struct {
	request *http.Request
	body    []byte
	Holder  string            `json:"holder"`
	Intents map[string]uint64 `json:"intents"`
}

// fate says what becomes of a write.
type fate struct {
	// lost is set if there is no answer.
	lost bool
	// appliedAfter is when a lost write is applied if its condition still holds then.
	appliedAfter time.Duration
	// resetAfter is when the connection of a lost write is reset, 0 for never.
	resetAfter time.Duration
}

func newStoreGate(ip string, store *site.Store, log *recorder) (*storeGate, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	g := &storeGate{addr: l.Addr().String(), store: store, log: log}
	g.server = &http.Server{Handler: g}
	go func() { _ = g.server.Serve(l) }()
	return g, nil
}

// ServeHTTP passes a call on to the store.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet || !strings.Contains(r.URL.Path, "laburnumrack-duty") {
		g.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	d := decodeDutyWrite(r, body)
	f := fate{}
	g.mu.Lock()
	if g.intercept != nil && d.Holder != "" {
		f = g.intercept(d)
	}
	g.mu.Unlock()
	if !f.lost {
		g.log.quiet("store", "%s %s %s", r.Method, r.URL.Path, body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		g.store.ServeHTTP(w, r)
		return
	}
	g.log.event("store", "the answer to %s %s with intents %v is lost; it is applied %s later if its condition holds", r.Method, r.URL.Path, d.Intents, f.appliedAfter)
	go g.applyLate(d, f.appliedAfter)
	if f.resetAfter > 0 {
		time.Sleep(f.resetAfter)
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			g.log.event("store", "the connection of the write with intents %v is reset", d.Intents)
		}
		return
	}
	<-r.Context().Done()
}

func decodeDutyWrite(r *http.Request, body []byte) *dutyWrite {
	var w struct {
		Spec json.RawMessage `json:"spec"`
	}
	d := &dutyWrite{request: r, body: body}
	if json.Unmarshal(body, &w) == nil {
		_ = json.Unmarshal(w.Spec, d)
	}
	return d
}

// applyLate applies a write after its connection may have ended.
func (g *storeGate) applyLate(d *dutyWrite, after time.Duration) {
	time.Sleep(after)
	r, err := http.NewRequest(d.request.Method, "http://"+g.store.Address+d.request.URL.String(), bytes.NewReader(d.body))
	if err != nil {
		return
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	_ = res.Body.Close()
	g.log.event("store", "the late write with intents %v gets status %d", d.Intents, res.StatusCode)
}
