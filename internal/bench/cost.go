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

// CostConfig holds the parameters of a comparison of three network paths to the same
// rows: a direct connection to a target, a plain TCP relay, and the proxy.
type CostConfig struct {
	Deployment Deployment
	Mix        Mix
	Database   string
	// Target is the IP:port of a target of the database that serves reads.
	Target string
	// Connections is the number of connections, each of which runs one statement at a
	// time.
	Connections int
	// SliceDuration is the time for which each path is measured in a round.
	SliceDuration time.Duration
	Rounds        int
}

// Path is a network path from the load generator to the rows.
type Path string

// Measured paths.
const (
	PathDirect Path = "direct"
	PathRelay  Path = "relay"
	PathProxy  Path = "proxy"
)

// PathReport holds the throughput and latency of one path over all rounds.
type PathReport struct {
	Path       Path    `json:"way"`
	Statements int64   `json:"statements"`
	PerSecond  float64 `json:"statements_per_second"`
	// ShareOfRelay is the throughput divided by that of the relay, zero if the relay
	// completed no statement.
	ShareOfRelay float64 `json:"share_of_relay"`
	Latency      Latency `json:"latency"`
}

// CostReport is the result of MeasureCost.
type CostReport struct {
	Connections  int          `json:"connections"`
	Rounds       int          `json:"rounds"`
	SliceSeconds float64      `json:"slice_seconds"`
	Paths        []PathReport `json:"ways"`
}

// MeasureCost measures the paths one after another in every round. The first path
// changes from round to round, so that a drift of the machine affects all alike.
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
	paths := []Path{PathDirect, PathRelay, PathProxy}
	histograms := map[Path]*hdrhistogram.Histogram{}
	for _, path := range paths {
		histograms[path] = newHistogram()
	}
	for round := range config.Rounds {
		for i := range paths {
			path := paths[(i+round)%len(paths)]
			if err := config.measureSlice(ctx, path, relay.Addr().String(), histograms[path]); err != nil {
				return report, fmt.Errorf("measure path %s: %w", path, err)
			}
		}
	}
	for _, path := range paths {
		report.Paths = append(report.Paths, config.pathReport(path, histograms))
	}
	return report, nil
}

func (c *CostConfig) pathReport(path Path, histograms map[Path]*hdrhistogram.Histogram) PathReport {
	h := histograms[path]
	w := PathReport{Path: path, Statements: h.TotalCount(), Latency: newLatency(h)}
	w.PerSecond = float64(w.Statements) / (c.SliceDuration.Seconds() * float64(c.Rounds))
	if relayed := histograms[PathRelay].TotalCount(); relayed > 0 {
		w.ShareOfRelay = float64(w.Statements) / float64(relayed)
	}
	return w
}

// readClass returns the first class of the mix with operation Read.
func (c *CostConfig) readClass() (*Class, error) {
	for i := range c.Mix.Classes {
		if c.Mix.Classes[i].Operation == Read {
			return &c.Mix.Classes[i], nil
		}
	}
	return nil, errors.New("the mix has no class with operation read")
}

// connect opens a connection over a path. relay is the IP:port of the relay.
func (c *CostConfig) connect(ctx context.Context, path Path, relay, caller string) (*pgx.Conn, error) {
	switch path {
	case PathDirect:
		return pgx.Connect(ctx, "postgres://bench@"+c.Target+"/bench?sslmode=disable")
	case PathRelay:
		return pgx.Connect(ctx, "postgres://bench@"+relay+"/bench?sslmode=disable")
	default:
		return c.Deployment.connect(ctx, 0, caller, c.Mix.Service, c.Database)
	}
}

// measureSlice measures one path for SliceDuration and adds the latencies to total.
func (c *CostConfig) measureSlice(ctx context.Context, path Path, relay string, total *hdrhistogram.Histogram) error {
	class, err := c.readClass()
	if err != nil {
		return err
	}
	conns := make([]*pgx.Conn, c.Connections)
	for i := range conns {
		if conns[i], err = c.connect(ctx, path, relay, class.Caller); err != nil {
			return err
		}
		defer conns[i].Close(ctx)
	}
	errs := make([]error, len(conns))
	perConn := make([]*hdrhistogram.Histogram, len(conns))
	until := time.Now().Add(c.SliceDuration)
	var running sync.WaitGroup
	for i, conn := range conns {
		perConn[i] = newHistogram()
		running.Go(func() { errs[i] = readUntil(ctx, conn, class.Table, until, perConn[i]) })
	}
	running.Wait()
	for _, h := range perConn {
		total.Merge(h)
	}
	return errors.Join(errs...)
}

// readUntil reads the prepared rows in turn until the given time.
func readUntil(ctx context.Context, conn *pgx.Conn, table string, until time.Time, h *hdrhistogram.Histogram) error {
	query := "SELECT note FROM " + table + " WHERE id = $1"
	for row := 0; ; row = (row + 1) % preparedReadRows {
		begin := time.Now()
		if begin.After(until) {
			return nil
		}
		var note string
		if err := conn.QueryRow(ctx, query, rowID(row)).Scan(&note); err != nil {
			return err
		}
		recordLatency(h, time.Since(begin))
	}
}

// startRelay starts a TCP relay to the target's IP:port. Once the returned listener is
// closed, the relay accepts no more connections.
func startRelay(target string) (net.Listener, error) {
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
			go relayBytes(conn, target)
		}
	}()
	return listener, nil
}

// relayBytes copies bytes in both directions until one side closes its connection.
func relayBytes(conn net.Conn, target string) {
	defer conn.Close()
	out, err := net.Dial("tcp", target)
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

// WriteTable writes the report as a text table.
func (r *CostReport) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%d connections, %d rounds of %.1f s each way\n", r.Connections, r.Rounds, r.SliceSeconds)
	for _, path := range r.Paths {
		fmt.Fprintf(w, "%-7s %9.0f statements/s  %5.1f%% of the relay  p50 %.3f ms  p99 %.3f ms\n",
			path.Path, path.PerSecond, 100*path.ShareOfRelay, path.Latency.P50, path.Latency.P99)
	}
	return nil
}
