package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

var _ store.Store = (*Client)(nil)

// wireObject is the JSON form of an object in a response.
type wireObject struct {
	Kind    store.Kind      `json:"kind"`
	Name    string          `json:"name"`
	Version store.Revision  `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

func (w wireObject) object() store.Object {
	return store.Object{Key: store.Key{Kind: w.Kind, Name: w.Name}, Version: w.Version, Value: w.Value, Deleted: w.Deleted}
}

// wirePage is the JSON form of a page in a response.
type wirePage struct {
	Revision store.Revision `json:"revision"`
	Objects  []wireObject   `json:"objects"`
}

func (w wirePage) page() store.Page {
	page := store.Page{Revision: w.Revision, Objects: make([]store.Object, len(w.Objects))}
	for i, o := range w.Objects {
		page.Objects[i] = o.object()
	}
	return page
}

// wireVMs is the JSON form of the list of VMs.
type wireVMs struct {
	VMs []store.VM `json:"vms"`
}

var errOtherObject = errors.New("response contains another object than requested")

// objectCall returns a call on the object k.
func (c *Client) objectCall(name, method string, k store.Key) call {
	return call{
		name: name, method: method,
		path:     "objects/" + url.PathEscape(string(k.Kind)) + "/" + url.PathEscape(k.Name),
		mutating: method != http.MethodGet,
		timeout:  c.callTimeout,
		maxBytes: maxObjectBytes,
	}
}

// Get implements store.Store. The error wraps store.ErrNotFound or store.ErrUnavailable.
func (c *Client) Get(ctx context.Context, k store.Key) (store.Object, error) {
	get := c.objectCall("get", http.MethodGet, k)
	a, err := c.do(ctx, get)
	if err != nil {
		return store.Object{}, err
	}
	switch a.status {
	case http.StatusOK:
		return get.object(a, k)
	case http.StatusNotFound:
		return store.Object{}, get.fail(notFound, store.ErrNotFound)
	default:
		return store.Object{}, get.unexpectedStatus(a)
	}
}

// object decodes an answer that must contain the object k.
func (c call) object(a answer, k store.Key) (store.Object, error) {
	var w wireObject
	if err := c.decode(a, &w); err != nil {
		return store.Object{}, err
	}
	if o := w.object(); o.Key == k && o.Version != 0 {
		return o, nil
	}
	return store.Object{}, c.lostAnswer(badAnswer, errOtherObject)
}

// conflict returns the *store.ConflictError for an answer that contains the current
// version of the object k, if it exists.
func (c call) conflict(a answer, k store.Key) error {
	var w wireObject
	if err := c.decode(a, &w); err != nil {
		return err
	}
	current := w.object()
	if current.Version == 0 {
		current = store.Object{Key: k}
	}
	return c.fail(conflict, &store.ConflictError{Key: k, Current: current})
}

// List implements store.Store. The error wraps store.ErrUnavailable.
func (c *Client) List(ctx context.Context, kinds ...store.Kind) (store.Page, error) {
	list := call{name: "list", method: http.MethodGet, path: "objects", query: kindQuery(kinds),
		timeout: c.listTimeout, maxBytes: maxListBytes}
	a, err := c.do(ctx, list)
	if err != nil {
		return store.Page{}, err
	}
	if a.status != http.StatusOK {
		return store.Page{}, list.unexpectedStatus(a)
	}
	return list.page(a)
}

// page decodes an answer that contains a page.
func (c call) page(a answer) (store.Page, error) {
	var w wirePage
	if err := c.decode(a, &w); err != nil {
		return store.Page{}, err
	}
	return w.page(), nil
}

func kindQuery(kinds []store.Kind) url.Values {
	q := url.Values{}
	for _, k := range kinds {
		q.Add("kind", string(k))
	}
	return q
}

func versionQuery(version store.Revision) url.Values {
	return url.Values{"version": {strconv.FormatUint(uint64(version), 10)}}
}

// Put implements store.Store: it replaces version o.Version of an object by o.Value and
// returns the new version. The error wraps a *store.ConflictError if the object has
// another version, store.ErrTooLarge, store.ErrUnavailable or store.ErrOutcomeUnknown.
func (c *Client) Put(ctx context.Context, o store.Object) (store.Object, error) {
	put := c.objectCall("put", http.MethodPut, o.Key)
	if len(o.Value) > store.MaxValueBytes {
		return store.Object{}, put.fail(tooLarge, fmt.Errorf("%w: %d bytes", store.ErrTooLarge, len(o.Value)))
	}
	put.query = versionQuery(o.Version)
	put.body = o.Value
	a, err := c.do(ctx, put)
	if err != nil {
		return store.Object{}, err
	}
	switch a.status {
	case http.StatusOK:
		return put.object(a, o.Key)
	case http.StatusConflict:
		return store.Object{}, put.conflict(a, o.Key)
	case http.StatusRequestEntityTooLarge:
		return store.Object{}, put.fail(tooLarge, store.ErrTooLarge)
	default:
		return store.Object{}, put.unexpectedStatus(a)
	}
}

// Delete implements store.Store. The error wraps store.ErrNotFound, a
// *store.ConflictError, store.ErrUnavailable or store.ErrOutcomeUnknown.
func (c *Client) Delete(ctx context.Context, k store.Key, version store.Revision) error {
	remove := c.objectCall("delete", http.MethodDelete, k)
	remove.query = versionQuery(version)
	a, err := c.do(ctx, remove)
	if err != nil {
		return err
	}
	switch a.status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return remove.fail(notFound, store.ErrNotFound)
	case http.StatusConflict:
		return remove.conflict(a, k)
	default:
		return remove.unexpectedStatus(a)
	}
}

// Watch implements store.Store: it waits up to wait for changes of the given kinds after
// from. The error wraps store.ErrCompacted if from precedes the oldest retained event, or
// store.ErrUnavailable.
func (c *Client) Watch(ctx context.Context, from store.Revision, wait time.Duration, kinds ...store.Kind) (store.Page, error) {
	query := kindQuery(kinds)
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	watch := call{name: "watch", method: http.MethodGet, path: "watch", query: query,
		timeout: wait + WatchGrace, maxBytes: maxListBytes}
	a, err := c.do(ctx, watch)
	if err != nil {
		return store.Page{}, err
	}
	switch a.status {
	case http.StatusOK:
		return watch.page(a)
	case http.StatusGone:
		return store.Page{}, watch.fail(compacted, store.ErrCompacted)
	default:
		return store.Page{}, watch.unexpectedStatus(a)
	}
}

// VMs implements store.Store. The platform's list may be out of date. The error wraps
// store.ErrUnavailable.
func (c *Client) VMs(ctx context.Context) ([]store.VM, error) {
	list := call{name: "vms", method: http.MethodGet, path: "vms", timeout: c.callTimeout, maxBytes: maxListBytes}
	a, err := c.do(ctx, list)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, list.unexpectedStatus(a)
	}
	var w wireVMs
	if err := list.decode(a, &w); err != nil {
		return nil, err
	}
	return w.VMs, nil
}
