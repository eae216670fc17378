package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/boottime"
	"github.com/laburnumrack/laburnumrack/internal/position"
	"github.com/laburnumrack/laburnumrack/internal/primarylease"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// WatchRequest asks for the objects of a kind that changed after revision From of an era, or
// for all objects if From is zero or the relay's copy is of a later era. The relay waits up
// to Wait for the first change.
type WatchRequest struct {
	Kind store.Kind     `cbor:"1,keyasint"`
	From store.Revision `cbor:"2,keyasint,omitempty"`
	Wait time.Duration  `cbor:"3,keyasint,omitempty"`
	// Era is the highest era that the sender knows of. A relay whose copy is of an earlier
	// one has no current copy.
	Era store.Era `cbor:"4,keyasint,omitempty"`
	// AcceptsPacked reports that the sender can read WatchResponse.Packed.
	AcceptsPacked bool `cbor:"5,keyasint,omitempty"`
	// Confirmations asks for an answer also when the store has confirmed the relay's copy
	// since the request came, so that the sender's copy counts as current for as long as the
	// relay's. It is sent only to a daemon whose hello has Confirmations set.
	Confirmations bool `cbor:"6,keyasint,omitempty"`
}

// Point returns the point in the store's history after which changes are asked for.
func (r WatchRequest) Point() store.Point {
	return store.Point{Era: r.Era, Revision: r.From}
}

// WatchResponse is a relay's answer to a WatchRequest.
type WatchResponse struct {
	Page store.Page `cbor:"1,keyasint"`
	// Complete is true if Page holds all objects of the kind.
	Complete bool `cbor:"2,keyasint,omitempty"`
	// Current is true if the relay's copy is current.
	Current bool `cbor:"3,keyasint,omitempty"`
	// ConfirmedAfter is the time from the receipt of the request to the last answer of the
	// store to the relay; negative if that answer came before.
	ConfirmedAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Packed holds the objects of Page, as CBOR compressed with DEFLATE, if they are large.
	Packed []byte `cbor:"5,keyasint,omitempty"`
}

// ObjectWatcher answers watches from this daemon's copy of the objects.
type ObjectWatcher interface {
	Watch(ctx context.Context, r WatchRequest) WatchResponse
}

func (c *serverConn) answerWatch(id uint64, r WatchRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Wait)
	defer cancel()
	w := c.watchObjects(ctx, r)
	switch waited, ok := c.pacePage(w.Packed); {
	case !ok:
		// Without a current copy the follower turns to another relay or the store.
		w = WatchResponse{}
	case waited:
		// The copy may have changed meanwhile.
		w = c.watchObjects(ctx, r)
	}
	// The client learns of a failed write from the end of the connection.
	_ = c.frames.write(response{Unit: id, Watched: &w})
}

// watchObjects returns the answer of this daemon's copy, packed if the follower accepts that.
func (c *serverConn) watchObjects(ctx context.Context, r WatchRequest) WatchResponse {
	var w WatchResponse
	if c.server.Objects != nil && !c.server.leaving.Load() {
		w = c.server.Objects.Watch(ctx, r)
		if r.AcceptsPacked {
			c.server.packed.pack(r, &w)
		}
	}
	return w
}

// ErrNotCurrent is returned if the peer is no relay or has no current copy.
var ErrNotCurrent = errors.New("relay has no current copy")

// watchTimeoutMargin is added to the wait of a watch to get the time-out of its call. It
// covers the transfer of a large page; a peer that falls silent is noticed by the liveness
// check.
const watchTimeoutMargin = 5 * time.Second

// Watch asks the peer, as a relay, for changed objects. The error wraps ErrNotCurrent if
// the relay's copy is not current; the response holds that copy then, if the peer has one.
func (c *Client) Watch(r WatchRequest) (WatchResponse, error) {
	conn, err := c.watches.connect()
	if err != nil {
		return WatchResponse{}, err
	}
	if r.Confirmations && !conn.answersConfirmations {
		return WatchResponse{}, fmt.Errorf("watch %s at peer %s of an earlier release: %w", r.Kind, c.name, ErrNotCurrent)
	}
	r.AcceptsPacked = true
	answer, _, err := conn.roundTrip(request{Unit: conn.lastID.Add(1), Watch: &r}, r.Wait+watchTimeoutMargin)
	if err != nil {
		return WatchResponse{}, fmt.Errorf("watch %s at peer %s: %w", r.Kind, c.name, err)
	}
	if answer.Watched == nil {
		return WatchResponse{}, fmt.Errorf("watch %s at peer %s: %w", r.Kind, c.name, ErrNotCurrent)
	}
	if err := answer.Watched.unpack(); err != nil {
		return WatchResponse{}, fmt.Errorf("watch %s at peer %s: %w", r.Kind, c.name, err)
	}
	if !answer.Watched.Current {
		return *answer.Watched, fmt.Errorf("watch %s at peer %s: %w", r.Kind, c.name, ErrNotCurrent)
	}
	return *answer.Watched, nil
}

// IntentsResponse is a relay's answer to a request for the intents of promotions.
type IntentsResponse struct {
	Intents map[string]position.Term `cbor:"1,keyasint,omitempty"`
	// Age is the time since the relay started to read the store.
	Age time.Duration `cbor:"2,keyasint"`
	// Current is true if the relay has read the store a moment ago. Otherwise the fields about
	// the record are those of the newest one, if there is any. Earlier releases send and read
	// only current ones.
	Current bool `cbor:"3,keyasint,omitempty"`
	// Version is the revision of the object that the relay read, in Era.
	Version store.Revision `cbor:"4,keyasint,omitempty"`
	// Era is the era of the read, and WrittenIn that in which the object was written.
	Era       store.Era `cbor:"5,keyasint,omitempty"`
	WrittenIn store.Era `cbor:"6,keyasint,omitempty"`
	// Unsettled names the groups whose promotions in earlier eras are not known.
	Unsettled []string `cbor:"7,keyasint,omitempty"`
	// Unused, Called and RecordsCalls are those of primarylease.Record. Earlier releases send
	// none of them.
	Unused       []string          `cbor:"8,keyasint,omitempty"`
	Called       map[string]string `cbor:"9,keyasint,omitempty"`
	RecordsCalls bool              `cbor:"10,keyasint,omitempty"`
}

// IntentSource returns the intents of promotions.
type IntentSource interface {
	// RecentRecord returns a record that was read a moment ago, or the newest one, which may be
	// nil, and false.
	RecentRecord() (*primarylease.Record, bool)
}

func (c *serverConn) answerIntents(id uint64, fromStore bool) {
	var answer IntentsResponse
	source := c.server.Intents
	if fromStore {
		source = c.server.StoreIntents
	}
	if source != nil && !c.server.leaving.Load() {
		if r, current := source.RecentRecord(); r != nil {
			answer = IntentsResponse{
				Intents: r.Intents, Age: boottime.Now() - r.ReadStart, Current: current,
				Version: r.Read.Revision, Era: r.Read.Era, WrittenIn: r.WrittenIn, Unsettled: r.Unsettled,
				Unused: r.Unused, Called: r.Called, RecordsCalls: r.RecordsCalls,
			}
		}
	}
	// The client learns of a failed write from the end of the connection.
	_ = c.frames.write(response{Unit: id, Intents: &answer})
}

// Intents asks the peer, as a relay, for the intents of promotions. The start of the read
// in the record is the start of this call minus the age that the relay reports, so the
// record never counts as younger than the relay's read of the store. If the relay has no
// current record, the error wraps ErrNotCurrent, and the record is the newest one that the
// relay has, of era 0 if it has none.
func (c *Client) Intents() (primarylease.Record, error) {
	return c.intents(request{Intents: true})
}

// StoreIntents is Intents for a relay that follows the peer: the peer reads them from the
// store, so that two relays that take each other for the one to follow don't wait for each
// other.
func (c *Client) StoreIntents() (primarylease.Record, error) {
	return c.intents(request{Intents: true, FromStore: true})
}

func (c *Client) intents(r request) (primarylease.Record, error) {
	start := boottime.Now()
	conn, err := c.connect()
	if err != nil {
		return primarylease.Record{}, err
	}
	r.Unit = conn.lastID.Add(1)
	answer, _, err := conn.roundTrip(r, intentsTimeout)
	if err != nil {
		return primarylease.Record{}, fmt.Errorf("get intents from peer %s: %w", c.name, err)
	}
	i := answer.Intents
	if i == nil || i.Era == 0 {
		return primarylease.Record{}, fmt.Errorf("get intents from peer %s: %w", c.name, ErrNotCurrent)
	}
	record := primarylease.Record{
		Intents: i.Intents, ReadStart: start - i.Age, Read: store.Point{Era: i.Era, Revision: i.Version},
		WrittenIn: i.WrittenIn, Unsettled: i.Unsettled,
		Unused: i.Unused, Called: i.Called, RecordsCalls: i.RecordsCalls,
	}
	if !i.Current {
		return record, fmt.Errorf("get intents from peer %s: %w", c.name, ErrNotCurrent)
	}
	return record, nil
}

// IsReachable reports whether the peer responds, even if it has no current copy.
func (c *Client) IsReachable() bool {
	_, err := c.Intents()
	return err == nil || errors.Is(err, ErrNotCurrent)
}

// intentsTimeout limits a request for the intents; the relay may have to read the store.
const intentsTimeout = 400 * time.Millisecond
