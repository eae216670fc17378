package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	client "github.com/laburnumrack/laburnumrack/internal/adapter/platform"
	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/ctl"
	"github.com/laburnumrack/laburnumrack/internal/distribution"
	"github.com/laburnumrack/laburnumrack/internal/standin/platform"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

const operatorSecret = "first"

// processFleet is a fleet of daemon processes with a platform stand-in.
type processFleet struct {
	t        *testing.T
	binary   string
	platform *platform.Platform
	store    store.Store
	daemons  []*process
}

// process is one daemon process with its addresses.
type process struct {
	name, domain        string
	caller, peer, admin string
	command             *exec.Cmd
}

// address returns an address of a VM. Each VM has its own IP address and fixed ports,
// because an outgoing connection can take a port that was found free before the daemon
// listens on it.
func address(vm, port int) string {
	return fmt.Sprintf("127.7.0.%d:%d", vm+1, port)
}

func startFleet(t *testing.T) *processFleet {
	f := &processFleet{t: t, binary: filepath.Join(t.TempDir(), "laburnumrack")}
	if out, err := exec.Command("go", "build", "-o", f.binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	p, err := platform.Start(platform.Config{Address: "127.0.0.1:0", Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	f.platform = p
	if f.store, err = client.New(client.Options{URL: p.URL()}); err != nil {
		t.Fatal(err)
	}
	for i, domain := range []string{"a", "a", "b", "b"} {
		d := &process{name: fmt.Sprintf("vm%d", i), domain: domain, caller: address(i, 6432), peer: address(i, 6433), admin: address(i, 6434)}
		p.PutVM(store.VM{Name: d.name, Address: d.peer, FailureDomain: domain, State: store.VMLive})
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		f.start(d)
	}
	t.Cleanup(func() {
		for _, d := range f.daemons {
			f.kill(d)
		}
	})
	return f
}

func (f *processFleet) start(d *process) {
	d.command = exec.Command(f.binary, "serve", "--vm-name", d.name, "--failure-domain", d.domain,
		"--caller-listen", d.caller, "--peer-listen", d.peer, "--admin-listen", d.admin, "--platform-url", f.platform.URL(),
		"--peer-insecure-shared-secret", "test", "--token-key", "k:"+strings.Repeat("07", 32), "--bootstrap-secret", operatorSecret)
	for _, other := range f.daemons {
		if other != d {
			d.command.Args = append(d.command.Args, "--peer", other.peer)
		}
	}
	if testing.Verbose() {
		d.command.Stderr = os.Stderr
	}
	if err := d.command.Start(); err != nil {
		f.t.Fatal(err)
	}
}

func (f *processFleet) kill(d *process) {
	_ = d.command.Process.Kill()
	_ = d.command.Wait()
}

func runStatement(d *process, statement string) (string, error) {
	var out strings.Builder
	err := ctl.Run(context.Background(), ctl.Options{Addresses: []string{d.admin}, Secret: operatorSecret, Statement: statement, Out: &out})
	return out.String(), err
}

// waitUntilShows waits until the output of the statement at d contains text, for at most
// distribution.PropagationBound.
func (f *processFleet) waitUntilShows(d *process, statement, text string) {
	f.t.Helper()
	start := time.Now()
	for {
		out, err := runStatement(d, statement)
		if err == nil && strings.Contains(out, text) {
			return
		}
		if time.Since(start) > distribution.PropagationBound {
			f.t.Fatalf("%s does not show %q after %v: %v\n%s", d.name, text, distribution.PropagationBound, err, out)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *processFleet) waitUntilAllShow(statement, text string) {
	f.t.Helper()
	for _, d := range f.daemons {
		f.waitUntilShows(d, statement, text)
	}
}

// TestConfigurationOverProcesses guards against configuration changes that are lost or
// applied twice. It covers a lost response of the store, concurrent changes of one object,
// and an outage of the store during which every daemon is killed and restarted.
func TestConfigurationOverProcesses(t *testing.T) {
	f := startFleet(t)
	mustRun := func(d *process, statement string) {
		t.Helper()
		if _, err := runStatement(d, statement); err != nil {
			t.Fatalf("%s: %v", statement, err)
		}
	}
	mustRun(f.daemons[0], "DECLARE READ POLICY p (MAX AGE 1s)")
	f.waitUntilAllShow("SHOW POLICIES", "1s")

	f.platform.SetFaults(platform.Faults{LoseNext: 1})
	revision := f.platform.Revision()
	mustRun(f.daemons[1], "DECLARE READ POLICY p (MAX AGE 2s)")
	events, err := f.store.Watch(t.Context(), revision, 0, store.KindReadPolicy)
	if err != nil || len(events.Objects) != 1 {
		t.Errorf("a command whose response was lost made %d changes (%v), want one", len(events.Objects), err)
	}
	f.waitUntilAllShow("SHOW POLICIES", "2s")

	for round := range 5 {
		policy, err := f.store.Get(t.Context(), configuration.ReadPolicy{Name: "p"}.Key())
		if err != nil {
			t.Fatal(err)
		}
		codes := f.race(fmt.Sprintf("DECLARE READ POLICY p (MAX AGE %%ds) IF VERSION %d", policy.Version), 10+2*round)
		if codes[ctl.ExitOK] != 1 || codes[ctl.ExitLostRace] != 1 {
			t.Errorf("race %d ended with exit codes %v, want one success and one lost race", round, codes)
		}
	}

	mustRun(f.daemons[2], "DECLARE READ POLICY p (MAX AGE 77s)")
	f.waitUntilAllShow("SHOW POLICIES", "1m17s")
	f.platform.SetFaults(platform.Faults{Outage: platform.OutageUnavailable})
	f.waitUntilAllShow("SHOW POLICIES", "1m17s")
	for _, d := range f.daemons {
		f.kill(d)
		f.start(d)
		f.waitUntilShows(d, "SHOW POLICIES", "1m17s")
	}
	if out, err := runStatement(f.daemons[0], "SHOW CONFIG"); err != nil || !strings.Contains(out, "1m17s") {
		t.Errorf("SHOW CONFIG after the restart of all daemons during the outage: %v\n%s", err, out)
	}
}

// TestChangeShowsAtOnce guards against a SHOW that misses the change that the same daemon
// has just made. A drained daemon neither watches the store nor receives pushes, so it has
// to catch up by itself before it answers.
func TestChangeShowsAtOnce(t *testing.T) {
	f := startFleet(t)
	d := f.daemons[0]
	f.waitUntilAllShow("SHOW VMS", f.daemons[len(f.daemons)-1].name)
	if _, err := runStatement(d, "DRAIN VM "+d.name); err != nil {
		t.Fatal(err)
	}
	f.waitUntilAllShow("SHOW CONFIG", "DRAIN VM "+d.name)
	const changes = 10
	for n := range changes {
		if _, err := runStatement(d, fmt.Sprintf("DECLARE READ POLICY p (MAX AGE %ds)", n+1)); err != nil {
			t.Fatal(err)
		}
		out, err := runStatement(d, "SHOW POLICIES")
		if want := (time.Duration(n+1) * time.Second).String(); err != nil || !strings.Contains(out, want) {
			t.Errorf("%s does not show %s in the next command: %v\n%s", d.name, want, err, out)
		}
	}
	f.checkGauges(d)
}

// checkGauges checks that the metrics of a daemon contain the gauges of the distribution.
func (f *processFleet) checkGauges(d *process) {
	f.t.Helper()
	response, err := http.Get("http://" + d.admin + "/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, name := range []string{"laburnumrack_config_age_seconds", "laburnumrack_config_revision", "laburnumrack_config_last_change_revision"} {
		if !strings.Contains(string(body), "\n"+name+" ") {
			f.t.Errorf("%s has no metric %s", d.name, name)
		}
	}
}

// race sends the statement with two different values through two daemons concurrently and
// counts the exit codes.
func (f *processFleet) race(statement string, value int) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	codes := map[int]int{}
	for i, d := range []*process{f.daemons[0], f.daemons[3]} {
		wg.Go(func() {
			_, err := runStatement(d, fmt.Sprintf(statement, value+i))
			mu.Lock()
			defer mu.Unlock()
			codes[ctl.ExitCode(err)]++
		})
	}
	wg.Wait()
	return codes
}
