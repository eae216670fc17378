package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// maxWatchWait bounds wait_ms of a watch.
const maxWatchWait = 10 * time.Minute

// Handler returns the handler of the object service, the VM list and the control calls
// of the stand-in.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name...}", p.withFaults(p.getObject))
	mux.HandleFunc("GET /objects", p.withFaults(p.listObjects))
	mux.HandleFunc("PUT /objects/{kind}/{name...}", p.withFaults(p.putObject))
	mux.HandleFunc("DELETE /objects/{kind}/{name...}", p.withFaults(p.deleteObject))
	mux.HandleFunc("GET /watch", p.withFaults(p.watch))
	mux.HandleFunc("GET /vms", p.withFaults(p.listVMs))
	mux.HandleFunc("PUT /vms/{name}", p.putVM)
	mux.HandleFunc("DELETE /vms/{name}", p.deleteVM)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { p.writeJSON(w, http.StatusOK, p.Faults()) })
	mux.HandleFunc("PUT /faults", p.putFaults)
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { p.writeJSON(w, http.StatusOK, p.Counters()) })
	return mux
}

// withFaults delays or refuses a call as the current faults demand, and otherwise runs
// next.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		current, _ := p.faults.get()
		if current.DelayMS > 0 {
			select {
			case <-time.After(milliseconds(current.DelayMS)):
			case <-r.Context().Done():
				return
			}
		}
		if p.refuseInOutage(w, r) {
			return
		}
		next(w, r)
	}
}

// refuseInOutage ends a call during an outage and reports whether it did.
func (p *Platform) refuseInOutage(w http.ResponseWriter, r *http.Request) bool {
	current, _ := p.faults.get()
	if current.Outage == OutageNone {
		return false
	}
	p.calls.add(func(c *Counters) { c.Refused++ })
	if current.Outage == OutageSilent {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, store.MaxValueBytes))
		<-r.Context().Done()
		return true
	}
	http.Error(w, "unavailable", http.StatusServiceUnavailable)
	return true
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.calls.add(func(c *Counters) { c.Gets++ })
	found, ok := p.objects.get(keyOf(r))
	if !ok {
		http.Error(w, "object not found", http.StatusNotFound)
		return
	}
	p.writeJSON(w, http.StatusOK, found)
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	p.calls.add(func(c *Counters) { c.Lists++ })
	p.writeJSON(w, http.StatusOK, p.objects.list(kindsOf(r)))
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	p.calls.add(func(c *Counters) { c.Puts++ })
	version, err := versionOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		http.Error(w, "value is larger than 1 MiB", http.StatusRequestEntityTooLarge)
		return
	case err != nil:
		return
	case !json.Valid(value):
		http.Error(w, "value is not valid JSON", http.StatusBadRequest)
		return
	}
	p.calls.add(func(c *Counters) { c.BytesIn += uint64(len(value)) })
	written, ok := p.objects.put(keyOf(r), version, value)
	if !ok {
		p.writeJSON(w, http.StatusConflict, written)
		return
	}
	p.writeChange(w, written)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	p.calls.add(func(c *Counters) { c.Deletes++ })
	version, err := versionOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	removed, done, missing := p.objects.remove(keyOf(r), version)
	switch {
	case missing:
		http.Error(w, "object not found", http.StatusNotFound)
	case !done:
		p.writeJSON(w, http.StatusConflict, removed)
	default:
		p.writeChange(w, removed)
	}
}

// writeChange answers an applied change, or closes the connection if the answer is to be
// lost.
func (p *Platform) writeChange(w http.ResponseWriter, result object) {
	if p.faults.losesAnswer() {
		p.calls.add(func(c *Counters) { c.Lost++ })
		panic(http.ErrAbortHandler)
	}
	p.writeJSON(w, http.StatusOK, result)
}

// watch answers with the events after a revision. It waits for one until wait_ms has
// passed or an outage begins.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.calls.add(func(c *Counters) { c.Watches++; c.Waiting++ })
	defer p.calls.add(func(c *Counters) { c.Waiting-- })
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter from must be a revision number", http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseUint(r.URL.Query().Get("wait_ms"), 10, 32)
	if err != nil {
		http.Error(w, "query parameter wait_ms must be a number of milliseconds", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer cancel()
	ctx, stop := p.faults.untilOutage(ctx)
	defer stop()
	found, ok := p.objects.watch(ctx, store.Revision(from), kindsOf(r))
	switch {
	case p.refuseInOutage(w, r):
	case !ok:
		http.Error(w, "revision is older than the kept events or newer than the last one", http.StatusGone)
	default:
		p.writeJSON(w, http.StatusOK, found)
	}
}

// vmPage is the body of the answer to GET /vms.
type vmPage struct {
	VMs []store.VM `json:"vms"`
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.calls.add(func(c *Counters) { c.VMs++ })
	p.writeJSON(w, http.StatusOK, vmPage{VMs: p.vms.visible()})
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	var vm store.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.Name = r.PathValue("name")
	p.PutVM(vm)
	p.writeJSON(w, http.StatusOK, vm)
}

func (p *Platform) deleteVM(w http.ResponseWriter, r *http.Request) {
	p.RemoveVM(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

// putFaults sets the faults in the body; omitted fields keep their value.
func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	current := p.Faults()
	if err := json.NewDecoder(r.Body).Decode(&current); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(current)
	p.writeJSON(w, http.StatusOK, current)
}

// writeJSON answers with a JSON body and counts its bytes.
func (p *Platform) writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	p.calls.add(func(c *Counters) { c.BytesOut += uint64(len(encoded)) })
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// keyOf returns the object key in the path.
func keyOf(r *http.Request) store.Key {
	return store.Key{Kind: store.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
}

// kindsOf returns the kinds in the query; none means all kinds.
func kindsOf(r *http.Request) []store.Kind {
	var kinds []store.Kind
	for _, k := range r.URL.Query()["kind"] {
		kinds = append(kinds, store.Kind(k))
	}
	return kinds
}

// versionOf returns the version in the query.
func versionOf(r *http.Request) (store.Revision, error) {
	n, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		return 0, errors.New("query parameter version must be a number")
	}
	return store.Revision(n), nil
}
