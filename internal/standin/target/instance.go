package target

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/position"
	contract "github.com/laburnumrack/laburnumrack/internal/target"
)

// Default values of Config fields.
const (
	DefaultSlots        = 3
	DefaultConnections  = 20
	DefaultConnectDelay = 12 * time.Millisecond
)

const recordTable = contract.RecordTable

var recordColumns = []Column{
	{Name: "request_id", Type: TypeText},
	{Name: "caller", Type: TypeText},
	{Name: "tag", Type: TypeText},
}

// Config holds the settings of one instance.
type Config struct {
	// Name is the name of the target in the configuration.
	Name string
	// Address is the IP:port to listen on; port 0 selects a free port, and an empty
	// address means 127.0.0.1:0.
	Address string
	// ControlAddress is the IP:port of the fault control API; empty disables the API.
	ControlAddress string
	// Slots is the number of statements that execute concurrently; zero means
	// DefaultSlots.
	Slots int
	// Connections is the maximum number of client connections; zero means
	// DefaultConnections.
	Connections int
	// ConnectDelay is the time that opening a connection takes; zero means
	// DefaultConnectDelay, a negative value means no delay.
	ConnectDelay time.Duration
	// ServiceTime is added to the execution time of each statement.
	ServiceTime time.Duration
	// PrimaryTerm, if not zero, starts the instance as the primary of that term.
	PrimaryTerm position.Term
	// Follow, if valid, starts the instance as a replica of the primary at this address
	// in term FollowTerm.
	Follow     netip.AddrPort
	FollowTerm position.Term
}

// Faults holds the faults and delays that can be changed while an instance runs.
type Faults struct {
	// StreamDelay is the time between the append of an entry to the primary's log and
	// its append to this instance's log.
	StreamDelay time.Duration
	// ApplyDelay is the time between the append of an entry to this instance's log and
	// its application to the tables, which makes it visible to reads.
	ApplyDelay time.Duration
	// ReplicationPaused stops replication streams to and from this instance.
	ReplicationPaused bool
	// ConnectDelay and ServiceTime have the meaning of the Config fields.
	ConnectDelay time.Duration
	ServiceTime  time.Duration
}

// Instance is a running stand-in. Its exported methods are safe for concurrent use.
type Instance struct {
	config Config
	// address is set once, before Start returns.
	address    netip.AddrPort
	locks      *lockTable
	slots      *slots
	parseCache *statementCache
	control    *http.Server
	// controlAddress is the address that the fault control API listens on.
	controlAddress string
	statementCount atomic.Uint64
	nextPID        atomic.Uint32

	// mu guards the fields below.
	mu watchedMutex
	// thawed is signaled when frozen becomes false.
	thawed *sync.Cond
	frozen bool
	down   bool
	faults Faults
	// fence is the highest term that the instance was fenced at.
	fence position.Term
	// joined is the latest term in which the instance was the primary or truncated its log
	// to follow the primary.
	joined  position.Term
	primary bool
	log     []Entry
	// applied is the number of log entries that are applied to the tables.
	applied uint64
	// applyTimerArmed is true while a timer is pending that applies the next entry.
	applyTimerArmed bool
	tables          catalog
	// changed is closed and replaced whenever the state of the instance changes.
	changed chan struct{}
	// receiver is nil unless the instance follows a primary.
	receiver *streamReceiver
	sessions map[uint32]*session
	// conns holds all open connections, including those of replicas and cancel requests.
	conns    map[net.Conn]struct{}
	listener net.Listener
}

// Start starts an instance with the given configuration. It returns an error if the
// listener or the control API cannot listen on its address, or if the instance cannot
// follow the primary in the configured term.
func Start(config Config) (*Instance, error) {
	config = withDefaults(config)
	in := &Instance{
		config:     config,
		locks:      newLockTable(),
		slots:      newSlots(config.Slots),
		parseCache: newStatementCache(),
		faults:     Faults{ConnectDelay: config.ConnectDelay, ServiceTime: config.ServiceTime},
		tables:     newCatalog(),
		changed:    make(chan struct{}),
		sessions:   map[uint32]*session{},
		conns:      map[net.Conn]struct{}{},
		down:       true,
	}
	in.thawed = sync.NewCond(&in.mu)
	if config.PrimaryTerm > 0 {
		in.fence, in.joined, in.primary = config.PrimaryTerm, config.PrimaryTerm, true
		in.appendOwn(nil)
	}
	if err := in.listen(config.Address); err != nil {
		return nil, err
	}
	if err := in.startControl(config.ControlAddress); err != nil {
		in.Close()
		return nil, err
	}
	if config.Follow.IsValid() {
		if err := in.follow(config.FollowTerm, config.Follow); err != nil {
			in.Close()
			return nil, err
		}
	}
	return in, nil
}

// withDefaults returns config with unset fields replaced by their defaults.
func withDefaults(config Config) Config {
	if config.Address == "" {
		config.Address = "127.0.0.1:0"
	}
	if config.Slots == 0 {
		config.Slots = DefaultSlots
	}
	if config.Connections == 0 {
		config.Connections = DefaultConnections
	}
	if config.ConnectDelay == 0 {
		config.ConnectDelay = DefaultConnectDelay
	}
	return config
}

// listen opens the listener and starts accepting connections.
func (in *Instance) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("target %s: %w", in.config.Name, err)
	}
	bound, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		_ = listener.Close()
		return fmt.Errorf("target %s: %w", in.config.Name, err)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.address.IsValid() {
		in.address = bound
	}
	in.listener = listener
	in.down = false
	go in.accept(listener)
	return nil
}

// accept serves the connections of listener until it is closed.
func (in *Instance) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		in.mu.Lock()
		in.conns[conn] = struct{}{}
		in.mu.Unlock()
		go in.serve(conn)
	}
}

// Name returns the name of the target.
func (in *Instance) Name() string {
	return in.config.Name
}

// Address returns the address that the instance listens on. It stays the same after
// Restart.
func (in *Instance) Address() netip.AddrPort {
	return in.address
}

// ControlAddress returns the address of the fault control API, or "" if the API is
// disabled.
func (in *Instance) ControlAddress() string {
	return in.controlAddress
}

// Close permanently stops the instance, its replication and its control API.
func (in *Instance) Close() {
	in.Crash()
	in.mu.Lock()
	in.receiver.stop()
	in.receiver = nil
	in.mu.Unlock()
	in.Thaw()
	if in.control != nil {
		_ = in.control.Close()
	}
}

// lockThawed locks mu once the instance is not frozen.
func (in *Instance) lockThawed() {
	in.mu.Lock()
	for in.frozen {
		in.thawed.Wait()
	}
}

// waitUntilThawed blocks while the instance is frozen.
func (in *Instance) waitUntilThawed() {
	in.lockThawed()
	in.mu.Unlock()
}

// Status returns the status of the instance. It also works while the instance is down
// or frozen.
func (in *Instance) Status() contract.Status {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.status()
}

// status returns the status of the instance. The caller holds mu.
func (in *Instance) status() contract.Status {
	return contract.Status{
		Target:  in.config.Name,
		Primary: in.primary,
		Fence:   in.fence,
		Joined:  in.joined,
		Last:    in.lastPosition(),
		Applied: in.positionAt(in.applied),
	}
}

// Log returns the positions of all log entries, in log order.
func (in *Instance) Log() []position.Position {
	in.mu.Lock()
	defer in.mu.Unlock()
	out := make([]position.Position, len(in.log))
	for i, e := range in.log {
		out[i] = e.Position
	}
	return out
}

// Wait blocks until cond returns true for the status of the instance. It returns the
// error of ctx if ctx is done first.
func (in *Instance) Wait(ctx context.Context, cond func(contract.Status) bool) error {
	for {
		in.mu.Lock()
		status, changed := in.status(), in.changed
		in.mu.Unlock()
		if cond(status) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
