// Command standin simulates the environment of laburnumrack in tests and demonstrations:
// the platform, targets and network links. It is not part of a deployment.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/standin/link"
	"github.com/laburnumrack/laburnumrack/internal/standin/platform"
	"github.com/laburnumrack/laburnumrack/internal/standin/target"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

type platformCommand struct {
	Listen string        `arg:"--listen,required" help:"IP:port of the service"`
	VMLag  time.Duration `arg:"--vm-lag" default:"0s" help:"lag of the list of VMs"`
	Events int           `arg:"--events" default:"10000" help:"number of past events that are kept for watches"`
	Seed   uint64        `arg:"--seed" default:"1" help:"seed of random faults"`
}

type targetCommand struct {
	Name         string        `arg:"--name,required" help:"name of the target"`
	Listen       string        `arg:"--listen,required" help:"IP:port of the PostgreSQL listener"`
	Control      string        `arg:"--control" help:"IP:port of the fault control API"`
	Slots        int           `arg:"--slots" default:"3" help:"maximum number of concurrent statements"`
	Connections  int           `arg:"--connections" default:"20" help:"maximum number of connections"`
	ConnectDelay time.Duration `arg:"--connect-delay" default:"12ms" help:"time to open a connection"`
	ServiceTime  time.Duration `arg:"--service-time" default:"2ms" help:"time to execute a statement"`
	ApplyDelay   time.Duration `arg:"--apply-delay" default:"0s" help:"delay of reads behind the log of the replica"`
	StreamDelay  time.Duration `arg:"--stream-delay" default:"0s" help:"delay of the log of the replica behind that of the primary"`
	PrimaryTerm  uint64        `arg:"--primary-term" default:"0" help:"start as the primary of this term"`
	Follow       string        `arg:"--follow" help:"start as a replica of the primary at this IP:port"`
	FollowTerm   uint64        `arg:"--follow-term" default:"1" help:"term of the followed primary"`
}

type linkCommand struct {
	Config  string `arg:"--config,required" help:"JSON file with places, lines and relays"`
	Control string `arg:"--control,required" help:"IP:port of the control API"`
}

type vmCommand struct {
	Platform      string `arg:"--platform,required" help:"IP:port of the platform"`
	Name          string `arg:"--name,required" help:"name of the VM"`
	Address       string `arg:"--address" help:"IP:port of the peer listener of the VM"`
	FailureDomain string `arg:"--failure-domain" help:"failure domain of the VM"`
	Leaving       bool   `arg:"--leaving" help:"list the VM as leaving"`
	Remove        bool   `arg:"--remove" help:"remove the VM from the list"`
}

type callCommand struct {
	Method string `arg:"positional,required" help:"GET, PUT, POST or DELETE"`
	URL    string `arg:"positional,required" help:"control address and path, such as 127.0.0.30:7000/faults"`
	Body   string `arg:"positional" help:"JSON body"`
}

type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"run the platform's object service"`
	Target   *targetCommand   `arg:"subcommand:target" help:"run one instance of a database group"`
	Link     *linkCommand     `arg:"subcommand:link" help:"run relays that delay and cut traffic"`
	VM       *vmCommand       `arg:"subcommand:vm" help:"change a running platform's list of VMs and exit"`
	Call     *callCommand     `arg:"subcommand:call" help:"call the control API of a running stand-in and exit"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if parser.Subcommand() == nil {
		parser.Fail("expected platform, target, link, vm or call")
	}
	stop, err := run(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	if stop == nil {
		return
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	stop()
}

// run executes the subcommand. It returns a function that stops a stand-in that it started,
// or nil if the subcommand has completed.
func run(args arguments) (func(), error) {
	switch {
	case args.Platform != nil:
		return args.Platform.start()
	case args.Target != nil:
		return args.Target.start()
	case args.Link != nil:
		return args.Link.start()
	case args.VM != nil:
		return nil, args.VM.run()
	default:
		return nil, args.Call.run()
	}
}

func (c *platformCommand) start() (func(), error) {
	p, err := platform.Start(platform.Config{Address: c.Listen, VMLag: c.VMLag, EventsKept: c.Events, Seed: c.Seed})
	if err != nil {
		return nil, err
	}
	return p.Close, nil
}

func (c *targetCommand) start() (func(), error) {
	config := target.Config{
		Name:           c.Name,
		Address:        c.Listen,
		ControlAddress: c.Control,
		Slots:          c.Slots,
		Connections:    c.Connections,
		ConnectDelay:   noneIfZero(c.ConnectDelay),
		ServiceTime:    c.ServiceTime,
		PrimaryTerm:    position.Term(c.PrimaryTerm),
	}
	if c.Follow != "" {
		address, err := netip.ParseAddrPort(c.Follow)
		if err != nil {
			return nil, fmt.Errorf("--follow %q: expected IP:port", c.Follow)
		}
		config.Follow, config.FollowTerm = address, position.Term(c.FollowTerm)
	}
	instance, err := target.Start(config)
	if err != nil {
		return nil, err
	}
	instance.SetFaults(func(f *target.Faults) { f.ApplyDelay, f.StreamDelay = c.ApplyDelay, c.StreamDelay })
	return instance.Close, nil
}

// noneIfZero converts a zero delay of the command line to -1, which means no delay in
// target.Config; there zero selects the default.
func noneIfZero(d time.Duration) time.Duration {
	if d == 0 {
		return -1
	}
	return d
}

func (c *linkCommand) start() (func(), error) {
	content, err := os.ReadFile(c.Config)
	if err != nil {
		return nil, err
	}
	var config link.Config
	if err := json.Unmarshal(content, &config); err != nil {
		return nil, fmt.Errorf("%s: %w", c.Config, err)
	}
	fabric, err := link.StartFabric(config)
	if err != nil {
		return nil, err
	}
	if _, err := fabric.ServeControl(c.Control); err != nil {
		fabric.Close()
		return nil, err
	}
	return fabric.Close, nil
}

// run adds, changes or removes one VM in the platform's list of VMs.
func (c *vmCommand) run() error {
	vm := store.VM{Address: c.Address, FailureDomain: c.FailureDomain, State: store.VMLive}
	method := http.MethodPut
	if c.Leaving {
		vm.State = store.VMLeaving
	}
	if c.Remove {
		method = http.MethodDelete
	}
	body, err := json.Marshal(vm)
	if err != nil {
		return err
	}
	_, err = call(method, c.Platform+"/vms/"+url.PathEscape(c.Name), body)
	return err
}

// run calls a control API and prints the response body.
func (c *callCommand) run() error {
	response, err := call(c.Method, c.URL, []byte(c.Body))
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(response)
	return err
}

// call sends a request to a control API and returns the response body. A status of 400 or
// above is an error that contains the body.
func call(method, address string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, "http://"+address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= http.StatusBadRequest {
		err = fmt.Errorf("%s %s: %s: %s", method, address, response.Status, responseBody)
	}
	return responseBody, err
}
