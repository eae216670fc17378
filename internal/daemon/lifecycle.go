package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/adapter/pgwire"
)

// ready returns nil if the daemon can serve callers, and otherwise the reason why not.
func (d *Daemon) ready() error {
	if d.members.Current().Self.Leaving {
		return errors.New("leaving")
	}
	select {
	case <-d.configSyncer.Ready():
		return nil
	default:
		return errors.New("no configuration yet")
	}
}

// serve starts the background loops and serves callers until the shutdown. It ignores the
// context of kratos, which is canceled when the shutdown begins: the loops run until the
// last request has ended.
func (d *Daemon) serve(context.Context) error {
	ctx := d.ctx
	d.startLoop(func() { d.members.Run(ctx, d.peerClient) })
	d.startLoop(func() {
		if err := d.configSyncer.Run(ctx); err != nil && ctx.Err() == nil {
			klog.Errorf("config: The distribution of the configuration failed: %v.", err)
		}
	})
	d.startLoop(func() { d.flushLedger(ctx) })
	d.startLoop(func() { pruner{store: d.store, fleet: d.members, retention: d.settings.LedgerRetention}.run(ctx) })
	d.startLoop(func() { d.reloadKeys(ctx) })
	d.startLoop(func() {
		if err := d.peerServer.Serve(ctx); err != nil {
			klog.Errorf("peer: The peer listener failed: %v.", err)
		}
	})
	if err := d.callerServer.Serve(ctx, d.callerListener); err != nil && ctx.Err() == nil && !errors.Is(err, pgwire.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// kratosServer implements transport.Server of kratos for the daemon.
type kratosServer struct {
	daemon *Daemon
}

// Start starts the background loops and serves callers and peers until Stop.
func (s kratosServer) Start(ctx context.Context) error {
	return s.daemon.serve(ctx)
}

// Stop waits for the requests of callers, then for the units of other VMs. It ends the
// background loops and closes the connections to peers after that.
func (s kratosServer) Stop(ctx context.Context) error {
	return s.daemon.shutdown(ctx)
}

// adminServer serves the administration API, metrics and health checks until the last
// request has ended.
type adminServer struct {
	*khttp.Server
	drained <-chan struct{}
}

// Stop waits until the daemon is drained or ctx ends, then stops the server.
func (a adminServer) Stop(ctx context.Context) error {
	select {
	case <-a.drained:
	case <-ctx.Done():
	}
	return a.Server.Stop(ctx)
}

// shutdown announces that this VM is leaving, waits for the requests in progress, flushes
// the ledger, and closes the connections and listeners.
func (d *Daemon) shutdown(ctx context.Context) error {
	klog.Infof("daemon: VM %s is leaving.", d.settings.VMName)
	d.members.Leave()
	d.notifyLeaving(ctx)
	err := errors.Join(d.callerServer.Shutdown(ctx), d.home.Shutdown(ctx))
	d.peerServer.Shutdown(ctx)
	close(d.drained)
	d.stop()
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	d.writeLedger(flushCtx)
	err = errors.Join(err, d.peerClient.Close(), d.peerServer.Close())
	d.closeListeners()
	d.wg.Wait()
	return err
}

// notifyLeaving tells the other VMs of the failure domain that this VM is leaving, because
// they forward units to its home.
func (d *Daemon) notifyLeaving(ctx context.Context) {
	view := d.members.Current()
	var wg sync.WaitGroup
	for _, vm := range view.UsableInDomain(view.Self.FailureDomain) {
		if vm.Name == view.Self.Name {
			continue
		}
		wg.Go(func() {
			if _, err := call[bool](ctx, d.peerClient, vm, methodLeaving, leavingRequest{VM: view.Self.Name}); err != nil {
				klog.V(1).Infof("daemon: VM %s was not notified that this VM is leaving: %v.", vm.Name, err)
			}
		})
	}
	wg.Wait()
}

// startLoop runs f in a goroutine that shutdown waits for.
func (d *Daemon) startLoop(f func()) {
	d.wg.Go(f)
}

func (d *Daemon) closeListeners() {
	if d.callerListener != nil {
		_ = d.callerListener.Close()
	}
	for _, socket := range d.udpSockets {
		_ = socket.Close()
	}
}

// reloadKeys reloads the key and certificate files at each reloadInterval, so that they
// can be renewed without a restart. A file that can't be used leaves the previous one in
// use.
func (d *Daemon) reloadKeys(ctx context.Context) {
	if d.settings.PeerSecret != "" && d.settings.CallerCert == "" {
		return
	}
	runEvery(ctx, reloadInterval, func() {
		if d.settings.PeerSecret == "" {
			if err := d.peerKeys.Reload(); err != nil {
				klog.Errorf("peer: Reload of the peer keys failed, the previous ones stay in use: %v.", err)
			}
		}
		if err := d.tls.reload(); err != nil {
			klog.Errorf("entry: Reload of the caller certificate failed, the previous one stays in use: %v.", err)
		}
	})
}

// runEvery calls f once per interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
