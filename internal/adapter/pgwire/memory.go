package pgwire

import "sync/atomic"

// unchargedBytes is the part of a message that is not charged to the memory budget. Every
// connection may hold that much.
const unchargedBytes = 64 << 10

// memoryBudget limits the memory of all connections together for large requests and
// prepared statements. Its methods are safe for concurrent use.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes. It returns false and reserves nothing if they would exceed
// the limit.
func (m *memoryBudget) reserve(n int) bool {
	if m.used.Add(int64(n)) <= m.limit {
		return true
	}
	m.used.Add(int64(-n))
	return false
}

func (m *memoryBudget) release(n int) {
	m.used.Add(int64(-n))
}

// charge reserves n bytes until the end of the request. It returns false if the memory
// budget is exhausted.
func (c *conn) charge(n int) bool {
	if !c.server.memory.reserve(n) {
		return false
	}
	c.chargedBytes += n
	return true
}

// chargeStatement reserves n bytes for a prepared statement. It returns false if the
// statements of the connection would exceed Limits.MessageBytes, or if the memory budget
// is exhausted.
func (c *conn) chargeStatement(n int) bool {
	if c.statementBytes+n > c.server.config.Limits.MessageBytes || !c.server.memory.reserve(n) {
		return false
	}
	c.statementBytes += n
	return true
}

// dropStatement removes a prepared statement, if it exists, and releases its memory.
func (c *conn) dropStatement(name string) {
	s := c.statements[name]
	if s == nil {
		return
	}
	delete(c.statements, name)
	c.statementBytes -= s.memoryBytes()
	c.server.memory.release(s.memoryBytes())
}

// dropStatements removes all prepared statements and releases their memory.
func (c *conn) dropStatements() {
	c.server.memory.release(c.statementBytes)
	c.statementBytes = 0
	c.statements = nil
}

// releaseBuffers frees large buffers after a request and releases the memory charged for
// it.
func (c *conn) releaseBuffers() {
	if cap(c.readBuffer) > maxIdleBufferBytes {
		c.readBuffer = nil
	}
	if cap(c.encodeBuffer) > maxIdleBufferBytes {
		c.encodeBuffer = nil
	}
	c.pipeline.releaseBuffers()
	c.server.memory.release(c.chargedBytes)
	c.chargedBytes = 0
}
