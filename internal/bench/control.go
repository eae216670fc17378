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

// ControlCostConfig holds the parameters of MeasureControlCost.
type ControlCostConfig struct {
	// Binary is the path of the laburnumrack executable. LogDir is an existing
	// directory for the log files of the daemons.
	Binary string
	LogDir string
	// AddressBlock is the second byte of the daemons' loopback addresses.
	AddressBlock int
	// Daemons are the fleet sizes and Databases the numbers of declared databases. Every
	// combination of the two is measured.
	Daemons   []int
	Databases []int
	// PhaseDuration is the duration of each phase. SettleTime is the wait between the
	// start of a fleet and its first phase.
	PhaseDuration time.Duration
	SettleTime    time.Duration
	// Changes is the number of configuration changes in PhaseChanges. Replacements is
	// the number of daemon replacements in PhaseChurn. Both are evenly spaced.
	Changes      int
	Replacements int
	// Probes is the number of changes whose propagation to every daemon is timed.
	Probes int
}

// controlDomains are the failure domains that the daemons and targets are spread over.
var controlDomains = []string{"d1", "d2", "d3", "d4", "d5", "d6"}

// Phase is the activity during which the cost is measured.
type Phase string

// Phases of a measurement, in the order in which they run.
const (
	// PhaseIdle has no activity.
	PhaseIdle Phase = "idle"
	// PhaseChanges writes configuration changes.
	PhaseChanges Phase = "changes"
	// PhaseChurn replaces daemons.
	PhaseChurn Phase = "churn"
	// PhaseOutage makes the store unavailable.
	PhaseOutage Phase = "outage"
)

// ControlCostSample is the cost of the control plane in one phase. Values are averages
// per daemon unless stated otherwise.
type ControlCostSample struct {
	Phase     Phase `json:"phase"`
	Daemons   int   `json:"daemons"`
	Databases int   `json:"databases"`
	// CPU is the used share of one core; 1 is a whole core.
	CPU float64 `json:"cpu"`
	// MemoryBytes is the resident memory at the end of the phase.
	MemoryBytes float64 `json:"memory_bytes"`
	// PeerBytes is the traffic to and from peers in bytes per second. LargestPeerBytes
	// is that of the daemon with the most traffic.
	PeerBytes        float64 `json:"peer_bytes_per_second"`
	LargestPeerBytes float64 `json:"largest_peer_bytes_per_second"`
	// StoreBytes is the size of the request and response bodies exchanged with the
	// store, in bytes per second.
	StoreBytes float64 `json:"store_bytes_per_second"`
	// StoreReads and StoreWrites are calls per second of the whole fleet. Each watch
	// that is waiting at the end of the phase adds one to StoreReads.
	StoreReads  float64 `json:"store_reads_per_second"`
	StoreWrites float64 `json:"store_writes_per_second"`
}

// ControlCostReport is the result of MeasureControlCost.
type ControlCostReport struct {
	Samples []ControlCostSample `json:"samples"`
	// Propagation has one entry per probe of each measured fleet.
	Propagation []ChangePropagation `json:"in_force"`
}

// ChangePropagation is the time from the write of a configuration change until it was
// in force on the last daemon.
type ChangePropagation struct {
	Daemons  int           `json:"daemons"`
	Duration time.Duration `json:"took"`
}

// MeasureControlCost starts a fleet for every combination of fleet size and number of
// databases, one after another, and measures the cost of its control plane. On an error
// the report holds the samples taken before it.
func MeasureControlCost(ctx context.Context, config ControlCostConfig) (ControlCostReport, error) {
	var report ControlCostReport
	for _, databases := range config.Databases {
		for _, daemons := range config.Daemons {
			c := controlCostRun{config: config, daemons: daemons, databases: databases, report: &report}
			if err := c.run(ctx); err != nil {
				return report, fmt.Errorf("measure control cost of %d daemons with %d databases: %w", daemons, databases, err)
			}
		}
	}
	return report, nil
}

// controlCostRun measures one combination of fleet size and number of databases.
type controlCostRun struct {
	config    ControlCostConfig
	daemons   int
	databases int
	report    *ControlCostReport

	platform       *standin.Platform
	store          store.Store
	fleet          *Fleet
	policyRevision store.Revision
}

// run starts the platform and the fleet, waits until they settle, and measures all phases.
func (c *controlCostRun) run(ctx context.Context) error {
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
	return c.measurePhases(ctx)
}

func (c *controlCostRun) measurePhases(ctx context.Context) error {
	idle := func(context.Context) error { return nil }
	if err := c.measurePhase(ctx, PhaseIdle, 1, idle); err != nil {
		return err
	}
	if err := c.measurePhase(ctx, PhaseChanges, c.config.Changes, c.changePolicy); err != nil {
		return err
	}
	if err := c.measurePropagation(ctx); err != nil {
		return err
	}
	replace := func(context.Context) error { return c.fleet.Replace() }
	if err := c.measurePhase(ctx, PhaseChurn, c.config.Replacements, replace); err != nil {
		return err
	}
	c.platform.SetFaults(standin.Faults{Outage: standin.OutageUnavailable})
	return c.measurePhase(ctx, PhaseOutage, 1, idle)
}

// declare writes the configuration: the regions, and services of ten databases with
// three targets each.
func (c *controlCostRun) declare(ctx context.Context) error {
	documents := []configuration.Document{
		configuration.Region{Name: "r1", FailureDomains: controlDomains[:3]},
		configuration.Region{Name: "r2", FailureDomains: controlDomains[3:]},
	}
	const databasesPerService = 10
	for first := 0; first < c.databases; first += databasesPerService {
		service := configuration.Service{Name: fmt.Sprintf("s%d", first), State: configuration.ServiceActive}
		for n := first; n < min(first+databasesPerService, c.databases); n++ {
			service.Databases = append(service.Databases, newDatabase(n))
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

// newDatabase returns a database with three targets in different failure domains. No
// process listens at the addresses of the targets.
func newDatabase(n int) configuration.Database {
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

// changePolicy writes a new version of a read policy.
func (c *controlCostRun) changePolicy(ctx context.Context) error {
	policy := configuration.ReadPolicy{Name: "p", MaxAge: time.Duration(c.policyRevision+1) * time.Second}
	value, err := configuration.Encode(policy)
	if err != nil {
		return err
	}
	o, err := c.store.Put(ctx, store.Object{Key: policy.Key(), Version: c.policyRevision, Value: value})
	if err != nil {
		return err
	}
	c.policyRevision = o.Version
	return nil
}

// measurePropagation times each probe change until it is in force on every daemon.
func (c *controlCostRun) measurePropagation(ctx context.Context) error {
	for range c.config.Probes {
		start := time.Now()
		if err := c.changePolicy(ctx); err != nil {
			return err
		}
		for _, vm := range c.fleet.VMs {
			if err := c.waitInForce(ctx, vm); err != nil {
				return err
			}
		}
		c.report.Propagation = append(c.report.Propagation, ChangePropagation{Daemons: c.daemons, Duration: time.Since(start)})
	}
	return nil
}

// waitInForce waits until a daemon reports the revision of the last change or a later
// one.
func (c *controlCostRun) waitInForce(ctx context.Context, vm *FleetVM) error {
	const gauge = "laburnumrack_config_revision"
	for {
		values := map[string]float64{}
		if err := scrapeDaemon(ctx, vm.Admin, []string{gauge}, values); err != nil {
			return err
		}
		if store.Revision(values[gauge]) >= c.policyRevision {
			return nil
		}
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
}

// measurePhase calls action count times, evenly spaced over the phase, and adds a sample
// to the report.
func (c *controlCostRun) measurePhase(ctx context.Context, phase Phase, count int, action func(context.Context) error) error {
	before := c.scrape(ctx)
	calls := c.platform.Counters()
	start := time.Now()
	for range count {
		if err := action(ctx); err != nil {
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

// daemonUsage holds the cumulative processor time and peer traffic of one daemon, and its
// current memory.
type daemonUsage struct {
	cpuSeconds, memory, peerBytes float64
}

// Metrics that daemonUsage is computed from.
const (
	cpuMetric       = "process_cpu_seconds_total"
	memoryMetric    = "process_resident_memory_bytes"
	peerBytesMetric = "laburnumrack_peer_bytes"
)

// scrape returns the usage of every daemon that answers, by VM name.
func (c *controlCostRun) scrape(ctx context.Context) map[string]daemonUsage {
	all := map[string]daemonUsage{}
	for _, vm := range c.fleet.VMs {
		values := map[string]float64{}
		if err := scrapeDaemon(ctx, vm.Admin, []string{cpuMetric, memoryMetric, peerBytesMetric}, values); err != nil {
			continue
		}
		u := daemonUsage{cpuSeconds: values[cpuMetric], memory: values[memoryMetric]}
		for name, value := range values {
			if strings.HasPrefix(name, peerBytesMetric) {
				u.peerBytes += value
			}
		}
		all[vm.Name] = u
	}
	return all
}

// addDaemons sets the averages per daemon. Daemons that were not scraped both before and
// after the phase are left out, since they were started or stopped within it.
func (s *ControlCostSample) addDaemons(before, after map[string]daemonUsage, seconds float64) {
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

// addStore sets the store traffic from the counters of the platform.
func (s *ControlCostSample) addStore(before, after standin.Counters, seconds float64, daemons int) {
	reads := after.Gets + after.Lists + after.Watches + after.VMs - before.Gets - before.Lists - before.Watches - before.VMs
	writes := after.Puts + after.Deletes - before.Puts - before.Deletes
	bytes := after.BytesIn + after.BytesOut - before.BytesIn - before.BytesOut
	s.StoreReads = float64(reads)/seconds + float64(after.Waiting)
	s.StoreWrites = float64(writes) / seconds
	s.StoreBytes = float64(bytes) / seconds / float64(daemons)
}

// WriteTable writes the report as a text table.
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
