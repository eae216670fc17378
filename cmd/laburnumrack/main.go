// Command laburnumrack is a database proxy with session consistency.
//
// Its subcommands are node, which runs the daemon on the VMs of the users' platform; serve,
// which runs it in a standalone deployment; ctl, which sends statements of operators; check,
// which validates settings and statement files; story, which prints the log lines of one
// request; and version.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/buildinfo"
	"github.com/laburnumrack/laburnumrack/internal/ctl"
	"github.com/laburnumrack/laburnumrack/internal/daemon"
	"github.com/laburnumrack/laburnumrack/internal/node"
	"github.com/laburnumrack/laburnumrack/internal/requesttrace"
	"github.com/laburnumrack/laburnumrack/internal/settings"
	"github.com/laburnumrack/laburnumrack/platform"
)

// Exit codes of the subcommands other than ctl.
const (
	exitFailure = 1
	exitFaults  = 2
)

type serveCommand struct {
	settings.Serve
}

type ctlCommand struct {
	Statement string        `arg:"positional" help:"statements, such as 'SHOW REPLICAS'"`
	File      string        `arg:"-f,--file" placeholder:"FILE" help:"statement file; - reads standard input"`
	Admin     []string      `arg:"--admin,env:LABURNUMRACK_ADMIN" placeholder:"IP:PORT" help:"administration addresses, tried in turn; separated by commas in the variable"`
	Secret    string        `arg:"--secret,env:LABURNUMRACK_OPERATOR_SECRET" placeholder:"TEXT" help:"secret of the operator"`
	JSON      bool          `arg:"--json" help:"print JSON instead of tables"`
	Batch     string        `arg:"--batch" placeholder:"ID" help:"name of an earlier request whose outcome is unknown; the same statements sent again with it determine the outcome"`
	Timeout   time.Duration `arg:"--timeout,env:LABURNUMRACK_CTL_TIMEOUT" placeholder:"DURATION" help:"time limit of the whole command" default:"30s"`
}

type checkCommand struct {
	settings.Serve
	Platform string   `arg:"--platform" placeholder:"FILE" help:"check a settings file of the users' platform"`
	Settings bool     `arg:"--settings" help:"check the settings of serve as well"`
	Files    []string `arg:"positional" placeholder:"FILE" help:"statement files, checked in order as one deployment; - reads standard input"`
}

type nodeCommand struct {
	SettingsFile  string `arg:"--settings-file,env:LABURNUMRACK_BOOT" placeholder:"FILE" help:"settings file of the users' platform"`
	MetricsListen string `arg:"--metrics-listen,env:LABURNUMRACK_METRICS_LISTEN" placeholder:"IP:PORT" help:"address that serves the metrics; not served if empty"`
	Log           string `arg:"--log,env:LABURNUMRACK_LOG" placeholder:"all|none" default:"all" help:"which log lines to write to standard output"`
}

type traceCommand struct {
	Request string   `arg:"positional,required" placeholder:"ID" help:"id of the request"`
	Files   []string `arg:"positional" placeholder:"FILE" help:"log files of daemons; standard input if none"`
}

type versionCommand struct{}

type arguments struct {
	Serve   *serveCommand   `arg:"subcommand:serve" help:"run the daemon in a standalone deployment"`
	Node    *nodeCommand    `arg:"subcommand:node" help:"run the daemon on the users' platform"`
	Ctl     *ctlCommand     `arg:"subcommand:ctl" help:"send statements to the administration API"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check settings and statement files"`
	Trace   *traceCommand   `arg:"subcommand:story" help:"print the log lines of one request from the logs of daemons, in order of time"`
	Version *versionCommand `arg:"subcommand:version" help:"print the version"`
}

// Description returns the text that go-arg prints above the help.
func (arguments) Description() string {
	return "laburnumrack is a database proxy with session consistency."
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	var code int
	switch {
	case args.Serve != nil:
		code = serve(&args.Serve.Serve)
	case args.Node != nil:
		code = serveNode(args.Node)
	case args.Ctl != nil:
		code = runCtl(args.Ctl)
	case args.Check != nil:
		code = check(args.Check)
	case args.Trace != nil:
		code = writeTrace(args.Trace)
	case args.Version != nil:
		fmt.Println(buildinfo.Name, buildinfo.Version())
	default:
		parser.WriteHelp(os.Stderr)
		code = exitFaults
	}
	os.Exit(code)
}

func serve(s *settings.Serve) int {
	if faults := s.Check(); len(faults) > 0 {
		fmt.Fprintln(os.Stderr, faults)
		return exitFaults
	}
	if err := daemon.SetUpLogging(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	defer klog.Flush()
	d, err := daemon.New(s)
	if err != nil {
		klog.Errorf("daemon: Start failed: %v.", err)
		return exitFailure
	}
	if err := d.Run(); err != nil {
		klog.Errorf("daemon: Stopped with an error: %v.", err)
		return exitFailure
	}
	return 0
}

func serveNode(c *nodeCommand) int {
	n, err := node.New(node.Options{SettingsPath: c.SettingsFile, MetricsListen: c.MetricsListen, Log: c.Log, Out: os.Stdout})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFaults
	}
	if err := n.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}

func writeTrace(c *traceCommand) int {
	logs := []io.Reader{os.Stdin}
	if len(c.Files) > 0 {
		logs = nil
	}
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFaults
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	if err := requesttrace.Write(os.Stdout, c.Request, logs...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}

func runCtl(c *ctlCommand) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := ctl.Run(ctx, ctl.Options{
		Addresses: c.Admin,
		Secret:    c.Secret,
		Statement: c.Statement,
		File:      c.File,
		Batch:     c.Batch,
		JSON:      c.JSON,
		Timeout:   c.Timeout,
		Out:       os.Stdout,
		In:        os.Stdin,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return ctl.ExitCode(err)
}

func check(c *checkCommand) int {
	var faults []error
	if c.Platform != "" {
		if _, err := platform.LoadSettings(c.Platform); err != nil {
			faults = append(faults, err)
		}
	}
	if c.Settings || (len(c.Files) == 0 && c.Platform == "") {
		if f := c.Check(); len(f) > 0 {
			faults = append(faults, f)
		}
	}
	if len(c.Files) > 0 {
		if err := ctl.CheckFiles(c.Files, os.Stdin); err != nil {
			faults = append(faults, err)
		}
	}
	if err := errors.Join(faults...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFaults
	}
	fmt.Println("no fault")
	return 0
}
