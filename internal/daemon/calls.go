package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/laburnumrack/laburnumrack/internal/adapter/peer"
	"github.com/laburnumrack/laburnumrack/internal/fleet"
	"github.com/laburnumrack/laburnumrack/internal/group"
	"github.com/laburnumrack/laburnumrack/internal/home"
)

// Method names of control calls between daemons.
const (
	methodList       = "fleet.list"
	methodLeaving    = "fleet.leaving"
	methodEvidence   = "home.opinion"
	methodHolders    = "report.holders"
	methodReplicas   = "report.replicas"
	methodVM         = "report.vm"
	methodTime       = "report.time"
	methodConfigPush = "config.push"
	methodConfigPull = "config.pull"
)

// callTimeout limits one control call.
const callTimeout = 2 * time.Second

// evidenceRequest asks a home for its evidence about a target.
type evidenceRequest struct {
	Service  string `cbor:"1,keyasint"`
	Database string `cbor:"2,keyasint"`
	Target   string `cbor:"3,keyasint"`
}

// evidenceReply holds the evidence of a home about a target; Known is false if it has
// none. It carries durations and no timestamps, because the clocks of two VMs may differ.
type evidenceReply struct {
	Known     bool               `cbor:"1,keyasint,omitempty"`
	Kind      group.EvidenceKind `cbor:"2,keyasint,omitempty"`
	RoundTrip time.Duration      `cbor:"3,keyasint,omitempty"`
	SilentFor time.Duration      `cbor:"4,keyasint,omitempty"`
}

// leavingRequest announces that a VM accepts no new units.
type leavingRequest struct {
	VM string `cbor:"1,keyasint"`
}

// typedHandler returns a peer.Handler that decodes the request, calls f and encodes its
// result.
func typedHandler[In, Out any](f func(ctx context.Context, in In) (Out, error)) peer.Handler {
	return func(ctx context.Context, body []byte) ([]byte, error) {
		var in In
		if err := cbor.Unmarshal(body, &in); err != nil {
			return nil, fmt.Errorf("decode request: %w", err)
		}
		out, err := f(ctx, in)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(out)
	}
}

// rowsHandler returns a peer.Handler that replies with the rows of this daemon.
func rowsHandler[T any](rows func() []T) peer.Handler {
	return typedHandler(func(context.Context, emptyRequest) (localRows[T], error) {
		return localRows[T]{Rows: rows()}, nil
	})
}

// call sends a control call to vm and decodes its reply. It fails if vm does not reply
// within callTimeout.
func call[Out any](ctx context.Context, client *peer.Client, vm fleet.VM, method string, in any) (Out, error) {
	var out Out
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := cbor.Marshal(in)
	if err != nil {
		return out, fmt.Errorf("encode request of %s: %w", method, err)
	}
	reply, err := client.Call(ctx, vm, method, body)
	if err != nil {
		return out, err
	}
	if err := cbor.Unmarshal(reply, &out); err != nil {
		return out, fmt.Errorf("decode reply of %s from %s: %w", method, vm.Name, err)
	}
	return out, nil
}

// handlers returns the handlers of the control calls by method name.
func (d *Daemon) handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		methodLeaving: typedHandler(func(_ context.Context, in leavingRequest) (bool, error) {
			d.members.MarkLeaving(in.VM)
			return true, nil
		}),
		methodList: typedHandler(d.members.handleList),
		methodEvidence: typedHandler(func(_ context.Context, in evidenceRequest) (evidenceReply, error) {
			return d.localEvidence(in), nil
		}),
		methodHolders:    rowsHandler(d.localHolders),
		methodReplicas:   rowsHandler(d.localReplicas),
		methodVM:         rowsHandler(d.localVMs),
		methodTime:       rowsHandler(d.localDocuments),
		methodConfigPush: typedHandler(d.handlePush),
		methodConfigPull: typedHandler(d.handlePull),
	}
}

// emptyRequest is the request of a method without arguments.
type emptyRequest struct{}

// localEvidence returns the evidence of the home on this VM about a target.
func (d *Daemon) localEvidence(in evidenceRequest) evidenceReply {
	e, ok := d.home.LocalEvidence(in.Service, in.Database, in.Target)
	if !ok {
		return evidenceReply{}
	}
	return evidenceReply{Known: true, Kind: e.Kind, RoundTrip: e.RoundTrip, SilentFor: e.SilentFor}
}

// remoteEvidence asks the first home of the database in each other failure domain for its
// evidence about a target. Homes without evidence, or that do not reply, are left out.
func (d *Daemon) remoteEvidence(ctx context.Context, service, database, target string) []group.Evidence {
	view := d.members.Current()
	homeByDomain := map[string]fleet.VM{}
	for _, vm := range view.VMs {
		if _, known := homeByDomain[vm.FailureDomain]; known || vm.FailureDomain == view.Self.FailureDomain {
			continue
		}
		if homes := view.HomesIn(vm.FailureDomain, service, database); len(homes) > 0 {
			homeByDomain[vm.FailureDomain] = homes[0]
		}
	}
	request := evidenceRequest{Service: service, Database: database, Target: target}
	replies := make(chan *group.Evidence, len(homeByDomain))
	for domain, vm := range homeByDomain {
		go func() {
			reply, err := call[evidenceReply](ctx, d.peerClient, vm, methodEvidence, request)
			if err != nil || !reply.Known {
				replies <- nil
				return
			}
			replies <- &group.Evidence{
				Kind:          reply.Kind,
				At:            time.Now(),
				FailureDomain: domain,
				Target:        target,
				RoundTrip:     reply.RoundTrip,
				SilentFor:     reply.SilentFor,
			}
		}()
	}
	var evidence []group.Evidence
	for range homeByDomain {
		if e := <-replies; e != nil {
			evidence = append(evidence, *e)
		}
	}
	return evidence
}

var _ home.RemoteEvidenceFunc = (*Daemon)(nil).remoteEvidence
