package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/laburnumrack/laburnumrack/internal/adminapi"
	"github.com/laburnumrack/laburnumrack/internal/ctxtime"
	"github.com/laburnumrack/laburnumrack/internal/store"
)

// Limits of requests to the administration API.
const (
	// attemptTimeout limits one request to one address.
	attemptTimeout = 12 * time.Second
	// maxResponseBytes is the largest body of a response that is read.
	maxResponseBytes = 256 << 20
	// roundPause is the pause after each round over all addresses.
	roundPause = 300 * time.Millisecond
)

// client sends requests to the administration addresses in turn. It is not safe for
// concurrent use.
type client struct {
	options Options
	scheme  string
	http    *http.Client
	// nextAddress counts the attempts. Modulo the number of addresses it is the index of
	// the address to try next.
	nextAddress int
}

func newClient(o Options) *client {
	c := &client{options: o, scheme: "http", http: &http.Client{Transport: newTransport(o)}}
	if o.TLS != nil {
		c.scheme = "https"
	}
	return c
}

func (c *client) close() {
	c.http.CloseIdleConnections()
}

// attempt is the outcome of one request to one address.
type attempt struct {
	body []byte
	// maybeApplied reports that the server may have executed the request although no
	// complete response arrived.
	maybeApplied bool
	err          error
}

func (c *client) revision(ctx context.Context) (store.Revision, error) {
	var reply struct {
		adminapi.Revision
		Error *adminapi.Error `json:"error"`
	}
	err := c.sendUntilAnswered(ctx, http.MethodGet, adminapi.PathRevision, nil, func(body []byte) (*adminapi.Error, error) {
		return reply.Error, json.Unmarshal(body, &reply)
	})
	if err != nil {
		return 0, err
	}
	if e := reply.Error; e != nil {
		return 0, errorf(exitCodeOf(e.Code), "error %s: %s", e.Code, e.Message)
	}
	return reply.Revision.Revision, nil
}

func (c *client) statements(ctx context.Context, request adminapi.Request) (adminapi.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return adminapi.Response{}, errorf(ExitFailed, "encode the request: %v", err)
	}
	var response adminapi.Response
	err = c.sendUntilAnswered(ctx, http.MethodPost, adminapi.PathStatements, body, func(body []byte) (*adminapi.Error, error) {
		response = adminapi.Response{}
		err := json.Unmarshal(body, &response)
		return response.Error, err
	})
	return response, err
}

// sendUntilAnswered sends the same request to the addresses in turn until a server returns
// a response that is not retryable. A request with changes carries the name of its batch,
// so that a retry does not apply them again. When ctx ends, the error is an *Error with
// ExitUnknown if a POST may have been executed, and with ExitFailed otherwise.
func (c *client) sendUntilAnswered(ctx context.Context, method, path string, body []byte, decode func([]byte) (*adminapi.Error, error)) error {
	maybeApplied := false
	lastErrs := lastErrors{}
	for ctx.Err() == nil {
		for range c.options.Addresses {
			address := c.options.Addresses[c.nextAddress%len(c.options.Addresses)]
			a := c.sendOnce(ctx, method, c.scheme+"://"+address+path, body)
			if a.err == nil {
				var e *adminapi.Error
				e, a.err = decode(a.body)
				if a.err == nil && !isRetryable(e) {
					return nil
				}
				if a.err == nil {
					maybeApplied = maybeApplied || e.Code == adminapi.CodeUnknown
					a.err = fmt.Errorf("%s: %s", e.Code, e.Message)
				} else {
					a.maybeApplied = true
				}
			}
			maybeApplied = maybeApplied || a.maybeApplied
			c.nextAddress++
			lastErrs.record(address, a.err, ctx.Err() != nil)
			if ctx.Err() != nil {
				break
			}
		}
		ctxtime.Sleep(ctx, roundPause)
	}
	if maybeApplied && method == http.MethodPost {
		return errorf(ExitUnknown, "the outcome of the request is unknown; %s", lastErrs.summary(c.options.Addresses))
	}
	return errorf(ExitFailed, "no administration listener executed the request; %s", lastErrs.summary(c.options.Addresses))
}

// lastErrors holds the last error of each address.
type lastErrors map[string]error

// record sets the last error of an address. Once the context has ended, an earlier error is
// kept, because it is more informative than the error of the context.
func (l lastErrors) record(address string, err error, ended bool) {
	if _, known := l[address]; known && ended {
		return
	}
	l[address] = err
}

// summary returns the last error of each address that was tried.
func (l lastErrors) summary(addresses []string) string {
	var parts []string
	for _, address := range addresses {
		if err, ok := l[address]; ok {
			parts = append(parts, fmt.Sprintf("%s: %v", address, err))
		}
	}
	return strings.Join(parts, "; ")
}

// isRetryable reports whether the request must be sent again after the error e.
func isRetryable(e *adminapi.Error) bool {
	if e == nil {
		return false
	}
	return e.Code == adminapi.CodeUnknown || e.Code == adminapi.CodeUnavailable || e.Code == adminapi.CodeBusy
}

func (c *client) sendOnce(ctx context.Context, method, url string, body []byte) attempt {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return attempt{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.options.Secret)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return attempt{maybeApplied: connected.Load(), err: err}
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return attempt{maybeApplied: true, err: err}
	}
	return attempt{body: responseBody}
}
