package upstream

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned for a write on a connection whose request has already been given up.
var errSealed = errors.New("request was given up before its first byte was written")

// gatedConn is a connection to the target that knows whether any byte of the current request has been written, and
// that can refuse the first byte. Without the gate, a request given up while net/http is about to write it could still
// reach the target after the caller was told "not run".
type gatedConn struct {
	net.Conn

	// first is shared by all connections of a client. It is held from the check of a request to the end of its first
	// write, so that a process that is paused in between has at most one checked request to write when it wakes.
	first *sync.Mutex

	mu     sync.Mutex
	sealed error        // refuses further writes
	check  func() error // asked once, right before the first byte
	sent   bool         // a byte was written, or a write is under way
}

// begin starts a new request on the connection.
func (c *gatedConn) begin(check func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check = check
	c.sent = false
}

// seal refuses all writes that have not begun and reports whether a byte of the request may have left.
func (c *gatedConn) seal(cause error) (sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed == nil {
		c.sealed = cause
	}
	return c.sent
}

// refusal returns the error that sealed the connection.
func (c *gatedConn) refusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sealed
}

// Write writes unless the request was given up or its check fails.
func (c *gatedConn) Write(p []byte) (int, error) {
	if c.hasSent() {
		if err := c.refusal(); err != nil {
			return 0, err
		}
		return c.Conn.Write(p)
	}
	c.first.Lock()
	defer c.first.Unlock()
	if err := c.pass(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.unsend()
	}
	return n, err
}

func (c *gatedConn) hasSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// pass decides on the first write of a request and marks the request as sent.
func (c *gatedConn) pass() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed != nil {
		return c.sealed
	}
	if c.check != nil {
		if err := c.check(); err != nil {
			c.sealed = err
			return err
		}
	}
	c.sent = true
	return nil
}

// unsend notes that the first write failed without a byte leaving.
func (c *gatedConn) unsend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = false
}
