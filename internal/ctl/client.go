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

// Limits of one request.
const (
	// attemptTimeout bounds one request at one address.
	attemptTimeout   = 12 * time.Second
	maxResponseBytes = 256 << 20
	// roundPause is the pause after all addresses were tried.
	roundPause = 300 * time.Millisecond
)

// client sends requests to the addresses in turn. One goroutine uses it.
type client struct {
	options Options
	scheme  string
	http    *http.Client
	// next is the address to try next.
	next int
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

// try is what one request at one address brought.
type try struct {
	body []byte
	// maybe says that the request may have been taken though no answer came.
	maybe bool
	err   error
}

func (c *client) revision(ctx context.Context) (store.Revision, error) {
	var answer struct {
		adminapi.Revision
		Error *adminapi.Error `json:"error"`
	}
	err := c.untilAnswered(ctx, http.MethodGet, adminapi.PathRevision, nil, func(body []byte) (*adminapi.Error, error) {
		return answer.Error, json.Unmarshal(body, &answer)
	})
	if err != nil {
		return 0, err
	}
	if e := answer.Error; e != nil {
		return 0, failf(exitOf(e.Code), "error %s: %s", e.Code, e.Message)
	}
	return answer.Revision.Revision, nil
}

func (c *client) statements(ctx context.Context, request adminapi.Request) (adminapi.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return adminapi.Response{}, failf(ExitFailed, "encode the request: %v", err)
	}
	var response adminapi.Response
	err = c.untilAnswered(ctx, http.MethodPost, adminapi.PathStatements, body, func(body []byte) (*adminapi.Error, error) {
		response = adminapi.Response{}
		err := json.Unmarshal(body, &response)
		return response.Error, err
	})
	return response, err
}

// untilAnswered sends the same request to the addresses in turn until one answers
// with something other than "try again". A request that changes something carries
// the name of its batch, so that it is carried out once.
func (c *client) untilAnswered(ctx context.Context, method, path string, body []byte, decode func([]byte) (*adminapi.Error, error)) error {
	maybe := false
	last := lastErrors{}
	for ctx.Err() == nil {
		for range c.options.Addresses {
			address := c.options.Addresses[c.next%len(c.options.Addresses)]
			t := c.once(ctx, method, c.scheme+"://"+address+path, body)
			if t.err == nil {
				var e *adminapi.Error
				e, t.err = decode(t.body)
				if t.err == nil && !again(e) {
					return nil
				}
				if t.err == nil {
					maybe = maybe || e.Code == adminapi.CodeUnknown
					t.err = fmt.Errorf("%s: %s", e.Code, e.Message)
				} else {
					t.maybe = true
				}
			}
			maybe = maybe || t.maybe
			c.next++
			last.set(address, t.err, ctx.Err() != nil)
			if ctx.Err() != nil {
				break
			}
		}
		ctxtime.Sleep(ctx, roundPause)
	}
	if maybe && method == http.MethodPost {
		return failf(ExitUnknown, "the outcome is not known; %s", last.text(c.options.Addresses))
	}
	return failf(ExitFailed, "no administration listener could help; %s", last.text(c.options.Addresses))
}

// lastErrors holds the last error of each address.
type lastErrors map[string]error

// set keeps an error. At the end of the time an earlier error stays, because it
// says more than that the time is up.
func (l lastErrors) set(address string, err error, ended bool) {
	if _, known := l[address]; known && ended {
		return
	}
	l[address] = err
}

// text names the last error of each address that was tried.
func (l lastErrors) text(addresses []string) string {
	var parts []string
	for _, address := range addresses {
		if err, ok := l[address]; ok {
			parts = append(parts, fmt.Sprintf("%s: %v", address, err))
		}
	}
	return strings.Join(parts, "; ")
}

// again reports whether the request is to be sent again.
func again(e *adminapi.Error) bool {
	if e == nil {
		return false
	}
	return e.Code == adminapi.CodeUnknown || e.Code == adminapi.CodeUnavailable || e.Code == adminapi.CodeBusy
}

func (c *client) once(ctx context.Context, method, url string, body []byte) try {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return try{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.options.Secret)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return try{maybe: connected.Load(), err: err}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return try{maybe: true, err: err}
	}
	return try{body: answer}
}
