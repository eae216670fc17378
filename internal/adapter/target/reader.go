package target

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/bits"
)

// readBufferBytes is the size of a connection's read buffer. It grows only while a
// larger message is read.
const readBufferBytes = 16 << 10

// reader splits a byte stream into messages. A message is a part of the buffer and is
// valid until the next call of fill.
type reader struct {
	source io.Reader
	limit  int
	buffer []byte
	start  int
	end    int
}

func newReader(source io.Reader, limit int) *reader {
	return &reader{source: source, limit: limit, buffer: make([]byte, readBufferBytes)}
}

// next returns the next message, header included, if the buffer contains all of it. It
// returns errProtocol for an invalid length.
func (r *reader) next() (message []byte, ok bool, err error) {
	size, err := r.messageSize()
	if err != nil || size == 0 || r.end-r.start < size {
		return nil, false, err
	}
	message = r.buffer[r.start : r.start+size]
	r.start += size
	return message, true, nil
}

// messageSize returns the size in bytes of the message at the start of the buffer, or
// zero if its header is incomplete. It returns errProtocol for an invalid length.
func (r *reader) messageSize() (int, error) {
	if r.end-r.start < headerBytes {
		return 0, nil
	}
	length := binary.BigEndian.Uint32(r.buffer[r.start+1 : r.start+headerBytes])
	if length < 4 || uint64(length)+1 > uint64(r.limit) {
		return 0, fmt.Errorf("%w: message %q has invalid length %d", errProtocol, r.buffer[r.start], length)
	}
	return int(length) + 1, nil
}

// fill reads more bytes. It grows the buffer if the next message does not fit.
func (r *reader) fill() error {
	size, err := r.messageSize()
	if err != nil {
		return err
	}
	r.reserve(max(size, headerBytes))
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}

// reserve makes room for a message of the given size in bytes and for at least one more
// byte, by growing the buffer or moving the unread bytes to its start.
func (r *reader) reserve(size int) {
	unread := r.end - r.start
	if size > len(r.buffer) {
		grown := make([]byte, 1<<bits.Len(uint(size)))
		copy(grown, r.buffer[r.start:r.end])
		r.buffer, r.start, r.end = grown, 0, unread
		return
	}
	if r.start > 0 && (unread == 0 || len(r.buffer)-r.start < size || r.end == len(r.buffer)) {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.start, r.end = 0, unread
	}
}

// shrink replaces a grown buffer by one of the normal size if it has no unread bytes.
func (r *reader) shrink() {
	if r.unread() == 0 && len(r.buffer) > readBufferBytes {
		r.buffer, r.start, r.end = make([]byte, readBufferBytes), 0, 0
	}
}

// unread returns the number of bytes that were received but not consumed.
func (r *reader) unread() int {
	return r.end - r.start
}
