package daemon

import (
	"context"
	"fmt"
	"hash/maphash"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kratos/kratos/v2"
	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/adapter/admin"
	"github.com/laburnumrack/laburnumrack/internal/adapter/peer"
	"github.com/laburnumrack/laburnumrack/internal/adapter/pgwire"
	"github.com/laburnumrack/laburnumrack/internal/adapter/platform"
	pgtarget "github.com/laburnumrack/laburnumrack/internal/adapter/target"
	"github.com/laburnumrack/laburnumrack/internal/buildinfo"
	"github.com/laburnumrack/laburnumrack/internal/command"
	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/distribution"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/gateway"
	"github.com/laburnumrack/laburnumrack/internal/home"
	"github.com/laburnumrack/laburnumrack/internal/ledger"
	"github.com/laburnumrack/laburnumrack/internal/session"
	"github.com/laburnumrack/laburnumrack/internal/settings"
	"github.com/laburnumrack/laburnumrack/internal/store"
	"github.com/laburnumrack/laburnumrack/internal/wireunit"
)

// Timing of the daemon's own loops.
const (
	// ledgerBucket is the width of a bucket of connection time.
	ledgerBucket = 15 * time.Minute
	// ledgerInterval is the time between two flushes.
	ledgerInterval = time.Minute
	// reloadInterval is how often key files are read again.
	reloadInterval = 10 * time.Second
)

// Daemon is one running process on an entry VM.
type Daemon struct {
	settings *settings.Serve
	store    store.Store
	holder   *configuration.Holder
	members  *members
	home     *home.Home
	gateway  *gateway.Gateway
	peers    *peer.Client
	server   *peer.Server
	callers  *pgwire.Server
	keys     *peer.Keys
	tls      *callerTLS
	ledger   *ledger.Ledger
	runner   *distribution.Syncer
	app      *kratos.App

	callerListener net.Listener
	sockets        []net.PacketConn

	// ctx ends with the loops, after the last request.
	ctx  context.Context
	stop context.CancelFunc
	// drained is closed when the last request has ended.
	drained chan struct{}
	wg      sync.WaitGroup
}

// New opens the listeners and wires the parts. The settings must have no fault.
func New(s *settings.Serve) (*Daemon, error) {
	d := &Daemon{settings: s, holder: configuration.NewHolder(), drained: make(chan struct{})}
	d.ctx, d.stop = context.WithCancel(context.Background())
	steps := []func() error{
		d.openStore,
		d.openKeys,
		d.buildHome,
		d.openPeers,
		d.openCallers,
		d.openAdmin,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			d.stop()
			d.closeListeners()
			return nil, err
		}
	}
	return d, nil
}

// Run serves until a signal or Stop, then shuts down.
func (d *Daemon) Run() error {
	klog.Infof("daemon: VM %s in %s serves callers at %s.", d.settings.VMName, d.settings.FailureDomain, d.settings.CallerListen)
	err := d.app.Run()
	klog.Infof("daemon: VM %s ended.", d.settings.VMName)
	return err
}

// Stop begins the shutdown; Run returns when it is over.
func (d *Daemon) Stop() error {
	return d.app.Stop()
}

func (d *Daemon) ownAddress() netip.Addr {
	return netip.MustParseAddrPort(d.settings.PeerListen).Addr()
}

func (d *Daemon) openStore() error {
	client, err := platform.New(platform.Options{URL: d.settings.PlatformURL, LocalAddress: d.ownAddress()})
	if err != nil {
		return fmt.Errorf("open the store: %w", err)
	}
	d.store = client
	self := fleet.VM{
		Name:          d.settings.VMName,
		Peer:          netip.MustParseAddrPort(d.settings.PeerListen),
		FailureDomain: d.settings.FailureDomain,
	}
	d.members = newMembers(self, client, func(name string) bool {
		return d.holder.Current().Drained(configuration.DrainVM, name)
	})
	for _, p := range d.settings.Peers {
		d.members.seeds = append(d.members.seeds, netip.MustParseAddrPort(p))
	}
	return nil
}

func (d *Daemon) openKeys() error {
	var err error
	if d.settings.PeerSecret != "" {
		d.keys, err = peer.KeysFromSecret(d.settings.PeerSecret)
	} else {
		d.keys, err = peer.KeysFromFiles(d.settings.PeerCert, d.settings.PeerKey, d.settings.PeerCA)
	}
	if err != nil {
		return err
	}
	d.tls, err = newCallerTLS(d.settings.CallerCert, d.settings.CallerKey)
	return err
}

func (d *Daemon) buildHome() error {
	dialer := pgtarget.NewDialer(pgtarget.Config{
		User:         d.settings.TargetUser,
		Password:     d.settings.TargetPassword,
		LocalAddress: d.ownAddress(),
	})
	start := uuid.NewString()
	d.ledger = ledger.New(d.settings.VMName+"_"+start, ledgerBucket, time.Now())
	d.home = home.New(home.Config{
		Source:         d.holder,
		Store:          d.store,
		Dialer:         dialer,
		FailureDomain:  d.settings.FailureDomain,
		VM:             d.settings.VMName,
		Metrics:        metrics.GetDefaultSet(),
		Seed:           d.seed(start),
		RemoteEvidence: d.remoteEvidence,
		Ledger:         d.ledger,
		Shares:         home.DomainShares(d.settings.FailureDomain),
		Delegate:       true,
	})
	return nil
}

// seed makes a seed that differs between VMs and starts.
func (d *Daemon) seed(start string) uint64 {
	var h maphash.Hash
	h.SetSeed(maphash.MakeSeed())
	_, _ = h.WriteString(d.settings.VMName + start)
	return h.Sum64()
}

func (d *Daemon) openPeers() error {
	socket, err := net.ListenPacket("udp", d.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	d.sockets = append(d.sockets, socket)
	streams, err := net.Listen("tcp", d.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for units of peers: %w", err)
	}
	out, err := net.ListenPacket("udp", netip.AddrPortFrom(d.ownAddress(), 0).String())
	if err != nil {
		return fmt.Errorf("open the socket to peers: %w", err)
	}
	d.sockets = append(d.sockets, out)
	d.peers = peer.NewClient(out, d.keys, d.members, metrics.GetDefaultSet())
	d.runner = distribution.NewWithPeers(distribution.Options{
		Store:   d.store,
		Holder:  d.holder,
		Fleet:   d.members,
		Peers:   configPeers{daemon: d},
		Seed:    d.seed("distribution"),
		Metrics: metrics.GetDefaultSet(),
	})
	d.server, err = peer.Listen(socket, streams, d.keys, d.home, d.handlers(), metrics.GetDefaultSet())
	return err
}

func (d *Daemon) openCallers() error {
	keyring, err := d.keyring()
	if err != nil {
		return err
	}
	d.gateway, err = gateway.New(gateway.Config{
		Homes:         d.members,
		OpenerFor:     d.openerFor,
		Configuration: d.holder,
		FailureDomain: d.settings.FailureDomain,
		Metrics:       metrics.GetDefaultSet(),
		Seed:          d.seed("entry"),
	})
	if err != nil {
		return err
	}
	limits := pgwire.DefaultLimits()
	limits.Connections = d.settings.MaxCallers
	limits.MessageBytes = d.settings.MaxMessage
	d.callers, err = pgwire.New(pgwire.Config{
		Configuration: d.holder,
		Opener:        d.gateway,
		Keyring:       keyring,
		TLS:           d.tls.current,
		RequireTLS:    d.settings.RequireTLS,
		Limits:        limits,
		Metrics:       metrics.GetDefaultSet(),
	})
	if err != nil {
		return err
	}
	d.callerListener, err = net.Listen("tcp", d.settings.CallerListen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	return nil
}

func (d *Daemon) keyring() (*session.Keyring, error) {
	parsed, err := d.settings.ParsedTokenKeys()
	if err != nil {
		return nil, err
	}
	var keys []session.Key
	for _, k := range parsed {
		keys = append(keys, session.Key{ID: k.ID, Secret: k.Secret})
	}
	return session.NewKeyring(parsed[0].ID, keys...)
}

// openerFor returns the way to the home at a VM: a function call on this VM, a
// peer connection otherwise.
func (d *Daemon) openerFor(vm fleet.VM) wireunit.Opener {
	if vm.Name == d.settings.VMName {
		return d.home
	}
	return d.peers.Opener(vm)
}

func (d *Daemon) openAdmin() error {
	listener, err := net.Listen("tcp", d.settings.AdminListen)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	server := admin.New(admin.Options{
		Listener:      listener,
		Configuration: d.holder,
		Executor:      command.NewExecutor(d.store, d.seed("admin")),
		Reporter:      reporter{daemon: d},
		BootstrapHash: d.settings.BootstrapHash(),
		CatchUp:       d.runner.CatchUp,
		Ready:         d.ready,
	})
	d.app = kratos.New(
		kratos.Name(buildinfo.Name),
		kratos.Version(buildinfo.Version()),
		kratos.StopTimeout(d.settings.ShutdownTimeout),
		kratos.Server(adminLifecycle{Server: server, drained: d.drained}, lifecycle{daemon: d}),
	)
	return nil
}
