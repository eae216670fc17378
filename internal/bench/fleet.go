package bench

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	platform "github.com/laburnumrack/laburnumrack/internal/standin/platform"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Ports, addresses and timeouts of the daemons of a Fleet.
const (
	fleetCallerPort = 6432
	fleetPeerPort   = 6433
	fleetAdminPort  = 6434
	// vmsPerBlock is the number of VMs whose addresses have the same third byte.
	vmsPerBlock       = 200
	readyPollInterval = 100 * time.Millisecond
	fleetReadyTimeout = 60 * time.Second
)

// FleetSecret is the operator secret of the daemons of a Fleet.
const FleetSecret = "bench"

// FleetConfig holds the parameters of a Fleet.
type FleetConfig struct {
	// Binary is the path of the laburnumrack executable. LogDir is an existing
	// directory for the log files of the daemons.
	Binary string
	LogDir string
	// Domains are the failure domains that the VMs are assigned to in turn.
	Domains []string
	// AddressBlock is the second byte of the VMs' loopback addresses. Fleets that run at
	// the same time need different ones.
	AddressBlock int
	Platform     *platform.Platform
}

// Fleet is a set of daemons that run as processes with a simulated platform. It is not
// safe for concurrent use.
type Fleet struct {
	config     FleetConfig
	nextNumber int
	// VMs are the running daemons in the order of their start.
	VMs []*FleetVM
}

// FleetVM is one running daemon.
type FleetVM struct {
	Name          string
	FailureDomain string
	// Caller, Peer and Admin are the IP:port of its listeners.
	Caller string
	Peer   string
	Admin  string

	command *exec.Cmd
	done    chan struct{}
}

// StartFleet starts count daemons and waits until all are ready. On an error it stops
// those that it started.
func StartFleet(ctx context.Context, config FleetConfig, count int) (*Fleet, error) {
	f := &Fleet{config: config}
	for range count {
		if _, err := f.Add(); err != nil {
			f.Close()
			return nil, err
		}
	}
	if err := f.Ready(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Add starts a daemon with a new name and address and with additional command-line
// arguments, and adds it to the platform's list of VMs. It does not wait until the daemon
// is ready.
func (f *Fleet) Add(arguments ...string) (*FleetVM, error) {
	number := f.nextNumber
	f.nextNumber++
	ip := fmt.Sprintf("127.%d.%d.%d", f.config.AddressBlock, number/vmsPerBlock, number%vmsPerBlock+1)
	vm := &FleetVM{
		Name:          fmt.Sprintf("vm%d", number),
		FailureDomain: f.config.Domains[number%len(f.config.Domains)],
		Caller:        fmt.Sprintf("%s:%d", ip, fleetCallerPort),
		Peer:          fmt.Sprintf("%s:%d", ip, fleetPeerPort),
		Admin:         fmt.Sprintf("%s:%d", ip, fleetAdminPort),
		done:          make(chan struct{}),
	}
	vm.command = exec.Command(f.config.Binary, append([]string{
		"serve",
		"--vm-name", vm.Name,
		"--failure-domain", vm.FailureDomain,
		"--caller-listen", vm.Caller,
		"--peer-listen", vm.Peer,
		"--admin-listen", vm.Admin,
		"--platform-url", f.config.Platform.URL(),
		"--peer-insecure-shared-secret", "bench",
		"--bootstrap-secret", FleetSecret,
		"--token-key", "bench:" + strings.Repeat("07", 32),
	}, arguments...)...)
	log, err := os.Create(filepath.Join(f.config.LogDir, vm.Name+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log file of daemon %s: %w", vm.Name, err)
	}
	defer log.Close()
	vm.command.Stdout = log
	vm.command.Stderr = log
	if err := vm.command.Start(); err != nil {
		return nil, fmt.Errorf("start daemon %s: %w", vm.Name, err)
	}
	go func() {
		_ = vm.command.Wait()
		close(vm.done)
	}()
	f.config.Platform.PutVM(store.VM{Name: vm.Name, Address: vm.Peer, FailureDomain: vm.FailureDomain, State: store.VMLive})
	f.VMs = append(f.VMs, vm)
	return vm, nil
}

// Replace stops the oldest daemon with SIGTERM, as an upgrade does, removes it from the
// platform's list and starts a new daemon at another address.
func (f *Fleet) Replace() error {
	oldest := f.VMs[0]
	f.VMs = f.VMs[1:]
	oldest.stop()
	f.config.Platform.RemoveVM(oldest.Name)
	_, err := f.Add()
	return err
}

// Kill ends a daemon with SIGKILL. It stays in the platform's list of VMs.
func (f *Fleet) Kill(vm *FleetVM) {
	_ = vm.command.Process.Kill()
	<-vm.done
	f.VMs = slices.DeleteFunc(f.VMs, func(other *FleetVM) bool { return other == vm })
}

// stop sends SIGTERM to the daemon and waits until it exits.
func (vm *FleetVM) stop() {
	_ = vm.command.Process.Signal(syscall.SIGTERM)
	<-vm.done
}

// Close stops all daemons with SIGTERM and waits until they exit.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, vm := range f.VMs {
		wg.Go(vm.stop)
	}
	wg.Wait()
	f.VMs = nil
}

// Ready waits until every daemon reports that it is ready. It returns an error if ctx or
// fleetReadyTimeout ends first.
func (f *Fleet) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fleetReadyTimeout)
	defer cancel()
	for _, vm := range f.VMs {
		for !vm.isReady(ctx) {
			if err := sleep(ctx, readyPollInterval); err != nil {
				return fmt.Errorf("wait for daemon %s to become ready: %w", vm.Name, err)
			}
		}
	}
	return nil
}

func (vm *FleetVM) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Admin+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// sleep waits for d. If ctx ends first, it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
