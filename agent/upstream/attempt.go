package upstream

import (
	"context"
	"errors"
	"io"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
)

// attempt tracks the connections that net/http selects for one request.
type attempt struct {
	check  func() error
	cancel context.CancelCauseFunc

	mu   sync.Mutex
	conn *gatedConn
}

var errSecondAttempt = errors.New("connection was closed before the request was written")

// gotConn prepares the connection for the request. If the first connection closes before a byte is written, net/http
// retries on another one. gotConn fails the request instead, so that each request has one connection and one outcome.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*gatedConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		conn.beginRequest(nil)
		conn.stopWrites(errSecondAttempt)
		a.cancel(errSecondAttempt)
		return
	}
	conn.beginRequest(a.check)
	a.conn = conn
}

// newFailure blocks further writes on the connection and returns the failure, with its reason and whether any byte of
// the request may have reached the target.
func (a *attempt) newFailure(ctx context.Context, err error) *Failure {
	failure := &Failure{Cause: err, Sent: a.stopWrites()}
	checkErr := a.checkError()
	switch {
	case checkErr != nil:
		failure.Reason, failure.Cause = ReasonRefused, checkErr
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		failure.Reason = ReasonDeadline
	case errors.Is(context.Cause(ctx), errSecondAttempt):
		failure.Reason = ReasonClosed
	case ctx.Err() != nil:
		failure.Reason = ReasonCanceled
	case !a.connected():
		failure.Reason = ReasonUnreachable
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.ETIMEDOUT):
		failure.Reason = ReasonReset
	case isConnClosed(err):
		failure.Reason = ReasonClosed
	default:
		failure.Reason = ReasonMalformed
	}
	return failure
}

func isConnClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.EPIPE) ||
		strings.Contains(err.Error(), "server closed idle connection")
}

func (a *attempt) connected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil
}

// closeConn closes the connection of the request, so that no other request uses it.
func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

func (a *attempt) stopWrites() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil && a.conn.stopWrites(errRequestAborted)
}

// checkError returns the error of the check that stopped the request, nil if the check did not fail.
func (a *attempt) checkError() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return nil
	}
	if err := a.conn.writeError(); !errors.Is(err, errRequestAborted) {
		return err
	}
	return nil
}
