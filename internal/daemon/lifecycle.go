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

// ready returns nil when the daemon can serve callers.
func (d *Daemon) ready() error {
	if d.members.Current().Self.Leaving {
		return errors.New("leaving")
	}
	select {
	case <-d.runner.Ready():
		return nil
	default:
		return errors.New("no configuration yet")
	}
}

// serve runs the loops and serves callers until the shutdown. The context of kratos
// ends when the shutdown begins, that of the loops when it is over.
func (d *Daemon) serve(context.Context) error {
	ctx := d.ctx
	d.loop(func() { d.members.Run(ctx, d.peers) })
	d.loop(func() {
		if err := d.runner.Run(ctx); err != nil && ctx.Err() == nil {
			klog.Errorf("config: The distribution ended: %v.", err)
		}
	})
	d.loop(func() { d.flushLedger(ctx) })
	d.loop(func() { pruner{store: d.store, fleet: d.members, retention: d.settings.LedgerRetention}.run(ctx) })
	d.loop(func() { d.reloadKeys(ctx) })
	d.loop(func() {
		if err := d.server.Serve(ctx); err != nil {
			klog.Errorf("peer: The listener ended: %v.", err)
		}
	})
	if err := d.callers.Serve(ctx, d.callerListener); err != nil && ctx.Err() == nil && !errors.Is(err, pgwire.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// lifecycle is the server that kratos starts and stops.
type lifecycle struct {
	daemon *Daemon
}

// Start runs the loops and serves callers and peers until the context ends.
func (l lifecycle) Start(ctx context.Context) error {
	return l.daemon.serve(ctx)
}

// Stop lets every request end: callers first, then the units of other VMs. Only
// then do the loops and the connections to peers end.
func (l lifecycle) Stop(ctx context.Context) error {
	return l.daemon.shutdown(ctx)
}

// adminLifecycle keeps the administration API, metrics and health up until the last
// request has ended.
type adminLifecycle struct {
	*khttp.Server
	drained <-chan struct{}
}

// Stop waits for the requests and stops the server.
func (a adminLifecycle) Stop(ctx context.Context) error {
	select {
	case <-a.drained:
	case <-ctx.Done():
	}
	return a.Server.Stop(ctx)
}

func (d *Daemon) shutdown(ctx context.Context) error {
	klog.Infof("daemon: VM %s is leaving.", d.settings.VMName)
	d.members.Leave()
	d.tellLeaving(ctx)
	err := errors.Join(d.callers.Shutdown(ctx), d.home.Shutdown(ctx))
	d.server.Shutdown(ctx)
	close(d.drained)
	d.stop()
	flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	d.writeLedger(flush)
	err = errors.Join(err, d.peers.Close(), d.server.Close())
	d.closeListeners()
	d.wg.Wait()
	return err
}

// tellLeaving tells the VMs of the own failure domain, which send work here.
func (d *Daemon) tellLeaving(ctx context.Context) {
	view := d.members.Current()
	var wg sync.WaitGroup
	for _, vm := range view.UsableInDomain(view.Self.FailureDomain) {
		if vm.Name == view.Self.Name {
			continue
		}
		wg.Go(func() {
			if _, err := call[bool](ctx, d.peers, vm, methodLeaving, leavingRequest{VM: view.Self.Name}); err != nil {
				klog.V(1).Infof("daemon: VM %s was not told: %v.", vm.Name, err)
			}
		})
	}
	wg.Wait()
}

func (d *Daemon) loop(f func()) {
	d.wg.Go(f)
}

func (d *Daemon) closeListeners() {
	if d.callerListener != nil {
		_ = d.callerListener.Close()
	}
	for _, socket := range d.sockets {
		_ = socket.Close()
	}
}

// reloadKeys reads key files again, so that they can be renewed without a
// restart.
func (d *Daemon) reloadKeys(ctx context.Context) {
	if d.settings.PeerSecret != "" && d.settings.CallerCert == "" {
		return
	}
	every(ctx, reloadInterval, func() {
		if d.settings.PeerSecret == "" {
			if err := d.keys.Reload(); err != nil {
				klog.Errorf("peer: The keys stay as they are: %v.", err)
			}
		}
		if err := d.tls.reload(); err != nil {
			klog.Errorf("entry: The caller certificate stays as it is: %v.", err)
		}
	})
}

// every calls f at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
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
