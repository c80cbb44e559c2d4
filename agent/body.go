package agent

import (
	"errors"
	"io"
	"sync"
)

var errBodySuperseded = errors.New("request body belongs to a later attempt")

// sharedBody allows another attempt at a request as long as none of its body has been read. Only the latest
// attempt can read: the HTTP client of a failed attempt may still hold the body when the next attempt begins.
type sharedBody struct {
	source io.Reader

	mu          sync.Mutex
	lastAttempt int
	reading     bool
	consumed    bool // bytes have been read
	empty       bool // the source ended without any bytes
}

// newAttempt returns the body for another attempt, or false if a part of it has been read.
func (b *sharedBody) newAttempt() (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.consumed || b.reading {
		return nil, false
	}
	b.lastAttempt++
	return &attemptBody{body: b, attempt: b.lastAttempt}, true
}

// isUnread reports whether another attempt can still read the whole body.
func (b *sharedBody) isUnread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.consumed && !b.reading
}

// beginRead marks the start of a read. It fails unless the attempt is the latest one.
func (b *sharedBody) beginRead(attempt int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.lastAttempt {
		return errBodySuperseded
	}
	if b.empty {
		return io.EOF
	}
	b.reading = true
	return nil
}

func (b *sharedBody) endRead(n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	b.consumed = b.consumed || n > 0
	b.empty = errors.Is(err, io.EOF) && !b.consumed
}

// attemptBody is the body as read by one attempt.
type attemptBody struct {
	body    *sharedBody
	attempt int
}

// Read reads the body. It fails if a later attempt has begun.
func (a *attemptBody) Read(p []byte) (int, error) {
	if err := a.body.beginRead(a.attempt); err != nil {
		return 0, err
	}
	n, err := a.body.source.Read(p)
	a.body.endRead(n, err)
	return n, err
}

// Close leaves the source open, since the HTTP server closes it.
func (a *attemptBody) Close() error { return nil }
