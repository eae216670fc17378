// Package store defines the interface to the platform's object service.
//
// The store holds configuration, terms and status. It has outages, in which nothing
// changes (ErrUnavailable), and it may lose an answer after the change took effect
// (ErrOutcomeUnknown). A caller must distinguish the two with errors.Is.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Kind is the kind of an object; it is the first part of its key.
type Kind string

// The kinds of objects that laburnumrack stores.
const (
	KindService    Kind = "service"
	KindCaller     Kind = "caller"
	KindReadPolicy Kind = "readpolicy"
	KindOperator   Kind = "operator"
	KindRegion     Kind = "region"
	KindDrain      Kind = "drain"
	KindTerm       Kind = "term"
	KindShare      Kind = "share"
	KindLedger     Kind = "ledger"
	KindPromotion  Kind = "promotion"
)

// MaxValueBytes is the maximum size of a value that the platform accepts, in bytes.
const MaxValueBytes = 1 << 20

// Revision numbers the changes of the store in order. Zero precedes the first change.
type Revision uint64

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String formats k as kind/name.
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// Object is one version of an object.
type Object struct {
	Key
	// Version is the revision of the change that wrote this version. In a Put it is
	// the version to replace; zero creates the object.
	Version Revision `json:"version"`
	// Value is a JSON document.
	Value []byte `json:"value,omitempty"`
	// Deleted marks the event of a deletion.
	Deleted bool `json:"deleted,omitempty"`
	// Era is the era of the answer that brought the object, or zero if the client does not
	// tell eras apart. An object that is part of a page has the era of the page.
	Era Era `json:"-"`
}

// Point returns the point in the store's history at which this version was written. It is
// comparable with points of Era only.
func (o Object) Point() Point {
	return Point{Era: o.Era, Revision: o.Version}
}

// Page is the result of List or Watch: the objects as of Revision, or the events up to
// it.
type Page struct {
	Revision Revision `json:"revision"`
	Objects  []Object `json:"objects"`
	// Era is the era of Revision, or zero if the client does not tell eras apart.
	Era Era `json:"era,omitempty"`
}

// Point returns the point in the store's history as of which p is complete.
func (p Page) Point() Point {
	return Point{Era: p.Era, Revision: p.Revision}
}

// VMState is the state of a VM as the platform reports it.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs, which may be out of date.
type VM struct {
	Name string `json:"name"`
	// Address is the IP:port of the VM's peer listener (UDP).
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
	// Capacity is zero if the VM does not declare it.
	Capacity Capacity `json:"capacity,omitzero"`
}

// Capacity is what a VM declares that it can carry. A value that is not positive is not
// declared.
type Capacity struct {
	// Processor is the number of processor cores that the VM may use; it may be a fraction.
	Processor float64 `json:"processor,omitempty"`
	// Link is the bandwidth of the VM's link in Mbit/s.
	Link float64 `json:"link,omitempty"`
}

// Errors of the store.
var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable reports that the store did not accept the call: nothing changed.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown reports that the answer was lost: the change may have taken effect.
	ErrOutcomeUnknown = errors.New("store answer lost")
	// ErrCompacted reports that a watch starts before the oldest retained event.
	ErrCompacted = errors.New("watch revision is too old")
	// ErrEraChanged reports that a call refers to a revision of an earlier era than the
	// store is in, or that the store changed its era during the call.
	ErrEraChanged = errors.New("the store has begun a new era")
	// ErrTooLarge reports that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("object value too large")
)

// ConflictError reports that an object has another version than the call expected.
type ConflictError struct {
	Key Key
	// Current is the current object; its Version is zero if the object does not
	// exist.
	Current Object
}

// Error names the object and its current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version conflict: %s has version %d", e.Key, e.Current.Version)
}

// Store is the platform's object service. Its methods are safe for concurrent use. Each
// may return ErrUnavailable.
type Store interface {
	// Get returns the current version of an object. The error may be ErrNotFound.
	Get(ctx context.Context, k Key) (Object, error)
	// List returns all objects of the given kinds as of one revision.
	List(ctx context.Context, kinds ...Kind) (Page, error)
	// Put replaces version o.Version of an object by o.Value and returns the new
	// version. The error may be a *ConflictError, ErrTooLarge or ErrOutcomeUnknown.
	Put(ctx context.Context, o Object) (Object, error)
	// Delete deletes the given version of an object. The error may be
	// ErrNotFound, a *ConflictError or ErrOutcomeUnknown.
	Delete(ctx context.Context, k Key, version Revision) error
	// Watch returns the changes of the given kinds after from. If there is none, it
	// waits up to wait for one. The error may be ErrCompacted.
	Watch(ctx context.Context, from Revision, wait time.Duration, kinds ...Kind) (Page, error)
	// VMs returns the platform's list of VMs, which may be out of date.
	VMs(ctx context.Context) ([]VM, error)
}
