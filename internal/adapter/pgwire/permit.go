package pgwire

import (
	"slices"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/session"
)

// permitted checks a caller against the configuration. It is asked again with
// each unit of work.
func permitted(s *configuration.Snapshot, caller string, db session.Database) outcome.Outcome {
	if unconfigured(s) {
		return outcome.Refuse(outcome.NoConfiguration, retryConfiguration, "no configuration is known yet")
	}
	service, ok := s.Services[db.Service]
	if !ok {
		return outcome.Refuse(outcome.UnknownService, 0, "service %q does not exist", clip(db.Service))
	}
	if _, ok := s.Database(db.Service, db.Name); !ok {
		return outcome.Refuse(outcome.UnknownService, 0, "service %q has no database %q", clip(db.Service), clip(db.Name))
	}
	if !mayUse(s, caller, db.Service) {
		return outcome.Refuse(outcome.CallerDenied, 0, "caller %q may not use service %q", clip(caller), clip(db.Service))
	}
	switch service.Value.State {
	case configuration.ServiceDraining:
		return outcome.Refuse(outcome.ServiceDraining, retryService, "service %q is draining", db.Service)
	case configuration.ServiceStopped:
		return outcome.Refuse(outcome.ServiceStopped, retryService, "service %q is stopped", db.Service)
	default:
		return outcome.Outcome{}
	}
}

// unconfigured reports whether the daemon has no configuration yet.
func unconfigured(s *configuration.Snapshot) bool {
	return s.Revision == 0 && len(s.Services) == 0
}

// Times after which a refused caller should come back.
const (
	// retryConfiguration is for a daemon that has just started.
	retryConfiguration = time.Second
	// retryConnection is for a daemon that has no connection left.
	retryConnection = time.Second
	// retryElsewhere is for a daemon that leaves: the balancer has another.
	retryElsewhere = 10 * time.Millisecond
	// retryService is for a service that operators drained or stopped.
	retryService = 5 * time.Second
)

func mayUse(s *configuration.Snapshot, caller, service string) bool {
	return slices.Contains(s.Callers[caller].Value.Services, service)
}
