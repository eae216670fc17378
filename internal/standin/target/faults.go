package target

import "time"

// Crash closes the listener and all connections. The log, the terms and the role are
// kept for Restart. Crash returns after all open transactions are rolled back.
func (in *Instance) Crash() {
	in.mu.Lock()
	in.down = true
	in.frozen = false
	in.thawed.Broadcast()
	if in.listener != nil {
		_ = in.listener.Close()
	}
	for conn := range in.conns {
		_ = conn.Close()
	}
	var finished []chan struct{}
	for _, s := range in.sessions {
		s.abort()
		finished = append(finished, s.finished)
	}
	in.notifyChanged()
	in.mu.Unlock()
	for _, done := range finished {
		<-done
	}
}

// Restart makes a crashed instance listen again on its address. It does nothing if the
// instance is up.
func (in *Instance) Restart() error {
	if !in.isDown() {
		return nil
	}
	return in.listen(in.address.String())
}

func (in *Instance) isDown() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.down
}

// Freeze suspends the instance like a stopped process: it neither processes requests nor
// sends responses until Thaw. It keeps its state and does not detect the pause.
func (in *Instance) Freeze() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.frozen = true
}

// Thaw resumes a frozen instance.
func (in *Instance) Thaw() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.frozen = false
	in.thawed.Broadcast()
}

// SetFaults calls change to modify the faults of the instance.
func (in *Instance) SetFaults(change func(*Faults)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	change(&in.faults)
	in.applyDueEntries()
	in.notifyChanged()
}

// SetLag sets the delay between the append of an entry to this instance's log and its
// visibility to reads.
func (in *Instance) SetLag(lag time.Duration) {
	in.SetFaults(func(f *Faults) { f.ApplyDelay = lag })
}

// PauseReplication stops or resumes replication streams to and from this instance.
func (in *Instance) PauseReplication(paused bool) {
	in.SetFaults(func(f *Faults) { f.ReplicationPaused = paused })
}

// Load holds the connection and statement counts of an instance.
type Load struct {
	Connections int    `json:"connections"`
	Running     int64  `json:"running"`
	Peak        int64  `json:"peak"`
	Waiting     int64  `json:"waiting"`
	Overuse     uint64 `json:"overuse"`
	Statements  uint64 `json:"statements"`
}

// Load returns the load of the instance. Overuse counts the statements that had to wait
// for a slot when they started.
func (in *Instance) Load() Load {
	in.mu.Lock()
	connections := len(in.sessions)
	in.mu.Unlock()
	return Load{
		Connections: connections,
		Running:     in.slots.running.Load(),
		Peak:        in.slots.peak.Load(),
		Waiting:     in.slots.waiting.Load(),
		Overuse:     in.slots.overuse.Load(),
		Statements:  in.statementCount.Load(),
	}
}
