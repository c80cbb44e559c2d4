package load

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Settings of raw flows.
const (
	keepAlive   = 2 * time.Second
	idleTimeout = 15 * time.Second
	socketBytes = 1 << 20
	retryPause  = 50 * time.Millisecond
	// codeDomainOut closes a connection whose failure domain is out.
	codeDomainOut = 0xC0A5
	// unusable begins the error of quic-go's HTTP/3 client when a request could not begin on a connection.
	unusable = "http3: conn unusable"
)

// rawDialer opens flows with quic-go alone, without the caller library, so that nothing hides the loss of a connection.
type rawDialer struct {
	tls *tls.Config
}

// newTransport returns a socket for one connection, so that a middlebox that forgets one connection forgets no other.
func newTransport() (*quic.Transport, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketBytes)
	_ = conn.SetWriteBuffer(socketBytes)
	return &quic.Transport{Conn: conn}, nil
}

// rawFlow is one QUIC connection at a time. It is reopened after GOAWAY; any other end of the connection is reported.
type rawFlow struct {
	dialer  *rawDialer
	address netip.AddrPort

	mu        sync.Mutex
	transport *quic.Transport
	conn      *quic.Conn
	http      *http3.ClientConn
	target    string // that answered last
	Moves     int    // times the flow was reopened
}

func (d *rawDialer) open(ctx context.Context, address netip.AddrPort) (*rawFlow, error) {
	f := &rawFlow{dialer: d, address: address}
	return f, f.connect(ctx)
}

// connect opens the connection when there is none. The caller is Do or open.
func (f *rawFlow) connect(ctx context.Context) error {
	if f.conn != nil {
		return nil
	}
	transport, err := newTransport()
	if err != nil {
		return err
	}
	config := &quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlive, InitialPacketSize: 1252}
	conn, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(f.address), f.dialer.tls, config)
	if err != nil {
		closeTransport(transport)
		return fmt.Errorf("dial %s: %w", f.address, err)
	}
	f.conn, f.transport = conn, transport
	f.http = (&http3.Transport{DisableCompression: true}).NewClientConn(conn)
	return nil
}

// drop forgets the connection; the next request opens another one.
func (f *rawFlow) drop() {
	_ = f.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	closeTransport(f.transport)
	f.conn, f.http, f.transport = nil, nil, nil
}

func closeTransport(t *quic.Transport) {
	_ = t.Close()
	_ = t.Conn.Close()
}

// Do makes requests until one ends with something else than a refusal that may be repeated elsewhere.
func (f *rawFlow) Do(ctx context.Context, request Request) Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := Result{Outcome: NotRun, Reason: "no attempt"}
	for ctx.Err() == nil {
		if err := f.connect(ctx); err != nil {
			last = Result{Outcome: NotRun, Reason: err.Error()}
			continue
		}
		result, again := f.attempt(ctx, request)
		if refused := last.Outcome == NotRun && last.Target != ""; refused && ctx.Err() != nil && f.alive() {
			// The deadline passed while a request that had been refused before waited once more.
			return last
		}
		if !again {
			return result
		}
		last = result
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	return last
}

// alive reports whether the connection can carry requests.
func (f *rawFlow) alive() bool { return f.conn != nil && f.conn.Context().Err() == nil }

// attempt makes one exchange. It reports whether another attempt is safe: after a refusal, or for a GET after an
// answer that says unknown on a connection that still works.
func (f *rawFlow) attempt(ctx context.Context, request Request) (Result, bool) {
	if ended := f.conn.Context().Err(); ended != nil {
		result, graceful := classify(context.Cause(f.conn.Context()))
		f.drop()
		f.Moves++
		return result, graceful
	}
	response, err := f.exchange(ctx, request)
	if err != nil {
		return f.failed(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	f.target = response.Header.Get("Cowslip-Target")
	result := Result{Outcome: Answered, Target: f.target, Reason: response.Header.Get("Cowslip-Reason")}
	result.Body, err = io.ReadAll(response.Body)
	if err != nil {
		failure, _ := classify(f.causeOf(err))
		failure.Target = result.Target
		return failure, false
	}
	switch response.Header.Get("Cowslip-Outcome") {
	case "not-run":
		result.Outcome = NotRun
		return result, true
	case "unknown":
		result.Outcome = Unknown
		return result, request.Method == http.MethodGet
	}
	if response.StatusCode != http.StatusOK {
		result.Outcome = Unknown
		result.Reason = response.Status
	}
	return result, false
}

func (f *rawFlow) exchange(ctx context.Context, request Request) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, request.Method, "https://"+f.address.String()+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	if until, ok := ctx.Deadline(); ok {
		r.Header.Set("Cowslip-Deadline-Ms", strconv.FormatInt(time.Until(until).Milliseconds(), 10))
	}
	return f.http.RoundTrip(r)
}

// causeOf prefers the reason for which the connection ended over that of a stream.
func (f *rawFlow) causeOf(err error) error {
	if cause := context.Cause(f.conn.Context()); cause != nil {
		return cause
	}
	return err
}

// failed says what an error means: a request that could not begin after GOAWAY, or that was rejected, goes elsewhere.
func (f *rawFlow) failed(ctx context.Context, err error) (Result, bool) {
	cause := f.causeOf(err)
	result, graceful := classify(cause)
	var stream *http3.Error
	switch {
	case ctx.Err() != nil:
		return Result{Outcome: Unknown, Reason: "deadline passed at " + f.target + ": " + cause.Error(), Target: f.target}, false
	case errors.As(err, &stream) && stream.ErrorCode == http3.ErrCodeRequestRejected:
		graceful = true
	case f.conn.Context().Err() == nil && strings.HasPrefix(err.Error(), unusable):
		graceful = true
	case f.conn.Context().Err() == nil:
		return result, false
	}
	f.drop()
	f.Moves++
	return result, graceful
}

// classify reads the end of a connection. It reports whether the other end closed it without an error.
func classify(err error) (Result, bool) {
	result := Result{Outcome: Unknown, Reason: err.Error()}
	var reset *quic.StatelessResetError
	var closed *quic.ApplicationError
	switch {
	case errors.As(err, &reset):
		result.Outcome = GivenUp
	case errors.As(err, &closed) && closed.ErrorCode == codeDomainOut:
		result.Outcome = GivenUp
	case errors.As(err, &closed) && closed.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError):
		return result, true
	}
	return result, false
}

// Close ends the flow.
func (f *rawFlow) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil {
		f.drop()
	}
	return nil
}
