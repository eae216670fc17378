package configuration

import (
	"net/netip"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// ServiceState determines whether a service accepts new work.
type ServiceState string

// The states of a service.
const (
	ServiceActive   ServiceState = "active"
	ServiceDraining ServiceState = "draining"
	ServiceStopped  ServiceState = "stopped"
)

// Service is a named set of databases that callers are granted access to.
type Service struct {
	Name      string       `json:"name"`
	State     ServiceState `json:"state"`
	Databases []Database   `json:"databases"`
	// CommandID is the id of the command that wrote this version.
	CommandID string `json:"command_id,omitempty"`
}

// Database is one database group: a primary and its replicas.
type Database struct {
	Name    string   `json:"name"`
	Targets []Target `json:"targets"`
}

// Target is one instance of a database group.
type Target struct {
	Name string `json:"name"`
	// Address is the IP:port of the target's listener (TCP).
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failure_domain"`
	// Slots is the maximum number of statements that run on the target concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections to the target from all daemons
	// together.
	Connections int `json:"connections"`
}

// Caller is an application that may use services.
type Caller struct {
	Name string `json:"name"`
	// Verifier is the SCRAM-SHA-256 verifier in the format that PostgreSQL stores:
	// SCRAM-SHA-256$iterations:salt$storedkey:serverkey.
	Verifier string   `json:"verifier"`
	Services []string `json:"services"`
	// Policy is the name of the caller's read policy. If it is empty, the age of reads
	// is not bounded, but a read covers the position of the session's token.
	Policy string `json:"policy,omitempty"`
	// Class is the caller's request class, for example fan-order.
	Class string `json:"class,omitempty"`
	// Weight is the weight of the caller's requests in a queue; zero means 1.
	Weight    int    `json:"weight,omitempty"`
	ReadOnly  bool   `json:"read_only,omitempty"`
	CommandID string `json:"command_id,omitempty"`
}

// ReadPolicy bounds the staleness of reads.
type ReadPolicy struct {
	Name string `json:"name"`
	// MaxAge is the maximum age of the data that a read returns; zero is unbounded.
	MaxAge time.Duration `json:"max_age"`
	// DefaultAge is the accepted age of data if the session sets none; zero means that
	// a read must cover the session's position.
	DefaultAge time.Duration `json:"default_age"`
	// PrimaryOnly sends every read to the primary.
	PrimaryOnly bool   `json:"primary_only,omitempty"`
	CommandID   string `json:"command_id,omitempty"`
}

// Role determines the permissions of an operator.
type Role string

// The roles of operators.
const (
	RoleViewer Role = "viewer"
	RoleEditor Role = "editor"
)

// Operator is a person who uses the administration API.
type Operator struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// SecretHash is the hex SHA-256 of the operator's bearer secret.
	SecretHash string `json:"secret_hash"`
	CommandID  string `json:"command_id,omitempty"`
}

// Region is a set of failure domains.
type Region struct {
	Name           string   `json:"name"`
	FailureDomains []string `json:"failure_domains"`
	CommandID      string   `json:"command_id,omitempty"`
}

// DrainKind is the kind of object that a Drain applies to.
type DrainKind string

// The kinds of drains. A service is drained by its State instead.
const (
	DrainTarget DrainKind = "target"
	DrainVM     DrainKind = "vm"
)

// Drain excludes a target or VM from new work. Its object name is Kind:Name.
type Drain struct {
	Kind      DrainKind `json:"kind"`
	Name      string    `json:"name"`
	CommandID string    `json:"command_id,omitempty"`
}

// Versioned is an object with its version in the store.
type Versioned[T any] struct {
	Value   T
	Version store.Revision
}
