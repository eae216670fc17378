package peer

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// minPackedBytes is the size of a page's values from which on it is compressed. Below it,
// compression saves less than a packet.
const minPackedBytes = 4 << 10

// maxUnpackedBytes bounds a decompressed page, against a peer that sends a page that would
// fill the memory.
const maxUnpackedBytes = 64 << 20

// packedPage identifies the page that a relay sends to all followers at the same point.
type packedPage struct {
	kind     store.Kind
	from, to store.Point
	complete bool
}

// packCache compresses pages. A relay sends the same page to each follower of its failure
// domain, so the last page of each kind is kept. It is safe for concurrent use.
type packCache struct {
	mu   sync.Mutex
	last map[store.Kind]packCacheEntry // guarded by mu
}

type packCacheEntry struct {
	page packedPage
	data []byte
}

// pack replaces the objects of a response by their compressed encoding if they are large.
// A page that can't be encoded is left as it is.
func (p *packCache) pack(r WatchRequest, w *WatchResponse) {
	size := 0
	for _, o := range w.Page.Objects {
		size += len(o.Value)
	}
	if size < minPackedBytes {
		return
	}
	key := packedPage{kind: r.Kind, from: r.Point(), to: w.Page.Point(), complete: w.Complete}
	if w.Complete {
		// All objects are the same page whatever the follower has.
		key.from = store.Point{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, ok := p.last[r.Kind]
	if !ok || entry.page != key {
		data, err := compress(w.Page.Objects)
		if err != nil {
			return
		}
		entry = packCacheEntry{page: key, data: data}
		if p.last == nil {
			p.last = make(map[store.Kind]packCacheEntry)
		}
		p.last[r.Kind] = entry
	}
	w.Packed, w.Page.Objects = entry.data, nil
}

func compress(objects []store.Object) ([]byte, error) {
	encoded, err := encoding.Marshal(objects)
	if err != nil {
		return nil, fmt.Errorf("encode page: %w", err)
	}
	var out bytes.Buffer
	// The fastest level makes a page of targets six times smaller already.
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress page: %w", err)
	}
	if _, err := w.Write(encoded); err != nil {
		return nil, fmt.Errorf("compress page: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress page: %w", err)
	}
	return out.Bytes(), nil
}

// errPageTooLarge is returned for a page that is larger than maxUnpackedBytes.
var errPageTooLarge = errors.New("page is too large")

// unpack restores the objects of a response.
func (w *WatchResponse) unpack() error {
	if w.Packed == nil {
		return nil
	}
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(w.Packed)), maxUnpackedBytes+1))
	if err != nil {
		return fmt.Errorf("decompress page: %w", err)
	}
	if len(encoded) > maxUnpackedBytes {
		return errPageTooLarge
	}
	if err := decoding.Unmarshal(encoded, &w.Page.Objects); err != nil {
		return fmt.Errorf("decode page: %w", err)
	}
	w.Packed = nil
	return nil
}
