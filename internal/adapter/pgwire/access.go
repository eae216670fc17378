package pgwire

import (
	"slices"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/configuration"
	"github.com/laburnumrack/laburnumrack/internal/outcome"
	"github.com/laburnumrack/laburnumrack/internal/session"
)

// checkAccess checks whether the configuration lets a caller use a database now. It runs
// at login and again when a unit of work is opened, because the configuration may have
// changed.
func checkAccess(s *configuration.Snapshot, caller string, db session.Database) outcome.Outcome {
	if unconfigured(s) {
		return outcome.Refuse(outcome.NoConfiguration, retryAfterNoConfiguration, "no configuration is known yet")
	}
	service, ok := s.Services[db.Service]
	if !ok {
		return outcome.Refuse(outcome.UnknownService, 0, "service %q does not exist", clip(db.Service))
	}
	if _, ok := s.Database(db.Service, db.Name); !ok {
		return outcome.Refuse(outcome.UnknownService, 0, "service %q has no database %q", clip(db.Service), clip(db.Name))
	}
	if !hasServiceAccess(s, caller, db.Service) {
		return outcome.Refuse(outcome.CallerDenied, 0, "caller %q may not use service %q", clip(caller), clip(db.Service))
	}
	switch service.Value.State {
	case configuration.ServiceDraining:
		return outcome.Refuse(outcome.ServiceDraining, retryAfterServiceDown, "service %q is draining", db.Service)
	case configuration.ServiceStopped:
		return outcome.Refuse(outcome.ServiceStopped, retryAfterServiceDown, "service %q is stopped", db.Service)
	default:
		return outcome.Outcome{}
	}
}

// unconfigured reports whether the daemon has no configuration yet.
func unconfigured(s *configuration.Snapshot) bool {
	return s.Revision == 0 && len(s.Services) == 0
}

// Times after which a refused caller should retry, by the reason for the refusal.
const (
	// retryAfterNoConfiguration applies while a daemon that has just started loads the
	// configuration.
	retryAfterNoConfiguration = time.Second
	// retryAfterConnectionLimit applies while all caller connections of a daemon are in
	// use.
	retryAfterConnectionLimit = time.Second
	// retryAfterShutdown applies when a daemon shuts down. It is short, because the load
	// balancer sends the caller to another daemon.
	retryAfterShutdown = 10 * time.Millisecond
	// retryAfterServiceDown applies while operators have drained or stopped a service.
	retryAfterServiceDown = 5 * time.Second
)

func hasServiceAccess(s *configuration.Snapshot, caller, service string) bool {
	return slices.Contains(s.Callers[caller].Value.Services, service)
}
