package target

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/laburnumrack/laburnumrack/internal/position"
)

// Startup parameters of a replication connection.
const (
	replicationParameter = "replication"
	replicationName      = "laburnumrack"
	termParameter        = "term"
	spansParameter       = "spans"
)

const (
	// heartbeatInterval is the interval at which a primary without new entries sends
	// heartbeats. A replica reconnects after streamTimeout without a message.
	heartbeatInterval = 100 * time.Millisecond
	streamTimeout     = time.Second
	reconnectDelay    = 20 * time.Millisecond
	maxStreamEntries  = 256
)

var (
	errSuperseded = errors.New("replication stream is no longer current")
	errNotPrimary = errors.New("not the primary of this term")
)

// streamMessage is a message from a primary to a replica. The first message answers the
// startup message: Refusal is the reason if the primary refuses the replica; otherwise
// the replica keeps the first Keep entries of its log. A message without entries is a
// heartbeat.
type streamMessage struct {
	Refusal string  `cbor:"1,keyasint,omitempty"`
	Keep    uint64  `cbor:"2,keyasint,omitempty"`
	Entries []Entry `cbor:"3,keyasint,omitempty"`
}

// streamReceiver is the replica side of a replication stream. It reconnects until its
// context is canceled.
type streamReceiver struct {
	instance       *Instance
	term           position.Term
	primaryAddress netip.AddrPort
	ctx            context.Context
	cancel         context.CancelFunc
}

// startReceiver starts receiving the log of the primary of term t.
func startReceiver(in *Instance, t position.Term, primary netip.AddrPort) *streamReceiver {
	ctx, cancel := context.WithCancel(context.Background())
	r := &streamReceiver{instance: in, term: t, primaryAddress: primary, ctx: ctx, cancel: cancel}
	go r.run()
	return r
}

// stop ends the stream. It may be called on a nil receiver.
func (r *streamReceiver) stop() {
	if r != nil {
		r.cancel()
	}
}

// run receives from the primary, and reconnects after reconnectDelay.
func (r *streamReceiver) run() {
	for r.ctx.Err() == nil {
		if r.instance.canReceive() {
			_ = r.receiveStream()
		}
		select {
		case <-time.After(reconnectDelay):
		case <-r.ctx.Done():
		}
	}
}

// canReceive reports whether the instance is up and replication is not paused.
func (in *Instance) canReceive() bool {
	in.lockThawed()
	defer in.mu.Unlock()
	return !in.down && !in.faults.ReplicationPaused
}

// receiveStream connects to the primary and receives entries until an error occurs.
func (r *streamReceiver) receiveStream() error {
	dialer := net.Dialer{Timeout: streamTimeout, LocalAddr: r.instance.localAddress()}
	conn, err := dialer.DialContext(r.ctx, "tcp", r.primaryAddress.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(r.ctx, func() { _ = conn.Close() })()
	if err := r.sendStartup(conn); err != nil {
		return err
	}
	decoder := cbor.NewDecoder(conn)
	first, err := r.receiveMessage(conn, decoder)
	if err != nil {
		return err
	}
	if first.Refusal != "" {
		return errors.New(first.Refusal)
	}
	if err := r.joinTerm(first.Keep); err != nil {
		return err
	}
	for {
		message, err := r.receiveMessage(conn, decoder)
		if err != nil {
			return err
		}
		if err := r.appendEntries(message.Entries); err != nil {
			return err
		}
	}
}

// localAddress returns the source address of outgoing connections. It has the IP of the
// listener, so that a relay can derive the failure domain of the connection.
func (in *Instance) localAddress() net.Addr {
	return &net.TCPAddr{IP: in.address.Addr().AsSlice()}
}

// sendStartup sends the startup message with the term and a summary of the local log.
func (r *streamReceiver) sendStartup(conn net.Conn) error {
	r.instance.lockThawed()
	summary, err := json.Marshal(summarizeTerms(r.instance.log))
	r.instance.mu.Unlock()
	if err != nil {
		return err
	}
	startup := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			replicationParameter: replicationName,
			termParameter:        strconv.FormatUint(uint64(r.term), 10),
			spansParameter:       string(summary),
		},
	}
	buf, err := startup.Encode(nil)
	if err != nil {
		return err
	}
	_, err = conn.Write(buf)
	return err
}

func (r *streamReceiver) receiveMessage(conn net.Conn, decoder *cbor.Decoder) (streamMessage, error) {
	var message streamMessage
	if err := conn.SetReadDeadline(time.Now().Add(streamTimeout)); err != nil {
		return message, err
	}
	err := decoder.Decode(&message)
	return message, err
}

// isCurrent reports whether r is the active receiver of the instance and its term is
// still current. The caller holds mu.
func (r *streamReceiver) isCurrent() bool {
	return r.instance.receiver == r && r.instance.fence == r.term && !r.instance.down
}

// joinTerm truncates the log to the first keep entries, which the primary also has, and
// records that the instance joined the term.
func (r *streamReceiver) joinTerm(keep uint64) error {
	r.instance.lockThawed()
	defer r.instance.mu.Unlock()
	if !r.isCurrent() {
		return errSuperseded
	}
	if keep > uint64(len(r.instance.log)) {
		return fmt.Errorf("primary requests to keep %d log entries, but the log has %d", keep, len(r.instance.log))
	}
	r.instance.truncate(keep)
	r.instance.joined = r.term
	r.instance.notifyChanged()
	return nil
}

// appendEntries appends entries to the log, each after its stream delay.
func (r *streamReceiver) appendEntries(entries []Entry) error {
	for _, e := range entries {
		if err := r.waitStreamDelay(e); err != nil {
			return err
		}
		if err := r.appendEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// waitStreamDelay blocks until the stream delay of e is over. It returns errSuperseded if
// the instance goes down or replication is paused.
func (r *streamReceiver) waitStreamDelay(e Entry) error {
	for {
		r.instance.lockThawed()
		delay, paused, down := r.instance.faults.StreamDelay, r.instance.faults.ReplicationPaused, r.instance.down
		changed := r.instance.changed
		r.instance.mu.Unlock()
		left := time.Until(time.Unix(0, e.Written).Add(delay))
		switch {
		case down || paused:
			return errSuperseded
		case left <= 0:
			return nil
		}
		select {
		case <-time.After(left):
		case <-changed:
		case <-r.ctx.Done():
			return r.ctx.Err()
		}
	}
}

// appendEntry appends one entry to the log. It returns an error if the entry does not
// have the next index.
func (r *streamReceiver) appendEntry(e Entry) error {
	r.instance.lockThawed()
	defer r.instance.mu.Unlock()
	if !r.isCurrent() {
		return errSuperseded
	}
	if e.Position.Index != uint64(len(r.instance.log))+1 {
		return fmt.Errorf("log entry %s does not follow the last entry %s", e.Position, r.instance.lastPosition())
	}
	r.instance.log = append(r.instance.log, e)
	r.instance.applyDueEntries()
	r.instance.notifyChanged()
	return nil
}

// applyDueEntries applies the entries whose apply delay is over and schedules the next
// one. The caller holds mu.
func (in *Instance) applyDueEntries() {
	for in.applied < uint64(len(in.log)) {
		next := in.log[in.applied]
		due := time.Unix(0, next.Written).Add(in.faults.StreamDelay + in.faults.ApplyDelay)
		left := time.Until(due)
		if in.faults.ApplyDelay > 0 && left > 0 {
			in.scheduleApply(left)
			return
		}
		in.applyThrough(in.applied + 1)
	}
}

// scheduleApply starts the apply timer unless it is already pending. The caller holds mu.
func (in *Instance) scheduleApply(after time.Duration) {
	if in.applyTimerArmed {
		return
	}
	in.applyTimerArmed = true
	time.AfterFunc(after, in.applyOnTimer)
}

func (in *Instance) applyOnTimer() {
	in.lockThawed()
	defer in.mu.Unlock()
	in.applyTimerArmed = false
	before := in.applied
	in.applyDueEntries()
	if in.applied != before {
		in.notifyChanged()
	}
}

// serveFollower streams the log to a replica. It closes conn when it returns.
func (in *Instance) serveFollower(conn net.Conn, startup *pgproto3.StartupMessage) {
	defer conn.Close()
	term, keep, err := in.acceptFollower(startup)
	encoder := cbor.NewEncoder(&freezableWriter{instance: in, conn: conn, timeout: 5 * streamTimeout})
	if err != nil {
		_ = encoder.Encode(streamMessage{Refusal: err.Error()})
		return
	}
	if encoder.Encode(streamMessage{Keep: keep}) != nil {
		return
	}
	for next := keep; ; {
		entries, err := in.entriesAfter(next, term)
		if err != nil || encoder.Encode(streamMessage{Entries: entries}) != nil {
			return
		}
		next += uint64(len(entries))
	}
}

// acceptFollower checks the startup message of a replica. It returns the term and the
// number of entries that the replica keeps.
func (in *Instance) acceptFollower(startup *pgproto3.StartupMessage) (position.Term, uint64, error) {
	term, err := strconv.ParseUint(startup.Parameters[termParameter], 10, 64)
	if err != nil {
		return 0, 0, err
	}
	var replicaSpans []termSpan
	if err := json.Unmarshal([]byte(startup.Parameters[spansParameter]), &replicaSpans); err != nil {
		return 0, 0, err
	}
	in.lockThawed()
	defer in.mu.Unlock()
	if !in.primary || in.fence != position.Term(term) {
		return 0, 0, errNotPrimary
	}
	return in.fence, commonPrefix(summarizeTerms(in.log), replicaSpans), nil
}

// entriesAfter returns up to maxStreamEntries entries after index. It waits for new
// entries, and returns none after heartbeatInterval.
func (in *Instance) entriesAfter(index uint64, term position.Term) ([]Entry, error) {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		in.lockThawed()
		valid := in.primary && in.fence == term && !in.down && !in.faults.ReplicationPaused
		end := min(uint64(len(in.log)), index+maxStreamEntries)
		entries, changed := in.log[index:max(index, end)], in.changed
		in.mu.Unlock()
		if !valid {
			return nil, errSuperseded
		}
		if len(entries) > 0 {
			return entries, nil
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			return nil, nil
		}
	}
}

// freezableWriter writes to conn, and blocks while the instance is frozen.
type freezableWriter struct {
	instance *Instance
	conn     net.Conn
	// timeout limits the duration of one write; zero means no limit.
	timeout time.Duration
}

var _ io.Writer = (*freezableWriter)(nil)

func (w *freezableWriter) Write(p []byte) (int, error) {
	w.instance.waitUntilThawed()
	if w.timeout > 0 {
		if err := w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
			return 0, err
		}
	}
	return w.conn.Write(p)
}
