// Package ratelimit enforces the rate limits of tenants across all daemons. Each daemon asks
// the quota owner of a tenant in its failure domain before it runs an operation, and is
// itself quota owner of some tenants. The decisions are those of package quota.
package ratelimit

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/eventlog"
	"github.com/laburnumrack/laburnumrack/internal/peer"
	"github.com/laburnumrack/laburnumrack/internal/quota"
)

// Reasons of refusals.
const (
	// ReasonOverQuota is the reason of a refusal because the tenant is at its limit.
	ReasonOverQuota = "over_quota"
	// ReasonUnreachable is the reason of a refusal because no quota owner can be reached.
	ReasonUnreachable = "quota_unreachable"
)

// Timing of requests.
const (
	// waitLimit is how long operations wait for transfers: a round trip between regions, 60
	// ms, and the delays of busy VMs.
	waitLimit = 110 * time.Millisecond
	// ownerTimeout is how long a gateway waits for the first owner, successorTimeout how
	// long for a successor, which may first have to find out that the owner is silent.
	ownerTimeout     = waitLimit + 40*time.Millisecond
	successorTimeout = 250 * time.Millisecond
	// forwardTimeout is how long a successor waits for the owner.
	forwardTimeout = 100 * time.Millisecond
	// nearTransferTimeout and farTransferTimeout limit a transfer within a region and between
	// regions.
	nearTransferTimeout = 100 * time.Millisecond
	farTransferTimeout  = 250 * time.Millisecond
	// downProbeInterval is the time between probes of a daemon that counts as down. Until it
	// is found to be up again, it and its successor may both act as owner.
	downProbeInterval = 500 * time.Millisecond
	// A daemon that is down for longDownAfter is probed less often, and forgotten after
	// forgetDownAfter: it may not be registered any more.
	longDownAfter         = time.Minute
	longDownProbeInterval = 5 * time.Second
	forgetDownAfter       = 10 * time.Minute
	// batchInterval is how long operations of a tenant wait for the answer to an earlier
	// message before they are sent as another one. A round trip within a failure domain takes
	// less, unless the owner waits for transfers.
	batchInterval = 5 * time.Millisecond
	// unreachableRetry and unreachableSpread give the retry-after times of operations that
	// were refused because no owner can be reached: an owner that was killed is replaced
	// within that.
	unreachableRetry  = 100 * time.Millisecond
	unreachableSpread = 200 * time.Millisecond
)

// Network gives access to the other daemons. The names of daemons are those of their VMs.
type Network interface {
	// Known reports whether the VMs have been listed.
	Known() bool
	// QuotaOwners returns the VMs of a failure domain to try as quota owner of a tenant, best
	// first, also those that can't be reached.
	QuotaOwners(domain, tenant string) []string
	// Neighbors returns the other VMs of this failure domain, in order, also those that can't
	// be reached.
	Neighbors() []string
	// CallQuota sends a request to a VM. The error wraps peer.ErrQuotaSilent if it does not
	// answer in time and syscall.ECONNREFUSED if its process does not run.
	CallQuota(name string, r peer.QuotaRequest, timeout time.Duration) (peer.QuotaResponse, error)
}

// Options configure a Limiter.
type Options struct {
	// Self and Domain are the names of this daemon and its failure domain.
	Self, Domain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// Slack is the number of operations of a tenant that may run beyond its limit in each
	// window.
	Slack   float64
	Network Network
	// Now returns the time since boot.
	Now func() time.Duration
	Log *eventlog.Log
}

// Limiter admits the operations of this daemon's callers and acts as quota owner for other
// daemons. It is safe for concurrent use.
type Limiter struct {
	options Options
	owner   owner
	contact contact
	// far names the failure domains of other regions.
	far map[string]bool

	mu sync.Mutex
	// queues hold the operations that have not been sent to the owner, by tenant.
	queues map[string]*queue // guarded by mu
	// down holds the daemons that did not answer. They are not asked until they answer a
	// probe or send a request themselves.
	down map[string]*downDaemon // guarded by mu
	// surveyedAt is when the neighbors were last probed because one of them fell silent, and
	// sampledAt when one was last probed to find out whether one has.
	surveyedAt, sampledAt time.Duration // guarded by mu
	// unreachableDomains are the failure domains whose last transfer failed.
	unreachableDomains map[string]bool // guarded by mu
}

// downDaemon is a daemon that did not answer.
type downDaemon struct {
	// since is when its first request without an answer ended, probeAt when it is probed next.
	since, probeAt time.Duration
	// noOwner is true if the daemon can't act as quota owner; see canNotOwn.
	noOwner bool
	// replaced is true if this daemon has acted as quota owner in its place.
	replaced bool
}

// queue holds the next batch of a tenant.
type queue struct {
	next *batch
}

// batch is a number of operations of one tenant that are sent as one message.
type batch struct {
	limit quota.Limit
	count int
	// done is closed when the outcome is set.
	done    chan struct{}
	outcome outcome
}

// outcome is the answer to a batch. Reached is false if no owner was reached.
type outcome struct {
	reached  bool
	decision quota.Decision
}

// New returns a limiter. Run must be called for it.
func New(o Options) *Limiter {
	l := &Limiter{
		options: o, far: map[string]bool{}, queues: map[string]*queue{}, down: map[string]*downDaemon{}, unreachableDomains: map[string]bool{},
	}
	var near, far []string
	for domain, region := range o.Regions {
		switch {
		case domain == o.Domain:
		case region == o.Regions[o.Domain]:
			near = append(near, domain)
		default:
			far = append(far, domain)
			l.far[domain] = true
		}
	}
	slices.Sort(near)
	slices.Sort(far)
	others := append(near, far...)
	l.owner = owner{
		limiter: l, others: others, share: quota.Share{Domains: len(others) + 1, Slack: o.Slack},
		accounts: map[string]*heldAccount{}, full: map[string]quota.Limit{},
	}
	l.contact.at, l.contact.probing = o.Now(), make(chan struct{}, 1)
	return l
}

// Admit asks for one operation of a tenant, whose limit is that of the given version of the
// configuration. A tenant without a limit is admitted without a message. If ok is false, the
// operation must not run, and retryAfter is when it may be tried again.
func (l *Limiter) Admit(tenant catalog.Tenant, version uint64) (retryAfter time.Duration, reason string, ok bool) {
	if !tenant.Limited() {
		return 0, "", true
	}
	limit := quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst, Version: version}
	if limit.Rate <= 0 {
		return refuse(quota.RetryHorizon, ReasonOverQuota)
	}
	var result outcome
	index := 0
	if l.isFirstOwner(tenant.Name) {
		result = l.route(tenant.Name, limit, 1, fromGateway)
	} else {
		b, i := l.enqueue(tenant.Name, limit)
		<-b.done
		result, index = b.outcome, i
	}
	switch {
	case !result.reached:
		return refuse(unreachableRetry+rand.N(unreachableSpread), ReasonUnreachable)
	case index < result.decision.Granted:
		metrics.GetOrCreateCounter(`laburnumrack_quota_admitted_total`).Inc()
		return 0, "", true
	default:
		after := result.decision.RetryAfter + time.Duration(index-result.decision.Granted)*result.decision.RetryStep
		return refuse(after, ReasonOverQuota)
	}
}

func refuse(after time.Duration, reason string) (time.Duration, string, bool) {
	metrics.GetOrCreateCounter(`laburnumrack_quota_refused_total{reason="` + reason + `"}`).Inc()
	return after, reason, false
}

// enqueue adds an operation to the next batch of the tenant and returns the batch and the
// operation's index in it.
func (l *Limiter) enqueue(tenant string, limit quota.Limit) (*batch, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, running := l.queues[tenant]
	if !running {
		q = &queue{}
		l.queues[tenant] = q
		go l.send(tenant, q)
	}
	if q.next == nil {
		q.next = &batch{done: make(chan struct{})}
	}
	b := q.next
	if b.count == 0 || limit.Version > b.limit.Version {
		b.limit = limit
	}
	b.count++
	return b, b.count - 1
}

// send sends the batches of a tenant until there are no more. It sends the next one when the
// last one is answered, or after batchInterval.
func (l *Limiter) send(tenant string, q *queue) {
	timer := time.NewTimer(batchInterval)
	defer timer.Stop()
	for {
		l.mu.Lock()
		b := q.next
		q.next = nil
		if b == nil {
			delete(l.queues, tenant)
		}
		l.mu.Unlock()
		if b == nil {
			return
		}
		go func() {
			b.outcome = l.route(tenant, b.limit, b.count, fromGateway)
			close(b.done)
		}()
		timer.Reset(batchInterval)
		select {
		case <-b.done:
		case <-timer.C:
		}
	}
}

// origin is where a request for operations comes from.
type origin int

const (
	// fromGateway is a request of a caller of this daemon.
	fromGateway origin = iota
	// fromPeer is a request of another gateway, which considers this daemon the first owner
	// that it can reach.
	fromPeer
	// forwarded is a request of another daemon that is not the owner either. It is not sent
	// on, so that daemons with different views don't send it in a circle.
	forwarded
)

// route finds the quota owner of the tenant in this failure domain, beginning with the first
// one. This daemon acts as owner if it can't reach the daemons ahead of it, or they don't act
// as owner, and it has contact with its failure domain.
func (l *Limiter) route(tenant string, limit quota.Limit, count int, from origin) outcome {
	if !l.options.Network.Known() {
		return outcome{}
	}
	// downSince is when the last of the daemons ahead of this one went down.
	downSince := time.Duration(0)
	var ahead []string
	for i, name := range l.options.Network.QuotaOwners(l.options.Domain, tenant) {
		if name == l.options.Self {
			if !l.hasContact(downSince) {
				return outcome{}
			}
			l.noteReplaced(ahead)
			return outcome{reached: true, decision: l.owner.admit(tenant, limit, count)}
		}
		ahead = append(ahead, name)
		if since, down := l.isDown(name); down {
			downSince = max(downSince, since)
			continue
		}
		if from == forwarded {
			return outcome{}
		}
		r := peer.QuotaRequest{
			Kind: peer.QuotaAdmit, Tenant: tenant, Rate: limit.Rate, Burst: limit.Burst, Version: limit.Version,
			Count: uint64(count), Forwarded: from == fromPeer,
		}
		timeout := ownerTimeout
		switch {
		case from == fromPeer:
			timeout = forwardTimeout
		case i > 0:
			timeout = successorTimeout
		}
		answer, err := l.call(name, r, timeout)
		if err != nil {
			downSince = max(downSince, l.options.Now())
			continue
		}
		l.noteContact()
		if answer.Owner {
			return outcome{reached: true, decision: decisionOf(answer, count)}
		}
	}
	return outcome{}
}

// noteReplaced logs the first time that this daemon acts as owner in the place of others
// since they went down.
func (l *Limiter) noteReplaced(names []string) {
	if len(names) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		if d, ok := l.down[name]; ok && !d.replaced {
			d.replaced = true
			l.options.Log.StateChange("quota_owner_replaced", "peer", name)
		}
	}
}

func decisionOf(answer peer.QuotaResponse, count int) quota.Decision {
	granted := int(min(answer.Granted, uint64(count)))
	return quota.Decision{
		Granted: granted, Refused: count - granted,
		RetryAfter: time.Duration(answer.RetryAfter) * time.Microsecond, RetryStep: time.Duration(answer.RetryStep) * time.Microsecond,
	}
}

// call sends a request and records whether the daemon answers.
func (l *Limiter) call(name string, r peer.QuotaRequest, timeout time.Duration) (peer.QuotaResponse, error) {
	metrics.GetOrCreateCounter(`laburnumrack_quota_messages_total{kind="` + kindLabel(r.Kind) + `"}`).Inc()
	answer, err := l.options.Network.CallQuota(name, r, timeout)
	if err == nil {
		l.markUp(name)
		return answer, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	d, ok := l.down[name]
	if !ok {
		d = &downDaemon{since: now}
		l.down[name] = d
		l.options.Log.StateChange("quota_peer_down", "peer", name, "error", err.Error())
	}
	d.noOwner = canNotOwn(err)
	if !ok && !d.noOwner && now-l.surveyedAt > surveyInterval {
		l.surveyedAt = now
		go l.survey()
	}
	d.probeAt = now + downProbeInterval
	if now-d.since > longDownAfter {
		d.probeAt = now + longDownProbeInterval
	}
	return answer, err
}

// canNotOwn reports whether an error shows that no quota owner runs at the other end: no
// process accepts connections, or one of a release without quotas.
func canNotOwn(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, peer.ErrNoQuota)
}

// markUp records that a daemon answers.
func (l *Limiter) markUp(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.down[name]; ok {
		delete(l.down, name)
		l.options.Log.StateChange("quota_peer_up", "peer", name)
	}
}

// isDown reports whether a daemon counts as down, and since when.
func (l *Limiter) isDown(name string) (since time.Duration, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, ok := l.down[name]; ok {
		return d.since, true
	}
	return 0, false
}

// probeDown probes the daemons that count as down.
func (l *Limiter) probeDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	for name, d := range l.down {
		if now < d.probeAt {
			continue
		}
		// Until the probe ends, no other one is sent.
		d.probeAt = now + longDownProbeInterval
		if now-d.since > forgetDownAfter {
			delete(l.down, name)
			continue
		}
		go func() {
			if _, err := l.call(name, peer.QuotaRequest{Kind: peer.QuotaProbe}, farTransferTimeout); err != nil {
				return
			}
			if slices.Contains(l.options.Network.Neighbors(), name) {
				l.noteContact()
			}
		}()
	}
}

// forgetDown forgets which daemons are down.
func (l *Limiter) forgetDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.down)
}

func kindLabel(k peer.QuotaKind) string {
	switch k {
	case peer.QuotaAdmit:
		return "admit"
	case peer.QuotaTransfer:
		return "transfer"
	case peer.QuotaState:
		return "state"
	default:
		return "probe"
	}
}

// isFirstOwner reports whether this daemon is the first quota owner of a tenant.
func (l *Limiter) isFirstOwner(tenant string) bool {
	owners := l.options.Network.QuotaOwners(l.options.Domain, tenant)
	return l.options.Network.Known() && len(owners) > 0 && owners[0] == l.options.Self
}

var _ peer.QuotaSource = (*Limiter)(nil)

// HandleQuota implements peer.QuotaSource.
func (l *Limiter) HandleQuota(from string, r peer.QuotaRequest) peer.QuotaResponse {
	limit := quota.Limit{Rate: r.Rate, Burst: r.Burst, Version: r.Version}
	l.markUp(from)
	switch r.Kind {
	case peer.QuotaProbe:
		if slices.Contains(l.options.Network.Neighbors(), from) {
			l.noteContact()
		}
		return peer.QuotaResponse{Owner: l.options.Network.Known()}
	case peer.QuotaAdmit:
		l.noteContact()
		source := fromPeer
		if r.Forwarded {
			source = forwarded
		}
		result := l.route(r.Tenant, limit, int(min(r.Count, maxBatch)), source)
		d := result.decision
		return peer.QuotaResponse{
			Owner: result.reached, Granted: uint64(d.Granted), RetryAfter: uint64(d.RetryAfter.Microseconds()), RetryStep: uint64(d.RetryStep.Microseconds()),
		}
	case peer.QuotaTransfer:
		if !l.actsFor(r.Tenant) {
			return peer.QuotaResponse{}
		}
		granted, spare := l.owner.grant(r.Tenant, limit, from, r.ID, float64(r.Count)/tokenUnits, float64(r.Urgent)/tokenUnits)
		return peer.QuotaResponse{Owner: true, Granted: uint64(granted * tokenUnits), Spare: uint64(spare * tokenUnits)}
	case peer.QuotaState:
		return peer.QuotaResponse{Owner: l.actsFor(r.Tenant), State: l.owner.state(r.Tenant)}
	default:
		return peer.QuotaResponse{}
	}
}

// maxBatch limits the number of operations that one message may ask for.
const maxBatch = 1 << 16

// tokenUnits is the number of units of the wire protocol per token. Granted amounts are
// rounded down.
const tokenUnits = 1000

// actsFor reports whether this daemon acts as quota owner: the daemons ahead of it are down,
// and it has contact with its failure domain.
func (l *Limiter) actsFor(tenant string) bool {
	if !l.options.Network.Known() {
		return false
	}
	downSince := time.Duration(0)
	for _, name := range l.options.Network.QuotaOwners(l.options.Domain, tenant) {
		if name == l.options.Self {
			return l.hasContact(downSince)
		}
		since, down := l.isDown(name)
		if !down {
			return false
		}
		downSince = max(downSince, since)
	}
	return false
}

// Run keeps contact with the failure domain and drops accounts that are not used, until ctx
// ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.keepContact()
			l.sample()
			l.owner.sweep()
			l.probeDown()
		}
	}
}
