package upstream

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingConn blocks each write until it is released, like a process that is paused during a write.
type blockingConn struct {
	net.Conn
	writing chan struct{}
	release chan struct{}
}

func (c *blockingConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	<-c.release
	return len(p), nil
}

// Fault pattern: an agent is paused while several requests are between their check and their first byte, and its target
// becomes cold meanwhile. When the agent resumes, it may write at most one of them without a new check; the others must
// be checked after the pause.
func TestAtMostOneRequestIsBetweenCheckAndWrite(t *testing.T) {
	firstWrite := &sync.Mutex{}
	blocking := &blockingConn{writing: make(chan struct{}), release: make(chan struct{})}
	one, two := &gatedConn{Conn: blocking, firstWrite: firstWrite}, &gatedConn{Conn: blocking, firstWrite: firstWrite}
	checked := make(chan struct{}, 1)
	one.beginRequest(nil)
	two.beginRequest(func() error {
		checked <- struct{}{}
		return nil
	})
	go func() { _, _ = one.Write([]byte("a")) }()
	<-blocking.writing
	go func() { _, _ = two.Write([]byte("b")) }()
	select {
	case <-checked:
		require.Fail(t, "the second request was checked before the first was written")
	case <-time.After(50 * time.Millisecond):
	}
	blocking.release <- struct{}{}
	<-checked
	<-blocking.writing
	blocking.release <- struct{}{}
}
