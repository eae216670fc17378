package bench

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/adapter/platform"
	"github.com/laburnumrack/laburnumrack/internal/configuration"
	standin "github.com/laburnumrack/laburnumrack/internal/standin/platform"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// ControlConfig sets up the measurement of what control costs a daemon.
type ControlCostConfig struct {
	// Binary is the path of laburnumrack, Logs a directory for its logs.
	Binary string
	LogDir string
	// Block is the second byte of the daemons' addresses.
	AddressBlock int
	// Daemons are the sizes of the fleet, Databases those of the configuration.
	Daemons   []int
	Databases []int
	// Length is the time of each phase, Settle that before the first.
	PhaseDuration time.Duration
	SettleTime    time.Duration
	// Changes and Replacements happen evenly within a phase of their own.
	Changes      int
	Replacements int
	// Probes is how many changes are timed until they are in force everywhere.
	Probes int
}

// controlDomains are the failure domains of the measured fleets.
var controlDomains = []string{"d1", "d2", "d3", "d4", "d5", "d6"}

// Phase names what goes on while the cost is measured.
type Phase string

// The phases of a measurement.
const (
	PhaseIdle    Phase = "idle"
	PhaseChanges Phase = "changes"
	PhaseChurn   Phase = "churn"
	PhaseOutage  Phase = "outage"
)

// ControlSample is the cost of control in one phase, for each daemon on average.
type ControlCostSample struct {
	Phase     Phase `json:"phase"`
	Daemons   int   `json:"daemons"`
	Databases int   `json:"databases"`
	// CPU is the share of a core.
	CPU float64 `json:"cpu"`
	// MemoryBytes is the resident memory.
	MemoryBytes float64 `json:"memory_bytes"`
	// PeerBytes counts what was sent to and received from peers in a second;
	// LargestPeerBytes is that of the busiest daemon.
	PeerBytes        float64 `json:"peer_bytes_per_second"`
	LargestPeerBytes float64 `json:"largest_peer_bytes_per_second"`
	// StoreBytes counts the bodies exchanged with the store in a second.
	StoreBytes float64 `json:"store_bytes_per_second"`
	// StoreReads and StoreWrites are calls of the whole fleet in a second, a
	// waiting watch counted as one read.
	StoreReads  float64 `json:"store_reads_per_second"`
	StoreWrites float64 `json:"store_writes_per_second"`
}

// ControlReport is the result of a measurement.
type ControlCostReport struct {
	Samples []ControlCostSample `json:"samples"`
	// InForce holds, by fleet size, how long changes took to be in force on the
	// last daemon.
	Propagation []ChangePropagation `json:"in_force"`
}

// InForce is the time of one change.
type ChangePropagation struct {
	Daemons  int           `json:"daemons"`
	Duration time.Duration `json:"took"`
}

// Control measures every size in turn.
func MeasureControlCost(ctx context.Context, config ControlCostConfig) (ControlCostReport, error) {
	var report ControlCostReport
	for _, databases := range config.Databases {
		for _, daemons := range config.Daemons {
			c := controlRun{config: config, daemons: daemons, databases: databases, report: &report}
			if err := c.run(ctx); err != nil {
				return report, fmt.Errorf("%d daemons, %d databases: %w", daemons, databases, err)
			}
		}
	}
	return report, nil
}

// controlRun measures one size.
type controlRun struct {
	config    ControlCostConfig
	daemons   int
	databases int
	report    *ControlCostReport

	platform *standin.Platform
	store    store.Store
	fleet    *Fleet
	policy   store.Revision
}

func (c *controlRun) run(ctx context.Context) error {
	p, err := standin.Start(standin.Config{})
	if err != nil {
		return err
	}
	defer p.Close()
	c.platform = p
	c.store, err = platform.New(platform.Options{URL: p.URL()})
	if err != nil {
		return err
	}
	if err := c.declare(ctx); err != nil {
		return err
	}
	c.fleet, err = StartFleet(ctx, FleetConfig{
		Binary:       c.config.Binary,
		LogDir:       c.config.LogDir,
		Domains:      controlDomains,
		AddressBlock: c.config.AddressBlock,
		Platform:     p,
	}, c.daemons)
	if err != nil {
		return err
	}
	defer c.fleet.Close()
	if err := sleep(ctx, c.config.SettleTime); err != nil {
		return err
	}
	return c.phases(ctx)
}

func (c *controlRun) phases(ctx context.Context) error {
	idle := func(context.Context) error { return nil }
	if err := c.measure(ctx, PhaseIdle, 1, idle); err != nil {
		return err
	}
	if err := c.measure(ctx, PhaseChanges, c.config.Changes, c.change); err != nil {
		return err
	}
	if err := c.probe(ctx); err != nil {
		return err
	}
	replace := func(context.Context) error { return c.fleet.Replace() }
	if err := c.measure(ctx, PhaseChurn, c.config.Replacements, replace); err != nil {
		return err
	}
	c.platform.SetFaults(standin.Faults{Outage: standin.OutageUnavailable})
	return c.measure(ctx, PhaseOutage, 1, idle)
}

// declare writes the configuration: services of ten databases of three targets.
func (c *controlRun) declare(ctx context.Context) error {
	documents := []configuration.Document{
		configuration.Region{Name: "r1", FailureDomains: controlDomains[:3]},
		configuration.Region{Name: "r2", FailureDomains: controlDomains[3:]},
	}
	const databasesPerService = 10
	for first := 0; first < c.databases; first += databasesPerService {
		service := configuration.Service{Name: fmt.Sprintf("s%d", first), State: configuration.ServiceActive}
		for n := first; n < min(first+databasesPerService, c.databases); n++ {
			service.Databases = append(service.Databases, benchDatabase(n))
		}
		documents = append(documents, service)
	}
	for _, d := range documents {
		value, err := configuration.Encode(d)
		if err != nil {
			return err
		}
		if _, err := c.store.Put(ctx, store.Object{Key: d.Key(), Value: value}); err != nil {
			return err
		}
	}
	return nil
}

func benchDatabase(n int) configuration.Database {
	d := configuration.Database{Name: fmt.Sprintf("db%d", n)}
	for k := range 3 {
		ip := netip.AddrFrom4([4]byte{127, 2, byte(k), byte(n%250 + 1)})
		d.Targets = append(d.Targets, configuration.Target{
			Name:          fmt.Sprintf("db%d-%d", n, k),
			Address:       netip.AddrPortFrom(ip, uint16(6000+n/250)),
			FailureDomain: controlDomains[(n+2*k)%len(controlDomains)],
			Slots:         3,
			Connections:   20,
		})
	}
	return d
}

// change writes another version of a read policy.
func (c *controlRun) change(ctx context.Context) error {
	policy := configuration.ReadPolicy{Name: "p", MaxAge: time.Duration(c.policy+1) * time.Second}
	value, err := configuration.Encode(policy)
	if err != nil {
		return err
	}
	o, err := c.store.Put(ctx, store.Object{Key: policy.Key(), Version: c.policy, Value: value})
	if err != nil {
		return err
	}
	c.policy = o.Version
	return nil
}

// probe times changes until they are in force on every daemon.
func (c *controlRun) probe(ctx context.Context) error {
	for range c.config.Probes {
		start := time.Now()
		if err := c.change(ctx); err != nil {
			return err
		}
		for _, vm := range c.fleet.VMs {
			if err := c.inForce(ctx, vm); err != nil {
				return err
			}
		}
		c.report.Propagation = append(c.report.Propagation, ChangePropagation{Daemons: c.daemons, Duration: time.Since(start)})
	}
	return nil
}

func (c *controlRun) inForce(ctx context.Context, vm *FleetVM) error {
	const gauge = "laburnumrack_config_revision"
	for {
		values := map[string]float64{}
		if err := scrapeOne(ctx, vm.Admin, []string{gauge}, values); err != nil {
			return err
		}
		if store.Revision(values[gauge]) >= c.policy {
			return nil
		}
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
}

// measure lets do happen count times, evenly within the phase, and adds a sample.
func (c *controlRun) measure(ctx context.Context, phase Phase, count int, do func(context.Context) error) error {
	before := c.scrape(ctx)
	calls := c.platform.Counters()
	start := time.Now()
	for range count {
		if err := do(ctx); err != nil {
			return err
		}
		if err := sleep(ctx, c.config.PhaseDuration/time.Duration(count)); err != nil {
			return err
		}
	}
	seconds := time.Since(start).Seconds()
	after := c.scrape(ctx)
	sample := ControlCostSample{Phase: phase, Daemons: c.daemons, Databases: c.databases}
	sample.addDaemons(before, after, seconds)
	sample.addStore(calls, c.platform.Counters(), seconds, c.daemons)
	c.report.Samples = append(c.report.Samples, sample)
	return nil
}

// usage is what one daemon has used so far.
type usage struct {
	cpuSeconds, memory, peerBytes float64
}

const (
	cpuMetric    = "process_cpu_seconds_total"
	memoryMetric = "process_resident_memory_bytes"
	bytesMetric  = "laburnumrack_peer_bytes"
)

func (c *controlRun) scrape(ctx context.Context) map[string]usage {
	all := map[string]usage{}
	for _, vm := range c.fleet.VMs {
		values := map[string]float64{}
		if err := scrapeOne(ctx, vm.Admin, []string{cpuMetric, memoryMetric, bytesMetric}, values); err != nil {
			continue
		}
		u := usage{cpuSeconds: values[cpuMetric], memory: values[memoryMetric]}
		for name, value := range values {
			if strings.HasPrefix(name, bytesMetric) {
				u.peerBytes += value
			}
		}
		all[vm.Name] = u
	}
	return all
}

// addDaemons averages over the daemons that lived through the phase.
func (s *ControlCostSample) addDaemons(before, after map[string]usage, seconds float64) {
	count := 0.0
	for name, b := range before {
		a, ok := after[name]
		if !ok {
			continue
		}
		count++
		bytes := (a.peerBytes - b.peerBytes) / seconds
		s.CPU += (a.cpuSeconds - b.cpuSeconds) / seconds
		s.MemoryBytes += a.memory
		s.PeerBytes += bytes
		s.LargestPeerBytes = max(s.LargestPeerBytes, bytes)
	}
	if count > 0 {
		s.CPU /= count
		s.MemoryBytes /= count
		s.PeerBytes /= count
	}
}

func (s *ControlCostSample) addStore(before, after standin.Counters, seconds float64, daemons int) {
	reads := after.Gets + after.Lists + after.Watches + after.VMs - before.Gets - before.Lists - before.Watches - before.VMs
	writes := after.Puts + after.Deletes - before.Puts - before.Deletes
	bytes := after.BytesIn + after.BytesOut - before.BytesIn - before.BytesOut
	s.StoreReads = float64(reads)/seconds + float64(after.Waiting)
	s.StoreWrites = float64(writes) / seconds
	s.StoreBytes = float64(bytes) / seconds / float64(daemons)
}

// WriteTable writes the report for a person.
func (r *ControlCostReport) WriteTable(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "phase\tdaemons\tdatabases\tcpu %\tmemory MB\tpeer B/s\tlargest B/s\tstore B/s\tstore reads/s\tstore writes/s\t")
	for _, s := range r.Samples {
		fmt.Fprintf(out, "%s\t%d\t%d\t%.3f\t%.1f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t\n", s.Phase, s.Daemons, s.Databases,
			100*s.CPU, s.MemoryBytes/1e6, s.PeerBytes, s.LargestPeerBytes, s.StoreBytes, s.StoreReads, s.StoreWrites)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	for _, f := range r.Propagation {
		fmt.Fprintf(w, "a change was in force on %d daemons after %v\n", f.Daemons, f.Duration.Round(time.Millisecond))
	}
	return nil
}
