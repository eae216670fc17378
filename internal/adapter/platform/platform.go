// Package platform implements store.Store as an HTTP client of the platform's object
// service.
//
// It makes each call once; retries are left to its callers. A call that the service
// certainly did not execute fails with store.ErrUnavailable. A change without an answer
// fails with store.ErrOutcomeUnknown, because it may have taken effect. A read changes
// nothing, so a read without an answer fails with store.ErrUnavailable as well.
package platform

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"
)

// Default time limits of a call.
const (
	DefaultCallTimeout = 2 * time.Second
	DefaultListTimeout = 10 * time.Second
	// WatchGrace is the time that a Watch call may take in addition to its wait.
	WatchGrace = 3 * time.Second
)

// Limits of the connections to the store and of the sizes of responses.
const (
	dialTimeout     = time.Second
	idleTimeout     = 90 * time.Second
	maxIdleConns    = 8
	maxHeaderBytes  = 64 << 10
	maxObjectBytes  = 2 << 20
	maxListBytes    = 256 << 20
	maxMessageBytes = 1 << 10
)

// Options configures a Client.
type Options struct {
	// URL is the base URL of the service, for example http://127.0.0.1:7000. Its host
	// must be an IP address.
	URL string
	// CallTimeout limits a call on one object and the call that lists the VMs; zero
	// selects DefaultCallTimeout.
	CallTimeout time.Duration
	// ListTimeout limits a List call; zero selects DefaultListTimeout.
	ListTimeout time.Duration
	// LocalAddress is the source IP address of connections; the zero Addr lets the
	// operating system choose.
	LocalAddress netip.Addr
	// TLS configures connections to an https URL; nil verifies the server with the
	// system's root certificates.
	TLS *tls.Config
}

// Client implements store.Store over HTTP. It is safe for concurrent use.
type Client struct {
	base        *url.URL
	http        *http.Client
	callTimeout time.Duration
	listTimeout time.Duration
}

// New returns a client without making a call. The error reports an invalid option.
func New(o Options) (*Client, error) {
	base, err := parseURL(o.URL)
	if err != nil {
		return nil, err
	}
	if o.CallTimeout < 0 || o.ListTimeout < 0 {
		return nil, fmt.Errorf("platform call timeout is %v and list timeout is %v, want at least 0s", o.CallTimeout, o.ListTimeout)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	if o.LocalAddress.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(o.LocalAddress, 0))
	}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		TLSClientConfig:        o.TLS,
		TLSHandshakeTimeout:    dialTimeout,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	c := &Client{
		base:        base,
		http:        &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		callTimeout: o.CallTimeout,
		listTimeout: o.ListTimeout,
	}
	if c.callTimeout == 0 {
		c.callTimeout = DefaultCallTimeout
	}
	if c.listTimeout == 0 {
		c.listTimeout = DefaultListTimeout
	}
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

func parseURL(s string) (*url.URL, error) {
	u, err := url.Parse(s)
	if err != nil {
		return nil, fmt.Errorf("platform URL %q: %w", s, err)
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return nil, fmt.Errorf("platform URL %q has scheme %q, want http or https", s, u.Scheme)
	}
	if net.ParseIP(u.Hostname()) == nil {
		return nil, fmt.Errorf("platform URL %q has host %q, want an IP address", s, u.Hostname())
	}
	return u, nil
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return errors.New("store responded with a redirect")
}
