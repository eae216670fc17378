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

// WatchRequest asks for the objects of a kind that changed after From, all of them
// if From is zero.
type WatchRequest struct {
	Kind store.Kind     `cbor:"1,keyasint"`
	From store.Revision `cbor:"2,keyasint,omitempty"`
	Wait time.Duration  `cbor:"3,keyasint,omitempty"`
}

// WatchResponse is the answer of a relay.
type WatchResponse struct {
	Page store.Page `cbor:"1,keyasint"`
	// Complete says that Page holds all objects of the kind.
	Complete bool `cbor:"2,keyasint,omitempty"`
	// Current says that the relay's copy is current.
	Current bool `cbor:"3,keyasint,omitempty"`
}

// ObjectWatcher answers watches from this daemon's copy.
type ObjectWatcher interface {
	Watch(ctx context.Context, r WatchRequest) WatchResponse
}

func (c *serverConn) watch(id uint64, r WatchRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Wait)
	defer cancel()
	var w WatchResponse
	if c.server.Objects != nil && !c.server.leaving.Load() {
		w = c.server.Objects.Watch(ctx, r)
	}
	// The asker learns of a failed write by the end of the connection.
	_ = c.wire.write(response{Unit: id, Watched: &w})
}

// ErrNotCurrent says that a relay has no current copy.
var ErrNotCurrent = errors.New("relay has no current copy")

// watchSlack is the time beyond the wait after which a watch is lost.
const watchSlack = 500 * time.Millisecond

// Watch asks the peer, as a relay, for changes.
func (c *Client) Watch(r WatchRequest) (WatchResponse, error) {
	conn, err := c.connect()
	if err != nil {
		return WatchResponse{}, err
	}
	answer, _, err := conn.exchange(request{Unit: conn.next.Add(1), Watch: &r}, r.Wait+watchSlack)
	if err != nil {
		return WatchResponse{}, fmt.Errorf("watch %s at %s: %w", r.Kind, c.name, err)
	}
	if answer.Watched == nil || !answer.Watched.Current {
		return WatchResponse{}, fmt.Errorf("watch %s at %s: %w", r.Kind, c.name, ErrNotCurrent)
	}
	return *answer.Watched, nil
}

// IntentsResponse is the answer of a relay that was asked for the intents.
type IntentsResponse struct {
	Intents map[string]position.Term `cbor:"1,keyasint,omitempty"`
	// Age is the time since the relay's read of the store began.
	Age time.Duration `cbor:"2,keyasint"`
	// Current says that the relay has read the store.
	Current bool `cbor:"3,keyasint,omitempty"`
	// Version is that of the object that the relay read.
	Version store.Revision `cbor:"4,keyasint,omitempty"`
}

// IntentSource answers for the intents of promotions.
type IntentSource interface {
	Fresh() (primarylease.Record, bool)
}

func (c *serverConn) intents(id uint64) {
	var answer IntentsResponse
	if c.server.Intents != nil && !c.server.leaving.Load() {
		if r, ok := c.server.Intents.Fresh(); ok {
			answer = IntentsResponse{Intents: r.Intents, Age: boottime.Now() - r.ReadStart, Current: true, Version: r.Version}
		}
	}
	// The asker learns of a failed write by the end of the connection.
	_ = c.wire.write(response{Unit: id, Intents: &answer})
}

// Intents asks the peer, as a relay, for the intents. The record counts from the
// start of the question less the age that the relay states.
func (c *Client) Intents() (primarylease.Record, error) {
	begun := boottime.Now()
	conn, err := c.connect()
	if err != nil {
		return primarylease.Record{}, err
	}
	answer, _, err := conn.exchange(request{Unit: conn.next.Add(1), Intents: true}, intentsLimit)
	if err != nil {
		return primarylease.Record{}, fmt.Errorf("intents at %s: %w", c.name, err)
	}
	if answer.Intents == nil || !answer.Intents.Current {
		return primarylease.Record{}, fmt.Errorf("intents at %s: %w", c.name, ErrNotCurrent)
	}
	return primarylease.Record{Intents: answer.Intents.Intents, ReadStart: begun - answer.Intents.Age, Version: answer.Intents.Version}, nil
}

// IsReachable reports whether the peer answers, whatever it knows.
func (c *Client) IsReachable() bool {
	_, err := c.Intents()
	return err == nil || errors.Is(err, ErrNotCurrent)
}

// intentsLimit bounds a question for the intents; the relay may have to ask the
// store.
const intentsLimit = 400 * time.Millisecond
