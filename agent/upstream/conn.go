package upstream

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// errRequestAborted is returned for a write on a connection whose request has already failed.
var errRequestAborted = errors.New("request was aborted before its first byte was written")

// gatedConn is a connection to the target that records whether any byte of the current request has been written and can
// reject the first write. Otherwise a request that is aborted while net/http is about to write it could still reach the
// target after the caller received the outcome "not run".
type gatedConn struct {
	net.Conn

	// firstWrite is shared by all connections of a client. It is held from the check of a request to the end of its
	// first write. If the process is paused in between, it therefore writes at most one request on an outdated check
	// when it resumes.
	firstWrite *sync.Mutex

	unsent atomic.Bool // a request was assigned to the connection and its first write has not begun

	mu       sync.Mutex
	writeErr error        // if not nil, returned for writes that have not begun
	check    func() error // called once, immediately before the first byte
	sent     bool         // a byte was written or a write is in progress
}

// beginRequest prepares the connection for a new request. The check may be nil.
func (c *gatedConn) beginRequest(check func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check = check
	c.sent = false
	c.unsent.Store(true)
}

// stopWrites rejects all writes that have not begun with the given error, unless an earlier one is set. It reports
// whether any byte of the request may have been sent.
func (c *gatedConn) stopWrites(cause error) (sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		c.writeErr = cause
	}
	return c.sent
}

// writeError returns the error with which writes are rejected, nil if they are not.
func (c *gatedConn) writeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// errUnsolicited is returned for bytes that arrive before the first byte of the current request was written. They cannot
// be its response.
var errUnsolicited = errors.New("target sent data before it got the request")

// Read reads from the connection. If data arrives before the current request was sent, it closes the connection, so that
// the request is not sent either.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.unsent.Load() {
		_ = c.Conn.Close()
		return 0, errUnsolicited
	}
	return n, err
}

// Write writes p unless the request was aborted or its check fails.
func (c *gatedConn) Write(p []byte) (int, error) {
	if c.hasSent() {
		if err := c.writeError(); err != nil {
			return 0, err
		}
		return c.Conn.Write(p)
	}
	c.firstWrite.Lock()
	defer c.firstWrite.Unlock()
	if err := c.startFirstWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.clearSent()
	}
	return n, err
}

func (c *gatedConn) hasSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// startFirstWrite runs the check of the request and marks the request as sent, or returns the error that rejects the
// write.
func (c *gatedConn) startFirstWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return c.writeErr
	}
	if c.check != nil {
		if err := c.check(); err != nil {
			c.writeErr = err
			return err
		}
	}
	c.sent = true
	c.unsent.Store(false)
	return nil
}

// clearSent marks the request as not sent, after a first write that failed before any byte was written.
func (c *gatedConn) clearSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = false
}
