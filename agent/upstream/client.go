// Package upstream connects an agent to its target over HTTP/1.1. It tells exactly whether a failed request has
// reached the target, and it never sends a request twice.
package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"
)

// HeaderInstance is the header by which a target names its incarnation.
const HeaderInstance = "X-Target-Instance"

// Limits of the connections to a target.
const (
	maxHeaderBytes = 64 << 10
	maxIdleConns   = 64
	bufferBytes    = 16 << 10
)

// Config holds what a client needs.
type Config struct {
	// URL is the target's base URL.
	URL *url.URL
	// OnInstanceChange is called when the target seems to be another incarnation than before, with the reason. It may be nil.
	OnInstanceChange func(reason string)
}

// Client owns the connections to one target.
type Client struct {
	config    Config
	transport *http.Transport
	instance  atomic.Pointer[string]
}

// New returns a client. It connects on use.
func New(config Config) *Client {
	if config.OnInstanceChange == nil {
		config.OnInstanceChange = func(string) {}
	}
	dialer := newDialer()
	first := &sync.Mutex{}
	return &Client{config: config, transport: &http.Transport{
		DialContext:            dialPlain(dialer, first),
		DialTLSContext:         dialTLS(dialer, first),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// URL returns the target's URL for the path and the query of a request.
func (c *Client) URL(request *url.URL) *url.URL {
	target := *c.config.URL
	target.Path, target.RawPath, target.RawQuery = request.Path, request.RawPath, request.RawQuery
	return &target
}

// Request is one exchange with the target.
type Request struct {
	HTTP *http.Request
	// Deadline is the time by which the answer's header must be there.
	Deadline time.Time
	// Check is asked right before the first byte is written. An error keeps the request from the target.
	Check func() error
}

// Response is the target's answer. Its body ends with an error when the target cut it short.
type Response struct {
	*http.Response
}

// Do sends the request and returns when the header of the answer is there. The context cancels the whole exchange, the
// body included. Closing the body of the answer ends the exchange.
func (c *Client) Do(ctx context.Context, request *Request) (*Response, *Failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	try := &attempt{check: request.Check, cancel: cancel}
	timer := time.AfterFunc(time.Until(request.Deadline), func() { cancel(context.DeadlineExceeded) })
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: try.gotConn})
	out := request.HTTP.WithContext(traced)
	out.GetBody = nil
	out.Body = guardBody(out.Body)

	response, err := c.transport.RoundTrip(out)
	inTime := timer.Stop()
	if err != nil {
		failure := try.fail(ctx, err)
		cancel(nil)
		return nil, failure
	}
	if !inTime {
		_ = response.Body.Close()
		return nil, &Failure{Sent: true, Reason: ReasonDeadline, Cause: context.DeadlineExceeded}
	}
	if !delimited(response) {
		cancel(nil)
		_ = response.Body.Close()
		return nil, &Failure{Sent: true, Reason: ReasonMalformed, Cause: errors.New("answer states no length")}
	}
	c.noteInstance(response.Header.Get(HeaderInstance))
	response.Body = &answerBody{ReadCloser: response.Body, cancel: cancel}
	return &Response{Response: response}, nil
}

// delimited reports whether the end of the answer can be told from a cut connection, RFC 9112 section 6.3.
func delimited(response *http.Response) bool {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

// noteInstance compares the target's incarnation with the last one seen.
func (c *Client) noteInstance(instance string) {
	if instance == "" {
		return
	}
	old := c.instance.Swap(&instance)
	if old != nil && *old != instance {
		c.config.OnInstanceChange("target-instance-changed")
	}
}

// answerBody ends the exchange when it is closed.
type answerBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close cancels what is left of the exchange.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
