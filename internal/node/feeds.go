package node

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/catalog"
	"github.com/laburnumrack/laburnumrack/internal/membership"
	"github.com/laburnumrack/laburnumrack/internal/store"
	"github.com/laburnumrack/laburnumrack/platform"
)

// strictWaitShare is the share of the revocation time that a watch of the configuration
// waits under strict revocation. A follower's confirmation is up to two watches old, its own
// and that of its relay, and one of them may be lost.
const strictWaitShare = 0.25

// configurationWait returns how long a watch of the configuration waits for a change.
func configurationWait(s platform.Settings) time.Duration {
	if !s.StrictRevocation {
		return watchWait
	}
	return min(watchWait, time.Duration(strictWaitShare*float64(s.RevocationTime)))
}

// configurationFeed returns the feed that applies the configuration.
func (n *Node) configurationFeed() *feed {
	apply := func(o store.Object) {
		if o.Name != platform.ConfigurationName || o.Deleted {
			return
		}
		c, err := platform.DecodeConfiguration(o)
		if err != nil {
			n.log.StateChange("configuration_fault", "revision", o.Version, "used", c != nil, "error", err.Error())
		}
		if c == nil {
			return
		}
		n.observeStoredVersion(c.Version)
		if n.configuration.Apply(c) {
			n.registry.Declare(c)
			n.frontend.ConfigurationChanged()
			n.log.StateChange("configuration_applied", "version", c.Version, "revision", o.Version, "routes", len(c.Routes), "groups", len(c.Groups), "tenants", len(c.Tenants))
		}
	}
	return &feed{
		kind: platform.KindConfiguration, objects: n.store, relays: n.members, mirror: n.mirrors[platform.KindConfiguration], wait: configurationWait(n.settings), log: n.log, onChange: apply, onPoint: n.promotionLock.ObservePoint,
		redact: platform.RedactConfiguration, onConfirmed: n.confirmation.Confirm, acrossDomains: true,
		onReplace: func(objects []store.Object) {
			for _, o := range objects {
				apply(o)
			}
		},
	}
}

// configurationBehindMetric is 1 while the store holds a lower version of the configuration
// than the one in force, which it lost with an earlier era, and 0 otherwise.
const configurationBehindMetric = `laburnumrack_configuration_behind`

// observeStoredVersion logs when the store begins or ceases to hold a lower version of the
// configuration than the one in force. The one in force stays.
func (n *Node) observeStoredVersion(stored uint64) {
	current := n.configuration.Current()
	behind := current != nil && stored < current.Version
	if n.configurationBehind.Swap(behind) == behind {
		return
	}
	value := 0.0
	if behind {
		value = 1
		n.log.StateChange("configuration_behind", "stored", stored, "in_force", current.Version)
	} else {
		n.log.StateChange("configuration_restored", "stored", stored)
	}
	metrics.GetOrCreateGauge(configurationBehindMetric, nil).Set(value)
}

// vmFeed returns the feed of the registrations of VMs.
func (n *Node) vmFeed() *feed {
	return &feed{
		kind: membership.KindVM, objects: n.store, relays: n.members, mirror: n.mirrors[membership.KindVM], wait: slowWatchWait, log: n.log, followsHead: true,
		onReplace: n.members.Replace, onChange: n.members.Change,
		onEra: func(era store.Era, _ time.Duration) { n.members.BeginEra(era) },
	}
}

// targetFeed returns the feed of the targets.
func (n *Node) targetFeed() *feed {
	decode := func(o store.Object) (catalog.Target, bool) {
		t, err := platform.DecodeTarget(o)
		if err != nil {
			n.log.StateChange("target_entry_ignored", "entry", o.Name, "revision", o.Version, "error", err.Error())
		}
		return t, err == nil
	}
	return &feed{
		kind: platform.KindTargets, objects: n.store, relays: n.members, mirror: n.mirrors[platform.KindTargets], wait: watchWait, log: n.log, followsHead: true, onPoint: n.promotionLock.ObservePoint,
		onEra: n.registry.BeginEra,
		onReplace: func(objects []store.Object) {
			var targets []catalog.Target
			for _, o := range objects {
				if t, ok := decode(o); ok {
					targets = append(targets, t)
				}
			}
			n.registry.SetTargets(targets)
			n.targetsListed.Store(true)
		},
		onChange: func(o store.Object) {
			if o.Deleted {
				n.registry.RemoveTarget(o.Name)
				return
			}
			if t, ok := decode(o); ok {
				n.registry.PutTarget(t)
			}
		},
	}
}
