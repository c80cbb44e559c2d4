// Package upstream is the HTTP/1.1 client with which an agent sends requests to its target. It never sends a request
// twice, and for a failed request it reports whether any byte may have reached the target.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers between an agent and its target.
const (
	// HeaderInstance is the response header in which a target states its incarnation.
	HeaderInstance = "X-Target-Instance"
	// HeaderExchange identifies a request to the target. A target that repeats it in its response lets the agent
	// recognize a late second copy of an earlier response on a reused connection. HTTP/1.1 alone cannot tell it from the
	// response to the current request.
	HeaderExchange = "X-Target-Exchange"
)

// Limits of the connections to a target.
const (
	maxHeaderBytes = 64 << 10
	maxIdleConns   = 64
	bufferBytes    = 16 << 10
)

// Config holds the settings of a client.
type Config struct {
	// URL is the target's base URL.
	URL *url.URL
	// OnInstanceChange is called with a reason if a response comes from another incarnation of the target than the
	// previous one. It may be nil.
	OnInstanceChange func(reason string)
}

// Client sends requests to one target and pools the connections to it.
type Client struct {
	config    Config
	transport *http.Transport
	instance  atomic.Pointer[string]
	process   string        // random; distinguishes exchanges of this client from those of its predecessor
	exchanges atomic.Uint64 // number of exchanges so far
}

// New returns a client. It opens connections on demand.
func New(config Config) *Client {
	if config.OnInstanceChange == nil {
		config.OnInstanceChange = func(string) {}
	}
	dialer := newDialer()
	firstWrite := &sync.Mutex{}
	return &Client{config: config, process: strconv.FormatUint(rand.Uint64(), 16), transport: &http.Transport{
		DialContext:            dialPlain(dialer, firstWrite),
		DialTLSContext:         dialTLS(dialer, firstWrite),
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

// URL returns the target's base URL with the path and the query of a request URL.
func (c *Client) URL(request *url.URL) *url.URL {
	target := *c.config.URL
	target.Path, target.RawPath, target.RawQuery = request.Path, request.RawPath, request.RawQuery
	return &target
}

// Request is a request to the target.
type Request struct {
	HTTP *http.Request
	// Deadline is the time by which the response header must arrive.
	Deadline time.Time
	// Check is called immediately before the first byte is written. If it returns an error, the request is not sent.
	// It may be nil.
	Check func() error
}

// Response is the target's response. Reading its body returns an error if the target truncates it.
type Response struct {
	*http.Response
}

// Do sends the request and returns when the response header arrives. The context cancels the whole exchange, including
// the response body. Closing the response body ends the exchange.
func (c *Client) Do(ctx context.Context, request *Request) (*Response, *Failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	try := &attempt{check: request.Check, cancel: cancel}
	timer := time.AfterFunc(time.Until(request.Deadline), func() { cancel(context.DeadlineExceeded) })
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: try.gotConn})
	out := request.HTTP.WithContext(traced)
	out.GetBody = nil
	exchange := c.nextExchange()
	out.Header = out.Header.Clone()
	out.Header.Set(HeaderExchange, exchange)
	out.Body = preventResend(out.Body)

	response, err := c.transport.RoundTrip(out)
	inTime := timer.Stop()
	if err != nil {
		failure := try.newFailure(ctx, err)
		cancel(nil)
		return nil, failure
	}
	if !inTime {
		_ = response.Body.Close()
		return nil, &Failure{Sent: true, Reason: ReasonDeadline, Cause: context.DeadlineExceeded}
	}
	if !isSelfDelimiting(response) {
		cancel(nil)
		_ = response.Body.Close()
		return nil, &Failure{Sent: true, Reason: ReasonMalformed, Cause: errors.New("response length is unknown")}
	}
	if echoed := response.Header.Get(HeaderExchange); echoed != "" && echoed != exchange {
		try.closeConn()
		cancel(nil)
		_ = response.Body.Close()
		return nil, &Failure{Sent: true, Reason: ReasonMismatch, Cause: fmt.Errorf("response is to exchange %.64q", echoed)}
	}
	response.Header.Del(HeaderExchange)
	c.recordInstance(response.Header.Get(HeaderInstance))
	response.Body = &responseBody{ReadCloser: response.Body, cancel: cancel}
	return &Response{Response: response}, nil
}

// nextExchange returns the value of HeaderExchange for the next request.
func (c *Client) nextExchange() string {
	return c.process + "-" + strconv.FormatUint(c.exchanges.Add(1), 10)
}

// isSelfDelimiting reports whether the length of the response is known, so that its end can be distinguished from a
// broken connection, RFC 9112 section 6.3.
func isSelfDelimiting(response *http.Response) bool {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

// recordInstance stores the target's incarnation and calls OnInstanceChange if it differs from the previous one.
func (c *Client) recordInstance(instance string) {
	if instance == "" {
		return
	}
	old := c.instance.Swap(&instance)
	if old != nil && *old != instance {
		c.config.OnInstanceChange("target-instance-changed")
	}
}

// responseBody cancels the context of the exchange when it is closed.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and cancels the rest of the exchange.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
