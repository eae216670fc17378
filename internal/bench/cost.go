package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
)

// CostConfig describes a comparison of three ways to the same rows: straight to
// a target, through a bare relay of bytes, and through the proxy.
type CostConfig struct {
	Deployment Deployment
	Mix        Mix
	Database   string
	// Target is the IP:port of an instance of the database that may serve reads.
	Target string
	// Connections is how many statements run at once.
	Connections int
	// Slice is how long each way is measured in a round.
	SliceDuration time.Duration
	Rounds        int
}

// Way is one way to the rows.
type Path string

// The ways.
const (
	PathDirect Path = "direct"
	PathRelay  Path = "relay"
	PathProxy  Path = "proxy"
)

// WayReport is the cost of one way over all rounds.
type PathReport struct {
	Path       Path    `json:"way"`
	Statements int64   `json:"statements"`
	PerSecond  float64 `json:"statements_per_second"`
	// OfRelay is the throughput as a share of the bare relay's.
	ShareOfRelay float64 `json:"share_of_relay"`
	Latency      Latency `json:"latency"`
}

// CostReport is the outcome of a cost experiment.
type CostReport struct {
	Connections  int          `json:"connections"`
	Rounds       int          `json:"rounds"`
	SliceSeconds float64      `json:"slice_seconds"`
	Paths        []PathReport `json:"ways"`
}

// Cost measures the ways in turns. Each connection runs one statement after
// another.
func MeasureCost(ctx context.Context, config CostConfig) (CostReport, error) {
	report := CostReport{Connections: config.Connections, Rounds: config.Rounds, SliceSeconds: config.SliceDuration.Seconds()}
	load := &Load{Deployment: config.Deployment, Mix: config.Mix}
	load.Mix.Databases = []string{config.Database}
	if err := load.Prepare(ctx); err != nil {
		return report, err
	}
	relay, err := startRelay(config.Target)
	if err != nil {
		return report, err
	}
	defer relay.Close()
	ways := []Path{PathDirect, PathRelay, PathProxy}
	histograms := map[Path]*hdrhistogram.Histogram{}
	for _, way := range ways {
		histograms[way] = newHistogram()
	}
	for round := range config.Rounds {
		for i := range ways {
			way := ways[(i+round)%len(ways)]
			if err := config.slice(ctx, way, relay.Addr().String(), histograms[way]); err != nil {
				return report, fmt.Errorf("%s: %w", way, err)
			}
		}
	}
	for _, way := range ways {
		report.Paths = append(report.Paths, config.wayReport(way, histograms))
	}
	return report, nil
}

func (c *CostConfig) wayReport(way Path, histograms map[Path]*hdrhistogram.Histogram) PathReport {
	h := histograms[way]
	w := PathReport{Path: way, Statements: h.TotalCount(), Latency: latencyOf(h)}
	w.PerSecond = float64(w.Statements) / (c.SliceDuration.Seconds() * float64(c.Rounds))
	if relayed := histograms[PathRelay].TotalCount(); relayed > 0 {
		w.ShareOfRelay = float64(w.Statements) / float64(relayed)
	}
	return w
}

// readClass returns the first class of the mix that reads.
func (c *CostConfig) readClass() (*Class, error) {
	for i := range c.Mix.Classes {
		if c.Mix.Classes[i].Operation == Read {
			return &c.Mix.Classes[i], nil
		}
	}
	return nil, errors.New("the mix has no reads")
}

func (c *CostConfig) connect(ctx context.Context, way Path, relay, caller string) (*pgx.Conn, error) {
	switch way {
	case PathDirect:
		return pgx.Connect(ctx, "postgres://bench@"+c.Target+"/bench?sslmode=disable")
	case PathRelay:
		return pgx.Connect(ctx, "postgres://bench@"+relay+"/bench?sslmode=disable")
	default:
		return c.Deployment.connect(ctx, 0, caller, c.Mix.Service, c.Database)
	}
}

// slice measures one way for one slice of time.
func (c *CostConfig) slice(ctx context.Context, way Path, relay string, into *hdrhistogram.Histogram) error {
	class, err := c.readClass()
	if err != nil {
		return err
	}
	conns := make([]*pgx.Conn, c.Connections)
	for i := range conns {
		if conns[i], err = c.connect(ctx, way, relay, class.Caller); err != nil {
			return err
		}
		defer conns[i].Close(ctx)
	}
	errs := make([]error, len(conns))
	own := make([]*hdrhistogram.Histogram, len(conns))
	until := time.Now().Add(c.SliceDuration)
	var running sync.WaitGroup
	for i, conn := range conns {
		own[i] = newHistogram()
		running.Go(func() { errs[i] = readUntil(ctx, conn, class.Table, until, own[i]) })
	}
	running.Wait()
	for _, h := range own {
		into.Merge(h)
	}
	return errors.Join(errs...)
}

func readUntil(ctx context.Context, conn *pgx.Conn, table string, until time.Time, h *hdrhistogram.Histogram) error {
	query := "SELECT note FROM " + table + " WHERE id = $1"
	for row := 0; ; row = (row + 1) % readRows {
		begin := time.Now()
		if begin.After(until) {
			return nil
		}
		var note string
		if err := conn.QueryRow(ctx, query, rowID(row)).Scan(&note); err != nil {
			return err
		}
		record(h, time.Since(begin))
	}
}

// startRelay starts a bare relay of bytes to an address.
func startRelay(to string) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go relayBytes(conn, to)
		}
	}()
	return listener, nil
}

func relayBytes(conn net.Conn, to string) {
	defer conn.Close()
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(out, conn)
		_ = out.Close()
	}()
	_, _ = io.Copy(conn, out)
}

// WriteTable writes the report for a person.
func (r *CostReport) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%d connections, %d rounds of %.1f s each way\n", r.Connections, r.Rounds, r.SliceSeconds)
	for _, way := range r.Paths {
		fmt.Fprintf(w, "%-7s %9.0f statements/s  %5.1f%% of the relay  p50 %.3f ms  p99 %.3f ms\n",
			way.Path, way.PerSecond, 100*way.ShareOfRelay, way.Latency.P50, way.Latency.P99)
	}
	return nil
}
