// Command labbench runs load tests and experiments against a deployment and reports their
// measurements.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/laburnumrack/laburnumrack/internal/bench"
	"github.com/laburnumrack/laburnumrack/internal/experiment/intime"
)

// common holds the options that the experiments on a running deployment share.
type common struct {
	Entries        []string `arg:"--entry,separate,required" placeholder:"IP:PORT" help:"caller address of one daemon; repeat"`
	Admins         []string `arg:"--admin,separate" placeholder:"IP:PORT" help:"administration address of one daemon, for its metrics; repeat"`
	Mix            string   `arg:"--mix" default:"silotehnika" help:"workload: silotehnika or volta"`
	Rate           float64  `arg:"--rate" default:"100" placeholder:"N" help:"requests per second"`
	Seed           uint64   `arg:"--seed" default:"1" placeholder:"N" help:"seed of the arrivals"`
	Controls       []string `arg:"--control,separate" placeholder:"IP:PORT" help:"fault control address of one target; repeat"`
	Link           string   `arg:"--link" placeholder:"IP:PORT" help:"control address of the link stand-in, which counts bytes"`
	Warm           int      `arg:"--warm" default:"2" placeholder:"N" help:"connections that are opened before the run for each caller, database and daemon"`
	PasswordPrefix string   `arg:"--password-prefix" default:"demo-" placeholder:"TEXT" help:"prefix of the callers' passwords; a password is this text followed by the caller's name"`
	JSON           string   `arg:"--json" placeholder:"FILE" help:"write the report as JSON"`
	SVG            string   `arg:"--svg" placeholder:"FILE" help:"write a plot as SVG"`
}

func (c *common) deployment() bench.Deployment {
	return bench.Deployment{Gateways: c.Entries, Admins: c.Admins, PasswordPrefix: c.PasswordPrefix, Link: c.Link, Controls: c.Controls}
}

type loadCommand struct {
	common
	Duration time.Duration `arg:"--duration" default:"10s" help:"length of the run"`
	Roam     float64       `arg:"--roam" default:"0.3" placeholder:"SHARE" help:"share of sessions that read their own write through another daemon"`
	Return   bool          `arg:"--return" help:"refused callers retry after the delay that the refusal names"`
}

type failoverCommand struct {
	common
	Database string        `arg:"--database,required" placeholder:"NAME" help:"database whose primary fails; --control gives the addresses of its targets"`
	Fault    string        `arg:"--fault" default:"crash" help:"fault of the primary: crash or freeze"`
	Rounds   int           `arg:"--rounds" default:"5" placeholder:"N" help:"number of failovers"`
	Before   time.Duration `arg:"--before" default:"1s" help:"duration of writes before each fault"`
	After    time.Duration `arg:"--after" default:"5s" help:"duration of writes after each fault"`
}

type compareCommand struct {
	common
	Duration     time.Duration `arg:"--duration" default:"3s" help:"length of each run"`
	Rounds       int           `arg:"--rounds" default:"5" placeholder:"N" help:"number of pairs of runs"`
	OtherEntries []string      `arg:"--other-entry,separate" placeholder:"IP:PORT" help:"caller address of the other deployment; repeat; default: the same deployment"`
	OtherAdmins  []string      `arg:"--other-admin,separate" placeholder:"IP:PORT" help:"administration address of the other deployment; repeat"`
	OtherCallers []string      `arg:"--other-caller,separate" placeholder:"NAME=OTHER" help:"caller of the mix and the caller that replaces it in the other deployment; repeat"`
	Return       bool          `arg:"--return" help:"refused callers retry after the delay that the refusal names"`
}

type costCommand struct {
	common
	Database    string        `arg:"--database,required" placeholder:"NAME" help:"database to read"`
	Target      string        `arg:"--target,required" placeholder:"IP:PORT" help:"address of one target of the database"`
	Connections int           `arg:"--connections" default:"3" placeholder:"N" help:"number of concurrent statements"`
	Slice       time.Duration `arg:"--slice" default:"1s" help:"duration of each path in a round"`
	Rounds      int           `arg:"--rounds" default:"3" placeholder:"N" help:"number of rounds"`
}

type controlCommand struct {
	Binary       string        `arg:"--binary" default:"bin/laburnumrack" placeholder:"FILE" help:"binary of the daemon to measure"`
	Logs         string        `arg:"--logs" default:"out" placeholder:"DIR" help:"directory of the daemons' logs"`
	Block        int           `arg:"--block" default:"1" placeholder:"N" help:"second byte of the daemons' addresses, which start at 127.N.0.1"`
	Daemons      []int         `arg:"--daemons,separate" placeholder:"N" help:"number of daemons of a fleet; repeat"`
	Databases    []int         `arg:"--databases,separate" placeholder:"N" help:"number of databases of a configuration; repeat"`
	Length       time.Duration `arg:"--length" default:"15s" help:"length of each phase"`
	Settle       time.Duration `arg:"--settle" default:"10s" help:"time before the first phase"`
	Changes      int           `arg:"--changes" default:"15" placeholder:"N" help:"configuration changes in the phase of changes"`
	Replacements int           `arg:"--replacements" default:"3" placeholder:"N" help:"daemons replaced in the phase of replacements"`
	Probes       int           `arg:"--probes" default:"5" placeholder:"N" help:"configuration changes whose time until every daemon applies them is measured"`
	JSON         string        `arg:"--json" placeholder:"FILE" help:"write the report as JSON"`
}

type intimeCommand struct {
	Slots    int    `arg:"--slots" default:"3" placeholder:"N" help:"number of slots of the simulated target"`
	Requests int    `arg:"--requests" default:"1000" placeholder:"N" help:"number of requests per load"`
	Seed     uint64 `arg:"--seed" default:"1" placeholder:"N" help:"seed of the arrivals"`
	// Outage selects the report of an outage in place of the comparison of policies.
	Outage time.Duration `arg:"--outage" help:"print what can be served in time of each window with an outage of this length instead"`
	From   time.Duration `arg:"--from" default:"2s" help:"start of the outage"`
	Return time.Duration `arg:"--return" default:"400ms" help:"time after the outage within which the callers are back"`
	Load   float64       `arg:"--load" default:"0.6" placeholder:"SHARE" help:"load with an outage, as a share of the slots"`
	Window time.Duration `arg:"--window" default:"2s" help:"length of a window"`
}

type usageCommand struct {
	Admins []string      `arg:"--admin,separate,required" placeholder:"IP:PORT" help:"administration address of one daemon; repeat"`
	Length time.Duration `arg:"--length" default:"10s" help:"duration of the measurement"`
}

type readyCommand struct {
	common
}

type arguments struct {
	Ready    *readyCommand    `arg:"subcommand:ready" help:"check that every daemon serves every database"`
	Load     *loadCommand     `arg:"subcommand:load" help:"run the workload of one user and check its outcome"`
	Failover *failoverCommand `arg:"subcommand:failover" help:"make the primary fail and measure the gap between acknowledged writes"`
	Compare  *compareCommand  `arg:"subcommand:compare" help:"measure two deployments or policies in alternation"`
	Cost     *costCommand     `arg:"subcommand:cost" help:"compare the proxy with a plain relay and a direct connection"`
	Control  *controlCommand  `arg:"subcommand:control" help:"start fleets of daemons and measure what their control traffic costs"`
	Usage    *usageCommand    `arg:"subcommand:usage" help:"measure the resource usage of the daemons"`
	Losses   *lossesCommand   `arg:"subcommand:losses" help:"print when, where and why requests were not served, from the logs of daemons"`
	InTime   *intimeCommand   `arg:"subcommand:intime" help:"simulate queue policies and compare them with a clairvoyant bound"`
}

// errChecksFailed reports that the deployment violated a guarantee. The report names the
// failed checks.
var errChecksFailed = errors.New("a check of the report failed")

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case args.Load != nil:
		err = args.Load.run(ctx)
	case args.Failover != nil:
		err = args.Failover.run(ctx)
	case args.Compare != nil:
		err = args.Compare.run(ctx)
	case args.Cost != nil:
		err = args.Cost.run(ctx)
	case args.Ready != nil:
		err = args.Ready.run(ctx)
	case args.Control != nil:
		err = args.Control.run(ctx)
	case args.Usage != nil:
		err = args.Usage.run(ctx)
	case args.Losses != nil:
		err = args.Losses.run()
	case args.InTime != nil:
		err = args.InTime.run()
	default:
		parser.Fail("expected ready, load, failover, compare, cost, control, usage or intime")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "labbench:", err)
		os.Exit(1)
	}
}

// newRunPrefix returns a prefix for request ids that differs between runs, so that the ids
// of two runs on one deployment do not collide.
func newRunPrefix() string {
	return "r" + strconv.FormatInt(time.Now().UnixMilli(), 36) + "-"
}

func (c *readyCommand) run(ctx context.Context) error {
	mix, err := bench.MixByName(c.Mix)
	if err != nil {
		return err
	}
	return bench.CheckReady(ctx, c.deployment(), mix)
}

func (c *loadCommand) run(ctx context.Context) error {
	mix, err := bench.MixByName(c.Mix)
	if err != nil {
		return err
	}
	report, results, err := bench.MeasureLoad(ctx, bench.LoadConfig{
		Deployment:      c.deployment(),
		Plan:            bench.PlanConfig{Mix: mix, Rate: c.Rate, Duration: c.Duration, RoamingShare: c.Roam, Seed: c.Seed, Prefix: newRunPrefix()},
		RetryRefused:    c.Return,
		WarmConnections: c.Warm,
	})
	if err != nil {
		return err
	}
	plot := bench.Plot{Title: "latency of " + mix.Name, XLabel: "percentile", YLabel: "ms", Series: bench.LatencySeries(mix, results)}
	return c.writeReport(&report, &plot, report.Checks.OK())
}

func (c *failoverCommand) run(ctx context.Context) error {
	mix, err := bench.MixByName(c.Mix)
	if err != nil {
		return err
	}
	report, err := bench.MeasureFailover(ctx, bench.FailoverConfig{
		Deployment: c.deployment(), Mix: mix, Database: c.Database, Controls: c.Controls, Fault: bench.Fault(c.Fault),
		Rounds: c.Rounds, Rate: c.Rate, Before: c.Before, After: c.After, Seed: c.Seed, Prefix: newRunPrefix(), WarmConnections: c.Warm,
	})
	if err != nil {
		return err
	}
	ok := true
	for _, round := range report.Rounds {
		ok = ok && round.Checks.OK()
	}
	plot := bench.Plot{Title: "failover gap", XLabel: "percentile", YLabel: "ms", Series: report.GapSeries()}
	return c.writeReport(&report, &plot, ok)
}

func (c *compareCommand) run(ctx context.Context) error {
	mix, err := bench.MixByName(c.Mix)
	if err != nil {
		return err
	}
	other := c.deployment()
	if len(c.OtherEntries) > 0 {
		other.Gateways, other.Admins = c.OtherEntries, c.OtherAdmins
	}
	if other.CallerAliases, err = parseCallerPairs(c.OtherCallers); err != nil {
		return err
	}
	report, err := bench.Compare(ctx, bench.CompareConfig{
		A: c.deployment(), B: other, Rounds: c.Rounds, RetryRefused: c.Return, WarmConnections: c.Warm,
		Plan: bench.PlanConfig{Mix: mix, Rate: c.Rate, Duration: c.Duration, Seed: c.Seed, Prefix: newRunPrefix()},
	})
	if err != nil {
		return err
	}
	ok := true
	for _, round := range report.Rounds {
		ok = ok && round.A.Checks.OK() && round.B.Checks.OK()
	}
	return c.writeReport(&report, nil, ok)
}

// parseCallerPairs parses NAME=OTHER arguments into a map from NAME to OTHER.
func parseCallerPairs(arguments []string) (map[string]string, error) {
	out := map[string]string{}
	for _, argument := range arguments {
		name, other, ok := strings.Cut(argument, "=")
		if !ok {
			return nil, fmt.Errorf("--other-caller %q: expected NAME=OTHER", argument)
		}
		out[name] = other
	}
	return out, nil
}

func (c *costCommand) run(ctx context.Context) error {
	mix, err := bench.MixByName(c.Mix)
	if err != nil {
		return err
	}
	report, err := bench.MeasureCost(ctx, bench.CostConfig{
		Deployment: c.deployment(), Mix: mix, Database: c.Database, Target: c.Target,
		Connections: c.Connections, SliceDuration: c.Slice, Rounds: c.Rounds,
	})
	if err != nil {
		return err
	}
	return c.writeReport(&report, nil, true)
}

// tableWriter is a report that can be written as a plain-text table.
type tableWriter interface {
	WriteTable(io.Writer) error
}

// writeReport writes the report as a table to standard output, and as JSON and SVG to the
// files of the options. It returns errChecksFailed if ok is false.
func (c *common) writeReport(report tableWriter, plot *bench.Plot, ok bool) error {
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeFile(c.JSON, func(w io.Writer) error { return bench.WriteJSON(w, report) }); err != nil {
			return err
		}
	}
	if c.SVG != "" && plot != nil {
		if err := writeFile(c.SVG, plot.WriteSVG); err != nil {
			return err
		}
	}
	if !ok {
		return errChecksFailed
	}
	return nil
}

func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}

func (c *controlCommand) run(ctx context.Context) error {
	if err := os.MkdirAll(c.Logs, 0o755); err != nil {
		return err
	}
	report, err := bench.MeasureControlCost(ctx, bench.ControlCostConfig{
		Binary:        c.Binary,
		LogDir:        c.Logs,
		AddressBlock:  c.Block,
		Daemons:       c.Daemons,
		Databases:     c.Databases,
		PhaseDuration: c.Length,
		SettleTime:    c.Settle,
		Changes:       c.Changes,
		Replacements:  c.Replacements,
		Probes:        c.Probes,
	})
	if err != nil {
		return err
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if c.JSON == "" {
		return nil
	}
	file, err := os.Create(c.JSON)
	if err != nil {
		return err
	}
	return errors.Join(bench.WriteJSON(file, report), file.Close())
}

func (c *intimeCommand) run() error {
	if c.Outage > 0 {
		o := intime.Outage{From: c.From, Length: c.Outage, Return: c.Return}
		return intime.WriteOutageReport(os.Stdout, intime.Hakata(), c.Slots, c.Requests, c.Load, o, c.Window, c.Seed)
	}
	mixes := []struct {
		name string
		mix  []intime.Class
	}{
		{"silotehnika", intime.Silotehnika()},
		{"volta", intime.Volta()},
	}
	for _, m := range mixes {
		if err := intime.WriteReport(os.Stdout, m.name, m.mix, c.Slots, c.Requests, c.Seed); err != nil {
			return err
		}
		if err := intime.WriteRetryReport(os.Stdout, m.name, m.mix, c.Slots, c.Requests, c.Seed); err != nil {
			return err
		}
	}
	return nil
}

func (c *usageCommand) run(ctx context.Context) error {
	usage, err := bench.MeasureUsage(ctx, c.Admins, c.Length)
	if err != nil {
		return err
	}
	return usage.WriteTable(os.Stdout)
}
