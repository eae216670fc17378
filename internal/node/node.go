package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-kratos/kratos/v2"
	"github.com/google/uuid"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/buildinfo"
	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/ctxtime"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/executor"
	"github.com/laburnumrack/laburnumrack/internal/failover"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/frontend"
	"github.com/laburnumrack/laburnumrack/internal/membership"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/platform"
)

// Shares of the time between SIGTERM and SIGKILL.
const (
	// rotationTime is how long the balancer may still send new callers: two missed
	// probes, one a second.
	rotationTime = 2200 * time.Millisecond
	// transactionShare is the share of the grace in which transactions may end.
	transactionShare = 0.5
	// unitsPoll is the time between looks whether the units of other daemons ended.
	unitsPoll = 20 * time.Millisecond
	// exitMargin is kept before the end of the grace.
	exitMargin = 400 * time.Millisecond
)

// sessionBits is the part of a session's id that counts the sessions of a daemon.
const sessionBits = 32

// Options are the settings of the node command.
type Options struct {
	SettingsPath string
	// MetricsListen is the address of the metrics; empty for none.
	MetricsListen string
	// Log is LogAll, which the empty string stands for, or LogNone.
	Log string
	Out io.Writer
}

// Values of Options.Log.
const (
	LogAll  = "all"
	LogNone = "none"
)

// Node is one daemon.
type Node struct {
	options       Options
	settings      platform.Settings
	configuration catalog.Holder
	registry      *backend.Registry
	front         *frontend.Server
	members       *membership.Members
	local         *executor.Executor
	mirrors       mirrors
	peers         *peer.Server
	promotionLock *failover.LockManager
	store         *platform.Store
	log           *eventlog.Log

	ctx      context.Context
	stop     context.CancelFunc
	loops    sync.WaitGroup
	callers  net.Listener
	probes   *http.Server
	probeAt  net.Listener
	peerAt   net.Listener
	listed   atomic.Bool
	leaving  atomic.Bool
	metricAt net.Listener
}

// New returns a node that is not started yet.
func New(o Options) (*Node, error) {
	settings, err := platform.LoadSettings(o.SettingsPath)
	if err != nil {
		return nil, err
	}
	log := eventlog.New("vm", settings.Name)
	switch o.Log {
	case "", LogAll:
	case LogNone:
		log = eventlog.Discard()
	default:
		return nil, fmt.Errorf("log: %.40q is neither %s nor %s", o.Log, LogAll, LogNone)
	}
	n := &Node{options: o, settings: settings, log: log, store: platform.NewStore(settings.StoreAddress)}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.promotionLock = failover.NewLockManager(n.store, settings.Name, uuid.NewString(), n.log)
	promoter := &failover.Promoter{PromotionLock: n.promotionLock, Client: platform.NewPromotionClient(settings.PromotionAddress), Log: n.log}
	place := backend.Locality{FailureDomain: settings.FailureDomain, Regions: settings.Regions}
	relayed := &relayedIntents{direct: primarylease.New(n.promotionLock), promotionLock: n.promotionLock}
	n.registry = backend.NewRegistry(n.ctx, backend.Dependencies{
		Locality: place, Dialer: platform.TargetDialer{}, Promoter: promoter, PrimaryLease: primarylease.New(relayed), DrainTime: settings.DrainTime, Log: n.log,
	})
	local := executor.New(n.registry, n.log)
	self := fleet.VM{
		Name: settings.Name, FailureDomain: settings.FailureDomain,
		Peer: netip.AddrPortFrom(settings.IP, uint16(settings.FirstPort)),
	}
	n.members = membership.New(self, settings.Regions, local, n.log)
	n.local = local
	n.promotionLock.SetProbe(n.members.Answers)
	relayed.relays = n.members
	n.mirrors = mirrors{
		platform.KindConfiguration: newMirror(watchWait), platform.KindTargets: newMirror(watchWait), membership.KindVM: newMirror(slowWait),
	}
	n.peers = &peer.Server{Name: settings.Name, Opener: local, Objects: n.mirrors, Intents: relayed.direct, OnPeerConnected: n.members.Heard}
	n.front = &frontend.Server{
		Homes: n.members, Configuration: &n.configuration, Log: n.log,
		SessionBase: xxhash.Sum64String(settings.Name) << sessionBits,
		Wrap:        func(c net.Conn) frontend.Conn { return platform.NewCallerConn(c) },
	}
	return n, nil
}

// Run serves until the platform stops the process.
func (n *Node) Run() error {
	if err := n.listen(); err != nil {
		return err
	}
	n.loops.Go(func() {
		// A log that can't be written ends; there is nowhere left to say so.
		_ = n.log.Run(n.ctx, n.options.Out)
	})
	app := kratos.New(
		kratos.Name(buildinfo.Name), kratos.Version(buildinfo.Version()), kratos.Server(n),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT), kratos.StopTimeout(n.settings.Grace),
	)
	return app.Run()
}

func (n *Node) listen() error {
	var err error
	if n.callers, err = net.Listen("tcp4", n.settings.CallerAddress.String()); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if n.probeAt, err = net.Listen("tcp4", n.settings.ReadyAddress.String()); err != nil {
		return fmt.Errorf("listen for probes: %w", err)
	}
	if n.peerAt, err = net.Listen("tcp4", n.members.Self().Peer.String()); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if n.options.MetricsListen == "" {
		return nil
	}
	if n.metricAt, err = net.Listen("tcp4", n.options.MetricsListen); err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	return nil
}

// Start runs the feeds and serves callers until Stop.
func (n *Node) Start(context.Context) error {
	n.log.StateChange("started", "version", buildinfo.Version(), "failure_domain", n.settings.FailureDomain, "callers", n.settings.CallerAddress.String())
	n.loops.Go(func() { n.configurationFeed().run(n.ctx) })
	n.loops.Go(func() { n.targetFeed().run(n.ctx) })
	n.loops.Go(func() { n.registry.Run(n.ctx) })
	n.loops.Go(n.servePromotionLock)
	n.loops.Go(func() { n.vmFeed().run(n.ctx) })
	n.loops.Go(func() { n.members.Run(n.ctx) })
	n.loops.Go(func() { n.members.KeepRegistered(n.ctx, n.store) })
	n.loops.Go(func() { n.members.PruneRegistrations(n.ctx, n.store) })
	n.loops.Go(func() { n.peers.Serve(n.peerAt) })
	n.loops.Go(n.reloadOnSignal)
	n.probes = &http.Server{Handler: platform.ReadyHandler(n.Ready), ReadHeaderTimeout: time.Second}
	n.loops.Go(func() { n.serveHTTP(n.probes, n.probeAt) })
	if n.metricAt != nil {
		n.loops.Go(n.serveMetrics)
	}
	n.front.Serve(n.callers)
	return nil
}

func (n *Node) serveHTTP(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.StateChange("listener_failed", "address", l.Addr().String(), "error", err.Error())
	}
}

func (n *Node) serveMetrics() {
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})}
	context.AfterFunc(n.ctx, func() { _ = s.Close() })
	n.serveHTTP(s, n.metricAt)
}

// Ready reports whether new callers are welcome.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.configuration.Current() != nil && n.listed.Load()
}

// reloadOnSignal checks the settings anew when the platform says that they changed.
// Addresses are taken at start only.
func (n *Node) reloadOnSignal() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-hup:
			if _, err := platform.LoadSettings(n.options.SettingsPath); err != nil {
				n.log.StateChange("settings_rejected", "error", err.Error())
				continue
			}
			n.log.StateChange("settings_reloaded")
		}
	}
}

// Stop ends the sessions in steps: no new callers, idle sessions, transactions,
// the rest.
func (n *Node) Stop(context.Context) error {
	began := time.Now()
	n.leaving.Store(true)
	n.members.Leave()
	n.peers.Leave()
	n.log.StateChange("stopping", "sessions", n.front.Sessions(), "grace_ms", n.settings.Grace.Milliseconds())
	deadline, cancel := context.WithDeadline(context.Background(), began.Add(n.settings.Grace-exitMargin))
	defer cancel()
	ctxtime.Sleep(deadline, rotationTime)
	n.front.Leave()
	half := began.Add(time.Duration(transactionShare * float64(n.settings.Grace)))
	ctxtime.Sleep(deadline, time.Until(half))
	n.front.EndTransactions()
	err := n.callers.Close()
	err = errors.Join(err, n.front.Wait(deadline))
	for n.peers.OpenUnits() > 0 && deadline.Err() == nil {
		ctxtime.Sleep(deadline, unitsPoll)
	}
	err = errors.Join(err, n.peerAt.Close())
	n.log.StateChange("stopped", "took_ms", time.Since(began).Milliseconds(), "sessions_left", n.front.Sessions())
	err = errors.Join(err, n.probes.Close())
	n.stop()
	n.loops.Wait()
	return err
}
