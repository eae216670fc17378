package target

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	contract "github.com/laburnumrack/laburnumrack/internal/target"
)

// FaultSettings is the body of PUT /faults. Durations are in milliseconds. Omitted
// fields keep their current value.
type FaultSettings struct {
	StreamDelayMS     *float64 `json:"stream_delay_ms,omitempty"`
	ApplyDelayMS      *float64 `json:"apply_delay_ms,omitempty"`
	ConnectDelayMS    *float64 `json:"connect_delay_ms,omitempty"`
	ServiceTimeMS     *float64 `json:"service_time_ms,omitempty"`
	ReplicationPaused *bool    `json:"replication_paused,omitempty"`
}

func (f FaultSettings) apply(to *Faults) {
	setMilliseconds(&to.StreamDelay, f.StreamDelayMS)
	setMilliseconds(&to.ApplyDelay, f.ApplyDelayMS)
	setMilliseconds(&to.ConnectDelay, f.ConnectDelayMS)
	setMilliseconds(&to.ServiceTime, f.ServiceTimeMS)
	if f.ReplicationPaused != nil {
		to.ReplicationPaused = *f.ReplicationPaused
	}
}

func setMilliseconds(d *time.Duration, ms *float64) {
	if ms != nil {
		*d = time.Duration(*ms * float64(time.Millisecond))
	}
}

// Report is the response to every request of the control API.
type Report struct {
	Status  contract.Status `json:"status"`
	Load    Load            `json:"load"`
	Down    bool            `json:"down"`
	Frozen  bool            `json:"frozen"`
	Address string          `json:"address"`
}

func (in *Instance) report() Report {
	load := in.Load()
	in.mu.Lock()
	defer in.mu.Unlock()
	return Report{Status: in.status(), Load: load, Down: in.down, Frozen: in.frozen, Address: in.address.String()}
}

// ControlHandler returns the handler of the fault control API: GET /status, PUT /faults,
// and POST /crash, /restart, /freeze and /thaw. Each responds with a Report, or with
// status 400 and the error text.
func (in *Instance) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", in.handleAction(func(*http.Request) error { return nil }))
	mux.HandleFunc("POST /crash", in.handleAction(func(*http.Request) error { in.Crash(); return nil }))
	mux.HandleFunc("POST /restart", in.handleAction(func(*http.Request) error { return in.Restart() }))
	mux.HandleFunc("POST /freeze", in.handleAction(func(*http.Request) error { in.Freeze(); return nil }))
	mux.HandleFunc("POST /thaw", in.handleAction(func(*http.Request) error { in.Thaw(); return nil }))
	mux.HandleFunc("PUT /faults", in.handleAction(in.putFaults))
	return mux
}

func (in *Instance) putFaults(r *http.Request) error {
	var settings FaultSettings
	if err := json.NewDecoder(r.Body).Decode(&settings); err != nil {
		return err
	}
	in.SetFaults(settings.apply)
	return nil
}

// handleAction returns a handler that calls run and responds with a Report.
func (in *Instance) handleAction(run func(*http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := run(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(in.report())
	}
}

func (in *Instance) startControl(address string) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("control API of target %s: %w", in.config.Name, err)
	}
	in.controlAddress = listener.Addr().String()
	in.control = &http.Server{Handler: in.ControlHandler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = in.control.Serve(listener) }()
	return nil
}
