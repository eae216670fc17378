package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// frameKind is the kind of a frame.
type frameKind uint8

// The kinds of frames. A gateway sends kindOpen to kindClose to a home, which answers
// with kindData to kindHeartbeat. A control call and its reply are kindCall and kindReply.
const (
	kindOpen      frameKind = 1
	kindBatch     frameKind = 2
	kindCancel    frameKind = 3
	kindClose     frameKind = 4
	kindData      frameKind = 16
	kindResult    frameKind = 17
	kindHeartbeat frameKind = 18
	kindCall      frameKind = 32
	kindReply     frameKind = 33
)

// Limits of frames.
const (
	// MaxFrameBytes is the maximum size of the body of a frame.
	MaxFrameBytes = 16 << 20
	// maxDataBytes is the maximum size of the body of a data frame that is sent.
	maxDataBytes = 64 << 10
	// maxRetainedBodyBytes is the maximum size of a buffer that a stream keeps between
	// frames.
	maxRetainedBodyBytes = 256 << 10
	// headerBytes is the size of the length and the kind.
	headerBytes = 5
)

// Errors of reading and writing frames.
var (
	errFrameTooLarge   = errors.New("frame exceeds the size limit")
	errUnexpectedFrame = errors.New("unexpected frame")
)

// frameReader reads frames. It is not safe for concurrent use.
type frameReader struct {
	r    *bufio.Reader
	body []byte
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{r: bufio.NewReaderSize(r, 4<<10)}
}

// next returns the kind and the body of the next frame. The body is valid until the next
// call. The error wraps errFrameTooLarge if the length exceeds MaxFrameBytes.
func (r *frameReader) next() (frameKind, []byte, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r.r, head[:]); err != nil {
		return 0, nil, fmt.Errorf("read frame header: %w", err)
	}
	size := binary.BigEndian.Uint32(head[:4])
	if size > MaxFrameBytes {
		return 0, nil, fmt.Errorf("frame of %d bytes: %w", size, errFrameTooLarge)
	}
	body, err := r.readBody(int(size))
	if err != nil {
		return 0, nil, fmt.Errorf("read frame body: %w", err)
	}
	return frameKind(head[4]), body, nil
}

// readBody reads size bytes. It grows the buffer only as bytes arrive, so that a false
// length allocates little memory.
func (r *frameReader) readBody(size int) ([]byte, error) {
	r.body = r.body[:0]
	if cap(r.body) > maxRetainedBodyBytes {
		r.body = nil
	}
	for len(r.body) < size {
		chunk := min(size-len(r.body), maxDataBytes)
		start := len(r.body)
		r.body = append(r.body, make([]byte, chunk)...)
		if _, err := io.ReadFull(r.r, r.body[start:]); err != nil {
			return nil, err
		}
	}
	return r.body, nil
}

// frameWriter writes frames into a buffer; flush sends them. It is not safe for
// concurrent use.
type frameWriter struct {
	w *bufio.Writer
}

func newFrameWriter(w io.Writer) *frameWriter {
	return &frameWriter{w: bufio.NewWriterSize(w, 16<<10)}
}

// writeFrame writes a frame with a raw body. The error wraps errFrameTooLarge if the body
// exceeds MaxFrameBytes.
func (w *frameWriter) writeFrame(k frameKind, body []byte) error {
	if len(body) > MaxFrameBytes {
		return fmt.Errorf("frame of %d bytes: %w", len(body), errFrameTooLarge)
	}
	var head [headerBytes]byte
	binary.BigEndian.PutUint32(head[:4], uint32(len(body)))
	head[4] = byte(k)
	if _, err := w.w.Write(head[:]); err != nil {
		return err
	}
	_, err := w.w.Write(body)
	return err
}

// writeMessage writes a frame whose body is the CBOR encoding of m.
func (w *frameWriter) writeMessage(k frameKind, m any) error {
	body, err := cbor.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	return w.writeFrame(k, body)
}

func (w *frameWriter) flush() error {
	return w.w.Flush()
}

// decMode limits the work that decoding a malicious document can cause.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic("peer: invalid CBOR decoding options: " + err.Error())
	}
	return mode
}()

// decode decodes the CBOR body of a frame.
func decode(body []byte, into any) error {
	if err := decMode.Unmarshal(body, into); err != nil {
		return fmt.Errorf("decode frame: %w", err)
	}
	return nil
}
