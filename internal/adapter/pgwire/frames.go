package pgwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	headerBytes      = 5 // message type and 4-byte length
	readBufferBytes  = 1 << 10
	writeBufferBytes = 16 << 10
	// maxIdleBufferBytes is the largest message buffer that an idle connection keeps.
	maxIdleBufferBytes = 1 << 10
	// maxAuthMessageBytes is the maximum length of a message before authentication.
	maxAuthMessageBytes = 4 << 10
)

// lengthError reports a message that is longer than the limit.
type lengthError struct {
	length int64
	limit  int
}

func (e *lengthError) Error() string {
	return fmt.Sprintf("message length of %d bytes exceeds the limit of %d", e.length, e.limit)
}

var (
	errNegativeLength = errors.New("message length is below the minimum")
	errMemoryLimit    = errors.New("memory limit for large requests and prepared statements reached, try again later")
)

// frame is one frontend message, including its header.
type frame struct {
	kind byte
	raw  []byte
}

// body returns the message without its header.
func (f frame) body() []byte {
	return f.raw[headerBytes:]
}

// readFrame reads one message of at most limit bytes into buf and returns the buffer,
// which may have been reallocated. It checks the length before it allocates, and
// allocates only as data arrives and charge agrees. Errors are lengthError,
// errNegativeLength, errMemoryLimit, and those of the reader.
func readFrame(r *bufio.Reader, buf []byte, limit int, charge func(int) bool) (frame, []byte, error) {
	header, err := r.Peek(headerBytes)
	if err != nil {
		if len(header) > 0 && errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return frame{}, buf, err
	}
	length := int64(int32(binary.BigEndian.Uint32(header[1:])))
	if length < headerBytes-1 {
		return frame{}, buf, errNegativeLength
	}
	if length > int64(limit) {
		return frame{}, buf, &lengthError{length: length, limit: limit}
	}
	buf, err = readInto(r, buf[:0], int(length)+1, charge)
	if err != nil {
		return frame{}, buf, err
	}
	return frame{kind: buf[0], raw: buf}, buf, nil
}

// readInto appends n bytes of input to buf. It allocates at most unchargedBytes ahead of
// the data that has arrived, so that a message header alone can't make it allocate a
// large buffer.
func readInto(r *bufio.Reader, buf []byte, n int, charge func(int) bool) ([]byte, error) {
	for n > 0 {
		part := min(n, unchargedBytes)
		start := len(buf)
		if start > 0 && !charge(part) {
			return buf, errMemoryLimit
		}
		buf = append(buf, make([]byte, part)...)
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return buf[:start], err
		}
		n -= part
	}
	return buf, nil
}

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// timedWriter sets a deadline for each write to a caller.
type timedWriter struct {
	conn    net.Conn
	timeout time.Duration
}

// Write writes p. It fails if that takes longer than the timeout.
func (w *timedWriter) Write(p []byte) (int, error) {
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return 0, err
	}
	return w.conn.Write(p)
}
