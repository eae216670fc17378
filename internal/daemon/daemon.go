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

// Intervals of the background loops.
const (
	// ledgerBucket is the width of one bucket of connection time in the ledger.
	ledgerBucket = 15 * time.Minute
	// ledgerInterval is the time between two flushes of the ledger to the store.
	ledgerInterval = time.Minute
	// reloadInterval is the time between two reloads of the key and certificate files.
	reloadInterval = 10 * time.Second
)

// Daemon is one laburnumrack process on a VM: the gateway of its callers, the home of
// some database groups, and a peer of the other daemons.
type Daemon struct {
	settings     *settings.Serve
	store        store.Store
	holder       *configuration.Holder
	members      *members
	home         *home.Home
	gateway      *gateway.Gateway
	peerClient   *peer.Client
	peerServer   *peer.Server
	callerServer *pgwire.Server
	peerKeys     *peer.Keys
	tls          *callerTLS
	ledger       *ledger.Ledger
	configSyncer *distribution.Syncer
	app          *kratos.App

	callerListener net.Listener
	udpSockets     []net.PacketConn

	// ctx is the context of the background loops. stop cancels it after the last request.
	ctx  context.Context
	stop context.CancelFunc
	// drained is closed when the last request has ended.
	drained chan struct{}
	wg      sync.WaitGroup
}

// New opens the listeners and connects the components. The settings must have passed
// Check. It returns an error if a listener can't be opened, or if a key, certificate or
// secret can't be used.
func New(s *settings.Serve) (*Daemon, error) {
	d := &Daemon{settings: s, holder: configuration.NewHolder(), drained: make(chan struct{})}
	d.ctx, d.stop = context.WithCancel(context.Background())
	steps := []func() error{
		d.openStore,
		d.loadKeys,
		d.buildHome,
		d.listenPeers,
		d.listenCallers,
		d.listenAdmin,
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

// Run serves until a termination signal or Stop, then shuts down and returns the error
// of serving or of the shutdown.
func (d *Daemon) Run() error {
	klog.Infof("daemon: VM %s in failure domain %s serves callers at %s.", d.settings.VMName, d.settings.FailureDomain, d.settings.CallerListen)
	err := d.app.Run()
	klog.Infof("daemon: VM %s stopped.", d.settings.VMName)
	return err
}

// Stop begins the shutdown. Run returns when the shutdown has ended.
func (d *Daemon) Stop() error {
	return d.app.Stop()
}

func (d *Daemon) ownAddress() netip.Addr {
	return netip.MustParseAddrPort(d.settings.PeerListen).Addr()
}

func (d *Daemon) openStore() error {
	client, err := platform.New(platform.Options{URL: d.settings.PlatformURL, LocalAddress: d.ownAddress()})
	if err != nil {
		return fmt.Errorf("create the platform client: %w", err)
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
		d.members.seedPeers = append(d.members.seedPeers, netip.MustParseAddrPort(p))
	}
	return nil
}

func (d *Daemon) loadKeys() error {
	var err error
	if d.settings.PeerSecret != "" {
		d.peerKeys, err = peer.KeysFromSecret(d.settings.PeerSecret)
	} else {
		d.peerKeys, err = peer.KeysFromFiles(d.settings.PeerCert, d.settings.PeerKey, d.settings.PeerCA)
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
	startID := uuid.NewString()
	d.ledger = ledger.New(d.settings.VMName+"_"+startID, ledgerBucket, time.Now())
	d.home = home.New(home.Config{
		Source:         d.holder,
		Store:          d.store,
		Dialer:         dialer,
		FailureDomain:  d.settings.FailureDomain,
		VM:             d.settings.VMName,
		Metrics:        metrics.GetDefaultSet(),
		Seed:           d.newSeed(startID),
		RemoteEvidence: d.remoteEvidence,
		Ledger:         d.ledger,
		Shares:         home.DomainShares(d.settings.FailureDomain),
		Delegate:       true,
	})
	return nil
}

// newSeed returns a random seed that differs between VMs, process starts and labels.
func (d *Daemon) newSeed(label string) uint64 {
	var h maphash.Hash
	h.SetSeed(maphash.MakeSeed())
	_, _ = h.WriteString(d.settings.VMName + label)
	return h.Sum64()
}

func (d *Daemon) listenPeers() error {
	inbound, err := net.ListenPacket("udp", d.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for peers on UDP: %w", err)
	}
	d.udpSockets = append(d.udpSockets, inbound)
	listener, err := net.Listen("tcp", d.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for peers on TCP: %w", err)
	}
	outbound, err := net.ListenPacket("udp", netip.AddrPortFrom(d.ownAddress(), 0).String())
	if err != nil {
		return fmt.Errorf("open the UDP socket for calls to peers: %w", err)
	}
	d.udpSockets = append(d.udpSockets, outbound)
	d.peerClient = peer.NewClient(outbound, d.peerKeys, d.members, metrics.GetDefaultSet())
	d.configSyncer = distribution.NewWithPeers(distribution.Options{
		Store:   d.store,
		Holder:  d.holder,
		Fleet:   d.members,
		Peers:   configPeers{daemon: d},
		Seed:    d.newSeed("distribution"),
		Metrics: metrics.GetDefaultSet(),
	})
	d.peerServer, err = peer.Listen(inbound, listener, d.peerKeys, d.home, d.handlers(), metrics.GetDefaultSet())
	return err
}

func (d *Daemon) listenCallers() error {
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
		Seed:          d.newSeed("entry"),
	})
	if err != nil {
		return err
	}
	limits := pgwire.DefaultLimits()
	limits.Connections = d.settings.MaxCallers
	limits.MessageBytes = d.settings.MaxMessage
	d.callerServer, err = pgwire.New(pgwire.Config{
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

// openerFor returns the opener of the home on vm: this daemon's home if vm is this VM,
// and otherwise a peer connection.
func (d *Daemon) openerFor(vm fleet.VM) wireunit.Opener {
	if vm.Name == d.settings.VMName {
		return d.home
	}
	return d.peerClient.Opener(vm)
}

func (d *Daemon) listenAdmin() error {
	listener, err := net.Listen("tcp", d.settings.AdminListen)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	server := admin.New(admin.Options{
		Listener:      listener,
		Configuration: d.holder,
		Executor:      command.NewExecutor(d.store, d.newSeed("admin")),
		Reporter:      reporter{daemon: d},
		BootstrapHash: d.settings.BootstrapHash(),
		CatchUp:       d.configSyncer.CatchUp,
		Ready:         d.ready,
	})
	d.app = kratos.New(
		kratos.Name(buildinfo.Name),
		kratos.Version(buildinfo.Version()),
		kratos.StopTimeout(d.settings.ShutdownTimeout),
		kratos.Server(adminServer{Server: server, drained: d.drained}, kratosServer{daemon: d}),
	)
	return nil
}
