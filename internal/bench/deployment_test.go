package bench_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/laburnumrack/laburnumrack/internal/bench"
	"github.com/laburnumrack/laburnumrack/internal/ctl"
	"github.com/laburnumrack/laburnumrack/internal/daemon"
	"github.com/laburnumrack/laburnumrack/internal/settings"
	"github.com/laburnumrack/laburnumrack/internal/standin/platform"
	"github.com/laburnumrack/laburnumrack/internal/standin/target"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

const operatorSecret = "first-secret"

var domains = []string{"osijek", "vukovar", "split"}

// deployment is a platform, one database and a daemon in each failure domain, in
// one process.
type deployment struct {
	bench.Deployment
	platform *platform.Platform
	group    *target.Group
	// number tells the deployments of one test apart, which end together.
	number int
}

// started counts the deployments.
var started int

// address returns one of a VM's addresses. Each VM has an IP number of its own with
// fixed ports: a port that was free a moment ago may be taken by an outgoing
// connection before the daemon listens.
func (d *deployment) address(vm, port int) string {
	return fmt.Sprintf("127.8.%d.%d:%d", d.number, vm+1, port)
}

func startDeployment(ctx context.Context, t *testing.T) *deployment {
	p, err := platform.Start(platform.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	configs := make([]target.Config, len(domains))
	for i := range configs {
		configs[i] = target.Config{Name: fmt.Sprintf("silo1-%d", i), ConnectDelay: -1}
	}
	g, err := target.StartGroup(configs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	started++
	d := &deployment{number: started, platform: p, group: g, Deployment: bench.Deployment{PasswordPrefix: "demo-"}}
	for i, domain := range domains {
		d.startDaemon(t, i, domain)
	}
	d.configure(ctx, t)
	return d
}

func (d *deployment) startDaemon(t *testing.T, vm int, domain string) {
	name := fmt.Sprintf("entry%d", vm+1)
	s := &settings.Serve{
		VMName: name, FailureDomain: domain, PlatformURL: d.platform.URL(),
		CallerListen: d.address(vm, 6432), PeerListen: d.address(vm, 6433), AdminListen: d.address(vm, 6434),
		PeerSecret: "test", TokenKeys: []string{"k:" + strings.Repeat("07", 32)}, BootstrapSecret: operatorSecret,
		TargetUser: "laburnumrack", MaxCallers: 1000, MaxMessage: 4 << 20, ShutdownTimeout: 10 * time.Second, LedgerRetention: time.Hour, LogFormat: settings.LogText,
	}
	if faults := s.Check(); len(faults) > 0 {
		t.Fatal(faults)
	}
	d.platform.PutVM(store.VM{Name: name, Address: s.PeerListen, FailureDomain: domain})
	running, err := daemon.New(s)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- running.Run() }()
	t.Cleanup(func() {
		_ = running.Stop()
		if err := <-ended; err != nil {
			t.Errorf("daemon %s: %v", name, err)
		}
	})
	d.Gateways = append(d.Gateways, s.CallerListen)
	d.Admins = append(d.Admins, s.AdminListen)
}

// configure declares the example of Silotehnika with the only database and the
// addresses of this deployment.
func (d *deployment) configure(ctx context.Context, t *testing.T) {
	example, err := os.ReadFile("../../examples/slavonska-silotehnika.lab")
	if err != nil {
		t.Fatal(err)
	}
	before, rest, _ := strings.Cut(string(example), "DECLARE SERVICE")
	_, after, _ := strings.Cut(rest, ";")
	targets := make([]string, len(domains))
	for i, in := range d.group.Instances {
		targets[i] = fmt.Sprintf("TARGET %s AT %s IN %s SLOTS 3 CONNECTIONS 20", in.Name(), in.Address(), domains[i])
	}
	service := fmt.Sprintf("DECLARE SERVICE zrnobaza (DATABASE silo1 (%s));", strings.Join(targets, ", "))
	file := filepath.Join(t.TempDir(), "deployment.lab")
	if err := os.WriteFile(file, []byte(before+service+after), 0o600); err != nil {
		t.Fatal(err)
	}
	for {
		err := ctl.Run(ctx, ctl.Options{Addresses: d.Admins, Secret: operatorSecret, File: file, Timeout: 20 * time.Second, Out: io.Discard})
		if err == nil {
			return
		}
		if !pause(ctx) {
			t.Fatal(err)
		}
	}
}

func pause(ctx context.Context) bool {
	select {
	case <-time.After(20 * time.Millisecond):
		return true
	case <-ctx.Done():
		return false
	}
}

// ready waits until every daemon serves the database.
func (d *deployment) ready(ctx context.Context, mix bench.Mix) error {
	for {
		err := bench.CheckReady(ctx, d.Deployment, mix)
		if err == nil || !pause(ctx) {
			return err
		}
	}
}

func TestDeployment(t *testing.T) {
	Convey("Given a platform, a group and three daemons", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
		defer cancel()
		d := startDeployment(ctx, t)
		mix := bench.Silotehnika()
		mix.Databases = mix.Databases[:1]
		So(d.ready(ctx, mix), ShouldBeNil)
		runs := 0
		// play runs the workload while disturb acts, and returns its report.
		play := func(disturb func()) bench.Report {
			runs++
			report, results, err := bench.MeasureLoad(ctx, bench.LoadConfig{Deployment: d.Deployment, InjectFaults: disturb, Plan: bench.PlanConfig{
				Mix: mix, Rate: 60, Duration: time.Second, RoamingShare: 0.5, Seed: uint64(runs), Prefix: fmt.Sprintf("run%d-", runs)}})
			So(err, ShouldBeNil)
			So(results, ShouldNotBeEmpty)
			So(report.Checks.Requests, ShouldBeGreaterThan, 0)
			So(report.Checks.OK(), ShouldBeTrue)
			return report
		}

		report := play(nil)
		So(report.Tallies, ShouldHaveLength, 1)
		So(report.Tallies[0].Outcome, ShouldEqual, bench.Done)
		for _, in := range d.group.Instances {
			So(in.Load().Overuse, ShouldEqual, 0)
		}

		Convey("the promises hold while the store gives no answer", func() {
			d.platform.SetFaults(platform.Faults{Outage: platform.OutageSilent})
			report := play(nil)
			d.platform.SetFaults(platform.Faults{})
			So(report.Tallies, ShouldHaveLength, 1)
		})

		Convey("the promises hold while the primary breaks and answers of the store get lost", func() {
			primary := d.group.Instances[0]
			d.platform.SetFaults(platform.Faults{LoseProbability: 0.5})
			play(func() {
				pause(ctx)
				primary.Crash()
			})
			So(primary.Restart(), ShouldBeNil)
			So(d.ready(ctx, mix), ShouldBeNil)
			play(nil)
		})

		Convey("the promises hold when a frozen primary resumes after another took over", func() {
			old := d.group.Instances[0]
			var followed error
			play(func() {
				pause(ctx)
				old.Freeze()
				followed = d.otherPrimary(ctx)
				old.Thaw()
			})
			So(followed, ShouldBeNil)
			So(d.ready(ctx, mix), ShouldBeNil)
			play(nil)
		})
	})
}

// otherPrimary waits until an instance other than the first leads.
func (d *deployment) otherPrimary(ctx context.Context) error {
	for pause(ctx) {
		for _, in := range d.group.Instances[1:] {
			if in.Status().Primary {
				return nil
			}
		}
	}
	return ctx.Err()
}
