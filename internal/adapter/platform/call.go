package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/laburnumrack/laburnumrack/internal/store"
)

// call describes one HTTP request to the store.
type call struct {
	// name identifies the kind of call in metrics and errors.
	name   string
	method string
	path   string
	query  url.Values
	body   []byte
	// mutating reports whether the call may change an object.
	mutating bool
	timeout  time.Duration
	// maxBytes is the maximum size of the response body.
	maxBytes int64
}

// answer is the status code and the body of a response.
type answer struct {
	status int
	body   []byte
}

// failure is the kind of a failed call, which is the error label of the counter of
// failures.
type failure string

const (
	notConnected failure = "not_connected"
	refused      failure = "refused"
	noAnswer     failure = "no_answer"
	badAnswer    failure = "bad_answer"
	notFound     failure = "not_found"
	conflict     failure = "conflict"
	compacted    failure = "compacted"
	tooLarge     failure = "too_large"
	rejected     failure = "rejected"
)

// fail counts a failure and returns err with the name of the call.
func (c call) fail(f failure, err error) error {
	metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_store_errors_total{call=%q,error=%q}`, c.name, f)).Inc()
	return fmt.Errorf("store %s: %w", c.name, err)
}

// lostAnswer returns the error of a call that the store may have executed:
// store.ErrOutcomeUnknown for a change and store.ErrUnavailable for a read.
func (c call) lostAnswer(f failure, cause error) error {
	if c.mutating {
		return c.fail(f, fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, cause))
	}
	return c.fail(f, fmt.Errorf("%w: %w", store.ErrUnavailable, cause))
}

// do makes the call once. The error is nil if the store responded with a status other
// than 5xx.
func (c *Client) do(ctx context.Context, k call) (answer, error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumrack_store_calls_total{call=%q}`, k.name)).Inc()
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), k)
	if err != nil {
		return answer{}, k.fail(rejected, err)
	}
	response, err := c.http.Do(request)
	if err != nil && !connected.Load() {
		return answer{}, k.fail(notConnected, fmt.Errorf("%w: %w", store.ErrUnavailable, err))
	}
	if err != nil {
		return answer{}, k.lostAnswer(noAnswer, err)
	}
	defer response.Body.Close()
	return k.readResponse(response)
}

// newRequest returns the HTTP request of a call.
func (c *Client) newRequest(ctx context.Context, k call) (*http.Request, error) {
	u := c.base.JoinPath(k.path)
	u.RawQuery = k.query.Encode()
	request, err := http.NewRequestWithContext(ctx, k.method, u.String(), bytes.NewReader(k.body))
	if err != nil {
		return nil, err
	}
	if k.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// readResponse reads the body of a response with a status other than 5xx. Status 503
// means that the store did not execute the call.
func (c call) readResponse(response *http.Response) (answer, error) {
	if response.StatusCode == http.StatusServiceUnavailable {
		return answer{}, c.fail(refused, store.ErrUnavailable)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.maxBytes+1))
	if err != nil {
		return answer{}, c.lostAnswer(noAnswer, err)
	}
	if int64(len(body)) > c.maxBytes {
		return answer{}, c.lostAnswer(badAnswer, fmt.Errorf("response body exceeds %d bytes", c.maxBytes))
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return answer{}, c.lostAnswer(badAnswer, fmt.Errorf("response has status %d", response.StatusCode))
	}
	return answer{status: response.StatusCode, body: body}, nil
}

// decode decodes the JSON body of an answer.
func (c call) decode(a answer, into any) error {
	if err := json.Unmarshal(a.body, into); err != nil {
		return c.lostAnswer(badAnswer, fmt.Errorf("decode response body: %w", err))
	}
	return nil
}

// unexpectedStatus returns the error for a status that the call does not define.
func (c call) unexpectedStatus(a answer) error {
	text := a.body[:min(len(a.body), maxMessageBytes)]
	return c.fail(rejected, fmt.Errorf("unexpected status %d: %q", a.status, text))
}
