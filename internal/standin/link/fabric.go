package link

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"
)

// bitsPerByte converts the configured rate of a line, in bits, into bytes.
const bitsPerByte = 8

// PlaceConfig names a place, for example a failure domain, and the source IP addresses
// of traffic from there.
type PlaceConfig struct {
	Name      string       `json:"name"`
	Addresses []netip.Addr `json:"addresses"`
}

// LineConfig configures a line between two sets of places.
type LineConfig struct {
	Name    string   `json:"name"`
	A       []string `json:"a"`
	B       []string `json:"b"`
	DelayMS float64  `json:"delay_ms"`
	// MegabitsPerSecond limits each direction; zero is unlimited.
	MegabitsPerSecond float64 `json:"megabits_per_second"`
}

// RelayConfig configures a relay in front of one address of a place.
type RelayConfig struct {
	// Network is tcp or udp.
	Network string `json:"network"`
	Listen  string `json:"listen"`
	To      string `json:"to"`
	Place   string `json:"place"`
}

// Config describes the places, the lines between them and the relays of a Fabric.
type Config struct {
	Places []PlaceConfig `json:"places"`
	Lines  []LineConfig  `json:"lines"`
	Relays []RelayConfig `json:"relays"`
}

// Fabric runs the relays of a Config. The source IP of a connection and the place of the
// relay select its line. Traffic from an unknown IP, and traffic between places without
// a line, takes the line "direct", which is not shaped.
type Fabric struct {
	config Config
	lines  map[string]*Line
	relays []*Relay
	direct *Line
}

// StartFabric starts every relay of config. If one fails, it closes those already
// started and returns the error.
func StartFabric(config Config) (*Fabric, error) {
	f := &Fabric{config: config, lines: map[string]*Line{}, direct: NewLine("direct", Shape{})}
	for _, line := range config.Lines {
		f.lines[line.Name] = NewLine(line.Name, Shape{
			Delay:          time.Duration(line.DelayMS * float64(time.Millisecond)),
			BytesPerSecond: line.MegabitsPerSecond * 1e6 / bitsPerByte,
		})
	}
	for _, relay := range config.Relays {
		started, err := StartRelay(relay.Network, relay.Listen, relay.To, f.routeFunc(relay.Place))
		if err != nil {
			f.Close()
			return nil, err
		}
		f.relays = append(f.relays, started)
	}
	return f, nil
}

// Line returns the line of a name, or nil. It does not find the line "direct".
func (f *Fabric) Line(name string) *Line {
	return f.lines[name]
}

// Close closes every relay.
func (f *Fabric) Close() {
	for _, r := range f.relays {
		r.Close()
	}
}

// routeFunc returns the RouteFunc of relays at a place.
func (f *Fabric) routeFunc(place string) RouteFunc {
	return func(source netip.Addr) Route {
		from := f.placeOf(source)
		for _, line := range f.config.Lines {
			switch {
			case slices.Contains(line.A, from) && slices.Contains(line.B, place):
				return Route{Line: f.lines[line.Name], Direction: AToB}
			case slices.Contains(line.B, from) && slices.Contains(line.A, place):
				return Route{Line: f.lines[line.Name], Direction: BToA}
			}
		}
		return Route{Line: f.direct, Direction: AToB}
	}
}

// placeOf returns the place of a source IP, or an empty string.
func (f *Fabric) placeOf(source netip.Addr) string {
	for _, place := range f.config.Places {
		if slices.Contains(place.Addresses, source.Unmap()) {
			return place.Name
		}
	}
	return ""
}

// LineReport is the state of a line as the control API returns it.
type LineReport struct {
	Name           string  `json:"name"`
	DelayMS        float64 `json:"delay_ms"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	Cut            Cut     `json:"cut"`
	Frozen         bool    `json:"frozen"`
	BytesAToB      uint64  `json:"bytes_a_to_b"`
	BytesBToA      uint64  `json:"bytes_b_to_a"`
}

// ShapeSettings is the body of PUT /lines/{name}; omitted fields keep their value.
type ShapeSettings struct {
	DelayMS        *float64 `json:"delay_ms,omitempty"`
	BytesPerSecond *float64 `json:"bytes_per_second,omitempty"`
	Cut            *Cut     `json:"cut,omitempty"`
	Frozen         *bool    `json:"frozen,omitempty"`
}

// apply sets the fields that are present on a shape.
func (s ShapeSettings) apply(to *Shape) {
	if s.DelayMS != nil {
		to.Delay = time.Duration(*s.DelayMS * float64(time.Millisecond))
	}
	if s.BytesPerSecond != nil {
		to.BytesPerSecond = *s.BytesPerSecond
	}
	if s.Cut != nil {
		to.Cut = *s.Cut
	}
	if s.Frozen != nil {
		to.Frozen = *s.Frozen
	}
}

// report returns the current state of the line.
func (l *Line) report() LineReport {
	shape := l.Shape()
	fromA, fromB := l.Bytes()
	return LineReport{
		Name:           l.name,
		DelayMS:        float64(shape.Delay) / float64(time.Millisecond),
		BytesPerSecond: shape.BytesPerSecond,
		Cut:            shape.Cut,
		Frozen:         shape.Frozen,
		BytesAToB:      fromA,
		BytesBToA:      fromB,
	}
}

var errLineNotFound = errors.New("line not found")

// ControlHandler returns the handler of the control API: GET /lines, PUT /lines/{name}
// and POST /lines/{name}/reset.
func (f *Fabric) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lines", func(w http.ResponseWriter, _ *http.Request) {
		reports := []LineReport{f.direct.report()}
		for _, line := range f.config.Lines {
			reports = append(reports, f.lines[line.Name].report())
		}
		writeJSON(w, reports)
	})
	mux.HandleFunc("PUT /lines/{name}", f.lineHandler(func(line *Line, r *http.Request) error {
		var settings ShapeSettings
		if err := json.NewDecoder(r.Body).Decode(&settings); err != nil {
			return err
		}
		line.SetShape(settings.apply)
		return nil
	}))
	mux.HandleFunc("POST /lines/{name}/reset", f.lineHandler(func(line *Line, _ *http.Request) error {
		line.Reset()
		return nil
	}))
	return mux
}

// lineHandler returns a handler that runs a change of the line in the path and answers
// with the state of the line. It answers 404 for an unknown line.
func (f *Fabric) lineHandler(run func(*Line, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		line := f.Line(r.PathValue("name"))
		if line == nil {
			http.Error(w, errLineNotFound.Error(), http.StatusNotFound)
			return
		}
		if err := run(line, r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, line.report())
	}
}

// writeJSON answers 200 with a JSON body.
func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// ServeControl serves the control API on an IP:port until the process ends, and returns
// the address of the listener.
func (f *Fabric) ServeControl(address string) (net.Addr, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for link control: %w", err)
	}
	server := &http.Server{Handler: f.ControlHandler(), ReadHeaderTimeout: dialTimeout}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr(), nil
}
