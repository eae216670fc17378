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

// Methods of control calls between daemons.
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

// callTimeout bounds one control call.
const callTimeout = 2 * time.Second

// evidenceRequest asks what a home sees of a target.
type evidenceRequest struct {
	Service  string `cbor:"1,keyasint"`
	Database string `cbor:"2,keyasint"`
	Target   string `cbor:"3,keyasint"`
}

// evidenceReply holds the evidence of a home, if it has any. Times are ages,
// because the clocks of two VMs may differ.
type evidenceReply struct {
	Known     bool               `cbor:"1,keyasint,omitempty"`
	Kind      group.EvidenceKind `cbor:"2,keyasint,omitempty"`
	RoundTrip time.Duration      `cbor:"3,keyasint,omitempty"`
	For       time.Duration      `cbor:"4,keyasint,omitempty"`
}

// leavingRequest says that a VM takes no new work.
type leavingRequest struct {
	VM string `cbor:"1,keyasint"`
}

// answer makes a peer.Handler of a typed function.
func answer[In, Out any](f func(ctx context.Context, in In) (Out, error)) peer.Handler {
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

// answerRows makes a peer.Handler of a function that gives this daemon's rows.
func answerRows[T any](rows func() []T) peer.Handler {
	return answer(func(context.Context, none) (localRows[T], error) {
		return localRows[T]{Rows: rows()}, nil
	})
}

// call makes a typed control call.
func call[Out any](ctx context.Context, client *peer.Client, vm fleet.VM, method string, in any) (Out, error) {
	var out Out
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := cbor.Marshal(in)
	if err != nil {
		return out, fmt.Errorf("encode %s: %w", method, err)
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

// handlers returns the control calls that this daemon answers.
func (d *Daemon) handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		methodLeaving: answer(func(_ context.Context, in leavingRequest) (bool, error) {
			d.members.MarkLeaving(in.VM)
			return true, nil
		}),
		methodList: answer(d.members.answerList),
		methodEvidence: answer(func(_ context.Context, in evidenceRequest) (evidenceReply, error) {
			return d.opinion(in), nil
		}),
		methodHolders:    answerRows(d.localHolders),
		methodReplicas:   answerRows(d.localReplicas),
		methodVM:         answerRows(d.localVMs),
		methodTime:       answerRows(d.localDocuments),
		methodConfigPush: answer(d.pushed),
		methodConfigPull: answer(d.pulled),
	}
}

// none is the empty request.
type none struct{}

func (d *Daemon) opinion(in evidenceRequest) evidenceReply {
	e, ok := d.home.LocalEvidence(in.Service, in.Database, in.Target)
	if !ok {
		return evidenceReply{}
	}
	return evidenceReply{Known: true, Kind: e.Kind, RoundTrip: e.RoundTrip, For: e.SilentFor}
}

// remoteEvidence asks the homes of other failure domains what they see of a target.
func (d *Daemon) remoteEvidence(ctx context.Context, service, database, target string) []group.Evidence {
	view := d.members.Current()
	asked := map[string]fleet.VM{}
	for _, vm := range view.VMs {
		if _, known := asked[vm.FailureDomain]; known || vm.FailureDomain == view.Self.FailureDomain {
			continue
		}
		if homes := view.HomesIn(vm.FailureDomain, service, database); len(homes) > 0 {
			asked[vm.FailureDomain] = homes[0]
		}
	}
	request := evidenceRequest{Service: service, Database: database, Target: target}
	replies := make(chan *group.Evidence, len(asked))
	for domain, vm := range asked {
		go func() {
			reply, err := call[evidenceReply](ctx, d.peers, vm, methodEvidence, request)
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
				SilentFor:     reply.For,
			}
		}()
	}
	var evidence []group.Evidence
	for range asked {
		if e := <-replies; e != nil {
			evidence = append(evidence, *e)
		}
	}
	return evidence
}

var _ home.RemoteEvidenceFunc = (*Daemon)(nil).remoteEvidence
