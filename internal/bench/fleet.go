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

// Ports and limits of the daemons of a Fleet.
const (
	fleetCallerPort = 6432
	fleetPeerPort   = 6433
	fleetAdminPort  = 6434
	// vmsPerBlock is how many VMs share the third byte of their addresses.
	vmsPerBlock = 200
	pollPause   = 100 * time.Millisecond
	readyLimit  = 60 * time.Second
)

// FleetSecret makes an operator of whoever presents it to a daemon of a Fleet.
const FleetSecret = "bench"

// FleetConfig sets up a Fleet.
type FleetConfig struct {
	// Binary is the path of laburnumrack, Logs a directory for its logs.
	Binary string
	LogDir string
	// Domains are the failure domains that the VMs are spread over.
	Domains []string
	// Block is the second byte of the VMs' addresses, so that fleets can be told
	// apart.
	AddressBlock int
	Platform     *platform.Platform
}

// Fleet is a set of daemons that run as processes against a stand-in of the
// platform. It is used by one goroutine.
type Fleet struct {
	config FleetConfig
	next   int
	// VMs are the running daemons, oldest first.
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

// StartFleet starts count daemons and waits until all are ready. Their logs go to
// files.
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

// Add starts one more daemon at an address of its own, with more arguments.
func (f *Fleet) Add(arguments ...string) (*FleetVM, error) {
	number := f.next
	f.next++
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
		return nil, fmt.Errorf("open the log of %s: %w", vm.Name, err)
	}
	defer log.Close()
	vm.command.Stdout = log
	vm.command.Stderr = log
	if err := vm.command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", vm.Name, err)
	}
	go func() {
		_ = vm.command.Wait()
		close(vm.done)
	}()
	f.config.Platform.PutVM(store.VM{Name: vm.Name, Address: vm.Peer, FailureDomain: vm.FailureDomain, State: store.VMLive})
	f.VMs = append(f.VMs, vm)
	return vm, nil
}

// Replace ends the oldest daemon as an upgrade does, and starts one at another
// address.
func (f *Fleet) Replace() error {
	oldest := f.VMs[0]
	f.VMs = f.VMs[1:]
	oldest.stop()
	f.config.Platform.RemoveVM(oldest.Name)
	_, err := f.Add()
	return err
}

// Kill ends a daemon without a warning. The platform's list keeps it.
func (f *Fleet) Kill(vm *FleetVM) {
	_ = vm.command.Process.Kill()
	<-vm.done
	f.VMs = slices.DeleteFunc(f.VMs, func(other *FleetVM) bool { return other == vm })
}

func (vm *FleetVM) stop() {
	_ = vm.command.Process.Signal(syscall.SIGTERM)
	<-vm.done
}

// Close ends all daemons.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, vm := range f.VMs {
		wg.Go(vm.stop)
	}
	wg.Wait()
	f.VMs = nil
}

// Ready waits until every daemon says that it is ready.
func (f *Fleet) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, vm := range f.VMs {
		for !vm.isReady(ctx) {
			if err := sleep(ctx, pollPause); err != nil {
				return fmt.Errorf("wait for %s: %w", vm.Name, err)
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

// sleep waits for d or until ctx ends.
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
