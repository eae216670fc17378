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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-kratos/kratos/v2"
	"github.com/google/uuid"

	"github.com/laburnumrack/laburnumrack/internal/backend"
	"github.com/laburnumrack/laburnumrack/internal/boottime"
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
	"github.com/laburnumrack/laburnumrack/internal/ratelimit"
	"github.com/laburnumrack/laburnumrack/internal/requestmetrics"
	"github.com/laburnumrack/laburnumrack/platform"
)

// Timing of a shutdown, between SIGTERM and SIGKILL.
const (
	// balancerRemovalTime is how long the balancer may still send new callers after the
	// daemon reports that it is not ready: it takes two missed probes, one per second.
	balancerRemovalTime = 2200 * time.Millisecond
	// transactionShare is the part of the grace period during which transactions may end.
	transactionShare = 0.5
	// unusedPollInterval is the time between checks whether sessions and units of other
	// daemons have ended.
	unusedPollInterval = 20 * time.Millisecond
	// exitMargin is the time left between the end of the shutdown and the end of the
	// grace period.
	exitMargin = 400 * time.Millisecond
	// loopsTimeout is how long the daemon waits for its loops after the last session has
	// ended. They hold nothing that outlives the process.
	loopsTimeout = 150 * time.Millisecond
	// logDrainTimeout is how long a reader of the log that has stopped delays the exit.
	logDrainTimeout = 100 * time.Millisecond
)

// sessionBits is the number of low bits of a session ID that count the sessions of a
// daemon; the bits above them identify the daemon.
const sessionBits = 32

// Options are the command-line options of the node command.
type Options struct {
	SettingsPath string
	// MetricsListen is the address of the metrics listener; empty disables it.
	MetricsListen string
	// Log is LogAll or LogNone; empty means LogAll.
	Log string
	Out io.Writer
}

// Values of Options.Log.
const (
	LogAll  = "all"
	LogNone = "none"
)

// Node is one daemon and the listeners, feeds and servers that it runs.
type Node struct {
	options       Options
	settings      platform.Settings
	configuration catalog.Holder
	confirmation  *catalog.Confirmation
	registry      *backend.Registry
	frontend      *frontend.Server
	members       *membership.Members
	local         *executor.Executor
	mirrors       mirrors
	peerServer    *peer.Server
	limiter       *ratelimit.Limiter
	promotionLock *failover.LockManager
	promoter      *failover.Promoter
	store         *platform.Store
	log           *eventlog.Log

	ctx            context.Context
	cancel         context.CancelFunc
	loops          loops
	callerListener net.Listener
	probeServer    *http.Server
	probeListener  net.Listener
	peerListener   net.Listener
	targetsListed  atomic.Bool
	// configurationBehind is whether the store holds a lower version of the configuration
	// than the one in force.
	configurationBehind atomic.Bool
	leaving             atomic.Bool
	metricsListener     net.Listener
}

// New returns a node with the given options, not yet started. It returns an error if the
// settings can't be loaded or Options.Log is invalid.
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
	n := &Node{
		options: o, settings: settings, log: log, store: platform.NewStore(settings.StoreAddress, log),
		confirmation: catalog.NewConfirmation(settings.RevocationTime),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.promotionLock = failover.NewLockManager(n.store, settings.Name, uuid.NewString(), n.log)
	n.promoter = &failover.Promoter{PromotionLock: n.promotionLock, Client: platform.NewPromotionClient(settings.PromotionAddress), Log: n.log}
	locality := backend.Locality{FailureDomain: settings.FailureDomain, Regions: settings.Regions}
	relayReader := &relayIntentReader{direct: primarylease.New(n.promotionLock), promotionLock: n.promotionLock}
	peers := &peerPositions{}
	lease := primarylease.New(relayReader)
	n.registry = backend.NewRegistry(n.ctx, backend.Dependencies{
		Locality: locality, Peers: peers, Dialer: platform.TargetDialer{}, Promoter: n.promoter, PrimaryLease: lease, DrainTime: settings.DrainTime, Log: n.log,
	})
	local := executor.New(n.registry, n.log)
	local.Configuration = &n.configuration
	self := fleet.VM{
		Name: settings.Name, FailureDomain: settings.FailureDomain,
		Peer:     netip.AddrPortFrom(settings.IP, uint16(settings.FirstPort)),
		Capacity: settings.Capacity,
	}
	n.members = membership.New(self, settings.Regions, local, n.log)
	n.local = local
	n.promotionLock.SetProbe(n.members.Answers)
	n.promotionLock.SetSettler(n.settleGroups)
	relayReader.relays, peers.members = n.members, n.members
	n.mirrors = mirrors{
		platform.KindConfiguration: newMirror(configurationWait(settings)), platform.KindTargets: newMirror(watchWait), membership.KindVM: newMirror(slowWatchWait),
	}
	n.limiter = ratelimit.New(ratelimit.Options{
		Self: settings.Name, Domain: settings.FailureDomain, Regions: settings.Regions, Slack: settings.QuotaSlack, Network: n.members, Now: boottime.Now, Log: n.log,
	})
	n.peerServer = &peer.Server{Name: settings.Name, Opener: local, Objects: n.mirrors, Intents: relayIntents{relays: n.members, followed: lease, direct: relayReader.direct}, StoreIntents: relayReader.direct, Positions: n.registry, Quotas: n.limiter, OnPeerConnected: n.members.PeerConnected, Log: n.log, LinkMbps: settings.Capacity.Link}
	messageBudget := platform.NewMessageBudget(settings.Memory)
	n.frontend = &frontend.Server{
		Homes: n.members, Configuration: &n.configuration, Log: n.log, State: frontend.NewStateBudget(settings.Memory),
		Quota: n.limiter, Tenants: requestmetrics.NewTenants(metrics.GetDefaultSet()),
		SessionBase: xxhash.Sum64String(settings.Name) << sessionBits,
		Wrap:        func(c net.Conn) frontend.Conn { return platform.NewCallerConn(c, messageBudget) },
	}
	if settings.StrictRevocation {
		n.frontend.Confirmation = n.confirmation
	}
	return n, nil
}

// Run serves until the process gets SIGTERM or SIGINT. It returns an error if a listener
// can't be opened or the shutdown fails.
func (n *Node) Run() error {
	if err := n.listen(); err != nil {
		return err
	}
	defer n.writeLog()()
	app := kratos.New(
		kratos.Name(buildinfo.Name), kratos.Version(buildinfo.Version()), kratos.Server(n),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT), kratos.StopTimeout(n.settings.Grace),
	)
	return app.Run()
}

// writeLog writes the log in the background until the returned function is called. The log
// ends after the loops that write to it.
func (n *Node) writeLog() (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		// An error of the log's writer can't be logged itself, so it is ignored.
		_ = n.log.Run(ctx, n.options.Out)
	}()
	return func() {
		cancel()
		select {
		case <-written:
		case <-time.After(logDrainTimeout):
		}
	}
}

// listen opens all listeners.
func (n *Node) listen() error {
	var err error
	if n.callerListener, err = net.Listen("tcp4", n.settings.CallerAddress.String()); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if n.probeListener, err = net.Listen("tcp4", n.settings.ReadyAddress.String()); err != nil {
		return fmt.Errorf("listen for probes: %w", err)
	}
	if n.peerListener, err = net.Listen("tcp4", n.members.Self().Peer.String()); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if n.options.MetricsListen == "" {
		return nil
	}
	if n.metricsListener, err = net.Listen("tcp4", n.options.MetricsListen); err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	return nil
}

// Start starts the feeds and servers in the background and serves callers until Stop.
func (n *Node) Start(context.Context) error {
	n.log.StateChange("started", "version", buildinfo.Version(), "failure_domain", n.settings.FailureDomain, "callers", n.settings.CallerAddress.String())
	n.loops.start("follow", n.follow)
	n.loops.start("registry", func() { n.registry.Run(n.ctx) })
	n.loops.start("promotion_lock", n.servePromotionLock)
	n.loops.start("members", func() { n.members.Run(n.ctx) })
	n.loops.start("introduction", func() { n.members.Introduce(n.ctx, n.peerServer.ConnectedPeers) })
	n.loops.start("registration", func() { n.members.KeepRegistered(n.ctx, n.store) })
	n.loops.start("stale_registrations", func() { n.members.PruneRegistrations(n.ctx, n.store) })
	n.loops.start("rate_limits", func() { n.limiter.Run(n.ctx) })
	n.loops.start("peer_server", func() { n.peerServer.Serve(n.peerListener) })
	n.loops.start("reload", n.reloadOnSignal)
	n.probeServer = &http.Server{Handler: platform.ReadyHandler(n.Ready), ReadHeaderTimeout: time.Second}
	n.loops.start("probes", func() { n.serveHTTP(n.probeServer, n.probeListener) })
	if n.metricsListener != nil {
		n.loops.start("metrics", n.serveMetrics)
	}
	n.frontend.Serve(n.callerListener)
	return nil
}

// follow runs the feeds until the node ends. At the first start of the system it looks for
// the founder of the failure domain before.
func (n *Node) follow() {
	if n.settings.FirstStart {
		ctxtime.Sleep(n.ctx, founderDelay(n.settings.Capacity.Link))
		if err := n.members.Found(n.ctx, n.store); err != nil {
			n.log.StateChange("founder_unknown", "error", err.Error())
		}
	}
	vms := n.vmFeed()
	n.loops.start("feed_"+string(vms.kind), func() { vms.run(n.ctx) })
	n.waitForSource()
	for _, f := range []*feed{n.configurationFeed(), n.targetFeed()} {
		n.loops.start("feed_"+string(f.kind), func() { f.run(n.ctx) })
	}
}

// Choice of the founder by link.
const (
	// founderLink is the link in Mbit/s from which on a VM becomes founder at once: the
	// founder sends the first copies of all lists to its whole failure domain.
	founderLink = 100
	// slowFounderDelay is the head start that a VM with a slower link gives to others. The
	// VMs of a system start within 0.3 s of each other.
	slowFounderDelay = 300 * time.Millisecond
)

// founderDelay returns how long a VM with the given link in Mbit/s, 0 if it declares none,
// waits before it tries to become the founder of its failure domain.
func founderDelay(link float64) time.Duration {
	if link > 0 && link < founderLink {
		return slowFounderDelay
	}
	return 0
}

// Limits of the wait for the list of VMs.
const (
	// sourceTimeout bounds the wait. A store that does not answer this list in that time
	// may still answer for other objects.
	sourceTimeout = 2 * time.Second
	// contactDelay is how long a daemon waits before it follows a contact instead: any
	// daemon may have connected to it, not only one with a current copy.
	contactDelay = 600 * time.Millisecond
	// sourcePollInterval is the time between checks.
	sourcePollInterval = 5 * time.Millisecond
)

// waitForSource waits until the daemon knows which VM to follow. The list of VMs is small;
// the configuration and the list of targets may be large, and a daemon gets them from its
// relay if it has one.
func (n *Node) waitForSource() {
	started := boottime.Now()
	for n.ctx.Err() == nil && !n.members.Known() {
		waited := boottime.Now() - started
		if waited >= sourceTimeout || waited >= contactDelay && n.members.HasContact() {
			return
		}
		ctxtime.Sleep(n.ctx, sourcePollInterval)
	}
}

// serveHTTP serves until s is closed; another error is logged.
func (n *Node) serveHTTP(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.StateChange("listener_failed", "address", l.Addr().String(), "error", err.Error())
	}
}

// serveMetrics serves the metrics until the node ends.
func (n *Node) serveMetrics() {
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})}
	context.AfterFunc(n.ctx, func() { _ = s.Close() })
	n.serveHTTP(s, n.metricsListener)
}

// Ready reports whether the daemon accepts new callers: it has a configuration and a list
// of targets and is not stopping.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.configuration.Current() != nil && n.targetsListed.Load()
}

// reloadOnSignal validates the settings file again on SIGHUP, by which the platform
// announces a change. Addresses are read only at start.
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

// Stop shuts the daemon down within the grace period. It reports that it is not ready,
// waits until the balancer sends no new callers, and then ends idle sessions,
// transactions and finally all other sessions. It returns an error if a listener can't be
// closed or sessions remain.
func (n *Node) Stop(context.Context) error {
	started := time.Now()
	n.leaving.Store(true)
	n.members.Leave()
	n.peerServer.Leave()
	n.log.StateChange("stopping", "sessions", n.frontend.Sessions(), "grace_ms", n.settings.Grace.Milliseconds())
	deadline, cancel := context.WithDeadline(context.Background(), started.Add(n.settings.Grace-exitMargin))
	defer cancel()
	ctxtime.Sleep(deadline, balancerRemovalTime)
	n.frontend.Leave()
	transactionsEnd, cancelTransactions := context.WithDeadline(deadline, started.Add(time.Duration(transactionShare*float64(n.settings.Grace))))
	defer cancelTransactions()
	for !n.unused() && transactionsEnd.Err() == nil {
		ctxtime.Sleep(transactionsEnd, unusedPollInterval)
	}
	n.frontend.EndTransactions()
	err := n.callerListener.Close()
	err = errors.Join(err, n.frontend.Wait(deadline))
	for n.peerServer.OpenUnits() > 0 && deadline.Err() == nil {
		ctxtime.Sleep(deadline, unusedPollInterval)
	}
	err = errors.Join(err, n.peerListener.Close())
	n.log.StateChange("stopped", "took_ms", time.Since(started).Milliseconds(), "sessions_left", n.frontend.Sessions())
	err = errors.Join(err, n.probeServer.Close())
	n.endLoops()
	return err
}

// unused reports whether the daemon has no session and no unit of another daemon.
func (n *Node) unused() bool {
	return n.frontend.Sessions() == 0 && n.peerServer.OpenUnits() == 0
}

// endLoops ends the loops, whatever calls they have in flight.
func (n *Node) endLoops() {
	n.cancel()
	n.members.Close()
	n.peerServer.Abort()
	if left := n.loops.wait(loopsTimeout); len(left) > 0 {
		n.log.StateChange("loops_left", "names", left)
	}
}
