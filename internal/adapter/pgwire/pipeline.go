package pgwire

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// pipeline collects the messages of the extended query protocol up to Sync.
//
// The caller's names of prepared statements aren't used at the target. Parse is sent for
// the unnamed statement, so that the answers keep their order. A later Bind refers to a
// name that is a hash of the statement, under which the home prepares it on whichever
// connection it uses.
type pipeline struct {
	started  bool
	skipping bool // after an error: skips messages up to Sync
	pending  targetRequest
	// messageTypes are the types of the messages in pending, in order.
	messageTypes []byte
	// unnamedStatement is the statement that the target's unnamed statement holds after
	// the messages in pending; nil if that isn't known.
	unnamedStatement *preparedStatement
	// chargedBytes is the number of bytes of the messages that are charged to the memory
	// budget.
	chargedBytes int
	// pendingParses are the Parse messages in pending, in order.
	pendingParses []pendingParse
}

// pendingParse is a Parse message for the target whose result isn't known yet.
type pendingParse struct {
	name      string
	statement *preparedStatement
}

func (p *pipeline) open() bool {
	return p.started
}

// empty reports whether no messages for the target are pending.
func (p *pipeline) empty() bool {
	return len(p.pending.messages) == 0
}

// clear removes the pending messages and keeps their buffers for reuse.
func (p *pipeline) clear() {
	clear(p.pending.statements)
	p.pending = targetRequest{messages: p.pending.messages[:0], statements: p.pending.statements[:0]}
	p.messageTypes = p.messageTypes[:0]
	p.unnamedStatement = nil
	p.chargedBytes = 0
	clear(p.pendingParses)
	p.pendingParses = p.pendingParses[:0]
}

// reset removes the pending messages and ends the pipeline.
func (p *pipeline) reset() {
	p.clear()
	p.started = false
	p.skipping = false
}

// releaseBuffers frees large buffers between pipelines.
func (p *pipeline) releaseBuffers() {
	if !p.started && cap(p.pending.messages) > maxIdleBufferBytes {
		p.pending = targetRequest{}
		p.messageTypes = nil
	}
}

// appendFrame appends a message that is sent to the target unchanged.
func (p *pipeline) appendFrame(f frame) {
	p.pending.messages = append(p.pending.messages, f.raw...)
	p.messageTypes = append(p.messageTypes, f.kind)
}

// appendMessage appends a message that was decoded and changed.
func (p *pipeline) appendMessage(kind byte, m pgproto3.FrontendMessage) {
	messages, err := m.Encode(p.pending.messages)
	if err != nil {
		panic("pgwire: encode: " + err.Error()) // unreachable: the message was decoded before
	}
	p.pending.messages = messages
	p.messageTypes = append(p.messageTypes, kind)
}

// targetName returns the name of s at the target within this batch, and adds s to the
// statements that the home must prepare. The name is empty if s is the unnamed statement.
func (p *pipeline) targetName(s *preparedStatement) string {
	if p.unnamedStatement == s {
		return ""
	}
	for _, other := range p.pending.statements {
		if other.Name == s.target.Name {
			return s.target.Name
		}
	}
	p.pending.statements = append(p.pending.statements, s.target)
	return s.target.Name
}

// chargePipeline charges the pending messages to the memory budget.
func (c *conn) chargePipeline() outcome.Outcome {
	n := len(c.pipeline.pending.messages) - c.pipeline.chargedBytes
	if !c.charge(n) {
		return outcome.Refuse(outcome.TooLarge, 0, "%v", errMemoryLimit)
	}
	c.pipeline.chargedBytes += n
	return outcome.Outcome{}
}

// failPipeline refuses the pipeline: the pending messages are dropped, and messages up to
// Sync are skipped.
func (c *conn) failPipeline(o outcome.Outcome) {
	c.dropParses(0)
	c.pipeline.clear()
	c.pipeline.skipping = true
	c.refuse(o)
}

// sync runs the pending messages and ends the pipeline.
func (c *conn) sync() error {
	c.runPipeline()
	c.endImplicit()
	if !c.tx.open() {
		c.portals = nil
	}
	c.pipeline.reset()
	return c.sendReady()
}

// flush runs the pending messages and sends their answers. It opens a transaction for
// them at the target, which stays open until Sync.
func (c *conn) flush() error {
	if !c.pipeline.empty() {
		c.beginImplicit(c.declaredReadOnly())
		c.runPipeline()
		c.pipeline.skipping = c.pipeline.skipping || c.tx.failed
	}
	if !c.sink.atBoundary() {
		return c.sendReady()
	}
	return c.out.Flush()
}

func (c *conn) runPipeline() {
	p := &c.pipeline
	if p.empty() {
		return
	}
	if !p.pending.executes {
		p.pending.readOnly = true
	}
	c.wrapReadOnly(p.pending)
	p.pending.messages = append(p.pending.messages, syncMessage...)
	c.sink.parseCompletes = 0
	result := c.run(p.pending, &c.sink)
	if !result.Repeated {
		c.dropParses(c.sink.parseCompletes)
	}
	switch {
	case !result.Outcome.OK():
		c.sendOutcome(result.Outcome)
		p.skipping = true
	case result.Repeated:
		c.answerRepeated(result.Tag)
	}
	p.clear()
}

// answerRepeated answers the messages of a request whose id has already run, with the
// command tag of the first run.
func (c *conn) answerRepeated(tag string) {
	for _, kind := range c.pipeline.messageTypes {
		switch kind {
		case 'P':
			c.send(&pgproto3.ParseComplete{})
		case 'B':
			c.send(&pgproto3.BindComplete{})
		case 'D':
			c.send(&pgproto3.NoData{})
		case 'E':
			c.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		case 'C':
			c.send(&pgproto3.CloseComplete{})
		}
	}
}

// wrapReadOnly opens an implicit read-only transaction for a request that may write, if
// the caller has declared that it only reads.
func (c *conn) wrapReadOnly(r targetRequest) {
	if r.executes && !r.readOnly && !c.tx.active && c.declaredReadOnly() {
		c.beginImplicit(true)
	}
}

// syncMessage is an encoded Sync message.
var syncMessage = []byte{'S', 0, 0, 0, 4}
