package configuration

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// MaxTransferBytes is the maximum size of a transfer that Import accepts.
const MaxTransferBytes = 64 << 20

// maxTransferObjects is the maximum number of objects in one transfer.
const maxTransferObjects = 1 << 17

// Digest identifies a state of the configuration. Two daemons that know the same kinds
// of objects and are complete up to the same revision have the same hash.
type Digest struct {
	// LastChange is Snapshot.LastChange.
	LastChange store.Revision `cbor:"1,keyasint"`
	// Hash covers the key and version of every object.
	Hash uint64 `cbor:"2,keyasint"`
	// Revision is Snapshot.Revision.
	Revision store.Revision `cbor:"3,keyasint"`
}

// transfer is the CBOR message that carries a complete state or the changes after a
// revision.
type transfer struct {
	// Whole is set if Objects is the complete state. Otherwise Objects holds what
	// changed after From.
	Whole bool           `cbor:"1,keyasint,omitempty"`
	From  store.Revision `cbor:"2,keyasint,omitempty"`
	// Revision is the revision of the state after the transfer.
	Revision store.Revision   `cbor:"3,keyasint"`
	Objects  []transferObject `cbor:"4,keyasint,omitempty"`
	// Hash is the Digest.Hash of the state at Revision.
	Hash uint64 `cbor:"5,keyasint"`
	// Kinds are the kinds that the exporting daemon knows.
	Kinds []store.Kind `cbor:"6,keyasint"`
	// LastChange is the Digest.LastChange of the state at Revision.
	LastChange store.Revision `cbor:"7,keyasint"`
}

// transferObject is a written or removed object of a transfer.
type transferObject struct {
	Kind    store.Kind     `cbor:"1,keyasint"`
	Name    string         `cbor:"2,keyasint"`
	Version store.Revision `cbor:"3,keyasint"`
	Value   []byte         `cbor:"4,keyasint,omitempty"`
	Deleted bool           `cbor:"5,keyasint,omitempty"`
}

// Digest returns the digest of the snapshot.
func (s *Snapshot) Digest() Digest {
	return Digest{LastChange: s.LastChange, Hash: s.hash, Revision: s.Revision}
}

// Covers reports whether the snapshot holds every change of the state with digest d:
// it is complete up to the last change of that state, or both states are equal.
func (s *Snapshot) Covers(d Digest) bool {
	return d.LastChange <= s.Revision || d.Hash == s.hash
}

// advance returns the snapshot at the revision of d if the snapshot covers the state
// with digest d.
func (s *Snapshot) advance(d Digest) *Snapshot {
	if d.Revision <= s.Revision || !s.Covers(d) {
		return s
	}
	next := *s
	next.Revision = d.Revision
	next.LastChange = max(s.LastChange, d.LastChange)
	if d.LastChange > s.Revision {
		// Objects may have been created and removed in between; their removals are
		// not known.
		next.removalFloor = d.LastChange
		next.removed = map[store.Key]store.Revision{}
	}
	return &next
}

// Advance raises the revision of the current snapshot to that of a peer's state with
// digest d, if the snapshot covers that state. Otherwise it does nothing.
func (h *Holder) Advance(d Digest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publish(h.Current().advance(d))
}

// computeHash hashes the key and version of every object, in the order of the keys.
func (s *Snapshot) computeHash() uint64 {
	h := xxhash.New()
	var number [8]byte
	for _, o := range s.objects() {
		_, _ = h.WriteString(o.Key.String())
		binary.BigEndian.PutUint64(number[:], uint64(o.Version))
		_, _ = h.Write(number[:])
	}
	return h.Sum64()
}

// objects returns the newest version of every object, sorted by key.
func (s *Snapshot) objects() []store.Object {
	return slices.SortedFunc(maps.Values(s.raw), func(a, b store.Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}

// Export returns the complete snapshot as a CBOR transfer.
func (s *Snapshot) Export() ([]byte, error) {
	t := transfer{Whole: true, Revision: s.Revision, Hash: s.hash, Kinds: Kinds(), LastChange: s.LastChange}
	for _, o := range s.objects() {
		t.Objects = append(t.Objects, newTransferObject(o))
	}
	return cbor.Marshal(t)
}

// ExportSince returns a CBOR transfer of the changes after revision since, or of the
// complete snapshot if since is 0 or some removals after it are no longer known. It
// returns nil if the snapshot's revision is not after since.
func (s *Snapshot) ExportSince(since store.Revision) ([]byte, error) {
	if since >= s.Revision {
		return nil, nil
	}
	if since == 0 || since < s.removalFloor {
		return s.Export()
	}
	t := transfer{From: since, Revision: s.Revision, Hash: s.hash, Kinds: Kinds(), LastChange: s.LastChange}
	for _, o := range s.objects() {
		if o.Version > since {
			t.Objects = append(t.Objects, newTransferObject(o))
		}
	}
	for k, at := range s.removed {
		if at > since {
			t.Objects = append(t.Objects, transferObject{Kind: k.Kind, Name: k.Name, Version: at, Deleted: true})
		}
	}
	return cbor.Marshal(t)
}

func newTransferObject(o store.Object) transferObject {
	return transferObject{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value}
}

// Import applies a transfer that a peer exported. It fails with ErrGap if the transfer
// starts after the current revision, and with another error if the transfer is
// malformed, too large, or results in a state whose hash differs from the peer's. On an
// error, or if the transfer is not newer, the current snapshot does not change.
func (h *Holder) Import(b []byte) (Report, error) {
	t, err := decodeTransfer(b)
	if err != nil {
		return Report{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.Current()
	if t.Revision <= old.Revision {
		return Report{Stale: len(t.Objects)}, nil
	}
	next, report, err := t.applyTo(old)
	if err != nil {
		return Report{}, err
	}
	if slices.Equal(t.Kinds, Kinds()) && next.hash != t.Hash {
		return Report{}, fmt.Errorf("transfer to revision %d results in a state with a hash other than the peer's", t.Revision)
	}
	h.publish(next)
	return report, nil
}

// decodeTransfer decodes a transfer and checks its size, kinds and versions.
func decodeTransfer(b []byte) (transfer, error) {
	if len(b) > MaxTransferBytes {
		return transfer{}, fmt.Errorf("transfer has %d bytes, want at most %d", len(b), MaxTransferBytes)
	}
	mode, err := cbor.DecOptions{MaxArrayElements: maxTransferObjects, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		return transfer{}, fmt.Errorf("create transfer decoder: %w", err)
	}
	var t transfer
	if err := mode.Unmarshal(b, &t); err != nil {
		return transfer{}, fmt.Errorf("decode transfer: %w", err)
	}
	for _, k := range Kinds() {
		if !slices.Contains(t.Kinds, k) {
			return transfer{}, fmt.Errorf("transfer does not include objects of kind %s", k)
		}
	}
	if t.LastChange > t.Revision {
		return transfer{}, fmt.Errorf("transfer to revision %d has a later last change, %d", t.Revision, t.LastChange)
	}
	for _, o := range t.Objects {
		if o.Version > t.LastChange {
			return transfer{}, fmt.Errorf("transfer to revision %d holds version %d of %s/%s, which is after its last change", t.Revision, o.Version, o.Kind, o.Name)
		}
	}
	return t, nil
}

// applyTo returns the snapshot after the transfer.
func (t transfer) applyTo(s *Snapshot) (*Snapshot, Report, error) {
	page := store.Page{Revision: t.Revision}
	for _, o := range t.Objects {
		page.Objects = append(page.Objects, store.Object{
			Key: store.Key{Kind: o.Kind, Name: o.Name}, Version: o.Version, Value: o.Value, Deleted: o.Deleted,
		})
	}
	if !t.Whole {
		next, report, err := s.apply(t.From, page, true)
		if err == nil && next != s {
			next.LastChange = max(s.LastChange, t.LastChange)
		}
		return next, report, err
	}
	next, report := s.Replace(page)
	if next != s {
		// Replace assumes a change at the page's revision; the peer knows the revision
		// of the last change.
		next.LastChange = max(s.LastChange, t.LastChange)
		next.removalFloor = next.LastChange
	}
	return next, report, nil
}
