package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// kind tells frames apart.
type kind uint8

// The kinds of frames. Open to Close go from gateway to home, the others back.
const (
	kindOpen      kind = 1
	kindBatch     kind = 2
	kindCancel    kind = 3
	kindClose     kind = 4
	kindData      kind = 16
	kindResult    kind = 17
	kindHeartbeat kind = 18
	kindCall      kind = 32
	kindReply     kind = 33
)

// Limits of frames.
const (
	// MaxFrameBytes bounds the body of one frame.
	MaxFrameBytes = 16 << 20
	// maxDataBytes is the largest body of a data frame that is sent.
	maxDataBytes = 64 << 10
	// keptBodyBytes is the largest buffer that a stream keeps between frames.
	keptBodyBytes = 256 << 10
	headerBytes   = 5
)

// Errors of the codec.
var (
	errFrameTooLarge = errors.New("frame is over its size limit")
	errUnexpected    = errors.New("unexpected frame")
)

// reader reads frames. It is not safe for concurrent use.
type reader struct {
	r    *bufio.Reader
	body []byte
}

func newReader(r io.Reader) *reader {
	return &reader{r: bufio.NewReaderSize(r, 4<<10)}
}

// next returns the next frame. The body is valid until the following call.
func (r *reader) next() (kind, []byte, error) {
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
	return kind(head[4]), body, nil
}

// readBody reads size bytes, growing the buffer only as bytes arrive, so that a
// false length costs no memory.
func (r *reader) readBody(size int) ([]byte, error) {
	r.body = r.body[:0]
	if cap(r.body) > keptBodyBytes {
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

// writer writes frames into a buffer; flush sends them. It is not safe for
// concurrent use.
type writer struct {
	w *bufio.Writer
}

func newWriter(w io.Writer) *writer {
	return &writer{w: bufio.NewWriterSize(w, 16<<10)}
}

func (w *writer) frame(k kind, body []byte) error {
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

func (w *writer) message(k kind, m any) error {
	body, err := cbor.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	return w.frame(k, body)
}

func (w *writer) flush() error {
	return w.w.Flush()
}

// decoding refuses documents that could cost unbounded work.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic("peer: bad decoding options: " + err.Error())
	}
	return mode
}()

func decode(body []byte, into any) error {
	if err := decoding.Unmarshal(body, into); err != nil {
		return fmt.Errorf("decode frame: %w", err)
	}
	return nil
}
